//! What a history says of the fleet's membership: how soon dead members were seen, who was taken for dead and lived, and
//! what the members sent. No I/O.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Write;

use super::history::{Event, Record, PEERS_CUT};
use super::sim::mean_and_p99;

/// News of a return or a heal are on their way this long, in milliseconds.
const NEWS_MS: u64 = 2_000;

/// The figures of one history.
#[derive(Debug, Default)]
pub struct FleetReport {
    /// Milliseconds from each kill to the first matcher that saw it, and to the last one.
    pub first_ms: Vec<f64>,
    pub all_ms: Vec<f64>,
    /// Times that a matcher saw another one go down that neither was dead nor paused, nor cut off from it.
    pub false_deaths: Vec<(u64, String, String)>,
    /// Times that a matcher saw another one go down that lived, and was cut off from it.
    pub cut_off: Vec<(u64, String, String)>,
    /// Datagrams and bytes a second that each member sent, between its first and its last view.
    pub traffic: BTreeMap<String, (f64, f64)>,
    pub seconds: f64,
}

/// Looks whether `whom` was silent for a cause in the two seconds or more before `t_ms`: dead, or paused.
fn had_cause(life: &[(u64, String)], t_ms: u64) -> bool {
    let mut gone_until = 0;
    let mut gone = false;
    for (t, what) in life.iter().take_while(|(t, _)| *t <= t_ms) {
        match what.as_str() {
            "kill" | "pause" | "stop" => gone = true,
            "start" | "continue" => (gone, gone_until) = (false, *t),
            _ => {}
        }
    }
    // A death may still be seen while news of the return are on their way.
    gone || (gone_until > 0
        && t_ms < gone_until + NEWS_MS
        && life.iter().any(|(t, w)| w != "start" && *t < gone_until))
}

/// The ways between members that let nothing pass.
#[derive(Default)]
struct Cuts<'a> {
    /// From whom to whom, and when the way was opened again.
    ways: HashMap<(&'a str, &'a str), Option<u64>>,
}

impl<'a> Cuts<'a> {
    fn take(&mut self, t_ms: u64, kind: &str, target: &'a str, phase: &str) {
        for way in target.split(' ').filter_map(|way| way.split_once('>')) {
            if phase == "start" && kind == PEERS_CUT {
                self.ways.insert(way, None);
            } else if let Some(open @ None) = self.ways.get_mut(&way) {
                // Lifted, or another fault in its place, which lets some pass.
                *open = Some(t_ms);
            }
        }
    }

    /// Looks whether a question from `a` to `b` and its answer found no way in the last two seconds.
    fn parts(&self, a: &str, b: &str, t_ms: u64) -> bool {
        [(a, b), (b, a)]
            .iter()
            .any(|way| self.ways.get(way).is_some_and(|open| open.is_none_or(|at| t_ms < at + NEWS_MS)))
    }

    /// Looks whether `of` could reach `whom` neither itself nor through one other member, as SWIM probes.
    fn cut_off(&self, of: &str, whom: &str, members: &BTreeSet<&str>, t_ms: u64) -> bool {
        let mut others = members.iter().filter(|m| **m != of && **m != whom);
        self.parts(of, whom, t_ms) && others.all(|m| self.parts(of, m, t_ms) || self.parts(m, whom, t_ms))
    }
}

