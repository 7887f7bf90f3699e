//! Closes idle connections of clients without losing a request.
//!
//! The HTTP library's own graceful end throws away what it reads from the moment of its signal on: a request
//! that waits in the socket of a busy machine would be lost. Here an idle connection is ended by an end of
//! the stream, which the library sees only once nothing is left to be read.
//!
//! For the same reason it does not see the end of a client's stream behind bytes that it does not take, such as
//! those of a long request that follows one under way: [`ClientEnd`] does.

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

/// Whether something was read on a connection that was not answered yet: it is not idle then.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingResponse(Rc<ResponseState>);

#[derive(Debug, Default)]
struct ResponseState {
    is_pending: Cell<bool>,
    /// A connection that is to be closed once it is idle.
    waits_for_idle: RefCell<Option<Waker>>,
}

impl PendingResponse {
    fn set(&self) {
        self.0.is_pending.set(true);
    }

    /// The answer was handed over.
    fn clear(&self) {
        self.0.is_pending.set(false);
        if let Some(waker) = self.0.waits_for_idle.take() {
            waker.wake();
        }
    }

    fn poll_idle(&self, context: &Context<'_>) -> Poll<()> {
        if !self.0.is_pending.get() {
            return Poll::Ready(());
        }
        self.0.waits_for_idle.replace(Some(context.waker().clone()));
        Poll::Pending
    }
}

/// A client's connection that ends when its server closes, as soon as it is idle.
pub(super) struct ClosingStream {
    stream: Rc<RefCell<TcpStream>>,
    /// Done when the server closes; none once that was seen.
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
            // A sender that is gone closes too.
            let _ = closing.wait_for(|is_closing| *is_closing).await;
            // Comes back once the runtime has looked at its sockets: until then it does not know what has come.
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
            // No byte: the end of the stream.
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

/// Between two looks at whether a client whose call is under way has left.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Sees the end of a client's stream while its call is under way, whatever is unread before it.
pub(super) struct ClientEnd {
    stream: Rc<RefCell<TcpStream>>,
    pending_response: PendingResponse,
    next_check: Option<Pin<Box<Sleep>>>,
}

impl ClientEnd {
    pub(super) fn new(stream: Rc<RefCell<TcpStream>>, pending_response: PendingResponse) -> ClientEnd {
        ClientEnd { stream, pending_response, next_check: None }
    }

    fn has_arrived(&self) -> bool {
        let stream = self.stream.borrow();
        let ready = stream.ready(Interest::READABLE).now_or_never();
        matches!(ready, Some(Ok(ready)) if ready.is_read_closed())
    }
}

/// To be polled with the connection's task, which begins and ends its looks.
impl Future for ClientEnd {
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
            if self.has_arrived() {
                return Poll::Ready(());
            }
            self.next_check = None;
        }
    }
}

/// An answer's body, which makes the connection idle again once it was handed over.
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
