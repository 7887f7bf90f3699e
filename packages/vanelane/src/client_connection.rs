//! One connection of an HTTP/1.1 client, from its acceptance to its end.

mod closing_stream;

use actix_http::{HttpService, KeepAlive, Request, Response, body::BoxBody};
use actix_service::{Service, ServiceFactory};
use closing_stream::{ClientEnd, ClosingStream, PendingResponse, ResponseBody};
use futures_util::future::LocalBoxFuture;
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// How patient a server is with its clients. Example: `ClientTimeouts { idle: .., header_wait: .., linger: .. }`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientTimeouts {
    /// How long a connection may stay idle between two requests.
    pub idle: Duration,
    /// How long a request's head may take to come.
    pub header_wait: Duration,
    /// How long what a client still sends is read after the last answer, so that it sees the answer.
    pub linger: Duration,
}

/// The server library counts its waits from a clock that it reads twice a second: without this much
/// more, a wait could end that much sooner than clients were told.
const TIMER_GRAIN: Duration = Duration::from_millis(500);

/// Makes the answer to one request.
pub type Answering = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response<BoxBody>>>;

/// Connections that are open, on any thread. One is open until its last answer has left.
/// Example: `open_connections.get() == 0` before a process ends.
#[derive(Clone, Debug, Default)]
pub struct OpenConnections(Arc<AtomicUsize>);

impl OpenConnections {
    /// How many are open now.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn enter(&self) -> OpenConnection {
        self.0.fetch_add(1, Ordering::Relaxed);
        OpenConnection(self.clone())
    }
}

/// One open connection's place in the count.
struct OpenConnection(OpenConnections);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What a connection is served with.
#[derive(Clone)]
pub struct ConnectionTerms {
    pub answering: Answering,
    pub timeouts: ClientTimeouts,
    /// Rises to true: idle connections are closed. A request that has come by then is answered.
    pub closing: watch::Receiver<bool>,
    pub open_connections: OpenConnections,
}

/// Serves one connection to its end. It counts as open from the call on, not from the first poll.
pub fn serve_connection(stream: TcpStream, terms: ConnectionTerms) -> impl Future<Output = ()> {
    let place = terms.open_connections.enter();
    async move {
        let _place = place;
        let _ = stream.set_nodelay(true);
        let peer_address = stream.peer_addr().ok();
        let pending_response = PendingResponse::default();
        let stream = Rc::new(RefCell::new(stream));
        let client_end = ClientEnd::new(stream.clone(), pending_response.clone());
        let stream = ClosingStream::new(stream, terms.closing, pending_response.clone());
        let answering = terms.answering;
        let timeouts = terms.timeouts;
        let factory = HttpService::build()
            .client_request_timeout(timeouts.header_wait + TIMER_GRAIN)
            .client_disconnect_timeout(timeouts.linger)
            .keep_alive(KeepAlive::Timeout(timeouts.idle + TIMER_GRAIN))
            // A client that ends its stream has left, and its call ends with it. One that still reads cannot be
            // told from it, and calls for nobody take cells from others.
            .h1_allow_half_closed(false)
            .h1(move |request: Request| {
                let response = answering(request);
                let pending_response = pending_response.clone();
                async move {
                    let response = response.await;
                    Ok::<_, Infallible>(
                        response.map_body(|_, body| ResponseBody::new(body, pending_response)),
                    )
                }
            });
        if let Ok(service) = factory.new_service(()).await {
            tokio::select! {
                biased;
                _ = service.call((stream, peer_address)) => {}
                () = client_end => {}
            }
        }
    }
}

#[cfg(test)]
mod tests;
