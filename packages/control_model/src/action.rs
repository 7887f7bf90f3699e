//! The steps of the model.

/// A step that may happen next; machines and messages are given by index.
/// Example: `for action in fleet.actions() { fleet.clone().apply(&action)?; }`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// A message arrives, and its response arrives at once.
    Deliver { packet: usize },
    /// A message arrives, and its response stays in flight.
    DeliverAlone { packet: usize },
    /// A message arrives and stays in flight to arrive again.
    Repeat { packet: usize },
    /// A message is lost; used only by walks, to bound the number of messages in flight.
    Lose { packet: usize },
    /// A disk syncs all waiting records.
    Sync { machine: usize },
    /// A machine loses power and starts again.
    Crash { machine: usize },
    /// A machine starts again with a blank disk.
    Wipe { machine: usize },
    /// An owner sends its unanswered messages again.
    Resend { machine: usize },
    /// An owner abandons its unanswered requests.
    GiveUp { machine: usize },
    /// An operation begins.
    Begin { operation: usize, machine: usize },
    /// A change of the voter set begins: the disk `fresh` replaces the voter `lost`.
    BeginChange { machine: usize, lost: u64, fresh: u64 },
    /// The owner continues the change of the voter set in progress.
    ContinueChange { machine: usize },
    /// The voter set is read because the machine's disk holds a proposal.
    ReadSet { machine: usize },
}

impl Action {
    pub(crate) const KINDS: usize = 13;
    pub(crate) const DELIVER: usize = 0;
    pub(crate) const SYNC: usize = 4;
    pub(crate) const BEGIN: usize = 9;
    pub(crate) const CONTINUE: usize = 11;

    /// The index of its kind among all kinds.
    pub(crate) fn kind(&self) -> usize {
        match self {
            Action::Deliver { .. } => Action::DELIVER,
            Action::DeliverAlone { .. } => 1,
            Action::Repeat { .. } => 2,
            Action::Lose { .. } => 3,
            Action::Sync { .. } => Action::SYNC,
            Action::Crash { .. } => 5,
            Action::Wipe { .. } => 6,
            Action::Resend { .. } => 7,
            Action::GiveUp { .. } => 8,
            Action::Begin { .. } => Action::BEGIN,
            Action::BeginChange { .. } => 10,
            Action::ContinueChange { .. } => Action::CONTINUE,
            Action::ReadSet { .. } => 12,
        }
    }

    /// Whether it is a kind that is needed to make progress.
    pub(crate) fn is_ordinary(&self) -> bool {
        [Action::DELIVER, Action::SYNC, Action::CONTINUE].contains(&self.kind())
    }

    /// The machine at which a client's or operator's step takes place.
    pub(crate) fn owner(&self) -> Option<usize> {
        match self {
            Action::Begin { machine, .. }
            | Action::BeginChange { machine, .. }
            | Action::ContinueChange { machine }
            | Action::ReadSet { machine } => Some(*machine),
            _ => None,
        }
    }
}
