//! Tests of one or two members, datagram by datagram.

use super::*;

const MS: Duration = Duration::from_millis(1);

fn member(port: u16, seeds: &[u16]) -> Membership {
    let at = |port| SocketAddrV4::new([127, 0, 0, 1].into(), port);
    let options = Options {
        id: Id { address: at(port), incarnation: 10, name: format!("m{port}") },
        fleet: "f".into(),
        seeds: seeds.iter().map(|p| at(*p)).collect(),
        period: MS * 100,
        seed: port.into(),
    };
    Membership::new(options, Metadata::default())
}

/// Returns two members that know each other, and the current time.
fn pair() -> (Membership, Membership, Duration) {
    let (mut a, mut b) = (member(1, &[]), member(2, &[1]));
    let mut now = MS;
    for _ in 0..40 {
        now += MS * 10;
        exchange(&mut a, &mut b, now);
    }
    assert_eq!((a.view().len(), b.view().len()), (1, 1));
    (a, b, now)
}

fn exchange(a: &mut Membership, b: &mut Membership, now: Duration) {
    let mut from_a = a.step(now, Input::Tick).send;
    let mut from_b = b.step(now, Input::Tick).send;
    while !(from_a.is_empty() && from_b.is_empty()) {
        let to_b = std::mem::take(&mut from_a);
        let to_a = std::mem::take(&mut from_b);
        for (_, bytes) in to_b {
            from_b.extend(b.step(now, Input::Datagram(&bytes)).send);
        }
        for (_, bytes) in to_a {
            from_a.extend(a.step(now, Input::Datagram(&bytes)).send);
        }
    }
}

#[test]
fn datagrams_that_are_not_of_this_fleet_are_dropped_and_counted_by_reason() {
    let (mut a, mut b, now) = pair();
    let good = b.step(now + MS * 500, Input::Tick).send.remove(0).1;
    let before = a.counts();
    let mut other = good.clone();
    other[5] ^= 1;
    let (mut cut, mut tail) = (good.clone(), good.clone());
    cut.truncate(20);
    tail.extend([0xff; 40]);
    for bytes in [&b"GET / HTTP/1.1\r\n"[..], b"", b"hwf0....", &other, b"hwf1ab", &cut, &tail] {
        a.step(now + MS, Input::Datagram(bytes));
    }
    let c = a.counts();
    let dropped =
        (c.foreign - before.foreign, c.other_fleet - before.other_fleet, c.malformed - before.malformed);
    assert_eq!(dropped, (3, 1, 3));
    a.step(now + MS, Input::Datagram(&good));
    assert_eq!(a.counts().taken, before.taken + 1);
    // A member's own datagram that is sent back does not count as one of another member.
    let own = a.step(now + MS * 500, Input::Tick).send.remove(0).1;
    a.step(now + MS * 501, Input::Datagram(&own));
    assert_eq!(a.counts().own, 1);
}

// A datagram of a later version: metadata of an unknown kind, then metadata with an additional field.
#[test]
fn metadata_of_a_later_version_is_read_as_far_as_known_and_passed_on_unchanged() {
    let (mut a, mut b, mut now) = pair();
    let good = b.step(now + MS * 500, Input::Tick).send.remove(0).1;
    let metadata = Metadata { version: "10".into(), draining: true, ..Metadata::default() };
    let signed = MetadataUpdate { id: b.id().clone(), number: 1 << 40, metadata };
    let later = postcard::to_allocvec(&(&signed, "a later field", 7u8)).unwrap();
    let mut bytes = good;
    for item in [&[0xff; 30][..], &later] {
        bytes.extend_from_slice(&(item.len() as u16).to_be_bytes());
        bytes.extend_from_slice(item);
    }
    let before = a.counts();
    now += MS;
    a.step(now, Input::Datagram(&bytes));
    let counts = a.counts();
    assert_eq!(
        (counts.taken - before.taken, counts.unread - before.unread, counts.malformed - before.malformed),
        (1, 1, 0)
    );
    let seen = a.view().by_name("m2").unwrap().metadata();
    assert!(seen.draining && seen.version == "10", "{seen:?}");
    // The metadata is passed on with the additional field, for members that know it.
    let mut passed = false;
    for _ in 0..100 {
        now += MS * 10;
        passed |= a
            .step(now, Input::Tick)
            .send
            .iter()
            .any(|(_, sent)| sent.windows(later.len()).any(|part| part == later));
    }
    assert!(passed);
}

