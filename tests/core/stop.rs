//! The end of a process: every request that was read has its one answer before the stop, whoever was to give it.

use super::*;

/// From the notice to the kill, in milliseconds, as [`Bench::new`] sets it.
const STOP: u64 = 3_200;
/// The last answer is given so long before the kill, in milliseconds: time to write it, on a busy machine.
const LEAST_MARGIN: u64 = 150;
/// Random plays of the walk below.
const SEEDS: u64 = 150;

/// A play of random events around a notice to leave.
struct Walk {
    bench: Bench,
    dice: TestRng,
    now: u64,
    is_linked: bool,
    cursor: u64,
    /// Effects that were looked through for launches and calls.
    seen: usize,
    runs: Vec<Handle>,
    calls: Vec<(Handle, u32)>,
}

impl Walk {
    fn new(seed: u64) -> Self {
        let dice = TestRng(seed * 2_654_435_769 + 1);
        let (runs, calls) = (Vec::new(), Vec::new());
        Self { bench: Bench::new(), dice, now: 1, is_linked: true, cursor: 0, seen: 0, runs, calls }
    }

    fn look(&mut self) {
        for effect in &self.bench.done[self.seen..] {
            match effect {
                Effect::Agent { command: Command::Launch { handle, .. }, .. } => self.runs.push(*handle),
                Effect::Call { handle, attempt, .. } => self.calls.push((*handle, *attempt)),
                _ => {}
            }
        }
        self.seen = self.bench.done.len();
    }

    fn send(&mut self) {
        let (class, key) = match self.dice.roll(3) {
            0 => ("queue-status", None),
            _ => ("lobby-confirm", Some(format!("k{}", self.dice.roll(12)))),
        };
        let patience = 50 + self.dice.roll(6_000);
        let Input::Request(mut request) = self.bench.request(self.now, class, key.as_deref()) else {
            unreachable!()
        };
        request.timeout = Some(Duration::from_millis(patience));
        self.bench.step(self.now, [Input::Request(request)]);
    }

    fn end_run(&mut self, handle: Handle) {
        self.runs.retain(|run| *run != handle);
        let end = if self.dice.roll(4) == 0 { End::Failed } else { End::Complete };
        let result = (end == End::Complete).then(|| Arc::from(*b"made"));
        self.bench.notice(self.now, Notice::Outcome { handle, end, lasted: None, result });
    }

    fn ask_for_call(&mut self, handle: Handle) {
        self.cursor += 1;
        let body = Arc::from(*b"ask");
        self.bench.notice(self.now, Notice::CallNeeded { handle, cursor: self.cursor, body });
    }

    fn end_call(&mut self) {
        let Some((handle, attempt)) = self.dice.pick(&self.calls) else { return };
        self.calls.retain(|call| *call != (handle, attempt));
        let reply = Some(Arc::from(*b"reply"));
        let input = Input::CallEnded { handle, attempt, end: End::Complete, reply, fence: None };
        self.bench.step(self.now, [input]);
    }

    /// The link breaks, or a new one greets; its mark is answered more often than not.
    fn turn_link(&mut self) {
        self.is_linked = !self.is_linked;
        if !self.is_linked {
            self.bench.lose_link(self.now);
            return;
        }
        self.bench.greet(self.now);
        if self.dice.roll(3) > 0 {
            self.bench.synced(self.now);
        }
    }

    /// Some milliseconds go by, and one thing happens.
    fn go_on(&mut self) {
        self.now += 1 + self.dice.roll(30);
        self.bench.pass(self.now);
        self.look();
        let run = self.dice.pick(&self.runs);
        match (self.dice.roll(10), run) {
            (0..=4, _) => self.send(),
            (5, Some(handle)) if self.is_linked => self.end_run(handle),
            (6, Some(handle)) if self.is_linked => self.ask_for_call(handle),
            (7, _) => self.end_call(),
            _ => self.turn_link(),
        }
        self.look();
    }

    fn answers(&self) -> impl Iterator<Item = (u64, usize)> + '_ {
        (1..=self.bench.conns).map(|conn| (conn, self.bench.answers(conn).len()))
    }
}

