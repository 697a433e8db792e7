//! Membership by SWIM (Das, Gupta and Motivala, 2002) on the `foca` crate, with what Lifeguard (Dadgar, Phillips and
//! Currey, 2018) adds for members that are slow themselves. No I/O and no clock: [`Membership::step`] takes a datagram,
//! a word of the operator or the time, and says what to send and when it wants to be asked again.
//!
//! What is ours around foca: the envelope that tells foreign datagrams apart, the local health score that stretches
//! probes and suspicions of a member which is slow itself (timers are stretched as foca asks for them), the buddy system,
//! the time a stopped process gives back, notes with who drains and who left, and joining again after a heal.

mod asked;
pub mod disagreement;
mod notes;
mod receive;
mod sift;
mod suspect;
pub mod view;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::net::SocketAddrV4;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Foca, Identity, PostcardCodec, ProbeNumber, Timer};
use rand::rngs::Xoshiro256PlusPlus;
use rand::SeedableRng;

use asked::{Asked, Due};
use disagreement::Disagreement;
use notes::Shelf;
use view::{Change, Id, Metadata, MetadataUpdate, State, View};

/// The largest datagram, envelope included: below the usual MTU.
pub const MAX_BYTES: usize = 1400;
/// Members that are known at most; datagrams of others are refused then.
pub const MAX_MEMBERS: usize = 4096;
/// Seeds at most.
pub const MAX_SEEDS: usize = 64;
/// The highest local health score: probes and suspicions are then stretched ninefold (Lifeguard's S is 8).
const MAX_SCORE: u32 = 8;
/// Members asked to probe for us.
const INDIRECT: usize = 3;
/// Members that each round of gossip goes to.
const FANOUT: usize = 3;
/// Times that each member passes a piece of news on, in a small fleet.
const TRANSMISSIONS: u8 = 12;
/// A suspicion lasts so many periods, times the decimal logarithm of the members if that is over one (Lifeguard's
/// alpha).
const SUSPICION_PERIODS: f64 = 5.0;
/// Up to so many members are looked at after each step that may have changed one; more only a few times a period.
const SMALL: usize = 64;
/// Members that one which knows nobody asks at once, besides the seeds.
const MAX_ASKED: usize = 16;
/// Suspects that are told of it at once.
const MAX_WARNED: usize = 8;
/// Periods between two words to a member that is down, which may only have been cut off.
const DOWN_EVERY: u32 = 5;
/// Periods between two words to a seed that is not up.
const SEED_EVERY: u32 = 5;
/// Periods for which a member that is down is remembered.
const REMEMBERED: u32 = 3600;
/// A step that comes so many periods after it was due shows that the process was stopped.
const STOPPED_PERIODS: u32 = 2;
/// What each datagram begins with: the protocol and its version.
const MAGIC: [u8; 4] = *b"hwf1";
/// The envelope: magic and the fleet's number.
const ENVELOPE: usize = 8;

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Who it is.
    pub id: Id,
    /// The name of the fleet: datagrams of another one are foreign.
    pub fleet: String,
    /// Addresses that may know the fleet.
    pub seeds: Vec<SocketAddrV4>,
    /// The protocol period: one probe each.
    pub period: Duration,
    /// For random choices.
    pub seed: u64,
}

/// What happens to a member.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A datagram came.
    Datagram(&'a [u8]),
    /// Time passed.
    Tick,
    /// What this member says of itself changed.
    Metadata(Metadata),
    /// It leaves; nothing is sent after this step.
    Leave,
}

/// What a step asks for.
#[derive(Debug, Default)]
pub struct Output {
    /// Datagrams, in order.
    pub send: Vec<(SocketAddrV4, Vec<u8>)>,
    /// What changed in the view.
    pub changes: Vec<Change>,
}

/// Why datagrams were dropped, and what else is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams taken.
    pub taken: u64,
    /// Bytes of the datagrams taken.
    pub taken_bytes: u64,
    /// Datagrams asked to be sent, and their bytes.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Not of this protocol or version.
    pub foreign: u64,
    /// Of another fleet.
    pub other_fleet: u64,
    /// Of this fleet, and spoilt.
    pub malformed: u64,
    /// Notes that could not be read, as those of a later version; the rest of their datagrams was taken.
    pub unread: u64,
    /// From nobody known, while [`MAX_MEMBERS`] are.
    pub no_room: u64,
    /// Members that another one told of and that were not taken, while [`MAX_MEMBERS`] are known.
    pub no_room_told: u64,
    /// From our own address: two processes share it, or a datagram came back.
    pub own: u64,
    /// Probes that nobody answered.
    pub probes_failed: u64,
    /// Times that this member was declared down and came back.
    pub rejoined: u64,
    /// Times that the process was found to have been stopped.
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

