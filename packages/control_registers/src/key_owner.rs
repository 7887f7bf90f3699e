use crate::disk_registers::LACKS;
use crate::{ChosenSet, DISKS_KEY, VoterSet};
use monotonic_clock::Micros;
use peer_messages::{
    Bytes, Epoch, LeaderRecord, List, NodeId, PolledRecord, PromiseEntry, PromisedEntry, RenewedRecord,
    StoreEntry, StoredEntry, Text, WriteEntry, WriteOutcome, stable_hash, value_digest,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// The write was stored on a majority.
pub const WRITTEN: u8 = 0;
/// The expected version does not stand; the outcome carries what does.
pub const DIFFERS: u8 = 1;
/// This node does not own the key.
pub const NOT_OWNER: u8 = 2;
/// No majority answered: the write may or may not stand.
pub const UNKNOWN: u8 = 3;
/// A confirmed read: what stands has the digest that the asker told, so the value is left out.
pub const AS_KNOWN: u8 = 4;

const RESEND_AFTER: Micros = Micros::from_millis(250);
const ABANDON_AFTER: Micros = Micros::from_millis(2_000);
const WAITING_LIMIT: usize = 64;
/// Four thousand functions may be configured; more keys than this are nobody's mistake but a fault.
const KEYS_LIMIT: usize = 16_384;
/// Shorter values are stored whole; of longer ones a disk that has them is told the digest.
const DIGEST_FROM: usize = 1_024;
const GROUP_AFTER: Micros = Micros::from_millis(200);
/// Sets of polled keys that are remembered by their mark: askers with one view share one.
const KEY_SETS_LIMIT: usize = 16;

/// The mark of a set of polled keys. Example: `keys_digest(&keys) != keys_digest(&other_keys)`.
pub fn keys_digest(keys: &[Text]) -> u64 {
    keys.iter().fold(keys.len() as u64, |keys_digest, key| {
        stable_hash(&[keys_digest.to_le_bytes(), stable_hash(key.0.as_bytes()).to_le_bytes()].concat())
    })
}

/// What changed for an asker since its last poll. Example: `owner.poll(keys_digest, since, &[], now)?.change`.
#[derive(Clone, Debug, PartialEq)]
pub struct PollResponse {
    /// The change number to ask from next time.
    pub change: u64,
    /// Records that changed otherwise than by renewal.
    pub records: Vec<PolledRecord>,
    /// Records that were only renewed, by their place among the keys.
    pub renewed: Vec<RenewedRecord>,
}

/// What the owner wants done.
#[derive(Clone, Debug, PartialEq, Hash)]
pub enum OwnerAction {
    /// Ask these disks for promises.
    Promise { disk: u64, fleet_set: u64, entries: List<PromiseEntry> },
    /// Ask these disks to store.
    Store { disk: u64, fleet_set: u64, entries: List<StoreEntry> },
    /// A newer voter set is chosen: to be gone by and told. The owner itself goes by it already.
    Chosen(ChosenSet),
    /// Answer the node that asked.
    Response { node: NodeId, outcome: WriteOutcome },
}

#[derive(Clone, Debug, Hash)]
struct WaitingWrite {
    node: NodeId,
    entry: WriteEntry,
    /// A confirmed read stores what stands and answers with it.
    confirms: bool,
    /// The digest of the value that a reader has, zero for none.
    known_digest: u64,
    /// The key was acquired anew on account of this write.
    has_renewed: bool,
}

#[derive(Clone, Debug, Hash)]
struct StoreAttempt {
    number: u64,
    version: u64,
    value: Bytes,
    /// The digest of a large value that was read from disks; zero where the value is new or small.
    digest: u64,
    /// Disks that were told the digest and do not hold the value.
    lacking: BTreeSet<u64>,
    stored: BTreeSet<u64>,
    /// `None` for the store that opens an ownership.
    write: Option<WaitingWrite>,
    sent_at: Option<Micros>,
    begun_at: Micros,
    urgent: bool,
}

impl StoreAttempt {
    /// What one disk is told: a disk that may hold the value is told its digest alone.
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
    begun_at: Micros,
    /// The owner's change number when the record last changed, and when it last did otherwise than by
    /// a renewal; zero before the record is known to stand.
    changed_at: u64,
    anew_at: u64,
}

/// The keys one node owns. Example: `KeyOwner::new(7)` owns nothing until it is asked.
#[derive(Clone, Debug, Hash)]
pub struct KeyOwner {
    own: NodeId,
    highest_counter: u64,
    attempt_count: u64,
    keys: BTreeMap<String, OwnedKey>,
    set: ChosenSet,
    responses: Vec<OwnerAction>,
    group_due: Option<Micros>,
    /// Rises with each change of a record that stands here, and never falls in this process's life.
    change_count: u64,
    key_sets: VecDeque<(u64, Arc<[Text]>)>,
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
        }
    }

    /// Tells which disks vote; a newer set makes every key start over under a higher epoch.
    /// Example: `owner.adopt_set(registers.chosen())`.
    pub fn adopt_set(&mut self, known_set: &ChosenSet) {
        if known_set.generation <= self.set.generation {
            return;
        }
        self.set = known_set.clone();
        let owned_keys: Vec<String> = self.keys.keys().cloned().collect();
        for key in owned_keys {
            self.lose(&key);
        }
    }

    /// Keys held or being acquired. Example: `owner.owned_count()` in a status page.
    pub fn owned_count(&self) -> usize {
        self.keys.len()
    }

    /// Lets go of all keys that `keeps` refuses: the hand-over to another disk node.
    /// Example: `owner.retain_keys(|key| choice(key) == own)`.
    pub fn retain_keys(&mut self, keeps: impl Fn(&str) -> bool) {
        let lost_keys: Vec<String> = self.keys.keys().filter(|key| !keeps(key)).cloned().collect();
        for key in lost_keys {
            self.lose(&key);
        }
    }

    /// Takes a conditional write, acquiring the key first if need be.
    /// Example: `owner.write(requester, entry, now); for action in owner.flush(now) { .. }`.
    pub fn write(&mut self, node: NodeId, entry: WriteEntry, now: Micros) {
        self.wait(WaitingWrite { node, entry, confirms: false, known_digest: 0, has_renewed: false }, now);
    }

    /// Reads a key in a way that is confirmed by a majority.
    /// Example: `owner.read_confirmed(requester, 1, "configuration".into(), now)`.
    pub fn read_confirmed(&mut self, node: NodeId, request_id: u64, key: Text, now: Micros) {
        self.confirm(node, request_id, key, 0, now);
    }

    /// As [`KeyOwner::read_confirmed`] for an asker that has a value of this digest: if that one stands
    /// it is not sent. Example: `owner.confirm(requester, 1, key, value_digest(&known), now)`.
    pub fn confirm(&mut self, node: NodeId, request_id: u64, key: Text, known_digest: u64, now: Micros) {
        let entry = WriteEntry { request_id, key, expected: 0, value: Bytes::default(), urgent: 1 };
        self.wait(WaitingWrite { node, entry, confirms: true, known_digest, has_renewed: false }, now);
    }

    fn wait(&mut self, write: WaitingWrite, now: Micros) {
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

    /// Starts to own a key. Example: a poll for a key nobody owns calls `owner.acquire(key, now)`.
    pub fn acquire(&mut self, key: &str, now: Micros) {
        if self.keys.contains_key(key) || self.set.generation == 0 || self.keys.len() >= KEYS_LIMIT {
            return;
        }
        self.highest_counter += 1;
        let owned_key = OwnedKey {
            epoch: Epoch { counter: self.highest_counter, owner: self.own },
            state: KeyState::Acquiring {
                promised: BTreeSet::new(),
                newest: (Epoch::none(), 0, Bytes::default()),
                sent_at: None,
            },
            queue: VecDeque::new(),
            begun_at: now,
            changed_at: 0,
            anew_at: 0,
        };
        self.keys.insert(key.to_owned(), owned_key);
    }

    /// Whether a key is owned or being acquired. Example: `owner.has("disks")`.
    pub fn has(&self, key: &str) -> bool {
        self.keys.contains_key(key)
    }

    /// What changed of owned keys since the asker's last poll, as followers poll them; others begin to be
    /// acquired where this node is to own them. A set of keys is told once and named by its mark from then on; `None` asks
    /// for the set. Example: `owner.poll(keys_digest(&keys), 0, &keys, |_| true, now)`.
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
        for (place, polled_key) in polled_keys.iter().enumerate() {
            let Some(owned_key) = self.keys.get(&polled_key.0) else {
                if is_to_own(&polled_key.0) {
                    self.acquire(&polled_key.0, now);
                }
                continue;
            };
            let KeyState::Owned { version, value, attempt } = &owned_key.state else { continue };
            // Before the opening store stands on a majority, what was read may still be lost.
            let is_opening = attempt.as_ref().is_some_and(|open_attempt| open_attempt.write.is_none());
            if is_opening || owned_key.changed_at <= since {
                continue;
            }
            match owned_key.anew_at > since {
                true => response.records.push(PolledRecord {
                    key: polled_key.clone(),
                    version: *version,
                    value: value.clone(),
                }),
                false => response.renewed.push(RenewedRecord { place: place as u16, version: *version }),
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

    /// Takes a disk's promises. Example: `owner.promised(disk, entries, now)`.
    pub fn promised(&mut self, disk: u64, entries: List<PromisedEntry>, now: Micros) {
        for entry in entries.0 {
            let key = entry.key.0;
            self.highest_counter = self.highest_counter.max(entry.promised.counter);
            let Some(owned_key) = self.keys.get_mut(&key) else { continue };
            let KeyState::Acquiring { promised, newest, .. } = &mut owned_key.state else { continue };
            if entry.granted == 0 {
                if entry.promised.rank() > owned_key.epoch.rank() {
                    self.restart(&key, now);
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
                // The set in force is chosen, so it stands, also where no register holds it: the founding.
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
                begun_at: now,
                urgent: true,
            });
            if opening_attempt.is_none() {
                self.change_count += 1;
                (owned_key.changed_at, owned_key.anew_at) = (self.change_count, self.change_count);
            }
            owned_key.state = KeyState::Owned { version, value, attempt: opening_attempt };
            self.next_attempt(&key, now);
        }
    }

    /// Takes a disk's stores. Example: `owner.stored(disk, entries, now)`.
    pub fn stored(&mut self, disk: u64, entries: List<StoredEntry>, now: Micros) {
        for entry in entries.0 {
            let key = entry.key.0;
            self.highest_counter = self.highest_counter.max(entry.promised.counter);
            let Some(owned_key) = self.keys.get_mut(&key) else { continue };
            if entry.epoch != owned_key.epoch {
                continue;
            }
            let KeyState::Owned { version, value, attempt } = &mut owned_key.state else { continue };
            if entry.granted == LACKS && entry.version == *version {
                // Also when a majority has it already: the disk catches up.
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
            if entry.granted == LACKS {
                continue;
            }
            let Some(open_attempt) = attempt else { continue };
            if entry.granted == 0 {
                if entry.promised.rank() > owned_key.epoch.rank() {
                    self.lose(&key);
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
                    owned_key.anew_at = self.change_count;
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
                let (outcome, answered_value) = match (write.confirms, is_known) {
                    (true, true) => (AS_KNOWN, Bytes::default()),
                    (true, false) => (WRITTEN, done_value),
                    (false, _) => (WRITTEN, Bytes::default()),
                };
                self.respond(write.node, &write.entry, outcome, done_version, answered_value);
            }
            match chosen_set {
                Some(chosen_set) => self.choose(chosen_set),
                None => self.next_attempt(&key, now),
            }
        }
    }

    /// The quorum that stored a voter set has made it the chosen one: nothing more is done under the set
    /// before it.
    fn choose(&mut self, chosen_set: ChosenSet) {
        self.responses.push(OwnerAction::Chosen(chosen_set.clone()));
        self.adopt_set(&chosen_set);
    }

    /// Puts the next fitting write of a key in flight and answers those whose condition fails.
    fn next_attempt(&mut self, key: &str, now: Micros) {
        while let Some(owned_key) = self.keys.get_mut(key) {
            let KeyState::Owned { version, value, attempt: attempt @ None } = &mut owned_key.state else {
                return;
            };
            let Some(mut write) = owned_key.queue.pop_front() else { return };
            if !write.confirms && write.entry.expected > *version && !write.has_renewed {
                // The asker has seen a newer version: this node was deposed without noticing, perhaps
                // in a sleep. It answers nothing more from memory and acquires the key anew.
                write.has_renewed = true;
                owned_key.queue.push_front(write);
                self.restart(key, now);
                return;
            }
            let urgent = write.entry.urgent == 1;
            let is_foreign_set = key == DISKS_KEY && !follows(&self.set, *version, &write.entry.value);
            if !write.confirms && (write.entry.expected != *version || is_foreign_set) {
                let (standing_version, standing_value) = (*version, value.clone());
                self.respond(write.node, &write.entry, DIFFERS, standing_version, standing_value);
                continue;
            }
            let (attempt_version, attempt_value) = match write.confirms {
                true => (*version, value.clone()),
                false => (*version + 1, write.entry.value.clone()),
            };
            self.attempt_count += 1;
            *attempt = Some(StoreAttempt {
                number: self.attempt_count,
                version: attempt_version,
                digest: if write.confirms { large_digest(&attempt_value) } else { 0 },
                value: attempt_value,
                lacking: BTreeSet::new(),
                stored: BTreeSet::new(),
                write: Some(write),
                sent_at: None,
                begun_at: now,
                urgent,
            });
            return;
        }
    }

    /// Everything to send now: promises and stores grouped by disk, and answers. Hasty writes leave
    /// at once and take the waiting group along; renewals alone wait a little for company.
    /// Example: `for action in owner.flush(now) { carry(action) }`.
    pub fn flush(&mut self, now: Micros) -> Vec<OwnerAction> {
        self.expire_waiting(now);
        // Each time later: what is unanswered because the disks are behind must not put them further behind.
        let resend_due = |sent_at: Option<Micros>, begun_at: Micros| {
            sent_at.is_none_or(|sent| now >= sent + RESEND_AFTER.max(sent - begun_at))
        };
        let mut urgent_count = 0;
        let mut deferrable_count = 0;
        for owned_key in self.keys.values() {
            match &owned_key.state {
                KeyState::Acquiring { sent_at, .. } if resend_due(*sent_at, owned_key.begun_at) => {
                    urgent_count += 1
                }
                KeyState::Owned { attempt: Some(open_attempt), .. }
                    if resend_due(open_attempt.sent_at, open_attempt.begun_at) =>
                {
                    match open_attempt.urgent || open_attempt.sent_at.is_some() {
                        true => urgent_count += 1,
                        false => deferrable_count += 1,
                    }
                }
                _ => {}
            }
        }
        let group_due = deferrable_count > 0 && *self.group_due.get_or_insert(now + GROUP_AFTER) <= now;
        if urgent_count == 0 && !group_due {
            return std::mem::take(&mut self.responses);
        }
        self.group_due = None;
        let mut promise_groups: BTreeMap<u64, Vec<PromiseEntry>> = BTreeMap::new();
        let mut store_groups: BTreeMap<u64, Vec<StoreEntry>> = BTreeMap::new();
        let voters = self.set.all();
        for (key, owned_key) in &mut self.keys {
            match &mut owned_key.state {
                KeyState::Acquiring { promised, sent_at, .. } if resend_due(*sent_at, owned_key.begun_at) => {
                    *sent_at = Some(now);
                    for disk in voters.difference(promised) {
                        let entry = PromiseEntry { key: key.as_str().into(), epoch: owned_key.epoch.clone() };
                        promise_groups.entry(*disk).or_default().push(entry);
                    }
                }
                KeyState::Owned { attempt: Some(open_attempt), .. }
                    if resend_due(open_attempt.sent_at, open_attempt.begun_at) =>
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

    /// Answers what waited too long: writes in flight are of unknown fate, the others did not happen.
    fn expire_waiting(&mut self, now: Micros) {
        let stuck_keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, owned_key)| match &owned_key.state {
                KeyState::Acquiring { .. } => now >= owned_key.begun_at + ABANDON_AFTER,
                KeyState::Owned { attempt: Some(open_attempt), .. } => {
                    now >= open_attempt.begun_at + ABANDON_AFTER
                }
                KeyState::Owned { .. } => false,
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in stuck_keys {
            self.lose(&key);
        }
    }

    fn restart(&mut self, key: &str, now: Micros) {
        let queue = self.keys.remove(key).map(|owned_key| owned_key.queue).unwrap_or_default();
        self.acquire(key, now);
        if let Some(owned_key) = self.keys.get_mut(key) {
            owned_key.queue = queue;
        }
    }

    fn lose(&mut self, key: &str) {
        let Some(lost_key) = self.keys.remove(key) else { return };
        if let KeyState::Owned { attempt: Some(StoreAttempt { write: Some(write), .. }), .. } = lost_key.state
        {
            self.respond(write.node, &write.entry, UNKNOWN, 0, Bytes::default());
        }
        for write in lost_key.queue {
            self.respond(write.node, &write.entry, NOT_OWNER, 0, Bytes::default());
        }
    }

    fn respond(&mut self, node: NodeId, entry: &WriteEntry, outcome: u8, version: u64, value: Bytes) {
        let write_outcome =
            WriteOutcome { request_id: entry.request_id, key: entry.key.clone(), outcome, version, value };
        self.responses.push(OwnerAction::Response { node, outcome: write_outcome });
    }
}

/// Whether a value of the voter set's key may be written: the next generation after the set in force, on
/// top of that very set. So there is one write at most for a generation under each epoch, and whoever
/// finds it standing finishes it.
fn follows(set: &VoterSet, standing_version: u64, value: &Bytes) -> bool {
    let is_successor = VoterSet::decode(value).is_some_and(|next_set| next_set.is_successor_of(set));
    standing_version == set.generation && is_successor
}

fn large_digest(value: &Bytes) -> u64 {
    if value.0.len() < DIGEST_FROM { 0 } else { value_digest(&value.0) }
}

/// Whether a leader record was only renewed: everything but the count of renewals stands.
fn is_renewal(before: &Bytes, after: &Bytes) -> bool {
    let (Some(before), Some(after)) = (LeaderRecord::decode(before), LeaderRecord::decode(after)) else {
        return false;
    };
    LeaderRecord { renew_count: after.renew_count, ..before } == after
}
