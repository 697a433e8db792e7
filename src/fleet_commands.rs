//! `hopwalk fleet`: the commands of a fleet's operators, each asked at the operators' door of a matcher.

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

/// How long a matcher's door is waited for.
const PATIENCE: Duration = Duration::from_secs(3);
/// How long an order to the whole fleet is waited for: longer than the door itself waits for a leader.
const ORDER_PATIENCE: Duration = Duration::from_secs(8);

#[derive(Subcommand)]
pub enum FleetWord {
    /// Who is in the fleet, as this matcher sees it.
    Status {
        /// The matcher's operators' door.
        #[arg(long)]
        admin: SocketAddr,
        /// The document as the door hands it out.
        #[arg(long)]
        json: bool,
    },
    /// Which service below each call goes to: tables with versions, which all matchers switch at one moment.
    Routes {
        #[command(subcommand)]
        command: RoutesWord,
    },
    /// A split of traffic that stops itself.
    Experiment {
        #[command(subcommand)]
        command: ExperimentWord,
    },
    /// The log of what the fleet has decided.
    Record {
        #[command(subcommand)]
        command: RecordWord,
    },
}

#[derive(Subcommand)]
pub enum RoutesWord {
    /// Has a table (JSON) checked and recorded as the next version; nothing switches yet.
    Propose {
        file: PathBuf,
        #[arg(long)]
        admin: SocketAddr,
    },
    /// Prepares a version everywhere, and switches all matchers to it at one moment.
    Activate {
        version: u64,
        #[arg(long)]
        admin: SocketAddr,
    },
    /// Gives up an activation that is being prepared.
    Abort {
        #[arg(long)]
        admin: SocketAddr,
    },
    /// Activates the version that was active before.
    Rollback {
        #[arg(long)]
        admin: SocketAddr,
    },
    /// The active version, what is on its way, and the tables.
    Show {
        #[arg(long)]
        admin: SocketAddr,
    },
    /// What was proposed, activated and aborted, by whom.
    History {
        #[arg(long)]
        admin: SocketAddr,
    },
}

#[derive(Subcommand)]
pub enum ExperimentWord {
    /// Starts the experiment of a document (JSON) on the arms of the active table.
    Start {
        file: PathBuf,
        #[arg(long)]
        admin: SocketAddr,
    },
    /// What runs, and what ended how.
    Show {
        #[arg(long)]
        admin: SocketAddr,
    },
    /// Ends the one that runs, without a verdict.
    Stop {
        #[arg(long)]
        admin: SocketAddr,
    },
}

#[derive(Subcommand)]
pub enum RecordWord {
    /// Takes a voter back whose store is gone.
    Admit {
        name: String,
        #[arg(long)]
        admin: SocketAddr,
    },
}

/// Why a command was not carried out.
#[derive(Debug, Error, Diagnostic)]
pub enum CommandError {
    #[error(transparent)]
    #[diagnostic(transparent)]
    Door(#[from] AdminClientError),
    #[error(transparent)]
    #[diagnostic(transparent)]
    Status(#[from] StatusError),
    #[error("{}: {said}", path.display())]
    #[diagnostic(help("check that the file is there and that this user may read it"))]
    File { path: PathBuf, said: std::io::Error },
    #[error("{}: {bytes} bytes, over {MAX_BYTES}", path.display())]
    #[diagnostic(help("shorten the document: the door takes no longer one"))]
    Long { path: PathBuf, bytes: usize },
}

impl CommandError {
    /// The matcher answered, and said no.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Door(AdminClientError::Refused { .. } | AdminClientError::Status { .. }))
    }
}

fn document(path: PathBuf) -> Result<String, CommandError> {
    match std::fs::read_to_string(&path) {
        Ok(text) if text.len() > MAX_BYTES => Err(CommandError::Long { path, bytes: text.len() }),
        Ok(text) => Ok(text),
        Err(said) => Err(CommandError::File { path, said }),
    }
}

/// Carries a command out, and prints what there is to say.
pub fn run(word: FleetWord) -> Result<(), CommandError> {
    let told = match word {
        FleetWord::Status { admin, json } => {
            let told = admin_client::request(admin, "GET", "/fleet", PATIENCE)?;
            if json {
                told
            } else {
                let mut out = status::format_table(&status::parse_members(&told)?);
                view_differences::lines(&told).iter().for_each(|line| out += &format!("{line}\n"));
                out
            }
        }
        FleetWord::Routes { command } => match command {
            RoutesWord::Propose { file, admin } => post(admin, "/fleet/routes/propose", &document(file)?)?,
            RoutesWord::Activate { version, admin } => {
                post(admin, "/fleet/routes/activate", &version.to_string())?
            }
            RoutesWord::Abort { admin } => post(admin, "/fleet/routes/abort", "")?,
            RoutesWord::Rollback { admin } => post(admin, "/fleet/routes/rollback", "")?,
            RoutesWord::Show { admin } => get(admin, "/fleet/routes")?,
            RoutesWord::History { admin } => get(admin, "/fleet/routes/history")?,
        },
        FleetWord::Experiment { command } => match command {
            ExperimentWord::Start { file, admin } => {
                post(admin, "/fleet/experiment/start", &document(file)?)?
            }
            ExperimentWord::Show { admin } => get(admin, "/fleet/experiment")?,
            ExperimentWord::Stop { admin } => post(admin, "/fleet/experiment/stop", "")?,
        },
        FleetWord::Record { command: RecordWord::Admit { name, admin } } => {
            post(admin, "/fleet/record/admit", &name)?
        }
    };
    print!("{told}");
    Ok(())
}

fn get(admin: SocketAddr, path: &str) -> Result<String, AdminClientError> {
    admin_client::request(admin, "GET", path, ORDER_PATIENCE)
}

fn post(admin: SocketAddr, path: &str, body: &str) -> Result<String, AdminClientError> {
    admin_client::request_with_body(admin, "POST", path, body, ORDER_PATIENCE)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::error_samples::check;
    use crate::samples;

    #[test]
    fn every_variant_has_a_help_of_its_own() {
        let at = ([127, 0, 0, 1], 4000).into();
        let samples = samples!(CommandError {
            Door(AdminClientError::InvalidResponse { address: at }),
            Status(StatusError::Shape { place: "x".into(), kind: "list" }),
            File { path: "x".into(), said: std::io::ErrorKind::NotFound.into() },
            Long { path: "x".into(), bytes: 70_000 },
        });
        check("CommandError", &samples);
    }
}
