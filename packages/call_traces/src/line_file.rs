use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::Duration;

/// Lines queued for the writer thread; further lines are dropped.
const QUEUE_LENGTH: usize = 4_096;

/// Appends lines to a bounded file from a thread of its own. Lines that the disk cannot take are dropped and
/// counted; the caller never waits. Example: `LineFile::start(path, 1 << 30)?.write(line)`.
#[derive(Debug)]
pub struct LineFile {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LineFile {
    /// Appends to a file up to a maximum size in bytes. Example: `LineFile::start(path, 1 << 30)`.
    pub fn start(path: &Path, max_bytes: u64) -> std::io::Result<LineFile> {
        let file = std::fs::OpenOptions::new().create(true).append(true).open(path)?;
        let length = file.metadata()?.len();
        let (sender, receiver) = sync_channel(QUEUE_LENGTH);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_dropped = dropped.clone();
        std::thread::Builder::new().name("line file".to_owned()).spawn(move || {
            run_writer(BufWriter::new(file), &receiver, max_bytes.saturating_sub(length), &writer_dropped);
        })?;
        Ok(LineFile { sender, dropped })
    }

    /// Queues a line without waiting; the line end is added. Example: `file.write(b"{}".to_vec())`.
    pub fn write(&self, line: Vec<u8>) {
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The number of dropped lines. Example: `file.dropped() == 0`.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn run_writer(
    mut writer: BufWriter<std::fs::File>,
    receiver: &Receiver<Vec<u8>>,
    mut bytes_left: u64,
    dropped: &AtomicU64,
) {
    let mut is_full = false;
    loop {
        match receiver.recv_timeout(Duration::from_secs(1)) {
            Ok(mut line) => {
                line.push(b'\n');
                if is_full || line.len() as u64 > bytes_left || writer.write_all(&line).is_err() {
                    if !is_full {
                        log::warn!(
                            "trace or recording file is full or cannot be written; dropping further lines"
                        );
                    }
                    is_full = true;
                    dropped.fetch_add(1, Ordering::Relaxed);
                    continue;
                }
                bytes_left -= line.len() as u64;
            }
            Err(RecvTimeoutError::Timeout) => {
                let _ = writer.flush();
            }
            Err(RecvTimeoutError::Disconnected) => {
                let _ = writer.flush();
                return;
            }
        }
    }
}
