//! Exploration of the model's states: breadth first up to a depth, and by random walks.

use crate::{Action, Counts, Fleet, Limits, Violation};
use fastrand::Rng;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};

/// Number of sets that the fingerprints of visited states are split over, to reduce lock contention between threads.
const SHARDS: usize = 64;
/// Number of messages in flight above which a walk loses some.
const IN_FLIGHT_LIMIT: usize = 40;
/// Steps in a thousand before which the machine that clients prefer changes.
const LEADER_CHANGES_PER_THOUSAND: u32 = 8;

/// A violation and the steps that led to it.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The violated invariant.
    pub violation: Violation,
    /// The actions from the bootstrapped fleet on.
    pub path: Vec<Action>,
}

/// The result of a breadth-first exploration.
#[derive(Clone, Debug)]
pub struct Exploration {
    /// Number of distinct states visited.
    pub states: usize,
    /// The depth up to which all states were visited.
    pub depth: usize,
    /// Whether no further state exists beyond that depth.
    pub is_whole: bool,
    /// The first failure, if any.
    pub failure: Option<Failure>,
}

struct Step {
    fleet: Fleet,
    path: Vec<Action>,
}

struct Visited(Vec<Mutex<HashSet<u64>>>);

impl Visited {
    fn insert(&self, fingerprint: u64) -> bool {
        let shard = &self.0[fingerprint as usize % SHARDS];
        shard.lock().unwrap_or_else(std::sync::PoisonError::into_inner).insert(fingerprint)
    }

    fn count(&self) -> usize {
        self.0.iter().map(|shard| shard.lock().map_or(0, |fingerprints| fingerprints.len())).sum()
    }
}

/// Visits every state up to a depth, breadth first, on several threads. No further level is begun once
/// `most_states` were visited. Example: `explore(&Limits::racing_writes(), 12, 1_000_000, 4).failure.is_none()`.
pub fn explore(limits: &Limits, depth: usize, most_states: usize, threads: usize) -> Exploration {
    let visited = Visited((0..SHARDS).map(|_| Mutex::new(HashSet::new())).collect());
    let bootstrapped = Fleet::bootstrapped(&Arc::new(limits.clone()));
    visited.insert(bootstrapped.fingerprint());
    let mut level = vec![Step { fleet: bootstrapped, path: Vec::new() }];
    for reached in 0..depth {
        let chunk_size = level.len().div_ceil(threads.max(1)).max(1);
        let chunks: Vec<Result<Vec<Step>, Failure>> = std::thread::scope(|scope| {
            let visited = &visited;
            let workers: Vec<_> = level
                .chunks(chunk_size)
                .map(|steps| scope.spawn(move || next_level(steps, visited)))
                .collect();
            workers.into_iter().map(|worker| worker.join().expect("a worker's own panic")).collect()
        });
        let mut next_steps = Vec::new();
        for steps in chunks {
            match steps {
                Ok(steps) => next_steps.extend(steps),
                Err(failure) => {
                    let (states, failure) = (visited.count(), Some(failure));
                    return Exploration { states, depth: reached + 1, is_whole: false, failure };
                }
            }
        }
        level = next_steps;
        let (states, is_whole) = (visited.count(), level.is_empty());
        if is_whole || states >= most_states {
            return Exploration { states, depth: reached + 1, is_whole, failure: None };
        }
    }
    Exploration { states: visited.count(), depth, is_whole: false, failure: None }
}

fn next_level(steps: &[Step], visited: &Visited) -> Result<Vec<Step>, Failure> {
    let mut next_steps = Vec::new();
    for step in steps {
        for action in step.fleet.actions() {
            let mut fleet = step.fleet.clone();
            let outcome = fleet.apply(&action);
            let is_new = outcome.is_err() || visited.insert(fleet.fingerprint());
            if !is_new {
                continue;
            }
            let mut path = step.path.clone();
            path.push(action);
            match outcome {
                Ok(()) => next_steps.push(Step { fleet, path }),
                Err(violation) => return Err(Failure { violation, path }),
            }
        }
    }
    Ok(next_steps)
}

/// The result of walks.
#[derive(Clone, Debug, Default)]
pub struct Walks {
    /// The counts of all walks.
    pub counts: Counts,
    /// The first failure, with the walk's seed.
    pub failure: Option<(u64, Failure)>,
}

