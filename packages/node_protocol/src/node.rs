use crate::call_admission::CallAdmission;
use crate::configuration_sync::ConfigurationSync;
use crate::control_store::ControlStore;
use crate::decision_log::DecisionLog;
use crate::function_leadership::FunctionLeadership;
use crate::usage_reporting::UsageReporting;
use crate::zones::Zones;
use crate::{Action, Event, NodeSettings, Policy};
use control_registers::{DiskRegisters, VoterSet};
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
    /// Messages taken from colleagues.
    pub messages_received: u64,
    /// Messages meant for another process, dropped.
    pub messages_misdirected: u64,
    /// Messages handed to the network.
    pub messages_sent: u64,
    /// Groups of records given to the disk to sync.
    pub disk_groups: u64,
    /// Tickets granted as steward.
    pub permits_granted: u64,
    /// Of these, tickets for a cell in another zone than the asker's.
    pub remote_permits: u64,
    /// Tickets granted as deputy.
    pub fallback_permits: u64,
    /// Asks turned down as steward.
    pub requests_refused: u64,
    /// Windows of usage whose counts this node chose.
    pub usage_decided: u64,
    /// Reports of usage that the platform accepted from this node.
    pub usage_reported: u64,
}

/// A page of a node's state. Example: `node.status(now).generation`.
#[derive(Clone, Debug)]
pub struct NodeStatus {
    /// This process.
    pub node: NodeId,
    /// The configuration generation that holds here.
    pub generation: u64,
    /// Whether the newest configuration is known.
    pub is_ready: bool,
    /// Live members: id, address, zone, disk state.
    pub members: Vec<MemberUpdate>,
    /// Functions this node is steward of.
    pub held: Vec<String>,
    /// Steward counts by node, by this node's observation.
    pub leader_counts: BTreeMap<NodeId, usize>,
    /// Functions no live member holds, by this node's observation.
    pub unheld: usize,
    /// Voting disks.
    pub voters: Vec<u64>,
    /// Why this node's own disk cannot be used, and what to do; `None` if it can, or there is none.
    pub disk_fault: Option<String>,
    /// Keys this node owns.
    pub owned_keys: usize,
    /// How long ago a majority told this node which configuration stands; `None` before the first time.
    pub majority_read_age: Option<Micros>,
    /// How long ago this node first heard of the next generation of the configuration that it does not hold
    /// yet; `None` while it has heard of none.
    pub newer_awaited_for: Option<Micros>,
    /// Gate refusals, lost races, gates passed over.
    pub election_counts: (u64, u64, u64),
    /// Whether this node collects the counts of usage.
    pub collects_usage: bool,
    /// How long ago the newest window ended whose report was accepted from this node.
    pub usage_report_age: Option<Micros>,
    /// Decisions by kind.
    pub decisions: BTreeMap<&'static str, u64>,
    /// Counts.
    pub counts: NodeCounts,
}

#[derive(Debug)]
pub(crate) struct DecisionsGather {
    request: u64,
    lines: Vec<DecisionLine>,
    cursor: BTreeMap<NodeId, u64>,
    awaited_holders: BTreeSet<NodeId>,
    ends_at: Micros,
    most: usize,
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
    gathers: BTreeMap<u64, DecisionsGather>,
    next_request_id: u64,
    to_self: VecDeque<Message>,
    actions: Vec<Action>,
    upkeep_event: Ticker,
    ticked_at: Micros,
    pub(crate) received_at: Option<Micros>,
    /// Processes that were members and are none now.
    gone: BTreeSet<NodeId>,
}

/// What every node does to every owner or to all others is done less often in a large fleet: a pause is at
/// least so long for each member, so that one node meets at most some 200 such messages a second.
pub(crate) const PAUSE_A_MEMBER: Micros = Micros::from_millis(5);
const GATHER_SPAN: Micros = Micros::from_millis(600);
const DRAIN_SPAN: Micros = Micros::from_millis(2_000);
/// A node whose clock events stay out this long was frozen.
const FROZEN_SPAN: Micros = Micros::from_millis(800);
/// A node that heard no colleague for so long was cut off: its own probes went unanswered in a row.
const SILENT_SPAN: Micros = Micros::from_millis(1_200);
/// Whoever waits for a newer generation for longer does not refuse calls by the one it has.
const NEWER_GENERATION_TIMEOUT: Micros = Micros::from_millis(2_500);
const GATHER_LIMIT: usize = 32;
const GONE_LIMIT: usize = 256;

