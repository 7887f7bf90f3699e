use crate::call_part::CallPart;
use crate::configuration_part::ConfigurationPart;
use crate::control_part::ControlPart;
use crate::journal::Journal;
use crate::steward_part::StewardPart;
use crate::usage_part::UsagePart;
use crate::zones::Zones;
use crate::{Act, Event, NodeSettings, Policy};
use control_registers::{DiskRegisters, VoterSet};
use fastrand::Rng;
use gossip::NewsSpread;
use membership::{MemberChange, Members};
use monotonic_clock::{ClockEvent, Micros};
use peer_messages::{
    Address, CursorMark, DecisionLine, Envelope, List, MemberNews, Message, NodeId, rendezvous_weight,
};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Counts for metrics. Example: `node.status(now).counts.messages_heard`.
#[derive(Clone, Debug, Default)]
pub struct NodeCounts {
    /// Messages taken from colleagues.
    pub messages_heard: u64,
    /// Messages meant for another process, dropped.
    pub messages_misdirected: u64,
    /// Messages handed to the network.
    pub messages_sent: u64,
    /// Groups of records given to the disk to sync.
    pub disk_groups: u64,
    /// Tickets granted as steward.
    pub tickets_granted: u64,
    /// Of these, tickets for a cell in another zone than the asker's.
    pub far_tickets: u64,
    /// Tickets granted as deputy.
    pub deputy_tickets: u64,
    /// Asks turned down as steward.
    pub asks_refused: u64,
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
    pub members: Vec<MemberNews>,
    /// Functions this node is steward of.
    pub held: Vec<String>,
    /// Steward counts by node, by this node's observation.
    pub tally: BTreeMap<NodeId, usize>,
    /// Functions no live member holds, by this node's observation.
    pub unheld: usize,
    /// Voting disks.
    pub voters: Vec<u64>,
    /// Why this node's own disk cannot be used, and what to do; `None` if it can, or there is none.
    pub disk_trouble: Option<String>,
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
    unheard: BTreeSet<NodeId>,
    ends_at: Micros,
    most: usize,
}

/// One node. Example: `let acts = node.handle(Event::Tick, now);`.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) members: Members,
    pub(crate) news: NewsSpread,
    pub(crate) zones: Zones,
    pub(crate) control: ControlPart,
    pub(crate) configuration: ConfigurationPart,
    pub(crate) stewards: StewardPart,
    pub(crate) calls: CallPart,
    pub(crate) usage: UsagePart,
    pub(crate) journal: Journal,
    pub(crate) counts: NodeCounts,
    pub(crate) dice: Rng,
    pub(crate) now: Micros,
    pub(crate) draining_since: Option<Micros>,
    drained_told: bool,
    gathers: BTreeMap<u64, DecisionsGather>,
    next_ask: u64,
    to_self: VecDeque<Message>,
    acts: Vec<Act>,
    upkeep_event: ClockEvent,
    ticked_at: Micros,
    pub(crate) heard_at: Option<Micros>,
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
const NEWER_GENERATION_PATIENCE: Micros = Micros::from_millis(2_500);
const GATHER_LIMIT: usize = 32;
const GONE_LIMIT: usize = 256;

