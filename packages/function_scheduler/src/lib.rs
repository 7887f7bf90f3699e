//! A leader's work for its functions: permits within the instances' concurrency limits, the queue while
//! instances boot, starting and stopping instances within the quota tree; and the fallback scheduler's
//! reduced part.
//!
//! This package does no I/O: times and events are passed in, and actions are returned.

mod fallback_scheduler;
mod instance_demand;
mod placement;
mod quota_split;
mod retry_budget;
mod scheduler;
mod start_ids;
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
pub use start_ids::START_ID_LIMIT;
pub use start_rate::StartRate;
pub use zone::{WorkerZones, Zone, ZoneCalls};

/// Outcome of a permit: the instance ran the call and responded.
pub const RAN: u8 = 0;
/// The connection was refused; the call did not run.
pub const NOT_RUN: u8 = 1;
/// The instance refused the call as busy; it did not run.
pub const REFUSED_BUSY: u8 = 2;
/// Some bytes may have reached the instance and no complete response was received.
pub const UNKNOWN: u8 = 3;
/// The permit was not used.
pub const UNUSED: u8 = 4;
/// The client disconnected and the connection to the instance was closed. The instance may still be working;
/// this does not count as its failure.
pub const ABANDONED: u8 = 5;
