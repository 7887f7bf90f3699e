//! Detects changes of the settings file by comparing its bytes, for reloads without a signal.

use std::path::Path;
use std::time::Duration;

const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Returns once the file's bytes differ from `known`, which then holds the new ones. A file that cannot be
/// read counts as unchanged.
pub async fn wait_for_change(path: &Path, known: &mut Vec<u8>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if let Ok(bytes) = std::fs::read(path)
            && bytes != *known
        {
            *known = bytes;
            return;
        }
    }
}
