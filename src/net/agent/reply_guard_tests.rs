//! Tests of the last check of replies.

use std::time::Duration;

use rstest::rstest;

use super::reply_guard::{ReplyGuard, ReplyMismatch};
use super::OutgoingCommand;
use crate::core::{AskId, Bytes, CallReply, Command, Handle, LinkId};

fn handle(n: u64) -> Handle {
    format!("{n:016x}").parse().unwrap()
}

/// The reply to the call of notice 7 of run 1, as command `number` of link 3.
fn delivery(number: u64) -> OutgoingCommand {
    let (handle, cursor) = (handle(1), 7);
    let reply = CallReply::read(AskId { handle, cursor, attempt: 2 }, 5, Bytes::from(*b"reply"));
    OutgoingCommand {
        link: LinkId(3),
        number,
        command: Command::Deliver { handle, cursor, due: Duration::MAX, reply },
    }
}

fn with_delivery(
    change: impl FnOnce(&mut Handle, &mut u64, &mut CallReply),
    mut outgoing: OutgoingCommand,
) -> OutgoingCommand {
    if let Command::Deliver { handle, cursor, reply, .. } = &mut outgoing.command {
        change(handle, cursor, reply);
    }
    outgoing
}

#[rstest]
#[case::other_request(with_delivery(|handle, _, _| *handle = "00000000000000ff".parse().unwrap(), delivery(9)), ReplyMismatch::OtherRequest)]
#[case::other_call(with_delivery(|_, cursor, _| *cursor = 8, delivery(9)), ReplyMismatch::OtherCall)]
#[case::other_content(with_delivery(|_, _, reply| reply.body = Bytes::from(*b"other"), delivery(9)), ReplyMismatch::OtherContent)]
#[case::command_number(delivery(8), ReplyMismatch::CommandNumber)]
fn a_reply_that_differs_from_what_was_read_is_withheld(
    #[case] outgoing: OutgoingCommand,
    #[case] mismatch: ReplyMismatch,
) {
    let mut guard = ReplyGuard::default();
    assert_eq!(guard.check(&outgoing, 8).err(), Some(mismatch));
    assert!(guard.check(&delivery(9), 8).is_ok_and(|entry| entry.is_some()), "the reply itself is written");
}

#[test]
fn a_second_reply_to_a_call_or_to_an_earlier_call_is_withheld() {
    let mut guard = ReplyGuard::default();
    assert!(guard.check(&delivery(9), 8).is_ok());
    assert_eq!(guard.check(&delivery(10), 9).err(), Some(ReplyMismatch::RepeatedCall));
    let earlier =
        |outgoing| with_delivery(|_, cursor, reply| (*cursor, reply.origin.ask.cursor) = (6, 6), outgoing);
    assert_eq!(guard.check(&earlier(delivery(10)), 9).err(), Some(ReplyMismatch::RepeatedCall));
    let later =
        |outgoing| with_delivery(|_, cursor, reply| (*cursor, reply.origin.ask.cursor) = (11, 11), outgoing);
    assert!(guard.check(&later(delivery(10)), 9).is_ok());
}

#[test]
fn a_reply_that_was_queued_but_not_written_may_be_written_on_the_next_link() {
    let mut guard = ReplyGuard::default();
    assert!(guard.check(&delivery(9), 8).is_ok());
    guard.retract(LinkId(3), 9);
    assert_eq!(guard.check(&delivery(10), 9).err(), Some(ReplyMismatch::RepeatedCall), "it was written");
    guard.retract(LinkId(3), 8);
    assert!(guard.check(&delivery(10), 9).is_ok());
}

#[test]
fn other_commands_are_not_checked() {
    let outgoing = OutgoingCommand { link: LinkId(3), number: 1, command: Command::Sync };
    assert!(ReplyGuard::default().check(&outgoing, 8).is_ok_and(|entry| entry.is_none()));
}

#[test]
fn a_reply_is_too_late_once_its_request_is_due() {
    // Guards against a process that stood still between the order to write a reply and its writing.
    let second = Duration::from_secs(1);
    let mut outgoing = delivery(9);
    if let Command::Deliver { due, .. } = &mut outgoing.command {
        *due = second;
    }
    assert!(!outgoing.is_too_late(second - Duration::from_micros(1)) && outgoing.is_too_late(second));
    let other = OutgoingCommand { command: Command::Sync, ..outgoing };
    assert!(!other.is_too_late(second));
}
