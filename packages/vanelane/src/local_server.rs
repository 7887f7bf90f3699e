//! An HTTP/1.1 server on the thread it is started on: no other thread is woken for a call.

use actix_http::{HttpService, KeepAlive, Request, Response, body::BoxBody};
use actix_service::{Service, ServiceFactory};
use error_stack::{Report, ResultExt};
use futures_util::future::LocalBoxFuture;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use supervisor::ChildError;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How patient the server is with its clients. Example: `Patience { idle: .., header_wait: .. }`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientPatience {
    /// How long a connection may stay idle between two requests.
    pub idle: Duration,
    /// How long a request's head may take to come.
    pub header_wait: Duration,
    /// How long what a client still sends is read after the last answer, so that it sees the answer.
    pub linger: Duration,
}

/// The server library counts its waits from a clock that it reads twice a second: without this much
/// more, a wait could end that much sooner than clients were told.
pub const TIMER_GRAIN: Duration = Duration::from_millis(500);

/// Makes the answer to one request.
pub type Answering = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response<BoxBody>>>;

/// One listener with its connections.
pub struct LocalServer {
    pub listener: Rc<TcpListener>,
    pub answering: Answering,
    /// Asked for each connection, so that a changed configuration counts for the next ones.
    pub patience: Rc<dyn Fn() -> ClientPatience>,
    pub connections_limit: usize,
    /// Connections that are open, told to whoever ends the process: one is open until its last answer left.
    pub open_connections: Rc<Cell<usize>>,
    /// Rises to true: accepts no more, and idle connections are closed.
    pub closing: watch::Receiver<bool>,
}

struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves until the server is closed. Connections that are open go on to the end of their calls.
pub async fn serve(server: LocalServer) -> Result<(), Report<ChildError>> {
    let broken = || ChildError("server".to_owned());
    let open = server.open_connections.clone();
    let mut closing = server.closing.clone();
    loop {
        let accepted = tokio::select! {
            accepted = server.listener.accept() => accepted,
            _ = closing.wait_for(|is_closing| *is_closing) => return Ok(()),
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(failure) if crate::colleague_links::is_passing(&failure) => {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
            Err(failure) => return Err(failure).change_context(broken()),
        };
        if open.get() >= server.connections_limit {
            continue;
        }
        open.set(open.get() + 1);
        let place = Place(open.clone());
        let _ = stream.set_nodelay(true);
        let patience = (server.patience)();
        let answering = server.answering.clone();
        let closing = server.closing.clone();
        let factory = HttpService::build()
            .client_request_timeout(patience.header_wait + TIMER_GRAIN)
            .client_disconnect_timeout(patience.linger)
            .keep_alive(KeepAlive::Timeout(patience.idle + TIMER_GRAIN))
            .graceful_shutdown_signal(move || {
                let mut closing = closing.clone();
                async move {
                    let _ = closing.wait_for(|is_closing| *is_closing).await;
                }
            })
            .h1(move |request: Request| {
                let answer = answering(request);
                async move { Ok::<_, std::convert::Infallible>(answer.await) }
            })
            .tcp();
        actix_rt::spawn(async move {
            let _place = place;
            if let Ok(service) = factory.new_service(()).await {
                let _ = service.call(stream).await;
            }
        });
    }
}

#[cfg(test)]
mod tests;
