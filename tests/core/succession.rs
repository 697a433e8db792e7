//! Predecessor and successor of one matcher, each with a reducer of its own.

use super::*;

/// A predecessor with one running and one held try, of different keys, and a successor that has taken over.
fn after_handover() -> (Bench, Bench, [Handle; 2]) {
    let (mut old, mut new) = (Bench::new(), Bench::new());
    let run = old.send(0, "lobby-confirm", Some("run"));
    for n in 0..12 {
        old.send(0, "lobby-confirm", Some(&format!("filler-{n}")));
    }
    let held = old.send(0, "lobby-confirm", Some("held"));
    let launched = old.launches();
    assert!((1..14).contains(&launched), "{launched} launched");
    let effects = old.step(1, [Input::Succession(Succession::HandoverRequested)]);
    let keys = effects.into_iter().find_map(|e| match e {
        Effect::HandOver { keys, standby: false, .. } => Some(keys),
        _ => None,
    });
    let keys = keys.expect("the keys");
    let messages = keys.into_iter().map(Succession::Key).chain([Succession::KeysComplete { standby: false }]);
    let listens = new.step(2, messages.map(Input::Succession));
    assert!(listens.contains(&Effect::Listen));
    (old, new, [run, held])
}

fn key_report(effects: &[Effect], wanted_key: &str) -> Option<Input> {
    effects.iter().find_map(|e| match e {
        Effect::KeyResolved { key, ran, result } if &**key == wanted_key => {
            let (key, ran, result) = (key.clone(), *ran, result.clone());
            Some(Input::Succession(Succession::KeyResolved { key, ran, result }))
        }
        _ => None,
    })
}

