//! What was acknowledged and chosen in a run, and the invariants over it.

use control_registers::{ChosenSet, DISKS_KEY, DiskRegisters, VoterSet};
use peer_messages::Bytes;
use std::collections::{BTreeMap, BTreeSet};

/// A condition that must hold after each step. Example: `violation.invariant == Invariant::OneChosenSet`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// 1: a generation of the voter set has at most one chosen set.
    OneChosenSet,
    /// 1: no process uses a set that was not chosen.
    OnlyChosenInForce,
    /// 2: an acknowledged version of a key has one value.
    OneValueAVersion,
    /// 2: an operation that begins after a version was acknowledged sees no older one. Versions give the order in
    /// which operations took effect, so 2 and 3 together make the history linearizable.
    NothingOlderAfter,
    /// 3: at most one conditional write succeeds on top of a version.
    OneWriteAVersion,
    /// 3: a change of the configuration is accepted in one generation, and no other change in the same one.
    OneChangeAGeneration,
    /// 4: each quorum of the newest chosen set, without wiped disks, shows each acknowledged value or a newer one.
    AcknowledgedOnQuorums,
    /// 5: an operation that begins after an acknowledgement under an epoch and voter set is not acknowledged under
    /// older ones.
    NoOlderOwner,
}

/// A violated invariant. Example: `panic!("{violation:?}")`.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// The observation that violates it.
    pub seen: String,
}

/// How often each kind of event happened in a walk, to show that the walk made progress.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Acknowledged writes.
    pub writes: u64,
    /// Confirmed reads.
    pub reads: u64,
    /// Accepted changes of the configuration.
    pub changes: u64,
    /// Chosen voter sets.
    pub sets: u64,
    /// Steps.
    pub steps: u64,
}

impl Counts {
    /// Adds the counts of another walk. Example: `total.add(&walked.counts)`.
    pub fn add(&mut self, other: &Counts) {
        self.writes += other.writes;
        self.reads += other.reads;
        self.changes += other.changes;
        self.sets += other.sets;
        self.steps += other.steps;
    }
}

/// The newest acknowledged version, epoch and set generation of a key when an operation began; the operation must
/// not fall behind them. The name is part of violation texts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Mark {
    version: u64,
    epoch: (u64, u64),
    generation: u64,
}

/// An acknowledgement, as the requester and the owner see it.
#[derive(Clone, Debug)]
pub(crate) struct Acknowledged<'a> {
    pub(crate) key: &'a str,
    pub(crate) version: u64,
    pub(crate) value: &'a Bytes,
    pub(crate) epoch: (u64, u64),
    pub(crate) generation: u64,
    pub(crate) begun: &'a Mark,
    /// Process and request id of a write; `None` for a read.
    pub(crate) write: Option<(u64, u64)>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct KeyHistory {
    newest: Mark,
    values: BTreeMap<u64, Bytes>,
    writes: BTreeMap<u64, (u64, u64)>,
}

/// What was acknowledged and chosen so far, as observed from outside.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct History {
    keys: BTreeMap<String, KeyHistory>,
    chosen: BTreeMap<u64, VoterSet>,
    /// The disks that ever synced a set under an epoch.
    stored_sets: BTreeMap<(u64, (u64, u64), Bytes), BTreeSet<u64>>,
    accepted: BTreeMap<u64, u64>,
}

fn broken(invariant: Invariant, seen: String) -> Result<(), Violation> {
    Err(Violation { invariant, seen })
}

impl History {
    pub(crate) fn bootstrapped(bootstrap_set: &VoterSet) -> History {
        let chosen = BTreeMap::from([(bootstrap_set.generation, bootstrap_set.clone())]);
        History { chosen, ..History::default() }
    }

    pub(crate) fn acknowledged_mark(&self, key: &str) -> Mark {
        self.keys.get(key).map(|key_history| key_history.newest.clone()).unwrap_or_default()
    }

    pub(crate) fn newest_set(&self) -> &VoterSet {
        self.chosen.values().next_back().expect("the founding set at least")
    }

