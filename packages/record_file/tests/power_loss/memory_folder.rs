//! A folder in memory that simulates a loss of power: each write since the file's last sync, and each change of a
//! name since the folder's last sync, is independently kept or lost.

use record_file::Folder;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

/// What a loss of power leaves of one write that was not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write is lost; if a later write was kept, zeros are in its place.
    Missing,
    /// The file has the new length, but the bytes are zeros.
    Zeros,
    /// The file has the new length, but the bytes are old ones: a copy of those before the write.
    OldBytes,
    Whole,
    /// Only the first bytes, of this number.
    First(usize),
    /// The first bytes, of this number, then zeros.
    FirstThenZeros(usize),
    /// Zeros, of this number, then the last bytes.
    ZerosThenLast(usize),
}

impl WriteOutcome {
    /// All outcomes of a write: the plain ones, and each tear point.
    pub fn all(length: usize) -> Vec<WriteOutcome> {
        let torn = |place| {
            [
                WriteOutcome::First(place),
                WriteOutcome::FirstThenZeros(place),
                WriteOutcome::ZerosThenLast(place),
            ]
        };
        WriteOutcome::plain().into_iter().chain((1..length).flat_map(torn)).collect()
    }

    pub fn plain() -> Vec<WriteOutcome> {
        vec![WriteOutcome::Missing, WriteOutcome::Zeros, WriteOutcome::OldBytes, WriteOutcome::Whole]
    }

    fn apply(self, file_bytes: &mut Vec<u8>, place: usize, written: &[u8]) {
        let (kept, length) = match self {
            WriteOutcome::Missing => return,
            WriteOutcome::OldBytes => {
                let before = file_bytes.len().min(place);
                let old_bytes = file_bytes[before.saturating_sub(written.len())..before].to_vec();
                file_bytes.resize(file_bytes.len().max(place + written.len()), 0);
                file_bytes[place..place + old_bytes.len()].copy_from_slice(&old_bytes);
                return;
            }
            WriteOutcome::Zeros => (0..0, written.len()),
            WriteOutcome::Whole => (0..written.len(), written.len()),
            WriteOutcome::First(count) => (0..count, count),
            WriteOutcome::FirstThenZeros(count) => (0..count, written.len()),
            WriteOutcome::ZerosThenLast(count) => (count..written.len(), written.len()),
        };
        if file_bytes.len() < place + length {
            file_bytes.resize(place + length, 0);
        }
        file_bytes[place + kept.start..place + kept.end].copy_from_slice(&written[kept]);
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Inode {
    synced: Vec<u8>,
    unsynced: Vec<Vec<u8>>,
}

impl Inode {
    fn view(&self) -> Vec<u8> {
        [&self.synced[..], &self.unsynced.concat()].concat()
    }

    fn after(&self, write_outcomes: &[WriteOutcome]) -> Inode {
        let mut synced = self.synced.clone();
        let mut place = synced.len();
        for (written, write_outcome) in self.unsynced.iter().zip(write_outcomes) {
            write_outcome.apply(&mut synced, place, written);
            place += written.len();
        }
        Inode { synced, unsynced: Vec::new() }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct NameChange {
    name: String,
    inode: Option<usize>,
    is_creation: bool,
}

/// The state of the folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Files {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    name_changes: Vec<NameChange>,
}

impl Files {
    fn change_name(&mut self, name: &str, inode: Option<usize>, is_creation: bool) {
        match inode {
            Some(inode) => self.names.insert(name.to_owned(), inode),
            None => self.names.remove(name),
        };
        self.name_changes.push(NameChange { name: name.to_owned(), inode, is_creation });
    }

    /// The sync of a new file also makes its name durable.
    fn sync_file(&mut self, inode: usize) {
        let synced = self.inodes[inode].view();
        self.inodes[inode] = Inode { synced, unsynced: Vec::new() };
        let creation =
            self.name_changes.iter().position(|change| change.is_creation && change.inode == Some(inode));
        let Some(creation) = creation else { return };
        let name = self.name_changes[creation].name.clone();
        self.durable_names.insert(name.clone(), inode);
        let later = self.name_changes.split_off(creation + 1);
        self.name_changes.retain(|change| change.name != name);
        self.name_changes.extend(later);
    }

    /// All subsets of the unsynced name changes, each as flags of the changes that are kept.
    pub fn name_choices(&self) -> Vec<Vec<bool>> {
        (0..1_usize << self.name_changes.len())
            .map(|kept| (0..self.name_changes.len()).map(|place| kept >> place & 1 == 1).collect())
            .collect()
    }

    fn names_after(&self, kept: &[bool]) -> BTreeMap<String, usize> {
        let mut names = self.durable_names.clone();
        for (change, _) in self.name_changes.iter().zip(kept).filter(|(_, is_kept)| **is_kept) {
            match change.inode {
                Some(inode) => names.insert(change.name.clone(), inode),
                None => names.remove(&change.name),
            };
        }
        names
    }

    /// The lengths of the unsynced writes of the file with this name, if these name changes are kept.
    pub fn unsynced(&self, kept: &[bool], name: &str) -> Vec<usize> {
        let names = self.names_after(kept);
        let inode = names.get(name).map(|inode| &self.inodes[*inode]);
        inode.map_or_else(Vec::new, |inode| inode.unsynced.iter().map(Vec::len).collect())
    }

    /// The files after a loss of power, with these name changes kept and these outcomes for the unsynced writes of the
    /// file with this name; the writes of other files are kept whole.
    pub fn after_power_loss(&self, kept: &[bool], name: &str, write_outcomes: &[WriteOutcome]) -> Files {
        let names = self.names_after(kept);
        let chosen = names.get(name);
        let inodes = self.inodes.iter().enumerate().map(|(number, inode)| match chosen {
            Some(chosen) if *chosen == number => inode.after(write_outcomes),
            _ => inode.after(&vec![WriteOutcome::Whole; inode.unsynced.len()]),
        });
        Files { inodes: inodes.collect(), durable_names: names.clone(), names, name_changes: Vec::new() }
    }

    /// The files after a loss of power that loses everything that was not synced.
    pub fn after_full_loss(&self) -> Files {
        let inodes = self.inodes.iter().map(|inode| inode.after(&[])).collect();
        let names = self.durable_names.clone();
        Files { inodes, durable_names: names.clone(), names, name_changes: Vec::new() }
    }

    pub fn name_change_count(&self) -> usize {
        self.name_changes.len()
    }
}

/// One operation that fails, with or without having its effect; the others succeed.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub step: usize,
    pub has_effect: bool,
}

#[derive(Debug, Default)]
struct Machine {
    files: Files,
    steps: usize,
    /// From this step on no operation has an effect.
    stopped_from: Option<usize>,
    fault: Option<Fault>,
}

/// A handle to the folder; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct MemoryFolder {
    machine: Rc<RefCell<Machine>>,
}

impl MemoryFolder {
    pub fn with(files: Files) -> MemoryFolder {
        let machine = Machine { files, ..Machine::default() };
        MemoryFolder { machine: Rc::new(RefCell::new(machine)) }
    }

