//! Signals at an unfavourable moment: during the start, twice, around a reload, and with a short time to stop.

use std::fs::File;
use std::io::Write;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::harness::*;
use crate::scripted::Listener;

const SITE: &str = include_str!("../../src/lab/site.json");

/// Replaces a file by a FIFO, so that a process that opens it waits for the other end.
fn replace_by_fifo(path: &Path) {
    let _ = std::fs::remove_file(path);
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
}

fn send_signal(child: &Child, name: &str) {
    let sent = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
    assert!(sent.unwrap().success());
}

#[rstest]
#[case::stop(&["TERM"])]
#[case::reload_and_stop(&["HUP", "TERM"])]
#[case::log_counters_and_stop(&["USR1", "INT"])]
fn a_signal_before_the_configuration_is_read_does_not_kill_the_process(#[case] signals: &[&str]) {
    // Guards against signals that are handled only once the program listens: a stop signal in its first milliseconds
    // would be a crash.
    let dir = ScratchDir::new();
    let path = dir.path("config.json");
    replace_by_fifo(&path);
    let mut child = Command::new(env!("CARGO_BIN_EXE_hopwalk"))
        .env("TMPDIR", dir.path(""))
        .env("RELAY_CONFIG", &path)
        .env_remove("RELAY_APPLIANCE")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Opened for writing: by now the program has opened it for reading, and waits for its content.
    let mut config = File::options().write(true).open(&path).unwrap();
    let text = format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","agent":"{}","stop_ms":1000,"settings":{SITE}}}"#,
        gone()
    );
    std::fs::remove_file(&path).unwrap();
    std::fs::write(&path, &text).unwrap();
    signals.iter().for_each(|name| send_signal(&child, name));
    config.write_all(text.as_bytes()).unwrap();
    drop(config);
    let mut status = None;
    wait_for("the end of the program", || {
        status = child.try_wait().unwrap();
        status.is_some()
    });
    let status = status.unwrap();
    assert!(status.success(), "{status}, signal {:?}", status.signal());
}

#[test]
fn a_configuration_that_takes_long_to_read_delays_no_drain() {
    // Guards against a stop signal that waits for the end of a reload.
    let agent = Agent::start(1, Duration::from_millis(5), false);
    let mut program = Program::start(Setup { agent: Some(agent.address), ..Setup::default() });
    let path = program.dir.path("config.json");
    replace_by_fifo(&path);
    program.signal("HUP");
    let writer = File::options().write(true).open(&path).unwrap();
    program.signal("TERM");
    program.wait_for_log("leaving");
    assert_eq!(exchange(program.http, &Request::new("queue-status", b"a").http()).body, b"made:a");
    assert!(program.wait_for_exit().success());
    drop(writer);
}

#[test]
fn a_drain_before_the_agents_greeting_answers_what_was_read() {
    // Guards against a process that cannot exit, or exits without answering, because its agent never came up.
    let agent = Listener::start();
    let mut program = Program::start(Setup { agent: Some(agent.address), ..Setup::default() });
    let mut link = agent.accept();
    link.expect_command("subscribe");
    let mut streams: Vec<_> = (0..3).map(|_| connect(program.http)).collect();
    for stream in &mut streams {
        stream
            .write_all(&Request { timeout_ms: 60_000, ..Request::new("queue-status", b"a") }.http())
            .unwrap();
    }
    wait_for("the requests", || program.counter("taken_in") == 3);
    let since = Instant::now();
    program.signal("TERM");
    program.signal("TERM");
    for stream in &mut streams {
        assert_ne!(read_answer(stream).status, 200);
    }
    drop(streams);
    assert!(program.wait_for_exit().success());
    assert!(since.elapsed() < Duration::from_millis(3200), "{:?}", since.elapsed());
    assert_eq!(program.log().matches("leaving: counters").count(), 1);
}

