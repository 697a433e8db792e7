//! Tests of the handover link between processes.

use super::*;
use crate::settings::Links;

/// The environment variable that marks the child process of a test and carries its argument.
const OTHER_PROCESS: &str = "HOPWALK_TEST_OTHER_PROCESS";

/// Held while a child process starts, which inherits all descriptors for a moment, and while a descriptor that was
/// closed must not be open anywhere else.
static DESCRIPTORS: Mutex<()> = Mutex::new(());

fn hold_descriptors() -> MutexGuard<'static, ()> {
    DESCRIPTORS.lock().unwrap_or_else(PoisonError::into_inner)
}

#[test]
fn a_running_predecessor_is_reported_before_its_messages_and_its_exit() {
    // Guards against a successor that uses only half of its share for good because its predecessor exited
    // immediately.
    let path = std::env::temp_dir().join(format!("hopwalk-find-{}.sock", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let listener = UnixListener::bind(&path).unwrap();
    let (sender, inbox) = std::sync::mpsc::channel();
    let links = Links { agent: None, vault: None, control: None };
    let hub = Arc::new(Hub::new(sender, 64, links, Vec::new(), None, None));
    let connected = connect_to_predecessor(&path, &hub);
    std::fs::remove_file(&path).unwrap();
    assert!(connected.is_some());
    let (mut predecessor, _) = listener.accept().unwrap();
    predecessor.write_all(b"complete 0\n").unwrap();
    drop(predecessor);
    let next_event = |_| match inbox.recv_timeout(Duration::from_secs(10)) {
        Ok(Input::Succession(event)) => event,
        other => panic!("{other:?}"),
    };
    let expected = [
        Succession::PredecessorRunning,
        Succession::KeysComplete { standby: false },
        // The predecessor is the process of this test, which is still alive.
        Succession::PredecessorDisconnected,
    ];
    assert_eq!([(); 3].map(next_event), expected);
}

/// Runs the test `name` in a child process with few descriptors, with `argument` in [`OTHER_PROCESS`].
fn run_in_child_process(name: &str, argument: &str) -> std::process::ExitStatus {
    let _held = hold_descriptors();
    let test = format!("net::handover::tests::{name}");
    let command = ["-c", "ulimit -n 64; exec \"$@\"", "sh"];
    let mut shell = std::process::Command::new("sh");
    shell.args(command).arg(std::env::current_exe().unwrap()).args(["--exact", &test]);
    shell.env(OTHER_PROCESS, argument).status().unwrap()
}

#[test]
fn a_process_that_cannot_be_checked_without_free_descriptors_counts_as_alive() {
    // Guards against two processes that both decide because a live one was reported as exited.
    let Ok(parent) = std::env::var(OTHER_PROCESS) else {
        let name = "a_process_that_cannot_be_checked_without_free_descriptors_counts_as_alive";
        assert!(run_in_child_process(name, &std::process::id().to_string()).success());
        return;
    };
    let parent = parent.parse().unwrap();
    let all: Vec<_> = std::iter::from_fn(|| std::fs::File::open("/dev/null").ok()).collect();
    let alive = is_alive(parent);
    drop(all);
    assert!(alive);
}

#[test]
fn messages_for_an_exited_successor_do_not_reach_the_next_one() {
    // Guards against two processes that both decide because keys for an exited successor reached the next one.
    let name = "messages_for_an_exited_successor_do_not_reach_the_next_one";
    if let Ok(path) = std::env::var(OTHER_PROCESS) {
        return UnixStream::connect(path).unwrap().write_all(b"begin\n").unwrap();
    }
    let path = std::env::temp_dir().join(format!("hopwalk-next-{}.sock", std::process::id()));
    let (sender, inbox) = std::sync::mpsc::channel();
    let links = Links { agent: None, vault: None, control: None };
    let hub = Arc::new(Hub::new(sender, 64, links, Vec::new(), None, None));
    let successor = listen_for_successor(&path, &hub).unwrap();
    assert!(run_in_child_process(name, path.to_str().unwrap()).success());
    let next_input = || inbox.recv_timeout(Duration::from_secs(10)).unwrap();
    assert!(matches!(next_input(), Input::Succession(Succession::HandoverRequested)));
    assert!(matches!(next_input(), Input::Succession(Succession::SuccessorExited)));

    // The reducer, which this test stands in for, has processed neither event when the next successor connects.
    let next = UnixStream::connect(&path).unwrap();
    next.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let is_linked = || successor.lock().is_some();
    let query = loop {
        match inbox.try_recv() {
            Ok(Input::Query { ticket, .. }) => break Some(ticket),
            _ if is_linked() => break None,
            _ => thread::sleep(EXIT_CHECK_INTERVAL),
        }
    };
    successor.send(HandoverMessage::Keys(Vec::new(), false));
    // Now the reducer has processed both.
    query.into_iter().for_each(|ticket| hub.queries.answer(ticket, Vec::new()));
    while !is_linked() {
        thread::sleep(EXIT_CHECK_INTERVAL);
    }
    successor.send(HandoverMessage::Begin);
    let mut line = String::new();
    std::io::BufRead::read_line(&mut io::BufReader::new(next), &mut line).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(line, "begin\n", "the first message that is meant for it");
}

#[test]
fn a_socket_is_stale_once_nobody_listens_and_the_check_does_not_disturb_a_listener() {
    let _held = hold_descriptors();
    let path = std::env::temp_dir().join(format!("hopwalk-stale-{}.sock", std::process::id()));
    let listener = bind(&path).unwrap();
    listener.set_nonblocking(true).unwrap();
    assert!(!is_stale(&path));
    assert_eq!(listener.accept().unwrap_err().kind(), io::ErrorKind::WouldBlock);
    drop(listener);
    assert!(is_stale(&path) && path.exists());
    std::fs::remove_file(&path).unwrap();
    assert!(is_stale(&path));
}
