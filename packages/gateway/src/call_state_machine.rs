use function_scheduler::{NOT_RUN, RAN, REFUSED_BUSY, UNKNOWN};

/// Declares the state machine: each state with the states that may follow it.
macro_rules! call_state_machine {
    ($($(#[$note:meta])* $state:ident as $text:literal => [$($next:ident),*],)*) => {
        /// The state of a call. Example: `CallState::Received.may_become(CallState::Matched)`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum CallState { $($(#[$note])* $state,)* }

        impl CallState {
            /// Every state. Example: `CallState::ALL.len() == 7`.
            pub const ALL: &[CallState] = &[$(CallState::$state,)*];

            /// Whether this transition exists.
            /// Example: `!CallState::Answered.may_become(CallState::Received)`.
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
    /// The head was read.
    Received as "Received" => [Matched, Refused],
    /// A route matches, and the call's deadline is set.
    Matched as "Matched" => [PermitRequested, Refused],
    /// A permit is requested from the leader or a fallback; a newer configuration generation may match the
    /// call again.
    PermitRequested as "TicketAsked" => [Matched, Dispatched, Refused, Unknown],
    /// Bytes may reach an instance.
    Dispatched as "Dispatched" => [PermitRequested, Answered, Refused, Unknown],
    /// An instance's response goes to the client.
    Answered as "Answered" => [],
    /// The response states that the call did not run.
    Refused as "Refused" => [],
    /// The response states that the outcome is unknown.
    Unknown as "Unknown" => [],
}

/// How one dispatch ended. Example: `DispatchEnd::RefusedBusy.outcome() == function_scheduler::REFUSED_BUSY`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchEnd {
    /// A response arrived.
    Answered,
    /// It certainly did not reach the intended instance.
    NotRun,
    /// The instance said that it did not run the call.
    RefusedBusy,
    /// Bytes may have reached the instance, and no valid response arrived.
    Unknown,
    /// The call's time was over before a response arrived.
    TimedOut,
}

impl DispatchEnd {
    /// The outcome with which the permit is returned.
    /// Example: `DispatchEnd::TimedOut.outcome() == function_scheduler::UNKNOWN`.
    pub fn outcome(self) -> u8 {
        match self {
            DispatchEnd::Answered => RAN,
            DispatchEnd::NotRun => NOT_RUN,
            DispatchEnd::RefusedBusy => REFUSED_BUSY,
            DispatchEnd::Unknown | DispatchEnd::TimedOut => UNKNOWN,
        }
    }
}

/// What a call does next. Example: `NextStep::RequestAgain` after an instance refused it as busy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The permit is used.
    Dispatch,
    /// Another permit is requested.
    RequestAgain,
    /// A newer configuration generation routes the call elsewhere: it is matched again.
    MatchAgain,
    /// The response goes to the client.
    Response,
    /// The call is abandoned, in this final state.
    GiveUp(CallState),
}

/// Dispatches of one call that may reach no instance, in addition to those that the route allows.
const UNREACHED_LIMIT: u32 = 8;

/// The state machine of one call.
/// Example: `let mut state_machine = CallStateMachine::begin(); state_machine.step(CallState::Matched);`.
#[derive(Clone, Debug)]
pub struct CallStateMachine {
    state: CallState,
    /// Once true, the call never ends as `Refused`.
    may_have_run: bool,
    dispatches: u32,
    /// Dispatches that reached an instance, or may have.
    deliveries: u32,
}

impl CallStateMachine {
    /// A call just received. Example: `CallStateMachine::begin().state() == CallState::Received`.
    pub fn begin() -> CallStateMachine {
        CallStateMachine { state: CallState::Received, may_have_run: false, dispatches: 0, deliveries: 0 }
    }

    /// The current state. Example: `state_machine.state()`.
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

    /// Makes a transition. A transition that does not exist, or a refusal of a call that may have run, is a
    /// violated invariant and panics. Example: `state_machine.step(CallState::Matched)`.
    pub fn step(&mut self, next_state: CallState) {
        let is_allowed = self.state.may_become(next_state);
        assert!(
            is_allowed,
            "invalid call state transition from {} to {}",
            self.state.name(),
            next_state.name()
        );
        assert!(
            !(next_state == CallState::Refused && self.may_have_run),
            "a call that may have run must not be refused as not run"
        );
        if next_state == CallState::Dispatched {
            self.dispatches += 1;
        }
        self.state = next_state;
    }

    /// A dispatch ended without a sign of whether the call ran.
    fn mark_may_have_run(&mut self) {
        self.may_have_run = true;
    }

    /// A permit arrived. It is used unless the call's time is over, or the current configuration generation
    /// routes the call to another function or refuses it.
    /// Example: `state_machine.permit_arrived(true, true) == NextStep::Dispatch`.
    pub fn permit_arrived(&mut self, has_time_left: bool, is_still_allowed: bool) -> NextStep {
        if !has_time_left || (!is_still_allowed && self.may_have_run) {
            return NextStep::GiveUp(self.give_up());
        }
        if !is_still_allowed {
            self.step(CallState::Matched);
            return NextStep::MatchAgain;
        }
        self.step(CallState::Dispatched);
        NextStep::Dispatch
    }

    /// A dispatch ended. The call is answered, retried as far as that is safe and within the limit, or given
    /// up.
    /// Example: `state_machine.dispatch_ended(DispatchEnd::RefusedBusy, false, 4) == NextStep::RequestAgain`.
    pub fn dispatch_ended(&mut self, end: DispatchEnd, repeatable: bool, dispatch_limit: u32) -> NextStep {
        if end == DispatchEnd::Answered {
            self.step(CallState::Answered);
            return NextStep::Response;
        }
        let is_unknown = matches!(end, DispatchEnd::Unknown | DispatchEnd::TimedOut);
        if is_unknown {
            self.mark_may_have_run();
        }
        let may_retry = end != DispatchEnd::TimedOut && (!is_unknown || repeatable);
        // A refused connection reached no instance: it counts only towards the bound on all dispatches.
        self.deliveries += u32::from(end != DispatchEnd::NotRun);
        if !may_retry
            || self.deliveries >= dispatch_limit
            || self.dispatches >= dispatch_limit + UNREACHED_LIMIT
        {
            return NextStep::GiveUp(self.give_up());
        }
        NextStep::RequestAgain
    }

    /// Abandons the call: it is refused if it certainly did not run, and of unknown outcome otherwise.
    /// Example: `state_machine.give_up() == CallState::Refused` before any dispatch.
    pub fn give_up(&mut self) -> CallState {
        let final_state = if self.may_have_run { CallState::Unknown } else { CallState::Refused };
        self.step(final_state);
        final_state
    }
}

#[cfg(test)]
mod tests;
