//! What a scenario does when: its faults as timed actions, and the links that they are on.

use nix::sys::signal::Signal;

use super::datagram::DatagramFaults;
use super::net::Faults;
use super::scenario::Fault;
use super::scenario::{ways, Action, FaultKind, Scenario, MOST_FAULTS};
use super::shim::Dial;

impl Scenario {
    /// Its faults are of the system under the matchers.
    pub fn needs_shim(&self) -> bool {
        let is_of_system = |f: &Fault| matches!(f.kind, FaultKind::System { .. } | FaultKind::Clock { .. });
        self.faults.iter().any(is_of_system)
    }

    /// Every link of this lab with the two processes at its ends: (link, near, far).
    pub fn links(&self) -> Vec<(String, String, String)> {
        let mut all = Vec::new();
        for i in 1..=self.matchers {
            all.push((format!("callers-m{i}"), "callers".to_string(), format!("m{i}")));
            all.push((format!("m{i}-agent"), format!("m{i}"), format!("agent-m{i}")));
            all.push((format!("m{i}-vault"), format!("m{i}"), "vault".to_string()));
        }
        all
    }

    /// The ways between members that a partition cuts.
    fn ways_cut_by(&self, a: &[String], b: &[String], one_way: bool) -> Vec<(usize, usize)> {
        let set = |names: &[String]| -> Vec<usize> {
            (0..self.matchers).filter(|m| names.contains(&format!("m{}", m + 1))).collect()
        };
        match self.fleet {
            Some(_) => ways(&set(a), &set(b), one_way),
            None => Vec::new(),
        }
    }

    /// The links a partition cuts, each with whether only its way out is cut.
    pub fn cut_by(&self, a: &[String], b: &[String], one_way: bool) -> Vec<(String, bool)> {
        let mut cut = Vec::new();
        for (link, near, far) in self.links() {
            if a.contains(&near) && b.contains(&far) {
                cut.push((link, one_way));
            } else if b.contains(&near) && a.contains(&far) {
                // Bytes from `a` to `b` go back on this link: a one-way cut of it is not one of its way out.
                if one_way {
                    continue;
                }
                cut.push((link, false));
            }
        }
        cut
    }

    /// All actions in the order of their time, in milliseconds from the start. Faults on one link that overlap
    /// are not merged: the later one takes its place.
    pub fn timeline(&self) -> Vec<(u64, Action)> {
        let ms = |s: f64| (s * 1000.0) as u64;
        let mut all = Vec::new();
        let clear = Faults::default();
        for f in &self.faults {
            let (start, end) = (ms(f.at_s), ms(f.at_s + f.for_s));
            match &f.kind {
                FaultKind::Link { link, faults } => {
                    all.push((start, Action::Set { link: link.clone(), faults: *faults }));
                    all.push((end, Action::Set { link: link.clone(), faults: clear }));
                }
                FaultKind::Reset { link, every_ms: None } => {
                    all.push((start, Action::Reset { link: link.clone() }))
                }
                FaultKind::Reset { link, every_ms: Some(every) } => {
                    let mut t = start;
                    while t < end.max(start + 1) && all.len() < MOST_FAULTS * 4 {
                        all.push((t, Action::Reset { link: link.clone() }));
                        t += every;
                    }
                }
                FaultKind::Partition { a, b, one_way } => {
                    for (link, one_way) in self.cut_by(a, b, *one_way) {
                        let cut = Faults { cut: true, one_way, ..clear };
                        all.push((start, Action::Set { link: link.clone(), faults: cut }));
                        all.push((end, Action::Set { link, faults: clear }));
                    }
                    let ways = self.ways_cut_by(a, b, *one_way);
                    if !ways.is_empty() {
                        let cut = DatagramFaults { cut: true, ..DatagramFaults::default() };
                        all.push((start, Action::Peers { ways: ways.clone(), faults: cut }));
                        all.push((end, Action::Peers { ways, faults: DatagramFaults::default() }));
                    }
                }
                FaultKind::Datagrams { ways, faults, flap_ms } => {
                    let (mut t, mut on) = (start, true);
                    while t < end && all.len() < MOST_FAULTS * 4 {
                        let faults = if on { *faults } else { DatagramFaults::default() };
                        all.push((t, Action::Peers { ways: ways.clone(), faults }));
                        (t, on) = (t + flap_ms.unwrap_or(end - start), !on);
                    }
                    all.push((end, Action::Peers { ways: ways.clone(), faults: DatagramFaults::default() }));
                }
                FaultKind::Pause { target } => {
                    all.push((start, Action::Pause(target.clone())));
                    all.push((end, Action::Continue(target.clone())));
                }
                FaultKind::Kill { target, restart_after_s } => {
                    all.push((start, Action::Kill(target.clone())));
                    if let Some(after) = restart_after_s {
                        all.push((ms(f.at_s + after), Action::Restart(target.clone())));
                    }
                }
                FaultKind::System { target, dials } => {
                    let off = dials.iter().map(|(dial, _)| (*dial, 0)).collect();
                    all.push((start, Action::System { target: target.clone(), dials: dials.clone() }));
                    all.push((end, Action::System { target: target.clone(), dials: off }));
                }
                FaultKind::Clock { target, ms } => {
                    let dials = vec![(Dial::WallOffsetUs, ms * 1000)];
                    all.push((start, Action::System { target: target.clone(), dials }));
                }
                FaultKind::Hangup { target } => all.push((start, Action::Hangup(target.clone()))),
                FaultKind::Stop { target, signals, gap_ms, kill_after_ms, restart_after_s } => {
                    let mut notice = None;
                    for (at, signal) in (start..).step_by((*gap_ms).max(1) as usize).zip(signals) {
                        if *signal == Signal::SIGTERM {
                            notice.get_or_insert(at);
                        }
                        all.push((at, Action::Signal { target: target.clone(), signal: *signal }));
                    }
                    let killed = notice.unwrap_or(start) + kill_after_ms;
                    all.push((
                        killed,
                        Action::KillAtStop { target: target.clone(), after_ms: *kill_after_ms },
                    ));
                    if let Some(after) = restart_after_s {
                        all.push((killed + ms(*after), Action::Restart(target.clone())));
                    }
                }
            }
        }
        // Stable: of two actions at one time, the one written first comes first.
        all.sort_by_key(|(t, _)| *t);
        all
    }
}
