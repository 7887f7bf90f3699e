//! The messages between vanelane's processes: one macro declares all of them, `deku` encodes them, and each
//! is sent in a frame with a length and a checksum.
//!
//! A foreign, damaged or oversized frame results in a [`FrameError`], never in a panic.

mod delivery;
mod parts;

use deku::prelude::*;
pub use delivery::Priority;
pub use parts::{Address, Bytes, List, Text};
use std::borrow::Cow;

#[cfg(target_endian = "big")]
compile_error!("messages are encoded in native byte order, which must be little-endian");

/// A node's identity. Each process chooses a new one at its start, so a restarted node is not mistaken for
/// its previous incarnation.
/// Example: `let own: NodeId = 7;`.
pub type NodeId = u64;

/// Limit of a frame's payload in bytes, large enough for a configuration of several megabytes.
pub const FRAME_LIMIT: usize = 16 * 1024 * 1024;

/// Bytes before a frame's payload: magic number, length, checksum.
pub const FRAME_HEAD: usize = 12;

const FRAME_MAGIC: u32 = 0x314C_4E56; // "VNL1"
/// Magic number of a frame whose payload is compressed (LZ4, preceded by the uncompressed length).
const PACKED_MAGIC: u32 = 0x5A4C_4E56; // "VNLZ"
/// Payloads from this size on are compressed if that makes them smaller.
const PACK_MIN_BYTES: usize = 256;
/// The highest compression ratio of LZ4: a stated length beyond this is invalid.
const PACKED_RATIO: usize = 255;

/// The role in which a node is requested for a permit: the values of the field `fallback` of `PermitRequest`.
pub mod permit_request {
    /// As the function's leader.
    pub const AS_LEADER: u8 = 0;
    /// As its fallback: the leader did not respond.
    pub const AS_FALLBACK: u8 = 1;
    /// As its fallback, which may relay the request: the requester cannot reach the leader.
    pub const AS_RELAY: u8 = 2;
}