#[test]
fn invalid_bytes_after_a_valid_envelope_are_rejected() {
    let (mut a, mut b, now) = pair();
    let good = b.step(now + MS * 500, Input::Tick).send.remove(0).1;
    let mut draw = 7u64;
    for _ in 0..20_000 {
        draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let mut bytes = good.clone();
        for n in 0..1 + (draw >> 60) {
            let at = ENVELOPE + (draw >> (8 * (n % 4))) as usize % (bytes.len() - ENVELOPE);
            bytes[at] = (draw >> 24).wrapping_add(n) as u8;
        }
        bytes.truncate(ENVELOPE + (draw >> 40) as usize % 400);
        a.step(now + MS, Input::Datagram(&bytes));
    }
    assert!(a.counts().malformed > 1_000 && a.view().len() <= MAX_MEMBERS);
}

#[test]
fn a_process_that_was_stopped_declares_no_member_down() {
    let (mut a, mut b, mut now) = pair();
    // `a` does nothing for ten seconds; `b` suspects it and declares it down.
    let stopped = now;
    while now < stopped + MS * 10_000 {
        now += MS * 10;
        b.step(now, Input::Tick);
    }
    assert_eq!(b.view().by_name("m1").unwrap().state, State::Down);
    let out = a.step(now, Input::Tick);
    assert!(out.changes.is_empty(), "{:?}", out.changes);
    assert_eq!(a.counts().stopped, 1);
    assert!(a.score() >= MAX_SCORE - 1, "its local health score is not raised: {}", a.score());
    for _ in 0..400 {
        now += MS * 10;
        exchange(&mut a, &mut b, now);
    }
    assert_eq!(b.view().by_name("m1").unwrap().state, State::Alive);
    assert!(b.view().by_name("m1").unwrap().id.incarnation > 10, "it rejoined under a new incarnation");
    assert_eq!(a.view().by_name("m2").unwrap().state, State::Alive);
}

#[test]
fn metadata_reaches_the_other_member_and_a_leave_is_not_a_failure() {
    let (mut a, mut b, mut now) = pair();
    a.step(now, Input::Metadata(Metadata { draining: true, version: "9".into(), ..Metadata::default() }));
    for _ in 0..50 {
        now += MS * 10;
        exchange(&mut a, &mut b, now);
    }
    let seen = b.view().by_name("m1").unwrap().metadata();
    assert!(seen.draining && seen.version == "9");
    for (_, bytes) in a.step(now, Input::Leave).send {
        b.step(now, Input::Datagram(&bytes));
    }
    b.step(now + MS * 100, Input::Tick);
    assert_eq!(b.view().by_name("m1").unwrap().state, State::Left);
    assert!(a.step(now + MS * 500, Input::Tick).send.is_empty(), "a member that left sends nothing");
}

#[test]
fn probe_answers_count_from_the_time_of_sending_and_other_datagrams_do_not_count() {
    let (mut a, mut b, mut now) = pair();
    let window = MS * 300;
    assert_eq!(a.probe_answers(now - window).map(|(name, _)| name).collect::<Vec<_>>(), ["m2"]);
    let sent = a.probe_answers(Duration::ZERO).next().map(|(_, sent)| sent).unwrap();
    assert!(sent > now - MS * 250 && sent <= now, "{sent:?} at {now:?}");
    // From here on no datagram of `a` arrives. It still receives those of `b`, which are not answers.
    let (mut received, until) = (0, now + window * 2);
    while now < until {
        now += MS * 10;
        a.step(now, Input::Tick);
        for (_, bytes) in b.step(now, Input::Tick).send {
            received += 1;
            a.step(now, Input::Datagram(&bytes));
        }
    }
    assert!(received > 5, "{received}");
    assert_eq!(a.probe_answers(now - window).count(), 0);
    assert_eq!(a.probe_answers(Duration::ZERO).next().map(|(_, last)| last), Some(sent));
}

