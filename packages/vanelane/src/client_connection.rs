//! Serves one HTTP/1.1 client connection, from accept to close.

mod closing_stream;

use actix_http::{HttpService, KeepAlive, Request, Response, body::BoxBody};
use actix_service::{Service, ServiceFactory};
use closing_stream::{ClientDisconnect, ClosingStream, PendingResponse, ResponseBody};
use futures_util::future::LocalBoxFuture;
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Timeouts of client connections. Example: `ClientTimeouts { idle: .., header_wait: .., linger: .. }`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientTimeouts {
    /// Idle time between two requests after which the connection is closed.
    pub idle: Duration,
    /// Time within which a request's head must arrive.
    pub header_wait: Duration,
    /// After the last response, bytes that the client still sends are read and dropped for this long: closing
    /// with unread bytes would reset the connection and could lose the response.
    pub linger: Duration,
}

/// Resolution of actix-http's timer, which reads the clock twice a second. Added to the idle and header
/// timeouts, which could otherwise expire up to this much before the time announced to clients.
const TIMER_RESOLUTION: Duration = Duration::from_millis(500);

/// Produces the response to one request.
pub type RequestHandler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response<BoxBody>>>;

/// Count of open connections, shared by all threads. A connection is open until its last response is sent.
/// Example: `open_connections.get() == 0` before a process ends.
#[derive(Clone, Debug, Default)]
pub struct OpenConnections(Arc<AtomicUsize>);

impl OpenConnections {
    /// The number of connections open now.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn enter(&self) -> OpenConnection {
        self.0.fetch_add(1, Ordering::Relaxed);
        OpenConnection(self.clone())
    }
}

/// Guard that counts one open connection.
struct OpenConnection(OpenConnections);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Everything needed to serve one connection.
#[derive(Clone)]
pub struct ConnectionOptions {
    pub request_handler: RequestHandler,
    pub timeouts: ClientTimeouts,
    /// Set to true at shutdown: idle connections are closed. Requests received by then are answered.
    pub closing: watch::Receiver<bool>,
    pub open_connections: OpenConnections,
}

/// Serves one connection until it closes. It counts as open from this call on, not from the first poll.
pub fn serve_connection(stream: TcpStream, options: ConnectionOptions) -> impl Future<Output = ()> {
    let open_connection = options.open_connections.enter();
    async move {
        let _open_connection = open_connection;
        let _ = stream.set_nodelay(true);
        let peer_address = stream.peer_addr().ok();
        let pending_response = PendingResponse::default();
        let stream = Rc::new(RefCell::new(stream));
        let client_disconnect = ClientDisconnect::new(stream.clone(), pending_response.clone());
        let stream = ClosingStream::new(stream, options.closing, pending_response.clone());
        let request_handler = options.request_handler;
        let timeouts = options.timeouts;
        let factory = HttpService::build()
            .client_request_timeout(timeouts.header_wait + TIMER_RESOLUTION)
            .client_disconnect_timeout(timeouts.linger)
            .keep_alive(KeepAlive::Timeout(timeouts.idle + TIMER_RESOLUTION))
            // A client that closes its sending side counts as disconnected and its call is cancelled. A
            // client that still reads cannot be distinguished from one that is gone, and calls without a
            // client occupy instances that other calls need.
            .h1_allow_half_closed(false)
            .h1(move |request: Request| {
                let response = request_handler(request);
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
                () = client_disconnect => {}
            }
        }
    }
}

#[cfg(test)]
mod tests;
