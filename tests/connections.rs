//! The table of connections and the time for which each is read, without sockets.

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
fn silent_clients_make_room_before_slow_requests_and_those_before_idle_callers() {
    // Guards against a request that takes its time being closed in favour of clients that say nothing.
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
    assert_eq!(evicted(&mut table, later), None, "who is owed an answer stays");
    (1..=4).for_each(|conn| table.remove(conn));
    assert!(table.is_empty() && table.closing() == 0);
}

#[test]
fn a_request_that_is_read_from_an_evicted_connection_is_owed_an_answer_and_the_last() {
    // Guards against a request that was read and is dropped, since its connection was to make room.
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
fn where_none_can_make_room_a_spare_place_is_given_for_one_answer() {
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
fn a_request_in_parts_has_its_time_from_its_first_byte() {
    // Guards against a request that came in two parts after a long idle time being called too slow.
    let (s, ms) = (Duration::from_secs, Duration::from_millis);
    let left = |idle, since_first_byte, since_accept, closed| {
        WaitTimes { idle, since_first_byte, since_accept }.remaining(s(30), closed)
    };
    assert_eq!(left(s(25), Some(ms(1)), None, None), READ_TIMEOUT - ms(1));
    assert_eq!(left(s(25), None, None, None), s(5));
    assert_eq!(left(s(60), Some(s(11)), None, None), Duration::ZERO);
    // Guards against a short idle time that closes a connection before its first request is there.
    let short = |since_accept, closed| {
        WaitTimes { idle: ms(200), since_first_byte: None, since_accept }.remaining(ms(100), closed)
    };
    assert_eq!(short(Some(ms(200)), None), MIN_FIRST_IDLE - ms(200));
    assert_eq!([short(None, None), short(Some(ms(200)), Some(s(1)))], [Duration::ZERO; 2]);
    // And against half a request on a new connection, or nothing, that keeps its place for long.
    for since_first_byte in [None, Some(ms(100))] {
        assert_eq!(left(s(1), since_first_byte, Some(s(1)), None), FIRST_REQUEST_TIMEOUT - s(1));
        assert_eq!(left(s(3), since_first_byte, Some(s(3)), None), Duration::ZERO);
    }
}

#[test]
fn once_no_connections_are_taken_requests_under_way_have_a_short_time_and_idle_ones_none() {
    let (s, ms) = (Duration::from_secs, Duration::from_millis);
    let left = |since_first_byte, since_accept, closed| {
        let idle_limit = Duration::ZERO;
        WaitTimes { idle: s(1), since_first_byte, since_accept }.remaining(idle_limit, Some(closed))
    };
    // Guards against half of a request being turned down as the listener closes: the rest may be on its way.
    assert_eq!(left(Some(ms(1)), None, Duration::ZERO), FINAL_READ_TIMEOUT);
    // And against a length that lies holding up the end of a drain.
    assert_eq!(left(Some(ms(1)), None, FINAL_READ_TIMEOUT), Duration::ZERO);
    assert_eq!(left(None, None, Duration::ZERO), Duration::ZERO);
    assert_eq!(left(None, Some(ms(30)), Duration::ZERO), EVICT_AFTER - ms(30));
}

#[test]
fn an_answer_is_given_once_to_each_request_and_to_nobody_who_asked_nothing() {
    // Guards against a second answer, which the next request on that connection would take for its own.
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
