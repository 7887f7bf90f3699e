//! Processor time of simulated machines: a node handles one event at a time, each takes time by its kind and
//! the machine's share of a core, and events that arrive meanwhile wait in order.

use crate::simulation::{Simulation, SimulationEvent};
use node_protocol::{Action, Event};
use peer_messages::Priority;
use std::collections::VecDeque;
use std::time::Duration;

/// Processor share of machines, in thousandths of a core. Example: `Processors { with_disk: 260, others: 62 }`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Processors {
    /// Share of machines with a disk.
    pub with_disk: u32,
    /// Share of all other machines.
    pub others: u32,
}

/// Processing times on a whole core, of the order that `local_fleet` measures: 1.15 ms for a complete call.
const CALL_MICROS: u64 = 700;
const MESSAGE_RECEIVED_MICROS: u64 = 70;
const MESSAGE_SENT_MICROS: u64 = 50;
const TICK_MICROS: u64 = 60;
const OTHER_MICROS: u64 = 50;
/// Events beyond this number are dropped, as in the program's inbox.
const QUEUE_LIMIT: usize = 8_192;

/// Processor of one machine.
#[derive(Default)]
pub(crate) struct Processor {
    busy_until: u64,
    /// Waiting events with their arrival times.
    waiting: VecDeque<(u64, Event)>,
    /// Bulk messages, handled when no other event waits.
    bulk: VecDeque<(u64, Event)>,
    /// Whether a tick is waiting: a second one would find nothing more to do.
    has_tick: bool,
}

impl Processor {
    /// Drops the events of a process that ended.
    pub(crate) fn clear(&mut self) {
        *self = Processor::default();
    }

    fn waiting_count(&self) -> usize {
        self.waiting.len() + self.bulk.len()
    }

    fn enqueue(&mut self, event: Event, now: u64) {
        let is_tick = matches!(event, Event::Tick);
        let is_bulk =
            matches!(&event, Event::Received(received) if received.message.priority() == Priority::Bulk);
        let queue = if is_bulk { &mut self.bulk } else { &mut self.waiting };
        if (is_tick && self.has_tick) || queue.len() >= QUEUE_LIMIT {
            return;
        }
        self.has_tick |= is_tick;
        queue.push_back((now, event));
    }

    /// The next event; messages that waited past their validity are dropped, as in the program.
    fn pop_event(&mut self, now: u64) -> Option<Event> {
        loop {
            let (arrived_at, event) = self.waiting.pop_front().or_else(|| self.bulk.pop_front())?;
            let waited = Duration::from_micros(now - arrived_at);
            match &event {
                Event::Received(envelope) if waited > envelope.message.valid_for() => continue,
                Event::Tick => self.has_tick = false,
                _ => {}
            }
            return Some(event);
        }
    }
}

fn cost_of(event: &Event) -> u64 {
    match event {
        Event::Tick => TICK_MICROS,
        Event::Received(_) => MESSAGE_RECEIVED_MICROS,
        Event::CallNeedsPermit { .. } => CALL_MICROS,
        _ => OTHER_MICROS,
    }
}

impl Simulation {
    /// Queues the event if the machine is busy, else returns it.
    pub(crate) fn queue_if_busy(&mut self, number: usize, event: Event) -> Option<Event> {
        if self.settings.processors.is_none() || self.now >= self.nodes[number].processor.busy_until {
            return Some(event);
        }
        let processor = &mut self.nodes[number].processor;
        let is_first = processor.waiting_count() == 0;
        let span = processor.busy_until - self.now;
        processor.enqueue(event, self.now);
        if is_first {
            let incarnation = self.nodes[number].incarnation;
            self.schedule_after(span, SimulationEvent::ProcessorFree { node: number, incarnation });
        }
        None
    }

    /// Marks the machine as busy for an event and the messages it caused.
    pub(crate) fn set_busy(&mut self, number: usize, event_cost: u64, actions: &[Action]) {
        if self.settings.processors.is_none() {
            return;
        }
        let share = self.processor_millis(number);
        let sent = actions.iter().filter(|action| matches!(action, Action::Send { .. })).count() as u64;
        let work = event_cost + sent * MESSAGE_SENT_MICROS;
        self.nodes[number].processor.busy_until = self.now + work * 1_000 / u64::from(share.max(1));
    }

    pub(crate) fn event_cost(&self, event: &Event) -> u64 {
        match self.settings.processors {
            Some(_) => cost_of(event),
            None => 0,
        }
    }

    pub(crate) fn processor_free(&mut self, number: usize, incarnation: u64) {
        if self.nodes[number].incarnation != incarnation {
            return;
        }
        let Some(event) = self.nodes[number].processor.pop_event(self.now) else { return };
        self.deliver_event(number, event);
        let processor = &self.nodes[number].processor;
        if processor.waiting_count() > 0 {
            let span = processor.busy_until.saturating_sub(self.now);
            self.schedule_after(span, SimulationEvent::ProcessorFree { node: number, incarnation });
        }
    }

    /// Number of events that wait for a machine's processor. Example: `simulation.waiting_events(3) < 100`.
    pub fn waiting_events(&self, number: usize) -> usize {
        self.nodes[number].processor.waiting_count()
    }

    pub(crate) fn processor_millis(&self, number: usize) -> u32 {
        match (self.settings.processors, self.nodes[number].disk.is_some()) {
            (None, _) => 1_000,
            (Some(processors), true) => processors.with_disk,
            (Some(processors), false) => processors.others,
        }
    }
}
