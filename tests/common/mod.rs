//! A host of the decision module for tests ([`TestHost`]), its settings, and pseudo-random numbers ([`TestRng`]).
#![allow(dead_code)]

use hopwalk::interface::*;
use hopwalk::DecisionEngine;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A small pseudo-random number generator; the same seed gives the same numbers.
pub struct TestRng(pub u64);

impl TestRng {
    /// A number from 0 up to but not including `sides`.
    pub fn roll(&mut self, sides: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % sides
    }

    pub fn pick<T: Copy>(&mut self, from: &[T]) -> Option<T> {
        (!from.is_empty()).then(|| from[self.roll(from.len() as u64) as usize])
    }
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn class(worth: f64, repeat: Repeat) -> Class {
    Class {
        target_latency: ms(2_000),
        target_stretch: 0.0,
        client_timeout: ms(6_000),
        repeat,
        window: ms(10_000),
        worth,
        late_value: 0.0,
        makes_calls: true,
        skip_worth: 0.0,
        dropped: false,
    }
}

/// Two classes, of which class 1 is worth more; no dependency and no tenants.
pub fn settings() -> Settings {
    Settings {
        cores: 4,
        memory_kb: 100_000.0,
        run_factor: 8.0,
        key_kb: 10.0,
        servers: 4,
        callers: 2,
        entry: true,
        warm_up_time: ms(10_000),
        classes: vec![class(1.0, Repeat::Idempotent), class(3.0, Repeat::AtMostOnce)],
        over_share_worth: 1.0,
        call_share_window: ms(5_000),
        call_linger: ms(200),
        repeats_unanswered_calls: true,
        answer_slack: ms(60),
        drain_grace: ms(1_000),
        max_load_per_core: 8.0,
        load_window: ms(2_000),
        ..Settings::default()
    }
}

/// Class 1 is deduplicated, and both classes call a shared dependency.
pub fn keyed_settings() -> Settings {
    let mut s = settings();
    s.classes[1].repeat = Repeat::Deduplicated;
    s.dependency = Dependency::Shared;
    s.call_share = 5.0;
    s
}

/// Feeds scripted events to the module, on a clock that only the test moves, and records the actions that it returns.
pub struct TestHost {
    pub engine: DecisionEngine,
    pub now: Duration,
    pub actions: Vec<(Duration, Action)>,
    pub gauges: Gauges,
    pub settings: Settings,
    timers: BTreeSet<(Duration, u64)>,
    sizes: BTreeMap<RequestId, f64>,
    finished: BTreeSet<RequestId>,
}

impl TestHost {
    pub fn new(settings: Settings) -> Self {
        let engine = DecisionEngine::new(settings.clone(), 7, ms(0)).expect("usable settings");
        let mut host = Self {
            engine,
            now: ms(0),
            actions: Vec::new(),
            gauges: Gauges::default(),
            settings,
            timers: BTreeSet::new(),
            sizes: BTreeMap::new(),
            finished: BTreeSet::new(),
        };
        host.batch(Vec::new());
        host
    }

    pub fn batch(&mut self, events: Vec<Event>) {
        let mut actions = Vec::new();
        for event in events {
            if let Event::Finished { id, .. } = event {
                self.finished.insert(id);
            }
            self.engine.on_event(self.now, event, &mut actions);
        }
        self.engine.decide(self.now, &mut actions);
        for action in actions {
            if let Action::SetTimer { token, after } = action {
                self.timers.insert((self.now + after, token));
            }
            self.actions.push((self.now, action));
        }
    }

    pub fn event(&mut self, event: Event) {
        self.batch(vec![event]);
    }

    pub fn arrival(&mut self, id: RequestId, class: usize) -> Arrival {
        self.sizes.insert(id, 20.0);
        Arrival {
            id,
            class,
            tenant: 0,
            names_object: false,
            due: Some(self.now + ms(6_000)),
            hint: None,
            size_kb: 20.0,
            rank: if class == 0 { 0.2 } else { 0.7 },
            caller: 1,
            age: ms(0),
            repeats: None,
            marked_retry: false,
        }
    }

    pub fn arrive(&mut self, id: RequestId, class: usize, change: impl Fn(&mut Arrival)) {
        let mut arrival = self.arrival(id, class);
        change(&mut arrival);
        self.event(Event::Arrived(arrival));
    }

    pub fn arrive_batch(&mut self, arrivals: &[(RequestId, usize, Option<RequestId>)]) {
        let events = arrivals
            .iter()
            .map(|(id, class, repeats)| {
                Event::Arrived(Arrival { repeats: *repeats, ..self.arrival(*id, *class) })
            })
            .collect();
        self.batch(events);
    }

    pub fn fill_cores(&mut self) {
        for id in 1_000..1_000 + self.settings.cores {
            self.arrive(id, 1, |_| ());
        }
    }

    pub fn fire_timers(&mut self) {
        let due: Vec<_> = self.timers.iter().copied().filter(|(at, _)| *at <= self.now).collect();
        for timer in &due {
            self.timers.remove(timer);
        }
        let gauges = self.gauges;
        self.batch(due.into_iter().map(|(_, token)| Event::Timer { token, gauges }).collect());
    }

    pub fn run_until(&mut self, at_ms: u64) {
        while let Some((at, _)) = self.timers.first().copied().filter(|(at, _)| *at <= ms(at_ms)) {
            self.now = self.now.max(at);
            self.fire_timers();
        }
        self.now = ms(at_ms);
    }

    pub fn advance(&mut self, by_ms: u64) {
        self.run_until((self.now + ms(by_ms)).as_millis() as u64);
    }

    pub fn issued(&self, action: &Action) -> bool {
        self.actions.iter().any(|(_, a)| a == action)
    }

    pub fn start_count(&self, ids: &[RequestId]) -> usize {
        self.actions.iter().filter(|(_, a)| matches!(a, Action::Start(id) if ids.contains(id))).count()
    }

    pub fn call_count(&self, id: RequestId) -> usize {
        self.actions.iter().filter(|(_, a)| matches!(a, Action::Call { id: i, .. } if *i == id)).count()
    }

    /// The number of final answers that actions gave to a request.
    pub fn answer_count(&self, id: RequestId) -> usize {
        let answer = |a: &Action| match a {
            Action::Refuse { id: i, .. } | Action::Fail(i) => *i == id,
            _ => false,
        };
        self.actions.iter().filter(|(_, a)| answer(a)).count()
    }

    pub fn running(&self) -> Vec<RequestId> {
        let started = self.actions.iter().filter_map(|(_, a)| match a {
            Action::Start(id) => Some(*id),
            _ => None,
        });
        started.filter(|id| !self.finished.contains(id)).collect()
    }

    /// Memory that held and running requests need now, in kilobytes.
    pub fn memory_kb(&self) -> f64 {
        let running = self.running();
        let held = |id: &RequestId| self.answer_count(*id) == 0 && !self.finished.contains(id);
        let need = |(id, kb): (&RequestId, &f64)| match running.contains(id) {
            true => kb * self.settings.run_factor,
            false => kb * f64::from(u8::from(held(id))),
        };
        self.sizes.iter().map(need).sum()
    }
}
