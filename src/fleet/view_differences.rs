//! Differences between the views of members, as JSON for the admin endpoint and as lines for people. There is no I/O in
//! this module.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use tinyjson::JsonValue;

use super::membership::view::State;
use super::status::{object, Status};

fn text(text: impl ToString) -> JsonValue {
    JsonValue::String(text.to_string())
}

/// The name of a member, or its address if the name is not known.
fn name(status: &Status, address: SocketAddrV4) -> JsonValue {
    let known = status.others.iter().map(|(id, ..)| id).chain([&status.own.0]);
    let known = known.into_iter().find(|id| id.address == address);
    known.map_or_else(|| text(address), |id| text(&id.name))
}

/// The members that disagree: `with`, `for_ms`, and `about`, a list of `member`, its state in the other view (`thinks`)
/// and in the own view (`here`).
pub(super) fn disagreements(status: &Status) -> JsonValue {
    let state = |state: Option<State>| state.map_or_else(|| text("unknown"), text);
    let one = |(d, since): &(super::membership::disagreement::Disagreement, std::time::Duration)| {
        let about = d.about.iter().map(|(address, theirs, ours)| {
            object([("member", name(status, *address)), ("thinks", state(*theirs)), ("here", state(*ours))])
        });
        object([
            ("with", text(&d.with.name)),
            ("for_ms", JsonValue::Number(since.as_millis() as f64)),
            ("about", JsonValue::Array(about.collect())),
        ])
    };
    JsonValue::Array(status.disagreements.iter().map(one).collect())
}

/// Links that deliver in one direction only: `to` receives nothing from `from`.
pub(super) fn one_way(status: &Status) -> JsonValue {
    let one = |(from, to): &(SocketAddrV4, SocketAddrV4)| {
        object([("from", name(status, *from)), ("to", name(status, *to))])
    };
    JsonValue::Array(status.one_way.iter().map(one).collect())
}

/// Formats the differences in a status document as lines for people. A document of an older version has none.
pub fn lines(document: &str) -> Vec<String> {
    let Ok(json) = crate::json::parse(document) else { return Vec::new() };
    let list = |json: &JsonValue, key: &str| -> Vec<HashMap<String, JsonValue>> {
        let object = json.get::<HashMap<String, JsonValue>>();
        let Some(JsonValue::Array(list)) = object.and_then(|o| o.get(key)) else { return Vec::new() };
        list.iter().filter_map(|one| one.get().cloned()).collect()
    };
    let text_of = |object: &HashMap<String, JsonValue>, key: &str| {
        object.get(key).and_then(|v| v.get::<String>()).cloned().unwrap_or_default()
    };
    let mut lines = Vec::new();
    for one in list(&json, "disagree") {
        let seconds = one.get("for_ms").and_then(|v| v.get::<f64>()).unwrap_or(&0.0) / 1000.0;
        let with = text_of(&one, "with");
        let about = list(&JsonValue::Object(one), "about");
        let about = about.iter().map(|a| {
            format!("{} ({} there, {} here)", text_of(a, "member"), text_of(a, "thinks"), text_of(a, "here"))
        });
        let about: Vec<_> = about.collect();
        let about = if about.is_empty() {
            "incarnations that it does not list".to_string()
        } else {
            about.join(", ")
        };
        lines.push(format!("{with} disagrees for {seconds:.1} s about {about}"));
    }
    for link in list(&json, "one_way") {
        lines.push(format!(
            "{} does not reach {}, but receives its datagrams",
            text_of(&link, "from"),
            text_of(&link, "to")
        ));
    }
    lines
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::super::membership::disagreement::Disagreement;
    use super::super::membership::view::{Id, Metadata};
    use super::super::membership::Counts;
    use super::*;

    #[test]
    fn differences_are_reported_by_name_and_formatted_as_lines() {
        let at = |n: u16| SocketAddrV4::new([127, 0, 0, 1].into(), n);
        let id = |n| Id { address: at(n), incarnation: 1, name: format!("m{n}") };
        let with = Disagreement {
            with: id(2),
            since: Duration::ZERO,
            about: vec![(at(1), Some(State::Down), Some(State::Alive)), (at(9), Some(State::Alive), None)],
        };
        let status = Status {
            own: (id(1), Metadata::default()),
            score: 0,
            others: vec![(id(2), State::Alive, Duration::ZERO, Metadata::default())],
            disagreements: vec![(with, Duration::from_millis(1500))],
            one_way: vec![(at(2), at(1))],
            counts: Counts::default(),
        };
        assert_eq!(
            lines(&status.to_json()),
            [
                "m2 disagrees for 1.5 s about m1 (down there, alive here), 127.0.0.1:9 (alive there, unknown here)",
                "m2 does not reach m1, but receives its datagrams"
            ]
        );
        assert!(lines("{}").is_empty() && lines("no").is_empty());
    }
}
