//! Disks and registers: founding, promising and storing, owning keys, replacing a lost disk, and the
//! writes and polls this node sends to the owners of keys.

use crate::node::Node;
use crate::vote_swaps::DiskSightings;
use crate::{Act, ConfigurationAnswer};
use clock_events::{ClockEvent, Micros};
use colleague_messages::{
    Address, Bytes, LeaderRecord, List, MemberNews, Message, NewsItem, NodeId, PolledRecord, RenewedRecord,
    Text, WriteEntry, WriteOutcome, stable_hash, value_digest,
};
use control_registers::{
    AS_KNOWN, CONFIGURATION_KEY, ChosenSet, DIFFERS, DISKS_KEY, DiskRegisters, KeyOwner, OwnerAct, SetCopy,
    UNKNOWN, VoterSet, WRITTEN, keys_mark, steward_key,
};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// A blank disk that never voted.
pub(crate) const DISK_BLANK: u8 = 1;
/// A disk of the newest known voter set.
pub(crate) const DISK_VOTING: u8 = 2;
/// A disk that voted once and is no longer in the set.
pub(crate) const DISK_SPARE: u8 = 3;
/// A disk that fails now, whatever it was before.
pub(crate) const DISK_FAILED: u8 = 4;

/// After this an owner that does not answer is passed over for a while.
const OWNER_PATIENCE: Micros = Micros::from_millis(600);
/// An operator that reads asks elsewhere after about a second.
const ASKED_PATIENCE: Micros = Micros::from_millis(900);
const OWNER_DOUBT: Micros = Micros::from_secs(2);
/// So many keys are copied at a time while the voter set changes.
const COPY_WINDOW: usize = 256;
const REWRITE_SLACK: usize = 4 * 1024 * 1024;
/// A disk that failed is tried again, whole, each time after this.
const REPAIR_PAUSE: Micros = Micros::from_secs(1);

/// A confirmed read's outcome: a large value stands that the asker lacks, and the answering node has it
/// as news. It takes the place of the value for machines without a disk, whose links may be small.
const AS_NEWS: u8 = 5;
/// Values up to this size are sent with every answer.
const SMALL_VALUE: usize = 16 * 1024;

/// An operator gives a node up after about a second; with a quarter of it spent on the wire enough is
/// left for everything else.
const WIRE_SECONDS: f64 = 0.25;

/// What a write or confirmed read in flight is for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum WritePurpose {
    Leader {
        function: String,
        record: LeaderRecord,
    },
    Configuration,
    ConfigurationRead,
    ConfigurationCheck,
    ConfigurationAsked {
        request: u64,
    },
    DisksRead,
    DisksChange,
    /// The copying under the joint set of this generation.
    DisksCopy {
        key: String,
        generation: u64,
    },
}

#[derive(Debug)]
struct WriteFlight {
    owner: NodeId,
    purpose: WritePurpose,
    sent_at: Micros,
    /// Of the value that a reader had when it asked; zero for none and for writes.
    known_digest: u64,
}

#[derive(Debug)]
struct Disk {
    id: u64,
    registers: DiskRegisters,
    /// It failed, or was not rewritten since the start: it answers nothing before a rewrite succeeded.
    is_broken: bool,
    /// The decision stream was told that it failed.
    is_failure_told: bool,
    next_token: u64,
    synced_token: u64,
    answers: BTreeMap<u64, Vec<(NodeId, Message)>>,
    appended_bytes: usize,
    /// The rewrite that would make a broken disk sound again, and when the next is tried.
    repair_token: Option<u64>,
    repair_due: Micros,
}

/// The leader records that one owner is polled for, and how far its changes were heard.
#[derive(Debug)]
struct PollGroup {
    owner: NodeId,
    mark: u64,
    functions: Vec<String>,
    change: u64,
}

/// Which owner is polled for what, kept while the owners and the configuration stand.
#[derive(Debug, Default)]
struct PollGroups {
    owners: Vec<NodeId>,
    generation: u64,
    groups: Vec<PollGroup>,
}

#[derive(Debug)]
pub(crate) struct ControlPart {
    disk: Option<Disk>,
    /// Why there is a data folder and no disk.
    disk_trouble: Option<String>,
    /// The disk was formatted in the place of a damaged one.
    replaces_damaged: bool,
    owner: KeyOwner,
    /// The newest chosen set that this node knows: the one it goes by.
    set: ChosenSet,
    flights: BTreeMap<u64, WriteFlight>,
    doubted: BTreeMap<NodeId, Micros>,
    polls: BTreeMap<NodeId, Micros>,
    poll_groups: PollGroups,
    sightings: DiskSightings,
    copy: Option<SetCopy>,
    found_event: ClockEvent,
    is_wait_told: bool,
    upkeep_event: ClockEvent,
    replace_event: ClockEvent,
}

impl ControlPart {
    pub(crate) fn new(own: NodeId, disk: Option<(u64, DiskRegisters)>) -> ControlPart {
        ControlPart {
            disk: disk.map(|(id, registers)| Disk {
                id,
                registers,
                is_broken: false,
                is_failure_told: false,
                next_token: 1,
                synced_token: 0,
                answers: BTreeMap::new(),
                appended_bytes: 0,
                repair_token: None,
                repair_due: Micros(0),
            }),
            disk_trouble: None,
            replaces_damaged: false,
            owner: KeyOwner::new(own),
            set: ChosenSet::default(),
            flights: BTreeMap::new(),
            doubted: BTreeMap::new(),
            polls: BTreeMap::new(),
            poll_groups: PollGroups::default(),
            sightings: DiskSightings::default(),
            copy: None,
            found_event: ClockEvent::each(Micros::from_millis(200)),
            is_wait_told: false,
            upkeep_event: ClockEvent::each(Micros::from_millis(500)),
            replace_event: ClockEvent::each(Micros::from_millis(100)),
        }
    }

