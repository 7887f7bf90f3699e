use crate::call_admission::CallAdmission;
use crate::configuration_sync::ConfigurationSync;
use crate::control_store::{ControlStore, VoterChange};
use crate::decision_log::DecisionLog;
use crate::function_leadership::FunctionLeadership;
use crate::usage_reporting::UsageReporting;
use crate::zones::Zones;
use crate::{Action, Event, NodeSettings, Policy};
use control_registers::{DiskRegisters, OwnerCounts, VoterSet};
use fastrand::Rng;
use gossip::Gossip;
use membership::{MemberChange, Members};
use monotonic_clock::{Micros, Ticker};
use peer_messages::{
    Address, CursorPosition, DecisionLine, Envelope, List, MemberUpdate, Message, NodeId, rendezvous_weight,
};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Counts for metrics. Example: `node.status(now).counts.messages_received`.
#[derive(Clone, Debug, Default)]
pub struct NodeCounts {
    /// Messages received from peers.
    pub messages_received: u64,
    /// Messages addressed to another process, dropped.
    pub messages_misdirected: u64,
    /// Messages sent to the network.
    pub messages_sent: u64,
    /// Groups of records submitted to the disk to sync.
    pub disk_groups: u64,
    /// Permits granted as leader.
    pub permits_granted: u64,
    /// Of these, permits for an instance in another zone than the requester's.
    pub remote_permits: u64,
    /// Permits granted as fallback.
    pub fallback_permits: u64,
    /// Requests rejected as leader.
    pub requests_refused: u64,
    /// Usage windows whose counts this node decided.
    pub usage_decided: u64,
    /// Usage reports that the platform accepted from this node.
    pub usage_reported: u64,
}

/// A snapshot of a node's state for operators and metrics. Example: `node.status(now).generation`.
#[derive(Clone, Debug)]
pub struct NodeStatus {
    /// The id of this process.
    pub node: NodeId,
    /// The configuration generation in force on this node.
    pub generation: u64,
    /// Whether the newest configuration is known.
    pub is_ready: bool,
    /// The live members.
    pub members: Vec<MemberUpdate>,
    /// The functions that this node leads.
    pub held: Vec<String>,
    /// The number of functions led by each node, as observed by this node.
    pub leader_counts: BTreeMap<NodeId, usize>,
    /// The number of functions without a live leader, as observed by this node.
    pub unheld: usize,
    /// The voting disks.
    pub voters: Vec<u64>,
    /// Why this node's disk cannot be used and what to do; `None` if it is usable or there is none.
    pub disk_fault: Option<String>,
    /// The number of register keys that this node owns.
    pub owned_keys: usize,
    /// How often this node acquired and lost keys.
    pub owner_counts: OwnerCounts,
    /// The generation of the voter set in force at this node.
    pub voter_set_generation: u64,
    /// The change of the voter set under way; `None` without one.
    pub voter_change: Option<VoterChange>,
    /// The time since a majority last confirmed the configuration to this node; `None` before the first time.
    pub majority_read_age: Option<Micros>,
    /// The time since this node learned of a configuration generation newer than its own; `None` if it knows
    /// of none.
    pub newer_awaited_for: Option<Micros>,
    /// Gate refusals, lost races and gate bypasses of the leader election.
    pub election_counts: (u64, u64, u64),
    /// Whether this node is the usage collector.
    pub collects_usage: bool,
    /// The time since the end of the newest window whose report was accepted from this node.
    pub usage_report_age: Option<Micros>,
    /// The number of decisions by kind.
    pub decisions: BTreeMap<&'static str, u64>,
    /// Counts for metrics.
    pub counts: NodeCounts,
}

/// A read of the decision stream that collects the lines of all live members.
#[derive(Debug)]
pub(crate) struct DecisionsQuery {
    request: u64,
    lines: Vec<DecisionLine>,
    cursor: BTreeMap<NodeId, u64>,
    awaited_nodes: BTreeSet<NodeId>,
    ends_at: Micros,
    limit: usize,
}

