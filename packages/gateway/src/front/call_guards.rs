//! What a call holds and gives back however it ends: memory, its place, its ask, its ticket.

use super::{Front, FrontLink, TicketAnswer};
use function_scheduler::UNUSED;
use monotonic_clock::Micros;
use peer_messages::Ticket;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;

/// Memory and a place among the open calls, given back when dropped.
pub(super) struct Held {
    pub(super) front: Arc<Front>,
    pub(super) bytes: usize,
}

impl Held {
    pub(super) fn grow(&mut self, byte_count: usize) -> bool {
        let used_before = self.front.memory_used.fetch_add(byte_count, Ordering::Relaxed);
        self.bytes += byte_count;
        used_before + byte_count <= self.front.settings.memory_limit
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.front.memory_used.fetch_sub(self.bytes, Ordering::Relaxed);
        self.front.calls_open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the ticket however the dispatch ends, a dropped connection of the visitor included.
pub(super) struct TicketGuard {
    pub(super) front: Arc<Front>,
    pub(super) ticket: Option<Ticket>,
    pub(super) began_at: Micros,
    /// How it went if nobody says otherwise.
    pub(super) how: u8,
}

impl TicketGuard {
    pub(super) fn done(&mut self, how: u8) {
        let Some(ticket) = self.ticket.take() else { return };
        let latency = self.front.clock.now() - self.began_at;
        // A lost return is harmless: the ticket runs out.
        let _ = self.front.link.try_send(FrontLink::Done { ticket, how, latency });
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        self.done(self.how);
    }
}

/// A call's wait for a ticket. If the call ends meanwhile the ask is withdrawn, and a ticket that had
/// come and was not looked at yet is returned.
pub(super) struct AskGuard {
    pub(super) front: Arc<Front>,
    pub(super) call: u64,
    pub(super) answer: oneshot::Receiver<TicketAnswer>,
    pub(super) is_open: bool,
}

impl Drop for AskGuard {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        self.answer.close();
        let link = &self.front.link;
        let _ = match self.answer.try_recv() {
            Ok(TicketAnswer::Granted(ticket)) => {
                link.try_send(FrontLink::Done { ticket, how: UNUSED, latency: Micros(0) })
            }
            Ok(TicketAnswer::Refused { .. }) => Ok(()),
            Err(_) => link.try_send(FrontLink::End { call: self.call }),
        };
    }
}
