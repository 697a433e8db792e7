//! What a history says of switches: how far apart the matchers went over to each turn, and what was turned away. No I/O.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

use hdrhistogram::Histogram;

use super::history::{Event, Record};

/// Skews are kept from 1 us to 10 minutes at three significant figures.
const MOST_US: u64 = 600_000_000;

/// Failed requests named at most.
const NAMED: usize = 20;

/// A request that was answered, and neither served nor turned away. What has no answer is named by the four rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failed {
    pub id: String,
    /// The status of its answer.
    pub status: u16,
    /// It has a key.
    pub keyed: bool,
    /// The other try of its key that was sent nearest to it, and how many ms after it (below 0: before).
    pub repeat: Option<(String, i64)>,
    /// The switch nearest to it: how many ms before it was sent (below 0) or after it was answered; 0: in between.
    pub switch_ms: Option<i64>,
}

/// The figures of one history.
#[derive(Debug, Default, PartialEq)]
pub struct RoutesReport {
    /// By turn: how many matchers switched, and the time between the first and the last of them, in microseconds.
    pub skews: BTreeMap<u64, (usize, u64)>,
    /// By turn: from the order to the first switch, in microseconds, where an order to activate came before it.
    pub took: BTreeMap<u64, u64>,
    /// Requests turned away (503).
    pub turned_away: u64,
    /// How many requests were answered otherwise than with 200 or 503.
    pub failed: u64,
    /// The first of them.
    pub named: Vec<Failed>,
}

/// The median, the 99th percentile and the most of some times in microseconds; none of none.
pub fn quantiles(times: impl IntoIterator<Item = u64>) -> Option<(u64, u64, u64)> {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MOST_US, 3).ok()?;
    times.into_iter().for_each(|us| histogram.saturating_record(us.max(1)));
    let q = |q: f64| histogram.value_at_quantile(q);
    (!histogram.is_empty()).then(|| (q(0.5), q(0.99), histogram.max()))
}

impl RoutesReport {
    /// Of a history; nothing to say if no matcher switched.
    pub fn of(records: &[Record]) -> Option<Self> {
        let mut report = Self::default();
        let mut seen: BTreeMap<u64, BTreeMap<&str, u64>> = BTreeMap::new();
        let mut orders: Vec<u64> = Vec::new();
        for Record { t_ms, event } in records {
            match event {
                Event::Switched { of, turn, leased: true, t_us, .. } => {
                    // The first time that a matcher said it: a restart learns the turn anew.
                    seen.entry(*turn).or_default().entry(of).or_insert(*t_us);
                }
                Event::Order { what, status: 200, .. } if what == "activate" || what == "rollback" => {
                    orders.push(t_ms * 1000);
                }
                Event::Answer { status: 503, .. } => report.turned_away += 1,
                _ => {}
            }
        }
        for (turn, matchers) in seen {
            let (Some(first), Some(last)) = (matchers.values().min(), matchers.values().max()) else {
                continue;
            };
            report.skews.insert(turn, (matchers.len(), last - first));
            if let Some(ordered) = orders.iter().rev().find(|t| **t <= *first) {
                report.took.insert(turn, first - ordered);
            }
        }
        report.look_at_failed(records);
        (!report.skews.is_empty()).then_some(report)
    }

    fn look_at_failed(&mut self, records: &[Record]) {
        let (mut sent, mut of_key) = (HashMap::new(), HashMap::<_, Vec<_>>::new());
        let mut switches = Vec::new();
        for Record { t_ms, event } in records {
            match event {
                Event::Send { id, key, .. } => {
                    sent.insert(id, (*t_ms as i64, key));
                    of_key.entry(key).or_default().push((id, *t_ms as i64));
                }
                Event::Switched { t_us, .. } => switches.push((t_us / 1000) as i64),
                _ => {}
            }
        }
        for Record { t_ms, event } in records {
            let Event::Answer { id, status, .. } = event else { continue };
            if matches!(status, 200 | 503) {
                continue;
            }
            self.failed += 1;
            let Some((from, key)) = sent.get(id).filter(|_| self.named.len() < NAMED) else { continue };
            let tries = of_key[key].iter().filter(|(other, _)| !key.is_empty() && *other != id);
            let repeat = tries.map(|(other, t)| (other.to_string(), t - from)).min_by_key(|(_, ms)| ms.abs());
            let away = |t: &i64| if t < from { t - from } else { (t - *t_ms as i64).max(0) };
            let switch_ms = switches.iter().map(away).min_by_key(|ms| ms.abs());
            self.named.push(Failed {
                id: id.clone(),
                status: *status,
                keyed: !key.is_empty(),
                repeat,
                switch_ms,
            });
        }
    }

