//! Membership and failure detection as in SWIM: probes to peers in rotation, indirect probes through other
//! peers, suspicion that the suspected node may refute, then removal. Removed members and seeds are still
//! probed at intervals, so that both sides of a healed partition join again.

use fastrand::Rng;
use monotonic_clock::{Micros, Ticker};
use peer_messages::{Address, List, MemberUpdate, Message, NodeId, stable_hash};
use std::collections::BTreeMap;

/// A member that responds or is not suspected yet.
pub const ALIVE: u8 = 0;
/// A member that did not respond; it counts as alive until the suspicion time has passed.
pub const SUSPECTED: u8 = 1;
/// A removed member.
pub const GONE: u8 = 2;

/// Limit of remembered members, removed ones included; beyond it the member removed longest ago is dropped.
const MEMBER_LIMIT: usize = 1_024;
const UPDATES_PER_MESSAGE: usize = 64;
/// With more peers than this a probe carries only recent changes.
const SMALL_FLEET: usize = 16;
/// How many changes a probe carries in a large fleet.
const CHANGES_PER_MESSAGE: usize = 16;
/// How often each change is sent.
const UPDATE_TRANSMISSIONS: u32 = 16;
/// Limit of removed members in a full list.
const GONE_PER_MESSAGE: usize = 64;

/// Intervals and timeouts of probes.
/// Example: `ProbeSettings::default().interval == Micros::from_millis(400)`.
#[derive(Clone, Debug)]
pub struct ProbeSettings {
    /// Interval between two probes of this node.
    pub interval: Micros,
    /// Timeout of a direct probe, after which indirect probes are requested.
    pub probe_timeout: Micros,
    /// Time from suspicion to removal.
    pub suspicion: Micros,
    /// How long a removed member is remembered and probed.
    pub gone_retention: Micros,
}

impl Default for ProbeSettings {
    fn default() -> ProbeSettings {
        ProbeSettings {
            interval: Micros::from_millis(400),
            probe_timeout: Micros::from_millis(250),
            suspicion: Micros::from_millis(1_500),
            gone_retention: Micros::from_secs(600),
        }
    }
}

/// The address of the recipient, and a message.
/// Example: `for (address, message) in members.tick(now) { .. }`.
pub type Outgoing = (Address, Message);

/// A change in the set of live members. Example: `MemberChange::Gone(node)`.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberChange {
    /// A node that was unknown, or a removed one that returned.
    Joined(NodeId),
    /// A node was removed.
    Gone(NodeId),
}

#[derive(Clone, Debug)]
struct Member {
    update: MemberUpdate,
    state_since: Micros,
    /// How many more times the update is sent as a change.
    transmissions_left: u32,
}

#[derive(Debug)]
struct PendingProbe {
    target: NodeId,
    sequence: u64,
    sent_at: Micros,
    is_indirect: bool,
}

#[derive(Debug)]
struct IndirectProbe {
    requester: Address,
    sequence: u64,
}

/// One node's view of all members. Example: `Members::new(own, vec![seed], ProbeSettings::default(), 1)`.
#[derive(Debug)]
pub struct Members {
    own: MemberUpdate,
    seeds: Vec<Address>,
    settings: ProbeSettings,
    members: BTreeMap<NodeId, Member>,
    rotation: Vec<NodeId>,
    pending: Option<PendingProbe>,
    indirect_probes: BTreeMap<u64, IndirectProbe>,
    next_sequence: u64,
    probe_event: Ticker,
    rejoin_event: Ticker,
    last_tick: Micros,
    changes: Vec<MemberChange>,
    /// Rises with every change in what is known of any member, this node included.
    revision: u64,
    rng: Rng,
}

impl Members {
    /// A view that knows only itself and its seeds.
    /// Example: `Members::new(own, seeds, settings, 7).live().len() == 1`.
    pub fn new(own: MemberUpdate, seeds: Vec<Address>, settings: ProbeSettings, random_seed: u64) -> Members {
        let own_address = own.address;
        Members {
            seeds: seeds.into_iter().filter(|seed| *seed != own_address).collect(),
            probe_event: Ticker::every(settings.interval),
            rejoin_event: Ticker::every(Micros(settings.interval.0 * 2)),
            own,
            settings,
            members: BTreeMap::new(),
            rotation: Vec::new(),
            pending: None,
            indirect_probes: BTreeMap::new(),
            next_sequence: 0,
            last_tick: Micros(0),
            changes: Vec::new(),
            revision: 1,
            rng: Rng::with_seed(random_seed),
        }
    }

    /// This node's own entry. Example: `members.own().node`.
    pub fn own(&self) -> &MemberUpdate {
        &self.own
    }

