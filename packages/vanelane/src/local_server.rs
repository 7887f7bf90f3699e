//! An HTTP/1.1 server on the thread it is started on: no other thread is woken for a call.

use crate::client_connection::{
    Answering, ClientTimeouts, ConnectionTerms, OpenConnections, serve_connection,
};
use error_stack::{Report, ResultExt};
use futures_util::FutureExt;
use std::rc::Rc;
use std::time::Duration;
use supervisor::ChildError;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// One listener with its connections.
pub struct LocalServer {
    pub listener: Rc<TcpListener>,
    pub answering: Answering,
    /// Asked for each connection, so that a changed configuration counts for the next ones.
    pub timeouts: Rc<dyn Fn() -> ClientTimeouts>,
    pub connections_limit: usize,
    /// Connections that are open, told to whoever ends the process.
    pub open_connections: OpenConnections,
    /// Rises to true: accepts no more, and idle connections are closed.
    pub closing: watch::Receiver<bool>,
}

impl LocalServer {
    fn serve_accepted(&self, stream: TcpStream) {
        if self.open_connections.get() >= self.connections_limit {
            return;
        }
        let terms = ConnectionTerms {
            answering: self.answering.clone(),
            timeouts: (self.timeouts)(),
            closing: self.closing.clone(),
            open_connections: self.open_connections.clone(),
        };
        actix_rt::spawn(serve_connection(stream, terms));
    }

    /// Takes the connections that clients had opened before the listener closes: it would reset them.
    async fn serve_those_that_wait(&self) {
        // Comes back once the runtime has looked for new connections.
        tokio::task::yield_now().await;
        while let Some(Ok((stream, _))) = self.listener.accept().now_or_never() {
            self.serve_accepted(stream);
        }
    }
}

/// Serves until the server is closed. Connections that are open go on to the end of their calls.
pub async fn serve(server: LocalServer) -> Result<(), Report<ChildError>> {
    let broken = || ChildError("server".to_owned());
    let mut closing = server.closing.clone();
    loop {
        let accepted = tokio::select! {
            accepted = server.listener.accept() => accepted,
            _ = closing.wait_for(|is_closing| *is_closing) => {
                server.serve_those_that_wait().await;
                return Ok(());
            }
        };
        match accepted {
            Ok((stream, _)) => server.serve_accepted(stream),
            Err(failure) if crate::peer_links::is_passing(&failure) => {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            Err(failure) => return Err(failure).change_context(broken()),
        }
    }
}

#[cfg(test)]
mod tests;
