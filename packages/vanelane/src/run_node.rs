//! `vanelane run`: sets up logging, sockets, threads and the supervisor, and handles signals.

use crate::client_connection::{ClientTimeouts, ConnectionOptions, OpenConnections, serve_connection};
use crate::command_line::Run;
use crate::control_costs::ControlCosts;
use crate::control_pages::ControlPages;
use crate::disk_opening;
use crate::disk_thread::DiskThread;
use crate::local_server::{self, LocalServer};
use crate::node_lag::NodeLag;
use crate::operator_port::{OperatorPages, OperatorPort};
use crate::peer_links::{self, FrameCounts, PeerInbox, PeerLinks};
use crate::protocol_runtime::{NodeFlags, ProtocolRuntime, RuntimeEvent, WALL_CLOCK_INTERVAL};
use crate::settings::{self, Settings, SettingsReason};
use crate::settings_watch;
use actix_server::{Server, ServerHandle};
use actix_service::fn_service;
use call_traces::TraceWriter;
use configuration_schema::{ClientLimits, DOCUMENT_LIMIT};
use function_scheduler::{CostModel, RetryLimits};
use gateway::{DispatchSettings, Gateway, GatewaySettings, HeaderConventions, OpenCalls, Recorder};
use leader_election::ElectionSettings;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Root};
use log4rs::encode::json::JsonEncoder;
use monotonic_clock::{Micros, MonotonicClock, Ticker};
use node_protocol::{Event, Node, NodeSettings, UsageSettings};
use peer_messages::{Address, fleet_id, node_id};
use platform_client::{PlatformApi, PlatformClient};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use supervisor::{RestartPolicy, Supervisor};
use tokio::net::TcpStream;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

const EXIT_BAD_SETTINGS: u8 = 2;
const EXIT_START_FAILED: u8 = 1;
const INBOX_LIMIT: usize = 8_192;
const CLIENT_CONNECTION_LIMIT: usize = 4_096;
const CONTROL_CONNECTION_LIMIT: usize = 256;
/// How long a client's remaining bytes are read after the last response on a connection.
const CLIENT_LINGER: Duration = Duration::from_secs(1);

/// The parts of a node that depend on the platform.
pub struct PlatformIntegration {
    /// The names of the headers exchanged with clients and instances.
    pub header_conventions: HeaderConventions,
    /// The platform operations: list, start, stop and usage reports.
    pub platform: Rc<dyn PlatformApi>,
    /// The operator pages and the readiness page.
    pub pages: Rc<dyn OperatorPages>,
    /// Reads the settings again.
    pub read_settings: Rc<dyn Fn() -> Result<Settings, Vec<SettingsReason>>>,
    /// The settings file, watched for changes; `None` if there is none.
    pub settings_path: Option<PathBuf>,
}

/// Runs `vanelane run` with the native platform. Example: `run_node::run(flags)`.
pub fn run(run: Run) -> ExitCode {
    let settings = match settings::read(&run) {
        Ok(settings) => settings,
        Err(reasons) => return bad_settings(reasons),
    };
    if run.check {
        println!("settings are sound");
        return ExitCode::SUCCESS;
    }
    let platform_address = settings.platform_address;
    let settings_path = run.settings.clone();
    start(settings, move || PlatformIntegration {
        header_conventions: HeaderConventions::default(),
        platform: Rc::new(PlatformClient::new(platform_address)),
        pages: Rc::new(ControlPages),
        read_settings: Rc::new(move || settings::read(&run)),
        settings_path,
    })
}

/// Prints every wrong setting, one a line. Example: `return bad_settings(reasons)`.
pub fn bad_settings(reasons: Vec<SettingsReason>) -> ExitCode {
    for (field, reason) in reasons {
        eprintln!("vanelane: setting {field}: {reason}");
    }
    ExitCode::from(EXIT_BAD_SETTINGS)
}