/// Declares the parts of messages and the enum of all messages, with the same derives for all.
macro_rules! messages {
    (
        parts { $($(#[$part_note:meta])* $part:ident { $($(#[$part_field_note:meta])* $part_field:ident: $part_type:ty,)* })* }
        messages { $($(#[$note:meta])* $id:literal $name:ident as $text:literal { $($field:ident: $type:ty,)* })* }
    ) => {
        $($(#[$part_note])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
        pub struct $part { $($(#[$part_field_note])* pub $part_field: $part_type,)* })*

        /// Every message between peers. Example: `Message::Probe { sequence: 1, .. }`.
        #[derive(Clone, Debug, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
        #[deku(id_type = "u8")]
        #[allow(missing_docs)]
        pub enum Message { $($(#[$note])* #[deku(id = $id)] $name { $($field: $type,)* },)* }

        impl Message {
            /// The message's name in logs and counters. Example: `message.name() == "Probe"`.
            pub fn name(&self) -> &'static str {
                match self { $(Message::$name { .. } => $text,)* }
            }
        }
    };
}

messages! {
    parts {
        /// The state of one member; `state`: 0 alive, 1 suspected, 2 gone.
        MemberUpdate {
            node: NodeId,
            address: Address,
            zone: Text,
            incarnation: u64,
            state: u8,
            /// Zero if the member has no disk.
            disk: u64,
            /// 0 no disk, 1 blank, 2 voting.
            disk_state: u8,
            /// 1 while the member is draining: it accepts no new work.
            draining: u8,
            /// Processor capacity of the member's machine, in thousandths of a core.
            processor: u32,
        }
        /// The fencing epoch of a key's owner: compared by counter, then by owner.
        Epoch { counter: u64, owner: NodeId, }
        PromiseEntry { key: Text, epoch: Epoch, }
        /// If `granted` is 0, `promised` is the higher epoch that was promised before.
        PromisedEntry { key: Text, granted: u8, promised: Epoch, stored_epoch: Epoch, version: u64, value: Bytes, }
        /// `attempt` distinguishes stores of the same version, so that a late response to an earlier one
        /// never counts for a later one. A nonzero `digest` replaces the value, which the disk is expected to
        /// hold under this version.
        StoreEntry { key: Text, epoch: Epoch, attempt: u64, version: u64, digest: u64, value: Bytes, }
        /// `granted`: 0 refused, 1 stored, 2 the disk does not hold the value of the entry's digest.
        StoredEntry { key: Text, epoch: Epoch, attempt: u64, version: u64, granted: u8, promised: Epoch, }
        PolledRecord { key: Text, version: u64, value: Bytes, }
        /// A record that was only renewed since the requester's last poll; `index` is its position among the
        /// polled keys.
        RenewedRecord { index: u16, version: u64, }
        /// `urgent` 1 requests an immediate flush; renewals are sent in groups.
        WriteEntry { request_id: u64, key: Text, expected: u64, value: Bytes, urgent: u8, }
        /// A confirmed read of one of several keys; `digest` is that of the requester's value, zero for none.
        ReadEntry { request_id: u64, key: Text, digest: u64, }
        /// `outcome`: 0 written, 1 version differs (`value` is the current one), 2 not owner, 3 no majority,
        /// 4 the current value has the requester's digest, 5 the current value is large and the requester
        /// lacks it: the responding node provides it by gossip.
        WriteOutcome { request_id: u64, key: Text, outcome: u8, version: u64, value: Bytes, }
        /// The leader record of the election paper, with a leader epoch.
        LeaderRecord { holder: NodeId, renew_count: u64, lease_micros: u64, leader_epoch: u64, }
        /// The right to one dispatch to one instance.
        Permit { id: u64, granted_by: NodeId, leader_epoch: u64, function: Text, instance: Text, address: Address, }
        HeldPermit { permit: Permit, ends_in_micros: u64, }
        /// A permit that is in use when its leader transfers the term; `is_over` 1 if the requester is
        /// done with it but the instance may still be executing the call.
        TransferredPermit { requester: NodeId, held: HeldPermit, is_over: u8, }
        /// A leader's measurements of a function's calls, loads and rates in thousandths.
        /// `called_for_micros`: time since the first call, zero without calls. `instances_kept`: the number
        /// of instances that it keeps now.
        TransferredDemand {
            load_fast: u32,
            load_slow: u32,
            rate: u32,
            rate_fast: u32,
            called_for_micros: u64,
            instances_kept: u32,
            usual_latency_micros: u64,
            boot_micros: u64,
        }
        HeldPermitsRequestEntry { function: Text, leader_epoch: u64, }
        HeldPermitsResponseEntry { function: Text, leader_epoch: u64, permits: List<HeldPermit>, }
        GossipItem { topic: Text, origin: NodeId, sequence: u64, body: Bytes, }
        GossipVersion { topic: Text, sequence: u64, }
        /// The version of a large body, which is sent on request only, with its publisher and its size.
        LargeBodyVersion { topic: Text, sequence: u64, origin: NodeId, bytes: u32, }
        /// A range copied from the base, followed by inserted bytes.
        DeltaStep { from: u32, length: u32, insert: Bytes, }
        /// The change from the body of one sequence to that of another; `digest` is that of the new body.
        /// `meaning` is the publisher's description of the change for readers of the topic, empty for none.
        BodyChange { base: u64, sequence: u64, digest: u64, steps: List<DeltaStep>, meaning: Bytes, }
        /// The digest of the topics in one bucket.
        BucketDigest { bucket: u8, digest: u64, }
        /// A function's demand: megabytes that its calls need (`memory_mb`), that keep a called function warm
        /// (`warm_mb`) and that a function without calls wants (`spare_mb`); starts per second in
        /// thousandths.
        DemandEntry { function: Text, memory_mb: u32, warm_mb: u32, spare_mb: u32, milli_starts: u32, }
        /// The demand of the functions that a node leads, published by gossip.
        DemandUpdate { entries: List<DemandEntry>, }
        ReadyInstanceEntry { instance: Text, address: Address, }
        /// The instances that a leader knows to be running, published by gossip for the fallbacks.
        ReadyInstancesUpdate { instances: List<ReadyInstanceEntry>, }
        /// An instance of the platform's list, from the node that requested the list.
        InstanceEntry { instance: Text, function: Text, worker: Text, address: Address, memory_mb: u64, draining: u8, started: u8, }
        /// A worker of the platform's list; `free_mb` is valid if `reports_free` is 1.
        WorkerEntry { worker: Text, memory_mb: u64, reports_free: u8, free_mb: u64, draining: u8, zone: Text, }
        DecisionLine { node: NodeId, sequence: u64, line: Text, }
        /// The number of a tenant's calls that instances began to execute.
        TenantCount { tenant: Text, count: u32, }
        /// The counts by tenant of one usage window.
        UsageWindow { window: u64, counts: List<TenantCount>, }
        CursorPosition { node: NodeId, sequence: u64, }
    }
    messages {
        "1" Probe as "Probe" { sequence: u64, target: NodeId, members: List<MemberUpdate>, }
        "2" ProbeResponse as "ProbeAnswer" { sequence: u64, members: List<MemberUpdate>, }
        "3" ProbeFor as "ProbeFor" { sequence: u64, target: NodeId, target_address: Address, }
        /// In a large fleet probes carry only changes; a peer with a different digest is sent the full list.
        "4" MembersDigest as "MembersDigest" { digest: u64, }
        "5" MembersResponse as "MembersTold" { is_requested: u8, members: List<MemberUpdate>, }
        "10" Promise as "Promise" { fleet_set: u64, entries: List<PromiseEntry>, }
        "11" Promised as "Promised" { disk: u64, entries: List<PromisedEntry>, }
        "12" Store as "Store" { fleet_set: u64, entries: List<StoreEntry>, }
        "13" Stored as "Stored" { disk: u64, entries: List<StoredEntry>, }
        "14" Bootstrap as "Found" { set: u64, disks: List<u64>, }
        "15" BootstrapResponse as "FoundAnswer" { set: u64, disk: u64, accepted: u8, }
        /// Requests the keys that a disk knows, for the copying under a joint set; the disk responds once it
        /// refuses owners under the previous set.
        "16" KeysRequest as "KeysAsk" { fleet_set: u64, }
        "17" KeysResponse as "KeysTold" { fleet_set: u64, disk: u64, keys: List<Text>, }
        /// From the seed that bootstraps a fleet whose seeds have no disk, to each other seed: record these disks
        /// as the first voter set unless a proposal is recorded already. Without disks it only asks.
        "18" BootstrapProposal as "FoundProposal" { disks: List<u64>, }
        /// The proposal that the sender recorded; empty if none.
        "19" BootstrapRecorded as "FoundRecorded" { disks: List<u64>, }
        /// Requests what changed since the owner's change number. The keys are identified by their digest,
        /// and listed only if the owner does not know the digest.
        "20" RecordsPoll as "RecordsPoll" { keys_digest: u64, since: u64, keys: List<Text>, }
        /// `known` 0 requests the keys of the digest, 2 means that the sender owns no keys. Records that are not
        /// in the response are unchanged.
        "21" RecordsPolled as "RecordsPolled" { keys_digest: u64, known: u8, change: u64, records: List<PolledRecord>, renewed: List<RenewedRecord>, }
        "22" Write as "Write" { entries: List<WriteEntry>, }
        "23" WriteResponse as "WriteAnswer" { outcomes: List<WriteOutcome>, }
        /// `digest` is that of the requester's value, zero for none.
        "24" ReadConfirmed as "ReadConfirmed" { request_id: u64, key: Text, digest: u64, }
        /// An operator's change (JSON) on its way to the node that owns the configuration's key.
        "25" ChangeForward as "ChangeCarry" { request_id: u64, change: Bytes, }
        /// Its outcome (JSON) on the way back.
        "26" ChangeSettled as "ChangeSettled" { request_id: u64, outcome: Bytes, }
        /// Confirmed reads of several keys with one owner, which stores them again together.
        "27" ReadsConfirmed as "ReadsConfirmed" { entries: List<ReadEntry>, }
        /// Requests from the zone's relay which of all leader records changed since its change number; the
        /// digest is that of the configured functions.
        "28" RelayPoll as "RelayPoll" { keys_digest: u64, since: u64, }
        /// `relays` 0: the responding node does not relay, or has other functions configured; the owners are
        /// to be polled. `silent` lists owners that do not respond to the relay's own polls.
        "29" RelayPolled as "RelayPolled" {
            keys_digest: u64,
            relays: u8,
            change: u64,
            records: List<PolledRecord>,
            renewed: List<RenewedRecord>,
            silent: List<NodeId>,
        }
        /// `dispatches`: earlier dispatches of the call. `fallback`: a value of `permit_request`.
        /// `target_left_micros`: time until the response exceeds the route's target latency, all ones if the
        /// route has no target. `rank`: the tenant's rank, then the route's. `tenant`: [`tenant_hash`], zero for
        /// none.
        "30" PermitRequest as "TicketAsk" {
            request_id: u64,
            function: Text,
            time_left_micros: u64,
            dispatches: u8,
            avoid: Text,
            fallback: u8,
            target_left_micros: u64,
            rank: u16,
            nested: u8,
            tenant: u32,
        }
        "31" PermitGranted as "TicketGranted" { request_id: u64, permit: Permit, }
        /// `outcome`: 0 waiting, 1 refused finally, 2 not the leader.
        "32" PermitDeferred as "TicketHeldBack" { request_id: u64, outcome: u8, reason: Text, retry_after_millis: u64, }
        /// `outcome`: 0 ran, 1 not run, 2 refused by the busy instance, 3 unknown, 4 unused, 5 abandoned.
        "33" PermitReturn as "TicketReturn" { permit: Permit, outcome: u8, latency_micros: u64, }
        "34" PermitWithdraw as "TicketWithdraw" { request_id: u64, function: Text, }
        /// A new leader requests the permits that are held for its functions.
        "35" HeldPermitsRequest as "HeldAsk" { functions: List<HeldPermitsRequestEntry>, }
        "36" HeldPermitsResponse as "HeldAnswer" { functions: List<HeldPermitsResponseEntry>, }
        /// The sender led the function under the epoch of this record and transferred its term to the
        /// receiver, which the record at this version names as the holder. `is_complete` 1 if the list has all
        /// permits in use.
        "37" TermTransferred as "TermHandedOver" {
            function: Text,
            version: u64,
            record: LeaderRecord,
            is_complete: u8,
            permits: List<TransferredPermit>,
            demand: TransferredDemand,
        }
        "40" Gossip as "News" { items: List<GossipItem>, }
        "41" GossipDigest as "NewsDigest" { digests: List<BucketDigest>, }
        /// The lists contain every topic that the sender has in `full_buckets`.
        "42" GossipVersions as "NewsMarks" { full_buckets: List<u8>, versions: List<GossipVersion>, large: List<LargeBodyVersion>, }
        /// The requested topics, each with the sequence that the requester has, zero for none.
        "43" GossipRequest as "NewsAsk" { known: List<GossipVersion>, }
        /// The changes of a large body since the requester's sequence, in order.
        "44" GossipBodyChanges as "NewsChanges" { topic: Text, origin: NodeId, changes: List<BodyChange>, }
        /// Requests the changes of the platform's list since the lister's sequence; zero for the full list.
        "60" ListRequest as "ListAsk" { since: u64, }
        /// `base` 0: the full list. The age is the time since the lister's request to the platform. The
        /// workers are unchanged unless `has_workers` is 1.
        "61" ListResponse as "ListTold" { failed: u8, base: u64, sequence: u64, age_micros: u64, has_workers: u8, workers: List<WorkerEntry>, instances: List<InstanceEntry>, gone: List<Text>, }
        /// The changes of the reporter's counts (those of the sender, or of a process that is gone) after the
        /// sequence `since` up to `sequence`; each count is the total of its window so far. `wall_micros` is
        /// the sender's wall clock, zero if it has none yet; `clock_micros` is the fleet's clock as the
        /// sender uses it, up to which its counts are complete.
        "70" UsageUpdate as "UsageTold" { reporter: NodeId, since: u64, sequence: u64, wall_micros: u64, clock_micros: u64, windows: List<UsageWindow>, }
        /// The sequence up to which the counts are stored. A collector adds the lowest undecided window and
        /// the fleet's clock; both are zero if the sender is not a collector or does not know them.
        "71" UsageAck as "UsageHeard" { sequence: u64, next_window: u64, clock_micros: u64, holder: NodeId, fence: u64, }
        "50" DecisionsRequest as "DecisionsAsk" { request_id: u64, after: List<CursorPosition>, limit: u32, }
        "51" DecisionsResponse as "DecisionsAnswer" { request_id: u64, lines: List<DecisionLine>, }
    }
}

impl Epoch {
    /// The order of epochs: the higher rank wins. Example: `low.rank() < high.rank()`.
    pub fn rank(&self) -> (u64, NodeId) {
        (self.counter, self.owner)
    }

    /// The epoch below all others. Example: `Epoch::none().rank() == (0, 0)`.
    pub fn none() -> Epoch {
        Epoch { counter: 0, owner: 0 }
    }
}

impl LeaderRecord {
    /// The record as a register value. Example: `LeaderRecord::decode(&record.encode()) == Some(record)`.
    pub fn encode(&self) -> Bytes {
        Bytes(self.to_bytes().unwrap_or_default())
    }

    /// Decodes a register value; `None` for empty or foreign bytes.
    /// Example: `LeaderRecord::decode(&Bytes::default()) == None`.
    pub fn decode(record_bytes: &Bytes) -> Option<LeaderRecord> {
        LeaderRecord::from_bytes((&record_bytes.0, 0)).ok().map(|(_, leader_record)| leader_record)
    }
}

/// A message with its sender and the fleet it belongs to.
///
/// Example: `Envelope { fleet: fleet_id("blue"), from: 7, message }`.
#[derive(Clone, Debug, PartialEq, DekuRead, DekuWrite)]
pub struct Envelope {
    /// Hash of the fleet's name: messages of other fleets are dropped.
    pub fleet: u64,
    /// The sender.
    pub from: NodeId,
    /// The address at which the sender listens.
    pub from_address: Address,
    /// The receiving process; zero for any process that listens at the address. A process must not mistake a
    /// message to its previous incarnation for a response to itself.
    pub to: NodeId,
    /// The message.
    pub message: Message,
}

/// Why a frame was dropped. Example: `FrameError::Checksum`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The frame does not start with one of vanelane's magic numbers.
    Foreign,
    /// The frame is longer than [`FRAME_LIMIT`].
    TooLong,
    /// The payload does not match its checksum.
    Checksum,
    /// The payload is not a valid message.
    Malformed,
}

/// The hash of a fleet's name, which distinguishes fleets. Example: `fleet_id("blue") != fleet_id("green")`.
pub fn fleet_id(fleet_name: &str) -> u64 {
    stable_hash(fleet_name.as_bytes())
}

/// A hash that is the same in every process (FNV-1a with a final mix), for rendezvous and digests.
///
/// Example: `stable_hash(b"a") == stable_hash(b"a")`.
pub fn stable_hash(hashed_bytes: &[u8]) -> u64 {
    let mut running_hash = 0xcbf2_9ce4_8422_2325u64;
    for byte in hashed_bytes {
        running_hash = (running_hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    mix(running_hash)
}

/// The hash that identifies a tenant between nodes, never zero.
/// Example: `tenant_hash("a") != tenant_hash("b")`.
pub fn tenant_hash(tenant: &str) -> u32 {
    (stable_hash(tenant.as_bytes()) >> 32).max(1) as u32
}

/// The digest of a value, the same in every process and never zero. It is computed over 8-byte words, so that
/// large values are cheap to digest. Example: `value_digest(b"a") != value_digest(b"b")`.
pub fn value_digest(value_bytes: &[u8]) -> u64 {
    let (words, rest) = value_bytes.as_chunks::<8>();
    let mut last_word = [0; 8];
    last_word[..rest.len()].copy_from_slice(rest);
    let digest = words.iter().chain([&last_word]).fold(value_bytes.len() as u64, |digest, word| {
        let mixed = (digest ^ u64::from_le_bytes(*word)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed ^ (mixed >> 32)
    });
    mix(digest).max(1)
}

const PROCESS_BITS: u32 = 24;

/// A process's id: a hash of the address at which peers reach it, and random bits that distinguish it from
/// previous processes at that address. Example: `node_id(own_address, fastrand::u64(..))`.
pub fn node_id(address: Address, random: u64) -> NodeId {
    let address_hash = stable_hash(address.socket().to_string().as_bytes()) >> PROCESS_BITS;
    (address_hash << PROCESS_BITS) | (random & ((1 << PROCESS_BITS) - 1)).max(1)
}

/// Whether `other` was a process at the address of `own` before it. Two processes never run at one address,
/// so it has certainly ended.
/// Example: `is_previous_incarnation(own, own) == false`.
pub fn is_previous_incarnation(own: NodeId, other: NodeId) -> bool {
    own != other && own >> PROCESS_BITS == other >> PROCESS_BITS && own >> PROCESS_BITS != 0
}

/// The rendezvous hash of one node for one name: the node with the highest weight is chosen.
///
/// Example: `nodes.max_by_key(|node| rendezvous_weight("proof", *node))`.
pub fn rendezvous_weight(name: &str, node: u64) -> u64 {
    mix(stable_hash(name.as_bytes()) ^ mix(node))
}

fn mix(mixed_value: u64) -> u64 {
    let mut value = mixed_value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

impl Envelope {
    /// The frame to send; `None` if its payload would exceed [`FRAME_LIMIT`].
    ///
    /// Example: `decode_frame(&envelope.frame().unwrap()).unwrap() == envelope`.
    pub fn frame(&self) -> Option<Vec<u8>> {
        let payload_bytes = self.to_bytes().ok()?;
        if payload_bytes.len() > FRAME_LIMIT {
            return None;
        }
        let packed_bytes = match payload_bytes.len() >= PACK_MIN_BYTES {
            true => Some(lz4_flex::block::compress_prepend_size(&payload_bytes)),
            false => None,
        };
        let packed_bytes = packed_bytes.filter(|packed| packed.len() < payload_bytes.len());
        let (frame_magic, carried_bytes) = match packed_bytes {
            Some(packed_bytes) => (PACKED_MAGIC, packed_bytes),
            None => (FRAME_MAGIC, payload_bytes),
        };
        let mut frame_bytes = Vec::with_capacity(FRAME_HEAD + carried_bytes.len());
        frame_bytes.extend_from_slice(&frame_magic.to_le_bytes());
        frame_bytes.extend_from_slice(&(carried_bytes.len() as u32).to_le_bytes());
        frame_bytes.extend_from_slice(&crc32fast::hash(&carried_bytes).to_le_bytes());
        frame_bytes.extend_from_slice(&carried_bytes);
        Some(frame_bytes)
    }
}

/// The payload length stated in a frame's head. Example: `frame_length(&frame[..12]) == Ok(n)`.
pub fn frame_length(head_bytes: &[u8; FRAME_HEAD]) -> Result<usize, FrameError> {
    if head_bytes[0..4] != FRAME_MAGIC.to_le_bytes() && !is_packed(head_bytes) {
        return Err(FrameError::Foreign);
    }
    let payload_length =
        u32::from_le_bytes([head_bytes[4], head_bytes[5], head_bytes[6], head_bytes[7]]) as usize;
    if payload_length > FRAME_LIMIT {
        return Err(FrameError::TooLong);
    }
    Ok(payload_length)
}

fn is_packed(head_bytes: &[u8; FRAME_HEAD]) -> bool {
    head_bytes[0..4] == PACKED_MAGIC.to_le_bytes()
}

fn unpack(packed_bytes: &[u8]) -> Option<Cow<'_, [u8]>> {
    let (length_bytes, block_bytes) = packed_bytes.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length_bytes) as usize;
    if length > FRAME_LIMIT || length > block_bytes.len().saturating_mul(PACKED_RATIO) {
        return None;
    }
    lz4_flex::block::decompress(block_bytes, length).ok().map(Cow::Owned)
}

/// Decodes a payload and checks it against its frame head.
/// Example: `decode_payload(&head, &payload)?.message`.
pub fn decode_payload(head_bytes: &[u8; FRAME_HEAD], payload_bytes: &[u8]) -> Result<Envelope, FrameError> {
    let expected_checksum = [head_bytes[8], head_bytes[9], head_bytes[10], head_bytes[11]];
    if crc32fast::hash(payload_bytes).to_le_bytes() != expected_checksum {
        return Err(FrameError::Checksum);
    }
    let unpacked_bytes = match is_packed(head_bytes) {
        true => unpack(payload_bytes).ok_or(FrameError::Malformed)?,
        false => Cow::Borrowed(payload_bytes),
    };
    match Envelope::from_bytes((&unpacked_bytes, 0)) {
        Ok((([], _), envelope)) => Ok(envelope),
        _ => Err(FrameError::Malformed),
    }
}

/// Decodes one whole frame. Example: `decode_frame(b"GET / HTTP/1.1") == Err(FrameError::Foreign)`.
pub fn decode_frame(frame_bytes: &[u8]) -> Result<Envelope, FrameError> {
    let Some((head_bytes, payload_bytes)) = frame_bytes.split_first_chunk::<FRAME_HEAD>() else {
        return Err(FrameError::Malformed);
    };
    if frame_length(head_bytes)? != payload_bytes.len() {
        return Err(FrameError::Malformed);
    }
    decode_payload(head_bytes, payload_bytes)
}

#[cfg(test)]
mod tests;
