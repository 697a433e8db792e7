//! What a member tells of the fleet: a document for programs, and a table for people. No I/O.

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
    /// Who looks, and what it says of itself.
    pub own: (Id, Metadata),
    /// Its local health score; 0 is well.
    pub score: u32,
    /// The others: who, what is thought of each, for how long, and what it said.
    pub others: Vec<(Id, State, Duration, Metadata)>,
    /// Who sees the fleet otherwise, and for how long.
    pub disagreements: Vec<(Disagreement, Duration)>,
    /// Links that work one way only.
    pub one_way: Vec<(SocketAddrV4, SocketAddrV4)>,
    /// What was counted.
    pub counts: Counts,
}

impl Status {
    /// Of a member at `now`.
    pub fn of(member: &Membership, now: Duration) -> Self {
        let other = |seen: &super::membership::view::MemberEntry| {
            (seen.id.clone(), seen.state, now.saturating_sub(seen.since), seen.metadata())
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

    /// As the operators' door hands it out.
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
        // Only numbers that are not finite cannot be written, and there are none.
        json.stringify().unwrap_or_default()
    }
}

/// What the membership counted, by name.
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

/// One row of a status that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRow {
    /// The member's name.
    pub name: String,
    /// `self`, or what is thought of it.
    pub state: String,
    /// Where it is reached.
    pub address: String,
    /// Which life it is.
    pub incarnation: u64,
    /// For how long it has been in this state.
    pub since_ms: u64,
    /// The version of its program; empty before its first note came.
    pub version: String,
    /// It drains.
    pub draining: bool,
}

/// Why what a door handed out is no status.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum StatusError {
    /// It cannot be read at all.
    #[error("no document in JSON: {error}")]
    #[diagnostic(help("check that --admin names the operators' door of a matcher"))]
    Json {
        /// What the reader says.
        error: JsonError,
    },
    /// A part of it is missing, or is not what it should be.
    #[error("{place}: is no {kind}")]
    #[diagnostic(help("this matcher may run another version of the program: ask it with that one"))]
    Shape {
        /// Where.
        place: String,
        /// What should be there.
        kind: &'static str,
    },
}

type Fields = HashMap<String, JsonValue>;

fn shape(place: impl Into<String>, kind: &'static str) -> StatusError {
    StatusError::Shape { place: place.into(), kind }
}

fn top(json: &str) -> Result<Fields, StatusError> {
    let json = crate::json::parse(json).map_err(|error| StatusError::Json { error })?;
    json.get::<Fields>().cloned().ok_or_else(|| shape("the answer", "object"))
}

/// Reads the members out of the door's document.
///
/// # Errors
/// [`StatusError`] where it is none, naming the place.
pub fn parse_members(json: &str) -> Result<Vec<MemberRow>, StatusError> {
    let top = top(json)?;
    let Some(JsonValue::Array(members)) = top.get("members") else { return Err(shape("members", "list")) };
    let row = |(at, member): (usize, &JsonValue)| {
        let m: &Fields = member.get().ok_or_else(|| shape(format!("members[{at}]"), "object"))?;
        let text = |key: &str| match m.get(key) {
            Some(JsonValue::String(text)) => Ok(text.clone()),
            _ => Err(shape(format!("members[{at}].{key}"), "text")),
        };
        let number = |key: &str| match m.get(key) {
            Some(JsonValue::Number(n)) if *n >= 0.0 => Ok(*n as u64),
            _ => Err(shape(format!("members[{at}].{key}"), "number")),
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

/// The counts of the door's document, as `name=number`, by name.
///
/// # Errors
/// [`StatusError`] where there are none.
pub fn format_counts(json: &str) -> Result<String, StatusError> {
    let top = top(json)?;
    let Some(JsonValue::Object(counts)) = top.get("counts") else { return Err(shape("counts", "object")) };
    let mut all: Vec<_> = counts
        .iter()
        .filter_map(|(name, n)| n.get::<f64>().map(|n| format!("{name}={}", *n as u64)))
        .collect();
    all.sort();
    Ok(all.join(" "))
}

/// A table for people.
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
    fn what_the_door_says_reads_back() {
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
    fn what_is_no_status_is_an_error_that_names_it() {
        assert!(parse_members("{}").unwrap_err().to_string().contains("members"));
        assert!(parse_members(r#"{"members":[{"name":"x"}]}"#)
            .unwrap_err()
            .to_string()
            .contains("members[0].state"));
    }
}
