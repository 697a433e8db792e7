//! A voter's role in the record ([`Seat`]), and how the voters initialize a new record. [`maintain`] joins the record
//! and publishes the seat; [`next_step`] decides for a new store and does no I/O.

use std::collections::BTreeMap;
use std::sync::Arc;

use miette::Diagnostic;
use openraft::Raft;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::error::RecordError;
use super::{Options, HELLO_TIMEOUT};
use crate::fleet::wire::message::{Hello, Request, Response};
use crate::fleet::wire::raft::{NodeId, Types, Voter};
use crate::fleet::wire::Client;

/// A voter's role in the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seat {
    /// It waits for all voters so that a record can begin, or for the first message of the voter that began it.
    Forming,
    /// Its store votes.
    Voter,
    /// Its store is new, but the record has another store of this voter: it does not vote until it is admitted.
    Stranger,
    /// Its store is being admitted, or has been replaced by another one.
    Learner,
    /// It has stopped because its store failed or because it was closed.
    Stopped,
}

/// What a voter with a new store does next, given the hello replies of the other voters.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Wait: not all voters have answered, or the record's first message is still to come.
    Wait,
    /// Wait for an operator: there is a record that does not have this store.
    AwaitAdmission,
    /// This voter's settings name other voters than this member's.
    VotersDiffer(String),
    /// Initialize a record with these stores: there is none, and this voter has the lowest name.
    Initialize(BTreeMap<NodeId, Voter>),
}

/// Decides the next step of a voter with the new store `own_node`. `answers` are the hello replies of the other voters.
pub(super) fn next_step(options: &Options, own_node: NodeId, answers: &[(String, Hello)]) -> NextStep {
    let initialized = || answers.iter().filter(|(_, hello)| hello.initialized);
    if initialized().any(|(_, hello)| !hello.voters.is_empty() && !hello.voters.contains(&own_node)) {
        return NextStep::AwaitAdmission;
    }
    let named = options.voter_names();
    if named.first() != Some(&options.name) || initialized().next().is_some() {
        return NextStep::Wait;
    }
    // If their lists differed, two voters could begin two records that have a voter in common. A voter that has not
    // opened its store yet names no voters.
    if let Some((name, _)) = answers.iter().find(|(_, hello)| !hello.named.is_empty() && hello.named != named)
    {
        return NextStep::VotersDiffer(name.clone());
    }
    let stores = answers.iter().filter_map(|(name, hello)| Some((hello.node?, Voter { name: name.clone() })));
    let mut stores: BTreeMap<_, _> = stores.collect();
    stores.insert(own_node, Voter { name: options.name.clone() });
    // All voters have answered, each with a store of its own.
    match stores.len() == options.voters.len() {
        true => NextStep::Initialize(stores),
        false => NextStep::Wait,
    }
}

async fn request_hellos(clients: &BTreeMap<String, Client>) -> Vec<(String, Hello)> {
    let mut requests = JoinSet::new();
    for (name, client) in clients.clone() {
        requests.spawn(async move {
            match client.request(&Request::Hello, HELLO_TIMEOUT).await {
                Ok(Response::Hello(hello)) => Some((name, hello)),
                _ => None,
            }
        });
    }
    requests.join_all().await.into_iter().flatten().collect()
}

fn log_error(error: &RecordError, message: &str) {
    let help = error.help().map(|help| help.to_string()).unwrap_or_default();
    tracing::error!(%error, help, "{message}");
}

