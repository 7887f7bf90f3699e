//! Whose an answer on a connection to a cell is, and whether the connection may carry another request.
//!
//! This is the whole decision, without a socket: `instance_dispatch` and `connection_pool` ask it, and
//! `tests/call_model.rs` drives it through every order of events.

/// Whose an answer is. Example: the late answer to the request before is [`ResponseOwner::Earlier`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResponseOwner {
    /// The request that waits on the connection.
    Awaited,
    /// A request before it: it is read to its end and handed to nobody.
    Earlier,
    /// No request known: nothing more that the connection brings is trusted.
    Nobody,
}

/// What is known of a connection once the awaited answer was read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ResponseEnd {
    /// Bytes behind the answer were read with it.
    pub has_unread_bytes: bool,
    /// A part of the request was not sent yet.
    pub has_unsent_bytes: bool,
    /// The cell lets the connection idle.
    pub instance_keeps_alive: bool,
}

/// What is known of an idle connection when a request looks for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdleCheck {
    /// It leads to the address where the cell listens.
    pub is_same_address: bool,
    /// The time that it may idle is over.
    pub is_expired: bool,
    /// The cell sent something, or closed the connection.
    pub has_unread_bytes: bool,
}

/// Late answers to requests before the awaited one that are read past; a second one ends the connection.
const EARLIER_RESPONSES_MOST: u32 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum UseState<Id> {
    Idle,
    Awaiting { id: Option<Id>, earlier_responses: u32 },
    Closed,
}

/// How one connection to a cell is used: one request at a time, known by its id.
/// Example: `ConnectionUse::<u8>::fresh().may_reuse(check)`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionUse<Id> {
    state: UseState<Id>,
    /// Some request was answered on it before.
    is_reused: bool,
}

impl<Id: PartialEq> ConnectionUse<Id> {
    /// A connection that carried nothing yet. Example: `ConnectionUse::<u8>::fresh()`.
    pub fn fresh() -> ConnectionUse<Id> {
        ConnectionUse { state: UseState::Idle, is_reused: false }
    }

    /// Whether an idle connection may carry the next request.
    /// Example: `!usage.may_reuse(IdleCheck { has_unread_bytes: true, .. })`.
    pub fn may_reuse(&self, check: IdleCheck) -> bool {
        self.state == UseState::Idle && check.is_same_address && !check.is_expired && !check.has_unread_bytes
    }

    /// A request is sent; its answer bears this id. Example: `usage.request_sent(Some(7))`.
    pub fn request_sent(&mut self, id: Option<Id>) {
        self.state = match self.state {
            UseState::Idle => UseState::Awaiting { id, earlier_responses: 0 },
            _ => UseState::Closed,
        };
    }

    /// An answer's head came. An answer without an id is the awaited one only if it says that the
    /// request was not run, which cells say before they read an id, or if the request had no id.
    /// Example: `usage.response_began(Some(&7), false) == ResponseOwner::Awaited`.
    pub fn response_began(&mut self, answered_id: Option<&Id>, reports_not_run: bool) -> ResponseOwner {
        let UseState::Awaiting { id, earlier_responses } = &mut self.state else {
            self.state = UseState::Closed;
            return ResponseOwner::Nobody;
        };
        let is_awaited = match (id.as_ref(), answered_id) {
            (Some(_), None) => reports_not_run,
            (awaited_id, answered_id) => awaited_id == answered_id,
        };
        if is_awaited {
            return ResponseOwner::Awaited;
        }
        if answered_id.is_some() && self.is_reused && *earlier_responses < EARLIER_RESPONSES_MOST {
            *earlier_responses += 1;
            return ResponseOwner::Earlier;
        }
        self.state = UseState::Closed;
        ResponseOwner::Nobody
    }

    /// The awaited answer was read whole. Returns whether the connection is kept for another request:
    /// never behind surplus bytes, and never where answers bear no ids by which they could be told
    /// apart. Example: `usage.response_ended(end)`.
    pub fn response_ended(&mut self, end: ResponseEnd) -> bool {
        let has_id = matches!(&self.state, UseState::Awaiting { id: Some(_), .. });
        let is_kept = has_id && end.instance_keeps_alive && !end.has_unread_bytes && !end.has_unsent_bytes;
        self.is_reused = true;
        self.state = if is_kept { UseState::Idle } else { UseState::Closed };
        is_kept
    }
}

#[cfg(test)]
mod tests;
