//! What the services below saw of the route versions, over a history: no I/O, so that doctored histories test it.
//!
//! - `old_after_new`: a call that a service took under an older turn began more than the bound after the first one under
//!   a newer turn, at any matcher and service.
//! - `old_after_switch`: a call that a service took under an older turn began more than the bound after the first matcher
//!   with a lease said that it had switched to a newer one.
//! - `refused_late`: a call that a service refused as stale began more than [`LATE_US`] after the first one under a newer
//!   turn: nothing came of it, but its matcher acted on the old version, and was not paused meanwhile.
//! - `key_under_two`: the calls of one key ran under two turns, within the key's window.
//! - `two_versions`: one turn came with two versions.
//!
//! Counted apart, and no break: `key_again_after_kill`, where the matcher that had the key was killed between the two
//! calls (keys end with their process); `refused_stale`, calls that a service refused, which then ran nothing;
//! `held_by_machine`, what would be one of the first three, and is late by no more than the lab's probes of the processors
//! were kept from running in between: a thread can be stopped between its look at the route and its send.

use std::collections::{BTreeMap, HashMap};

use super::history::{Event, Record};

/// The stated bound, in microseconds: two matchers' windows, each of 10 ms at most.
pub const BOUND_US: u64 = 20_000;
/// How late a stale call that is refused may begin, in microseconds: a busy processor keeps a thread from its send for so
/// long without a probe seeing it. A matcher that goes on under an old version does so for seconds.
pub const LATE_US: u64 = 100_000;
/// Ids named for each rule, at most.
const NAMED: usize = 20;

/// The rules, in the order they are printed.
pub const RULES: [&str; 8] = [
    "old_after_new",
    "old_after_switch",
    "refused_late",
    "key_under_two",
    "two_versions",
    "key_again_after_kill",
    "refused_stale",
    "held_by_machine",
];
/// Counts that break no rule.
pub const EXCUSED: [&str; 3] = ["key_again_after_kill", "refused_stale", "held_by_machine"];

/// The calls of one turn.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Turned {
    /// Calls taken.
    pub calls: u64,
    /// When the first and the last one began, in microseconds.
    pub first_us: u64,
    /// See `first_us`.
    pub last_us: u64,
    /// Calls taken of each matcher.
    pub by: BTreeMap<String, u64>,
    /// Calls taken by each service.
    pub at: BTreeMap<String, u64>,
}

/// The verdict over one history.
#[derive(Debug, Default, PartialEq)]
pub struct Verdict {
    /// What was taken under each turn.
    pub turns: BTreeMap<u64, Turned>,
    /// Count by rule; every rule is present, also at zero.
    pub counts: BTreeMap<&'static str, u64>,
    /// The first ones at fault, by rule.
    pub named: BTreeMap<&'static str, Vec<String>>,
}

impl Verdict {
    /// Breaks of the rules.
    pub fn breaks(&self) -> u64 {
        self.counts.iter().filter(|(rule, _)| !EXCUSED.contains(rule)).map(|(_, n)| n).sum()
    }

    fn fault(&mut self, rule: &'static str, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        let named = self.named.entry(rule).or_default();
        if named.len() < NAMED {
            named.push(what);
        }
    }

    /// A table for people.
    pub fn table(&self) -> String {
        let mut out = String::new();
        for (turn, t) in &self.turns {
            let (first, last) = (t.first_us as f64 / 1000.0, t.last_us as f64 / 1000.0);
            let (by, at) = (pairs(&t.by), pairs(&t.at));
            out += &format!(
                "turn {turn:<3} {:>7} calls from {first:.1} to {last:.1} ms  of {by}  at {at}\n",
                t.calls
            );
        }
        for rule in RULES {
            let n = self.counts.get(rule).copied().unwrap_or(0);
            let named = self.named.get(rule).map(|v| v.join("; ")).unwrap_or_default();
            out += &format!("{rule:<20} {n:>7}  {named}\n");
        }
        out
    }
}

fn pairs(counts: &BTreeMap<String, u64>) -> String {
    counts.iter().map(|(name, n)| format!("{name}:{n}")).collect::<Vec<_>>().join(" ")
}

struct Called<'a> {
    t_us: u64,
    t_ms: u64,
    turn: u64,
    id: &'a str,
    by: &'a str,
    service: &'a str,
}

