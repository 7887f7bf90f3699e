//! News reaches every node by being passed on to a few others; gaps are mended by comparing digests.
//!
//! News is a topic with a sequence that only rises and a body. Small bodies ride with the rumour;
//! for large ones (a configuration) the rumour is a mark, and who lacks the body asks for it.

use clock_events::{ClockEvent, Micros};
use colleague_messages::{Bytes, List, Message, NewsItem, NewsMark, NodeId, stable_hash};
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};

const TOPIC_LIMIT: usize = 4_096;
const SMALL_BODY: usize = 16 * 1024;
const FANOUT: usize = 3;
const ROUNDS: u32 = 3;
const ITEMS_A_MESSAGE: usize = 256;

#[derive(Debug)]
struct Told {
    item: NewsItem,
    rounds_left: u32,
}

/// What the spread wants sent to a colleague.
pub type NewsSend = (NodeId, Message);

/// One node's news. Example: `NewsSpread::new(7)`.
#[derive(Debug)]
pub struct NewsSpread {
    topics: BTreeMap<String, Told>,
    digest: u64,
    rumour_event: ClockEvent,
    digest_event: ClockEvent,
    dice: Rng,
}

impl NewsSpread {
    /// No news yet. Example: `NewsSpread::new(7).sequence("configuration") == 0`.
    pub fn new(luckSeed: u64) -> NewsSpread {
        NewsSpread {
            topics: BTreeMap::new(),
            digest: 0,
            rumour_event: ClockEvent::each(Micros::from_millis(100)),
            digest_event: ClockEvent::each(Micros::from_millis(250)),
            dice: Rng::with_seed(luckSeed),
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
        self.digest ^= mark_hash(&topic, item.sequence);
        let previousTold = self.topics.insert(topic.clone(), Told { item, rounds_left: ROUNDS });
        if let Some(told) = previousTold {
            self.digest ^= mark_hash(&topic, told.item.sequence);
        }
        true
    }

    /// Forgets topics, such as those of a function or a node that is no more.
    /// Example: `news.forget(|topic| topic == "demand/7")`.
    pub fn forget(&mut self, isForgotten: impl Fn(&str) -> bool) {
        self.topics.retain(|topic, _| !isForgotten(topic));
        self.digest =
            self.topics.iter().fold(0, |sum, (topic, told)| sum ^ mark_hash(topic, told.item.sequence));
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
        if self.rumour_event.due(now) {
            self.send_rumours(colleagues, &mut sends);
        }
        if self.digest_event.due(now) {
            let pickedNode = colleagues[self.dice.usize(..colleagues.len())];
            sends.push((pickedNode, Message::NewsDigest { digest: self.digest }));
        }
        sends
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
        let mut pickedNodes = colleagues.to_vec();
        self.dice.shuffle(&mut pickedNodes);
        for pickedNode in pickedNodes.into_iter().take(FANOUT) {
            if !items.is_empty() {
                sends.push((pickedNode, Message::News { items: List(items.clone()) }));
            }
            if !marks.is_empty() {
                sends.push((pickedNode, Message::NewsMarks { full: 0, marks: List(marks.clone()) }));
            }
        }
    }

    /// Takes a colleague's news, digest, marks or question. The topics that became newer are
    /// returned with what to send. Example: `let (newer, sends) = news.received(from, message);`.
    pub fn received(&mut self, from: NodeId, message: Message) -> (Vec<String>, Vec<NewsSend>) {
        match message {
            Message::News { items } => {
                let newerTopics = items
                    .0
                    .into_iter()
                    .filter_map(|item| {
                        let topic = item.topic.0.clone();
                        self.take(item).then_some(topic)
                    })
                    .collect();
                (newerTopics, Vec::new())
            }
            Message::NewsDigest { digest } if digest != self.digest => {
                let marks = self.topics.values().map(|told| mark(&told.item)).collect();
                (Vec::new(), vec![(from, Message::NewsMarks { full: 1, marks })])
            }
            Message::NewsMarks { full, marks } => (Vec::new(), self.compare(from, full == 1, marks)),
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

    /// Asks for what the colleague has newer and sends what it has older.
    fn compare(&mut self, from: NodeId, isFull: bool, marks: List<NewsMark>) -> Vec<NewsSend> {
        let mut wantedTopics = Vec::new();
        let mut newerItems = Vec::new();
        for theirMark in &marks.0 {
            let ownSequence = self.sequence(&theirMark.topic.0);
            if theirMark.sequence > ownSequence {
                wantedTopics.push(theirMark.topic.clone());
            }
            if theirMark.sequence < ownSequence
                && let Some(told) = self.topics.get(&theirMark.topic.0)
            {
                newerItems.push(told.item.clone());
            }
        }
        if isFull {
            let theirTopics: BTreeSet<&str> = marks.0.iter().map(|mark| mark.topic.0.as_str()).collect();
            let unknownItems = self.topics.iter().filter(|(topic, _)| !theirTopics.contains(topic.as_str()));
            newerItems.extend(unknownItems.map(|(_, told)| told.item.clone()));
        }
        let mut sends = send_items(from, newerItems);
        if !wantedTopics.is_empty() {
            sends.push((from, Message::NewsAsk { topics: List(wantedTopics) }));
        }
        sends
    }
}

/// Items in messages of bounded size.
fn send_items(node: NodeId, items: Vec<NewsItem>) -> Vec<NewsSend> {
    let mut sends = Vec::new();
    let mut groupItems = Vec::new();
    let mut groupBytes = 0;
    for item in items {
        groupBytes += item.body.0.len();
        groupItems.push(item);
        if groupBytes > SMALL_BODY * 4 || groupItems.len() >= ITEMS_A_MESSAGE {
            sends.push((node, Message::News { items: List(std::mem::take(&mut groupItems)) }));
            groupBytes = 0;
        }
    }
    if !groupItems.is_empty() {
        sends.push((node, Message::News { items: List(groupItems) }));
    }
    sends
}

fn mark(item: &NewsItem) -> NewsMark {
    NewsMark { topic: item.topic.clone(), sequence: item.sequence }
}

fn mark_hash(topic: &str, sequence: u64) -> u64 {
    stable_hash(format!("{topic}#{sequence}").as_bytes())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn large_and_small_news_reach_all_within_three_seconds_and_gaps_mend() {
        for luckSeed in 0..20 {
            let mut fleet: Vec<NewsSpread> =
                (0..10).map(|node| NewsSpread::new(luckSeed * 100 + node)).collect();
            let mut loss = Rng::with_seed(luckSeed);
            fleet[0].publish("small", 0, 1, Bytes(vec![1; 10]));
            fleet[0].publish("large", 0, 7, Bytes(vec![2; 3_000_000]));
            let mut heldAt = None;
            for millisecond in (0..3_000u64).step_by(100) {
                let now = Micros::from_millis(millisecond);
                let mut waiting: Vec<(NodeId, NewsSend)> = Vec::new();
                for node in 0..10u64 {
                    let colleagues: Vec<NodeId> = (0..10).filter(|other| *other != node).collect();
                    let sends = fleet[node as usize].tick(&colleagues, now);
                    waiting.extend(sends.into_iter().map(|send| (node, send)));
                }
                while let Some((sender, (receiver, message))) = waiting.pop() {
                    if loss.u8(..10) < 3 {
                        continue;
                    }
                    let (_, sends) = fleet[receiver as usize].received(sender, message);
                    waiting.extend(sends.into_iter().map(|send| (receiver, send)));
                }
                if fleet.iter().all(|news| news.sequence("small") == 1 && news.sequence("large") == 7) {
                    heldAt = heldAt.or(Some(millisecond));
                }
            }
            assert!(heldAt.is_some(), "seed {luckSeed}: three tenths of messages lost");
            assert!(!fleet[3].publish("large", 3, 6, Bytes::default()), "no way back");
        }
    }
}
