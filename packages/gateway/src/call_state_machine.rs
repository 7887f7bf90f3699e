use function_scheduler::{NOT_RUN, RAN, REFUSED_BUSY, UNKNOWN};

/// Declares the chart: each state with the states that may follow it.
macro_rules! call_state_machine {
    ($($(#[$note:meta])* $state:ident as $text:literal => [$($next:ident),*],)*) => {
        /// Where a call is. Example: `CallState::Received.may_become(CallState::Matched)`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum CallState { $($(#[$note])* $state,)* }

        impl CallState {
            /// Every state. Example: `CallState::ALL.len() == 7`.
            pub const ALL: &[CallState] = &[$(CallState::$state,)*];

            /// Whether the chart has this step. Example: `!CallState::Answered.may_become(CallState::Received)`.
            pub fn may_become(self, next_state: CallState) -> bool {
                let followers: &[CallState] = match self { $(CallState::$state => &[$(CallState::$next),*],)* };
                followers.contains(&next_state)
            }

            /// The state's name in metrics. Example: `CallState::PermitRequested.name() == "TicketAsked"`.
            pub fn name(self) -> &'static str {
                match self { $(CallState::$state => $text,)* }
            }
        }
    };
}

call_state_machine! {
    /// The head is read.
    Received as "Received" => [Matched, Refused],
    /// A lane takes it, and its time left is stamped.
    Matched as "Matched" => [PermitRequested, Refused],
    /// The steward or deputy is asked for a ticket; a newer generation may match the call anew.
    PermitRequested as "TicketAsked" => [Matched, Dispatched, Refused, Unknown],
    /// Bytes may reach a cell.
    Dispatched as "Dispatched" => [PermitRequested, Answered, Refused, Unknown],
    /// A whole answer went to the visitor.
    Answered as "Answered" => [],
    /// The visitor was told that it did not run.
    Refused as "Refused" => [],
    /// The visitor was told that its fate is unknown.
    Unknown as "Unknown" => [],
}

/// How one dispatch ended. Example: `DispatchEnd::RefusedBusy.outcome() == function_scheduler::REFUSED_BUSY`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchEnd {
    /// A whole answer came.
    Answered,
    /// It surely did not reach the cell meant.
    NotRun,
    /// The cell said that it did not run it.
    RefusedBusy,
    /// Bytes may have reached the cell, and no whole answer came.
    Unknown,
    /// The call's time was over before an answer came.
    TimedOut,
}

impl DispatchEnd {
    /// How the ticket is returned. Example: `DispatchEnd::TimedOut.outcome() == function_scheduler::UNKNOWN`.
    pub fn outcome(self) -> u8 {
        match self {
            DispatchEnd::Answered => RAN,
            DispatchEnd::NotRun => NOT_RUN,
            DispatchEnd::RefusedBusy => REFUSED_BUSY,
            DispatchEnd::Unknown | DispatchEnd::TimedOut => UNKNOWN,
        }
    }
}

/// What a call does next. Example: `NextStep::RequestAgain` after a turn-away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The ticket is used.
    Dispatch,
    /// Another ticket is asked for.
    RequestAgain,
    /// A newer generation sends the call elsewhere: it is matched again.
    MatchAgain,
    /// The answer goes to the visitor.
    Response,
    /// It is given up, in this last state.
    GiveUp(CallState),
}

/// Dispatches of one call that may reach nobody, beside those that the lane allows.
const UNREACHED_LIMIT: u32 = 8;

/// One call's walk over the chart.
/// Example: `let mut state_machine = CallStateMachine::begin(); state_machine.step(CallState::Matched);`.
#[derive(Clone, Debug)]
pub struct CallStateMachine {
    state: CallState,
    /// Once true, the call is never refused as not run.
    may_have_run: bool,
    dispatches: u32,
    /// Dispatches that reached a cell, or may have.
    arrivals: u32,
}

impl CallStateMachine {
    /// A call just received. Example: `CallStateMachine::begin().state() == CallState::Received`.
    pub fn begin() -> CallStateMachine {
        CallStateMachine { state: CallState::Received, may_have_run: false, dispatches: 0, arrivals: 0 }
    }

    /// The state it is in. Example: `state_machine.state()`.
    pub fn state(&self) -> CallState {
        self.state
    }

    /// How often it was dispatched. Example: `state_machine.dispatches() <= 4`.
    pub fn dispatches(&self) -> u32 {
        self.dispatches
    }

    /// Whether some dispatch may have run it. Example: `state_machine.may_have_run()`.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Takes a step. A step that the chart does not have, or a refusal of a call that may have run,
    /// is a broken invariant. Example: `state_machine.step(CallState::Matched)`.
    pub fn step(&mut self, next_state: CallState) {
        let is_allowed = self.state.may_become(next_state);
        assert!(is_allowed, "{} cannot become {}", self.state.name(), next_state.name());
        assert!(
            !(next_state == CallState::Refused && self.may_have_run),
            "a call that may have run is no refusal"
        );
        if next_state == CallState::Dispatched {
            self.dispatches += 1;
        }
        self.state = next_state;
    }

    /// A dispatch ended without telling whether it ran.
    fn mark_may_have_run(&mut self) {
        self.may_have_run = true;
    }

    /// A ticket came. It is used unless the call's time is over, or the generation that holds by now
    /// sends the call to another function or nowhere.
    /// Example: `state_machine.permit_arrived(true, true) == NextStep::Dispatch`.
    pub fn permit_arrived(&mut self, has_time_left: bool, is_still_meant: bool) -> NextStep {
        if !has_time_left || (!is_still_meant && self.may_have_run) {
            return NextStep::GiveUp(self.give_up());
        }
        if !is_still_meant {
            self.step(CallState::Matched);
            return NextStep::MatchAgain;
        }
        self.step(CallState::Dispatched);
        NextStep::Dispatch
    }

    /// A dispatch ended: answered, asked for again as far as that is safe and the limit allows, or
    /// given up. Example: `state_machine.dispatch_ended(DispatchEnd::RefusedBusy, false, 4) == NextStep::RequestAgain`.
    pub fn dispatch_ended(&mut self, end: DispatchEnd, repeatable: bool, dispatch_limit: u32) -> NextStep {
        if end == DispatchEnd::Answered {
            self.step(CallState::Answered);
            return NextStep::Response;
        }
        let is_unknown = matches!(end, DispatchEnd::Unknown | DispatchEnd::TimedOut);
        if is_unknown {
            self.mark_may_have_run();
        }
        let may_go_on = end != DispatchEnd::TimedOut && (!is_unknown || repeatable);
        // A refused connection reached nobody: it counts for the bound of all dispatches alone.
        self.arrivals += u32::from(end != DispatchEnd::NotRun);
        if !may_go_on
            || self.arrivals >= dispatch_limit
            || self.dispatches >= dispatch_limit + UNREACHED_LIMIT
        {
            return NextStep::GiveUp(self.give_up());
        }
        NextStep::RequestAgain
    }

    /// The end for a call that is given up: refused if it surely did not run.
    /// Example: `state_machine.give_up() == CallState::Refused` before any dispatch.
    pub fn give_up(&mut self) -> CallState {
        let final_state = if self.may_have_run { CallState::Unknown } else { CallState::Refused };
        self.step(final_state);
        final_state
    }
}

#[cfg(test)]
mod tests;
