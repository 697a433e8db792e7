//! What stands on standard error where a command cannot do its work: the message, its help, and the exit code 2.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;

use super::harness::spawn_program;

/// The two lines of an output that says no.
fn told(output: Output) -> (String, String) {
    let message = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{message}");
    let lines: Vec<&str> = message.lines().collect();
    let [said, help] = lines[..] else { panic!("{message}") };
    let (said, help) = (said.strip_prefix("hopwalk: "), help.strip_prefix("  help: "));
    (said.expect(&message).to_string(), help.expect(&message).to_string())
}

/// A file of this test, with this text.
fn write_temp_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("hopwalk-told-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

#[rstest]
#[case::option("lab swim --loss 2", "--loss: ", "such as 0.05")]
#[case::members("lab swim --members 1", "--members: ", "within these bounds")]
#[case::rate("lab switches --rate 0", "--rate: ", "requests a second")]
#[case::scenario("lab run /no/such.json", "/no/such.json: No such file", "lab scenario")]
#[case::history("lab check /no/such.jsonl", "/no/such.jsonl: No such file", "the history's path")]
#[case::report("lab report /no/such.jsonl", "/no/such.jsonl: No such file", "the history's path")]
#[case::console("console --socket /no/such.sock status", "/no/such.sock: No such file", "console.socket")]
#[case::no_console("console status", "console.socket: is not set", "--socket PATH")]
#[case::fleet("fleet routes propose /no/such.json --admin 127.0.0.1:1", "/no/such.json: ", "may read it")]
fn a_command_that_cannot_be_carried_out(#[case] words: &str, #[case] says: &str, #[case] helps: &str) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hopwalk"));
    let output = command.args(words.split(' ')).env_remove("RELAY_APPLIANCE").output().unwrap();
    let (said, help) = told(output);
    assert!(said.starts_with(says) && help.contains(helps), "{said} / {help}");
}

#[rstest]
#[case::link(r#"{"faults":[{"kind":"cut","at_s":1,"link":"m9-vault"}]}"#, "faults[0].link: ", "m1-vault")]
#[case::json("{\"seed\":\n oops}", "the scenario: Parse error at line:2, ", "lab scenario")]
fn a_scenario_that_cannot_be_played(#[case] text: &str, #[case] says: &str, #[case] helps: &str) {
    let path = write_temp_file(&helps.replace(' ', "-"), text);
    let mut command = Command::new(env!("CARGO_BIN_EXE_hopwalk"));
    let output = command.args(["lab", "run"]).arg(&path).output().unwrap();
    std::fs::remove_file(path).unwrap();
    let (said, help) = told(output);
    assert!(said.starts_with(says) && help.contains(helps), "{said} / {help}");
}

#[test]
fn a_start_whose_address_is_taken() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = taken.local_addr().unwrap();
    let site = include_str!("../../src/lab/site.json");
    let config = format!(r#"{{"name":"n","listen":"{at}","agent":"127.0.0.1:1","settings":{site}}}"#);
    let (child, _dir) = spawn_program(&config, "{}");
    let output = child.wait_with_output().unwrap();
    let message = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{message}");
    let expected =
        format!("hopwalk: listen: {at}: Address already in use (os error 98)\n  help: look who has");
    assert!(message.contains(&expected), "{message}");
}
