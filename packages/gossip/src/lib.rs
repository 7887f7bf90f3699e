//! Gossip: updates spread by rumours to a few random nodes, and digests repair what rumours missed.
//!
//! Topics are hashed into buckets. A digest lists the hashes of some buckets, and versions are sent only for
//! buckets that differ. The few fleet-wide topics (without a slash in their names) have a bucket of their
//! own, which every digest lists.
//!
//! An item is a topic with a rising sequence and a body. Small bodies are sent with the rumour. For a large
//! body (a configuration) the rumour contains only its version; a node that lacks it requests the body and
//! states which version it has, and gets the changes since then if they are known. The request goes first to
//! the node that published the body, which certainly has it, and then to other nodes that announce it.
//!
//! If zones have relays ([`Neighbours`]), an item crosses each zone border once: rumours and digests stay
//! inside the zone, the zone's first relay forwards items of its zone to one relay of each other zone, and
//! relays compare digests across borders. Fleet-wide topics, which are few and must arrive, are also sent to
//! random nodes of other zones.

mod body_delta;
mod neighbours;

use body_delta::{delta, patched};
use fastrand::Rng;
use monotonic_clock::{Micros, Ticker};
pub use neighbours::Neighbours;
use peer_messages::{
    BodyChange, BucketDigest, Bytes, FRAME_LIMIT, GossipItem, GossipVersion, LargeBodyVersion, List, Message,
    NodeId, stable_hash, value_digest,
};
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const TOPIC_LIMIT: usize = 4_096;
const SMALL_BODY_BYTES: usize = 16 * 1024;
const FANOUT: usize = 3;
const ROUNDS: u32 = 3;
const ITEMS_PER_MESSAGE: usize = 256;
/// In larger fleets each node sends a rumour fewer times: the first rounds reach nearly all nodes.
const SMALL_FLEET: usize = 16;
const LARGE_FLEET_FANOUT: usize = 2;
const LARGE_FLEET_ROUNDS: u32 = 2;
/// One bucket holds the fleet-wide topics, the others share the rest.
const BUCKETS: usize = 33;
const FLEET_BUCKET: usize = 0;
/// With more topics than this, digests list some buckets in turn: in a busy fleet nearly all buckets differ
/// at any moment, and their versions would be most of the traffic.
const FULL_DIGEST_TOPICS: usize = 256;
const BUCKETS_PER_DIGEST: usize = 4;
/// One in so many digests goes to another zone: from a relay to a relay, from other nodes for the fleet-wide
/// topics only.
const REMOTE_DIGEST_EVERY: u64 = 4;
/// One in so many digests that other nodes send to another zone covers all topics, which repairs what no
/// relay forwarded.
const REMOTE_FULL_DIGEST_EVERY: u64 = 10;
/// Limit of announced newer sequences of a large body whose announcement time is kept.
const ANNOUNCED_LIMIT: usize = 64;
/// Limit of remembered changes of a large body, kept for nodes that have an older version.
const CHANGES_LIMIT: usize = 32;

#[derive(Debug)]
struct TopicState {
    item: GossipItem,
    rounds_left: u32,
    bucket: usize,
    /// The latest changes of a large body, newest last.
    changes: VecDeque<BodyChange>,
}

/// A requested large body: it is not requested again before it can have arrived.
#[derive(Debug)]
struct Awaited {
    sequence: u64,
    until: Micros,
}

/// A newer sequence of a large topic that a peer announced, and the time of the first announcement.
#[derive(Debug)]
struct Announced {
    sequence: u64,
    since: Micros,
}

/// A message to send and its recipient.
pub type GossipSend = (NodeId, Message);

/// The gossip state of one node. Example: `Gossip::new(7)`.
#[derive(Debug)]
pub struct Gossip {
    topics: BTreeMap<String, TopicState>,
    digests: [u64; BUCKETS],
    next_bucket: usize,
    /// How often a rumour is sent, by the size of the fleet.
    rounds: u32,
    rumour_event: Ticker,
    digest_event: Ticker,
    rng: Rng,
    now: Micros,
    /// The rate of this machine's link in bytes per second, if known.
    link_rate: Option<f64>,
    awaited: BTreeMap<String, Awaited>,
    announced: BTreeMap<String, VecDeque<Announced>>,
    own: Option<NodeId>,
    neighbours: Neighbours,
    /// The nodes whose items this node forwards to other zones if it is the zone's first relay.
    zone_members: BTreeSet<NodeId>,
    peers: BTreeSet<NodeId>,
    digest_count: u64,
}

