//! Checks the rules of the decision module on long random sequences of legal events with fixed seeds.

mod common;

use common::{keyed_settings, ms, TestRng};
use hopwalk::interface::*;
use hopwalk::DecisionEngine;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Held,
    Running,
    AtCall,
    Calling,
    Joined,
    Ended,
}

/// What the checker knows of one try.
#[derive(Debug)]
struct Try {
    class: usize,
    key: u64,
    read_at: Duration,
    arrived: Duration,
    due: Duration,
    size_kb: f64,
    repeats: bool,
    state: State,
    answered: bool,
    ran: bool,
    call_may_have_run: bool,
    ended_at: Duration,
}

/// Plays the server: generates events, carries out actions, and checks each of them against the rules.
struct Checker {
    settings: Settings,
    rng: TestRng,
    now: Duration,
    tries: BTreeMap<RequestId, Try>,
    key_table: BTreeMap<u64, (RequestId, Duration)>,
    ran_keys: BTreeMap<u64, Duration>,
    timers: BTreeSet<(Duration, u64)>,
    drain: Option<(Duration, Duration)>,
    with_due: bool,
    next_id: RequestId,
}

impl Checker {
    fn ids(&self, state: State) -> Vec<RequestId> {
        self.tries.iter().filter(|(_, t)| t.state == state).map(|(id, _)| *id).collect()
    }

    fn arrival(&mut self) -> Event {
        self.next_id += 1;
        let id = self.next_id;
        let class = self.rng.roll(self.settings.classes.len() as u64) as usize;
        let repeat = self.settings.classes[class].repeat;
        // Tries with one key in one batch name each other. The scripted tests cover that, so keys differ here.
        let now = self.now;
        let taken: BTreeSet<u64> = self.tries.values().filter(|t| t.read_at == now).map(|t| t.key).collect();
        let mut key = self.rng.roll(400);
        while taken.contains(&key) {
            key = self.rng.roll(400);
        }
        let age = ms(self.rng.roll(80));
        let arrived = self.now.saturating_sub(age);
        let span = ms(200 + self.rng.roll(3_000));
        let due = if self.with_due {
            arrived + span
        } else {
            arrived + self.settings.classes[class].client_timeout
        };
        let remembered = self.key_table.get(&key).filter(|(_, ends)| *ends >= arrived).map(|(id, _)| *id);
        let keyed = repeat == Repeat::Deduplicated;
        let repeats = remembered.filter(|_| keyed);
        let size_kb = 5.0 + self.rng.roll(30) as f64;
        let hint = self.settings.worth_by_work.then(|| ms(20 + self.rng.roll(400)));
        let new_try = Try {
            class,
            key,
            read_at: now,
            arrived,
            due: due.max(self.now),
            size_kb,
            repeats: repeats.is_some(),
            state: State::Held,
            answered: false,
            ran: false,
            call_may_have_run: false,
            ended_at: Duration::ZERO,
        };
        self.tries.insert(id, new_try);
        Event::Arrived(Arrival {
            id,
            class,
            tenant: self.rng.roll(3) as usize,
            names_object: false,
            due: self.with_due.then_some(due),
            hint,
            size_kb,
            rank: (class as f64 + 0.5) / self.settings.classes.len() as f64,
            caller: self.rng.roll(u64::from(self.settings.callers)) as u32,
            age,
            repeats,
            marked_retry: self.settings.marks_retries && self.rng.roll(3) == 0,
        })
    }

