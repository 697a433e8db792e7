//! The record's files, cut or corrupted at every offset and then opened. Opening must give either the last acknowledged
//! state or a typed error with a help. `STORE_SWEEP=all` tries every offset; otherwise a fixed part of them is tried.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{self, OpenOptions};
use std::os::unix::fs::FileExt;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Mutex};
use std::time::{Duration, Instant};

use hopwalk::fleet::record::store::{Store, StoredSnapshot, MARK_FILE, STORE_FILE};
use hopwalk::fleet::record::RecordError;
use hopwalk::fleet::routes::record as routes;
use hopwalk::fleet::state_machine;
use hopwalk::fleet::wire::raft::{NodeId, Types};
use miette::Diagnostic;
use openraft::{CommittedLeaderId, Entry, EntryPayload, LogId, SnapshotMeta, Vote};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const NODE: NodeId = 77;
/// Maximum number of threads.
const MAX_THREADS: usize = 6;
/// Opening a store takes milliseconds; after this time it counts as hung.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
/// Distance between the offsets of a partial sweep, a prime. The first one is [`FIRST_OFFSET`].
const STRIDE: usize = 2503;
/// The distance within the first page, where redb's header and the mark's slots are tried at every offset.
const PAGE_STRIDE: usize = 61;
const FIRST_OFFSET: usize = 27;
/// Lengths in bytes of redb's header, of the page that it is in, and of a slot of the mark.
const HEADER_BYTES: usize = 320;
const PAGE_BYTES: usize = 4096;
const SLOT_BYTES: usize = 16;
/// Bytes that a disk writes atomically, and the number of random mixes of written and unwritten sectors.
const SECTOR_BYTES: usize = 512;
const MIXES: usize = 128;
/// Distance between the offsets at which the store is also written to and opened again. In redb's header the distance
/// is 4, and in the mark's slots every offset is checked so.
const DEEP_STRIDE: usize = 16;

type Files = [Vec<u8>; 2];
/// What a voter acknowledges to others: vote, entries, ends of the log and snapshot.
type State = (Option<Vote<NodeId>>, Vec<Vec<u8>>, [Option<LogId<NodeId>>; 2], Option<StoredSnapshot>);
type OpenStore<'a> = &'a (dyn Fn(&Path) -> Result<Store, RecordError> + Sync);

/// The files and the state after an acknowledged write.
struct Capture {
    files: Files,
    state: State,
}

fn id(term: u64, index: u64) -> LogId<NodeId> {
    LogId::new(CommittedLeaderId::new(term, NODE), index)
}

fn entry(term: u64, index: u64) -> Entry<Types> {
    let propose = routes::Entry::Propose { table: format!("table {index}").repeat(9), by: "o".into() };
    Entry { log_id: id(term, index), payload: EntryPayload::Normal(state_machine::Entry::Routes(propose)) }
}

fn state(store: &Store) -> Result<State, String> {
    let text = |error: &dyn std::fmt::Display| error.to_string();
    let entries = store.entries(0..u64::MAX, usize::MAX).map_err(|e| text(&e))?;
    let entries = entries.iter().map(|entry| postcard::to_allocvec(entry).unwrap()).collect();
    let (purged, last) = store.log_ends().map_err(|e| text(&e))?;
    let snapshot = store.snapshot().map_err(|e| text(&e))?;
    Ok((store.vote().map_err(|e| text(&e))?, entries, [purged, last], snapshot))
}

