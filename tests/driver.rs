//! The driver of the fleet's routes: several of them in one process, over loopback, with records on disk. Orders go in
//! where the operators' door puts them, and calls are looked at as the serving path does.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hopwalk::fleet::decided::{self, Refused};
use hopwalk::fleet::driver::{Driver, Options};
use hopwalk::fleet::experiment::counts::Kind;
use hopwalk::fleet::experiment::Experiment;
use hopwalk::fleet::routes::record::{Applied, Entry, RecordError};
use hopwalk::fleet::routes::table::KnownNames;
use hopwalk::fleet::routes::{LeaseReply, LeaseRequest};
use hopwalk::fleet::routing::{Call, Order, OrderError, Routed, Way};
use hopwalk::fleet::wire::message::Running;
use hopwalk::fleet::wire::{Client, LocalEnd, Request, RequestOrigin, Response, ResponseFuture, Server};
use hopwalk::lab::ports::ReservedPort;
use hopwalk::lab::stand_in::wait_until;
use serde_json::Value;

static NEXT: AtomicU64 = AtomicU64::new(1);
const PATIENCE: Duration = Duration::from_secs(20);

struct Fleet {
    folder: PathBuf,
    /// Held while members come and go on them.
    _ports: Vec<ReservedPort>,
    voters: Vec<(String, SocketAddr)>,
    services: Vec<TcpListener>,
    drivers: Vec<Driver>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.drivers.iter().for_each(Driver::leave);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

impl Fleet {
    /// So many voters, and one member that does not vote.
    fn start(voters: usize) -> Self {
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
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
        let keeps = self.voters.get(at).map(|(_, listen)| (self.folder.join(&name), *listen));
        let known = KnownNames { classes: ["seat".to_string()].into(), tenants: [].into() };
        let (voters, fleet) = (self.voters.clone(), "test".into());
        Driver::start(Options { name, fleet, voters, keeps, known, fault: None }).unwrap()
    }

    fn wait(&self, what: &str, mut there: impl FnMut(&Driver) -> bool) {
        let all = || self.drivers.iter().all(&mut there);
        if !wait_until(PATIENCE, all) {
            let shown: Vec<_> = (0..self.drivers.len()).map(|at| self.order(at, Order::Show)).collect();
            panic!("{what} did not come: {shown:#?}");
        }
    }

    fn order(&self, at: usize, order: Order) -> Result<Value, OrderError> {
        let answer = self.drivers[at].routing().order(order, "anna").recv_timeout(PATIENCE).unwrap();
        answer.map(|text| serde_json::from_str(&text).unwrap())
    }

    fn table(&self, service: usize) -> String {
        let at = self.services[service].local_addr().unwrap();
        format!(
            r#"{{"pools":{{"a":[{{"address":"{at}","weight":1}}]}},
                "routes":[{{"class":"seat","pool":"a","timeout_ms":100,"tries":2}}]}}"#
        )
    }

    /// Waits until the record says that a switch is past: a moment later than the members know.
    fn settle(&self, at: usize) {
        let done = || {
            let shown = self.order(at, Order::Show).unwrap();
            shown["fleet"].is_object() && shown["fleet"]["pending"].is_null()
        };
        assert!(wait_until(PATIENCE, done), "the activation does not end");
    }

    fn leader(&self) -> usize {
        let known = self.order(0, Order::Show).unwrap();
        let name = known["fleet"]["leader"].as_str().unwrap().to_string();
        self.voters.iter().position(|(n, _)| *n == name).unwrap()
    }
}

fn routed(driver: &Driver) -> Routed {
    driver.routing().route(&Call { class: "seat".into(), ..Call::default() })
}

fn turn(driver: &Driver) -> Option<u64> {
    match routed(driver) {
        Routed::Go { fence, .. } => Some(fence.turn),
        _ => None,
    }
}

