//! How a message is carried: which go before others on a link, and until when each is of use.

use crate::Message;
use std::time::Duration;

/// The order in which a link carries what waits for it. Example: `message.priority() == Priority::Urgent`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// Leases, votes, tickets and probes: short, and somebody waits for them.
    Urgent,
    /// News, lists, polls and whatever mends itself by being asked for again: who is behind sheds these first.
    Bulk,
}

/// A probe's answer counts only within its interval; a poll is put again before that.
const PROBE_SPAN: Duration = Duration::from_millis(1_000);
/// Whoever asks for a ticket, a promise or a write asks again, or elsewhere, before that.
const RESPONSE_SPAN: Duration = Duration::from_millis(2_000);
/// What nobody sends again, or what stays true however late it comes.
const LASTING_SPAN: Duration = Duration::from_secs(10);

impl Message {
    /// Which messages go first where some wait. Example: `message.priority()`.
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

    /// How long after it was made the message is of use. An older one is dropped, unsent or unread: its
    /// sender has asked again by then, and the answer would only take time from those that are waited for.
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
            | Message::PermitRequest { .. }
            | Message::PermitDeferred { .. } => RESPONSE_SPAN,
            _ => LASTING_SPAN,
        }
    }
}
