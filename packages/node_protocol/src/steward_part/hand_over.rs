//! A term on its way from the node that leads to the one that it names: no call waits for an election.
//!
//! Whoever gives a term stops granting, keeps those who ask meanwhile, and writes the record that names its
//! successor. Once that stands it sends the successor the record, the tickets that are out and everybody who
//! waits; asks and returns that still come go on to the successor, under the relay of asks. The successor claims
//! the term as it would claim any, by a conditional write on the record that names it, and keeps asks that come
//! before it has it. If a message is lost the successor knows less and does what a leader does that was elected:
//! it asks all nodes which tickets they hold. If it never claims, the record's short lease runs out.

use crate::node::Node;
use function_scheduler::{HandedAsk, HandedWork};
use leader_election::RecordWrite;
use monotonic_clock::Micros;
use peer_messages::ticket_ask::NOT_AS_DEPUTY;
use peer_messages::{LeaderRecord, List, Message, NodeId, Ticket};
use std::collections::BTreeMap;

use super::{CALL_COST, LARGE_PART};

/// A record that names a successor is written within this, or the term is not handed over but lost.
const WRITE_SPAN: Micros = Micros::from_millis(800);
/// Asks and returns go on to the successor for so long: by then everybody has seen its record.
const FORWARD_SPAN: Micros = Micros::from_secs(4);
/// A successor keeps asks for a term that it has not claimed yet for so long.
const CLAIM_SPAN: Micros = Micros::from_millis(600);
/// Asks kept for one function on their way to the successor; who comes then looks for a leader anew.
const KEPT_ASKS_MOST: usize = 1_024;
/// `TicketHeldBack`: this node is not the leader.
const NOT_LEADER: u8 = 2;

/// An ask that is kept until there is somebody to answer it.
#[derive(Debug)]
struct KeptAsk {
    asker: NodeId,
    message: Message,
    kept_at: Micros,
}

impl KeptAsk {
    fn number(&self) -> u64 {
        number_of(&self.message)
    }

    /// The ask as it stands now: the call's time went on meanwhile.
    fn aged(mut self, now: Micros) -> (NodeId, Message) {
        let kept_for = (now - self.kept_at).0;
        if let Message::TicketAsk { time_left_micros, target_left_micros, .. } = &mut self.message {
            *time_left_micros = time_left_micros.saturating_sub(kept_for);
            if *target_left_micros != u64::MAX {
                *target_left_micros = target_left_micros.saturating_sub(kept_for);
            }
        }
        (self.asker, self.message)
    }
}

/// A term that this node gave away.
#[derive(Debug)]
struct LeavingTerm {
    successor: NodeId,
    given_at: Micros,
    is_written: bool,
    work: HandedWork,
    /// Who asked since then.
    asks: Vec<KeptAsk>,
}

/// A term that this node was named for.
#[derive(Debug)]
struct ComingTerm {
    steward_epoch: u64,
    named_at: Micros,
    work: HandedWork,
    asks: Vec<KeptAsk>,
}

/// The terms that are on their way from this node and to it, by function.
#[derive(Debug, Default)]
pub(super) struct HandOvers {
    leaving: BTreeMap<String, LeavingTerm>,
    coming: BTreeMap<String, ComingTerm>,
}

impl Node {
    /// Names a successor for each function that this node leads.
    pub(super) fn name_successors(&mut self, members: &[NodeId]) {
        let now = self.now;
        let election = &self.stewards.election;
        let mut successors = leader_election::Successors::new(election, members, now);
        let mut named = Vec::new();
        for function in election.held(now) {
            let rate = self.stewards.works.get(&function).map_or(0.0, |work| work.call_rate(now));
            let least_capacity = (rate * CALL_COST / LARGE_PART) as u32;
            if let Some(successor) = successors.name(&function, least_capacity) {
                named.push((function, successor));
            }
        }
        for (function, successor) in named {
            self.give_term(&function, successor);
        }
    }

    /// Gives one term to another node, with all that is under way for the function.
    pub(super) fn give_term(&mut self, function: &str, successor: NodeId) {
        let now = self.now;
        self.flush_works();
        let Some(work) = self.stewards.works.get_mut(function) else { return };
        let work = work.hand_over(now);
        let leaving = LeavingTerm { successor, given_at: now, is_written: false, work, asks: Vec::new() };
        self.stewards.hand_overs.leaving.insert(function.to_owned(), leaving);
        self.stewards.election.give_to(successor, function);
        self.take_term_changes();
    }

