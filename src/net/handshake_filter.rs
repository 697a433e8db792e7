//! Keeps new connections away from a listener that is about to close, and lets the handshakes it has begun end.
//!
//! What is in the backlog of a listener is reset as it closes. So nothing may be put there between the last look at the
//! backlog and the close: new clients are shut out, or go to another listener at the same address.

use std::io;
use std::os::fd::AsFd;

use nix::libc::{sock_filter, sock_fprog, BPF_ABS, BPF_B, BPF_JMP, BPF_JSET, BPF_K, BPF_LD, BPF_RET};
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt::AttachReusePortCbpf;
use socket2::SockRef;

/// Where the flags stand in a TCP header, and the flag of a packet that begins a handshake.
const FLAGS_AT: u32 = 13;
const SYN: u32 = 0x02;
/// What a filter returns: a length to which the packet is cut.
const PASS: u32 = u32::MAX;
const DROP: u32 = 0;
/// The place of a successor among the listeners at one address: the system keeps them in the order in which they began,
/// and there are no more than two.
const SUCCESSOR: u32 = 1;
/// A place that no listener has: the system chooses by the addresses of the connection, as without a choice.
const NO_PLACE: u32 = u32::MAX;

/// One instruction; the two jumps count the instructions to skip where the test holds and where it does not.
const fn instruction(code: u32, if_true: u8, if_false: u8, operand: u32) -> sock_filter {
    sock_filter { code: code as u16, jt: if_true, jf: if_false, k: operand }
}

/// Runs on each packet, with the TCP header first.
const DROP_SYN: [sock_filter; 4] = [
    instruction(BPF_LD | BPF_B | BPF_ABS, 0, 0, FLAGS_AT),
    instruction(BPF_JMP | BPF_JSET | BPF_K, 0, 1, SYN),
    instruction(BPF_RET | BPF_K, 0, 0, DROP),
    instruction(BPF_RET | BPF_K, 0, 0, PASS),
];
/// Run where the system chooses a listener for a new connection.
const CHOOSE_SUCCESSOR: [sock_filter; 1] = [instruction(BPF_RET | BPF_K, 0, 0, SUCCESSOR)];
const CHOOSE_BY_ADDRESS: [sock_filter; 1] = [instruction(BPF_RET | BPF_K, 0, 0, NO_PLACE)];

/// Shuts out new handshakes: a client that begins one hears nothing, tries again after a second, and is refused then.
///
/// # Errors
/// What the system says where it has no such filters.
pub(super) fn drop_new_handshakes(listener: &impl AsFd) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&DROP_SYN)
}

/// Has new handshakes begin at the listener of another process at the same address, which began to listen later. Where
/// that one is gone, the system chooses as before.
///
/// # Errors
/// What the system says where it has no such choice.
pub(super) fn direct_to_successor(listener: &impl AsFd) -> io::Result<()> {
    choose(listener, CHOOSE_SUCCESSOR)
}

/// Has new handshakes begin at any listener at the same address. A choice outlives the listener by which it was made, as
/// long as there is another one.
///
/// # Errors
/// What the system says where it has no such choice.
pub(super) fn direct_to_any(listener: &impl AsFd) -> io::Result<()> {
    choose(listener, CHOOSE_BY_ADDRESS)
}

fn choose(listener: &impl AsFd, mut instructions: [sock_filter; 1]) -> io::Result<()> {
    let program = sock_fprog { len: instructions.len() as u16, filter: instructions.as_mut_ptr() };
    setsockopt(listener, AttachReusePortCbpf, &program).map_err(io::Error::from)
}
