//! The record's files, cut and spoilt at every offset and then started: a state that was acknowledged and is
//! not older than what was promised, or a typed error with its help. `STORE_SWEEP=all` tries every offset, and
//! else it is a seeded part.

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
/// Most threads.
const THREADS: usize = 6;
/// One opening takes milliseconds: this long is a hang.
const HANG: Duration = Duration::from_secs(60);
/// Each so many-th offset of the seeded part, a prime; and which of them is first.
const STRIDE: usize = 2503;
/// The same within the first page, of which redb's header and the mark's slots are tried whole.
const PAGE_STRIDE: usize = 61;
const SEED: usize = 27;
/// Bytes of redb's header, of the page that it is in, and of a slot of the mark.
const HEADER: usize = 320;
const PAGE: usize = 4096;
const SLOT: usize = 16;
/// A disk writes so much whole; so many draws of what it has written.
const SECTOR: usize = 512;
const MIXES: usize = 128;
/// Beyond slots, each so many-th opening is followed by further ones; in redb's header each 4th.
const DEEP: usize = 16;

type Files = [Vec<u8>; 2];
/// All that a voter's promises stand on: vote, entries, ends, snapshot.
type State = (Option<Vote<NodeId>>, Vec<Vec<u8>>, [Option<LogId<NodeId>>; 2], Option<StoredSnapshot>);
type Open<'a> = &'a (dyn Fn(&Path) -> Result<Store, RecordError> + Sync);

/// A moment after a write was acknowledged.
struct Moment {
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
    let told = |error: &dyn std::fmt::Display| error.to_string();
    let entries = store.entries(0..u64::MAX, usize::MAX).map_err(|e| told(&e))?;
    let entries = entries.iter().map(|entry| postcard::to_allocvec(entry).unwrap()).collect();
    let (purged, last) = store.log_ends().map_err(|e| told(&e))?;
    let snapshot = store.snapshot().map_err(|e| told(&e))?;
    Ok((store.vote().map_err(|e| told(&e))?, entries, [purged, last], snapshot))
}

/// A folder that goes away with the test.
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

/// What was acknowledged, write by write, as a kill leaves it; and the last one once more, closed. `grown`:
/// with a snapshot at the end that makes the file longer.
fn moments(name: &str, grown: bool) -> (Vec<Moment>, Moment) {
    let folder = Folder::new(name);
    let store = open(&folder.0).unwrap();
    let mut moments = vec![];
    let mut note = || moments.push(Moment { files: folder.files(), state: state(&store).unwrap() });
    note();
    store.save_vote(&Vote::new_committed(1, NODE)).unwrap();
    note();
    for index in 0..12 {
        store.append(&[entry(1, index)]).unwrap();
        store.save_committed(Some(id(1, index)));
        note();
    }
    let meta = SnapshotMeta {
        last_log_id: Some(id(1, 7)),
        last_membership: Default::default(),
        snapshot_id: "7".into(),
    };
    store.save_snapshot(&meta, &[7; 900]).unwrap();
    note();
    store.purge(id(1, 5)).unwrap();
    note();
    store.append(&[entry(1, 12), entry(1, 13)]).unwrap();
    note();
    store.truncate(13).unwrap();
    note();
    store.save_vote(&Vote::new(3, NODE)).unwrap();
    note();
    if grown {
        let meta = SnapshotMeta { last_log_id: Some(id(1, 12)), ..meta };
        store.save_snapshot(&meta, &[9; 60_000]).unwrap();
        note();
    }
    let last = state(&store).unwrap();
    store.close();
    (moments, Moment { files: folder.files(), state: last })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Change {
    /// It ends there.
    Cut,
    /// All bits of a byte.
    Flip,
    /// One bit of it.
    Bit,
    /// Zeros from there on.
    Zeros,
    /// The last write up to there, and what was before from there on.
    Head,
    /// What was before up to there, and the last write from there on.
    Tail,
    /// Of each sector what was before or the last write, drawn with the offset as the seed.
    Mix,
}

const SPOILT: &[Change] =
    &[Change::Cut, Change::Flip, Change::Bit, Change::Zeros, Change::Head, Change::Tail];
/// What a crash can do.
const TORN: &[Change] = &[Change::Head, Change::Tail, Change::Mix];

impl Change {
    /// The spoilt bytes, unless they are those of the offset before.
    fn make(self, old: &[u8], new: &[u8], at: usize) -> Option<Vec<u8>> {
        let same = at > 0 && old.get(at - 1) == new.get(at - 1);
        match self {
            Self::Zeros if at > 0 && new[at - 1] == 0 => return None,
            Self::Head | Self::Tail if same => return None,
            _ => {}
        }
        let mut bytes = new.to_vec();
        match self {
            Self::Cut => bytes.truncate(at),
            Self::Flip => bytes[at] ^= 0xff,
            Self::Bit => bytes[at] ^= 1 << (at % 8),
            Self::Zeros => bytes[at..].fill(0),
            // redb sets the length before it writes.
            Self::Head if at < old.len() => {
                bytes[at..].fill(0);
                let of = old.len().min(new.len()).max(at);
                bytes[at..of].copy_from_slice(&old[at..of]);
            }
            Self::Head => bytes[at..].fill(0),
            Self::Tail => {
                let of = at.min(old.len());
                bytes[..of].copy_from_slice(&old[..of]);
            }
            Self::Mix => {
                let mut rng = SmallRng::seed_from_u64(at as u64);
                for (to, from) in bytes.chunks_mut(SECTOR).zip(old.chunks(SECTOR)) {
                    if rng.random() {
                        let of = to.len().min(from.len());
                        to[..of].copy_from_slice(&from[..of]);
                    }
                }
            }
        }
        Some(bytes)
    }
}

/// What is spoilt, of which moments.
struct Plan<'a> {
    name: &'static str,
    moments: &'a [Moment],
    /// The last one that was acknowledged.
    last: &'a Moment,
    /// 0 the store, 1 its mark.
    spoilt: usize,
    /// The store's last write is there, and its mark is that of the write before: it was never acknowledged.
    early: bool,
    changes: &'static [Change],
    /// Offsets.
    at: Vec<usize>,
}

