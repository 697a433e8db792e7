//! The [`Status`] of the fleet as one member sees it: written as a JSON document for programs, parsed from it, and
//! formatted as a table for people. There is no I/O in this module.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use miette::Diagnostic;
use thiserror::Error;
use tinyjson::JsonValue;

use super::membership::disagreement::Disagreement;
use super::membership::view::{Id, Metadata, State};
use super::membership::{Counts, Membership};
use super::view_differences;
use crate::json::JsonError;

/// The fleet as one member sees it at one moment.
#[derive(Clone, Debug)]
pub struct Status {
    /// The member that reports, and its metadata.
    pub own: (Id, Metadata),
    /// Its local health score; 0 is healthy.
    pub score: u32,
    /// The other members: identity, state, time since the state was entered, and metadata.
    pub others: Vec<(Id, State, Duration, Metadata)>,
    /// The members whose views differ, and for how long.
    pub disagreements: Vec<(Disagreement, Duration)>,
    /// Links that deliver in one direction only, as (sender, receiver).
    pub one_way: Vec<(SocketAddrV4, SocketAddrV4)>,
    /// The membership's counters.
    pub counts: Counts,
}

impl Status {
    /// Creates the status of `member` at `now`.
    pub fn of(member: &Membership, now: Duration) -> Self {
        let other = |entry: &super::membership::view::MemberEntry| {
            (entry.id.clone(), entry.state, now.saturating_sub(entry.since), entry.metadata())
        };
        Self {
            own: (member.id().clone(), member.metadata().clone()),
            score: member.score(),
            others: member.view().members().map(other).collect(),
            disagreements: member
                .disagreements()
                .into_iter()
                .map(|d| {
                    let since = now.saturating_sub(d.since);
                    (d, since)
                })
                .collect(),
            one_way: member.one_way(),
            counts: member.counts(),
        }
    }

    /// The JSON document that the admin endpoint returns.
    pub fn to_json(&self) -> String {
        let mut members = vec![member(&self.own.0, "self", Duration::ZERO, &self.own.1)];
        members.extend(
            self.others
                .iter()
                .map(|(id, state, since, metadata)| member(id, &state.to_string(), *since, metadata)),
        );
        let counts = named_counts(&self.counts)
            .into_iter()
            .map(|(name, n)| (name.to_string(), JsonValue::Number(n as f64)));
        let json = object([
            ("name", JsonValue::String(self.own.0.name.clone())),
            ("score", JsonValue::Number(f64::from(self.score))),
            ("members", JsonValue::Array(members)),
            ("disagree", view_differences::disagreements(self)),
            ("one_way", view_differences::one_way(self)),
            ("counts", JsonValue::Object(counts.collect())),
        ]);
        // Only non-finite numbers cannot be written, and there are none.
        json.stringify().unwrap_or_default()
    }
}

/// The membership's counters by name.
pub fn named_counts(c: &Counts) -> [(&'static str, u64); 14] {
    [
        ("taken", c.taken),
        ("taken_bytes", c.taken_bytes),
        ("sent", c.sent),
        ("sent_bytes", c.sent_bytes),
        ("foreign", c.foreign),
        ("other_fleet", c.other_fleet),
        ("malformed", c.malformed),
        ("unread", c.unread),
        ("no_room", c.no_room),
        ("no_room_told", c.no_room_told),
        ("own", c.own),
        ("probes_failed", c.probes_failed),
        ("rejoined", c.rejoined),
        ("stopped", c.stopped),
    ]
}

pub(super) fn object<const N: usize>(members: [(&str, JsonValue); N]) -> JsonValue {
    JsonValue::Object(members.into_iter().map(|(key, value)| (key.to_string(), value)).collect())
}

fn member(id: &Id, state: &str, since: Duration, metadata: &Metadata) -> JsonValue {
    object([
        ("name", JsonValue::String(id.name.clone())),
        ("address", JsonValue::String(id.address.to_string())),
        ("incarnation", JsonValue::Number(id.incarnation as f64)),
        ("state", JsonValue::String(state.to_string())),
        ("since_ms", JsonValue::Number(since.as_millis() as f64)),
        ("version", JsonValue::String(metadata.version.clone())),
        ("draining", JsonValue::Boolean(metadata.draining)),
        ("capacity", JsonValue::Number(f64::from(metadata.capacity))),
    ])
}

/// One member of a parsed status document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRow {
    /// The member's name.
    pub name: String,
    /// `self` for the reporting member, else the member's state.
    pub state: String,
    /// The member's address.
    pub address: String,
    /// The member's incarnation number.
    pub incarnation: u64,
    /// How long it has been in this state, in milliseconds.
    pub since_ms: u64,
    /// The version of its program; empty before its first metadata is received.
    pub version: String,
    /// Whether it drains.
    pub draining: bool,
}

