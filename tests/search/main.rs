//! A search through every order of a small world around the real reducer: two calls a run, links that end and are read
//! late, runs that start again, ids that are sent again, replies that come late and twice. Each reply that a run gets is
//! judged by the call and by the ask that it was made for. `docs/model.md` says what the worlds include.

mod peers;
mod world;

use std::time::Instant;

use peers::Word;
use rstest::rstest;
use stateright::{Checker, Model};
use world::{Bounds, ANSWERED_AGAIN, BOTH_REPLIES, BY_ASK, REPLY_IN_DOUBT, STARTED_AGAIN};

/// One request, whose run makes two calls, and nothing goes wrong.
const ONE: Bounds = Bounds {
    requests: &[("queue-status", 2)],
    sends: 1,
    link_ends: 0,
    late_reads: 0,
    inbox: 0,
    words: &[Word::Yes],
    refusals: 0,
    strays: 0,
    broken_calls: 0,
    recants: false,
    waits: &[],
};
const KEYED: Bounds = Bounds { requests: &[("lobby-confirm", 2)], ..ONE };
const TWO: Bounds = Bounds { requests: &[("queue-status", 1), ("queue-prefs", 1)], ..ONE };
const ALL_WORDS: &[Word] = &[Word::Yes, Word::NotNow, Word::Failed, Word::Pointless, Word::Overdue];
/// A pause before a further ask, the wait for a reply in doubt, and the time of a request.
const WAITS: &[u64] = &[120, 520, 1600];

/// Explores a world whole, and checks that it has no order that breaks a rule and that it reaches these states.
fn explore(bounds: Bounds, reached: &[&'static str]) {
    let began = Instant::now();
    let checker = bounds.checker().threads(2).spawn_bfs().join();
    let found = checker.discoveries();
    println!("{} states in {:.1?}, {bounds:?}", checker.unique_state_count(), began.elapsed());
    for property in Model::properties(&bounds) {
        if let (stateright::Expectation::Always, Some(path)) =
            (property.expectation, found.get(property.name))
        {
            panic!("{}: {:?}", property.name, path.clone().into_actions());
        }
    }
    // An exploration that does not reach these states would prove nothing.
    let missed: Vec<_> = reached.iter().filter(|name| !found.contains_key(*name)).collect();
    assert!(missed.is_empty(), "never reached: {missed:?}");
}

#[rstest]
#[case::links(Bounds { link_ends: 1, late_reads: 2, ..ONE }, &[BOTH_REPLIES, STARTED_AGAIN, REPLY_IN_DOUBT])]
#[case::waiting_inputs(Bounds { link_ends: 2, inbox: 2, ..ONE }, &[BOTH_REPLIES, REPLY_IN_DOUBT])]
#[case::keyed(Bounds { link_ends: 1, late_reads: 1, waits: &[520], ..KEYED }, &[BOTH_REPLIES, REPLY_IN_DOUBT])]
#[case::dependency(Bounds { words: ALL_WORDS, refusals: 1, strays: 1, broken_calls: 1, waits: &[120], ..ONE }, &[BOTH_REPLIES])]
#[case::id_sent_again(Bounds { sends: 2, link_ends: 1, late_reads: 1, ..ONE }, &[BOTH_REPLIES])]
#[case::answered(Bounds { link_ends: 1, strays: 1, waits: &[1600], ..ONE }, &[BOTH_REPLIES])]
fn every_order_keeps_the_rules(#[case] bounds: Bounds, #[case] reached: &[&'static str]) {
    explore(bounds, reached);
}

/// Larger worlds, for a machine with time: `cargo test --release --test search -- --ignored --nocapture`.
#[rstest]
#[case::links(Bounds { link_ends: 2, late_reads: 2, strays: 1, waits: &[520], ..ONE }, &[STARTED_AGAIN])]
#[case::waiting_inputs(Bounds { link_ends: 3, inbox: 4, ..ONE }, &[REPLY_IN_DOUBT])]
#[case::time(Bounds { link_ends: 1, late_reads: 1, strays: 1, waits: WAITS, ..ONE }, &[REPLY_IN_DOUBT])]
#[case::keyed(Bounds { link_ends: 2, late_reads: 2, waits: &[520], ..KEYED }, &[REPLY_IN_DOUBT])]
#[case::dependency(Bounds { words: ALL_WORDS, refusals: 2, strays: 2, broken_calls: 1, waits: &[120, 250], ..ONE }, &[BOTH_REPLIES])]
#[case::id_sent_again(Bounds { sends: 2, link_ends: 2, late_reads: 2, strays: 1, ..ONE }, &[BOTH_REPLIES])]
#[case::id_sent_again_keyed(Bounds { sends: 2, link_ends: 1, late_reads: 2, strays: 1, ..KEYED }, &[BOTH_REPLIES])]
#[case::two_requests(Bounds { link_ends: 1, late_reads: 1, strays: 1, ..TWO }, &[STARTED_AGAIN])]
#[ignore = "takes minutes"]
fn every_order_of_a_larger_world_keeps_the_rules(#[case] bounds: Bounds, #[case] reached: &[&'static str]) {
    explore(bounds, reached);
}

/// The search finds a wrong reply where there is one: PROTOCOL has it that a word ends its ask.
#[rstest]
#[case::refused(&[Word::Yes, Word::NotNow], true)]
#[case::failed(&[Word::Yes, Word::Failed], true)]
#[case::pointless(&[Word::Yes, Word::Pointless], true)]
#[case::overdue(&[Word::Yes, Word::Overdue], false)]
fn a_reply_behind_another_word_about_its_ask_reaches_a_run_if_that_word_allows_a_further_ask(
    #[case] words: &'static [Word],
    #[case] is_reached: bool,
) {
    let bounds = Bounds { words, refusals: 1, strays: 1, recants: true, waits: &[120], ..ONE };
    let checker = bounds.checker().spawn_bfs().join();
    assert_eq!(checker.discoveries().contains_key(BY_ASK), is_reached);
}

#[test]
fn an_id_that_is_sent_again_is_answered_in_every_order() {
    explore(Bounds { sends: 2, ..ONE }, &[ANSWERED_AGAIN]);
}
