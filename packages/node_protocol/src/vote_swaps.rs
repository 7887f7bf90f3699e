//! Which voters are lost, and which live disks get their votes: what the owner of the voter set sees of
//! the disk machines, and the swaps that follow from it.

use crate::control_part::{DISK_BLANK, DISK_SPARE};
use control_registers::VoterSet;
use monotonic_clock::Micros;
use peer_messages::{Address, MemberNews, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// A voter that was suspected or gone for so long is lost, if a disk waits for its vote. Removal takes
/// seconds; and a machine that restarts may be told as gone a moment before its new process is.
const LOST_PATIENCE: Micros = Micros::from_millis(800);
/// A voter that this process never met may be about to be heard of.
const UNMET_PATIENCE: Micros = Micros::from_secs(1);

/// What this process saw of the voters' disks.
/// Example: `sightings.update(&set, &live, now); sightings.swaps(&set, &live, patience, now)`.
#[derive(Debug, Default)]
pub(crate) struct DiskSightings {
    addresses: BTreeMap<u64, Address>,
    missing_since: BTreeMap<u64, Micros>,
    /// What the owner of the set was told already: processes and their states.
    told: BTreeSet<(NodeId, u8)>,
}

impl DiskSightings {
    /// Notes where disks are and which voters' disks no member has that answers.
    /// Example: `sightings.update(&set, &live, now)` before each question for swaps.
    pub(crate) fn update(&mut self, set: &VoterSet, live: &[MemberNews], now: Micros) {
        let disks = live.iter().filter(|news| news.disk != 0);
        let voters = set.all();
        self.addresses.retain(|disk, _| voters.contains(disk));
        self.addresses.extend(disks.clone().map(|news| (news.disk, news.address)));
        let answering: BTreeSet<u64> =
            disks.filter(|news| news.state == membership::ALIVE).map(|news| news.disk).collect();
        self.missing_since.retain(|disk, _| voters.contains(disk) && !answering.contains(disk));
        for disk in voters.difference(&answering) {
            self.missing_since.entry(*disk).or_insert(now);
        }
    }

    /// What the owner of the set should hear at once, each once: voters that do not answer, and blank
    /// disks. By probes alone it would hear of them a second later.
    /// Example: `sightings.untold(&set, &live)` at each node that is not the owner.
    pub(crate) fn untold(&mut self, set: &VoterSet, live: &[MemberNews]) -> Vec<MemberNews> {
        let is_telling = |news: &&MemberNews| {
            let is_voter = set.disks.0.contains(&news.disk);
            news.disk_state == DISK_BLANK || (is_voter && news.state == membership::SUSPECTED)
        };
        let telling: Vec<MemberNews> = live.iter().filter(is_telling).cloned().collect();
        let told_before = std::mem::take(&mut self.told);
        self.told.extend(telling.iter().map(|news| (news.node, news.state)));
        telling.into_iter().filter(|news| !told_before.contains(&(news.node, news.state))).collect()
    }

    /// The voters that give their votes away now, each with the disk that gets it. A machine that is
    /// back with another disk gets its own vote at once; the vote of one that is lost goes to a spare disk,
    /// and that of one that lives with a failed disk after `failed_patience`. None without a majority.
    /// Example: `set.begin_changes(&sightings.swaps(&set, &live, patience, now))`.
    pub(crate) fn swaps(
        &self,
        set: &VoterSet,
        live: &[MemberNews],
        failed_patience: Micros,
        now: Micros,
    ) -> Vec<(u64, u64)> {
        let voters = &set.disks.0;
        let lost_voters: Vec<u64> =
            voters.iter().copied().filter(|disk| self.missing_since.contains_key(disk)).collect();
        if (voters.len() - lost_voters.len()) * 2 <= voters.len() {
            return Vec::new();
        }
        // The lowest first, so that owners that follow one another pick the same.
        let mut free_disks: BTreeMap<u64, Address> = live
            .iter()
            .filter(|news| [DISK_BLANK, DISK_SPARE].contains(&news.disk_state))
            .filter(|news| news.draining == 0 && news.state == membership::ALIVE)
            .filter(|news| !set.all().contains(&news.disk))
            .map(|news| (news.disk, news.address))
            .collect();
        let is_there_without = |address: &Address, lost: u64| {
            live.iter()
                .any(|news| news.address == *address && news.disk != lost && news.state == membership::ALIVE)
        };
        let mut swaps = Vec::new();
        let mut others = Vec::new();
        for lost in lost_voters {
            let address = self.addresses.get(&lost);
            let own_disk = free_disks.iter().find(|(_, at)| address == Some(at)).map(|(disk, _)| *disk);
            match own_disk {
                Some(fresh) => {
                    free_disks.remove(&fresh);
                    swaps.push((lost, fresh));
                }
                None => others.push(lost),
            }
        }
        // A disk at a voter's address is that machine's new one: it waits until its own voter counts as lost.
        let voter_addresses = self.addresses.iter().filter(|(disk, _)| voters.contains(disk));
        free_disks.retain(|_, address| !voter_addresses.clone().any(|(_, voter_at)| voter_at == address));
        for lost in others {
            let patience = match self.addresses.get(&lost) {
                None => UNMET_PATIENCE,
                Some(address) if is_there_without(address, lost) => failed_patience,
                Some(_) => LOST_PATIENCE,
            };
            let is_due = self.missing_since.get(&lost).is_some_and(|since| now >= *since + patience);
            if is_due && let Some((fresh, _)) = free_disks.pop_first() {
                swaps.push((lost, fresh));
            }
        }
        swaps
    }
}

#[cfg(test)]
mod tests;
