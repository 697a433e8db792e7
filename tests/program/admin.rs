//! The operators' door.

use super::*;

const CHECK: &[u8] = b"GET /check HTTP/1.1\r\nConnection: close\r\n\r\n";

#[test]
fn operators_keep_callers_away_and_take_them_back_while_all_that_comes_is_served() {
    // Guards against a drain that health checks do not show, or that turns away what still arrives.
    let agent = Agent::start(1, SHORT_RUN, false);
    let program = Program::start(with_agent(&agent));
    wait_for("the greeting", || program.admin_status("GET", "/ready") == 200);
    for (path, check) in [("/drain", 503), ("/drain", 503), ("/undrain", 200)] {
        assert_eq!(program.admin_status("POST", path), 200);
        assert_eq!(exchange(program.http, CHECK).status, check);
        assert_eq!(exchange(program.http, &Request::new("queue-status", b"a").http()).body, b"made:a");
    }
    assert!(!program.log().contains("leaving"));
}

#[test]
fn it_is_not_ready_before_its_agent_is_up() {
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let program = Program::start(Setup { agent: silent.local_addr().ok(), ..Setup::default() });
    assert_eq!(program.admin_status("GET", "/ready"), 503);
}

#[rstest]
#[case("GET", "/drain", 405)]
#[case("POST", "/ready", 405)]
#[case("GET", "/check", 404)]
fn what_is_no_call_gets_a_no(#[case] method: &str, #[case] path: &str, #[case] status: u16) {
    let agent = Agent::start(1, SHORT_RUN, false);
    assert_eq!(Program::start(with_agent(&agent)).admin_status(method, path), status);
}

#[test]
fn clients_that_say_nothing_or_half_do_not_hold_the_door() {
    // Guards against a door whose few places are taken by clients that never finish their call.
    let agent = Agent::start(1, SHORT_RUN, false);
    let program = Program::start(with_agent(&agent));
    wait_for("the greeting", || program.admin_status("GET", "/ready") == 200);
    let mut stuck: Vec<_> = (0..40).map(|_| connect(program.admin)).collect();
    stuck.iter_mut().for_each(|s| drop(s.write_all(b"POST /drain HT")));
    let since = Instant::now();
    assert_eq!(program.admin_status("GET", "/ready"), 200);
    assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    assert!(is_closed(&mut stuck[0]), "the oldest makes room");
    assert_eq!(exchange(program.http, CHECK).status, 200, "half a call does nothing");
}

#[test]
fn metrics_tell_what_was_counted() {
    let agent = Agent::start(1, SHORT_RUN, false);
    let program = Program::start(with_agent(&agent));
    assert_eq!(exchange(program.http, &Request::new("queue-status", b"a").http()).status, 200);
    let told = exchange(program.admin, b"GET /metrics HTTP/1.1\r\nHost: t\r\n\r\n");
    let text = String::from_utf8(told.body).unwrap();
    assert!(text.contains("hopwalk_core_total{what=\"served\"} 1\n") && text.ends_with("# EOF\n"), "{text}");
}

/// Runs a command of the fleet; its status, and what it says on standard error.
fn fleet(words: &[&str], admin: SocketAddr) -> (Option<i32>, String) {
    let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_hopwalk"));
    let done = program.arg("fleet").args(words).args(["--admin", &admin.to_string()]).output().unwrap();
    (done.status.code(), String::from_utf8(done.stderr).unwrap())
}

#[test]
fn a_command_of_the_fleet_that_is_refused_says_why_and_what_to_do() {
    let agent = Agent::start(1, SHORT_RUN, false);
    let program = Program::start(with_agent(&agent));
    let table = program.dir.path("table.json");
    std::fs::write(&table, "{}").unwrap();
    let table = table.to_str().unwrap();
    let all: [&[&str]; 10] = [
        &["routes", "propose", table],
        &["routes", "activate", "3"],
        &["routes", "abort"],
        &["routes", "rollback"],
        &["routes", "show"],
        &["routes", "history"],
        &["experiment", "start", table],
        &["experiment", "show"],
        &["experiment", "stop"],
        &["record", "admit", "m2"],
    ];
    let off = "hopwalk: this matcher has no routes\n  help: set `fleet.routes` in the appliance's file";
    for words in all {
        let (status, says) = fleet(words, program.admin);
        assert!(status == Some(1) && says.starts_with(off) && says.lines().count() == 2, "{words:?}: {says}");
    }
    // What could not be asked at all has another status.
    let (status, says) = fleet(&["routes", "show"], gone());
    assert!(status == Some(2) && says.contains("\n  help: check that the matcher runs"), "{says}");
    let (status, says) = fleet(&["routes", "propose", "no-such-file"], program.admin);
    assert!(status == Some(2) && says.starts_with("hopwalk: no-such-file: "), "{says}");
    assert_eq!(fleet(&["status"], program.admin).0, Some(1));
}
