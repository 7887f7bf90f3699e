//! Links with a limited rate: messages that a node sends or receives queue for its link.
//!
//! A message occupies the sender's and the receiver's link at the same time, as over one connection; each link
//! carries one message after the other.

/// Rates of the nodes' links in bytes per second. Example: `LinkRates { with_disk: 12.5e6, others: 250e3 }`.
#[derive(Clone, Copy, Debug)]
pub struct LinkRates {
    /// Rate of nodes with a disk.
    pub with_disk: f64,
    /// Rate of all other nodes.
    pub others: f64,
}

/// The links of all nodes, by node number.
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

    /// When all bytes of a message that is sent now have arrived.
    pub(crate) fn arrival(
        &mut self,
        (from, to): (usize, usize),
        bytes: usize,
        now: u64,
        network_latency: u64,
    ) -> u64 {
        let sent_at = self.sent(from, bytes, now);
        let begun_at = sent_at - self.span(from, bytes);
        self.received(to, bytes, begun_at + network_latency).max(sent_at + network_latency)
    }

    /// When a node has sent this many bytes to a receiver outside the fleet.
    pub(crate) fn sent(&mut self, from: usize, bytes: usize, now: u64) -> u64 {
        let span = self.span(from, bytes);
        let Some(link) = self.links.get_mut(from) else { return now };
        link.up_free_at = link.up_free_at.max(now) + span;
        link.up_free_at
    }

    /// When a node has received this many bytes that arrive from the given time on.
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
