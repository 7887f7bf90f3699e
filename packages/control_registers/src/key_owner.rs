use crate::disk_registers::VALUE_MISSING;
use crate::{ChosenSet, DISKS_KEY, VoterSet};
use monotonic_clock::Micros;
use peer_messages::{
    Bytes, Epoch, LeaderRecord, List, NodeId, PolledRecord, PromiseEntry, PromisedEntry, RenewedRecord,
    StoreEntry, StoredEntry, Text, WriteEntry, WriteOutcome, stable_hash, value_digest,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// The write was stored on a majority.
pub const WRITTEN: u8 = 0;
/// The register is not at the expected version; the outcome carries its version and value.
pub const DIFFERS: u8 = 1;
/// This node does not own the key.
pub const NOT_OWNER: u8 = 2;
/// No majority responded: the write may or may not have been stored.
pub const UNKNOWN: u8 = 3;
/// A confirmed read: the value has the digest that the requester sent, so it is omitted.
pub const AS_KNOWN: u8 = 4;

const RESEND_AFTER: Micros = Micros::from_millis(250);
const ABANDON_AFTER: Micros = Micros::from_millis(2_000);
const WAITING_LIMIT: usize = 64;
/// Up to four thousand functions may be configured; more keys than this indicate a fault.
const KEYS_LIMIT: usize = 16_384;
/// Values from this size on are sent as a digest to disks that may hold them; shorter ones are sent whole.
const DIGEST_MIN_BYTES: usize = 1_024;
/// How long renewals may wait to be sent in one group.
const GROUP_DELAY: Micros = Micros::from_millis(200);
/// Limit of remembered sets of polled keys; requesters with the same configuration share one.
const KEY_SETS_LIMIT: usize = 16;

/// The digest of a list of polled keys. Example: `keys_digest(&keys) != keys_digest(&other_keys)`.
pub fn keys_digest(keys: &[Text]) -> u64 {
    keys.iter().fold(keys.len() as u64, |keys_digest, key| {
        stable_hash(&[keys_digest.to_le_bytes(), stable_hash(key.0.as_bytes()).to_le_bytes()].concat())
    })
}

/// What changed since a requester's last poll. Example: `owner.poll(keys_digest, since, &[], now)?.change`.
#[derive(Clone, Debug, PartialEq)]
pub struct PollResponse {
    /// The change number for the next poll.
    pub change: u64,
    /// Records that changed in more than a renewal.
    pub records: Vec<PolledRecord>,
    /// Records that were only renewed, by their index among the polled keys.
    pub renewed: Vec<RenewedRecord>,
}

/// An action requested by the owner.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum OwnerAction {
    /// Request promises from this disk.
    Promise { disk: u64, fleet_set: u64, entries: List<PromiseEntry> },
    /// Request stores from this disk.
    Store { disk: u64, fleet_set: u64, entries: List<StoreEntry> },
    /// A newer voter set is chosen: apply and publish it. The owner itself uses it already.
    Chosen(ChosenSet),
    /// Respond to the requesting node.
    Response { node: NodeId, outcome: WriteOutcome },
}

#[derive(Clone, Debug, Hash)]
struct WaitingWrite {
    node: NodeId,
    entry: WriteEntry,
    /// A confirmed read, which stores the current value again and responds with it.
    is_read: bool,
    /// The digest of the value that a reader has, zero for none.
    known_digest: u64,
    /// The key was reacquired because of this write.
    has_reacquired: bool,
}

#[derive(Clone, Debug, Hash)]
struct StoreAttempt {
    number: u64,
    version: u64,
    value: Bytes,
    /// The digest of a large value that was read from disks; zero if the value is new or small.
    digest: u64,
    /// Disks that were sent the digest and do not hold the value.
    lacking: BTreeSet<u64>,
    stored: BTreeSet<u64>,
    /// `None` for the opening store, by which a new owner stores the newest value under its epoch.
    write: Option<WaitingWrite>,
    sent_at: Option<Micros>,
    started_at: Micros,
    urgent: bool,
}

impl StoreAttempt {
    /// The entry for one disk: a disk that may hold the value is sent its digest only.
    fn entry(&self, key: &str, epoch: &Epoch, disk: u64) -> StoreEntry {
        let is_sent_whole = self.digest == 0 || self.lacking.contains(&disk);
        StoreEntry {
            key: key.into(),
            epoch: epoch.clone(),
            attempt: self.number,
            version: self.version,
            digest: if is_sent_whole { 0 } else { self.digest },
            value: if is_sent_whole { self.value.clone() } else { Bytes::default() },
        }
    }
}