/// One node. Example: `let actions = node.handle(Event::Tick, now);`.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) members: Members,
    pub(crate) gossip: Gossip,
    pub(crate) zones: Zones,
    pub(crate) control: ControlStore,
    pub(crate) configuration: ConfigurationSync,
    pub(crate) leadership: FunctionLeadership,
    pub(crate) calls: CallAdmission,
    pub(crate) usage: UsageReporting,
    pub(crate) decision_log: DecisionLog,
    pub(crate) counts: NodeCounts,
    pub(crate) rng: Rng,
    pub(crate) now: Micros,
    pub(crate) draining_since: Option<Micros>,
    is_drained_reported: bool,
    decisions_queries: BTreeMap<u64, DecisionsQuery>,
    next_request_id: u64,
    to_self: VecDeque<Message>,
    actions: Vec<Action>,
    upkeep_ticker: Ticker,
    ticked_at: Micros,
    pub(crate) received_at: Option<Micros>,
    /// Processes that were removed from the membership.
    gone_members: BTreeSet<NodeId>,
}

/// The minimum pause, for each member, between periodic messages that every node sends to an owner or to all
/// others. It limits what one node receives to about 200 such messages a second, whatever the fleet's size.
pub(crate) const PAUSE_PER_MEMBER: Micros = Micros::from_millis(5);
const DECISIONS_QUERY_TIMEOUT: Micros = Micros::from_millis(600);
const DRAIN_TIMEOUT: Micros = Micros::from_millis(2_000);
/// A node without a tick for this long was frozen (its process or machine was suspended).
const FREEZE_THRESHOLD: Micros = Micros::from_millis(800);
/// A node that received nothing for this long was partitioned: several of its own probes went unanswered.
const OUT_OF_CONTACT_AFTER: Micros = Micros::from_millis(1_200);
/// A node that has waited longer than this for a known newer generation does not refuse calls by its own one.
const NEWER_GENERATION_TIMEOUT: Micros = Micros::from_millis(2_500);
const DECISIONS_QUERY_LIMIT: usize = 32;
const GONE_LIMIT: usize = 256;

impl Node {
    /// Creates a node; `disk` is the id and the registers of its disk, if it has one.
    /// Example: `Node::new(settings, None, Micros(0))`.
    pub fn new(settings: NodeSettings, disk: Option<(u64, DiskRegisters)>, now: Micros) -> Node {
        let own = MemberUpdate {
            node: settings.node,
            address: settings.address,
            zone: settings.zone.as_str().into(),
            incarnation: 1,
            state: 0,
            disk: disk.as_ref().map_or(0, |(disk_id, _)| *disk_id),
            disk_state: u8::from(disk.is_some()),
            draining: 0,
            processor: settings.processor_millis,
        };
        let random_seed = settings.random_seed;
        let mut node = Node {
            members: Members::new(own, settings.seeds.clone(), settings.probes.clone(), random_seed),
            gossip: Gossip::new(random_seed ^ 0x6e65_7773),
            zones: Zones::default(),
            control: ControlStore::new(settings.node, disk),
            configuration: ConfigurationSync::new(),
            leadership: FunctionLeadership::new(settings.node, settings.election.clone(), now),
            calls: CallAdmission::new(),
            usage: UsageReporting::new(now),
            decision_log: DecisionLog::new(settings.node),
            counts: NodeCounts::default(),
            rng: Rng::with_seed(random_seed ^ 0x6e6f_6465),
            now,
            draining_since: None,
            is_drained_reported: false,
            decisions_queries: BTreeMap::new(),
            // Request ids need to be unique only within one process.
            next_request_id: 1,
            to_self: VecDeque::new(),
            actions: Vec::new(),
            upkeep_ticker: Ticker::every(Micros::from_millis(20)),
            ticked_at: now,
            received_at: None,
            gone_members: BTreeSet::new(),
            settings,
        };
        if let Some(link_rate) = node.settings.link_rate {
            node.gossip.set_link_rate(link_rate);
        }
        node.start_by_own_set();
        node
    }