/// Joins or initializes the record, and publishes the voter's seat in `seats` until the record is closed.
pub(super) async fn maintain(
    options: Options,
    raft: Raft<Types>,
    own_node: NodeId,
    clients: Arc<BTreeMap<String, Client>>,
    seats: watch::Sender<Seat>,
) {
    let clients: BTreeMap<_, _> = options
        .voters
        .iter()
        .filter(|(name, _)| *name != options.name)
        .filter_map(|(name, _)| Some((name.clone(), clients.get(name)?.clone())))
        .collect();
    let set_seat = |seat| {
        let changed = seats.send_if_modified(|last| std::mem::replace(last, seat) != seat);
        if changed && seat == Seat::Stranger {
            let error = RecordError::NotAdmitted { name: options.name.clone() };
            log_error(&error, "this voter does not take part in the record");
        }
    };
    let mut warned = None;
    // Repeats until the store belongs to a record.
    while let Ok(false) = raft.is_initialized().await {
        match next_step(&options, own_node, &request_hellos(&clients).await) {
            NextStep::Wait => {}
            NextStep::AwaitAdmission => set_seat(Seat::Stranger),
            NextStep::VotersDiffer(name) => {
                if warned.as_ref() != Some(&name) {
                    let error = RecordError::VotersDiffer { name: name.clone() };
                    log_error(&error, "the fleet's record cannot begin");
                }
                warned = Some(name);
            }
            NextStep::Initialize(stores) => match raft.initialize(stores).await {
                Ok(()) => tracing::info!("initialized the fleet's record"),
                Err(error) => tracing::warn!(%error, "the fleet's record could not be initialized"),
            },
        }
        tokio::time::sleep(options.heartbeat).await;
    }
    let mut metrics = raft.metrics();
    loop {
        let membership = metrics.borrow_and_update().membership_config.clone();
        if membership.voter_ids().any(|id| id == own_node) {
            set_seat(Seat::Voter);
        } else if membership.membership().get_node(&own_node).is_some() || *seats.borrow() == Seat::Voter {
            set_seat(Seat::Learner);
        }
        if metrics.changed().await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn options(name: &str) -> Options {
        let address = ([127, 0, 0, 1], 1).into();
        Options::new("f", name, "none", ["b", "a", "c"].map(|n| (n.to_string(), address)).to_vec())
    }

    fn new(name: &str, node: NodeId) -> (String, Hello) {
        let named = ["a", "b", "c"].map(String::from).to_vec();
        (name.into(), Hello { node: Some(node), named, ..Hello::default() })
    }

    #[test]
    fn the_voter_with_the_lowest_name_initializes_the_record_once_all_have_new_stores() {
        let (own, all) = (options("a"), [new("b", 2), new("c", 3)]);
        let voter = |name: &str| Voter { name: name.into() };
        let stores = BTreeMap::from([(1, voter("a")), (2, voter("b")), (3, voter("c"))]);
        assert_eq!(next_step(&own, 1, &all), NextStep::Initialize(stores));
        assert_eq!(next_step(&own, 1, &all[..1]), NextStep::Wait);
        assert_eq!(next_step(&options("b"), 2, &[new("a", 1), new("c", 3)]), NextStep::Wait);
        // One store under two names means that an address is wrong.
        assert_eq!(next_step(&own, 1, &[new("b", 2), new("c", 2)]), NextStep::Wait);
        let opening = ("c".into(), Hello::default());
        assert_eq!(next_step(&own, 1, &[new("b", 2), opening]), NextStep::Wait);
        let mut other = new("c", 3);
        other.1.named.push("d".into());
        assert_eq!(next_step(&own, 1, &[new("b", 2), other]), NextStep::VotersDiffer("c".into()));
    }

    #[test]
    fn a_store_that_is_not_in_an_existing_record_awaits_admission() {
        let hello_of_record = |voters: &[NodeId]| {
            let (name, hello) = new("b", 2);
            (name, Hello { initialized: true, voters: voters.to_vec(), ..hello })
        };
        for name in ["a", "c"] {
            assert_eq!(
                next_step(&options(name), 1, &[hello_of_record(&[9, 2, 3])]),
                NextStep::AwaitAdmission
            );
            // The other voter has voted and has no log yet, or the record has this store and its first message is still
            // to come.
            assert_eq!(next_step(&options(name), 1, &[hello_of_record(&[]), new("c", 3)]), NextStep::Wait);
            assert_eq!(
                next_step(&options(name), 1, &[hello_of_record(&[1, 2, 3]), new("c", 3)]),
                NextStep::Wait
            );
        }
    }
}