#[test]
fn all_that_was_read_is_answered_before_the_stop_whatever_its_state() {
    // Guards against a state whose answer nobody owes any more at the stop, as that of a launch in doubt.
    for seed in 0..SEEDS {
        let mut walk = Walk::new(seed);
        let begin = 200 + walk.dice.roll(1_500);
        while walk.now < begin {
            walk.go_on();
        }
        let notice = walk.now;
        walk.bench.drain(notice);
        // More signals change nothing.
        let again = [notice + walk.dice.roll(STOP), notice + walk.dice.roll(STOP)];
        let mut more = again.into_iter().peekable();
        while walk.now < notice + STOP - LEAST_MARGIN - 40 {
            walk.go_on();
            if more.next_if(|at| *at <= walk.now).is_some() {
                walk.bench.drain(walk.now);
            }
        }
        let last = notice + STOP - LEAST_MARGIN;
        walk.bench.pass(last);
        let open: Vec<_> = walk.answers().filter(|(_, answers)| *answers != 1).collect();
        assert!(open.is_empty(), "seed {seed}: answers of connections 150 ms before the stop: {open:?}");
        // What comes later still is answered in the same moment.
        walk.now = last + 10;
        walk.send();
        assert_eq!(walk.answers().last().map(|(_, answers)| answers), Some(1), "seed {seed}");
        let counters = walk.bench.core.counters();
        assert_eq!((counters.violations, counters.second_runs_barred), (0, 0), "seed {seed}");
    }
}

#[test]
fn a_second_notice_moves_no_answer_later() {
    // Guards against a process that was told to leave twice, and counts its stop from the second time.
    let mut bench = Bench::new();
    bench.step(0, [Input::Succession(Succession::HandoverRequested)]);
    let Input::Request(mut request) = bench.request(5, "queue-status", None) else { unreachable!() };
    request.timeout = Some(Duration::from_secs(60));
    bench.step(5, [Input::Request(request)]);
    assert!(bench.done.iter().any(|effect| matches!(effect, Effect::Forward(_))), "it is passed on");
    bench.drain(10);
    bench.pass(1_500);
    bench.drain(1_500);
    bench.pass(10 + STOP - LEAST_MARGIN);
    assert_eq!(bench.answers(1), [&Verdict::Failed]);
}

/// A request whose caller waits for a minute, and the notice to leave at once.
fn told_to_leave(site: &str, stop_after: u64, noticed: u64) -> Bench {
    let mut bench = Bench::with(site, stop_after);
    let Input::Request(mut request) = bench.request(5, "queue-status", None) else { unreachable!() };
    request.timeout = Some(Duration::from_secs(60));
    bench.step(5, [Input::Request(request)]);
    assert_eq!(bench.launches(), 1);
    bench.step(10, [Input::Drain { signalled_at: ms(noticed) }]);
    bench
}

/// When its answer comes, in milliseconds.
fn answered_at(bench: &mut Bench, until: u64) -> Option<u64> {
    (10..until).find(|at| {
        bench.pass(*at);
        !bench.answers(1).is_empty()
    })
}

