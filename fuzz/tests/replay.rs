//! Every target on every file of its corpus: what was found once stays found.

use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::thread;

use hopwalk_fuzz::{Target, TARGETS};

/// Stack of the threads that replay: what a small one in the program must hold is bounded by a test of its own.
const STACK: usize = 2 << 20;

fn inputs(target: &Target) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus").join(target.name);
    let listed = std::fs::read_dir(&folder).unwrap_or_else(|e| panic!("{}: {e}", folder.display()));
    let mut files: Vec<_> = listed.map(|file| file.unwrap().path()).collect();
    files.sort();
    files
}

#[test]
fn every_input_of_the_corpus_keeps_every_promise() {
    let work: Vec<_> = TARGETS.iter().flat_map(|t| inputs(t).into_iter().map(move |f| (t, f))).collect();
    assert!(work.len() >= 4 * TARGETS.len(), "{} inputs are no corpus", work.len());
    let (next, broken) = (Mutex::new(work.iter()), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..4 {
            let replay = || loop {
                let Some((target, file)) = next.lock().unwrap().next() else { return };
                let bytes = std::fs::read(file).unwrap();
                if std::panic::catch_unwind(|| (target.run)(&bytes)).is_err() {
                    broken.lock().unwrap().push(format!("{}: {}", target.name, file.display()));
                }
            };
            thread::Builder::new().stack_size(STACK).spawn_scoped(scope, replay).unwrap();
        }
    });
    let broken = broken.into_inner().unwrap();
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn targets_have_names_and_corpora_of_their_own() {
    for (at, target) in TARGETS.iter().enumerate() {
        assert!(TARGETS[..at].iter().all(|t| t.name != target.name), "{} stands twice", target.name);
        assert!(!inputs(target).is_empty(), "{} has no corpus", target.name);
        for file in target.files {
            assert!(Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(file).exists(), "{file}");
        }
    }
}
