//! The record of a fleet: voters over loopback that lose their leader, their processes and their folders.

use std::collections::BTreeMap;
use std::fs;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hopwalk::fleet::decided::{Applied, Entry, Refused};
use hopwalk::fleet::record::store::Store;
use hopwalk::fleet::record::{
    ConfirmError, Options, Record, RecordError, Seat, Standing, SubmitError, MOST_ENTRY, MOST_SNAPSHOT,
};
use hopwalk::fleet::routes::record as routes;
use hopwalk::fleet::routes::table::{TableError, MAX_BYTES};
use hopwalk::fleet::routes::{MemberIncarnation, Refusal};
use hopwalk::fleet::wire::message::AdmitError;
use hopwalk::fleet::wire::raft::RaftRequest;
use hopwalk::fleet::wire::{Client, LocalEnd, Request, RequestOrigin, Response, ResponseFuture, Server};
use hopwalk::lab::ports::ReservedPort;
use miette::Diagnostic;

const NAMES: [&str; 3] = ["a", "b", "c"];

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn run<T>(test: impl Future<Output = T>) -> T {
    run_within(Duration::from_secs(60), test)
}

fn run_within<T>(most: Duration, test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { tokio::time::timeout(most, test).await.expect("the test hangs") })
}

/// A table of about `bytes` bytes, another one for each number.
fn table(number: usize, bytes: usize) -> String {
    let pools: Vec<_> = (0..1 + bytes / 80)
        .map(|i| format!(r#""p{i}-{number}":[{{"address":"127.0.0.1:{}","weight":1}}]"#, 1000 + i))
        .collect();
    let route = format!(r#"{{"class":"c","pool":"p0-{number}","timeout_ms":5,"tries":1}}"#);
    format!(r#"{{"pools":{{{}}},"routes":[{route}]}}"#, pools.join(","))
}

fn propose(number: usize, bytes: usize) -> Entry {
    Entry::Routes(routes::Entry::Propose { table: table(number, bytes), by: "o".into() })
}

/// A table of [`MAX_BYTES`] in its canonical form, another one for each number.
fn longest_table(number: u64) -> String {
    let pool = r#"[{"address":"127.0.0.1:1","weight":1}]"#;
    let with = |room: usize| {
        let name = format!("{number:0>room$}");
        let route = r#"{"class":"c","pool":"a","timeout_ms":5,"tries":1,"without":false}"#;
        format!(r#"{{"pools":{{"a":{pool},"{name}":{pool}}},"routes":[{route}]}}"#)
    };
    with(10 + MAX_BYTES - with(10).len())
}

/// One process of a voter.
struct Voter {
    record: Record,
    server: Server,
}

impl Voter {
    fn standing(&self) -> Standing {
        self.record.watch().borrow().clone()
    }

    async fn until(&self, what: &str, met: impl Fn(&Standing) -> bool) -> Standing {
        let mut watch = self.record.watch();
        let standing = tokio::time::timeout(Duration::from_secs(20), watch.wait_for(|s| met(s))).await;
        let standing = standing.unwrap_or_else(|_| panic!("{what}: {:?}", self.standing())).unwrap();
        standing.clone()
    }
}

/// Folders and addresses of voters, and the processes that are there now.
struct Fleet {
    base: PathBuf,
    /// Held while voters come and go on them.
    _ports: Vec<ReservedPort>,
    addresses: Vec<(String, SocketAddr)>,
    voters: BTreeMap<&'static str, Voter>,
    entries: u64,
    election: (Duration, Duration),
    /// Each request for a vote is on its way for so long.
    vote_delay: Duration,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.base);
    }
}

impl Fleet {
    fn new(names: &[&'static str], entries: u64) -> Self {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let base = std::env::temp_dir().join(format!("hopwalk-record-{}-{number}", std::process::id()));
        let mut addresses = Vec::new();
        let mut ports = Vec::new();
        for name in names {
            fs::create_dir_all(base.join(name)).unwrap();
            let port = ReservedPort::any().unwrap();
            addresses.push((name.to_string(), port.address()));
            ports.push(port);
        }
        let (election, vote_delay) = ((ms(500), ms(1000)), Duration::ZERO);
        Self { base, _ports: ports, addresses, voters: BTreeMap::new(), entries, election, vote_delay }
    }

    async fn start(&mut self, name: &'static str) -> &Voter {
        let clients = self.addresses.iter().filter(|(n, _)| n != name);
        let clients = clients
            .map(|(n, at)| (n.clone(), Client::start(LocalEnd::new("f", name), n, *at, None)))
            .collect();
        let mut options = Options::new("f", name, self.base.join(name), self.addresses.clone());
        (options.heartbeat, options.election, options.entries) = (ms(100), self.election, self.entries);
        let record = Record::open(options, clients).await.unwrap();
        let (served, vote_delay) = (record.clone(), self.vote_delay);
        let handler = move |_: Arc<RequestOrigin>, request: Request| -> ResponseFuture {
            let record = served.clone();
            Box::pin(async move {
                match request {
                    Request::Hello => Response::Hello(record.hello().await),
                    Request::Raft { to, request } => {
                        if matches!(*request, RaftRequest::Vote(_)) {
                            tokio::time::sleep(vote_delay).await;
                        }
                        Response::Raft(Box::new(record.serve(to, *request).await))
                    }
                    _ => Response::Busy,
                }
            })
        };
        let address = self.addresses.iter().find(|(n, _)| n == name).unwrap().1;
        let server = Server::start(address, LocalEnd::new("f", name), handler).await.unwrap();
        self.voters.insert(name, Voter { record, server });
        &self.voters[name]
    }

    async fn all(names: &[&'static str], entries: u64) -> Self {
        let mut fleet = Self::new(names, entries);
        for name in names {
            fleet.start(name).await;
        }
        fleet
    }

    async fn stop(&mut self, name: &str) {
        let voter = self.voters.remove(name).unwrap();
        drop(voter.server);
        voter.record.close().await;
    }

    /// Waits until one of the voters that run leads, and all of them know it.
    async fn leader(&self) -> &'static str {
        loop {
            for (name, voter) in &self.voters {
                let standing = voter.standing();
                if standing.leads {
                    let follows = |s: &Standing| s.term > standing.term || s.leader.as_deref() == Some(name);
                    for other in self.voters.values().filter(|v| v.standing().seat != Seat::Stranger) {
                        other.until("follows", follows).await;
                    }
                    if voter.standing() == standing {
                        return name;
                    }
                }
            }
            tokio::time::sleep(ms(5)).await;
        }
    }

    fn others(&self, name: &str) -> Vec<&'static str> {
        self.voters.keys().copied().filter(|n| *n != name).collect()
    }

    /// Puts an entry into the log, whoever leads.
    async fn submit(&self, entry: Entry) -> Result<Applied, Refused> {
        loop {
            match self.voters[self.leader().await].record.submit(entry.clone()).await {
                Ok(outcome) => return outcome,
                // A machine under load makes it wait: the same entry once more does no harm.
                Err(SubmitError::NotLeader { .. } | SubmitError::NoMajority | SubmitError::Unsure { .. }) => {
                    // One that is told at once would ask again without end, and hold up all that it waits for.
                    tokio::time::sleep(ms(5)).await;
                }
                Err(error) => panic!("{error:?}"),
            }
        }
    }

    /// Waits until all that run have come to the same.
    async fn same(&self) {
        let state = |voter: &Voter| (voter.record.state(), voter.standing().applied);
        let differs = || {
            let mut states = self.voters.values().map(state);
            let first = states.next();
            states.any(|state| Some(state) != first)
        };
        while differs() {
            tokio::time::sleep(ms(5)).await;
        }
    }
}

fn proposed(version: u64) -> Result<Applied, Refused> {
    Ok(Applied::Routes(routes::Applied::Proposed(version)))
}

#[test]
fn voters_elect_and_go_on_without_their_leader_and_lose_nothing() {
    run(async {
        let since = Instant::now();
        let mut fleet = Fleet::all(&NAMES, 1000).await;
        let first = fleet.leader().await;
        println!("from three empty folders to a leader: {} ms", since.elapsed().as_millis());
        let mut took = Vec::new();
        for n in 1..=50 {
            let since = Instant::now();
            assert_eq!(fleet.submit(propose(n.min(5), 0)).await, proposed(n.min(5) as u64));
            took.push(since.elapsed());
        }
        took.sort();
        println!("an entry on two disks: 50th {:?}, 99th percentile {:?}", took[25], took[49]);
        // What does not fit is refused by the log, and one table put twice is one version.
        let unknown = Entry::Routes(routes::Entry::Prepare { version: 9, by: "o".into() });
        let refused = routes::RecordError::UnknownVersion { version: 9 };
        assert_eq!(fleet.submit(unknown).await, Err(Refused::Routes(refused)));
        assert_eq!(fleet.submit(propose(5, 0)).await, proposed(5));
        fleet.same().await;

        let follower = &fleet.voters[fleet.others(first)[0]].record;
        let not = follower.submit(propose(6, 0)).await;
        assert_eq!(not, Err(SubmitError::NotLeader { leader: Some(first.into()) }));
        assert_eq!(follower.confirm().await, Err(ConfirmError::NotLeader { leader: Some(first.into()) }));
        let leader = &fleet.voters[first].record;
        let term = leader.confirm().await.unwrap();
        assert_eq!(term, leader.watch().borrow().term);
        let long = leader.submit(Entry::Routes(routes::Entry::Rollback { by: "x".repeat(MOST_ENTRY) })).await;
        assert!(matches!(long, Err(SubmitError::TooLong { bytes }) if bytes > MOST_ENTRY), "{long:?}");

        fleet.stop(first).await;
        let since = Instant::now();
        let second = fleet.leader().await;
        println!("from a leader's end to the next one: {} ms", since.elapsed().as_millis());
        assert!(fleet.voters[second].record.confirm().await.unwrap() > term);
        assert!(fleet.voters[second].record.state().routes.table(5).is_some());
        assert_eq!(fleet.submit(propose(6, 0)).await, proposed(6));
        // Back from the same folder, and all of them once more.
        assert_eq!(
            fleet.start(first).await.until("has its seat", |s| s.seat == Seat::Voter).await.seat,
            Seat::Voter
        );
        fleet.same().await;
        for name in NAMES {
            fleet.stop(name).await;
        }
        for name in NAMES {
            fleet.start(name).await;
        }
        assert_eq!(fleet.submit(propose(7, 0)).await, proposed(7));
    });
}

#[test]
fn two_voters_with_one_election_timeout_elect_a_leader() {
    run(async {
        let mut fleet = Fleet::new(&NAMES, 1000);
        // Both stand within a tick of openraft (150 ms), before either hears of the other, in each term.
        (fleet.election, fleet.vote_delay) = ((ms(500), ms(501)), ms(160));
        for name in NAMES {
            fleet.start(name).await;
        }
        let first = fleet.leader().await;
        fleet.stop(first).await;
        let rest = fleet.others(first);
        let left = &fleet.voters[rest[0]];
        let next = left.until("a leader", |s| s.leader.as_ref().is_some_and(|name| name != first)).await;
        assert!(rest.contains(&next.leader.unwrap().as_str()));
    });
}

#[test]
fn the_voter_with_the_longer_log_is_elected_beside_one_that_stands_first() {
    run(async {
        let mut fleet = Fleet::new(&NAMES, 1000);
        (fleet.election, fleet.vote_delay) = ((ms(500), ms(501)), ms(160));
        for name in NAMES {
            fleet.start(name).await;
        }
        let first = fleet.leader().await;
        let rest = fleet.others(first);
        let (shorter, longer) = (rest[0], rest[1]);
        fleet.stop(shorter).await;
        assert_eq!(fleet.submit(propose(1, 0)).await, proposed(1));
        fleet.same().await;
        fleet.stop(first).await;
        // It knows of no leader in its life, so it stands before the other one's lease is over.
        let left = fleet.start(shorter).await;
        let elected = |s: &Standing| s.leader.as_deref() == Some(longer);
        left.until("the voter with the longer log leads", elected).await;
        assert_eq!(fleet.submit(propose(2, 0)).await, proposed(2));
    });
}

#[test]
fn a_leader_that_is_started_again_at_once_leads_in_no_term_of_its_earlier_process() {
    run(async {
        for names in [&NAMES[..], &NAMES[..1]] {
            let mut fleet = Fleet::all(names, 1000).await;
            for version in 1..=3 {
                let leader = fleet.leader().await;
                let term = fleet.voters[leader].standing().term;
                assert_eq!(fleet.submit(propose(version as usize, 100)).await, proposed(version));
                fleet.stop(leader).await;
                let again = fleet.start(leader).await;
                let standing =
                    again.until("a leader", |s| s.leads || s.leader.is_some() && s.term > term).await;
                assert!(standing.term > term, "{standing:?} after term {term} of {leader}");
            }
            fleet.same().await;
        }
    });
}

#[test]
fn a_leader_without_a_majority_confirms_and_takes_nothing() {
    run(async {
        let mut fleet = Fleet::all(&NAMES, 1000).await;
        let leader = fleet.leader().await;
        for name in fleet.others(leader) {
            fleet.stop(name).await;
        }
        let record = &fleet.voters[leader].record;
        assert_eq!(record.confirm().await, Err(ConfirmError::NoMajority));
        loop {
            match record.submit(propose(1, 0)).await {
                Err(SubmitError::Unsure { .. }) => {}
                Err(SubmitError::NoMajority) => break,
                other => panic!("{other:?}"),
            }
        }
        assert!(record.state().routes.table(1).is_none());
        // It is taken once a majority is back, or another leader wrote over it; what follows is in order.
        for name in NAMES {
            if name != leader {
                fleet.start(name).await;
            }
        }
        let version = fleet.submit(propose(3, 0)).await;
        assert!(version == proposed(1) || version == proposed(2), "{version:?}");
    });
}

#[test]
fn a_voter_whose_folder_is_gone_does_not_count_until_it_is_admitted() {
    run(async {
        let mut fleet = Fleet::all(&NAMES, 1000).await;
        let leader = fleet.leader().await;
        assert_eq!(fleet.submit(propose(1, 0)).await, proposed(1));
        let lost = fleet.others(leader)[0];
        let before = fleet.voters[lost].record.node();
        fleet.stop(lost).await;
        fs::remove_dir_all(fleet.base.join(lost)).unwrap();
        fs::create_dir_all(fleet.base.join(lost)).unwrap();
        fleet.start(lost).await.until("is a stranger", |s| s.seat == Seat::Stranger).await;
        assert_ne!(fleet.voters[lost].record.node(), before);
        // Beside it one voter is no majority: it neither votes nor takes entries.
        let leader = fleet.leader().await;
        let other = fleet.others(leader).into_iter().find(|name| *name != lost).unwrap();
        fleet.stop(other).await;
        let record = &fleet.voters[leader].record;
        let alone = record.submit(propose(2, 0)).await;
        assert!(matches!(alone, Err(SubmitError::Unsure { .. } | SubmitError::NoMajority)), "{alone:?}");
        assert_eq!(record.confirm().await, Err(ConfirmError::NoMajority));
        assert_eq!(
            (fleet.voters[lost].standing().applied, fleet.voters[lost].standing().seat),
            (0, Seat::Stranger)
        );
        assert_eq!(record.admit("x").await, Err(AdmitError::Unknown { name: "x".into() }));
        assert_eq!(record.admit(lost).await, Err(AdmitError::NoMajority));
        assert_eq!(record.admit(other).await, Err(AdmitError::Silent { name: other.into() }));
        let not = fleet.voters[lost].record.admit(lost).await;
        assert!(matches!(not, Err(AdmitError::NotLeader { .. })), "{not:?}");

        fleet.start(other).await;
        loop {
            let leader = fleet.leader().await;
            match fleet.voters[leader].record.admit(lost).await {
                Ok(()) => break,
                Err(AdmitError::NotLeader { .. } | AdmitError::NoMajority) => {}
                Err(error) => panic!("{error:?}"),
            }
        }
        fleet.voters[lost].until("is a voter", |s| s.seat == Seat::Voter).await;
        let leader = fleet.leader().await;
        assert_eq!(fleet.voters[leader].record.admit(lost).await, Ok(()));
        fleet.stop(if leader == lost { other } else { leader }).await;
        // It counts: with one more of the three there is a majority.
        let version = fleet.submit(propose(9, 0)).await;
        assert!(matches!(version, Ok(Applied::Routes(routes::Applied::Proposed(2..)))), "{version:?}");
        fleet.same().await;
    });
}

#[test]
fn a_voter_that_lags_takes_a_snapshot_in_parts() {
    run(async {
        let mut fleet = Fleet::all(&NAMES, 20).await;
        let leader = fleet.leader().await;
        let away = fleet.others(leader)[0];
        fleet.stop(away).await;
        // More than a part of a snapshot, and more entries than are kept.
        for n in 1..=30 {
            assert_eq!(fleet.submit(propose(n, 40_000)).await, proposed(n as u64));
        }
        fleet.start(away).await;
        fleet.same().await;
        for name in NAMES {
            fleet.stop(name).await;
            // All purged their logs, so the one that was away can only have it from a snapshot.
            let store = Store::open(&fleet.base.join(name), "f", name, 0).unwrap();
            let (_, data) = store.snapshot().unwrap().unwrap();
            assert!(store.ends().unwrap().0.is_some() && data.len() > 256 << 10, "{} bytes", data.len());
            drop(store);
            fleet.start(name).await;
        }
        fleet.leader().await;
        for voter in fleet.voters.values() {
            let mut states = voter.record.states();
            states.wait_for(|(_, state)| state.routes.table(30).is_some()).await.unwrap();
            assert!((1..=30).all(|version| voter.record.state().routes.table(version).is_some()));
        }
    });
}

/// An abort with the longest reason that a leader puts into the log.
fn longest_abort(turn: u64) -> Entry {
    let life = MemberIncarnation { name: "m".repeat(64), incarnation: u64::MAX };
    let name = || "x".repeat(MAX_BYTES);
    let problem = TableError::RouteTwice { class: name(), tenant: Some(name()) };
    let why = routes::AbortReason::Refused(life, Refusal::Table { problem }.truncated());
    Entry::Routes(routes::Entry::Abort { turn, why })
}

#[test]
fn the_largest_record_makes_a_snapshot_and_installs_it() {
    run_within(Duration::from_secs(120), async {
        let mut fleet = Fleet::all(&NAMES, 300).await;
        let away = fleet.others(fleet.leader().await)[0];
        fleet.stop(away).await;
        // Each as long as a table may be, and more of them than are kept.
        for n in 1..=routes::MAX_TABLES as u64 + 4 {
            let entry =
                routes::Entry::Propose { table: longest_table(n), by: "o".repeat(routes::MAX_OPERATOR_NAME) };
            assert_eq!(entry.bounded(), Ok(()));
            assert_eq!(fleet.submit(Entry::Routes(entry)).await, proposed(n));
        }
        for turn in 1..=routes::MAX_HISTORY as u64 + 4 {
            let by = format!("{turn:0>width$}", width = routes::MAX_OPERATOR_NAME);
            let begin = routes::Entry::Prepare { version: 10, by };
            assert_eq!(begin.bounded(), Ok(()));
            // On a machine under load one may be put twice, and is refused the second time.
            let _ = fleet.submit(Entry::Routes(begin)).await;
            let _ = fleet.submit(longest_abort(turn)).await;
        }
        // Until a snapshot was made of all of it.
        for n in 0..40 {
            let _ = fleet.submit(Entry::Routes(routes::Entry::Rollback { by: n.to_string() })).await;
        }
        fleet.same().await;
        let state = fleet.voters[fleet.leader().await].record.state();
        assert_eq!(state.routes.tables().count(), routes::MAX_TABLES);
        assert_eq!(state.routes.history().count(), routes::MAX_HISTORY);
        let bytes = postcard::experimental::serialized_size(&*state).unwrap();
        println!("the largest record, without experiments: {bytes} bytes of {MOST_SNAPSHOT}");
        assert!(bytes > routes::MAX_TABLES * MAX_BYTES && bytes < 5 << 20, "{bytes}");
        let since = Instant::now();
        fleet.start(away).await;
        fleet.same().await;
        println!("installed after {} ms", since.elapsed().as_millis());
        assert_eq!(*fleet.voters[away].record.state(), *state);
        fleet.stop(away).await;
        // Its log was purged up to what it never had: it has that from the snapshot.
        let store = Store::open(&fleet.base.join(away), "f", away, 0).unwrap();
        let (_, data) = store.snapshot().unwrap().unwrap();
        assert!(store.ends().unwrap().0.is_some() && data.len() > 4 << 20, "{} bytes", data.len());
    });
}

#[test]
fn one_voter_is_a_record_of_its_own_and_its_folder_is_held() {
    run(async {
        let mut fleet = Fleet::all(&["a"], 1000).await;
        assert_eq!(fleet.submit(propose(1, 0)).await, proposed(1));
        assert!(fleet.voters["a"].record.confirm().await.is_ok());
        let options = Options::new("f", "a", fleet.base.join("a"), fleet.addresses.clone());
        let held = Record::open(options.clone(), BTreeMap::new()).await.err().unwrap();
        assert!(matches!(held, RecordError::Held { .. }), "{held:?}");
        let record = fleet.voters["a"].record.clone();
        fleet.stop("a").await;
        assert_eq!(record.submit(propose(2, 0)).await, Err(SubmitError::Stopped));
        assert_eq!(record.confirm().await, Err(ConfirmError::Stopped));
        assert!(record.hello().await.initialized);
        fleet.start("a").await;
        assert_eq!(fleet.submit(propose(2, 0)).await, proposed(2));

        let two = Options {
            voters: vec![fleet.addresses[0].clone(), ("b".into(), fleet.addresses[0].1)],
            ..options.clone()
        };
        let none = Options { name: "z".into(), ..options.clone() };
        let pace = Options { heartbeat: ms(300), ..options };
        for options in [two, none, pace] {
            let error = Record::open(options, BTreeMap::new()).await.err().unwrap();
            assert!(error.help().is_some(), "{error:?}");
        }
    });
}
