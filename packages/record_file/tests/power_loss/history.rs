//! Histories of a record file, and what must be found after each of them.

use crate::memory_folder::MemoryFolder;
use record_file::RecordFile;

pub const FLEET: u64 = 7;

pub type Records = Vec<Vec<u8>>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// Appends a group of so many records.
    Append(usize),
    Sync,
    /// Rewrites the file with so many records.
    Rewrite(usize),
}

/// A file that may be found: its records in order, of which the first must be there.
#[derive(Clone, Debug)]
struct Possible {
    written: Records,
    lasting: usize,
}

/// What may be found after a loss of power, and what must.
#[derive(Clone, Debug)]
pub struct Expected {
    possible: Vec<Possible>,
    /// Known once the first open returned.
    pub disk: Option<u64>,
    next_record: u8,
}

impl Expected {
    pub fn new() -> Expected {
        let blank = Possible { written: Vec::new(), lasting: 0 };
        Expected { possible: vec![blank], disk: None, next_record: 0 }
    }

    /// After a recovery that returned these records, they alone must be found.
    pub fn recovered(&mut self, records: &Records) {
        self.possible = vec![Possible { written: records.clone(), lasting: records.len() }];
    }

    /// Why these records must not be found; `None` if they may.
    pub fn complaint(&self, found: &Records) -> Option<String> {
        let fits =
            |possible: &Possible| found.len() >= possible.lasting && possible.written.starts_with(found);
        match self.possible.iter().any(fits) {
            true => None,
            false => Some(format!("found {found:?}, possible {:?}", self.possible)),
        }
    }

    fn fresh_records(&mut self, count: usize) -> Records {
        (0..count)
            .map(|_| {
                self.next_record += 1;
                vec![self.next_record; 1 + usize::from(self.next_record % 3)]
            })
            .collect()
    }

    /// Does one operation; whether it succeeded.
    pub fn action(&mut self, file: &mut RecordFile<MemoryFolder>, op: Op) -> bool {
        match op {
            Op::Append(count) => {
                let records = self.fresh_records(count);
                for possible in &mut self.possible {
                    possible.written.extend(records.iter().cloned());
                }
                file.append(&records).is_ok()
            }
            Op::Sync => {
                let is_synced = file.sync().is_ok();
                if is_synced {
                    self.possible.iter_mut().for_each(|possible| possible.lasting = possible.written.len());
                }
                is_synced
            }
            Op::Rewrite(count) => {
                let written = self.fresh_records(count);
                let rewritten = Possible { lasting: written.len(), written };
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

/// Opens the folder and does the operations; goes on after one that failed.
pub fn run(folder: &MemoryFolder, history: &[Op]) -> Expected {
    let mut expected = Expected::new();
    if let Ok((mut file, _)) = RecordFile::open_in(folder.clone(), FLEET) {
        expected.disk = Some(file.disk());
        for op in history {
            expected.action(&mut file, *op);
        }
    }
    expected
}

/// Histories of several shapes.
pub fn shapes() -> Vec<Vec<Op>> {
    use Op::{Append, Rewrite, Sync};
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
