//! An HTTP/1.1 server on the thread that starts it, so that a call wakes no other thread.

use crate::client_connection::{
    ClientTimeouts, ConnectionOptions, OpenConnections, RequestHandler, serve_connection,
};
use error_stack::{Report, ResultExt};
use futures_util::FutureExt;
use std::rc::Rc;
use std::time::Duration;
use supervisor::ChildError;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// One listener and the settings of its connections.
pub struct LocalServer {
    pub listener: Rc<TcpListener>,
    pub request_handler: RequestHandler,
    /// Read for each new connection, so that a changed configuration applies from the next connection on.
    pub timeouts: Rc<dyn Fn() -> ClientTimeouts>,
    pub connection_limit: usize,
    /// Open connections, which a planned stop waits for.
    pub open_connections: OpenConnections,
    /// Set to true at shutdown: no more connections are accepted, and idle ones are closed.
    pub closing: watch::Receiver<bool>,
}

impl LocalServer {
    fn spawn_connection(&self, stream: TcpStream) {
        if self.open_connections.get() >= self.connection_limit {
            return;
        }
        let options = ConnectionOptions {
            request_handler: self.request_handler.clone(),
            timeouts: (self.timeouts)(),
            closing: self.closing.clone(),
            open_connections: self.open_connections.clone(),
        };
        actix_rt::spawn(serve_connection(stream, options));
    }

    /// Accepts the connections in the backlog before the listener closes, which would reset them.
    async fn serve_backlog(&self) {
        // Let the runtime poll for new connections once.
        tokio::task::yield_now().await;
        while let Some(Ok((stream, _))) = self.listener.accept().now_or_never() {
            self.spawn_connection(stream);
        }
    }
}

/// Serves until the server is closed. Open connections continue until their calls end.
pub async fn serve(server: LocalServer) -> Result<(), Report<ChildError>> {
    let child_error = || ChildError("server".to_owned());
    let mut closing = server.closing.clone();
    loop {
        let accepted = tokio::select! {
            accepted = server.listener.accept() => accepted,
            _ = closing.wait_for(|is_closing| *is_closing) => {
                server.serve_backlog().await;
                return Ok(());
            }
        };
        match accepted {
            Ok((stream, _)) => server.spawn_connection(stream),
            Err(failure) if crate::peer_links::is_transient(&failure) => {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            Err(failure) => return Err(failure).change_context(child_error()),
        }
    }
}

#[cfg(test)]
mod tests;
