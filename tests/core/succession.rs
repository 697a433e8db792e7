//! Two processes of one server, each with a reducer of its own.

use super::*;

/// An old core with a run and a held try of two keys, and a new one that took over.
fn two_cores() -> (Bench, Bench, [Handle; 2]) {
    let (mut old, mut new) = (Bench::new(), Bench::new());
    let run = old.send(0, "lobby-confirm", Some("run"));
    for n in 0..12 {
        old.send(0, "lobby-confirm", Some(&format!("filler-{n}")));
    }
    let held = old.send(0, "lobby-confirm", Some("held"));
    let begun = old.launches();
    assert!((1..14).contains(&begun), "{begun} begun");
    let effects = old.step(1, [Input::Succession(Succession::HandoverRequested)]);
    let keys = effects.into_iter().find_map(|e| match e {
        Effect::HandOver { keys, standby: false } => Some(keys),
        _ => None,
    });
    let keys = keys.expect("the keys");
    let words = keys.into_iter().map(Succession::Key).chain([Succession::KeysComplete { standby: false }]);
    let listens = new.step(2, words.map(Input::Succession));
    assert!(listens.contains(&Effect::Listen));
    (old, new, [run, held])
}

fn settled(effects: &[Effect], of: &str) -> Option<Input> {
    effects.iter().find_map(|e| match e {
        Effect::KeyResolved { key, ran, result } if &**key == of => {
            let (key, ran, result) = (key.clone(), *ran, result.clone());
            Some(Input::Succession(Succession::KeyResolved { key, ran, result }))
        }
        _ => None,
    })
}