#[test]
fn a_table_is_switched_at_one_moment_by_orders_at_any_member() {
    let fleet = Fleet::start(3);
    fleet.wait("a lease under turn 0", |d| turn(d) == Some(0));
    assert_eq!(fleet.order(3, Order::Propose { table: fleet.table(0) }).unwrap()["version"], 1);
    let bad = fleet.table(0).replace("seat", "boat");
    let told = fleet.order(3, Order::Propose { table: bad });
    assert!(matches!(told, Err(OrderError::Refused(Refused::Routes(RecordError::Table { .. })))), "{told:?}");
    assert_eq!(fleet.order(1, Order::Activate { version: 1 }).unwrap()["turn"], 1);
    let busy = fleet.order(2, Order::Activate { version: 1 });
    assert!(
        matches!(&busy, Err(OrderError::Refused(Refused::Routes(RecordError::Busy { version: 1, by })))
            if by.starts_with("anna at m2")),
        "{busy:?}"
    );
    // All are looked at in one thread: once one acts under turn 1 nobody may act under turn 0.
    let (began, mut newest, mut first) = (Instant::now(), 0, None);
    let mut switched = [false; 4];
    while switched.contains(&false) {
        assert!(began.elapsed() < PATIENCE, "no switch: {:#?}", fleet.order(0, Order::Show));
        for (at, driver) in fleet.drivers.iter().enumerate() {
            let Some(turn) = turn(driver) else { continue };
            assert!(turn >= newest, "m{} acts under {turn} after {newest}", at + 1);
            if turn > newest {
                (newest, first) = (turn, Some(Instant::now()));
            }
            switched[at] = turn == 1;
        }
    }
    println!("all switched {} us after the first", first.unwrap().elapsed().as_micros());
    let to = |driver: &Driver| match routed(driver) {
        Routed::Go { address, .. } => address,
        _ => None,
    };
    assert!(fleet.drivers.iter().all(|d| to(d) == fleet.services[0].local_addr().ok()));
    // Calls go by the clock; the thread that counts may be a moment late.
    fleet.wait("the count", |d| d.routing().metrics().contains("hopwalk_fleet_turn 1"));
}

#[test]
fn the_fleet_goes_on_without_its_leader_and_goes_back() {
    let mut fleet = Fleet::start(3);
    fleet.wait("a lease", |d| turn(d) == Some(0));
    for service in 0..2 {
        let version =
            fleet.order(0, Order::Propose { table: fleet.table(service) }).unwrap()["version"].as_u64();
        let version = version.unwrap();
        fleet.order(3, Order::Activate { version }).unwrap();
        fleet.wait("the switch", |d| turn(d) == Some(version));
        fleet.settle(3);
    }
    let leader = fleet.leader();
    let old = fleet.drivers.remove(leader);
    old.leave();
    let at = fleet.drivers.len() - 1;
    // Whoever leads next takes the order; the one that left does not stop it for longer than its lease.
    assert_eq!(fleet.order(at, Order::Rollback).unwrap()["turn"], 3);
    fleet.wait("the rollback", |d| turn(d) == Some(3));
    fleet.settle(at);
    assert_eq!(fleet.order(at, Order::Show).unwrap()["fleet"]["active"]["version"], 1);
    // It comes back as a new life with its record, and is told.
    let back = fleet.driver(leader);
    fleet.drivers.push(back);
    fleet.wait("the lease of the one that came back", |d| turn(d) == Some(3));
    let history = fleet.order(0, Order::History).unwrap();
    assert_eq!(history["activations"].as_array().unwrap().len(), 3);
}

#[test]
fn a_prepare_is_aborted_by_an_operator_and_by_a_service_that_is_not_there() {
    let fleet = Fleet::start(1);
    fleet.wait("a lease", |d| turn(d) == Some(0));
    let gone = fleet.services[1].local_addr().unwrap().to_string();
    let table = fleet.table(1).replace(&gone, "127.0.0.1:1");
    fleet.order(0, Order::Propose { table }).unwrap();
    fleet.order(0, Order::Activate { version: 1 }).unwrap();
    let aborted = || {
        let history = fleet.order(1, Order::History).unwrap();
        let last = history["activations"].as_array().unwrap().last()?.clone();
        Some(last["aborted"]["because"].as_str()?.to_string())
    };
    assert!(wait_until(PATIENCE, || aborted().is_some()), "no abort");
    assert_eq!(aborted().unwrap(), "no connection to 127.0.0.1:1");
    let nothing = fleet.order(0, Order::Abort);
    assert!(matches!(nothing, Err(OrderError::Refused(Refused::Routes(RecordError::NotPending { .. })))));
    assert!(fleet.drivers.iter().all(|d| turn(d) == Some(0)));
}

