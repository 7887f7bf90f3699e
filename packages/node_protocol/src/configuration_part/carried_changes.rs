//! Operators' changes that this node passed on: carried to the owner of the configuration's key, sent anew
//! while they have no outcome, and answered in time whatever becomes of them.

use super::{Asker, CHANGE_SPAN, CHANGE_WAITLIST, RETRY_PAUSE, UNCONFIRMED, overloaded};
use crate::Act;
use crate::node::Node;
use configuration_schema::{Change, ChangeOutcome};
use control_registers::CONFIGURATION_KEY;
use monotonic_clock::Micros;
use peer_messages::{Bytes, Message, NodeId, rendezvous_weight};

/// A change is sent anew after this without an outcome.
const CARRY_PATIENCE: Micros = Micros::from_millis(1_000);
/// After so many sendings without an outcome the next voter is tried: an owner that is cut off from the other
/// voters is heard by everybody else, and settles nothing.
const TRIES_EACH: u32 = 2;
/// An operator that hears nothing goes on to another node after about a second: a node that reaches no
/// majority says so before that, and carries the change on all the same.
const ANSWER_WITHIN: Micros = Micros::from_millis(900);

/// A change passed on to the owner of the configuration's key.
#[derive(Debug)]
pub(super) struct CarriedChange {
    request: u64,
    change: Change,
    asked_at: Micros,
    sent_at: Micros,
    /// The owner it was sent to; none while there is no owner.
    owner: Option<NodeId>,
    /// How often it was sent.
    tries: u32,
    /// The operator was told that the outcome is not known yet.
    is_answered: bool,
    /// How long it is under way over this machine's link, at the most.
    travel: Micros,
}

impl Node {
    /// An operator's change: the owner of the configuration's key settles it, since changes that meet
    /// at one node never race; any other node passes it on.
    pub(crate) fn change_asked(&mut self, request: u64, change: Change) {
        if self.configuration.carried.len() >= CHANGE_WAITLIST {
            let outcome = overloaded();
            self.act(Act::ChangeAnswered { request, change_id: change.change_id, outcome });
            return;
        }
        let ask = self.fresh_ask();
        let carried = CarriedChange {
            request,
            change,
            asked_at: self.now,
            sent_at: self.now,
            owner: None,
            tries: 0,
            is_answered: false,
            travel: Micros(0),
        };
        self.configuration.carried.insert(ask, carried);
        self.carry_change(ask);
    }

    /// Sends a change to the owner of the configuration's key; repeating it is harmless, since its id
    /// is remembered with the configuration.
    fn carry_change(&mut self, ask: u64) {
        let now = self.now;
        let Some(carried) = self.configuration.carried.get(&ask) else { return };
        let owner = self.settling_voter((carried.tries / TRIES_EACH) as usize);
        let Some(carried) = self.configuration.carried.get_mut(&ask) else { return };
        carried.sent_at = now;
        carried.owner = owner;
        carried.tries += u32::from(owner.is_some());
        let Some(owner) = owner else { return };
        if owner == self.settings.node {
            let (change, asked_at) = (carried.change.clone(), carried.asked_at);
            self.await_turn(Asker { node: owner, ask }, change, asked_at);
            return;
        }
        let change = Bytes(serde_json::to_vec(&carried.change).unwrap_or_default());
        let seconds = self.settings.link_rate.map_or(0.0, |rate| change.0.len() as f64 / rate);
        carried.travel = Micros((seconds * 1e6) as u64);
        self.send(owner, Message::ChangeCarry { ask, change });
    }

    /// The voter to settle a change: the owner of the configuration's key first, then the others in the order
    /// in which they come after it.
    fn settling_voter(&self, place: usize) -> Option<NodeId> {
        let mut voters = self.owner_choices();
        voters.sort_by_key(|node| std::cmp::Reverse((rendezvous_weight(CONFIGURATION_KEY, *node), *node)));
        voters.get(place % voters.len().max(1)).copied()
    }

    /// The owner's outcome of a change that this node passed on.
    pub(crate) fn change_settled(&mut self, ask: u64, outcome_bytes: &Bytes) {
        let Ok(outcome) = serde_json::from_slice::<ChangeOutcome>(&outcome_bytes.0) else { return };
        let Some(carried) = self.configuration.carried.remove(&ask) else { return };
        if carried.is_answered {
            return;
        }
        let change_id = carried.change.change_id;
        self.act(Act::ChangeAnswered { request: carried.request, change_id, outcome });
    }

    /// Passed-on changes without an outcome are sent anew, perhaps to another owner, and given up
    /// with their fate unknown when their time is over.
    pub(super) fn tick_carried(&mut self) {
        self.probe_voters_for_changes();
        let asks: Vec<u64> = self.configuration.carried.keys().copied().collect();
        for ask in asks {
            self.tick_carried_change(ask);
        }
    }

    fn tick_carried_change(&mut self, ask: u64) {
        let now = self.now;
        let Some(carried) = self.configuration.carried.get(&ask) else { return };
        let (asked_at, is_over) = (carried.asked_at, now >= carried.asked_at + CHANGE_SPAN);
        let is_answer_due = now >= asked_at + ANSWER_WITHIN && !self.reached_majority_since(asked_at);
        if is_answer_due || is_over {
            self.answer_unconfirmed(ask);
        }
        if is_over {
            self.configuration.carried.remove(&ask);
        } else if self.must_carry_again(ask) {
            self.carry_change(ask);
        }
    }

    fn must_carry_again(&self, ask: u64) -> bool {
        let Some(carried) = self.configuration.carried.get(&ask) else { return false };
        let patience = match carried.owner {
            Some(_) => CARRY_PATIENCE + carried.travel,
            None => RETRY_PAUSE,
        };
        let is_owner_gone = carried.owner.is_some_and(|owner| self.members.find(owner).is_none());
        self.now >= carried.sent_at + patience || is_owner_gone
    }

    /// Finds out, while changes wait, whether this node has a way to a majority and back.
    fn probe_voters_for_changes(&mut self) {
        if self.configuration.carried.is_empty() {
            self.configuration.voter_answers.clear();
            return;
        }
        if self.configuration.voter_probe_event.due(self.now) {
            self.probe_voters();
        }
    }

    /// Notes that a node answered a probe of this one directly; kept while changes wait.
    pub(crate) fn probe_answered(&mut self, node: NodeId) {
        if !self.configuration.carried.is_empty() {
            self.configuration.voter_answers.insert(node, self.now);
        }
    }

    fn reached_majority_since(&self, since: Micros) -> bool {
        let answers = self.configuration.voter_answers.iter();
        let answering = answers.filter(|(_, answered_at)| **answered_at >= since).map(|(node, _)| *node);
        self.is_majority(&answering.collect())
    }

    /// Tells the operator, once, that a passed-on change has no outcome yet.
    fn answer_unconfirmed(&mut self, ask: u64) {
        let Some(carried) = self.configuration.carried.get_mut(&ask) else { return };
        if std::mem::replace(&mut carried.is_answered, true) {
            return;
        }
        let (request, change_id) = (carried.request, carried.change.change_id.clone());
        let outcome = ChangeOutcome::Unknown { reason: UNCONFIRMED.to_owned() };
        self.act(Act::ChangeAnswered { request, change_id, outcome });
    }
}
