//! Disk writes run on their own thread, so that a stalled disk does not block the node.

use error_stack::Report;
use record_file::{RecordError, RecordFile};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

const QUEUE_LIMIT: usize = 4_096;
const GROUP_LIMIT: usize = 256;

/// Records to append and sync, or to rewrite the file with.
pub struct DiskWork {
    pub token: u64,
    pub records: Vec<Vec<u8>>,
    pub is_rewrite: bool,
}

/// The sending side of the disk thread's queue.
pub struct DiskThread {
    sender: SyncSender<DiskWork>,
}

impl DiskThread {
    /// Starts the thread. After each group commit `done` gets the group's newest token and whether it was
    /// synced.
    pub fn start(file: RecordFile, done: impl Fn(u64, bool) + Send + 'static) -> std::io::Result<DiskThread> {
        let (sender, receiver) = sync_channel(QUEUE_LIMIT);
        std::thread::Builder::new().name("disk".to_owned()).spawn(move || run(file, &receiver, &done))?;
        Ok(DiskThread { sender })
    }

    /// Queues work. Returns false if the thread has ended or the queue is full: a disk that far behind cannot
    /// be expected to catch up.
    pub fn submit(&self, work: DiskWork) -> bool {
        !matches!(self.sender.try_send(work), Err(TrySendError::Full(_) | TrySendError::Disconnected(_)))
    }
}

fn run(mut file: RecordFile, receiver: &Receiver<DiskWork>, done: &dyn Fn(u64, bool)) {
    while let Ok(first_work) = receiver.recv() {
        // Group commit: all work that is queued by now shares one sync.
        let mut group = vec![first_work];
        while group.len() < GROUP_LIMIT
            && let Ok(next_work) = receiver.try_recv()
        {
            group.push(next_work);
        }
        let newest_token = group.last().map_or(0, |work| work.token);
        if let Err(failure) = write_group(&mut file, &group) {
            // The record file refuses appends until a rewrite has restored it.
            log::error!(
                "disk write or sync failed; the record file is not used until it is rewritten: {failure:?}"
            );
            done(newest_token, false);
            continue;
        }
        done(newest_token, true);
    }
}

fn write_group(file: &mut RecordFile, group: &[DiskWork]) -> Result<(), Report<RecordError>> {
    // A rewrite contains all records that were queued before it.
    let first = group.iter().rposition(|work| work.is_rewrite).unwrap_or(0);
    for work in &group[first..] {
        match work.is_rewrite {
            true => file.rewrite(&work.records)?,
            false => file.append(&work.records)?,
        }
    }
    file.sync()
}