#[test]
fn an_order_that_comes_again_before_it_is_applied_is_told_what_it_came_to() {
    // Guards against an operator who is told that the own order, sent again by the member, stands in its way.
    let fleet = Fleet::start(1);
    fleet.wait("a lease", |d| turn(d) == Some(0));
    fleet.order(0, Order::Propose { table: fleet.table(0) }).unwrap();
    let (name, address) = fleet.voters[0].clone();
    let prepare = Entry::Prepare { version: 1, by: "anna at m2, number 1".into() };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let answers = runtime.block_on(async {
        let client = Client::start(LocalEnd::new("test", "m2"), &name, address, None);
        let request = Request::Submit(decided::Entry::Routes(prepare));
        let submit = || client.request(&request, PATIENCE);
        // The disk is slower than the link: the second one comes while the first one is written.
        tokio::join!(submit(), submit())
    });
    for answer in [answers.0, answers.1] {
        let moved = decided::Applied::Routes(Applied::Moved(1));
        assert!(matches!(&answer, Ok(Response::Submitted(Ok(applied))) if *applied == moved), "{answer:?}");
    }
}

#[test]
fn what_a_leader_said_of_experiments_before_its_newest_word_is_not_taken() {
    // Guards against counts of an experiment that are begun anew, or dropped, by an answer that came late.
    let port = ReservedPort::any().unwrap();
    let (voters, keeps, fault) = (vec![("m1".to_string(), port.address())], None, None);
    let known = KnownNames { classes: ["seat".to_string()].into(), tenants: [].into() };
    let (name, fleet) = ("m2".into(), "test".to_string());
    let options = Options { name, fleet: fleet.clone(), voters, keeps, known, fault };
    let document = r#"{"name":"e","salt":[1,2],"arms":[{"name":"old","share":0.5},{"name":"new","share":0.5}],
        "alpha":0.05,"harm_alpha":0.01,"split_alpha":0.001,"harm_margin":0.5,"start_ms":1,"block_ms":200,
        "longest_ms":20000,"grace_ms":1000,"least_blocks":10}"#;
    let experiment: Experiment = serde_json::from_str(document).unwrap();
    let running = Running { experiment, closed: 0, members: ["m2".to_string()].into() };
    // Which ask came first, how many reports came, and whether the first ask was answered.
    let (first, reports, late) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let said = std::sync::Arc::new((first, reports, late));
    let heard = said.clone();
    let answer = move |ask: LeaseRequest, running| {
        let (time, lease) = (Duration::from_secs(1), Duration::ZERO);
        let reply = LeaseReply { number: ask.number, term: 1, time, lease, active: None, pending: None };
        Response::Reply { reply: Box::new(reply), running }
    };
    let handler = move |_: std::sync::Arc<RequestOrigin>, request: Request| -> ResponseFuture {
        let (said, running) = (said.clone(), running.clone());
        Box::pin(async move {
            let (first, reports, late) = &*said;
            match request {
                Request::Ask(ask) if first.swap(1, Ordering::SeqCst) == 0 => {
                    // Nothing ran yet as it was asked; it waits until the experiment is known by a later answer.
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
    let reports = || heard.1.load(Ordering::SeqCst);
    assert!(wait_until(PATIENCE, || heard.2.load(Ordering::SeqCst) == 1), "the first ask is answered");
    let before = reports();
    assert!(wait_until(PATIENCE, || reports() >= before + 3), "it counts on");
    driver.leave();
    drop(server);
}

#[test]
fn another_process_of_a_matcher_takes_the_record_over_and_no_lease_is_lost() {
    let mut fleet = Fleet::start(1);
    fleet.wait("a lease", |d| turn(d) == Some(0));
    let new = fleet.driver(0);
    assert!(wait_until(PATIENCE, || turn(&new) == Some(0)), "a lease of its own while the old one votes");
    fleet.order(0, Order::Propose { table: fleet.table(0) }).unwrap();
    fleet.drivers[0].release();
    let votes = || new.routing().metrics().contains("hopwalk_fleet_leads 1");
    assert!(wait_until(PATIENCE, || {
        assert_eq!(turn(&fleet.drivers[0]), Some(0), "the old one serves what it has");
        votes()
    }));
    fleet.drivers.push(new);
    let at = fleet.drivers.len() - 1;
    fleet.order(at, Order::Activate { version: 1 }).unwrap();
    fleet.wait("the switch at both processes and the member", |d| turn(d) == Some(1));
}

#[test]
fn without_a_majority_nothing_is_called_and_operators_are_told() {
    let mut fleet = Fleet::start(3);
    fleet.wait("a lease", |d| turn(d) == Some(0));
    let rest = fleet.drivers.split_off(2);
    fleet.drivers.drain(..).for_each(|d| d.leave());
    fleet.drivers = rest;
    fleet.wait("the end of the lease", |d| routed(d) == Routed::Barred && !d.routing().ready());
    assert_eq!(fleet.drivers[0].routing().ways(&["seat".to_string()]), [Way::Shut]);
    let told = fleet.order(0, Order::Activate { version: 1 });
    assert!(matches!(told, Err(OrderError::NoLeader { .. })), "{told:?}");
    let here = fleet.order(0, Order::Show).unwrap();
    assert_eq!(here["here"]["posture"], "alone", "{here:#?}");
}

#[test]
fn an_experiment_runs_over_all_members_and_its_winner_is_switched_to_once() {
    let fleet = Fleet::start(3);
    fleet.wait("a lease", |d| turn(d) == Some(0));
    let at: Vec<_> = fleet.services.iter().map(|s| s.local_addr().unwrap()).collect();
    let table = format!(
        r#"{{"pools":{{"a":[{{"address":"{}","weight":1}}],"b":[{{"address":"{}","weight":1}}]}},
            "routes":[{{"class":"seat","pool":"a","timeout_ms":100,"tries":2,"arms":[
                {{"name":"old","pool":"a","share":500}},{{"name":"new","pool":"b","share":500}}]}}]}}"#,
        at[0], at[1]
    );
    fleet.order(0, Order::Propose { table }).unwrap();
    fleet.order(0, Order::Activate { version: 1 }).unwrap();
    fleet.wait("the switch", |d| turn(d) == Some(1));
    fleet.settle(0);
    let document = r#"{"activate":true,"experiment":{"name":"e","salt":[1,2],
        "arms":[{"name":"old","share":0.5},{"name":"new","share":0.5}],"alpha":0.05,"harm_alpha":0.01,
        "split_alpha":0.001,"harm_margin":0.5,"start_ms":0,"block_ms":200,"longest_ms":20000,"grace_ms":1000,
        "least_blocks":10}}"#;
    assert!(matches!(
        fleet.order(0, Order::Start { document: "{}".into() }),
        Err(OrderError::Document { line: 1, .. })
    ));
    assert_eq!(fleet.order(3, Order::Start { document: document.into() }).unwrap()["started"], "e");
    // The old way is late one time in five: known from the subject, so the same at each play.
    let (began, mut subject) = (Instant::now(), 0u64);
    while !fleet.drivers.iter().all(|d| turn(d) == Some(2)) {
        assert!(began.elapsed() < PATIENCE, "no winner: {:#?}", fleet.order(0, Order::ShowExperiment));
        for driver in &fleet.drivers {
            subject += 1;
            let call =
                Call { class: "seat".into(), subject: subject.to_le_bytes().into(), ..Call::default() };
            let Routed::Go { address, .. } = driver.routing().route(&call) else { continue };
            let late = address == Some(at[0]) && subject.is_multiple_of(5);
            driver.routing().count(&call, if late { Kind::Late } else { Kind::Served });
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    fleet.settle(0);
    let told = fleet.order(1, Order::ShowExperiment).unwrap();
    let end = &told["history"][0];
    assert_eq!((&end["end"]["verdict"]["Winner"]["arm"], &end["made"]), (&1.into(), &2.into()), "{told:#?}");
    let why = end["evidence"][0].as_str();
    assert!(why.is_some_and(|why| why.starts_with("new won: it served ")), "{told:#?}");
    println!("a winner after {} blocks, {} subjects", end["closed"], subject);
    for driver in &fleet.drivers {
        assert!(matches!(routed(driver), Routed::Go { address, .. } if address == Some(at[1])));
    }
    let history = fleet.order(2, Order::History).unwrap();
    assert_eq!(history["activations"].as_array().unwrap().len(), 2, "{history:#?}");
}
