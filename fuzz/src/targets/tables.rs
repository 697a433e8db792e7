//! Tables against plain ones that are slow and easy to believe.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arbitrary::Unstructured;
use hopwalk::core::keys::Keys;
use hopwalk::core::{Key, KeyState};
use hopwalk::net::ports::{Ports, EVICT_AFTER, MOST_EVICTED};

#[derive(Clone, Debug)]
struct Row {
    kind: (bool, bool),
    busy: bool,
    evicted: bool,
    since: Instant,
}

/// The table of connections: who makes room is who a look at every row finds.
pub fn ports(bytes: &[u8]) {
    let mut u = Unstructured::new(bytes);
    let _ = ports_from(&mut u);
}

fn ports_from(u: &mut Unstructured) -> arbitrary::Result<()> {
    let mut now = Instant::now();
    let mut table: Ports<u64> = Ports::default();
    let mut rows: BTreeMap<u64, Row> = BTreeMap::new();
    let (mut most, mut next) = (4usize, 0u64);
    while !u.is_empty() {
        now += Duration::from_millis(u64::from(u.arbitrary::<u8>()? % 80));
        let conn = u64::from(u.arbitrary::<u8>()? % 24);
        // Who would be closed now: the least kind, the oldest, the lowest number.
        let victim = |rows: &BTreeMap<u64, Row>| {
            let rests = |r: &&Row| !r.busy && !r.evicted && now.duration_since(r.since) >= EVICT_AFTER;
            let resting = rows.iter().filter(|(_, r)| rests(r));
            resting.min_by_key(|(n, r)| (r.kind, r.since, **n)).map(|(n, _)| *n)
        };
        let open = |rows: &BTreeMap<u64, Row>| rows.values().filter(|r| !r.evicted).count();
        let gone = |rows: &BTreeMap<u64, Row>| rows.values().filter(|r| r.evicted).count();
        match u.arbitrary::<u8>()? % 8 {
            0..=2 => {
                next += 1;
                let mut closed = None;
                let taken = table.take_in(next, next, now, most, |held| closed = Some(*held));
                let full = open(&rows) >= most;
                let expected = victim(&rows).filter(|_| full && gone(&rows) < MOST_EVICTED);
                assert_eq!((taken, closed), (!full || expected.is_some(), expected));
                if let Some(closed) = closed {
                    rows.get_mut(&closed).expect("a row").evicted = true;
                }
                if taken {
                    rows.insert(next, Row { kind: (false, false), busy: false, evicted: false, since: now });
                }
            }
            3 => {
                let asked = table.asks(conn);
                let row = rows.get_mut(&conn).filter(|r| !r.evicted);
                assert_eq!(asked, row.is_some());
                row.into_iter().for_each(|r| (r.kind, r.busy) = ((true, false), true));
            }
            4 => {
                table.begins(conn);
                rows.get_mut(&conn).filter(|r| !r.evicted).into_iter().for_each(|r| r.kind.1 = true);
            }
            5 => {
                table.rests(conn, now);
                let row = rows.get_mut(&conn).filter(|r| !r.evicted);
                row.into_iter().for_each(|r| (r.busy, r.since) = (false, now));
            }
            6 => {
                table.leaves(conn);
                rows.remove(&conn);
            }
            _ => {
                most = usize::from(u.arbitrary::<u8>()? % 12) + 1;
                let mut closed = Vec::new();
                table.shrink(most, now, |held| closed.push(*held));
                let mut expected = Vec::new();
                while open(&rows) > most {
                    let Some(n) = victim(&rows) else { break };
                    rows.get_mut(&n).expect("a row").evicted = true;
                    expected.push(n);
                }
                assert_eq!(closed, expected);
            }
        }
        assert_eq!(table.len(), rows.len());
        assert!(rows.keys().all(|n| table.get(*n) == Some(n)));
    }
    rows.keys().for_each(|n| table.leaves(*n));
    assert!(table.is_empty());
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
                let repeats = table.arrived(key, next, 7, start, WINDOW);
                if let Some(ran) = mine.ran.as_ref().filter(|r| start <= r.until - Duration::from_secs(1)) {
                    assert_eq!(repeats, Some(ran.id), "a try within the window repeats the run");
                }
                mine.tries.push((next, start));
            }
            2 | 3 => {
                let Some((id, start)) = one(&mine.tries, pick) else { continue };
                let started = table.start(key, id);
                if started {
                    let clear = mine.ran.as_ref().is_none_or(|r| r.id != id && start > r.until);
                    assert!(clear, "a second run within the window of {:?}", mine.ran);
                    mine.ran = Some(Ran { id, until: start + WINDOW, result: None });
                }
            }
            4 => {
                let Some(ran) = mine.ran.as_mut() else { continue };
                let result = (pick % 2 == 0).then(|| vec![pick; usize::from(pick)]);
                table.ended(key, ran.id, result.clone().map(Into::into));
                ran.result = result;
            }
            5 => {
                let Some((id, _)) = one(&mine.tries, pick) else { continue };
                if mine.ran.as_ref().is_some_and(|r| r.id == id) {
                    table.never_ran(key, id);
                    mine.ran = None;
                }
            }
            6 => {
                let Some((id, _)) = one(&mine.tries, pick) else { continue };
                table.left(key, id);
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
                assert_eq!(table.ran(key), Some(ran.id), "forgotten while a try from its window may come");
                assert_eq!(table.result(key).as_deref(), ran.result.as_deref());
            }
        }
        // What is handed over bars the same runs in another process.
        let mut heir = Keys::default();
        for (n, state) in (1_000_000..).zip(table.all()) {
            let KeyState { key, until, .. } = state.clone();
            heir.inherit(state, n);
            assert!(heir.ran(&key) == Some(n));
            if let Some(ran) = plain[names.iter().position(|k| *k == key).expect("a key")].ran.as_ref() {
                assert!(until >= ran.until, "handed over for too short a time");
            }
            let start = until.saturating_sub(Duration::from_secs(1));
            heir.arrived(&key, 5, 7, start, WINDOW);
            assert!(!heir.start(&key, 5), "run again by the process that took over");
        }
    }
    // Nothing is left once all windows are over.
    for (key, mine) in names.iter().zip(&plain) {
        mine.tries.iter().for_each(|(id, _)| table.left(key, *id));
    }
    table.sweep(now + Duration::from_secs(60), LATENESS);
    assert_eq!((table.len(), table.result_bytes()), (0, 0));
    Ok(())
}
