//! The errors of the record file.

/// Why the file cannot be used. Example: `RecordError::OtherFleet`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// A file operation failed.
    Storage,
    /// Another process has locked the folder.
    InUse,
    /// The folder belongs to another fleet.
    OtherFleet,
    /// The file was written by a newer version of vanelane.
    NewerFormat,
    /// Synced bytes are damaged at this offset.
    Damaged(u64),
    /// A record is empty or longer than [`crate::RECORD_LIMIT`].
    TooLong,
    /// An earlier write or sync failed: the file is not trusted until it is rewritten.
    Distrusted,
}

impl std::fmt::Display for RecordError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RecordError::Storage => write!(formatter, "the disk refused"),
            RecordError::InUse => write!(formatter, "another process holds the data folder"),
            RecordError::OtherFleet => write!(formatter, "the data folder belongs to another fleet"),
            RecordError::NewerFormat => write!(formatter, "a newer vanelane wrote the data folder"),
            RecordError::Damaged(offset) => write!(formatter, "synced records are damaged at byte {offset}"),
            RecordError::TooLong => write!(formatter, "a record is empty or over the limit"),
            RecordError::Distrusted => write!(formatter, "an earlier write or sync failed"),
        }
    }
}

impl std::error::Error for RecordError {}