impl Gossip {
    /// A node without items. Example: `Gossip::new(7).sequence("configuration") == 0`.
    pub fn new(random_seed: u64) -> Gossip {
        Gossip {
            topics: BTreeMap::new(),
            digests: [0; BUCKETS],
            next_bucket: 0,
            rounds: ROUNDS,
            rumour_event: Ticker::every(Micros::from_millis(100)),
            digest_event: Ticker::every(Micros::from_millis(250)),
            rng: Rng::with_seed(random_seed),
            now: Micros(0),
            link_rate: None,
            awaited: BTreeMap::new(),
            announced: BTreeMap::new(),
            own: None,
            neighbours: Neighbours::default(),
            zone_members: BTreeSet::new(),
            peers: BTreeSet::new(),
            digest_count: 0,
        }
    }

    /// Sets the peers, whenever they change. Example: `gossip.set_neighbours(own, neighbours)`.
    pub fn set_neighbours(&mut self, own: NodeId, neighbours: Neighbours) {
        self.own = Some(own);
        self.zone_members = neighbours.zone_members(self.own);
        self.peers = neighbours.all().into_iter().collect();
        self.rounds = if neighbours.count() <= SMALL_FLEET { ROUNDS } else { LARGE_FLEET_ROUNDS };
        self.neighbours = neighbours;
    }

    /// Sets the rate of this machine's link: a large body is not requested again before it can have arrived
    /// at this rate.
    /// Example: `gossip.set_link_rate(250_000.0)`.
    pub fn set_link_rate(&mut self, bytes_per_second: f64) {
        self.link_rate = Some(bytes_per_second);
    }

    /// The newest sequence known of a topic, zero for none. Example: `gossip.sequence("disks")`.
    pub fn sequence(&self, topic: &str) -> u64 {
        self.topics.get(topic).map_or(0, |topic_state| topic_state.item.sequence)
    }

    /// The newest body known of a topic. Example: `gossip.body("configuration")`.
    pub fn body(&self, topic: &str) -> Option<&Bytes> {
        self.topics.get(topic).map(|topic_state| &topic_state.item.body)
    }

    /// Publishes an own item or accepts one from elsewhere; returns false for a sequence that is not newer.
    /// Example: `gossip.publish("configuration", own, 4, body) == true` the first time.
    pub fn publish(&mut self, topic: &str, origin: NodeId, sequence: u64, body: Bytes) -> bool {
        let item = GossipItem { topic: topic.into(), origin, sequence, body };
        self.accept_item(item)
    }

    /// Publishes an own item of a large topic with the meaning of its change since the last one: peers that
    /// have the last one get both.
    /// Example: `gossip.publish_changed("configuration", own, 5, body, meaning)`.
    pub fn publish_changed(
        &mut self,
        topic: &str,
        origin: NodeId,
        sequence: u64,
        body: Bytes,
        meaning: Bytes,
    ) -> bool {
        let item = GossipItem { topic: topic.into(), origin, sequence, body };
        let change = self.change_to(&item).map(|change| BodyChange { meaning, ..change });
        self.accept_changed_item(item, change.into_iter().collect())
    }

    fn accept_item(&mut self, item: GossipItem) -> bool {
        let change = self.change_to(&item);
        self.accept_changed_item(item, change.into_iter().collect())
    }

    fn change_to(&self, item: &GossipItem) -> Option<BodyChange> {
        self.topics.get(&item.topic.0).and_then(|topic_state| change_between(&topic_state.item, item))
    }

    /// The publishers' descriptions (`BodyChange::meaning`) of the changes of a topic since a sequence; `None`
    /// if some change since then is unknown here or has no description.
    /// Example: `gossip.change_descriptions_since("configuration", 4)`.
    pub fn change_descriptions_since(&self, topic: &str, sequence: u64) -> Option<Vec<Bytes>> {
        let changes = self.topics.get(topic)?.changes_since(sequence)?;
        let meanings = changes.into_iter().map(|change| change.meaning);
        meanings.map(|meaning| (!meaning.0.is_empty()).then_some(meaning)).collect()
    }

