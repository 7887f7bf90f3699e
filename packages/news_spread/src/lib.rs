//! News reaches every node by being passed on to a few others; gaps are mended by comparing digests.
//!
//! Topics are dealt into buckets; a digest names some buckets, and marks go out only for those that
//! differ. A few topics of the whole fleet (no slash in their names) have a bucket that every digest names.
//!
//! News is a topic with a sequence that only rises and a body. Small bodies ride with the rumour;
//! for large ones (a configuration) the rumour is a mark, and who lacks the body asks for it.

use clock_events::{ClockEvent, Micros};
use colleague_messages::{BucketDigest, Bytes, List, Message, NewsItem, NewsMark, NodeId, stable_hash};
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};

const TOPIC_LIMIT: usize = 4_096;
const SMALL_BODY: usize = 16 * 1024;
const FANOUT: usize = 3;
const ROUNDS: u32 = 3;
const ITEMS_A_MESSAGE: usize = 256;
/// In a large fleet each node passes news on less often: the first rounds reach nearly all of it.
const SMALL_FLEET: usize = 16;
const LARGE_FLEET_FANOUT: usize = 2;
const LARGE_FLEET_ROUNDS: u32 = 2;
/// Bucket 0 holds the fleet's own topics, the others share the rest.
const BUCKETS: usize = 33;
/// With more topics than this, digests name some buckets in turn: in a living fleet nearly all differ
/// at any moment, and their marks would be most of what is said.
const FEW_TOPICS: usize = 256;
const BUCKETS_A_DIGEST: usize = 4;

#[derive(Debug)]
struct Told {
    item: NewsItem,
    rounds_left: u32,
    bucket: usize,
}

/// What the spread wants sent to a colleague.
pub type NewsSend = (NodeId, Message);

/// One node's news. Example: `NewsSpread::new(7)`.
#[derive(Debug)]
pub struct NewsSpread {
    topics: BTreeMap<String, Told>,
    digests: [u64; BUCKETS],
    next_bucket: usize,
    /// How often news is passed on, by the size of the fleet.
    rounds: u32,
    rumour_event: ClockEvent,
    digest_event: ClockEvent,
    dice: Rng,
}

impl NewsSpread {
    /// No news yet. Example: `NewsSpread::new(7).sequence("configuration") == 0`.
    pub fn new(luck_seed: u64) -> NewsSpread {
        NewsSpread {
            topics: BTreeMap::new(),
            digests: [0; BUCKETS],
            next_bucket: 0,
            rounds: ROUNDS,
            rumour_event: ClockEvent::each(Micros::from_millis(100)),
            digest_event: ClockEvent::each(Micros::from_millis(250)),
            dice: Rng::with_seed(luck_seed),
        }
    }

    /// The newest sequence known of a topic, zero for none. Example: `news.sequence("disks")`.
    pub fn sequence(&self, topic: &str) -> u64 {
        self.topics.get(topic).map_or(0, |told| told.item.sequence)
    }

    /// The newest body known of a topic. Example: `news.body("configuration")`.
    pub fn body(&self, topic: &str) -> Option<&Bytes> {
        self.topics.get(topic).map(|told| &told.item.body)
    }

    /// Publishes own news or takes news from elsewhere; an older sequence changes nothing.
    /// Example: `news.publish("configuration", own, 4, body) == true` the first time.
    pub fn publish(&mut self, topic: &str, origin: NodeId, sequence: u64, body: Bytes) -> bool {
        let item = NewsItem { topic: topic.into(), origin, sequence, body };
        self.take(item)
    }

    fn take(&mut self, item: NewsItem) -> bool {
        let topic = item.topic.0.clone();
        if item.sequence <= self.sequence(&topic) {
            return false;
        }
        if !self.topics.contains_key(&topic) && self.topics.len() >= TOPIC_LIMIT {
            return false;
        }
        let bucket = bucket_of(&topic);
        self.digests[bucket] ^= mark_hash(&topic, item.sequence);
        let told = Told { item, rounds_left: self.rounds, bucket };
        if let Some(previous) = self.topics.insert(topic, told) {
            self.digests[bucket] ^= mark_hash(&previous.item.topic.0, previous.item.sequence);
        }
        true
    }