    pub(crate) fn voters(&self) -> &VoterSet {
        &self.set
    }

    pub(crate) fn disk_trouble(&self) -> Option<&str> {
        self.disk_trouble.as_deref()
    }

    pub(crate) fn owned_count(&self) -> usize {
        self.owner.owned_count()
    }

    /// The version of a key that the own disk stored, whether or not a majority has it; zero without one.
    pub(crate) fn stored_version(&self, key: &str) -> u64 {
        let stored = self.disk.as_ref().and_then(|disk| disk.registers.stored(key));
        stored.map_or(0, |(_, version, _)| version)
    }

    fn sound_disk(&mut self) -> Option<&mut Disk> {
        self.disk.as_mut().filter(|disk| !disk.is_broken)
    }
}

impl Node {
    /// A new process goes by the chosen set that its disk knows, until it hears of a newer one.
    pub(crate) fn start_by_own_set(&mut self) {
        self.go_by_own_set();
        self.tell_disk_state();
    }

    fn go_by_own_set(&mut self) {
        let Some(disk) = &self.control.disk else { return };
        let own_set = disk.registers.chosen().clone();
        self.learn_chosen(&own_set);
    }

    /// News tell chosen sets only.
    pub(crate) fn set_told(&mut self) {
        if let Some(told_set) = self.news.body(DISKS_KEY).and_then(ChosenSet::told) {
            self.learn_chosen(&told_set);
        }
    }

    /// Goes by a chosen set that is newer than the known one, keeps it on the own disk, and tells it.
    fn learn_chosen(&mut self, chosen_set: &ChosenSet) {
        if chosen_set.generation > self.control.set.generation {
            self.adopt_set(chosen_set);
            self.news.publish(DISKS_KEY, self.settings.node, chosen_set.generation, chosen_set.encode());
        }
        self.keep_chosen();
        self.tell_disk_state();
    }

    /// A blank disk takes the first set in which it votes; one that took a set takes each that follows.
    fn keep_chosen(&mut self) {
        let set = self.control.set.clone();
        let Some(disk) = &mut self.control.disk else { return };
        if disk.registers.chosen().generation == 0 && !set.all().contains(&disk.id) {
            return;
        }
        // A broken disk gets the record with the whole of its registers, when it is repaired.
        let records = disk.registers.learn_chosen(&set);
        if !records.is_empty() {
            self.write_records(records, None);
        }
    }

    fn adopt_set(&mut self, next_set: &ChosenSet) {
        self.control.set = next_set.clone();
        self.control.copy = None;
        self.control.owner.take_set(next_set);
        self.journal.append(
            "voters",
            json!({
                "generation": next_set.generation,
                "disks": hex_list(&next_set.disks.0),
                "joining": hex_list(&next_set.joining.0),
            }),
            self.now,
        );
    }

    fn tell_disk_state(&mut self) {
        let Some(disk) = &self.control.disk else { return };
        let is_voting = self.control.set.all().contains(&disk.id);
        let state = match (disk.is_broken, is_voting, disk.registers.chosen().generation) {
            (true, ..) => DISK_FAILED,
            (false, true, 1..) => DISK_VOTING,
            // The damaged one may be the fleet's last copy: no state is founded beside it.
            (false, false, 0) if self.control.replaces_damaged => DISK_SPARE,
            (false, _, 0) => DISK_BLANK,
            (false, false, _) => DISK_SPARE,
        };
        let id = if disk.is_broken { 0 } else { disk.id };
        self.members.update_own(|own| {
            own.disk_state = state;
            own.disk = id;
        });
    }

    /// Live members whose disks vote now.
    fn voting_members(&self) -> Vec<MemberNews> {
        let voters = self.control.set.all();
        let live = self.members.live().into_iter();
        live.filter(|news| news.disk_state == DISK_VOTING && voters.contains(&news.disk)).cloned().collect()
    }

    fn node_of_disk(&self, disk: u64) -> Option<NodeId> {
        self.members.live().into_iter().find(|news| news.disk == disk).map(|news| news.node)
    }

    /// The nodes that own keys: live voters, those in doubt only where there are no others.
    fn owner_choices(&self) -> Vec<NodeId> {
        let voters = self.voting_members();
        let is_doubted = |news: &MemberNews| {
            news.draining == 1
                || news.state != 0
                || self.control.doubted.get(&news.node).is_some_and(|until| self.now < *until)
        };
        let sound_nodes: Vec<NodeId> =
            voters.iter().filter(|news| !is_doubted(news)).map(|news| news.node).collect();
        match sound_nodes.is_empty() {
            true => voters.iter().map(|news| news.node).collect(),
            false => sound_nodes,
        }
    }

    /// Asks every voter for a direct answer: what relays and other members tell of it proves no way there.
    pub(crate) fn probe_voters(&mut self) {
        let own = self.settings.node;
        let voters: Vec<NodeId> =
            self.voting_members().iter().map(|news| news.node).filter(|voter| *voter != own).collect();
        for voter in voters {
            self.send(voter, Message::Probe { sequence: 0, target: 0, members: List(Vec::new()) });
        }
    }

    /// Whether the given nodes, and this one, hold a majority of the voting disks.
    pub(crate) fn is_majority(&self, answering: &BTreeSet<NodeId>) -> bool {
        let own = self.settings.node;
        let voters = self.voting_members();
        let answering = voters.iter().filter(|news| news.node == own || answering.contains(&news.node));
        self.control.set.quorum(&answering.map(|news| news.disk).collect())
    }

