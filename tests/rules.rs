//! The four rules and the guards, on small scripts of events.

mod common;

use common::*;
use hopwalk::interface::*;

#[test]
fn held_work_is_answered_at_its_due_time() {
    let mut b = Bench::new(settings());
    b.fill_cores();
    b.arrive(100, 0, |a| a.due = Some(ms(600)));
    b.run_until(700);
    assert!(b.answers(100) == 1, "{:?}", b.log);
}

#[test]
fn running_work_is_failed_at_its_due_time_and_never_refused() {
    let mut b = Bench::new(settings());
    b.arrive(1, 1, |a| a.due = Some(ms(500)));
    assert!(b.did(&Action::Start(1)));
    b.run_until(600);
    assert!(b.did(&Action::Fail(1)));
    assert_eq!(b.answers(1), 1);
}

#[test]
fn a_deduplicated_request_runs_once_and_its_repeats_join() {
    let mut b = Bench::new(keyed_settings());
    b.arrive(1, 1, |_| ());
    b.arrive(2, 1, |a| a.repeats = Some(1));
    b.run_until(400);
    assert!(b.did(&Action::Start(1)) && b.did(&Action::Join(2)));
    assert!(!b.did(&Action::Start(2)));
    b.event(Event::Finished { id: 1, outcome: Outcome::Error, took: ms(400) });
    b.arrive(3, 1, |a| a.repeats = Some(1));
    b.advance(60);
    assert!(b.did(&Action::Join(3)), "a try that failed may have had its effect");
}

#[test]
fn tries_that_name_each_other_in_one_batch_run_once() {
    let mut b = Bench::new(keyed_settings());
    b.arrive_batch(&[(1, 1, Some(2)), (2, 1, Some(1))]);
    b.run_until(200);
    assert_eq!(b.starts(&[1, 2]), 1);
}

#[test]
fn a_try_whose_forerunner_is_unknown_is_never_run() {
    let mut b = Bench::new(keyed_settings());
    b.arrive(2, 1, |a| a.repeats = Some(77));
    b.advance(60);
    assert!(b.did(&Action::Join(2)));
}

#[test]
fn the_key_is_kept_at_once_and_for_the_window_from_arrival() {
    let mut b = Bench::new(keyed_settings());
    b.advance(5_000);
    b.arrive(1, 1, |a| a.age = ms(1_000));
    let kept = b.log.iter().find_map(|(_, a)| match a {
        Action::RememberKey { id: 1, lifetime } => Some(*lifetime),
        _ => None,
    });
    let kept = kept.expect("kept");
    assert!(kept >= ms(9_000) && kept < ms(9_200), "{kept:?}");
}

#[test]
fn a_call_that_may_have_run_is_not_repeated() {
    let mut b = Bench::new(keyed_settings());
    b.arrive(1, 1, |_| ());
    b.event(Event::CallNeeded { id: 1 });
    assert_eq!(b.calls(1), 1);
    b.event(Event::CallEnded { id: 1, outcome: Outcome::Busy, took: ms(1) });
    b.run_until(500);
    assert_eq!(b.calls(1), 2, "busy proves that it never ran");
    b.event(Event::CallEnded { id: 1, outcome: Outcome::Reset, took: ms(1) });
    b.run_until(1_000);
    assert_eq!(b.calls(1), 2);
    assert!(b.did(&Action::Fail(1)));
}

#[test]
fn after_the_notice_late_arrivals_do_not_run_and_all_is_answered() {
    let mut b = Bench::new(settings());
    b.event(Event::Drain { age: ms(0), stop_at: ms(3_000) });
    b.arrive(1, 1, |_| ());
    assert!(b.did(&Action::Start(1)));
    b.run_until(1_500);
    b.arrive(2, 1, |_| ());
    assert!(!b.did(&Action::Start(2)));
    b.run_until(2_950);
    assert_eq!((b.answers(1), b.answers(2)), (1, 1));
    // What comes now does not wait for a tick.
    b.arrive(3, 1, |_| ());
    assert_eq!(b.answers(3), 1);
}

