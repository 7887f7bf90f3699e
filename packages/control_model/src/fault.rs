/// A rule of the protocol that the model breaks on purpose.
/// Example: `Limits { fault: Some(PlantedFault::AnswerBeforeSync), ..limits }`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlantedFault {
    /// A disk answers before its records are synced.
    AnswerBeforeSync,
    /// A disk says that it stored what its promise to a higher epoch forbids.
    PromiseFenceSkipped,
    /// A disk admits senders under outdated voter sets.
    SetFenceSkipped,
    /// A voter set is gone by as soon as one disk stored it.
    SetInForceAtOnce,
    /// One disk's answer counts for two disks.
    QuorumMinusOne,
    /// A change of the voter set ends before any key was copied.
    CopySkipped,
}
