//! The rules that the decision module must keep, on small scripts of events.

mod common;

use common::*;
use hopwalk::interface::*;

#[test]
fn held_requests_are_answered_by_their_due_time() {
    let mut host = TestHost::new(settings());
    host.fill_cores();
    host.arrive(100, 0, |a| a.due = Some(ms(600)));
    host.run_until(700);
    assert!(host.answer_count(100) == 1, "{:?}", host.actions);
}

#[test]
fn running_requests_are_failed_at_their_due_time_and_never_refused() {
    let mut host = TestHost::new(settings());
    host.arrive(1, 1, |a| a.due = Some(ms(500)));
    assert!(host.issued(&Action::Start(1)));
    host.run_until(600);
    assert!(host.issued(&Action::Fail(1)));
    assert_eq!(host.answer_count(1), 1);
}

#[test]
fn a_deduplicated_request_runs_once_and_its_repeats_join() {
    let mut host = TestHost::new(keyed_settings());
    host.arrive(1, 1, |_| ());
    host.arrive(2, 1, |a| a.repeats = Some(1));
    host.run_until(400);
    assert!(host.issued(&Action::Start(1)) && host.issued(&Action::Join(2)));
    assert!(!host.issued(&Action::Start(2)));
    host.event(Event::Finished { id: 1, outcome: Outcome::Error, took: ms(400) });
    host.arrive(3, 1, |a| a.repeats = Some(1));
    host.advance(60);
    assert!(host.issued(&Action::Join(3)), "a try that failed may have had its effect");
}

#[test]
fn tries_that_name_each_other_in_one_batch_run_once() {
    let mut host = TestHost::new(keyed_settings());
    host.arrive_batch(&[(1, 1, Some(2)), (2, 1, Some(1))]);
    host.run_until(200);
    assert_eq!(host.start_count(&[1, 2]), 1);
}

#[test]
fn a_try_that_repeats_an_unknown_one_never_runs() {
    let mut host = TestHost::new(keyed_settings());
    host.arrive(2, 1, |a| a.repeats = Some(77));
    host.advance(60);
    assert!(host.issued(&Action::Join(2)));
}

#[test]
fn the_key_is_remembered_at_once_and_for_the_window_from_arrival() {
    let mut host = TestHost::new(keyed_settings());
    host.advance(5_000);
    host.arrive(1, 1, |a| a.age = ms(1_000));
    let lifetime = host.actions.iter().find_map(|(_, a)| match a {
        Action::RememberKey { id: 1, lifetime } => Some(*lifetime),
        _ => None,
    });
    let lifetime = lifetime.expect("remembered");
    assert!(lifetime >= ms(9_000) && lifetime < ms(9_200), "{lifetime:?}");
}

#[test]
fn a_call_that_may_have_run_is_not_repeated() {
    let mut host = TestHost::new(keyed_settings());
    host.arrive(1, 1, |_| ());
    host.event(Event::CallNeeded { id: 1 });
    assert_eq!(host.call_count(1), 1);
    host.event(Event::CallEnded { id: 1, outcome: Outcome::Busy, took: ms(1), may_repeat: true });
    host.run_until(500);
    assert_eq!(host.call_count(1), 2, "busy proves that it never ran");
    host.event(Event::CallEnded { id: 1, outcome: Outcome::Reset, took: ms(1), may_repeat: true });
    host.run_until(1_000);
    assert_eq!(host.call_count(1), 2);
    assert!(host.issued(&Action::Fail(1)));
}

#[test]
fn after_the_stop_signal_late_arrivals_do_not_run_and_all_requests_are_answered() {
    let mut host = TestHost::new(settings());
    host.event(Event::Drain { age: ms(0), stop_at: ms(3_000) });
    host.arrive(1, 1, |_| ());
    assert!(host.issued(&Action::Start(1)));
    host.run_until(1_500);
    host.arrive(2, 1, |_| ());
    assert!(!host.issued(&Action::Start(2)));
    host.run_until(2_950);
    assert_eq!((host.answer_count(1), host.answer_count(2)), (1, 1));
    // A request that arrives now is answered without waiting for a tick.
    host.arrive(3, 1, |_| ());
    assert_eq!(host.answer_count(3), 1);
}

