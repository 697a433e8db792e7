//! The [`Runtime`] that foca calls during one step: it collects datagrams, timers and notifications, and lengthens
//! timers by the local health score.

use std::net::SocketAddrV4;
use std::time::Duration;

use foca::{Message, Notification, ProbeNumber, Runtime, Timer};

use super::view::Id;
use super::SUSPICION_PERIODS;

/// A timer that foca has set, ordered by its time.
pub(super) struct PendingTimer {
    pub(super) at: Duration,
    pub(super) number: u64,
    pub(super) timer: Timer<Id>,
}

impl PartialEq for PendingTimer {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}
impl Eq for PendingTimer {}
impl PartialOrd for PendingTimer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for PendingTimer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Collects what foca requests during one step.
pub(super) struct StepRuntime {
    pub(super) now: Duration,
    pub(super) score: u32,
    pub(super) up: usize,
    pub(super) period: Duration,
    pub(super) send: Vec<(SocketAddrV4, Vec<u8>)>,
    pub(super) timers: Vec<(Duration, Timer<Id>)>,
    /// The member whose probe failed.
    pub(super) probe_failed: Option<Id>,
    /// The state of some member may have changed.
    pub(super) changed: bool,
    /// Members for which foca reported a change. It does not report suspicions and their refutations.
    pub(super) changed_members: Vec<SocketAddrV4>,
    /// foca accepted the header of the datagram, which comes from a member.
    pub(super) received: bool,
    pub(super) joined: bool,
    pub(super) rejoined: Option<Id>,
    pub(super) refuted: Option<u16>,
    /// The member to which a direct probe was sent.
    pub(super) pinged: Option<(SocketAddrV4, ProbeNumber)>,
    /// The member that answered a direct probe.
    pub(super) acked: Option<(SocketAddrV4, ProbeNumber)>,
}

impl Runtime<Id> for StepRuntime {
    fn notify(&mut self, notification: Notification<'_, Id>) {
        match notification {
            Notification::ProbeFailed(_, id) => self.probe_failed = Some(id.clone()),
            Notification::MemberUp(id) => {
                (self.joined, self.changed) = (true, true);
                self.changed_members.push(id.address);
            }
            Notification::MemberDown(id) | Notification::Rename(_, id) => {
                self.changed = true;
                self.changed_members.push(id.address);
            }
            Notification::Rejoin(id) => self.rejoined = Some(id.clone()),
            Notification::DataSent(header) => {
                self.refuted = Some(header.src_incarnation);
                if let Message::Ping(number) = header.message {
                    self.pinged = Some((header.dst.address, number));
                }
            }
            Notification::DataReceived(header) => {
                self.received = true;
                if let Message::Ack(number) = header.message {
                    self.acked = Some((header.src.address, number));
                }
            }
            _ => {}
        }
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        self.send.push((to.address, data.to_vec()));
    }

    fn submit_after(&mut self, timer: Timer<Id>, after: Duration) {
        let after = match &timer {
            // Lifeguard's LHA-Probe: a member that is slow itself probes less often and waits longer.
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => after * (self.score + 1),
            // It also gives suspected members more time, because the fault may be on its own side.
            Timer::ChangeSuspectToDown { .. } => {
                self.changed = true;
                let spread = (self.up.max(10) as f64).log10();
                self.period.mul_f64(SUSPICION_PERIODS * spread) * (self.score + 1)
            }
            _ => after,
        };
        self.timers.push((self.now + after, timer));
    }
}
