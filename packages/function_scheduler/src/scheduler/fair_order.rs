//! The order of the queue: by urgency class, and within a class fair between tenants.
//!
//! Start-time fair queueing with requests of equal size: on arrival each request gets a start tag, which is
//! one above the tag served last, or one above the last queued request of the same tenant, whichever is
//! higher. A tenant's tenth queued request is thus served in the tenth round from now and another tenant's
//! first in the next round, so a load spike of one tenant mostly delays that tenant. Requests of one tenant
//! keep their order of arrival. Requests without a tenant count as one tenant. A request that leaves the
//! queue unserved uses no tag: the tenant's later requests move up.
//!
//! Every second request is served in order of arrival, regardless of the tenant, and one in four newcomers to
//! a full queue replaces another request. By start tags alone, a large tenant would get as much as a small
//! one, and so only a small part of its requests, while instances are short for long; this way it gets at
//! least half of what it would get in order of arrival.

use super::{QueuedRequest, Urgency};
use monotonic_clock::Micros;
use std::collections::VecDeque;

/// One in this many newcomers to a full queue replaces a request of the tenant with the most requests.
const NEWCOMERS_PER_REPLACEMENT: u64 = 4;

/// The start tag of a retry: it has already been served once and goes first in its class.
pub(super) const RETRY_TAG: u64 = 0;

/// Priority class: nested requests before others, then by rank. Lower values go first.
type Class = (bool, u16);

/// Number of classes whose last served tag is kept; the oldest are dropped first.
const MAX_CLASSES: usize = 64;

fn class_of(urgency: &Urgency) -> Class {
    (!urgency.is_nested, urgency.rank)
}

/// The last served start tag of each class, while the queue is not empty.
#[derive(Clone, Debug, Default)]
pub(super) struct FairOrder {
    last_served_tags: Vec<(Class, u64)>,
    /// Whether the next request is served in order of arrival.
    next_by_arrival: bool,
    /// Newcomers of the same class that found the queue full with requests of higher tags.
    newcomers_to_full: u64,
}

impl FairOrder {
    /// The start tag of a request that arrives now. Example: 1 if the queue is empty.
    pub(super) fn next(&self, queue: &VecDeque<QueuedRequest>, urgency: &Urgency) -> u64 {
        let class = class_of(urgency);
        let own = queue.iter().filter(|waiting| waiting.urgency.tenant == urgency.tenant);
        let own = own.filter(|waiting| class_of(&waiting.urgency) == class);
        let last_own = own.map(|waiting| waiting.start_tag).max().unwrap_or(0);
        last_own.max(self.last_served(class)) + 1
    }

    fn last_served(&self, class: Class) -> u64 {
        let served = self.last_served_tags.iter().find(|(known, _)| *known == class);
        served.map_or(0, |(_, start_tag)| *start_tag)
    }

    /// The index of the request to serve next among these, if its response is expected at `answered_at`.
    pub(super) fn first<'queue>(
        &self,
        waiting: impl Iterator<Item = (usize, &'queue QueuedRequest)>,
        answered_at: Micros,
    ) -> Option<usize> {
        let first = match self.next_by_arrival {
            true => waiting.min_by_key(|(index, request)| (request.serving_key_at(answered_at), 0, *index)),
            false => waiting.min_by_key(|(index, request)| {
                (request.serving_key_at(answered_at), request.start_tag, *index)
            }),
        };
        first.map(|(index, _)| index)
    }