/// A datagram from `from` to `to` with updates about members and optional metadata.
fn gossip_datagram(
    from: u16,
    to: &Id,
    members: &[foca::Member<Id>],
    metadata: Option<MetadataUpdate>,
) -> Vec<u8> {
    let message = foca::Message::Gossip;
    let header = foca::Header { src: id_of(from, 1), src_incarnation: 0, dst: to.clone(), message };
    let mut bytes = [&MAGIC[..], &fleet_hash("f").to_be_bytes()].concat();
    bytes.extend(postcard::to_allocvec(&header).unwrap());
    bytes.extend((members.len() as u16).to_be_bytes());
    members.iter().for_each(|member| bytes.extend(postcard::to_allocvec(member).unwrap()));
    if let Some(metadata) = metadata {
        let metadata = postcard::to_allocvec(&metadata).unwrap();
        bytes.extend((metadata.len() as u16).to_be_bytes());
        bytes.extend(metadata);
    }
    bytes
}

fn id_of(port: u16, incarnation: u64) -> Id {
    let address = SocketAddrV4::new([127, 0, 0, 1].into(), port);
    Id { address, incarnation, name: format!("m{port}") }
}

#[test]
fn members_reported_by_a_peer_are_limited_and_counted_and_known_members_are_still_updated() {
    let mut a = member(1, &[]);
    let own = a.id().clone();
    a.step(MS, Input::Tick);
    let all: Vec<_> = (100..5_100).map(|port| foca::Member::alive(id_of(port, 1))).collect();
    for some in all.chunks(50) {
        a.step(MS * 2, Input::Datagram(&gossip_datagram(2, &own, some, None)));
    }
    a.step(MS * 40, Input::Tick);
    // The peer itself is one of the known members.
    assert_eq!(a.view().len(), MAX_MEMBERS);
    assert_eq!(a.counts().no_room_told, 5_001 - MAX_MEMBERS as u64);
    assert!(a.view().by_name("m5099").is_none());
    // Neither a further sender nor a member known only from its metadata is added.
    a.step(MS * 41, Input::Datagram(&gossip_datagram(6_000, &own, &[], None)));
    let metadata = MetadataUpdate { id: id_of(6_001, 1), number: 1, metadata: Metadata::default() };
    a.step(MS * 41, Input::Datagram(&gossip_datagram(2, &own, &[], Some(metadata))));
    assert_eq!((a.counts().no_room, a.counts().no_room_told), (1, 5_002 - MAX_MEMBERS as u64));
    // An update about a known member is applied, although the one about an unknown member beside it is dropped.
    let news = [foca::Member::alive(id_of(6_002, 1)), foca::Member::down(id_of(100, 1))];
    a.step(MS * 42, Input::Datagram(&gossip_datagram(2, &own, &news, None)));
    a.step(MS * 70, Input::Tick);
    assert_eq!(a.view().by_name("m100").unwrap().state, State::Down);
    assert_eq!((a.view().len(), a.counts().malformed), (MAX_MEMBERS, 0));
}

#[test]
fn many_incarnations_at_one_address_and_datagrams_to_another_incarnation_use_no_memory() {
    let mut a = member(1, &[]);
    let own = a.id().clone();
    a.step(MS, Input::Tick);
    let all: Vec<_> = (1..=20_000).map(|n| foca::Member::down(id_of(9, n))).collect();
    for some in all.chunks(50) {
        a.step(MS * 2, Input::Datagram(&gossip_datagram(2, &own, some, None)));
    }
    assert!(a.timers.len() < 3 * MAX_MEMBERS, "{}", a.timers.len());
    for port in 100..200 {
        a.step(MS * 3, Input::Datagram(&gossip_datagram(port, &id_of(77, 1), &[], None)));
    }
    assert_eq!(a.last_received.len(), 1, "only the peer sent to this incarnation");
}

#[test]
fn metadata_alone_makes_its_member_known_unless_it_left() {
    let mut a = member(1, &[]);
    let own = a.id().clone();
    a.step(MS, Input::Tick);
    for (port, left) in [(8, false), (9, true)] {
        let metadata = MetadataUpdate {
            id: id_of(port, 1),
            number: 1,
            metadata: Metadata { left, ..Metadata::default() },
        };
        a.step(MS * 2, Input::Datagram(&gossip_datagram(2, &own, &[], Some(metadata))));
    }
    a.step(MS * 40, Input::Tick);
    assert_eq!(a.view().by_name("m8").unwrap().state, State::Alive);
    assert!(a.view().by_name("m9").is_none());
}
