//! What a call holds and gives back however it ends: memory, its place, its ask, its ticket.

use super::{Gateway, GatewayMessage, PermitResponse};
use function_scheduler::UNUSED;
use monotonic_clock::Micros;
use peer_messages::Permit;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;

/// Memory and a place among the open calls, given back when dropped.
pub(super) struct Held {
    pub(super) gateway: Arc<Gateway>,
    pub(super) bytes: usize,
}

impl Held {
    pub(super) fn grow(&mut self, byte_count: usize) -> bool {
        let used_before = self.gateway.memory_used.fetch_add(byte_count, Ordering::Relaxed);
        self.bytes += byte_count;
        used_before + byte_count <= self.gateway.settings.memory_limit
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.gateway.memory_used.fetch_sub(self.bytes, Ordering::Relaxed);
        self.gateway.calls_open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the ticket however the dispatch ends, a dropped connection of the visitor included.
pub(super) struct PermitGuard {
    pub(super) gateway: Arc<Gateway>,
    pub(super) permit: Option<Permit>,
    pub(super) began_at: Micros,
    /// How it went if nobody says otherwise.
    pub(super) outcome: u8,
}

impl PermitGuard {
    pub(super) fn done(&mut self, outcome: u8) {
        let Some(permit) = self.permit.take() else { return };
        let latency = self.gateway.clock.now() - self.began_at;
        // A lost return is harmless: the ticket runs out.
        let _ = self.gateway.link.try_send(GatewayMessage::Done { permit, outcome, latency });
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        self.done(self.outcome);
    }
}

/// A call's wait for a ticket. If the call ends meanwhile the ask is withdrawn, and a ticket that had
/// come and was not looked at yet is returned.
pub(super) struct PermitRequestGuard {
    pub(super) gateway: Arc<Gateway>,
    pub(super) call: u64,
    pub(super) response: oneshot::Receiver<PermitResponse>,
    pub(super) is_open: bool,
}

impl Drop for PermitRequestGuard {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        self.response.close();
        let link = &self.gateway.link;
        let _ = match self.response.try_recv() {
            Ok(PermitResponse::Granted(permit)) => {
                link.try_send(GatewayMessage::Done { permit, outcome: UNUSED, latency: Micros(0) })
            }
            Ok(PermitResponse::Refused { .. }) => Ok(()),
            Err(_) => link.try_send(GatewayMessage::End { call: self.call }),
        };
    }
}