/// Judges a history; a call may begin `bound_us` after one under a newer turn, and a key is remembered for `window_ms`.
pub fn check(records: &[Record], bound_us: u64, window_ms: u64) -> Verdict {
    let mut verdict = Verdict { counts: RULES.iter().map(|rule| (*rule, 0)).collect(), ..Verdict::default() };
    let mut sent_to: HashMap<&str, &str> = HashMap::new();
    let mut kills: HashMap<&str, Vec<u64>> = HashMap::new();
    let (mut calls, mut stale): (Vec<Called>, Vec<Called>) = Default::default();
    // When processes were stopped (true) and went on, and from when to when a processor kept a probe.
    let mut pauses: HashMap<&str, Vec<(u64, bool)>> = HashMap::new();
    let mut stalls: Vec<(u64, u64)> = Vec::new();
    let mut keys: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    let mut version_of: BTreeMap<u64, u64> = BTreeMap::new();
    let mut switched: BTreeMap<u64, u64> = BTreeMap::new();
    for Record { t_ms, event } in records {
        match event {
            Event::Send { id, to, .. } => drop(sent_to.insert(id, to)),
            Event::Process { name, what } if what == "kill" => kills.entry(name).or_default().push(*t_ms),
            Event::Process { name, what } if what == "pause" || what == "continue" => {
                pauses.entry(name).or_default().push((*t_ms, what == "pause"));
            }
            Event::Stall { ms, .. } => stalls.push((t_ms.saturating_sub(*ms), *t_ms)),
            Event::Switched { turn, leased: true, t_us, .. } => {
                let first = switched.entry(*turn).or_insert(*t_us);
                *first = (*first).min(*t_us);
            }
            Event::Call { service, id, key, turn, version, taken, t_us } => {
                if *version_of.entry(*turn).or_insert(*version) != *version {
                    verdict.fault("two_versions", format!("turn {turn}, {id} under version {version}"));
                }
                let by = sent_to.get(id.as_str()).copied().unwrap_or("?");
                let call = Called { t_us: *t_us, t_ms: *t_ms, turn: *turn, id, by, service };
                if !taken {
                    verdict.fault("refused_stale", format!("{id} under turn {turn}"));
                    stale.push(call);
                    continue;
                }
                if !key.is_empty() {
                    keys.entry(key).or_default().push(calls.len());
                }
                calls.push(call);
            }
            _ => {}
        }
    }
    for call in &calls {
        let turned = verdict.turns.entry(call.turn).or_insert(Turned {
            first_us: call.t_us,
            last_us: call.t_us,
            ..Turned::default()
        });
        turned.calls += 1;
        turned.first_us = turned.first_us.min(call.t_us);
        turned.last_us = turned.last_us.max(call.t_us);
        *turned.by.entry(call.by.to_string()).or_default() += 1;
        *turned.at.entry(call.service.to_string()).or_default() += 1;
    }
    let firsts: BTreeMap<u64, u64> = verdict.turns.iter().map(|(turn, t)| (*turn, t.first_us)).collect();
    // The first one under a newer turn, where a call began more than `bound` after it.
    let late = |call: &Called, began: &BTreeMap<u64, u64>, bound: u64| {
        let newer = began.range(call.turn + 1..).map(|(turn, first)| (*first, *turn)).min();
        newer.filter(|(first, _)| call.t_us > first + bound)
    };
    let what = |call: &Called, (first, turn): (u64, u64)| {
        let late = (call.t_us - first) as f64 / 1000.0;
        let Called { id, by, service, turn: old, .. } = call;
        format!("{id} of {by} at {service} under turn {old}, {late:.1} ms after turn {turn}")
    };
    let held = |call: &Called, (first, _): (u64, u64), bound: u64| {
        let (from, to) = (first / 1000, call.t_us / 1000);
        let kept: u64 = stalls.iter().map(|(a, b)| (*b).min(to).saturating_sub((*a).max(from))).sum();
        kept * 1000 >= call.t_us - first - bound
    };
    for (rule, began) in [("old_after_new", &firsts), ("old_after_switch", &switched)] {
        for call in &calls {
            let Some(newer) = late(call, began, bound_us) else { continue };
            let rule = if held(call, newer, bound_us) { "held_by_machine" } else { rule };
            verdict.fault(rule, what(call, newer));
        }
    }
    for call in &stale {
        let Some(newer) = late(call, &firsts, LATE_US) else { continue };
        // It was stopped at some moment between the switch and the call.
        let pauses = pauses.get(call.by).map_or(&[][..], Vec::as_slice);
        let went_on =
            pauses.iter().any(|(t, stops)| !stops && (newer.0 / 1000..=call.t_us / 1000 + 1).contains(t));
        let just = pauses.iter().any(|(t, stops)| !stops && t * 1000 + LATE_US >= call.t_us);
        match (went_on && just, held(call, newer, LATE_US)) {
            (true, _) => {}
            (false, true) => verdict.fault("held_by_machine", what(call, newer)),
            (false, false) => verdict.fault("refused_late", what(call, newer)),
        }
    }
    for (key, of_key) in keys {
        let first = &calls[of_key[0]];
        let again = of_key[1..].iter().map(|at| &calls[*at]);
        let again = again.filter(|c| c.turn != first.turn && c.t_ms <= first.t_ms + window_ms);
        let Some(again) = again.min_by_key(|c| c.t_us) else { continue };
        let killed =
            kills.get(again.by).is_some_and(|at| at.iter().any(|t| (first.t_ms..=again.t_ms).contains(t)));
        let rule = if killed { "key_again_after_kill" } else { "key_under_two" };
        verdict.fault(rule, format!("{key} under turns {} and {}", first.turn, again.turn));
    }
    verdict
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(t_ms: u64, event: Event) -> Record {
        Record { t_ms, event }
    }

    fn send(id: &str, to: &str) -> Record {
        let (to, class) = (to.to_string(), "lobby-confirm".to_string());
        at(0, Event::Send { id: id.into(), to, class, key: String::new(), due_ms: 1000 })
    }

    fn call(t_us: u64, id: &str, key: &str, turn: u64, version: u64) -> Record {
        let (service, id, key) = (format!("s{version}"), id.to_string(), key.to_string());
        at(t_us / 1000, Event::Call { service, id, key, turn, version, taken: true, t_us })
    }

    fn switched(t_us: u64, of: &str, turn: u64) -> Record {
        at(t_us / 1000, Event::Switched { of: of.into(), turn, version: turn, leased: true, t_us })
    }

    fn judge(records: &[Record]) -> Verdict {
        check(records, BOUND_US, 13_000)
    }

    /// Two matchers go from turn 1 to turn 2 at 500 ms; the last call under the old one comes inside the bound, a rollback
    /// to version 1 follows as turn 3.
    fn clean() -> Vec<Record> {
        vec![
            send("a", "m1"),
            send("b", "m2"),
            send("c", "m1"),
            send("d", "m2"),
            call(100_000, "a", "k1", 1, 1),
            switched(499_000, "m1", 2),
            call(500_000, "c", "", 2, 2),
            switched(503_000, "m2", 2),
            call(518_000, "b", "", 1, 1),
            call(700_000, "d", "k2", 2, 2),
            switched(900_000, "m1", 3),
            switched(901_000, "m2", 3),
            call(950_000, "e", "", 3, 1),
        ]
    }

    #[test]
    fn a_clean_switch_and_a_rollback_pass() {
        let verdict = judge(&clean());
        assert_eq!(verdict.breaks(), 0, "{}", verdict.table());
        assert_eq!((verdict.turns[&1].calls, verdict.turns[&2].calls, verdict.turns[&3].calls), (2, 2, 1));
        assert_eq!(verdict.turns[&1].by["m2"], 1);
    }

    #[test]
    fn a_call_under_the_old_turn_past_the_bound_is_found_at_any_matcher() {
        for id in ["a", "b"] {
            let mut h = clean();
            h.retain(|r| !matches!(r.event, Event::Switched { .. }));
            h.push(call(520_001, id, "", 1, 1));
            let verdict = judge(&h);
            assert_eq!((verdict.counts["old_after_new"], verdict.breaks()), (1, 1), "{}", verdict.table());
            assert!(verdict.named["old_after_new"][0].starts_with(id), "{}", verdict.table());
        }
    }

    #[test]
    fn a_matcher_that_calls_on_after_the_first_one_switched_is_found_without_a_call_under_the_new_turn() {
        let mut h = clean();
        h.retain(|r| !matches!(r.event, Event::Call { turn: 2.., .. }));
        assert_eq!(judge(&h).breaks(), 0);
        h.push(call(519_001, "b", "", 1, 1));
        let verdict = judge(&h);
        assert_eq!((verdict.counts["old_after_switch"], verdict.breaks()), (1, 1), "{}", verdict.table());
    }

    #[test]
    fn a_matcher_that_knows_a_turn_and_has_no_lease_has_not_switched_for_the_others() {
        let mut h = clean();
        let early = Event::Switched { of: "m3".into(), turn: 2, version: 2, leased: false, t_us: 1_000 };
        h.insert(0, at(1, early));
        assert_eq!(judge(&h).breaks(), 0, "{}", judge(&h).table());
    }

    #[test]
    fn a_key_that_runs_under_two_turns_is_found_and_one_after_a_kill_is_counted_apart() {
        let mut h = clean();
        h.push(call(800_000, "c", "k1", 2, 2));
        let verdict = judge(&h);
        assert_eq!((verdict.counts["key_under_two"], verdict.breaks()), (1, 1), "{}", verdict.table());
        let kill = |of: &str| at(300, Event::Process { name: of.into(), what: "kill".into() });
        h.push(kill("m2"));
        assert_eq!(judge(&h).counts["key_under_two"], 1, "another matcher's death is no excuse");
        h.push(kill("m1"));
        let verdict = judge(&h);
        assert_eq!((verdict.counts["key_again_after_kill"], verdict.breaks()), (1, 0), "{}", verdict.table());
    }

    #[test]
    fn a_key_within_one_turn_or_past_its_window_is_no_break() {
        let mut h = clean();
        h.push(call(800_000, "d", "k2", 2, 2));
        h.push(call(13_200_000, "c", "k1", 3, 1));
        assert_eq!(judge(&h).breaks(), 0, "{}", judge(&h).table());
    }

    #[test]
    fn a_turn_with_two_versions_is_found() {
        let mut h = clean();
        h.push(call(960_000, "a", "", 3, 2));
        assert_eq!((judge(&h).counts["two_versions"], judge(&h).breaks()), (1, 1));
    }

    /// A call of turn 1 by m2 that the service refused.
    fn stale(t_us: u64) -> Record {
        let (service, id, key) = ("s1".to_string(), "b".to_string(), "k1".to_string());
        at(t_us / 1000, Event::Call { service, id, key, turn: 1, version: 1, taken: false, t_us })
    }

    #[test]
    fn a_call_that_was_refused_as_stale_is_no_break_unless_its_matcher_goes_on_so() {
        let judge_with = |more: &[Record]| {
            let verdict = judge(&[&clean()[..], more].concat());
            (verdict.counts["refused_stale"], verdict.counts["refused_late"], verdict.breaks())
        };
        assert_eq!(judge_with(&[stale(600_000)]), (1, 0, 0));
        assert_eq!(judge_with(&[stale(600_001)]), (1, 1, 1));
        // Stopped between its look and its send, it sends at once when it goes on, and not for long after.
        let life = |t, what: &str| at(t, Event::Process { name: "m2".into(), what: what.into() });
        let (stops, goes_on) = (life(480, "pause"), life(800, "continue"));
        assert_eq!(judge_with(&[stops.clone(), goes_on.clone(), stale(801_000)]), (1, 0, 0));
        assert_eq!(judge_with(&[stops.clone(), goes_on.clone(), stale(901_000)]), (1, 1, 1));
        assert_eq!(judge_with(&[stops, life(490, "continue"), stale(801_000)]), (1, 1, 1));
    }

    #[test]
    fn what_a_processor_kept_from_its_send_is_named_apart_and_only_that() {
        let stall = |t, ms| at(t, Event::Stall { cpu: 0, ms });
        let judge_with = |more: &[Record]| {
            let verdict = judge(&[&clean()[..], more].concat());
            (verdict.counts["held_by_machine"], verdict.breaks())
        };
        let old = || call(580_000, "b", "", 1, 1);
        assert_eq!(judge_with(&[old()]), (0, 2), "after a call and after a switch");
        assert_eq!(judge_with(&[stall(570, 61), old()]), (2, 0));
        assert_eq!(judge_with(&[stall(570, 59), old()]), (0, 2));
        assert_eq!(judge_with(&[stall(499, 90), stall(700, 100), old()]), (0, 2));
        assert_eq!(judge_with(&[stall(640, 60), stale(650_000)]), (1, 0));
        assert_eq!(judge_with(&[stall(640, 49), stale(650_000)]), (0, 1));
    }
}