impl Node {
    /// A node at its start; with a disk it brings the disk's id and registers.
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
            gathers: BTreeMap::new(),
            // Asks are told apart by process already; the start only keeps them from being small.
            next_request_id: 1,
            to_self: VecDeque::new(),
            actions: Vec::new(),
            upkeep_event: Ticker::every(Micros::from_millis(20)),
            ticked_at: now,
            received_at: None,
            gone: BTreeSet::new(),
            settings,
        };
        if let Some(link_rate) = node.settings.link_rate {
            node.gossip.set_link_rate(link_rate);
        }
        node.start_by_own_set();
        node
    }

    /// Takes an event at a time and returns what is to be done.
    /// Example: `for action in node.handle(Event::Tick, now) { carry_out(action) }`.
    pub fn handle(&mut self, event: Event, now: Micros) -> Vec<Action> {
        self.now = self.now.max(now);
        if self.now > self.ticked_at + FROZEN_SPAN {
            // This node slept: what it knew of cells and lanes may be long out of date. Whatever
            // event comes first finds that out, not the next clock event.
            self.ticked_at = self.now;
            self.woke_up();
            self.usage_woke_up();
        }
        self.handle_event(event);
        self.settle();
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
            Event::Listed { workers, instances } => self.listed(workers, instances),
            Event::ListFailed => self.list_failed(),
            Event::StartDone { start_id, result } => self.start_done(&start_id, result),
            Event::StopDone { instance, result } => self.stop_done(&instance, result),
            Event::UsageReported { window, fence, result } => self.usage_reported(window, fence, result),
            Event::WallClock { unix } => self.wall_clock_read(unix),
            Event::ChangeRequested { request, change } => self.change_requested(request, change),
            Event::ConfigurationRequested { request } => self.configuration_requested(request),
            Event::DecisionsRequested { request, after, most } => {
                self.decisions_requested(request, after, most)
            }
            Event::Drain => self.drain(),
            Event::SeedsChanged { seeds } => {
                self.settings.seeds.clone_from(&seeds);
                self.members.set_seeds(seeds);
            }
        }
    }

    /// Handles what the node says to itself and what its parts want sent, until nothing is left.
    fn settle(&mut self) {
        loop {
            self.flush_control();
            self.flush_leaders();
            let Some(message) = self.to_self.pop_front() else { return };
            self.handle_message(self.settings.node, self.settings.address, message);
        }
    }

    fn tick(&mut self) {
        if !self.upkeep_event.due(self.now) {
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
        self.tick_leaders();
        self.tick_calls();
        self.tick_gathers();
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

    /// Whether colleagues fell silent, all of them.
    pub(crate) fn is_out_of_contact(&self) -> bool {
        self.received_at.is_some_and(|received_at| self.now > received_at + SILENT_SPAN)
    }

    fn handle_message(&mut self, from: NodeId, from_address: Address, message: Message) {
        match message {
            Message::Probe { .. }
            | Message::ProbeResponse { .. }
            | Message::ProbeFor { .. }
            | Message::MembersDigest { .. }
            | Message::MembersResponse { .. } => {
                let now = self.now;
                for (address, response) in self.members.received(from, from_address, message, now) {
                    self.send_to_address(address, response);
                }
                self.handle_member_changes();
            }
            Message::Gossip { .. }
            | Message::GossipDigest { .. }
            | Message::GossipVersions { .. }
            | Message::GossipRequest { .. }
            | Message::GossipBodyChanges { .. } => {
                let (newer_topics, sends) = self.gossip.received(from, message);
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
            | Message::KeysRequest { .. }
            | Message::KeysResponse { .. }
            | Message::RecordsPoll { .. }
            | Message::RecordsPolled { .. }
            | Message::RelayPoll { .. }
            | Message::RelayPolled { .. }
            | Message::Write { .. }
            | Message::WriteResponse { .. }
            | Message::ReadConfirmed { .. } => self.handle_control_message(from, message),
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
            Message::DecisionsRequest { request_id, after, most } => {
                let after_own = after.0.iter().find(|keys_digest| keys_digest.node == self.settings.node);
                let lines = self
                    .decision_log
                    .after(after_own.map_or(0, |keys_digest| keys_digest.sequence), most as usize);
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

    /// Whether a policy is followed here.
    pub(crate) fn is_on(&self, policy: Policy) -> bool {
        !self.settings.switched_off.contains(&policy)
    }

    /// Derives anew what rests on the members, if they changed.
    fn renew_zones(&mut self) {
        let revision = self.members.revision();
        if !self.zones.is_outdated(revision) {
            return;
        }
        let has_relays = self.is_on(Policy::Relays);
        self.zones = Zones::of(self.members.own(), &self.members.live(), has_relays, revision);
        self.gossip.set_neighbours(self.settings.node, self.zones.neighbours());
    }

    /// Whether a message to this address stays in this node's zone, for the count of bytes that do not.
    /// An address of no live member is taken to be far. Example: `node.is_local_address(address)`.
    pub fn is_local_address(&self, address: Address) -> bool {
        self.zones.is_local_address(&address)
    }

    fn handle_member_changes(&mut self) {
        self.renew_zones();
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
                    "address": address.map(|found| found.socket().to_string()),
                }),
                self.now,
            );
            // A process that starts anew has another id: this one was beyond a cut, or asleep.
            if kind == "member_joined" && self.gone.remove(&node) {
                self.peer_returned(node);
            }
            if kind == "member_gone" {
                self.gone.insert(node);
                if self.gone.len() > GONE_LIMIT {
                    self.gone.pop_first();
                }
                self.calls.forget(node);
                let demand_topic = format!("demand/{node:016x}");
                self.gossip.forget(|topic| topic == demand_topic);
            }
        }
    }

    /// Sends to a live member, or to this node itself.
    pub(crate) fn send(&mut self, node: NodeId, message: Message) {
        if node == self.settings.node {
            self.to_self.push_back(message);
            return;
        }
        let Some(address) = self.members.find(node).map(|member| member.address) else { return };
        self.counts.messages_sent += 1;
        self.actions.push(Action::Send { address, to: node, message });
    }

    /// Sends to whichever process listens at an address: probes find out who that is.
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

    /// Live members that are not draining: the paper's N, in order of id.
    pub(crate) fn serving_members(&self) -> Vec<NodeId> {
        self.members.live().iter().filter(|member| member.draining == 0).map(|member| member.node).collect()
    }

    /// The rendezvous choice among nodes.
    pub(crate) fn rendezvous_choice(name: &str, nodes: impl Iterator<Item = NodeId>) -> Option<NodeId> {
        nodes.max_by_key(|node| (rendezvous_weight(name, *node), *node))
    }

    fn decisions_requested(&mut self, request: u64, after: Vec<(NodeId, u64)>, most: u32) {
        let request_id = self.next_request_id();
        let most = most.min(2_000);
        let marks: List<CursorPosition> = after
            .iter()
            .map(|(node, sequence)| CursorPosition { node: *node, sequence: *sequence })
            .collect();
        if self.gathers.len() >= GATHER_LIMIT {
            self.emit(Action::DecisionsAnswered { request, lines: Vec::new(), cursor: after });
            return;
        }
        let everyone: BTreeSet<NodeId> = self.members.live().iter().map(|member| member.node).collect();
        self.gathers.insert(
            request_id,
            DecisionsGather {
                request,
                lines: Vec::new(),
                cursor: after.into_iter().collect(),
                awaited_holders: everyone.clone(),
                ends_at: self.now + GATHER_SPAN,
                most: most as usize,
            },
        );
        for node in everyone {
            self.send(node, Message::DecisionsRequest { request_id, after: marks.clone(), most });
        }
    }

    fn decisions_answered(&mut self, from: NodeId, request_id: u64, lines: Vec<DecisionLine>) {
        let Some(gather) = self.gathers.get_mut(&request_id) else { return };
        if gather.awaited_holders.remove(&from) {
            gather.lines.extend(lines.into_iter().filter(|line| line.node == from));
        }
        if gather.awaited_holders.is_empty() {
            self.end_gather(request_id);
        }
    }

    fn end_gather(&mut self, request_id: u64) {
        let Some(mut gather) = self.gathers.remove(&request_id) else { return };
        gather.lines.truncate(gather.most);
        for line in &gather.lines {
            gather.cursor.insert(line.node, line.sequence);
        }
        self.emit(Action::DecisionsAnswered {
            request: gather.request,
            lines: gather.lines,
            cursor: gather.cursor.into_iter().collect(),
        });
    }

    fn tick_gathers(&mut self) {
        let now = self.now;
        let expired_requests: Vec<u64> = self
            .gathers
            .iter()
            .filter(|(_, gather)| now >= gather.ends_at)
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in expired_requests {
            self.end_gather(request_id);
        }
    }

    fn drain(&mut self) {
        if self.draining_since.is_some() {
            return;
        }
        self.draining_since = Some(self.now);
        self.members.update_own(|own| own.draining = 1);
        self.decision_log.append("draining", json!({}), self.now);
        // A lone node has nobody to give its leases to: it stays steward until its calls are done.
        if !self.serving_members().is_empty() {
            self.release_leaders();
        }
        // Colleagues hear it at once, not at the next probe.
        let reported =
            Message::Probe { sequence: 0, target: 0, members: List(vec![self.members.own().clone()]) };
        let addresses: Vec<Address> = self.members.peers().map(|member| member.address).collect();
        for address in addresses {
            self.send_to_address(address, reported.clone());
        }
    }

    fn tick_drain(&mut self) {
        let Some(draining_since) = self.draining_since else { return };
        let is_alone = self.serving_members().is_empty();
        let is_done = self.leadership.election.is_empty() && !self.must_stay_for_change();
        let is_over = is_alone || is_done || self.now >= draining_since + DRAIN_SPAN;
        if is_over && !self.is_drained_reported {
            self.is_drained_reported = true;
            self.emit(Action::Drained);
        }
    }

    /// The node's page of state. Example: `node.status(now).held.len()`.
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

    /// Whether this node does not know that its configuration is the newest: it was away, or has heard of a newer
    /// generation for so long that calls would soon be judged by an outdated one.
    /// Example: `gateway.set_routes_suspect(node.suspects_configuration())` with each clock event.
    pub fn suspects_configuration(&self) -> bool {
        let awaited_since = self.gossip.awaited_since(control_registers::CONFIGURATION_KEY);
        self.configuration.is_suspected()
            || awaited_since.is_some_and(|since| self.now >= since + NEWER_GENERATION_TIMEOUT)
    }

    /// Whether this node takes part in reports of usage. Example: `node.reports_usage()`.
    pub fn reports_usage(&self) -> bool {
        self.settings.usage.is_some()
    }

    /// Counts since the node's start. Example: `node.counts().remote_permits`.
    pub fn counts(&self) -> &NodeCounts {
        &self.counts
    }

    /// Own decisions behind a sequence, oldest first. Example: `node.decisions_after(0).len()`.
    pub fn decisions_after(&self, sequence: u64) -> Vec<DecisionLine> {
        self.decision_log.after(sequence, usize::MAX)
    }

    /// Live members, this node included. Example: `node.member_count() == 10`.
    pub fn member_count(&self) -> usize {
        self.members.peers().count() + 1
    }

    /// The voter set this node goes by. Example: `node.voters().generation == 0` before the founding.
    pub fn voters(&self) -> &VoterSet {
        self.control.voters()
    }

    /// The node that this one asks about a key. Example: `node.owner_of("disks") == Some(7)`.
    pub fn owner_of(&self, key: &str) -> Option<NodeId> {
        self.key_owner(key)
    }

    /// The configuration that holds here. Example: `node.current_configuration().routes.len()`.
    pub fn current_configuration(&self) -> Arc<configuration_schema::Configuration> {
        self.configuration.current()
    }

    /// Whether this node may act as the function's steward now, and under which epoch.
    /// Example: `node.term("proof", now)`.
    pub fn term(&self, function: &str, now: Micros) -> Option<u64> {
        self.leadership.election.term(function, now)
    }
}
