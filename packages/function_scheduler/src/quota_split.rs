use configuration_schema::{Configuration, Function, Quota};
use peer_messages::stable_hash;
use std::collections::BTreeMap;

/// What a function wants now. Memory goes to calls first: what calls of now need, then what keeps called
/// functions quick, then what is kept ready for calls that nobody has made yet.
///
/// Example: `Demand { memory_mb: 1200.0, starts: 2.0, ..Demand::default() }`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Memory of the cells that calls under way and calls that wait need.
    pub memory_mb: f64,
    /// Memory of further cells that answer calls in time, by the rate at which they come.
    pub warm_mb: f64,
    /// Memory of cells for a function that nobody called yet.
    pub spare_mb: f64,
    /// Starts and stops a second it wants.
    pub starts: f64,
}

/// What there is to split. Example: `Totals { memory_mb: 78_000.0, starts: 80.0 }`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Memory of all usable workers.
    pub memory_mb: f64,
    /// Starts and stops the platform accepts each second.
    pub starts: f64,
}

/// What a function gets. Example: `shares["proof"].memory_mb`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Memory for its cells.
    pub memory_mb: f64,
    /// Starts and stops a second.
    pub starts: f64,
}

#[derive(Default)]
struct TreeNode<'a> {
    demand: f64,
    weight: f64,
    floor: f64,
    ceiling: f64,
    /// What the functions below were granted already.
    granted: f64,
    children: Vec<&'a str>,
    /// Places in the list of functions that want something.
    leaves: Vec<usize>,
}

/// Splits the totals over the tree: at each node the floors first, then by weight up to the demand
/// (hierarchical max-min). Every node computes the same split from the same inputs. Only functions that
/// want something are gone through and named in the outcome: the cost follows the demands, not the
/// configuration.
///
/// Example: two siblings of weights 3 and 1 that both want all of 80 get 60 and 20.
pub fn quota_split(
    configuration: &Configuration,
    demands: &BTreeMap<String, Demand>,
    totals: Totals,
) -> BTreeMap<String, Share> {
    let wanting: Vec<Leaf> = demands
        .iter()
        .filter_map(|(name, demand)| {
            let function = configuration.functions.get(name)?;
            Some(Leaf { name, function, demand: *demand })
        })
        .collect();
    let memory = split_memory(configuration, totals.memory_mb, &wanting);
    let starts = split_one(
        configuration,
        totals.starts,
        &wanting,
        &vec![0.0; wanting.len()],
        &|leaf| leaf.demand.starts,
        &|quota| (quota.starts_floor_per_second, quota.starts_ceiling_per_second),
        &|_| 0.0,
    );
    wanting
        .iter()
        .zip(memory.into_iter().zip(starts))
        .map(|(leaf, (memory_mb, starts))| (leaf.name.to_owned(), Share { memory_mb, starts }))
        .collect()
}

/// Of the memory that no call needs, so much at the most is held ready for functions that nobody called.
const SPARE_SHARE: f64 = 0.5;

/// Three splits of the memory, each of which leaves everybody what the one before it gave: for the calls of
/// now, for called functions that are to be quick, and for functions that nobody called yet.
fn split_memory(configuration: &Configuration, total: f64, wanting: &[Leaf]) -> Vec<f64> {
    let split = |total: f64, granted: &[f64], demand_of: &dyn Fn(&Leaf) -> f64| {
        let bounds_of: &dyn Fn(&Quota) -> Bounds = &|quota| (quota.memory_floor_mb, quota.memory_ceiling_mb);
        let unit_of: &dyn Fn(&Function) -> f64 = &|function| function.instance_memory_mb as f64;
        split_one(configuration, total, wanting, granted, demand_of, bounds_of, unit_of)
    };
    let needed = split(total, &vec![0.0; wanting.len()], &|leaf| leaf.demand.memory_mb);
    let wants = |part: fn(&Demand) -> f64| wanting.iter().any(|leaf| part(&leaf.demand) > 0.0);
    if !wants(|demand| demand.warm_mb) && !wants(|demand| demand.spare_mb) {
        return needed;
    }
    let warm = split(total, &needed, &|leaf| leaf.demand.memory_mb + leaf.demand.warm_mb);
    if !wants(|demand| demand.spare_mb) {
        return warm;
    }
    let warm_total: f64 = warm.iter().sum();
    let spare_total = warm_total + (total - warm_total).max(0.0) * SPARE_SHARE;
    split(spare_total, &warm, &|leaf| leaf.demand.memory_mb + leaf.demand.warm_mb + leaf.demand.spare_mb)
}

type Bounds = (Option<f64>, Option<f64>);

/// A function that wants something.
struct Leaf<'a> {
    name: &'a str,
    function: &'a Function,
    demand: Demand,
}