#[test]
fn two_processes_of_a_server_keep_to_one_share_of_calls() {
    // Guards against a shared dependency that falls over in an upgrade: each process took the whole share.
    let json = SITE.replace(r#""next_hop""#, r#""common", "calls_out": 8"#);
    let site = || Site::parse(&json.replace(r#""cores": 6"#, r#""cores": 12"#)).unwrap();
    let calls_out = |bench: &mut Bench, at: u64| {
        for n in 0..10 {
            let handle = bench.send(at, "lobby-confirm", Some(&format!("{at}-{n}")));
            bench.notice(at, Notice::CallNeeded { handle, cursor: at * 100 + n, body: (*b"ask").into() });
        }
        bench.done.iter().filter(|e| matches!(e, Effect::Call { .. })).count()
    };
    let fresh = || {
        let mut bench = Bench::new();
        bench.reload(1, Box::new(site()));
        bench
    };
    let whole = calls_out(&mut fresh(), 10);
    let (mut old, mut new) = (fresh(), fresh());
    old.step(2, [Input::Succession(Succession::HandoverRequested)]);
    new.step(2, [Input::Succession(Succession::PredecessorRunning)]);
    new.step(3, [Input::Succession(Succession::KeysComplete { standby: false })]);
    let half = calls_out(&mut new, 10);
    assert!(half > 0 && 2 * half <= whole, "{half} of {whole}");
    new.step(20, [Input::Succession(Succession::PredecessorExited)]);
    assert_eq!(calls_out(&mut new, 21), whole);
    old.step(20, [Input::Succession(Succession::SuccessorExited)]);
    // Past the window in which the new process may have run keys.
    assert_eq!(calls_out(&mut old, 30_000), whole, "the new process is gone, and the old one serves on");
}

#[test]
fn a_key_that_is_open_in_the_old_process_is_awaited_in_the_new_one_and_runs_once() {
    let (mut old, mut new, [run, _]) = two_cores();
    new.send(3, "lobby-confirm", Some("run"));
    let try_of_run = new.conns;
    new.send(3, "lobby-confirm", Some("held"));
    let try_of_held = new.conns;
    assert_eq!(new.launches(), 0, "their runs are the old process's");
    old.complete(4, run, b"r");
    let word = settled(&old.done, "run").expect("the end of the key");
    new.step(5, [word]);
    assert_eq!(new.answers(try_of_run), [&served(b"r")]);
    // The old process gives the held one up: nothing ran, and the next try runs here.
    old.pass(1600);
    let word = settled(&old.done, "held").expect("the end of the key");
    let turned_away = Verdict::Refused { retry_after: Duration::ZERO, no_retry: false };
    new.step(1400, [word]);
    assert_eq!(new.answers(try_of_held), [&turned_away]);
    new.send(1401, "lobby-confirm", Some("held"));
    assert_eq!(new.launches(), 1);
    new.send(1402, "lobby-confirm", Some("run"));
    assert_eq!(new.answers(new.conns), [&served(b"r")]);
    assert_eq!(new.launches(), 1);
}

#[test]
fn what_is_passed_on_has_one_answer_whatever_becomes_of_the_other_process() {
    // Guards against requests lost with a new process that hangs or goes away, and a second run of their keys.
    let (mut old, ..) = two_cores();
    let mut asks = Vec::new();
    for (at, key) in [(10, None), (10, None), (2000, Some("gone"))] {
        old.pass(at);
        let class = if key.is_some() { "lobby-confirm" } else { "queue-status" };
        old.send(at, class, key);
        assert!(matches!(old.done.last(), Some(Effect::Forward(r)) if r.conn == old.conns));
        asks.push(old.conns);
    }
    let told = Answer { verdict: served(b"x"), signal: Some(0.5), close: false };
    old.step(2001, [Input::Succession(Succession::ForwardedAnswer { conn: asks[0], answer: told })]);
    assert_eq!(old.answers(asks[1]), [&Verdict::Failed], "overdue there");
    old.step(2002, [Input::Succession(Succession::SuccessorExited)]);
    assert_eq!(old.answers(asks[2]), [&Verdict::Failed]);
    let runs = old.done.iter().filter_map(|e| match e {
        Effect::Agent { command: Command::Launch { handle, .. }, .. } => Some(*handle),
        _ => None,
    });
    for run in runs.collect::<Vec<_>>() {
        old.complete(2003, run, b"r");
    }
    let begun = old.launches();
    for (at, key) in [(2003, "gone"), (2004, "unknown"), (16_000, "later")] {
        old.pass(at);
        old.send(at, "lobby-confirm", Some(key));
    }
    assert_eq!(old.launches(), begun + 1, "keys that may have run there wait for their window");
}

#[test]
fn keys_that_an_old_process_took_along_stay_taken() {
    let (_, mut new, _) = two_cores();
    new.send(3, "lobby-confirm", Some("run"));
    let waits = new.conns;
    new.step(4, [Input::Succession(Succession::PredecessorExited)]);
    assert_eq!(new.answers(waits), [&Verdict::Failed]);
    new.send(5, "lobby-confirm", Some("run"));
    assert_eq!(new.launches(), 0);
}

#[test]
fn a_process_whose_successor_is_lost_refuses_until_it_is_gone() {
    let mut bench = Bench::new();
    bench.step(0, [Input::Succession(Succession::HandoverRequested)]);
    let refused = |effects: &[Effect]| {
        let is = |e: &Effect| matches!(e, Effect::Answer { answer, .. } if matches!(answer.verdict, Verdict::Refused { .. }));
        effects.iter().any(is)
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
    // The one that is gone may have run any key.
    let request = bench.request(5, "lobby-confirm", Some("k"));
    assert!(refused(&bench.step(5, [request])));
}

#[test]
fn a_process_that_lacks_keys_gives_up_while_the_one_that_has_them_lives() {
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
fn nothing_with_a_key_is_run_before_the_keys_of_the_process_before_are_there() {
    // Guards against a second run: a request that was meant for another process that took over comes before the keys.
    let mut bench = Bench::new();
    bench.step(5, [Input::Succession(Succession::PredecessorRunning)]);
    let of = bench.send(10, "lobby-confirm", Some("k"));
    assert_eq!(launches_of(&bench.done, of), 0, "another try of it may have run");
}