    /// Accepts an item whose body results from the known one by these changes.
    fn accept_changed_item(&mut self, item: GossipItem, changes: Vec<BodyChange>) -> bool {
        let topic = item.topic.0.clone();
        if item.sequence <= self.sequence(&topic) {
            return false;
        }
        if !self.topics.contains_key(&topic) && self.topics.len() >= TOPIC_LIMIT {
            return false;
        }
        let bucket = bucket_of(&topic);
        self.digests[bucket] ^= version_hash(&topic, item.sequence);
        self.awaited.remove(&topic);
        if let Some(announced) = self.announced.get_mut(&topic) {
            announced.retain(|received| received.sequence > item.sequence);
        }
        let changes: VecDeque<BodyChange> = changes.into();
        let topic_state = TopicState { item, rounds_left: self.rounds, bucket, changes };
        if let Some(mut previous) = self.topics.insert(topic.clone(), topic_state) {
            self.digests[bucket] ^= version_hash(&previous.item.topic.0, previous.item.sequence);
            if let Some(topic_state) =
                self.topics.get_mut(&topic).filter(|topic_state| !topic_state.changes.is_empty())
            {
                previous.changes.append(&mut topic_state.changes);
                let surplus_count = previous.changes.len().saturating_sub(CHANGES_LIMIT);
                previous.changes.drain(..surplus_count);
                topic_state.changes = previous.changes;
            }
        }
        true
    }

    /// Drops topics, such as those of a removed function or node.
    /// Example: `gossip.forget(|topic| topic == "demand/7")`.
    pub fn forget(&mut self, is_forgotten: impl Fn(&str) -> bool) {
        let digests = &mut self.digests;
        self.topics.retain(|topic, topic_state| {
            let is_kept = !is_forgotten(topic);
            if !is_kept {
                digests[topic_state.bucket] ^= version_hash(topic, topic_state.item.sequence);
            }
            is_kept
        });
    }

    /// The items whose topics start with a prefix. Example: `gossip.topics("demand/")`.
    pub fn topics<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a GossipItem> {
        self.topics
            .range(prefix.to_owned()..)
            .take_while(move |(topic, _)| topic.starts_with(prefix))
            .map(|(_, topic_state)| &topic_state.item)
    }

    /// Sends rumours and digests that are due. Example: `for (node, message) in gossip.tick(now) { .. }`.
    pub fn tick(&mut self, now: Micros) -> Vec<GossipSend> {
        let mut sends = Vec::new();
        self.now = now;
        if self.peers.is_empty() {
            return sends;
        }
        if self.rumour_event.due(now) {
            self.send_rumours(&mut sends);
        }
        if self.digest_event.due(now) {
            self.send_digests(&mut sends);
        }
        sends
    }

    /// Sends a digest to a peer of the own zone, and at times to one of another zone.
    fn send_digests(&mut self, sends: &mut Vec<GossipSend>) {
        self.digest_count += 1;
        if let Some(local) = self.rng.choice(self.neighbours.local.iter().copied()) {
            sends.push((local, Message::GossipDigest { digests: self.next_digests() }));
        }
        if self.neighbours.remote.is_empty() || !self.digest_count.is_multiple_of(REMOTE_DIGEST_EVERY) {
            return;
        }
        let remote_digest_count = self.digest_count / REMOTE_DIGEST_EVERY;
        let is_full_digest_due = remote_digest_count.is_multiple_of(REMOTE_FULL_DIGEST_EVERY);
        let digests = match self.is_relay() || is_full_digest_due {
            true => self.next_digests(),
            false => List(vec![self.digest_of(FLEET_BUCKET)]),
        };
        if let Some(remote) = self.remote_partner() {
            sends.push((remote, Message::GossipDigest { digests }));
        }
    }

    /// The node of another zone to compare digests with: a relay for relays, any node for others.
    fn remote_partner(&mut self) -> Option<NodeId> {
        let relays: Vec<NodeId> = self.neighbours.remote_relays.iter().flatten().copied().collect();
        match self.is_relay() && !relays.is_empty() {
            true => self.rng.choice(relays),
            false => self.rng.choice(self.neighbours.remote.iter().copied()),
        }
    }

