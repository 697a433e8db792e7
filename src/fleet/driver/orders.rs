//! What operators want, carried to the leader. An order whose answer was lost is sent again under the same name, and the
//! leader tells what it came to.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde_json::{json, Value};
use tokio::time::{sleep, timeout};

use super::documents;
use super::part::Part;
use crate::fleet::decided::{Entry, Refused};
use crate::fleet::experiment::record::Entry as Experiments;
use crate::fleet::experiment::Experiment;
use crate::fleet::routes::record::{Entry as Routes, RecordError, Why};
use crate::fleet::routes::table::Table;
use crate::fleet::routing::{Order, OrderError};
use crate::fleet::wire::message::Look;
use crate::fleet::wire::{Request, Response};

/// An order waits this long for a leader.
pub const PATIENCE: Duration = Duration::from_secs(5);
/// One try of it.
const TRY: Duration = Duration::from_millis(2900);
/// Between two tries.
const PAUSE: Duration = Duration::from_millis(50);
/// What the leader knows is waited for no longer where the member can tell something by itself.
const GLANCE: Duration = Duration::from_millis(250);

/// The document that starts an experiment.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Start {
    /// What is tried.
    experiment: Experiment,
    /// Switch to a winner.
    #[serde(default)]
    activate: bool,
}

/// Carries an order out.
pub async fn carry_out(part: &Arc<Part>, order: Order, by: &str) -> Result<String, OrderError> {
    // No two orders have the same name, also in one millisecond: so one that comes twice is told from another.
    let number = part.orders.fetch_add(1, Ordering::Relaxed) + 1;
    let by = format!("{by} at {}, unix_ms {}, number {number}", part.name(), part.clock.unix().as_millis());
    let told = match order {
        Order::Propose { table } => {
            let problem = |problem| Refused::Routes(RecordError::Table { problem });
            Table::parse(&table).and_then(|t| t.check(part.known())).map_err(problem)?;
            submit(part, Entry::Routes(Routes::Propose { table, by })).await?
        }
        Order::Activate { version } => submit(part, Entry::Routes(Routes::Prepare { version, by })).await?,
        Order::Rollback => submit(part, Entry::Routes(Routes::Rollback { by })).await?,
        Order::Abort => {
            let known = look(part, Look::Routes, PATIENCE).await?;
            let turn = known["pending"]["turn"].as_u64().unwrap_or(0);
            submit(part, Entry::Routes(Routes::Abort { turn, why: Why::Operator(by) })).await?
        }
        Order::Show => {
            let known = look(part, Look::Routes, GLANCE).await;
            let help = known.as_ref().err().map(ToString::to_string);
            json!({ "here": part.document(), "fleet": known.ok(), "problem": help })
        }
        Order::History => look(part, Look::History, PATIENCE).await?,
        Order::Start { document } => {
            let start: Start = serde_json::from_str(&document)
                .map_err(|e| OrderError::Document { line: e.line(), column: e.column() })?;
            let (experiment, activate) = (start.experiment.with_start(part.clock.unix()), start.activate);
            let name = experiment.name.clone();
            let entry = Experiments::Start { experiment, activate, by };
            submit(part, Entry::Experiment(entry)).await?;
            json!({ "started": name })
        }
        Order::Stop => {
            let known = look(part, Look::Experiments, PATIENCE).await?;
            let name = known["running"]["name"].as_str().unwrap_or_default().to_string();
            submit(part, Entry::Experiment(Experiments::Stop { name: name.clone(), by })).await?;
            json!({ "stopped": name })
        }
        Order::ShowExperiment => look(part, Look::Experiments, PATIENCE).await?,
        Order::Admit { name } => {
            let request = Request::Admit { name: name.clone() };
            match leader(part, &request, PATIENCE).await? {
                Response::Admitted(Ok(())) => json!({ "admitted": name }),
                Response::Admitted(Err(e)) => return Err(e.into()),
                other => return Err(unlike(&other, PATIENCE)),
            }
        }
    };
    Ok(told.to_string())
}

async fn submit(part: &Arc<Part>, entry: Entry) -> Result<Value, OrderError> {
    match leader(part, &Request::Submit(entry), PATIENCE).await? {
        Response::Submitted(Ok(applied)) => Ok(documents::done(&applied)),
        Response::Submitted(Err(refused)) => Err(refused.into()),
        other => Err(unlike(&other, PATIENCE)),
    }
}

async fn look(part: &Arc<Part>, look: Look, patience: Duration) -> Result<Value, OrderError> {
    match leader(part, &Request::Look(look), patience).await? {
        // It was written by the leader as JSON.
        Response::Document(text) => Ok(serde_json::from_str(&text).unwrap_or_default()),
        other => Err(unlike(&other, patience)),
    }
}

/// Why an answer of another kind than the order's is none to it.
fn unlike(answer: &Response, patience: Duration) -> OrderError {
    match answer {
        Response::Unknown => OrderError::Unknown,
        _ => OrderError::NoLeader { patience },
    }
}

/// Asks whoever leads, again and again until somebody answers who does.
async fn leader(part: &Arc<Part>, request: &Request, patience: Duration) -> Result<Response, OrderError> {
    let again = async {
        loop {
            match part.to_leader(request, TRY.min(patience)).await {
                Some(Response::NotLeader { .. } | Response::Busy) | None => sleep(PAUSE).await,
                Some(response) => return response,
            }
        }
    };
    timeout(patience, again).await.map_err(|_| OrderError::NoLeader { patience })
}