/// A temporary folder that is removed after the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("hopwalk-sweep-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn put(&self, files: &Files) {
        for (name, bytes) in [STORE_FILE, MARK_FILE].iter().zip(files) {
            let file = OpenOptions::new().write(true).create(true).truncate(false).open(self.0.join(name));
            let file = file.unwrap();
            file.set_len(bytes.len() as u64).unwrap();
            file.write_all_at(bytes, 0).unwrap();
        }
    }

    fn files(&self) -> Files {
        [STORE_FILE, MARK_FILE].map(|name| fs::read(self.0.join(name)).unwrap())
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn open(folder: &Path) -> Result<Store, RecordError> {
    Store::open(folder, "f", "a", NODE)
}

/// Returns a capture after each write, as a kill leaves the files, and one after the store was closed. With
/// `long_snapshot` the last write is a snapshot that makes the file longer.
fn captures(name: &str, long_snapshot: bool) -> (Vec<Capture>, Capture) {
    let folder = Folder::new(name);
    let store = open(&folder.0).unwrap();
    let mut captures = vec![];
    let mut capture = || captures.push(Capture { files: folder.files(), state: state(&store).unwrap() });
    capture();
    store.save_vote(&Vote::new_committed(1, NODE)).unwrap();
    capture();
    for index in 0..12 {
        store.append(&[entry(1, index)]).unwrap();
        store.save_committed(Some(id(1, index)));
        capture();
    }
    let meta = SnapshotMeta {
        last_log_id: Some(id(1, 7)),
        last_membership: Default::default(),
        snapshot_id: "7".into(),
    };
    store.save_snapshot(&meta, &[7; 900]).unwrap();
    capture();
    store.purge(id(1, 5)).unwrap();
    capture();
    store.append(&[entry(1, 12), entry(1, 13)]).unwrap();
    capture();
    store.truncate(13).unwrap();
    capture();
    store.save_vote(&Vote::new(3, NODE)).unwrap();
    capture();
    if long_snapshot {
        let meta = SnapshotMeta { last_log_id: Some(id(1, 12)), ..meta };
        store.save_snapshot(&meta, &[9; 60_000]).unwrap();
        capture();
    }
    let last = state(&store).unwrap();
    store.close();
    (captures, Capture { files: folder.files(), state: last })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Change {
    /// The file ends at the offset.
    Cut,
    /// All bits of the byte are flipped.
    Flip,
    /// One bit of the byte is flipped.
    Bit,
    /// Zeros from the offset on.
    Zeros,
    /// The bytes of the last write before the offset, and those of the previous write from it on.
    Head,
    /// The bytes of the previous write before the offset, and those of the last write from it on.
    Tail,
    /// Each sector is that of the previous or the last write at random, with the offset as the seed.
    Mix,
}

const CORRUPTIONS: &[Change] =
    &[Change::Cut, Change::Flip, Change::Bit, Change::Zeros, Change::Head, Change::Tail];
/// Changes that a crash can leave behind.
const TORN_WRITES: &[Change] = &[Change::Head, Change::Tail, Change::Mix];

impl Change {
    /// Returns the changed bytes, or `None` if they are the same as those at the previous offset.
    fn apply(self, old: &[u8], new: &[u8], offset: usize) -> Option<Vec<u8>> {
        let same = offset > 0 && old.get(offset - 1) == new.get(offset - 1);
        match self {
            Self::Zeros if offset > 0 && new[offset - 1] == 0 => return None,
            Self::Head | Self::Tail if same => return None,
            _ => {}
        }
        let mut bytes = new.to_vec();
        match self {
            Self::Cut => bytes.truncate(offset),
            Self::Flip => bytes[offset] ^= 0xff,
            Self::Bit => bytes[offset] ^= 1 << (offset % 8),
            Self::Zeros => bytes[offset..].fill(0),
            // redb sets the length of the file before it writes.
            Self::Head if offset < old.len() => {
                bytes[offset..].fill(0);
                let end = old.len().min(new.len()).max(offset);
                bytes[offset..end].copy_from_slice(&old[offset..end]);
            }
            Self::Head => bytes[offset..].fill(0),
            Self::Tail => {
                let end = offset.min(old.len());
                bytes[..end].copy_from_slice(&old[..end]);
            }
            Self::Mix => {
                let mut rng = SmallRng::seed_from_u64(offset as u64);
                for (to, from) in bytes.chunks_mut(SECTOR_BYTES).zip(old.chunks(SECTOR_BYTES)) {
                    if rng.random() {
                        let length = to.len().min(from.len());
                        to[..length].copy_from_slice(&from[..length]);
                    }
                }
            }
        }
        Some(bytes)
    }
}

/// Which file of which captures is changed, and how.
struct Plan<'a> {
    name: &'static str,
    captures: &'a [Capture],
    /// The capture that is changed.
    last: &'a Capture,
    /// The changed file: 0 for the store, 1 for its mark.
    changed_file: usize,
    /// The store has its last write, but the mark is that of the previous one: the last write was never acknowledged.
    mark_behind: bool,
    changes: &'static [Change],
    /// The offsets at which the file is changed.
    offsets: Vec<usize>,
}

#[derive(Default)]
struct Tally {
    offsets: usize,
    opened: usize,
    refused: BTreeMap<String, usize>,
    panics: usize,
    same: usize,
    failures: Vec<String>,
    longest: Duration,
}

thread_local! {
    /// The message of the last panic of this thread. The store may have caught the panic.
    static PANICKED: RefCell<Option<String>> = const { RefCell::new(None) };
}

/// Opens changed files and checks the result: the last acknowledged state, the one after it that is not acknowledged
/// yet, or an error with a help, whose variant is returned. With `deep` the store is also opened again and written to.
fn check_opening(
    folder: &Folder,
    plan: &Plan,
    files: &Files,
    deep: bool,
    open: OpenStore,
) -> Result<Option<String>, String> {
    folder.put(files);
    let before = &plan.captures[plan.captures.len() - 2];
    let store = match open(&folder.0) {
        Ok(store) => store,
        Err(error) => {
            let kind = format!("{error:?}").split([' ', '{']).next().unwrap_or_default().to_string();
            return match error.help() {
                Some(_) if matches!(kind.as_str(), "Corrupt" | "Behind" | "Format") => Ok(Some(kind)),
                _ => Err(format!("an unexpected error: {error:?}")),
            };
        }
    };
    let found = state(&store)?;
    let acknowledged = if plan.mark_behind { before } else { plan.last };
    let [(vote, _, ends, _), (min_vote, _, ends_min, _)] = [&found, &acknowledged.state];
    let newest = found == plan.last.state;
    // The last write may remove entries.
    if !newest && (vote < min_vote || ends[1] < ends_min[1]) {
        let (end, end_min) = (ends[1], ends_min[1]);
        return Err(format!(
            "older: vote {vote:?} and log end {end:?}, expected at least {min_vote:?} and {end_min:?}"
        ));
    }
    if !(newest || plan.mark_behind && found == before.state) {
        return Err("a state that never existed or is not the last one".into());
    }
    if !deep {
        return Ok(None);
    }
    // Opening has marked the state as acknowledged, because other voters may rely on it without a further write.
    store.close();
    if newest {
        fs::write(folder.0.join(STORE_FILE), &before.files[0]).unwrap();
        match open(&folder.0) {
            Err(RecordError::Behind { .. }) => {}
            other => return Err(format!("opening it did not exclude its previous write: {other:?}")),
        }
        folder.put(files);
    }
    // The store accepts a further write and keeps it.
    let store = open(&folder.0).map_err(|e| format!("on the second opening: {e}"))?;
    store.save_vote(&Vote::new(9, NODE)).map_err(|e| format!("the next write: {e}"))?;
    drop(store);
    let store = open(&folder.0).map_err(|e| format!("after the next write: {e}"))?;
    let expected = (Some(Vote::new(9, NODE)), found.1, found.2, found.3);
    (state(&store)? == expected)
        .then_some(None)
        .ok_or_else(|| "a different state after the next write".into())
}

/// Tries all changes of a plan at all its offsets on several threads.
fn sweep(plan: &Plan, open: OpenStore) -> BTreeMap<Change, Tally> {
    let before = &plan.captures[plan.captures.len() - 2];
    let (old, new) = (&before.files[plan.changed_file], &plan.last.files[plan.changed_file]);
    let mut base = plan.last.files.clone();
    if plan.mark_behind {
        base[1].clone_from(&before.files[1]);
    }
    let work = plan.changes.iter().flat_map(|c| plan.offsets.iter().map(|offset| (*c, *offset)));
    let mixes = if full_sweep() { MIXES } else { MIXES / 16 };
    let work: Vec<_> = work.filter(|(change, offset)| *change != Change::Mix || *offset < mixes).collect();
    let (next, tallies) = (AtomicUsize::new(0), Mutex::new(BTreeMap::<Change, Tally>::new()));
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get().min(MAX_THREADS));
    let busy: Vec<Mutex<Option<(Instant, Change, usize)>>> = (0..threads).map(|_| Mutex::default()).collect();
    let (ended, end) = mpsc::channel::<()>();
    std::thread::scope(|scope| {
        let busy = &busy;
        scope.spawn(move || {
            while end.recv_timeout(Duration::from_secs(1)) == Err(mpsc::RecvTimeoutError::Timeout) {
                for (since, change, offset) in busy.iter().filter_map(|busy| *busy.lock().unwrap()) {
                    if since.elapsed() > HANG_TIMEOUT {
                        eprintln!("{}: {change:?} at {offset} hangs", plan.name);
                        std::process::exit(101);
                    }
                }
            }
        });
        for (thread, busy) in busy.iter().enumerate() {
            let (ended, next, tallies, work, base) = (ended.clone(), &next, &tallies, &work, &base);
            let run = move || {
                let _ended = ended;
                let folder = Folder::new(&format!("{}-{thread}", plan.name));
                while let Some((change, offset)) = work.get(next.fetch_add(1, Ordering::Relaxed)).copied() {
                    let began = Instant::now();
                    *busy.lock().unwrap() = Some((began, change, offset));
                    let slot = plan.changed_file == 1 && !(SLOT_BYTES..PAGE_BYTES).contains(&offset);
                    let deep =
                        slot || offset % DEEP_STRIDE == 0 || (offset < HEADER_BYTES && offset % 4 == 0);
                    let outcome = change.apply(old, new, offset).map(|bytes| {
                        let mut files = base.clone();
                        files[plan.changed_file] = bytes;
                        PANICKED.take();
                        let checked = || check_opening(&folder, plan, &files, deep, open);
                        catch_unwind(AssertUnwindSafe(checked)).unwrap_or_else(|_| Err("it panicked".into()))
                    });
                    *busy.lock().unwrap() = None;
                    let panicked = PANICKED.take();
                    let mut tallies = tallies.lock().unwrap();
                    let tally = tallies.entry(change).or_default();
                    tally.offsets += 1;
                    tally.longest = tally.longest.max(began.elapsed());
                    tally.panics += usize::from(panicked.is_some());
                    match outcome {
                        None => tally.same += 1,
                        Some(Ok(None)) => tally.opened += 1,
                        // A crash alone must not require an operator.
                        Some(Ok(Some(kind))) if plan.mark_behind && TORN_WRITES.contains(&change) => {
                            tally.failures.push(format!("{}: {change:?} at {offset}: {kind}", plan.name));
                        }
                        Some(Ok(Some(kind))) => *tally.refused.entry(kind).or_default() += 1,
                        Some(Err(failure)) => {
                            let panicked = panicked.unwrap_or_default();
                            tally
                                .failures
                                .push(format!("{}: {change:?} at {offset}: {failure} {panicked}", plan.name));
                        }
                    }
                }
            };
            std::thread::Builder::new().name("sweep".into()).spawn_scoped(scope, run).unwrap();
        }
        drop(ended);
    });
    tallies.into_inner().unwrap()
}

