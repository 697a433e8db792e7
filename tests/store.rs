//! The store of the record: a torn, corrupt, foreign or outdated store is an error that names the file, and is never
//! opened with another state.

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

/// A temporary folder that is removed after the test.
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

    /// Copies the files as they are now, which is what a kill would leave.
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

/// Writes a vote, entries 0 to 29 and the vote of a later term.
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

/// The vote, the encoded entries and the id of the last one: what a voter acknowledges to others.
type State = (Option<Vote<NodeId>>, Vec<Vec<u8>>, Option<LogId<NodeId>>);

fn state(store: &Store) -> State {
    let entries = store.entries(0..u64::MAX, usize::MAX).unwrap();
    let bytes = entries.iter().map(|entry| postcard::to_allocvec(entry).unwrap()).collect();
    (store.vote().unwrap(), bytes, store.log_ends().unwrap().1)
}

#[test]
fn a_store_keeps_what_was_written_after_it_was_closed_and_after_a_kill() {
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
        let reopened = folder.open().unwrap();
        assert_eq!((state(&reopened), reopened.node()), ((vote, entries.clone(), last), NODE));
        assert_eq!(reopened.committed(), Some(id(1, 29)));
        reopened.purge(id(1, 10)).unwrap_or_else(|e| panic!("{e}"));
    }
}

/// Opens copies of the store, each with the change at one of the offsets. Each must give an error with the file and a
/// help, or exactly the same state. Returns the number of errors, and how many of them are `Behind`.
fn open_corrupted(
    original: &Folder,
    name: &str,
    change_name: &str,
    change: impl Fn(&mut Vec<u8>, usize),
    offsets: &[usize],
) -> [usize; 2] {
    let good = original.copy(&format!("{name}-good"));
    let expected = state(&good.open().unwrap());
    let bytes = fs::read(original.0.join(STORE_FILE)).unwrap();
    let (mut errors, mut behind) = (0, 0);
    for offset in offsets.iter().copied().filter(|offset| *offset < bytes.len()) {
        let copy = original.copy(&format!("{name}-{offset}"));
        let mut corrupted = bytes.clone();
        change(&mut corrupted, offset);
        fs::write(copy.0.join(STORE_FILE), corrupted).unwrap();
        match copy.open() {
            Ok(store) => assert_eq!(state(&store), expected, "{name}: {change_name} at {offset}"),
            Err(error) => {
                assert!(error.to_string().contains(STORE_FILE) && error.help().is_some(), "{error:?}");
                let kind = matches!(error, RecordError::Corrupt { .. } | RecordError::Behind { .. });
                assert!(
                    kind || matches!(error, RecordError::Format { .. }),
                    "{name}: {change_name} at {offset}: {error:?}"
                );
                errors += 1;
                behind += usize::from(matches!(error, RecordError::Behind { .. }));
            }
        }
    }
    [errors, behind]
}

#[test]
fn a_torn_or_corrupt_store_is_an_error_or_has_the_same_state() {
    let folder = Folder::new("spoilt");
    let store = folder.open().unwrap();
    fill(&store);
    let killed = folder.copy("spoilt-killed");
    store.close();
    for (name, folder) in [("closed", &folder), ("killed", &killed)] {
        let length = fs::metadata(folder.0.join(STORE_FILE)).unwrap().len() as usize;
        let pages = length / 4096;
        let page_starts: Vec<usize> =
            (0..pages).step_by((pages / 12).max(1)).map(|page| page * 4096).collect();
        let cuts: Vec<usize> =
            [0, 1, 9, 64, 320, 512].into_iter().chain(page_starts.iter().copied()).collect();
        let cut = open_corrupted(folder, name, "cut", |bytes, offset| bytes.truncate(offset), &cuts);
        assert_eq!(cut[0], cuts.len());
        let mut flip_offsets: Vec<usize> = (0..320).step_by(13).collect();
        flip_offsets.extend(page_starts.iter().flat_map(|page| [page + 7, page + 700]));
        let flips =
            open_corrupted(folder, name, "flip", |bytes, offset| bytes[offset] ^= 0x15, &flip_offsets);
        let zero_page = |bytes: &mut Vec<u8>, offset: usize| {
            bytes.iter_mut().skip(offset).take(4096).for_each(|b| *b = 0)
        };
        let holes = open_corrupted(folder, name, "hole", zero_page, &page_starts);
        let tried = [cuts.len(), flip_offsets.len(), page_starts.len()];
        println!(
            "{name}: {length} bytes; errors, Behind among them: {cut:?}, {flips:?}, {holes:?} of {tried:?}"
        );
        assert!(flips[0] > 0 && holes[0] > 0);
    }
}

#[test]
fn a_store_that_lost_its_last_write_is_behind_its_mark() {
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
    // A torn mark still has its other slot. A mark without a valid slot is an error, and so is a missing mark.
    let mark = folder.0.join(MARK_FILE);
    let flip_bit = |file: &Path, offset: usize| {
        let mut bytes = fs::read(file).unwrap();
        bytes[offset] ^= 1;
        fs::write(file, bytes).unwrap();
    };
    flip_bit(&mark, 4096 + 9);
    drop(folder.open().unwrap());
    flip_bit(&mark, 9);
    assert!(matches!(folder.open().unwrap_err(), RecordError::Corrupt { file, .. } if file == mark));
    fs::remove_file(&mark).unwrap();
    assert!(matches!(folder.open().unwrap_err(), RecordError::Corrupt { file, .. } if file == mark));
}

#[test]
fn an_error_names_the_folder_or_file_that_cannot_be_used() {
    let folder = Folder::new("named");
    let missing = Store::open(&folder.0.join("none"), "f", "a", NODE).unwrap_err();
    assert!(matches!(missing, RecordError::Folder { kind: ErrorKind::NotFound, .. }), "{missing:?}");
    let file = folder.0.join("file");
    fs::write(&file, "x").unwrap();
    let not_a_folder = Store::open(&file, "f", "a", NODE).unwrap_err();
    assert!(
        matches!(not_a_folder, RecordError::Folder { kind: ErrorKind::NotADirectory, .. }),
        "{not_a_folder:?}"
    );

    let store = folder.open().unwrap();
    let in_use = folder.open().unwrap_err();
    assert!(
        matches!(&in_use, RecordError::InUse { file } if *file == folder.0.join(STORE_FILE)),
        "{in_use:?}"
    );
    store.close();
    assert!(store.vote().is_err() && store.save_vote(&Vote::new(1, NODE)).is_err());

    for (fleet, name) in [("g", "a"), ("f", "b")] {
        let foreign = Store::open(&folder.0, fleet, name, NODE).unwrap_err();
        assert!(matches!(foreign, RecordError::Foreign { .. }), "{foreign:?}");
        assert!(foreign.to_string().contains("a of fleet f"), "{foreign}");
    }
    // A store whose creation was interrupted by a kill is created again, and one that was created is not.
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