/// One member's part of the protocol.
pub struct Membership {
    foca: Foca<Id, PostcardCodec, Xoshiro256PlusPlus, Shelf>,
    config: foca::Config,
    notes: Shelf,
    options: Options,
    fleet: u32,
    view: View,
    counts: Counts,
    timers: BinaryHeap<Reverse<Due>>,
    next_number: u64,
    score: u32,
    refutations: u16,
    metadata: Metadata,
    metadata_number: u64,
    /// When the note is told again, for those who missed it.
    tell_at: Duration,
    seeds_at: Duration,
    /// When this member wanted to be asked again.
    wanted: Duration,
    /// Somebody is suspect, and may refute that without a word from foca.
    suspects: bool,
    /// Members that are looked at next: foca said that they changed, or they were suspect and it tells of no
    /// end of that.
    look: HashSet<SocketAddrV4>,
    /// When the members are looked at again without a cause.
    scan_at: Duration,
    /// When the suspects are told of it again.
    warn_at: Duration,
    /// When each other member was last heard without a detour.
    heard: BTreeMap<SocketAddrV4, Duration>,
    /// The last probe that went out: to whom, its number, and when.
    probe: Option<(SocketAddrV4, ProbeNumber, Duration)>,
    /// When the last probe was sent that each other member answered without a detour.
    answered: BTreeMap<SocketAddrV4, Duration>,
    /// Who sees the fleet otherwise, since when.
    unlike: BTreeMap<SocketAddrV4, Duration>,
    /// Whom this member suspects by a probe of its own: which life, its refutations, since when, and for how long.
    accused: BTreeMap<SocketAddrV4, (u64, u16, Duration, Duration)>,
    /// When the digest of the view is made again.
    digest_at: Duration,
    left: bool,
}

