//! Sequences of operations on a record file, and which records must be read after each of them.

use crate::memory_folder::MemoryFolder;
use record_file::RecordFile;

pub const FLEET: u64 = 7;

pub type Records = Vec<Vec<u8>>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Appends a group of this many records.
    Append(usize),
    Sync,
    /// Rewrites the file with this many records.
    Rewrite(usize),
}

/// A possible state of the file: a prefix of the written records that has at least the durable ones.
#[derive(Clone, Debug)]
struct PossibleFile {
    written: Records,
    durable_count: usize,
}

/// Which records may and which must be read after a loss of power.
#[derive(Clone, Debug)]
pub struct Expected {
    possible: Vec<PossibleFile>,
    /// Known once the first open has returned.
    pub disk: Option<u64>,
    next_record: u8,
}

impl Expected {
    pub fn new() -> Expected {
        let empty = PossibleFile { written: Vec::new(), durable_count: 0 };
        Expected { possible: vec![empty], disk: None, next_record: 0 }
    }

    /// After a recovery has returned these records, exactly these must be read.
    pub fn recovered(&mut self, records: &Records) {
        self.possible = vec![PossibleFile { written: records.clone(), durable_count: records.len() }];
    }

    /// Why these records must not be read; `None` if they may.
    pub fn violation(&self, found: &Records) -> Option<String> {
        let fits = |possible: &PossibleFile| {
            found.len() >= possible.durable_count && possible.written.starts_with(found)
        };
        match self.possible.iter().any(fits) {
            true => None,
            false => Some(format!("found {found:?}, possible {:?}", self.possible)),
        }
    }

    fn new_records(&mut self, count: usize) -> Records {
        (0..count)
            .map(|_| {
                self.next_record += 1;
                vec![self.next_record; 1 + usize::from(self.next_record % 3)]
            })
            .collect()
    }

    /// Performs one operation; returns whether it succeeded.
    pub fn perform(&mut self, file: &mut RecordFile<MemoryFolder>, operation: Operation) -> bool {
        match operation {
            Operation::Append(count) => {
                let records = self.new_records(count);
                for possible in &mut self.possible {
                    possible.written.extend(records.iter().cloned());
                }
                file.append(&records).is_ok()
            }
            Operation::Sync => {
                let is_synced = file.sync().is_ok();
                if is_synced {
                    self.possible
                        .iter_mut()
                        .for_each(|possible| possible.durable_count = possible.written.len());
                }
                is_synced
            }
            Operation::Rewrite(count) => {
                let written = self.new_records(count);
                let rewritten = PossibleFile { durable_count: written.len(), written };
                self.possible.push(rewritten.clone());
                let is_rewritten = file.rewrite(&rewritten.written).is_ok();
                if is_rewritten {
                    self.possible = vec![rewritten];
                }
                is_rewritten
            }
        }
    }
}

/// Opens the folder and performs the operations; continues after one that failed.
pub fn run(folder: &MemoryFolder, history: &[Operation]) -> Expected {
    let mut expected = Expected::new();
    if let Ok((mut file, _)) = RecordFile::open_in(folder.clone(), FLEET) {
        expected.disk = Some(file.disk());
        for operation in history {
            expected.perform(&mut file, *operation);
        }
    }
    expected
}

/// The histories that are tested.
pub fn histories() -> Vec<Vec<Operation>> {
    use Operation::{Append, Rewrite, Sync};
    vec![
        vec![Append(1), Sync],
        vec![Append(1), Sync, Append(1), Append(1)],
        vec![Append(1), Append(2), Sync, Append(1), Append(1), Append(1)],
        vec![Append(1), Append(1), Append(1), Append(1)],
        vec![Append(2), Sync, Append(1), Sync, Append(2), Append(1)],
        vec![Append(1), Sync, Rewrite(2), Append(1), Append(1), Sync, Append(1)],
        vec![Append(1), Append(1), Rewrite(1), Sync, Append(1), Rewrite(0), Append(1), Sync],
        vec![Rewrite(3), Rewrite(1), Append(1), Sync, Append(1), Append(1), Rewrite(2), Append(1)],
    ]
}
