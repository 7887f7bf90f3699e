use configuration_schema::{Configuration, Function, Quota};
use peer_messages::stable_hash;
use std::collections::BTreeMap;

/// A function's current demand. Memory is granted in this order: for current calls, then to keep called
/// functions fast, then for functions without calls so far.
///
/// Example: `Demand { memory_mb: 1200.0, starts: 2.0, ..Demand::default() }`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Memory of the instances needed for running and queued calls.
    pub memory_mb: f64,
    /// Memory of further instances that keep responses in time at the current call rate.
    pub warm_mb: f64,
    /// Memory of instances for a function that was not called yet.
    pub spare_mb: f64,
    /// Starts and stops wanted per second.
    pub starts: f64,
}

/// The resources to split. Example: `Totals { memory_mb: 78_000.0, starts: 80.0 }`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Memory of all usable workers.
    pub memory_mb: f64,
    /// Starts and stops the platform accepts each second.
    pub starts: f64,
}

/// A function's share. Example: `shares["proof"].memory_mb`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Memory for its instances.
    pub memory_mb: f64,
    /// Starts and stops per second.
    pub starts: f64,
}

#[derive(Default)]
struct TreeNode<'a> {
    demand: f64,
    weight: f64,
    floor: f64,
    ceiling: f64,
    /// What the functions below this node were granted by the previous split.
    granted: f64,
    children: Vec<&'a str>,
    /// Indices into the list of functions with a demand.
    leaves: Vec<usize>,
}

/// Splits the totals over the quota tree: at each node floors first, then by weight up to the demand
/// (hierarchical max-min fairness). Every node computes the same split from the same inputs. Only functions
/// with a demand are visited and returned, so the cost follows the demands and not the size of the
/// configuration.
///
/// Example: two siblings of weights 3 and 1 that both want all of 80 get 60 and 20.
pub fn quota_split(
    configuration: &Configuration,
    demands: &BTreeMap<String, Demand>,
    totals: Totals,
) -> BTreeMap<String, Share> {
    let leaf_functions: Vec<Leaf> = demands
        .iter()
        .filter_map(|(name, demand)| {
            let function = configuration.functions.get(name)?;
            Some(Leaf { name, function, demand: *demand })
        })
        .collect();
    let memory = split_memory(configuration, totals.memory_mb, &leaf_functions);
    let starts = split_resource(
        configuration,
        totals.starts,
        &leaf_functions,
        &vec![0.0; leaf_functions.len()],
        &|leaf| leaf.demand.starts,
        &|quota| (quota.starts_floor_per_second, quota.starts_ceiling_per_second),
        &|_| 0.0,
    );
    leaf_functions
        .iter()
        .zip(memory.into_iter().zip(starts))
        .map(|(leaf, (memory_mb, starts))| (leaf.name.to_owned(), Share { memory_mb, starts }))
        .collect()
}

/// The largest share of the memory not needed for calls that may be held ready for functions without calls so
/// far.
const SPARE_SHARE: f64 = 0.5;

/// Splits the memory three times, each split keeping the grants of the one before: for current calls, for
/// keeping called functions fast, and for functions that were not called yet.
fn split_memory(configuration: &Configuration, total: f64, leaf_functions: &[Leaf]) -> Vec<f64> {
    let split = |total: f64, granted: &[f64], demand_of: &dyn Fn(&Leaf) -> f64| {
        let bounds_of: &dyn Fn(&Quota) -> Bounds = &|quota| (quota.memory_floor_mb, quota.memory_ceiling_mb);
        let unit_of: &dyn Fn(&Function) -> f64 = &|function| function.instance_memory_mb as f64;
        split_resource(configuration, total, leaf_functions, granted, demand_of, bounds_of, unit_of)
    };
    let needed = split(total, &vec![0.0; leaf_functions.len()], &|leaf| leaf.demand.memory_mb);
    let any_demand =
        |amount: fn(&Demand) -> f64| leaf_functions.iter().any(|leaf| amount(&leaf.demand) > 0.0);
    if !any_demand(|demand| demand.warm_mb) && !any_demand(|demand| demand.spare_mb) {
        return needed;
    }
    let warm = split(total, &needed, &|leaf| leaf.demand.memory_mb + leaf.demand.warm_mb);
    if !any_demand(|demand| demand.spare_mb) {
        return warm;
    }
    let warm_total: f64 = warm.iter().sum();
    let spare_total = warm_total + (total - warm_total).max(0.0) * SPARE_SHARE;
    split(spare_total, &warm, &|leaf| leaf.demand.memory_mb + leaf.demand.warm_mb + leaf.demand.spare_mb)
}

