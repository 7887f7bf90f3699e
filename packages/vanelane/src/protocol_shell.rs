//! The shell of the node's protocol: it carries events in and acts out, and decides nothing.

use crate::colleague_links::{ColleagueLinks, OutgoingFrame};
use crate::control_costs::ControlCosts;
use crate::disk_thread::{DiskThread, DiskWork};
use crate::node_lag::NodeLag;
use configuration_schema::{Change, ChangeOutcome};
use error_stack::Report;
use gateway::{Front, FrontLink, TicketAnswer};
use monotonic_clock::{ClockEvent, Micros, MonotonicClock, wall_clock};
use node_protocol::{
    Act, ConfigurationAnswer, Event, Node, NodeStatus, RefusedAs, StartResult, StopResult, UsageResult,
};
use peer_messages::{Address, DecisionLine, Envelope, NodeId, Priority};
use platform_client::{
    ActStamp, PlatformApi, StartAnswer, StartDocument, StopAnswer, UsageAnswer, UsageDocument,
};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use supervisor::ChildError;
use tokio::sync::{mpsc, oneshot};

const TICK: Duration = Duration::from_millis(20);
/// How often the node is told the machine's wall clock, where it reports usage.
pub const WALL_CLOCK_EVERY: Micros = Micros::from_millis(200);

/// What happens around the node.
pub enum ShellEvent {
    /// A peer's message, and when it was read from its connection.
    Heard {
        envelope: Envelope,
        at: Instant,
    },
    DiskDone {
        token: u64,
        is_synced: bool,
    },
    Protocol(Event),
    Change {
        change: Change,
        reply: oneshot::Sender<ChangeOutcome>,
    },
    Decisions {
        after: Vec<(NodeId, u64)>,
        most: u32,
        reply: oneshot::Sender<DecisionsReply>,
    },
    Status {
        reply: oneshot::Sender<NodeStatus>,
    },
    ConfirmedConfiguration {
        reply: oneshot::Sender<ConfigurationAnswer>,
    },
    BetterPlace {
        bytes: Option<usize>,
        reply: oneshot::Sender<Option<Address>>,
    },
    PlatformMoved {
        address: std::net::SocketAddr,
    },
    Drain,
}

pub struct DecisionsReply {
    pub lines: Vec<DecisionLine>,
    pub cursor: Vec<(NodeId, u64)>,
}

/// Flags that other threads look at.
#[derive(Debug, Default)]
pub struct NodeFlags {
    pub ready: AtomicBool,
    pub draining: AtomicBool,
    pub drained: AtomicBool,
}

pub struct ProtocolShell {
    pub node: Node,
    pub clock: MonotonicClock,
    pub wall_clock_event: ClockEvent,
    pub own_node: NodeId,
    pub own_address: Address,
    pub fleet: u64,
    pub links: ColleagueLinks,
    pub disk: Option<DiskThread>,
    pub platform: Rc<dyn PlatformApi>,
    pub node_name: String,
    pub front: Arc<Front>,
    pub flags: Arc<NodeFlags>,
    pub inbox_sender: mpsc::Sender<ShellEvent>,
    pub tickets: HashMap<u64, oneshot::Sender<TicketAnswer>>,
    pub changes: HashMap<u64, oneshot::Sender<ChangeOutcome>>,
    pub decisions: HashMap<u64, oneshot::Sender<DecisionsReply>>,
    pub confirmed: HashMap<u64, oneshot::Sender<ConfigurationAnswer>>,
    pub next_request: u64,
    pub logged_decision: u64,
    pub costs: ControlCosts,
    pub lag: Arc<NodeLag>,
}

impl ProtocolShell {
    /// Runs until the inbox closes.
    pub async fn run(
        &mut self,
        inbox: &mut mpsc::Receiver<ShellEvent>,
        bulk_inbox: &mut mpsc::Receiver<ShellEvent>,
        front: &mut mpsc::Receiver<FrontLink>,
    ) -> Result<(), Report<ChildError>> {
        let mut ticker = tokio::time::interval(TICK);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut ticked_at = self.clock.now();
        loop {
            tokio::select! {
                biased;
                _ = ticker.tick() => {
                    let now = self.clock.now();
                    self.front.tell_node_count(self.node.member_count());
                    let late = now - ticked_at - Micros::from_millis(TICK.as_millis() as u64);
                    self.front.tell_lag(late);
                    self.lag.ticker.note(late.duration());
                    ticked_at = now;
                    if self.node.reports_usage() && self.wall_clock_event.due(now) {
                        self.handle(Event::WallClock { unix: wall_clock::unix_now() });
                    }
                    self.handle(Event::Tick);
                    self.front.doubt_lanes(self.node.doubts_configuration());
                    self.log_decisions();
                    if let Some(line) = self.costs.due_line(Instant::now(), self.node.counts()) {
                        log::info!("{line}");
                    }
                }
                // Own calls are few, and each has somebody waiting: peers' messages do not keep them out.
                link = front.recv() => match link {
                    Some(link) => self.take_front(link),
                    None => return Ok(()),
                },
                event = inbox.recv() => match event {
                    Some(event) => self.take(event),
                    None => return Ok(()),
                },
                event = bulk_inbox.recv() => match event {
                    Some(event) => self.take(event),
                    None => return Ok(()),
                },
            }
        }
    }