    /// The machine stops after this many steps.
    pub fn ending_after(files: Files, steps: usize) -> MemoryFolder {
        let folder = MemoryFolder::with(files);
        folder.machine.borrow_mut().stopped_from = Some(steps);
        folder
    }

    pub fn failing(files: Files, fault: Fault) -> MemoryFolder {
        let folder = MemoryFolder::with(files);
        folder.machine.borrow_mut().fault = Some(fault);
        folder
    }

    pub fn files(&self) -> Files {
        self.machine.borrow().files.clone()
    }

    /// The number of operations that were requested.
    pub fn steps(&self) -> usize {
        self.machine.borrow().steps
    }

    fn step<T>(&self, action: impl FnOnce(&mut Files) -> io::Result<T>) -> io::Result<T> {
        let mut machine = self.machine.borrow_mut();
        let step = machine.steps;
        machine.steps += 1;
        if machine.stopped_from.is_some_and(|stopped_from| step >= stopped_from) {
            return Err(io::Error::other("the machine has no power"));
        }
        match machine.fault.filter(|fault| fault.step == step) {
            Some(fault) => {
                if fault.has_effect {
                    let _ = action(&mut machine.files);
                }
                Err(io::Error::other("the disk refused"))
            }
            None => action(&mut machine.files),
        }
    }
}

impl Folder for MemoryFolder {
    type File = usize;

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let machine = self.machine.borrow();
        let inode = machine.files.names.get(name);
        Ok(inode.map(|inode| machine.files.inodes[*inode].view()))
    }

    fn create(&self, name: &str) -> io::Result<usize> {
        self.remove(name)?;
        self.step(|files| {
            files.inodes.push(Inode::default());
            let inode = files.inodes.len() - 1;
            files.change_name(name, Some(inode), true);
            Ok(inode)
        })
    }

    fn append(&self, file: &mut usize, added_bytes: &[u8]) -> io::Result<()> {
        self.step(|files| {
            files.inodes[*file].unsynced.push(added_bytes.to_vec());
            Ok(())
        })
    }

    fn sync(&self, file: &mut usize) -> io::Result<()> {
        self.step(|files| {
            files.sync_file(*file);
            Ok(())
        })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.step(|files| {
            let inode = files.names.get(from).copied().ok_or(io::ErrorKind::NotFound)?;
            files.change_name(to, Some(inode), false);
            files.change_name(from, None, false);
            Ok(())
        })
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        if !self.machine.borrow().files.names.contains_key(name) {
            return Ok(());
        }
        self.step(|files| {
            files.change_name(name, None, false);
            Ok(())
        })
    }

    fn sync_names(&self) -> io::Result<()> {
        self.step(|files| {
            files.durable_names = files.names.clone();
            files.name_changes.clear();
            Ok(())
        })
    }
}