#[rstest]
#[case::shorter_than_closing_takes(700)]
#[case::shorter_than_the_margin_of_the_decision_module(150)]
#[case::a_little_longer_than_closing_takes(1200)]
fn a_drain_answers_in_time_however_short_it_is(#[case] stop_ms: u64) {
    // Guards against answers that are due only after the process has been killed.
    let agent = Agent::start(1, Duration::from_secs(60), false);
    let setup = Setup { agent: Some(agent.address), stop_ms: Some(stop_ms), ..Setup::default() };
    let mut program = Program::start(setup);
    let mut streams = [connect(program.http), connect(program.http)];
    for stream in &mut streams {
        stream
            .write_all(&Request { timeout_ms: 60_000, ..Request::new("queue-status", b"a") }.http())
            .unwrap();
    }
    wait_for("the launches", || !agent.launches().is_empty() && program.counter("taken_in") == 2);
    let since = Instant::now();
    program.signal("TERM");
    for stream in &mut streams {
        assert_ne!(read_answer(stream).status, 200);
        assert!(since.elapsed() < Duration::from_millis(stop_ms), "{:?}", since.elapsed());
    }
    drop(streams);
    assert!(program.wait_for_exit().success());
}

#[rstest]
#[case::before(&["HUP", "TERM"])]
#[case::after(&["TERM", "HUP"])]
#[case::twice(&["TERM", "HUP", "TERM", "HUP"])]
fn a_reload_around_a_stop_signal_loses_no_run_and_no_call(#[case] signals: &[&str]) {
    // Guards against links that move during a drain and lose runs, calls or answers.
    let (agent, vault) = (Agent::start(2, Duration::from_millis(5), true), Listener::start());
    let setup = Setup { agent: Some(agent.address), vault: Some(vault.address), ..Setup::default() };
    let mut program = Program::start(setup);
    let mut early = connect(program.http);
    early.write_all(&Request::keyed("k", b"early").http()).unwrap();
    let mut old_call = vault.accept();
    let (handle, _, body) = old_call.read_call();
    assert_eq!(body, b"early");
    let (new_agent, new_vault) = (agent.moved(), Listener::start());
    let moves = [(agent.address, new_agent.address), (vault.address, new_vault.address)];
    program.write_config(&moves.map(|(from, to)| (from.to_string(), to.to_string())));
    signals.iter().for_each(|name| program.signal(name));
    program.wait_for_log("leaving");
    program.wait_for_log(&format!("linked to the agent at {}", new_agent.address));
    let mut late = connect(program.http);
    late.write_all(&Request::keyed("l", b"late").http()).unwrap();
    let mut new_call = new_vault.accept();
    let (other, _, body) = new_call.read_call();
    assert_eq!(body, b"late", "the open call is not made again at the new address");
    old_call.reply(&handle, b"+old");
    new_call.reply(&other, b"+new");
    assert_eq!(read_answer(&mut early).body, b"made:early+old");
    assert_eq!(read_answer(&mut late).body, b"made:late+new");
    assert!(new_vault.has_no_new_connection() && vault.has_no_new_connection());
    assert_eq!((agent.launches().len(), program.counter("links_lost")), (2, 0));
    assert!(program.wait_for_exit().success());
}

#[test]
fn a_reload_with_other_classes_during_a_drain_keeps_open_requests() {
    let agent = Agent::start(2, Duration::from_millis(300), false);
    let mut program = Program::start(Setup { agent: Some(agent.address), ..Setup::default() });
    let mut open = connect(program.http);
    open.write_all(&Request::keyed("k", b"o").http()).unwrap();
    wait_for("the launch", || agent.launches().len() == 1);
    program.signal("TERM");
    program.wait_for_log("leaving");
    program.reload(&[("lobby-confirm".to_string(), "lobby-confirm-next".to_string())]);
    program.wait_for_log("the configuration was read again");
    assert_eq!(
        exchange(program.http, &Request::new("lobby-confirm-next", b"").http()).status,
        400,
        "the request has no key"
    );
    assert_eq!(read_answer(&mut open).body, b"made:o");
    let again = exchange(program.http, &Request::keyed("k", b"o").http());
    assert_eq!(
        again.body, b"made:o",
        "the dropped class is still served to callers that have not learned of the change"
    );
    assert_eq!(agent.launches().len(), 1);
    assert!(program.wait_for_exit().success());
}
