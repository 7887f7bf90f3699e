//! Selection of lost voters and of the live disks that replace them, from what the owner of the voter set
//! observes of the machines with disks.

use crate::control_store::{DISK_BLANK, DISK_SPARE};
use crate::voter_placement::{LossTolerance, PlacedDisk};
use control_registers::VoterSet;
use monotonic_clock::Micros;
use peer_messages::{Address, MemberUpdate, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// A voter suspected or gone for this long counts as lost, if a disk is available to replace it. Removal
/// from the membership takes seconds; and a restarting machine may be reported as gone a moment before its
/// new process is known.
const LOST_TIMEOUT: Micros = Micros::from_millis(800);
/// Timeout for a voter that this process has never seen, since an update about it may still be on its way.
const UNKNOWN_VOTER_TIMEOUT: Micros = Micros::from_secs(1);

/// When and where votes move. Example: `ReplacementPolicy { failed_timeout, tolerance: &settings.tolerance }`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplacementPolicy<'a> {
    /// A live machine whose disk has failed for this long loses its vote.
    pub failed_timeout: Micros,
    /// The losses that the voters' places must allow for.
    pub tolerance: &'a LossTolerance,
}

/// Where the machine of a disk is.
#[derive(Clone, Debug)]
struct DiskMachine {
    address: Address,
    zone: String,
}

/// What this process observed of the voters' disks.
/// Example: `observations.update(&set, &live, now); observations.replacements(&set, &live, policy, now)`.
#[derive(Debug, Default)]
pub(crate) struct DiskObservations {
    machines: BTreeMap<u64, DiskMachine>,
    missing_since: BTreeMap<u64, Micros>,
    /// What was reported to the owner of the set: nodes and their states.
    reported: BTreeSet<(NodeId, u8)>,
}

impl DiskObservations {
    /// Records the disks' machines and which voters' disks no responding member has.
    /// Example: `observations.update(&set, &live, now)` before each call of `replacements`.
    pub(crate) fn update(&mut self, set: &VoterSet, live: &[MemberUpdate], now: Micros) {
        let disks = live.iter().filter(|member| member.disk != 0);
        let voters = set.all();
        self.machines.retain(|disk, _| voters.contains(disk));
        self.machines.extend(disks.clone().map(|member| (member.disk, machine_of(member))));
        let responding: BTreeSet<u64> =
            disks.filter(|member| member.state == membership::ALIVE).map(|member| member.disk).collect();
        self.missing_since.retain(|disk, _| voters.contains(disk) && !responding.contains(disk));
        for disk in voters.difference(&responding) {
            self.missing_since.entry(*disk).or_insert(now);
        }
    }

    /// Updates to send to the owner of the set immediately, each once: voters that do not respond, and
    /// blank disks. By probes alone the owner would learn of them a second later.
    /// Example: `observations.unreported(&set, &live)` at each node that is not the owner.
    pub(crate) fn unreported(&mut self, set: &VoterSet, live: &[MemberUpdate]) -> Vec<MemberUpdate> {
        let is_reportable = |member: &&MemberUpdate| {
            let is_voter = set.disks.0.contains(&member.disk);
            member.disk_state == DISK_BLANK || (is_voter && member.state == membership::SUSPECTED)
        };
        let reportable: Vec<MemberUpdate> = live.iter().filter(is_reportable).cloned().collect();
        let previous = std::mem::take(&mut self.reported);
        self.reported.extend(reportable.iter().map(|member| (member.node, member.state)));
        reportable.into_iter().filter(|member| !previous.contains(&(member.node, member.state))).collect()
    }

