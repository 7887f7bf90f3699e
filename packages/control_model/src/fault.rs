//! The faults that tests plant in the model.

/// A rule of the protocol that the model breaks on purpose.
/// Example: `Limits { fault: Some(PlantedFault::AnswerBeforeSync), ..limits }`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlantedFault {
    /// A disk responds before its records are synced.
    AnswerBeforeSync,
    /// A disk reports as stored what its promise to a higher epoch forbids.
    PromiseFenceSkipped,
    /// A disk accepts senders with outdated voter sets.
    SetFenceSkipped,
    /// A voter set is in force as soon as one disk stored it.
    SetInForceAtOnce,
    /// One disk's response counts for two disks.
    QuorumMinusOne,
    /// A change of the voter set ends before any key is copied.
    CopySkipped,
}