    pub(crate) fn acknowledge(&mut self, acknowledged: &Acknowledged) -> Result<(), Violation> {
        let Acknowledged { key, version, value, epoch, generation, begun, write } = acknowledged;
        let (version, epoch, generation) = (*version, *epoch, *generation);
        let key_history = self.keys.entry((*key).to_owned()).or_default();
        let is_behind = version < begun.version || (write.is_some() && version == begun.version);
        if is_behind {
            let seen = format!("{key}: version {version} after {} was acknowledged", begun.version);
            return broken(Invariant::NothingOlderAfter, seen);
        }
        if epoch < begun.epoch || generation < begun.generation {
            let seen = format!("{key}: epoch {epoch:?} and set {generation} after {begun:?}");
            return broken(Invariant::NoOlderOwner, seen);
        }
        if let Some(write) = write
            && let Some(other) = key_history.writes.insert(version, *write)
            && other != *write
        {
            let seen = format!("{key}: version {version} by {other:?} and {write:?}");
            return broken(Invariant::OneWriteAVersion, seen);
        }
        key_history.newest.version = key_history.newest.version.max(version);
        key_history.newest.epoch = key_history.newest.epoch.max(epoch);
        key_history.newest.generation = key_history.newest.generation.max(generation);
        self.shown(key, version, value)
    }

    /// Records a value that an owner reported as current.
    pub(crate) fn shown(&mut self, key: &str, version: u64, value: &Bytes) -> Result<(), Violation> {
        let key_history = self.keys.entry(key.to_owned()).or_default();
        let known = key_history.values.entry(version).or_insert_with(|| value.clone());
        if known != value {
            let seen = format!("{key}: version {version} is {known:?} and {value:?}");
            return broken(Invariant::OneValueAVersion, seen);
        }
        Ok(())
    }

    pub(crate) fn accept(&mut self, change: u64, generation: u64) -> Result<(), Violation> {
        let other_generation =
            self.accepted.iter().find(|(_, known)| **known == change).map(|(generation, _)| *generation);
        let other_change = self.accepted.insert(generation, change);
        if other_generation.is_some_and(|other| other != generation)
            || other_change.is_some_and(|other| other != change)
        {
            let seen = format!("change {change} as {generation}; {other_generation:?}, {other_change:?}");
            return broken(Invariant::OneChangeAGeneration, seen);
        }
        Ok(())
    }

    /// Records that a disk synced a voter set under an epoch; true if the set is chosen by that.
    pub(crate) fn set_synced(
        &mut self,
        disk: u64,
        epoch: (u64, u64),
        value: &Bytes,
    ) -> Result<bool, Violation> {
        let Some(set) = VoterSet::decode(value) else { return Ok(false) };
        let disks = self.stored_sets.entry((set.generation, epoch, value.clone())).or_default();
        disks.insert(disk);
        let Some(set_before) = self.chosen.get(&set.generation.saturating_sub(1)) else { return Ok(false) };
        if !set_before.quorum(disks) {
            return Ok(false);
        }
        let is_new = !self.chosen.contains_key(&set.generation);
        let chosen_set = self.chosen.entry(set.generation).or_insert_with(|| set.clone());
        if *chosen_set != set {
            let seen = format!("{chosen_set:?} and {set:?}");
            broken(Invariant::OneChosenSet, seen)?;
        }
        Ok(is_new)
    }

    /// Checks that a voter set in use was chosen.
    pub(crate) fn check_in_force(&self, set: &ChosenSet) -> Result<(), Violation> {
        if self.chosen.get(&set.generation) == Some(&**set) {
            return Ok(());
        }
        broken(Invariant::OnlyChosenInForce, format!("{set:?} was not chosen"))
    }

    /// Checks that no quorum of the newest chosen set shows a value older than an acknowledged one. A read takes the
    /// value with the highest epoch in its quorum.
    pub(crate) fn check_quorums(&self, disks: &BTreeMap<u64, &DiskRegisters>) -> Result<(), Violation> {
        let set = self.newest_set();
        for (key, key_history) in self.keys.iter().filter(|(key, _)| *key != DISKS_KEY) {
            let Some(value) = key_history.values.get(&key_history.newest.version) else { continue };
            let ranks: BTreeMap<u64, ((u64, u64), u64, &Bytes)> = disks
                .iter()
                .filter_map(|(disk, registers)| {
                    let (epoch, version, value) = registers.stored(key)?;
                    Some((*disk, (epoch.rank(), version, value)))
                })
                .collect();
            let rank_of = |disk: &u64| ranks.get(disk).map(|(epoch, version, _)| (*epoch, *version));
            for disk in disks.keys() {
                let found = ranks.get(disk);
                let newest_version = key_history.newest.version;
                let is_older = match found {
                    None => newest_version > 0,
                    Some((_, version, found_value)) => {
                        *version < newest_version || (*version == newest_version && *found_value != value)
                    }
                };
                let not_above = disks.keys().filter(|other| rank_of(other) <= rank_of(disk)).copied();
                if is_older && set.quorum(&not_above.collect()) {
                    let seen = format!("{key}: {found:?} instead of version {newest_version} under {set:?}");
                    return broken(Invariant::AcknowledgedOnQuorums, seen);
                }
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
