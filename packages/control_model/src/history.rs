use control_registers::{ChosenSet, DISKS_KEY, DiskRegisters, VoterSet};
use peer_messages::Bytes;
use std::collections::{BTreeMap, BTreeSet};

/// What must hold after each step. Example: `violation.invariant == Invariant::OneChosenSet`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// 1: a generation of the voter set has one chosen set at the most.
    OneChosenSet,
    /// 1: nobody goes by a set that was not chosen.
    OnlyChosenInForce,
    /// 2: a version of a key that was acknowledged has one value.
    OneValueAVersion,
    /// 2: what begins after a version was acknowledged meets none older. Versions give the order in which
    /// operations took effect, so with 2 and 3 the history is linearizable.
    NothingOlderAfter,
    /// 3: one conditional write succeeds on top of a version.
    OneWriteAVersion,
    /// 3: a change of the configuration is accepted once, and alone in its generation.
    OneChangeAGeneration,
    /// 4: each quorum of the newest chosen set, of disks that were not wiped, shows each acknowledged value
    /// or a newer one.
    AcknowledgedOnQuorums,
    /// 5: what begins after an acknowledgement under an epoch and set gets none under older ones.
    NoOlderOwner,
}

/// A broken invariant. Example: `panic!("{breach:?}")`.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Which one.
    pub invariant: Invariant,
    /// What was seen.
    pub seen: String,
}

/// How often things came about in a walk, to show that it went somewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Writes that were acknowledged.
    pub writes: u64,
    /// Confirmed reads.
    pub reads: u64,
    /// Changes of the configuration that were accepted.
    pub changes: u64,
    /// Voter sets that were chosen.
    pub sets: u64,
    /// Steps.
    pub steps: u64,
}

impl Counts {
    /// Adds another walk's. Example: `total.add(&walked.counts)`.
    pub fn add(&mut self, other: &Counts) {
        self.writes += other.writes;
        self.reads += other.reads;
        self.changes += other.changes;
        self.sets += other.sets;
        self.steps += other.steps;
    }
}

/// Where a key stood when an operation began: what it must not fall behind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Mark {
    version: u64,
    epoch: (u64, u64),
    generation: u64,
}

/// An acknowledgement, as the asker and the owner see it.
#[derive(Clone, Debug)]
pub(crate) struct Acknowledged<'a> {
    pub(crate) key: &'a str,
    pub(crate) version: u64,
    pub(crate) value: &'a Bytes,
    pub(crate) epoch: (u64, u64),
    pub(crate) generation: u64,
    pub(crate) begun: &'a Mark,
    /// The ask of a write; `None` for a read.
    pub(crate) write: Option<(u64, u64)>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct KeyHistory {
    newest: Mark,
    values: BTreeMap<u64, Bytes>,
    writes: BTreeMap<u64, (u64, u64)>,
}

/// What was acknowledged and chosen so far, seen from outside.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct History {
    keys: BTreeMap<String, KeyHistory>,
    chosen: BTreeMap<u64, VoterSet>,
    /// Which disks ever synced a set under an epoch.
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

    /// A value that an owner tells to stand.
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
        let other_generation = self.accepted.iter().find(|(_, known)| **known == change).map(|(at, _)| *at);
        let other_change = self.accepted.insert(generation, change);
        if other_generation.is_some_and(|other| other != generation)
            || other_change.is_some_and(|other| other != change)
        {
            let seen = format!("change {change} as {generation}; {other_generation:?}, {other_change:?}");
            return broken(Invariant::OneChangeAGeneration, seen);
        }
        Ok(())
    }

    /// A disk synced a voter set under an epoch; true if that made it the chosen one.
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
        let standing = self.chosen.entry(set.generation).or_insert_with(|| set.clone());
        if *standing != set {
            let seen = format!("{standing:?} and {set:?}");
            broken(Invariant::OneChosenSet, seen)?;
        }
        Ok(is_new)
    }

    pub(crate) fn goes_by(&self, set: &ChosenSet) -> Result<(), Violation> {
        if self.chosen.get(&set.generation) == Some(&**set) {
            return Ok(());
        }
        broken(Invariant::OnlyChosenInForce, format!("{set:?} was not chosen"))
    }

    /// Whether any quorum of the newest chosen set would show something older than was acknowledged:
    /// a read takes the value of the highest epoch that it meets.
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
