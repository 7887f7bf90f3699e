//! A steward's work for its functions: tickets within what cells may run at once, the waitlist while
//! cells boot, starting and stopping cells within the allowance tree, and the deputy's reduced part.
//!
//! All of it is pure: times and events come in, acts go out.

mod allowance_split;
mod cell_demand;
mod deputy_work;
mod extra_budget;
mod function_work;
mod placement;
mod start_rate;
mod zone;

pub use allowance_split::{Demand, Share, Totals, allowance_split};
pub use cell_demand::{CellDemand, CellShape, CostModel};
pub use deputy_work::{DeputyAsk, DeputyCell, DeputyWork};
pub use extra_budget::ExtraBound;
pub use function_work::{
    AskDetails, DemandedCells, FunctionWork, HandedAsk, HandedWork, HeldBackAs, ListedCell, ReadyCell,
    StartOutcome, TicketWish, Urgency, WorkAct, WorkSettings,
};
pub use placement::{ListedWorker, Placement};
pub use start_rate::StartRate;
pub use zone::{WorkerZones, Zone, ZoneCalls};

/// How a ticket came back: the cell ran the call and answered.
pub const RAN: u8 = 0;
/// The connection was refused: the call did not run.
pub const NOT_RUN: u8 = 1;
/// The cell turned the call away: it did not run.
pub const TURNED_AWAY: u8 = 2;
/// Some bytes may have reached the cell and no whole answer came back.
pub const UNKNOWN: u8 = 3;
/// The ticket was not used.
pub const UNUSED: u8 = 4;
/// The client left and the connection to the cell was closed: the cell may still be at work. It says nothing
/// against the cell.
pub const ABANDONED: u8 = 5;
