//! News reaches every node by being passed on to a few others; gaps are mended by comparing digests.
//!
//! Topics are dealt into buckets; a digest names some buckets, and marks go out only for those that
//! differ. A few topics of the whole fleet (no slash in their names) have a bucket that every digest names.
//!
//! News is a topic with a sequence that only rises and a body. Small bodies ride with the rumour;
//! for large ones (a configuration) the rumour is a mark, and who lacks the body asks for it and tells
//! which one it has: it is answered with the changes since then where they are known. The node that
//! published it is asked first, which has it for sure, and then whoever else tells of it.

//!
//! Where zones have relays ([`Neighbours`]) news crosses a border once: rumours and digests stay inside the
//! zone, the zone's first relay passes what began there to one relay of each other zone, and relays compare
//! digests over the border. The fleet's own topics, which are few and must come through, are also told to anybody.

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
const SMALL_BODY: usize = 16 * 1024;
const FANOUT: usize = 3;
const ROUNDS: u32 = 3;
const ITEMS_A_MESSAGE: usize = 256;
/// In a large fleet each node passes news on less often: the first rounds reach nearly all of it.
const SMALL_FLEET: usize = 16;
const LARGE_FLEET_FANOUT: usize = 2;
const LARGE_FLEET_ROUNDS: u32 = 2;
/// One bucket holds the fleet's own topics, the others share the rest.
const BUCKETS: usize = 33;
const FLEET_BUCKET: usize = 0;
/// With more topics than this, digests name some buckets in turn: in a living fleet nearly all differ
/// at any moment, and their marks would be most of what is said.
const FEW_TOPICS: usize = 256;
const BUCKETS_A_DIGEST: usize = 4;
/// Of so many digests one goes over a border: of a relay to a relay, of other nodes about the fleet's own topics.
const REMOTE_DIGEST_EVERY: u64 = 4;
/// Of so many digests that others send over a border one is about all topics: what no relay carried is mended.
const REMOTE_FULL_DIGEST_EVERY: u64 = 10;
/// So many newer sequences of a large body are told apart by when they were first heard of.
const ANNOUNCED_LIMIT: usize = 64;
/// So many changes of a large body are remembered for those that have an older one.
const CHANGES_LIMIT: usize = 32;

#[derive(Debug)]
struct TopicState {
    item: GossipItem,
    rounds_left: u32,
    bucket: usize,
    /// How a large body became what it is, newest last.
    changes: VecDeque<BodyChange>,
}

/// A large body on its way here: another is not asked for before it can have come.
#[derive(Debug)]
struct Awaited {
    sequence: u64,
    until: Micros,
}

/// A newer sequence of a large topic that a colleague told of, and when the first one did.
#[derive(Debug)]
struct Announced {
    sequence: u64,
    since: Micros,
}

/// What the spread wants sent to a colleague.
pub type GossipSend = (NodeId, Message);

/// One node's news. Example: `Gossip::new(7)`.
#[derive(Debug)]
pub struct Gossip {
    topics: BTreeMap<String, TopicState>,
    digests: [u64; BUCKETS],
    next_bucket: usize,
    /// How often news is passed on, by the size of the fleet.
    rounds: u32,
    rumour_event: Ticker,
    digest_event: Ticker,
    rng: Rng,
    now: Micros,
    /// Bytes a second of this machine's link, where they are known.
    link_rate: Option<f64>,
    awaited: BTreeMap<String, Awaited>,
    announced: BTreeMap<String, VecDeque<Announced>>,
    own: Option<NodeId>,
    neighbours: Neighbours,
    /// Those whose news this node carries over borders if it is the zone's first relay.
    zone_members: BTreeSet<NodeId>,
    peers: BTreeSet<NodeId>,
    digest_count: u64,
}

impl Gossip {
    /// No news yet. Example: `Gossip::new(7).sequence("configuration") == 0`.
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

    /// Tells who the colleagues are, whenever they change. Example: `gossip.set_neighbours(own, neighbours)`.
    pub fn set_neighbours(&mut self, own: NodeId, neighbours: Neighbours) {
        self.own = Some(own);
        self.zone_members = neighbours.zone_members(self.own);
        self.peers = neighbours.everybody().into_iter().collect();
        self.rounds = if neighbours.count() <= SMALL_FLEET { ROUNDS } else { LARGE_FLEET_ROUNDS };
        self.neighbours = neighbours;
    }

