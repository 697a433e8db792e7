//! The record of a fleet, with voters over loopback that lose their leader, their processes or their folders.

use std::collections::BTreeMap;
use std::fs;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hopwalk::fleet::record::store::Store;
use hopwalk::fleet::record::{
    ConfirmError, Options, Record, RecordError, Seat, Standing, SubmitError, MAX_ENTRY_BYTES,
    MAX_SNAPSHOT_BYTES,
};
use hopwalk::fleet::routes::record as routes;
use hopwalk::fleet::routes::table::{TableError, MAX_BYTES};
use hopwalk::fleet::routes::{MemberIncarnation, Refusal};
use hopwalk::fleet::state_machine::{Applied, Entry, Rejection};
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

fn run_within<T>(limit: Duration, test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { tokio::time::timeout(limit, test).await.expect("the test timed out") })
}

/// A table of about `bytes` bytes that differs for each number.
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

/// A table of [`MAX_BYTES`] in its canonical form that differs for each number.
fn longest_table(number: u64) -> String {
    let pool = r#"[{"address":"127.0.0.1:1","weight":1}]"#;
    let with_name_length = |length: usize| {
        let name = format!("{number:0>length$}");
        let route = r#"{"class":"c","pool":"a","timeout_ms":5,"tries":1,"without":false}"#;
        format!(r#"{{"pools":{{"a":{pool},"{name}":{pool}}},"routes":[{route}]}}"#)
    };
    with_name_length(10 + MAX_BYTES - with_name_length(10).len())
}

/// A running process of a voter.
struct Voter {
    record: Record,
    server: Server,
}

impl Voter {
    fn standing(&self) -> Standing {
        self.record.watch().borrow().clone()
    }

    async fn wait_until(&self, expected: &str, condition: impl Fn(&Standing) -> bool) -> Standing {
        let mut watch = self.record.watch();
        let standing = tokio::time::timeout(Duration::from_secs(20), watch.wait_for(|s| condition(s))).await;
        let standing = standing.unwrap_or_else(|_| panic!("{expected}: {:?}", self.standing())).unwrap();
        standing.clone()
    }
}

/// Folders and addresses of the voters, and the voters that are running.
struct Fleet {
    base: PathBuf,
    /// Reserved while voters stop and start on them.
    _ports: Vec<ReservedPort>,
    addresses: Vec<(String, SocketAddr)>,
    voters: BTreeMap<&'static str, Voter>,
    snapshot_interval: u64,
    election: (Duration, Duration),
    /// Delay of each vote request.
    vote_delay: Duration,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.base);
    }
}

