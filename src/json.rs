//! Parses JSON documents from files and connections, with a limit on how deep they nest.
//!
//! The parser of `tinyjson` recurses into each array and object. The coroutines that read connections have a stack of
//! 64 KiB, which a line of opening brackets would overflow. [`parse`] therefore checks the depth of a document before
//! it parses it.

use std::collections::HashMap;
use std::fmt;

use miette::Diagnostic;
use serde::de::{Deserialize, Deserializer, Error as _, MapAccess, Visitor};
use serde_json::Value;
use thiserror::Error;
use tinyjson::JsonValue;

/// Arrays and objects that may be open at once. The documents that the server reads nest six levels at most.
pub const MAX_DEPTH: usize = 32;

/// Why a document could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum JsonError {
    /// The document nests deeper than [`MAX_DEPTH`]. It is not parsed.
    #[error("the document nests more than {MAX_DEPTH} arrays and objects")]
    #[diagnostic(help("look for brackets that are never closed: valid input here has six levels at most"))]
    TooDeep,
    /// The document is incomplete or is not valid JSON.
    #[error("{place}")]
    #[diagnostic(help("correct the document at this line and column"))]
    Syntax {
        /// Line and column of the first syntax error, in the words of the parser.
        place: String,
    },
}

/// Why a document is not an object whose members stand there once each.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum MembersError {
    /// The document could not be parsed.
    #[error("{0}")]
    #[diagnostic(help("the peer must write one JSON object a line: check its version and its address"))]
    Json(#[from] JsonError),
    /// The document is another value, or a name stands twice in it.
    #[error("the value is not an object, or a member stands twice (col:{column})")]
    #[diagnostic(help(
        "readers disagree about which copy counts: correct the program that writes this line"
    ))]
    NotAnObject {
        /// Where this was found, counted from 1.
        column: usize,
    },
}

/// Parses a document.
///
/// # Errors
/// [`JsonError`] if the document is not valid JSON or nests deeper than [`MAX_DEPTH`].
pub fn parse(text: &str) -> Result<JsonValue, JsonError> {
    if depth(text) > MAX_DEPTH {
        return Err(JsonError::TooDeep);
    }
    // The parser's message also contains what was parsed so far, in no fixed order and of any length. Only the position
    // is kept.
    let place = |e: tinyjson::JsonParseError| JsonError::Syntax {
        place: e.to_string().split(": ").next().unwrap_or_default().to_string(),
    };
    text.parse().map_err(place)
}

/// The members of an object, each of which stands there once.
#[derive(Debug)]
pub struct Members(HashMap<String, Value>);

impl Members {
    /// The value of a member.
    pub fn get(&self, name: &str) -> Option<&Value> {
        self.0.get(name)
    }
}

impl<'de> Deserialize<'de> for Members {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct MembersVisitor;

        impl<'de> Visitor<'de> for MembersVisitor {
            type Value = Members;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut object: A) -> Result<Members, A::Error> {
                let mut members = HashMap::new();
                while let Some((name, value)) = object.next_entry::<String, Value>()? {
                    if members.insert(name, value).is_some() {
                        return Err(A::Error::custom("a member stands twice"));
                    }
                }
                Ok(Members(members))
            }
        }

        deserializer.deserialize_map(MembersVisitor)
    }
}

/// Parses a document that is an object, and rejects one in which a member stands twice: readers disagree about which of
/// its values counts.
///
/// # Errors
/// [`MembersError`] if the document is not valid JSON, nests deeper than [`MAX_DEPTH`], or is not such an object.
pub fn parse_members(text: &str) -> Result<Members, MembersError> {
    if depth(text) > MAX_DEPTH {
        return Err(JsonError::TooDeep.into());
    }
    serde_json::from_str(text).map_err(|e| match e.is_data() {
        true => MembersError::NotAnObject { column: e.column() },
        false => {
            let place = format!("Parse error at line:{}, col:{}", e.line(), e.column());
            JsonError::Syntax { place }.into()
        }
    })
}

/// Returns the greatest number of arrays and objects that are open at once, ignoring brackets within strings. For
/// invalid JSON, the parser never recurses deeper than this, because it stops at the first syntax error.
fn depth(text: &str) -> usize {
    let (mut open, mut max_open) = (0usize, 0);
    let (mut in_string, mut escaped) = (false, false);
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => {
                open += 1;
                max_open = max_open.max(open);
            }
            b']' | b'}' if !in_string => open = open.saturating_sub(1),
            _ => {}
        }
    }
    max_open
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_syntax_error_contains_the_position_and_not_the_parsed_values() {
        let text = format!(r#"{{"a":1,"b":"{}",{{"c":1,"d":2}}:1}}"#, "x".repeat(1000));
        let e = parse(&text).unwrap_err().to_string();
        assert!(e.starts_with("Parse error at line:1, col:10") && e.len() < 40, "{e}");
    }

    #[test]
    fn depth_is_limited_and_ignores_brackets_within_strings() {
        let quoted = format!(r#"{{"a":"\"{}"}}"#, "[".repeat(100));
        assert_eq!((depth(&quoted), parse(&quoted).is_ok()), (1, true));
        let nested = |n: usize| "[".repeat(n) + &"]".repeat(n);
        assert!(parse(&nested(MAX_DEPTH)).is_ok());
        // Guards against a line of brackets that overflows the stack of the coroutine that reads it.
        for text in [nested(MAX_DEPTH + 1), "[".repeat(60_000), "{\"a\":".repeat(10_000)] {
            assert_eq!(parse(&text), Err(JsonError::TooDeep));
        }
    }
}
