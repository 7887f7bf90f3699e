//! What an operators' page may ask of the node, whatever words it speaks.

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

const RESPONSE_WITHIN: Duration = Duration::from_secs(10);

/// The configuration as a read found it. Example: `ConfirmedConfiguration::Unconfirmed`.
pub enum ConfirmedConfiguration {
    /// It stands on a majority of the disks.
    Stored(StoredConfiguration),
    /// The machine at this address has a newer one than this node.
    Elsewhere(IpAddr),
    /// No majority of the disks answered in time.
    Unconfirmed,
}

/// An answer to an operator.
pub type Page = Response<BoxBody>;

/// The pages of one dialect. Example: [`crate::ControlPages`], vanelane's own.
pub trait OperatorPages {
    /// Answers one request. Example: `pages.respond(port, request).await`.
    fn respond(&self, port: OperatorPort, request: Request) -> LocalBoxFuture<'static, Page>;
}

/// The way from an operators' page into the node. Example: `port.change(change).await`.
#[derive(Clone)]
pub struct OperatorPort {
    pub(crate) inbox: mpsc::Sender<RuntimeEvent>,
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) flags: Arc<NodeFlags>,
    pub(crate) frames: Arc<FrameCounts>,
    pub(crate) lag: Arc<NodeLag>,
}

impl OperatorPort {
    async fn request<T>(&self, make: impl FnOnce(oneshot::Sender<T>) -> RuntimeEvent) -> Option<T> {
        let (reply, response) = oneshot::channel();
        self.inbox.send(make(reply)).await.ok()?;
        tokio::time::timeout(RESPONSE_WITHIN, response).await.ok()?.ok()
    }

    /// Whether the node takes calls: it knows the newest configuration and does not drain.
    /// Example: `if port.is_ready() { 200 } else { 503 }`.
    pub fn is_ready(&self) -> bool {
        self.flags.ready.load(Ordering::Relaxed) && !self.is_draining()
    }

    /// Whether a planned stop has begun. Example: `port.is_draining()`.
    pub fn is_draining(&self) -> bool {
        self.flags.draining.load(Ordering::Relaxed)
    }

    /// Brings a change to its outcome. Example: `port.change(change).await == ChangeOutcome::Accepted {..}`.
    pub async fn change(&self, change: Change) -> ChangeOutcome {
        let outcome = self.request(|reply| RuntimeEvent::Change { change, reply }).await;
        let silence = ChangeOutcome::Unknown { reason: "the node did not answer in time".to_owned() };
        outcome.unwrap_or(silence)
    }

    /// The configuration as a majority of the disks confirms it.
    /// Example: `matches!(port.confirmed_configuration().await, ConfirmedConfiguration::Stored(_))`.
    pub async fn confirmed_configuration(&self) -> ConfirmedConfiguration {
        match self.request(|reply| RuntimeEvent::ConfirmedConfiguration { reply }).await {
            Some(ConfigurationResponse::Stored(stored)) => StoredConfiguration::decode(&stored)
                .map_or(ConfirmedConfiguration::Unconfirmed, ConfirmedConfiguration::Stored),
            Some(ConfigurationResponse::Elsewhere(address)) => {
                ConfirmedConfiguration::Elsewhere(address.socket().ip())
            }
            Some(ConfigurationResponse::Unconfirmed) | None => ConfirmedConfiguration::Unconfirmed,
        }
    }

    /// The machine where a caller had better send a body of so many bytes to, or read the whole
    /// configuration from (`None`): the one that owns it, if this machine's link is too small for that.
    /// Example: `port.redirect_target(None).await`.
    pub async fn redirect_target(&self, bytes: Option<usize>) -> Option<IpAddr> {
        let place = self.request(|reply| RuntimeEvent::RedirectTarget { bytes, reply }).await??;
        Some(place.socket().ip())
    }

    pub(crate) async fn decisions(&self, after: Vec<(NodeId, u64)>, most: u32) -> Option<DecisionsReply> {
        self.request(|reply| RuntimeEvent::Decisions { after, most, reply }).await
    }

    /// The node's page of state. Example: `port.status().await?.generation`.
    pub async fn status(&self) -> Option<NodeStatus> {
        self.request(|reply| RuntimeEvent::Status { reply }).await
    }
}
