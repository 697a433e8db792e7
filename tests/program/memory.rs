//! What the tables of the program take of its memory limit, alone and beside the other process of an upgrade.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::harness::*;

/// The least memory limit of a deployment.
const MEMORY_MB: usize = 32;
/// Connections by which keys are filled.
const CONNECTIONS_OF_KEYS: usize = 6;

/// Sends a request with each of these keys and this body, and waits for all answers.
fn fill_keys(program: &Program, keys: Range<usize>, body: &[u8]) {
    let fill = &|first: usize| {
        let mut stream = connect(program.http);
        for n in keys.clone().skip(first).step_by(CONNECTIONS_OF_KEYS) {
            stream.write_all(&Request::keyed(&format!("key {n}"), body).http()).unwrap();
            assert_eq!(read_answer(&mut stream).status, 200, "key {n}");
        }
    };
    thread::scope(|scope| (0..CONNECTIONS_OF_KEYS).for_each(|first| _ = scope.spawn(move || fill(first))));
}

/// A program with this memory limit, whose agent has the memory for as many keys as a test wants.
fn program_for_keys(agent: &Agent, memory_mb: usize) -> Program {
    let site = vec![(r#""kb_per_key": 117.75"#, r#""kb_per_key": 0.01"#)];
    let setup = Setup { memory_mb: Some(memory_mb), sockets: Some(512), site, ..Setup::default() };
    Program::start(Setup { agent: Some(agent.address), ..setup })
}

#[test]
fn the_handover_of_many_results_takes_little_memory() {
    // Guards against an upgrade that goes over the memory limit: all keys were encoded before the first one was written.
    const RESULTS: usize = 1_500;
    const RESULT_BYTES: usize = 2_000;
    let [old_agent, new_agent] = [(); 2].map(|()| Agent::start(6, Duration::ZERO, false));
    let old = program_for_keys(&old_agent, MEMORY_MB);
    fill_keys(&old, 0..RESULTS, &[b'r'; RESULT_BYTES]);
    let before_kb = old.resident_kb();
    let _new = old.successor(&old_agent, &new_agent);
    let growth_kb = old.peak_resident_kb() - before_kb;
    assert!(growth_kb < 1_500, "{growth_kb} kB for the handover of {} kB", RESULTS * RESULT_BYTES / 1000);
}

#[test]
fn a_key_is_kept_without_the_room_of_its_ended_tries() {
    // Guards against keys that take the memory of requests for as long as they are remembered.
    const KEYS: usize = 4_000;
    const MAX_BYTES_PER_KEY: u64 = 700;
    let agent = Agent::start(6, Duration::ZERO, false);
    let program = program_for_keys(&agent, 4 * MEMORY_MB);
    // The log keeps the events of the first requests.
    fill_keys(&program, 0..2_000, b"");
    let before_kb = program.anonymous_kb();
    fill_keys(&program, 2_000..2_000 + KEYS, b"");
    let growth_bytes = (program.anonymous_kb() - before_kb) * 1024;
    let per_key = growth_bytes / KEYS as u64;
    assert!(per_key < MAX_BYTES_PER_KEY, "{per_key} bytes for a key");
}

/// Opens connections that each have written this part of a request.
fn open_half_written(address: SocketAddr, connections: usize, part: &[u8]) -> Vec<TcpStream> {
    let open = |_| {
        let mut stream = connect(address);
        stream.write_all(part).unwrap();
        stream
    };
    (0..connections).map(open).collect()
}

/// The first part of a request with a large head.
fn half_a_head() -> Vec<u8> {
    format!("POST /do/queue-status HTTP/1.1\r\nX-Pad: {}", "p".repeat(7_800)).into_bytes()
}

/// Waits until the program has read what its clients have written before.
fn wait_for_reads(program: &Program) {
    assert_eq!(exchange(program.http, b"GET /check HTTP/1.1\r\nConnection: close\r\n\r\n").status, 200);
}

/// What each of many connections takes on which this part of a request has arrived, in bytes.
fn memory_of_half_written(part: &[u8]) -> u64 {
    const CONNECTIONS: usize = 300;
    let agent = Agent::start(1, Duration::ZERO, false);
    let program = Program::start(Setup { agent: Some(agent.address), ..Setup::default() });
    let before_kb = program.anonymous_kb();
    let _clients = open_half_written(program.http, CONNECTIONS, part);
    wait_for_reads(&program);
    (program.anonymous_kb() - before_kb) * 1024 / CONNECTIONS as u64
}

#[test]
fn half_a_request_takes_little_more_than_its_bytes() {
    // Guards against buffers that grow to twice what they hold.
    const ROOM_BESIDE_THE_BYTES: u64 = 2048;
    let part = half_a_head();
    let growth = memory_of_half_written(&part) - memory_of_half_written(&part[..64]);
    let most = part.len() as u64 + ROOM_BESIDE_THE_BYTES;
    assert!(growth < most, "{growth} bytes more for a part of {} bytes", part.len());
}

#[test]
fn connections_that_have_ended_give_back_their_stacks() {
    // Guards against an old process of an upgrade that keeps the memory of connections which went to the new one.
    const CONNECTIONS: usize = 300;
    let agent = Agent::start(1, Duration::ZERO, false);
    let program = Program::start(Setup { agent: Some(agent.address), ..Setup::default() });
    let (before_kb, descriptors) = (program.anonymous_kb(), program.descriptors());
    let clients = open_half_written(program.http, CONNECTIONS, b"POST /do/queue-status HTTP/1.1\r\n");
    wait_for_reads(&program);
    let open_kb = program.anonymous_kb() - before_kb;
    drop(clients);
    wait_for("their end", || program.descriptors() <= descriptors);
    let kept_kb = program.anonymous_kb() - before_kb;
    assert!(kept_kb * 3 < open_kb * 2, "{kept_kb} kB of {open_kb} are kept");
}

/// Sends requests with ever new keys, of the greatest length and with large results, until all of them are refused.
fn fill_all_keys(program: &Program) {
    const REFUSALS_IN_A_ROW: usize = 50;
    let next_key = AtomicUsize::new(0);
    let fill = || {
        let (mut stream, mut refusals) = (connect(program.http), 0);
        while refusals < REFUSALS_IN_A_ROW {
            let key = format!("{:0>250}", next_key.fetch_add(1, Ordering::Relaxed));
            stream.write_all(&Request::keyed(&key, &[b'r'; 2_000]).http()).unwrap();
            refusals = if read_answer(&mut stream).status == 503 { refusals + 1 } else { 0 };
        }
    };
    thread::scope(|scope| (0..CONNECTIONS_OF_KEYS).for_each(|_| _ = scope.spawn(fill)));
}

/// Anonymous memory of both processes of an upgrade, in kilobytes.
fn anonymous_kb_of(processes: [&Program; 2]) -> u64 {
    processes.iter().map(|process| process.anonymous_kb()).sum()
}

#[test]
fn keys_and_results_of_both_processes_of_an_upgrade_keep_to_their_share_of_the_limit() {
    // Guards against two processes that each fill the whole shares of keys and results.
    // Keys are in both processes, and each has half of the room for results at least.
    const SHARE_OF_BOTH: f64 = 2.0 * 0.13 + 1.5 * 0.09;
    // The last events of requests, and the ids of those that ran.
    const LOG_AND_IDS_KB: f64 = 2.0 * 1_500.0;
    let [old_agent, new_agent] = [(); 2].map(|()| Agent::start(6, Duration::ZERO, false));
    let old = program_for_keys(&old_agent, MEMORY_MB);
    let empty_kb = 2 * old.anonymous_kb();
    fill_all_keys(&old);
    let new = old.successor(&old_agent, &new_agent);
    let growth_kb = anonymous_kb_of([&old, &new]) - empty_kb;
    let share_kb = SHARE_OF_BOTH * (MEMORY_MB * 1024) as f64 + LOG_AND_IDS_KB;
    assert!((growth_kb as f64) < share_kb, "{growth_kb} kB of {share_kb:.0}");
}
