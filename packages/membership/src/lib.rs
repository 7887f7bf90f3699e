//! How nodes know each other: probes to colleagues in rotation, second opinions through third
//! parties, suspicion that the suspected may refute, then removal. Removed members and seeds go on
//! being probed now and then, so a healed cut joins itself again.

use fastrand::Rng;
use monotonic_clock::{ClockEvent, Micros};
use peer_messages::{Address, List, MemberNews, Message, NodeId, stable_hash};
use std::collections::BTreeMap;

/// A member that answers or has not yet been doubted.
pub const ALIVE: u8 = 0;
/// A member that did not answer; it counts as alive until the suspicion runs out.
pub const SUSPECTED: u8 = 1;
/// A removed member.
pub const GONE: u8 = 2;

/// Remembered members, the gone ones too; when it is full the one gone longest makes room.
const MEMBER_LIMIT: usize = 1_024;
const TOLD_LIMIT: usize = 64;
/// In a fleet of more colleagues than this a probe tells only what changed lately.
const SMALL_FLEET: usize = 16;
/// How many changes a probe tells in a large fleet, and how often each is told.
const CHANGES_TOLD: usize = 16;
const TELLS: u32 = 16;
/// Of the gone, a whole list tells so many.
const GONE_TOLD: usize = 64;

/// How often and how patiently colleagues are probed.
/// Example: `ProbeSettings::default().interval == Micros::from_millis(400)`.
#[derive(Clone, Debug)]
pub struct ProbeSettings {
    /// Between two probes of this node.
    pub interval: Micros,
    /// Until third parties are asked.
    pub answer_within: Micros,
    /// From suspicion to removal.
    pub suspicion: Micros,
    /// How long a removed member is still remembered and probed.
    pub remember_gone: Micros,
}

impl Default for ProbeSettings {
    fn default() -> ProbeSettings {
        ProbeSettings {
            interval: Micros::from_millis(400),
            answer_within: Micros::from_millis(250),
            suspicion: Micros::from_millis(1_500),
            remember_gone: Micros::from_secs(600),
        }
    }
}

/// A message and where to send it. Example: `for (address, message) in members.tick(now) { .. }`.
pub type Outgoing = (Address, Message);

/// What became of a member. Example: `MemberChange::Gone(node)`.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberChange {
    /// A node not known before, or one that came back.
    Joined(NodeId),
    /// A node was removed.
    Gone(NodeId),
}

#[derive(Clone, Debug)]
struct Member {
    news: MemberNews,
    state_since: Micros,
    /// How often this is still told as a change.
    tells_left: u32,
}

#[derive(Debug)]
struct PendingProbe {
    target: NodeId,
    sequence: u64,
    sent_at: Micros,
    asked_others: bool,
}

#[derive(Debug)]
struct Relay {
    requester: Address,
    sequence: u64,
}

/// One node's view of all members. Example: `Members::new(own, vec![seed], ProbeSettings::default(), 1)`.
#[derive(Debug)]
pub struct Members {
    own: MemberNews,
    seeds: Vec<Address>,
    settings: ProbeSettings,
    members: BTreeMap<NodeId, Member>,
    rotation: Vec<NodeId>,
    pending: Option<PendingProbe>,
    relays: BTreeMap<u64, Relay>,
    next_sequence: u64,
    probe_event: ClockEvent,
    heal_event: ClockEvent,
    last_tick: Micros,
    changes: Vec<MemberChange>,
    /// Rises with every change of what is known of any member, this node included.
    revision: u64,
    dice: Rng,
}

impl Members {
    /// A view that knows only itself and its seeds.
    /// Example: `Members::new(own, seeds, settings, 7).live().len() == 1`.
    pub fn new(own: MemberNews, seeds: Vec<Address>, settings: ProbeSettings, luck_seed: u64) -> Members {
        let own_address = own.address;
        Members {
            seeds: seeds.into_iter().filter(|seed| *seed != own_address).collect(),
            probe_event: ClockEvent::each(settings.interval),
            heal_event: ClockEvent::each(Micros(settings.interval.0 * 2)),
            own,
            settings,
            members: BTreeMap::new(),
            rotation: Vec::new(),
            pending: None,
            relays: BTreeMap::new(),
            next_sequence: 0,
            last_tick: Micros(0),
            changes: Vec::new(),
            revision: 1,
            dice: Rng::with_seed(luck_seed),
        }
    }