/// Stores the panic messages of the sweep's threads instead of printing them: the store may catch the panics.
fn catch_panic_messages() {
    let previous = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| match std::thread::current().name() {
        Some("sweep") => PANICKED.set(Some(info.to_string())),
        _ => previous(info),
    }));
}

fn full_sweep() -> bool {
    std::env::var("STORE_SWEEP").is_ok_and(|which| which == "all")
}

/// Returns all offsets in a full sweep. A partial sweep has the first `whole` bytes, the last ones, and the offsets at
/// the strides of the first page and of the rest.
fn select_offsets(length: usize, whole: usize) -> Vec<usize> {
    let full = full_sweep();
    let stride = |offset: usize| if offset < PAGE_BYTES { PAGE_STRIDE } else { STRIDE };
    let in_part = |offset: &usize| {
        *offset < whole || *offset + SLOT_BYTES >= length || offset % stride(*offset) == FIRST_OFFSET
    };
    (0..length).filter(|offset| full || in_part(offset)).collect()
}

impl Tally {
    fn add(&mut self, other: Self) {
        self.offsets += other.offsets;
        self.opened += other.opened;
        self.panics += other.panics;
        self.same += other.same;
        self.longest = self.longest.max(other.longest);
        other.refused.into_iter().for_each(|(kind, count)| *self.refused.entry(kind).or_default() += count);
        self.failures.extend(other.failures);
    }
}

