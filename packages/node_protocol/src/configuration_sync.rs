//! The configuration at this node: the state shared by its submodules, and their periodic work.
//!
//! Submodules: operators' changes forwarded to the owner of the configuration's key
//! ([`forwarded_changes`]), the batches in which that owner applies them ([`batches`]), and the generation
//! in use at this node ([`current_generation`]).

mod batches;
mod current_generation;
mod forwarded_changes;

use crate::node::Node;
use batches::{Batch, RequestedChange};
use configuration_schema::{ChangeOutcome, Configuration, StoredConfiguration};
use forwarded_changes::ForwardedChange;
use monotonic_clock::{Micros, Ticker};
use peer_messages::NodeId;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

const CHANGE_QUEUE_LIMIT: usize = 256;
/// A change without an outcome after this time is abandoned.
const CHANGE_TIMEOUT: Micros = Micros::from_secs(6);
const UNCONFIRMED: &str = "no majority of the disks confirmed it; send it again under the same id";
const RETRY_PAUSE: Micros = Micros::from_millis(150);
/// How often the voters are probed directly while a change is pending.
const VOTER_PROBE_INTERVAL: Micros = Micros::from_millis(250);

/// The node that awaits a change's outcome, which may be this one, and its request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Requester {
    node: NodeId,
    request_id: u64,
}

#[derive(Debug)]
pub(crate) struct ConfigurationSync {
    current: Arc<Configuration>,
    generation: u64,
    confirmed: bool,
    /// Set while this node, after a pause or a loss of contact, does not know whether a newer generation is
    /// in use. It uses no permit in this state.
    suspected_since: Option<Micros>,
    is_ready_reported: bool,
    /// The register's version and value as last seen.
    base: (u64, StoredConfiguration),
    batch: Option<Batch>,
    queue: VecDeque<RequestedChange>,
    forwarded: BTreeMap<u64, ForwardedChange>,
    confirm_ticker: Ticker,
    /// When a majority last confirmed to this node which version of the register is in force.
    majority_read_at: Option<Micros>,
    majority_version: u64,
    /// Nodes that responded to this node's direct probes while changes are pending, and when.
    voter_responses: BTreeMap<NodeId, Micros>,
    voter_probe_ticker: Ticker,
    read_requested_at: Micros,
}

impl ConfigurationSync {
    pub(crate) fn new() -> ConfigurationSync {
        ConfigurationSync {
            current: Arc::new(Configuration::empty()),
            generation: 0,
            confirmed: false,
            suspected_since: None,
            is_ready_reported: false,
            base: (0, StoredConfiguration::empty()),
            batch: None,
            queue: VecDeque::new(),
            forwarded: BTreeMap::new(),
            confirm_ticker: Ticker::every(Micros::from_millis(300)),
            majority_read_at: None,
            majority_version: 0,
            voter_responses: BTreeMap::new(),
            voter_probe_ticker: Ticker::every(VOTER_PROBE_INTERVAL),
            read_requested_at: Micros(0),
        }
    }
}

impl Node {
    pub(crate) fn tick_configuration(&mut self) {
        self.tick_forwarded();
        if let Some(batch) = &self.configuration.batch
            && batch.retry_at.is_some_and(|retry_at| self.now >= retry_at)
        {
            self.write_batch();
        }
        self.tick_generation();
    }
}

/// The outcome reported by an overloaded node: unknown rather than refused, since no majority has decided.
fn overloaded() -> ChangeOutcome {
    ChangeOutcome::Unknown { reason: "too many changes wait at this node; send it again".to_owned() }
}
