//! The record of a run: one line for each thing that was sent, answered or run, with milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Result<Record, String> {
        let file = File::create(path).map_err(|failure| format!("record: {failure}"))?;
        Ok(Record { file: Mutex::new(file), started_at: Instant::now() })
    }

    pub fn millis(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let millis = self.millis();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{millis:>6} ms  {text}");
        }
    }
}
