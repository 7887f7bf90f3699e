//! This node's own calls: asking stewards and deputies for tickets, and the tickets it holds.

use crate::ask_relay::{AskRelay, is_relayed};
use crate::node::{Node, PAUSE_A_MEMBER};
use crate::ticket_ledger::{TicketAdmission, TicketLedger};
use crate::{Act, RefusedAs};
use deku::DekuContainerRead;
use function_scheduler::{ReadyCell, TicketWish, UNUSED, Urgency};
use monotonic_clock::Micros;
use peer_messages::ticket_ask::{AS_DEPUTY, AS_RELAY, NOT_AS_DEPUTY};
use peer_messages::{
    CellsNews, HeldAnswerEntry, HeldAskEntry, HeldTicket, List, Message, NodeId, Ticket, tenant_mark,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A steward that leaves an ask unanswered this long is passed over for the deputy.
const STEWARD_PATIENCE: Micros = Micros::from_millis(200);
/// A waiting ask is told again this often, so that both sides know of each other.
const KEEP_ALIVE: Micros = Micros::from_millis(500);
/// Where nobody had a ticket to give the call asks again after this, and twice as long after each further try.
const ASK_AGAIN: Micros = Micros::from_millis(60);
/// The longest such pause in a small fleet. In a large one it is as long as the fleet's other questions
/// are apart, up to a bound: many nodes that ask often keep one that recovers busy.
const ASK_AGAIN_AT_MOST: Micros = Micros::from_millis(120);
const LARGE_FLEET_ASK_AGAIN: Micros = Micros::from_millis(480);
/// Whoever left asks unanswered and was not heard for so long is out of reach.
const OUT_OF_REACH_AFTER: Micros = Micros::from_secs(1);
/// A leader that was told of is believed for so long before its record is seen.
const TOLD_LEADER_SPAN: Micros = Micros::from_secs(3);
/// A node that left an ask unanswered, and of which nothing else was heard since, is passed over for
/// so long: membership takes seconds to find many nodes gone at once, and calls do not have them.
const SILENCE_REMEMBERED: Micros = Micros::from_secs(2);

#[derive(Debug)]
struct CallAsk {
    function: String,
    ends_at: Micros,
    dispatches: u32,
    avoid: String,
    urgency: Urgency,
    tenant: Option<Arc<str>>,
    asked: Option<NodeId>,
    asked_at: Micros,
    asked_deputy: bool,
    next_at: Micros,
    tries: u32,
}

/// A leader that was told of before its record was seen.
#[derive(Clone, Copy, Debug)]
struct ToldLeader {
    leader: NodeId,
    steward_epoch: u64,
    told_at: Micros,
}

#[derive(Debug)]
pub(crate) struct CallPart {
    /// By call: a call has one ask at a time and the ask's number is the call's.
    asks: BTreeMap<u64, CallAsk>,
    tickets: TicketLedger,
    relay: AskRelay,
    /// Which node passed a ticket on, where it did not come from whoever granted it.
    relayed_by: BTreeMap<u64, NodeId>,
    told_leaders: BTreeMap<String, ToldLeader>,
    /// When each node was last heard, and since when it is silent.
    heard_at: BTreeMap<NodeId, Micros>,
    silent_since: BTreeMap<NodeId, Micros>,
}

impl CallPart {
    pub(crate) fn new() -> CallPart {
        CallPart {
            asks: BTreeMap::new(),
            tickets: TicketLedger::default(),
            relay: AskRelay::default(),
            relayed_by: BTreeMap::new(),
            told_leaders: BTreeMap::new(),
            heard_at: BTreeMap::new(),
            silent_since: BTreeMap::new(),
        }
    }

    /// Whatever a node says shows that it can be reached again.
    pub(crate) fn heard_from(&mut self, node: NodeId, now: Micros) {
        self.heard_at.insert(node, now);
        self.silent_since.remove(&node);
    }

    /// Whether a node was heard since then.
    pub(crate) fn is_heard_since(&self, node: NodeId, since: Micros) -> bool {
        self.heard_at.get(&node).is_some_and(|heard_at| *heard_at > since)
    }

    pub(crate) fn forget(&mut self, node: NodeId) {
        self.heard_at.remove(&node);
        self.silent_since.remove(&node);
    }

    fn note_silence(&mut self, node: NodeId, asked_at: Micros, now: Micros) {
        if self.heard_at.get(&node).is_none_or(|heard_at| *heard_at < asked_at) {
            self.silent_since.entry(node).or_insert(now);
        }
    }

    fn is_silent(&self, node: NodeId, now: Micros) -> bool {
        self.silent_since.get(&node).is_some_and(|since| now < *since + SILENCE_REMEMBERED)
    }

    /// The tickets in use for a function, here and by nodes that this one relays for.
    pub(crate) fn held_for(&self, function: &str, now: Micros) -> Vec<HeldTicket> {
        let mut held = self.tickets.held_for(function, now);
        held.extend(self.relay.held_for(function, now));
        held
    }

    /// A node that leads a function under this epoch, as it said itself or as whoever gave it the term says.
    pub(crate) fn note_leader(&mut self, function: &str, leader: NodeId, steward_epoch: u64, now: Micros) {
        let known = self.told_leaders.get(function);
        if known.is_none_or(|known| known.steward_epoch < steward_epoch) {
            let told = ToldLeader { leader, steward_epoch, told_at: now };
            self.told_leaders.insert(function.to_owned(), told);
        }
    }
}

impl Node {
    pub(crate) fn call_asks(&mut self, call: u64, wish: TicketWish) {
        self.stewards.traffic_since.get_or_insert(self.now);
        let late_at = wish.target_left.map_or(Micros(u64::MAX), |left| self.now + left);
        let ask = CallAsk {
            function: wish.function,
            ends_at: self.now + wish.time_left,
            dispatches: wish.dispatches,
            avoid: wish.avoid,
            urgency: Urgency {
                late_at,
                rank: wish.rank,
                tenant: wish.tenant.as_deref().map_or(0, tenant_mark),
                is_nested: wish.is_nested,
            },
            tenant: wish.tenant,
            asked: None,
            asked_at: self.now,
            asked_deputy: false,
            next_at: self.now,
            tries: 0,
        };
        self.calls.asks.insert(call, ask);
        self.drive_ask(call);
    }

    pub(crate) fn call_ends(&mut self, call: u64) {
        let Some(ask) = self.calls.asks.remove(&call) else { return };
        if let Some(asked) = ask.asked {
            let function = ask.function.as_str().into();
            self.send(asked, Message::TicketWithdraw { ask: call, function });
        }
    }

    /// One step for an ask: refuse it, or ask the steward, or the deputy where the steward is silent.
    fn drive_ask(&mut self, call: u64) {
        let now = self.now;
        let Some(ask) = self.calls.asks.get_mut(&call) else { return };
        if now >= ask.ends_at {
            self.refuse_call(call, RefusedAs::NoTimeLeft, "no time left", Micros::from_secs(1));
            return;
        }
        if now < ask.next_at {
            return;
        }
        if self.configuration.is_doubted() {
            ask.next_at = now + ASK_AGAIN;
            return;
        }
        ask.tries += 1;
        let tries = ask.tries;
        let function = ask.function.clone();
        if let Some(asked) = ask.asked.filter(|asked| *asked != self.settings.node) {
            let asked_at = ask.asked_at;
            self.calls.note_silence(asked, asked_at, now);
        }
        if !self.configuration.current().functions.contains_key(&function) {
            self.refuse_call(call, RefusedAs::NoFunction, "function not configured", Micros::from_secs(1));
            return;
        }
        let holder = self.leader_of(&function);
        let steward = holder.filter(|node| {
            *node == self.settings.node
                || (self.members.find(*node).is_some() && !self.calls.is_silent(*node, now))
        });
        if steward.is_none() {
            self.stewards.election.call_waits(&function);
        }
        let Some(ask) = self.calls.asks.get(&call) else { return };
        // A steward that did not answer in time, and one that denies being it, make way for the
        // deputy; each further try turns between the two.
        let is_steward_turn = !(ask.asked.is_some() && ask.asked == steward && !ask.asked_deputy);
        let (node, is_deputy) = match steward {
            Some(steward_node) if is_steward_turn => (steward_node, false),
            _ => match self.deputy_of(&function, holder) {
                Some(deputy_node) => (deputy_node, true),
                None => match steward {
                    Some(steward_node) => (steward_node, false),
                    None => {
                        self.put_off(call, self.ask_again_after(tries));
                        return;
                    }
                },
            },
        };
        let is_leader_out_of_reach = holder.is_some_and(|leader| self.is_out_of_reach(leader));
        let Some(ask) = self.calls.asks.get_mut(&call) else { return };
        ask.asked = Some(node);
        ask.asked_at = now;
        ask.asked_deputy = is_deputy;
        ask.next_at = now + STEWARD_PATIENCE;
        let message = Message::TicketAsk {
            ask: call,
            function: function.into(),
            time_left_micros: (ask.ends_at - now).0,
            extra: u8::try_from(ask.dispatches).unwrap_or(u8::MAX),
            avoid: ask.avoid.as_str().into(),
            deputy: match (is_deputy, is_leader_out_of_reach) {
                (false, _) => NOT_AS_DEPUTY,
                (true, false) => AS_DEPUTY,
                (true, true) => AS_RELAY,
            },
            target_left_micros: match ask.urgency.late_at {
                Micros(u64::MAX) => u64::MAX,
                late_at => (late_at - now).0,
            },
            rank: ask.urgency.rank,
            nested: u8::from(ask.urgency.is_nested),
            tenant: ask.urgency.tenant,
        };
        self.send(node, message);
    }

    /// Who leads a function: by its record, or by a newer word of a leader that the record does not show yet.
    pub(crate) fn leader_of(&self, function: &str) -> Option<NodeId> {
        let by_record = self.stewards.election.holder(function, self.now);
        let told = self.calls.told_leaders.get(function);
        let told = told.filter(|told| self.now < told.told_at + TOLD_LEADER_SPAN);
        match (by_record, told) {
            (Some((node, epoch)), Some(told)) if epoch >= told.steward_epoch => Some(node),
            (_, Some(told)) => Some(told.leader),
            (by_record, None) => by_record.map(|(node, _)| node),
        }
    }

    /// Until a call asks again that found nobody with a ticket to give.
    fn ask_again_after(&self, tries: u32) -> Micros {
        let fleet_pause = Micros(PAUSE_A_MEMBER.0 * self.member_count() as u64);
        let longest = fleet_pause.clamp(ASK_AGAIN_AT_MOST, LARGE_FLEET_ASK_AGAIN);
        let doublings = tries.saturating_sub(2).min(8);
        Micros(ASK_AGAIN.0 << doublings).min(longest)
    }

    fn put_off(&mut self, call: u64, pause: Micros) {
        let next_at = self.now + pause;
        if let Some(ask) = self.calls.asks.get_mut(&call) {
            ask.next_at = next_at;
        }
    }

    /// The next node by rendezvous hash after the steward, of those that can be reached.
    fn deputy_of(&self, function: &str, steward: Option<NodeId>) -> Option<NodeId> {
        let reachable = self
            .serving_members()
            .into_iter()
            .filter(|node| Some(*node) != steward && !self.calls.is_silent(*node, self.now));
        Node::rendezvous_choice(function, reachable)
    }

    fn refuse_call(&mut self, call: u64, refused_as: RefusedAs, reason: &str, retry_after: Micros) {
        self.call_ends(call);
        self.act(Act::CallRefused { call, refused_as, reason: reason.to_owned(), retry_after });
    }

    pub(crate) fn take_call_message(&mut self, from: NodeId, message: Message) {
        match message {
            Message::TicketGranted { ask, ticket } if is_relayed(ask) => {
                self.relayed_grant(from, ask, ticket);
            }
            Message::TicketHeldBack { ask, outcome, reason, retry_after_millis } if is_relayed(ask) => {
                let Some((asker, own_ask)) = self.calls.relay.answered(ask, from) else { return };
                if outcome != 0 {
                    self.calls.relay.finish(ask);
                }
                self.send(
                    asker,
                    Message::TicketHeldBack { ask: own_ask, outcome, reason, retry_after_millis },
                );
            }
            Message::TicketGranted { ask, ticket } => self.ticket_granted(from, ask, ticket),
            Message::TicketHeldBack { ask, outcome, reason, retry_after_millis } => {
                let Some(call_ask) = self.calls.asks.get(&ask) else { return };
                if call_ask.asked != Some(from) {
                    return;
                }
                match outcome {
                    0 => self.put_off(ask, KEEP_ALIVE),
                    1 => {
                        let retry_after = Micros::from_millis(retry_after_millis.min(600_000));
                        self.refuse_call(ask, RefusedAs::TurnedDown, &reason.0, retry_after);
                    }
                    _ => {
                        // Not the steward, or a deputy without room: look again shortly.
                        let tries = call_ask.tries;
                        let pause = if tries <= 1 { Micros(0) } else { self.ask_again_after(tries) };
                        self.put_off(ask, pause);
                    }
                }
                // A steward that keeps an ask waiting is alive: it is asked again, not the deputy.
                if outcome == 0
                    && let Some(call_ask) = self.calls.asks.get_mut(&ask)
                {
                    call_ask.asked_deputy = true;
                }
            }
            Message::HeldAsk { functions } => {
                let mut answers = Vec::new();
                for HeldAskEntry { function, steward_epoch } in functions.0 {
                    self.calls.note_leader(&function.0, from, steward_epoch, self.now);
                    self.calls.tickets.saw_epoch(&function.0, steward_epoch);
                    let tickets = List(self.calls.held_for(&function.0, self.now));
                    answers.push(HeldAnswerEntry { function, steward_epoch, tickets });
                }
                self.send(from, Message::HeldAnswer { functions: List(answers) });
            }
            _ => {}
        }
    }

    fn ticket_granted(&mut self, from: NodeId, call: u64, ticket: Ticket) {
        let now = self.now;
        let ask = self.calls.asks.get(&call).filter(|ask| ask.function == ticket.function.0);
        let ask_ends_at = ask.map(|ask| ask.ends_at);
        let is_barred = self.configuration.is_doubted() || self.is_barred(&ticket);
        if ticket.steward_epoch > 0 {
            self.calls.note_leader(&ticket.function.0, ticket.granted_by, ticket.steward_epoch, now);
        }
        match self.calls.tickets.admit(&ticket, ask_ends_at, is_barred, now) {
            TicketAdmission::Repeated => {}
            TicketAdmission::Returned { is_wanted } => {
                self.send(from, Message::TicketReturn { ticket, how: UNUSED, latency_micros: 0 });
                if is_wanted {
                    self.put_off(call, ASK_AGAIN);
                }
            }
            TicketAdmission::Used => {
                let tenant = self.calls.asks.remove(&call).and_then(|ask| ask.tenant);
                self.count_usage(ticket.id, tenant);
                if ticket.granted_by != from {
                    self.calls.relayed_by.insert(ticket.id, from);
                }
                self.act(Act::CallGranted { call, ticket });
            }
        }
    }

    pub(crate) fn ticket_done(&mut self, ticket: &Ticket, how: u8, latency: Micros) {
        self.calls.tickets.done(ticket.id);
        self.settle_usage(ticket.id, how);
        let message = Message::TicketReturn { ticket: ticket.clone(), how, latency_micros: latency.0 };
        // The steward of now may count a ticket that a deputy, or the steward before, granted.
        let steward = self.leader_of(&ticket.function.0);
        if let Some(steward) = steward.filter(|node| *node != ticket.granted_by) {
            self.send(steward, message.clone());
        }
        if let Some(relay) = self.calls.relayed_by.remove(&ticket.id) {
            self.send(relay, message.clone());
        }
        self.send(ticket.granted_by, message);
    }

    /// Passes an ask on to the function's leader for a node that cannot reach it; `true` if it went.
    pub(crate) fn relay_ask(&mut self, asker: NodeId, leader: NodeId, mut message: Message) -> bool {
        let now = self.now;
        let Message::TicketAsk { ref mut ask, time_left_micros, ref mut deputy, .. } = message else {
            return false;
        };
        let is_serving = self.members.find(leader).is_some_and(|news| news.draining == 0);
        if leader == self.settings.node || leader == asker || !is_serving {
            return false;
        }
        let before = self.calls.relay.number_of(asker, *ask).and_then(|number| self.calls.relay.get(number));
        let unanswered = before.filter(|relayed| relayed.leader == leader);
        let unanswered_since = unanswered.and_then(|relayed| relayed.unanswered_since);
        if let Some(asked_at) = unanswered_since.filter(|asked_at| now >= *asked_at + STEWARD_PATIENCE) {
            self.calls.note_silence(leader, asked_at, now);
        }
        if self.calls.is_silent(leader, now) {
            return false;
        }
        let ends_at = now + Micros(time_left_micros);
        let Some(number) = self.calls.relay.pass_on(asker, *ask, leader, ends_at, now) else { return false };
        *ask = number;
        // Whoever is asked by a relay answers for itself: an ask is passed on once.
        *deputy = NOT_AS_DEPUTY;
        self.send(leader, message);
        true
    }

    /// Whether a node left asks unanswered, and was not heard otherwise, for so long that it is likelier cut off
    /// from this one than slow.
    fn is_out_of_reach(&self, node: NodeId) -> bool {
        let is_silent = self.calls.is_silent(node, self.now);
        let heard_at = self.calls.heard_at.get(&node);
        is_silent && heard_at.is_some_and(|heard_at| self.now >= *heard_at + OUT_OF_REACH_AFTER)
    }

    /// Whether a node was heard within the time that an ask has for its answer.
    pub(crate) fn is_heard_lately(&self, node: NodeId) -> bool {
        let heard_at = self.calls.heard_at.get(&node);
        heard_at.is_some_and(|heard_at| self.now < *heard_at + STEWARD_PATIENCE)
    }

    fn relayed_grant(&mut self, from: NodeId, number: u64, ticket: Ticket) {
        let ends_at = self.calls.relay.end_of(number);
        let asker = self.calls.relay.answered(number, from);
        let (Some(ends_at), Some((asker, ask))) = (ends_at, asker) else {
            self.send(from, Message::TicketReturn { ticket, how: UNUSED, latency_micros: 0 });
            return;
        };
        self.calls.relay.note_ticket(&ticket, ends_at);
        self.send(asker, Message::TicketGranted { ask, ticket });
    }

    /// The call of a relayed ask is over.
    pub(crate) fn relayed_withdraw(&mut self, asker: NodeId, ask: u64, function: &str) {
        let number = self.calls.relay.number_of(asker, ask);
        let Some((number, relayed)) =
            number.and_then(|number| Some((number, self.calls.relay.finish(number)?)))
        else {
            return;
        };
        self.send(relayed.leader, Message::TicketWithdraw { ask: number, function: function.into() });
    }

    /// A ticket that went through this node is returned through it.
    pub(crate) fn relayed_return(&mut self, ticket: Ticket, how: u8, latency_micros: u64) {
        let granted_by = ticket.granted_by;
        if granted_by != self.settings.node && self.calls.relay.takes_back(&ticket) {
            self.send(granted_by, Message::TicketReturn { ticket, how, latency_micros });
        }
    }

    /// The cells that a steward told it knows to run.
    pub(crate) fn known_ready(&self, function: &str) -> Vec<ReadyCell> {
        let Some(body) = self.news.body(&format!("cells/{function}")) else { return Vec::new() };
        let Ok((_, cells_news)) = CellsNews::from_bytes((&body.0, 0)) else { return Vec::new() };
        cells_news
            .cells
            .0
            .into_iter()
            .map(|entry| ReadyCell { id: entry.cell.0, address: entry.address.socket() })
            .collect()
    }

    pub(crate) fn tick_calls(&mut self) {
        let now = self.now;
        let due_calls: Vec<u64> = self
            .calls
            .asks
            .iter()
            .filter(|(_, ask)| now >= ask.next_at || now >= ask.ends_at)
            .map(|(call, _)| *call)
            .collect();
        for call in due_calls {
            self.drive_ask(call);
        }
        self.calls.tickets.expire(now);
        self.calls.relay.expire(now);
        let CallPart { relayed_by, tickets, .. } = &mut self.calls;
        relayed_by.retain(|ticket, _| tickets.is_known(*ticket));
        self.calls.told_leaders.retain(|_, told| now < told.told_at + TOLD_LEADER_SPAN);
        self.calls.silent_since.retain(|_, since| now < *since + SILENCE_REMEMBERED);
    }
}
