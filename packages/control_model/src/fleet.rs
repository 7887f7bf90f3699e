//! One state of the model and the effect of each action on it.

use crate::history::{Acknowledged, Counts, History, Mark, Violation};
use crate::limits::{Limits, Operation};
use crate::machine::{Machine, Packet, PendingRequest, Purpose, Receiver, StoredSet, Unsynced};
use crate::{Action, PlantedFault};
use configuration_schema::{Change, ChangeOutcome, StoredConfiguration};
use control_registers::{
    CONFIGURATION_KEY, ChosenSet, DIFFERS, DISKS_KEY, DiskRegisters, OwnerAction, SetCopy, VoterSet, WRITTEN,
};
use monotonic_clock::Micros;
use peer_messages::{
    Bytes, GossipItem, List, Message, StoreEntry, StoredEntry, Text, WriteEntry, WriteOutcome,
};
use serde_json::json;
use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Longer than the owner's resend interval.
const RESEND_PAUSE: Micros = Micros::from_millis(300);
/// Longer than the owner's request timeout.
const GIVE_UP_PAUSE: Micros = Micros::from_millis(2_500);
const COPY_WINDOW: usize = 2;
/// Retries of a change of the configuration when the current version differs.
const CHANGE_RETRIES: u8 = 2;
/// A process id identifies its machine, as that of a real node does.
const PROCESSES_PER_MACHINE: u64 = 1_000;

/// How often each event limited by [`Limits`] has happened.
#[derive(Clone, Debug, Default, Hash)]
struct Used {
    operations: Vec<bool>,
    crashes: u32,
    wipes: u32,
    repeats: u32,
    late_responses: u32,
    resends: u32,
    give_ups: u32,
    changes: u32,
    set_reads: u32,
    incarnations: u64,
    disks: u64,
}

/// One state of the model: machines with real registers and owners, messages in flight, and what was
/// acknowledged so far. Example: `Fleet::bootstrapped(&Arc::new(Limits::three_disks()))`.
#[derive(Clone, Debug)]
pub struct Fleet {
    limits: Arc<Limits>,
    machines: Vec<Arc<Machine>>,
    packets: Vec<Arc<Packet>>,
    history: History,
    used: Used,
    /// Whether something was synced, wiped or acknowledged in this step, so that the quorums must be checked.
    is_check_due: bool,
    /// Counts of events so far; not part of the state.
    pub counts: Counts,
}

impl Hash for Fleet {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (&self.machines, &self.packets, &self.history, &self.used).hash(hasher);
    }
}

impl Fleet {
    /// Machines whose first disks stored and synced the bootstrap set.
    /// Example: `Fleet::bootstrapped(&Arc::new(Limits::racing_writes())).actions().len()`.
    pub fn bootstrapped(limits: &Arc<Limits>) -> Fleet {
        let disks: Vec<u64> = (1..=limits.machines as u64).collect();
        let bootstrap_set = ChosenSet::bootstrap(&disks[..limits.bootstrap]);
        let machine = |disk: &u64| {
            let mut registers = DiskRegisters::default();
            if bootstrap_set.disks.0.contains(disk) {
                registers.bootstrap(&bootstrap_set).expect("a blank disk takes the first set");
            }
            Arc::new(Machine::new(*disk, (disk - 1) * PROCESSES_PER_MACHINE + 1, registers))
        };
        Fleet {
            machines: disks.iter().map(machine).collect(),
            packets: Vec::new(),
            history: History::bootstrapped(&bootstrap_set),
            used: Used {
                operations: vec![false; limits.operations.len()],
                incarnations: 1,
                disks: disks.len() as u64,
                ..Used::default()
            },
            is_check_due: false,
            counts: Counts::default(),
            limits: limits.clone(),
        }
    }

    /// The state's fingerprint among visited ones. Example: `visited.insert(fleet.fingerprint())`.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }

    /// The number of messages in flight. Example: `fleet.packet_count() < 60`.
    pub fn packet_count(&self) -> usize {
        self.packets.len()
    }