#[test]
fn the_memory_limit_is_never_exceeded() {
    let mut s = settings();
    s.memory_kb = 1_000.0;
    let mut host = TestHost::new(s);
    let arrivals: Vec<_> = (1..=200).map(|id| (id, 1, None)).collect();
    host.arrive_batch(&arrivals);
    let kb = host.memory_kb();
    assert!(kb <= 1_000.0, "{kb}");
}

#[test]
fn a_cold_server_stays_under_the_load_that_it_survives() {
    let mut s = settings();
    (s.cold, s.cold_speed, s.max_load_per_core) = (true, 0.1, 1.5);
    let mut host = TestHost::new(s);
    let arrivals: Vec<_> = (1..=40).map(|id| (id, 1, None)).collect();
    host.arrive_batch(&arrivals);
    assert!(host.running().len() <= 4, "{}", host.running().len());
}

#[test]
fn concurrent_calls_stay_within_the_share() {
    let mut s = keyed_settings();
    s.call_share = 2.0;
    let mut host = TestHost::new(s);
    for id in 1..=4 {
        host.arrive(id, 0, |_| ());
        host.event(Event::CallNeeded { id });
    }
    assert!((1..=4).map(|id| host.call_count(id)).sum::<usize>() <= 2);
}

#[test]
fn background_holds_five_slots_under_pressure_and_foreground_starts_first() {
    let mut s = settings();
    s.cores = 8;
    let mut host = TestHost::new(s);
    host.gauges.core_use = Some(0.95);
    host.advance(60);
    let mut arrivals: Vec<_> = (1..=10).map(|id| (id, 0, None)).collect();
    arrivals.push((20, 1, None));
    host.arrive_batch(&arrivals);
    assert!(host.issued(&Action::Start(20)));
    assert_eq!(host.running().len(), 6, "five background requests and one foreground request");
}

#[test]
fn hung_work_fails_health_checks_and_a_stalled_process_does_not() {
    let mut host = TestHost::new(settings());
    host.arrive(1, 1, |a| a.due = Some(ms(60_000)));
    host.now = ms(4_000); // the whole process was suspended
    host.fire_timers();
    host.advance(100);
    assert!(!host.issued(&Action::Health { healthy: false }));
    host.advance(6_000);
    assert!(host.issued(&Action::Health { healthy: false }));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let play = || {
        let mut host = TestHost::new(keyed_settings());
        for id in 1..=60 {
            host.arrive(id, (id % 2) as usize, |_| ());
            host.advance(30);
        }
        host.actions
    };
    assert_eq!(play(), play());
}

#[test]
fn unusable_settings_are_a_typed_error() {
    let mut s = settings();
    s.cores = 0;
    assert_eq!(hopwalk::DecisionEngine::new(s, 1, ms(0)).err(), Some(SettingsError::NoCores));
}

#[test]
fn the_first_try_of_an_unmarked_retry_is_estimated_from_the_rest_of_the_client_timeout() {
    let mut host = TestHost::new(settings());
    host.advance(10_000);
    for id in 1..=4 {
        host.arrive(id, 1, |_| ()); // first tries, with the whole client timeout left, fill the cores
    }
    host.arrive(5, 1, |a| a.due = Some(ms(13_500))); // its target passed before it arrived here
    host.advance(60);
    assert_eq!(host.answer_count(5), 1);
    host.arrive(6, 1, |_| ());
    host.advance(60);
    assert_eq!(host.answer_count(6), 0, "a first try is held");
}

#[test]
fn the_first_try_is_also_estimated_for_a_last_try_with_a_longer_span_than_usual() {
    let mut host = TestHost::new(settings());
    host.advance(10_000);
    for id in 1..=4 {
        host.arrive(id, 1, |a| a.due = Some(ms(13_000))); // each try gets half of the client timeout
    }
    host.arrive(5, 1, |a| a.due = Some(ms(13_900))); // the rest of it, 2.1 s after the first try
    host.advance(60);
    assert_eq!(host.answer_count(5), 1, "its target passed before it arrived here");
    host.arrive(6, 1, |a| a.due = Some(ms(13_060)));
    host.arrive(7, 1, |a| a.due = Some(ms(16_060))); // the whole client timeout: a caller that changed its span
    host.advance(60);
    assert_eq!((host.answer_count(6), host.answer_count(7)), (0, 0), "first tries are held");
}