    /// Forgets topics, such as those of a function or a node that is no more.
    /// Example: `news.forget(|topic| topic == "demand/7")`.
    pub fn forget(&mut self, is_forgotten: impl Fn(&str) -> bool) {
        let digests = &mut self.digests;
        self.topics.retain(|topic, told| {
            let is_kept = !is_forgotten(topic);
            if !is_kept {
                digests[told.bucket] ^= mark_hash(topic, told.item.sequence);
            }
            is_kept
        });
    }

    /// Topics that start with a prefix. Example: `news.topics("demand/")`.
    pub fn topics<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a NewsItem> {
        self.topics
            .range(prefix.to_owned()..)
            .take_while(move |(topic, _)| topic.starts_with(prefix))
            .map(|(_, told)| &told.item)
    }

    /// Sends rumours and digests that are due. Example: `news.tick(&colleagues, now)`.
    pub fn tick(&mut self, colleagues: &[NodeId], now: Micros) -> Vec<NewsSend> {
        let mut sends = Vec::new();
        if colleagues.is_empty() {
            return sends;
        }
        let is_small = colleagues.len() <= SMALL_FLEET;
        self.rounds = if is_small { ROUNDS } else { LARGE_FLEET_ROUNDS };
        if self.rumour_event.due(now) {
            self.send_rumours(colleagues, &mut sends);
        }
        if self.digest_event.due(now) {
            let picked_node = colleagues[self.dice.usize(..colleagues.len())];
            sends.push((picked_node, Message::NewsDigest { digests: self.next_digests() }));
        }
        sends
    }

    fn next_digests(&mut self) -> List<BucketDigest> {
        let shared_buckets = BUCKETS - 1;
        let count = if self.topics.len() <= FEW_TOPICS { shared_buckets } else { BUCKETS_A_DIGEST };
        let first = self.next_bucket;
        self.next_bucket = (first + count) % shared_buckets;
        let named = (first..first + count).map(|place| 1 + place % shared_buckets);
        std::iter::once(0)
            .chain(named)
            .map(|bucket| BucketDigest { bucket: bucket as u8, digest: self.digests[bucket] })
            .collect()
    }

    fn send_rumours(&mut self, colleagues: &[NodeId], sends: &mut Vec<NewsSend>) {
        let mut items = Vec::new();
        let mut marks = Vec::new();
        for told in self.topics.values_mut().filter(|told| told.rounds_left > 0) {
            if items.len() + marks.len() >= ITEMS_A_MESSAGE {
                break;
            }
            told.rounds_left -= 1;
            match told.item.body.0.len() <= SMALL_BODY {
                true => items.push(told.item.clone()),
                false => marks.push(mark(&told.item)),
            }
        }
        let mut picked_nodes = colleagues.to_vec();
        self.dice.shuffle(&mut picked_nodes);
        let fanout = if colleagues.len() <= SMALL_FLEET { FANOUT } else { LARGE_FLEET_FANOUT };
        for picked_node in picked_nodes.into_iter().take(fanout) {
            if !items.is_empty() {
                sends.push((picked_node, Message::News { items: List(items.clone()) }));
            }
            if !marks.is_empty() {
                sends.push((
                    picked_node,
                    Message::NewsMarks { full_buckets: List(Vec::new()), marks: List(marks.clone()) },
                ));
            }
        }
    }

