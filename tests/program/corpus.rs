//! The corpus of the fuzz targets against the real program: whole, in pieces, half closed and reset, between callers
//! who say what is right and must all be answered, once.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::harness::*;

/// Files of each corpus that are played: each is sent in five ways.
const MOST: usize = 60;

fn corpus(target: &str) -> Vec<Vec<u8>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("fuzz/corpus").join(target);
    let mut files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path()).collect();
    files.sort();
    let stride = files.len().div_ceil(MOST);
    files.iter().step_by(stride).map(|f| std::fs::read(f).unwrap()).collect()
}

/// Sends some bytes in one of several ways; what comes back may be anything, but it ends.
fn play(address: SocketAddr, bytes: &[u8], way: usize) {
    let mut stream = connect(address);
    let (first, second) = bytes.split_at(bytes.len() / 2);
    let ends = |stream: &mut TcpStream| {
        let _ = stream.shutdown(Shutdown::Write);
        let mut answer = Vec::new();
        // A reset ends it as well.
        let _ = stream.read_to_end(&mut answer);
        let heads = answer.windows(9).filter(|w| w == b"HTTP/1.1 ").count();
        // One answer a request, and one more that says what is wrong.
        assert!(
            heads <= bytes.windows(5).filter(|w| w == b"HTTP/").count() + 1,
            "{}",
            String::from_utf8_lossy(&answer)
        );
    };
    match way {
        0 => {
            let _ = stream.write_all(bytes);
            ends(&mut stream);
        }
        1 => {
            let _ = stream.write_all(first);
            thread::sleep(Duration::from_millis(1));
            let _ = stream.write_all(second);
            ends(&mut stream);
        }
        2 => {
            // The caller stops talking halfway.
            let _ = stream.write_all(first);
            ends(&mut stream);
        }
        3 => {
            // It leaves with a reset.
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
fn whatever_the_corpus_says_others_are_answered_once_and_nothing_is_left() {
    let agent = Agent::start(4, Duration::from_millis(1), false);
    let mut program = Program::start(Setup { agent: Some(agent.address), ..Setup::default() });
    let (over, answered) = (AtomicBool::new(false), AtomicUsize::new(0));
    let noise: Vec<_> = ["http", "scgi", "door"]
        .into_iter()
        .flat_map(|target| corpus(target).into_iter().map(move |bytes| (target, bytes)))
        .collect();
    thread::scope(|scope| {
        for frontend in ["http", "scgi"] {
            let (over, answered, program) = (&over, &answered, &program);
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
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
        let players: Vec<_> = (0..5)
            .map(|way| {
                let (noise, program) = (&noise, &program);
                scope.spawn(move || {
                    for (target, bytes) in noise {
                        // The door's inputs are HTTP as well.
                        play(if *target == "scgi" { program.scgi } else { program.http }, bytes, way);
                    }
                })
            })
            .collect();
        let played: Vec<_> = players.into_iter().map(|player| player.join()).collect();
        over.store(true, Ordering::Relaxed);
        assert!(played.iter().all(Result::is_ok));
    });
    assert!(answered.load(Ordering::Relaxed) > 0);
    assert_eq!(exchange(program.http, &Request::new("queue-status", b"end").http()).body, b"made:end");
    // It leaves only once all that was read is answered.
    program.signal("TERM");
    assert!(program.wait_for_exit().success());
    let log = program.log();
    assert!(log.contains("all is answered") && !log.contains("panicked"), "{log}");
}