    /// The node to ask about a key: the rendezvous choice among live voters, those in doubt last.
    pub(crate) fn key_owner(&self, key: &str) -> Option<NodeId> {
        Node::rendezvous_choice(key, self.owner_choices().into_iter())
    }

    /// Sends one conditional write or confirmed read to the key's owner.
    pub(crate) fn send_write(
        &mut self,
        key: &str,
        expected: u64,
        value: Bytes,
        purpose: WritePurpose,
    ) -> Option<u64> {
        let owner = self.key_owner(key)?;
        let ask = self.fresh_ask();
        let is_read = matches!(
            purpose,
            WritePurpose::ConfigurationRead
                | WritePurpose::ConfigurationCheck
                | WritePurpose::ConfigurationAsked { .. }
                | WritePurpose::DisksRead
                | WritePurpose::DisksCopy { .. }
        );
        let known_digest = if is_read { self.known_digest(key) } else { 0 };
        let message = match is_read {
            true => Message::ReadConfirmed { ask, key: key.into(), digest: known_digest },
            false => {
                let entry = WriteEntry { ask, key: key.into(), expected, value, hasty: 1 };
                Message::Write { entries: List(vec![entry]) }
            }
        };
        self.control.flights.insert(ask, WriteFlight { owner, purpose, sent_at: self.now, known_digest });
        self.send(owner, message);
        Some(ask)
    }

    /// The digest of the configuration's bytes as this node has them, zero for none. Of other keys the
    /// values are small, and none is told.
    fn known_digest(&self, key: &str) -> u64 {
        let body = self.news.body(key).filter(|_| key == CONFIGURATION_KEY);
        body.map_or(0, |body| value_digest(&body.0))
    }

    /// What a reader is answered: a large value that it lacks goes only to machines with a disk. The
    /// others are told that it stands, and fetch it as news, which may be no more than a few changes.
    fn outcome_for(&mut self, reader: NodeId, outcome: WriteOutcome) -> WriteOutcome {
        let is_large = outcome.outcome == WRITTEN && outcome.value.0.len() > SMALL_VALUE;
        let is_diskless =
            || self.members.find(reader).is_some_and(|news| news.disk == 0 && news.disk_state == 0);
        if !is_large || reader == self.settings.node || outcome.key.0 != CONFIGURATION_KEY || !is_diskless() {
            return outcome;
        }
        self.take_base(&outcome);
        if let Some((node, mark)) = self.news.tell(reader, CONFIGURATION_KEY) {
            self.send(node, mark);
        }
        WriteOutcome { outcome: AS_NEWS, value: Bytes::default(), ..outcome }
    }

    /// Sends the election's writes, one message for each owner.
    pub(crate) fn send_leader_writes(&mut self, writes: Vec<steward_election::RecordWrite>) {
        let mut groups: BTreeMap<NodeId, Vec<WriteEntry>> = BTreeMap::new();
        for write in writes {
            let key = steward_key(&write.function);
            let Some(owner) = self.key_owner(&key) else {
                self.stewards.election.unanswered(&write.function, self.now);
                continue;
            };
            let ask = self.fresh_ask();
            let purpose = WritePurpose::Leader { function: write.function, record: write.record.clone() };
            let flight = WriteFlight { owner, purpose, sent_at: self.now, known_digest: 0 };
            self.control.flights.insert(ask, flight);
            groups.entry(owner).or_default().push(WriteEntry {
                ask,
                key: key.into(),
                expected: write.expected,
                value: write.record.encode(),
                hasty: u8::from(write.hasty),
            });
        }
        for (owner, entries) in groups {
            self.send(owner, Message::Write { entries: List(entries) });
        }
    }

    /// Polls the leader records of all functions, one message for each owner: what changed since this
    /// node's last poll of that owner is answered.
    pub(crate) fn poll_records(&mut self) {
        self.group_polls();
        let polls: Vec<(NodeId, u64, u64)> = self
            .control
            .poll_groups
            .groups
            .iter()
            .map(|group| (group.owner, group.mark, group.change))
            .collect();
        for (owner, mark, since) in polls {
            self.control.polls.entry(owner).or_insert(self.now);
            self.send(owner, Message::RecordsPoll { mark, since, keys: List(Vec::new()) });
        }
    }

    /// Deals the functions out to their owners anew when the owners or the configuration changed.
    fn group_polls(&mut self) {
        let owners = self.owner_choices();
        let generation = self.configuration.generation();
        let standing = &self.control.poll_groups;
        if standing.owners == owners && standing.generation == generation {
            return;
        }
        let mut dealt: BTreeMap<NodeId, Vec<String>> = BTreeMap::new();
        for function in self.configuration.current().functions.keys() {
            if let Some(owner) = Node::rendezvous_choice(&steward_key(function), owners.iter().copied()) {
                dealt.entry(owner).or_default().push(function.clone());
            }
        }
        let mut groups = Vec::new();
        for (owner, functions) in dealt {
            let mark = keys_mark(&keys_of(&functions));
            let known = self.control.poll_groups.groups.iter();
            let known = known.into_iter().find(|group| group.owner == owner && group.mark == mark);
            let change = known.map_or(0, |group| group.change);
            groups.push(PollGroup { owner, mark, functions, change });
        }
        self.control.poll_groups = PollGroups { owners, generation, groups };
    }

    /// What an owner says changed; all else that it was asked for stands as it was.
    fn records_polled(
        &mut self,
        from: NodeId,
        (mark, change): (u64, u64),
        records: Vec<PolledRecord>,
        renewed: &[RenewedRecord],
    ) {
        let now = self.now;
        let election = &mut self.stewards.election;
        for record in records {
            if let Some(function) = record.key.0.strip_prefix("steward/") {
                let leader = LeaderRecord::decode(&record.value);
                election.observe(function, record.version, leader, now);
            }
        }
        let groups = &mut self.control.poll_groups.groups;
        let Some(group) = groups.iter_mut().find(|group| group.owner == from && group.mark == mark) else {
            return;
        };
        for renewal in renewed {
            if let Some(function) = group.functions.get(usize::from(renewal.place)) {
                election.renewed(function, renewal.version, now);
            }
        }
        election.confirmed(group.functions.iter().map(String::as_str), now);
        group.change = group.change.max(change);
    }

