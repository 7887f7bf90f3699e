use serde::{Deserialize, Serialize};
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// One call of a recorded day, as one JSON line.
///
/// Example: `{"at_micros": 12, "lane": "proofs", "method": "POST", "path": "/proof/1", "size": 400,
/// "status": 200, "outcome": "ran", "latency_micros": 61000}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedCall {
    /// When the call came, in microseconds of the recording node.
    pub at_micros: u64,
    /// The lane that took it; empty for none.
    pub lane: String,
    /// Its method.
    pub method: String,
    /// Its path without the query.
    pub path: String,
    /// The length of its body.
    pub size: u64,
    /// The answer's status.
    pub status: u16,
    /// `ran`, `not_run` or `unknown`.
    pub outcome: String,
    /// From the call's head to its answer's head.
    pub latency_micros: u64,
}

const WAITLIST: usize = 4_096;

/// Writes recorded calls from a thread of its own; a full waitlist drops records and counts them.
/// Example: `Recorder::start(Path::new("day.jsonl"), 1 << 30)?.record(call)`.
#[derive(Debug)]
pub struct Recorder {
    sender: SyncSender<RecordedCall>,
    dropped: Arc<AtomicU64>,
}

impl Recorder {
    /// Appends to a file until it has so many bytes.
    /// Example: `Recorder::start(path, 1 << 30)`.
    pub fn start(path: &Path, mostBytes: u64) -> std::io::Result<Recorder> {
        let file = std::fs::OpenOptions::new().create(true).append(true).open(path)?;
        let length = file.metadata()?.len();
        let (sender, receiver) = sync_channel(WAITLIST);
        let dropped = Arc::new(AtomicU64::new(0));
        let countedDropped = dropped.clone();
        std::thread::Builder::new().name("recorder".to_owned()).spawn(move || {
            write_all(BufWriter::new(file), &receiver, mostBytes.saturating_sub(length), &countedDropped);
        })?;
        Ok(Recorder { sender, dropped })
    }

    /// Hands a call over without waiting. Example: `recorder.record(call)`.
    pub fn record(&self, call: RecordedCall) {
        if self.sender.try_send(call).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Records that were lost. Example: `recorder.dropped() == 0`.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn write_all(
    mut writer: BufWriter<std::fs::File>,
    receiver: &Receiver<RecordedCall>,
    mut bytesLeft: u64,
    dropped: &AtomicU64,
) {
    let mut isFull = false;
    loop {
        match receiver.recv_timeout(Duration::from_secs(1)) {
            Ok(call) => {
                let Ok(mut line) = serde_json::to_vec(&call) else { continue };
                line.push(b'\n');
                if isFull || line.len() as u64 > bytesLeft || writer.write_all(&line).is_err() {
                    if !isFull {
                        log::warn!("the recording is full or its disk fails: nothing more is recorded");
                    }
                    isFull = true;
                    dropped.fetch_add(1, Ordering::Relaxed);
                    continue;
                }
                bytesLeft -= line.len() as u64;
            }
            Err(std::sync::mpsc::RecvTimeoutError::Timeout) => {
                let _ = writer.flush();
            }
            Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => {
                let _ = writer.flush();
                return;
            }
        }
    }
}
