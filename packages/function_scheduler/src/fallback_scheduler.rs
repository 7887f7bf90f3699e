use crate::retry_budget::{FallbackRetryBudget, RetryLimits};
use crate::{NOT_RUN, RAN, REFUSED_BUSY, UNKNOWN};
use monotonic_clock::Micros;
use peer_messages::{Address, NodeId, Permit};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An instance that the platform lists as not draining.
/// Example: `FallbackInstance { id: "c1".into(), address, is_known: true }`.
#[derive(Clone, Debug, PartialEq)]
pub struct FallbackInstance {
    /// The platform's id.
    pub id: String,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Whether a leader reported it as running; otherwise it may still be booting.
    pub is_known: bool,
}

/// A permit request for the fallback scheduler.
/// Example: `FallbackRequest { permit_id: 4, function: "proof", .. }`.
#[derive(Clone, Copy, Debug)]
pub struct FallbackRequest<'a> {
    /// The id for the permit.
    pub permit_id: u64,
    /// The function to call.
    pub function: &'a str,
    /// Whether the call was dispatched before.
    pub is_retry: bool,
    /// The instance on which the last dispatch failed.
    pub avoid: &'a str,
    /// When the permit expires.
    pub ends_at: Micros,
}

/// Grants permits for one function while its leader does not respond. Each instance known to run is used up
/// to a quarter of its concurrency limit, and further as calls succeed; the first busy refusal makes the
/// scheduler back off. A listed instance that is not known to run gets one call at a time once the known ones
/// have no room, and counts as known after a response. Instances are never started or stopped here.
///
/// Example: `fallback.grant(own, request, &instances, 8, now)`.
#[derive(Debug)]
pub struct FallbackScheduler {
    open: BTreeMap<u64, (String, Micros)>,
    /// When each instance last responded to this scheduler's calls, and until when failed instances are
    /// skipped.
    last_responses: BTreeMap<String, Micros>,
    suspected_until: BTreeMap<String, Micros>,
    backed_off_until: Micros,
    /// The duration of the next back-off after a busy refusal.
    next_backoff: Option<Micros>,
    /// Limit on concurrent calls over all instances since a busy refusal, raised with each response; none
    /// before the first refusal.
    total_limit: Option<f64>,
    /// Responses since the last busy refusal. Without refusals, instances have room for more than a quarter
    /// of their limit.
    responses: u32,
    retries: FallbackRetryBudget,
}

const FIRST_BACKOFF: Micros = Micros::from_secs(2);
const MAX_BACKOFF: Micros = Micros::from_secs(16);
/// Responses needed to raise the limit over all instances by one call after a busy refusal.
const RESPONSES_PER_TOTAL_LIMIT_STEP: f64 = 8.0;
/// Responses without a busy refusal needed to raise each instance's limit by one call, up to half of its
/// concurrency.
const RESPONSES_PER_INSTANCE_LIMIT_STEP: u32 = 48;
/// How long an instance is skipped after a failed call.
const TRIAL_PAUSE: Micros = Micros::from_millis(500);
/// How long a response counts as proof that an instance runs, unless a failure comes first.
const PROOF_RETENTION: Micros = Micros::from_secs(60);
/// Retries of one fallback scheduler within a window until a share is set.
const DEFAULT_RETRY_SHARE: u32 = 3;

impl Default for FallbackScheduler {
    fn default() -> FallbackScheduler {
        FallbackScheduler {
            open: BTreeMap::new(),
            last_responses: BTreeMap::new(),
            suspected_until: BTreeMap::new(),
            backed_off_until: Micros(0),
            next_backoff: None,
            total_limit: None,
            responses: 0,
            retries: FallbackRetryBudget::new(DEFAULT_RETRY_SHARE as usize, RetryLimits::default().span()),
        }
    }
}

impl FallbackScheduler {
    /// Sets the retries this fallback scheduler may grant within a span (its node's share of the limit), and
    /// the time before which it grants none.
    /// Example: `fallback.set_retry_share(limits.fallback_share(10), limits.span(), started_at + limits.span())`.
    pub fn set_retry_share(&mut self, share: usize, span: Micros, opens_at: Micros) {
        self.retries.share = share;
        self.retries.span = span;
        self.retries.opens_at = opens_at;
    }

    /// Grants a permit if an instance has room under the reduced limit.
    /// Example: `fallback.grant(..) == None` right after a busy refusal.
    pub fn grant(
        &mut self,
        own: NodeId,
        request: FallbackRequest,
        instances: &[FallbackInstance],
        calls_at_once: u32,
        now: Micros,
    ) -> Option<Permit> {
        self.open.retain(|_, (_, permit_end)| now < *permit_end);
        self.suspected_until.retain(|_, until| now < *until);
        self.last_responses.retain(|_, responded_at| now < *responded_at + PROOF_RETENTION);
        let is_at_total_limit =
            self.total_limit.is_some_and(|total_limit| self.open.len() as f64 >= total_limit.floor());
        if now < self.backed_off_until || is_at_total_limit {
            return None;
        }
        let in_flight = |instance: &str| {
            self.open.values().filter(|(open_instance, _)| open_instance == instance).count()
        };
        let limit_increase = self.responses / RESPONSES_PER_INSTANCE_LIMIT_STEP;
        let limit = (calls_at_once / 4 + limit_increase).min(calls_at_once / 2).max(1) as usize;
        let (.., picked_instance) = instances
            .iter()
            .filter(|instance| {
                instance.id != request.avoid && !self.suspected_until.contains_key(&instance.id)
            })
            .map(|instance| {
                let is_known = instance.is_known || self.last_responses.contains_key(&instance.id);
                (!is_known, in_flight(&instance.id), instance)
            })
            .filter(|(is_trial, count, _)| *count < if *is_trial { 1 } else { limit })
            .min_by_key(|(is_trial, count, instance)| (*is_trial, *count, instance.id.clone()))?;
        if request.is_retry && !self.retries.spend(now) {
            return None;
        }
        self.open.insert(request.permit_id, (picked_instance.id.clone(), request.ends_at));
        Some(Permit {
            id: request.permit_id,
            granted_by: own,
            leader_epoch: 0,
            function: request.function.into(),
            instance: picked_instance.id.as_str().into(),
            address: Address::from(picked_instance.address),
        })
    }

    /// Records that a permit was returned, with the outcome of its call.
    /// Example: `fallback.handle_permit_return(permit.id, RAN, now)`.
    pub fn handle_permit_return(&mut self, permit_id: u64, outcome: u8, now: Micros) {
        let Some((instance, _)) = self.open.remove(&permit_id) else { return };
        match outcome {
            RAN => {
                self.last_responses.insert(instance, now);
                self.total_limit =
                    self.total_limit.map(|total_limit| total_limit + 1.0 / RESPONSES_PER_TOTAL_LIMIT_STEP);
                self.responses = self.responses.saturating_add(1);
            }
            NOT_RUN | UNKNOWN => {
                self.last_responses.remove(&instance);
                self.suspected_until.insert(instance, now + TRIAL_PAUSE);
            }
            // Other schedulers use these instances as well: another fallback, or a leader on the other side
            // of a partition. Refusals of calls dispatched before the back-off count once.
            REFUSED_BUSY if now >= self.backed_off_until => {
                let backoff = self.next_backoff.unwrap_or(FIRST_BACKOFF);
                self.backed_off_until = now + backoff;
                self.next_backoff = Some(Micros(backoff.0 * 2).min(MAX_BACKOFF));
                self.total_limit = Some(1.0);
                self.responses = 0;
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