    /// Changes this node's own entry; peers accept it because its incarnation rises.
    /// Example: `members.update_own(|own| own.draining = 1)`.
    pub fn update_own(&mut self, change: impl FnOnce(&mut MemberUpdate)) {
        let previous_own = self.own.clone();
        change(&mut self.own);
        if self.own != previous_own {
            self.own.incarnation += 1;
            self.revision += 1;
        }
    }

    /// A number that rises with every change in what is known of any member: data derived from the members is
    /// valid until it changes. Example: `if members.revision() != seen { derive_anew() }`.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All members believed to be alive, this node included, sorted by id.
    /// Example: `members.live().len()` is the paper's N.
    pub fn live(&self) -> Vec<&MemberUpdate> {
        let mut live_members: Vec<&MemberUpdate> = self.peers().collect();
        live_members.push(&self.own);
        live_members.sort_by_key(|update| update.node);
        live_members
    }

    /// The peers believed to be alive. Example: `members.peers().count()`.
    pub fn peers(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members.values().map(|member| &member.update).filter(|update| update.state != GONE)
    }

    /// A live member's entry. Example: `members.find(node).map(|update| update.address)`.
    pub fn find(&self, node: NodeId) -> Option<&MemberUpdate> {
        if node == self.own.node {
            return Some(&self.own);
        }
        self.members.get(&node).map(|member| &member.update).filter(|update| update.state != GONE)
    }

    /// Every remembered entry, those of removed members included. Example: `members.remembered().count()`.
    pub fn remembered(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members.values().map(|member| &member.update)
    }

    /// The number of seeds that are live members, for the bootstrap guard.
    /// Example: `members.seeds_reached() == 3`.
    pub fn seeds_reached(&self) -> usize {
        self.seeds.iter().filter(|seed| self.peers().any(|update| update.address == **seed)).count()
    }

    /// The number of seeds other than this node. Example: `members.seed_count() <= 3`.
    pub fn seed_count(&self) -> usize {
        self.seeds.len()
    }

    /// Sets the seeds after a reload. Example: `members.set_seeds(seeds)`.
    pub fn set_seeds(&mut self, seeds: Vec<Address>) {
        self.seeds = seeds.into_iter().filter(|seed| *seed != self.own.address).collect();
    }

