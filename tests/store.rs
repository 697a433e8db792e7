//! The record's file: what is torn, spoilt, foreign or old is an error that names it, and never another state.

use std::fs;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use hopwalk::fleet::record::store::{Store, MARK_FILE, STORE_FILE};
use hopwalk::fleet::record::RecordError;
use hopwalk::fleet::routes::record as routes;
use hopwalk::fleet::state_machine;
use hopwalk::fleet::wire::raft::{NodeId, Types};
use miette::Diagnostic;
use openraft::{CommittedLeaderId, Entry, EntryPayload, LogId, Vote};

const NODE: NodeId = 77;

/// A folder that goes away with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("hopwalk-store-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn open(&self) -> Result<Store, RecordError> {
        Store::open(&self.0, "f", "a", NODE)
    }

    /// The files as they are at this moment, as after a kill.
    fn copy(&self, name: &str) -> Self {
        let copy = Self::new(name);
        for file in [STORE_FILE, MARK_FILE] {
            fs::copy(self.0.join(file), copy.0.join(file)).unwrap();
        }
        copy
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn id(term: u64, index: u64) -> LogId<NodeId> {
    LogId::new(CommittedLeaderId::new(term, NODE), index)
}

fn entry(term: u64, index: u64) -> Entry<Types> {
    let propose = routes::Entry::Propose { table: format!("table {index}").repeat(30), by: "o".into() };
    Entry { log_id: id(term, index), payload: EntryPayload::Normal(state_machine::Entry::Routes(propose)) }
}

/// A store with a vote, entries 0 to 29 and the vote of a later term.
fn fill(store: &Store) {
    store.save_vote(&Vote::new_committed(1, NODE)).unwrap();
    for index in 0..30 {
        store.append(&[entry(1, index)]).unwrap();
        store.save_committed(Some(id(1, index)));
    }
    store.truncate(28).unwrap();
    store.append(&[entry(2, 28), entry(2, 29)]).unwrap();
    store.save_vote(&Vote::new(3, NODE)).unwrap();
}

/// The vote, the entries in their bytes, and the last one: all that a voter's promises stand on.
type State = (Option<Vote<NodeId>>, Vec<Vec<u8>>, Option<LogId<NodeId>>);

fn state(store: &Store) -> State {
    let entries = store.entries(0..u64::MAX, usize::MAX).unwrap();
    let bytes = entries.iter().map(|entry| postcard::to_allocvec(entry).unwrap()).collect();
    (store.vote().unwrap(), bytes, store.log_ends().unwrap().1)
}

#[test]
fn a_store_has_what_was_written_after_it_was_closed_and_after_a_kill() {
    let folder = Folder::new("whole");
    let store = folder.open().unwrap();
    fill(&store);
    let (vote, entries, last) = state(&store);
    assert_eq!((vote, entries.len(), last), (Some(Vote::new(3, NODE)), 30, Some(id(2, 29))));
    let written = [entry(1, 27), entry(2, 28)].map(|entry| postcard::to_allocvec(&entry).unwrap());
    assert_eq!(entries[27..29], written);
    assert_eq!(store.entries(10..20, 4 * entries[10].len()).unwrap().len(), 4);
    assert_eq!(store.entries(3..20, 1).unwrap().len(), 1);
    let killed = folder.copy("killed");
    store.close();
    for folder in [folder, killed] {
        let again = folder.open().unwrap();
        assert_eq!((state(&again), again.node()), ((vote, entries.clone(), last), NODE));
        assert_eq!(again.committed(), Some(id(1, 29)));
        again.purge(id(1, 10)).unwrap_or_else(|e| panic!("{e}"));
    }
}

/// Opens it with each change: an error with its file and help, or the very same state.
fn spoil(
    from: &Folder,
    name: &str,
    what: &str,
    change: impl Fn(&mut Vec<u8>, usize),
    at: &[usize],
) -> [usize; 2] {
    let good = from.copy(&format!("{name}-good"));
    let expected = state(&good.open().unwrap());
    let bytes = fs::read(from.0.join(STORE_FILE)).unwrap();
    let (mut errors, mut behind) = (0, 0);
    for at in at.iter().copied().filter(|at| *at < bytes.len()) {
        let copy = from.copy(&format!("{name}-{at}"));
        let mut spoilt = bytes.clone();
        change(&mut spoilt, at);
        fs::write(copy.0.join(STORE_FILE), spoilt).unwrap();
        match copy.open() {
            Ok(store) => assert_eq!(state(&store), expected, "{name}: {what} at {at}"),
            Err(error) => {
                assert!(error.to_string().contains(STORE_FILE) && error.help().is_some(), "{error:?}");
                let kind = matches!(error, RecordError::Corrupt { .. } | RecordError::Behind { .. });
                assert!(
                    kind || matches!(error, RecordError::Format { .. }),
                    "{name}: {what} at {at}: {error:?}"
                );
                errors += 1;
                behind += usize::from(matches!(error, RecordError::Behind { .. }));
            }
        }
    }
    [errors, behind]
}

#[test]
fn a_torn_or_spoilt_store_is_an_error_and_no_other_state() {
    let folder = Folder::new("spoilt");
    let store = folder.open().unwrap();
    fill(&store);
    let killed = folder.copy("spoilt-killed");
    store.close();
    for (name, folder) in [("closed", &folder), ("killed", &killed)] {
        let length = fs::metadata(folder.0.join(STORE_FILE)).unwrap().len() as usize;
        let pages = length / 4096;
        let spread: Vec<usize> = (0..pages).step_by((pages / 12).max(1)).map(|page| page * 4096).collect();
        let cuts: Vec<usize> = [0, 1, 9, 64, 320, 512].into_iter().chain(spread.iter().copied()).collect();
        let cut = spoil(folder, name, "cut", |bytes, at| bytes.truncate(at), &cuts);
        assert_eq!(cut[0], cuts.len());
        let mut at: Vec<usize> = (0..320).step_by(13).collect();
        at.extend(spread.iter().flat_map(|page| [page + 7, page + 700]));
        let flips = spoil(folder, name, "flip", |bytes, at| bytes[at] ^= 0x15, &at);
        let zeroed =
            |bytes: &mut Vec<u8>, at: usize| bytes.iter_mut().skip(at).take(4096).for_each(|b| *b = 0);
        let holes = spoil(folder, name, "hole", zeroed, &spread);
        let of = [cuts.len(), at.len(), spread.len()];
        println!("{name}: {length} bytes; errors, those behind: {cut:?}, {flips:?}, {holes:?} of {of:?}");
        assert!(flips[0] > 0 && holes[0] > 0);
    }
}

#[test]
fn a_store_that_lost_its_last_writes_is_behind_its_mark() {
    let folder = Folder::new("behind");
    let store = folder.open().unwrap();
    store.save_vote(&Vote::new(1, NODE)).unwrap();
    let old = folder.copy("behind-old");
    store.save_vote(&Vote::new(2, NODE)).unwrap();
    store.close();
    fs::copy(old.0.join(STORE_FILE), folder.0.join(STORE_FILE)).unwrap();
    for _ in 0..2 {
        let error = folder.open().unwrap_err();
        assert!(matches!(error, RecordError::Behind { found: 2, acknowledged: 3, .. }), "{error:?}");
    }
    // A torn mark has the slot before; one without a whole slot is an error, and so is none.
    let mark = folder.0.join(MARK_FILE);
    let torn = |file: &Path, at: usize| {
        let mut bytes = fs::read(file).unwrap();
        bytes[at] ^= 1;
        fs::write(file, bytes).unwrap();
    };
    torn(&mark, 4096 + 9);
    drop(folder.open().unwrap());
    torn(&mark, 9);
    assert!(matches!(folder.open().unwrap_err(), RecordError::Corrupt { file, .. } if file == mark));
    fs::remove_file(&mark).unwrap();
    assert!(matches!(folder.open().unwrap_err(), RecordError::Corrupt { file, .. } if file == mark));
}

#[test]
fn what_cannot_be_used_is_named() {
    let folder = Folder::new("named");
    let missing = Store::open(&folder.0.join("none"), "f", "a", NODE).unwrap_err();
    assert!(matches!(missing, RecordError::Folder { kind: ErrorKind::NotFound, .. }), "{missing:?}");
    let file = folder.0.join("file");
    fs::write(&file, "x").unwrap();
    let no_folder = Store::open(&file, "f", "a", NODE).unwrap_err();
    assert!(matches!(no_folder, RecordError::Folder { kind: ErrorKind::NotADirectory, .. }), "{no_folder:?}");

    let store = folder.open().unwrap();
    let held = folder.open().unwrap_err();
    assert!(matches!(&held, RecordError::InUse { file } if *file == folder.0.join(STORE_FILE)), "{held:?}");
    store.close();
    assert!(store.vote().is_err() && store.save_vote(&Vote::new(1, NODE)).is_err());

    for (fleet, name) in [("g", "a"), ("f", "b")] {
        let foreign = Store::open(&folder.0, fleet, name, NODE).unwrap_err();
        assert!(matches!(foreign, RecordError::Foreign { .. }), "{foreign:?}");
        assert!(foreign.to_string().contains("a of fleet f"), "{foreign}");
    }
    // A store that was killed while it was made is made anew, and one that was made is not.
    fs::remove_file(folder.0.join(MARK_FILE)).unwrap();
    fs::write(folder.0.join("record.mark.new"), "half").unwrap();
    assert_eq!(Store::open(&folder.0, "f", "a", 5).unwrap().node(), NODE);
    assert!(folder.0.join(MARK_FILE).exists() && !folder.0.join("record.mark.new").exists());
    fs::remove_file(folder.0.join(STORE_FILE)).unwrap();
    assert!(matches!(folder.open().unwrap_err(), RecordError::Corrupt { .. }));
    fs::remove_file(folder.0.join(MARK_FILE)).unwrap();
    fs::write(folder.0.join("record.new"), "half").unwrap();
    assert_eq!(Store::open(&folder.0, "f", "a", 5).unwrap().node(), 5);
    fs::write(folder.0.join(STORE_FILE), "").unwrap();
    assert!(matches!(folder.open().unwrap_err(), RecordError::Corrupt { .. }));
    fs::write(folder.0.join(STORE_FILE), "no store at all").unwrap();
    assert!(matches!(folder.open().unwrap_err(), RecordError::Corrupt { .. }));
}