    fn events(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some(timer) = self.timers.first().copied().filter(|(at, _)| *at <= self.now) {
            self.timers.remove(&timer);
            let core_use = self.rng.roll(101) as f64 / 100.0;
            events.push(Event::Timer {
                token: timer.1,
                gauges: Gauges { core_use: Some(core_use), ..Gauges::default() },
            });
        }
        let (now, took) = (self.now, ms(50 + self.rng.roll(300)));
        for _ in 0..self.rng.roll(4) {
            let step = self.rng.roll(7);
            let running = self.ids(State::Running);
            match step {
                0 | 1 => events.extend(self.rng.pick(&running).map(|id| {
                    let outcome = if self.rng.roll(20) == 0 { Outcome::Error } else { Outcome::Done };
                    self.end(id, now);
                    Event::Finished { id, outcome, took }
                })),
                2 => {
                    let ready: Vec<_> = running
                        .into_iter()
                        .filter(|id| self.settings.classes[self.tries[id].class].makes_calls)
                        .collect();
                    if let (Some(id), true) =
                        (self.rng.pick(&ready), self.settings.dependency != Dependency::Off)
                    {
                        let t = self.tries.get_mut(&id).unwrap();
                        if t.answered {
                            self.end(id, now);
                            events.push(Event::Finished { id, outcome: Outcome::Cancelled, took });
                        } else {
                            t.state = State::AtCall;
                            events.push(Event::CallNeeded { id });
                        }
                    }
                }
                3 => {
                    let calling = self.ids(State::Calling);
                    if let Some(id) = self.rng.pick(&calling) {
                        let all = [
                            Outcome::Done,
                            Outcome::Busy,
                            Outcome::TimedOut,
                            Outcome::Reset,
                            Outcome::Unreachable,
                        ];
                        let outcome =
                            if self.rng.roll(2) == 0 { Outcome::Done } else { self.rng.pick(&all).unwrap() };
                        let t = self.tries.get_mut(&id).unwrap();
                        t.call_may_have_run |= outcome != Outcome::Done && !outcome.never_ran();
                        t.state = if outcome == Outcome::Done { State::Running } else { State::AtCall };
                        events.push(Event::CallEnded { id, outcome, took, may_repeat: true });
                    }
                }
                4 => {
                    let open: Vec<_> = self
                        .tries
                        .iter()
                        .filter(|(_, t)| t.state != State::Ended && !t.answered)
                        .map(|(i, _)| *i)
                        .collect();
                    // Not in a batch with the end of a call: the module may answer that before it reads that the
                    // caller left.
                    let quiet = !events.iter().any(|e| matches!(e, Event::CallEnded { .. }));
                    let rare = self.rng.roll(4) == 0 && quiet;
                    if let Some(id) = self.rng.pick(&open).filter(|_| rare) {
                        events.push(Event::Withdrawn { id });
                        self.answer(id);
                        self.end_unless_running(id, &mut events);
                    }
                }
                5 => {
                    let joined = self.ids(State::Joined);
                    events.extend(self.rng.pick(&joined).map(|id| {
                        self.end(id, now);
                        Event::Finished { id, outcome: Outcome::Done, took }
                    }));
                }
                _ => {}
            }
        }
        for _ in 0..self.rng.roll(3) {
            let event = self.arrival();
            events.push(event);
        }
        events
    }

    /// What the server does by itself once a request is answered or its caller has left.
    fn end_unless_running(&mut self, id: RequestId, events: &mut Vec<Event>) {
        match self.tries[&id].state {
            State::Held | State::Joined => self.end(id, self.now),
            State::AtCall | State::Calling => {
                self.end(id, self.now);
                events.push(Event::Finished { id, outcome: Outcome::Cancelled, took: ms(1) });
            }
            _ => {}
        }
    }

    fn answer(&mut self, id: RequestId) {
        self.tries.get_mut(&id).unwrap().answered = true;
    }

    fn end(&mut self, id: RequestId, now: Duration) {
        let t = self.tries.get_mut(&id).unwrap();
        (t.state, t.answered, t.ended_at) = (State::Ended, true, now);
    }