    fn is_relay(&self) -> bool {
        self.own.is_some_and(|own| self.neighbours.own_relays.contains(&own))
    }

    fn is_first_relay(&self) -> bool {
        self.own.is_some() && self.neighbours.own_relays.first().copied() == self.own
    }

    fn digest_of(&self, bucket: usize) -> BucketDigest {
        BucketDigest { bucket: bucket as u8, digest: self.digests[bucket] }
    }

    fn next_digests(&mut self) -> List<BucketDigest> {
        let shared_buckets = BUCKETS - 1;
        let count = if self.topics.len() <= FULL_DIGEST_TOPICS { shared_buckets } else { BUCKETS_PER_DIGEST };
        let first = self.next_bucket;
        self.next_bucket = (first + count) % shared_buckets;
        let listed = (first..first + count).map(|index| 1 + index % shared_buckets);
        std::iter::once(FLEET_BUCKET).chain(listed).map(|bucket| self.digest_of(bucket)).collect()
    }

    fn send_rumours(&mut self, sends: &mut Vec<GossipSend>) {
        let is_first_relay = self.is_first_relay();
        let mut items = Vec::new();
        let mut zone_items = Vec::new();
        let mut large = Vec::new();
        for topic_state in self.topics.values_mut().filter(|topic_state| topic_state.rounds_left > 0) {
            if items.len() + large.len() >= ITEMS_PER_MESSAGE {
                break;
            }
            let is_first_round = topic_state.rounds_left == self.rounds;
            topic_state.rounds_left -= 1;
            if is_large(&topic_state.item) {
                large.push(large_body_version(&topic_state.item));
                continue;
            }
            // Items of this zone are forwarded once to each other zone; items of other zones are not
            // forwarded.
            if is_first_relay && is_first_round && self.zone_members.contains(&topic_state.item.origin) {
                zone_items.push(topic_state.item.clone());
            }
            items.push(topic_state.item.clone());
        }
        let fanout = if self.neighbours.count() <= SMALL_FLEET { FANOUT } else { LARGE_FLEET_FANOUT };
        for local in self.choose_nodes(&self.neighbours.local.clone(), fanout) {
            sends.extend(items_message(local, &items));
        }
        self.send_to_relays(&items, sends);
        for remote_relays in &self.neighbours.remote_relays {
            sends.extend(remote_relays.first().and_then(|relay| items_message(*relay, &zone_items)));
        }
        let all_peers = self.neighbours.all();
        for node in self.choose_nodes(&all_peers, fanout) {
            sends.extend(large_versions_message(node, large.clone()));
        }
        self.send_fleet_topics(&items, fanout, sends);
    }

    /// Sends own items to the zone's relays at once, which forward them.
    fn send_to_relays(&self, items: &[GossipItem], sends: &mut Vec<GossipSend>) {
        let is_own = |item: &&GossipItem| Some(item.origin) == self.own;
        let own_items: Vec<GossipItem> = items.iter().filter(is_own).cloned().collect();
        let relays = self.neighbours.own_relays.iter().filter(|relay| Some(**relay) != self.own);
        sends.extend(relays.filter_map(|relay| items_message(*relay, &own_items)));
    }

    /// Sends fleet-wide topics to random nodes of other zones, so that the loss of a relay does not delay a
    /// new voter set.
    fn send_fleet_topics(&mut self, items: &[GossipItem], fanout: usize, sends: &mut Vec<GossipSend>) {
        let is_fleet_wide = |item: &&GossipItem| bucket_of(&item.topic.0) == FLEET_BUCKET;
        let fleet_items: Vec<GossipItem> = items.iter().filter(is_fleet_wide).cloned().collect();
        if fleet_items.is_empty() {
            return;
        }
        for remote in self.choose_nodes(&self.neighbours.remote.clone(), fanout) {
            sends.extend(items_message(remote, &fleet_items));
        }
    }

    /// Some of these nodes, chosen at random.
    fn choose_nodes(&mut self, nodes: &[NodeId], count: usize) -> Vec<NodeId> {
        self.rng.choose_multiple(nodes.iter().copied(), count)
    }

