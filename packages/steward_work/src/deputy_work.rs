use crate::TURNED_AWAY;
use crate::function_work::ReadyCell;
use clock_events::Micros;
use colleague_messages::{Address, NodeId, Ticket};
use std::collections::BTreeMap;

/// Tickets for one function while its steward does not answer: only for cells known to run, within a
/// quarter of what each may run, backing off on the first turn-away. It starts and stops nothing.
///
/// Example: `deputy.grant(own, 4, "proof", &ready, 8, "", ends_at, now)`.
#[derive(Debug, Default)]
pub struct DeputyWork {
    open: BTreeMap<u64, (String, Micros)>,
    backed_off_until: Micros,
    extra_window: (Micros, u32),
}

const BACK_OFF: Micros = Micros::from_secs(2);
/// The deputy's fixed part of the extra dispatches: so many in ten seconds.
const EXTRA_PART: u32 = 3;

impl DeputyWork {
    /// Grants a ticket if a known cell has room under the reduced limit.
    /// Example: `deputy.grant(..) == None` right after a turn-away.
    #[allow(clippy::too_many_arguments)]
    pub fn grant(
        &mut self,
        own: NodeId,
        ticketId: u64,
        function: &str,
        readyCells: &[ReadyCell],
        callsAtOnce: u32,
        isExtra: bool,
        avoid: &str,
        endsAt: Micros,
        now: Micros,
    ) -> Option<Ticket> {
        self.open.retain(|_, (_, ticketEnd)| now < *ticketEnd);
        if now < self.backed_off_until {
            return None;
        }
        let inFlight = |cell: &str| self.open.values().filter(|(openCell, _)| openCell == cell).count();
        let limit = (callsAtOnce as usize / 4).max(1);
        let (_, pickedCell) = readyCells
            .iter()
            .filter(|cell| cell.id != avoid)
            .map(|cell| (inFlight(&cell.id), cell))
            .filter(|(count, _)| *count < limit)
            .min_by_key(|(count, cell)| (*count, cell.id.clone()))?;
        if isExtra && !self.spend_extra(now) {
            return None;
        }
        self.open.insert(ticketId, (pickedCell.id.clone(), endsAt));
        Some(Ticket {
            id: ticketId,
            granted_by: own,
            steward_epoch: 0,
            function: function.into(),
            cell: pickedCell.id.as_str().into(),
            address: Address::from(pickedCell.address),
        })
    }

    fn spend_extra(&mut self, now: Micros) -> bool {
        if now >= self.extra_window.0 + Micros::from_secs(10) {
            self.extra_window = (now, 0);
        }
        self.extra_window.1 += 1;
        self.extra_window.1 <= EXTRA_PART
    }

    /// Takes a ticket back. Example: `deputy.returned(ticket.id, RAN, now)`.
    pub fn returned(&mut self, ticketId: u64, how: u8, now: Micros) {
        self.open.remove(&ticketId);
        if how == TURNED_AWAY {
            self.backed_off_until = now + BACK_OFF;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::RAN;
    use std::net::SocketAddr;

    #[test]
    fn a_deputy_grants_a_quarter_and_backs_off_on_the_first_turn_away() {
        let address = SocketAddr::from(([127, 0, 0, 1], 9_000));
        let readyCells = [ReadyCell { id: "c1".to_owned(), address }];
        let mut deputy = DeputyWork::default();
        let grant = |deputy: &mut DeputyWork, id: u64, isExtra: bool, now: Micros| {
            deputy.grant(7, id, "f", &readyCells, 8, isExtra, "", now + Micros::from_secs(4), now)
        };
        let first = grant(&mut deputy, 1, false, Micros(0)).expect("room");
        assert_eq!((first.steward_epoch, first.cell.0.as_str()), (0, "c1"));
        assert!(grant(&mut deputy, 2, false, Micros(0)).is_some());
        assert!(grant(&mut deputy, 3, false, Micros(0)).is_none(), "two of eight are a quarter");
        deputy.returned(1, TURNED_AWAY, Micros(0));
        assert!(grant(&mut deputy, 4, false, Micros(1)).is_none(), "backed off");
        assert!(grant(&mut deputy, 4, false, BACK_OFF).is_some());
        for ticketId in 10..20 {
            deputy.returned(4, RAN, BACK_OFF);
            deputy.returned(ticketId - 1, RAN, BACK_OFF);
            let isGranted = grant(&mut deputy, ticketId, true, BACK_OFF).is_some();
            assert_eq!(isGranted, ticketId < 10 + u64::from(EXTRA_PART), "extra ticket {ticketId}");
        }
        assert!(grant(&mut deputy, 30, false, Micros::from_secs(60)).is_some(), "lost tickets run out");
    }
}
