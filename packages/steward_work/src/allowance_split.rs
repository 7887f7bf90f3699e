use colleague_messages::stable_hash;
use configuration_check::{Allowance, Configuration, Function};
use std::collections::BTreeMap;

/// What a function wants now. Example: `Demand { memory_mb: 1200.0, starts: 2.0 }`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Memory of all the cells it wants.
    pub memory_mb: f64,
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
    children: Vec<&'a str>,
    leaves: Vec<&'a str>,
}

/// Splits the totals over the tree: at each node the floors first, then by weight up to the demand
/// (hierarchical max-min). Every node computes the same split from the same inputs.
///
/// Example: two siblings of weights 3 and 1 that both want all of 80 get 60 and 20.
pub fn allowance_split(
    configuration: &Configuration,
    demands: &BTreeMap<String, Demand>,
    totals: Totals,
) -> BTreeMap<String, Share> {
    let memory = split_one(
        configuration,
        totals.memory_mb,
        &|name| demands.get(name).map_or(0.0, |demand| demand.memory_mb),
        &|allowance| (allowance.memory_floor_mb, allowance.memory_ceiling_mb),
        &|function| function.cell_memory_mb as f64,
    );
    let starts = split_one(
        configuration,
        totals.starts,
        &|name| demands.get(name).map_or(0.0, |demand| demand.starts),
        &|allowance| (allowance.starts_floor_per_second, allowance.starts_ceiling_per_second),
        &|_| 0.0,
    );
    memory
        .into_iter()
        .map(|(name, memory_mb)| {
            let share = Share { memory_mb, starts: starts.get(&name).copied().unwrap_or(0.0) };
            (name, share)
        })
        .collect()
}

type Bounds = (Option<f64>, Option<f64>);

fn split_one(
    configuration: &Configuration,
    total: f64,
    demand_of: &dyn Fn(&str) -> f64,
    bounds_of: &dyn Fn(&Allowance) -> Bounds,
    unit_of: &dyn Fn(&Function) -> f64,
) -> BTreeMap<String, f64> {
    let mut nodes: BTreeMap<&str, TreeNode> = BTreeMap::new();
    let mut roots = Vec::new();
    for (name, allowance) in &configuration.allowances {
        let (floor, ceiling) = bounds_of(allowance);
        let node = nodes.entry(name).or_default();
        node.weight = allowance.weight;
        node.floor = floor.unwrap_or(0.0);
        node.ceiling = ceiling.unwrap_or(f64::INFINITY);
        match &allowance.parent {
            Some(parent) => nodes.entry(parent).or_default().children.push(name),
            None => roots.push(name.as_str()),
        }
    }
    for (name, function) in &configuration.functions {
        nodes.entry(&function.allowance).or_default().leaves.push(name);
    }
    for root in &roots {
        sum_demand(&mut nodes, root, demand_of);
    }
    let mut shares = BTreeMap::new();
    let root_grants = fill(total, roots.iter().map(|root| claim_of(&nodes[root])).collect());
    for (root, granted) in roots.iter().zip(root_grants) {
        hand_down(configuration, &nodes, root, granted, &Leaves { demand_of, unit_of }, &mut shares);
    }
    shares
}

fn sum_demand(nodes: &mut BTreeMap<&str, TreeNode>, name: &str, demand_of: &dyn Fn(&str) -> f64) -> f64 {
    let Some(node) = nodes.get(name) else { return 0.0 };
    let (children, ceiling) = (node.children.clone(), node.ceiling);
    let leaf_demand: f64 = node.leaves.iter().map(|leaf| demand_of(leaf)).sum();
    let child_demand: f64 = children.iter().map(|child| sum_demand(nodes, child, demand_of)).sum();
    let demand = (leaf_demand + child_demand).min(ceiling);
    if let Some(node) = nodes.get_mut(name) {
        node.demand = demand;
    }
    demand
}

struct Claim {
    demand: f64,
    weight: f64,
    floor: f64,
}

fn claim_of(node: &TreeNode) -> Claim {
    Claim { demand: node.demand, weight: node.weight, floor: node.floor }
}

fn hand_down(
    configuration: &Configuration,
    nodes: &BTreeMap<&str, TreeNode>,
    name: &str,
    granted: f64,
    leaves: &Leaves,
    shares: &mut BTreeMap<String, f64>,
) {
    let node = &nodes[name];
    let leaf_claims = node.leaves.iter().map(|leaf| Claim {
        demand: (leaves.demand_of)(leaf),
        weight: configuration.functions.get(*leaf).map_or(1.0, |function| function.weight),
        floor: 0.0,
    });
    let claims: Vec<Claim> =
        node.children.iter().map(|child| claim_of(&nodes[child])).chain(leaf_claims).collect();
    let grants = fill(granted, claims);
    for (child, grant) in node.children.iter().zip(&grants) {
        hand_down(configuration, nodes, child, *grant, leaves, shares);
    }
    let mut leaf_grants: Vec<(&str, f64)> =
        node.leaves.iter().copied().zip(grants[node.children.len()..].iter().copied()).collect();
    fill_up_cells(configuration, &mut leaf_grants, leaves);
    shares.extend(leaf_grants.into_iter().map(|(leaf, grant)| (leaf.to_owned(), grant)));
}

/// Of what functions beside each other cannot use, since it is no whole cell, those that miss least
/// for one cell more get one, as far as it goes.
fn fill_up_cells(configuration: &Configuration, leaf_grants: &mut [(&str, f64)], leaves: &Leaves) {
    let unit_of = |leaf: &str| configuration.functions.get(leaf).map_or(0.0, leaves.unit_of);
    let mut rest = 0.0;
    for (leaf, grant) in leaf_grants.iter_mut() {
        let unit = unit_of(leaf);
        if unit > 0.0 && (leaves.demand_of)(leaf) > *grant {
            let whole = ((*grant + 0.001) / unit).floor() * unit;
            rest += (*grant - whole).max(0.0);
            *grant = whole.min(*grant);
        }
    }
    let mut missing: Vec<usize> = (0..leaf_grants.len())
        .filter(|place| {
            let (leaf, grant) = leaf_grants[*place];
            unit_of(leaf) > 0.0 && (leaves.demand_of)(leaf) >= grant + unit_of(leaf)
        })
        .collect();
    // Every node draws the same order; by the hash no name is always the last.
    missing.sort_by_key(|place| stable_hash(leaf_grants[*place].0.as_bytes()));
    for place in missing {
        let unit = unit_of(leaf_grants[place].0);
        if rest + 0.001 >= unit {
            rest -= unit;
            leaf_grants[place].1 += unit;
        }
    }
}

/// What is asked of the functions: their demand, and the size of one cell, zero for what is divisible.
struct Leaves<'a> {
    demand_of: &'a dyn Fn(&str) -> f64,
    unit_of: &'a dyn Fn(&Function) -> f64,
}

/// Max-min by weight: floors first, then water rises until demands or the total are met.
fn fill(total: f64, claims: Vec<Claim>) -> Vec<f64> {
    let floor_of = |claim: &Claim| claim.floor.min(claim.demand);
    let floor_sum: f64 = claims.iter().map(floor_of).sum();
    let floor_part = if floor_sum > total { total / floor_sum } else { 1.0 };
    let mut grants: Vec<f64> = claims.iter().map(|claim| floor_of(claim) * floor_part).collect();
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