type Bounds = (Option<f64>, Option<f64>);

/// A function with a demand.
struct Leaf<'a> {
    name: &'a str,
    function: &'a Function,
    demand: Demand,
}

/// The grants of one resource, in the order of the leaves; none is less than what was already granted.
fn split_resource(
    configuration: &Configuration,
    total: f64,
    leaf_functions: &[Leaf],
    granted: &[f64],
    demand_of: &dyn Fn(&Leaf) -> f64,
    bounds_of: &dyn Fn(&Quota) -> Bounds,
    unit_of: &dyn Fn(&Function) -> f64,
) -> Vec<f64> {
    let mut nodes: BTreeMap<&str, TreeNode> = BTreeMap::new();
    let mut roots = Vec::new();
    for (name, quota) in &configuration.quotas {
        let (floor, ceiling) = bounds_of(quota);
        let node = nodes.entry(name).or_default();
        node.weight = quota.weight;
        node.floor = floor.unwrap_or(0.0);
        node.ceiling = ceiling.unwrap_or(f64::INFINITY);
        match &quota.parent {
            Some(parent) => nodes.entry(parent).or_default().children.push(name),
            None => roots.push(name.as_str()),
        }
    }
    for (index, leaf) in leaf_functions.iter().enumerate() {
        nodes.entry(&leaf.function.quota).or_default().leaves.push(index);
    }
    let leaves = Leaves { leaf_functions, granted, demand_of, unit_of };
    for root in &roots {
        sum_demand(&mut nodes, root, &leaves);
    }
    let mut grants = vec![0.0; leaf_functions.len()];
    let root_grants = max_min_fill(total, roots.iter().map(|root| claim_of(&nodes[root])).collect());
    for (root, granted) in roots.iter().zip(root_grants) {
        distribute(&nodes, root, granted, &leaves, &mut grants);
    }
    grants
}

/// Sums the demand and the earlier grants below a node.
fn sum_demand(nodes: &mut BTreeMap<&str, TreeNode>, name: &str, leaves: &Leaves) -> (f64, f64) {
    let Some(node) = nodes.get(name) else { return (0.0, 0.0) };
    let (children, ceiling) = (node.children.clone(), node.ceiling);
    let mut demand: f64 = node.leaves.iter().map(|index| leaves.demand(*index)).sum();
    let mut granted: f64 = node.leaves.iter().map(|index| leaves.granted[*index]).sum();
    for child in children {
        let (child_demand, child_granted) = sum_demand(nodes, child, leaves);
        demand += child_demand;
        granted += child_granted;
    }
    let demand = demand.min(ceiling);
    if let Some(node) = nodes.get_mut(name) {
        node.demand = demand;
        node.granted = granted;
    }
    (demand, granted)
}

struct Claim {
    demand: f64,
    weight: f64,
    floor: f64,
}

fn claim_of(node: &TreeNode) -> Claim {
    Claim { demand: node.demand, weight: node.weight, floor: node.floor.max(node.granted) }
}

