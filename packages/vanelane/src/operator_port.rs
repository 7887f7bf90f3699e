//! The interface between operator pages, native or of another platform, and the node.

use crate::node_lag::NodeLag;
use crate::peer_links::FrameCounts;
use crate::protocol_runtime::{DecisionsReply, NodeFlags, RuntimeEvent};
use actix_http::body::BoxBody;
use actix_http::{Request, Response};
use configuration_schema::{Change, ChangeOutcome, StoredConfiguration};
use futures_util::future::LocalBoxFuture;
use gateway::Gateway;
use node_protocol::{ConfigurationResponse, NodeStatus};
use peer_messages::NodeId;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// The result of reading the confirmed configuration. Example: `ConfirmedConfiguration::Unconfirmed`.
pub enum ConfirmedConfiguration {
    /// It is stored on a majority of the disks.
    Stored(StoredConfiguration),
    /// The machine at this address has a newer one than this node.
    NewerOnPeer(IpAddr),
    /// No majority of the disks answered in time.
    Unconfirmed,
}

/// A response to an operator.
pub type Page = Response<BoxBody>;

/// The operator pages of one platform. Example: [`crate::ControlPages`], the native ones.
pub trait OperatorPages {
    /// Responds to one request. Example: `pages.respond(port, request).await`.
    fn respond(&self, port: OperatorPort, request: Request) -> LocalBoxFuture<'static, Page>;
}

/// The handle by which operator pages send requests to the node. Example: `port.change(change).await`.
#[derive(Clone)]
pub struct OperatorPort {
    pub(crate) inbox: mpsc::Sender<RuntimeEvent>,
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) flags: Arc<NodeFlags>,
    pub(crate) frames: Arc<FrameCounts>,
    pub(crate) lag: Arc<NodeLag>,
}

impl OperatorPort {
    async fn request<T>(&self, make_event: impl FnOnce(oneshot::Sender<T>) -> RuntimeEvent) -> Option<T> {
        let (reply, response) = oneshot::channel();
        self.inbox.send(make_event(reply)).await.ok()?;
        tokio::time::timeout(RESPONSE_TIMEOUT, response).await.ok()?.ok()
    }

    /// Whether the node accepts calls: it knows the newest configuration and is not draining.
    /// Example: `if port.is_ready() { 200 } else { 503 }`.
    pub fn is_ready(&self) -> bool {
        self.flags.ready.load(Ordering::Relaxed) && !self.is_draining()
    }

    /// Whether a planned stop has begun. Example: `port.is_draining()`.
    pub fn is_draining(&self) -> bool {
        self.flags.draining.load(Ordering::Relaxed)
    }

    /// Submits a change and waits for its outcome.
    /// Example: `port.change(change).await == ChangeOutcome::Accepted {..}`.
    pub async fn change(&self, change: Change) -> ChangeOutcome {
        let outcome = self.request(|reply| RuntimeEvent::Change { change, reply }).await;
        let timed_out = ChangeOutcome::Unknown { reason: "the node did not answer in time".to_owned() };
        outcome.unwrap_or(timed_out)
    }

    /// The configuration as confirmed by a majority of the disks.
    /// Example: `matches!(port.confirmed_configuration().await, ConfirmedConfiguration::Stored(_))`.
    pub async fn confirmed_configuration(&self) -> ConfirmedConfiguration {
        match self.request(|reply| RuntimeEvent::ConfirmedConfiguration { reply }).await {
            Some(ConfigurationResponse::Stored(stored)) => StoredConfiguration::decode(&stored)
                .map_or(ConfirmedConfiguration::Unconfirmed, ConfirmedConfiguration::Stored),
            Some(ConfigurationResponse::NewerOnPeer(address)) => {
                ConfirmedConfiguration::NewerOnPeer(address.socket().ip())
            }
            Some(ConfigurationResponse::Unconfirmed) | None => ConfirmedConfiguration::Unconfirmed,
        }
    }

    /// The machine to which a client should be redirected to send a body of so many bytes, or to read the
    /// whole configuration (`None`): the owner of the configuration, if this machine's link is too slow for
    /// the transfer.
    /// Example: `port.redirect_target(None).await`.
    pub async fn redirect_target(&self, bytes: Option<usize>) -> Option<IpAddr> {
        let address = self.request(|reply| RuntimeEvent::RedirectTarget { bytes, reply }).await??;
        Some(address.socket().ip())
    }

    pub(crate) async fn decisions(&self, after: Vec<(NodeId, u64)>, limit: u32) -> Option<DecisionsReply> {
        self.request(|reply| RuntimeEvent::Decisions { after, limit, reply }).await
    }

    /// The node's status. Example: `port.status().await?.generation`.
    pub async fn status(&self) -> Option<NodeStatus> {
        self.request(|reply| RuntimeEvent::Status { reply }).await
    }
}