    /// The queue in the order in which it will be served.
    pub(super) fn in_order<'queue>(
        &self,
        queue: &'queue VecDeque<QueuedRequest>,
        answered_at: Micros,
    ) -> Vec<&'queue QueuedRequest> {
        // The keys are precomputed for sorting: this runs on small machines, and queues are long exactly
        // under load.
        let requests = queue.iter().enumerate();
        let mut by_arrival: Vec<(u32, usize)> =
            requests.map(|(index, request)| (request.serving_key_at(answered_at), index)).collect();
        let mut by_tag: Vec<(u32, u64, usize)> =
            by_arrival.iter().map(|(urgency, index)| (*urgency, queue[*index].start_tag, *index)).collect();
        by_arrival.sort_unstable();
        by_tag.sort_unstable();
        let mut is_ordered = vec![false; queue.len()];
        let mut by_arrival = by_arrival.into_iter().map(|(_, index)| index);
        let mut by_tag = by_tag.into_iter().map(|(.., index)| index);
        let mut next_by_arrival = self.next_by_arrival;
        let mut order = Vec::with_capacity(queue.len());
        while order.len() < queue.len() {
            let is_pending = |index: &usize| !is_ordered[*index];
            let next = if next_by_arrival { by_arrival.find(is_pending) } else { by_tag.find(is_pending) };
            let Some(index) = next else { break };
            is_ordered[index] = true;
            next_by_arrival = !next_by_arrival;
            order.push(&queue[index]);
        }
        order
    }

    /// The index of the request that a new request replaces in a full queue, or `None` if the newcomer is
    /// refused. A request of a lower class is replaced; within the class it is, once in
    /// [`NEWCOMERS_PER_REPLACEMENT`] times, the newest request of the tenant with the most queued requests.
    pub(super) fn replaced_by(
        &mut self,
        queue: &VecDeque<QueuedRequest>,
        newcomer: &QueuedRequest,
    ) -> Option<usize> {
        let (index, last) = queue.iter().enumerate().max_by_key(|(_, waiting)| waiting.eviction_key())?;
        let (last_class, class) = (class_of(&last.urgency), class_of(&newcomer.urgency));
        if last_class != class || last.start_tag <= newcomer.start_tag {
            return (last_class > class).then_some(index);
        }
        self.newcomers_to_full += 1;
        (self.newcomers_to_full % NEWCOMERS_PER_REPLACEMENT == 1).then_some(index)
    }

    /// Records that a request was served; `queue` holds those that still wait.
    pub(super) fn record_served(
        &mut self,
        queue: &VecDeque<QueuedRequest>,
        urgency: &Urgency,
        start_tag: u64,
    ) {
        if queue.is_empty() {
            self.last_served_tags.clear();
            return;
        }
        self.next_by_arrival = !self.next_by_arrival;
        let class = class_of(urgency);
        match self.last_served_tags.iter_mut().find(|(known, _)| *known == class) {
            Some((_, last)) => *last = start_tag.max(*last),
            None => {
                if self.last_served_tags.len() >= MAX_CLASSES {
                    self.last_served_tags.remove(0);
                }
                self.last_served_tags.push((class, start_tag));
            }
        }
    }
}

/// Moves the tenant's later requests up by one tag after a request left the queue unserved.
pub(super) fn close_gap(queue: &mut VecDeque<QueuedRequest>, removed: &QueuedRequest) {
    let class = class_of(&removed.urgency);
    let later = queue.iter_mut().filter(|waiting| {
        waiting.urgency.tenant == removed.urgency.tenant
            && waiting.start_tag > removed.start_tag
            && class_of(&waiting.urgency) == class
    });
    later.filter(|_| removed.start_tag != RETRY_TAG).for_each(|waiting| waiting.start_tag -= 1);
}

impl QueuedRequest {
    /// The sort key for serving; lowest goes first. Nested calls come first: their caller holds a slot
    /// meanwhile, and if they queued behind new calls the slots would fill up with waiting callers. Then come
    /// requests that can still be answered in time, since in a queue that is already late serving in order
    /// would make all others late as well; then lower ranks.
    fn serving_key_at(&self, answered_at: Micros) -> u32 {
        let urgency = &self.urgency;
        let is_late = answered_at > urgency.late_at;
        u32::from(!urgency.is_nested) << 17 | u32::from(is_late) << 16 | u32::from(urgency.rank)
    }

    /// The sort key for eviction from a full queue; the highest is evicted first. Within the lowest class
    /// this is the newest request of the tenant with the most queued requests.
    fn eviction_key(&self) -> (bool, u16, u64) {
        (!self.urgency.is_nested, self.urgency.rank, self.start_tag)
    }
}
