//! What a route allows of a request's calls, as the module decides by it.

mod common;

use common::*;
use hopwalk::interface::*;
use rstest::rstest;

fn bench() -> Bench {
    let mut s = settings();
    s.dependency = Dependency::Tier;
    s.classes
        .iter_mut()
        .for_each(|c| (c.target_latency, c.client_timeout, c.skip_worth) = (ms(60_000), ms(90_000), 0.3));
    Bench::new(s)
}

/// Request 1 runs and needs a call, of which a route allows this.
fn at_call(b: &mut Bench, class: usize, limits: Option<CallLimits>) {
    b.arrive(1, class, |a| a.due = Some(ms(90_000)));
    assert!(b.did(&Action::Start(1)));
    b.event(Event::CallNeeded { id: 1 });
    b.batch(limits.map(|limits| Event::CallLimits { id: 1, limits }).into_iter().collect());
}

/// Ends every call of request 1 from the `first` one on in the same way, until no more is made; how many
/// there were.
fn all_end(b: &mut Bench, first: usize, outcome: Outcome) -> usize {
    let before = first - 1;
    let mut ended = before;
    for _ in 0..600 {
        if b.calls(1) > ended {
            ended += 1;
            b.event(Event::CallEnded { id: 1, outcome, took: ms(5) });
        }
        b.advance(50);
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
#[case::more_than_the_modules_own(0, 5, Outcome::Reset, 5)]
#[case::none_is_one(0, 0, Outcome::Error, 1)]
#[case::bounded(0, 200, Outcome::Error, 10)]
#[case::sent_back_unseen_is_a_try(0, 2, Outcome::Busy, 2)]
#[case::out_of_reach_is_a_try(1, 1, Outcome::Unreachable, 1)]
#[case::once_only_after_an_effect(1, 5, Outcome::Error, 1)]
#[case::once_only_after_silence(1, 5, Outcome::TimedOut, 1)]
#[case::once_only_again_if_it_never_ran(1, 3, Outcome::Busy, 3)]
#[case::of_an_older_version(0, 5, Outcome::Stale, 1)]
fn a_call_is_tried_at_most_as_often_as_its_route_says(
    #[case] class: usize,
    #[case] max_tries: u8,
    #[case] outcome: Outcome,
    #[case] calls: usize,
) {
    let mut b = bench();
    at_call(&mut b, class, route(max_tries, true));
    assert_eq!(all_end(&mut b, 1, outcome), calls);
    let skipped = outcome != Outcome::Stale;
    assert_eq!((b.did(&Action::SkipCall(1)), b.did(&Action::Fail(1))), (skipped, !skipped));
}

#[rstest]
#[case::error(0, Outcome::Error, 3)]
#[case::once_only(1, Outcome::Error, 1)]
fn without_a_route_the_modules_own_bound_holds(
    #[case] class: usize,
    #[case] outcome: Outcome,
    #[case] calls: usize,
) {
    let mut b = bench();
    at_call(&mut b, class, None);
    assert_eq!(all_end(&mut b, 1, outcome), calls);
    assert!(b.did(&Action::SkipCall(1)));
}

#[test]
fn what_the_lease_bars_was_not_tried() {
    let mut b = bench();
    at_call(&mut b, 1, route(1, false));
    for n in 1..=4 {
        b.event(Event::CallEnded { id: 1, outcome: Outcome::Barred, took: ms(1) });
        b.advance(50);
        assert_eq!(b.calls(1), n, "not at once again");
        b.advance(100);
        assert_eq!(b.calls(1), n + 1);
    }
    b.event(Event::CallEnded { id: 1, outcome: Outcome::Error, took: ms(1) });
    assert!(b.did(&Action::Fail(1)));
}

#[test]
fn each_call_of_a_run_has_all_tries() {
    let mut b = bench();
    at_call(&mut b, 0, route(2, false));
    for n in [1, 3] {
        b.event(Event::CallEnded { id: 1, outcome: Outcome::Error, took: ms(5) });
        b.advance(300);
        assert_eq!(b.calls(1), n + 1);
        b.event(Event::CallEnded { id: 1, outcome: Outcome::Done, took: ms(5) });
        b.event(Event::CallNeeded { id: 1 });
    }
    assert!(!b.did(&Action::Fail(1)));
    assert_eq!(all_end(&mut b, 5, Outcome::Error), 2);
}

#[test]
fn another_version_that_allows_less_ends_what_waits() {
    for may_skip in [true, false] {
        let mut b = bench();
        at_call(&mut b, 0, route(5, true));
        for _ in 0..2 {
            b.event(Event::CallEnded { id: 1, outcome: Outcome::Busy, took: ms(5) });
            b.advance(20);
        }
        b.batch(route(1, may_skip).map(|limits| Event::CallLimits { id: 1, limits }).into_iter().collect());
        assert_eq!((b.did(&Action::SkipCall(1)), b.did(&Action::Fail(1))), (may_skip, !may_skip));
    }
}

#[rstest]
#[case::open_and_allowed(RouteState::Open, true, Some(true))]
#[case::open_and_not(RouteState::Open, false, Some(false))]
#[case::left_out(RouteState::Skip, true, Some(true))]
#[case::shut(RouteState::Closed, true, Some(false))]
fn a_request_is_answered_without_its_call_only_where_its_route_allows_it(
    #[case] way: RouteState,
    #[case] may_skip: bool,
    #[case] skipped: Option<bool>,
) {
    let mut b = bench();
    b.arrive(1, 0, |a| a.due = Some(ms(90_000)));
    b.event(Event::RouteStates(vec![way, way]));
    let limits = CallLimits { max_tries: 1, may_skip };
    b.batch(vec![Event::CallLimits { id: 1, limits }, Event::CallNeeded { id: 1 }]);
    if way == RouteState::Open {
        b.event(Event::CallEnded { id: 1, outcome: Outcome::Error, took: ms(5) });
    }
    assert_eq!(Some(b.did(&Action::SkipCall(1))), skipped);
    assert_eq!(Some(!b.did(&Action::Fail(1))), skipped);
    assert_eq!(b.calls(1), usize::from(way == RouteState::Open));
}

#[test]
fn in_a_crowd_a_call_is_left_out_only_where_its_route_allows_it() {
    for may_skip in [true, false] {
        let mut s = settings();
        (s.dependency, s.call_share, s.cores) = (Dependency::Shared, 1.2, 8);
        s.classes.iter_mut().for_each(|c| c.skip_worth = 0.3);
        let mut b = Bench::new(s);
        for id in 1..=4 {
            b.arrive(id, 0, |_| ());
            let limits = CallLimits { max_tries: 1, may_skip };
            b.batch(vec![Event::CallLimits { id, limits }, Event::CallNeeded { id }]);
        }
        b.advance(300);
        let skipped = (1..=4).filter(|id| b.did(&Action::SkipCall(*id))).count();
        assert_eq!(skipped > 0, may_skip, "{skipped}");
    }
}

#[test]
fn the_last_try_that_a_route_allows_gets_all_the_time_left() {
    for (max_tries, whole) in [(1, true), (2, false)] {
        let mut b = bench();
        for id in 2..12 {
            b.arrive(id, 0, |_| ());
            b.event(Event::CallNeeded { id });
            b.event(Event::CallEnded { id, outcome: Outcome::Done, took: ms(20) });
            b.event(Event::Finished { id, outcome: Outcome::Done, took: ms(30) });
        }
        b.arrive(1, 0, |a| a.due = Some(ms(90_000)));
        let limits = CallLimits { max_tries, may_skip: true };
        b.batch(vec![Event::CallLimits { id: 1, limits }, Event::CallNeeded { id: 1 }]);
        let patience = b.log.iter().find_map(|(_, a)| match a {
            Action::Call { id: 1, timeout } => Some(*timeout),
            _ => None,
        });
        assert_eq!(patience.unwrap() > ms(50_000), whole, "{patience:?}");
    }
}
