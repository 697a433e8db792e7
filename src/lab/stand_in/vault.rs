//! Vaults that answer calls below: a sound one, one that spoils replies, and one that breaks its connections.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

use super::wait_for;

/// A stand-in for the vault: answers each call with `reply:` and its body.
pub fn vault() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let Ok(reads) = stream.try_clone() else { return };
                let (mut reads, mut writes) = (BufReader::new(reads), stream);
                let mut line = String::new();
                while reads.read_line(&mut line).unwrap_or(0) > 0 {
                    let words: Vec<_> = line.trim_end().split(' ').collect();
                    if let ["ask", handle, _, len] = words[..] {
                        let Some(len) = len.parse::<usize>().ok().filter(|n| *n <= 1 << 20) else { return };
                        let mut body = vec![0; len + 2];
                        if reads.read_exact(&mut body).is_err() {
                            return;
                        }
                        let reply = [b"reply:", &body[..body.len() - 2]].concat();
                        let head = format!("{handle} yes {}\r\n", reply.len());
                        if writes.write_all(&[head.as_bytes(), &reply, b"\r\n"].concat()).is_err() {
                            return;
                        }
                    }
                    line.clear();
                }
            });
        }
    });
    address
}

/// A vault that answers the call with the body `bad` by noise, and others well once there was such a one: behind
/// a reply that is nobody's, and with a second copy.
pub fn spoiling_vault() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let spoilt = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let spoilt = spoilt.clone();
            thread::spawn(move || {
                let mut reads = BufReader::new(stream.try_clone().unwrap());
                let (mut writes, mut line) = (stream, String::new());
                while reads.read_line(&mut line).is_ok_and(|n| n > 0) {
                    let words: Vec<_> = line.split_whitespace().map(str::to_string).collect();
                    let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
                    reads.read_exact(&mut body).unwrap();
                    body.truncate(body.len() - 2);
                    if body == b"bad" {
                        spoilt.fetch_add(1, Ordering::Relaxed);
                        let _ = writes.write_all(b"\xff\xfe?\r\n");
                    } else {
                        wait_for("a spoilt reply", || spoilt.load(Ordering::Relaxed) > 0);
                        let len = body.len() + 6;
                        let head = format!("{} yes {len}\r\nreply:", words[1]);
                        let reply = [head.as_bytes(), &body, b"\r\n"];
                        let stray = b"00000000000000ff yes 2\r\nno\r\n".to_vec();
                        writes.write_all(&[stray, reply.concat(), reply.concat()].concat()).unwrap();
                    }
                    line.clear();
                }
            });
        }
    });
    address
}

/// A vault that reads a call and breaks the connection.
pub fn broken_vault() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = BufReader::new(stream).read_line(&mut String::new());
        }
    });
    address
}
