//! A voter's part in the record, and how a record begins.

use std::collections::BTreeMap;
use std::sync::Arc;

use miette::Diagnostic;
use openraft::Raft;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::error::RecordError;
use super::{Options, HELLO};
use crate::fleet::wire::message::{Hello, Request, Response};
use crate::fleet::wire::raft::{NodeId, Types, Voter};
use crate::fleet::wire::Client;

/// A voter's part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seat {
    /// It waits for all voters, so that a record can begin, or for the first word of the one that began it.
    Forming,
    /// Its store votes.
    Voter,
    /// Its store is new, and the fleet knows another one of it: it does not vote until it is admitted.
    Stranger,
    /// Its store is being admitted, or was replaced by another one.
    Learner,
    /// It stopped, for its store failed or it was closed.
    Stopped,
}

/// What the other voters say about a store that is new.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Advice {
    /// Not all have answered, or the record is on its way here.
    Wait,
    /// There is a record, and this store has no part in it.
    Stranger,
    /// This voter's settings name other voters than this member's.
    OtherList(String),
    /// There is none, and it is up to this voter to begin it, with these stores.
    Begin(BTreeMap<NodeId, Voter>),
}

/// Decides it; no I/O. `answers` are those of the other voters.
pub(super) fn advise(options: &Options, own: NodeId, answers: &[(String, Hello)]) -> Advice {
    let initialized = || answers.iter().filter(|(_, hello)| hello.initialized);
    if initialized().any(|(_, hello)| !hello.voters.is_empty() && !hello.voters.contains(&own)) {
        return Advice::Stranger;
    }
    let named = options.named();
    if named.first() != Some(&options.name) || initialized().next().is_some() {
        return Advice::Wait;
    }
    // With other lists two voters could begin two records, of which one voter is in both. Who has yet to open its store
    // names nobody.
    if let Some((name, _)) = answers.iter().find(|(_, hello)| !hello.named.is_empty() && hello.named != named)
    {
        return Advice::OtherList(name.clone());
    }
    let stores = answers.iter().filter_map(|(name, hello)| Some((hello.node?, Voter { name: name.clone() })));
    let mut stores: BTreeMap<_, _> = stores.collect();
    stores.insert(own, Voter { name: options.name.clone() });
    // All voters, each with a store of its own.
    match stores.len() == options.voters.len() {
        true => Advice::Begin(stores),
        false => Advice::Wait,
    }
}

async fn ask(clients: &BTreeMap<String, Client>) -> Vec<(String, Hello)> {
    let mut asking = JoinSet::new();
    for (name, client) in clients.clone() {
        asking.spawn(async move {
            match client.request(&Request::Hello, HELLO).await {
                Ok(Response::Hello(hello)) => Some((name, hello)),
                _ => None,
            }
        });
    }
    asking.join_all().await.into_iter().flatten().collect()
}

fn report(error: &RecordError, what: &str) {
    let help = error.help().map(|help| help.to_string()).unwrap_or_default();
    tracing::error!(%error, help, "{what}");
}

/// Takes the voter's seat, and tells which it is.
pub(super) async fn take(
    options: Options,
    raft: Raft<Types>,
    own: NodeId,
    clients: Arc<BTreeMap<String, Client>>,
    seats: watch::Sender<Seat>,
) {
    let clients: BTreeMap<_, _> = options
        .voters
        .iter()
        .filter(|(name, _)| *name != options.name)
        .filter_map(|(name, _)| Some((name.clone(), clients.get(name)?.clone())))
        .collect();
    let tell = |seat| {
        let changed = seats.send_if_modified(|last| std::mem::replace(last, seat) != seat);
        if changed && seat == Seat::Stranger {
            let error = RecordError::NotAdmitted { name: options.name.clone() };
            report(&error, "this voter has no part in the record");
        }
    };
    let mut warned = None;
    // Until the store has a part in a record.
    while let Ok(false) = raft.is_initialized().await {
        match advise(&options, own, &ask(&clients).await) {
            Advice::Wait => {}
            Advice::Stranger => tell(Seat::Stranger),
            Advice::OtherList(name) => {
                if warned.as_ref() != Some(&name) {
                    let error = RecordError::VotersDiffer { name: name.clone() };
                    report(&error, "the fleet's record cannot begin");
                }
                warned = Some(name);
            }
            Advice::Begin(stores) => match raft.initialize(stores).await {
                Ok(()) => tracing::info!("the fleet's record begins"),
                Err(error) => tracing::warn!(%error, "the fleet's record could not begin"),
            },
        }
        tokio::time::sleep(options.heartbeat).await;
    }
    let mut metrics = raft.metrics();
    loop {
        let membership = metrics.borrow_and_update().membership_config.clone();
        if membership.voter_ids().any(|id| id == own) {
            tell(Seat::Voter);
        } else if membership.membership().get_node(&own).is_some() || *seats.borrow() == Seat::Voter {
            tell(Seat::Learner);
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
    fn a_record_begins_at_the_lowest_name_once_all_are_new() {
        let (own, all) = (options("a"), [new("b", 2), new("c", 3)]);
        let voter = |name: &str| Voter { name: name.into() };
        let stores = BTreeMap::from([(1, voter("a")), (2, voter("b")), (3, voter("c"))]);
        assert_eq!(advise(&own, 1, &all), Advice::Begin(stores));
        assert_eq!(advise(&own, 1, &all[..1]), Advice::Wait);
        assert_eq!(advise(&options("b"), 2, &[new("a", 1), new("c", 3)]), Advice::Wait);
        // One store under two names is a wrong address.
        assert_eq!(advise(&own, 1, &[new("b", 2), new("c", 2)]), Advice::Wait);
        let opening = ("c".into(), Hello::default());
        assert_eq!(advise(&own, 1, &[new("b", 2), opening]), Advice::Wait);
        let mut other = new("c", 3);
        other.1.named.push("d".into());
        assert_eq!(advise(&own, 1, &[new("b", 2), other]), Advice::OtherList("c".into()));
    }

    #[test]
    fn a_store_beside_a_record_without_it_is_a_stranger() {
        let begun = |voters: &[NodeId]| {
            let (name, hello) = new("b", 2);
            (name, Hello { initialized: true, voters: voters.to_vec(), ..hello })
        };
        for name in ["a", "c"] {
            assert_eq!(advise(&options(name), 1, &[begun(&[9, 2, 3])]), Advice::Stranger);
            // It voted, and has no log yet; or the record has this store, and its first word is on the way.
            assert_eq!(advise(&options(name), 1, &[begun(&[]), new("c", 3)]), Advice::Wait);
            assert_eq!(advise(&options(name), 1, &[begun(&[1, 2, 3]), new("c", 3)]), Advice::Wait);
        }
    }
}