impl Node {
    /// A node at its start; with a disk it brings the disk's id and registers.
    /// Example: `Node::new(settings, None, Micros(0))`.
    pub fn new(settings: NodeSettings, disk: Option<(u64, DiskRegisters)>, now: Micros) -> Node {
        let own = MemberNews {
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
        let luck_seed = settings.luck_seed;
        let mut node = Node {
            members: Members::new(own, settings.seeds.clone(), settings.probes.clone(), luck_seed),
            news: NewsSpread::new(luck_seed ^ 0x6e65_7773),
            zones: Zones::default(),
            control: ControlPart::new(settings.node, disk),
            configuration: ConfigurationPart::new(),
            stewards: StewardPart::new(settings.node, settings.election.clone(), now),
            calls: CallPart::new(),
            usage: UsagePart::new(now),
            journal: Journal::new(settings.node),
            counts: NodeCounts::default(),
            dice: Rng::with_seed(luck_seed ^ 0x6e6f_6465),
            now,
            draining_since: None,
            drained_told: false,
            gathers: BTreeMap::new(),
            // Asks are told apart by process already; the start only keeps them from being small.
            next_ask: 1,
            to_self: VecDeque::new(),
            acts: Vec::new(),
            upkeep_event: ClockEvent::each(Micros::from_millis(20)),
            ticked_at: now,
            heard_at: None,
            gone: BTreeSet::new(),
            settings,
        };
        if let Some(link_rate) = node.settings.link_rate {
            node.news.take_link_rate(link_rate);
        }
        node.start_by_own_set();
        node
    }

    /// Takes an event at a time and returns what is to be done.
    /// Example: `for act in node.handle(Event::Tick, now) { carry_out(act) }`.
    pub fn handle(&mut self, event: Event, now: Micros) -> Vec<Act> {
        self.now = self.now.max(now);
        if self.now > self.ticked_at + FROZEN_SPAN {
            // This node slept: what it knew of cells and lanes may be long out of date. Whatever
            // event comes first finds that out, not the next clock event.
            self.ticked_at = self.now;
            self.woke_up();
            self.usage_woke_up();
        }
        self.take_event(event);
        self.settle();
        std::mem::take(&mut self.acts)
    }

    fn take_event(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Heard(envelope) => self.heard(envelope),
            Event::CallAsks { call, wish } => self.call_asks(call, wish),
            Event::CallEnds { call } => self.call_ends(call),
            Event::TicketDone { ticket, how, latency } => self.ticket_done(&ticket, how, latency),
            Event::DiskDone { token, is_synced } => self.disk_done(token, is_synced),
            Event::DiskUnsynced => self.disk_unsynced(),
            Event::DiskUnusable { reason } => self.disk_unusable(reason),
            Event::DiskSetAside => self.disk_set_aside(),
            Event::Listed { workers, cells } => self.listed(workers, cells),
            Event::ListFailed => self.list_failed(),
            Event::StartDone { start_id, result } => self.start_done(&start_id, result),
            Event::StopDone { cell, result } => self.stop_done(&cell, result),
            Event::UsageReported { window, fence, result } => self.usage_reported(window, fence, result),
            Event::WallClock { unix } => self.wall_clock_read(unix),
            Event::ChangeAsked { request, change } => self.change_asked(request, change),
            Event::ConfigurationAsked { request } => self.configuration_asked(request),
            Event::DecisionsAsked { request, after, most } => self.decisions_asked(request, after, most),
            Event::Drain => self.drain(),
            Event::SeedsChanged { seeds } => {
                self.settings.seeds.clone_from(&seeds);
                self.members.take_seeds(seeds);
            }
        }
    }

