//! The split of memory and start rate: what own functions want is told as news, and every node splits what
//! there is by what all want.

use crate::Policy;
use crate::node::Node;
use deku::{DekuContainerRead, DekuContainerWrite};
use function_scheduler::{Demand, DemandedInstances, Totals, quota_split};
use monotonic_clock::Micros;
use peer_messages::{Bytes, DemandEntry, DemandUpdate, List, NodeId};
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
    gossip_digest: u64,
    done_at: Micros,
}

impl Node {
    /// Tells what own functions want and applies the split of everything to them.
    pub(super) fn split_quotas(&mut self, members: &[NodeId]) {
        let now = self.now;
        let configuration = self.configuration.current();
        let mut own_demands: BTreeMap<String, Demand> = BTreeMap::new();
        for (function, work) in &self.leadership.works {
            let Some(settings) = configuration.functions.get(function) else { continue };
            let instance_memory_mb = settings.instance_memory_mb as f64;
            let mut instances = work.demanded_instances();
            if !self.is_on(Policy::SpareInstances) {
                instances.spare = 0;
            }
            if !self.is_on(Policy::DemandClasses) {
                instances = DemandedInstances { needed: instances.total(), ..DemandedInstances::default() };
            }
            let demand = Demand {
                memory_mb: f64::from(instances.needed) * instance_memory_mb,
                warm_mb: f64::from(instances.warm) * instance_memory_mb,
                spare_mb: f64::from(instances.spare) * instance_memory_mb,
                starts: f64::from(work.wanted_operations()),
            };
            if demand != Demand::default() {
                own_demands.insert(function.clone(), demand);
            }
        }
        self.publish_demand(&own_demands, members.len());
        // Before the first list nothing is known that could be split: by a split of nothing a node that is just
        // back would stop the cells of all that it leads as soon as it sees them.
        if !self.leadership.has_list {
            return;
        }
        // The split goes over the whole configuration: it is done when something it rests on changed.
        let gossip_digest = self
            .gossip
            .topics("demand/")
            .fold(0u64, |sum, item| sum.rotate_left(5) ^ item.sequence.wrapping_add(item.origin));
        let basis = (
            self.configuration.generation(),
            self.leadership.placement.total_memory_mb(),
            members.len(),
            self.leadership.works.len(),
            own_demands.clone(),
        );
        let split = &self.leadership.split;
        let pause = match (split.basis == basis, split.gossip_digest == gossip_digest) {
            (false, _) => Micros(0),
            (true, false) => SPLIT_PAUSE,
            (true, true) => IDLE_SPLIT_PAUSE,
        };
        if now < split.done_at + pause {
            return;
        }
        self.leadership.split = Split { basis, gossip_digest, done_at: now };
        let mut demands = own_demands.clone();
        for item in self.gossip.topics("demand/") {
            if item.origin == self.settings.node || !members.contains(&item.origin) {
                continue;
            }
            let Ok((_, demand_update)) = DemandUpdate::from_bytes((&item.body.0, 0)) else { continue };
            for entry in demand_update.entries.0 {
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
        let operations_per_second = self.settings.operations_per_second;
        // Half of the acts is every node's own in equal parts, so that a lone start never waits for
        // news; the other half follows the demand through the tree.
        let totals = Totals {
            memory_mb: self.leadership.placement.total_memory_mb() as f64,
            starts: operations_per_second / 2.0,
        };
        let shares = quota_split(&configuration, &demands, totals);
        let equal_share = operations_per_second / 2.0 / member_count;
        let mut own_actions = equal_share;
        for (function, work) in &mut self.leadership.works {
            let Some(settings) = configuration.functions.get(function) else { continue };
            // Who wants nothing is not named.
            let share = shares.get(function).copied().unwrap_or_default();
            own_actions += share.starts;
            let instance_count =
                (share.memory_mb / settings.instance_memory_mb as f64 + 0.001).floor() as u32;
            work.set_allowed_instances(instance_count);
        }
        self.leadership.rate.set_rate(own_actions, equal_share, now);
    }

    fn publish_demand(&mut self, own_demands: &BTreeMap<String, Demand>, member_count: usize) {
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
        let demand_update = DemandUpdate { entries };
        let (reported_at, sent_updates) = &self.leadership.demand_published;
        // All nodes' news reaches every node: in a large fleet each tells its own less often.
        let pause = Micros::from_millis(300.max(member_count as u64 * 13));
        if *sent_updates == demand_update || now < *reported_at + pause {
            return;
        }
        let topic = format!("demand/{:016x}", self.settings.node);
        let sequence = self.gossip.sequence(&topic) + 1;
        let body = Bytes(demand_update.to_bytes().unwrap_or_default());
        self.gossip.publish(&topic, self.settings.node, sequence, body);
        self.leadership.demand_published = (now, demand_update);
    }
}