/// Sweeps plans that have one name, prints the results and fails on any failure.
fn sweep_and_report(plans: &[Plan]) {
    catch_panic_messages();
    let (began, mut tallies) = (Instant::now(), BTreeMap::<Change, Tally>::new());
    for plan in plans {
        for (change, tally) in sweep(plan, &open) {
            tallies.entry(change).or_default().add(tally);
        }
    }
    println!("{}, {:.1} s:", plans[0].name, began.elapsed().as_secs_f64());
    let mut failures = vec![];
    for (change, tally) in tallies {
        let Tally { offsets, opened, refused, panics, same, failures: found, longest } = tally;
        println!(
            "  {change:?}: {offsets} offsets, {same} the same as the previous one, {opened} opened, \
             refused {refused:?}, {panics} panics caught, {} failures, longest {} ms",
            found.len(),
            longest.as_millis()
        );
        failures.extend(found.into_iter().take(5));
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn a_store_corrupted_at_any_offset_has_what_was_acknowledged_or_is_rejected() {
    let (captures, closed) = captures("store", false);
    let killed = captures.last().unwrap();
    let plan = |name, last, mark_behind, whole| {
        let last: &Capture = last;
        let offsets = select_offsets(last.files[0].len(), whole);
        Plan { name, captures: &captures, last, changed_file: 0, mark_behind, changes: CORRUPTIONS, offsets }
    };
    sweep_and_report(&[plan("killed", killed, false, HEADER_BYTES)]);
    sweep_and_report(&[plan("closed", &closed, false, HEADER_BYTES)]);
    sweep_and_report(&[plan("early", killed, true, HEADER_BYTES)]);
}

/// Tears each write in turn, the last of which makes the file longer: whatever a crash leaves of a write opens.
#[test]
fn a_torn_write_takes_effect_completely_or_not_at_all() {
    let (captures, _) = captures("torn", true);
    let plans = (1..captures.len()).map(|last| {
        let (captures, last) = (&captures[..=last], &captures[last]);
        let offsets = select_offsets(last.files[0].len(), SLOT_BYTES);
        Plan {
            name: "torn",
            captures,
            last,
            changed_file: 0,
            mark_behind: true,
            changes: TORN_WRITES,
            offsets,
        }
    });
    let plans: Vec<_> = plans.collect();
    sweep_and_report(&plans);
    // A file system that kept the new header but not the new length must not lead to another state either.
    let plan = plans.last().unwrap();
    let [old, new] = [&plan.captures[plan.captures.len() - 2].files, &plan.last.files];
    assert!(old[0].len() < new[0].len());
    let files = [new[0][..old[0].len()].to_vec(), old[1].clone()];
    println!(
        "without its new length: {:?}",
        check_opening(&Folder::new("short"), plan, &files, true, &open).unwrap()
    );
}

#[test]
fn a_mark_corrupted_at_any_offset_loses_nothing_that_was_acknowledged() {
    let (captures, _) = captures("mark", false);
    let plan = |name, captures, whole| {
        let captures: &[Capture] = captures;
        let last = captures.last().unwrap();
        let offsets = select_offsets(last.files[1].len(), whole);
        Plan { name, captures, last, changed_file: 1, mark_behind: false, changes: CORRUPTIONS, offsets }
    };
    let other = &captures[..captures.len() - 1];
    sweep_and_report(&[plan("mark in one slot", &captures, SLOT_BYTES)]);
    sweep_and_report(&[plan("mark in the other", other, SLOT_BYTES)]);
}

/// The sweep finds a store that loses its mark, one that is opened without advancing its mark, one that is created again
/// in place of a corrupt one, and one that panics.
#[test]
fn planted_defects_are_found() {
    catch_panic_messages();
    let (captures, _) = captures("planted", false);
    let first = &captures[0].files[1];
    let resets_mark = |folder: &Path| {
        fs::write(folder.join(MARK_FILE), first).unwrap();
        open(folder)
    };
    let restores_mark = |folder: &Path| {
        let mark = fs::read(folder.join(MARK_FILE)).unwrap();
        let opened = open(folder);
        fs::write(folder.join(MARK_FILE), mark).unwrap();
        opened
    };
    let recreates = |folder: &Path| {
        open(folder).or_else(|_| {
            for file in [STORE_FILE, MARK_FILE] {
                fs::remove_file(folder.join(file)).unwrap();
            }
            open(folder)
        })
    };
    let panics = |folder: &Path| Ok(open(folder).unwrap());
    let planted: [(_, _, OpenStore); 4] = [
        ("older", false, &resets_mark),
        ("did not exclude its previous write", true, &restores_mark),
        ("vote None", false, &recreates),
        ("it panicked", false, &panics),
    ];
    for (expected, mark_behind, open) in planted {
        let offsets = (0..HEADER_BYTES).step_by(4).collect();
        let plan = Plan {
            name: "planted",
            captures: &captures,
            last: captures.last().unwrap(),
            changed_file: 0,
            mark_behind,
            changes: CORRUPTIONS,
            offsets,
        };
        let failures: Vec<_> = sweep(&plan, open).into_values().flat_map(|tally| tally.failures).collect();
        println!("planted, {expected}: {} found, such as {:?}", failures.len(), failures.first());
        assert!(failures.iter().any(|failure| failure.contains(expected)), "{expected}: {failures:?}");
    }
}