#[derive(Clone, Debug, Hash)]
enum KeyState {
    Acquiring { promised: BTreeSet<u64>, newest: (Epoch, u64, Bytes), sent_at: Option<Micros> },
    Owned { version: u64, value: Bytes, attempt: Option<StoreAttempt> },
}

#[derive(Clone, Debug, Hash)]
struct OwnedKey {
    epoch: Epoch,
    state: KeyState,
    queue: VecDeque<WaitingWrite>,
    started_at: Micros,
    /// The owner's change number when the record last changed; zero before the record is known to be stored
    /// on a majority.
    changed_at: u64,
    /// The same for the last change that was more than a renewal.
    replaced_at: u64,
}

/// How often keys were acquired and lost, for metrics. Example: `owner.counts().deposed`.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnerCounts {
    /// Acquisitions begun.
    pub acquired: u64,
    /// Keys lost because a disk had promised a higher epoch.
    pub deposed: u64,
    /// Keys given up because no quorum of the disks responded in time.
    pub abandoned: u64,
}

/// States that differ only in their counts are the same state to the model checker.
impl Hash for OwnerCounts {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

/// The keys that one node owns. Example: `KeyOwner::new(7)` owns nothing until the first request.
#[derive(Clone, Debug, Hash)]
pub struct KeyOwner {
    own: NodeId,
    highest_counter: u64,
    attempt_count: u64,
    keys: BTreeMap<String, OwnedKey>,
    set: ChosenSet,
    responses: Vec<OwnerAction>,
    group_due: Option<Micros>,
    /// Rises with each change of an owned record, and never falls during the lifetime of this process.
    change_count: u64,
    key_sets: VecDeque<(u64, Arc<[Text]>)>,
    counts: OwnerCounts,
}

impl KeyOwner {
    /// An owner without keys. Example: `KeyOwner::new(7).owned_count() == 0`.
    pub fn new(own: NodeId) -> KeyOwner {
        KeyOwner {
            own,
            highest_counter: 0,
            attempt_count: 0,
            keys: BTreeMap::new(),
            set: ChosenSet::default(),
            responses: Vec::new(),
            group_due: None,
            change_count: 0,
            key_sets: VecDeque::new(),
            counts: OwnerCounts::default(),
        }
    }

    /// How often keys were acquired and lost. Example: `owner.counts().acquired == 0` at the start.
    pub fn counts(&self) -> OwnerCounts {
        self.counts
    }

    /// Sets the voter set; a newer one makes every key start again under a higher epoch.
    /// Example: `owner.adopt_set(registers.chosen())`.
    pub fn adopt_set(&mut self, known_set: &ChosenSet) {
        if known_set.generation <= self.set.generation {
            return;
        }
        self.set = known_set.clone();
        let owned_keys: Vec<String> = self.keys.keys().cloned().collect();
        for key in owned_keys {
            self.release(&key);
        }
    }

    /// The number of keys owned or being acquired. Example: `owner.owned_count()` in a status page.
    pub fn owned_count(&self) -> usize {
        self.keys.len()
    }

    /// Releases all keys that `keeps` refuses, for the handover to another node with a disk.
    /// Example: `owner.retain_keys(|key| choice(key) == own)`.
    pub fn retain_keys(&mut self, keeps: impl Fn(&str) -> bool) {
        let released_keys: Vec<String> = self.keys.keys().filter(|key| !keeps(key)).cloned().collect();
        for key in released_keys {
            self.release(&key);
        }
    }

    /// Handles a conditional write; acquires the key first if necessary.
    /// Example: `owner.write(requester, entry, now); for action in owner.flush(now) { .. }`.
    pub fn write(&mut self, node: NodeId, entry: WriteEntry, now: Micros) {
        self.enqueue(
            WaitingWrite { node, entry, is_read: false, known_digest: 0, has_reacquired: false },
            now,
        );
    }

    /// Reads a key, confirmed by a majority.
    /// Example: `owner.read_confirmed(requester, 1, "configuration".into(), now)`.
    pub fn read_confirmed(&mut self, node: NodeId, request_id: u64, key: Text, now: Micros) {
        self.confirm(node, request_id, key, 0, now);
    }