    fn carry_out(&mut self, actions: Vec<Action>, later: &mut Vec<Event>) {
        for action in actions {
            match action {
                Action::Start(id) => {
                    let t = self.tries.get_mut(&id).expect("known");
                    let class = &self.settings.classes[t.class];
                    assert_eq!(t.state, State::Held, "started twice: {t:?}");
                    if let Some((at, _)) = self.drain {
                        assert!(t.arrived <= at + self.settings.drain_grace, "ran after the grace");
                    }
                    if class.repeat == Repeat::Deduplicated {
                        let before = self.ran_keys.get(&t.key).copied();
                        let within = before.is_some_and(|at| t.arrived <= at + class.window);
                        assert!(!within, "key run twice: {t:?} after {before:?}");
                        assert!(self.key_table.contains_key(&t.key), "started without a key");
                        self.ran_keys.insert(t.key, t.arrived);
                    }
                    (t.state, t.ran) = (State::Running, true);
                }
                Action::Refuse { id, .. } => {
                    let t = &self.tries[&id];
                    assert!(!t.answered && !t.ran, "refused after a run or an answer: {t:?}");
                    let keyed = self.settings.classes[t.class].repeat == Repeat::Deduplicated;
                    assert!(
                        !(keyed
                            && t.repeats
                            && self.ran_keys.get(&t.key).is_some_and(|a| {
                                t.arrived <= *a + self.settings.classes[t.class].window
                            })),
                        "refused although a try with its key ran"
                    );
                    self.end(id, self.now);
                }
                Action::Fail(id) => {
                    assert!(!self.tries[&id].answered, "answered twice");
                    self.answer(id);
                    self.end_unless_running(id, later);
                }
                Action::Preempt(id) => {
                    assert_ne!(self.settings.preemption, Preemption::Off);
                    if self.tries[&id].state == State::Running && self.tries[&id].answered {
                        self.end(id, self.now);
                        later.push(Event::Finished { id, outcome: Outcome::Cancelled, took: ms(1) });
                    }
                }
                Action::Call { id, timeout } => {
                    let t = self.tries.get_mut(&id).unwrap();
                    assert_eq!(t.state, State::AtCall);
                    assert!(!timeout.is_zero());
                    let repeatable = self.settings.classes[t.class].repeat == Repeat::Idempotent;
                    assert!(repeatable || !t.call_may_have_run, "a call that may have run was repeated");
                    t.state = State::Calling;
                }
                Action::SkipCall(id) => {
                    let t = self.tries.get_mut(&id).unwrap();
                    assert!(self.settings.classes[t.class].skip_worth > 0.0);
                    t.state = State::Running;
                }
                Action::Join(id) => {
                    let t = self.tries.get_mut(&id).unwrap();
                    assert!(t.repeats, "joined although it repeats no other");
                    t.state = State::Joined;
                }
                Action::RememberKey { id, lifetime } => {
                    self.key_table.insert(self.tries[&id].key, (id, self.now + lifetime));
                }
                Action::ForgetKey(id) => {
                    let key = self.tries[&id].key;
                    if self.key_table.get(&key).is_some_and(|(holder, _)| *holder == id) {
                        self.key_table.remove(&key);
                    }
                }
                Action::Signal(x) => {
                    assert_ne!(self.settings.signal, Signal::Off);
                    assert!(x.is_finite() && x >= 0.0);
                }
                Action::SetTimer { token, after } => {
                    self.timers.insert((self.now + after, token));
                }
                Action::Health { .. } | Action::TrimIdle(_) | Action::Log(_) => {}
            }
        }
    }

    fn check(&mut self) {
        let now = self.now;
        self.key_table.retain(|_, (_, ends)| *ends + ms(100) >= now);
        let keys =
            self.key_table.values().filter(|(_, ends)| *ends >= now).count() as f64 * self.settings.key_kb;
        let need = |t: &Try| match t.state {
            State::Held | State::Joined => t.size_kb,
            State::Ended => 0.0,
            _ => t.size_kb * self.settings.run_factor,
        };
        let memory = keys + self.tries.values().map(need).sum::<f64>();
        assert!(memory <= self.settings.memory_kb, "memory {memory} of {}", self.settings.memory_kb);
        let running = self.ids(State::Running).len() as f64;
        assert!(
            running <= f64::from(self.settings.cores) * self.settings.max_load_per_core,
            "load {running}"
        );
        if self.settings.dependency == Dependency::Shared {
            assert!(self.ids(State::Calling).len() as f64 <= self.settings.call_share.max(1.0), "calls");
        }
        for (id, t) in &self.tries {
            assert!(t.answered || now <= t.due + self.settings.answer_slack, "lost {id} {t:?} at {now:?}");
        }
        if self.drain.is_some_and(|(_, stop)| now >= stop) {
            assert!(self.tries.values().all(|t| t.answered), "unanswered at the stop");
        }
        self.tries.retain(|_, t| t.state != State::Ended || t.ended_at + ms(15_000) > now);
    }
}

