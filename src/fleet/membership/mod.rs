//! Membership by SWIM (Das, Gupta and Motivala, 2002) on the `foca` crate, with what Lifeguard (Dadgar, Phillips and
//! Currey, 2018) adds for members that are slow themselves. Without I/O or clock, [`Membership::step`] takes a
//! datagram, an operator's input or the time, and returns the datagrams to send.
//!
//! This module adds to foca: an envelope by which foreign datagrams are recognized, the local health score that
//! lengthens probes and suspicions of a slow member (timers are lengthened when foca sets them), Lifeguard's buddy
//! system, timers postponed after a stop of the process, metadata (who drains or left), and rejoins after partitions.

pub mod disagreement;
mod metadata;
mod receive;
mod runtime;
mod suspicion;
mod update_filter;
pub mod view;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::net::SocketAddrV4;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Foca, Identity, PostcardCodec, ProbeNumber, Timer};
use rand::rngs::Xoshiro256PlusPlus;
use rand::SeedableRng;

use disagreement::Disagreement;
use metadata::MetadataHandler;
use runtime::{PendingTimer, StepRuntime};
use view::{Change, Id, Metadata, MetadataUpdate, State, View};

/// Largest datagram including the envelope: below the usual MTU.
pub const MAX_BYTES: usize = 1400;
/// Most members known at a time. Beyond it, datagrams of unknown members are dropped.
pub const MAX_MEMBERS: usize = 4096;
/// Most seeds.
pub const MAX_SEEDS: usize = 64;
/// Highest local health score: probes and suspicions then take nine times as long (Lifeguard's S is 8).
const MAX_SCORE: u32 = 8;
/// How many members are asked to probe on behalf of this one.
const INDIRECT_PROBES: usize = 3;
/// How many members receive each round of gossip.
const GOSSIP_FANOUT: usize = 3;
/// How often each member passes an update on in a small fleet; a larger fleet needs more.
const MIN_TRANSMISSIONS: u8 = 12;
/// Lifeguard's alpha: periods of a suspicion, multiplied by the decimal logarithm of the member count if over one.
const SUSPICION_PERIODS: f64 = 5.0;
/// Most members that are compared with the view after each step; more are compared only a few times a period.
const SMALL_FLEET: usize = 64;
/// Known members, besides the seeds, to which a member that sees no other member up announces itself at a time.
const MAX_ANNOUNCED: usize = 16;
/// How many suspects are notified of their suspicion at a time.
const MAX_WARNED: usize = 8;
/// Periods between two announcements to a member that is down: it may only have been cut off.
const DOWN_ANNOUNCE_PERIODS: u32 = 5;
/// Periods between two announcements to a seed that is not up.
const SEED_ANNOUNCE_PERIODS: u32 = 5;
/// Periods for which a member that is down is kept.
const DOWN_RETENTION_PERIODS: u32 = 3600;
/// A step that is late by this many periods shows that the process was stopped.
const STOPPED_PERIODS: u32 = 2;
/// The first bytes of each datagram: the protocol and its version.
const MAGIC: [u8; 4] = *b"hwf1";
/// Length of the envelope: [`MAGIC`] and the hash of the fleet's name.
const ENVELOPE: usize = 8;

/// Options of a member.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its identity.
    pub id: Id,
    /// The name of the fleet. Datagrams of another fleet are dropped.
    pub fleet: String,
    /// Addresses of members through which this one joins the fleet.
    pub seeds: Vec<SocketAddrV4>,
    /// The protocol period: one probe is sent in each.
    pub period: Duration,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Input of [`Membership::step`].
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A datagram was received.
    Datagram(&'a [u8]),
    /// Time has passed.
    Tick,
    /// This member's metadata changed.
    Metadata(Metadata),
    /// This member leaves the fleet. Nothing is sent after this step.
    Leave,
}