    /// Like [`KeyOwner::read_confirmed`], for a requester that has a value of this digest: if that is the
    /// current value, it is not sent.
    /// Example: `owner.confirm(requester, 1, key, value_digest(&known), now)`.
    pub fn confirm(&mut self, node: NodeId, request_id: u64, key: Text, known_digest: u64, now: Micros) {
        let entry = WriteEntry { request_id, key, expected: 0, value: Bytes::default(), urgent: 1 };
        self.enqueue(WaitingWrite { node, entry, is_read: true, known_digest, has_reacquired: false }, now);
    }

    fn enqueue(&mut self, write: WaitingWrite, now: Micros) {
        let (node, entry) = (write.node, &write.entry);
        let key = entry.key.0.clone();
        self.acquire(&key, now);
        let Some(owned_key) = self.keys.get_mut(&key) else {
            self.respond(node, entry, NOT_OWNER, 0, Bytes::default());
            return;
        };
        if owned_key.queue.len() >= WAITING_LIMIT {
            self.respond(node, entry, NOT_OWNER, 0, Bytes::default());
            return;
        }
        owned_key.queue.push_back(write);
        self.next_attempt(&key, now);
    }

    /// Starts to acquire a key. Example: a poll for a key without an owner calls `owner.acquire(key, now)`.
    pub fn acquire(&mut self, key: &str, now: Micros) {
        if self.keys.contains_key(key) || self.set.generation == 0 || self.keys.len() >= KEYS_LIMIT {
            return;
        }
        self.highest_counter += 1;
        self.counts.acquired += 1;
        let owned_key = OwnedKey {
            epoch: Epoch { counter: self.highest_counter, owner: self.own },
            state: KeyState::Acquiring {
                promised: BTreeSet::new(),
                newest: (Epoch::none(), 0, Bytes::default()),
                sent_at: None,
            },
            queue: VecDeque::new(),
            started_at: now,
            changed_at: 0,
            replaced_at: 0,
        };
        self.keys.insert(key.to_owned(), owned_key);
    }

    /// Whether a key is owned or being acquired. Example: `owner.has("disks")`.
    pub fn has(&self, key: &str) -> bool {
        self.keys.contains_key(key)
    }

    /// Responds to a follower's poll with what changed of owned keys since its last poll. Polled keys that
    /// this node should own are acquired. A list of keys is sent once and named by its digest from then on;
    /// `None` requests the list.
    /// Example: `owner.poll(keys_digest(&keys), 0, &keys, |_| true, now)`.
    pub fn poll(
        &mut self,
        keys_digest: u64,
        since: u64,
        received_keys: &[Text],
        is_to_own: impl Fn(&str) -> bool,
        now: Micros,
    ) -> Option<PollResponse> {
        let polled_keys = self.key_set(keys_digest, received_keys)?;
        let mut response =
            PollResponse { change: self.change_count, records: Vec::new(), renewed: Vec::new() };
        for (index, polled_key) in polled_keys.iter().enumerate() {
            let Some(owned_key) = self.keys.get(&polled_key.0) else {
                if is_to_own(&polled_key.0) {
                    self.acquire(&polled_key.0, now);
                }
                continue;
            };
            let KeyState::Owned { version, value, attempt } = &owned_key.state else { continue };
            // Until the opening store is on a majority, the value that was read may still be lost.
            let is_opening = attempt.as_ref().is_some_and(|open_attempt| open_attempt.write.is_none());
            if is_opening || owned_key.changed_at <= since {
                continue;
            }
            match owned_key.replaced_at > since {
                true => response.records.push(PolledRecord {
                    key: polled_key.clone(),
                    version: *version,
                    value: value.clone(),
                }),
                false => response.renewed.push(RenewedRecord { index: index as u16, version: *version }),
            }
        }
        Some(response)
    }

    fn key_set(&mut self, digest: u64, received_keys: &[Text]) -> Option<Arc<[Text]>> {
        if let Some((_, known_keys)) = self.key_sets.iter().find(|(known_digest, _)| *known_digest == digest)
        {
            return Some(known_keys.clone());
        }
        if received_keys.is_empty()
            || received_keys.len() > KEYS_LIMIT
            || keys_digest(received_keys) != digest
        {
            return None;
        }
        let key_set: Arc<[Text]> = received_keys.into();
        self.key_sets.push_back((digest, key_set.clone()));
        if self.key_sets.len() > KEY_SETS_LIMIT {
            self.key_sets.pop_front();
        }
        Some(key_set)
    }

