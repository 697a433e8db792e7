//! The drain of a process: every request that was read gets exactly one answer before the stop, whatever its state.

use super::*;

/// Time between the stop signal and the kill in milliseconds, as set by [`Bench::new`].
const STOP_AFTER_MS: u64 = 3_200;
/// The last answer is sent at least this long before the kill, in milliseconds, so that it can be written on a busy
/// machine.
const MIN_ANSWER_MARGIN: u64 = 150;
/// Number of random scenarios.
const SEEDS: u64 = 150;

/// A scenario of random events before and after a stop signal.
struct RandomScenario {
    bench: Bench,
    rng: TestRng,
    now: u64,
    is_linked: bool,
    cursor: u64,
    /// Number of effects that were searched for launches and calls.
    collected: usize,
    runs: Vec<Handle>,
    calls: Vec<(Handle, u32)>,
}

impl RandomScenario {
    fn new(seed: u64) -> Self {
        let rng = TestRng(seed * 2_654_435_769 + 1);
        let (runs, calls) = (Vec::new(), Vec::new());
        Self { bench: Bench::new(), rng, now: 1, is_linked: true, cursor: 0, collected: 0, runs, calls }
    }

    fn collect(&mut self) {
        for effect in &self.bench.effects[self.collected..] {
            match effect {
                Effect::Agent { command: Command::Launch { handle, .. }, .. } => self.runs.push(*handle),
                Effect::Call { handle, attempt, .. } => self.calls.push((*handle, *attempt)),
                _ => {}
            }
        }
        self.collected = self.bench.effects.len();
    }

    fn send(&mut self) {
        let (class, key) = match self.rng.roll(3) {
            0 => ("queue-status", None),
            _ => ("lobby-confirm", Some(format!("k{}", self.rng.roll(12)))),
        };
        let timeout = 50 + self.rng.roll(6_000);
        let Input::Request(mut request) = self.bench.request(self.now, class, key.as_deref()) else {
            unreachable!()
        };
        request.timeout = Some(Duration::from_millis(timeout));
        self.bench.step(self.now, [Input::Request(request)]);
    }

    fn end_run(&mut self, handle: Handle) {
        self.runs.retain(|run| *run != handle);
        let end = if self.rng.roll(4) == 0 { End::Failed } else { End::Complete };
        let result = (end == End::Complete).then(|| Arc::from(*b"made"));
        self.bench.notice(self.now, Notice::Outcome { handle, end, duration: None, result });
    }

    fn request_call(&mut self, handle: Handle) {
        self.cursor += 1;
        let body = Arc::from(*b"ask");
        self.bench.notice(self.now, Notice::CallNeeded { handle, cursor: self.cursor, body });
    }

    fn end_call(&mut self) {
        let Some((handle, attempt)) = self.rng.pick(&self.calls) else { return };
        self.calls.retain(|call| *call != (handle, attempt));
        let reply = Some(reply_to(handle, self.cursor, attempt, b"reply"));
        let input = Input::CallEnded { handle, attempt, end: End::Complete, reply, fence: None };
        self.bench.step(self.now, [input]);
    }

    /// Breaks the link, or opens a new one, which is synchronised in two of three cases.
    fn toggle_link(&mut self) {
        self.is_linked = !self.is_linked;
        if !self.is_linked {
            self.bench.break_link(self.now);
            return;
        }
        self.bench.open_link(self.now);
        if self.rng.roll(3) > 0 {
            self.bench.sync(self.now);
        }
    }

    /// Advances the clock by some milliseconds and lets one random event happen.
    fn random_event(&mut self) {
        self.now += 1 + self.rng.roll(30);
        self.bench.advance_to(self.now);
        self.collect();
        let run = self.rng.pick(&self.runs);
        match (self.rng.roll(10), run) {
            (0..=4, _) => self.send(),
            (5, Some(handle)) if self.is_linked => self.end_run(handle),
            (6, Some(handle)) if self.is_linked => self.request_call(handle),
            (7, _) => self.end_call(),
            _ => self.toggle_link(),
        }
        self.collect();
    }

    fn answers(&self) -> impl Iterator<Item = (u64, usize)> + '_ {
        (1..=self.bench.conns).map(|conn| (conn, self.bench.answers(conn).len()))
    }
}