    /// Handles what the node says to itself and what its parts want sent, until nothing is left.
    fn settle(&mut self) {
        loop {
            self.flush_control();
            self.flush_stewards();
            let Some(message) = self.to_self.pop_front() else { return };
            self.take_message(self.settings.node, self.settings.address, message);
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
        self.take_member_changes();
        for (node, message) in self.news.tick(now) {
            self.send(node, message);
        }
        self.tick_control();
        self.tick_configuration();
        self.tick_usage();
        self.tick_stewards();
        self.tick_calls();
        self.tick_gathers();
        self.tick_drain();
    }

    fn heard(&mut self, envelope: Envelope) {
        self.counts.messages_heard += 1;
        if envelope.to != 0 && envelope.to != self.settings.node {
            self.counts.messages_misdirected += 1;
            return;
        }
        if self.is_unheard() {
            self.doubt_configuration();
        }
        self.heard_at = Some(self.now);
        self.calls.heard_from(envelope.from, self.now);
        if matches!(envelope.message, Message::ProbeAnswer { .. }) {
            self.probe_answered(envelope.from);
        }
        self.take_message(envelope.from, envelope.from_address, envelope.message);
    }

    /// Whether colleagues fell silent, all of them.
    pub(crate) fn is_unheard(&self) -> bool {
        self.heard_at.is_some_and(|heard_at| self.now > heard_at + SILENT_SPAN)
    }

    fn take_message(&mut self, from: NodeId, from_address: Address, message: Message) {
        match message {
            Message::Probe { .. }
            | Message::ProbeAnswer { .. }
            | Message::ProbeFor { .. }
            | Message::MembersDigest { .. }
            | Message::MembersTold { .. } => {
                let now = self.now;
                for (address, answer) in self.members.received(from, from_address, message, now) {
                    self.send_to_address(address, answer);
                }
                self.take_member_changes();
            }
            Message::News { .. }
            | Message::NewsDigest { .. }
            | Message::NewsMarks { .. }
            | Message::NewsAsk { .. }
            | Message::NewsChanges { .. } => {
                let (newer_topics, sends) = self.news.received(from, message);
                for (node, answer) in sends {
                    self.send(node, answer);
                }
                for topic in newer_topics {
                    self.news_came(&topic);
                }
            }
            Message::Promise { .. }
            | Message::Promised { .. }
            | Message::Store { .. }
            | Message::Stored { .. }
            | Message::Found { .. }
            | Message::FoundAnswer { .. }
            | Message::KeysAsk { .. }
            | Message::KeysTold { .. }
            | Message::RecordsPoll { .. }
            | Message::RecordsPolled { .. }
            | Message::RelayPoll { .. }
            | Message::RelayPolled { .. }
            | Message::Write { .. }
            | Message::WriteAnswer { .. }
            | Message::ReadConfirmed { .. } => self.take_control_message(from, message),
            Message::ChangeCarry { ask, change } => self.change_carried(from, ask, &change),
            Message::ChangeSettled { ask, outcome } => self.change_settled(ask, &outcome),
            Message::TicketAsk { .. }
            | Message::TicketReturn { .. }
            | Message::TicketWithdraw { .. }
            | Message::TermHandedOver { .. }
            | Message::HeldAnswer { .. } => self.take_steward_message(from, message),
            Message::TicketGranted { .. } | Message::TicketHeldBack { .. } | Message::HeldAsk { .. } => {
                self.take_call_message(from, message);
            }
            Message::ListAsk { .. } | Message::ListTold { .. } => self.take_list_message(from, message),
            Message::UsageTold { .. } | Message::UsageHeard { .. } => self.take_usage_message(from, message),
            Message::DecisionsAsk { ask, after, most } => {
                let after_own = after.0.iter().find(|mark| mark.node == self.settings.node);
                let lines = self.journal.after(after_own.map_or(0, |mark| mark.sequence), most as usize);
                self.send(from, Message::DecisionsAnswer { ask, lines: List(lines) });
            }
            Message::DecisionsAnswer { ask, lines } => self.decisions_answered(from, ask, lines.0),
        }
    }

    fn news_came(&mut self, topic: &str) {
        if topic == control_registers::DISKS_KEY {
            self.set_told();
        }
        if topic == control_registers::CONFIGURATION_KEY {
            self.configuration_news();
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
        self.news.take_neighbours(self.settings.node, self.zones.neighbours());
    }

    /// Whether a message to this address stays in this node's zone, for the count of bytes that do not.
    /// An address of no live member is taken to be far. Example: `node.is_near_address(address)`.
    pub fn is_near_address(&self, address: Address) -> bool {
        self.zones.is_near_address(&address)
    }

    fn take_member_changes(&mut self) {
        self.renew_zones();
        for change in self.members.take_changes() {
            let (kind, node) = match change {
                MemberChange::Joined(node) => ("member_joined", node),
                MemberChange::Gone(node) => ("member_gone", node),
            };
            let address = self.members.remembered().find(|news| news.node == node).map(|news| news.address);
            self.journal.append(
                kind,
                json!({
                    "member": format!("{node:016x}"),
                    "address": address.map(|found| found.socket().to_string()),
                }),
                self.now,
            );
            // A process that starts anew has another id: this one was beyond a cut, or asleep.
            if kind == "member_joined" && self.gone.remove(&node) {
                self.colleague_back(node);
            }
            if kind == "member_gone" {
                self.gone.insert(node);
                if self.gone.len() > GONE_LIMIT {
                    self.gone.pop_first();
                }
                self.calls.forget(node);
                let demand_topic = format!("demand/{node:016x}");
                self.news.forget(|topic| topic == demand_topic);
            }
        }
    }

    /// Sends to a live member, or to this node itself.
    pub(crate) fn send(&mut self, node: NodeId, message: Message) {
        if node == self.settings.node {
            self.to_self.push_back(message);
            return;
        }
        let Some(address) = self.members.find(node).map(|news| news.address) else { return };
        self.counts.messages_sent += 1;
        self.acts.push(Act::Send { address, to: node, message });
    }

    /// Sends to whichever process listens at an address: probes find out who that is.
    pub(crate) fn send_to_address(&mut self, address: Address, message: Message) {
        if address == self.settings.address {
            return;
        }
        self.counts.messages_sent += 1;
        self.acts.push(Act::Send { address, to: 0, message });
    }

    pub(crate) fn act(&mut self, act: Act) {
        self.acts.push(act);
    }

    pub(crate) fn fresh_ask(&mut self) -> u64 {
        self.next_ask += 1;
        self.next_ask
    }

    /// Live members that are not draining: the paper's N, in order of id.
    pub(crate) fn serving_members(&self) -> Vec<NodeId> {
        self.members.live().iter().filter(|news| news.draining == 0).map(|news| news.node).collect()
    }

    /// The rendezvous choice among nodes.
    pub(crate) fn rendezvous_choice(name: &str, nodes: impl Iterator<Item = NodeId>) -> Option<NodeId> {
        nodes.max_by_key(|node| (rendezvous_weight(name, *node), *node))
    }

    fn decisions_asked(&mut self, request: u64, after: Vec<(NodeId, u64)>, most: u32) {
        let ask = self.fresh_ask();
        let most = most.min(2_000);
        let marks: List<CursorMark> =
            after.iter().map(|(node, sequence)| CursorMark { node: *node, sequence: *sequence }).collect();
        if self.gathers.len() >= GATHER_LIMIT {
            self.act(Act::DecisionsAnswered { request, lines: Vec::new(), cursor: after });
            return;
        }
        let everyone: BTreeSet<NodeId> = self.members.live().iter().map(|news| news.node).collect();
        self.gathers.insert(
            ask,
            DecisionsGather {
                request,
                lines: Vec::new(),
                cursor: after.into_iter().collect(),
                unheard: everyone.clone(),
                ends_at: self.now + GATHER_SPAN,
                most: most as usize,
            },
        );
        for node in everyone {
            self.send(node, Message::DecisionsAsk { ask, after: marks.clone(), most });
        }
    }

    fn decisions_answered(&mut self, from: NodeId, ask: u64, lines: Vec<DecisionLine>) {
        let Some(gather) = self.gathers.get_mut(&ask) else { return };
        if gather.unheard.remove(&from) {
            gather.lines.extend(lines.into_iter().filter(|line| line.node == from));
        }
        if gather.unheard.is_empty() {
            self.end_gather(ask);
        }
    }

    fn end_gather(&mut self, ask: u64) {
        let Some(mut gather) = self.gathers.remove(&ask) else { return };
        gather.lines.truncate(gather.most);
        for line in &gather.lines {
            gather.cursor.insert(line.node, line.sequence);
        }
        self.act(Act::DecisionsAnswered {
            request: gather.request,
            lines: gather.lines,
            cursor: gather.cursor.into_iter().collect(),
        });
    }

    fn tick_gathers(&mut self) {
        let now = self.now;
        let over_asks: Vec<u64> =
            self.gathers.iter().filter(|(_, gather)| now >= gather.ends_at).map(|(ask, _)| *ask).collect();
        for ask in over_asks {
            self.end_gather(ask);
        }
    }

    fn drain(&mut self) {
        if self.draining_since.is_some() {
            return;
        }
        self.draining_since = Some(self.now);
        self.members.update_own(|own| own.draining = 1);
        self.journal.append("draining", json!({}), self.now);
        // A lone node has nobody to give its leases to: it stays steward until its calls are done.
        if !self.serving_members().is_empty() {
            self.release_stewards();
        }
        // Colleagues hear it at once, not at the next probe.
        let told = Message::Probe { sequence: 0, target: 0, members: List(vec![self.members.own().clone()]) };
        let addresses: Vec<Address> = self.members.colleagues().map(|news| news.address).collect();
        for address in addresses {
            self.send_to_address(address, told.clone());
        }
    }

    fn tick_drain(&mut self) {
        let Some(draining_since) = self.draining_since else { return };
        let is_alone = self.serving_members().is_empty();
        let is_done = self.stewards.election.is_empty() && !self.must_stay_for_change();
        let is_over = is_alone || is_done || self.now >= draining_since + DRAIN_SPAN;
        if is_over && !self.drained_told {
            self.drained_told = true;
            self.act(Act::Drained);
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
            held: self.stewards.election.held(now),
            tally: self.stewards.election.tally(&members, now),
            unheld: self
                .configuration
                .current()
                .functions
                .keys()
                .filter(|function| {
                    let holder = self.stewards.election.holder(function, now);
                    holder.is_none_or(|(node, _)| self.members.find(node).is_none())
                })
                .count(),
            voters: self.control.voters().disks.0.clone(),
            disk_trouble: self.control.disk_trouble().map(str::to_owned),
            owned_keys: self.control.owned_count(),
            majority_read_age: self.configuration.majority_read_age(now),
            newer_awaited_for: self
                .news
                .awaited_since(control_registers::CONFIGURATION_KEY)
                .map(|since| now - since),
            election_counts: self.stewards.election.counts(),
            collects_usage: self.usage.is_collecting(),
            usage_report_age: self.usage_report_age(now),
            decisions: self.journal.counts().clone(),
            counts: self.counts.clone(),
        }
    }

    /// Whether this node does not know that its configuration is the newest: it was away, or has heard of a newer
    /// generation for so long that calls would soon be judged by an outdated one.
    /// Example: `front.doubt_lanes(node.doubts_configuration())` with each clock event.
    pub fn doubts_configuration(&self) -> bool {
        let awaited_since = self.news.awaited_since(control_registers::CONFIGURATION_KEY);
        self.configuration.is_doubted()
            || awaited_since.is_some_and(|since| self.now >= since + NEWER_GENERATION_PATIENCE)
    }

    /// Whether this node takes part in reports of usage. Example: `node.reports_usage()`.
    pub fn reports_usage(&self) -> bool {
        self.settings.usage.is_some()
    }

    /// Counts since the node's start. Example: `node.counts().far_tickets`.
    pub fn counts(&self) -> &NodeCounts {
        &self.counts
    }

    /// Own decisions behind a sequence, oldest first. Example: `node.decisions_after(0).len()`.
    pub fn decisions_after(&self, sequence: u64) -> Vec<DecisionLine> {
        self.journal.after(sequence, usize::MAX)
    }

    /// Live members, this node included. Example: `node.member_count() == 10`.
    pub fn member_count(&self) -> usize {
        self.members.colleagues().count() + 1
    }

    /// The voter set this node goes by. Example: `node.voters().generation == 0` before the founding.
    pub fn voters(&self) -> &VoterSet {
        self.control.voters()
    }

    /// The node that this one asks about a key. Example: `node.owner_of("disks") == Some(7)`.
    pub fn owner_of(&self, key: &str) -> Option<NodeId> {
        self.key_owner(key)
    }

    /// The configuration that holds here. Example: `node.current_configuration().lanes.len()`.
    pub fn current_configuration(&self) -> Arc<configuration_schema::Configuration> {
        self.configuration.current()
    }

    /// Whether this node may act as the function's steward now, and under which epoch.
    /// Example: `node.term("proof", now)`.
    pub fn term(&self, function: &str, now: Micros) -> Option<u64> {
        self.stewards.election.term(function, now)
    }
}