/// Tries that get half of the client timeout, and repeats of three of them, which end `limit_ms` after the first
/// tries.
fn after_repeats(limit_ms: u64) -> TestHost {
    let mut host = TestHost::new(keyed_settings());
    host.advance(10_000);
    for id in 1..=12 {
        host.arrive(id, usize::from(id % 2 == 0), |a| a.due = Some(ms(13_000)));
    }
    host.advance(200);
    for id in [2, 4, 6] {
        host.arrive(20 + id, 1, |a| (a.due, a.repeats) = (Some(ms(10_000 + limit_ms)), Some(id)));
    }
    // The last tries of another client, 100 ms after a refusal elsewhere, if its attempts are limited to 4 s.
    host.arrive(40, 1, |a| a.due = Some(ms(14_100)));
    host.arrive(41, 0, |a| a.due = Some(ms(14_100)));
    host.advance(60);
    host
}

#[test]
fn where_repeats_of_a_key_show_cut_off_first_attempts_a_longer_span_counts_only_for_background() {
    let host = after_repeats(4_000);
    assert_eq!(
        (host.answer_count(40), host.answer_count(41)),
        (0, 1),
        "foreground is held, background is refused"
    );
    let host = after_repeats(6_000);
    assert_eq!((host.answer_count(40), host.answer_count(41)), (1, 1), "the longer span counts for both");
}

#[test]
fn a_large_request_starts_on_idle_cores_but_not_on_full_ones() {
    let mut host = TestHost::new(settings());
    for id in 1..=60 {
        host.arrive(id, 1, |a| a.hint = Some(ms(100)));
        host.event(Event::Finished { id, outcome: Outcome::Done, took: ms(1_000) });
    }
    host.arrive(70, 1, |a| a.hint = Some(ms(400)));
    assert!(host.issued(&Action::Start(70)), "slots are free");
    for id in 80..83 {
        host.arrive(id, 1, |a| a.hint = Some(ms(100)));
    }
    host.arrive(90, 1, |a| a.hint = Some(ms(400)));
    host.advance(60);
    assert!(!host.issued(&Action::Start(90)) && host.answer_count(90) == 1, "it could not end in time");
}

#[test]
fn a_call_without_a_reply_times_out_early_only_where_it_may_be_repeated() {
    let mut host = TestHost::new(keyed_settings());
    let mut timeouts = Vec::new();
    for (id, class) in [(1, 0), (2, 0), (3, 1)] {
        host.arrive(id, class, |_| ());
        host.event(Event::CallNeeded { id });
        timeouts.extend(host.actions.iter().filter_map(|(_, a)| match a {
            Action::Call { id: i, timeout } if *i == id => Some(*timeout),
            _ => None,
        }));
        host.event(Event::CallEnded { id, outcome: Outcome::Done, took: ms(20), may_repeat: true });
    }
    assert!(timeouts[0] > ms(1_000), "nothing is known before the first call");
    assert!(timeouts[1] < ms(200), "a repeatable call times out early: {timeouts:?}");
    assert!(timeouts[2] > ms(1_000), "one that may have had its effect gets all the time");
}

