/// Something that may happen next; machines and messages by their places.
/// Example: `for action in fleet.actions() { fleet.clone().apply(&action)?; }`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// A message arrives, and the answer to it at once.
    Deliver { packet: usize },
    /// A message arrives, and the answer is on its way for a while.
    DeliverAlone { packet: usize },
    /// A message arrives and will arrive once more.
    Repeat { packet: usize },
    /// A message is lost: only walks need it, to keep few on their way.
    Lose { packet: usize },
    /// A disk syncs all that waits.
    Sync { machine: usize },
    /// A machine loses power and starts again.
    Crash { machine: usize },
    /// A machine starts again with a blank disk.
    Wipe { machine: usize },
    /// An owner sends again what was not answered.
    Resend { machine: usize },
    /// An owner gives up what was not answered.
    GiveUp { machine: usize },
    /// An operation begins.
    Begin { operation: usize, machine: usize },
    /// A change of the voter set begins: the vote of one disk goes to another.
    BeginChange { machine: usize, lost: u64, fresh: u64 },
    /// The owner goes on with the change that is under way.
    ContinueChange { machine: usize },
    /// The voter set is read since the machine's disk holds a proposal.
    ReadSet { machine: usize },
}

impl Action {
    pub(crate) const KINDS: usize = 13;
    pub(crate) const DELIVER: usize = 0;
    pub(crate) const SYNC: usize = 4;
    pub(crate) const BEGIN: usize = 9;
    pub(crate) const CONTINUE: usize = 11;

    /// The place of its kind among all kinds.
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

    /// Without these nothing would ever be finished.
    pub(crate) fn is_ordinary(&self) -> bool {
        [Action::DELIVER, Action::SYNC, Action::CONTINUE].contains(&self.kind())
    }

    /// The machine at which a client or operator acts.
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