    /// Decisions go to the log as they are made, where it wants them.
    fn log_decisions(&mut self) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        for line in self.node.decisions_after(self.logged_decision) {
            self.logged_decision = line.sequence;
            log::debug!("{}", line.line.0);
        }
    }

    fn take(&mut self, event: ShellEvent) {
        self.next_request += 1;
        let request = self.next_request;
        match event {
            ShellEvent::Heard { envelope, at } => {
                let (name, waited) = (envelope.message.name(), at.elapsed());
                match envelope.message.priority() {
                    Priority::Urgent => self.lag.urgent_inbox.note(waited),
                    Priority::Bulk => self.lag.bulk_inbox.note(waited),
                }
                if waited > envelope.message.useful_for() {
                    self.links.count_stale();
                    self.costs.stale(name);
                    return;
                }
                self.costs.heard(name, waited);
                self.handle(Event::Heard(envelope));
            }
            ShellEvent::DiskDone { token, is_synced } => self.handle(Event::DiskDone { token, is_synced }),
            ShellEvent::Protocol(event) => self.handle(event),
            ShellEvent::Change { change, reply } => {
                self.changes.insert(request, reply);
                self.handle(Event::ChangeAsked { request, change });
            }
            ShellEvent::Decisions { after, most, reply } => {
                self.decisions.insert(request, reply);
                self.handle(Event::DecisionsAsked { request, after, most });
            }
            ShellEvent::Status { reply } => {
                let _ = reply.send(self.node.status(self.clock.now()));
            }
            ShellEvent::BetterPlace { bytes, reply } => {
                let _ = reply.send(self.node.better_place(bytes));
            }
            ShellEvent::PlatformMoved { address } => self.platform = self.platform.moved(address),
            ShellEvent::ConfirmedConfiguration { reply } => {
                self.confirmed.insert(request, reply);
                self.handle(Event::ConfigurationAsked { request });
            }
            ShellEvent::Drain => self.handle(Event::Drain),
        }
    }

    fn take_front(&mut self, link: FrontLink) {
        match link {
            FrontLink::Ask { call, wish, reply } => {
                self.tickets.insert(call, reply);
                self.handle(Event::CallAsks { call, wish });
            }
            FrontLink::End { call } => {
                self.tickets.remove(&call);
                self.handle(Event::CallEnds { call });
            }
            FrontLink::Done { ticket, how, latency } => {
                self.handle(Event::TicketDone { ticket, how, latency });
            }
        }
    }

    /// Gives an event to the node and carries its acts out, until nothing is left.
    pub fn handle(&mut self, event: Event) {
        let duty = duty_of(&event);
        let begun = Instant::now();
        self.carry_through(event);
        self.costs.spent(duty, begun.elapsed());
    }

    fn carry_through(&mut self, event: Event) {
        let mut waiting = vec![event];
        while let Some(event) = waiting.pop() {
            for act in self.node.handle(event, self.clock.now()) {
                waiting.extend(self.perform(act));
            }
        }
    }

    /// Carries an act out; an act that failed at once comes back as an event.
    fn perform(&mut self, act: Act) -> Option<Event> {
        match act {
            Act::Send { address, to, message } => {
                let name = message.name();
                let priority = message.priority();
                let made_at = Instant::now();
                let useful_until = made_at + message.useful_for();
                let envelope = Envelope {
                    fleet: self.fleet,
                    from: self.own_node,
                    from_address: self.own_address,
                    to,
                    message,
                };
                match envelope.frame() {
                    Some(bytes) => {
                        self.costs.sent(name, bytes.len(), self.node.is_near_address(address));
                        self.links.send(address, OutgoingFrame { bytes, priority, made_at, useful_until });
                    }
                    None => log::error!("a {name} message is over the frame limit and was dropped"),
                }
            }
            Act::WriteDisk { token, records, is_rewrite } => {
                let work = DiskWork { token, records, is_rewrite };
                let is_taken = self.disk.as_ref().is_some_and(|disk| disk.hand_over(work));
                if !is_taken {
                    return Some(Event::DiskDone { token, is_synced: false });
                }
            }
            Act::List => {
                let platform = self.platform.clone();
                self.spawn(async move {
                    match platform.list().await {
                        Some((workers, cells)) => Event::Listed { workers, cells },
                        None => Event::ListFailed,
                    }
                });
            }
            Act::Start { start_id, function, worker, memory_mb, steward_epoch } => {
                let platform = self.platform.clone();
                let stamp = ActStamp { holder: self.node_name.clone(), fence: steward_epoch };
                self.spawn(async move {
                    let start = StartDocument { start_id, function, worker, memory_mb };
                    let start_id = start.start_id.clone();
                    let result = match platform.start(stamp, start).await {
                        StartAnswer::Started(started) => {
                            StartResult::Started { cell: started.cell, address: started.address }
                        }
                        StartAnswer::NoRoom => StartResult::NoRoom,
                        StartAnswer::Throttled => StartResult::Throttled,
                        StartAnswer::Unknown => StartResult::Unknown,
                    };
                    Event::StartDone { start_id, result }
                });
            }
            Act::Stop { cell, steward_epoch } => {
                let platform = self.platform.clone();
                let stamp = ActStamp { holder: self.node_name.clone(), fence: steward_epoch };
                self.spawn(async move {
                    let result = match platform.stop(stamp, cell.clone()).await {
                        StopAnswer::Stopped => StopResult::Stopped,
                        StopAnswer::Throttled => StopResult::Throttled,
                        StopAnswer::Unknown => StopResult::Unknown,
                    };
                    Event::StopDone { cell, result }
                });
            }
            Act::ReportUsage { report, fence } => {
                let platform = self.platform.clone();
                let stamp = ActStamp { holder: self.node_name.clone(), fence };
                let window = report.window;
                let counts = report.counts.0.into_iter().map(|told| (told.tenant.0, u64::from(told.count)));
                let usage = UsageDocument { window, counts: counts.collect() };
                self.spawn(async move {
                    let result = match platform.report_usage(stamp, usage).await {
                        UsageAnswer::Accepted => UsageResult::Accepted,
                        UsageAnswer::Fenced => UsageResult::Fenced,
                        UsageAnswer::Throttled => UsageResult::Throttled,
                        UsageAnswer::Unknown => UsageResult::Unknown,
                    };
                    Event::UsageReported { window, fence, result }
                });
            }
            Act::CallGranted { call, ticket } => {
                let reply = self.tickets.remove(&call);
                let is_gone = match reply {
                    Some(reply) => reply.send(TicketAnswer::Granted(ticket.clone())).is_err(),
                    None => true,
                };
                if is_gone {
                    return Some(Event::TicketDone {
                        ticket,
                        how: function_scheduler::UNUSED,
                        latency: Micros(0),
                    });
                }
            }
            Act::CallRefused { call, refused_as, reason, retry_after } => {
                if let Some(reply) = self.tickets.remove(&call) {
                    let _ = reply.send(TicketAnswer::Refused {
                        is_full: reason == "waitlist full",
                        is_missing: refused_as == RefusedAs::NoFunction,
                        reason,
                        retry_after,
                    });
                }
            }
            Act::ConfigurationTaken { generation, configuration, deltas } => {
                log::info!("configuration generation {generation} holds");
                self.front.take_changed_configuration(generation, &configuration, &deltas);
            }
            Act::CellHosts { hosts } => self.front.take_cell_hosts(hosts),
            Act::ChangeAnswered { request, outcome, .. } => {
                if let Some(reply) = self.changes.remove(&request) {
                    let _ = reply.send(outcome);
                }
            }
            Act::ConfigurationAnswered { request, answer } => {
                if let Some(reply) = self.confirmed.remove(&request) {
                    let _ = reply.send(answer);
                }
            }
            Act::DecisionsAnswered { request, lines, cursor } => {
                if let Some(reply) = self.decisions.remove(&request) {
                    let _ = reply.send(DecisionsReply { lines, cursor });
                }
            }
            Act::Ready => {
                log::info!("ready");
                self.front.know_lanes();
                self.flags.ready.store(true, Ordering::Relaxed);
            }
            Act::Drained => self.flags.drained.store(true, Ordering::Relaxed),
        }
        None
    }

    fn spawn(&self, work: impl std::future::Future<Output = Event> + 'static) {
        let inbox = self.inbox_sender.clone();
        actix_rt::spawn(async move {
            let event = work.await;
            let _ = inbox.send(ShellEvent::Protocol(event)).await;
        });
    }
}

/// What processor time is counted under: the kind of event, or of message.
fn duty_of(event: &Event) -> &'static str {
    match event {
        Event::Tick => "tick",
        Event::Heard(envelope) => envelope.message.name(),
        Event::CallAsks { .. } | Event::CallEnds { .. } | Event::TicketDone { .. } => "own calls",
        Event::DiskDone { .. } | Event::DiskUnsynced | Event::DiskUnusable { .. } | Event::DiskSetAside => {
            "disk"
        }
        Event::Listed { .. } | Event::ListFailed => "list",
        Event::UsageReported { .. } | Event::WallClock { .. } => "usage",
        Event::StartDone { .. } | Event::StopDone { .. } => "starts and stops",
        Event::ChangeAsked { .. } | Event::ConfigurationAsked { .. } | Event::DecisionsAsked { .. } => {
            "operators"
        }
        Event::Drain | Event::SeedsChanged { .. } => "other",
    }
}