/// Walks through the states at random, reproducibly for a seed. Each walk chooses the frequency of each kind of
/// action at random, so that some walks have few faults and others many of one kind.
/// Example: `walk(&Limits::everything(), 7, 400).failure.is_none()`.
pub fn walk(limits: &Limits, seed: u64, length: usize) -> Walks {
    let mut rng = Rng::with_seed(seed);
    let mut action_weights = ActionWeights::random(limits.owners, &mut rng);
    let mut fleet = Fleet::bootstrapped(&Arc::new(limits.clone()));
    let mut path = Vec::new();
    for _ in 0..length {
        let Some(action) = action_weights.pick(&fleet, &mut rng) else { break };
        path.push(action);
        if let Err(violation) = fleet.apply(&action) {
            return Walks { counts: fleet.counts, failure: Some((seed, Failure { violation, path })) };
        }
    }
    Walks { counts: fleet.counts, failure: None }
}

/// How a walk chooses the next action.
struct ActionWeights {
    /// Steps in a thousand that are rare actions while an ordinary one is possible.
    rare_share: u32,
    /// The weight of each kind of action.
    weights: [u32; Action::KINDS],
    owners: usize,
    /// The machine at which most of the owners' actions take place.
    leader: usize,
    /// A machine whose process receives nothing for a while and then continues with outdated knowledge.
    frozen: Option<usize>,
}

impl ActionWeights {
    fn random(owners: usize, rng: &mut Rng) -> ActionWeights {
        let mut weights = [0; Action::KINDS];
        for weight in &mut weights {
            *weight = [0, 1, 1, 4][rng.usize(..4)];
        }
        for (kind, weight) in
            [(Action::DELIVER, 12), (Action::SYNC, 12), (Action::CONTINUE, 6), (Action::BEGIN, 6)]
        {
            weights[kind] = weight;
        }
        let rare_share = [5, 20, 50, 150][rng.usize(..4)];
        ActionWeights { rare_share, weights, owners, leader: rng.usize(..owners), frozen: None }
    }

    fn pick(&mut self, fleet: &Fleet, rng: &mut Rng) -> Option<Action> {
        if fleet.packet_count() > IN_FLIGHT_LIMIT {
            return Some(Action::Lose { packet: rng.usize(..fleet.packet_count()) });
        }
        if rng.u32(..1_000) < LEADER_CHANGES_PER_THOUSAND {
            self.change_leader(rng);
        }
        if let Some(packet) = self.frozen.and_then(|frozen| fleet.packet_for(frozen)) {
            return Some(Action::Lose { packet });
        }
        let (ordinary, rare): (Vec<Action>, Vec<Action>) =
            fleet.actions().into_iter().partition(Action::is_ordinary);
        let is_rare = ordinary.is_empty() || rng.u32(..1_000) < self.rare_share;
        let (mut picked, other) = if is_rare { (rare, ordinary) } else { (ordinary, rare) };
        let is_frozen = |action: &Action| self.frozen.is_some() && action.owner() == self.frozen;
        picked.retain(|action| self.weights[action.kind()] > 0 && !is_frozen(action));
        let picked = if picked.is_empty() { other } else { picked };
        self.pick_of(&picked, rng)
    }

    fn change_leader(&mut self, rng: &mut Rng) {
        self.leader = rng.usize(..self.owners);
        match self.frozen.take() {
            Some(woken) => self.leader = woken,
            None if rng.bool() => self.frozen = Some(rng.usize(..self.owners)),
            None => {}
        }
    }

    /// Chooses a kind by its weight, however many actions of it there are, then one of its actions.
    fn pick_of(&self, picked: &[Action], rng: &mut Rng) -> Option<Action> {
        let mut kinds: Vec<usize> = picked.iter().map(Action::kind).collect();
        kinds.sort_unstable();
        kinds.dedup();
        let total: u32 = kinds.iter().map(|kind| self.weights[*kind].max(1)).sum();
        let mut random = rng.u32(..total.max(1));
        let kind = kinds.into_iter().find(|kind| {
            let weight = self.weights[*kind].max(1);
            let is_chosen = random < weight;
            random = random.saturating_sub(weight);
            is_chosen
        })?;
        let of_kind: Vec<&Action> = picked.iter().filter(|action| action.kind() == kind).collect();
        let at_leader: Vec<&Action> =
            of_kind.iter().filter(|action| action.owner() == Some(self.leader)).copied().collect();
        let candidates = if at_leader.is_empty() || rng.u8(..10) == 0 { of_kind } else { at_leader };
        rng.choice(candidates).copied()
    }
}