#[rstest]
#[case::as_the_configuration_tells("4500000", 1_200, 10, 10 + 1_200)]
#[case::as_the_longest_deadline_allows("400000", 3_200, 10, 10 + 400 + 700)]
#[case::with_a_deadline_that_counts_as_three_seconds("9000000", 9_000, 10, 10 + 3_000 + 700)]
#[case::from_the_notice_and_not_from_its_reading("4500000", 1_200, 2, 2 + 1_200)]
#[case::with_hardly_any_time("4500000", 60, 10, 10 + 60)]
fn the_last_answers_come_before_the_earliest_kill(
    #[case] give_up_us: &str,
    #[case] stop_after: u64,
    #[case] noticed: u64,
    #[case] kill: u64,
) {
    // Guards against a stop that is later than the kill.
    let site = SITE.replace(r#""give_up_us": 4500000"#, &format!(r#""give_up_us": {give_up_us}"#));
    let mut bench = told_to_leave(&site, stop_after, noticed);
    let answered = answered_at(&mut bench, kill).expect("an answer before the kill");
    let margin = (kill - noticed) / 10;
    assert!(answered + margin.min(150) <= kill, "{answered}, the kill at {kill}");
}

#[rstest]
#[case::to_an_earlier_kill(1_200, true)]
#[case::to_a_later_kill(60_000, false)]
fn other_settings_move_the_stop_only_earlier_once_it_is_told(#[case] stop_after: u64, #[case] moves: bool) {
    // Guards against answers that wait for a stop of settings that came after the notice.
    let mut bench = told_to_leave(SITE, STOP, 10);
    let site = Box::new(Site::parse(SITE).unwrap());
    let stop_after = Duration::from_millis(stop_after);
    bench.step(100, [Input::Reload { site, stop_after }]);
    let answered = answered_at(&mut bench, 10 + STOP).expect("an answer before the kill");
    assert_eq!(answered < 1_210, moves, "{answered}");
}

#[test]
fn what_is_answered_at_its_deadline_is_counted_and_told_with_its_last_command() {
    // Guards against a log that cannot answer which requests a stopping process held, and why.
    let mut bench = Bench::new();
    let Input::Request(mut request) = bench.request(5, "lobby-confirm", Some("k")) else { unreachable!() };
    request.timeout = Some(Duration::from_secs(60));
    bench.step(5, [Input::Request(request)]);
    bench.lose_link(10);
    bench.greet(20);
    bench.synced(21);
    bench.drain(30);
    bench.pass(30 + STOP);
    assert_eq!((bench.answers(1), bench.core.counters().overdue), (vec![&Verdict::Failed], 1));
    let logged = |text: &str| {
        bench.done.iter().any(|effect| matches!(effect, Effect::Log(line) if line.contains(text)))
    };
    assert!(logged(&format!("1: {} Running, last command launch in doubt", handle(1))), "{:?}", bench.done);
    assert!(logged("leaving: 1 answers owed") && logged("1 of them by runs whose launch is in doubt"));
}

#[test]
fn a_result_that_comes_after_the_answer_is_served_to_a_later_try() {
    // Guards against an effect whose result nobody can have, as its launch was in doubt for a moment.
    let mut bench = Bench::new();
    let first = bench.send(5, "lobby-confirm", Some("k"));
    bench.lose_link(10);
    bench.greet(20);
    bench.synced(21);
    bench.pass(1_600);
    assert_eq!(bench.answers(1), [&Verdict::Failed]);
    bench.send(1_700, "lobby-confirm", Some("k"));
    bench.complete(1_800, first, b"once");
    bench.send(1_900, "lobby-confirm", Some("k"));
    assert_eq!([2, 3].map(|conn| bench.answers(conn)), [[&served(b"once")]; 2]);
    assert_eq!(bench.launches(), 1);
}

#[test]
fn of_answered_runs_in_doubt_so_many_are_waited_for_and_no_more() {
    // Guards against memory that grows with every launch that a broken link leaves in doubt.
    let mut bench = Bench::new();
    let mut at = 10;
    for round in 0..1_300 {
        let key = format!("k{round}");
        let Input::Request(mut request) = bench.request(at, "lobby-confirm", Some(&key)) else {
            unreachable!()
        };
        request.timeout = Some(Duration::from_millis(300));
        bench.step(at, [Input::Request(request)]);
        bench.lose_link(at + 1);
        bench.greet(at + 2);
        bench.synced(at + 3);
        at += 60;
        bench.pass(at);
    }
    bench.pass(at + 400);
    assert!(bench.launches() > 1_200, "{}", bench.launches());
    let told = bench.step(at + 401, [Input::Query { ticket: 1, query: Query::Status }]);
    let running = told.iter().find_map(|effect| match effect {
        Effect::QueryResult { lines, .. } => lines.iter().find(|(name, _)| name == "running"),
        _ => None,
    });
    let running: usize = running.unwrap().1.parse().unwrap();
    assert!(running <= 1_025, "{running}");
}
