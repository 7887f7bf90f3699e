//! The split of memory and start rate: each node publishes the demand of its own functions by gossip and
//! computes the same split of the totals from the demand of all nodes.

use crate::Policy;
use crate::node::Node;
use deku::{DekuContainerRead, DekuContainerWrite};
use function_scheduler::{Demand, DemandedInstances, Totals, quota_split};
use monotonic_clock::Micros;
use peer_messages::{Bytes, DemandEntry, DemandUpdate, List, NodeId};
use std::collections::BTreeMap;

/// The pause between two splits if only the demand of other nodes has changed, and if nothing has.
const SPLIT_PAUSE: Micros = Micros::from_millis(300);
const IDLE_SPLIT_PAUSE: Micros = Micros::from_secs(1);

/// The inputs of a split of quotas: the generation, the workers' memory, the number of members, the number of own
/// schedulers, and the demand of the own functions.
type SplitInputs = (u64, u64, usize, usize, BTreeMap<String, Demand>);

#[derive(Debug, Default)]
pub(super) struct Split {
    inputs: SplitInputs,
    gossip_digest: u64,
    done_at: Micros,
}

impl Node {
    /// Publishes the demand of the own functions and applies the split to them.
    pub(super) fn split_quotas(&mut self, members: &[NodeId]) {
        let now = self.now;
        let configuration = self.configuration.current();
        let mut own_demands: BTreeMap<String, Demand> = BTreeMap::new();
        for (function, scheduler) in &self.leadership.schedulers {
            let Some(settings) = configuration.functions.get(function) else { continue };
            let instance_memory_mb = settings.instance_memory_mb as f64;
            let mut instances = scheduler.demanded_instances();
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
                starts: f64::from(scheduler.wanted_operations()),
            };
            if demand != Demand::default() {
                own_demands.insert(function.clone(), demand);
            }
        }
        self.publish_demand(&own_demands, members.len());
        // Before the first list the totals are not known. With a split of zero, a restarted node would stop the
        // instances of all functions that it leads as soon as they are listed.
        if !self.leadership.has_list {
            return;
        }
        // The split covers the whole configuration, so it is repeated only when its inputs have changed.
        let gossip_digest = self
            .gossip
            .topics("demand/")
            .fold(0u64, |sum, item| sum.rotate_left(5) ^ item.sequence.wrapping_add(item.origin));
        let inputs = (
            self.configuration.generation(),
            self.leadership.placement.total_memory_mb(),
            members.len(),
            self.leadership.schedulers.len(),
            own_demands.clone(),
        );
        let split = &self.leadership.split;
        let pause = match (split.inputs == inputs, split.gossip_digest == gossip_digest) {
            (false, _) => Micros(0),
            (true, false) => SPLIT_PAUSE,
            (true, true) => IDLE_SPLIT_PAUSE,
        };
        if now < split.done_at + pause {
            return;
        }
        self.leadership.split = Split { inputs, gossip_digest, done_at: now };
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
        // Half of the operations is split equally among the nodes, so that a single start need not wait for
        // gossip; the other half follows the demand through the quota tree.
        let totals = Totals {
            memory_mb: self.leadership.placement.total_memory_mb() as f64,
            starts: operations_per_second / 2.0,
        };
        let shares = quota_split(&configuration, &demands, totals);
        let equal_share = operations_per_second / 2.0 / member_count;
        let mut own_operations = equal_share;
        for (function, scheduler) in &mut self.leadership.schedulers {
            let Some(settings) = configuration.functions.get(function) else { continue };
            // Functions without demand are not in the split.
            let share = shares.get(function).copied().unwrap_or_default();
            own_operations += share.starts;
            let instance_count =
                (share.memory_mb / settings.instance_memory_mb as f64 + 0.001).floor() as u32;
            scheduler.set_allowed_instances(instance_count);
        }
        self.leadership.rate.set_rate(own_operations, equal_share, now);
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
        let (published_at, published) = &self.leadership.demand_published;
        // Updates of all nodes reach every node, so in a large fleet each node publishes less often.
        let pause = Micros::from_millis(300.max(member_count as u64 * 13));
        if *published == demand_update || now < *published_at + pause {
            return;
        }
        let topic = format!("demand/{:016x}", self.settings.node);
        let sequence = self.gossip.sequence(&topic) + 1;
        let body = Bytes(demand_update.to_bytes().unwrap_or_default());
        self.gossip.publish(&topic, self.settings.node, sequence, body);
        self.leadership.demand_published = (now, demand_update);
    }
}
