use call_traces::LineFile;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// One recorded call, written as one JSON line.
///
/// Example: `{"at_micros": 12, "lane": "proofs", "method": "POST", "path": "/proof/1", "size": 400,
/// "status": 200, "outcome": "ran", "latency_micros": 61000}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedCall {
    /// When the call arrived, in microseconds of the recording node's clock.
    pub at_micros: u64,
    /// The route that matched; empty for none.
    #[serde(rename = "lane")]
    pub route: String,
    /// Its method.
    pub method: String,
    /// Its path without the query.
    pub path: String,
    /// The length of its body.
    pub size: u64,
    /// The response's status.
    pub status: u16,
    /// `ran`, `not_run` or `unknown`.
    pub outcome: String,
    /// From the request's head to the response's head.
    pub latency_micros: u64,
}

/// Writes recorded calls to a bounded file without delaying them.
/// Example: `Recorder::start(Path::new("day.jsonl"), 1 << 30)?.record(&call)`.
#[derive(Debug)]
pub struct Recorder {
    file: LineFile,
}

impl Recorder {
    /// Appends to a file up to a maximum size in bytes. Example: `Recorder::start(path, 1 << 30)`.
    pub fn start(path: &Path, max_bytes: u64) -> std::io::Result<Recorder> {
        Ok(Recorder { file: LineFile::start(path, max_bytes)? })
    }

    /// Queues a call to be written, without waiting. Example: `recorder.record(&call)`.
    pub fn record(&self, call: &RecordedCall) {
        if let Ok(line) = serde_json::to_vec(call) {
            self.file.write(line);
        }
    }

    /// The number of dropped records. Example: `recorder.dropped() == 0`.
    pub fn dropped(&self) -> u64 {
        self.file.dropped()
    }
}
