//! The driver of the fleet's routes: several drivers in one process, connected over loopback, with records on disk.
//! Orders are submitted as the admin endpoint submits them, and calls are routed as the serving path routes them.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hopwalk::fleet::driver::{Driver, Options};
use hopwalk::fleet::experiment::counts::Kind;
use hopwalk::fleet::experiment::Experiment;
use hopwalk::fleet::routes::record::{Applied, Entry, RecordError};
use hopwalk::fleet::routes::table::KnownNames;
use hopwalk::fleet::routes::{LeaseReply, LeaseRequest};
use hopwalk::fleet::routing::{Call, Order, OrderError, RouteDecision, RouteState};
use hopwalk::fleet::state_machine::{self, Rejection};
use hopwalk::fleet::wire::message::Running;
use hopwalk::fleet::wire::{Client, LocalEnd, Request, RequestOrigin, Response, ResponseFuture, Server};
use hopwalk::lab::ports::ReservedPort;
use hopwalk::lab::stand_in::wait_until;
use serde_json::Value;

static NEXT_FLEET: AtomicU64 = AtomicU64::new(1);
const TIMEOUT: Duration = Duration::from_secs(20);

struct Fleet {
    folder: PathBuf,
    /// Reserved while members start and stop on them.
    _ports: Vec<ReservedPort>,
    voters: Vec<(String, SocketAddr)>,
    services: Vec<TcpListener>,
    drivers: Vec<Driver>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.drivers.iter().for_each(Driver::stop);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

impl Fleet {
    /// Starts this many voters, and one member that does not vote.
    fn start(voters: usize) -> Self {
        let n = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("hopwalk-driver-test-{}-{n}", std::process::id()));
        let ports: Vec<_> = (0..voters).map(|_| ReservedPort::any().unwrap()).collect();
        let voter = |(at, port): (usize, &ReservedPort)| (format!("m{}", at + 1), port.address());
        let names = ports.iter().enumerate().map(voter).collect();
        let services = vec![listener(), listener()];
        let mut fleet = Self { folder, _ports: ports, voters: names, services, drivers: Vec::new() };
        for at in 0..=voters {
            std::fs::create_dir_all(fleet.folder.join(format!("m{}", at + 1))).unwrap();
            let driver = fleet.driver(at);
            fleet.drivers.push(driver);
        }
        fleet
    }

    fn driver(&self, at: usize) -> Driver {
        let name = format!("m{}", at + 1);
        let record = self.voters.get(at).map(|(_, listen)| (self.folder.join(&name), *listen));
        let known = KnownNames { classes: ["seat".to_string()].into(), tenants: [].into() };
        let (voters, fleet) = (self.voters.clone(), "test".into());
        Driver::start(Options { name, fleet, voters, record, known, clock_fault: None }).unwrap()
    }

    /// Waits until the condition holds at all drivers.
    fn wait(&self, what: &str, mut condition: impl FnMut(&Driver) -> bool) {
        let all = || self.drivers.iter().all(&mut condition);
        if !wait_until(TIMEOUT, all) {
            let shown: Vec<_> = (0..self.drivers.len()).map(|at| self.order(at, Order::Show)).collect();
            panic!("{what} did not happen: {shown:#?}");
        }
    }

    fn order(&self, at: usize, order: Order) -> Result<Value, OrderError> {
        let answer = self.drivers[at].routing().order(order, "anna").recv_timeout(TIMEOUT).unwrap();
        answer.map(|text| serde_json::from_str(&text).unwrap())
    }

    fn table(&self, service: usize) -> String {
        let at = self.services[service].local_addr().unwrap();
        format!(
            r#"{{"pools":{{"a":[{{"address":"{at}","weight":1}}]}},
                "routes":[{{"class":"seat","pool":"a","timeout_ms":100,"tries":2}}]}}"#
        )
    }

    /// Waits until the record has completed a switch, which is slightly later than at the members.
    fn wait_for_completion(&self, at: usize) {
        let done = || {
            let shown = self.order(at, Order::Show).unwrap();
            shown["fleet"].is_object() && shown["fleet"]["pending"].is_null()
        };
        assert!(wait_until(TIMEOUT, done), "the activation does not complete");
    }

    fn leader(&self) -> usize {
        let shown = self.order(0, Order::Show).unwrap();
        let name = shown["fleet"]["leader"].as_str().unwrap().to_string();
        self.voters.iter().position(|(n, _)| *n == name).unwrap()
    }
}

fn route(driver: &Driver) -> RouteDecision {
    driver.routing().route(&Call { class: "seat".into(), ..Call::default() })
}

fn turn(driver: &Driver) -> Option<u64> {
    match route(driver) {
        RouteDecision::Allowed { fence, .. } => Some(fence.turn),
        _ => None,
    }
}

