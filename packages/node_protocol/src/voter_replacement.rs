//! Selection of lost voters and of the live disks that replace them, from what the owner of the voter set
//! observes of the machines with disks.

use crate::control_store::{DISK_BLANK, DISK_SPARE};
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

/// What this process observed of the voters' disks.
/// Example: `observations.update(&set, &live, now); observations.replacements(&set, &live, timeout, now)`.
#[derive(Debug, Default)]
pub(crate) struct DiskObservations {
    addresses: BTreeMap<u64, Address>,
    missing_since: BTreeMap<u64, Micros>,
    /// What was reported to the owner of the set: nodes and their states.
    reported: BTreeSet<(NodeId, u8)>,
}

impl DiskObservations {
    /// Records the disks' addresses and which voters' disks no responding member has.
    /// Example: `observations.update(&set, &live, now)` before each call of `replacements`.
    pub(crate) fn update(&mut self, set: &VoterSet, live: &[MemberUpdate], now: Micros) {
        let disks = live.iter().filter(|member| member.disk != 0);
        let voters = set.all();
        self.addresses.retain(|disk, _| voters.contains(disk));
        self.addresses.extend(disks.clone().map(|member| (member.disk, member.address)));
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
    /// and that of a live machine with a failed disk does so after `failed_timeout`. Empty without a
    /// majority.
    /// Example: `set.begin_changes(&observations.replacements(&set, &live, timeout, now))`.
    pub(crate) fn replacements(
        &self,
        set: &VoterSet,
        live: &[MemberUpdate],
        failed_timeout: Micros,
        now: Micros,
    ) -> Vec<(u64, u64)> {
        let voters = &set.disks.0;
        let lost_voters: Vec<u64> =
            voters.iter().copied().filter(|disk| self.missing_since.contains_key(disk)).collect();
        if (voters.len() - lost_voters.len()) * 2 <= voters.len() {
            return Vec::new();
        }
        // Lowest id first, so that successive owners choose the same disks.
        let mut free_disks: BTreeMap<u64, Address> = live
            .iter()
            .filter(|member| [DISK_BLANK, DISK_SPARE].contains(&member.disk_state))
            .filter(|member| member.draining == 0 && member.state == membership::ALIVE)
            .filter(|member| !set.all().contains(&member.disk))
            .map(|member| (member.disk, member.address))
            .collect();
        let is_alive_without = |address: &Address, lost: u64| {
            live.iter().any(|member| {
                member.address == *address && member.disk != lost && member.state == membership::ALIVE
            })
        };
        let mut replacements = Vec::new();
        let mut other_lost_voters = Vec::new();
        for lost in lost_voters {
            let address = self.addresses.get(&lost);
            let same_machine_disk =
                free_disks.iter().find(|(_, at)| address == Some(at)).map(|(disk, _)| *disk);
            match same_machine_disk {
                Some(replacement) => {
                    free_disks.remove(&replacement);
                    replacements.push((lost, replacement));
                }
                None => other_lost_voters.push(lost),
            }
        }
        // A disk at a voter's address is that machine's new one: it is reserved until that machine's own
        // voter counts as lost.
        let voter_addresses = self.addresses.iter().filter(|(disk, _)| voters.contains(disk));
        free_disks
            .retain(|_, address| !voter_addresses.clone().any(|(_, voter_address)| voter_address == address));
        for lost in other_lost_voters {
            let timeout = match self.addresses.get(&lost) {
                None => UNKNOWN_VOTER_TIMEOUT,
                Some(address) if is_alive_without(address, lost) => failed_timeout,
                Some(_) => LOST_TIMEOUT,
            };
            let is_due = self.missing_since.get(&lost).is_some_and(|since| now >= *since + timeout);
            if is_due && let Some((replacement, _)) = free_disks.pop_first() {
                replacements.push((lost, replacement));
            }
        }
        replacements
    }
}

#[cfg(test)]
mod tests;
