//! Executes operators' orders by sending them to the leader. An order whose answer was lost is sent again under the
//! same name, and the leader returns the result of the first one.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde_json::{json, Value};
use tokio::time::{sleep, timeout};

use super::documents;
use super::tasks::DriverState;
use crate::fleet::experiment::record::Entry as Experiments;
use crate::fleet::experiment::Experiment;
use crate::fleet::routes::record::{AbortReason, Entry as Routes, RecordError};
use crate::fleet::routes::table::Table;
use crate::fleet::routing::{Order, OrderError};
use crate::fleet::state_machine::{Entry, Rejection};
use crate::fleet::wire::message::DocumentKind;
use crate::fleet::wire::{Request, Response};

/// How long an order waits for the answer of a leader.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of one attempt to reach the leader.
const TRY_TIMEOUT: Duration = Duration::from_millis(2900);
/// Interval between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long `show` waits for the leader's document: the member can answer with its own document alone.
const SHOW_TIMEOUT: Duration = Duration::from_millis(250);

/// The document that starts an experiment.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StartDocument {
    /// The experiment.
    experiment: Experiment,
    /// Activate the winner's table at the end.
    #[serde(default)]
    activate: bool,
}

/// Executes an order of the operator `by`.
pub async fn execute(driver: &Arc<DriverState>, order: Order, by: &str) -> Result<String, OrderError> {
    // The number makes the name of each order unique, also within one millisecond, so that the leader can tell a
    // repeated order from another one.
    let number = driver.order_count.fetch_add(1, Ordering::Relaxed) + 1;
    let by =
        format!("{by} at {}, unix_ms {}, number {number}", driver.name(), driver.clock.unix().as_millis());
    let document = match order {
        Order::Propose { table } => {
            let problem = |problem| Rejection::Routes(RecordError::Table { problem });
            Table::parse(&table).and_then(|t| t.check(driver.known())).map_err(problem)?;
            submit(driver, Entry::Routes(Routes::Propose { table, by })).await?
        }
        Order::Activate { version } => submit(driver, Entry::Routes(Routes::Prepare { version, by })).await?,
        Order::Rollback => submit(driver, Entry::Routes(Routes::Rollback { by })).await?,
        Order::Abort => {
            let shown = query(driver, DocumentKind::Routes, ORDER_TIMEOUT).await?;
            let turn = shown["pending"]["turn"].as_u64().unwrap_or(0);
            submit(driver, Entry::Routes(Routes::Abort { turn, why: AbortReason::Operator(by) })).await?
        }
        Order::Show => {
            let shown = query(driver, DocumentKind::Routes, SHOW_TIMEOUT).await;
            let problem = shown.as_ref().err().map(ToString::to_string);
            json!({ "here": driver.document(), "fleet": shown.ok(), "problem": problem })
        }
        Order::History => query(driver, DocumentKind::History, ORDER_TIMEOUT).await?,
        Order::Start { document } => {
            let start: StartDocument = serde_json::from_str(&document)
                .map_err(|e| OrderError::InvalidDocument { line: e.line(), column: e.column() })?;
            let (experiment, activate) = (start.experiment.with_start(driver.clock.unix()), start.activate);
            let name = experiment.name.clone();
            let entry = Experiments::Start { experiment, activate, by };
            submit(driver, Entry::Experiment(entry)).await?;
            json!({ "started": name })
        }
        Order::Stop => {
            let shown = query(driver, DocumentKind::Experiments, ORDER_TIMEOUT).await?;
            let name = shown["running"]["name"].as_str().unwrap_or_default().to_string();
            submit(driver, Entry::Experiment(Experiments::Stop { name: name.clone(), by })).await?;
            json!({ "stopped": name })
        }
        Order::ShowExperiment => query(driver, DocumentKind::Experiments, ORDER_TIMEOUT).await?,
        Order::Admit { name } => {
            let request = Request::Admit { name: name.clone() };
            match request_until_answered(driver, &request, ORDER_TIMEOUT).await? {
                Response::Admitted(Ok(())) => json!({ "admitted": name }),
                Response::Admitted(Err(e)) => return Err(e.into()),
                other => return Err(unexpected_response(&other, ORDER_TIMEOUT)),
            }
        }
    };
    Ok(document.to_string())
}

async fn submit(driver: &Arc<DriverState>, entry: Entry) -> Result<Value, OrderError> {
    match request_until_answered(driver, &Request::Submit(entry), ORDER_TIMEOUT).await? {
        Response::Submitted(Ok(applied)) => Ok(documents::order_result(&applied)),
        Response::Submitted(Err(refused)) => Err(refused.into()),
        other => Err(unexpected_response(&other, ORDER_TIMEOUT)),
    }
}

async fn query(driver: &Arc<DriverState>, look: DocumentKind, limit: Duration) -> Result<Value, OrderError> {
    match request_until_answered(driver, &Request::Look(look), limit).await? {
        // The leader wrote the text as JSON.
        Response::Document(text) => Ok(serde_json::from_str(&text).unwrap_or_default()),
        other => Err(unexpected_response(&other, limit)),
    }
}

/// The error for a response that does not answer the request.
fn unexpected_response(answer: &Response, limit: Duration) -> OrderError {
    match answer {
        Response::Unknown => OrderError::UnknownOrder,
        _ => OrderError::NoLeader { timeout: limit },
    }
}

/// Sends a request to the leader, and repeats it until a leader answers or the time limit is over.
async fn request_until_answered(
    driver: &Arc<DriverState>,
    request: &Request,
    limit: Duration,
) -> Result<Response, OrderError> {
    let attempts = async {
        loop {
            match driver.request_leader(request, TRY_TIMEOUT.min(limit)).await {
                Some(Response::NotLeader { .. } | Response::Busy) | None => sleep(RETRY_INTERVAL).await,
                Some(response) => return response,
            }
        }
    };
    timeout(limit, attempts).await.map_err(|_| OrderError::NoLeader { timeout: limit })
}