#[test]
fn a_table_is_switched_at_one_moment_by_orders_at_any_member() {
    let fleet = Fleet::start(3);
    fleet.wait("a lease under turn 0", |d| turn(d) == Some(0));
    assert_eq!(fleet.order(3, Order::Propose { table: fleet.table(0) }).unwrap()["version"], 1);
    let bad = fleet.table(0).replace("seat", "boat");
    let refused = fleet.order(3, Order::Propose { table: bad });
    assert!(
        matches!(refused, Err(OrderError::Refused(Rejection::Routes(RecordError::Table { .. })))),
        "{refused:?}"
    );
    assert_eq!(fleet.order(1, Order::Activate { version: 1 }).unwrap()["turn"], 1);
    let busy = fleet.order(2, Order::Activate { version: 1 });
    assert!(
        matches!(&busy, Err(OrderError::Refused(Rejection::Routes(RecordError::Busy { version: 1, by })))
            if by.starts_with("anna at m2")),
        "{busy:?}"
    );
    // One thread routes calls at all drivers in turn: once a driver routes under turn 1, none may route under turn 0.
    let (began, mut newest, mut first) = (Instant::now(), 0, None);
    let mut switched = [false; 4];
    while switched.contains(&false) {
        assert!(began.elapsed() < TIMEOUT, "no switch: {:#?}", fleet.order(0, Order::Show));
        for (at, driver) in fleet.drivers.iter().enumerate() {
            let Some(turn) = turn(driver) else { continue };
            assert!(turn >= newest, "m{} routes under {turn} after {newest}", at + 1);
            if turn > newest {
                (newest, first) = (turn, Some(Instant::now()));
            }
            switched[at] = turn == 1;
        }
    }
    println!("all switched {} us after the first", first.unwrap().elapsed().as_micros());
    let address = |driver: &Driver| match route(driver) {
        RouteDecision::Allowed { address, .. } => address,
        _ => None,
    };
    assert!(fleet.drivers.iter().all(|d| address(d) == fleet.services[0].local_addr().ok()));
    // Calls are routed by the clock; the thread that updates the metrics may be slightly late.
    fleet.wait("the metric", |d| d.routing().metrics().contains("hopwalk_fleet_turn 1"));
}

#[test]
fn a_rollback_succeeds_after_the_leader_has_left() {
    let mut fleet = Fleet::start(3);
    fleet.wait("a lease", |d| turn(d) == Some(0));
    for service in 0..2 {
        let version =
            fleet.order(0, Order::Propose { table: fleet.table(service) }).unwrap()["version"].as_u64();
        let version = version.unwrap();
        fleet.order(3, Order::Activate { version }).unwrap();
        fleet.wait("the switch", |d| turn(d) == Some(version));
        fleet.wait_for_completion(3);
    }
    let leader = fleet.leader();
    let stopped = fleet.drivers.remove(leader);
    stopped.stop();
    let at = fleet.drivers.len() - 1;
    // The next leader executes the order; the stopped member delays it for no longer than its lease.
    assert_eq!(fleet.order(at, Order::Rollback).unwrap()["turn"], 3);
    fleet.wait("the rollback", |d| turn(d) == Some(3));
    fleet.wait_for_completion(at);
    assert_eq!(fleet.order(at, Order::Show).unwrap()["fleet"]["active"]["version"], 1);
    // The member is started again as a new incarnation with its record, and gets the active turn.
    let restarted = fleet.driver(leader);
    fleet.drivers.push(restarted);
    fleet.wait("the lease of the restarted member", |d| turn(d) == Some(3));
    let history = fleet.order(0, Order::History).unwrap();
    assert_eq!(history["activations"].as_array().unwrap().len(), 3);
}

#[test]
fn an_unreachable_service_aborts_a_prepare_and_a_later_abort_is_refused() {
    let fleet = Fleet::start(1);
    fleet.wait("a lease", |d| turn(d) == Some(0));
    let service = fleet.services[1].local_addr().unwrap().to_string();
    let table = fleet.table(1).replace(&service, "127.0.0.1:1");
    fleet.order(0, Order::Propose { table }).unwrap();
    fleet.order(0, Order::Activate { version: 1 }).unwrap();
    let aborted = || {
        let history = fleet.order(1, Order::History).unwrap();
        let last = history["activations"].as_array().unwrap().last()?.clone();
        Some(last["aborted"]["because"].as_str()?.to_string())
    };
    assert!(wait_until(TIMEOUT, || aborted().is_some()), "no abort");
    assert_eq!(aborted().unwrap(), "no connection to 127.0.0.1:1");
    let refused = fleet.order(0, Order::Abort);
    assert!(matches!(refused, Err(OrderError::Refused(Rejection::Routes(RecordError::NotPending { .. })))));
    assert!(fleet.drivers.iter().all(|d| turn(d) == Some(0)));
}

