//! JSON off files and links, within a depth.
//!
//! The reader underneath calls itself for each list or object that it enters. What reads a link has a stack of
//! 64 KiB, and a line of brackets would overrun it; so a document is measured before it is read.

use miette::Diagnostic;
use thiserror::Error;
use tinyjson::JsonValue;

/// Lists and objects that may be open at once. Nothing that is read here has more than six.
pub const MAX_DEPTH: usize = 32;

/// Why a document is not read.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum JsonError {
    /// Over the bound, and not looked at any further.
    #[error("it is more than {MAX_DEPTH} lists and objects deep")]
    #[diagnostic(help(
        "look for brackets that are never closed: nothing that is read here has over six levels"
    ))]
    TooDeep,
    /// It ends early, or holds what JSON does not know.
    #[error("{place}")]
    #[diagnostic(help("mend the document at this line and column"))]
    Syntax {
        /// Where it stops to be JSON.
        place: String,
    },
}

/// Reads a document.
///
/// # Errors
/// [`JsonError`] where it is none, or is deeper than [`MAX_DEPTH`].
pub fn parse(text: &str) -> Result<JsonValue, JsonError> {
    if depth(text) > MAX_DEPTH {
        return Err(JsonError::TooDeep);
    }
    // The reader shows what it has read so far, in no fixed order and at any length: the place will do.
    let place = |e: tinyjson::JsonParseError| JsonError::Syntax {
        place: e.to_string().split(": ").next().unwrap_or_default().to_string(),
    };
    text.parse().map_err(place)
}

/// The most lists and objects that are open at once, brackets within strings left out. What is no JSON is
/// never deeper for the reader than it is here: it stops at the first mistake.
fn depth(text: &str) -> usize {
    let (mut open, mut most) = (0usize, 0);
    let (mut quoted, mut escaped) = (false, false);
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'[' | b'{' if !quoted => {
                open += 1;
                most = most.max(open);
            }
            b']' | b'}' if !quoted => open = open.saturating_sub(1),
            _ => {}
        }
    }
    most
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_error_tells_the_place_and_not_what_was_read() {
        let text = format!(r#"{{"a":1,"b":"{}",{{"c":1,"d":2}}:1}}"#, "x".repeat(1000));
        let e = parse(&text).unwrap_err().to_string();
        assert!(e.starts_with("Parse error at line:1, col:10") && e.len() < 40, "{e}");
    }

    #[test]
    fn brackets_within_strings_are_no_depth_and_others_are_bounded() {
        let quoted = format!(r#"{{"a":"\"{}"}}"#, "[".repeat(100));
        assert_eq!((depth(&quoted), parse(&quoted).is_ok()), (1, true));
        let nested = |n: usize| "[".repeat(n) + &"]".repeat(n);
        assert!(parse(&nested(MAX_DEPTH)).is_ok());
        // Guards against a line of brackets that overruns the stack of the coroutine that reads it.
        for text in [nested(MAX_DEPTH + 1), "[".repeat(60_000), "{\"a\":".repeat(10_000)] {
            assert_eq!(parse(&text), Err(JsonError::TooDeep));
        }
    }
}
