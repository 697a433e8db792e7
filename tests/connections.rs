//! Tests of the connection table and of the read timeouts of connections, without sockets.

use std::time::{Duration, Instant};

use hopwalk::net::connection_table::{
    Admission, AfterAnswer, AnswerDue, Capacity, ConnectionTable, EVICT_AFTER,
};
use hopwalk::net::frontend::{
    WaitTimes, FINAL_READ_TIMEOUT, FIRST_REQUEST_TIMEOUT, MIN_FIRST_IDLE, READ_TIMEOUT,
};

const NO_SPARE: Capacity = Capacity { open: 4, spare: 0 };

fn evicted(table: &mut ConnectionTable<u64>, now: Instant) -> Option<u64> {
    let mut evicted = None;
    let open = table.len() - table.closing();
    table.shrink(open.saturating_sub(1), now, |handle| evicted = Some(*handle));
    evicted
}

#[test]
fn silent_clients_are_evicted_before_slow_requests_and_those_before_idle_clients() {
    // Guards against closing a connection with a slow request in favour of clients that send nothing.
    let start = Instant::now();
    let mut table = ConnectionTable::default();
    for conn in 1..=4 {
        let at = start + Duration::from_millis(conn);
        assert_eq!(table.admit(conn, conn, at, NO_SPARE, |_| ()), Admission::Admitted);
    }
    assert_eq!([table.request_read(1), table.request_read(2)], [AfterAnswer::Stays; 2]);
    table.answered(2, start);
    table.part_read(3);
    let soon = start + Duration::from_millis(50);
    assert_eq!(table.admit(5, 5, soon, NO_SPARE, |_| panic!("all are new")), Admission::Full);
    let later = start + Duration::from_secs(1);
    assert_eq!([(); 3].map(|()| evicted(&mut table, later)), [Some(4), Some(3), Some(2)]);
    assert_eq!(evicted(&mut table, later), None, "a connection that is owed an answer is not evicted");
    (1..=4).for_each(|conn| table.remove(conn));
    assert!(table.is_empty() && table.closing() == 0);
}

#[test]
fn a_request_read_from_an_evicted_connection_gets_an_answer_and_is_the_last() {
    // Guards against dropping a request that was read from a connection after its eviction.
    let start = Instant::now();
    let mut table = ConnectionTable::default();
    let one = Capacity { open: 1, spare: 0 };
    assert_eq!(table.admit(1, 1, start, one, |_| ()), Admission::Admitted);
    let later = start + EVICT_AFTER;
    let mut asked_to_close = Vec::new();
    let admission = table.admit(2, 2, later, one, |handle| asked_to_close.push(*handle));
    assert_eq!((admission, &asked_to_close[..]), (Admission::Full, &[1][..]));
    assert_eq!(table.admit(2, 2, later, one, |_| panic!("one is closing")), Admission::Full);
    assert_eq!(table.request_read(1), AfterAnswer::Closes);
    assert!(!table.is_closing(1));
    assert_eq!(table.admit(2, 2, later, one, |_| panic!("it is owed an answer")), Admission::Full);
    table.begin_closing(1);
    table.remove(1);
    assert_eq!(table.admit(2, 2, later, one, |_| ()), Admission::Admitted);
    assert_eq!(table.request_read(2), AfterAnswer::Stays);
}

#[test]
fn without_an_evictable_connection_a_spare_slot_is_used_for_one_answer() {
    let start = Instant::now();
    let mut table = ConnectionTable::default();
    let capacity = Capacity { open: 1, spare: 1 };
    for conn in 1..=2 {
        assert_eq!(table.admit(conn, conn, start, capacity, |_| ()), Admission::Admitted);
    }
    assert_eq!(table.admit(3, 3, start, capacity, |_| ()), Admission::Full);
    assert_eq!([table.request_read(1), table.request_read(2)], [AfterAnswer::Stays, AfterAnswer::Closes]);
}

#[test]
fn a_partial_request_is_timed_from_its_first_byte() {
    // Guards against rejecting a request as too slow that arrived in two parts after a long idle time.
    let (s, ms) = (Duration::from_secs, Duration::from_millis);
    let remaining = |idle, since_first_byte, since_accept, closed_for| {
        WaitTimes { idle, since_first_byte, since_accept }.remaining(s(30), closed_for)
    };
    assert_eq!(remaining(s(25), Some(ms(1)), None, None), READ_TIMEOUT - ms(1));
    assert_eq!(remaining(s(25), None, None, None), s(5));
    assert_eq!(remaining(s(60), Some(s(11)), None, None), Duration::ZERO);
    // Guards against a short idle limit that closes a connection before its first request has arrived.
    let short_idle_limit = |since_accept, closed_for| {
        WaitTimes { idle: ms(200), since_first_byte: None, since_accept }.remaining(ms(100), closed_for)
    };
    assert_eq!(short_idle_limit(Some(ms(200)), None), MIN_FIRST_IDLE - ms(200));
    assert_eq!(
        [short_idle_limit(None, None), short_idle_limit(Some(ms(200)), Some(s(1)))],
        [Duration::ZERO; 2]
    );
    // Guards against a new connection that keeps its slot for long while it sends nothing or a part of a request.
    for since_first_byte in [None, Some(ms(100))] {
        assert_eq!(remaining(s(1), since_first_byte, Some(s(1)), None), FIRST_REQUEST_TIMEOUT - s(1));
        assert_eq!(remaining(s(3), since_first_byte, Some(s(3)), None), Duration::ZERO);
    }
}

#[test]
fn after_accepting_stops_partial_requests_have_a_short_timeout_and_idle_connections_none() {
    let (s, ms) = (Duration::from_secs, Duration::from_millis);
    let remaining = |since_first_byte, since_accept, closed_for| {
        let idle_limit = Duration::ZERO;
        WaitTimes { idle: s(1), since_first_byte, since_accept }.remaining(idle_limit, Some(closed_for))
    };
    // Guards against rejecting a partial request as soon as the listener closes: the rest may be on the way.
    assert_eq!(remaining(Some(ms(1)), None, Duration::ZERO), FINAL_READ_TIMEOUT);
    // Guards against a request with a wrong length that delays the end of a drain.
    assert_eq!(remaining(Some(ms(1)), None, FINAL_READ_TIMEOUT), Duration::ZERO);
    assert_eq!(remaining(None, None, Duration::ZERO), Duration::ZERO);
    assert_eq!(remaining(None, Some(ms(30)), Duration::ZERO), EVICT_AFTER - ms(30));
}

#[test]
fn each_request_gets_one_answer_and_no_answer_is_given_without_a_request() {
    // Guards against a second answer, which would be taken for the answer to the next request on that connection.
    let now = Instant::now();
    let mut table = ConnectionTable::default();
    table.admit(1, "first", now, NO_SPARE, |_| ());
    assert_eq!(table.give_answer(1), AnswerDue::NotOwed);
    for _ in 0..2 {
        table.request_read(1);
        assert_eq!(table.give_answer(1), AnswerDue::Owed(&"first"));
        assert_eq!(table.give_answer(1), AnswerDue::NotOwed);
        table.answered(1, now);
        assert_eq!(table.give_answer(1), AnswerDue::NotOwed);
    }
    table.remove(1);
    assert_eq!(table.give_answer(1), AnswerDue::NoConnection);
}
