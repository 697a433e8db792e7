//! Formats errors for operators: the error message, and the help that says what can be done about it.

use miette::Diagnostic;

/// Formats an error as commands print it: the message, and `help: ...` on a second line that is indented by two spaces.
pub fn multi_line(error: &dyn Diagnostic) -> String {
    format_error(error, "\n  help: ", "")
}

/// Formats an error on one line for logs: the message, and `(help: ...)`.
pub fn single_line(error: &dyn Diagnostic) -> String {
    format_error(error, " (help: ", ")")
}

fn format_error(error: &dyn Diagnostic, prefix: &str, suffix: &str) -> String {
    let help = error.help().map(|help| format!("{prefix}{help}{suffix}"));
    format!("{error}{}", help.unwrap_or_default())
}
