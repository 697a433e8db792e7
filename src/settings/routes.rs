//! The section `fleet.routes`: which matchers vote on the fleet's record, and where this one stores the record if
//! it votes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Deserialize;

use super::error::{ConfigError, Problem};
use super::node::Node;
use crate::fleet::clock::Fault;
use crate::fleet::membership::view::MAX_NAME;

/// The keys of the section.
const KEYS: [&str; 4] = ["folder", "listen", "voters", "lab_clock"];
/// How many voters there may be. An even number tolerates no more failures than the number below it. A single voter
/// is for trials.
const VOTERS: [usize; 3] = [1, 3, 5];
/// Rates that a faulty clock may have.
const RATES: std::ops::RangeInclusive<f64> = 0.5..=2.0;

/// A matcher that votes on the fleet's record.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Voter {
    /// The matcher's name.
    pub name: String,
    /// Where this matcher reaches it (TCP).
    pub address: SocketAddr,
}

/// A faulty clock, for the lab only.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct LabClock {
    #[serde(default = "right")]
    rate: f64,
    #[serde(default)]
    step_at_ms: u64,
    #[serde(default)]
    step_ms: i64,
}

fn right() -> f64 {
    1.0
}

/// How a matcher takes part in the fleet's routes.
#[derive(Clone, Debug, PartialEq)]
pub struct Routes {
    /// The folder of the record, and the address of this matcher's socket (TCP); `None` unless this matcher votes.
    pub record: Option<(PathBuf, SocketAddr)>,
    /// The voters: 1, 3 or 5 matchers.
    pub voters: Vec<Voter>,
    /// A faulty clock, for the lab.
    pub clock_fault: Option<Fault>,
}

/// Deserializes the value of a node by serde.
fn read<T: DeserializeOwned>(node: &Node) -> Result<T, ConfigError> {
    let Some(value) = node.value else { return node.error(Problem::Missing) };
    // A value that was parsed as JSON can be written as JSON.
    let text = value.stringify().unwrap_or_default();
    serde_json::from_str(&text).or_else(|e| {
        // The position refers to the text that was written here, and means nothing to an operator.
        let reason = e.to_string();
        node.error(Problem::InvalidSection(reason.split(" at line ").next().unwrap_or_default().into()))
    })
}

impl Routes {
    /// Reads the section, which must be present.
    pub(super) fn read(node: &Node) -> Result<Self, ConfigError> {
        let keys: std::collections::BTreeMap<String, serde::de::IgnoredAny> = read(node)?;
        if let Some(key) = keys.keys().find(|key| !KEYS.contains(&key.as_str())) {
            return Err(ConfigError::new(format!("{}.{key}", node.key), Problem::UnknownKey));
        }
        let list = node.get("voters")?;
        let mut voters: Vec<Voter> = Vec::new();
        for item in list.items()? {
            let voter: Voter = read(&item)?;
            if voter.name.is_empty() || voter.name.len() > MAX_NAME {
                return item.get("name")?.error(Problem::NameLength(MAX_NAME));
            }
            if voter.address.ip().is_unspecified() || voter.address.port() == 0 {
                return item.get("address")?.error(Problem::NotOneAddress);
            }
            if voters.iter().any(|v| v.name == voter.name || v.address == voter.address) {
                return item.error(Problem::NotUnique);
            }
            voters.push(voter);
        }
        if !VOTERS.contains(&voters.len()) {
            return list.error(Problem::Voters(voters.len()));
        }
        let (folder, listen) = (node.get("folder")?, node.get("listen")?);
        let record = match (folder.value, listen.value) {
            (None, None) => None,
            _ => Some((read::<PathBuf>(&folder)?, read::<SocketAddr>(&listen)?)),
        };
        if record.as_ref().is_some_and(|(folder, _)| folder.as_os_str().is_empty()) {
            return folder.error(Problem::Missing);
        }
        let clock = node.get("lab_clock")?;
        let clock_fault = match clock.value.map(|_| read::<LabClock>(&clock)).transpose()? {
            Some(c) if !RATES.contains(&c.rate) => return clock.get("rate")?.error(Problem::Rate),
            Some(c) => Some(Fault {
                rate: c.rate,
                step_at: Duration::from_millis(c.step_at_ms),
                step_ms: c.step_ms.clamp(-60_000, 60_000),
            }),
            None => None,
        };
        Ok(Self { record, voters, clock_fault })
    }