fn play(settings: Settings, seed: u64, with_due: bool) -> (usize, usize) {
    let mut engine = DecisionEngine::new(settings.clone(), seed, ms(0)).expect("usable settings");
    let mut checker = Checker {
        settings,
        rng: TestRng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
        now: ms(0),
        tries: BTreeMap::new(),
        key_table: BTreeMap::new(),
        ran_keys: BTreeMap::new(),
        timers: BTreeSet::new(),
        drain: None,
        with_due,
        next_id: 0,
    };
    let (mut started, mut arrived) = (0, 0);
    let mut later = Vec::new();
    for step in 0..300 {
        let mut events = std::mem::take(&mut later);
        events.extend(checker.events());
        if step == 200 {
            let stop = checker.now + ms(3_000);
            checker.drain = Some((checker.now, stop));
            events.push(Event::Drain { age: ms(0), stop_at: stop });
        }
        arrived += events.iter().filter(|e| matches!(e, Event::Arrived(_))).count();
        let mut actions = Vec::new();
        for event in events {
            engine.on_event(checker.now, event, &mut actions);
        }
        engine.decide(checker.now, &mut actions);
        started += actions.iter().filter(|a| matches!(a, Action::Start(_))).count();
        checker.carry_out(actions, &mut later);
        checker.check();
        if checker.drain.is_some_and(|(_, stop)| checker.now >= stop) {
            break;
        }
        let jump = checker.now + ms(1 + checker.rng.roll(40));
        checker.now = checker.timers.first().map_or(jump, |(at, _)| jump.min((*at).max(checker.now)));
    }
    (started, arrived)
}

#[test]
fn the_rules_hold_on_random_legal_sequences_under_all_settings() {
    let mut seed = 1;
    let (mut started, mut arrived) = (0, 0);
    for preemption in [Preemption::Off, Preemption::Drop, Preemption::Pause] {
        for dependency in [Dependency::Off, Dependency::Shared, Dependency::Tier] {
            for signal in [Signal::Off, Signal::MinRank, Signal::Tokens, Signal::Bias] {
                for bits in [0, 5, 10, 15_u32] {
                    seed += 1;
                    let flag = |n: u32| bits >> n & 1 == 1;
                    let mut s = keyed_settings();
                    (s.preemption, s.dependency, s.signal) = (preemption, dependency, signal);
                    (s.cold, s.cold_speed, s.readiness) = (flag(0), 0.2, flag(0));
                    s.classes[0].skip_worth = if flag(1) { 0.5 } else { 0.0 };
                    s.worth_by_work = flag(1);
                    s.memory_kb = if flag(2) { 6_000.0 } else { 1_500.0 };
                    s.sends_retry_after = flag(2);
                    s.call_share =
                        [0.05, 0.6, 3.0][(flag(2) as usize) * (1 + (signal == Signal::Bias) as usize)];
                    (s.cores, s.callers) = [(4, 2), (1, 300), (2, 1), (2, 300)][(bits % 4) as usize];
                    s.idle_timeout = ms(30_000);
                    (s.marks_retries, s.connect_price) = (flag(0), if flag(1) { 0.02 } else { 0.0 });
                    s.max_load_per_core = if flag(0) { 5.0 } else { 8.0 };
                    if flag(1) {
                        s.over_share_worth = 0.1;
                        s.tenants = [20.0, 1.0, 0.01].map(|quota_per_s| Tenant { quota_per_s }).to_vec();
                    }
                    s.classes.push(s.classes[1].clone());
                    s.classes[2].repeat = Repeat::AtMostOnce;
                    s.classes[2].late_value = 0.2;
                    let (new_started, new_arrived) = play(s, seed, flag(3));
                    started += new_started;
                    arrived += new_arrived;
                }
            }
        }
    }
    assert!(
        started * 4 > arrived,
        "too few requests were started for the checks to mean anything: {started} of {arrived}"
    );
}