#[test]
fn every_request_that_was_read_is_answered_before_the_stop_in_any_state() {
    // Guards against a state in which no answer is sent before the stop, such as a launch in doubt.
    for seed in 0..SEEDS {
        let mut scenario = RandomScenario::new(seed);
        let begin = 200 + scenario.rng.roll(1_500);
        while scenario.now < begin {
            scenario.random_event();
        }
        let signalled_at = scenario.now;
        scenario.bench.drain(signalled_at);
        // Further signals have no effect.
        let repeated_signals = [
            signalled_at + scenario.rng.roll(STOP_AFTER_MS),
            signalled_at + scenario.rng.roll(STOP_AFTER_MS),
        ];
        let mut further_signals = repeated_signals.into_iter().peekable();
        while scenario.now < signalled_at + STOP_AFTER_MS - MIN_ANSWER_MARGIN - 40 {
            scenario.random_event();
            if further_signals.next_if(|at| *at <= scenario.now).is_some() {
                scenario.bench.drain(scenario.now);
            }
        }
        let last = signalled_at + STOP_AFTER_MS - MIN_ANSWER_MARGIN;
        scenario.bench.advance_to(last);
        let unanswered: Vec<_> = scenario.answers().filter(|(_, answers)| *answers != 1).collect();
        assert!(
            unanswered.is_empty(),
            "seed {seed}: connections without exactly one answer 150 ms before the stop: {unanswered:?}"
        );
        // Requests that arrive later are answered at once.
        scenario.now = last + 10;
        scenario.send();
        assert_eq!(scenario.answers().last().map(|(_, answers)| answers), Some(1), "seed {seed}");
        let counters = scenario.bench.core.counters();
        assert_eq!((counters.violations, counters.second_runs_barred), (0, 0), "seed {seed}");
    }
}

#[test]
fn a_second_signal_does_not_delay_answers() {
    // Guards against a process that gets two stop signals and counts the time to the kill from the second one.
    let mut bench = Bench::new();
    bench.step(0, [Input::Succession(Succession::HandoverRequested)]);
    let Input::Request(mut request) = bench.request(5, "queue-status", None) else { unreachable!() };
    request.timeout = Some(Duration::from_secs(60));
    bench.step(5, [Input::Request(request)]);
    assert!(bench.effects.iter().any(|effect| matches!(effect, Effect::Forward(_))), "it is forwarded");
    bench.drain(10);
    bench.advance_to(1_500);
    bench.drain(1_500);
    bench.advance_to(10 + STOP_AFTER_MS - MIN_ANSWER_MARGIN);
    assert_eq!(bench.answers(1), [&Verdict::Failed]);
}

/// A request whose client waits for a minute, and the stop signal at once.
fn drained_bench(site: &str, stop_after: u64, signalled_at: u64) -> Bench {
    let mut bench = Bench::with(site, stop_after);
    let Input::Request(mut request) = bench.request(5, "queue-status", None) else { unreachable!() };
    request.timeout = Some(Duration::from_secs(60));
    bench.step(5, [Input::Request(request)]);
    assert_eq!(bench.launches(), 1);
    bench.step(10, [Input::Drain { signalled_at: ms(signalled_at), sent_at: ms(signalled_at) }]);
    bench
}

/// When the answer is sent, in milliseconds.
fn answered_at(bench: &mut Bench, until: u64) -> Option<u64> {
    (10..until).find(|at| {
        bench.advance_to(*at);
        !bench.answers(1).is_empty()
    })
}

