//! The order of those who wait: by urgency, and among calls that are alike tenant by tenant.
//!
//! Each ask is given a turn when it comes: one after the last turn that was served, or one after the last ask of
//! its own tenant that waits, whichever is later. So a tenant's tenth ask that waits has the tenth turn from now,
//! and another tenant's first the next one: a crowd of one tenant waits behind itself (start-time fair queueing,
//! with each ask of the same size). Asks of one tenant keep the order they came in. Asks of no tenant are those of
//! one tenant. Whoever leaves the list unserved takes no turn: the tenant's later asks move up.
//!
//! Every second ask is served in the order they came in, whoever's it is, and of four newcomers to a full list one takes
//! another's place. By turns alone a large tenant would get as much as a small one, and so a small part of what it
//! asks for, where cells are short for long; so it gets at least half of what it would get in the order of coming.

use super::{QueuedRequest, Urgency};
use monotonic_clock::Micros;
use std::collections::VecDeque;

/// Of so many newcomers to a full list one takes the place of an ask of whoever has the most.
const NEWCOMERS_FOR_A_PLACE: u64 = 4;

/// The turn of an ask that has waited its turn already: none of its class goes before it.
pub(super) const AGAIN: u64 = 0;

/// Asks that are served strictly before or after others: nested ones first, then by rank.
type Class = (bool, u16);

/// Classes whose last turn is remembered; of more than these the first are forgotten.
const CLASSES_MOST: usize = 64;

fn class_of(urgency: &Urgency) -> Class {
    (!urgency.is_nested, urgency.rank)
}

/// The last turn that was served of each class, while somebody waits.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    served: Vec<(Class, u64)>,
    /// The next is served in the order they came in.
    is_first_come: bool,
    /// Newcomers to a full list in which others have more asks.
    crowded_out: u64,
}

impl Turns {
    /// The turn of an ask that comes now. Example: 1 where nobody waits.
    pub(super) fn next(&self, queue: &VecDeque<QueuedRequest>, urgency: &Urgency) -> u64 {
        let class = class_of(urgency);
        let own = queue.iter().filter(|waiting| waiting.urgency.tenant == urgency.tenant);
        let own = own.filter(|waiting| class_of(&waiting.urgency) == class);
        let last_own = own.map(|waiting| waiting.turn).max().unwrap_or(0);
        last_own.max(self.last_served(class)) + 1
    }

    fn last_served(&self, class: Class) -> u64 {
        let served = self.served.iter().find(|(known, _)| *known == class);
        served.map_or(0, |(_, turn)| *turn)
    }

    /// Whose turn it is among these, by place, if answers take until then.
    pub(super) fn first<'requests>(
        &self,
        waiting: impl Iterator<Item = (usize, &'requests QueuedRequest)>,
        answered_at: Micros,
    ) -> Option<usize> {
        let first = match self.is_first_come {
            true => waiting.min_by_key(|(place, request)| (request.urgency_at(answered_at), 0, *place)),
            false => {
                waiting.min_by_key(|(place, request)| (request.urgency_at(answered_at), request.turn, *place))
            }
        };
        first.map(|(place, _)| place)
    }

    /// All of them in the order in which they will be served.
    pub(super) fn in_order<'requests>(
        &self,
        queue: &'requests VecDeque<QueuedRequest>,
        answered_at: Micros,
    ) -> Vec<&'requests QueuedRequest> {
        // Whole keys are sorted, since machines are small and lists are long when it matters.
        let requests = queue.iter().enumerate();
        let mut by_coming: Vec<(u32, usize)> =
            requests.map(|(place, request)| (request.urgency_at(answered_at), place)).collect();
        let mut by_turn: Vec<(u32, u64, usize)> =
            by_coming.iter().map(|(urgency, place)| (*urgency, queue[*place].turn, *place)).collect();
        by_coming.sort_unstable();
        by_turn.sort_unstable();
        let mut is_taken = vec![false; queue.len()];
        let mut by_coming = by_coming.into_iter().map(|(_, place)| place);
        let mut by_turn = by_turn.into_iter().map(|(.., place)| place);
        let mut is_first_come = self.is_first_come;
        let mut order = Vec::with_capacity(queue.len());
        while order.len() < queue.len() {
            let is_free = |place: &usize| !is_taken[*place];
            let next = if is_first_come { by_coming.find(is_free) } else { by_turn.find(is_free) };
            let Some(place) = next else { break };
            is_taken[place] = true;
            is_first_come = !is_first_come;
            order.push(&queue[place]);
        }
        order
    }

    /// The place of the one that gives way to a newcomer to a full list, if it is not the newcomer that is refused:
    /// one of a lower rank, and else now and then the newest of whoever has the most waiting.
    pub(super) fn yields_to(
        &mut self,
        queue: &VecDeque<QueuedRequest>,
        newcomer: &QueuedRequest,
    ) -> Option<usize> {
        let (place, last) = queue.iter().enumerate().max_by_key(|(_, waiting)| waiting.standing())?;
        let (last_class, class) = (class_of(&last.urgency), class_of(&newcomer.urgency));
        if last_class != class || last.turn <= newcomer.turn {
            return (last_class > class).then_some(place);
        }
        self.crowded_out += 1;
        (self.crowded_out % NEWCOMERS_FOR_A_PLACE == 1).then_some(place)
    }

    /// An ask was served, and these still wait.
    pub(super) fn served(&mut self, queue: &VecDeque<QueuedRequest>, urgency: &Urgency, turn: u64) {
        if queue.is_empty() {
            self.served.clear();
            return;
        }
        self.is_first_come = !self.is_first_come;
        let class = class_of(urgency);
        match self.served.iter_mut().find(|(known, _)| *known == class) {
            Some((_, last)) => *last = turn.max(*last),
            None => {
                if self.served.len() >= CLASSES_MOST {
                    self.served.remove(0);
                }
                self.served.push((class, turn));
            }
        }
    }
}

/// An ask left the list without being served: its tenant's later ones move up by a turn.
pub(super) fn close_gap(queue: &mut VecDeque<QueuedRequest>, gone: &QueuedRequest) {
    let class = class_of(&gone.urgency);
    let later = queue.iter_mut().filter(|waiting| {
        waiting.urgency.tenant == gone.urgency.tenant
            && waiting.turn > gone.turn
            && class_of(&waiting.urgency) == class
    });
    later.filter(|_| gone.turn != AGAIN).for_each(|waiting| waiting.turn -= 1);
}

impl QueuedRequest {
    /// Who goes first: a call made by a running call, since its caller holds a slot meanwhile, and where such
    /// calls wait behind new ones the slots fill up with callers; then who can still be answered in time, for in a
    /// crowd that is late already everybody else would be late as well; then by rank. Least goes first.
    fn urgency_at(&self, answered_at: Micros) -> u32 {
        let urgency = &self.urgency;
        let is_late = answered_at > urgency.late_at;
        u32::from(!urgency.is_nested) << 17 | u32::from(is_late) << 16 | u32::from(urgency.rank)
    }

    /// Who keeps its place longest in a list that is full: whoever would be refused last is least. Of the tenant
    /// with the most asks of the lowest rank the one that came last goes first.
    fn standing(&self) -> (bool, u16, u64) {
        (!self.urgency.is_nested, self.urgency.rank, self.turn)
    }
}