    /// Handles an event and returns the actions to carry out.
    /// Example: `for action in node.handle(Event::Tick, now) { carry_out(action) }`.
    pub fn handle(&mut self, event: Event, now: Micros) -> Vec<Action> {
        self.now = self.now.max(now);
        if self.now > self.ticked_at + FREEZE_THRESHOLD {
            // The process was suspended, so its view of instances and routes may be outdated. This is checked
            // for every event, since another event may arrive before the next tick.
            self.ticked_at = self.now;
            self.resumed_after_freeze();
            self.usage_resumed_after_freeze();
        }
        self.handle_event(event);
        self.process_pending();
        std::mem::take(&mut self.actions)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Received(envelope) => self.received(envelope),
            Event::CallNeedsPermit { call, parameters } => self.call_needs_permit(call, parameters),
            Event::CallEnds { call } => self.call_ends(call),
            Event::PermitDone { permit, outcome, latency } => self.permit_done(&permit, outcome, latency),
            Event::DiskDone { token, is_synced } => self.disk_done(token, is_synced),
            Event::DiskUnsynced => self.disk_unsynced(),
            Event::DiskUnusable { reason } => self.disk_unusable(reason),
            Event::DiskQuarantined => self.disk_quarantined(),
            Event::Listed { workers, instances } => self.handle_list_result(workers, instances),
            Event::ListFailed => self.list_failed(),
            Event::StartDone { start_id, result } => self.start_done(&start_id, result),
            Event::StopDone { instance, result } => self.stop_done(&instance, result),
            Event::UsageReported { window, fence, result } => self.usage_reported(window, fence, result),
            Event::WallClock { unix } => self.wall_clock_read(unix),
            Event::ChangeRequested { request, change } => self.change_requested(request, change),
            Event::ConfigurationRequested { request } => self.configuration_requested(request),
            Event::DecisionsRequested { request, after, limit } => {
                self.decisions_requested(request, after, limit)
            }
            Event::Drain => self.drain(),
            Event::SeedsChanged { seeds } => {
                self.settings.seeds.clone_from(&seeds);
                self.members.set_seeds(seeds);
            }
        }
    }

    /// Handles the node's messages to itself and the pending output of its components until none is left.
    fn process_pending(&mut self) {
        loop {
            self.flush_control();
            self.flush_leadership();
            let Some(message) = self.to_self.pop_front() else { return };
            self.handle_message(self.settings.node, self.settings.address, message);
        }
    }

    fn tick(&mut self) {
        if !self.upkeep_ticker.due(self.now) {
            return;
        }
        let now = self.now;
        self.ticked_at = now;
        for (address, message) in self.members.tick(now) {
            self.send_to_address(address, message);
        }
        self.handle_member_changes();
        for (node, message) in self.gossip.tick(now) {
            self.send(node, message);
        }
        self.tick_control();
        self.tick_configuration();
        self.tick_usage();
        self.tick_leadership();
        self.tick_calls();
        self.tick_decisions_queries();
        self.tick_drain();
    }

    fn received(&mut self, envelope: Envelope) {
        self.counts.messages_received += 1;
        if envelope.to != 0 && envelope.to != self.settings.node {
            self.counts.messages_misdirected += 1;
            return;
        }
        if self.is_out_of_contact() {
            self.suspect_configuration();
        }
        self.received_at = Some(self.now);
        self.calls.received_from(envelope.from, self.now);
        if matches!(envelope.message, Message::ProbeResponse { .. }) {
            self.probe_answered(envelope.from);
        }
        self.handle_message(envelope.from, envelope.from_address, envelope.message);
    }

    /// Whether nothing was received from any peer for `OUT_OF_CONTACT_AFTER`.
    pub(crate) fn is_out_of_contact(&self) -> bool {
        self.received_at.is_some_and(|received_at| self.now > received_at + OUT_OF_CONTACT_AFTER)
    }

    fn handle_message(&mut self, from: NodeId, from_address: Address, message: Message) {
        match message {
            Message::Probe { .. }
            | Message::ProbeResponse { .. }
            | Message::ProbeFor { .. }
            | Message::MembersDigest { .. }
            | Message::MembersResponse { .. } => {
                let now = self.now;
                for (address, response) in self.members.handle_message(from, from_address, message, now) {
                    self.send_to_address(address, response);
                }
                self.handle_member_changes();
            }
            Message::Gossip { .. }
            | Message::GossipDigest { .. }
            | Message::GossipVersions { .. }
            | Message::GossipRequest { .. }
            | Message::GossipBodyChanges { .. } => {
                let (newer_topics, sends) = self.gossip.handle_message(from, message);
                for (node, response) in sends {
                    self.send(node, response);
                }
                for topic in newer_topics {
                    self.gossip_received(&topic);
                }
            }
            Message::Promise { .. }
            | Message::Promised { .. }
            | Message::Store { .. }
            | Message::Stored { .. }
            | Message::Bootstrap { .. }
            | Message::BootstrapResponse { .. }
            | Message::BootstrapProposal { .. }
            | Message::BootstrapRecorded { .. }
            | Message::KeysRequest { .. }
            | Message::KeysResponse { .. }
            | Message::RecordsPoll { .. }
            | Message::RecordsPolled { .. }
            | Message::RelayPoll { .. }
            | Message::RelayPolled { .. }
            | Message::Write { .. }
            | Message::WriteResponse { .. }
            | Message::ReadConfirmed { .. }
            | Message::ReadsConfirmed { .. } => self.handle_control_message(from, message),
            Message::ChangeForward { request_id, change } => self.change_forwarded(from, request_id, &change),
            Message::ChangeSettled { request_id, outcome } => self.change_settled(request_id, &outcome),
            Message::PermitRequest { .. }
            | Message::PermitReturn { .. }
            | Message::PermitWithdraw { .. }
            | Message::TermTransferred { .. }
            | Message::HeldPermitsResponse { .. } => self.handle_leadership_message(from, message),
            Message::PermitGranted { .. }
            | Message::PermitDeferred { .. }
            | Message::HeldPermitsRequest { .. } => {
                self.handle_call_message(from, message);
            }
            Message::ListRequest { .. } | Message::ListResponse { .. } => {
                self.handle_list_message(from, message)
            }
            Message::UsageUpdate { .. } | Message::UsageAck { .. } => {
                self.handle_usage_message(from, message)
            }
            Message::DecisionsRequest { request_id, after, limit } => {
                let after_own = after.0.iter().find(|position| position.node == self.settings.node);
                let lines = self
                    .decision_log
                    .after(after_own.map_or(0, |position| position.sequence), limit as usize);
                self.send(from, Message::DecisionsResponse { request_id, lines: List(lines) });
            }
            Message::DecisionsResponse { request_id, lines } => {
                self.decisions_answered(from, request_id, lines.0)
            }
        }
    }

    fn gossip_received(&mut self, topic: &str) {
        if topic == control_registers::DISKS_KEY {
            self.set_received();
        }
        if topic == control_registers::CONFIGURATION_KEY {
            self.handle_configuration_update();
        }
    }

    /// Whether a policy is switched on.
    pub(crate) fn is_on(&self, policy: Policy) -> bool {
        !self.settings.switched_off.contains(&policy)
    }

    /// Recomputes the zones and gossip neighbours if the members have changed.
    fn update_zones(&mut self) {
        let revision = self.members.revision();
        if !self.zones.is_outdated(revision) {
            return;
        }
        let has_relays = self.is_on(Policy::Relays);
        self.zones = Zones::of(self.members.own(), &self.members.live(), has_relays, revision);
        self.gossip.set_neighbours(self.settings.node, self.zones.neighbours());
    }

    /// Whether an address is in this node's zone; used to count the bytes sent to other zones. An address
    /// that belongs to no live member counts as remote. Example: `node.is_local_address(address)`.
    pub fn is_local_address(&self, address: Address) -> bool {
        self.zones.is_local_address(&address)
    }

    fn handle_member_changes(&mut self) {
        self.update_zones();
        for change in self.members.take_changes() {
            let (kind, node) = match change {
                MemberChange::Joined(node) => ("member_joined", node),
                MemberChange::Gone(node) => ("member_gone", node),
            };
            let address =
                self.members.remembered().find(|member| member.node == node).map(|member| member.address);
            self.decision_log.append(
                kind,
                json!({
                    "member": format!("{node:016x}"),
                    "address": address.map(|address| address.socket().to_string()),
                }),
                self.now,
            );
            // A restarted process has a new id, so this one was partitioned or suspended.
            if kind == "member_joined" && self.gone_members.remove(&node) {
                self.peer_returned(node);
            }
            if kind == "member_gone" {
                self.gone_members.insert(node);
                if self.gone_members.len() > GONE_LIMIT {
                    self.gone_members.pop_first();
                }
                self.calls.forget(node);
                let demand_topic = format!("demand/{node:016x}");
                self.gossip.forget(|topic| topic == demand_topic);
            }
        }
    }

    /// Sends a message to a live member or to this node itself.
    pub(crate) fn send(&mut self, node: NodeId, message: Message) {
        if node == self.settings.node {
            self.to_self.push_back(message);
            return;
        }
        let Some(address) = self.members.find(node).map(|member| member.address) else { return };
        self.counts.messages_sent += 1;
        self.actions.push(Action::Send { address, to: node, message });
    }

    /// Sends a message to any process that listens at an address, for probes of unknown nodes.
    pub(crate) fn send_to_address(&mut self, address: Address, message: Message) {
        if address == self.settings.address {
            return;
        }
        self.counts.messages_sent += 1;
        self.actions.push(Action::Send { address, to: 0, message });
    }

    pub(crate) fn emit(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn next_request_id(&mut self) -> u64 {
        self.next_request_id += 1;
        self.next_request_id
    }

    /// The live members that are not draining, ordered by id: N in the election paper.
    pub(crate) fn serving_members(&self) -> Vec<NodeId> {
        self.members.live().iter().filter(|member| member.draining == 0).map(|member| member.node).collect()
    }

    /// The node with the highest rendezvous weight for a name.
    pub(crate) fn rendezvous_choice(name: &str, nodes: impl Iterator<Item = NodeId>) -> Option<NodeId> {
        nodes.max_by_key(|node| (rendezvous_weight(name, *node), *node))
    }

    fn decisions_requested(&mut self, request: u64, after: Vec<(NodeId, u64)>, limit: u32) {
        let request_id = self.next_request_id();
        let limit = limit.min(2_000);
        let positions: List<CursorPosition> = after
            .iter()
            .map(|(node, sequence)| CursorPosition { node: *node, sequence: *sequence })
            .collect();
        if self.decisions_queries.len() >= DECISIONS_QUERY_LIMIT {
            self.emit(Action::DecisionsRead { request, lines: Vec::new(), cursor: after });
            return;
        }
        let nodes: BTreeSet<NodeId> = self.members.live().iter().map(|member| member.node).collect();
        self.decisions_queries.insert(
            request_id,
            DecisionsQuery {
                request,
                lines: Vec::new(),
                cursor: after.into_iter().collect(),
                awaited_nodes: nodes.clone(),
                ends_at: self.now + DECISIONS_QUERY_TIMEOUT,
                limit: limit as usize,
            },
        );
        for node in nodes {
            self.send(node, Message::DecisionsRequest { request_id, after: positions.clone(), limit });
        }
    }

    fn decisions_answered(&mut self, from: NodeId, request_id: u64, lines: Vec<DecisionLine>) {
        let Some(query) = self.decisions_queries.get_mut(&request_id) else { return };
        if query.awaited_nodes.remove(&from) {
            query.lines.extend(lines.into_iter().filter(|line| line.node == from));
        }
        if query.awaited_nodes.is_empty() {
            self.finish_decisions_query(request_id);
        }
    }

    fn finish_decisions_query(&mut self, request_id: u64) {
        let Some(mut query) = self.decisions_queries.remove(&request_id) else { return };
        query.lines.truncate(query.limit);
        for line in &query.lines {
            query.cursor.insert(line.node, line.sequence);
        }
        self.emit(Action::DecisionsRead {
            request: query.request,
            lines: query.lines,
            cursor: query.cursor.into_iter().collect(),
        });
    }

    fn tick_decisions_queries(&mut self) {
        let now = self.now;
        let expired_requests: Vec<u64> = self
            .decisions_queries
            .iter()
            .filter(|(_, query)| now >= query.ends_at)
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in expired_requests {
            self.finish_decisions_query(request_id);
        }
    }

    fn drain(&mut self) {
        if self.draining_since.is_some() {
            return;
        }
        self.draining_since = Some(self.now);
        self.members.update_own(|own| own.draining = 1);
        self.decision_log.append("draining", json!({}), self.now);
        // A node without serving peers cannot transfer its leases: it leads until its calls are done.
        if !self.serving_members().is_empty() {
            self.release_led_functions();
        }
        // Announced to all peers at once instead of with the next probe.
        let announcement =
            Message::Probe { sequence: 0, target: 0, members: List(vec![self.members.own().clone()]) };
        let addresses: Vec<Address> = self.members.peers().map(|member| member.address).collect();
        for address in addresses {
            self.send_to_address(address, announcement.clone());
        }
    }

    fn tick_drain(&mut self) {
        let Some(draining_since) = self.draining_since else { return };
        let is_alone = self.serving_members().is_empty();
        let is_done = self.leadership.election.is_empty() && !self.must_stay_for_change();
        let may_finish = is_alone || is_done || self.now >= draining_since + DRAIN_TIMEOUT;
        if may_finish && !self.is_drained_reported {
            self.is_drained_reported = true;
            self.emit(Action::Drained);
        }
    }

    /// A snapshot of the node's state. Example: `node.status(now).held.len()`.
    pub fn status(&self, now: Micros) -> NodeStatus {
        let members = self.serving_members();
        NodeStatus {
            node: self.settings.node,
            generation: self.configuration.generation(),
            is_ready: self.configuration.is_ready(),
            members: self.members.live().into_iter().cloned().collect(),
            held: self.leadership.election.held(now),
            leader_counts: self.leadership.election.leader_counts(&members, now),
            unheld: self
                .configuration
                .current()
                .functions
                .keys()
                .filter(|function| {
                    let holder = self.leadership.election.holder(function, now);
                    holder.is_none_or(|(node, _)| self.members.find(node).is_none())
                })
                .count(),
            voters: self.control.voters().disks.0.clone(),
            disk_fault: self.control.disk_fault().map(str::to_owned),
            owned_keys: self.control.owned_count(),
            owner_counts: self.control.owner_counts(),
            voter_set_generation: self.control.voters().generation,
            voter_change: self.control.voter_change(now),
            majority_read_age: self.configuration.majority_read_age(now),
            newer_awaited_for: self
                .gossip
                .awaited_since(control_registers::CONFIGURATION_KEY)
                .map(|since| now - since),
            election_counts: self.leadership.election.counts(),
            collects_usage: self.usage.is_collecting(),
            usage_report_age: self.usage_report_age(now),
            decisions: self.decision_log.counts().clone(),
            counts: self.counts.clone(),
        }
    }

    /// Whether this node's configuration may be outdated: the node was out of contact or suspended, or has waited
    /// too long for a newer generation that it knows of.
    /// Example: `gateway.set_routes_suspect(node.suspects_configuration())` at each tick.
    pub fn suspects_configuration(&self) -> bool {
        let awaited_since = self.gossip.awaited_since(control_registers::CONFIGURATION_KEY);
        self.configuration.is_suspected()
            || awaited_since.is_some_and(|since| self.now >= since + NEWER_GENERATION_TIMEOUT)
    }

    /// Whether usage reporting is enabled. Example: `node.reports_usage()`.
    pub fn reports_usage(&self) -> bool {
        self.settings.usage.is_some()
    }

    /// The counts since the node's start. Example: `node.counts().remote_permits`.
    pub fn counts(&self) -> &NodeCounts {
        &self.counts
    }

    /// The decisions of this node after a sequence number, oldest first. Example: `node.decisions_after(0).len()`.
    pub fn decisions_after(&self, sequence: u64) -> Vec<DecisionLine> {
        self.decision_log.after(sequence, usize::MAX)
    }

    /// The number of live members, including this node. Example: `node.member_count() == 10`.
    pub fn member_count(&self) -> usize {
        self.members.peers().count() + 1
    }

    /// The voter set that this node uses. Example: `node.voters().generation == 0` before the bootstrap.
    pub fn voters(&self) -> &VoterSet {
        self.control.voters()
    }

    /// The node that this node takes for the owner of a key. Example: `node.owner_of("disks") == Some(7)`.
    pub fn owner_of(&self, key: &str) -> Option<NodeId> {
        self.key_owner(key)
    }

    /// The configuration in force on this node. Example: `node.current_configuration().routes.len()`.
    pub fn current_configuration(&self) -> Arc<configuration_schema::Configuration> {
        self.configuration.current()
    }

    /// The leader epoch under which this node may act as the function's leader now, if it may.
    /// Example: `node.term("proof", now)`.
    pub fn term(&self, function: &str, now: Micros) -> Option<u64> {
        self.leadership.election.term(function, now)
    }
}