#[rstest]
#[case::configured_time("4500000", 1_200, 10, 10 + 1_200)]
#[case::longest_client_timeout("400000", 3_200, 10, 10 + 400 + 700)]
#[case::client_timeout_that_counts_as_three_seconds("9000000", 9_000, 10, 10 + 3_000 + 700)]
#[case::counted_from_the_signal_and_not_from_its_reading("4500000", 1_200, 2, 2 + 1_200)]
#[case::hardly_any_time("4500000", 60, 10, 10 + 60)]
fn the_last_answers_come_before_the_earliest_kill(
    #[case] give_up_us: &str,
    #[case] stop_after: u64,
    #[case] signalled_at: u64,
    #[case] kill: u64,
) {
    // Guards against an assumed stop that is later than the kill.
    let site = SITE.replace(r#""give_up_us": 4500000"#, &format!(r#""give_up_us": {give_up_us}"#));
    let mut bench = drained_bench(&site, stop_after, signalled_at);
    let answered = answered_at(&mut bench, kill).expect("an answer before the kill");
    let margin = (kill - signalled_at) / 10;
    assert!(answered + margin.min(150) <= kill, "{answered}, the kill at {kill}");
}

#[rstest]
#[case::to_an_earlier_kill(1_200, true)]
#[case::to_a_later_kill(60_000, false)]
fn a_reload_during_a_drain_moves_the_stop_only_to_an_earlier_time(
    #[case] stop_after: u64,
    #[case] moves: bool,
) {
    // Guards against answers delayed by settings that were loaded after the signal.
    let mut bench = drained_bench(SITE, STOP_AFTER_MS, 10);
    let site = Box::new(Site::parse(SITE).unwrap());
    let stop_after = Duration::from_millis(stop_after);
    bench.step(100, [Input::Reload { site, stop_after }]);
    let answered = answered_at(&mut bench, 10 + STOP_AFTER_MS).expect("an answer before the kill");
    assert_eq!(answered < 1_210, moves, "{answered}");
}

#[test]
fn requests_answered_at_their_deadline_are_counted_and_logged_with_their_last_command() {
    // Guards against a log that does not show which requests a stopping process had not answered, and why.
    let mut bench = Bench::new();
    let Input::Request(mut request) = bench.request(5, "lobby-confirm", Some("k")) else { unreachable!() };
    request.timeout = Some(Duration::from_secs(60));
    bench.step(5, [Input::Request(request)]);
    bench.break_link(10);
    bench.open_link(20);
    bench.sync(21);
    bench.drain(30);
    bench.advance_to(30 + STOP_AFTER_MS);
    assert_eq!((bench.answers(1), bench.core.counters().overdue), (vec![&Verdict::Failed], 1));
    let logged = |text: &str| {
        bench.effects.iter().any(|effect| matches!(effect, Effect::Log(line) if line.contains(text)))
    };
    assert!(
        logged(&format!("1: {} Running, last command launch in doubt", handle(1))),
        "{:?}",
        bench.effects
    );
    assert!(logged("leaving: 1 answers owed") && logged("1 of them by runs whose launch is in doubt"));
}

#[test]
fn a_result_that_arrives_after_the_answer_is_served_to_a_later_try() {
    // Guards against a run whose result no client can get because its launch was in doubt for a moment.
    let mut bench = Bench::new();
    let first = bench.send(5, "lobby-confirm", Some("k"));
    bench.break_link(10);
    bench.open_link(20);
    bench.sync(21);
    bench.advance_to(1_600);
    assert_eq!(bench.answers(1), [&Verdict::Failed]);
    bench.send(1_700, "lobby-confirm", Some("k"));
    bench.complete(1_800, first, b"once");
    bench.send(1_900, "lobby-confirm", Some("k"));
    assert_eq!([2, 3].map(|conn| bench.answers(conn)), [[&served(b"once")]; 2]);
    assert_eq!(bench.launches(), 1);
}

#[test]
fn the_number_of_answered_runs_in_doubt_that_are_awaited_is_limited() {
    // Guards against memory that grows with every launch that a broken link leaves in doubt.
    // The keys of a window, all of one caller, fit into the memory.
    let site = SITE.replace(r#""kb_per_key": 117.75"#, r#""kb_per_key": 40.0"#);
    let mut bench = Bench::with(&site, STOP_AFTER.as_millis() as u64);
    let mut at = 10;
    for round in 0..1_300 {
        let key = format!("k{round}");
        let Input::Request(mut request) = bench.request(at, "lobby-confirm", Some(&key)) else {
            unreachable!()
        };
        request.timeout = Some(Duration::from_millis(300));
        bench.step(at, [Input::Request(request)]);
        bench.break_link(at + 1);
        bench.open_link(at + 2);
        bench.sync(at + 3);
        at += 60;
        bench.advance_to(at);
    }
    bench.advance_to(at + 400);
    assert!(bench.launches() > 1_200, "{}", bench.launches());
    let effects = bench.step(at + 401, [Input::Query { ticket: 1, query: Query::Status }]);
    let running = effects.iter().find_map(|effect| match effect {
        Effect::QueryResult { lines, .. } => lines.iter().find(|(name, _)| name == "running"),
        _ => None,
    });
    let running: usize = running.unwrap().1.parse().unwrap();
    assert!(running <= 1_025, "{running}");
}
