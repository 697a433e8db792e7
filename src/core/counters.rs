//! Counters of the reducer, for the log, the console and the metrics.

use std::fmt;

use super::End;

/// Counts since the start of the process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    /// Requests read; counter `taken_in`.
    pub requests_read: u64,
    /// Health checks read.
    pub checks: u64,
    /// Inputs that are not requests, and invalid requests.
    pub rejected: u64,
    /// Requests that repeat another one with the same key.
    pub repeats: u64,
    /// Requests rejected because their key stands for another request.
    pub key_conflicts: u64,
    /// Requests of a tenant that the settings do not name, at a site that has tenants; counter `strangers`.
    pub unknown_tenants: u64,
    /// Requests answered with a result.
    pub served: u64,
    /// Requests answered with the result of another try; `served` includes them.
    pub joined: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests that the reducer itself answered at their deadline.
    pub overdue: u64,
    /// Held requests that were refused because their client had reset its connection.
    pub clients_gone: u64,
    /// Commands sent to the agent.
    pub commands: u64,
    /// Commands for which there was no link: kept for the next link, or dropped.
    pub commands_without_link: u64,
    /// Runs launched.
    pub launched: u64,
    /// Second runs of a key that the reducer prevented.
    pub second_runs_barred: u64,
    /// Calls made to the dependency.
    pub calls_made: u64,
    /// Calls skipped.
    pub calls_skipped: u64,
    /// Calls that were not made because their reply could not be distinguished from a late reply to an earlier ask.
    pub calls_ambiguous: u64,
    /// Replies from the dependency that were ignored: copies of earlier ones, or replies to other requests.
    pub stray_replies: u64,
    /// Links to the agent that broke.
    pub links_lost: u64,
    /// Commands in doubt after a broken link that were sent again, as that does no harm.
    pub commands_repeated: u64,
    /// Runs that may never have begun: their launch was in doubt and must not be repeated.
    pub runs_orphaned: u64,
    /// Replies in doubt after a broken link; the next notice about the run is awaited.
    pub replies_in_doubt: u64,
    /// Commands that were not sent because a rule forbids them, and answers withheld for the same reason.
    pub violations: u64,
    /// Notices from the agent that belong to a link which has ended.
    pub stale_notices: u64,
    /// Commands that the agent did not carry out.
    pub agent_refusals: u64,
    /// Gauges that did not arrive before their timeout.
    pub late_samples: u64,
    runs: [u64; End::ALL.len()],
    calls: [u64; End::ALL.len()],
    unsent: [u64; End::ALL.len()],
}

impl Counters {
    pub(super) fn ended(&mut self, end: End) {
        self.runs[end as usize] += 1;
    }

    pub(super) fn call_ended(&mut self, end: End) {
        self.calls[end as usize] += 1;
    }

    pub(super) fn unsent(&mut self, end: End) {
        self.unsent[end as usize] += 1;
    }

    /// All counters with their names. Counters for each kind of end are listed only if they are not zero.
    pub fn list(&self) -> Vec<(String, u64)> {
        let plain = [
            ("taken_in", self.requests_read),
            ("checks", self.checks),
            ("rejected", self.rejected),
            ("repeats", self.repeats),
            ("key_conflicts", self.key_conflicts),
            ("strangers", self.unknown_tenants),
            ("served", self.served),
            ("joined", self.joined),
            ("refused", self.refused),
            ("failed", self.failed),
            ("overdue", self.overdue),
            ("clients_gone", self.clients_gone),
            ("commands", self.commands),
            ("commands_without_link", self.commands_without_link),
            ("launched", self.launched),
            ("second_runs_barred", self.second_runs_barred),
            ("calls_made", self.calls_made),
            ("calls_skipped", self.calls_skipped),
            ("calls_ambiguous", self.calls_ambiguous),
            ("stray_replies", self.stray_replies),
            ("links_lost", self.links_lost),
            ("commands_repeated", self.commands_repeated),
            ("runs_orphaned", self.runs_orphaned),
            ("replies_in_doubt", self.replies_in_doubt),
            ("violations", self.violations),
            ("stale_notices", self.stale_notices),
            ("agent_refusals", self.agent_refusals),
            ("late_samples", self.late_samples),
        ];
        let mut list: Vec<_> = plain.into_iter().map(|(name, n)| (name.to_string(), n)).collect();
        for (name, counts) in [("run", &self.runs), ("call", &self.calls), ("unsent", &self.unsent)] {
            let some = End::ALL.iter().filter(|end| counts[**end as usize] > 0);
            list.extend(some.map(|end| (format!("{name}_{}", end.as_str()), counts[*end as usize])));
        }
        list
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list: Vec<_> = self.list().into_iter().map(|(name, n)| format!("{name}={n}")).collect();
        f.write_str(&list.join(" "))
    }
}