    /// The record that names the successor stands.
    pub(crate) fn term_written_away(&mut self, function: &str, record: &LeaderRecord, version: u64) {
        let now = self.now;
        let leaving = self.stewards.hand_overs.leaving.get_mut(function);
        let Some(leaving) = leaving.filter(|leaving| leaving.successor == record.holder) else { return };
        if std::mem::replace(&mut leaving.is_written, true) {
            return;
        }
        let (successor, given_at) = (leaving.successor, leaving.given_at);
        let tickets = std::mem::take(&mut leaving.work.tickets);
        let waiting = std::mem::take(&mut leaving.work.asks);
        let asks = std::mem::take(&mut leaving.asks);
        let message = Message::TermHandedOver {
            function: function.into(),
            version,
            record: record.clone(),
            is_whole: u8::from(leaving.work.is_whole),
            tickets: List(tickets),
            demand: leaving.work.demand.clone(),
        };
        self.send(successor, message);
        // The successor's epoch is the version that it claims at, which is above this one.
        self.calls.note_leader(function, successor, record.steward_epoch + 1, now);
        // Who waited since before has waited through the write as well.
        let waiting = waiting.into_iter().map(|handed| KeptAsk {
            asker: handed.asker,
            message: ask_of(function, handed),
            kept_at: given_at,
        });
        for kept in waiting.chain(asks).collect::<Vec<_>>() {
            let (asker, ask) = kept.aged(now);
            self.pass_on_or_deny(asker, successor, ask);
        }
    }

    fn pass_on_or_deny(&mut self, asker: NodeId, successor: NodeId, ask: Message) {
        if !self.relay_ask(asker, successor, ask.clone()) {
            self.deny(asker, &ask);
        }
    }

    fn deny(&mut self, asker: NodeId, message: &Message) {
        let Message::TicketAsk { ask, .. } = message else { return };
        let reason = "not the steward".into();
        let denied =
            Message::TicketHeldBack { ask: *ask, outcome: NOT_LEADER, reason, retry_after_millis: 0 };
        self.send(asker, denied);
    }

    /// Takes an ask for a function whose term is on its way from or to this node; `false` if none is.
    pub(super) fn take_ask_amid_hand_over(&mut self, from: NodeId, message: &Message) -> bool {
        let now = self.now;
        let Message::TicketAsk { function, .. } = message else { return false };
        let hand_overs = &mut self.stewards.hand_overs;
        if let Some(coming) = hand_overs.coming.get_mut(&function.0)
            && now < coming.named_at + CLAIM_SPAN
        {
            return keep(&mut coming.asks, from, message, now);
        }
        let Some(leaving) = hand_overs.leaving.get_mut(&function.0) else { return false };
        let successor = leaving.successor;
        match leaving.is_written {
            true => successor != from && self.relay_ask(from, successor, message.clone()),
            false => keep(&mut leaving.asks, from, message, now),
        }
    }

    /// A ticket comes back for a function that this node led.
    pub(super) fn hand_on_return(&mut self, ticket: &Ticket, how: u8, latency_micros: u64) {
        let leaving = self.stewards.hand_overs.leaving.get_mut(&ticket.function.0);
        let Some(leaving) = leaving.filter(|_| ticket.granted_by == self.settings.node) else { return };
        leaving.work.tickets.retain(|handed| handed.held.ticket.id != ticket.id);
        if leaving.is_written {
            let successor = leaving.successor;
            self.send(successor, Message::TicketReturn { ticket: ticket.clone(), how, latency_micros });
        }
    }

