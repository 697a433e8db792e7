//! Tests that a member answers a prepare by the connections that were opened for this very turn.

use super::*;

/// One member, to which the leader's replies are delivered at once.
struct PreparingMember {
    member: Member,
    now: Duration,
}

impl PreparingMember {
    fn new() -> Self {
        let identity = MemberIncarnation { name: "m1".into(), incarnation: 1 };
        Self { member: Member::new(identity, known(), Timing::default()), now: ms(1) }
    }

    fn step(&mut self, input: member::Input) -> Vec<member::Effect> {
        self.now += ms(1);
        self.member.step(self.now, input)
    }

    /// Makes the member send a lease request, and replies with this activation in progress.
    fn reply(&mut self, pending: Option<Pending>) -> Vec<member::Effect> {
        let asked = self.step(member::Input::Nudge);
        let ask = asked.iter().find_map(|effect| match effect {
            member::Effect::Ask(ask) => Some(ask.number),
            _ => None,
        });
        let (number, time) = (ask.unwrap(), self.now);
        let reply = LeaseReply { number, term: 1, time, lease: Duration::ZERO, active: None, pending };
        self.member.step(self.now, member::Input::Reply(reply))
    }

    /// Makes the member prepare a turn with the only table. Returns whether it wants to open connections.
    fn prepare(&mut self, turn: u64) -> bool {
        let table = Table::parse(&document(1)).unwrap();
        let activation = Activation { fence: Fence { turn, version: 1 }, hash: table.hash() };
        let mut effects = self.reply(Some(Pending::Prepare(activation)));
        if effects.iter().any(|effect| matches!(effect, member::Effect::Fetch(_))) {
            effects.extend(self.step(member::Input::Fetched(table.hash(), document(1))));
        }
        effects.contains(&member::Effect::Open(turn, table.hash()))
    }

    fn opened(&mut self, turn: u64, opened: Result<(), std::net::SocketAddr>) {
        let hash = Table::parse(&document(1)).unwrap().hash();
        self.step(member::Input::Opened(turn, hash, opened));
    }

    /// Returns the member's answer to a prepare.
    fn answer(&mut self) -> Option<(u64, bool)> {
        let asked = self.step(member::Input::Nudge);
        asked.into_iter().find_map(|effect| match effect {
            member::Effect::Ask(ask) => ask.answer.map(|(turn, answer)| (turn, answer.is_ok())),
            _ => None,
        })
    }
}

#[test]
fn connections_opened_for_an_earlier_turn_do_not_accept_a_prepare() {
    // Guards against a switch to services that were reachable only when an earlier activation was aborted.
    let mut member = PreparingMember::new();
    assert!(member.prepare(1));
    member.opened(1, Ok(()));
    assert_eq!(member.answer(), Some((1, true)));
    member.reply(None);
    assert!(member.prepare(2), "it opens them again");
    assert_eq!(member.answer(), None);
    member.opened(2, Ok(()));
    assert_eq!(member.answer(), Some((2, true)));
}

#[test]
fn a_connection_that_failed_for_an_earlier_turn_does_not_refuse_a_prepare() {
    // Guards against aborting an activation again although the service has become reachable.
    let mut member = PreparingMember::new();
    assert!(member.prepare(1));
    member.reply(None);
    member.prepare(2);
    member.opened(1, Err("127.0.0.1:1".parse().unwrap()));
    assert_eq!(member.answer(), None);
    member.opened(2, Ok(()));
    assert_eq!(member.answer(), Some((2, true)));
}
