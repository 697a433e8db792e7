//! The simulator's adapter as a program, on short transcripts of its input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const OPTIONS: &str = r#"{"servers": 3, "profiles": [{"promise_us": 1000000, "give_up_us": 4000000, "repeat": "idempotent", "worth": 1.0}], "rules": {"answer_slack_us": 60000, "drain_grace_us": 1000000, "fall_multiple": 8.0, "tip_after_us": 2000000}, "specifics": {"cores": 2, "memory_kb": 100000.0, "run_factor": 8.0, "later_key": 1}, "new_part": {}}"#;

fn play(transcript: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hopwalk-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().unwrap().write_all(transcript.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

fn batch(round: u32, at_us: u64, lines: &[String]) -> String {
    format!("mark at_time_us={at_us} round={round}\n{}flush\n", lines.concat())
}

fn configure(who: u32) -> String {
    format!("configure who={who} prng=7 options={OPTIONS}\n")
}

fn submit(who: u32, id: u32) -> String {
    format!("submit who={who} id={id} tier_class=0 not_after_us=4000000 size_kb=20 standing=0.5 odd=1\n")
}

fn output_lines(output: &Output) -> Vec<String> {
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout.clone()).unwrap();
    text.lines().map(str::to_string).collect()
}

#[test]
fn a_request_is_served_and_the_end_of_input_is_a_success() {
    let out = output_lines(&play(&(batch(1, 1_000, &[configure(4)]) + &batch(2, 2_000, &[submit(4, 9)]))));
    assert!(out.contains(&"serve who=4 id=9".to_string()), "{out:?}");
    assert_eq!(out.iter().filter(|l| l.starts_with("ready ")).count(), 2);
}

#[test]
fn instances_behave_the_same_together_and_alone() {
    let both = output_lines(&play(
        &(batch(1, 1_000, &[configure(1), configure(2)]) + &batch(2, 2_000, &[submit(2, 9), submit(1, 8)])),
    ));
    for (who, id) in [(1, 8), (2, 9)] {
        let alone =
            output_lines(&play(&(batch(1, 1_000, &[configure(who)]) + &batch(2, 2_000, &[submit(who, id)]))));
        let from_both: Vec<_> = both.iter().filter(|l| l.contains(&format!("who={who} "))).collect();
        assert_eq!(from_both, alone.iter().filter(|l| l.contains("who=")).collect::<Vec<_>>());
    }
}

#[test]
fn an_instance_that_ends_and_begins_in_one_batch_forgets_its_requests() {
    let again = [submit(1, 8), "down who=1\n".to_string(), configure(1)];
    let out = output_lines(&play(&(batch(1, 1_000, &[configure(1)]) + &batch(2, 2_000, &again))));
    assert!(!out.iter().any(|l| l.contains("id=8")), "{out:?}");
    assert_eq!(out.iter().filter(|l| l.starts_with("status who=1")).count(), 2);
}

#[test]
fn unknown_events_are_skipped() {
    let unknown = "gossip who=1 load=3\n".to_string();
    let out =
        output_lines(&play(&(batch(1, 1_000, &[configure(1)]) + &batch(2, 2_000, &[unknown, submit(1, 8)]))));
    assert!(out.contains(&"serve who=1 id=8".to_string()));
}

#[test]
fn invalid_input_ends_the_adapter_with_one_message() {
    let no_cores = configure(1).replace("\"cores\": 2", "\"cores\": 0");
    let no_classes = configure(1).replace("\"profiles\": [{", "\"profiles\": [], \"unused\": [{");
    let no_json = "configure who=1 options={oops\n".to_string();
    for line in [no_cores, no_classes, no_json, "submit who=1 id=x tier_class=0\n".to_string()] {
        let output = play(&batch(7, 1_000, &[line]));
        let message = String::from_utf8(output.stderr.clone()).unwrap();
        assert!(!output.status.success() && output.stdout.is_empty(), "{output:?}");
        assert!(message.lines().count() == 1 && message.contains("batch 7"), "{message}");
        assert!(message.contains(" (help: "), "{message}");
    }
}

#[test]
fn without_deadlines_a_marked_retry_is_served_and_answered_at_the_client_timeout_of_its_class() {
    let configure = configure(1).replace(
        "\"new_part\": {}",
        "\"clients\": {\"marks_retry\": true}, \"prices\": {\"handshake\": 0.02}, \"report\": {\"how\": \"off\"}",
    );
    let configure = configure.replace(
        "\"later_key\": 1",
        "\"passes_deadline\": false, \"say\": \"bias\", \"preemption\": \"drop\", \"tells_gone\": false",
    );
    let retry =
        "submit who=1 id=8 tier_class=0 size_kb=20 standing=0.5 age_us=0 again_by_client=1\n".to_string();
    let fired = "timeout_fired who=1 name=0 gauge=core_use:0.95,on_cores:2\n".to_string();
    let out = output_lines(&play(
        &(batch(1, 1_000, &[configure])
            + &batch(2, 2_000, &[retry])
            + &batch(3, 3_900_000, std::slice::from_ref(&fired))
            + &batch(4, 3_960_000, &[fired])),
    ));
    let at = |line: &str| out.iter().position(|l| l == line);
    let answered = at("respond_error who=1 id=8");
    assert!(at("serve who=1 id=8").is_some() && answered > at("ready round=3"), "{out:?}");
    assert!(out.iter().any(|l| l.starts_with("stamp who=1 amount=")), "{out:?}");
}