#[derive(Default)]
struct Tally {
    offsets: usize,
    opened: usize,
    refused: BTreeMap<String, usize>,
    panics: usize,
    same: usize,
    wrong: Vec<String>,
    longest: Duration,
}

thread_local! {
    /// The last panic of this thread, which the store may catch.
    static PANICKED: RefCell<Option<String>> = const { RefCell::new(None) };
}

/// What an opening must be: the newest promised state, or the one after it that is not promised yet, or an
/// error.
fn judge(
    folder: &Folder,
    plan: &Plan,
    files: &Files,
    deep: bool,
    open: Open,
) -> Result<Option<String>, String> {
    folder.put(files);
    let before = &plan.moments[plan.moments.len() - 2];
    let store = match open(&folder.0) {
        Ok(store) => store,
        Err(error) => {
            let kind = format!("{error:?}").split([' ', '{']).next().unwrap_or_default().to_string();
            return match error.help() {
                Some(_) if matches!(kind.as_str(), "Corrupt" | "Behind" | "Format") => Ok(Some(kind)),
                _ => Err(format!("an error that does not fit: {error:?}")),
            };
        }
    };
    let found = state(&store)?;
    let promised = if plan.early { before } else { plan.last };
    let [(vote, _, ends, _), (least, _, ends_least, _)] = [&found, &promised.state];
    let newest = found == plan.last.state;
    // The last write may take entries away.
    if !newest && (vote < least || ends[1] < ends_least[1]) {
        let (end, end_least) = (ends[1], ends_least[1]);
        return Err(format!("older: vote {vote:?} and end {end:?}, less than {least:?} and {end_least:?}"));
    }
    if !(newest || plan.early && found == before.state) {
        return Err("a state that never was, or is not the last".into());
    }
    if !deep {
        return Ok(None);
    }
    // What it showed it has promised: others may count on it without a further write.
    store.close();
    if newest {
        fs::write(folder.0.join(STORE_FILE), &before.files[0]).unwrap();
        match open(&folder.0) {
            Err(RecordError::Behind { .. }) => {}
            other => return Err(format!("it was shown, and then the write before it was: {other:?}")),
        }
        folder.put(files);
    }
    // And it takes a write that lasts.
    let store = open(&folder.0).map_err(|e| format!("the second time: {e}"))?;
    store.save_vote(&Vote::new(9, NODE)).map_err(|e| format!("the next write: {e}"))?;
    drop(store);
    let store = open(&folder.0).map_err(|e| format!("after the next write: {e}"))?;
    let expected = (Some(Vote::new(9, NODE)), found.1, found.2, found.3);
    (state(&store)? == expected).then_some(None).ok_or_else(|| "another state after the next write".into())
}

