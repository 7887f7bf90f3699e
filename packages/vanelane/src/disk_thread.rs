//! The disk has a thread of its own: a stalled disk never holds up the node.

use error_stack::Report;
use record_file::{RecordError, RecordFile};
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

const WAITLIST_LIMIT: usize = 4_096;
const GROUP_LIMIT: usize = 256;

/// Records to append and sync, or to rewrite the file with.
pub struct DiskWork {
    pub token: u64,
    pub records: Vec<Vec<u8>>,
    pub is_rewrite: bool,
}

/// The way to the disk's thread.
pub struct DiskThread {
    sender: SyncSender<DiskWork>,
}

impl DiskThread {
    /// Starts the thread; `done` hears the newest synced token, or the failure.
    pub fn start(file: RecordFile, done: impl Fn(u64, bool) + Send + 'static) -> std::io::Result<DiskThread> {
        let (sender, receiver) = sync_channel(WAITLIST_LIMIT);
        std::thread::Builder::new().name("disk".to_owned()).spawn(move || work(file, &receiver, &done))?;
        Ok(DiskThread { sender })
    }

    /// Hands work over; false when the disk is so far behind that it cannot be trusted to catch up.
    pub fn hand_over(&self, work: DiskWork) -> bool {
        !matches!(self.sender.try_send(work), Err(TrySendError::Full(_) | TrySendError::Disconnected(_)))
    }
}

fn work(mut file: RecordFile, receiver: &Receiver<DiskWork>, done: &dyn Fn(u64, bool)) {
    while let Ok(first_work) = receiver.recv() {
        // Whatever waits by now shares one sync: the group commit.
        let mut group = vec![first_work];
        while group.len() < GROUP_LIMIT
            && let Ok(next_work) = receiver.try_recv()
        {
            group.push(next_work);
        }
        let newest_token = group.last().map_or(0, |work| work.token);
        if let Err(failure) = write_group(&mut file, group) {
            // Nothing more is appended until a rewrite has made the file whole again.
            log::error!("the disk failed and is not trusted until it is rewritten: {failure:?}");
            done(newest_token, false);
            continue;
        }
        done(newest_token, true);
    }
}

fn write_group(file: &mut RecordFile, group: Vec<DiskWork>) -> Result<(), Report<RecordError>> {
    for work in group {
        match work.is_rewrite {
            true => file.rewrite(&work.records)?,
            false => file.append(&work.records)?,
        }
    }
    file.sync()
}

/// Opens the folder's file. Where synced records are damaged the file is set aside and a new disk is
/// formatted: it has a new id and no vote until it is taken in.
pub fn open(folder: &Path, fleet: u64) -> Result<(RecordFile, Vec<Vec<u8>>), Report<RecordError>> {
    let failure = match RecordFile::open(folder, fleet) {
        Ok(opened) => return Ok(opened),
        Err(failure) => failure,
    };
    let RecordError::Damaged(offset) = failure.current_context() else { return Err(failure) };
    let set_aside = (0..1_000)
        .map(|number| folder.join(format!("records.damaged-{number}")))
        .find(|path| !path.exists())
        .unwrap_or_else(|| folder.join("records.damaged"));
    log::error!("records are damaged at byte {offset}; the file is set aside as {}", set_aside.display());
    if std::fs::rename(folder.join("records"), set_aside).is_err() {
        return Err(failure);
    }
    RecordFile::open(folder, fleet)
}