/// Why a document from an admin endpoint is not a status document.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum StatusError {
    /// It is not valid JSON.
    #[error("the document is not valid JSON: {error}")]
    #[diagnostic(help("check that --admin names the admin endpoint of a matcher"))]
    Json {
        /// The error of the JSON parser.
        error: JsonError,
    },
    /// A part of it is missing or has the wrong type.
    #[error("{place}: expected {kind}")]
    #[diagnostic(help(
        "this matcher may run another version of the program: use that version's command line"
    ))]
    Shape {
        /// The part of the document.
        place: String,
        /// The expected type.
        kind: &'static str,
    },
}

type Fields = HashMap<String, JsonValue>;

fn shape_error(place: impl Into<String>, kind: &'static str) -> StatusError {
    StatusError::Shape { place: place.into(), kind }
}

fn parse_object(json: &str) -> Result<Fields, StatusError> {
    let json = crate::json::parse(json).map_err(|error| StatusError::Json { error })?;
    json.get::<Fields>().cloned().ok_or_else(|| shape_error("the answer", "object"))
}

/// Parses the members of a status document.
///
/// # Errors
/// [`StatusError`] if the document is invalid, with the invalid part.
pub fn parse_members(json: &str) -> Result<Vec<MemberRow>, StatusError> {
    let document = parse_object(json)?;
    let Some(JsonValue::Array(members)) = document.get("members") else {
        return Err(shape_error("members", "list"));
    };
    let row = |(at, member): (usize, &JsonValue)| {
        let m: &Fields = member.get().ok_or_else(|| shape_error(format!("members[{at}]"), "object"))?;
        let text = |key: &str| match m.get(key) {
            Some(JsonValue::String(text)) => Ok(text.clone()),
            _ => Err(shape_error(format!("members[{at}].{key}"), "text")),
        };
        let number = |key: &str| match m.get(key) {
            Some(JsonValue::Number(n)) if *n >= 0.0 => Ok(*n as u64),
            _ => Err(shape_error(format!("members[{at}].{key}"), "number")),
        };
        Ok(MemberRow {
            name: text("name")?,
            state: text("state")?,
            address: text("address")?,
            incarnation: number("incarnation")?,
            since_ms: number("since_ms")?,
            version: text("version")?,
            draining: m.get("draining") == Some(&JsonValue::Boolean(true)),
        })
    };
    members.iter().enumerate().map(row).collect()
}

/// Formats the counters of a status document as `name=number`, sorted by name.
///
/// # Errors
/// [`StatusError`] if there are none.
pub fn format_counts(json: &str) -> Result<String, StatusError> {
    let document = parse_object(json)?;
    let Some(JsonValue::Object(counts)) = document.get("counts") else {
        return Err(shape_error("counts", "object"));
    };
    let mut all: Vec<_> = counts
        .iter()
        .filter_map(|(name, n)| n.get::<f64>().map(|n| format!("{name}={}", *n as u64)))
        .collect();
    all.sort();
    Ok(all.join(" "))
}

/// Formats the members as a table for people.
pub fn format_table(rows: &[MemberRow]) -> String {
    let mut out = format!(
        "{:<12} {:<8} {:<22} {:>14}  {:<8} {:<8} incarnation\n",
        "name", "state", "address", "for", "version", ""
    );
    for r in rows {
        let since =
            if r.state == "self" { String::new() } else { format!("{:.1} s", r.since_ms as f64 / 1000.0) };
        let draining = if r.draining { "draining" } else { "" };
        out += &format!(
            "{:<12} {:<8} {:<22} {since:>14}  {:<8} {draining:<8} {}\n",
            r.name, r.state, r.address, r.version, r.incarnation
        );
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn status_documents_round_trip() {
        let id =
            Id { address: "127.0.0.1:7".parse().unwrap(), incarnation: 1_700_000_000_123, name: "m1".into() };
        let metadata = Metadata { version: "1.0".into(), draining: true, ..Metadata::default() };
        let other = (
            Id { name: "m\"2".into(), ..id.clone() },
            State::Suspect,
            Duration::from_millis(1500),
            metadata.clone(),
        );
        let status = Status {
            own: (id, metadata),
            score: 1,
            others: vec![other],
            disagreements: Vec::new(),
            one_way: Vec::new(),
            counts: Counts::default(),
        };
        let rows = parse_members(&status.to_json()).unwrap();
        assert_eq!((rows[0].state.as_str(), rows[0].incarnation), ("self", 1_700_000_000_123));
        assert_eq!(
            (rows[1].name.as_str(), rows[1].state.as_str(), rows[1].since_ms),
            ("m\"2", "suspect", 1500)
        );
        assert!(rows[1].draining && format_table(&rows).lines().count() == 3);
    }

    #[test]
    fn errors_name_the_invalid_part_of_a_document() {
        assert!(parse_members("{}").unwrap_err().to_string().contains("members"));
        assert!(parse_members(r#"{"members":[{"name":"x"}]}"#)
            .unwrap_err()
            .to_string()
            .contains("members[0].state"));
    }
}
