//! `vanelane run`: settings, logs, threads, signals.

use crate::colleague_links::{self, ColleagueLinks, FrameCounts};
use crate::command_line::Run;
use crate::control_pages::ControlPages;
use crate::disk_thread::{self, DiskThread};
use crate::protocol_shell::{NodeFlags, ProtocolShell, ShellEvent};
use crate::settings::{self, Settings, SettingsReason};
use actix_http::{HttpService, KeepAlive, Request};
use actix_server::{Server, ServerHandle};
use call_traces::TraceWriter;
use clock_events::{Micros, MonotonicClock};
use colleague_messages::{Address, fleet_mark};
use control_registers::DiskRegisters;
use function_front::{Front, FrontSettings, Recorder};
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Root};
use log4rs::encode::json::JsonEncoder;
use node_protocol::{Event, Node, NodeSettings};
use platform_client::PlatformClient;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use steward_election::ElectionSettings;
use supervisor::{Patience, Supervisor};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

const BAD_SETTINGS: u8 = 2;
const BAD_START: u8 = 1;
const INBOX_LIMIT: usize = 8_192;
/// A planned stop is over by then, calls or not.
const STOP_WITHIN: Duration = Duration::from_millis(5_600);
/// New connections are still taken this long after the stop began, until visitors are elsewhere.
const STILL_ACCEPTING: Duration = Duration::from_millis(700);

