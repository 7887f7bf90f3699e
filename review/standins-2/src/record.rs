//! `record.txt`: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), began: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.began.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{seconds:9.3} s  {}", text.as_ref());
        }
    }
}