    /// Checks that the section fits the matcher of this name: a voter has a folder and an address, and no other
    /// matcher does.
    pub(super) fn check(&self, name: &str) -> Result<(), ConfigError> {
        let names: BTreeSet<&str> = self.voters.iter().map(|v| v.name.as_str()).collect();
        let error = |key: &str, problem| Err(ConfigError::new(format!("fleet.routes.{key}"), problem));
        match (names.contains(name), &self.record) {
            (true, None) => error("folder", Problem::VoterWithoutRecord),
            (false, Some(_)) => error("folder", Problem::RecordWithoutVoter),
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::node::parse_json;
    use super::*;

    fn section(routes: &str) -> Result<Routes, ConfigError> {
        let json = parse_json("file", &format!(r#"{{"fleet":{{"routes":{routes}}}}}"#))?;
        Routes::read(&Node::root(&json).get("fleet")?.get("routes")?)
    }

    const ONE: &str = r#"[{"name":"m1","address":"127.0.0.1:7947"}]"#;

    #[test]
    fn a_voter_stores_the_record_and_others_do_not() {
        let own = section(&format!(r#"{{"folder":"r","listen":"127.0.0.1:1","voters":{ONE}}}"#)).unwrap();
        assert_eq!((own.voters[0].name.as_str(), own.check("m1")), ("m1", Ok(())));
        assert_eq!(
            own.check("m2").unwrap_err().to_string(),
            "fleet.routes.folder: this matcher is not a voter"
        );
        let other = section(&format!(r#"{{"voters":{ONE}}}"#)).unwrap();
        assert_eq!(other.check("m2"), Ok(()));
        assert_eq!(other.check("m1").unwrap_err().problem, Problem::VoterWithoutRecord);
        let clock = format!(r#"{{"voters":{ONE},"lab_clock":{{"rate":1.5,"step_ms":-20}}}}"#);
        let fault = section(&clock).unwrap().clock_fault.unwrap();
        assert_eq!((fault.rate, fault.step_ms, fault.step_at), (1.5, -20, Duration::ZERO));
    }

    #[test]
    fn each_error_names_its_key() {
        let two = r#"[{"name":"a","address":"127.0.0.1:1"},{"name":"b","address":"127.0.0.1:2"}]"#;
        let all = [
            (r#"{"voters":[]}"#.to_string(), "fleet.routes.voters: names 0 voters"),
            (format!(r#"{{"voters":{two}}}"#), "fleet.routes.voters: names 2 voters"),
            (r#"{"voters":[{"name":"m1"}]}"#.to_string(), "fleet.routes.voters[0]: missing field `address`"),
            (
                r#"{"voters":[{"name":"m1","address":"x"}]}"#.to_string(),
                "fleet.routes.voters[0]: invalid socket address syntax",
            ),
            (
                r#"{"voters":[{"name":"m1","address":"0.0.0.0:1"}]}"#.to_string(),
                "fleet.routes.voters[0].address: must name one address and port",
            ),
            (two.replace("\"b\"", "\"a\""), "fleet.routes.voters[1]: is missing or used twice"),
            (format!(r#"{{"folder":"r","voters":{ONE}}}"#), "fleet.routes.listen: is missing"),
            (
                format!(r#"{{"folder":7,"listen":"127.0.0.1:1","voters":{ONE}}}"#),
                "fleet.routes.folder: invalid",
            ),
            (format!(r#"{{"votes":1,"voters":{ONE}}}"#), "fleet.routes.votes: is not a key"),
            (
                format!(r#"{{"voters":{ONE},"lab_clock":{{"rate":9}}}}"#),
                "fleet.routes.lab_clock.rate: must be 0.5 to 2",
            ),
        ];
        for (text, expected) in all {
            let text = if text.starts_with('[') { format!(r#"{{"voters":{text}}}"#) } else { text };
            let error = section(&text).unwrap_err().to_string();
            assert!(error.starts_with(expected), "{text}: {error}");
        }
    }
}
