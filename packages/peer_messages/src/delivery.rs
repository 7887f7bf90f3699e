//! Delivery properties of messages: their priority on a link, and how long they are valid.

use crate::Message;
use std::time::Duration;

/// The priority of a message that waits for a link. Example: `message.priority() == Priority::Urgent`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// Leases, votes, permits and probes: short messages that a node waits for.
    Urgent,
    /// Gossip, lists, polls and other messages that are requested again if they are lost: an overloaded node
    /// drops these first.
    Bulk,
}

/// A probe's response counts only within its interval, and a poll is repeated sooner than this.
const PROBE_SPAN: Duration = Duration::from_millis(1_000);
/// Requests for permits, promises and writes are repeated, or sent to another node, sooner than this.
const RESPONSE_SPAN: Duration = Duration::from_millis(2_000);
/// For messages that are not repeated, or that stay valid however late they arrive.
const LASTING_SPAN: Duration = Duration::from_secs(10);

impl Message {
    /// The message's priority on a link. Example: `message.priority()`.
    pub fn priority(&self) -> Priority {
        match self {
            Message::Gossip { .. }
            | Message::GossipDigest { .. }
            | Message::GossipVersions { .. }
            | Message::GossipRequest { .. }
            | Message::GossipBodyChanges { .. }
            | Message::MembersResponse { .. }
            | Message::ListResponse { .. }
            | Message::RecordsPoll { .. }
            | Message::RecordsPolled { .. }
            | Message::RelayPoll { .. }
            | Message::RelayPolled { .. }
            | Message::UsageUpdate { .. }
            | Message::UsageAck { .. }
            | Message::DecisionsResponse { .. } => Priority::Bulk,
            _ => Priority::Urgent,
        }
    }

    /// How long after its creation the message is valid. An older one is dropped before it is sent or
    /// handled: its sender has repeated the request by then, and handling it would only delay messages that
    /// are waited for.
    /// Example: `message.valid_for() >= Duration::from_secs(1)`.
    pub fn valid_for(&self) -> Duration {
        match self {
            Message::Probe { .. }
            | Message::ProbeResponse { .. }
            | Message::ProbeFor { .. }
            | Message::MembersDigest { .. }
            | Message::GossipDigest { .. }
            | Message::RecordsPoll { .. }
            | Message::RecordsPolled { .. }
            | Message::RelayPoll { .. }
            | Message::RelayPolled { .. }
            | Message::UsageUpdate { .. }
            | Message::UsageAck { .. }
            | Message::ListRequest { .. } => PROBE_SPAN,
            Message::Promise { .. }
            | Message::Promised { .. }
            | Message::Store { .. }
            | Message::Stored { .. }
            | Message::Write { .. }
            | Message::WriteResponse { .. }
            | Message::ReadConfirmed { .. }
            | Message::ReadsConfirmed { .. }
            | Message::PermitRequest { .. }
            | Message::PermitDeferred { .. } => RESPONSE_SPAN,
            _ => LASTING_SPAN,
        }
    }
}
