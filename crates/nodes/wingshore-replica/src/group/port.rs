//! The way to a group's thread.

use super::kind::HostedLeader;
use crossbeam_channel::{Receiver, Sender, bounded};
use wingshore_storage::StorageError;
use wingshore_transport::ConnectionHandle;
use wingshore_types::protocol::membership::MembershipRequest;
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{ReplicaId, RequestId};

/// Requests that may wait for a group; beyond that their connections are read no further.
const MAX_QUEUED_REQUESTS: usize = 4096;
/// Other inputs that may wait; beyond that consensus messages are dropped.
const MAX_QUEUED_EVENTS: usize = 4096;

/// Where a request came from. One that is dropped without an answer, as when its group ends, is
/// answered [`GroupReply::Unknown`].
pub(crate) struct RequestOrigin {
    connection: ConnectionHandle,
    id: RequestId,
    answered: bool,
}

impl RequestOrigin {
    /// The request `id` of `connection`.
    pub(crate) fn new(connection: &ConnectionHandle, id: RequestId) -> Self {
        Self {
            connection: connection.clone(),
            id,
            answered: false,
        }
    }

    /// Answers the request.
    pub(crate) fn reply(mut self, body: GroupReply) {
        self.answered = true;
        self.connection.reply(self.id, body);
    }
}

impl Drop for RequestOrigin {
    fn drop(&mut self) {
        if !self.answered {
            self.connection.reply(self.id, GroupReply::Unknown);
        }
    }
}

/// A request on its way to a group's thread.
pub(crate) enum GroupCall<R> {
    /// To the leader machine.
    Machine(R),
    /// About members.
    Membership(MembershipRequest),
}

/// What reaches a group's thread beside requests; none of it waits behind them.
pub(crate) enum GroupEvent<E> {
    /// A message of another member.
    Consensus { from: ReplicaId, message: Vec<u8> },
    /// The result of an effect.
    Effect(E),
    /// A write is durable.
    Persisted { token: u64 },
    /// A write failed.
    WriteFailed(StorageError),
    /// The planned stop begins.
    Stop,
    /// The group ends at once.
    Abort,
}

/// The way to a group's thread.
pub(crate) struct Inbox<L: HostedLeader> {
    requests: Sender<(RequestOrigin, GroupCall<L::Request>)>,
    events: Sender<GroupEvent<L::Event>>,
}

/// The group thread's end of an [`Inbox`].
pub(crate) struct InboxReceiver<L: HostedLeader> {
    pub(crate) requests: Receiver<(RequestOrigin, GroupCall<L::Request>)>,
    pub(crate) events: Receiver<GroupEvent<L::Event>>,
}

impl<L: HostedLeader> Clone for Inbox<L> {
    fn clone(&self) -> Self {
        Self {
            requests: self.requests.clone(),
            events: self.events.clone(),
        }
    }
}

impl<L: HostedLeader> Inbox<L> {
    /// Both ends.
    pub(crate) fn new() -> (Self, InboxReceiver<L>) {
        let (request_sender, requests) = bounded(MAX_QUEUED_REQUESTS);
        let (event_sender, events) = bounded(MAX_QUEUED_EVENTS);
        let inbox = Self {
            requests: request_sender,
            events: event_sender,
        };
        (inbox, InboxReceiver { requests, events })
    }

    /// Sends an event that must not be lost. A group that has ended needs none.
    pub(crate) fn event(&self, event: GroupEvent<L::Event>) {
        let _ = self.events.send(event);
    }
}

/// The way to a group of any kind.
pub(crate) trait GroupPort: Send + Sync {
    /// Hands a request over; waits while too many others wait.
    fn request(&self, origin: RequestOrigin, body: GroupRequest);
    /// Hands a consensus message over, or drops it.
    fn consensus(&self, from: ReplicaId, message: Vec<u8>);
    /// Begins the planned stop.
    fn stop(&self);
    /// Ends the group at once.
    fn abort(&self);
}

impl<L: HostedLeader> GroupPort for Inbox<L> {
    fn request(&self, origin: RequestOrigin, body: GroupRequest) {
        let call = match body {
            GroupRequest::Membership(request) => GroupCall::Membership(request),
            body => match L::Request::try_from(body) {
                Ok(request) => GroupCall::Machine(request),
                Err(_) => {
                    let reason = "the group is of another kind than the request";
                    origin.reply(GroupReply::Rejected(reason.to_owned()));
                    return;
                }
            },
        };
        if let Err(unsent) = self.requests.send((origin, call)) {
            let (origin, _) = unsent.into_inner();
            origin.reply(GroupReply::NotLeader { leader: None });
        }
    }

    fn consensus(&self, from: ReplicaId, message: Vec<u8>) {
        // Consensus sends again what is lost.
        let _ = self
            .events
            .try_send(GroupEvent::Consensus { from, message });
    }

    fn stop(&self) {
        self.event(GroupEvent::Stop);
    }

    fn abort(&self) {
        self.event(GroupEvent::Abort);
    }
}