pub fn run(run: Run) -> ExitCode {
    let settings = match settings::read(&run) {
        Ok(settings) => settings,
        Err(reasons) => {
            for (field, reason) in reasons {
                eprintln!("vanelane: setting {field}: {reason}");
            }
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if run.check {
        println!("settings are sound");
        return ExitCode::SUCCESS;
    }
    let logging = logging_config(settings.log_level);
    let log_handle = match logging.map(log4rs::init_config) {
        Ok(Ok(handle)) => handle,
        _ => {
            eprintln!("vanelane: logging could not be set up");
            return ExitCode::from(BAD_START);
        }
    };
    match actix_rt::System::new().block_on(serve(run, settings, log_handle)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            log::error!("{reason}");
            ExitCode::from(BAD_START)
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

async fn serve(run: Run, settings: Settings, log_handle: log4rs::Handle) -> Result<(), String> {
    let (inbox_sender, inbox) = mpsc::channel(INBOX_LIMIT);
    let (link_sender, front_links) = mpsc::channel(INBOX_LIMIT);
    let front_settings = FrontSettings {
        body_limit: settings.body_limit_bytes,
        memory_limit: settings.memory_limit_bytes,
        calls_limit: settings.calls_limit,
        ..FrontSettings::default()
    };
    let mut front = Front::new(front_settings, link_sender);
    if let Some(path) = &settings.recording {
        let recorder = Recorder::start(path, settings.recording_limit_bytes)
            .map_err(|failure| format!("setting recording: {}: {failure}", path.display()))?;
        front.record_with(recorder);
    }
    if let Some(path) = &settings.traces {
        let traces =
            TraceWriter::start(path, settings.traces_limit_bytes, settings.traces_sample, &settings.zone)
                .map_err(|failure| format!("setting traces: {}: {failure}", path.display()))?;
        front.trace_with(traces);
    }
    let front = Arc::new(front);
    let flags = Arc::new(NodeFlags::default());
    let frames = Arc::new(FrameCounts::default());
    let fleet = fleet_mark(&settings.fleet);

    let colleague_listener = listen_on("colleague_address", settings.colleague_address)?;
    let visitor_listener = listen_on("visitor_address", settings.visitor_address)?;
    let control_listener = listen_on("control_address", settings.control_address)?;

    let mut disk = None;
    let mut disk_thread = None;
    if let Some(folder) = &settings.data_folder {
        let (file, registers) = open_disk(folder, fleet)?;
        disk = Some((file.disk(), registers));
        let disk_inbox = inbox_sender.clone();
        let started = DiskThread::start(file, move |token, is_synced| {
            let _ = disk_inbox.blocking_send(ShellEvent::DiskDone { token, is_synced });
        });
        disk_thread = Some(started.map_err(|failure| format!("disk thread: {failure}"))?);
    }

    let clock = MonotonicClock::start();
    let own_address = Address::from(settings.colleague_address);
    let node_settings = node_settings(&settings, own_address);
    let own_node = node_settings.node;
    log::info!("node {own_node:016x} starts at {}", settings.colleague_address);
    let shell = ProtocolShell {
        node: Node::new(node_settings, disk, clock.now()),
        clock,
        own_node,
        own_address,
        fleet,
        links: ColleagueLinks::new(frames.clone()),
        disk: disk_thread,
        platform: PlatformClient::new(settings.platform_address),
        front: front.clone(),
        flags: flags.clone(),
        inbox_sender: inbox_sender.clone(),
        tickets: HashMap::new(),
        changes: HashMap::new(),
        decisions: HashMap::new(),
        next_request: 0,
    };

    let pages = ControlPages {
        inbox: inbox_sender.clone(),
        front: front.clone(),
        flags: flags.clone(),
        frames: frames.clone(),
    };
    let visitor_server = visitor_server(visitor_listener, front.clone(), settings.worker_threads)?;
    let visitor_handle = visitor_server.handle();
    let control_server = control_server(control_listener, pages)?;
    let control_handle = control_server.handle();
    let servers = Rc::new(RefCell::new(vec![visitor_server, control_server]));

    let colleague_listener = tokio::net::TcpListener::from_std(colleague_listener)
        .map_err(|failure| format!("setting colleague_address: {failure}"))?;
    let colleague_listener = Rc::new(colleague_listener);
    let listen_inbox = inbox_sender.clone();
    let protocol = Rc::new(RefCell::new(Some((shell, inbox, front_links))));

    let tree = Supervisor::new("vanelane", Patience::default())
        .child("protocol", move || {
            // The node's state is not to be trusted after a broken invariant: it runs once.
            let taken = protocol.borrow_mut().take();
            async move {
                let Some((mut shell, mut inbox, mut front_links)) = taken else {
                    return Err(error_stack::Report::new(supervisor::ChildError("protocol".to_owned())));
                };
                shell.run(&mut inbox, &mut front_links).await
            }
        })
        .child("colleague listener", move || {
            colleague_links::listen(colleague_listener.clone(), fleet, listen_inbox.clone(), frames.clone())
        })
        .child("servers", move || {
            let taken: Vec<Server> = servers.borrow_mut().drain(..).collect();
            async move {
                let ended = futures_util::future::join_all(taken).await;
                match ended.into_iter().find_map(Result::err) {
                    Some(failure) => Err(error_stack::Report::new(failure)
                        .change_context(supervisor::ChildError("servers".to_owned()))),
                    None => Ok(()),
                }
            }
        });
    let stopping = watch_signals(run, inbox_sender, front, flags, visitor_handle, control_handle, log_handle);
    tokio::select! {
        ended = tree.run() => ended.map_err(|failure| format!("{failure:?}")),
        stopped = stopping => stopped,
    }
}

fn open_disk(
    folder: &std::path::Path,
    fleet: u64,
) -> Result<(record_file::RecordFile, DiskRegisters), String> {
    let refused = |reason: String| format!("setting data_folder: {}: {reason}", folder.display());
    let (file, records) =
        disk_thread::open(folder, fleet).map_err(|failure| refused(failure.current_context().to_string()))?;
    let registers = DiskRegisters::restore(&records)
        .ok_or_else(|| refused("a record is none of this version's".to_owned()))?;
    Ok((file, registers))
}

fn node_settings(settings: &Settings, own_address: Address) -> NodeSettings {
    NodeSettings {
        node: fastrand::u64(1..u64::MAX),
        address: own_address,
        zone: settings.zone.clone(),
        seeds: settings.seeds.iter().map(|seed| Address::from(*seed)).collect(),
        founding_disks: settings.founding_disks,
        replace_disk_after: Micros::from_secs(settings.replace_disk_after_seconds),
        acts_per_second: settings.acts_per_second,
        election: ElectionSettings {
            lease: Micros::from_millis(settings.lease_millis),
            poll: Micros::from_millis(settings.poll_millis),
            renewal: Micros::from_millis(settings.renewal_millis),
            gate: settings.gate,
            ..ElectionSettings::default()
        },
        probes: colleague_probes::ProbeSettings::default(),
        luck_seed: fastrand::u64(..),
    }
}

fn visitor_server(listener: TcpListener, front: Arc<Front>, worker_threads: usize) -> Result<Server, String> {
    let builder = Server::build()
        .workers(worker_threads)
        .max_concurrent_connections(4_096)
        .shutdown_timeout(STOP_WITHIN.as_secs())
        .disable_signals();
    let bound = builder.listen("visitors", listener, move || {
        let front = front.clone();
        HttpService::build()
            .client_request_timeout(Duration::from_secs(5))
            .client_disconnect_timeout(Duration::from_secs(1))
            .keep_alive(KeepAlive::Timeout(Duration::from_secs(15)))
            .h1(move |request: Request| {
                let front = front.clone();
                async move { Ok::<_, std::convert::Infallible>(front.call(request).await) }
            })
            .tcp()
    });
    Ok(bound.map_err(|failure| format!("visitors: {failure}"))?.run())
}

fn control_server(listener: TcpListener, pages: ControlPages) -> Result<Server, String> {
    let builder =
        Server::build().workers(1).max_concurrent_connections(256).shutdown_timeout(1).disable_signals();
    let bound = builder.listen("control", listener, move || {
        let pages = pages.clone();
        HttpService::build()
            .client_request_timeout(Duration::from_secs(5))
            .keep_alive(KeepAlive::Timeout(Duration::from_secs(15)))
            .h1(move |request: Request| {
                let pages = pages.clone();
                async move { Ok::<_, std::convert::Infallible>(pages.answer(request).await) }
            })
            .tcp()
    });
    Ok(bound.map_err(|failure| format!("control: {failure}"))?.run())
}

/// SIGHUP reads the settings again; SIGTERM and SIGINT begin the planned stop.
async fn watch_signals(
    run: Run,
    inbox: mpsc::Sender<ShellEvent>,
    front: Arc<Front>,
    flags: Arc<NodeFlags>,
    visitor_handle: ServerHandle,
    control_handle: ServerHandle,
    log_handle: log4rs::Handle,
) -> Result<(), String> {
    let watch = |kind| signal(kind).map_err(|failure| format!("signals: {failure}"));
    let mut reloads = watch(SignalKind::hangup())?;
    let mut terms = watch(SignalKind::terminate())?;
    let mut interrupts = watch(SignalKind::interrupt())?;
    loop {
        tokio::select! {
            _ = reloads.recv() => reload(&run, &inbox, &log_handle).await,
            _ = terms.recv() => break,
            _ = interrupts.recv() => break,
        }
    }
    let began = Instant::now();
    log::info!("stopping: leases are released and calls finished");
    let _ = inbox.send(ShellEvent::Drain).await;
    tokio::time::sleep(STILL_ACCEPTING).await;
    // Accepts no more; connections that are open go on to the end of their calls.
    let stopping = visitor_handle.stop(true);
    actix_rt::spawn(stopping);
    let is_done = || front.open_calls() == 0 && flags.drained.load(Ordering::Relaxed);
    while !is_done() && began.elapsed() < STOP_WITHIN {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // Answers that were just handed over still have to leave.
    tokio::time::sleep(Duration::from_millis(100)).await;
    control_handle.stop(false).await;
    log::info!("stopped after {} ms with {} calls open", began.elapsed().as_millis(), front.open_calls());
    Ok(())
}

/// Seeds, the platform's address and the log level take effect at once; what cannot is named.
async fn reload(run: &Run, inbox: &mpsc::Sender<ShellEvent>, log_handle: &log4rs::Handle) {
    let settings = match settings::read(run) {
        Ok(settings) => settings,
        Err(reasons) => {
            let told: Vec<String> =
                reasons.iter().map(|(field, reason): &SettingsReason| format!("{field}: {reason}")).collect();
            log::error!("the settings were not reloaded, the old ones stand: {}", told.join("; "));
            return;
        }
    };
    let seeds = settings.seeds.iter().map(|seed| Address::from(*seed)).collect();
    let _ = inbox.send(ShellEvent::Protocol(Event::SeedsChanged { seeds })).await;
    let _ = inbox.send(ShellEvent::PlatformMoved { address: settings.platform_address }).await;
    let logging = logging_config(settings.log_level);
    if let Ok(logging) = logging {
        log_handle.set_config(logging);
    }
    log::info!(
        "settings reloaded: seeds, platform_address and log_level hold now, the others from the next start"
    );
}