    /// This node's own entry. Example: `members.own().node`.
    pub fn own(&self) -> &MemberNews {
        &self.own
    }

    /// Changes what this node says of itself; colleagues take it for its higher incarnation.
    /// Example: `members.update_own(|own| own.draining = 1)`.
    pub fn update_own(&mut self, change: impl FnOnce(&mut MemberNews)) {
        let previous_own = self.own.clone();
        change(&mut self.own);
        if self.own != previous_own {
            self.own.incarnation += 1;
            self.revision += 1;
        }
    }

    /// A number that rises with every change of what is known of any member: what was derived from the
    /// members stands as long as it does. Example: `if members.revision() != seen { derive_anew() }`.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All members believed alive, this node included, by rising id.
    /// Example: `members.live().len()` is the paper's N.
    pub fn live(&self) -> Vec<&MemberNews> {
        let mut live_members: Vec<&MemberNews> = self.colleagues().collect();
        live_members.push(&self.own);
        live_members.sort_by_key(|news| news.node);
        live_members
    }

    /// The colleagues believed alive. Example: `members.colleagues().count()`.
    pub fn colleagues(&self) -> impl Iterator<Item = &MemberNews> {
        self.members.values().map(|member| &member.news).filter(|news| news.state != GONE)
    }

    /// A live member's entry. Example: `members.find(node).map(|news| news.address)`.
    pub fn find(&self, node: NodeId) -> Option<&MemberNews> {
        if node == self.own.node {
            return Some(&self.own);
        }
        self.members.get(&node).map(|member| &member.news).filter(|news| news.state != GONE)
    }

    /// Every remembered entry, the gone ones too. Example: `members.remembered().count()`.
    pub fn remembered(&self) -> impl Iterator<Item = &MemberNews> {
        self.members.values().map(|member| &member.news)
    }

    /// How many of the seeds are live members or this node, for the guard on founding.
    /// Example: `members.seeds_heard() == 3`.
    pub fn seeds_heard(&self) -> usize {
        self.seeds.iter().filter(|seed| self.colleagues().any(|news| news.address == **seed)).count()
    }

    /// The seeds other than this node. Example: `members.seed_count() <= 3`.
    pub fn seed_count(&self) -> usize {
        self.seeds.len()
    }

    /// Takes new seeds after a reload. Example: `members.take_seeds(seeds)`.
    pub fn take_seeds(&mut self, seeds: Vec<Address>) {
        self.seeds = seeds.into_iter().filter(|seed| *seed != self.own.address).collect();
    }

