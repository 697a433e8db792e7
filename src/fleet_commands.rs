//! `hopwalk fleet`: the commands of a fleet's operators. Each sends one request to the admin endpoint of a matcher.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Subcommand;
use hopwalk::fleet::admin_client::{self, AdminClientError};
use hopwalk::fleet::routes::table::MAX_BYTES;
use hopwalk::fleet::status::{self, StatusError};
use hopwalk::fleet::view_differences;
use miette::Diagnostic;
use thiserror::Error;

/// How long a command waits for the status document of a matcher.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a command waits for the reply to an order, which concerns the whole fleet. It is longer than the time for
/// which the admin endpoint itself waits for a leader.
const ORDER_TIMEOUT: Duration = Duration::from_secs(8);

#[derive(Subcommand)]
pub enum FleetCommand {
    /// Prints the members of the fleet as this matcher sees them.
    Status {
        /// The address of the matcher's admin endpoint.
        #[arg(long)]
        admin: SocketAddr,
        /// Prints the JSON document of the admin endpoint unchanged.
        #[arg(long)]
        json: bool,
    },
    /// Controls the routes of calls to dependencies: versioned tables, which all matchers switch at the same moment.
    Routes {
        #[command(subcommand)]
        command: RoutesCommand,
    },
    /// Controls experiments, which split traffic between arms and end themselves with a verdict.
    Experiment {
        #[command(subcommand)]
        command: ExperimentCommand,
    },
    /// Controls the replicated log of the fleet's decisions.
    Record {
        #[command(subcommand)]
        command: RecordCommand,
    },
}

#[derive(Subcommand)]
pub enum RoutesCommand {
    /// Checks a table (JSON) and records it as the next version, without activating it.
    Propose {
        file: PathBuf,
        #[arg(long)]
        admin: SocketAddr,
    },
    /// Prepares a version on all matchers, and switches them to it at the same moment.
    Activate {
        version: u64,
        #[arg(long)]
        admin: SocketAddr,
    },
    /// Aborts an activation that is being prepared.
    Abort {
        #[arg(long)]
        admin: SocketAddr,
    },
    /// Activates the previously active version.
    Rollback {
        #[arg(long)]
        admin: SocketAddr,
    },
    /// Prints the active version, the pending activation and the tables.
    Show {
        #[arg(long)]
        admin: SocketAddr,
    },
    /// Prints what was proposed, activated and aborted, and by whom.
    History {
        #[arg(long)]
        admin: SocketAddr,
    },
}

#[derive(Subcommand)]
pub enum ExperimentCommand {
    /// Starts the experiment that a document (JSON) describes on the arms of the active table.
    Start {
        file: PathBuf,
        #[arg(long)]
        admin: SocketAddr,
    },
    /// Prints the running experiment, and how earlier ones ended.
    Show {
        #[arg(long)]
        admin: SocketAddr,
    },
    /// Stops the running experiment without a verdict.
    Stop {
        #[arg(long)]
        admin: SocketAddr,
    },
}

#[derive(Subcommand)]
pub enum RecordCommand {
    /// Admits a voter again after it lost its store.
    Admit {
        name: String,
        #[arg(long)]
        admin: SocketAddr,
    },
}

/// Why a command failed.
#[derive(Debug, Error, Diagnostic)]
pub enum CommandError {
    #[error(transparent)]
    #[diagnostic(transparent)]
    Request(#[from] AdminClientError),
    #[error(transparent)]
    #[diagnostic(transparent)]
    Status(#[from] StatusError),
    #[error("{}: {error}", path.display())]
    #[diagnostic(help("check that the file is there and that this user may read it"))]
    File { path: PathBuf, error: std::io::Error },
    #[error("{}: the document has {bytes} bytes, more than {MAX_BYTES}", path.display())]
    #[diagnostic(help("shorten the document: the admin endpoint does not accept a longer one"))]
    TooLong { path: PathBuf, bytes: usize },
}

impl CommandError {
    /// Whether the matcher received the command and refused it.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Request(AdminClientError::Refused { .. } | AdminClientError::Status { .. }))
    }
}

fn read_document(path: PathBuf) -> Result<String, CommandError> {
    match std::fs::read_to_string(&path) {
        Ok(text) if text.len() > MAX_BYTES => Err(CommandError::TooLong { path, bytes: text.len() }),
        Ok(text) => Ok(text),
        Err(error) => Err(CommandError::File { path, error }),
    }
}

/// Sends a command to the admin endpoint and prints the reply.
pub fn run(fleet_command: FleetCommand) -> Result<(), CommandError> {
    let output = match fleet_command {
        FleetCommand::Status { admin, json } => {
            let document = admin_client::request(admin, "GET", "/fleet", STATUS_TIMEOUT)?;
            if json {
                document
            } else {
                let mut text = status::format_table(&status::parse_members(&document)?);
                view_differences::lines(&document).iter().for_each(|line| text += &format!("{line}\n"));
                text
            }
        }
        FleetCommand::Routes { command } => match command {
            RoutesCommand::Propose { file, admin } => {
                post(admin, "/fleet/routes/propose", &read_document(file)?)?
            }
            RoutesCommand::Activate { version, admin } => {
                post(admin, "/fleet/routes/activate", &version.to_string())?
            }
            RoutesCommand::Abort { admin } => post(admin, "/fleet/routes/abort", "")?,
            RoutesCommand::Rollback { admin } => post(admin, "/fleet/routes/rollback", "")?,
            RoutesCommand::Show { admin } => get(admin, "/fleet/routes")?,
            RoutesCommand::History { admin } => get(admin, "/fleet/routes/history")?,
        },
        FleetCommand::Experiment { command } => match command {
            ExperimentCommand::Start { file, admin } => {
                post(admin, "/fleet/experiment/start", &read_document(file)?)?
            }
            ExperimentCommand::Show { admin } => get(admin, "/fleet/experiment")?,
            ExperimentCommand::Stop { admin } => post(admin, "/fleet/experiment/stop", "")?,
        },
        FleetCommand::Record { command: RecordCommand::Admit { name, admin } } => {
            post(admin, "/fleet/record/admit", &name)?
        }
    };
    print!("{output}");
    Ok(())
}

fn get(admin: SocketAddr, path: &str) -> Result<String, AdminClientError> {
    admin_client::request(admin, "GET", path, ORDER_TIMEOUT)
}

fn post(admin: SocketAddr, path: &str, body: &str) -> Result<String, AdminClientError> {
    admin_client::request_with_body(admin, "POST", path, body, ORDER_TIMEOUT)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::error_samples::check;
    use crate::samples;

    #[test]
    fn every_variant_has_its_own_help() {
        let at = ([127, 0, 0, 1], 4000).into();
        let samples = samples!(CommandError {
            Request(AdminClientError::InvalidResponse { address: at }),
            Status(StatusError::Shape { place: "x".into(), kind: "list" }),
            File { path: "x".into(), error: std::io::ErrorKind::NotFound.into() },
            TooLong { path: "x".into(), bytes: 70_000 },
        });
        check("CommandError", &samples);
    }
}