/// Runs a node until it stops. The integration is created on the node's thread, inside its async runtime.
/// Example: `start(settings, || PlatformIntegration { .. })`.
pub fn start(settings: Settings, make_integration: impl FnOnce() -> PlatformIntegration) -> ExitCode {
    let logging = logging_config(settings.log_level);
    let log_handle = match logging.map(log4rs::init_config) {
        Ok(Ok(handle)) => handle,
        _ => {
            eprintln!("vanelane: logging could not be set up");
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    match actix_rt::System::new().block_on(async { serve(settings, make_integration(), log_handle).await }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            log::error!("{reason}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

/// JSON lines on standard error.
fn logging_config(level: log::LevelFilter) -> Result<log4rs::Config, log4rs::config::runtime::ConfigErrors> {
    let console =
        ConsoleAppender::builder().target(Target::Stderr).encoder(Box::new(JsonEncoder::new())).build();
    log4rs::Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(console)))
        .build(Root::builder().appender("stderr").build(level))
}

fn listen_on(field: &str, address: std::net::SocketAddr) -> Result<TcpListener, String> {
    let listener =
        TcpListener::bind(address).map_err(|failure| format!("setting {field}: {address}: {failure}"))?;
    listener.set_nonblocking(true).map_err(|failure| format!("setting {field}: {address}: {failure}"))?;
    Ok(listener)
}

async fn serve(
    settings: Settings,
    integration: PlatformIntegration,
    log_handle: log4rs::Handle,
) -> Result<(), String> {
    let (inbox_sender, inbox) = mpsc::channel(INBOX_LIMIT);
    let (gateway_sender, gateway_messages) = mpsc::channel(INBOX_LIMIT);
    let gateway_settings = GatewaySettings {
        body_limit: settings.body_limit_bytes,
        memory_limit: settings.memory_limit_bytes,
        calls_limit: settings.calls_limit,
        dispatch: DispatchSettings {
            idle_limit: settings.kept_connections,
            header_conventions: Arc::new(integration.header_conventions.clone()),
            ..DispatchSettings::default()
        },
        ..GatewaySettings::default()
    };
    let mut gateway = Gateway::new(gateway_settings, gateway_sender);
    if let Some(path) = &settings.recording {
        let recorder = Recorder::start(path, settings.recording_limit_bytes)
            .map_err(|failure| format!("setting recording: {}: {failure}", path.display()))?;
        gateway.record_with(recorder);
    }
    if let Some(path) = &settings.traces {
        let traces =
            TraceWriter::start(path, settings.traces_limit_bytes, settings.traces_sample, &settings.zone)
                .map_err(|failure| format!("setting traces: {}: {failure}", path.display()))?;
        gateway.trace_with(traces);
    }
    let gateway = Arc::new(gateway);
    let flags = Arc::new(NodeFlags::default());
    let frames = Arc::new(FrameCounts::default());
    let lag = Arc::new(NodeLag::new(Instant::now()));
    let fleet = fleet_id(&settings.fleet);

    let peer_listener = listen_on("colleague_address", settings.peer_address)?;
    let client_listener = listen_on("visitor_address", settings.client_address)?;
    let control_listener = listen_on("control_address", settings.control_address)?;

    let mut disk = None;
    let mut disk_thread = None;
    let mut first_events = Vec::new();
    let mut _locked_folder = None;
    if let Some(folder) = &settings.data_folder {
        let opened = disk_opening::open(folder, fleet)?;
        first_events = opened.first_events;
        _locked_folder = Some(opened.folder);
        if let Some((file, registers)) = opened.disk {
            disk = Some((file.disk(), registers));
            let disk_inbox = inbox_sender.clone();
            let started = DiskThread::start(file, move |token, is_synced| {
                let _ = disk_inbox.blocking_send(RuntimeEvent::DiskDone { token, is_synced });
            });
            disk_thread = Some(started.map_err(|failure| format!("disk thread: {failure}"))?);
        }
    }

    let clock = MonotonicClock::start();
    let own_address = Address::from(settings.peer_address);
    let node_settings = node_settings(&settings, own_address);
    let own_node = node_settings.node;
    log::info!("starting node {own_node:016x} at peer address {}", settings.peer_address);
    let mut runtime = ProtocolRuntime {
        node: Node::new(node_settings, disk, clock.now()),
        clock,
        wall_clock_ticker: Ticker::every(WALL_CLOCK_INTERVAL),
        own_node,
        own_address,
        fleet,
        links: PeerLinks::new(frames.clone(), lag.clone()),
        disk: disk_thread,
        platform: integration.platform.clone(),
        node_name: settings.node_name.clone(),
        gateway: gateway.clone(),
        flags: flags.clone(),
        inbox_sender: inbox_sender.clone(),
        permit_replies: HashMap::new(),
        change_replies: HashMap::new(),
        decision_replies: HashMap::new(),
        configuration_replies: HashMap::new(),
        last_request: 0,
        last_logged_decision: 0,
        costs: ControlCosts::new(Instant::now()),
        lag: lag.clone(),
    };
    first_events.into_iter().for_each(|event| runtime.handle(event));

    let port = OperatorPort {
        inbox: inbox_sender.clone(),
        gateway: gateway.clone(),
        flags: flags.clone(),
        frames: frames.clone(),
        lag,
    };
    let (closing, is_closing) = watch::channel(false);
    // The operator pages respond until the process ends.
    let (pages_closing, are_pages_closing) = watch::channel(false);
    let timeouts = ClientTimeouts {
        idle: Duration::from_millis(settings.idle_millis),
        header_wait: Duration::from_millis(settings.header_wait_millis),
        linger: CLIENT_LINGER,
    };
    // A client that was redirected may still be sending a whole document.
    let document_time = settings.link_rate().map_or(0.0, |rate| DOCUMENT_LIMIT as f64 / rate);
    let page_linger = CLIENT_LINGER.max(Duration::from_secs_f64(document_time));
    let page_timeouts = ClientTimeouts { linger: page_linger, ..timeouts };
    let mut local_servers = Vec::new();
    let client_connections = OpenConnections::default();
    let mut threaded_server = None;
    match settings.worker_threads {
        0 => {
            let call_gateway = gateway.clone();
            let limits_gateway = gateway.clone();
            local_servers.push(LocalServer {
                listener: local_listener("visitor_address", client_listener)?,
                request_handler: Rc::new(move |request| Box::pin(call_gateway.clone().call(request))),
                timeouts: Rc::new(move || with_client_limits(timeouts, limits_gateway.client_limits())),
                connection_limit: CLIENT_CONNECTION_LIMIT,
                open_connections: client_connections.clone(),
                closing: is_closing.clone(),
            });
        }
        threads => {
            let clients = ThreadedClients {
                gateway: gateway.clone(),
                timeouts,
                closing: is_closing.clone(),
                open_connections: client_connections.clone(),
            };
            threaded_server = Some(client_server(client_listener, clients, threads)?);
        }
    }
    let mut page_listeners = vec![("control_address", control_listener)];
    if let Some(address) = settings.ready_address {
        page_listeners.push(("ready_address", listen_on("ready_address", address)?));
    }
    for (field, listener) in page_listeners {
        let (pages, port) = (integration.pages.clone(), port.clone());
        local_servers.push(LocalServer {
            listener: local_listener(field, listener)?,
            request_handler: Rc::new(move |request| pages.respond(port.clone(), request)),
            timeouts: Rc::new(move || page_timeouts),
            connection_limit: CONTROL_CONNECTION_LIMIT,
            open_connections: OpenConnections::default(),
            closing: are_pages_closing.clone(),
        });
    }
    let threaded_handle = threaded_server.as_ref().map(Server::handle);
    let servers = Rc::new(RefCell::new((threaded_server, local_servers)));

    let peer_listener = tokio::net::TcpListener::from_std(peer_listener)
        .map_err(|failure| format!("setting colleague_address: {failure}"))?;
    let peer_listener = Rc::new(peer_listener);
    let (bulk_sender, bulk_inbox) = mpsc::channel(INBOX_LIMIT);
    let listen_inbox = PeerInbox { urgent: inbox_sender.clone(), bulk: bulk_sender };
    let protocol = Rc::new(RefCell::new(Some((runtime, inbox, bulk_inbox, gateway_messages))));

    let tree = Supervisor::new("vanelane", RestartPolicy::default())
        .child("protocol", move || {
            // The node's state cannot be trusted after a broken invariant, so the protocol runs only once.
            let runtime_parts = protocol.borrow_mut().take();
            async move {
                let Some((mut runtime, mut inbox, mut bulk_inbox, mut gateway_messages)) = runtime_parts
                else {
                    return Err(error_stack::Report::new(supervisor::ChildError("protocol".to_owned())));
                };
                runtime.run(&mut inbox, &mut bulk_inbox, &mut gateway_messages).await
            }
        })
        .child("colleague listener", move || {
            peer_links::listen(peer_listener.clone(), fleet, listen_inbox.clone(), frames.clone())
        })
        .child("servers", move || {
            let threaded_server = servers.borrow_mut().0.take();
            let local: Vec<LocalServer> = servers.borrow_mut().1.drain(..).collect();
            async move {
                let threaded_server = async move {
                    match threaded_server {
                        Some(server) => {
                            server.await.map_err(|failure| error_stack::Report::new(failure)).map_err(
                                |report| report.change_context(supervisor::ChildError("servers".to_owned())),
                            )
                        }
                        None => Ok(()),
                    }
                };
                let local = futures_util::future::try_join_all(local.into_iter().map(local_server::serve));
                futures_util::try_join!(threaded_server, local).map(|_| ())
            }
        });
    let stop = PlannedStop {
        inbox: inbox_sender,
        gateway,
        flags,
        closing,
        client_connections,
        _pages_closing: pages_closing,
        threaded_server: threaded_handle,
        accept_for: Duration::from_millis(settings.still_accepting_millis),
        stop_within: Duration::from_millis(settings.stop_within_millis),
    };
    let stopping = watch_signals(integration, stop, log_handle);
    tokio::select! {
        ended = tree.run() => ended.map_err(|failure| format!("{failure:?}")),
        stopped = stopping => stopped,
    }
}

fn node_settings(settings: &Settings, own_address: Address) -> NodeSettings {
    NodeSettings {
        node: node_id(own_address, fastrand::u64(..)),
        address: own_address,
        zone: settings.zone.clone(),
        seeds: settings.seeds.iter().map(|seed| Address::from(*seed)).collect(),
        bootstrap_disks: settings.bootstrap_disks,
        tolerance: settings.tolerance.clone(),
        costs: CostModel {
            start: settings.start_cost,
            late_call: settings.late_call_cost,
            remote_call: settings.remote_call_cost,
        },
        may_bootstrap: settings.may_bootstrap,
        is_first_start: settings.is_first_start,
        lists_per_second: settings.lists_per_second,
        list_every: Micros::from_millis(settings.list_every_millis),
        replace_disk_after: Micros::from_secs(settings.replace_disk_after_seconds),
        operations_per_second: settings.operations_per_second,
        link_rate: settings.link_rate(),
        retry_limits: RetryLimits {
            ratio: settings.extra_ratio,
            fixed: settings.extra_fixed,
            window: Micros::from_secs(settings.extra_window_seconds),
        },
        processor_millis: settings.processor_millis,
        usage: settings.usage.map(|usage| UsageSettings {
            holder: settings.node_name.clone(),
            window: usage.window,
            delay: usage.delay,
            lease: usage.action_lease,
        }),
        election: ElectionSettings {
            lease: Micros::from_millis(settings.lease_millis),
            poll: Micros::from_millis(settings.poll_millis),
            renewal: Micros::from_millis(settings.renewal_millis),
            gate: settings.gate,
            ..ElectionSettings::default()
        },
        probes: membership::ProbeSettings::default(),
        switched_off: settings.switched_off.clone(),
        random_seed: fastrand::u64(..),
    }
}

fn local_listener(field: &str, listener: TcpListener) -> Result<Rc<tokio::net::TcpListener>, String> {
    let listener = tokio::net::TcpListener::from_std(listener);
    listener.map(Rc::new).map_err(|failure| format!("setting {field}: {failure}"))
}

/// Applies the client limits of the configuration, which take precedence over the settings.
fn with_client_limits(timeouts: ClientTimeouts, limits: Option<ClientLimits>) -> ClientTimeouts {
    let or_default =
        |configured: Option<u64>, default: Duration| configured.map_or(default, Duration::from_millis);
    let Some(limits) = limits else { return timeouts };
    ClientTimeouts {
        idle: or_default(limits.idle_millis, timeouts.idle),
        header_wait: or_default(limits.header_wait_millis, timeouts.header_wait),
        ..timeouts
    }
}

/// Everything that the threads serving clients need.
#[derive(Clone)]
struct ThreadedClients {
    gateway: Arc<Gateway>,
    timeouts: ClientTimeouts,
    closing: watch::Receiver<bool>,
    open_connections: OpenConnections,
}

impl ThreadedClients {
    fn options(&self) -> ConnectionOptions {
        let gateway = self.gateway.clone();
        ConnectionOptions {
            request_handler: Rc::new(move |request| Box::pin(gateway.clone().call(request))),
            timeouts: with_client_limits(self.timeouts, self.gateway.client_limits()),
            closing: self.closing.clone(),
            open_connections: self.open_connections.clone(),
        }
    }
}

/// Starts the server that serves clients on separate threads.
fn client_server(
    listener: TcpListener,
    clients: ThreadedClients,
    worker_threads: usize,
) -> Result<Server, String> {
    let builder = Server::build()
        .workers(worker_threads)
        .max_concurrent_connections(CLIENT_CONNECTION_LIMIT)
        .shutdown_timeout(6)
        .disable_signals();
    let bound = builder.listen("visitors", listener, move || {
        let clients = clients.clone();
        fn_service(move |stream: TcpStream| {
            let serving = serve_connection(stream, clients.options());
            async move {
                serving.await;
                Ok::<(), std::convert::Infallible>(())
            }
        })
    });
    Ok(bound.map_err(|failure| format!("visitors: {failure}"))?.run())
}

/// State needed by a planned stop.
struct PlannedStop {
    inbox: mpsc::Sender<RuntimeEvent>,
    gateway: Arc<Gateway>,
    flags: Arc<NodeFlags>,
    closing: watch::Sender<bool>,
    client_connections: OpenConnections,
    _pages_closing: watch::Sender<bool>,
    threaded_server: Option<ServerHandle>,
    /// New connections are accepted for this long after the stop began, until clients use other nodes.
    accept_for: Duration,
    /// Time limit of the stop, after which open calls are abandoned.
    stop_within: Duration,
}

/// Reloads the settings on SIGHUP or a changed settings file; performs the planned stop on SIGTERM or SIGINT.
async fn watch_signals(
    integration: PlatformIntegration,
    stop: PlannedStop,
    log_handle: log4rs::Handle,
) -> Result<(), String> {
    let signals = |kind| signal(kind).map_err(|failure| format!("signals: {failure}"));
    let mut reloads = signals(SignalKind::hangup())?;
    let mut terminations = signals(SignalKind::terminate())?;
    let mut interrupts = signals(SignalKind::interrupt())?;
    let mut known_bytes =
        integration.settings_path.as_ref().and_then(|path| std::fs::read(path).ok()).unwrap_or_default();
    loop {
        let file_changed = async {
            match &integration.settings_path {
                Some(path) => settings_watch::wait_for_change(path, &mut known_bytes).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = reloads.recv() => {}
            () = file_changed => {}
            _ = terminations.recv() => break,
            _ = interrupts.recv() => break,
        }
        reload(&integration, &stop.inbox, &log_handle).await;
    }
    let began = Instant::now();
    log::info!("stopping: releasing leases and completing open calls");
    // Set directly and not by the event, which may wait in the long inbox of a busy node.
    stop.flags.draining.store(true, Ordering::Relaxed);
    stop.gateway.begin_stop(stop.stop_within);
    let _ = stop.inbox.send(RuntimeEvent::Drain).await;
    tokio::time::sleep(stop.accept_for).await;
    // Accept no more connections; open ones continue until their calls end.
    let _ = stop.closing.send(true);
    if let Some(handle) = &stop.threaded_server {
        actix_rt::spawn(handle.stop(true));
    }
    // A call ends when its response was passed to its connection; the connection closes once the response is
    // sent.
    let is_done = || {
        let clients_are_served = stop.gateway.open_calls() == 0 && stop.client_connections.get() == 0;
        clients_are_served && stop.flags.drained.load(Ordering::Relaxed)
    };
    while !is_done() && began.elapsed() < stop.stop_within {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    log_stopped(began.elapsed(), stop.gateway.open_calls_by_stage(), stop.client_connections.get());
    Ok(())
}

/// Logs the end of a planned stop, as a warning if calls or client connections are cut off.
fn log_stopped(elapsed: Duration, open_calls: OpenCalls, client_connections: usize) {
    let is_clean = open_calls.all == 0 && client_connections == 0;
    let level = if is_clean { log::Level::Info } else { log::Level::Warn };
    let millis = elapsed.as_millis();
    log::log!(level, "stopped after {millis} ms with {open_calls}, {client_connections} client connections");
}

/// Reloads the settings. Seeds, the platform's address and the log level take effect at once; the log line
/// says that the others need a restart.
async fn reload(
    integration: &PlatformIntegration,
    inbox: &mpsc::Sender<RuntimeEvent>,
    log_handle: &log4rs::Handle,
) {
    let settings = match (integration.read_settings)() {
        Ok(settings) => settings,
        Err(reasons) => {
            let reason_texts: Vec<String> =
                reasons.iter().map(|(field, reason): &SettingsReason| format!("{field}: {reason}")).collect();
            log::error!("the settings were not reloaded, the old ones stand: {}", reason_texts.join("; "));
            return;
        }
    };
    let seeds = settings.seeds.iter().map(|seed| Address::from(*seed)).collect();
    let _ = inbox.send(RuntimeEvent::Protocol(Event::SeedsChanged { seeds })).await;
    let _ = inbox.send(RuntimeEvent::PlatformAddressChanged { address: settings.platform_address }).await;
    let logging = logging_config(settings.log_level);
    if let Ok(logging) = logging {
        log_handle.set_config(logging);
    }
    log::info!(
        "settings reloaded: seeds, platform_address and log_level are in effect; other settings need a restart"
    );
}