    /// Handles a peer's items, digest, versions, request or changes. Returns the topics that became newer and
    /// what to send.
    /// Example: `let (newer, sends) = gossip.handle_message(from, message);`.
    pub fn handle_message(&mut self, from: NodeId, message: Message) -> (Vec<String>, Vec<GossipSend>) {
        match message {
            Message::Gossip { items } => {
                let newer_topics = items
                    .0
                    .into_iter()
                    .filter_map(|item| {
                        let topic = item.topic.0.clone();
                        self.accept_item(item).then_some(topic)
                    })
                    .collect();
                (newer_topics, Vec::new())
            }
            Message::GossipDigest { digests } => {
                let differs = |theirs: &&BucketDigest| {
                    self.digests.get(usize::from(theirs.bucket)).is_some_and(|own| *own != theirs.digest)
                };
                let full_buckets: List<u8> =
                    digests.0.iter().filter(differs).map(|theirs| theirs.bucket).collect();
                if full_buckets.0.is_empty() {
                    return (Vec::new(), Vec::new());
                }
                let sent_items: Vec<&GossipItem> =
                    self.topics_in(&full_buckets).map(|topic_state| &topic_state.item).collect();
                let versions =
                    sent_items.iter().filter(|item| !is_large(item)).map(|item| version(item)).collect();
                let large =
                    sent_items.iter().filter(|item| is_large(item)).map(|item| large_body_version(item));
                let large = large.collect();
                (Vec::new(), vec![(from, Message::GossipVersions { full_buckets, versions, large })])
            }
            Message::GossipVersions { full_buckets, versions, large } => {
                (Vec::new(), self.compare(from, &full_buckets, versions, &large))
            }
            Message::GossipRequest { known } => (Vec::new(), self.respond_to_request(from, &known)),
            Message::GossipBodyChanges { topic, origin, changes } => {
                self.accept_changes(from, topic, origin, changes.0)
            }
            _ => (Vec::new(), Vec::new()),
        }
    }

    fn topics_in(&self, buckets: &List<u8>) -> impl Iterator<Item = &TopicState> {
        self.topics.values().filter(|topic_state| buckets.0.contains(&(topic_state.bucket as u8)))
    }

    /// Requests the topics of which the peer has a newer version and sends those of which it has an older
    /// one. Of a large body only the version is sent: the peer may already be receiving it from another node.
    fn compare(
        &mut self,
        from: NodeId,
        full_buckets: &List<u8>,
        versions: List<GossipVersion>,
        large: &List<LargeBodyVersion>,
    ) -> Vec<GossipSend> {
        let mut known = Vec::new();
        let mut newer_items = Vec::new();
        for their_version in &versions.0 {
            let own_sequence = self.sequence(&their_version.topic.0);
            if their_version.sequence > own_sequence {
                known.push(GossipVersion { topic: their_version.topic.clone(), sequence: own_sequence });
            }
            if their_version.sequence < own_sequence
                && let Some(topic_state) = self.topics.get(&their_version.topic.0)
            {
                newer_items.push(topic_state.item.clone());
            }
        }
        let mut sends = Vec::new();
        for their_version in &large.0 {
            sends.extend(self.request_large_bodies(from, their_version));
            let topic_state = self.topics.get(&their_version.topic.0);
            newer_items.extend(
                topic_state
                    .filter(|topic_state| topic_state.item.sequence > their_version.sequence)
                    .map(|topic_state| topic_state.item.clone()),
            );
        }
        if !full_buckets.0.is_empty() {
            let small_topics = versions.0.iter().map(|version| version.topic.0.as_str());
            let large_topics = large.0.iter().map(|version| version.topic.0.as_str());
            let their_topics: BTreeSet<&str> = small_topics.chain(large_topics).collect();
            let unknown_items = self
                .topics_in(full_buckets)
                .filter(|topic_state| !their_topics.contains(topic_state.item.topic.0.as_str()));
            newer_items.extend(unknown_items.map(|topic_state| topic_state.item.clone()));
        }
        let (large_items, small_items): (Vec<GossipItem>, Vec<GossipItem>) =
            newer_items.into_iter().partition(is_large);
        sends.extend(send_items(from, small_items));
        sends.extend(large_versions_message(from, large_items.iter().map(large_body_version).collect()));
        if !known.is_empty() {
            sends.push((from, Message::GossipRequest { known: List(known) }));
        }
        sends
    }