    pub(crate) fn take_control_message(&mut self, from: NodeId, message: Message) {
        let now = self.now;
        match message {
            Message::Promise { fleet_set, entries } => {
                let Some(disk) = self.control.sound_disk() else { return };
                let (answers, records) = disk.registers.promise(fleet_set, &entries);
                let disk_id = disk.id;
                let answer = Message::Promised { disk: disk_id, entries: List(answers) };
                self.write_then_answer(records, from, answer);
                self.tell_outdated_owner(from, fleet_set);
            }
            Message::Store { fleet_set, entries } => {
                let Some(disk) = self.control.sound_disk() else { return };
                let (answers, records) = disk.registers.store(fleet_set, &entries);
                let disk_id = disk.id;
                let answer = Message::Stored { disk: disk_id, entries: List(answers) };
                self.write_then_answer(records, from, answer);
                self.tell_outdated_owner(from, fleet_set);
            }
            Message::Promised { disk, entries, .. } => self.control.owner.promised(disk, entries, now),
            Message::Stored { disk, entries, .. } => self.control.owner.stored(disk, entries, now),
            Message::Found { set, disks } => self.found(from, set, &disks.0),
            Message::FoundAnswer { accepted: 0, disk, .. } => {
                self.journal.append("founding_refused", json!({"disk": format!("{disk:016x}")}), now);
            }
            Message::KeysAsk { fleet_set } => {
                let Some(disk) = self.control.sound_disk() else { return };
                let Some(keys) = disk.registers.list_keys(fleet_set) else { return };
                let keys = List(keys.into_iter().map(Text).collect());
                let answer = Message::KeysTold { fleet_set, disk: disk.id, keys };
                // What bars owners under the set before must be synced.
                self.write_then_answer(Vec::new(), from, answer);
            }
            Message::KeysTold { fleet_set, disk, keys } => {
                if let Some(copy) = &mut self.control.copy {
                    copy.listed(disk, fleet_set, keys.0.into_iter().map(|key| key.0));
                }
            }
            Message::RecordsPoll { mark, since, keys } => {
                if !self.owns_keys() {
                    return;
                }
                let answer = match self.control.owner.poll(mark, since, &keys.0, now) {
                    Some(answer) => Message::RecordsPolled {
                        mark,
                        known: 1,
                        change: answer.change,
                        records: List(answer.records),
                        renewed: List(answer.renewed),
                    },
                    None => Message::RecordsPolled {
                        mark,
                        known: 0,
                        change: 0,
                        records: List(Vec::new()),
                        renewed: List(Vec::new()),
                    },
                };
                self.send(from, answer);
            }
            Message::RecordsPolled { mark, known: 0, .. } => {
                self.control.polls.remove(&from);
                let mut groups = self.control.poll_groups.groups.iter();
                let group = groups.find(|group| group.owner == from && group.mark == mark);
                if let Some(group) = group {
                    let keys = List(keys_of(&group.functions));
                    self.send(from, Message::RecordsPoll { mark, since: 0, keys });
                }
            }
            Message::RecordsPolled { mark, change, records, renewed, .. } => {
                self.control.polls.remove(&from);
                self.records_polled(from, (mark, change), records.0, &renewed.0);
            }
            Message::Write { entries } => {
                if !self.owns_keys() {
                    return;
                }
                for entry in entries.0 {
                    self.control.owner.write(from, entry, now);
                }
            }
            Message::ReadConfirmed { ask, key, digest } if self.owns_keys() => {
                self.control.owner.confirm(from, ask, key, digest, now);
            }
            Message::WriteAnswer { outcomes } => {
                for outcome in outcomes.0 {
                    self.write_answered(from, outcome);
                }
            }
            _ => {}
        }
    }

    /// An owner under an older set than the one this node goes by hears of the newer one at once.
    fn tell_outdated_owner(&mut self, owner: NodeId, owner_set: u64) {
        if owner_set >> 32 < self.control.set.generation {
            self.tell_set(owner);
        }
    }

    fn tell_set(&mut self, node: NodeId) {
        let set = &self.control.set;
        let (origin, sequence) = (self.settings.node, set.generation);
        let item = NewsItem { topic: DISKS_KEY.into(), origin, sequence, body: set.encode() };
        self.send(node, Message::News { items: List(vec![item]) });
    }

    /// Only a node whose own disk votes and is sound owns keys. One that starts by an old set may own keys
    /// under it for a while: it gets no quorum for them, and hears of the newer set from who refuses it.
    fn owns_keys(&mut self) -> bool {
        let voters = self.control.set.all();
        self.control.sound_disk().is_some_and(|disk| voters.contains(&disk.id))
    }

    /// Answers only once the records, and all before them, are synced.
    fn write_then_answer(&mut self, records: Vec<Vec<u8>>, node: NodeId, answer: Message) {
        let Some(disk) = self.control.sound_disk() else { return };
        if records.is_empty() {
            let last_token = disk.next_token - 1;
            if disk.synced_token >= last_token {
                self.send(node, answer);
                return;
            }
            disk.answers.entry(last_token).or_default().push((node, answer));
            return;
        }
        self.write_records(records, Some((node, answer)));
    }

