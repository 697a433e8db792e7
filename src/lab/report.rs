//! A report over a history: the share served, latency percentiles by class (hdrhistogram), and served, turned
//! away and lost second by second with the faults in force.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use hdrhistogram::Histogram;

use super::history::{Event, Record};

/// Latencies are kept from 1 ms to 10 minutes at three significant figures.
const MOST_MS: u64 = 600_000;

/// One second of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Second {
    pub served: u64,
    pub turned_away: u64,
    pub failed: u64,
    pub lost: u64,
    /// Faults and process events of this second.
    pub faults: BTreeSet<String>,
}

/// What a report shows.
#[derive(Debug, Default)]
pub struct Report {
    pub sent: u64,
    pub served: u64,
    /// By class: (answers, p50, p99, p999, most) in milliseconds.
    pub latency: BTreeMap<String, (u64, u64, u64, u64, u64)>,
    pub seconds: Vec<Second>,
}

impl Report {
    pub fn of(records: &[Record]) -> Self {
        let mut report = Self::default();
        let mut sends: HashMap<&str, (u64, &str)> = HashMap::new();
        let mut by_class: BTreeMap<String, Histogram<u64>> = BTreeMap::new();
        let mut answered: BTreeSet<&str> = BTreeSet::new();
        let second = |seconds: &mut Vec<Second>, t_ms: u64| -> usize {
            let s = (t_ms / 1000) as usize;
            if seconds.len() <= s {
                seconds.resize(s + 1, Second::default());
            }
            s
        };
        for Record { t_ms, event } in records {
            match event {
                Event::Send { id, class, .. } => {
                    report.sent += 1;
                    sends.insert(id, (*t_ms, class));
                }
                Event::Answer { id, status } => {
                    answered.insert(id);
                    let s = second(&mut report.seconds, *t_ms);
                    match status {
                        200 => {
                            report.served += 1;
                            report.seconds[s].served += 1;
                        }
                        503 => report.seconds[s].turned_away += 1,
                        _ => report.seconds[s].failed += 1,
                    }
                    if let Some((sent, class)) = sends.get(id.as_str()) {
                        let histogram = by_class.entry(class.to_string()).or_insert_with(|| {
                            Histogram::new_with_bounds(1, MOST_MS, 3).expect("bounds that hdrhistogram takes")
                        });
                        let _ = histogram.record(t_ms.saturating_sub(*sent).clamp(1, MOST_MS));
                    }
                }
                Event::Gone { id, .. } => {
                    answered.insert(id);
                    let s = second(&mut report.seconds, *t_ms);
                    report.seconds[s].lost += 1;
                }
                Event::Fault { kind, target, phase } => {
                    let s = second(&mut report.seconds, *t_ms);
                    report.seconds[s].faults.insert(format!("{kind} {target} {phase}"));
                }
                Event::Process { name, what } if what != "start" || *t_ms > 0 => {
                    let s = second(&mut report.seconds, *t_ms);
                    report.seconds[s].faults.insert(format!("{what} {name}"));
                }
                _ => {}
            }
        }
        for (class, h) in by_class {
            let q = |q: f64| h.value_at_quantile(q);
            report.latency.insert(class, (h.len(), q(0.5), q(0.99), q(0.999), h.max()));
        }
        report
    }

    /// Served of sent.
    pub fn served_share(&self) -> f64 {
        if self.sent == 0 {
            return 0.0;
        }
        self.served as f64 / self.sent as f64
    }

    pub fn table(&self) -> String {
        let mut out =
            format!("sent {}  served {}  share {:.3}\n", self.sent, self.served, self.served_share());
        out += "class              answers     p50     p99   p99.9     max  (ms)\n";
        for (class, (n, p50, p99, p999, max)) in &self.latency {
            out += &format!("{class:<16} {n:>9} {p50:>7} {p99:>7} {p999:>7} {max:>7}\n");
        }
        out += "second  served  turned away  failed  lost  events\n";
        for (s, second) in self.seconds.iter().enumerate() {
            let events: Vec<_> = second.faults.iter().cloned().collect();
            out += &format!(
                "{s:>6} {:>7} {:>12} {:>7} {:>5}  {}\n",
                second.served,
                second.turned_away,
                second.failed,
                second.lost,
                events.join(", ")
            );
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn seconds_and_percentiles_come_from_the_history() {
        let send = |t, id: &str| Record {
            t_ms: t,
            event: Event::Send {
                id: id.into(),
                to: "m1".into(),
                class: "queue-status".into(),
                key: String::new(),
                due_ms: t + 1500,
            },
        };
        let answer = |t, id: &str, status| Record { t_ms: t, event: Event::Answer { id: id.into(), status } };
        let records = vec![
            send(0, "a"),
            send(10, "b"),
            send(900, "c"),
            answer(50, "a", 200),
            answer(1010, "b", 503),
            Record { t_ms: 1500, event: Event::Gone { id: "c".into(), why: "closed".into() } },
        ];
        let report = Report::of(&records);
        assert_eq!((report.sent, report.served), (3, 1));
        assert_eq!(report.seconds[0].served, 1);
        assert_eq!((report.seconds[1].turned_away, report.seconds[1].lost), (1, 1));
        let (n, p50, _, _, max) = report.latency["queue-status"];
        assert_eq!((n, p50), (2, 50));
        assert!((999..=1001).contains(&max), "{max}");
    }
}