#[test]
fn a_call_without_a_reply_gets_all_the_time_and_one_try_where_late_replies_are_ambiguous() {
    let mut host = TestHost::new(Settings { repeats_unanswered_calls: false, ..keyed_settings() });
    let mut timeouts = Vec::new();
    for id in [1, 2] {
        host.arrive(id, 0, |_| ());
        host.event(Event::CallNeeded { id });
        timeouts.extend(host.actions.iter().filter_map(|(_, a)| match a {
            Action::Call { id: i, timeout } if *i == id => Some(*timeout),
            _ => None,
        }));
        host.event(Event::CallEnded { id, outcome: Outcome::Done, took: ms(20), may_repeat: true });
    }
    assert!(timeouts.iter().all(|timeout| *timeout > ms(1_000)), "{timeouts:?}");
    host.event(Event::CallNeeded { id: 2 });
    host.event(Event::CallEnded { id: 2, outcome: Outcome::Reset, took: ms(20), may_repeat: false });
    host.advance(500);
    let asks = host.actions.iter().filter(|(_, a)| matches!(a, Action::Call { id: 2, .. })).count();
    assert_eq!(
        (asks, host.answer_count(2)),
        (2, 1),
        "it fails, as its class allows no answer without the call"
    );
}

#[test]
fn full_memory_refuses_no_held_try_whose_key_ran() {
    let mut s = keyed_settings();
    s.memory_kb = 260.0;
    let mut host = TestHost::new(s);
    host.arrive(1, 1, |_| ());
    host.event(Event::Finished { id: 1, outcome: Outcome::Done, took: ms(100) });
    let repeats: Vec<_> = (10..=30).map(|id| (id, 1, Some(1))).collect();
    host.arrive_batch(&repeats);
    assert!(host.memory_kb() <= 260.0, "{}", host.memory_kb());
    let count = |action: fn(RequestId) -> Action| (10..=30).filter(|id| host.issued(&action(*id))).count();
    let (joined, failed) = (count(Action::Join), count(Action::Fail));
    assert!(joined > 0 && failed > 0 && joined + failed == 21, "{:?}", host.actions);
}

/// Delivers in one batch a first try, 2, that has too little time left to run, and its repeat, 3.
fn late_first_and_its_repeat(host: &mut TestHost) {
    host.advance(1_000);
    let first = Arrival { due: Some(host.now + ms(200)), ..host.arrival(2, 1) };
    let repeat = Arrival { repeats: Some(2), ..host.arrival(3, 1) };
    host.batch(vec![Event::Arrived(first), Event::Arrived(repeat)]);
}

#[test]
fn a_try_that_cannot_be_joined_to_the_one_that_ran_is_answered_at_once() {
    let mut host = TestHost::new(keyed_settings());
    late_first_and_its_repeat(&mut host);
    assert!(
        host.issued(&Action::Start(3)) && !host.issued(&Action::Start(2)),
        "it could not end in time: {:?}",
        host.actions
    );
    host.advance(60);
    assert!(host.issued(&Action::Fail(2)), "held although it can never run: {:?}", host.actions);
}

/// Request 1 awaits its call and request 2 is held when the route state of their class changes.
fn change_route_state(state: RouteState, skip_worth: f64) -> TestHost {
    let mut s = settings();
    (s.dependency, s.call_share) = (Dependency::Shared, 5.0);
    (s.sends_retry_after, s.max_retry_after) = (true, ms(700));
    s.classes[1].skip_worth = skip_worth;
    let mut host = TestHost::new(s);
    host.arrive(1, 1, |_| ());
    host.event(Event::CallNeeded { id: 1 });
    host.event(Event::CallEnded { id: 1, outcome: Outcome::Busy, took: ms(1), may_repeat: true });
    host.fill_cores();
    host.arrive(2, 1, |_| ());
    assert!(host.issued(&Action::Start(1)) && !host.issued(&Action::Start(2)));
    host.event(Event::RouteStates(vec![RouteState::Open, state]));
    host
}

#[test]
fn with_a_closed_route_a_request_that_awaits_its_call_fails_and_held_ones_are_refused_with_retry_after() {
    let mut host = change_route_state(RouteState::Closed, 0.5);
    let refuse = |id| Action::Refuse { id, retry_after: ms(700), no_retry: false };
    assert!(host.issued(&Action::Fail(1)) && host.issued(&refuse(2)), "{:?}", host.actions);
    host.arrive(3, 1, |_| ());
    assert!(host.issued(&refuse(3)), "at once: {:?}", host.actions);
    host.event(Event::Finished { id: 1_000, outcome: Outcome::Done, took: ms(10) });
    host.arrive(4, 0, |_| ());
    assert!(host.issued(&Action::Start(4)), "the other class is not affected");
    host.event(Event::RouteStates(vec![]));
    host.event(Event::Finished { id: 1_001, outcome: Outcome::Done, took: ms(10) });
    host.arrive(5, 1, |_| ());
    assert!(host.issued(&Action::Start(5)));
    host.run_until(6_500);
    assert!([1, 2, 3].iter().all(|id| host.answer_count(*id) == 1), "{:?}", host.actions);
}

