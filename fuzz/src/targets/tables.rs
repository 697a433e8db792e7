//! Tables against plain ones that are slow and easy to believe.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arbitrary::Unstructured;
use hopwalk::core::keys::Keys;
use hopwalk::core::{Key, KeyState};
use hopwalk::net::connection_table::{Admission, AfterAnswer, Capacity, ConnectionTable, EVICT_AFTER};

#[derive(Clone, Debug)]
struct Row {
    kind: (bool, bool),
    busy: bool,
    closing: bool,
    closes_after_answer: bool,
    since: Instant,
}

/// A plain table: each look goes through every row.
#[derive(Default)]
struct Rows(BTreeMap<u64, Row>);

impl Rows {
    fn open(&self) -> usize {
        self.0.values().filter(|row| !row.closing).count()
    }

    fn closing(&self) -> usize {
        self.0.len() - self.open()
    }

    /// Evicts who comes first: the least kind, the oldest, the lowest number.
    fn evict(&mut self, now: Instant) -> Option<u64> {
        let may_go = |r: &&Row| !r.busy && !r.closing && now.duration_since(r.since) >= EVICT_AFTER;
        let candidates = self.0.iter().filter(|(_, row)| may_go(row));
        let conn = candidates.min_by_key(|(n, row)| (row.kind, row.since, **n)).map(|(n, _)| *n)?;
        self.0.get_mut(&conn).expect("a row").closing = true;
        Some(conn)
    }

    /// What the table is to answer, and whom it is to evict.
    fn admit(&mut self, conn: u64, now: Instant, capacity: Capacity) -> (Admission, Option<u64>) {
        let may_evict = self.open() >= capacity.open && self.closing() < capacity.spare.max(1);
        let evicted = if may_evict { self.evict(now) } else { None };
        if self.0.len() >= capacity.open + capacity.spare {
            return (Admission::Full, evicted);
        }
        let closes_after_answer = self.open() >= capacity.open;
        let row = Row { kind: (false, false), busy: false, closing: false, closes_after_answer, since: now };
        self.0.insert(conn, row);
        (Admission::Admitted, evicted)
    }
}

/// The table of connections: who makes room is who a look at every row finds.
pub fn connections(bytes: &[u8]) {
    let mut u = Unstructured::new(bytes);
    let _ = connections_from(&mut u);
}

fn connections_from(u: &mut Unstructured) -> arbitrary::Result<()> {
    let mut now = Instant::now();
    let mut table: ConnectionTable<u64> = ConnectionTable::default();
    let mut rows = Rows::default();
    let (mut capacity, mut next) = (Capacity { open: 4, spare: 2 }, 0u64);
    while !u.is_empty() {
        now += Duration::from_millis(u64::from(u.arbitrary::<u8>()? % 80));
        let conn = u64::from(u.arbitrary::<u8>()? % 24);
        match u.arbitrary::<u8>()? % 9 {
            0..=2 => {
                next += 1;
                let mut evicted = None;
                let admission = table.admit(next, next, now, capacity, |handle| evicted = Some(*handle));
                assert_eq!((admission, evicted), rows.admit(next, now, capacity));
            }
            3 => {
                let after = table.request_read(conn);
                let mut expected = AfterAnswer::Closes;
                if let Some(row) = rows.0.get_mut(&conn) {
                    row.closes_after_answer |= std::mem::take(&mut row.closing);
                    (row.kind, row.busy) = ((true, false), true);
                    if !row.closes_after_answer {
                        expected = AfterAnswer::Stays;
                    }
                }
                assert_eq!(after, expected);
            }
            4 => {
                table.part_read(conn);
                rows.0.get_mut(&conn).into_iter().for_each(|row| row.kind.1 = true);
            }
            5 => {
                table.answered(conn, now);
                rows.0.get_mut(&conn).into_iter().for_each(|row| (row.busy, row.since) = (false, now));
            }
            6 => {
                table.remove(conn);
                rows.0.remove(&conn);
            }
            7 => {
                table.begin_closing(conn);
                rows.0.get_mut(&conn).into_iter().for_each(|row| row.closing = true);
            }
            _ => {
                capacity.open = usize::from(u.arbitrary::<u8>()? % 12) + 1;
                let mut evicted = Vec::new();
                table.shrink(capacity.open, now, |handle| evicted.push(*handle));
                let mut expected = Vec::new();
                while rows.open() > capacity.open {
                    let Some(conn) = rows.evict(now) else { break };
                    expected.push(conn);
                }
                assert_eq!(evicted, expected);
            }
        }
        assert_eq!((table.len(), table.closing()), (rows.0.len(), rows.closing()));
        assert!(rows.0.iter().all(|(n, row)| table.contains(*n) && table.is_closing(*n) == row.closing));
    }
    rows.0.keys().for_each(|n| table.remove(*n));
    assert!(table.is_empty() && table.closing() == 0);
    Ok(())
}