    /// The index of a message in flight to a machine's process. Example: `fleet.packet_for(2)`.
    pub fn packet_for(&self, machine: usize) -> Option<usize> {
        let receiver = Receiver::Process(self.machines[machine].process);
        self.packets.iter().position(|packet| packet.to == receiver)
    }

    /// Everything that may happen next. Example: `fleet.actions().is_empty()` at the end.
    pub fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.add_deliveries(&mut actions);
        for machine in 0..self.machines.len() {
            self.add_machine_actions(machine, &mut actions);
        }
        for machine in 0..self.limits.owners.min(self.machines.len()) {
            self.add_owner_actions(machine, &mut actions);
        }
        actions
    }

    fn add_deliveries(&self, actions: &mut Vec<Action>) {
        for packet in 0..self.packets.len() {
            actions.push(Action::Deliver { packet });
            let is_request = matches!(self.packets[packet].to, Receiver::Disk(_));
            if is_request
                && !self.limits.separate_sync
                && self.used.late_responses < self.limits.late_responses
            {
                actions.push(Action::DeliverAlone { packet });
            }
            if self.used.repeats < self.limits.repeats {
                actions.push(Action::Repeat { packet });
            }
        }
    }

    fn add_machine_actions(&self, machine: usize, actions: &mut Vec<Action>) {
        if !self.machines[machine].unsynced.is_empty() {
            actions.push(Action::Sync { machine });
        }
        if self.used.crashes < self.limits.crashes {
            actions.push(Action::Crash { machine });
        }
        if self.used.wipes < self.limits.wipes && self.may_lose(machine) {
            actions.push(Action::Wipe { machine });
        }
    }

    /// Whether the newest chosen set keeps a quorum of never wiped disks without this machine's disk.
    fn may_lose(&self, machine: usize) -> bool {
        let kept = self.machines.iter().enumerate().filter(|(index, _)| *index != machine);
        self.history.newest_set().quorum(&kept.map(|(_, kept)| kept.disk).collect())
    }

    fn add_owner_actions(&self, machine: usize, actions: &mut Vec<Action>) {
        let own = &self.machines[machine];
        if self.used.resends < self.limits.resends && own.owner.owned_count() > 0 {
            actions.push(Action::Resend { machine });
        }
        if self.used.give_ups < self.limits.give_ups && own.owner.owned_count() > 0 {
            actions.push(Action::GiveUp { machine });
        }
        if !own.may_own() {
            return;
        }
        for (operation, is_used) in self.used.operations.iter().enumerate() {
            if !is_used {
                actions.push(Action::Begin { operation, machine });
            }
        }
        if own.registers.proposed().is_some() && self.used.set_reads < self.limits.set_reads {
            actions.push(Action::ReadSet { machine });
        }
        self.add_changes(machine, actions);
    }

    fn add_changes(&self, machine: usize, actions: &mut Vec<Action>) {
        let own = &self.machines[machine];
        if !own.set.joining.0.is_empty() {
            if self.has_copy_work(own) {
                actions.push(Action::ContinueChange { machine });
            }
            return;
        }
        if self.used.changes >= self.limits.changes {
            return;
        }
        let spare_disks =
            self.machines.iter().map(|other| other.disk).filter(|disk| !own.set.all().contains(disk));
        for fresh in spare_disks {
            for lost in &own.set.disks.0 {
                actions.push(Action::BeginChange { machine, lost: *lost, fresh });
            }
        }
    }

    fn has_copy_work(&self, own: &Machine) -> bool {
        let is_requested =
            |request: &PendingRequest| request.key == DISKS_KEY && request.purpose == Purpose::Write;
        let Some(mut copy) = own.copy.clone() else { return true };
        if copy.is_done() || self.limits.fault == Some(PlantedFault::CopySkipped) {
            return !own.requests.values().any(is_requested);
        }
        !copy.due_lists(own.clock).is_empty() || !copy.due_keys(COPY_WINDOW).is_empty()
    }

    /// Applies an action; fails with a violation if an invariant does not hold after it.
    /// Example: `fleet.apply(&fleet.actions()[0])?`.
    pub fn apply(&mut self, action: &Action) -> Result<(), Violation> {
        self.counts.steps += 1;
        match *action {
            Action::Deliver { packet } => {
                let packet = self.packets.remove(packet);
                self.deliver(&packet, true)?;
            }
            Action::DeliverAlone { packet } => {
                self.used.late_responses += 1;
                let packet = self.packets.remove(packet);
                self.deliver(&packet, false)?;
            }
            Action::Repeat { packet } => {
                self.used.repeats += 1;
                let packet = self.packets[packet].clone();
                self.deliver(&packet, false)?;
            }
            Action::Lose { packet } => {
                self.packets.remove(packet);
            }
            Action::Sync { machine } => self.sync(machine, false)?,
            Action::Crash { machine } => self.crash(machine)?,
            Action::Wipe { machine } => self.wipe(machine),
            Action::Resend { machine } => {
                self.used.resends += 1;
                self.pass_time(machine, RESEND_PAUSE)?;
            }
            Action::GiveUp { machine } => {
                self.used.give_ups += 1;
                self.pass_time(machine, GIVE_UP_PAUSE)?;
            }
            Action::Begin { operation, machine } => self.begin(operation, machine)?,
            Action::BeginChange { machine, lost, fresh } => self.begin_change(machine, lost, fresh)?,
            Action::ContinueChange { machine } => self.continue_change(machine)?,
            Action::ReadSet { machine } => {
                self.used.set_reads += 1;
                self.request_read(machine, DISKS_KEY, Purpose::Read)?;
            }
        }
        self.packets.sort_by_key(|packet| packet.fingerprint);
        if !std::mem::take(&mut self.is_check_due) {
            return Ok(());
        }
        let disks: BTreeMap<u64, &DiskRegisters> =
            self.machines.iter().map(|machine| (machine.disk, &machine.durable)).collect();
        self.history.check_quorums(&disks)
    }

    fn machine(&mut self, machine: usize) -> &mut Machine {
        Arc::make_mut(&mut self.machines[machine])
    }

    fn pass_time(&mut self, machine: usize, pause: Micros) -> Result<(), Violation> {
        let own = self.machine(machine);
        own.clock = own.clock + pause;
        self.flush(machine)
    }

    fn crash(&mut self, machine: usize) -> Result<(), Violation> {
        self.used.crashes += 1;
        self.used.incarnations += 1;
        let process = machine as u64 * PROCESSES_PER_MACHINE + self.used.incarnations;
        let own = self.machine(machine);
        let previous_process = own.process;
        own.restart(process);
        let set = own.set.clone();
        self.packets.retain(|packet| packet.to != Receiver::Process(previous_process));
        if set.generation == 0 { Ok(()) } else { self.history.check_in_force(&set) }
    }

    fn wipe(&mut self, machine: usize) {
        self.is_check_due = true;
        self.used.wipes += 1;
        self.used.incarnations += 1;
        self.used.disks += 1;
        let (disk, process) =
            (self.used.disks, machine as u64 * PROCESSES_PER_MACHINE + self.used.incarnations);
        let lost = self.machines[machine].clone();
        self.machines[machine] = Arc::new(Machine::new(disk, process, DiskRegisters::default()));
        let is_lost = |to| [Receiver::Process(lost.process), Receiver::Disk(lost.disk)].contains(&to);
        self.packets.retain(|packet| !is_lost(packet.to));
    }

    // Steps of a disk.

    fn deliver(&mut self, packet: &Packet, delivers_response: bool) -> Result<(), Violation> {
        let is_receiver = |machine: &Arc<Machine>| match packet.to {
            Receiver::Disk(disk) => machine.disk == disk,
            Receiver::Process(process) => machine.process == process,
        };
        let Some(machine) = self.machines.iter().position(is_receiver) else { return Ok(()) };
        match &packet.message {
            Message::Promise { .. } | Message::Store { .. } | Message::KeysRequest { .. } => {
                self.handle_disk_request(machine, packet, delivers_response)
            }
            message => self.handle_process_message(machine, message),
        }
    }

    /// The voter set digest by which a disk accepts or rejects a sender: the sender's own, except for planted
    /// faults.
    fn effective_sender_set(&self, machine: usize, sender_set: u64) -> u64 {
        let registers = &self.machines[machine].registers;
        let is_skipped = self.limits.fault == Some(PlantedFault::SetFenceSkipped);
        if !is_skipped || registers.chosen().generation == 0 {
            return sender_set;
        }
        let stored_generation = registers.proposed().map_or(0, |proposed| proposed.generation());
        match stored_generation > registers.chosen().generation {
            true => sender_set.max(stored_generation << 32),
            false => sender_set.max(registers.chosen().digest()),
        }
    }

    fn handle_disk_request(
        &mut self,
        machine: usize,
        packet: &Packet,
        delivers_response: bool,
    ) -> Result<(), Violation> {
        let fault = self.limits.fault;
        let sender_set = sender_set(&packet.message);
        let effective_set = self.effective_sender_set(machine, sender_set);
        let own = self.machine(machine);
        let (mut records, mut sets) = (Vec::new(), Vec::new());
        let response = match &packet.message {
            Message::Promise { entries, .. } => {
                let (responses, promised) = own.registers.promise(effective_set, entries);
                records = promised;
                Some(Message::Promised { disk: own.disk, entries: List(responses) })
            }
            Message::Store { entries, .. } => {
                let (mut responses, stored) = own.registers.store(effective_set, entries);
                records = stored;
                sets = stored_sets(entries, &responses);
                if fault == Some(PlantedFault::PromiseFenceSkipped) {
                    responses.iter_mut().for_each(|response| response.granted = 1);
                }
                Some(Message::Stored { disk: own.disk, entries: List(responses) })
            }
            _ => own.registers.list_keys(sender_set).map(|keys| {
                let keys = List(keys.into_iter().map(Text).collect());
                Message::KeysResponse { fleet_set: sender_set, disk: own.disk, keys }
            }),
        };
        let is_outdated = sender_set >> 32 < own.set.generation;
        let response =
            response.map(|message| Packet::new(Receiver::Process(packet.from), own.process, message));
        self.submit_to_disk(machine, records, sets, response, delivers_response)?;
        if is_outdated {
            self.announce_set(machine, packet.from);
        }
        if fault == Some(PlantedFault::SetInForceAtOnce) {
            self.apply_stored_set(machine, &packet.message)?;
        }
        Ok(())
    }

    /// Submits records to be synced; the response waits for the sync.
    fn submit_to_disk(
        &mut self,
        machine: usize,
        records: Vec<Vec<u8>>,
        sets: Vec<StoredSet>,
        response: Option<Packet>,
        delivers_response: bool,
    ) -> Result<(), Violation> {
        let responses_early = self.limits.fault == Some(PlantedFault::AnswerBeforeSync);
        let (early, waiting) = if responses_early { (response, None) } else { (None, response) };
        if !records.is_empty() || waiting.is_some() {
            self.machine(machine).unsynced.push(Unsynced { records, sets, response: waiting });
        }
        self.packets.extend(early.map(Arc::new));
        let is_waiting = !self.machines[machine].unsynced.iter().all(|unsynced| unsynced.records.is_empty());
        if self.limits.separate_sync && is_waiting {
            return Ok(());
        }
        self.sync(machine, delivers_response && !self.limits.separate_sync)
    }

    fn sync(&mut self, machine: usize, delivers_response: bool) -> Result<(), Violation> {
        self.is_check_due = true;
        let own = self.machine(machine);
        let disk = own.disk;
        let (sets, responses) = own.sync();
        for (epoch, value) in sets {
            if self.history.set_synced(disk, epoch, &value)? {
                self.counts.sets += 1;
            }
        }
        for response in responses {
            match delivers_response {
                true => self.deliver(&response, true)?,
                false => self.packets.push(Arc::new(response)),
            }
        }
        Ok(())
    }

    /// Planted fault: uses a set that only one disk stored.
    fn apply_stored_set(&mut self, machine: usize, message: &Message) -> Result<(), Violation> {
        let Message::Store { entries, .. } = message else { return Ok(()) };
        let set_entry = entries.0.iter().find(|entry| entry.key.0 == DISKS_KEY);
        match set_entry.and_then(|entry| ChosenSet::received(&entry.value)) {
            Some(set) => self.learn_set(machine, &set),
            None => Ok(()),
        }
    }

    // Steps of a process.

    fn handle_process_message(&mut self, machine: usize, message: &Message) -> Result<(), Violation> {
        let own = self.machine(machine);
        let now = own.clock;
        match message {
            Message::Promised { disk, entries } => own.owner.promised(*disk, entries.clone(), now),
            Message::Stored { disk, entries } => own.owner.stored(*disk, entries.clone(), now),
            Message::KeysResponse { fleet_set, disk, keys } => {
                if let Some(copy) = &mut own.copy {
                    copy.record_list(*disk, *fleet_set, keys.0.iter().map(|key| key.0.clone()));
                }
            }
            Message::Gossip { items } => {
                if let Some(set) = ChosenSet::received(&items.0[0].body) {
                    self.learn_set(machine, &set)?;
                }
            }
            _ => {}
        }
        if self.limits.fault == Some(PlantedFault::QuorumMinusOne) {
            self.count_for_second_disk(machine, message);
        }
        self.flush(machine)
    }

    fn count_for_second_disk(&mut self, machine: usize, message: &Message) {
        let Message::Stored { disk, entries } = message else { return };
        let own = self.machine(machine);
        let other = own.set.all().into_iter().find(|other| other != disk);
        own.owner.stored(other.unwrap_or(*disk), entries.clone(), own.clock);
    }

    fn learn_set(&mut self, machine: usize, set: &ChosenSet) -> Result<(), Violation> {
        self.history.check_in_force(set)?;
        let own = self.machine(machine);
        if set.generation > own.set.generation {
            own.set = set.clone();
            own.copy = None;
            own.owner.adopt_set(set);
        }
        let is_outsider = own.registers.chosen().generation == 0 && !own.may_own();
        if is_outsider {
            return Ok(());
        }
        let set = own.set.clone();
        let records = own.registers.learn_chosen(&set);
        self.submit_to_disk(machine, records, Vec::new(), None, false)
    }

    fn announce_set(&mut self, machine: usize, process: u64) {
        let own = &self.machines[machine];
        let (origin, sequence) = (own.process, own.set.generation);
        let item = GossipItem { topic: DISKS_KEY.into(), origin, sequence, body: own.set.encode() };
        let message = Message::Gossip { items: List(vec![item]) };
        self.packets.push(Arc::new(Packet::new(Receiver::Process(process), origin, message)));
    }

    fn flush(&mut self, machine: usize) -> Result<(), Violation> {
        loop {
            let own = self.machine(machine);
            let actions = own.owner.flush(own.clock);
            if actions.is_empty() {
                return Ok(());
            }
            for action in actions {
                self.apply_owner_action(machine, action)?;
            }
        }
    }

    fn apply_owner_action(&mut self, machine: usize, action: OwnerAction) -> Result<(), Violation> {
        let from = self.machines[machine].process;
        match action {
            OwnerAction::Promise { disk, fleet_set, entries } => {
                let message = Message::Promise { fleet_set, entries };
                self.packets.push(Arc::new(Packet::new(Receiver::Disk(disk), from, message)));
            }
            OwnerAction::Store { disk, fleet_set, entries } => {
                let epochs = &mut self.machine(machine).epochs;
                epochs.extend(entries.0.iter().map(|entry| (entry.key.0.clone(), entry.epoch.clone())));
                let message = Message::Store { fleet_set, entries };
                self.packets.push(Arc::new(Packet::new(Receiver::Disk(disk), from, message)));
            }
            OwnerAction::Chosen(set) => {
                self.learn_set(machine, &set)?;
                for other in 0..self.machines.len() {
                    if other != machine {
                        let process = self.machines[other].process;
                        self.announce_set(machine, process);
                    }
                }
            }
            OwnerAction::Response { outcome, .. } => self.handle_response(machine, &outcome)?,
        }
        Ok(())
    }

    // Steps of clients and operators.

    fn begin(&mut self, operation: usize, machine: usize) -> Result<(), Violation> {
        self.used.operations[operation] = true;
        match self.limits.operations[operation].clone() {
            Operation::Read { key } => self.request_read(machine, key, Purpose::Read),
            Operation::Write { key, value } => {
                let expected = self.machines[machine].known.get(key).map_or(0, |(version, _)| *version);
                let value = Bytes(value.to_le_bytes().to_vec());
                self.request_write(machine, key, expected, value, Purpose::Write)
            }
            Operation::Change { id } => self.request_change(machine, id, CHANGE_RETRIES),
        }
    }

    fn request_change(&mut self, machine: usize, id: u64, tries: u8) -> Result<(), Violation> {
        let (expected, base) =
            self.machines[machine].known.get(CONFIGURATION_KEY).cloned().unwrap_or_default();
        // Where the model writes plain numbers to the configuration's key, there is no document to change.
        let Some(mut stored) = StoredConfiguration::decode(&base.0) else { return Ok(()) };
        let change = Change { change_id: id.to_string(), partial: Some(json!({})), ..Change::default() };
        let ChangeOutcome::Accepted { generation, repeated } = stored.apply(&change) else { return Ok(()) };
        if repeated {
            return self.history.accept(id, generation);
        }
        let purpose = Purpose::Change { id, generation, tries };
        self.request_write(machine, CONFIGURATION_KEY, expected, Bytes(stored.encode()), purpose)
    }

    fn begin_change(&mut self, machine: usize, lost: u64, fresh: u64) -> Result<(), Violation> {
        self.used.changes += 1;
        let set = self.machines[machine].set.clone();
        let Some(joint_set) = set.begin_change(lost, fresh) else { return Ok(()) };
        self.request_write(machine, DISKS_KEY, set.generation, joint_set.encode(), Purpose::Write)
    }

    fn continue_change(&mut self, machine: usize) -> Result<(), Violation> {
        let is_skipped = self.limits.fault == Some(PlantedFault::CopySkipped);
        let own = self.machine(machine);
        let (set, now, from) = (own.set.clone(), own.clock, own.process);
        let copy = own.copy.get_or_insert_with(|| SetCopy::new(set.clone()));
        if copy.is_done() || is_skipped {
            let Some(final_set) = set.end_change() else { return Ok(()) };
            return self.request_write(
                machine,
                DISKS_KEY,
                set.generation,
                final_set.encode(),
                Purpose::Write,
            );
        }
        let (due_lists, due_keys) = (copy.due_lists(now), copy.due_keys(COPY_WINDOW));
        for disk in due_lists {
            let message = Message::KeysRequest { fleet_set: set.digest() };
            self.packets.push(Arc::new(Packet::new(Receiver::Disk(disk), from, message)));
        }
        let owner = self.copied_keys_owner(machine);
        for key in due_keys {
            self.request_read(owner, &key, Purpose::Copy { generation: set.generation, copier: from })?;
        }
        Ok(())
    }

    /// The machine that reads the keys for a copy: another one that may own keys, perhaps by an older set.
    fn copied_keys_owner(&self, copier: usize) -> usize {
        let others = (copier + 1..self.machines.len()).chain(0..copier);
        others.into_iter().find(|other| self.machines[*other].may_own()).unwrap_or(copier)
    }

    fn new_request(&mut self, machine: usize, key: &str, value: Bytes, purpose: Purpose) -> u64 {
        let begun: Mark = self.history.acknowledged_mark(key);
        let own = self.machine(machine);
        let request_id = own.next_request_id;
        own.next_request_id += 1;
        own.requests.insert(request_id, PendingRequest { key: key.to_owned(), purpose, value, begun });
        request_id
    }

    fn request_read(&mut self, machine: usize, key: &str, purpose: Purpose) -> Result<(), Violation> {
        let request_id = self.new_request(machine, key, Bytes::default(), purpose);
        let own = self.machine(machine);
        own.owner.read_confirmed(own.process, request_id, key.into(), own.clock);
        self.flush(machine)
    }

    fn request_write(
        &mut self,
        machine: usize,
        key: &str,
        expected: u64,
        value: Bytes,
        purpose: Purpose,
    ) -> Result<(), Violation> {
        let request_id = self.new_request(machine, key, value.clone(), purpose);
        let own = self.machine(machine);
        let entry = WriteEntry { request_id, key: key.into(), expected, value, urgent: 1 };
        own.owner.write(own.process, entry, own.clock);
        self.flush(machine)
    }

    fn handle_response(&mut self, machine: usize, outcome: &WriteOutcome) -> Result<(), Violation> {
        self.is_check_due = true;
        let own = self.machine(machine);
        let Some(request) = own.requests.remove(&outcome.request_id) else { return Ok(()) };
        let is_write = matches!(request.purpose, Purpose::Write | Purpose::Change { .. });
        let value = if is_write && outcome.outcome == WRITTEN { &request.value } else { &outcome.value };
        let is_reported = [WRITTEN, DIFFERS].contains(&outcome.outcome);
        if is_reported {
            own.known.insert(request.key.clone(), (outcome.version, value.clone()));
        }
        if let Purpose::Copy { generation, copier } = request.purpose {
            self.record_copy(copier, generation, &request.key, outcome.outcome == WRITTEN);
        }
        let own = self.machine(machine);
        if outcome.outcome == WRITTEN {
            let acknowledged = Acknowledged {
                key: &request.key,
                version: outcome.version,
                value,
                epoch: own.epochs.get(&request.key).map_or((0, 0), |epoch| epoch.rank()),
                generation: own.set.generation,
                begun: &request.begun,
                write: is_write.then_some((own.process, outcome.request_id)),
            };
            self.history.acknowledge(&acknowledged)?;
            let count = if is_write { &mut self.counts.writes } else { &mut self.counts.reads };
            *count += 1;
        } else if is_reported {
            self.history.shown(&request.key, outcome.version, value)?;
        }
        if is_reported
            && request.key == DISKS_KEY
            && let Some(set) = ChosenSet::received(value)
        {
            self.learn_set(machine, &set)?;
        }
        self.handle_change_response(machine, &request, outcome.outcome)
    }

    fn record_copy(&mut self, copier: u64, generation: u64, key: &str, is_copied: bool) {
        let Some(copier) = self.machines.iter().position(|machine| machine.process == copier) else { return };
        let copy = self.machine(copier).copy.as_mut().filter(|copy| copy.generation() == generation);
        if let Some(copy) = copy {
            copy.record_read(key, is_copied);
        }
    }

    fn handle_change_response(
        &mut self,
        machine: usize,
        request: &PendingRequest,
        outcome: u8,
    ) -> Result<(), Violation> {
        let Purpose::Change { id, generation, tries } = request.purpose else { return Ok(()) };
        match outcome {
            WRITTEN => {
                self.counts.changes += 1;
                self.history.accept(id, generation)
            }
            DIFFERS if tries > 0 => self.request_change(machine, id, tries - 1),
            _ => Ok(()),
        }
    }
}

fn sender_set(message: &Message) -> u64 {
    match message {
        Message::Promise { fleet_set, .. }
        | Message::Store { fleet_set, .. }
        | Message::KeysRequest { fleet_set } => *fleet_set,
        _ => 0,
    }
}

/// The voter sets among the entries that a disk stored.
fn stored_sets(entries: &List<StoreEntry>, responses: &[StoredEntry]) -> Vec<StoredSet> {
    let stored = entries.0.iter().zip(responses).filter(|(_, response)| response.granted == 1);
    let sets = stored.filter(|(entry, _)| entry.key.0 == DISKS_KEY);
    sets.filter(|(entry, _)| VoterSet::decode(&entry.value).is_some())
        .map(|(entry, _)| (entry.epoch.rank(), entry.value.clone()))
        .collect()
}
