//! A packet filter that lets a listener end the handshakes it has begun and begin no others.
//!
//! The system runs a socket's filter on each packet with the TCP header first. This one drops what carries SYN: a
//! client that begins to connect hears nothing, tries again after a second, and is refused once the listener is
//! closed. All other packets pass, among them the last one of a handshake.

use std::io;
use std::os::fd::AsFd;

use nix::libc::{sock_filter, BPF_ABS, BPF_B, BPF_JMP, BPF_JSET, BPF_K, BPF_LD, BPF_RET};
use socket2::SockRef;

/// Where the flags stand in a TCP header, and the flag of a packet that begins a handshake.
const FLAGS_AT: u32 = 13;
const SYN: u32 = 0x02;
/// What the filter returns: a length to which the packet is cut.
const PASS: u32 = u32::MAX;
const DROP: u32 = 0;

/// One instruction; the two jumps count the instructions to skip where the test holds and where it does not.
const fn instruction(code: u32, if_true: u8, if_false: u8, operand: u32) -> sock_filter {
    sock_filter { code: code as u16, jt: if_true, jf: if_false, k: operand }
}

const FILTER: [sock_filter; 4] = [
    instruction(BPF_LD | BPF_B | BPF_ABS, 0, 0, FLAGS_AT),
    instruction(BPF_JMP | BPF_JSET | BPF_K, 0, 1, SYN),
    instruction(BPF_RET | BPF_K, 0, 0, DROP),
    instruction(BPF_RET | BPF_K, 0, 0, PASS),
];

/// Shuts out new handshakes at a listener.
///
/// # Errors
/// What the system says where it has no such filters.
pub(super) fn attach(listener: &impl AsFd) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&FILTER)
}