    /// Requests a large body of which the peer has a newer version, unless it may still be in transit.
    fn request_large_bodies(&mut self, from: NodeId, their_version: &LargeBodyVersion) -> Option<GossipSend> {
        let topic = &their_version.topic;
        let own_sequence = self.sequence(&topic.0);
        if their_version.sequence <= own_sequence {
            return None;
        }
        self.record_announced(their_version);
        let awaited = self.awaited.get(&topic.0);
        let awaited = awaited.filter(|awaited| awaited.sequence >= their_version.sequence);
        if awaited.is_some_and(|awaited| self.now < awaited.until) {
            return None;
        }
        // The origin is tried once: if it did not deliver, the body is requested from the announcing peer.
        let is_origin_next = awaited.is_none() && self.peers.contains(&their_version.origin);
        let requested_node = if is_origin_next { their_version.origin } else { from };
        let seconds = self.link_rate.map_or(0.0, |rate| f64::from(their_version.bytes) / rate);
        let until = self.now + Micros((seconds * 1e6) as u64);
        self.awaited.insert(topic.0.clone(), Awaited { sequence: their_version.sequence, until });
        let known = List(vec![GossipVersion { topic: topic.clone(), sequence: own_sequence }]);
        Some((requested_node, Message::GossipRequest { known }))
    }

    fn record_announced(&mut self, their_version: &LargeBodyVersion) {
        let announced = self.announced.entry(their_version.topic.0.clone()).or_default();
        let is_new = announced.back().is_none_or(|newest| newest.sequence < their_version.sequence);
        if is_new && announced.len() < ANNOUNCED_LIMIT {
            announced.push_back(Announced { sequence: their_version.sequence, since: self.now });
        }
    }

    /// When the oldest of the newer sequences of a large topic that have not arrived yet was first announced.
    /// Example: `gossip.awaited_since("configuration") == None` while no newer one was announced.
    pub fn awaited_since(&self, topic: &str) -> Option<Micros> {
        self.announced.get(topic)?.front().map(|oldest| oldest.since)
    }

    /// Announces the version of a topic to one peer, which requests the body if it has an older one.
    /// Example: `gossip.send_topic_to(reader, "configuration")`.
    pub fn send_topic_to(&self, node: NodeId, topic: &str) -> Option<GossipSend> {
        large_versions_message(
            node,
            self.topics
                .get(topic)
                .map(|topic_state| large_body_version(&topic_state.item))
                .into_iter()
                .collect(),
        )
    }

    /// Responds with whole items, or with the changes since the requester's versions.
    fn respond_to_request(&self, from: NodeId, known: &List<GossipVersion>) -> Vec<GossipSend> {
        let mut items = Vec::new();
        let mut sends = Vec::new();
        for their_version in &known.0 {
            let topic_state = self.topics.get(&their_version.topic.0);
            let Some(topic_state) =
                topic_state.filter(|topic_state| topic_state.item.sequence > their_version.sequence)
            else {
                continue;
            };
            match topic_state.changes_since(their_version.sequence) {
                Some(changes) => {
                    let (topic, origin) = (their_version.topic.clone(), topic_state.item.origin);
                    sends.push((from, Message::GossipBodyChanges { topic, origin, changes: List(changes) }));
                }
                None => items.push(topic_state.item.clone()),
            }
        }
        sends.extend(send_items(from, items));
        sends
    }

    /// Applies changes to the known body; if they do not fit, requests the whole body.
    fn accept_changes(
        &mut self,
        from: NodeId,
        topic: peer_messages::Text,
        origin: NodeId,
        changes: Vec<BodyChange>,
    ) -> (Vec<String>, Vec<GossipSend>) {
        let own_sequence = self.sequence(&topic.0);
        let applicable: Vec<BodyChange> =
            changes.into_iter().skip_while(|change| change.base < own_sequence).collect();
        let Some(sequence) = applicable.last().map(|change| change.sequence) else {
            return (Vec::new(), Vec::new());
        };
        let no_body = Bytes::default();
        let own_body = self.body(&topic.0).unwrap_or(&no_body);
        match changed_body(own_body, own_sequence, &applicable) {
            Some(body) => {
                let item = GossipItem { topic: topic.clone(), origin, sequence, body };
                let is_accepted = self.accept_changed_item(item, applicable);
                (is_accepted.then_some(topic.0).into_iter().collect(), Vec::new())
            }
            None => {
                let known = List(vec![GossipVersion { topic, sequence: 0 }]);
                (Vec::new(), vec![(from, Message::GossipRequest { known })])
            }
        }
    }
}