    /// For people.
    pub fn table(&self) -> String {
        let mut out = String::new();
        let ms = |us: u64| us as f64 / 1000.0;
        let n = self.skews.len();
        let mut line = |what: &str, times: Option<(u64, u64, u64)>| {
            if let Some((p50, p99, max)) = times {
                let (p50, p99, max) = (ms(p50), ms(p99), ms(max));
                let _ =
                    writeln!(out, "routes: {what}: median {p50:.2} ms, 99 % {p99:.2} ms, most {max:.2} ms");
            }
        };
        line(
            &format!("{n} switches, first to last matcher"),
            quantiles(self.skews.values().map(|(_, us)| *us)),
        );
        line("from the order to the first matcher", quantiles(self.took.values().copied()));
        let matchers: Vec<_> = self.skews.values().map(|(n, _)| *n).collect();
        let (least, most) = (matchers.iter().min().unwrap_or(&0), matchers.iter().max().unwrap_or(&0));
        let _ = writeln!(
            out,
            "routes: {least} to {most} matchers switched; {} requests turned away, {} answered as failed",
            self.turned_away, self.failed
        );
        for Failed { id, status, keyed, repeat, switch_ms } in &self.named {
            let key = match repeat {
                Some((other, ms)) => format!("keyed, its nearest repeat {other} sent {ms:+} ms from it"),
                None => ["no key", "keyed, no repeat"][usize::from(*keyed)].to_string(),
            };
            let switch = switch_ms.map_or("no switch".into(), |ms| format!("nearest switch {ms:+} ms"));
            let _ = writeln!(out, "routes: failed: {id} with {status}; {key}; {switch}");
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_skew_is_between_the_first_and_the_last_and_a_restart_does_not_stretch_it() {
        let at = |t_ms, event| Record { t_ms, event };
        let switched = |t_us, of: &str, turn| {
            at(t_us / 1000, Event::Switched { of: of.into(), turn, version: 1, leased: true, t_us })
        };
        let order = at(
            1_000,
            Event::Order { at: "m1".into(), what: "activate".into(), status: 200, told: "".into() },
        );
        let records = [
            order,
            switched(3_000_000, "m2", 1),
            switched(3_004_000, "m1", 1),
            switched(9_000_000, "m1", 1),
            at(9_001, Event::Answer { id: "a".into(), status: 503, passed: None }),
        ];
        let report = RoutesReport::of(&records).unwrap();
        assert_eq!((report.skews[&1], report.took[&1], report.turned_away), ((2, 4_000), 2_000_000, 1));
        assert_eq!(RoutesReport::of(&records[..1]), None);
        assert!(report.table().contains("1 switches"), "{}", report.table());
    }

    #[test]
    fn what_failed_is_named_with_its_repeat_and_the_nearest_switch() {
        let at = |t_ms, event| Record { t_ms, event };
        let send = |t_ms, id: &str, key: &str| {
            let (id, key) = (id.into(), key.into());
            at(t_ms, Event::Send { id, to: "m1".into(), class: "c".into(), key, due_ms: 9_000 })
        };
        let answer = |t_ms, id: &str, status| at(t_ms, Event::Answer { id: id.into(), status, passed: None });
        let switched =
            Event::Switched { of: "m1".into(), turn: 1, version: 1, leased: true, t_us: 2_000_000 };
        let records = [
            send(1_900, "a", "k"),
            send(1_901, "b", "k"),
            send(1_950, "c", ""),
            answer(1_960, "a", 500),
            answer(1_970, "b", 200),
            at(2_000, switched),
            answer(2_010, "c", 500),
            send(2_500, "d", ""),
            answer(2_900, "d", 504),
            send(2_950, "e", ""),
            at(4_000, Event::Gone { id: "e".into(), why: "closed".into() }),
        ];
        let report = RoutesReport::of(&records).unwrap();
        let failed = |id: &str, status, repeat: Option<(&str, i64)>, switch_ms| Failed {
            id: id.into(),
            status,
            keyed: repeat.is_some(),
            repeat: repeat.map(|(other, ms)| (other.into(), ms)),
            switch_ms: Some(switch_ms),
        };
        let all =
            [failed("a", 500, Some(("b", 1)), 40), failed("c", 500, None, 0), failed("d", 504, None, -500)];
        assert_eq!((report.failed, &report.named[..]), (3, &all[..]));
        let line =
            "failed: a with 500; keyed, its nearest repeat b sent +1 ms from it; nearest switch +40 ms";
        assert!(report.table().contains(line), "{}", report.table());
    }
}