/// A run that the table was told of.
#[derive(Clone, Debug)]
struct Ran {
    id: u32,
    until: Duration,
    result: Option<Vec<u8>>,
}

/// What the plain table knows of a key.
#[derive(Clone, Debug, Default)]
struct Plain {
    tries: Vec<(u32, Duration)>,
    ran: Option<Ran>,
}

/// The table of keys: no second run within the window of one, and results stay with their key.
pub fn keys(bytes: &[u8]) {
    let mut u = Unstructured::new(bytes);
    let _ = keys_from(&mut u);
}

fn keys_from(u: &mut Unstructured) -> arbitrary::Result<()> {
    const WINDOW: Duration = Duration::from_millis(500);
    const LATENESS: Duration = Duration::from_millis(1500);
    let names: Vec<Key> = (0..4).map(|n| Arc::from(format!("k{n}"))).collect();
    let mut table = Keys::default();
    let mut plain: Vec<Plain> = vec![Plain::default(); names.len()];
    let (mut now, mut next) = (Duration::from_secs(100), 0u32);
    while !u.is_empty() {
        now += Duration::from_millis(u64::from(u.arbitrary::<u8>()?));
        let at = usize::from(u.arbitrary::<u8>()?) % names.len();
        let (key, mine) = (&names[at], &mut plain[at]);
        let one = |tries: &[(u32, Duration)], n: u8| tries.get(usize::from(n) % tries.len().max(1)).copied();
        let pick = u.arbitrary::<u8>()?;
        match u.arbitrary::<u8>()? % 8 {
            0 | 1 => {
                next += 1;
                let start = now - Duration::from_millis(u64::from(pick));
                let repeats = table.add_try(key, next, 7, start, WINDOW);
                if let Some(ran) = mine.ran.as_ref().filter(|r| start <= r.until - Duration::from_secs(1)) {
                    assert_eq!(repeats, Some(ran.id), "a try within the window repeats the run");
                }
                mine.tries.push((next, start));
            }
            2 | 3 => {
                let Some((id, start)) = one(&mine.tries, pick) else { continue };
                let started = table.start_run(key, id);
                if started {
                    let clear = mine.ran.as_ref().is_none_or(|r| r.id != id && start > r.until);
                    assert!(clear, "a second run within the window of {:?}", mine.ran);
                    mine.ran = Some(Ran { id, until: start + WINDOW, result: None });
                }
            }
            4 => {
                let Some(ran) = mine.ran.as_mut() else { continue };
                let result = (pick % 2 == 0).then(|| vec![pick; usize::from(pick)]);
                table.end_run(key, ran.id, result.clone().map(Into::into));
                ran.result = result;
            }
            5 => {
                let Some((id, _)) = one(&mine.tries, pick) else { continue };
                if mine.ran.as_ref().is_some_and(|r| r.id == id) {
                    table.cancel_run(key, id);
                    mine.ran = None;
                }
            }
            6 => {
                let Some((id, _)) = one(&mine.tries, pick) else { continue };
                table.remove_try(key, id);
                mine.tries.retain(|(n, _)| *n != id);
            }
            _ => {
                table.sweep(now, LATENESS);
                for p in &mut plain {
                    p.ran = p.ran.take().filter(|r| {
                        now <= r.until + LATENESS + Duration::from_secs(2) || !p.tries.is_empty()
                    });
                }
            }
        }
        for (key, mine) in names.iter().zip(&plain) {
            assert_eq!(table.is_open(key), !mine.tries.is_empty(), "{key}");
            if let Some(ran) = mine.ran.as_ref().filter(|r| now <= r.until + LATENESS) {
                assert_eq!(table.run_of(key), Some(ran.id), "forgotten while a try from its window may come");
                assert_eq!(table.result(key).as_deref(), ran.result.as_deref());
            }
        }
        // What is handed over bars the same runs in another process.
        let mut heir = Keys::default();
        for (n, state) in (1_000_000..).zip(table.export()) {
            let KeyState { key, until, .. } = state.clone();
            heir.import(state, n);
            assert!(heir.run_of(&key) == Some(n));
            if let Some(ran) = plain[names.iter().position(|k| *k == key).expect("a key")].ran.as_ref() {
                assert!(until >= ran.until, "handed over for too short a time");
            }
            let start = until.saturating_sub(Duration::from_secs(1));
            heir.add_try(&key, 5, 7, start, WINDOW);
            assert!(!heir.start_run(&key, 5), "run again by the process that took over");
        }
    }
    // Nothing is left once all windows are over.
    for (key, mine) in names.iter().zip(&plain) {
        mine.tries.iter().for_each(|(id, _)| table.remove_try(key, *id));
    }
    table.sweep(now + Duration::from_secs(60), LATENESS);
    assert_eq!((table.len(), table.result_bytes()), (0, 0));
    Ok(())
}
