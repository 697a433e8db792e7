//! The network layer for `openraft`: [`VoterNetwork`] opens a [`VoterConnection`] for each store of another voter. A
//! message goes over the link to the voter whose name the log gives for the store.

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

/// The factory of connections to the other voters.
#[derive(Clone)]
pub struct VoterNetwork {
    /// The links to the other voters by name.
    pub clients: Arc<BTreeMap<String, Client>>,
    pub heartbeat: Duration,
    pub shorter_log: ShorterLog,
}

impl RaftNetworkFactory<Types> for VoterNetwork {
    type Network = VoterConnection;

    async fn new_client(&mut self, target: NodeId, node: &Voter) -> VoterConnection {
        VoterConnection {
            target,
            name: node.name.clone(),
            client: self.clients.get(&node.name).cloned(),
            retry_interval: self.heartbeat,
            shorter_log: self.shorter_log.clone(),
        }
    }
}

/// The connection to one store of another voter.
pub struct VoterConnection {
    target: NodeId,
    name: String,
    client: Option<Client>,
    retry_interval: Duration,
    shorter_log: ShorterLog,
}

/// Why the target store did not answer a message.
#[derive(Debug, Error)]
enum CallError {
    #[error("{0} is not a voter in the settings of this member")]
    NotAVoter(String),
    #[error("{0} sent an unexpected response")]
    UnexpectedResponse(String),
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error(transparent)]
    Refused(#[from] RaftRefusal),
}

impl CallError {
    fn into_rpc_error<E: std::error::Error>(self) -> RPCError<NodeId, Voter, E> {
        match &self {
            // The request may have been delivered: openraft repeats it with its next heartbeat.
            Self::Wire(WireError::Closed { .. } | WireError::Silent { .. }) => {
                NetworkError::new(&self).into()
            }
            _ => Unreachable::new(&self).into(),
        }
    }
}

impl VoterConnection {
    async fn call(&self, request: RaftRequest, timeout: Duration) -> Result<RaftResponse, CallError> {
        let client = self.client.as_ref().ok_or_else(|| CallError::NotAVoter(self.name.clone()))?;
        let request = Request::Raft { to: self.target, request: Box::new(request) };
        match client.request(&request, timeout).await? {
            Response::Raft(response) => match *response {
                RaftResponse::Refused(refusal) => Err(refusal.into()),
                response => Ok(response),
            },
            _ => Err(self.unexpected_response()),
        }
    }

    fn unexpected_response(&self) -> CallError {
        CallError::UnexpectedResponse(self.name.clone())
    }
}

type RpcReply<T, E = RaftError<NodeId>> = Result<T, RPCError<NodeId, Voter, E>>;

impl RaftNetwork<Types> for VoterConnection {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> RpcReply<AppendEntriesResponse<NodeId>> {
        match self
            .call(RaftRequest::Append(rpc), option.hard_ttl())
            .await
            .map_err(CallError::into_rpc_error)?
        {
            RaftResponse::Append(response) => Ok(response),
            _ => Err(self.unexpected_response().into_rpc_error()),
        }
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> RpcReply<InstallSnapshotResponse<NodeId>, RaftError<NodeId, InstallSnapshotError>> {
        let (id, offset) = (rpc.meta.snapshot_id.clone(), rpc.offset);
        match self.call(RaftRequest::Snapshot(rpc), option.hard_ttl()).await {
            Ok(RaftResponse::Snapshot(response)) => Ok(response),
            // openraft starts the snapshot again from its beginning.
            Err(CallError::Refused(RaftRefusal::Part { .. })) => {
                let expect = SnapshotSegmentId { id: id.clone(), offset: 0 };
                let mismatch = SnapshotMismatch { expect, got: SnapshotSegmentId { id, offset } };
                let error = RaftError::APIError(InstallSnapshotError::SnapshotMismatch(mismatch));
                Err(RemoteError::new(self.target, error).into())
            }
            Err(CallError::Refused(RaftRefusal::Stopped)) => {
                Err(RemoteError::new(self.target, RaftError::Fatal(Fatal::Stopped)).into())
            }
            Ok(_) => Err(self.unexpected_response().into_rpc_error()),
            Err(error) => Err(error.into_rpc_error()),
        }
    }

    async fn vote(&mut self, rpc: VoteRequest<NodeId>, option: RPCOption) -> RpcReply<VoteResponse<NodeId>> {
        let (term, last_log) = (rpc.vote.leader_id.get_term(), rpc.last_log_id);
        match self.call(RaftRequest::Vote(rpc), option.hard_ttl()).await.map_err(CallError::into_rpc_error)? {
            RaftResponse::Vote(response) => {
                if !response.vote_granted && response.last_log_id > last_log {
                    self.shorter_log.vote_denied_in(term);
                }
                Ok(response)
            }
            _ => Err(self.unexpected_response().into_rpc_error()),
        }
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(self.retry_interval))
    }
}