#[test]
fn a_call_that_may_be_skipped_is_skipped_and_its_request_goes_on() {
    let host = change_route_state(RouteState::Skip, 0.5);
    assert!(
        host.issued(&Action::SkipCall(1)) && host.answer_count(1) + host.answer_count(2) == 0,
        "{:?}",
        host.actions
    );
    let host = change_route_state(RouteState::Skip, 0.0);
    assert!(
        host.issued(&Action::Fail(1)) && host.answer_count(2) == 1,
        "worth nothing without its call: {:?}",
        host.actions
    );
}

#[test]
fn a_class_without_calls_is_not_affected_by_a_closed_route() {
    let mut s = settings();
    s.classes[1].makes_calls = false;
    let mut host = TestHost::new(s);
    host.event(Event::RouteStates(vec![RouteState::Closed, RouteState::Closed]));
    host.arrive(1, 1, |_| ());
    assert!(host.issued(&Action::Start(1)));
}

#[test]
fn a_call_of_an_earlier_version_is_neither_repeated_nor_skipped() {
    let mut s = keyed_settings();
    s.classes[0].skip_worth = 0.5;
    let mut host = TestHost::new(s);
    host.arrive(1, 0, |_| ());
    host.event(Event::CallNeeded { id: 1 });
    host.event(Event::CallEnded { id: 1, outcome: Outcome::Stale, took: ms(1), may_repeat: true });
    host.run_until(1_000);
    assert!(
        host.issued(&Action::Fail(1)) && host.call_count(1) == 1 && !host.issued(&Action::SkipCall(1)),
        "{:?}",
        host.actions
    );
}

#[test]
fn a_repeat_of_a_run_is_joined_to_it_although_the_route_is_closed() {
    // Guards against a refusal after a try with the key ran, which would break the promise that nothing ran.
    let mut host = TestHost::new(keyed_settings());
    host.arrive(1, 1, |_| ());
    host.event(Event::RouteStates(vec![RouteState::Closed, RouteState::Closed]));
    host.arrive(2, 1, |a| a.repeats = Some(1));
    assert!(host.issued(&Action::Join(2)) && host.answer_count(2) == 0, "{:?}", host.actions);
}

#[test]
fn refused_tries_of_keys_are_forgotten_when_they_are_answered() {
    // Guards against clients that send keyed requests again as soon as they are refused: each try was remembered for up
    // to twice the client timeout, and filled the memory.
    let mut settings = keyed_settings();
    settings.memory_kb = 1.0; // No request fits, so that none runs.
    let mut host = TestHost::new(settings);
    for id in 1..=500 {
        host.arrive(id, 1, |_| ());
        assert!(host.answer_count(id) == 1, "try {id} is held");
    }
    assert_eq!(host.engine.key_try_count(), 0);
}

#[test]
fn answered_repeats_of_a_key_that_ran_are_forgotten_when_they_are_answered() {
    // Guards against a client that repeats the key of a run at full speed: each repeat was remembered, and made the next
    // one take longer.
    let mut host = TestHost::new(keyed_settings());
    host.arrive(1, 1, |_| ());
    host.event(Event::Finished { id: 1, outcome: Outcome::Done, took: ms(0) });
    for id in 2..=500 {
        host.arrive(id, 1, |a| a.repeats = Some(1));
        assert!(host.issued(&Action::Join(id)), "repeat {id} is not joined to the run");
        host.event(Event::Finished { id, outcome: Outcome::Done, took: ms(0) });
    }
    assert_eq!(host.engine.key_try_count(), 1, "the try that ran");
    host.advance(21_000);
    assert_eq!(host.engine.key_try_count(), 0);
}