#[test]
fn memory_is_never_overdrawn() {
    let mut s = settings();
    s.memory_kb = 1_000.0;
    let mut b = Bench::new(s);
    let arrivals: Vec<_> = (1..=200).map(|id| (id, 1, None)).collect();
    b.arrive_batch(&arrivals);
    let kb = b.memory_kb();
    assert!(kb <= 1_000.0, "{kb}");
}

#[test]
fn a_cold_server_keeps_its_crowd_under_what_it_survives() {
    let mut s = settings();
    (s.cold, s.cold_speed, s.max_load_per_core) = (true, 0.1, 1.5);
    let mut b = Bench::new(s);
    let arrivals: Vec<_> = (1..=40).map(|id| (id, 1, None)).collect();
    b.arrive_batch(&arrivals);
    assert!(b.running().len() <= 4, "{}", b.running().len());
}

#[test]
fn calls_in_hand_stay_within_the_share() {
    let mut s = keyed_settings();
    s.call_share = 2.0;
    let mut b = Bench::new(s);
    for id in 1..=4 {
        b.arrive(id, 0, |_| ());
        b.event(Event::CallNeeded { id });
    }
    assert!((1..=4).map(|id| b.calls(id)).sum::<usize>() <= 2);
}

#[test]
fn background_holds_five_slots_while_pressed_and_foreground_starts_first() {
    let mut s = settings();
    s.cores = 8;
    let mut b = Bench::new(s);
    b.gauges.core_use = Some(0.95);
    b.advance(60);
    let mut arrivals: Vec<_> = (1..=10).map(|id| (id, 0, None)).collect();
    arrivals.push((20, 1, None));
    b.arrive_batch(&arrivals);
    assert!(b.did(&Action::Start(20)));
    assert_eq!(b.running().len(), 6, "five of background, one of foreground");
}

