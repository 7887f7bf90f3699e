//! What a leader hands to the one that it gives a function to: the tickets that are out, and who waits.

use super::{FunctionWork, OpenTicket, Urgency};
use monotonic_clock::Micros;
use peer_messages::{HandedDemand, HandedTicket, HeldTicket, NodeId, Ticket};

/// An ask that waits as its leader goes. Example: see `FunctionWork::hand_over`.
#[derive(Clone, Debug, PartialEq)]
pub struct HandedAsk {
    /// Who asks, and under which number.
    pub asker: NodeId,
    /// The ask's number.
    pub ask: u64,
    /// Until the call's time is over.
    pub time_left: Micros,
    /// Dispatches of the call so far.
    pub dispatches: u32,
    /// The cell that the last of them failed on; empty for none.
    pub avoid: String,
    /// Until the call's answer is late; none where no lane names a target.
    pub target_left: Option<Micros>,
    /// Zero goes first.
    pub rank: u16,
    /// Tells apart who calls; zero where no tenant does.
    pub tenant: u32,
    /// A call under way made it.
    pub is_nested: bool,
}

/// A function's work as its leader goes. Example: `let handed = work.hand_over(now);`.
#[derive(Clone, Debug, PartialEq)]
pub struct HandedWork {
    /// Whether the tickets are all that are out: a leader that still asks for others' does not know.
    pub is_whole: bool,
    /// The tickets that are out.
    pub tickets: Vec<HandedTicket>,
    /// Who waits, in the order of the list.
    pub asks: Vec<HandedAsk>,
    /// What was seen of the calls, and how many cells are kept for them.
    pub demand: HandedDemand,
}

impl FunctionWork {
    /// Empties the list of those who wait and tells what is under way; nothing is granted any more.
    /// Example: `let handed = work.hand_over(now);`.
    pub fn hand_over(&mut self, now: Micros) -> HandedWork {
        let waiting = std::mem::take(&mut self.waitlist).into_iter().filter(|waiting| now < waiting.ends_at);
        let asks = waiting.map(|waiting| HandedAsk {
            asker: waiting.asker,
            ask: waiting.ask,
            time_left: waiting.ends_at - now,
            dispatches: waiting.dispatches,
            avoid: waiting.avoid,
            target_left: (waiting.urgency.late_at != Urgency::default().late_at)
                .then(|| waiting.urgency.late_at - now),
            rank: waiting.urgency.rank,
            tenant: waiting.urgency.tenant,
            is_nested: waiting.urgency.is_nested,
        });
        let cells_kept = self.demanded_cells().total().min(self.keepable_cells());
        let tickets = self.open.values().map(|open| HandedTicket {
            asker: open.asker,
            held: HeldTicket { ticket: open.ticket.clone(), ends_in_micros: (open.ends_at - now).0 },
            is_over: u8::from(open.is_over),
        });
        HandedWork {
            is_whole: !self.is_careful(now),
            tickets: tickets.collect(),
            asks: asks.collect(),
            demand: HandedDemand {
                cells_kept,
                usual_latency_micros: if self.knows_latency { self.usual_latency.0 } else { 0 },
                boot_micros: self.learnt_boot.0,
                ..self.demand.handed(now)
            },
        }
    }

    /// Takes over what the leader before knew to be out: cells are used in full at once, and only those who
    /// hold tickets are asked whether they still do.
    /// Example: `work.take_over(handed.tickets, now)`.
    pub fn take_over(&mut self, tickets: Vec<HandedTicket>, now: Micros) {
        self.unheard.clear();
        self.careful_until = now;
        for handed in tickets {
            let HandedTicket { asker, held, is_over } = handed;
            if !self.unheard.contains(&asker) && asker != self.own {
                self.unheard.push(asker);
            }
            if self.open.contains_key(&held.ticket.id) {
                continue;
            }
            if let Some(cell) = self.cells.get_mut(&held.ticket.cell.0) {
                cell.in_flight += 1;
            }
            let open_ticket = OpenTicket {
                cell: held.ticket.cell.0.clone(),
                asker,
                ask: 0,
                dispatches: 0,
                granted_at: None,
                ends_at: now + Micros(held.ends_in_micros),
                ticket: held.ticket,
                is_over: is_over == 1,
            };
            self.open.insert(open_ticket.ticket.id, open_ticket);
        }
    }

    /// Goes on from what the leader before saw of the calls and of the cells' boots.
    /// Example: `work.resume_demand(&handed.demand, now)`.
    pub fn resume_demand(&mut self, handed: &HandedDemand, now: Micros) {
        self.demand.resume(handed, now);
        if handed.called_for_micros > 0 {
            self.called_at = now;
        }
        if handed.cells_kept > 0 {
            self.hold_cells(handed.cells_kept, now);
        }
        if handed.usual_latency_micros > 0 {
            self.usual_latency = Micros(handed.usual_latency_micros);
            self.knows_latency = true;
        }
        if handed.boot_micros > 0 {
            let longest_boot = Micros(self.settings.boot.0 * 2);
            self.learnt_boot = Micros(handed.boot_micros).min(longest_boot);
        }
    }

    /// Tickets of leaders before that a node does not name any more were returned to them.
    pub(super) fn drop_returned(&mut self, node: NodeId, held: &[(Ticket, Micros)]) {
        let is_returned = |open: &OpenTicket| {
            let is_named = held.iter().any(|(ticket, _)| ticket.id == open.ticket.id);
            open.asker == node && open.granted_at.is_none() && !open.is_over && !is_named
        };
        let returned: Vec<u64> =
            self.open.iter().filter(|(_, open)| is_returned(open)).map(|(id, _)| *id).collect();
        for ticket_id in returned {
            let Some(open) = self.open.remove(&ticket_id) else { continue };
            if let Some(cell) = self.cells.get_mut(&open.cell) {
                cell.in_flight = cell.in_flight.saturating_sub(1);
            }
        }
    }
}

#[cfg(test)]
mod tests;
