use crate::retry_budget::{FallbackRetryBudget, RetryLimits};
use crate::{NOT_RUN, RAN, REFUSED_BUSY, UNKNOWN};
use monotonic_clock::Micros;
use peer_messages::{Address, NodeId, Permit};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A cell that the platform lists, not leaving.
/// Example: `FallbackInstance { id: "c1".into(), address, is_known: true }`.
#[derive(Clone, Debug, PartialEq)]
pub struct FallbackInstance {
    /// The platform's id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether a steward told that it runs; another one may still boot.
    pub is_known: bool,
}

/// An ask that the deputy may grant. Example: `FallbackRequest { permit_id: 4, function: "proof", .. }`.
#[derive(Clone, Copy, Debug)]
pub struct FallbackRequest<'a> {
    /// The number that the ticket gets.
    pub permit_id: u64,
    /// Its function.
    pub function: &'a str,
    /// Whether the call was dispatched before.
    pub is_extra: bool,
    /// The cell that its last dispatch failed on.
    pub avoid: &'a str,
    /// When the ticket runs out.
    pub ends_at: Micros,
}

/// Tickets for one function while its steward does not answer: within a quarter of what each cell
/// that is known to run may run, more as calls are answered, and backing off on the first turn-away. A
/// cell that the platform lists and nobody knows to run gets one call at a time, once the known ones
/// have no room; if that call is answered it is known. It starts and stops nothing.
///
/// Example: `fallback.grant(own, request, &instances, 8, now)`.
#[derive(Debug)]
pub struct FallbackScheduler {
    open: BTreeMap<u64, (String, Micros)>,
    /// Cells that answered this deputy, and cells not to be tried before a time.
    proved: BTreeMap<String, Micros>,
    suspected_until: BTreeMap<String, Micros>,
    backed_off_until: Micros,
    /// How long the next turn-away backs off.
    back_off: Option<Micros>,
    /// Calls at once over all cells since a turn-away, growing with each answer; none before one.
    cap: Option<f64>,
    /// Answers since the last turn-away: as long as none comes, cells have more room than a quarter.
    responses: u32,
    extras: FallbackRetryBudget,
}

const BACK_OFF: Micros = Micros::from_secs(2);
const LONGEST_BACK_OFF: Micros = Micros::from_secs(16);
/// So many answers let one call more in after a turn-away.
const RESPONSES_FOR_ONE_MORE: f64 = 8.0;
/// So many answers without a turn-away let each cell have one call more, up to half.
const RESPONSES_FOR_A_CALL_MORE: u32 = 48;
/// A cell that was tried in vain is left alone for so long.
const TRIAL_PAUSE: Micros = Micros::from_millis(500);
/// What a cell's answer proves lasts as long as no failure speaks against it, and at the most so long.
const PROVED_SPAN: Micros = Micros::from_secs(60);
/// Extra dispatches of one deputy in a window where no part was told.
const RETRY_SHARE: u32 = 3;

impl Default for FallbackScheduler {
    fn default() -> FallbackScheduler {
        FallbackScheduler {
            open: BTreeMap::new(),
            proved: BTreeMap::new(),
            suspected_until: BTreeMap::new(),
            backed_off_until: Micros(0),
            back_off: None,
            cap: None,
            responses: 0,
            extras: FallbackRetryBudget::new(RETRY_SHARE as usize, RetryLimits::default().span()),
        }
    }
}

impl FallbackScheduler {
    /// The extra dispatches that this deputy may grant: its node's part of the bound, and none before
    /// a time. Example: `fallback.set_retry_share(bound.fallback_share(10), bound.span(), started_at + bound.span())`.
    pub fn set_retry_share(&mut self, share: usize, span: Micros, opens_at: Micros) {
        self.extras.share = share;
        self.extras.span = span;
        self.extras.opens_at = opens_at;
    }

    /// Grants a ticket if a cell has room under the reduced limit.
    /// Example: `fallback.grant(..) == None` right after a turn-away.
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
        self.proved.retain(|_, proved_at| now < *proved_at + PROVED_SPAN);
        let is_capped = self.cap.is_some_and(|cap| self.open.len() as f64 >= cap.floor());
        if now < self.backed_off_until || is_capped {
            return None;
        }
        let in_flight = |instance: &str| {
            self.open.values().filter(|(open_instance, _)| open_instance == instance).count()
        };
        let grown = self.responses / RESPONSES_FOR_A_CALL_MORE;
        let limit = (calls_at_once / 4 + grown).min(calls_at_once / 2).max(1) as usize;
        let (.., picked_instance) = instances
            .iter()
            .filter(|instance| {
                instance.id != request.avoid && !self.suspected_until.contains_key(&instance.id)
            })
            .map(|instance| {
                let is_known = instance.is_known || self.proved.contains_key(&instance.id);
                (!is_known, in_flight(&instance.id), instance)
            })
            .filter(|(is_trial, count, _)| *count < if *is_trial { 1 } else { limit })
            .min_by_key(|(is_trial, count, instance)| (*is_trial, *count, instance.id.clone()))?;
        if request.is_extra && !self.extras.spend(now) {
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

    /// Takes a ticket back. Example: `fallback.returned(permit.id, RAN, now)`.
    pub fn returned(&mut self, permit_id: u64, outcome: u8, now: Micros) {
        let Some((instance, _)) = self.open.remove(&permit_id) else { return };
        match outcome {
            RAN => {
                self.proved.insert(instance, now);
                self.cap = self.cap.map(|cap| cap + 1.0 / RESPONSES_FOR_ONE_MORE);
                self.responses = self.responses.saturating_add(1);
            }
            NOT_RUN | UNKNOWN => {
                self.proved.remove(&instance);
                self.suspected_until.insert(instance, now + TRIAL_PAUSE);
            }
            // Somebody else fills the cells: another deputy, or a steward beyond a cut. Those that
            // went out together count once.
            REFUSED_BUSY if now >= self.backed_off_until => {
                let span = self.back_off.unwrap_or(BACK_OFF);
                self.backed_off_until = now + span;
                self.back_off = Some(Micros(span.0 * 2).min(LONGEST_BACK_OFF));
                self.cap = Some(1.0);
                self.responses = 0;
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
