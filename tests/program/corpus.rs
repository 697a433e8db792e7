//! Sends the corpora of the fuzz targets to the real program: whole, in pieces, half closed and reset. Callers with
//! valid requests must all be answered meanwhile, each once.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::harness::*;

/// The number of files of each corpus to send; each is sent in five ways.
const MAX_FILES: usize = 60;

fn corpus(target: &str) -> Vec<Vec<u8>> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("fuzz/corpus").join(target);
    let mut files: Vec<_> = std::fs::read_dir(dir).unwrap().map(|f| f.unwrap().path()).collect();
    files.sort();
    let stride = files.len().div_ceil(MAX_FILES);
    files.iter().step_by(stride).map(|f| std::fs::read(f).unwrap()).collect()
}

/// Sends an input in one of five ways. Any answer will do, but the connection must end.
fn send_input(address: SocketAddr, bytes: &[u8], manner: usize) {
    let mut stream = connect(address);
    let (first, second) = bytes.split_at(bytes.len() / 2);
    let read_to_end_of_connection = |stream: &mut TcpStream| {
        let _ = stream.shutdown(Shutdown::Write);
        let mut answer = Vec::new();
        // A reset ends the answer as well.
        let _ = stream.read_to_end(&mut answer);
        let heads = answer.windows(9).filter(|w| w == b"HTTP/1.1 ").count();
        // One answer for each request, and one more for a request that is invalid.
        assert!(
            heads <= bytes.windows(5).filter(|w| w == b"HTTP/").count() + 1,
            "{}",
            String::from_utf8_lossy(&answer)
        );
    };
    match manner {
        0 => {
            let _ = stream.write_all(bytes);
            read_to_end_of_connection(&mut stream);
        }
        1 => {
            let _ = stream.write_all(first);
            thread::sleep(Duration::from_millis(1));
            let _ = stream.write_all(second);
            read_to_end_of_connection(&mut stream);
        }
        2 => {
            // The caller closes its side halfway.
            let _ = stream.write_all(first);
            read_to_end_of_connection(&mut stream);
        }
        3 => {
            // The caller closes with a reset.
            let _ = stream.write_all(bytes);
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        _ => {
            let _ = stream.write_all(first);
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }
}

#[test]
fn corpus_inputs_affect_no_other_caller_and_leave_no_request_unanswered() {
    let agent = Agent::start(4, Duration::from_millis(1), false);
    let mut program = Program::start(Setup { agent: Some(agent.address), ..Setup::default() });
    let (finished, answered) = (AtomicBool::new(false), AtomicUsize::new(0));
    let inputs: Vec<_> = ["http", "scgi", "door"]
        .into_iter()
        .flat_map(|target| corpus(target).into_iter().map(move |bytes| (target, bytes)))
        .collect();
    thread::scope(|scope| {
        for frontend in ["http", "scgi"] {
            let (finished, answered, program) = (&finished, &answered, &program);
            scope.spawn(move || {
                while !finished.load(Ordering::Relaxed) {
                    let request = Request::new("queue-status", b"well");
                    let answer = match frontend {
                        "http" => exchange(program.http, &request.http()),
                        _ => exchange(program.scgi, &request.scgi()),
                    };
                    assert!(answer.status == 503 || answer.body == b"made:well", "{answer:?}");
                    answered.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        let senders: Vec<_> = (0..5)
            .map(|manner| {
                let (inputs, program) = (&inputs, &program);
                scope.spawn(move || {
                    for (target, bytes) in inputs {
                        // The inputs of the admin endpoint's target, `door`, are HTTP as well.
                        send_input(
                            if *target == "scgi" { program.scgi } else { program.http },
                            bytes,
                            manner,
                        );
                    }
                })
            })
            .collect();
        let results: Vec<_> = senders.into_iter().map(|sender| sender.join()).collect();
        finished.store(true, Ordering::Relaxed);
        assert!(results.iter().all(Result::is_ok));
    });
    assert!(answered.load(Ordering::Relaxed) > 0);
    assert_eq!(exchange(program.http, &Request::new("queue-status", b"end").http()).body, b"made:end");
    // The program exits only once all that was read is answered.
    program.signal("TERM");
    assert!(program.wait_for_exit().success());
    let log = program.log();
    assert!(log.contains("all requests are answered") && !log.contains("panicked"), "{log}");
}
