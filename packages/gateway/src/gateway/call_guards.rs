//! Guards that release what a call holds, however the call ends: memory, its place among the open calls, its
//! permit request, its permit.

use super::{Gateway, GatewayMessage, PermitResponse};
use function_scheduler::UNUSED;
use monotonic_clock::Micros;
use peer_messages::Permit;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;

/// Memory and a place among the open calls, released when dropped.
pub(super) struct CallReservation {
    pub(super) gateway: Arc<Gateway>,
    pub(super) bytes: usize,
}

impl CallReservation {
    /// Counts more bytes as used. Returns whether the memory of all calls is still within the limit.
    pub(super) fn reserve_memory(&mut self, byte_count: usize) -> bool {
        let used_before = self.gateway.memory_used.fetch_add(byte_count, Ordering::Relaxed);
        self.bytes += byte_count;
        used_before + byte_count <= self.gateway.settings.memory_limit
    }
}

impl Drop for CallReservation {
    fn drop(&mut self) {
        self.gateway.memory_used.fetch_sub(self.bytes, Ordering::Relaxed);
        self.gateway.calls_open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the permit however the dispatch ends, also when the client drops its connection.
pub(super) struct PermitGuard {
    pub(super) gateway: Arc<Gateway>,
    pub(super) permit: Option<Permit>,
    pub(super) began_at: Micros,
    /// The outcome reported if the guard is dropped without one.
    pub(super) outcome: u8,
}

impl PermitGuard {
    /// Returns the permit with this outcome, once; later calls do nothing.
    pub(super) fn return_permit(&mut self, outcome: u8) {
        let Some(permit) = self.permit.take() else { return };
        let latency = self.gateway.clock.now() - self.began_at;
        // A lost return is harmless: the permit expires.
        let _ = self.gateway.protocol_sender.try_send(GatewayMessage::Done { permit, outcome, latency });
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        self.return_permit(self.outcome);
    }
}

/// A call's wait for a permit. If the call ends meanwhile, the request is withdrawn, and a permit that has
/// arrived but was not read yet is returned.
pub(super) struct PermitRequestGuard {
    pub(super) gateway: Arc<Gateway>,
    pub(super) call: u64,
    pub(super) response: oneshot::Receiver<PermitResponse>,
    pub(super) is_pending: bool,
}

impl Drop for PermitRequestGuard {
    fn drop(&mut self) {
        if !self.is_pending {
            return;
        }
        self.response.close();
        let protocol_sender = &self.gateway.protocol_sender;
        let _ = match self.response.try_recv() {
            Ok(PermitResponse::Granted(permit)) => {
                protocol_sender.try_send(GatewayMessage::Done { permit, outcome: UNUSED, latency: Micros(0) })
            }
            Ok(PermitResponse::Refused { .. }) => Ok(()),
            Err(_) => protocol_sender.try_send(GatewayMessage::End { call: self.call }),
        };
    }
}
