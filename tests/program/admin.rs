//! The admin endpoint, and the fleet commands that use it.

use super::*;

const CHECK: &[u8] = b"GET /check HTTP/1.1\r\nConnection: close\r\n\r\n";

#[test]
fn drain_and_undrain_change_the_health_check_while_requests_are_still_served() {
    // Guards against a drain that the health check does not show, or that refuses requests that still arrive.
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
fn the_program_is_not_ready_before_its_agent_is_up() {
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let program = Program::start(Setup { agent: silent.local_addr().ok(), ..Setup::default() });
    assert_eq!(program.admin_status("GET", "/ready"), 503);
}

#[rstest]
#[case("GET", "/drain", 405)]
#[case("POST", "/ready", 405)]
#[case("GET", "/check", 404)]
fn unknown_admin_requests_are_rejected(#[case] method: &str, #[case] path: &str, #[case] status: u16) {
    let agent = Agent::start(1, SHORT_RUN, false);
    assert_eq!(Program::start(with_agent(&agent)).admin_status(method, path), status);
}

#[test]
fn clients_that_send_no_complete_request_do_not_block_the_admin_endpoint() {
    // Guards against an admin endpoint whose few connections are all taken by clients that never finish their
    // request.
    let agent = Agent::start(1, SHORT_RUN, false);
    let program = Program::start(with_agent(&agent));
    wait_for("the greeting", || program.admin_status("GET", "/ready") == 200);
    let mut stuck: Vec<_> = (0..40).map(|_| connect(program.admin)).collect();
    stuck.iter_mut().for_each(|stream| drop(stream.write_all(b"POST /drain HT")));
    let since = Instant::now();
    assert_eq!(program.admin_status("GET", "/ready"), 200);
    assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    assert!(is_closed(&mut stuck[0]), "the oldest connection is closed to make room");
    assert_eq!(exchange(program.http, CHECK).status, 200, "half a request has no effect");
}

#[test]
fn metrics_show_the_counters() {
    let agent = Agent::start(1, SHORT_RUN, false);
    let program = Program::start(with_agent(&agent));
    assert_eq!(exchange(program.http, &Request::new("queue-status", b"a").http()).status, 200);
    let answer = exchange(program.admin, b"GET /metrics HTTP/1.1\r\nHost: t\r\n\r\n");
    let text = String::from_utf8(answer.body).unwrap();
    assert!(text.contains("hopwalk_core_total{what=\"served\"} 1\n") && text.ends_with("# EOF\n"), "{text}");
}

/// Runs a fleet command; returns its exit status and its standard error.
fn run_fleet_command(args: &[&str], admin: SocketAddr) -> (Option<i32>, String) {
    let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_hopwalk"));
    let output = program.arg("fleet").args(args).args(["--admin", &admin.to_string()]).output().unwrap();
    (output.status.code(), String::from_utf8(output.stderr).unwrap())
}

#[test]
fn a_refused_fleet_command_prints_the_reason_and_a_help_line() {
    let agent = Agent::start(1, SHORT_RUN, false);
    let program = Program::start(with_agent(&agent));
    let table = program.dir.path("table.json");
    std::fs::write(&table, "{}").unwrap();
    let table = table.to_str().unwrap();
    let commands: [&[&str]; 10] = [
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
    let no_routes = "hopwalk: this matcher has no routes\n  help: set `fleet.routes` in the appliance's file";
    for args in commands {
        let (status, stderr) = run_fleet_command(args, program.admin);
        assert!(
            status == Some(1) && stderr.starts_with(no_routes) && stderr.lines().count() == 2,
            "{args:?}: {stderr}"
        );
    }
    // A command that could not be sent at all has another exit status.
    let (status, stderr) = run_fleet_command(&["routes", "show"], gone());
    assert!(status == Some(2) && stderr.contains("\n  help: check that the matcher runs"), "{stderr}");
    let (status, stderr) = run_fleet_command(&["routes", "propose", "no-such-file"], program.admin);
    assert!(status == Some(2) && stderr.starts_with("hopwalk: no-such-file: "), "{stderr}");
    assert_eq!(run_fleet_command(&["status"], program.admin).0, Some(1));
}