#[test]
fn hung_work_sends_callers_elsewhere_and_a_stalled_process_does_not() {
    let mut b = Bench::new(settings());
    b.arrive(1, 1, |a| a.due = Some(ms(60_000)));
    b.now = ms(4_000); // the whole process stood still
    b.fire_timers();
    b.advance(100);
    assert!(!b.did(&Action::Health { healthy: false }));
    b.advance(6_000);
    assert!(b.did(&Action::Health { healthy: false }));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let play = || {
        let mut b = Bench::new(keyed_settings());
        for id in 1..=60 {
            b.arrive(id, (id % 2) as usize, |_| ());
            b.advance(30);
        }
        b.log
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
fn an_unmarked_retry_is_dated_by_what_is_left_of_the_clients_patience() {
    let mut b = Bench::new(settings());
    b.advance(10_000);
    for id in 1..=4 {
        b.arrive(id, 1, |_| ()); // first tries, with the whole patience left, fill the cores
    }
    b.arrive(5, 1, |a| a.due = Some(ms(13_500))); // its wanted time passed before it came here
    b.advance(60);
    assert_eq!(b.answers(5), 1);
    b.arrive(6, 1, |_| ());
    b.advance(60);
    assert_eq!(b.answers(6), 0, "a first try is held");
}

#[test]
fn a_last_try_with_more_left_than_usual_is_dated_by_the_clients_patience_too() {
    let mut b = Bench::new(settings());
    b.advance(10_000);
    for id in 1..=4 {
        b.arrive(id, 1, |a| a.due = Some(ms(13_000))); // each try gets half of the patience
    }
    b.arrive(5, 1, |a| a.due = Some(ms(13_900))); // all that is left of it, 2.1 s after the first try
    b.advance(60);
    assert_eq!(b.answers(5), 1, "its wanted time passed before it came here");
    b.arrive(6, 1, |a| a.due = Some(ms(13_060)));
    b.arrive(7, 1, |a| a.due = Some(ms(16_060))); // the whole patience: a caller that changed its span
    b.advance(60);
    assert_eq!((b.answers(6), b.answers(7)), (0, 0), "first tries are held");
}

/// Tries that get half of the patience, and repeats of three of them whose attempt ends `limit_ms` after the
/// first.
fn after_repeats(limit_ms: u64) -> Bench {
    let mut b = Bench::new(keyed_settings());
    b.advance(10_000);
    for id in 1..=12 {
        b.arrive(id, usize::from(id % 2 == 0), |a| a.due = Some(ms(13_000)));
    }
    b.advance(200);
    for id in [2, 4, 6] {
        b.arrive(20 + id, 1, |a| (a.due, a.repeats) = (Some(ms(10_000 + limit_ms)), Some(id)));
    }
    // Another client's last tries, 100 ms after it was turned away elsewhere, if its limit is 4 s.
    b.arrive(40, 1, |a| a.due = Some(ms(14_100)));
    b.arrive(41, 0, |a| a.due = Some(ms(14_100)));
    b.advance(60);
    b
}

#[test]
fn where_repeats_of_a_key_show_a_cut_first_attempt_a_longer_span_dates_only_background() {
    let b = after_repeats(4_000);
    assert_eq!((b.answers(40), b.answers(41)), (0, 1), "foreground is held, background turned away");
    let b = after_repeats(6_000);
    assert_eq!((b.answers(40), b.answers(41)), (1, 1), "the patience dates both");
}

#[test]
fn a_large_request_starts_on_idle_cores_but_not_on_full_ones() {
    let mut b = Bench::new(settings());
    for id in 1..=60 {
        b.arrive(id, 1, |a| a.hint = Some(ms(100)));
        b.event(Event::Finished { id, outcome: Outcome::Done, took: ms(1_000) });
    }
    b.arrive(70, 1, |a| a.hint = Some(ms(400)));
    assert!(b.did(&Action::Start(70)), "slots are free");
    for id in 80..83 {
        b.arrive(id, 1, |a| a.hint = Some(ms(100)));
    }
    b.arrive(90, 1, |a| a.hint = Some(ms(400)));
    b.advance(60);
    assert!(!b.did(&Action::Start(90)) && b.answers(90) == 1, "it could not end in time");
}

#[test]
fn a_silent_call_is_given_up_and_made_again_only_where_that_is_harmless() {
    let mut b = Bench::new(keyed_settings());
    let mut give_up = Vec::new();
    for (id, class) in [(1, 0), (2, 0), (3, 1)] {
        b.arrive(id, class, |_| ());
        b.event(Event::CallNeeded { id });
        give_up.extend(b.log.iter().filter_map(|(_, a)| match a {
            Action::Call { id: i, timeout } if *i == id => Some(*timeout),
            _ => None,
        }));
        b.event(Event::CallEnded { id, outcome: Outcome::Done, took: ms(20) });
    }
    assert!(give_up[0] > ms(1_000), "nothing is known before the first call");
    assert!(give_up[1] < ms(200), "a repeatable call is given up early: {give_up:?}");
    assert!(give_up[2] > ms(1_000), "one that may have had its effect gets all the time");
}

#[test]
fn full_memory_with_held_tries_whose_effect_ran_turns_none_of_them_away() {
    let mut s = keyed_settings();
    s.memory_kb = 260.0;
    let mut b = Bench::new(s);
    b.arrive(1, 1, |_| ());
    b.event(Event::Finished { id: 1, outcome: Outcome::Done, took: ms(100) });
    let repeats: Vec<_> = (10..=30).map(|id| (id, 1, Some(1))).collect();
    b.arrive_batch(&repeats);
    assert!(b.memory_kb() <= 260.0, "{}", b.memory_kb());
    let count = |what: fn(RequestId) -> Action| (10..=30).filter(|id| b.did(&what(*id))).count();
    let (joined, failed) = (count(Action::Join), count(Action::Fail));
    assert!(joined > 0 && failed > 0 && joined + failed == 21, "{:?}", b.log);
}

/// In one batch a first try, 2, that has no time left to run in, and its repeat, 3.
fn late_first_and_its_repeat(b: &mut Bench) {
    b.advance(1_000);
    let first = Arrival { due: Some(b.now + ms(200)), ..b.arrival(2, 1) };
    let repeat = Arrival { repeats: Some(2), ..b.arrival(3, 1) };
    b.batch(vec![Event::Arrived(first), Event::Arrived(repeat)]);
}

#[test]
fn a_try_that_cannot_be_joined_to_the_one_that_ran_is_answered_at_once() {
    let mut b = Bench::new(keyed_settings());
    late_first_and_its_repeat(&mut b);
    assert!(b.did(&Action::Start(3)) && !b.did(&Action::Start(2)), "it could not end in time: {:?}", b.log);
    b.advance(60);
    assert!(b.did(&Action::Fail(2)), "held although it will never run: {:?}", b.log);
}

/// One request waits for its call and one is held, when the calls of their class may no longer be made.
fn barred(way: RouteState, skip_worth: f64) -> Bench {
    let mut s = settings();
    (s.dependency, s.call_share) = (Dependency::Shared, 5.0);
    (s.sends_retry_after, s.max_retry_after) = (true, ms(700));
    s.classes[1].skip_worth = skip_worth;
    let mut b = Bench::new(s);
    b.arrive(1, 1, |_| ());
    b.event(Event::CallNeeded { id: 1 });
    b.event(Event::CallEnded { id: 1, outcome: Outcome::Busy, took: ms(1) });
    b.fill_cores();
    b.arrive(2, 1, |_| ());
    assert!(b.did(&Action::Start(1)) && !b.did(&Action::Start(2)));
    b.event(Event::RouteStates(vec![RouteState::Open, way]));
    b
}

#[test]
fn what_waits_for_a_call_that_may_not_be_made_fails_and_what_is_held_is_turned_away_with_advice() {
    let mut b = barred(RouteState::Closed, 0.5);
    let refuse = |id| Action::Refuse { id, retry_after: ms(700), no_retry: false };
    assert!(b.did(&Action::Fail(1)) && b.did(&refuse(2)), "{:?}", b.log);
    b.arrive(3, 1, |_| ());
    assert!(b.did(&refuse(3)), "at once: {:?}", b.log);
    b.event(Event::Finished { id: 1_000, outcome: Outcome::Done, took: ms(10) });
    b.arrive(4, 0, |_| ());
    assert!(b.did(&Action::Start(4)), "the other class goes on");
    b.event(Event::RouteStates(vec![]));
    b.event(Event::Finished { id: 1_001, outcome: Outcome::Done, took: ms(10) });
    b.arrive(5, 1, |_| ());
    assert!(b.did(&Action::Start(5)));
    b.run_until(6_500);
    assert!([1, 2, 3].iter().all(|id| b.answers(*id) == 1), "{:?}", b.log);
}

#[test]
fn a_call_that_may_be_left_out_is_and_its_request_goes_on() {
    let b = barred(RouteState::Skip, 0.5);
    assert!(b.did(&Action::SkipCall(1)) && b.answers(1) + b.answers(2) == 0, "{:?}", b.log);
    let b = barred(RouteState::Skip, 0.0);
    assert!(b.did(&Action::Fail(1)) && b.answers(2) == 1, "worth nothing without: {:?}", b.log);
}

#[test]
fn a_class_without_calls_does_not_mind_that_none_can_be_made() {
    let mut s = settings();
    s.classes[1].makes_calls = false;
    let mut b = Bench::new(s);
    b.event(Event::RouteStates(vec![RouteState::Closed, RouteState::Closed]));
    b.arrive(1, 1, |_| ());
    assert!(b.did(&Action::Start(1)));
}

#[test]
fn a_call_of_an_earlier_version_is_not_made_again_nor_left_out() {
    let mut s = keyed_settings();
    s.classes[0].skip_worth = 0.5;
    let mut b = Bench::new(s);
    b.arrive(1, 0, |_| ());
    b.event(Event::CallNeeded { id: 1 });
    b.event(Event::CallEnded { id: 1, outcome: Outcome::Stale, took: ms(1) });
    b.run_until(1_000);
    assert!(b.did(&Action::Fail(1)) && b.calls(1) == 1 && !b.did(&Action::SkipCall(1)), "{:?}", b.log);
}

#[test]
fn a_repeat_of_a_run_is_joined_to_it_although_no_call_can_be_made() {
    // Guards against a refusal once the effect ran.
    let mut b = Bench::new(keyed_settings());
    b.arrive(1, 1, |_| ());
    b.event(Event::RouteStates(vec![RouteState::Closed, RouteState::Closed]));
    b.arrive(2, 1, |a| a.repeats = Some(1));
    assert!(b.did(&Action::Join(2)) && b.answers(2) == 0, "{:?}", b.log);
}