    /// Tells how fast this machine's link is: a large body is not asked for again before it can have
    /// come over it. Example: `gossip.set_link_rate(250_000.0)`.
    pub fn set_link_rate(&mut self, bytes_a_second: f64) {
        self.link_rate = Some(bytes_a_second);
    }

    /// The newest sequence known of a topic, zero for none. Example: `gossip.sequence("disks")`.
    pub fn sequence(&self, topic: &str) -> u64 {
        self.topics.get(topic).map_or(0, |topic_state| topic_state.item.sequence)
    }

    /// The newest body known of a topic. Example: `gossip.body("configuration")`.
    pub fn body(&self, topic: &str) -> Option<&Bytes> {
        self.topics.get(topic).map(|topic_state| &topic_state.item.body)
    }

    /// Publishes own news or takes news from elsewhere; an older sequence changes nothing.
    /// Example: `gossip.publish("configuration", own, 4, body) == true` the first time.
    pub fn publish(&mut self, topic: &str, origin: NodeId, sequence: u64, body: Bytes) -> bool {
        let item = GossipItem { topic: topic.into(), origin, sequence, body };
        self.accept_item(item)
    }

    /// Publishes own news of a large topic and says what changed since the last: colleagues that have the
    /// last get both. Example: `gossip.publish_changed("configuration", own, 5, body, meaning)`.
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

    /// What the publishers said of each change of a topic since a sequence; none where some change since is
    /// not known here, or has no meaning. Example: `gossip.meanings_since("configuration", 4)`.
    pub fn meanings_since(&self, topic: &str, sequence: u64) -> Option<Vec<Bytes>> {
        let changes = self.topics.get(topic)?.changes_since(sequence)?;
        let meanings = changes.into_iter().map(|change| change.meaning);
        meanings.map(|meaning| (!meaning.0.is_empty()).then_some(meaning)).collect()
    }

    /// Takes an item whose body came of the known one by these changes.
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

    /// Forgets topics, such as those of a function or a node that is no more.
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

    /// Topics that start with a prefix. Example: `gossip.topics("demand/")`.
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

    /// Compares topics with a near colleague, and now and then with one beyond a border.
    fn send_digests(&mut self, sends: &mut Vec<GossipSend>) {
        self.digest_count += 1;
        if let Some(local) = self.rng.choice(self.neighbours.local.iter().copied()) {
            sends.push((local, Message::GossipDigest { digests: self.next_digests() }));
        }
        if self.neighbours.remote.is_empty() || !self.digest_count.is_multiple_of(REMOTE_DIGEST_EVERY) {
            return;
        }
        let remote_digest_count = self.digest_count / REMOTE_DIGEST_EVERY;
        let is_whole_due = remote_digest_count.is_multiple_of(REMOTE_FULL_DIGEST_EVERY);
        let digests = match self.is_relay() || is_whole_due {
            true => self.next_digests(),
            false => List(vec![self.digest_of(FLEET_BUCKET)]),
        };
        if let Some(remote) = self.remote_partner() {
            sends.push((remote, Message::GossipDigest { digests }));
        }
    }