    fn write_records(&mut self, records: Vec<Vec<u8>>, answer: Option<(NodeId, Message)>) {
        let Some(disk) = self.control.sound_disk() else { return };
        let token = disk.next_token;
        disk.next_token += 1;
        disk.answers.entry(token).or_default().extend(answer);
        disk.appended_bytes += records.iter().map(|record| record.len() + 8).sum::<usize>();
        let live_length = disk.appended_bytes > REWRITE_SLACK;
        let (written, is_rewrite) = match live_length {
            true => {
                disk.appended_bytes = 0;
                (disk.registers.live_records(), true)
            }
            false => (records, false),
        };
        self.counts.disk_groups += 1;
        self.act(Act::WriteDisk { token, records: written, is_rewrite });
    }

    pub(crate) fn disk_done(&mut self, token: u64, is_synced: bool) {
        let now = self.now;
        let Some(disk) = &mut self.control.disk else { return };
        if disk.is_broken {
            self.disk_tried(token, is_synced);
            return;
        }
        if !is_synced {
            disk.is_broken = true;
            disk.repair_due = now + REPAIR_PAUSE;
            disk.answers.clear();
            self.control.owner.keep_only(|_| false);
            self.tell_disk_failure();
            self.tell_disk_state();
            return;
        }
        disk.synced_token = disk.synced_token.max(token);
        // A founding set is gone by, and told, once it is synced here.
        let is_founded =
            disk.registers.chosen().generation > 0 && self.members.own().disk_state == DISK_BLANK;
        let waiting_answers = disk.answers.split_off(&(disk.synced_token + 1));
        let ready_answers = std::mem::replace(&mut disk.answers, waiting_answers);
        for (node, answer) in ready_answers.into_values().flatten() {
            self.send(node, answer);
        }
        if is_founded {
            self.go_by_own_set();
        }
    }

    /// What became of a broken disk's repair. Records that were on their way when it failed do not
    /// count, whatever is told of them: the repair holds them.
    fn disk_tried(&mut self, token: u64, is_synced: bool) {
        let now = self.now;
        let Some(disk) = self.control.disk.as_mut().filter(|disk| disk.repair_token == Some(token)) else {
            return;
        };
        disk.repair_token = None;
        disk.repair_due = now + REPAIR_PAUSE;
        if !is_synced {
            self.tell_disk_failure();
            return;
        }
        disk.is_broken = false;
        disk.synced_token = token;
        disk.appended_bytes = 0;
        if std::mem::take(&mut disk.is_failure_told) {
            self.journal.append("disk_sound_again", json!({}), now);
        }
        self.tell_disk_state();
    }

    fn tell_disk_failure(&mut self) {
        let Some(disk) = &mut self.control.disk else { return };
        if !std::mem::replace(&mut disk.is_failure_told, true) {
            self.journal.append("disk_failed", json!({}), self.now);
        }
    }

    /// What a process before this one wrote may not be synced, nor is it known by any answer: the disk
    /// says nothing until all of it stands in a new file.
    pub(crate) fn disk_unsynced(&mut self) {
        let now = self.now;
        let Some(disk) = &mut self.control.disk else { return };
        disk.is_broken = true;
        disk.repair_due = now;
        self.tell_disk_state();
        self.try_repair();
    }

    /// A disk that failed, because it was full perhaps, is tried with the whole of its registers as a
    /// new file. No answer was given for what it did not sync, so it is as good as before.
    fn try_repair(&mut self) {
        let now = self.now;
        let Some(disk) = &mut self.control.disk else { return };
        if !disk.is_broken || disk.repair_token.is_some() || now < disk.repair_due {
            return;
        }
        let token = disk.next_token;
        disk.next_token += 1;
        disk.repair_token = Some(token);
        let records = disk.registers.live_records();
        self.counts.disk_groups += 1;
        self.act(Act::WriteDisk { token, records, is_rewrite: true });
    }

    /// The node goes on as one without a disk. Its state keeps others from founding anew, and lets a spare
    /// disk take its vote.
    pub(crate) fn disk_unusable(&mut self, reason: String) {
        self.journal.append("disk_unusable", json!({"reason": reason}), self.now);
        self.control.disk = None;
        self.control.disk_trouble = Some(reason);
        self.members.update_own(|own| {
            own.disk_state = DISK_FAILED;
            own.disk = 0;
        });
    }

    /// A disk that was formatted after damage may be taken in by a majority, and founds nothing.
    pub(crate) fn disk_set_aside(&mut self) {
        self.control.replaces_damaged = true;
        self.settings.may_found = false;
        self.tell_disk_state();
    }

    fn write_answered(&mut self, from: NodeId, outcome: WriteOutcome) {
        self.control.doubted.remove(&from);
        let Some(flight) = self.control.flights.remove(&outcome.ask) else { return };
        let now = self.now;
        let outcome = self.with_known_value(outcome, &flight);
        match flight.purpose {
            WritePurpose::Leader { function, record } => match outcome.outcome {
                WRITTEN => {
                    self.stewards.election.written(&function, outcome.version, &record, now);
                    if ![0, self.settings.node].contains(&record.holder) {
                        // The node it was given to need not wait for its next poll.
                        let (key, version) = (outcome.key, outcome.version);
                        let polled = PolledRecord { key, version, value: record.encode() };
                        let told = Message::RecordsPolled {
                            mark: 0,
                            known: 1,
                            change: 0,
                            records: List(vec![polled]),
                            renewed: List(Vec::new()),
                        };
                        self.send(record.holder, told);
                    }
                }
                DIFFERS => {
                    let standing = LeaderRecord::decode(&outcome.value);
                    self.stewards.election.differs(&function, outcome.version, standing, now);
                }
                _ => self.stewards.election.unanswered(&function, now),
            },
            WritePurpose::Configuration => self.configuration_written(outcome),
            WritePurpose::ConfigurationRead if outcome.outcome == AS_KNOWN => {
                self.configuration_confirmed(outcome.version);
            }
            WritePurpose::ConfigurationRead => self.configuration_read(outcome),
            WritePurpose::ConfigurationCheck => self.configuration_checked(outcome),
            WritePurpose::ConfigurationAsked { request } => {
                let answer = match outcome.outcome {
                    WRITTEN => ConfigurationAnswer::Stored(outcome.value.0),
                    // What came meanwhile is newer, and stands on a majority as well.
                    AS_KNOWN => ConfigurationAnswer::Stored(self.stored_configuration()),
                    AS_NEWS => self.configuration_elsewhere(from),
                    _ => ConfigurationAnswer::Unconfirmed,
                };
                self.act(Act::ConfigurationAnswered { request, answer });
            }
            WritePurpose::DisksRead | WritePurpose::DisksChange => self.disks_answered(&outcome),
            WritePurpose::DisksCopy { key, generation } => {
                // An answer for an earlier change does not count for this one.
                let copy = self.control.copy.as_mut().filter(|copy| copy.generation() == generation);
                if let Some(copy) = copy {
                    copy.answered(&key, [WRITTEN, AS_KNOWN].contains(&outcome.outcome));
                }
            }
        }
    }

