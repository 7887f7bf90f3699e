//! Decides which request a response on a connection to an instance belongs to, and whether the connection may
//! carry another request.
//!
//! This is the whole decision, without a socket: `instance_dispatch` and `connection_pool` use it, and
//! `tests/call_model.rs` runs it through every order of events.

/// The request that a response belongs to. Example: the late response to the previous request is
/// [`ResponseOwner::Earlier`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResponseOwner {
    /// The request that waits for its response on the connection.
    Awaited,
    /// An earlier request: the response is read to its end and discarded.
    Earlier,
    /// No known request: nothing more that arrives on the connection is trusted.
    Nobody,
}

/// What is known of a connection once the awaited response has been read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ResponseEnd {
    /// Bytes after the response were read with it.
    pub has_unread_bytes: bool,
    /// A part of the request has not been sent yet.
    pub has_unsent_bytes: bool,
    /// The instance lets the connection idle.
    pub instance_keeps_alive: bool,
}

/// What is known of an idle connection when a request needs one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdleCheck {
    /// It leads to the address where the instance listens.
    pub is_same_address: bool,
    /// Its idle time is over.
    pub is_expired: bool,
    /// The instance sent something, or closed the connection.
    pub has_unread_bytes: bool,
}

/// Late responses to earlier requests that are read and discarded; one more closes the connection.
const MAX_EARLIER_RESPONSES: u32 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum UseState<Id> {
    Idle,
    Awaiting { id: Option<Id>, earlier_responses: u32 },
    Closed,
}

/// The use of one connection to an instance: one request at a time, identified by its id.
/// Example: `ConnectionUse::<u8>::fresh().may_reuse(check)`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionUse<Id> {
    state: UseState<Id>,
    /// A request was answered on it before.
    is_reused: bool,
}

impl<Id: PartialEq> ConnectionUse<Id> {
    /// A connection that has carried nothing yet. Example: `ConnectionUse::<u8>::fresh()`.
    pub fn fresh() -> ConnectionUse<Id> {
        ConnectionUse { state: UseState::Idle, is_reused: false }
    }

    /// Whether an idle connection may carry the next request.
    /// Example: `!usage.may_reuse(IdleCheck { has_unread_bytes: true, .. })`.
    pub fn may_reuse(&self, check: IdleCheck) -> bool {
        self.state == UseState::Idle && check.is_same_address && !check.is_expired && !check.has_unread_bytes
    }

    /// A request is sent; its response carries this id. Example: `usage.request_sent(Some(7))`.
    pub fn request_sent(&mut self, id: Option<Id>) {
        self.state = match self.state {
            UseState::Idle => UseState::Awaiting { id, earlier_responses: 0 },
            _ => UseState::Closed,
        };
    }

    /// A response's head arrived. A response without an id is the awaited one only if it says that the
    /// request was not run, which instances may say before they read an id, or if the request had no id.
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
        if answered_id.is_some() && self.is_reused && *earlier_responses < MAX_EARLIER_RESPONSES {
            *earlier_responses += 1;
            return ResponseOwner::Earlier;
        }
        self.state = UseState::Closed;
        ResponseOwner::Nobody
    }

    /// The awaited response was read whole. Returns whether the connection is kept for another request:
    /// never after surplus bytes, and never where responses carry no ids to tell them apart.
    /// Example: `usage.response_ended(end)`.
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
