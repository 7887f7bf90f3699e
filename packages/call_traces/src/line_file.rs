use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::Duration;

const QUEUE_LENGTH: usize = 4_096;

/// Appends lines to a bounded file from a thread of its own; what the disk cannot take is dropped
/// and counted, and nobody waits. Example: `LineFile::start(path, 1 << 30)?.write(line)`.
#[derive(Debug)]
pub struct LineFile {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LineFile {
    /// Appends to a file until it has so many bytes. Example: `LineFile::start(path, 1 << 30)`.
    pub fn start(path: &Path, most_bytes: u64) -> std::io::Result<LineFile> {
        let file = std::fs::OpenOptions::new().create(true).append(true).open(path)?;
        let length = file.metadata()?.len();
        let (sender, receiver) = sync_channel(QUEUE_LENGTH);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted_dropped = dropped.clone();
        std::thread::Builder::new().name("line file".to_owned()).spawn(move || {
            write_all(BufWriter::new(file), &receiver, most_bytes.saturating_sub(length), &counted_dropped);
        })?;
        Ok(LineFile { sender, dropped })
    }

    /// Hands a line over without waiting; the line's end is added. Example: `file.write(b"{}".to_vec())`.
    pub fn write(&self, line: Vec<u8>) {
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Lines that were lost. Example: `file.dropped() == 0`.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn write_all(
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
                        log::warn!("a line file is full or its disk fails: nothing more is written to it");
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