#[test]
fn a_try_that_ended_is_remembered_while_a_later_one_can_name_it() {
    // Guards against the forgetting of the tries by which later ones are recognized as repeats of a run.
    let mut host = TestHost::new(keyed_settings());
    host.fill_cores();
    host.arrive(1, 1, |_| ());
    host.arrive(2, 1, |a| a.repeats = Some(1));
    host.event(Event::Withdrawn { id: 2 });
    assert!(!host.issued(&Action::Start(1)), "no core is free");
    host.event(Event::Finished { id: 1_000, outcome: Outcome::Done, took: ms(0) });
    assert!(host.issued(&Action::Start(1)));
    // The withdrawn try had the entry of the key.
    host.event(Event::Finished { id: 1, outcome: Outcome::Error, took: ms(0) });
    for (id, named) in [(3, 2), (4, 1)] {
        host.arrive(id, 1, |a| a.repeats = Some(named));
        host.advance(60);
        assert!(host.issued(&Action::Join(id)), "try {id} is not joined to the run");
        host.event(Event::Finished { id, outcome: Outcome::Error, took: ms(0) });
    }
}

#[test]
fn keys_whose_runs_never_began_take_no_memory() {
    // Guards against clients whose keyed requests the agent does not know: it refused each launch, but the keys filled the
    // memory, and everyone else's requests were refused for the window of the keys.
    let mut settings = keyed_settings();
    settings.memory_kb = 400.0;
    let mut host = TestHost::new(settings);
    for id in 1..=200 {
        host.arrive(id, 1, |_| ());
        assert!(host.issued(&Action::Start(id)), "try {id} has no room");
        host.event(Event::Finished { id, outcome: Outcome::NotStarted, took: ms(0) });
    }
    assert_eq!(host.engine.key_try_count(), 0);
}

/// Has a caller send this many keyed requests, under new keys; each that is started is served. Returns how many were.
fn serve_keyed(host: &mut TestHost, first: RequestId, count: u32, caller: u32) -> usize {
    let ids: Vec<_> = (first..first + count).collect();
    for &id in &ids {
        host.arrive(id, 1, |a| a.caller = caller);
        if host.issued(&Action::Start(id)) {
            host.event(Event::Finished { id, outcome: Outcome::Done, took: ms(1) });
        }
    }
    host.start_count(&ids)
}

/// 100 keys fill the memory.
fn memory_of_100_keys() -> Settings {
    Settings { memory_kb: 1_000.0, key_kb: 10.0, ..keyed_settings() }
}

#[test]
fn keys_leave_memory_for_requests_without_one() {
    // Guards against one client that sends keyed requests under ever new keys: those that were served filled the memory for
    // their window, and everyone else's requests were held until they were refused.
    let mut host = TestHost::new(memory_of_100_keys());
    for (caller, first) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        serve_keyed(&mut host, first, 200, caller);
    }
    host.arrive(1, 0, |_| ());
    assert!(host.issued(&Action::Start(1)));
    host.arrive(2, 1, |_| ());
    assert_eq!(host.answer_count(2), 1, "a new key is refused at once");
}

#[test]
fn the_keys_of_one_caller_leave_room_for_those_of_others() {
    // Guards against one client under ever new keys that leaves no room for the keys of others.
    let mut host = TestHost::new(memory_of_100_keys());
    assert_eq!(serve_keyed(&mut host, 1_000, 200, 1), 40);
    assert_eq!(serve_keyed(&mut host, 2_000, 10, 2), 10);
    // What the first caller holds is given back once the window of its keys is over.
    host.run_until(15_000);
    assert_eq!(serve_keyed(&mut host, 3_000, 200, 1), 40);
}

#[test]
fn a_repeat_of_a_key_that_ran_is_joined_where_keys_have_no_room() {
    // Guards against repeats that are turned away although their first try ran.
    let mut host = TestHost::new(memory_of_100_keys());
    serve_keyed(&mut host, 1_000, 200, 1);
    host.arrive(1, 1, |a| a.repeats = Some(1_000));
    host.advance(60);
    assert!(host.issued(&Action::Join(1)));
}
