//! Links of a given rate: what a node sends, and what it is sent, waits for its link in turn.
//!
//! A message leaves through the sender's link and comes in through the receiver's at the same time, as
//! over one connection; each link takes one message after the other.

/// Bytes a second of the nodes' links. Example: `LinkRates { with_disk: 12.5e6, others: 250e3 }`.
#[derive(Clone, Copy, Debug)]
pub struct LinkRates {
    /// Of nodes with a disk.
    pub with_disk: f64,
    /// Of all other nodes.
    pub others: f64,
}

/// The links of all nodes, by their numbers.
#[derive(Debug, Default)]
pub(crate) struct SimLinks {
    links: Vec<SimLink>,
}

#[derive(Debug)]
struct SimLink {
    rate: f64,
    up_free_at: u64,
    down_free_at: u64,
}

impl SimLinks {
    pub(crate) fn new(rates: impl Iterator<Item = f64>) -> SimLinks {
        SimLinks { links: rates.map(|rate| SimLink { rate, up_free_at: 0, down_free_at: 0 }).collect() }
    }

    /// When so many bytes that leave now have come, all of them.
    pub(crate) fn arrival(&mut self, (from, to): (usize, usize), bytes: usize, now: u64, travel: u64) -> u64 {
        let sent_at = self.sent(from, bytes, now);
        let begun_at = sent_at - self.span(from, bytes);
        self.received(to, bytes, begun_at + travel).max(sent_at + travel)
    }

    /// When so many bytes have left a node for somebody outside the fleet.
    pub(crate) fn sent(&mut self, from: usize, bytes: usize, now: u64) -> u64 {
        let span = self.span(from, bytes);
        let Some(link) = self.links.get_mut(from) else { return now };
        link.up_free_at = link.up_free_at.max(now) + span;
        link.up_free_at
    }

    /// When so many bytes that come from a time on have been received by a node.
    pub(crate) fn received(&mut self, to: usize, bytes: usize, from_time: u64) -> u64 {
        let span = self.span(to, bytes);
        let Some(link) = self.links.get_mut(to) else { return from_time };
        link.down_free_at = link.down_free_at.max(from_time) + span;
        link.down_free_at
    }

    fn span(&self, number: usize, bytes: usize) -> u64 {
        self.links.get(number).map_or(0, |link| (bytes as f64 / link.rate * 1e6) as u64)
    }
}