#[test]
fn an_order_repeated_before_it_is_applied_gets_the_same_result() {
    // Guards against refusing an order as busy because of its own first submission, which the member has repeated.
    let fleet = Fleet::start(1);
    fleet.wait("a lease", |d| turn(d) == Some(0));
    fleet.order(0, Order::Propose { table: fleet.table(0) }).unwrap();
    let (name, address) = fleet.voters[0].clone();
    let prepare = Entry::Prepare { version: 1, by: "anna at m2, number 1".into() };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let answers = runtime.block_on(async {
        let client = Client::start(LocalEnd::new("test", "m2"), &name, address, None);
        let request = Request::Submit(state_machine::Entry::Routes(prepare));
        let submit = || client.request(&request, TIMEOUT);
        // The disk is slower than the link: the second request arrives while the entry of the first is being written.
        tokio::join!(submit(), submit())
    });
    for answer in [answers.0, answers.1] {
        let moved = state_machine::Applied::Routes(Applied::Moved(1));
        assert!(matches!(&answer, Ok(Response::Submitted(Ok(applied))) if *applied == moved), "{answer:?}");
    }
}

#[test]
fn an_outdated_report_of_the_running_experiment_is_ignored() {
    // Guards against a late answer that restarts or drops the counts of an experiment.
    let port = ReservedPort::any().unwrap();
    let (voters, record, clock_fault) = (vec![("m1".to_string(), port.address())], None, None);
    let known = KnownNames { classes: ["seat".to_string()].into(), tenants: [].into() };
    let (name, fleet) = ("m2".into(), "test".to_string());
    let options = Options { name, fleet: fleet.clone(), voters, record, known, clock_fault };
    let document = r#"{"name":"e","salt":[1,2],"arms":[{"name":"old","share":0.5},{"name":"new","share":0.5}],
        "alpha":0.05,"harm_alpha":0.01,"split_alpha":0.001,"harm_margin":0.5,"start_ms":1,"block_ms":200,
        "longest_ms":20000,"grace_ms":1000,"least_blocks":10}"#;
    let experiment: Experiment = serde_json::from_str(document).unwrap();
    let running = Running { experiment, closed: 0, members: ["m2".to_string()].into() };
    // Whether the first ask has arrived, the number of reports, and whether the first ask was answered.
    let (first, reports, late) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let progress = std::sync::Arc::new((first, reports, late));
    let observed = progress.clone();
    let answer = move |ask: LeaseRequest, running| {
        let (time, lease) = (Duration::from_secs(1), Duration::ZERO);
        let reply = LeaseReply { number: ask.number, term: 1, time, lease, active: None, pending: None };
        Response::Reply { reply: Box::new(reply), running }
    };
    let handler = move |_: std::sync::Arc<RequestOrigin>, request: Request| -> ResponseFuture {
        let (progress, running) = (progress.clone(), running.clone());
        Box::pin(async move {
            let (first, reports, late) = &*progress;
            match request {
                Request::Ask(ask) if first.swap(1, Ordering::SeqCst) == 0 => {
                    // No experiment ran when this ask was sent. Its answer is held back until a later answer has
                    // reported the experiment.
                    while reports.load(Ordering::SeqCst) == 0 {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                    late.store(1, Ordering::SeqCst);
                    answer(ask, None)
                }
                Request::Ask(ask) if late.load(Ordering::SeqCst) == 0 => answer(ask, Some(Box::new(running))),
                Request::Counts(_) => {
                    reports.fetch_add(1, Ordering::SeqCst);
                    Response::Counted(true)
                }
                _ => Response::Busy,
            }
        })
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let server =
        runtime.block_on(Server::start(port.address(), LocalEnd::new(&*fleet, "m1"), handler)).unwrap();
    let driver = Driver::start(options).unwrap();
    let reports = || observed.1.load(Ordering::SeqCst);
    assert!(wait_until(TIMEOUT, || observed.2.load(Ordering::SeqCst) == 1), "the first ask is answered");
    let before = reports();
    assert!(wait_until(TIMEOUT, || reports() >= before + 3), "it continues to report counts");
    driver.stop();
    drop(server);
}

#[test]
fn another_process_of_a_matcher_takes_over_the_record_without_losing_a_lease() {
    let mut fleet = Fleet::start(1);
    fleet.wait("a lease", |d| turn(d) == Some(0));
    let successor = fleet.driver(0);
    assert!(
        wait_until(TIMEOUT, || turn(&successor) == Some(0)),
        "the successor has a lease while the predecessor votes"
    );
    fleet.order(0, Order::Propose { table: fleet.table(0) }).unwrap();
    fleet.drivers[0].release_record();
    let leads = || successor.routing().metrics().contains("hopwalk_fleet_leads 1");
    assert!(wait_until(TIMEOUT, || {
        assert_eq!(turn(&fleet.drivers[0]), Some(0), "the predecessor keeps its lease");
        leads()
    }));
    fleet.drivers.push(successor);
    let at = fleet.drivers.len() - 1;
    fleet.order(at, Order::Activate { version: 1 }).unwrap();
    fleet.wait("the switch at both processes and the member", |d| turn(d) == Some(1));
}

#[test]
fn without_a_majority_no_call_is_made_and_orders_fail() {
    let mut fleet = Fleet::start(3);
    fleet.wait("a lease", |d| turn(d) == Some(0));
    let remaining = fleet.drivers.split_off(2);
    fleet.drivers.drain(..).for_each(|d| d.stop());
    fleet.drivers = remaining;
    fleet.wait("the end of the lease", |d| route(d) == RouteDecision::Barred && !d.routing().ready());
    assert_eq!(fleet.drivers[0].routing().route_states(&["seat".to_string()]), [RouteState::Closed]);
    let refused = fleet.order(0, Order::Activate { version: 1 });
    assert!(matches!(refused, Err(OrderError::NoLeader { .. })), "{refused:?}");
    let shown = fleet.order(0, Order::Show).unwrap();
    assert_eq!(shown["here"]["posture"], "alone", "{shown:#?}");
}

#[test]
fn an_experiment_runs_over_all_members_and_its_winner_is_activated_once() {
    let fleet = Fleet::start(3);
    fleet.wait("a lease", |d| turn(d) == Some(0));
    let addresses: Vec<_> = fleet.services.iter().map(|s| s.local_addr().unwrap()).collect();
    let table = format!(
        r#"{{"pools":{{"a":[{{"address":"{}","weight":1}}],"b":[{{"address":"{}","weight":1}}]}},
            "routes":[{{"class":"seat","pool":"a","timeout_ms":100,"tries":2,"arms":[
                {{"name":"old","pool":"a","share":500}},{{"name":"new","pool":"b","share":500}}]}}]}}"#,
        addresses[0], addresses[1]
    );
    fleet.order(0, Order::Propose { table }).unwrap();
    fleet.order(0, Order::Activate { version: 1 }).unwrap();
    fleet.wait("the switch", |d| turn(d) == Some(1));
    fleet.wait_for_completion(0);
    let document = r#"{"activate":true,"experiment":{"name":"e","salt":[1,2],
        "arms":[{"name":"old","share":0.5},{"name":"new","share":0.5}],"alpha":0.05,"harm_alpha":0.01,
        "split_alpha":0.001,"harm_margin":0.5,"start_ms":0,"block_ms":200,"longest_ms":20000,"grace_ms":1000,
        "least_blocks":10}}"#;
    assert!(matches!(
        fleet.order(0, Order::Start { document: "{}".into() }),
        Err(OrderError::InvalidDocument { line: 1, .. })
    ));
    assert_eq!(fleet.order(3, Order::Start { document: document.into() }).unwrap()["started"], "e");
    // The old arm is late for every fifth subject. The subject decides that, so it is the same in each run of the
    // test.
    let (began, mut subject) = (Instant::now(), 0u64);
    while !fleet.drivers.iter().all(|d| turn(d) == Some(2)) {
        assert!(began.elapsed() < TIMEOUT, "no winner: {:#?}", fleet.order(0, Order::ShowExperiment));
        for driver in &fleet.drivers {
            subject += 1;
            let call =
                Call { class: "seat".into(), subject: subject.to_le_bytes().into(), ..Call::default() };
            let RouteDecision::Allowed { address, .. } = driver.routing().route(&call) else { continue };
            let late = address == Some(addresses[0]) && subject.is_multiple_of(5);
            driver.routing().count(&call, if late { Kind::Late } else { Kind::Served });
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    fleet.wait_for_completion(0);
    let shown = fleet.order(1, Order::ShowExperiment).unwrap();
    let end = &shown["history"][0];
    assert_eq!((&end["end"]["verdict"]["Winner"]["arm"], &end["made"]), (&1.into(), &2.into()), "{shown:#?}");
    let why = end["evidence"][0].as_str();
    assert!(why.is_some_and(|why| why.starts_with("new won: it served ")), "{shown:#?}");
    println!("winner after {} blocks, {} subjects", end["closed"], subject);
    for driver in &fleet.drivers {
        assert!(
            matches!(route(driver), RouteDecision::Allowed { address, .. } if address == Some(addresses[1]))
        );
    }
    let history = fleet.order(2, Order::History).unwrap();
    assert_eq!(history["activations"].as_array().unwrap().len(), 2, "{history:#?}");
}
