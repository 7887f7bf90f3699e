//! The bodies of responses to clients.

use super::call_guards::{CallReservation, PermitGuard};
use crate::instance_dispatch::ResponseRest;
use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use function_scheduler::{RAN, UNKNOWN};
use futures_util::StreamExt;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};

/// A buffered response body that keeps its memory counted until the server has taken it.
pub(super) struct BufferedBody {
    pub(super) body: Option<Bytes>,
    pub(super) _reservation: CallReservation,
}

impl MessageBody for BufferedBody {
    type Error = std::convert::Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.body.as_ref().map_or(0, Bytes::len) as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Poll::Ready(self.body.take().filter(|body| !body.is_empty()).map(Ok))
    }
}

/// A streamed response body. If it is cut off, it yields an error, which makes the server break the client's
/// connection instead of ending the response cleanly.
pub(super) struct StreamedBody {
    pub(super) first_chunk: Option<Bytes>,
    pub(super) rest: Box<ResponseRest>,
    pub(super) length: Option<u64>,
    pub(super) bytes_sent: u64,
    pub(super) guard: PermitGuard,
    pub(super) _reservation: CallReservation,
    pub(super) deadline: Pin<Box<tokio::time::Sleep>>,
}

impl StreamedBody {
    fn cut_off(&mut self) -> Poll<Option<Result<Bytes, std::io::Error>>> {
        self.guard.return_permit(UNKNOWN);
        self.guard.gateway.counts.cut_responses.fetch_add(1, Ordering::Relaxed);
        Poll::Ready(Some(Err(std::io::Error::other("the instance's response was cut off"))))
    }
}

impl MessageBody for StreamedBody {
    type Error = std::io::Error;

    fn size(&self) -> BodySize {
        self.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if let Some(first_chunk) = self.first_chunk.take() {
            self.bytes_sent += first_chunk.len() as u64;
            return Poll::Ready(Some(Ok(first_chunk)));
        }
        if self.deadline.as_mut().poll(context).is_ready() {
            return self.cut_off();
        }
        match self.rest.poll_next_unpin(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(Some(chunk)))) => {
                self.bytes_sent += chunk.len() as u64;
                Poll::Ready(Some(Ok(chunk)))
            }
            Poll::Ready(Some(Ok(None))) if self.length.is_none_or(|length| length == self.bytes_sent) => {
                self.guard.return_permit(RAN);
                self.guard.gateway.counts.answered.fetch_add(1, Ordering::Relaxed);
                Poll::Ready(None)
            }
            Poll::Ready(_) => self.cut_off(),
        }
    }
}