#[test]
fn two_processes_of_a_matcher_keep_to_one_share_of_calls() {
    // Guards against overloading a shared dependency in an upgrade: each process used the matcher's whole share.
    let json = SITE.replace(r#""next_hop""#, r#""common", "calls_out": 8"#);
    let site = || Site::parse(&json.replace(r#""cores": 6"#, r#""cores": 12"#)).unwrap();
    let calls_made = |bench: &mut Bench, at: u64| {
        for n in 0..10 {
            let handle = bench.send(at, "lobby-confirm", Some(&format!("{at}-{n}")));
            bench.notice(at, Notice::CallNeeded { handle, cursor: at * 100 + n, body: (*b"ask").into() });
        }
        bench.effects.iter().filter(|e| matches!(e, Effect::Call { .. })).count()
    };
    let fresh = || {
        let mut bench = Bench::new();
        bench.reload(1, Box::new(site()));
        bench
    };
    let whole = calls_made(&mut fresh(), 10);
    let (mut old, mut new) = (fresh(), fresh());
    old.step(2, [Input::Succession(Succession::HandoverRequested)]);
    new.step(2, [Input::Succession(Succession::PredecessorRunning)]);
    new.step(3, [Input::Succession(Succession::KeysComplete { standby: false })]);
    let half = calls_made(&mut new, 10);
    assert!(half > 0 && 2 * half <= whole, "{half} of {whole}");
    new.step(20, [Input::Succession(Succession::PredecessorExited)]);
    assert_eq!(calls_made(&mut new, 21), whole);
    old.step(20, [Input::Succession(Succession::SuccessorExited)]);
    // After the window in which the successor may have run keys.
    assert_eq!(
        calls_made(&mut old, 30_000),
        whole,
        "the successor has ended, and the predecessor goes on serving"
    );
}

#[test]
fn a_key_that_is_open_in_the_predecessor_is_awaited_in_the_successor_and_runs_once() {
    let (mut old, mut new, [run, _]) = after_handover();
    new.send(3, "lobby-confirm", Some("run"));
    let try_of_run = new.conns;
    new.send(3, "lobby-confirm", Some("held"));
    let try_of_held = new.conns;
    assert_eq!(new.launches(), 0, "the predecessor owns their runs");
    old.complete(4, run, b"r");
    let report = key_report(&old.effects, "run").expect("the end of the key");
    new.step(5, [report]);
    assert_eq!(new.answers(try_of_run), [&served(b"r")]);
    // The predecessor answers the held try without a run, so the next try runs in the successor.
    old.advance_to(1600);
    let report = key_report(&old.effects, "held").expect("the end of the key");
    let refusal = Verdict::Refused { retry_after: Duration::ZERO, no_retry: false };
    new.step(1400, [report]);
    assert_eq!(new.answers(try_of_held), [&refusal]);
    new.send(1401, "lobby-confirm", Some("held"));
    assert_eq!(new.launches(), 1);
    new.send(1402, "lobby-confirm", Some("run"));
    assert_eq!(new.answers(new.conns), [&served(b"r")]);
    assert_eq!(new.launches(), 1);
}

#[test]
fn a_forwarded_request_gets_one_answer_whatever_happens_to_the_successor() {
    // Guards against losing requests with a successor that hangs or ends, and against a second run of their keys.
    let (mut old, ..) = after_handover();
    let mut forwarded = Vec::new();
    for (at, key) in [(10, None), (10, None), (2000, Some("gone"))] {
        old.advance_to(at);
        let class = if key.is_some() { "lobby-confirm" } else { "queue-status" };
        old.send(at, class, key);
        assert!(matches!(old.effects.last(), Some(Effect::Forward(r)) if r.conn == old.conns));
        forwarded.push(old.conns);
    }
    let served_there = Answer { verdict: served(b"x"), signal: Some(0.5), close: false };
    old.step(
        2001,
        [Input::Succession(Succession::ForwardedAnswer { conn: forwarded[0], answer: served_there })],
    );
    assert_eq!(old.answers(forwarded[1]), [&Verdict::Failed], "the successor did not answer in time");
    old.step(2002, [Input::Succession(Succession::SuccessorExited)]);
    assert_eq!(old.answers(forwarded[2]), [&Verdict::Failed]);
    let runs = old.effects.iter().filter_map(|e| match e {
        Effect::Agent { command: Command::Launch { handle, .. }, .. } => Some(*handle),
        _ => None,
    });
    for run in runs.collect::<Vec<_>>() {
        old.complete(2003, run, b"r");
    }
    let launched = old.launches();
    for (at, key) in [(2003, "gone"), (2004, "unknown"), (16_000, "later")] {
        old.advance_to(at);
        old.send(at, "lobby-confirm", Some(key));
    }
    assert_eq!(
        old.launches(),
        launched + 1,
        "keys that the successor may have run are refused until their window ends"
    );
}

#[test]
fn keys_whose_runs_a_predecessor_never_reported_do_not_run_again() {
    let (_, mut new, _) = after_handover();
    new.send(3, "lobby-confirm", Some("run"));
    let waiting = new.conns;
    new.step(4, [Input::Succession(Succession::PredecessorExited)]);
    assert_eq!(new.answers(waiting), [&Verdict::Failed]);
    new.send(5, "lobby-confirm", Some("run"));
    assert_eq!(new.launches(), 0);
}

#[test]
fn a_process_that_lost_the_link_to_its_successor_refuses_requests_until_the_successor_ends() {
    let mut bench = Bench::new();
    bench.step(0, [Input::Succession(Succession::HandoverRequested)]);
    let refused = |effects: &[Effect]| {
        let is_refusal = |e: &Effect| matches!(e, Effect::Answer { answer, .. } if matches!(answer.verdict, Verdict::Refused { .. }));
        effects.iter().any(is_refusal)
    };
    bench.step(1, [Input::Succession(Succession::SuccessorDisconnected)]);
    let request = bench.request(2, "queue-status", None);
    assert!(refused(&bench.step(2, [request])));
    bench.step(3, [Input::Succession(Succession::SuccessorExited)]);
    let request = bench.request(4, "queue-status", None);
    let effects = bench.step(4, [request]);
    assert!(
        effects.iter().any(|e| matches!(e, Effect::Agent { command: Command::Launch { .. }, .. })),
        "{effects:?}"
    );
    // The successor that ended may have run any key.
    let request = bench.request(5, "lobby-confirm", Some("k"));
    assert!(refused(&bench.step(5, [request])));
}

#[test]
fn a_process_without_all_keys_aborts_the_takeover_while_its_predecessor_lives() {
    let mut bench = Bench::new();
    assert!(bench
        .step(0, [Input::Succession(Succession::PredecessorDisconnected)])
        .contains(&Effect::AbortTakeover));
    let mut bench = Bench::new();
    bench.step(0, [Input::Succession(Succession::KeysComplete { standby: false })]);
    assert!(!bench
        .step(1, [Input::Succession(Succession::PredecessorDisconnected)])
        .contains(&Effect::AbortTakeover));
}

#[test]
fn no_request_with_a_key_is_run_before_the_keys_of_the_predecessor_are_received() {
    // Guards against a second run: a request that was meant for another successor arrives before the keys.
    let mut bench = Bench::new();
    bench.step(5, [Input::Succession(Succession::PredecessorRunning)]);
    let run = bench.send(10, "lobby-confirm", Some("k"));
    assert_eq!(launches_of(&bench.effects, run), 0, "the predecessor may have run another try of it");
}

#[test]
fn a_standby_order_is_passed_on_to_the_other_process_and_not_back() {
    // Guards against two processes that pass an order to and fro without end.
    let (mut old, mut new, _) = after_handover();
    let shared = |effects: Vec<Effect>| {
        effects.into_iter().find_map(|e| match e {
            Effect::ShareStandby { standby, with, ticket } => Some((standby, with, ticket)),
            _ => None,
        })
    };
    let order = |standby| Input::Standby { standby, ticket: 7 };
    let told = |by, standby| Input::Succession(Succession::StandbyChanged { by, standby });
    assert_eq!(shared(old.step(10, [order(true)])), Some((true, vec![Peer::Successor], Some(7))));
    assert_eq!(shared(new.step(10, [told(Peer::Predecessor, true)])), Some((true, vec![], None)));
    assert_eq!(shared(new.step(11, [order(false)])), Some((false, vec![Peer::Predecessor], Some(7))));
    assert_eq!(shared(old.step(11, [told(Peer::Successor, false)])), Some((false, vec![], None)));
    for bench in [&mut old, &mut new] {
        let effects = bench.step(12, [Input::HealthCheck { conn: 900, deep: false }]);
        assert!(!effects.is_empty());
        assert_eq!(bench.answers(900), [&Verdict::Healthy]);
    }
}

#[rstest]
#[case::the_other_one_has_ended(Succession::PredecessorExited, true)]
#[case::the_other_one_lives_on(Succession::PredecessorDisconnected, false)]
fn a_standby_order_that_meets_the_end_of_the_other_process_is_answered_when_that_is_certain(
    #[case] end: Succession,
    #[case] is_shared: bool,
) {
    // Guards against an order that is refused in the instant between the other process's end and the notice of it.
    let outcomes = |effects: Vec<Effect>| -> Vec<Effect> {
        effects.into_iter().filter(|e| matches!(e, Effect::StandbyOutcome { .. })).collect()
    };
    let not_sent = |ticket| Input::StandbyNotSent { peer: Peer::Predecessor, ticket };
    let outcome = |ticket| Effect::StandbyOutcome { ticket, is_shared };
    let (_, mut new, _) = after_handover();
    assert_eq!(outcomes(new.step(10, [Input::Standby { standby: true, ticket: 7 }])), []);
    assert_eq!(outcomes(new.step(10, [not_sent(7)])), []);
    assert_eq!(outcomes(new.step(20, [Input::Succession(end.clone())])), [outcome(7)]);
    // The report may also come behind the notice of the end.
    assert_eq!(outcomes(new.step(21, [not_sent(8)])), [outcome(8)]);
    assert_eq!(outcomes(new.step(30, [Input::Succession(end)])), []);
}