impl FleetReport {
    /// Of a history; nothing to say if no matcher told of a fleet.
    pub fn of(records: &[Record]) -> Option<Self> {
        let mut lives: HashMap<&str, Vec<(u64, String)>> = HashMap::new();
        for Record { t_ms, event } in records {
            if let Event::Process { name, what } = event {
                lives.entry(name).or_default().push((*t_ms, what.clone()));
            }
        }
        let mut report = Self::default();
        let mut last: HashMap<(&str, String), String> = HashMap::new();
        let mut downs: HashMap<String, Vec<u64>> = HashMap::new();
        let mut counted: BTreeMap<&str, [(u64, f64, f64); 2]> = BTreeMap::new();
        let viewers = records.iter().filter_map(|r| match &r.event {
            Event::View { of, .. } => Some(of.as_str()),
            _ => None,
        });
        let members: BTreeSet<&str> = viewers.collect();
        let mut cuts = Cuts::default();
        for Record { t_ms, event } in records {
            if let Event::Fault { kind, target, phase } = event {
                cuts.take(*t_ms, kind, target, phase);
            }
            let Event::View { of, seen, counts } = event else { continue };
            for (who, state) in seen.split(' ').filter_map(|m| m.split_once('=')) {
                let whom = who.split(':').next().unwrap_or(who).to_string();
                let before = last.insert((of, whom.clone()), state.to_string());
                if state != "down" || before.as_deref() == Some("down") {
                    continue;
                }
                downs.entry(whom.clone()).or_default().push(*t_ms);
                if !lives.get(whom.as_str()).is_some_and(|life| had_cause(life, *t_ms)) {
                    let apart = cuts.cut_off(of, &whom, &members, *t_ms);
                    let deaths = if apart { &mut report.cut_off } else { &mut report.false_deaths };
                    deaths.push((*t_ms, of.clone(), whom));
                }
            }
            let number = |name: &str| {
                let found = counts.split(' ').find_map(|c| c.strip_prefix(name)?.strip_prefix('='));
                found.and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0)
            };
            let now = (*t_ms, number("sent"), number("sent_bytes"));
            let entry = counted.entry(of).or_insert([now, now]);
            // A new process counts from nothing: what it sent is looked at on its own.
            *entry = if now.1 < entry[1].1 { [now, now] } else { [entry[0], now] };
        }
        if counted.is_empty() {
            return None;
        }
        for (name, life) in &lives {
            for (at, (killed, _)) in life.iter().enumerate().filter(|(_, (_, what))| what == "kill") {
                let back = life.get(at + 1).map_or(u64::MAX, |(t, _)| *t);
                let seen = downs.get(*name).into_iter().flatten();
                let mut seen: Vec<f64> = seen
                    .filter(|t| (*killed..back).contains::<u64>(t))
                    .map(|t| (t - killed) as f64)
                    .collect();
                seen.sort_by(f64::total_cmp);
                report.first_ms.extend(seen.first());
                report.all_ms.extend(seen.last());
            }
        }
        for (name, [first, last]) in counted {
            let seconds = (last.0 - first.0) as f64 / 1000.0;
            if seconds >= 1.0 {
                let rates = ((last.1 - first.1) / seconds, (last.2 - first.2) / seconds);
                report.traffic.insert(name.to_string(), rates);
            }
        }
        report.seconds = records.last().map_or(0.0, |r| r.t_ms as f64 / 1000.0);
        Some(report)
    }

    /// For people.
    pub fn table(&self) -> String {
        let mut out = String::new();
        let (first, all) = (mean_and_p99(&self.first_ms), mean_and_p99(&self.all_ms));
        if !self.first_ms.is_empty() {
            let n = self.first_ms.len();
            let _ = writeln!(
                out,
                "fleet: {n} kills seen: by one after {:.0} ms (p99 {:.0}), by all after {:.0} ms (p99 {:.0})",
                first.0, first.1, all.0, all.1
            );
        }
        let (wrong, apart) = (self.false_deaths.len(), self.cut_off.len());
        let _ =
            writeln!(out, "fleet: {wrong} false deaths in {:.0} s; {apart} of members cut off", self.seconds);
        for (t, of, whom) in self.false_deaths.iter().take(20) {
            let _ = writeln!(out, "  {of} took {whom} for dead at {t} ms");
        }
        let n = self.traffic.len().max(1) as f64;
        let sum = self.traffic.values().fold((0.0, 0.0), |sum, (d, b)| (sum.0 + d, sum.1 + b));
        let _ = writeln!(
            out,
            "fleet: a member sent {:.1} datagrams and {:.0} bytes a second",
            sum.0 / n,
            sum.1 / n
        );
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(t_ms: u64, event: Event) -> Record {
        Record { t_ms, event }
    }

    fn life(t: u64, name: &str, what: &str) -> Record {
        at(t, Event::Process { name: name.into(), what: what.into() })
    }

    fn view(t: u64, of: &str, seen: &str, sent: u64) -> Record {
        let counts = format!("sent={sent} sent_bytes={}", sent * 100);
        at(t, Event::View { of: of.into(), seen: seen.into(), counts })
    }

    #[test]
    fn kills_are_timed_and_deaths_without_a_cause_are_named() {
        let records = [
            life(0, "m2", "start"),
            life(0, "m3", "start"),
            view(1_000, "m1", "m1:1=self m2:1=alive m3:1=alive", 10),
            life(2_000, "m2", "kill"),
            view(3_000, "m1", "m1:1=self m2:1=down m3:1=alive", 20),
            view(3_500, "m3", "m3:1=self m2:1=down m1:1=alive", 20),
            view(5_000, "m1", "m1:1=self m2:1=down m3:1=down", 50),
        ];
        let report = FleetReport::of(&records).unwrap();
        assert_eq!((report.first_ms.clone(), report.all_ms.clone()), (vec![1000.0], vec![1500.0]));
        assert_eq!(report.false_deaths, [(5_000, "m1".to_string(), "m3".to_string())]);
        assert_eq!(report.traffic["m1"], (10.0, 1000.0));
        assert!(FleetReport::of(&records[..1]).is_none());
    }

    #[test]
    fn deaths_of_members_cut_off_are_counted_apart_and_only_those() {
        let fault = |t, kind: &str, target: &str, phase: &str| {
            at(t, Event::Fault { kind: kind.into(), target: target.into(), phase: phase.into() })
        };
        let all = "m1:1=alive m2:1=alive m3:1=alive";
        let of_m1 = |cut: [Record; 2], t: u64, seen: &str| {
            let [start, end] = cut;
            let mut records =
                vec![view(1_000, "m2", all, 1), view(1_000, "m3", all, 1), view(1_000, "m1", all, 1)];
            records.extend([start, end, view(t, "m1", seen, 2)]);
            records.sort_by_key(|r| r.t_ms);
            let report = FleetReport::of(&records).unwrap();
            (report.cut_off.len(), report.false_deaths.len())
        };
        let (down, both) = ("m1:1=alive m2:1=alive m3:1=down", "m1:1=alive m2:1=down m3:1=down");
        let apart = "m1>m3 m2>m3 m3>m1 m3>m2";
        let cut = |kind: &str, target: &str| {
            [fault(2_000, kind, target, "start"), fault(9_000, kind, target, "end")]
        };
        assert_eq!(of_m1(cut(PEERS_CUT, apart), 5_000, down), (1, 0));
        // The member on one's own side is falsely taken for dead.
        assert_eq!(of_m1(cut(PEERS_CUT, apart), 5_000, both), (1, 1));
        // One way is enough to part two, and a way through a third one to hold them together.
        assert_eq!(of_m1(cut(PEERS_CUT, "m3>m1 m3>m2"), 5_000, down), (1, 0));
        assert_eq!(of_m1(cut(PEERS_CUT, "m1>m3 m3>m1"), 5_000, down), (0, 1));
        // Before the cut, when the news of the heal had their time, and where some get through.
        assert_eq!(of_m1(cut(PEERS_CUT, apart), 1_999, down), (0, 1));
        assert_eq!(of_m1(cut(PEERS_CUT, apart), 10_999, down), (1, 0));
        assert_eq!(of_m1(cut(PEERS_CUT, apart), 11_000, down), (0, 1));
        assert_eq!(of_m1(cut("datagrams", apart), 5_000, down), (0, 1));
    }
}
