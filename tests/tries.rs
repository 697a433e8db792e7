//! The decision module keeps the limits that a route sets for a request's calls.

mod common;

use common::*;
use hopwalk::interface::*;
use rstest::rstest;

fn tier_host() -> TestHost {
    let mut s = settings();
    s.dependency = Dependency::Tier;
    s.classes
        .iter_mut()
        .for_each(|c| (c.target_latency, c.client_timeout, c.skip_worth) = (ms(60_000), ms(90_000), 0.3));
    TestHost::new(s)
}

/// Starts request 1, which needs a call with these limits.
fn need_call(host: &mut TestHost, class: usize, limits: Option<CallLimits>) {
    host.arrive(1, class, |a| a.due = Some(ms(90_000)));
    assert!(host.issued(&Action::Start(1)));
    host.event(Event::CallNeeded { id: 1 });
    host.batch(limits.map(|limits| Event::CallLimits { id: 1, limits }).into_iter().collect());
}

/// Ends every call of request 1, from the `first` one on, with the same outcome until no more is made. Returns how
/// many there were.
fn end_all_calls(host: &mut TestHost, first: usize, outcome: Outcome) -> usize {
    let before = first - 1;
    let mut ended = before;
    for _ in 0..600 {
        if host.call_count(1) > ended {
            ended += 1;
            host.event(Event::CallEnded { id: 1, outcome, took: ms(5), may_repeat: true });
        }
        host.advance(50);
    }
    ended - before
}

fn route(max_tries: u8, may_skip: bool) -> Option<CallLimits> {
    Some(CallLimits { max_tries, may_skip })
}

#[rstest]
#[case::once(0, 1, Outcome::Error, 1)]
#[case::twice(0, 2, Outcome::Error, 2)]
#[case::thrice(0, 3, Outcome::TimedOut, 3)]
#[case::more_than_the_modules_default(0, 5, Outcome::Reset, 5)]
#[case::zero_counts_as_one(0, 0, Outcome::Error, 1)]
#[case::clamped(0, 200, Outcome::Error, 10)]
#[case::refused_is_a_try(0, 2, Outcome::Busy, 2)]
#[case::unreachable_is_a_try(1, 1, Outcome::Unreachable, 1)]
#[case::at_most_once_after_an_error(1, 5, Outcome::Error, 1)]
#[case::at_most_once_after_a_timeout(1, 5, Outcome::TimedOut, 1)]
#[case::at_most_once_that_never_ran(1, 3, Outcome::Busy, 3)]
#[case::stale(0, 5, Outcome::Stale, 1)]
fn a_call_is_tried_at_most_as_often_as_its_route_allows(
    #[case] class: usize,
    #[case] max_tries: u8,
    #[case] outcome: Outcome,
    #[case] calls: usize,
) {
    let mut host = tier_host();
    need_call(&mut host, class, route(max_tries, true));
    assert_eq!(end_all_calls(&mut host, 1, outcome), calls);
    let skipped = outcome != Outcome::Stale;
    assert_eq!((host.issued(&Action::SkipCall(1)), host.issued(&Action::Fail(1))), (skipped, !skipped));
}

#[rstest]
#[case::error(0, Outcome::Error, 3)]
#[case::at_most_once(1, Outcome::Error, 1)]
fn without_a_route_the_modules_default_applies(
    #[case] class: usize,
    #[case] outcome: Outcome,
    #[case] calls: usize,
) {
    let mut host = tier_host();
    need_call(&mut host, class, None);
    assert_eq!(end_all_calls(&mut host, 1, outcome), calls);
    assert!(host.issued(&Action::SkipCall(1)));
}

#[test]
fn a_call_without_a_lease_does_not_count_as_a_try() {
    let mut host = tier_host();
    need_call(&mut host, 1, route(1, false));
    for n in 1..=4 {
        host.event(Event::CallEnded { id: 1, outcome: Outcome::Barred, took: ms(1), may_repeat: true });
        host.advance(50);
        assert_eq!(host.call_count(1), n, "not repeated at once");
        host.advance(100);
        assert_eq!(host.call_count(1), n + 1);
    }
    host.event(Event::CallEnded { id: 1, outcome: Outcome::Error, took: ms(1), may_repeat: true });
    assert!(host.issued(&Action::Fail(1)));
}

