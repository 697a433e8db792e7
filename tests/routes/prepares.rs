//! What a member answers to a prepare: by connections that were opened for its own turn.

use super::*;

/// One member that a leader's word comes to at once.
struct Told {
    member: Member,
    now: Duration,
}

impl Told {
    fn new() -> Self {
        let life = MemberIncarnation { name: "m1".into(), incarnation: 1 };
        Self { member: Member::new(life, known(), Timing::default()), now: ms(1) }
    }

    fn step(&mut self, input: member::Input) -> Vec<member::Effect> {
        self.now += ms(1);
        self.member.step(self.now, input)
    }

    /// Has it ask, and replies that this is on its way.
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

    /// Has it prepare a turn with the only table; true if it wants to open connections.
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

    /// What it says to a prepare.
    fn answer(&mut self) -> Option<(u64, bool)> {
        let asked = self.step(member::Input::Nudge);
        asked.into_iter().find_map(|effect| match effect {
            member::Effect::Ask(ask) => ask.answer.map(|(turn, answer)| (turn, answer.is_ok())),
            _ => None,
        })
    }
}

#[test]
fn a_prepare_is_not_answered_by_connections_that_were_opened_for_an_earlier_turn() {
    // Guards against a switch to services that were in reach an hour ago, when the activation was aborted.
    let mut told = Told::new();
    assert!(told.prepare(1));
    told.opened(1, Ok(()));
    assert_eq!(told.answer(), Some((1, true)));
    told.reply(None);
    assert!(told.prepare(2), "it tries them anew");
    assert_eq!(told.answer(), None);
    told.opened(2, Ok(()));
    assert_eq!(told.answer(), Some((2, true)));
}

#[test]
fn a_prepare_is_not_refused_by_a_connection_that_failed_for_an_earlier_turn() {
    // Guards against an activation that is aborted again though the service is there by now.
    let mut told = Told::new();
    assert!(told.prepare(1));
    told.reply(None);
    told.prepare(2);
    told.opened(1, Err("127.0.0.1:1".parse().unwrap()));
    assert_eq!(told.answer(), None);
    told.opened(2, Ok(()));
    assert_eq!(told.answer(), Some((2, true)));
}
