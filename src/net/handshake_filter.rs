//! Keeps new TCP handshakes away from a listener that is about to close, while handshakes that have begun complete.
//!
//! When a listener closes, the system resets the connections in its backlog. So no connection may enter the backlog
//! between the last check of the backlog and the close: new handshakes are dropped, or directed to another listener of
//! the same address.

use std::io;
use std::os::fd::AsFd;

use nix::libc::{sock_filter, sock_fprog, BPF_ABS, BPF_B, BPF_JMP, BPF_JSET, BPF_K, BPF_LD, BPF_RET};
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt::AttachReusePortCbpf;
use socket2::SockRef;

/// The offset of the flags in a TCP header, and the flag of a packet that begins a handshake.
const FLAGS_OFFSET: u32 = 13;
const SYN: u32 = 0x02;
/// Return values of a filter: the length to which the packet is truncated.
const PASS: u32 = u32::MAX;
const DROP: u32 = 0;
/// The index of a successor's listener among the listeners of one address: the system keeps them in the order in which
/// they began to listen, and there are at most two.
const SUCCESSOR_INDEX: u32 = 1;
/// An index that no listener has: the system chooses by the addresses of the connection, as it does without a program.
const NO_INDEX: u32 = u32::MAX;

/// One instruction. The two jumps are the numbers of instructions to skip if the test is true and if it is false.
const fn instruction(code: u32, if_true: u8, if_false: u8, operand: u32) -> sock_filter {
    sock_filter { code: code as u16, jt: if_true, jf: if_false, k: operand }
}

/// Runs on each packet, which begins with the TCP header.
const DROP_SYN: [sock_filter; 4] = [
    instruction(BPF_LD | BPF_B | BPF_ABS, 0, 0, FLAGS_OFFSET),
    instruction(BPF_JMP | BPF_JSET | BPF_K, 0, 1, SYN),
    instruction(BPF_RET | BPF_K, 0, 0, DROP),
    instruction(BPF_RET | BPF_K, 0, 0, PASS),
];
/// Run when the system chooses a listener for a new connection.
const CHOOSE_SUCCESSOR: [sock_filter; 1] = [instruction(BPF_RET | BPF_K, 0, 0, SUCCESSOR_INDEX)];
const CHOOSE_BY_ADDRESS: [sock_filter; 1] = [instruction(BPF_RET | BPF_K, 0, 0, NO_INDEX)];

/// Drops new handshakes: a client that begins one gets no reply, retries after a second, and is refused then.
///
/// # Errors
/// The system's error if it does not support such filters.
pub(super) fn drop_new_handshakes(listener: &impl AsFd) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&DROP_SYN)
}

/// Directs new handshakes to the listener of another process at the same address, which began to listen later. If that
/// listener is closed, the system chooses as it does without a program.
///
/// # Errors
/// The system's error if it does not support such programs.
pub(super) fn direct_to_successor(listener: &impl AsFd) -> io::Result<()> {
    attach_selection(listener, CHOOSE_SUCCESSOR)
}

/// Directs new handshakes to any listener of the same address. This is needed because a program stays in effect after
/// the listener that attached it has closed, as long as there is another listener.
///
/// # Errors
/// The system's error if it does not support such programs.
pub(super) fn direct_to_any(listener: &impl AsFd) -> io::Result<()> {
    attach_selection(listener, CHOOSE_BY_ADDRESS)
}

/// Attaches the program by which the system selects a listener for new connections to this address.
fn attach_selection(listener: &impl AsFd, mut instructions: [sock_filter; 1]) -> io::Result<()> {
    let program = sock_fprog { len: instructions.len() as u16, filter: instructions.as_mut_ptr() };
    setsockopt(listener, AttachReusePortCbpf, &program).map_err(io::Error::from)
}