#[test]
fn each_call_of_a_run_gets_all_tries() {
    let mut host = tier_host();
    need_call(&mut host, 0, route(2, false));
    for n in [1, 3] {
        host.event(Event::CallEnded { id: 1, outcome: Outcome::Error, took: ms(5), may_repeat: true });
        host.advance(300);
        assert_eq!(host.call_count(1), n + 1);
        host.event(Event::CallEnded { id: 1, outcome: Outcome::Done, took: ms(5), may_repeat: true });
        host.event(Event::CallNeeded { id: 1 });
    }
    assert!(!host.issued(&Action::Fail(1)));
    assert_eq!(end_all_calls(&mut host, 5, Outcome::Error), 2);
}

#[test]
fn a_new_version_that_allows_fewer_tries_ends_waiting_calls() {
    for may_skip in [true, false] {
        let mut host = tier_host();
        need_call(&mut host, 0, route(5, true));
        for _ in 0..2 {
            host.event(Event::CallEnded { id: 1, outcome: Outcome::Busy, took: ms(5), may_repeat: true });
            host.advance(20);
        }
        host.batch(
            route(1, may_skip).map(|limits| Event::CallLimits { id: 1, limits }).into_iter().collect(),
        );
        assert_eq!((host.issued(&Action::SkipCall(1)), host.issued(&Action::Fail(1))), (may_skip, !may_skip));
    }
}

#[rstest]
#[case::open_and_allowed(RouteState::Open, true, Some(true))]
#[case::open_and_not(RouteState::Open, false, Some(false))]
#[case::skip(RouteState::Skip, true, Some(true))]
#[case::closed(RouteState::Closed, true, Some(false))]
fn a_request_is_answered_without_its_call_only_where_its_route_allows_it(
    #[case] state: RouteState,
    #[case] may_skip: bool,
    #[case] skipped: Option<bool>,
) {
    let mut host = tier_host();
    host.arrive(1, 0, |a| a.due = Some(ms(90_000)));
    host.event(Event::RouteStates(vec![state, state]));
    let limits = CallLimits { max_tries: 1, may_skip };
    host.batch(vec![Event::CallLimits { id: 1, limits }, Event::CallNeeded { id: 1 }]);
    if state == RouteState::Open {
        host.event(Event::CallEnded { id: 1, outcome: Outcome::Error, took: ms(5), may_repeat: true });
    }
    assert_eq!(Some(host.issued(&Action::SkipCall(1))), skipped);
    assert_eq!(Some(!host.issued(&Action::Fail(1))), skipped);
    assert_eq!(host.call_count(1), usize::from(state == RouteState::Open));
}

#[test]
fn a_call_without_room_is_skipped_only_where_its_route_allows_it() {
    for may_skip in [true, false] {
        let mut s = settings();
        (s.dependency, s.call_share, s.cores) = (Dependency::Shared, 1.2, 8);
        s.classes.iter_mut().for_each(|c| c.skip_worth = 0.3);
        let mut host = TestHost::new(s);
        for id in 1..=4 {
            host.arrive(id, 0, |_| ());
            let limits = CallLimits { max_tries: 1, may_skip };
            host.batch(vec![Event::CallLimits { id, limits }, Event::CallNeeded { id }]);
        }
        host.advance(300);
        let skipped = (1..=4).filter(|id| host.issued(&Action::SkipCall(*id))).count();
        assert_eq!(skipped > 0, may_skip, "{skipped}");
    }
}

#[test]
fn the_last_try_that_a_route_allows_gets_all_the_time_left() {
    for (max_tries, unlimited) in [(1, true), (2, false)] {
        let mut host = tier_host();
        for id in 2..12 {
            host.arrive(id, 0, |_| ());
            host.event(Event::CallNeeded { id });
            host.event(Event::CallEnded { id, outcome: Outcome::Done, took: ms(20), may_repeat: true });
            host.event(Event::Finished { id, outcome: Outcome::Done, took: ms(30) });
        }
        host.arrive(1, 0, |a| a.due = Some(ms(90_000)));
        let limits = CallLimits { max_tries, may_skip: true };
        host.batch(vec![Event::CallLimits { id: 1, limits }, Event::CallNeeded { id: 1 }]);
        let timeout = host.actions.iter().find_map(|(_, a)| match a {
            Action::Call { id: 1, timeout } => Some(*timeout),
            _ => None,
        });
        assert_eq!(timeout.unwrap() > ms(50_000), unlimited, "{timeout:?}");
    }
}