    /// Handles a disk's promises. Example: `owner.promised(disk, entries, now)`.
    pub fn promised(&mut self, disk: u64, entries: List<PromisedEntry>, now: Micros) {
        for entry in entries.0 {
            let key = entry.key.0;
            self.highest_counter = self.highest_counter.max(entry.promised.counter);
            let Some(owned_key) = self.keys.get_mut(&key) else { continue };
            let KeyState::Acquiring { promised, newest, .. } = &mut owned_key.state else { continue };
            if entry.granted == 0 {
                if entry.promised.rank() > owned_key.epoch.rank() {
                    self.counts.deposed += 1;
                    self.reacquire(&key, now);
                }
                continue;
            }
            if entry.promised != owned_key.epoch {
                continue;
            }
            if (entry.stored_epoch.rank(), entry.version) > (newest.0.rank(), newest.1) {
                *newest = (entry.stored_epoch, entry.version, entry.value);
            }
            promised.insert(disk);
            if !self.set.quorum(promised) {
                continue;
            }
            let (_, mut version, mut value) = std::mem::replace(newest, (Epoch::none(), 0, Bytes::default()));
            if key == DISKS_KEY && version < self.set.generation {
                // The set in force is chosen, so it is the current value even if no register holds it, as
                // after the bootstrap.
                (version, value) = (self.set.generation, self.set.encode());
            }
            self.attempt_count += 1;
            let number = self.attempt_count;
            let opening_attempt = (version > 0).then(|| StoreAttempt {
                number,
                version,
                digest: large_digest(&value),
                value: value.clone(),
                lacking: BTreeSet::new(),
                stored: BTreeSet::new(),
                write: None,
                sent_at: None,
                started_at: now,
                urgent: true,
            });
            if opening_attempt.is_none() {
                self.change_count += 1;
                (owned_key.changed_at, owned_key.replaced_at) = (self.change_count, self.change_count);
            }
            owned_key.state = KeyState::Owned { version, value, attempt: opening_attempt };
            self.next_attempt(&key, now);
        }
    }

    /// Handles a disk's responses to stores. Example: `owner.stored(disk, entries, now)`.
    pub fn stored(&mut self, disk: u64, entries: List<StoredEntry>, now: Micros) {
        for entry in entries.0 {
            let key = entry.key.0;
            self.highest_counter = self.highest_counter.max(entry.promised.counter);
            let Some(owned_key) = self.keys.get_mut(&key) else { continue };
            if entry.epoch != owned_key.epoch {
                continue;
            }
            let KeyState::Owned { version, value, attempt } = &mut owned_key.state else { continue };
            if entry.granted == VALUE_MISSING && entry.version == *version {
                // The value is sent even if a majority has it already, so that the disk catches up.
                if let Some(open_attempt) = attempt.as_mut().filter(|open| open.number == entry.attempt) {
                    open_attempt.lacking.insert(disk);
                }
                let whole_entry = StoreEntry {
                    key: key.as_str().into(),
                    epoch: owned_key.epoch.clone(),
                    attempt: entry.attempt,
                    version: *version,
                    digest: 0,
                    value: value.clone(),
                };
                let (fleet_set, entries) = (self.set.digest(), List(vec![whole_entry]));
                self.responses.push(OwnerAction::Store { disk, fleet_set, entries });
            }
            if entry.granted == VALUE_MISSING {
                continue;
            }
            let Some(open_attempt) = attempt else { continue };
            if entry.granted == 0 {
                if entry.promised.rank() > owned_key.epoch.rank() {
                    self.counts.deposed += 1;
                    self.release(&key);
                }
                continue;
            }
            if open_attempt.number != entry.attempt {
                continue;
            }
            open_attempt.stored.insert(disk);
            if !self.set.quorum(&open_attempt.stored) {
                continue;
            }
            let is_opening = open_attempt.write.is_none();
            if is_opening || *version != open_attempt.version {
                self.change_count += 1;
                owned_key.changed_at = self.change_count;
                if is_opening || !is_renewal(value, &open_attempt.value) {
                    owned_key.replaced_at = self.change_count;
                }
            }
            *version = open_attempt.version;
            *value = std::mem::take(&mut open_attempt.value);
            let finished_write = attempt.take().and_then(|done_attempt| done_attempt.write);
            let (done_version, done_value) = (*version, value.clone());
            let is_newer_set = key == DISKS_KEY && done_version > self.set.generation;
            let chosen_set = is_newer_set.then(|| ChosenSet::received(&done_value)).flatten();
            if let Some(write) = finished_write {
                let is_known = write.known_digest != 0 && value_digest(&done_value.0) == write.known_digest;
                let (outcome, response_value) = match (write.is_read, is_known) {
                    (true, true) => (AS_KNOWN, Bytes::default()),
                    (true, false) => (WRITTEN, done_value),
                    (false, _) => (WRITTEN, Bytes::default()),
                };
                self.respond(write.node, &write.entry, outcome, done_version, response_value);
            }
            match chosen_set {
                Some(chosen_set) => self.apply_chosen(chosen_set),
                None => self.next_attempt(&key, now),
            }
        }
    }

