//! Closes idle client connections without losing a request, and detects disconnects during a call.
//!
//! The graceful shutdown of actix-http discards everything that it reads after the shutdown signal: a request
//! that is still in the socket buffer of a busy machine would be lost. [`ClosingStream`] instead reports an
//! end of stream, and only once no bytes are left to read.
//!
//! For the same reason actix-http does not see a client's end of stream behind bytes that it does not read
//! yet, such as those of a long pipelined request during a call. [`ClientDisconnect`] detects it.

use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use futures_util::FutureExt;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Sleep, sleep};

/// Whether bytes were read on a connection that were not answered yet. The connection is not idle then.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingResponse(Rc<ResponseState>);

#[derive(Debug, Default)]
struct ResponseState {
    is_pending: Cell<bool>,
    /// Wakes a connection that is to be closed once it is idle.
    idle_waker: RefCell<Option<Waker>>,
}

impl PendingResponse {
    fn set(&self) {
        self.0.is_pending.set(true);
    }

    /// The response body was passed on completely, or dropped.
    fn clear(&self) {
        self.0.is_pending.set(false);
        if let Some(waker) = self.0.idle_waker.take() {
            waker.wake();
        }
    }

    fn poll_idle(&self, context: &Context<'_>) -> Poll<()> {
        if !self.0.is_pending.get() {
            return Poll::Ready(());
        }
        self.0.idle_waker.replace(Some(context.waker().clone()));
        Poll::Pending
    }
}

/// A client connection that reports an end of stream once its server closes and it is idle.
pub(super) struct ClosingStream {
    stream: Rc<RefCell<TcpStream>>,
    /// Completes when the server closes; `None` after that.
    closing: Option<Pin<Box<dyn Future<Output = ()>>>>,
    pending_response: PendingResponse,
}

impl ClosingStream {
    pub(super) fn new(
        stream: Rc<RefCell<TcpStream>>,
        mut closing: watch::Receiver<bool>,
        pending_response: PendingResponse,
    ) -> ClosingStream {
        let closing = Box::pin(async move {
            // A dropped sender also closes.
            let _ = closing.wait_for(|is_closing| *is_closing).await;
            // Let the runtime poll its sockets once: until then it does not know which bytes have arrived.
            tokio::task::yield_now().await;
        });
        ClosingStream { stream, closing: Some(closing), pending_response }
    }

    fn poll_closing(&mut self, context: &mut Context<'_>) -> bool {
        if let Some(closing) = &mut self.closing
            && closing.as_mut().poll(context).is_ready()
        {
            self.closing = None;
        }
        self.closing.is_none()
    }
}

impl AsyncRead for ClosingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let read = Pin::new(&mut *self.stream.borrow_mut()).poll_read(context, buffer);
        if buffer.filled().len() > filled_before {
            self.pending_response.set();
        }
        let is_closing = read.is_pending() && self.poll_closing(context);
        if is_closing && self.pending_response.poll_idle(context).is_ready() {
            // Zero bytes read: end of stream.
            return Poll::Ready(Ok(()));
        }
        read
    }
}

impl AsyncWrite for ClosingStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(context)
    }
}

/// Interval between two checks whether the client of a running call has disconnected.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Completes when the client closes its stream during a call, even behind unread bytes.
pub(super) struct ClientDisconnect {
    stream: Rc<RefCell<TcpStream>>,
    pending_response: PendingResponse,
    next_check: Option<Pin<Box<Sleep>>>,
}

impl ClientDisconnect {
    pub(super) fn new(stream: Rc<RefCell<TcpStream>>, pending_response: PendingResponse) -> ClientDisconnect {
        ClientDisconnect { stream, pending_response, next_check: None }
    }

    fn has_disconnected(&self) -> bool {
        let stream = self.stream.borrow();
        let ready = stream.ready(Interest::READABLE).now_or_never();
        matches!(ready, Some(Ok(ready)) if ready.is_read_closed())
    }
}

/// Must be polled by the connection's task: the checks run only while a response is pending.
impl Future for ClientDisconnect {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if !self.pending_response.0.is_pending.get() {
            self.next_check = None;
            return Poll::Pending;
        }
        loop {
            let next_check = self.next_check.get_or_insert_with(|| Box::pin(sleep(CHECK_INTERVAL)));
            if next_check.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            if self.has_disconnected() {
                return Poll::Ready(());
            }
            self.next_check = None;
        }
    }
}

/// A response body that marks the connection as idle again when it is dropped.
pub(super) struct ResponseBody {
    body: BoxBody,
    pending_response: PendingResponse,
}

impl ResponseBody {
    pub(super) fn new(body: BoxBody, pending_response: PendingResponse) -> ResponseBody {
        ResponseBody { body, pending_response }
    }
}

impl MessageBody for ResponseBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        self.body.as_pin_mut().poll_next(context)
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.pending_response.clear();
    }
}