/// Tries all offsets of a plan over several threads.
fn sweep(plan: &Plan, open: Open) -> BTreeMap<Change, Tally> {
    let before = &plan.moments[plan.moments.len() - 2];
    let (old, new) = (&before.files[plan.spoilt], &plan.last.files[plan.spoilt]);
    let mut base = plan.last.files.clone();
    if plan.early {
        base[1].clone_from(&before.files[1]);
    }
    let work = plan.changes.iter().flat_map(|c| plan.at.iter().map(|at| (*c, *at)));
    let mixes = if all() { MIXES } else { MIXES / 16 };
    let work: Vec<_> = work.filter(|(change, at)| *change != Change::Mix || *at < mixes).collect();
    let (next, tallies) = (AtomicUsize::new(0), Mutex::new(BTreeMap::<Change, Tally>::new()));
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get().min(THREADS));
    let busy: Vec<Mutex<Option<(Instant, Change, usize)>>> = (0..threads).map(|_| Mutex::default()).collect();
    let (ended, end) = mpsc::channel::<()>();
    std::thread::scope(|scope| {
        let busy = &busy;
        scope.spawn(move || {
            while end.recv_timeout(Duration::from_secs(1)) == Err(mpsc::RecvTimeoutError::Timeout) {
                for (since, change, at) in busy.iter().filter_map(|busy| *busy.lock().unwrap()) {
                    if since.elapsed() > HANG {
                        eprintln!("{}: {change:?} at {at} hangs", plan.name);
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
                while let Some((change, at)) = work.get(next.fetch_add(1, Ordering::Relaxed)).copied() {
                    let began = Instant::now();
                    *busy.lock().unwrap() = Some((began, change, at));
                    let slot = plan.spoilt == 1 && !(SLOT..PAGE).contains(&at);
                    let deep = slot || at % DEEP == 0 || (at < HEADER && at % 4 == 0);
                    let outcome = change.make(old, new, at).map(|bytes| {
                        let mut files = base.clone();
                        files[plan.spoilt] = bytes;
                        PANICKED.take();
                        let judged = || judge(&folder, plan, &files, deep, open);
                        catch_unwind(AssertUnwindSafe(judged)).unwrap_or_else(|_| Err("it panicked".into()))
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
                        // A crash alone needs no operator.
                        Some(Ok(Some(kind))) if plan.early && TORN.contains(&change) => {
                            tally.wrong.push(format!("{}: {change:?} at {at}: {kind}", plan.name));
                        }
                        Some(Ok(Some(kind))) => *tally.refused.entry(kind).or_default() += 1,
                        Some(Err(wrong)) => {
                            let panicked = panicked.unwrap_or_default();
                            tally
                                .wrong
                                .push(format!("{}: {change:?} at {at}: {wrong} {panicked}", plan.name));
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

/// Panics that the store catches are counted, not printed.
fn quiet() {
    let before = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| match std::thread::current().name() {
        Some("sweep") => PANICKED.set(Some(info.to_string())),
        _ => before(info),
    }));
}

fn all() -> bool {
    std::env::var("STORE_SWEEP").is_ok_and(|which| which == "all")
}

/// All offsets, or a part: the first `whole` bytes and the last ones, of the rest of the first page each so
/// many-th, and a few beyond.
fn offsets(length: usize, whole: usize) -> Vec<usize> {
    let all = all();
    let stride = |at: usize| if at < PAGE { PAGE_STRIDE } else { STRIDE };
    let in_part = |at: &usize| *at < whole || *at + SLOT >= length || at % stride(*at) == SEED;
    (0..length).filter(|at| all || in_part(at)).collect()
}

impl Tally {
    fn add(&mut self, other: Self) {
        self.offsets += other.offsets;
        self.opened += other.opened;
        self.panics += other.panics;
        self.same += other.same;
        self.longest = self.longest.max(other.longest);
        other.refused.into_iter().for_each(|(kind, count)| *self.refused.entry(kind).or_default() += count);
        self.wrong.extend(other.wrong);
    }
}

/// Sweeps plans of one name, and tells what came of them.
fn check(plans: &[Plan]) {
    quiet();
    let (began, mut tallies) = (Instant::now(), BTreeMap::<Change, Tally>::new());
    for plan in plans {
        for (change, tally) in sweep(plan, &open) {
            tallies.entry(change).or_default().add(tally);
        }
    }
    println!("{}, {:.1} s:", plans[0].name, began.elapsed().as_secs_f64());
    let mut wrong = vec![];
    for (change, tally) in tallies {
        let Tally { offsets, opened, refused, panics, same, wrong: found, longest } = tally;
        println!(
            "  {change:?}: {offsets} offsets, {same} as the one before, {opened} opened, \
             refused {refused:?}, {panics} panics caught, {} wrong, longest {} ms",
            found.len(),
            longest.as_millis()
        );
        wrong.extend(found.into_iter().take(5));
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn a_store_spoilt_at_any_offset_has_what_was_acknowledged_or_is_refused() {
    let (moments, closed) = moments("store", false);
    let killed = moments.last().unwrap();
    let plan = |name, last, early, whole| {
        let last: &Moment = last;
        let at = offsets(last.files[0].len(), whole);
        Plan { name, moments: &moments, last, spoilt: 0, early, changes: SPOILT, at }
    };
    check(&[plan("killed", killed, false, HEADER)]);
    check(&[plan("closed", &closed, false, HEADER)]);
    check(&[plan("early", killed, true, HEADER)]);
}

/// Each write in turn, the last of which makes the file longer: whatever a crash leaves of it opens.
#[test]
fn a_write_that_is_torn_was_made_or_was_not() {
    let (moments, _) = moments("torn", true);
    let plans = (1..moments.len()).map(|last| {
        let (moments, last) = (&moments[..=last], &moments[last]);
        let at = offsets(last.files[0].len(), SLOT);
        Plan { name: "torn", moments, last, spoilt: 0, early: true, changes: TORN, at }
    });
    let plans: Vec<_> = plans.collect();
    check(&plans);
    // A file system that kept the new header and not the new length: no other state either.
    let plan = plans.last().unwrap();
    let [old, new] = [&plan.moments[plan.moments.len() - 2].files, &plan.last.files];
    assert!(old[0].len() < new[0].len());
    let files = [new[0][..old[0].len()].to_vec(), old[1].clone()];
    println!(
        "without its new length: {:?}",
        judge(&Folder::new("short"), plan, &files, true, &open).unwrap()
    );
}

#[test]
fn a_mark_spoilt_at_any_offset_loses_nothing_that_was_shown() {
    let (moments, _) = moments("mark", false);
    let plan = |name, moments, whole| {
        let moments: &[Moment] = moments;
        let last = moments.last().unwrap();
        let at = offsets(last.files[1].len(), whole);
        Plan { name, moments, last, spoilt: 1, early: false, changes: SPOILT, at }
    };
    let other = &moments[..moments.len() - 1];
    check(&[plan("mark in one slot", &moments, SLOT)]);
    check(&[plan("mark in the other", other, SLOT)]);
}

/// The sweep finds a store that forgets its mark, one that shows what it has not promised, one that begins
/// anew, and one that panics.
#[test]
fn planted_defects_are_found() {
    quiet();
    let (moments, _) = moments("planted", false);
    let first = &moments[0].files[1];
    let unmarked = |folder: &Path| {
        fs::write(folder.join(MARK_FILE), first).unwrap();
        open(folder)
    };
    let unpromised = |folder: &Path| {
        let mark = fs::read(folder.join(MARK_FILE)).unwrap();
        let opened = open(folder);
        fs::write(folder.join(MARK_FILE), mark).unwrap();
        opened
    };
    let anew = |folder: &Path| {
        open(folder).or_else(|_| {
            for file in [STORE_FILE, MARK_FILE] {
                fs::remove_file(folder.join(file)).unwrap();
            }
            open(folder)
        })
    };
    let panics = |folder: &Path| Ok(open(folder).unwrap());
    let planted: [(_, _, Open); 4] = [
        ("older", false, &unmarked),
        ("shown, and the", true, &unpromised),
        ("vote None", false, &anew),
        ("it panicked", false, &panics),
    ];
    for (sign, early, open) in planted {
        let at = (0..HEADER).step_by(4).collect();
        let plan = Plan {
            name: "planted",
            moments: &moments,
            last: moments.last().unwrap(),
            spoilt: 0,
            early,
            changes: SPOILT,
            at,
        };
        let wrong: Vec<_> = sweep(&plan, open).into_values().flat_map(|tally| tally.wrong).collect();
        println!("planted, {sign}: {} found, such as {:?}", wrong.len(), wrong.first());
        assert!(wrong.iter().any(|wrong| wrong.contains(sign)), "{sign}: {wrong:?}");
    }
}
