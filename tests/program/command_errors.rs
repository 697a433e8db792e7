//! The output of commands that fail: an error message and a help line on standard error, and exit code 2.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;

use super::harness::spawn_program;

/// Checks that a command failed; returns its error message and its help line.
fn error_and_help(output: Output) -> (String, String) {
    let message = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{message}");
    let lines: Vec<&str> = message.lines().collect();
    let [error, help] = lines[..] else { panic!("{message}") };
    let (error, help) = (error.strip_prefix("hopwalk: "), help.strip_prefix("  help: "));
    (error.expect(&message).to_string(), help.expect(&message).to_string())
}

/// Writes a temporary file with this text.
fn write_temp_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("hopwalk-command-errors-{}-{name}", std::process::id()));
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
fn a_command_that_cannot_do_its_work_prints_an_error_and_help(
    #[case] args: &str,
    #[case] expected_error: &str,
    #[case] expected_help: &str,
) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hopwalk"));
    let output = command.args(args.split(' ')).env_remove("RELAY_APPLIANCE").output().unwrap();
    let (error, help) = error_and_help(output);
    assert!(error.starts_with(expected_error) && help.contains(expected_help), "{error} / {help}");
}

#[rstest]
#[case::link(r#"{"faults":[{"kind":"cut","at_s":1,"link":"m9-vault"}]}"#, "faults[0].link: ", "m1-vault")]
#[case::json("{\"seed\":\n oops}", "the scenario: Parse error at line:2, ", "lab scenario")]
fn an_invalid_scenario_prints_an_error_and_help(
    #[case] text: &str,
    #[case] expected_error: &str,
    #[case] expected_help: &str,
) {
    let path = write_temp_file(&expected_help.replace(' ', "-"), text);
    let mut command = Command::new(env!("CARGO_BIN_EXE_hopwalk"));
    let output = command.args(["lab", "run"]).arg(&path).output().unwrap();
    std::fs::remove_file(path).unwrap();
    let (error, help) = error_and_help(output);
    assert!(error.starts_with(expected_error) && help.contains(expected_help), "{error} / {help}");
}

#[test]
fn a_start_on_an_address_in_use_prints_an_error_and_help() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let site = include_str!("../../src/lab/site.json");
    let config = format!(r#"{{"name":"n","listen":"{address}","agent":"127.0.0.1:1","settings":{site}}}"#);
    let (child, _dir) = spawn_program(&config, "{}");
    let output = child.wait_with_output().unwrap();
    let message = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{message}");
    let expected = format!(
        "hopwalk: listen: {address}: Address already in use (os error 98)\n  help: check which process"
    );
    assert!(message.contains(&expected), "{message}");
}