    /// The voters to replace now, each with the disk that gets its vote. A machine that returns with
    /// another disk gets its own vote back immediately. The vote of a lost machine goes to a spare disk,
    /// and that of a live machine with a failed disk does so after its timeout. While no voter is lost, votes
    /// move if the loss of a zone or region would otherwise take a majority. Empty without a majority.
    /// Example: `set.begin_changes(&observations.replacements(&set, &live, policy, now))`.
    pub(crate) fn replacements(
        &self,
        set: &VoterSet,
        live: &[MemberUpdate],
        policy: ReplacementPolicy,
        now: Micros,
    ) -> Vec<(u64, u64)> {
        let voters = &set.disks.0;
        let lost_voters: Vec<u64> =
            voters.iter().copied().filter(|disk| self.missing_since.contains_key(disk)).collect();
        if (voters.len() - lost_voters.len()) * 2 <= voters.len() {
            return Vec::new();
        }
        let mut free_disks = free_disks(set, live);
        let mut replacements = Vec::new();
        let mut other_lost_voters = Vec::new();
        for lost in &lost_voters {
            let address = self.machines.get(lost).map(|machine| machine.address);
            let same_machine_disk =
                free_disks.iter().find(|(_, at)| address == Some(at.address)).map(|(disk, _)| *disk);
            match same_machine_disk {
                Some(replacement) => {
                    free_disks.remove(&replacement);
                    replacements.push((*lost, replacement));
                }
                None => other_lost_voters.push(*lost),
            }
        }
        // A disk at a voter's address is that machine's new one: it is reserved until that machine's own
        // voter counts as lost.
        let is_reserved = |machine: &DiskMachine| {
            let mut voter_machines = self.machines.iter().filter(|(disk, _)| voters.contains(disk));
            voter_machines.any(|(_, voter_machine)| voter_machine.address == machine.address)
        };
        free_disks.retain(|_, machine| !is_reserved(machine));
        if lost_voters.is_empty() {
            return self.rebalancing(voters, &free_disks, policy.tolerance);
        }
        let staying: Vec<u64> = voters.iter().copied().filter(|disk| !lost_voters.contains(disk)).collect();
        let mut staying = self.placed(&staying);
        staying.extend(replacements.iter().filter_map(|(lost, added)| self.placed_as(*lost, *added)));
        for lost in other_lost_voters {
            if !self.is_replacement_due(lost, live, policy.failed_timeout, now) {
                continue;
            }
            let available = placed_disks(&free_disks);
            let Some(replacement) = policy.tolerance.best_addition(&staying, &available) else { break };
            if let Some(machine) = free_disks.remove(&replacement) {
                staying.push(PlacedDisk { disk: replacement, zone: machine.zone });
                replacements.push((lost, replacement));
            }
        }
        replacements
    }

    /// Whether a lost voter was absent for so long that another disk gets its vote.
    fn is_replacement_due(
        &self,
        lost: u64,
        live: &[MemberUpdate],
        failed_timeout: Micros,
        now: Micros,
    ) -> bool {
        let is_alive_without = |address: Address| {
            live.iter().any(|member| {
                member.address == address && member.disk != lost && member.state == membership::ALIVE
            })
        };
        let timeout = match self.machines.get(&lost) {
            None => UNKNOWN_VOTER_TIMEOUT,
            Some(machine) if is_alive_without(machine.address) => failed_timeout,
            Some(_) => LOST_TIMEOUT,
        };
        self.missing_since.get(&lost).is_some_and(|since| now >= *since + timeout)
    }

    /// The votes to move where a tolerated loss of a zone or region would take a majority of the voters, and
    /// free disks elsewhere can prevent it: a zone has returned whose votes went to other zones, or it had no
    /// live disk at the bootstrap.
    fn rebalancing(
        &self,
        voters: &[u64],
        free_disks: &BTreeMap<u64, DiskMachine>,
        tolerance: &LossTolerance,
    ) -> Vec<(u64, u64)> {
        let placed_voters = self.placed(voters);
        if placed_voters.len() < voters.len() || tolerance.is_tolerated_by(&placed_voters) {
            return Vec::new();
        }
        let candidates = [placed_voters, placed_disks(free_disks)].concat();
        let target = tolerance.spread(&candidates, voters.len());
        if !tolerance.is_tolerated_by(&target) {
            return Vec::new();
        }
        let target: Vec<u64> = target.into_iter().map(|placed| placed.disk).collect();
        let removed = voters.iter().copied().filter(|disk| !target.contains(disk));
        let added = target.iter().copied().filter(|disk| !voters.contains(disk));
        removed.zip(added).collect()
    }

    /// These disks with their zones, as far as they are known.
    fn placed(&self, disks: &[u64]) -> Vec<PlacedDisk> {
        disks.iter().filter_map(|disk| self.placed_as(*disk, *disk)).collect()
    }

    /// Disk `added` in the zone of disk `known`.
    fn placed_as(&self, known: u64, added: u64) -> Option<PlacedDisk> {
        let zone = self.machines.get(&known)?.zone.clone();
        Some(PlacedDisk { disk: added, zone })
    }
}

fn machine_of(member: &MemberUpdate) -> DiskMachine {
    DiskMachine { address: member.address, zone: member.zone.0.clone() }
}

/// The live disks that may get a vote, lowest id first, so that successive owners choose the same ones.
fn free_disks(set: &VoterSet, live: &[MemberUpdate]) -> BTreeMap<u64, DiskMachine> {
    live.iter()
        .filter(|member| [DISK_BLANK, DISK_SPARE].contains(&member.disk_state))
        .filter(|member| member.draining == 0 && member.state == membership::ALIVE)
        .filter(|member| !set.all().contains(&member.disk))
        .map(|member| (member.disk, machine_of(member)))
        .collect()
}

fn placed_disks(disks: &BTreeMap<u64, DiskMachine>) -> Vec<PlacedDisk> {
    disks.iter().map(|(disk, machine)| PlacedDisk { disk: *disk, zone: machine.zone.clone() }).collect()
}

#[cfg(test)]
mod tests;