impl Membership {
    /// A member that knows nobody yet; its first [`Input::Tick`] makes it announce itself to the seeds. The settings
    /// have checked the name and the address.
    pub fn new(options: Options, metadata: Metadata) -> Self {
        let period = options.period;
        let to = |members| NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN);
        let every = |periods: u32, members| {
            Some(foca::PeriodicParams { frequency: period * periods, num_members: to(members) })
        };
        let config = foca::Config {
            probe_period: period,
            // A third for the direct answer leaves two thirds for the way over others.
            probe_rtt: period / 3,
            num_indirect_probes: to(INDIRECT),
            max_transmissions: transmissions(1),
            suspect_to_down_after: period.mul_f64(SUSPICION_PERIODS),
            remove_down_after: Some(period * REMEMBERED),
            max_packet_size: to(MAX_BYTES - ENVELOPE),
            notify_down_members: true,
            periodic_announce: every(30, 1),
            periodic_announce_to_down_members: every(DOWN_EVERY, 2),
            periodic_gossip: Some(foca::PeriodicParams { frequency: period / 2, num_members: to(FANOUT) }),
        };
        let rng = Xoshiro256PlusPlus::seed_from_u64(options.seed);
        let (id, notes) = (options.id.clone(), Shelf::default());
        let foca = Foca::with_custom_broadcast(id, config.clone(), rng, PostcardCodec, notes.clone());
        Self {
            foca,
            config,
            notes,
            fleet: number_of(&options.fleet),
            options,
            view: View::default(),
            counts: Counts::default(),
            timers: BinaryHeap::new(),
            next_number: 0,
            score: 0,
            refutations: 0,
            metadata,
            metadata_number: 0,
            tell_at: Duration::ZERO,
            seeds_at: Duration::ZERO,
            wanted: Duration::ZERO,
            suspects: false,
            look: HashSet::new(),
            scan_at: Duration::ZERO,
            warn_at: Duration::ZERO,
            heard: BTreeMap::new(),
            probe: None,
            answered: BTreeMap::new(),
            unlike: BTreeMap::new(),
            accused: BTreeMap::new(),
            digest_at: Duration::ZERO,
            left: false,
        }
    }

    /// Who this member is now.
    pub fn id(&self) -> &Id {
        self.foca.identity()
    }

    /// What it says of itself.
    pub fn metadata(&self) -> &Metadata {
        &self.metadata
    }

    /// The others as it sees them.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// What it counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Its local health score: 0 is well.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// When it wants to be asked again.
    pub fn due(&self) -> Duration {
        let timer = self.timers.peek().map_or(Duration::MAX, |Reverse(due)| due.at);
        let warn = if self.suspects { self.warn_at } else { Duration::MAX };
        let scan = if self.foca.num_members() > SMALL { self.scan_at } else { Duration::MAX };
        timer.min(self.tell_at).min(self.seeds_at).min(warn).min(scan).min(self.digest_at)
    }

    /// Who sees the fleet otherwise than this member, about whom, and since when, by the last digest of each.
    pub fn disagreements(&self) -> Vec<Disagreement> {
        disagreement::disagreements(self.id(), &self.view, &self.unlike)
    }

    /// Who answered a probe that was sent at `since` or later, and when that was: both ways were open then. A
    /// probe goes to one member a period, so of a large fleet most members are not among these at any moment.
    pub fn probe_answers(&self, since: Duration) -> impl Iterator<Item = (&str, Duration)> {
        let late = self.answered.iter().filter(move |(_, sent)| **sent >= since);
        late.filter_map(move |(address, sent)| Some((self.view.by_address(address)?.id.name.as_str(), *sent)))
    }

    /// Links that work one way only, from whom to whom, as their ends tell.
    pub fn one_way(&self) -> Vec<(SocketAddrV4, SocketAddrV4)> {
        disagreement::one_way(self.id(), &self.metadata.digest, &self.view)
    }

    /// Goes on to `now` with what happened.
    pub fn step(&mut self, now: Duration, input: Input<'_>) -> Output {
        let mut out = Output::default();
        if self.left {
            return out;
        }
        self.give_back_a_stop(now);
        let mut asked = self.asked(now);
        match input {
            Input::Datagram(bytes) => self.take(bytes, &mut asked),
            Input::Metadata(metadata) => {
                self.metadata = metadata;
                self.tell_at = now;
            }
            Input::Leave => {
                self.metadata.left = true;
                self.tell(&mut asked);
                // The word that it leaves goes ahead of the news that it is gone, to some more than one datagram.
                for _ in 0..2 {
                    let _ = self.foca.gossip(&mut asked);
                }
                let _ = self.foca.leave_cluster(&mut asked);
                self.left = true;
            }
            Input::Tick => {}
        }
        if !self.left {
            self.due_now(now, &mut asked);
        }
        self.settle(now, asked, &mut out);
        // What is overdue now was not waited for: only time that passes from here on can be lost.
        self.wanted = self.due().max(now);
        out
    }

    fn asked(&self, now: Duration) -> Asked {
        Asked {
            now,
            score: self.score,
            up: self.foca.num_members() + 1,
            period: self.options.period,
            send: Vec::new(),
            timers: Vec::new(),
            probe_failed: None,
            changed: false,
            told: Vec::new(),
            received: false,
            joined: false,
            rejoined: None,
            refuted: None,
            pinged: None,
            acked: None,
        }
    }

    /// A process that was stopped finds all its timers overdue, and the answers to its probes unread: it would take
    /// everybody for dead. Its timers are put off by the time it lost.
    fn give_back_a_stop(&mut self, now: Duration) {
        let lost = now.saturating_sub(self.wanted);
        if self.wanted.is_zero() || lost < self.options.period * STOPPED_PERIODS {
            return;
        }
        self.counts.stopped += 1;
        self.score = MAX_SCORE;
        self.heard.values_mut().for_each(|at| *at += lost);
        let late: Vec<_> = std::mem::take(&mut self.timers).into_vec();
        self.timers =
            late.into_iter().map(|Reverse(due)| Reverse(Due { at: due.at + lost, ..due })).collect();
        self.wanted = now;
    }

    fn due_now(&mut self, now: Duration, asked: &mut Asked) {
        while self.timers.peek().is_some_and(|Reverse(due)| due.at <= now) {
            let Some(Reverse(due)) = self.timers.pop() else { break };
            let probed = matches!(due.timer, Timer::ProbeRandomMember(_));
            if let Timer::RemoveDown(id) = &due.timer {
                // A newer life at the address keeps what is known of it.
                if self.view.forget(id) {
                    self.heard.remove(&id.address);
                    self.answered.remove(&id.address);
                    self.notes.lock().known.remove(&id.address);
                }
            }
            if !self.still_suspect(&due.timer) {
                continue;
            }
            // Errors here are timers of a time before an identity changed: nothing is lost with them.
            let _ = self.foca.handle_timer(due.timer, &mut *asked);
            if probed {
                let failed = asked.probe_failed.take().is_some();
                if failed {
                    // Whoever suspects the same member waits for less once it hears of this.
                    self.digest_at = now;
                }
                self.counts.probes_failed += u64::from(failed);
                self.score =
                    if failed { (self.score + 1).min(MAX_SCORE) } else { self.score.saturating_sub(1) };
            }
        }
        if now >= self.seeds_at {
            self.look_for_others(now, asked);
        }
        if now >= self.digest_at {
            self.digest(now);
        }
        if now >= self.tell_at {
            self.tell(asked);
        }
        if self.suspects && now >= self.warn_at {
            self.warn_at = now + self.options.period / 2;
            self.warn(asked);
        }
    }

    /// False for the end of a suspicion that was refuted meanwhile. Foca would change nothing then, and yet tell that
    /// member that it is down (2.0.0, `handle_timer`), which would make it drop all it knows and join anew.
    fn still_suspect(&self, timer: &Timer<Id>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return true };
        let mut suspects = self.foca.iter_members().filter(|m| m.state() == foca::State::Suspect);
        suspects.any(|m| m.id() == member_id && m.incarnation() == *incarnation)
    }

    /// Announces this member to seeds that are not up; one that knows nobody who is up, as after it was declared down,
    /// asks whom it knew as well, and sooner.
    fn look_for_others(&mut self, now: Duration, asked: &mut Asked) {
        let own = self.id().address;
        let alone = self.foca.num_members() == 0;
        self.seeds_at = now + self.options.period * if alone { 1 } else { SEED_EVERY };
        let up = |address: &SocketAddrV4| self.foca.iter_members().any(|m| m.id().address == *address);
        let known = self.view.members().map(|s| s.id.address).take(if alone { MAX_ASKED } else { 0 });
        let mut silent: Vec<_> = self.options.seeds.iter().copied().chain(known).collect();
        silent.sort_unstable();
        silent.dedup();
        silent.retain(|address| *address != own && !up(address));
        for address in silent {
            let _ = self.foca.announce(Id { address, incarnation: 0, name: String::new() }, &mut *asked);
        }
    }

    /// Lifeguard's buddy system: who is suspect hears of it from those who know, straight and until it refutes that,
    /// and not only by the gossip's luck.
    fn warn(&self, asked: &mut Asked) {
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
            // One update: the suspicion itself.
            bytes.extend_from_slice(&1u16.to_be_bytes());
            bytes.extend_from_slice(&member);
            asked.send.push((suspect.id().address, bytes));
        }
    }

    /// Puts the note on the messages to come, and says when it is told again: more seldom in a larger fleet, so that
    /// the notes on the way stay the same in number.
    fn tell(&mut self, asked: &mut Asked) {
        self.metadata_number += 1;
        let signed = MetadataUpdate {
            id: self.id().clone(),
            number: self.metadata_number,
            metadata: self.metadata.clone(),
        };
        if let Ok(bytes) = postcard::to_allocvec(&signed) {
            let _ = self.foca.add_broadcast(&bytes);
        }
        let members = u32::try_from(self.foca.num_members() + 1).unwrap_or(u32::MAX);
        self.tell_at = asked.now + self.options.period * (10 + members);
    }

    /// Takes up what foca asked for, and brings the view in line with its members.
    fn settle(&mut self, now: Duration, asked: Asked, out: &mut Output) {
        for (at, timer) in asked.timers {
            self.next_number += 1;
            if let Timer::ChangeSuspectToDown { member_id: id, incarnation, .. } = &timer {
                // A later probe that fails as well begins no new suspicion.
                let new = (id.incarnation, *incarnation, now, at.saturating_sub(now));
                let known = self.accused.entry(id.address).or_insert(new);
                if (known.0, known.1) != (new.0, new.1) {
                    *known = new;
                }
            }
            self.timers.push(Reverse(Due { at, number: self.next_number, timer }));
        }
        self.drop_idle_timers();
        for (to, data) in asked.send {
            let mut bytes = Vec::with_capacity(ENVELOPE + data.len());
            bytes.extend_from_slice(&MAGIC);
            bytes.extend_from_slice(&self.fleet.to_be_bytes());
            bytes.extend_from_slice(&data);
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            out.send.push((to, bytes));
        }
        if let Some((to, number)) = asked.pinged {
            self.probe = Some((to, number, now));
        }
        if let (Some(acked), Some((to, number, sent))) = (asked.acked, self.probe) {
            if acked == (to, number) {
                self.answered.insert(to, sent);
            }
        }
        if asked.rejoined.is_some() {
            self.counts.rejoined += 1;
            // All it knew went with its old identity.
            self.seeds_at = now;
        }
        // Whoever has to refute suspicions may be slow itself.
        if let Some(refutations) = asked.refuted.filter(|now| *now > self.refutations) {
            self.refutations = refutations;
            self.score = (self.score + 1).min(MAX_SCORE);
        }
        if asked.rejoined.is_some() {
            self.refutations = 0;
        }
        let own = self.id().address;
        self.look.extend(asked.told);
        // Suspicions of others come without a word of foca's: the members are looked at now and then in any case.
        // Before the states: who says that it leaves, in the datagram that tells that it is gone, has left.
        let came = std::mem::take(&mut self.notes.lock().came);
        for signed in came.iter().filter(|s| s.id.address != own) {
            self.view.update_metadata(signed);
        }
        if !came.is_empty() {
            self.shorten();
        }
        let soon = self.foca.num_members() <= SMALL && (asked.changed || self.suspects);
        if soon || now >= self.scan_at {
            self.scan_at = now + self.options.period / 4;
            self.suspects = false;
            // Who was alive and of whom foca said nothing still is: at 1,000 members, to look each of them
            // up four
            // times a period was most of all work.
            let look = std::mem::take(&mut self.look);
            let may_differ = |m: &&foca::Member<Id>| {
                m.state() != foca::State::Alive || (!look.is_empty() && look.contains(&m.id().address))
            };
            let members = self.foca.iter_membership_state().filter(may_differ);
            for member in members.filter(|m| m.id().address != own) {
                let state = match member.state() {
                    foca::State::Alive => State::Alive,
                    foca::State::Suspect => State::Suspect,
                    foca::State::Down => State::Down,
                };
                if state == State::Suspect {
                    self.suspects = true;
                    self.look.insert(member.id().address);
                }
                if let Some(change) = self.view.update_state(now, member.id(), state) {
                    let mut notes = self.notes.lock();
                    let known = notes.known.entry(change.id.address).or_default();
                    if known.0 != change.id.incarnation {
                        *known = (change.id.incarnation, 0);
                    }
                    drop(notes);
                    out.changes.push(change);
                }
            }
        }
        let transmissions = transmissions(self.foca.num_members() + 1);
        if transmissions > self.config.max_transmissions {
            self.config.max_transmissions = transmissions;
            // Only periods may not change.
            let _ = self.foca.set_config(self.config.clone());
        }
        if asked.joined || asked.rejoined.is_some() {
            // Whoever came knows no notes yet.
            self.tell_at = self.tell_at.min(now + self.options.period);
        }
    }
}

/// How often each member passes a piece of news on. With `t` times each, a member misses it with a chance of
/// about
/// e^-t: of the pairs of 1,000 members 12 leave 6 to miss each other's word, which the next round tells
/// again only
/// after 1,010 periods.
fn transmissions(members: usize) -> NonZeroU8 {
    let enough = (2.0 * (members as f64).ln() + 4.0).ceil();
    NonZeroU8::new((enough as u8).max(TRANSMISSIONS)).unwrap_or(NonZeroU8::MIN)
}

/// A fleet's number on the wire (FNV-1a over its name).
fn number_of(fleet: &str) -> u32 {
    fleet.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

#[cfg(test)]
mod tests;
