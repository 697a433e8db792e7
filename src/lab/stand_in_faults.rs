//! What a scenario asks of the stand-ins, and of the machine, beside the faults of the net.

pub use super::busy::MOST_BUSY;
use super::scenario::{number, Object};
use super::scenario_error::ScenarioError;

/// The longest lifetime of a link that can be asked for, in milliseconds.
const MOST_LINK_MS: f64 = 60_000.0;

/// Of a thousand messages, at most so many are spoilt.
const MOST_SPOILT_PER_MILLE: u64 = 1_000;

/// Messages in a thousand that each party spoils.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpoiltShares {
    /// Replies of the vaults.
    pub vault: u64,
    /// Notices of the agents.
    pub agent: u64,
    /// Requests that callers send once more, spoilt.
    pub callers: u64,
}

/// Faults of the stand-ins; by default there are none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StandInFaults {
    /// The longest lifetime of a link, in milliseconds, where the agents end their links by themselves.
    pub link_ms: Option<u64>,
    /// The vault's replies come late, twice, out of order and over other connections.
    pub has_faulty_vault: bool,
    /// Messages in a thousand that each party spoils.
    pub spoilt: SpoiltShares,
    /// Processes of the lab that keep processors busy.
    pub busy: usize,
}

impl StandInFaults {
    pub(super) fn parse(top: &Object, agent: &Object) -> Result<Self, ScenarioError> {
        let per_mille = |key: &str| {
            number(top, key, "", Some(0.0)).map(|share| (share as u64).min(MOST_SPOILT_PER_MILLE))
        };
        let link_ms = agent.get("link_ms").map(|_| number(agent, "link_ms", "agent.", None)).transpose()?;
        Ok(Self {
            link_ms: link_ms.map(|ms| ms.clamp(2.0, MOST_LINK_MS) as u64),
            has_faulty_vault: matches!(top.get("faulty_vault"), Some(tinyjson::JsonValue::Boolean(true))),
            spoilt: SpoiltShares {
                vault: per_mille("spoilt_replies")?,
                agent: per_mille("spoilt_notices")?,
                callers: per_mille("spoilt_requests")?,
            },
            busy: (number(top, "busy", "", Some(0.0))? as usize).min(MOST_BUSY),
        })
    }
}
