//! What an operators' page may ask of the node, whatever words it speaks.

use crate::colleague_links::FrameCounts;
use crate::node_lag::NodeLag;
use crate::protocol_shell::{DecisionsReply, NodeFlags, ShellEvent};
use actix_http::body::BoxBody;
use actix_http::{Request, Response};
use configuration_schema::{Change, ChangeOutcome, StoredConfiguration};
use futures_util::future::LocalBoxFuture;
use gateway::Front;
use node_protocol::{ConfigurationAnswer, NodeStatus};
use peer_messages::NodeId;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

const ANSWER_WITHIN: Duration = Duration::from_secs(10);

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
    /// Answers one request. Example: `pages.answer(port, request).await`.
    fn answer(&self, port: OperatorPort, request: Request) -> LocalBoxFuture<'static, Page>;
}

/// The way from an operators' page into the node. Example: `port.change(change).await`.
#[derive(Clone)]
pub struct OperatorPort {
    pub(crate) inbox: mpsc::Sender<ShellEvent>,
    pub(crate) front: Arc<Front>,
    pub(crate) flags: Arc<NodeFlags>,
    pub(crate) frames: Arc<FrameCounts>,
    pub(crate) lag: Arc<NodeLag>,
}

impl OperatorPort {
    async fn ask<T>(&self, make: impl FnOnce(oneshot::Sender<T>) -> ShellEvent) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.inbox.send(make(reply)).await.ok()?;
        tokio::time::timeout(ANSWER_WITHIN, answer).await.ok()?.ok()
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
        let outcome = self.ask(|reply| ShellEvent::Change { change, reply }).await;
        let silence = ChangeOutcome::Unknown { reason: "the node did not answer in time".to_owned() };
        outcome.unwrap_or(silence)
    }

    /// The configuration as a majority of the disks confirms it.
    /// Example: `matches!(port.confirmed_configuration().await, ConfirmedConfiguration::Stored(_))`.
    pub async fn confirmed_configuration(&self) -> ConfirmedConfiguration {
        match self.ask(|reply| ShellEvent::ConfirmedConfiguration { reply }).await {
            Some(ConfigurationAnswer::Stored(stored)) => StoredConfiguration::decode(&stored)
                .map_or(ConfirmedConfiguration::Unconfirmed, ConfirmedConfiguration::Stored),
            Some(ConfigurationAnswer::Elsewhere(address)) => {
                ConfirmedConfiguration::Elsewhere(address.socket().ip())
            }
            Some(ConfigurationAnswer::Unconfirmed) | None => ConfirmedConfiguration::Unconfirmed,
        }
    }

    /// The machine where a caller had better send a body of so many bytes to, or read the whole
    /// configuration from (`None`): the one that owns it, if this machine's link is too small for that.
    /// Example: `port.better_place(None).await`.
    pub async fn better_place(&self, bytes: Option<usize>) -> Option<IpAddr> {
        let place = self.ask(|reply| ShellEvent::BetterPlace { bytes, reply }).await??;
        Some(place.socket().ip())
    }

    pub(crate) async fn decisions(&self, after: Vec<(NodeId, u64)>, most: u32) -> Option<DecisionsReply> {
        self.ask(|reply| ShellEvent::Decisions { after, most, reply }).await
    }

    /// The node's page of state. Example: `port.status().await?.generation`.
    pub async fn status(&self) -> Option<NodeStatus> {
        self.ask(|reply| ShellEvent::Status { reply }).await
    }
}
