//! Pool of connections to nodes that clients reuse until the node closes them.

use actix_codec::Framed;
use actix_http::h1::ClientCodec;
use futures_util::{FutureExt, StreamExt};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// One connection to a node.
pub(super) type NodeConnection = Framed<TcpStream, ClientCodec>;

/// Idle connections by node.
#[derive(Default)]
pub(super) struct KeptConnections(RefCell<HashMap<SocketAddr, Vec<NodeConnection>>>);

impl KeptConnections {
    /// Takes the connection to this node that was idle longest among those that the node has not closed.
    pub(super) fn check_out(&self, node: SocketAddr) -> Option<NodeConnection> {
        let mut idle = self.0.borrow_mut();
        let connections = idle.get_mut(&node)?;
        while !connections.is_empty() {
            let mut connection = connections.remove(0);
            // An idle connection receives nothing but its end.
            if connection.next().now_or_never().is_none() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns an idle connection to the pool.
    pub(super) fn put_back(&self, node: SocketAddr, connection: NodeConnection) {
        self.0.borrow_mut().entry(node).or_default().push(connection);
    }
}
