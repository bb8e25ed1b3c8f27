//! The queues into a group's thread.

use super::kind::HostedLeader;
use crossbeam_channel::{Receiver, Sender, bounded};
use wingshore_storage::StorageError;
use wingshore_transport::ConnectionHandle;
use wingshore_types::protocol::membership::MembershipRequest;
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{ReplicaId, RequestId};

/// Capacity of a group's request queue; when it is full, no more is read from the connections that
/// send requests.
const MAX_QUEUED_REQUESTS: usize = 4096;
/// Capacity of a group's event queue; when it is full, consensus messages are dropped.
const MAX_QUEUED_EVENTS: usize = 4096;

/// The connection and id of a request. When dropped without a reply, as when the group ends, it
/// replies [`GroupReply::Unknown`].
pub(crate) struct RequestOrigin {
    connection: ConnectionHandle,
    id: RequestId,
    answered: bool,
}

impl RequestOrigin {
    /// Returns the origin of request `id` of `connection`.
    pub(crate) fn new(connection: &ConnectionHandle, id: RequestId) -> Self {
        Self {
            connection: connection.clone(),
            id,
            answered: false,
        }
    }

    /// Sends the reply.
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

/// A request queued for a group's thread.
pub(crate) enum GroupCall<R> {
    /// Request for the leader machine.
    Machine(R),
    /// Request about the group's membership.
    Membership(MembershipRequest),
}

/// An input of a group's thread other than a request. Events never wait behind requests.
pub(crate) enum GroupEvent<E> {
    /// A consensus message from another member.
    Consensus { from: ReplicaId, message: Vec<u8> },
    /// The result of an effect.
    Effect(E),
    /// A write is durable.
    Persisted { token: u64 },
    /// A write failed.
    WriteFailed(StorageError),
    /// Starts the planned stop.
    Stop,
    /// Ends the group immediately.
    Abort,
}

/// The sending side of a group's queues.
pub(crate) struct Inbox<L: HostedLeader> {
    requests: Sender<(RequestOrigin, GroupCall<L::Request>)>,
    events: Sender<GroupEvent<L::Event>>,
}

/// The receiving side of an [`Inbox`], owned by the group's thread.
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
    /// Creates the queues and returns both sides.
    pub(crate) fn new() -> (Self, InboxReceiver<L>) {
        let (request_sender, requests) = bounded(MAX_QUEUED_REQUESTS);
        let (event_sender, events) = bounded(MAX_QUEUED_EVENTS);
        let inbox = Self {
            requests: request_sender,
            events: event_sender,
        };
        (inbox, InboxReceiver { requests, events })
    }

    /// Sends an event that must not be lost; waits while the queue is full. Has no effect once the
    /// group has ended.
    pub(crate) fn event(&self, event: GroupEvent<L::Event>) {
        let _ = self.events.send(event);
    }
}

/// Interface to a group of any kind.
pub(crate) trait GroupPort: Send + Sync {
    /// Queues a request; waits while the queue is full.
    fn request(&self, origin: RequestOrigin, body: GroupRequest);
    /// Queues a consensus message, or drops it if the queue is full.
    fn consensus(&self, from: ReplicaId, message: Vec<u8>);
    /// Starts the planned stop.
    fn stop(&self);
    /// Ends the group immediately.
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
        // The consensus protocol retransmits lost messages.
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
