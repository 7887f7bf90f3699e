use function_scheduler::{NOT_RUN, RAN, TURNED_AWAY, UNKNOWN};

/// Declares the chart: each state with the states that may follow it.
macro_rules! call_chart {
    ($($(#[$note:meta])* $state:ident => [$($next:ident),*],)*) => {
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

            /// The state's name in metrics. Example: `CallState::TicketAsked.name() == "TicketAsked"`.
            pub fn name(self) -> &'static str {
                match self { $(CallState::$state => stringify!($state),)* }
            }
        }
    };
}

call_chart! {
    /// The head is read.
    Received => [Matched, Refused],
    /// A lane takes it, and its time left is stamped.
    Matched => [TicketAsked, Refused],
    /// The steward or deputy is asked for a ticket; a newer generation may match the call anew.
    TicketAsked => [Matched, Dispatched, Refused, Unknown],
    /// Bytes may reach a cell.
    Dispatched => [TicketAsked, Answered, Refused, Unknown],
    /// A whole answer went to the visitor.
    Answered => [],
    /// The visitor was told that it did not run.
    Refused => [],
    /// The visitor was told that its fate is unknown.
    Unknown => [],
}

/// How one dispatch ended. Example: `DispatchEnd::TurnedAway.how() == function_scheduler::TURNED_AWAY`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchEnd {
    /// A whole answer came.
    Answered,
    /// It surely did not reach the cell meant.
    NotRun,
    /// The cell said that it did not run it.
    TurnedAway,
    /// Bytes may have reached the cell, and no whole answer came.
    Unknown,
    /// The call's time was over before an answer came.
    TimedOut,
}

impl DispatchEnd {
    /// How the ticket is returned. Example: `DispatchEnd::TimedOut.how() == function_scheduler::UNKNOWN`.
    pub fn how(self) -> u8 {
        match self {
            DispatchEnd::Answered => RAN,
            DispatchEnd::NotRun => NOT_RUN,
            DispatchEnd::TurnedAway => TURNED_AWAY,
            DispatchEnd::Unknown | DispatchEnd::TimedOut => UNKNOWN,
        }
    }
}

/// What a call does next. Example: `NextStep::AskAgain` after a turn-away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The ticket is used.
    Dispatch,
    /// Another ticket is asked for.
    AskAgain,
    /// A newer generation sends the call elsewhere: it is matched again.
    MatchAgain,
    /// The answer goes to the visitor.
    Answer,
    /// It is given up, in this last state.
    GiveUp(CallState),
}

/// Dispatches of one call that may reach nobody, beside those that the lane allows.
const MISSES_MOST: u32 = 8;

/// One call's walk over the chart.
/// Example: `let mut chart = CallChart::begin(); chart.step(CallState::Matched);`.
#[derive(Clone, Debug)]
pub struct CallChart {
    state: CallState,
    /// Once true, the call is never refused as not run.
    may_have_run: bool,
    dispatches: u32,
    /// Dispatches that reached a cell, or may have.
    arrivals: u32,
}

impl CallChart {
    /// A call just received. Example: `CallChart::begin().state() == CallState::Received`.
    pub fn begin() -> CallChart {
        CallChart { state: CallState::Received, may_have_run: false, dispatches: 0, arrivals: 0 }
    }

    /// The state it is in. Example: `chart.state()`.
    pub fn state(&self) -> CallState {
        self.state
    }

    /// How often it was dispatched. Example: `chart.dispatches() <= 4`.
    pub fn dispatches(&self) -> u32 {
        self.dispatches
    }

    /// Whether some dispatch may have run it. Example: `chart.may_have_run()`.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Takes a step. A step that the chart does not have, or a refusal of a call that may have run,
    /// is a broken invariant. Example: `chart.step(CallState::Matched)`.
    pub fn step(&mut self, next_state: CallState) {
        assert!(self.state.may_become(next_state), "{:?} cannot become {next_state:?}", self.state);
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
    fn lost_track(&mut self) {
        self.may_have_run = true;
    }

    /// A ticket came. It is used unless the call's time is over, or the generation that holds by now
    /// sends the call to another function or nowhere.
    /// Example: `chart.ticket_came(true, true) == NextStep::Dispatch`.
    pub fn ticket_came(&mut self, has_time_left: bool, is_still_meant: bool) -> NextStep {
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
    /// given up. Example: `chart.dispatch_ended(DispatchEnd::TurnedAway, false, 4) == NextStep::AskAgain`.
    pub fn dispatch_ended(&mut self, end: DispatchEnd, repeatable: bool, dispatch_limit: u32) -> NextStep {
        if end == DispatchEnd::Answered {
            self.step(CallState::Answered);
            return NextStep::Answer;
        }
        let is_unknown = matches!(end, DispatchEnd::Unknown | DispatchEnd::TimedOut);
        if is_unknown {
            self.lost_track();
        }
        let may_go_on = end != DispatchEnd::TimedOut && (!is_unknown || repeatable);
        // A refused connection reached nobody: it counts for the bound of all dispatches alone.
        self.arrivals += u32::from(end != DispatchEnd::NotRun);
        if !may_go_on || self.arrivals >= dispatch_limit || self.dispatches >= dispatch_limit + MISSES_MOST {
            return NextStep::GiveUp(self.give_up());
        }
        NextStep::AskAgain
    }

    /// The end for a call that is given up: refused if it surely did not run.
    /// Example: `chart.give_up() == CallState::Refused` before any dispatch.
    pub fn give_up(&mut self) -> CallState {
        let final_state = if self.may_have_run { CallState::Unknown } else { CallState::Refused };
        self.step(final_state);
        final_state
    }
}

#[cfg(test)]
mod tests;