/// Output of [`Membership::step`].
#[derive(Debug, Default)]
pub struct Output {
    /// Datagrams to send, in order.
    pub send: Vec<(SocketAddrV4, Vec<u8>)>,
    /// Changes of the view.
    pub changes: Vec<Change>,
}

/// Counters: datagrams dropped, by reason, and others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams accepted.
    pub taken: u64,
    /// Bytes of the accepted datagrams.
    pub taken_bytes: u64,
    /// Datagrams to send.
    pub sent: u64,
    /// Bytes of the datagrams to send.
    pub sent_bytes: u64,
    /// Datagrams of another protocol or version.
    pub foreign: u64,
    /// Datagrams of another fleet.
    pub other_fleet: u64,
    /// Datagrams of this fleet that are invalid.
    pub malformed: u64,
    /// Metadata that could not be decoded, as of a later version; the rest of the datagram was accepted.
    pub unread: u64,
    /// Datagrams of unknown members while [`MAX_MEMBERS`] are known.
    pub no_room: u64,
    /// Members reported by another member and not added because [`MAX_MEMBERS`] are known.
    pub no_room_told: u64,
    /// Datagrams from the own address: two processes share it, or a datagram was sent back.
    pub own: u64,
    /// Probes that failed.
    pub probes_failed: u64,
    /// How often this member was declared down and rejoined.
    pub rejoined: u64,
    /// How often a stop of the process was detected.
    pub stopped: u64,
}

impl Identity for Id {
    type Addr = SocketAddrV4;

    fn renew(&self) -> Option<Self> {
        Some(Self { incarnation: self.incarnation + 1, ..self.clone() })
    }

    fn addr(&self) -> SocketAddrV4 {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        (self.incarnation, &self.name) > (adversary.incarnation, &adversary.name)
    }
}

/// The protocol state of one member.
pub struct Membership {
    foca: Foca<Id, PostcardCodec, Xoshiro256PlusPlus, MetadataHandler>,
    config: foca::Config,
    inbox: MetadataHandler,
    options: Options,
    fleet: u32,
    view: View,
    counts: Counts,
    timers: BinaryHeap<Reverse<PendingTimer>>,
    next_number: u64,
    score: u32,
    refutations: u16,
    metadata: Metadata,
    metadata_number: u64,
    /// When the metadata is published again, for members that missed it.
    publish_at: Duration,
    seeds_at: Duration,
    /// When the next step was due.
    expected_at: Duration,
    /// Some member is suspect. foca does not report when it refutes that.
    has_suspects: bool,
    /// Members to compare next: foca reported a change, or they were suspect (it does not report when that ends).
    to_check: HashSet<SocketAddrV4>,
    /// When all members are compared with the view again without a reported change.
    scan_at: Duration,
    /// When the suspects are notified again.
    warn_at: Duration,
    /// When a datagram was last received directly from each other member.
    last_received: BTreeMap<SocketAddrV4, Duration>,
    /// The last direct probe: recipient, number and time.
    probe: Option<(SocketAddrV4, ProbeNumber, Duration)>,
    /// For each other member, when the last direct probe that it answered was sent.
    answered: BTreeMap<SocketAddrV4, Duration>,
    /// The members whose views differ, and since when.
    differing_since: BTreeMap<SocketAddrV4, Duration>,
    /// Suspicions by own probes: incarnation, refutations, start and full duration.
    own_suspicions: BTreeMap<SocketAddrV4, (u64, u16, Duration, Duration)>,
    /// When the digest of the view is updated next.
    digest_at: Duration,
    left: bool,
}