impl TopicState {
    /// The changes from an older sequence to this body, if all of them are remembered.
    fn changes_since(&self, sequence: u64) -> Option<Vec<BodyChange>> {
        let first = self.changes.iter().position(|change| change.base == sequence)?;
        let changes: Vec<BodyChange> = self.changes.range(first..).cloned().collect();
        let is_chain = changes.windows(2).all(|pair| pair[0].sequence == pair[1].base);
        let is_up_to_date = changes.last().is_some_and(|change| change.sequence == self.item.sequence);
        (is_chain && is_up_to_date).then_some(changes)
    }
}

/// The change from a large body to its successor, if its delta is much smaller than the successor itself.
fn change_between(previous: &GossipItem, next: &GossipItem) -> Option<BodyChange> {
    if next.sequence <= previous.sequence || !is_large(previous) || !is_large(next) {
        return None;
    }
    let steps = delta(&previous.body.0, &next.body.0)?;
    let digest = value_digest(&next.body.0);
    let meaning = Bytes::default();
    Some(BodyChange { base: previous.sequence, sequence: next.sequence, digest, steps, meaning })
}

/// The body after all changes; each must start from the sequence of the previous one and result in its
/// digest.
fn changed_body(base: &Bytes, base_sequence: u64, changes: &[BodyChange]) -> Option<Bytes> {
    let mut body = Cow::Borrowed(&base.0);
    let mut sequence = base_sequence;
    for change in changes {
        let next_body = patched(&body, &change.steps, FRAME_LIMIT)?;
        if change.base != sequence || value_digest(&next_body) != change.digest {
            return None;
        }
        (body, sequence) = (Cow::Owned(next_body), change.sequence);
    }
    Some(Bytes(body.into_owned()))
}

fn is_large(item: &GossipItem) -> bool {
    item.body.0.len() > SMALL_BODY_BYTES
}

fn items_message(node: NodeId, items: &[GossipItem]) -> Option<GossipSend> {
    (!items.is_empty()).then(|| (node, Message::Gossip { items: List(items.to_vec()) }))
}

fn large_versions_message(node: NodeId, large: Vec<LargeBodyVersion>) -> Option<GossipSend> {
    if large.is_empty() {
        return None;
    }
    let (full_buckets, versions) = (List(Vec::new()), List(Vec::new()));
    Some((node, Message::GossipVersions { full_buckets, versions, large: List(large) }))
}

fn large_body_version(item: &GossipItem) -> LargeBodyVersion {
    let (topic, bytes) = (item.topic.clone(), item.body.0.len() as u32);
    LargeBodyVersion { topic, sequence: item.sequence, origin: item.origin, bytes }
}

/// Groups items into messages of bounded size.
fn send_items(node: NodeId, items: Vec<GossipItem>) -> Vec<GossipSend> {
    let mut sends = Vec::new();
    let mut group_items = Vec::new();
    let mut group_bytes = 0;
    for item in items {
        group_bytes += item.body.0.len();
        group_items.push(item);
        if group_bytes > SMALL_BODY_BYTES * 4 || group_items.len() >= ITEMS_PER_MESSAGE {
            sends.push((node, Message::Gossip { items: List(std::mem::take(&mut group_items)) }));
            group_bytes = 0;
        }
    }
    if !group_items.is_empty() {
        sends.push((node, Message::Gossip { items: List(group_items) }));
    }
    sends
}

fn version(item: &GossipItem) -> GossipVersion {
    GossipVersion { topic: item.topic.clone(), sequence: item.sequence }
}

/// The bucket of a topic. Fleet-wide topics are in the first bucket, which every digest lists.
fn bucket_of(topic: &str) -> usize {
    match topic.contains('/') {
        true => 1 + (stable_hash(topic.as_bytes()) % (BUCKETS as u64 - 1)) as usize,
        false => FLEET_BUCKET,
    }
}

fn version_hash(topic: &str, sequence: u64) -> u64 {
    stable_hash(format!("{topic}#{sequence}").as_bytes())
}

#[cfg(test)]
mod tests;