    /// The value of an answer that only says that this node's own value stands, where it is needed. A
    /// value that changed here since the question is of no use: the question is put again.
    fn with_known_value(&mut self, outcome: WriteOutcome, flight: &WriteFlight) -> WriteOutcome {
        let needs_value =
            matches!(flight.purpose, WritePurpose::ConfigurationCheck | WritePurpose::DisksCopy { .. });
        if outcome.outcome != AS_KNOWN || !needs_value {
            return outcome;
        }
        match self.known_digest(&outcome.key.0) == flight.known_digest {
            true => WriteOutcome { outcome: WRITTEN, value: Bytes(self.stored_configuration()), ..outcome },
            false => WriteOutcome { outcome: UNKNOWN, ..outcome },
        }
    }

    fn configuration_elsewhere(&self, node: NodeId) -> ConfigurationAnswer {
        let address = self.members.find(node).map(|news| news.address);
        address.map_or(ConfigurationAnswer::Unconfirmed, ConfigurationAnswer::Elsewhere)
    }

    /// The colleague where an operator had better send a body of so many bytes to, or read the whole
    /// configuration from (`None`): the owner of its key, if this machine's link is too small for that.
    /// A machine with a disk may be that owner itself, and sends nobody on.
    /// Example: `node.better_place(Some(400_000))`.
    pub fn better_place(&self, bytes: Option<usize>) -> Option<Address> {
        let link_rate = self.settings.link_rate?;
        let seconds = bytes.unwrap_or_else(|| self.stored_configuration_length()) as f64 / link_rate;
        if seconds <= WIRE_SECONDS || self.control.disk.is_some() {
            return None;
        }
        let owner = self.key_owner(CONFIGURATION_KEY)?;
        self.members.find(owner).map(|news| news.address)
    }

    /// A write or poll that its owner leaves unanswered: another voter is asked next time.
    fn check_flights(&mut self) {
        let now = self.now;
        let silent_owners: BTreeSet<NodeId> = self
            .control
            .flights
            .values()
            .map(|flight| (flight.owner, flight.sent_at))
            .chain(self.control.polls.iter().map(|(owner, sent_at)| (*owner, *sent_at)))
            .filter(|(_, sent_at)| now >= *sent_at + OWNER_PATIENCE)
            .map(|(owner, _)| owner)
            .collect();
        for owner in silent_owners {
            self.control.doubted.insert(owner, now + OWNER_DOUBT);
            self.control.polls.remove(&owner);
        }
        let over_asks: Vec<u64> = self
            .control
            .flights
            .iter()
            .filter(|(_, flight)| {
                let patience = match flight.purpose {
                    // A renewal waits up to the owner's group time; another voter is tried after that.
                    WritePurpose::Leader { .. } => OWNER_PATIENCE,
                    WritePurpose::ConfigurationAsked { .. } => ASKED_PATIENCE,
                    _ => Micros::from_millis(2_500),
                };
                now >= flight.sent_at + patience
            })
            .map(|(ask, _)| *ask)
            .collect();
        for ask in over_asks {
            let Some(flight) = self.control.flights.remove(&ask) else { continue };
            match flight.purpose {
                WritePurpose::Leader { function, .. } => {
                    self.stewards.election.unanswered(&function, now);
                }
                WritePurpose::Configuration => self.configuration_unanswered(),
                WritePurpose::ConfigurationCheck => self.configuration_unanswered(),
                WritePurpose::DisksCopy { key, generation } => {
                    let copy = self.control.copy.as_mut().filter(|copy| copy.generation() == generation);
                    if let Some(copy) = copy {
                        copy.answered(&key, false);
                    }
                }
                WritePurpose::ConfigurationAsked { request } => {
                    let answer = ConfigurationAnswer::Unconfirmed;
                    self.act(Act::ConfigurationAnswered { request, answer });
                }
                WritePurpose::ConfigurationRead | WritePurpose::DisksRead | WritePurpose::DisksChange => {}
            }
        }
    }

    pub(crate) fn tick_control(&mut self) {
        self.check_flights();
        let now = self.now;
        if self.control.found_event.due(now) {
            self.try_founding();
        }
        if self.control.upkeep_event.due(now) {
            self.try_repair();
            self.hand_over_keys();
        }
        // A change that was begun goes on with each clock event.
        if self.control.replace_event.due(now) || !self.control.set.joining.0.is_empty() {
            self.try_replacing();
        }
    }