    /// This node was named: the record is seen at once, not at the next poll.
    pub(super) fn term_handed_over(&mut self, from: NodeId, message: Message) {
        let now = self.now;
        let Message::TermHandedOver { function, version, record, is_whole, tickets, demand } = message else {
            return;
        };
        if record.holder != self.settings.node || from == self.settings.node {
            return;
        }
        let work = HandedWork { is_whole: is_whole == 1, tickets: tickets.0, asks: Vec::new(), demand };
        if self.draining_since.is_some() {
            self.pass_term_on(&function.0, version, record, work);
            return;
        }
        let coming =
            ComingTerm { steward_epoch: record.steward_epoch, named_at: now, work, asks: Vec::new() };
        self.stewards.hand_overs.coming.insert(function.0.clone(), coming);
        self.stewards.election.observe(&function.0, version, Some(record), now);
    }

    /// A node that stops was named: it names the next one, by a conditional write on the record that names it.
    fn pass_term_on(&mut self, function: &str, version: u64, record: LeaderRecord, work: HandedWork) {
        let now = self.now;
        let members = self.serving_members();
        let mut successors = leader_election::Successors::new(&self.stewards.election, &members, now);
        let Some(successor) = successors.name(function, 0) else { return };
        let leaving = LeavingTerm { successor, given_at: now, is_written: false, work, asks: Vec::new() };
        self.stewards.hand_overs.leaving.insert(function.to_owned(), leaving);
        let record = LeaderRecord { holder: successor, renew_count: record.renew_count + 1, ..record };
        let write = RecordWrite { function: function.to_owned(), expected: version, record, hasty: true };
        self.send_leader_writes(vec![write]);
    }

    /// This node leads a function now: if the term was given to it, with what is under way.
    pub(super) fn take_over(&mut self, function: &str, given_epoch: Option<u64>) {
        let now = self.now;
        let Some(coming) = self.stewards.hand_overs.coming.remove(function) else { return };
        if let Some(work) = self.stewards.works.get_mut(function) {
            work.resume_demand(&coming.work.demand, now);
            let is_the_given = given_epoch == Some(coming.steward_epoch);
            if is_the_given && coming.work.is_whole {
                work.take_over(coming.work.tickets, now);
            }
        }
        for kept in coming.asks {
            let (asker, ask) = kept.aged(now);
            self.take_steward_message(asker, ask);
        }
    }

    /// Ends hand-overs that came to nothing, and forgets those that are over.
    pub(super) fn tick_hand_overs(&mut self) {
        let now = self.now;
        let HandOvers { leaving, coming } = &mut self.stewards.hand_overs;
        let mut denied = Vec::new();
        leaving.retain(|function, term| {
            if !term.is_written && now >= term.given_at + WRITE_SPAN {
                let waiting = std::mem::take(&mut term.work.asks).into_iter();
                denied.extend(waiting.map(|handed| (handed.asker, ask_of(function, handed))));
                denied.extend(term.asks.drain(..).map(|kept| (kept.asker, kept.message)));
            }
            now < term.given_at + FORWARD_SPAN
        });
        coming.retain(|_, term| {
            let is_kept = now < term.named_at + CLAIM_SPAN;
            if !is_kept {
                denied.extend(term.asks.drain(..).map(|kept| (kept.asker, kept.message)));
            }
            is_kept
        });
        for (asker, ask) in denied {
            self.deny(asker, &ask);
        }
    }
}

/// Keeps an ask, once, unless there are too many.
fn keep(asks: &mut Vec<KeptAsk>, asker: NodeId, message: &Message, now: Micros) -> bool {
    let is_kept = asks.iter().any(|kept| kept.asker == asker && kept.number() == number_of(message));
    if !is_kept && asks.len() >= KEPT_ASKS_MOST {
        return false;
    }
    if !is_kept {
        asks.push(KeptAsk { asker, message: message.clone(), kept_at: now });
    }
    true
}

fn number_of(message: &Message) -> u64 {
    match message {
        Message::TicketAsk { ask, .. } => *ask,
        _ => 0,
    }
}

fn ask_of(function: &str, handed: HandedAsk) -> Message {
    Message::TicketAsk {
        ask: handed.ask,
        function: function.into(),
        time_left_micros: handed.time_left.0,
        extra: u8::try_from(handed.dispatches).unwrap_or(u8::MAX),
        avoid: handed.avoid.as_str().into(),
        deputy: NOT_AS_DEPUTY,
        target_left_micros: handed.target_left.map_or(u64::MAX, |left| left.0),
        rank: handed.rank,
        tenant: handed.tenant,
        nested: u8::from(handed.is_nested),
    }
}