    /// Whom to compare with beyond a border: relays do with relays, others with anybody.
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
        let count = if self.topics.len() <= FEW_TOPICS { shared_buckets } else { BUCKETS_A_DIGEST };
        let first = self.next_bucket;
        self.next_bucket = (first + count) % shared_buckets;
        let named = (first..first + count).map(|place| 1 + place % shared_buckets);
        std::iter::once(FLEET_BUCKET).chain(named).map(|bucket| self.digest_of(bucket)).collect()
    }

    fn send_rumours(&mut self, sends: &mut Vec<GossipSend>) {
        let is_first_relay = self.is_first_relay();
        let mut items = Vec::new();
        let mut crossing = Vec::new();
        let mut large = Vec::new();
        for topic_state in self.topics.values_mut().filter(|topic_state| topic_state.rounds_left > 0) {
            if items.len() + large.len() >= ITEMS_A_MESSAGE {
                break;
            }
            let is_first_round = topic_state.rounds_left == self.rounds;
            topic_state.rounds_left -= 1;
            if is_large(&topic_state.item) {
                large.push(large_body_version(&topic_state.item));
                continue;
            }
            // What began in this zone crosses each border once; what came over one is spread here alone.
            if is_first_relay && is_first_round && self.zone_members.contains(&topic_state.item.origin) {
                crossing.push(topic_state.item.clone());
            }
            items.push(topic_state.item.clone());
        }
        let fanout = if self.neighbours.count() <= SMALL_FLEET { FANOUT } else { LARGE_FLEET_FANOUT };
        for local in self.picked(&self.neighbours.local.clone(), fanout) {
            sends.extend(items_message(local, &items));
        }
        self.send_to_relays(&items, sends);
        for remote_relays in &self.neighbours.remote_relays {
            sends.extend(remote_relays.first().and_then(|relay| items_message(*relay, &crossing)));
        }
        let everybody = self.neighbours.everybody();
        for node in self.picked(&everybody, fanout) {
            sends.extend(large_versions_message(node, large.clone()));
        }
        self.send_fleet_topics(&items, fanout, sends);
    }

    /// Own news goes to the zone's relays at once, which carry it on.
    fn send_to_relays(&self, items: &[GossipItem], sends: &mut Vec<GossipSend>) {
        let is_own = |item: &&GossipItem| Some(item.origin) == self.own;
        let own_items: Vec<GossipItem> = items.iter().filter(is_own).cloned().collect();
        let relays = self.neighbours.own_relays.iter().filter(|relay| Some(**relay) != self.own);
        sends.extend(relays.filter_map(|relay| items_message(*relay, &own_items)));
    }

    /// The fleet's own topics cross borders by anybody: no relay's loss may hold up a new voter set.
    fn send_fleet_topics(&mut self, items: &[GossipItem], fanout: usize, sends: &mut Vec<GossipSend>) {
        let is_fleets = |item: &&GossipItem| bucket_of(&item.topic.0) == FLEET_BUCKET;
        let fleet_items: Vec<GossipItem> = items.iter().filter(is_fleets).cloned().collect();
        if fleet_items.is_empty() {
            return;
        }
        for remote in self.picked(&self.neighbours.remote.clone(), fanout) {
            sends.extend(items_message(remote, &fleet_items));
        }
    }

    /// Some of these nodes, at random.
    fn picked(&mut self, nodes: &[NodeId], count: usize) -> Vec<NodeId> {
        self.rng.choose_multiple(nodes.iter().copied(), count)
    }

    /// Takes a colleague's news, digest, marks or question. The topics that became newer are
    /// returned with what to send. Example: `let (newer, sends) = gossip.received(from, message);`.
    pub fn received(&mut self, from: NodeId, message: Message) -> (Vec<String>, Vec<GossipSend>) {
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
                let is_other = |topic_state: &&BucketDigest| {
                    self.digests
                        .get(usize::from(topic_state.bucket))
                        .is_some_and(|own| *own != topic_state.digest)
                };
                let full_buckets: List<u8> =
                    digests.0.iter().filter(is_other).map(|topic_state| topic_state.bucket).collect();
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

    /// Asks for what the colleague has newer and sends what it has older. Of a large body only the mark
    /// is sent: the colleague may be getting it from elsewhere already.
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

    /// Asks for a large body that a colleague has newer, but not while it may still be on its way.
    fn request_large_bodies(&mut self, from: NodeId, their_version: &LargeBodyVersion) -> Option<GossipSend> {
        let topic = &their_version.topic;
        let own_sequence = self.sequence(&topic.0);
        if their_version.sequence <= own_sequence {
            return None;
        }
        self.note_announced(their_version);
        let awaited = self.awaited.get(&topic.0);
        let awaited = awaited.filter(|awaited| awaited.sequence >= their_version.sequence);
        if awaited.is_some_and(|awaited| self.now < awaited.until) {
            return None;
        }
        // Whoever was asked in vain is not asked a second time.
        let is_origin_local = awaited.is_none() && self.peers.contains(&their_version.origin);
        let requested_node = if is_origin_local { their_version.origin } else { from };
        let seconds = self.link_rate.map_or(0.0, |rate| f64::from(their_version.bytes) / rate);
        let until = self.now + Micros((seconds * 1e6) as u64);
        self.awaited.insert(topic.0.clone(), Awaited { sequence: their_version.sequence, until });
        let known = List(vec![GossipVersion { topic: topic.clone(), sequence: own_sequence }]);
        Some((requested_node, Message::GossipRequest { known }))
    }

    fn note_announced(&mut self, their_version: &LargeBodyVersion) {
        let announced = self.announced.entry(their_version.topic.0.clone()).or_default();
        let is_new = announced.back().is_none_or(|newest| newest.sequence < their_version.sequence);
        if is_new && announced.len() < ANNOUNCED_LIMIT {
            announced.push_back(Announced { sequence: their_version.sequence, since: self.now });
        }
    }

    /// Since when a newer sequence of a large topic is known to exist that is not here yet, the oldest one.
    /// Example: `gossip.awaited_since("configuration") == None` while nobody told of a newer one.
    pub fn awaited_since(&self, topic: &str) -> Option<Micros> {
        self.announced.get(topic)?.front().map(|oldest| oldest.since)
    }

    /// Tells one colleague of a topic, which it asks for if it has an older one.
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

    /// Whole items, or the changes since what the asker has.
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

    /// Applies changes to the body known here; where they do not fit, the whole body is asked for.
    fn accept_changes(
        &mut self,
        from: NodeId,
        topic: peer_messages::Text,
        origin: NodeId,
        changes: Vec<BodyChange>,
    ) -> (Vec<String>, Vec<GossipSend>) {
        let own_sequence = self.sequence(&topic.0);
        let fitting: Vec<BodyChange> =
            changes.into_iter().skip_while(|change| change.base < own_sequence).collect();
        let Some(sequence) = fitting.last().map(|change| change.sequence) else {
            return (Vec::new(), Vec::new());
        };
        let no_body = Bytes::default();
        let own_body = self.body(&topic.0).unwrap_or(&no_body);
        match changed_body(own_body, own_sequence, &fitting) {
            Some(body) => {
                let item = GossipItem { topic: topic.clone(), origin, sequence, body };
                let is_taken = self.accept_changed_item(item, fitting);
                (is_taken.then_some(topic.0).into_iter().collect(), Vec::new())
            }
            None => {
                let known = List(vec![GossipVersion { topic, sequence: 0 }]);
                (Vec::new(), vec![(from, Message::GossipRequest { known })])
            }
        }
    }
}