impl Fleet {
    fn new(names: &[&'static str], snapshot_interval: u64) -> Self {
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
        Self {
            base,
            _ports: ports,
            addresses,
            voters: BTreeMap::new(),
            snapshot_interval,
            election,
            vote_delay,
        }
    }

    async fn start(&mut self, name: &'static str) -> &Voter {
        let clients = self.addresses.iter().filter(|(n, _)| n != name);
        let clients = clients
            .map(|(n, at)| (n.clone(), Client::start(LocalEnd::new("f", name), n, *at, None)))
            .collect();
        let mut options = Options::new("f", name, self.base.join(name), self.addresses.clone());
        (options.heartbeat, options.election, options.snapshot_interval) =
            (ms(100), self.election, self.snapshot_interval);
        let record = Record::open(options, clients).await.unwrap();
        let (handler_record, vote_delay) = (record.clone(), self.vote_delay);
        let handler = move |_: Arc<RequestOrigin>, request: Request| -> ResponseFuture {
            let record = handler_record.clone();
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

    async fn start_all(names: &[&'static str], snapshot_interval: u64) -> Self {
        let mut fleet = Self::new(names, snapshot_interval);
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

    /// Waits until one of the running voters is the leader and all of them know it. Returns its name.
    async fn leader(&self) -> &'static str {
        loop {
            for (name, voter) in &self.voters {
                let standing = voter.standing();
                if standing.leads {
                    let follows = |s: &Standing| s.term > standing.term || s.leader.as_deref() == Some(name);
                    for other in self.voters.values().filter(|v| v.standing().seat != Seat::Stranger) {
                        other.wait_until("follows", follows).await;
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

    /// Submits an entry to the current leader until it is applied or rejected.
    async fn submit(&self, entry: Entry) -> Result<Applied, Rejection> {
        loop {
            match self.voters[self.leader().await].record.submit(entry.clone()).await {
                Ok(outcome) => return outcome,
                // This happens on a machine under load. Submitting the same entry again is harmless.
                Err(
                    SubmitError::NotLeader { .. }
                    | SubmitError::NoMajority
                    | SubmitError::OutcomeUnknown { .. },
                ) => {
                    // Without a pause, attempts that fail at once would keep the runtime busy and delay the election.
                    tokio::time::sleep(ms(5)).await;
                }
                Err(error) => panic!("{error:?}"),
            }
        }
    }

    /// Waits until all running voters have the same state.
    async fn wait_until_equal(&self) {
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

fn proposed(version: u64) -> Result<Applied, Rejection> {
    Ok(Applied::Routes(routes::Applied::Proposed(version)))
}

#[test]
fn voters_elect_a_new_leader_after_one_stops_and_lose_no_entry() {
    run(async {
        let since = Instant::now();
        let mut fleet = Fleet::start_all(&NAMES, 1000).await;
        let first = fleet.leader().await;
        println!("from three empty folders to a leader: {} ms", since.elapsed().as_millis());
        let mut durations = Vec::new();
        for n in 1..=50 {
            let since = Instant::now();
            assert_eq!(fleet.submit(propose(n.min(5), 0)).await, proposed(n.min(5) as u64));
            durations.push(since.elapsed());
        }
        durations.sort();
        println!("an entry on two disks: 50th {:?}, 99th percentile {:?}", durations[25], durations[49]);
        // An invalid entry is rejected when it is applied, and a table proposed twice is one version.
        let unknown = Entry::Routes(routes::Entry::Prepare { version: 9, by: "o".into() });
        let rejected = routes::RecordError::UnknownVersion { version: 9 };
        assert_eq!(fleet.submit(unknown).await, Err(Rejection::Routes(rejected)));
        assert_eq!(fleet.submit(propose(5, 0)).await, proposed(5));
        fleet.wait_until_equal().await;

        let follower = &fleet.voters[fleet.others(first)[0]].record;
        let at_follower = follower.submit(propose(6, 0)).await;
        assert_eq!(at_follower, Err(SubmitError::NotLeader { leader: Some(first.into()) }));
        assert_eq!(follower.confirm().await, Err(ConfirmError::NotLeader { leader: Some(first.into()) }));
        let leader = &fleet.voters[first].record;
        let term = leader.confirm().await.unwrap();
        assert_eq!(term, leader.watch().borrow().term);
        let too_long =
            leader.submit(Entry::Routes(routes::Entry::Rollback { by: "x".repeat(MAX_ENTRY_BYTES) })).await;
        assert!(
            matches!(too_long, Err(SubmitError::TooLong { bytes }) if bytes > MAX_ENTRY_BYTES),
            "{too_long:?}"
        );

        fleet.stop(first).await;
        let since = Instant::now();
        let second = fleet.leader().await;
        println!("from the stop of a leader to the next one: {} ms", since.elapsed().as_millis());
        assert!(fleet.voters[second].record.confirm().await.unwrap() > term);
        assert!(fleet.voters[second].record.state().routes.table(5).is_some());
        assert_eq!(fleet.submit(propose(6, 0)).await, proposed(6));
        // The first leader restarts on the same folder, and then all voters do.
        assert_eq!(
            fleet.start(first).await.wait_until("is a voter", |s| s.seat == Seat::Voter).await.seat,
            Seat::Voter
        );
        fleet.wait_until_equal().await;
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
fn two_voters_with_the_same_election_timeout_elect_a_leader() {
    run(async {
        let mut fleet = Fleet::new(&NAMES, 1000);
        // In each term both become candidates within one tick of openraft (150 ms), before either receives the other's
        // vote request.
        (fleet.election, fleet.vote_delay) = ((ms(500), ms(501)), ms(160));
        for name in NAMES {
            fleet.start(name).await;
        }
        let first = fleet.leader().await;
        fleet.stop(first).await;
        let remaining = fleet.others(first);
        let voter = &fleet.voters[remaining[0]];
        let next =
            voter.wait_until("a leader", |s| s.leader.as_ref().is_some_and(|name| name != first)).await;
        assert!(remaining.contains(&next.leader.unwrap().as_str()));
    });
}

#[test]
fn the_voter_with_the_longer_log_is_elected_though_another_becomes_a_candidate_first() {
    run(async {
        let mut fleet = Fleet::new(&NAMES, 1000);
        (fleet.election, fleet.vote_delay) = ((ms(500), ms(501)), ms(160));
        for name in NAMES {
            fleet.start(name).await;
        }
        let first = fleet.leader().await;
        let remaining = fleet.others(first);
        let (shorter, longer) = (remaining[0], remaining[1]);
        fleet.stop(shorter).await;
        assert_eq!(fleet.submit(propose(1, 0)).await, proposed(1));
        fleet.wait_until_equal().await;
        fleet.stop(first).await;
        // Its new process knows of no leader, so it becomes a candidate before the other voter's leader lease expires.
        let restarted = fleet.start(shorter).await;
        let elected = |s: &Standing| s.leader.as_deref() == Some(longer);
        restarted.wait_until("the voter with the longer log leads", elected).await;
        assert_eq!(fleet.submit(propose(2, 0)).await, proposed(2));
    });
}

#[test]
fn a_leader_that_restarts_at_once_leads_in_no_term_of_its_earlier_process() {
    run(async {
        for names in [&NAMES[..], &NAMES[..1]] {
            let mut fleet = Fleet::start_all(names, 1000).await;
            for version in 1..=3 {
                let leader = fleet.leader().await;
                let term = fleet.voters[leader].standing().term;
                assert_eq!(fleet.submit(propose(version as usize, 100)).await, proposed(version));
                fleet.stop(leader).await;
                let restarted = fleet.start(leader).await;
                let standing = restarted
                    .wait_until("a leader", |s| s.leads || s.leader.is_some() && s.term > term)
                    .await;
                assert!(standing.term > term, "{standing:?} after term {term} of {leader}");
            }
            fleet.wait_until_equal().await;
        }
    });
}

#[test]
fn a_leader_without_a_majority_confirms_nothing_and_commits_nothing() {
    run(async {
        let mut fleet = Fleet::start_all(&NAMES, 1000).await;
        let leader = fleet.leader().await;
        for name in fleet.others(leader) {
            fleet.stop(name).await;
        }
        let record = &fleet.voters[leader].record;
        assert_eq!(record.confirm().await, Err(ConfirmError::NoMajority));
        loop {
            match record.submit(propose(1, 0)).await {
                Err(SubmitError::OutcomeUnknown { .. }) => {}
                Err(SubmitError::NoMajority) => break,
                other => panic!("{other:?}"),
            }
        }
        assert!(record.state().routes.table(1).is_none());
        // Once a majority is back, the entry is committed or has been overwritten by another leader; the next proposal
        // gets the next version.
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
fn a_voter_that_lost_its_folder_does_not_count_until_it_is_admitted() {
    run(async {
        let mut fleet = Fleet::start_all(&NAMES, 1000).await;
        let leader = fleet.leader().await;
        assert_eq!(fleet.submit(propose(1, 0)).await, proposed(1));
        let lost = fleet.others(leader)[0];
        let earlier_node = fleet.voters[lost].record.node();
        fleet.stop(lost).await;
        fs::remove_dir_all(fleet.base.join(lost)).unwrap();
        fs::create_dir_all(fleet.base.join(lost)).unwrap();
        fleet.start(lost).await.wait_until("is a stranger", |s| s.seat == Seat::Stranger).await;
        assert_ne!(fleet.voters[lost].record.node(), earlier_node);
        // It neither votes nor accepts entries, so one other voter together with it is no majority.
        let leader = fleet.leader().await;
        let other = fleet.others(leader).into_iter().find(|name| *name != lost).unwrap();
        fleet.stop(other).await;
        let record = &fleet.voters[leader].record;
        let submitted = record.submit(propose(2, 0)).await;
        assert!(
            matches!(submitted, Err(SubmitError::OutcomeUnknown { .. } | SubmitError::NoMajority)),
            "{submitted:?}"
        );
        assert_eq!(record.confirm().await, Err(ConfirmError::NoMajority));
        assert_eq!(
            (fleet.voters[lost].standing().applied, fleet.voters[lost].standing().seat),
            (0, Seat::Stranger)
        );
        assert_eq!(record.admit("x").await, Err(AdmitError::Unknown { name: "x".into() }));
        assert_eq!(record.admit(lost).await, Err(AdmitError::NoMajority));
        assert_eq!(record.admit(other).await, Err(AdmitError::Silent { name: other.into() }));
        let not_leader = fleet.voters[lost].record.admit(lost).await;
        assert!(matches!(not_leader, Err(AdmitError::NotLeader { .. })), "{not_leader:?}");

        fleet.start(other).await;
        loop {
            let leader = fleet.leader().await;
            match fleet.voters[leader].record.admit(lost).await {
                Ok(()) => break,
                Err(AdmitError::NotLeader { .. } | AdmitError::NoMajority) => {}
                Err(error) => panic!("{error:?}"),
            }
        }
        fleet.voters[lost].wait_until("is a voter", |s| s.seat == Seat::Voter).await;
        let leader = fleet.leader().await;
        assert_eq!(fleet.voters[leader].record.admit(lost).await, Ok(()));
        fleet.stop(if leader == lost { other } else { leader }).await;
        // It counts now: together with one of the other two voters it is a majority.
        let version = fleet.submit(propose(9, 0)).await;
        assert!(matches!(version, Ok(Applied::Routes(routes::Applied::Proposed(2..)))), "{version:?}");
        fleet.wait_until_equal().await;
    });
}

#[test]
fn a_lagging_voter_installs_a_snapshot_that_is_sent_in_parts() {
    run(async {
        let mut fleet = Fleet::start_all(&NAMES, 20).await;
        let leader = fleet.leader().await;
        let absent = fleet.others(leader)[0];
        fleet.stop(absent).await;
        // More bytes than one part of a snapshot has, and more entries than stay in the log.
        for n in 1..=30 {
            assert_eq!(fleet.submit(propose(n, 40_000)).await, proposed(n as u64));
        }
        fleet.start(absent).await;
        fleet.wait_until_equal().await;
        for name in NAMES {
            fleet.stop(name).await;
            // All voters have purged their logs, so the absent voter can have its state only from a snapshot.
            let store = Store::open(&fleet.base.join(name), "f", name, 0).unwrap();
            let (_, data) = store.snapshot().unwrap().unwrap();
            assert!(store.log_ends().unwrap().0.is_some() && data.len() > 256 << 10, "{} bytes", data.len());
            drop(store);
            fleet.start(name).await;
        }
        fleet.leader().await;
        for voter in fleet.voters.values() {
            let mut states = voter.record.watch_state();
            states.wait_for(|(_, state)| state.routes.table(30).is_some()).await.unwrap();
            assert!((1..=30).all(|version| voter.record.state().routes.table(version).is_some()));
        }
    });
}

/// An abort with the longest reason that a leader submits.
fn longest_abort(turn: u64) -> Entry {
    let life = MemberIncarnation { name: "m".repeat(64), incarnation: u64::MAX };
    let name = || "x".repeat(MAX_BYTES);
    let problem = TableError::RouteTwice { class: name(), tenant: Some(name()) };
    let why = routes::AbortReason::Refused(life, Refusal::Table { problem }.truncated());
    Entry::Routes(routes::Entry::Abort { turn, why })
}

#[test]
fn the_largest_state_fits_into_a_snapshot_that_a_voter_installs() {
    run_within(Duration::from_secs(120), async {
        let mut fleet = Fleet::start_all(&NAMES, 300).await;
        let absent = fleet.others(fleet.leader().await)[0];
        fleet.stop(absent).await;
        // Tables of the maximum length, and more of them than the state retains.
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
            // On a machine under load an entry may be submitted twice, and is rejected the second time.
            let _ = fleet.submit(Entry::Routes(begin)).await;
            let _ = fleet.submit(longest_abort(turn)).await;
        }
        // Enough further entries that a snapshot includes all of it.
        for n in 0..40 {
            let _ = fleet.submit(Entry::Routes(routes::Entry::Rollback { by: n.to_string() })).await;
        }
        fleet.wait_until_equal().await;
        let state = fleet.voters[fleet.leader().await].record.state();
        assert_eq!(state.routes.tables().count(), routes::MAX_TABLES);
        assert_eq!(state.routes.history().count(), routes::MAX_HISTORY);
        let bytes = postcard::experimental::serialized_size(&*state).unwrap();
        println!("the largest record, without experiments: {bytes} bytes of {MAX_SNAPSHOT_BYTES}");
        assert!(bytes > routes::MAX_TABLES * MAX_BYTES && bytes < 5 << 20, "{bytes}");
        let since = Instant::now();
        fleet.start(absent).await;
        fleet.wait_until_equal().await;
        println!("installed after {} ms", since.elapsed().as_millis());
        assert_eq!(*fleet.voters[absent].record.state(), *state);
        fleet.stop(absent).await;
        // Its log is purged beyond the entries that it received, so it can have that state only from the snapshot.
        let store = Store::open(&fleet.base.join(absent), "f", absent, 0).unwrap();
        let (_, data) = store.snapshot().unwrap().unwrap();
        assert!(store.log_ends().unwrap().0.is_some() && data.len() > 4 << 20, "{} bytes", data.len());
    });
}

#[test]
fn a_single_voter_keeps_a_record_and_locks_its_folder() {
    run(async {
        let mut fleet = Fleet::start_all(&["a"], 1000).await;
        assert_eq!(fleet.submit(propose(1, 0)).await, proposed(1));
        assert!(fleet.voters["a"].record.confirm().await.is_ok());
        let options = Options::new("f", "a", fleet.base.join("a"), fleet.addresses.clone());
        let in_use = Record::open(options.clone(), BTreeMap::new()).await.err().unwrap();
        assert!(matches!(in_use, RecordError::InUse { .. }), "{in_use:?}");
        let record = fleet.voters["a"].record.clone();
        fleet.stop("a").await;
        assert_eq!(record.submit(propose(2, 0)).await, Err(SubmitError::Stopped));
        assert_eq!(record.confirm().await, Err(ConfirmError::Stopped));
        assert!(record.hello().await.initialized);
        fleet.start("a").await;
        assert_eq!(fleet.submit(propose(2, 0)).await, proposed(2));

        let two_voters = Options {
            voters: vec![fleet.addresses[0].clone(), ("b".into(), fleet.addresses[0].1)],
            ..options.clone()
        };
        let not_a_voter = Options { name: "z".into(), ..options.clone() };
        let slow_heartbeat = Options { heartbeat: ms(300), ..options };
        for options in [two_voters, not_a_voter, slow_heartbeat] {
            let error = Record::open(options, BTreeMap::new()).await.err().unwrap();
            assert!(error.help().is_some(), "{error:?}");
        }
    });
}