impl Membership {
    /// Creates a member that knows no other member. Its first [`Input::Tick`] announces it to the seeds. The settings
    /// have validated the name and the address.
    pub fn new(options: Options, metadata: Metadata) -> Self {
        let period = options.period;
        let to = |members| NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN);
        let every = |periods: u32, members| {
            Some(foca::PeriodicParams { frequency: period * periods, num_members: to(members) })
        };
        let config = foca::Config {
            probe_period: period,
            // A third of the period for the direct answer leaves two thirds for indirect probes.
            probe_rtt: period / 3,
            num_indirect_probes: to(INDIRECT_PROBES),
            max_transmissions: transmissions(1),
            suspect_to_down_after: period.mul_f64(SUSPICION_PERIODS),
            remove_down_after: Some(period * DOWN_RETENTION_PERIODS),
            max_packet_size: to(MAX_BYTES - ENVELOPE),
            notify_down_members: true,
            periodic_announce: every(30, 1),
            periodic_announce_to_down_members: every(DOWN_ANNOUNCE_PERIODS, 2),
            periodic_gossip: Some(foca::PeriodicParams {
                frequency: period / 2,
                num_members: to(GOSSIP_FANOUT),
            }),
        };
        let rng = Xoshiro256PlusPlus::seed_from_u64(options.seed);
        let (id, inbox) = (options.id.clone(), MetadataHandler::default());
        let foca = Foca::with_custom_broadcast(id, config.clone(), rng, PostcardCodec, inbox.clone());
        Self {
            foca,
            config,
            inbox,
            fleet: fleet_hash(&options.fleet),
            options,
            view: View::default(),
            counts: Counts::default(),
            timers: BinaryHeap::new(),
            next_number: 0,
            score: 0,
            refutations: 0,
            metadata,
            metadata_number: 0,
            publish_at: Duration::ZERO,
            seeds_at: Duration::ZERO,
            expected_at: Duration::ZERO,
            has_suspects: false,
            to_check: HashSet::new(),
            scan_at: Duration::ZERO,
            warn_at: Duration::ZERO,
            last_received: BTreeMap::new(),
            probe: None,
            answered: BTreeMap::new(),
            differing_since: BTreeMap::new(),
            own_suspicions: BTreeMap::new(),
            digest_at: Duration::ZERO,
            left: false,
        }
    }

    /// This member's current identity.
    pub fn id(&self) -> &Id {
        self.foca.identity()
    }

    /// This member's metadata.
    pub fn metadata(&self) -> &Metadata {
        &self.metadata
    }

    /// This member's view of the others.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The local health score; 0 is healthy.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// When the next step is due.
    pub fn due(&self) -> Duration {
        let timer = self.timers.peek().map_or(Duration::MAX, |Reverse(due)| due.at);
        let warn = if self.has_suspects { self.warn_at } else { Duration::MAX };
        let scan = if self.foca.num_members() > SMALL_FLEET { self.scan_at } else { Duration::MAX };
        timer.min(self.publish_at).min(self.seeds_at).min(warn).min(scan).min(self.digest_at)
    }

    /// The members whose view differs from this member's, according to the last digest of each.
    pub fn disagreements(&self) -> Vec<Disagreement> {
        disagreement::disagreements(self.id(), &self.view, &self.differing_since)
    }

    /// The members that answered a probe sent at `since` or later, with the time of sending: both directions worked
    /// then. One member is probed per period, so in a large fleet most members are missing here at any moment.
    pub fn probe_answers(&self, since: Duration) -> impl Iterator<Item = (&str, Duration)> {
        let recent = self.answered.iter().filter(move |(_, sent)| **sent >= since);
        recent
            .filter_map(move |(address, sent)| Some((self.view.by_address(address)?.id.name.as_str(), *sent)))
    }

    /// Links that deliver in one direction only, as (sender, receiver), according to the digests of both ends.
    pub fn one_way(&self) -> Vec<(SocketAddrV4, SocketAddrV4)> {
        disagreement::one_way(self.id(), &self.metadata.digest, &self.view)
    }

    /// Advances the protocol to `now` with one input.
    pub fn step(&mut self, now: Duration, input: Input<'_>) -> Output {
        let mut out = Output::default();
        if self.left {
            return out;
        }
        self.shift_timers_after_stop(now);
        let mut runtime = self.runtime(now);
        match input {
            Input::Datagram(bytes) => self.receive(bytes, &mut runtime),
            Input::Metadata(metadata) => {
                self.metadata = metadata;
                self.publish_at = now;
            }
            Input::Leave => {
                self.metadata.left = true;
                self.publish_metadata(&mut runtime);
                // The metadata that announces the leave goes out first, and in more than one datagram.
                for _ in 0..2 {
                    let _ = self.foca.gossip(&mut runtime);
                }
                let _ = self.foca.leave_cluster(&mut runtime);
                self.left = true;
            }
            Input::Tick => {}
        }
        if !self.left {
            self.run_due_timers(now, &mut runtime);
        }
        self.apply(now, runtime, &mut out);
        // Work that is already overdue was not waited for: only the time from here on counts as lost.
        self.expected_at = self.due().max(now);
        out
    }

    fn runtime(&self, now: Duration) -> StepRuntime {
        StepRuntime {
            now,
            score: self.score,
            up: self.foca.num_members() + 1,
            period: self.options.period,
            send: Vec::new(),
            timers: Vec::new(),
            probe_failed: None,
            changed: false,
            changed_members: Vec::new(),
            received: false,
            joined: false,
            rejoined: None,
            refuted: None,
            pinged: None,
            acked: None,
        }
    }

    /// Postpones all timers by the time for which the process was stopped. Otherwise all timers would be overdue with
    /// the answers to the probes unread, and all other members would be declared down.
    fn shift_timers_after_stop(&mut self, now: Duration) {
        let lost = now.saturating_sub(self.expected_at);
        if self.expected_at.is_zero() || lost < self.options.period * STOPPED_PERIODS {
            return;
        }
        self.counts.stopped += 1;
        self.score = MAX_SCORE;
        self.last_received.values_mut().for_each(|at| *at += lost);
        let late: Vec<_> = std::mem::take(&mut self.timers).into_vec();
        self.timers =
            late.into_iter().map(|Reverse(due)| Reverse(PendingTimer { at: due.at + lost, ..due })).collect();
        self.expected_at = now;
    }

    fn run_due_timers(&mut self, now: Duration, runtime: &mut StepRuntime) {
        while self.timers.peek().is_some_and(|Reverse(due)| due.at <= now) {
            let Some(Reverse(due)) = self.timers.pop() else { break };
            let probed = matches!(due.timer, Timer::ProbeRandomMember(_));
            if let Timer::RemoveDown(id) = &due.timer {
                // A newer incarnation at the address keeps its state.
                if self.view.forget(id) {
                    self.last_received.remove(&id.address);
                    self.answered.remove(&id.address);
                    self.inbox.lock().known.remove(&id.address);
                }
            }
            if !self.is_still_suspect(&due.timer) {
                continue;
            }
            // An error means that the timer was set before the identity changed: it has no effect any more.
            let _ = self.foca.handle_timer(due.timer, &mut *runtime);
            if probed {
                let failed = runtime.probe_failed.take().is_some();
                if failed {
                    // Publish the suspicion soon: other members that suspect the same member then shorten theirs.
                    self.digest_at = now;
                }
                self.counts.probes_failed += u64::from(failed);
                self.score =
                    if failed { (self.score + 1).min(MAX_SCORE) } else { self.score.saturating_sub(1) };
            }
        }
        if now >= self.seeds_at {
            self.announce_to_missing(now, runtime);
        }
        if now >= self.digest_at {
            self.update_digest(now);
        }
        if now >= self.publish_at {
            self.publish_metadata(runtime);
        }
        if self.has_suspects && now >= self.warn_at {
            self.warn_at = now + self.options.period / 2;
            self.warn_suspects(runtime);
        }
    }

    /// Returns false for the end of a suspicion that was refuted meanwhile. foca would then change nothing, but still
    /// notify that member that it is down (2.0.0, `handle_timer`), which would make it drop its state and rejoin.
    fn is_still_suspect(&self, timer: &Timer<Id>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return true };
        let mut suspects = self.foca.iter_members().filter(|m| m.state() == foca::State::Suspect);
        suspects.any(|m| m.id() == member_id && m.incarnation() == *incarnation)
    }

    /// Announces this member to seeds that are not up. If it sees no other member up, as after it was declared down, it
    /// also announces itself to members that it knew, and more often.
    fn announce_to_missing(&mut self, now: Duration, runtime: &mut StepRuntime) {
        let own = self.id().address;
        let alone = self.foca.num_members() == 0;
        self.seeds_at = now + self.options.period * if alone { 1 } else { SEED_ANNOUNCE_PERIODS };
        let up = |address: &SocketAddrV4| self.foca.iter_members().any(|m| m.id().address == *address);
        let known = self.view.members().map(|s| s.id.address).take(if alone { MAX_ANNOUNCED } else { 0 });
        let mut silent: Vec<_> = self.options.seeds.iter().copied().chain(known).collect();
        silent.sort_unstable();
        silent.dedup();
        silent.retain(|address| *address != own && !up(address));
        for address in silent {
            let _ = self.foca.announce(Id { address, incarnation: 0, name: String::new() }, &mut *runtime);
        }
    }

    /// Lifeguard's buddy system: notifies each suspect directly and repeatedly until it refutes the suspicion, instead
    /// of relying on random gossip alone.
    fn warn_suspects(&self, runtime: &mut StepRuntime) {
        let suspects = self.foca.iter_members().filter(|m| m.state() == foca::State::Suspect);
        for suspect in suspects.take(MAX_WARNED) {
            let header = foca::Header {
                src: self.id().clone(),
                src_incarnation: self.refutations,
                dst: suspect.id().clone(),
                message: foca::Message::Gossip,
            };
            let (Ok(mut bytes), Ok(member)) =
                (postcard::to_allocvec(&header), postcard::to_allocvec(suspect))
            else {
                continue;
            };
            // A single update: the suspicion.
            bytes.extend_from_slice(&1u16.to_be_bytes());
            bytes.extend_from_slice(&member);
            runtime.send.push((suspect.id().address, bytes));
        }
    }

    /// Queues the metadata for broadcast and sets the time of the next broadcast. The interval grows with the fleet, so
    /// that the amount of metadata in transit stays the same.
    fn publish_metadata(&mut self, runtime: &mut StepRuntime) {
        self.metadata_number += 1;
        let update = MetadataUpdate {
            id: self.id().clone(),
            number: self.metadata_number,
            metadata: self.metadata.clone(),
        };
        if let Ok(bytes) = postcard::to_allocvec(&update) {
            let _ = self.foca.add_broadcast(&bytes);
        }
        let members = u32::try_from(self.foca.num_members() + 1).unwrap_or(u32::MAX);
        self.publish_at = runtime.now + self.options.period * (10 + members);
    }

    /// Applies what foca requested in this step, and updates the view from its members.
    fn apply(&mut self, now: Duration, runtime: StepRuntime, out: &mut Output) {
        for (at, timer) in runtime.timers {
            self.next_number += 1;
            if let Timer::ChangeSuspectToDown { member_id: id, incarnation, .. } = &timer {
                // Another failed probe does not start a new suspicion.
                let new = (id.incarnation, *incarnation, now, at.saturating_sub(now));
                let known = self.own_suspicions.entry(id.address).or_insert(new);
                if (known.0, known.1) != (new.0, new.1) {
                    *known = new;
                }
            }
            self.timers.push(Reverse(PendingTimer { at, number: self.next_number, timer }));
        }
        self.drop_idle_timers();
        for (to, data) in runtime.send {
            let mut bytes = Vec::with_capacity(ENVELOPE + data.len());
            bytes.extend_from_slice(&MAGIC);
            bytes.extend_from_slice(&self.fleet.to_be_bytes());
            bytes.extend_from_slice(&data);
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            out.send.push((to, bytes));
        }
        if let Some((to, number)) = runtime.pinged {
            self.probe = Some((to, number, now));
        }
        if let (Some(acked), Some((to, number, sent))) = (runtime.acked, self.probe) {
            if acked == (to, number) {
                self.answered.insert(to, sent);
            }
        }
        if runtime.rejoined.is_some() {
            self.counts.rejoined += 1;
            // Its state was dropped with the old identity.
            self.seeds_at = now;
        }
        // A member that has to refute suspicions may be slow itself.
        if let Some(refutations) = runtime.refuted.filter(|now| *now > self.refutations) {
            self.refutations = refutations;
            self.score = (self.score + 1).min(MAX_SCORE);
        }
        if runtime.rejoined.is_some() {
            self.refutations = 0;
        }
        let own = self.id().address;
        self.to_check.extend(runtime.changed_members);
        // foca does not notify of suspicions by other members, so all members are also compared at intervals.
        // Metadata is applied before the states: a leave announced in the same datagram gives `Left`, not `Down`.
        let received = std::mem::take(&mut self.inbox.lock().received);
        for update in received.iter().filter(|s| s.id.address != own) {
            self.view.update_metadata(update);
        }
        if !received.is_empty() {
            self.shorten_suspicions();
        }
        let soon = self.foca.num_members() <= SMALL_FLEET && (runtime.changed || self.has_suspects);
        if soon || now >= self.scan_at {
            self.scan_at = now + self.options.period / 4;
            self.has_suspects = false;
            // A member that was alive and for which foca reported nothing is still alive. With 1,000 members, looking
            // up each of them four times a period would be most of the work.
            let to_check = std::mem::take(&mut self.to_check);
            let may_differ = |m: &&foca::Member<Id>| {
                m.state() != foca::State::Alive
                    || (!to_check.is_empty() && to_check.contains(&m.id().address))
            };
            let members = self.foca.iter_membership_state().filter(may_differ);
            for member in members.filter(|m| m.id().address != own) {
                let state = match member.state() {
                    foca::State::Alive => State::Alive,
                    foca::State::Suspect => State::Suspect,
                    foca::State::Down => State::Down,
                };
                if state == State::Suspect {
                    self.has_suspects = true;
                    self.to_check.insert(member.id().address);
                }
                if let Some(change) = self.view.update_state(now, member.id(), state) {
                    let mut inbox = self.inbox.lock();
                    let known = inbox.known.entry(change.id.address).or_default();
                    if known.0 != change.id.incarnation {
                        *known = (change.id.incarnation, 0);
                    }
                    drop(inbox);
                    out.changes.push(change);
                }
            }
        }
        let transmissions = transmissions(self.foca.num_members() + 1);
        if transmissions > self.config.max_transmissions {
            self.config.max_transmissions = transmissions;
            // foca only rejects changed periods.
            let _ = self.foca.set_config(self.config.clone());
        }
        if runtime.joined || runtime.rejoined.is_some() {
            // A new member has no metadata of others yet.
            self.publish_at = self.publish_at.min(now + self.options.period);
        }
    }
}

/// How often each member passes an update on. With `t` times, a member misses it with a probability of about e^-t: with
/// 12, 6 pairs of 1,000 members miss each other's metadata, which is published again only after 1,010 periods.
fn transmissions(members: usize) -> NonZeroU8 {
    let enough = (2.0 * (members as f64).ln() + 4.0).ceil();
    NonZeroU8::new((enough as u8).max(MIN_TRANSMISSIONS)).unwrap_or(NonZeroU8::MIN)
}

/// Hash of the fleet's name on the wire (FNV-1a).
fn fleet_hash(fleet: &str) -> u32 {
    fleet.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

#[cfg(test)]
mod tests;