fn distribute(
    nodes: &BTreeMap<&str, TreeNode>,
    name: &str,
    granted: f64,
    leaves: &Leaves,
    grants: &mut [f64],
) {
    let node = &nodes[name];
    let leaf_claims = node.leaves.iter().map(|index| Claim {
        demand: leaves.demand(*index),
        weight: leaves.leaf_functions[*index].function.weight,
        floor: leaves.granted[*index],
    });
    let claims: Vec<Claim> =
        node.children.iter().map(|child| claim_of(&nodes[child])).chain(leaf_claims).collect();
    let child_grants = max_min_fill(granted, claims);
    for (child, grant) in node.children.iter().zip(&child_grants) {
        distribute(nodes, child, *grant, leaves, grants);
    }
    let mut leaf_grants: Vec<(usize, f64)> =
        node.leaves.iter().copied().zip(child_grants[node.children.len()..].iter().copied()).collect();
    grant_whole_instances(&mut leaf_grants, leaves);
    for (index, grant) in leaf_grants {
        grants[index] = grant;
    }
}

/// Collects the parts of sibling grants that are too small for a whole instance and gives them, one instance
/// at a time, to siblings whose demand has room for one more.
fn grant_whole_instances(leaf_grants: &mut [(usize, f64)], leaves: &Leaves) {
    let mut remainder = 0.0;
    for (index, grant) in leaf_grants.iter_mut() {
        let unit = leaves.unit(*index);
        if unit > 0.0 && leaves.demand(*index) > *grant {
            let whole = ((*grant + 0.001) / unit).floor() * unit;
            remainder += (*grant - whole).max(0.0);
            *grant = whole.min(*grant);
        }
    }
    let mut short_of_one: Vec<&mut (usize, f64)> = leaf_grants
        .iter_mut()
        .filter(|(index, grant)| {
            let unit = leaves.unit(*index);
            unit > 0.0 && leaves.demand(*index) >= *grant + unit
        })
        .collect();
    // The order is the same on every node; ordering by hash avoids a fixed disadvantage by name.
    short_of_one.sort_by_cached_key(|(index, _)| stable_hash(leaves.leaf_functions[*index].name.as_bytes()));
    for (index, grant) in short_of_one {
        let unit = leaves.unit(*index);
        if remainder + 0.001 >= unit {
            remainder -= unit;
            *grant += unit;
        }
    }
}

/// The functions' demand for one resource, and the size of one instance; zero if the resource is divisible.
struct Leaves<'a> {
    leaf_functions: &'a [Leaf<'a>],
    /// What each function was granted already.
    granted: &'a [f64],
    demand_of: &'a dyn Fn(&Leaf) -> f64,
    unit_of: &'a dyn Fn(&Function) -> f64,
}

impl Leaves<'_> {
    fn demand(&self, index: usize) -> f64 {
        (self.demand_of)(&self.leaf_functions[index])
    }

    fn unit(&self, index: usize) -> f64 {
        (self.unit_of)(self.leaf_functions[index].function)
    }
}

/// Weighted max-min fairness: floors first, then all claims rise in proportion to their weights until demands
/// are met or the total is used up.
fn max_min_fill(total: f64, claims: Vec<Claim>) -> Vec<f64> {
    let floor_of = |claim: &Claim| claim.floor.min(claim.demand);
    let floor_sum: f64 = claims.iter().map(floor_of).sum();
    let floor_share = if floor_sum > total { total / floor_sum } else { 1.0 };
    let mut grants: Vec<f64> = claims.iter().map(|claim| floor_of(claim) * floor_share).collect();
    let mut remaining = (total - grants.iter().sum::<f64>()).max(0.0);
    let mut unmet: Vec<usize> =
        (0..claims.len()).filter(|index| claims[*index].demand > grants[*index]).collect();
    while remaining > 1e-9 && !unmet.is_empty() {
        let weight_sum: f64 = unmet.iter().map(|index| claims[*index].weight).sum();
        // The rise per weight at which the first unmet claim is met or the total is used up.
        let level = unmet
            .iter()
            .map(|index| (claims[*index].demand - grants[*index]) / claims[*index].weight)
            .fold(remaining / weight_sum, f64::min);
        for index in &unmet {
            grants[*index] += level * claims[*index].weight;
        }
        remaining -= level * weight_sum;
        unmet.retain(|index| claims[*index].demand - grants[*index] > 1e-9);
    }
    grants
}

#[cfg(test)]
mod tests;
