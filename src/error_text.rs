//! How an error is told to an operator: what is wrong, and what can be done about it.

use miette::Diagnostic;

/// In two lines, as commands print it: the message, and `help: ...` after two blanks.
pub fn multi_line(error: &dyn Diagnostic) -> String {
    format_error(error, "\n  help: ", "")
}

/// In one line, as logs have it: the message, and `(help: ...)`.
pub fn single_line(error: &dyn Diagnostic) -> String {
    format_error(error, " (help: ", ")")
}

fn format_error(error: &dyn Diagnostic, before: &str, after: &str) -> String {
    let help = error.help().map(|help| format!("{before}{help}{after}"));
    format!("{error}{}", help.unwrap_or_default())
}