    /// A quorum stored a voter set, which is thereby chosen: nothing more is done under the previous set.
    fn apply_chosen(&mut self, chosen_set: ChosenSet) {
        self.responses.push(OwnerAction::Chosen(chosen_set.clone()));
        self.adopt_set(&chosen_set);
    }

    /// Starts the next waiting write of a key whose condition holds, and responds to those whose condition
    /// fails.
    fn next_attempt(&mut self, key: &str, now: Micros) {
        while let Some(owned_key) = self.keys.get_mut(key) {
            let KeyState::Owned { version, value, attempt: attempt @ None } = &mut owned_key.state else {
                return;
            };
            let Some(mut write) = owned_key.queue.pop_front() else { return };
            if !write.is_read && write.entry.expected > *version && !write.has_reacquired {
                // The requester has seen a newer version: this node was deposed without noticing, perhaps
                // while it was suspended. It stops responding from memory and reacquires the key.
                write.has_reacquired = true;
                owned_key.queue.push_front(write);
                self.reacquire(key, now);
                return;
            }
            let urgent = write.entry.urgent == 1;
            let is_foreign_set = key == DISKS_KEY && !is_next_set(&self.set, *version, &write.entry.value);
            if !write.is_read && (write.entry.expected != *version || is_foreign_set) {
                let (current_version, current_value) = (*version, value.clone());
                self.respond(write.node, &write.entry, DIFFERS, current_version, current_value);
                continue;
            }
            let (attempt_version, attempt_value) = match write.is_read {
                true => (*version, value.clone()),
                false => (*version + 1, write.entry.value.clone()),
            };
            self.attempt_count += 1;
            *attempt = Some(StoreAttempt {
                number: self.attempt_count,
                version: attempt_version,
                digest: if write.is_read { large_digest(&attempt_value) } else { 0 },
                value: attempt_value,
                lacking: BTreeSet::new(),
                stored: BTreeSet::new(),
                write: Some(write),
                sent_at: None,
                started_at: now,
                urgent,
            });
            return;
        }
    }

