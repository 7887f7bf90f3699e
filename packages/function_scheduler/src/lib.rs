//! A steward's work for its functions: tickets within what cells may run at once, the waitlist while
//! cells boot, starting and stopping cells within the allowance tree, and the deputy's reduced part.
//!
//! All of it is pure: times and events come in, acts go out.

mod fallback_scheduler;
mod instance_demand;
mod placement;
mod quota_split;
mod retry_budget;
mod scheduler;
mod start_rate;
mod zone;

pub use fallback_scheduler::{FallbackInstance, FallbackRequest, FallbackScheduler};
pub use instance_demand::{CostModel, InstanceDemand, InstanceShape};
pub use placement::{ListedWorker, Placement};
pub use quota_split::{Demand, Share, Totals, quota_split};
pub use retry_budget::RetryLimits;
pub use scheduler::{
    Deferral, DemandedInstances, FunctionScheduler, HandoverState, ListedInstance, PermitParameters,
    ReadyInstance, RequestDetails, SchedulerAction, SchedulerSettings, StartOutcome, TransferredRequest,
    Urgency,
};
pub use start_rate::StartRate;
pub use zone::{WorkerZones, Zone, ZoneCalls};

/// How a ticket came back: the cell ran the call and answered.
pub const RAN: u8 = 0;
/// The connection was refused: the call did not run.
pub const NOT_RUN: u8 = 1;
/// The cell turned the call away: it did not run.
pub const REFUSED_BUSY: u8 = 2;
/// Some bytes may have reached the cell and no whole answer came back.
pub const UNKNOWN: u8 = 3;
/// The ticket was not used.
pub const UNUSED: u8 = 4;
/// The client left and the connection to the cell was closed: the cell may still be at work. It says nothing
/// against the cell.
pub const ABANDONED: u8 = 5;