    /// Keys whose rendezvous choice is another live voter are let go.
    fn hand_over_keys(&mut self) {
        let voters: Vec<NodeId> = self
            .voting_members()
            .iter()
            .filter(|news| news.state == 0 && news.draining == 0)
            .map(|news| news.node)
            .collect();
        let own = self.settings.node;
        if self.draining_since.is_some() || self.control.copy.is_some() {
            return;
        }
        self.control.owner.keep_only(|key| {
            Node::rendezvous_choice(key, voters.iter().copied()).is_none_or(|node| node == own)
        });
    }

    /// The one node that may found: the seed with the lowest address among those that carry a disk. Each
    /// lower one must be heard, and carry none: a process never changes that, so no two nodes can be it.
    /// Any rule by what a node sees of the disks lets two found two sets that share disks.
    fn is_founder(&self) -> bool {
        let own = self.settings.address;
        if self.settings.seeds.is_empty() {
            return true;
        }
        let is_seed = self.settings.seeds.contains(&own);
        is_seed && self.settings.seeds.iter().filter(|seed| **seed < own).all(|seed| self.lacks_disk(*seed))
    }

    fn lacks_disk(&self, address: colleague_messages::Address) -> bool {
        self.members
            .colleagues()
            .any(|news| news.address == address && news.disk == 0 && news.disk_state == 0)
    }

    /// Founds the first voter set, once: the founder's own disk and others that are blank, all live;
    /// no member may have voted before, and at least half of the seeds must have been heard.
    fn try_founding(&mut self) {
        let is_founder = self.is_founder();
        let Some(disk) = &self.control.disk else {
            let no_seed_can = is_founder
                && self
                    .settings
                    .seeds
                    .iter()
                    .filter(|seed| **seed != self.settings.address)
                    .all(|seed| self.lacks_disk(*seed));
            let is_missing = no_seed_can && self.control.set.generation == 0 && !self.control.is_wait_told;
            if is_missing && self.members.live().len() > 1 {
                self.control.is_wait_told = true;
                let reason = "a seed founds the state, and none has a data folder";
                self.journal.append("founding_waits", json!({"reason": reason}), self.now);
            }
            return;
        };
        let (own_disk, own_set) = (disk.id, disk.registers.chosen().clone());
        if own_set.generation == 1 && own_set.joining.0.is_empty() {
            if self.members.own().disk_state != DISK_BLANK {
                self.finish_founding(&own_set);
            }
            return;
        }
        if !is_founder
            || !self.settings.may_found
            || own_set.generation != 0
            || disk.is_broken
            || self.control.set.generation != 0
        {
            return;
        }
        if self.members.seeds_heard() * 2 < self.members.seed_count() {
            return;
        }
        let live = self.members.live();
        if live.iter().any(|news| news.disk_state >= DISK_VOTING) {
            return;
        }
        let mut blank_disks: Vec<u64> =
            live.iter().filter(|news| news.disk_state == DISK_BLANK).map(|news| news.disk).collect();
        if blank_disks.len() < self.settings.founding_disks {
            return;
        }
        // Its own disk takes the set first, and is asked in a message to itself: whatever happens to
        // this process afterwards, it founds no other.
        blank_disks.sort_unstable_by_key(|disk| (*disk != own_disk, *disk));
        blank_disks.truncate(self.settings.founding_disks);
        blank_disks.sort_unstable();
        self.tell_founding(&blank_disks, &[own_disk]);
    }

    /// A founding that was cut short is told again to the members of the set that are still blank.
    fn finish_founding(&mut self, founding_set: &VoterSet) {
        let blank_disks: Vec<u64> = self
            .members
            .live()
            .iter()
            .filter(|news| news.disk_state == DISK_BLANK && founding_set.disks.0.contains(&news.disk))
            .map(|news| news.disk)
            .collect();
        self.tell_founding(&founding_set.disks.0, &blank_disks);
    }

    fn tell_founding(&mut self, founding_disks: &[u64], told_disks: &[u64]) {
        let set_mark = stable_hash(&VoterSet::founding(founding_disks).encode().0);
        for disk in told_disks {
            if let Some(node) = self.node_of_disk(*disk) {
                self.send(node, Message::Found { set: set_mark, disks: List(founding_disks.to_vec()) });
            }
        }
    }

    fn found(&mut self, from: NodeId, set_mark: u64, founding_disks: &[u64]) {
        let founding_set = ChosenSet::founding(founding_disks);
        let is_known_other = self.control.set.generation > 0 && self.control.set != founding_set;
        let wanted_count = self.settings.founding_disks;
        let Some(disk) = self.control.sound_disk() else { return };
        let disk_id = disk.id;
        let is_sound = founding_disks.len() == wanted_count
            && founding_disks.contains(&disk_id)
            && set_mark == stable_hash(&founding_set.encode().0)
            && !is_known_other;
        let records = if is_sound { disk.registers.found(&founding_set) } else { None };
        let Some(records) = records else {
            self.send(from, Message::FoundAnswer { set: set_mark, disk: disk_id, accepted: 0 });
            return;
        };
        self.write_then_answer(
            records,
            from,
            Message::FoundAnswer { set: set_mark, disk: disk_id, accepted: 1 },
        );
    }