/// The grants of one total, in the order of the leaves; none is less than what was granted already.
fn split_one(
    configuration: &Configuration,
    total: f64,
    wanting: &[Leaf],
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
    for (place, leaf) in wanting.iter().enumerate() {
        nodes.entry(&leaf.function.quota).or_default().leaves.push(place);
    }
    let leaves = Leaves { wanting, granted, demand_of, unit_of };
    for root in &roots {
        sum_demand(&mut nodes, root, &leaves);
    }
    let mut grants = vec![0.0; wanting.len()];
    let root_grants = fill(total, roots.iter().map(|root| claim_of(&nodes[root])).collect());
    for (root, granted) in roots.iter().zip(root_grants) {
        distribute(&nodes, root, granted, &leaves, &mut grants);
    }
    grants
}

/// Sums up what is wanted below a node, and what was granted there already.
fn sum_demand(nodes: &mut BTreeMap<&str, TreeNode>, name: &str, leaves: &Leaves) -> (f64, f64) {
    let Some(node) = nodes.get(name) else { return (0.0, 0.0) };
    let (children, ceiling) = (node.children.clone(), node.ceiling);
    let mut demand: f64 = node.leaves.iter().map(|place| leaves.demand(*place)).sum();
    let mut granted: f64 = node.leaves.iter().map(|place| leaves.granted[*place]).sum();
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
    let leaf_claims = node.leaves.iter().map(|place| Claim {
        demand: leaves.demand(*place),
        weight: leaves.wanting[*place].function.weight,
        floor: leaves.granted[*place],
    });
    let claims: Vec<Claim> =
        node.children.iter().map(|child| claim_of(&nodes[child])).chain(leaf_claims).collect();
    let filled = fill(granted, claims);
    for (child, grant) in node.children.iter().zip(&filled) {
        distribute(nodes, child, *grant, leaves, grants);
    }
    let mut leaf_grants: Vec<(usize, f64)> =
        node.leaves.iter().copied().zip(filled[node.children.len()..].iter().copied()).collect();
    fill_up_instances(&mut leaf_grants, leaves);
    for (place, grant) in leaf_grants {
        grants[place] = grant;
    }
}

/// Of what functions beside each other cannot use, since it is no whole cell, those that miss least
/// for one cell more get one, as far as it goes.
fn fill_up_instances(leaf_grants: &mut [(usize, f64)], leaves: &Leaves) {
    let mut rest = 0.0;
    for (place, grant) in leaf_grants.iter_mut() {
        let unit = leaves.unit(*place);
        if unit > 0.0 && leaves.demand(*place) > *grant {
            let whole = ((*grant + 0.001) / unit).floor() * unit;
            rest += (*grant - whole).max(0.0);
            *grant = whole.min(*grant);
        }
    }
    let mut missing: Vec<&mut (usize, f64)> = leaf_grants
        .iter_mut()
        .filter(|(place, grant)| {
            let unit = leaves.unit(*place);
            unit > 0.0 && leaves.demand(*place) >= *grant + unit
        })
        .collect();
    // Every node draws the same order; by the hash no name is always the last.
    missing.sort_by_cached_key(|(place, _)| stable_hash(leaves.wanting[*place].name.as_bytes()));
    for (place, grant) in missing {
        let unit = leaves.unit(*place);
        if rest + 0.001 >= unit {
            rest -= unit;
            *grant += unit;
        }
    }
}

/// What is asked of the functions: their demand, and the size of one cell, zero for what is divisible.
struct Leaves<'a> {
    wanting: &'a [Leaf<'a>],
    /// What each was granted already.
    granted: &'a [f64],
    demand_of: &'a dyn Fn(&Leaf) -> f64,
    unit_of: &'a dyn Fn(&Function) -> f64,
}

impl Leaves<'_> {
    fn demand(&self, place: usize) -> f64 {
        (self.demand_of)(&self.wanting[place])
    }

    fn unit(&self, place: usize) -> f64 {
        (self.unit_of)(self.wanting[place].function)
    }
}

/// Max-min by weight: floors first, then water rises until demands or the total are met.
fn fill(total: f64, claims: Vec<Claim>) -> Vec<f64> {
    let floor_of = |claim: &Claim| claim.floor.min(claim.demand);
    let floor_sum: f64 = claims.iter().map(floor_of).sum();
    let floor_share = if floor_sum > total { total / floor_sum } else { 1.0 };
    let mut grants: Vec<f64> = claims.iter().map(|claim| floor_of(claim) * floor_share).collect();
    let mut remaining = (total - grants.iter().sum::<f64>()).max(0.0);
    let mut open: Vec<usize> =
        (0..claims.len()).filter(|place| claims[*place].demand > grants[*place]).collect();
    while remaining > 1e-9 && !open.is_empty() {
        let weight_sum: f64 = open.iter().map(|place| claims[*place].weight).sum();
        // The level at which the first open claim is met, or the water ends.
        let level = open
            .iter()
            .map(|place| (claims[*place].demand - grants[*place]) / claims[*place].weight)
            .fold(remaining / weight_sum, f64::min);
        for place in &open {
            grants[*place] += level * claims[*place].weight;
        }
        remaining -= level * weight_sum;
        open.retain(|place| claims[*place].demand - grants[*place] > 1e-9);
    }
    grants
}

#[cfg(test)]
mod tests;
