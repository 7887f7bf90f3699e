use crate::extra_budget::{DeputyExtras, ExtraBound};
use crate::{NOT_RUN, RAN, TURNED_AWAY, UNKNOWN};
use monotonic_clock::Micros;
use peer_messages::{Address, NodeId, Ticket};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A cell that the platform lists, not leaving.
/// Example: `DeputyCell { id: "c1".into(), address, is_known: true }`.
#[derive(Clone, Debug, PartialEq)]
pub struct DeputyCell {
    /// The platform's id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether a steward told that it runs; another one may still boot.
    pub is_known: bool,
}

/// An ask that the deputy may grant. Example: `DeputyAsk { ticket_id: 4, function: "proof", .. }`.
#[derive(Clone, Copy, Debug)]
pub struct DeputyAsk<'a> {
    /// The number that the ticket gets.
    pub ticket_id: u64,
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
/// Example: `deputy.grant(own, ask, &cells, 8, now)`.
#[derive(Debug)]
pub struct DeputyWork {
    open: BTreeMap<u64, (String, Micros)>,
    /// Cells that answered this deputy, and cells not to be tried before a time.
    proved: BTreeMap<String, Micros>,
    doubted_until: BTreeMap<String, Micros>,
    backed_off_until: Micros,
    /// How long the next turn-away backs off.
    back_off: Option<Micros>,
    /// Calls at once over all cells since a turn-away, growing with each answer; none before one.
    cap: Option<f64>,
    /// Answers since the last turn-away: as long as none comes, cells have more room than a quarter.
    answers: u32,
    extras: DeputyExtras,
}

const BACK_OFF: Micros = Micros::from_secs(2);
const LONGEST_BACK_OFF: Micros = Micros::from_secs(16);
/// So many answers let one call more in after a turn-away.
const ANSWERS_FOR_ONE_MORE: f64 = 8.0;
/// So many answers without a turn-away let each cell have one call more, up to half.
const ANSWERS_FOR_A_CALL_MORE: u32 = 48;
/// A cell that was tried in vain is left alone for so long.
const TRIAL_PAUSE: Micros = Micros::from_millis(500);
/// What a cell's answer proves lasts as long as no failure speaks against it, and at the most so long.
const PROVED_SPAN: Micros = Micros::from_secs(60);
/// Extra dispatches of one deputy in a window where no part was told.
const EXTRA_PART: u32 = 3;

impl Default for DeputyWork {
    fn default() -> DeputyWork {
        DeputyWork {
            open: BTreeMap::new(),
            proved: BTreeMap::new(),
            doubted_until: BTreeMap::new(),
            backed_off_until: Micros(0),
            back_off: None,
            cap: None,
            answers: 0,
            extras: DeputyExtras::new(EXTRA_PART as usize, ExtraBound::default().span()),
        }
    }
}

impl DeputyWork {
    /// The extra dispatches that this deputy may grant: its node's part of the bound, and none before
    /// a time. Example: `deputy.share_extras(bound.deputy_part(10), bound.span(), started_at + bound.span())`.
    pub fn share_extras(&mut self, part: usize, span: Micros, opens_at: Micros) {
        self.extras.part = part;
        self.extras.span = span;
        self.extras.opens_at = opens_at;
    }

    /// Grants a ticket if a cell has room under the reduced limit.
    /// Example: `deputy.grant(..) == None` right after a turn-away.
    pub fn grant(
        &mut self,
        own: NodeId,
        ask: DeputyAsk,
        cells: &[DeputyCell],
        calls_at_once: u32,
        now: Micros,
    ) -> Option<Ticket> {
        self.open.retain(|_, (_, ticket_end)| now < *ticket_end);
        self.doubted_until.retain(|_, until| now < *until);
        self.proved.retain(|_, proved_at| now < *proved_at + PROVED_SPAN);
        let is_capped = self.cap.is_some_and(|cap| self.open.len() as f64 >= cap.floor());
        if now < self.backed_off_until || is_capped {
            return None;
        }
        let in_flight = |cell: &str| self.open.values().filter(|(open_cell, _)| open_cell == cell).count();
        let grown = self.answers / ANSWERS_FOR_A_CALL_MORE;
        let limit = (calls_at_once / 4 + grown).min(calls_at_once / 2).max(1) as usize;
        let (.., picked_cell) = cells
            .iter()
            .filter(|cell| cell.id != ask.avoid && !self.doubted_until.contains_key(&cell.id))
            .map(|cell| {
                let is_known = cell.is_known || self.proved.contains_key(&cell.id);
                (!is_known, in_flight(&cell.id), cell)
            })
            .filter(|(is_trial, count, _)| *count < if *is_trial { 1 } else { limit })
            .min_by_key(|(is_trial, count, cell)| (*is_trial, *count, cell.id.clone()))?;
        if ask.is_extra && !self.extras.spend(now) {
            return None;
        }
        self.open.insert(ask.ticket_id, (picked_cell.id.clone(), ask.ends_at));
        Some(Ticket {
            id: ask.ticket_id,
            granted_by: own,
            steward_epoch: 0,
            function: ask.function.into(),
            cell: picked_cell.id.as_str().into(),
            address: Address::from(picked_cell.address),
        })
    }

    /// Takes a ticket back. Example: `deputy.returned(ticket.id, RAN, now)`.
    pub fn returned(&mut self, ticket_id: u64, how: u8, now: Micros) {
        let Some((cell, _)) = self.open.remove(&ticket_id) else { return };
        match how {
            RAN => {
                self.proved.insert(cell, now);
                self.cap = self.cap.map(|cap| cap + 1.0 / ANSWERS_FOR_ONE_MORE);
                self.answers = self.answers.saturating_add(1);
            }
            NOT_RUN | UNKNOWN => {
                self.proved.remove(&cell);
                self.doubted_until.insert(cell, now + TRIAL_PAUSE);
            }
            // Somebody else fills the cells: another deputy, or a steward beyond a cut. Those that
            // went out together count once.
            TURNED_AWAY if now >= self.backed_off_until => {
                let span = self.back_off.unwrap_or(BACK_OFF);
                self.backed_off_until = now + span;
                self.back_off = Some(Micros(span.0 * 2).min(LONGEST_BACK_OFF));
                self.cap = Some(1.0);
                self.answers = 0;
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