    /// The changes since the last call. Example: `for change in members.take_changes() { .. }`.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    /// Probes what is due and lets suspicions run out. Example: `members.tick(now)`.
    pub fn tick(&mut self, now: Micros) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let was_frozen = now > self.last_tick + self.settings.suspicion;
        self.last_tick = now;
        if was_frozen {
            // Whoever was frozen itself has no ground to doubt others.
            self.pending = None;
            for member in self.members.values_mut().filter(|member| member.news.state == SUSPECTED) {
                member.state_since = now;
            }
        }
        self.check_pending(now, &mut outgoing);
        self.check_suspicions(now);
        if self.probe_event.due(now) {
            self.probe_next(now, &mut outgoing);
        }
        if self.heal_event.due(now) {
            self.probe_lost(&mut outgoing);
        }
        outgoing
    }

    /// Takes a colleague's probe, answer or request for a second opinion.
    /// Example: `members.received(from, address, message, now)`.
    pub fn received(
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
                // A probe meant for the process that was here before is answered all the same: the
                // answer shows the asker who listens here now.
                let _ = target;
                let answer = Message::ProbeAnswer { sequence, members: self.told(Some(from)) };
                let mut answers = vec![(from_address, answer)];
                if self.is_large() {
                    answers.push((from_address, Message::MembersDigest { digest: self.digest() }));
                }
                answers
            }
            Message::MembersDigest { digest } if digest != self.digest() => {
                vec![(from_address, Message::MembersTold { is_asked: 1, members: self.whole_list() })]
            }
            Message::MembersTold { is_asked, members } => {
                for news in members.0.into_iter().take(MEMBER_LIMIT) {
                    self.merge_one(news, now);
                }
                match is_asked {
                    1 => {
                        let members = self.whole_list();
                        vec![(from_address, Message::MembersTold { is_asked: 0, members })]
                    }
                    _ => Vec::new(),
                }
            }
            Message::ProbeAnswer { sequence, members } => {
                self.merge(members, now);
                if self.pending.as_ref().is_some_and(|pending| pending.sequence == sequence) {
                    self.pending = None;
                }
                let Some(relay) = self.relays.remove(&sequence) else { return Vec::new() };
                let relayed = Message::ProbeAnswer { sequence: relay.sequence, members: self.told(None) };
                vec![(relay.requester, relayed)]
            }
            Message::ProbeFor { sequence, target, target_address } => {
                let own_sequence = self.sequence();
                self.relays.insert(own_sequence, Relay { requester: from_address, sequence });
                while self.relays.len() > TOLD_LIMIT {
                    self.relays.pop_first();
                }
                vec![(
                    target_address,
                    Message::Probe { sequence: own_sequence, target, members: self.told(Some(target)) },
                )]
            }
            _ => Vec::new(),
        }
    }

    fn sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }

    /// Another process speaks from this address: the one known there before is gone.
    fn displace(&mut self, from: NodeId, from_address: Address, now: Micros) {
        for (node, member) in &mut self.members {
            if *node != from && member.news.address == from_address && member.news.state != GONE {
                member.news.state = GONE;
                member.state_since = now;
                member.tells_left = TELLS;
                self.revision += 1;
                self.changes.push(MemberChange::Gone(*node));
            }
        }
    }

    fn is_large(&self) -> bool {
        self.members.len() > SMALL_FLEET
    }

    /// What two nodes agree on when they know the same live members at the same incarnations.
    fn digest(&self) -> u64 {
        self.colleagues().chain([&self.own]).fold(0, |sum, news| {
            sum ^ stable_hash(&[news.node.to_le_bytes(), news.incarnation.to_le_bytes()].concat())
        })
    }

    /// Everybody, for a colleague whose digest differs; of the gone those that went last.
    fn whole_list(&self) -> List<MemberNews> {
        let mut gone: Vec<&Member> =
            self.members.values().filter(|member| member.news.state == GONE).collect();
        gone.sort_by_key(|member| std::cmp::Reverse(member.state_since));
        let gone_news = gone.into_iter().take(GONE_TOLD).map(|member| &member.news);
        std::iter::once(&self.own).chain(self.colleagues()).chain(gone_news).cloned().collect()
    }

    /// What is told with every probe: this node first, then colleagues, in a small fleet all of them,
    /// in a large one those that changed lately. A node that is doubted is always told so.
    fn told(&mut self, hearer: Option<NodeId>) -> List<MemberNews> {
        if self.is_large() {
            return self.told_changes(hearer);
        }
        let mut told_news: Vec<MemberNews> =
            self.members.values().map(|member| member.news.clone()).collect();
        told_news.insert(0, self.own.clone());
        List(told_news)
    }

    fn told_changes(&mut self, hearer: Option<NodeId>) -> List<MemberNews> {
        let mut told_news = vec![self.own.clone()];
        let doubted = hearer.and_then(|node| self.members.get(&node));
        told_news
            .extend(doubted.filter(|member| member.news.state != ALIVE).map(|member| member.news.clone()));
        let mut changed: Vec<&mut Member> =
            self.members.values_mut().filter(|member| member.tells_left > 0).collect();
        changed.sort_by_key(|member| std::cmp::Reverse(member.tells_left));
        for member in changed.into_iter().take(CHANGES_TOLD) {
            member.tells_left -= 1;
            told_news.push(member.news.clone());
        }
        List(told_news)
    }

    fn merge(&mut self, told_members: List<MemberNews>, now: Micros) {
        for news in told_members.0.into_iter().take(TOLD_LIMIT) {
            self.merge_one(news, now);
        }
    }

    fn merge_one(&mut self, news: MemberNews, now: Micros) {
        if news.node == self.own.node {
            if news.state != ALIVE && news.incarnation >= self.own.incarnation {
                self.own.incarnation = news.incarnation + 1;
                self.revision += 1;
            }
            return;
        }
        let Some(member) = self.members.get_mut(&news.node) else {
            if news.state == GONE || !self.has_place() {
                return;
            }
            self.revision += 1;
            self.changes.push(MemberChange::Joined(news.node));
            self.rotation.push(news.node);
            self.members.insert(news.node, Member { news, state_since: now, tells_left: TELLS });
            return;
        };
        let is_newer = (news.incarnation, news.state) > (member.news.incarnation, member.news.state);
        if !is_newer {
            return;
        }
        if news.state == GONE && member.news.state != GONE {
            self.changes.push(MemberChange::Gone(news.node));
        }
        if news.state != GONE && member.news.state == GONE {
            self.changes.push(MemberChange::Joined(news.node));
        }
        if news.state != member.news.state {
            member.state_since = now;
        }
        member.news = news;
        member.tells_left = TELLS;
        self.revision += 1;
    }

    /// Whether one member more is remembered: the one that is gone longest makes room.
    fn has_place(&mut self) -> bool {
        if self.members.len() < MEMBER_LIMIT {
            return true;
        }
        let gone = self.members.iter().filter(|(_, member)| member.news.state == GONE);
        let longest_gone = gone.min_by_key(|(_, member)| member.state_since).map(|(node, _)| *node);
        longest_gone.is_some_and(|node| self.members.remove(&node).is_some())
    }

    fn check_pending(&mut self, now: Micros, outgoing: &mut Vec<Outgoing>) {
        let Some(pending) = &mut self.pending else { return };
        let Some(target) = self.members.get_mut(&pending.target) else {
            self.pending = None;
            return;
        };
        if !pending.asked_others && now >= pending.sent_at + self.settings.answer_within {
            pending.asked_others = true;
            let (sequence, suspect_node, suspect_address) =
                (pending.sequence, pending.target, target.news.address);
            let mut helpers: Vec<Address> = self
                .members
                .values()
                .filter(|member| member.news.state == ALIVE && member.news.node != suspect_node)
                .map(|member| member.news.address)
                .collect();
            self.dice.shuffle(&mut helpers);
            outgoing.extend(helpers.into_iter().take(3).map(|helper| {
                let ask =
                    Message::ProbeFor { sequence, target: suspect_node, target_address: suspect_address };
                (helper, ask)
            }));
            return;
        }
        if now >= pending.sent_at + Micros(self.settings.answer_within.0 * 2) {
            if target.news.state == ALIVE {
                target.news.state = SUSPECTED;
                target.state_since = now;
                target.tells_left = TELLS;
                self.revision += 1;
            }
            self.pending = None;
        }
    }

    fn check_suspicions(&mut self, now: Micros) {
        for (node, member) in &mut self.members {
            if member.news.state == SUSPECTED && now >= member.state_since + self.settings.suspicion {
                member.news.state = GONE;
                member.state_since = now;
                member.tells_left = TELLS;
                self.revision += 1;
                self.changes.push(MemberChange::Gone(*node));
            }
        }
        let remember_gone = self.settings.remember_gone;
        self.members
            .retain(|_, member| member.news.state != GONE || now < member.state_since + remember_gone);
    }

    fn probe_next(&mut self, now: Micros, outgoing: &mut Vec<Outgoing>) {
        if self.pending.is_some() {
            return;
        }
        if self.rotation.is_empty() {
            self.rotation = self.colleagues().map(|news| news.node).collect();
            self.dice.shuffle(&mut self.rotation);
        }
        while let Some(target) = self.rotation.pop() {
            let Some(target_address) = self.find(target).map(|news| news.address) else { continue };
            let sequence = self.sequence();
            self.pending = Some(PendingProbe { target, sequence, sent_at: now, asked_others: false });
            outgoing.push((
                target_address,
                Message::Probe { sequence, target, members: self.told(Some(target)) },
            ));
            return;
        }
    }

    /// One probe to a seed that is no live member or to a removed member.
    fn probe_lost(&mut self, outgoing: &mut Vec<Outgoing>) {
        let live_addresses: Vec<Address> = self.colleagues().map(|news| news.address).collect();
        let mut lost_addresses: Vec<Address> = self
            .seeds
            .iter()
            .copied()
            .chain(self.members.values().map(|member| member.news.address))
            .filter(|address| !live_addresses.contains(address))
            .collect();
        lost_addresses.sort();
        lost_addresses.dedup();
        let probed_addresses = match live_addresses.is_empty() {
            true => lost_addresses,
            false => self.dice.choice(lost_addresses).into_iter().collect(),
        };
        for lost_address in probed_addresses {
            let sequence = self.sequence();
            outgoing.push((lost_address, Message::Probe { sequence, target: 0, members: self.told(None) }));
        }
    }
}

#[cfg(test)]
mod tests;