    /// Gives the votes of lost disks to others: first the joint set, then a copy of every key under it,
    /// then the new set. One change at a time, and each step rests on the chosen set. A joint set has one
    /// successor, whoever goes on with it: it needs majorities of both sets, so while no more disks are
    /// lost than either may lose it can be finished, also without the joining ones.
    fn try_replacing(&mut self) {
        let now = self.now;
        let set = self.control.set.clone();
        let live: Vec<MemberNews> = self.members.live().into_iter().cloned().collect();
        self.control.sightings.update(&set, &live, now);
        if set.generation == 0 {
            return;
        }
        if self.has_proposal() {
            self.read_disks();
        }
        let owner = self.key_owner(DISKS_KEY);
        if owner != Some(self.settings.node) || !self.owns_keys() {
            self.control.copy = None;
            let told = self.control.sightings.untold(&set, &live);
            if let Some(owner) = owner.filter(|_| !told.is_empty()) {
                self.send(owner, Message::Probe { sequence: 0, target: 0, members: List(told) });
            }
            return;
        }
        let patience = self.settings.replace_disk_after;
        let swaps = self.control.sightings.swaps(&set, &live, patience, now);
        if !set.joining.0.is_empty() {
            self.continue_copy(&set);
        } else if let Some(joint_set) = set.begin_changes(&swaps) {
            self.write_disks(&joint_set);
        }
    }

    /// The own disk stored a set that is not known to be chosen. Whoever wrote it may be gone: a confirmed
    /// read makes the key's owner finish it, or bring what stands instead.
    fn has_proposal(&self) -> bool {
        self.control.disk.as_ref().is_some_and(|disk| disk.registers.proposed().is_some())
    }

    /// A voter may go at any time without loss, since all that was answered for is synced on a quorum. While
    /// a change is under way a planned stop waits for it, within its time: until then the change may need
    /// this very disk.
    pub(crate) fn must_stay_for_change(&self) -> bool {
        let is_voting =
            self.control.disk.as_ref().is_some_and(|disk| self.control.set.all().contains(&disk.id));
        is_voting && (self.has_proposal() || !self.control.set.joining.0.is_empty())
    }

    fn is_set_asked(&self) -> bool {
        let mut purposes = self.control.flights.values().map(|flight| &flight.purpose);
        purposes.any(|purpose| matches!(purpose, WritePurpose::DisksRead | WritePurpose::DisksChange))
    }

    fn read_disks(&mut self) {
        if !self.is_set_asked() {
            self.send_write(DISKS_KEY, 0, Bytes::default(), WritePurpose::DisksRead);
        }
    }

    /// Versions of the set's key are generations.
    fn write_disks(&mut self, next_set: &VoterSet) {
        if !self.is_set_asked() {
            let expected = self.control.set.generation;
            self.send_write(DISKS_KEY, expected, next_set.encode(), WritePurpose::DisksChange);
        }
    }

    /// What an owner says to stand of the set's key was stored on a quorum, and is chosen. The answer to a
    /// write that succeeded carries no value: the owner tells the set itself.
    fn disks_answered(&mut self, outcome: &WriteOutcome) {
        if ![WRITTEN, DIFFERS].contains(&outcome.outcome) {
            return;
        }
        if let Some(standing_set) = ChosenSet::told(&outcome.value) {
            self.learn_chosen(&standing_set);
        }
    }

    /// The voters hear at once of a set that was chosen here; the others get it as news.
    fn tell_chosen(&mut self, chosen_set: &ChosenSet) {
        self.learn_chosen(chosen_set);
        for disk in chosen_set.all() {
            if let Some(node) = self.node_of_disk(disk).filter(|node| *node != self.settings.node) {
                self.tell_set(node);
            }
        }
    }

    fn continue_copy(&mut self, joint_set: &ChosenSet) {
        let now = self.now;
        let copy = self.control.copy.get_or_insert_with(|| SetCopy::new(joint_set.clone()));
        if copy.is_done() {
            if let Some(final_set) = joint_set.end_change() {
                self.write_disks(&final_set);
            }
            return;
        }
        let due_lists = copy.due_lists(now);
        let due_keys = copy.due_keys(COPY_WINDOW);
        let fleet_set = joint_set.mark();
        for node in due_lists.into_iter().filter_map(|disk| self.node_of_disk(disk)).collect::<Vec<_>>() {
            self.send(node, Message::KeysAsk { fleet_set });
        }
        // This node itself takes the keys: under the joint set each is stored anew on both majorities.
        let (own, generation) = (self.settings.node, joint_set.generation);
        for key in due_keys {
            let ask = self.fresh_ask();
            let purpose = WritePurpose::DisksCopy { key: key.clone(), generation };
            let known_digest = self.known_digest(&key);
            let flight = WriteFlight { owner: own, purpose, sent_at: now, known_digest };
            self.control.flights.insert(ask, flight);
            self.send(own, Message::ReadConfirmed { ask, key: key.into(), digest: known_digest });
        }
    }

    /// Hands the owner's promises, stores and answers to the network.
    pub(crate) fn flush_control(&mut self) {
        let now = self.now;
        let mut answer_groups: BTreeMap<NodeId, Vec<WriteOutcome>> = BTreeMap::new();
        for act in self.control.owner.flush(now) {
            match act {
                OwnerAct::Promise { disk, fleet_set, entries } => {
                    if let Some(node) = self.node_of_disk(disk) {
                        self.send(node, Message::Promise { fleet_set, entries });
                    }
                }
                OwnerAct::Store { disk, fleet_set, entries } => {
                    if let Some(node) = self.node_of_disk(disk) {
                        self.send(node, Message::Store { fleet_set, entries });
                    }
                }
                OwnerAct::Chosen(chosen_set) => self.tell_chosen(&chosen_set),
                OwnerAct::Answer { node, outcome } => {
                    let outcome = self.outcome_for(node, outcome);
                    answer_groups.entry(node).or_default().push(outcome);
                }
            }
        }
        for (node, outcomes) in answer_groups {
            self.send(node, Message::WriteAnswer { outcomes: List(outcomes) });
        }
    }
}

fn keys_of(functions: &[String]) -> Vec<Text> {
    functions.iter().map(|function| steward_key(function).into()).collect()
}

fn hex_list(ids: &[u64]) -> Vec<String> {
    ids.iter().map(|id| format!("{id:016x}")).collect()
}