    /// Returns everything to send now: promises and stores grouped by disk, and responses. Urgent writes are
    /// sent at once together with the waiting group; renewals alone wait for `GROUP_DELAY`.
    /// Example: `for action in owner.flush(now) { carry(action) }`.
    pub fn flush(&mut self, now: Micros) -> Vec<OwnerAction> {
        self.expire_waiting(now);
        // The interval grows with each repeat, because repeats to overloaded disks would add to their load.
        let resend_due = |sent_at: Option<Micros>, started_at: Micros| {
            sent_at.is_none_or(|sent| now >= sent + RESEND_AFTER.max(sent - started_at))
        };
        let mut urgent_count = 0;
        let mut deferrable_count = 0;
        for owned_key in self.keys.values() {
            match &owned_key.state {
                KeyState::Acquiring { sent_at, .. } if resend_due(*sent_at, owned_key.started_at) => {
                    urgent_count += 1
                }
                KeyState::Owned { attempt: Some(open_attempt), .. }
                    if resend_due(open_attempt.sent_at, open_attempt.started_at) =>
                {
                    match open_attempt.urgent || open_attempt.sent_at.is_some() {
                        true => urgent_count += 1,
                        false => deferrable_count += 1,
                    }
                }
                _ => {}
            }
        }
        let group_due = deferrable_count > 0 && *self.group_due.get_or_insert(now + GROUP_DELAY) <= now;
        if urgent_count == 0 && !group_due {
            return std::mem::take(&mut self.responses);
        }
        self.group_due = None;
        let mut promise_groups: BTreeMap<u64, Vec<PromiseEntry>> = BTreeMap::new();
        let mut store_groups: BTreeMap<u64, Vec<StoreEntry>> = BTreeMap::new();
        let voters = self.set.all();
        for (key, owned_key) in &mut self.keys {
            match &mut owned_key.state {
                KeyState::Acquiring { promised, sent_at, .. }
                    if resend_due(*sent_at, owned_key.started_at) =>
                {
                    *sent_at = Some(now);
                    for disk in voters.difference(promised) {
                        let entry = PromiseEntry { key: key.as_str().into(), epoch: owned_key.epoch.clone() };
                        promise_groups.entry(*disk).or_default().push(entry);
                    }
                }
                KeyState::Owned { attempt: Some(open_attempt), .. }
                    if resend_due(open_attempt.sent_at, open_attempt.started_at) =>
                {
                    open_attempt.sent_at = Some(now);
                    for disk in voters.difference(&open_attempt.stored) {
                        let entry = open_attempt.entry(key, &owned_key.epoch, *disk);
                        store_groups.entry(*disk).or_default().push(entry);
                    }
                }
                _ => {}
            }
        }
        let fleet_set = self.set.digest();
        let mut actions = std::mem::take(&mut self.responses);
        actions.extend(promise_groups.into_iter().map(|(disk, entries)| OwnerAction::Promise {
            disk,
            fleet_set,
            entries: List(entries),
        }));
        actions.extend(store_groups.into_iter().map(|(disk, entries)| OwnerAction::Store {
            disk,
            fleet_set,
            entries: List(entries),
        }));
        actions
    }

    /// Releases keys whose requests waited too long: the outcome of a write in flight is unknown, the others
    /// were not executed.
    fn expire_waiting(&mut self, now: Micros) {
        let stuck_keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, owned_key)| match &owned_key.state {
                KeyState::Acquiring { .. } => now >= owned_key.started_at + ABANDON_AFTER,
                KeyState::Owned { attempt: Some(open_attempt), .. } => {
                    now >= open_attempt.started_at + ABANDON_AFTER
                }
                KeyState::Owned { .. } => false,
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in stuck_keys {
            self.counts.abandoned += 1;
            self.release(&key);
        }
    }

    fn reacquire(&mut self, key: &str, now: Micros) {
        let queue = self.keys.remove(key).map(|owned_key| owned_key.queue).unwrap_or_default();
        self.acquire(key, now);
        if let Some(owned_key) = self.keys.get_mut(key) {
            owned_key.queue = queue;
        }
    }

    fn release(&mut self, key: &str) {
        let Some(released_key) = self.keys.remove(key) else { return };
        if let KeyState::Owned { attempt: Some(StoreAttempt { write: Some(write), .. }), .. } =
            released_key.state
        {
            self.respond(write.node, &write.entry, UNKNOWN, 0, Bytes::default());
        }
        for write in released_key.queue {
            self.respond(write.node, &write.entry, NOT_OWNER, 0, Bytes::default());
        }
    }

    fn respond(&mut self, node: NodeId, entry: &WriteEntry, outcome: u8, version: u64, value: Bytes) {
        let write_outcome =
            WriteOutcome { request_id: entry.request_id, key: entry.key.clone(), outcome, version, value };
        self.responses.push(OwnerAction::Response { node, outcome: write_outcome });
    }
}

/// Whether a value may be written to the key of the voter set: it must be the generation after the set in
/// force, on top of that set. So there is at most one write for a generation under each epoch, and an owner
/// that finds it stored completes it.
fn is_next_set(set: &VoterSet, current_version: u64, value: &Bytes) -> bool {
    let is_successor = VoterSet::decode(value).is_some_and(|next_set| next_set.is_successor_of(set));
    current_version == set.generation && is_successor
}

fn large_digest(value: &Bytes) -> u64 {
    if value.0.len() < DIGEST_MIN_BYTES { 0 } else { value_digest(&value.0) }
}

/// Whether a leader record was only renewed: nothing but the count of renewals differs.
fn is_renewal(before: &Bytes, after: &Bytes) -> bool {
    let (Some(before), Some(after)) = (LeaderRecord::decode(before), LeaderRecord::decode(after)) else {
        return false;
    };
    LeaderRecord { renew_count: after.renew_count, ..before } == after
}