    /// The changes since the last call. Example: `for change in members.take_changes() { .. }`.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// Sends the probes that are due, and removes members whose suspicion time has passed.
    /// Example: `members.tick(now)`.
    pub fn tick(&mut self, now: Micros) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let was_suspended = now > self.last_tick + self.settings.suspicion;
        self.last_tick = now;
        if was_suspended {
            // This process was suspended itself, so missing responses do not mean that others failed.
            self.pending = None;
            for member in self.members.values_mut().filter(|member| member.update.state == SUSPECTED) {
                member.state_since = now;
            }
        }
        self.check_pending(now, &mut outgoing);
        self.check_suspicions(now);
        if self.probe_event.due(now) {
            self.probe_next(now, &mut outgoing);
        }
        if self.rejoin_event.due(now) {
            self.probe_unreachable(&mut outgoing);
        }
        outgoing
    }

    /// Handles a peer's probe, response, list or request for an indirect probe.
    /// Example: `members.handle_message(from, address, message, now)`.
    pub fn handle_message(
        &mut self,
        from: NodeId,
        from_address: Address,
        message: Message,
        now: Micros,
    ) -> Vec<Outgoing> {
        if from == self.own.node {
            return Vec::new();
        }
        self.displace(from, from_address, now);
        match message {
            Message::Probe { sequence, target, members } => {
                self.merge(members, now);
                // A probe addressed to a previous incarnation gets a response too, which shows the sender
                // which process listens at this address now.
                let _ = target;
                let response = Message::ProbeResponse { sequence, members: self.updates_for(Some(from)) };
                let mut responses = vec![(from_address, response)];
                if self.is_large() {
                    responses.push((from_address, Message::MembersDigest { digest: self.digest() }));
                }
                responses
            }
            Message::MembersDigest { digest } if digest != self.digest() => {
                vec![(from_address, Message::MembersResponse { is_requested: 1, members: self.full_list() })]
            }
            Message::MembersResponse { is_requested, members } => {
                for update in members.0.into_iter().take(MEMBER_LIMIT) {
                    self.merge_one(update, now);
                }
                match is_requested {
                    1 => {
                        let members = self.full_list();
                        vec![(from_address, Message::MembersResponse { is_requested: 0, members })]
                    }
                    _ => Vec::new(),
                }
            }
            Message::ProbeResponse { sequence, members } => {
                self.merge(members, now);
                if self.pending.as_ref().is_some_and(|pending| pending.sequence == sequence) {
                    self.pending = None;
                }
                let Some(indirect_probe) = self.indirect_probes.remove(&sequence) else { return Vec::new() };
                let relayed = Message::ProbeResponse {
                    sequence: indirect_probe.sequence,
                    members: self.updates_for(None),
                };
                vec![(indirect_probe.requester, relayed)]
            }
            Message::ProbeFor { sequence, target, target_address } => {
                let own_sequence = self.sequence();
                self.indirect_probes
                    .insert(own_sequence, IndirectProbe { requester: from_address, sequence });
                while self.indirect_probes.len() > UPDATES_PER_MESSAGE {
                    self.indirect_probes.pop_first();
                }
                vec![(
                    target_address,
                    Message::Probe {
                        sequence: own_sequence,
                        target,
                        members: self.updates_for(Some(target)),
                    },
                )]
            }
            _ => Vec::new(),
        }
    }

    fn sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }

    /// Removes the member known at this address if another process now sends from it.
    fn displace(&mut self, from: NodeId, from_address: Address, now: Micros) {
        for (node, member) in &mut self.members {
            if *node != from && member.update.address == from_address && member.update.state != GONE {
                member.update.state = GONE;
                member.state_since = now;
                member.transmissions_left = UPDATE_TRANSMISSIONS;
                self.revision += 1;
                self.changes.push(MemberChange::Gone(*node));
            }
        }
    }

    fn is_large(&self) -> bool {
        self.members.len() > SMALL_FLEET
    }

    /// A digest that is equal on nodes that know the same live members at the same incarnations.
    fn digest(&self) -> u64 {
        self.peers().chain([&self.own]).fold(0, |sum, update| {
            sum ^ stable_hash(&[update.node.to_le_bytes(), update.incarnation.to_le_bytes()].concat())
        })
    }

    /// All live members and the most recently removed ones, for a peer whose digest differs.
    fn full_list(&self) -> List<MemberUpdate> {
        let mut gone_members: Vec<&Member> =
            self.members.values().filter(|member| member.update.state == GONE).collect();
        gone_members.sort_by_key(|member| std::cmp::Reverse(member.state_since));
        let gone_updates = gone_members.into_iter().take(GONE_PER_MESSAGE).map(|member| &member.update);
        std::iter::once(&self.own).chain(self.peers()).chain(gone_updates).cloned().collect()
    }

    /// The updates sent with every probe: this node first, then the peers, in a small fleet all of them, in a
    /// large one those that changed recently. A suspected recipient is always sent its own entry, so that it
    /// can refute the suspicion.
    fn updates_for(&mut self, recipient: Option<NodeId>) -> List<MemberUpdate> {
        if self.is_large() {
            return self.changes_for(recipient);
        }
        let mut sent_updates: Vec<MemberUpdate> =
            self.members.values().map(|member| member.update.clone()).collect();
        sent_updates.insert(0, self.own.clone());
        List(sent_updates)
    }

    fn changes_for(&mut self, recipient: Option<NodeId>) -> List<MemberUpdate> {
        let mut sent_updates = vec![self.own.clone()];
        let suspected = recipient.and_then(|node| self.members.get(&node));
        sent_updates.extend(
            suspected.filter(|member| member.update.state != ALIVE).map(|member| member.update.clone()),
        );
        let mut changed: Vec<&mut Member> =
            self.members.values_mut().filter(|member| member.transmissions_left > 0).collect();
        changed.sort_by_key(|member| std::cmp::Reverse(member.transmissions_left));
        for member in changed.into_iter().take(CHANGES_PER_MESSAGE) {
            member.transmissions_left -= 1;
            sent_updates.push(member.update.clone());
        }
        List(sent_updates)
    }

    fn merge(&mut self, received_members: List<MemberUpdate>, now: Micros) {
        for update in received_members.0.into_iter().take(UPDATES_PER_MESSAGE) {
            self.merge_one(update, now);
        }
    }

    fn merge_one(&mut self, update: MemberUpdate, now: Micros) {
        if update.node == self.own.node {
            if update.state != ALIVE && update.incarnation >= self.own.incarnation {
                self.own.incarnation = update.incarnation + 1;
                self.revision += 1;
            }
            return;
        }
        let Some(member) = self.members.get_mut(&update.node) else {
            if update.state == GONE || !self.make_room() {
                return;
            }
            self.revision += 1;
            self.changes.push(MemberChange::Joined(update.node));
            self.rotation.push(update.node);
            self.members.insert(
                update.node,
                Member { update, state_since: now, transmissions_left: UPDATE_TRANSMISSIONS },
            );
            return;
        };
        let is_newer = (update.incarnation, update.state) > (member.update.incarnation, member.update.state);
        if !is_newer {
            return;
        }
        if update.state == GONE && member.update.state != GONE {
            self.changes.push(MemberChange::Gone(update.node));
        }
        if update.state != GONE && member.update.state == GONE {
            self.changes.push(MemberChange::Joined(update.node));
        }
        if update.state != member.update.state {
            member.state_since = now;
        }
        member.update = update;
        member.transmissions_left = UPDATE_TRANSMISSIONS;
        self.revision += 1;
    }

    /// Whether there is room for one more member; drops the member removed longest ago if necessary.
    fn make_room(&mut self) -> bool {
        if self.members.len() < MEMBER_LIMIT {
            return true;
        }
        let gone = self.members.iter().filter(|(_, member)| member.update.state == GONE);
        let longest_gone = gone.min_by_key(|(_, member)| member.state_since).map(|(node, _)| *node);
        longest_gone.is_some_and(|node| self.members.remove(&node).is_some())
    }

    fn check_pending(&mut self, now: Micros, outgoing: &mut Vec<Outgoing>) {
        let Some(pending) = &mut self.pending else { return };
        let Some(target) = self.members.get_mut(&pending.target) else {
            self.pending = None;
            return;
        };
        if !pending.is_indirect && now >= pending.sent_at + self.settings.probe_timeout {
            pending.is_indirect = true;
            let (sequence, suspect_node, suspect_address) =
                (pending.sequence, pending.target, target.update.address);
            let mut helpers: Vec<Address> = self
                .members
                .values()
                .filter(|member| member.update.state == ALIVE && member.update.node != suspect_node)
                .map(|member| member.update.address)
                .collect();
            self.rng.shuffle(&mut helpers);
            outgoing.extend(helpers.into_iter().take(3).map(|helper| {
                let request =
                    Message::ProbeFor { sequence, target: suspect_node, target_address: suspect_address };
                (helper, request)
            }));
            return;
        }
        if now >= pending.sent_at + Micros(self.settings.probe_timeout.0 * 2) {
            if target.update.state == ALIVE {
                target.update.state = SUSPECTED;
                target.state_since = now;
                target.transmissions_left = UPDATE_TRANSMISSIONS;
                self.revision += 1;
            }
            self.pending = None;
        }
    }

    fn check_suspicions(&mut self, now: Micros) {
        for (node, member) in &mut self.members {
            if member.update.state == SUSPECTED && now >= member.state_since + self.settings.suspicion {
                member.update.state = GONE;
                member.state_since = now;
                member.transmissions_left = UPDATE_TRANSMISSIONS;
                self.revision += 1;
                self.changes.push(MemberChange::Gone(*node));
            }
        }
        let gone_retention = self.settings.gone_retention;
        self.members
            .retain(|_, member| member.update.state != GONE || now < member.state_since + gone_retention);
    }

    fn probe_next(&mut self, now: Micros, outgoing: &mut Vec<Outgoing>) {
        if self.pending.is_some() {
            return;
        }
        if self.rotation.is_empty() {
            self.rotation = self.peers().map(|update| update.node).collect();
            self.rng.shuffle(&mut self.rotation);
        }
        while let Some(target) = self.rotation.pop() {
            let Some(target_address) = self.find(target).map(|update| update.address) else { continue };
            let sequence = self.sequence();
            self.pending = Some(PendingProbe { target, sequence, sent_at: now, is_indirect: false });
            outgoing.push((
                target_address,
                Message::Probe { sequence, target, members: self.updates_for(Some(target)) },
            ));
            return;
        }
    }

    /// Probes an address without a live member, that of a seed or of a removed member; all of them if no peer
    /// is alive.
    fn probe_unreachable(&mut self, outgoing: &mut Vec<Outgoing>) {
        let live_addresses: Vec<Address> = self.peers().map(|update| update.address).collect();
        let mut unreachable_addresses: Vec<Address> = self
            .seeds
            .iter()
            .copied()
            .chain(self.members.values().map(|member| member.update.address))
            .filter(|address| !live_addresses.contains(address))
            .collect();
        unreachable_addresses.sort();
        unreachable_addresses.dedup();
        let probed_addresses = match live_addresses.is_empty() {
            true => unreachable_addresses,
            false => self.rng.choice(unreachable_addresses).into_iter().collect(),
        };
        for unreachable_address in probed_addresses {
            let sequence = self.sequence();
            outgoing.push((
                unreachable_address,
                Message::Probe { sequence, target: 0, members: self.updates_for(None) },
            ));
        }
    }
}

#[cfg(test)]
mod tests;
