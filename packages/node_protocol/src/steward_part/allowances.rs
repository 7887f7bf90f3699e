//! The split of memory and start rate: what own functions want is told as news, and every node splits what
//! there is by what all want.

use crate::Policy;
use crate::node::Node;
use deku::{DekuContainerRead, DekuContainerWrite};
use function_scheduler::{Demand, DemandedCells, Totals, allowance_split};
use monotonic_clock::Micros;
use peer_messages::{Bytes, DemandEntry, DemandNews, List, NodeId};
use std::collections::BTreeMap;

/// Between two splits that only other nodes' news asks for, and between two that nothing asks for.
const SPLIT_PAUSE: Micros = Micros::from_millis(300);
const IDLE_SPLIT_PAUSE: Micros = Micros::from_secs(1);

/// What the last split of allowances rested on: the generation, the workers' memory, the counts of
/// members and of own works, and what the own functions want.
type SplitBasis = (u64, u64, usize, usize, BTreeMap<String, Demand>);

#[derive(Debug, Default)]
pub(super) struct Split {
    basis: SplitBasis,
    news_mark: u64,
    done_at: Micros,
}

impl Node {
    /// Tells what own functions want and applies the split of everything to them.
    pub(super) fn split_allowances(&mut self, members: &[NodeId]) {
        let now = self.now;
        let configuration = self.configuration.current();
        let mut own_demands: BTreeMap<String, Demand> = BTreeMap::new();
        for (function, work) in &self.stewards.works {
            let Some(settings) = configuration.functions.get(function) else { continue };
            let cell_memory_mb = settings.cell_memory_mb as f64;
            let mut cells = work.demanded_cells();
            if !self.is_on(Policy::SpareCells) {
                cells.spare = 0;
            }
            if !self.is_on(Policy::DemandClasses) {
                cells = DemandedCells { needed: cells.total(), ..DemandedCells::default() };
            }
            let demand = Demand {
                memory_mb: f64::from(cells.needed) * cell_memory_mb,
                warm_mb: f64::from(cells.warm) * cell_memory_mb,
                spare_mb: f64::from(cells.spare) * cell_memory_mb,
                starts: f64::from(work.wanted_acts()),
            };
            if demand != Demand::default() {
                own_demands.insert(function.clone(), demand);
            }
        }
        self.tell_demand(&own_demands, members.len());
        // Before the first list nothing is known that could be split: by a split of nothing a node that is just
        // back would stop the cells of all that it leads as soon as it sees them.
        if !self.stewards.has_list {
            return;
        }
        // The split goes over the whole configuration: it is done when something it rests on changed.
        let news_mark = self
            .news
            .topics("demand/")
            .fold(0u64, |sum, item| sum.rotate_left(5) ^ item.sequence.wrapping_add(item.origin));
        let basis = (
            self.configuration.generation(),
            self.stewards.placement.total_memory_mb(),
            members.len(),
            self.stewards.works.len(),
            own_demands.clone(),
        );
        let split = &self.stewards.split;
        let pause = match (split.basis == basis, split.news_mark == news_mark) {
            (false, _) => Micros(0),
            (true, false) => SPLIT_PAUSE,
            (true, true) => IDLE_SPLIT_PAUSE,
        };
        if now < split.done_at + pause {
            return;
        }
        self.stewards.split = Split { basis, news_mark, done_at: now };
        let mut demands = own_demands.clone();
        for item in self.news.topics("demand/") {
            if item.origin == self.settings.node || !members.contains(&item.origin) {
                continue;
            }
            let Ok((_, demand_news)) = DemandNews::from_bytes((&item.body.0, 0)) else { continue };
            for entry in demand_news.entries.0 {
                let demand = Demand {
                    memory_mb: f64::from(entry.memory_mb),
                    warm_mb: f64::from(entry.warm_mb),
                    spare_mb: f64::from(entry.spare_mb),
                    starts: f64::from(entry.milli_starts) / 1_000.0,
                };
                demands.entry(entry.function.0).or_insert(demand);
            }
        }
        let member_count = members.len().max(1) as f64;
        let acts_per_second = self.settings.acts_per_second;
        // Half of the acts is every node's own in equal parts, so that a lone start never waits for
        // news; the other half follows the demand through the tree.
        let totals = Totals {
            memory_mb: self.stewards.placement.total_memory_mb() as f64,
            starts: acts_per_second / 2.0,
        };
        let shares = allowance_split(&configuration, &demands, totals);
        let equal_part = acts_per_second / 2.0 / member_count;
        let mut own_acts = equal_part;
        for (function, work) in &mut self.stewards.works {
            let Some(settings) = configuration.functions.get(function) else { continue };
            // Who wants nothing is not named.
            let share = shares.get(function).copied().unwrap_or_default();
            own_acts += share.starts;
            let cell_count = (share.memory_mb / settings.cell_memory_mb as f64 + 0.001).floor() as u32;
            work.allow_cells(cell_count);
        }
        self.stewards.rate.take_rate(own_acts, equal_part, now);
    }

    fn tell_demand(&mut self, own_demands: &BTreeMap<String, Demand>, member_count: usize) {
        let now = self.now;
        let entries: List<DemandEntry> = own_demands
            .iter()
            .map(|(function, demand)| DemandEntry {
                function: function.as_str().into(),
                memory_mb: demand.memory_mb as u32,
                warm_mb: demand.warm_mb as u32,
                spare_mb: demand.spare_mb as u32,
                milli_starts: (demand.starts * 1_000.0) as u32,
            })
            .collect();
        let demand_news = DemandNews { entries };
        let (told_at, told_news) = &self.stewards.demand_told;
        // All nodes' news reaches every node: in a large fleet each tells its own less often.
        let pause = Micros::from_millis(300.max(member_count as u64 * 13));
        if *told_news == demand_news || now < *told_at + pause {
            return;
        }
        let topic = format!("demand/{:016x}", self.settings.node);
        let sequence = self.news.sequence(&topic) + 1;
        let body = Bytes(demand_news.to_bytes().unwrap_or_default());
        self.news.publish(&topic, self.settings.node, sequence, body);
        self.stewards.demand_told = (now, demand_news);
    }
}