impl TopicState {
    /// The changes that lead from an older sequence to this body, if all of them are remembered.
    fn changes_since(&self, sequence: u64) -> Option<Vec<BodyChange>> {
        let first = self.changes.iter().position(|change| change.base == sequence)?;
        let changes: Vec<BodyChange> = self.changes.range(first..).cloned().collect();
        let is_chain = changes.windows(2).all(|pair| pair[0].sequence == pair[1].base);
        let is_up_to_date = changes.last().is_some_and(|change| change.sequence == self.item.sequence);
        (is_chain && is_up_to_date).then_some(changes)
    }
}

/// How a large body became its successor, where that is told shorter than the successor itself.
fn change_between(previous: &GossipItem, next: &GossipItem) -> Option<BodyChange> {
    if next.sequence <= previous.sequence || !is_large(previous) || !is_large(next) {
        return None;
    }
    let steps = delta(&previous.body.0, &next.body.0)?;
    let digest = value_digest(&next.body.0);
    let meaning = Bytes::default();
    Some(BodyChange { base: previous.sequence, sequence: next.sequence, digest, steps, meaning })
}

/// The body after all changes, each of which must build on the one before and come out as it was told.
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
    item.body.0.len() > SMALL_BODY
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

/// Items in messages of bounded size.
fn send_items(node: NodeId, items: Vec<GossipItem>) -> Vec<GossipSend> {
    let mut sends = Vec::new();
    let mut group_items = Vec::new();
    let mut group_bytes = 0;
    for item in items {
        group_bytes += item.body.0.len();
        group_items.push(item);
        if group_bytes > SMALL_BODY * 4 || group_items.len() >= ITEMS_A_MESSAGE {
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

/// The fleet's own topics come first, in a bucket that is always compared.
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