    /// Takes a colleague's news, digest, marks or question. The topics that became newer are
    /// returned with what to send. Example: `let (newer, sends) = news.received(from, message);`.
    pub fn received(&mut self, from: NodeId, message: Message) -> (Vec<String>, Vec<NewsSend>) {
        match message {
            Message::News { items } => {
                let newer_topics = items
                    .0
                    .into_iter()
                    .filter_map(|item| {
                        let topic = item.topic.0.clone();
                        self.take(item).then_some(topic)
                    })
                    .collect();
                (newer_topics, Vec::new())
            }
            Message::NewsDigest { digests } => {
                let is_other = |told: &&BucketDigest| {
                    self.digests.get(usize::from(told.bucket)).is_some_and(|own| *own != told.digest)
                };
                let full_buckets: List<u8> =
                    digests.0.iter().filter(is_other).map(|told| told.bucket).collect();
                if full_buckets.0.is_empty() {
                    return (Vec::new(), Vec::new());
                }
                let marks = self.topics_in(&full_buckets).map(|told| mark(&told.item)).collect();
                (Vec::new(), vec![(from, Message::NewsMarks { full_buckets, marks })])
            }
            Message::NewsMarks { full_buckets, marks } => {
                (Vec::new(), self.compare(from, &full_buckets, marks))
            }
            Message::NewsAsk { topics } => {
                let items: Vec<NewsItem> = topics
                    .0
                    .iter()
                    .filter_map(|topic| self.topics.get(&topic.0))
                    .map(|told| told.item.clone())
                    .collect();
                (Vec::new(), send_items(from, items))
            }
            _ => (Vec::new(), Vec::new()),
        }
    }

    fn topics_in(&self, buckets: &List<u8>) -> impl Iterator<Item = &Told> {
        self.topics.values().filter(|told| buckets.0.contains(&(told.bucket as u8)))
    }

    /// Asks for what the colleague has newer and sends what it has older.
    fn compare(&mut self, from: NodeId, full_buckets: &List<u8>, marks: List<NewsMark>) -> Vec<NewsSend> {
        let mut wanted_topics = Vec::new();
        let mut newer_items = Vec::new();
        for their_mark in &marks.0 {
            let own_sequence = self.sequence(&their_mark.topic.0);
            if their_mark.sequence > own_sequence {
                wanted_topics.push(their_mark.topic.clone());
            }
            if their_mark.sequence < own_sequence
                && let Some(told) = self.topics.get(&their_mark.topic.0)
            {
                newer_items.push(told.item.clone());
            }
        }
        if !full_buckets.0.is_empty() {
            let their_topics: BTreeSet<&str> = marks.0.iter().map(|mark| mark.topic.0.as_str()).collect();
            let unknown_items = self
                .topics_in(full_buckets)
                .filter(|told| !their_topics.contains(told.item.topic.0.as_str()));
            newer_items.extend(unknown_items.map(|told| told.item.clone()));
        }
        let mut sends = send_items(from, newer_items);
        if !wanted_topics.is_empty() {
            sends.push((from, Message::NewsAsk { topics: List(wanted_topics) }));
        }
        sends
    }
}

/// Items in messages of bounded size.
fn send_items(node: NodeId, items: Vec<NewsItem>) -> Vec<NewsSend> {
    let mut sends = Vec::new();
    let mut group_items = Vec::new();
    let mut group_bytes = 0;
    for item in items {
        group_bytes += item.body.0.len();
        group_items.push(item);
        if group_bytes > SMALL_BODY * 4 || group_items.len() >= ITEMS_A_MESSAGE {
            sends.push((node, Message::News { items: List(std::mem::take(&mut group_items)) }));
            group_bytes = 0;
        }
    }
    if !group_items.is_empty() {
        sends.push((node, Message::News { items: List(group_items) }));
    }
    sends
}

fn mark(item: &NewsItem) -> NewsMark {
    NewsMark { topic: item.topic.clone(), sequence: item.sequence }
}

/// The fleet's own topics come first, in a bucket that is always compared.
fn bucket_of(topic: &str) -> usize {
    match topic.contains('/') {
        true => 1 + (stable_hash(topic.as_bytes()) % (BUCKETS as u64 - 1)) as usize,
        false => 0,
    }
}

fn mark_hash(topic: &str, sequence: u64) -> u64 {
    stable_hash(format!("{topic}#{sequence}").as_bytes())
}

#[cfg(test)]
mod tests;
