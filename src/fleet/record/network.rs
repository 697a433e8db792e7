//! `openraft`'s way to the other voters: a request on the link to the name that the log gives a store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use openraft::error::{
    Fatal, InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, SnapshotMismatch,
    Unreachable,
};
use openraft::network::{Backoff, RPCOption};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{RaftNetwork, RaftNetworkFactory, SnapshotSegmentId};
use thiserror::Error;

use super::election::ShorterLog;
use crate::fleet::wire::message::{Request, Response};
use crate::fleet::wire::raft::{NodeId, RaftRefusal, RaftRequest, RaftResponse, Types, Voter};
use crate::fleet::wire::{Client, WireError};

/// The links to the other voters, by name.
#[derive(Clone)]
pub struct Ways {
    pub clients: Arc<BTreeMap<String, Client>>,
    pub heartbeat: Duration,
    pub shorter_log: ShorterLog,
}

impl RaftNetworkFactory<Types> for Ways {
    type Network = Way;

    async fn new_client(&mut self, target: NodeId, node: &Voter) -> Way {
        Way {
            target,
            name: node.name.clone(),
            client: self.clients.get(&node.name).cloned(),
            pause: self.heartbeat,
            shorter_log: self.shorter_log.clone(),
        }
    }
}

/// The way to one store.
pub struct Way {
    target: NodeId,
    name: String,
    client: Option<Client>,
    pause: Duration,
    shorter_log: ShorterLog,
}

/// Why there is no answer of the store that was meant.
#[derive(Debug, Error)]
enum WayError {
    #[error("{0} is no voter in the settings of this member")]
    Unknown(String),
    #[error("{0} answered something else")]
    Other(String),
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error(transparent)]
    Refused(#[from] RaftRefusal),
}

impl WayError {
    fn rpc<E: std::error::Error>(self) -> RPCError<NodeId, Voter, E> {
        match &self {
            // The request is at most on its way: openraft repeats it with its next heartbeat.
            Self::Wire(WireError::Closed { .. } | WireError::Silent { .. }) => {
                NetworkError::new(&self).into()
            }
            _ => Unreachable::new(&self).into(),
        }
    }
}

impl Way {
    async fn ask(&self, request: RaftRequest, patience: Duration) -> Result<RaftResponse, WayError> {
        let client = self.client.as_ref().ok_or_else(|| WayError::Unknown(self.name.clone()))?;
        let request = Request::Raft { to: self.target, request: Box::new(request) };
        match client.request(&request, patience).await? {
            Response::Raft(response) => match *response {
                RaftResponse::Refused(refusal) => Err(refusal.into()),
                response => Ok(response),
            },
            _ => Err(self.other()),
        }
    }

    fn other(&self) -> WayError {
        WayError::Other(self.name.clone())
    }
}

type Answer<T, E = RaftError<NodeId>> = Result<T, RPCError<NodeId, Voter, E>>;

impl RaftNetwork<Types> for Way {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Answer<AppendEntriesResponse<NodeId>> {
        match self.ask(RaftRequest::Append(rpc), option.hard_ttl()).await.map_err(WayError::rpc)? {
            RaftResponse::Append(response) => Ok(response),
            _ => Err(self.other().rpc()),
        }
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> Answer<InstallSnapshotResponse<NodeId>, RaftError<NodeId, InstallSnapshotError>> {
        let (id, offset) = (rpc.meta.snapshot_id.clone(), rpc.offset);
        match self.ask(RaftRequest::Snapshot(rpc), option.hard_ttl()).await {
            Ok(RaftResponse::Snapshot(response)) => Ok(response),
            // openraft begins the snapshot anew.
            Err(WayError::Refused(RaftRefusal::Part { .. })) => {
                let expect = SnapshotSegmentId { id: id.clone(), offset: 0 };
                let mismatch = SnapshotMismatch { expect, got: SnapshotSegmentId { id, offset } };
                let error = RaftError::APIError(InstallSnapshotError::SnapshotMismatch(mismatch));
                Err(RemoteError::new(self.target, error).into())
            }
            Err(WayError::Refused(RaftRefusal::Stopped)) => {
                Err(RemoteError::new(self.target, RaftError::Fatal(Fatal::Stopped)).into())
            }
            Ok(_) => Err(self.other().rpc()),
            Err(error) => Err(error.rpc()),
        }
    }

    async fn vote(&mut self, rpc: VoteRequest<NodeId>, option: RPCOption) -> Answer<VoteResponse<NodeId>> {
        let (term, last_log) = (rpc.vote.leader_id.get_term(), rpc.last_log_id);
        match self.ask(RaftRequest::Vote(rpc), option.hard_ttl()).await.map_err(WayError::rpc)? {
            RaftResponse::Vote(response) => {
                if !response.vote_granted && response.last_log_id > last_log {
                    self.shorter_log.refused_in(term);
                }
                Ok(response)
            }
            _ => Err(self.other().rpc()),
        }
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(self.pause))
    }
}
