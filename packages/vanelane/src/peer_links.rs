//! Frames between colleagues over TCP: one outgoing connection to each, dropped frames are harmless.

use crate::node_lag::NodeLag;
use crate::protocol_runtime::RuntimeEvent;
use error_stack::{Report, ResultExt};
use monotonic_clock::MonotonicClock;
use peer_messages::{Address, FRAME_HEAD, FrameError, Priority, decode_payload, frame_length};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use supervisor::ChildError;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};

/// The target of this module's log lines: part of the log format, so it does not follow the module's name.
const LOG_TARGET: &str = "vanelane::colleague_links";

const LINK_QUEUE_LIMIT: usize = 1_024;
const LINK_BYTES: usize = 24 * 1024 * 1024;
const WRITE_WITHIN: Duration = Duration::from_secs(3);
const CONNECT_WITHIN: Duration = Duration::from_secs(1);
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
const LINK_LIMIT: usize = 512;
const IDLE_LINK: Duration = Duration::from_secs(60);
const READ_STEP: usize = 64 * 1024;
/// Short frames that came together are read in one go.
const READ_BUFFER: usize = 4 * 1024;
/// Frames that wait are written in one go, up to so many bytes.
const WRITE_TOGETHER: usize = 32 * 1024;

/// Frames dropped, by reason.
#[derive(Debug, Default)]
pub struct FrameCounts {
    pub foreign: AtomicU64,
    pub too_long: AtomicU64,
    pub damaged: AtomicU64,
    pub other_fleet: AtomicU64,
    pub queue_full: AtomicU64,
    /// Waited for longer than they are of use, unsent or unread.
    pub stale: AtomicU64,
}

/// A frame on its way to a link.
pub struct OutgoingFrame {
    pub bytes: Vec<u8>,
    pub priority: Priority,
    pub made_at: Instant,
    /// It is dropped if it is still unsent then.
    pub useful_until: Instant,
}

struct Link {
    urgent: mpsc::Sender<OutgoingFrame>,
    bulk: mpsc::Sender<OutgoingFrame>,
    waiting_bytes: Arc<AtomicUsize>,
}

/// The receiving end of a link's two waiting lists.
struct LinkQueue {
    urgent: mpsc::Receiver<OutgoingFrame>,
    bulk: mpsc::Receiver<OutgoingFrame>,
    waiting_bytes: Arc<AtomicUsize>,
    counts: Arc<FrameCounts>,
    lag: Arc<NodeLag>,
}

impl LinkQueue {
    /// The next frame of use, urgent ones first; `None` once the link is given up or was idle for long.
    async fn next(&mut self) -> Option<Vec<u8>> {
        loop {
            let receiving = async {
                tokio::select! {
                    biased;
                    frame = self.urgent.recv() => frame,
                    frame = self.bulk.recv() => frame,
                }
            };
            let frame = tokio::time::timeout(IDLE_LINK, receiving).await.ok()??;
            if let Some(bytes) = self.taken(frame) {
                return Some(bytes);
            }
        }
    }

    /// A further frame that waits already.
    fn waiting(&mut self) -> Option<Vec<u8>> {
        loop {
            let frame = self.urgent.try_recv().or_else(|_| self.bulk.try_recv()).ok()?;
            if let Some(bytes) = self.taken(frame) {
                return Some(bytes);
            }
        }
    }

    fn taken(&self, frame: OutgoingFrame) -> Option<Vec<u8>> {
        self.waiting_bytes.fetch_sub(frame.bytes.len(), Ordering::Relaxed);
        let now = Instant::now();
        let waited = now.saturating_duration_since(frame.made_at);
        match frame.priority {
            Priority::Urgent => self.lag.urgent_links.note(waited),
            Priority::Bulk => self.lag.bulk_links.note(waited),
        }
        if now > frame.useful_until {
            self.counts.stale.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(frame.bytes)
    }
}

/// The outgoing connections.
pub struct PeerLinks {
    links: HashMap<Address, Link>,
    counts: Arc<FrameCounts>,
    lag: Arc<NodeLag>,
}

impl PeerLinks {
    pub fn new(counts: Arc<FrameCounts>, lag: Arc<NodeLag>) -> PeerLinks {
        PeerLinks { links: HashMap::new(), counts, lag }
    }

    /// A message was read so late that it was dropped.
    pub fn count_stale(&self) {
        self.counts.stale.fetch_add(1, Ordering::Relaxed);
    }

    /// Puts a frame on the way, or drops it when the link is overfull.
    pub fn send(&mut self, address: Address, frame: OutgoingFrame) {
        if self.links.get(&address).is_some_and(|link| link.urgent.is_closed()) {
            self.links.remove(&address);
        }
        if self.links.len() >= LINK_LIMIT {
            self.links.retain(|_, link| !link.urgent.is_closed());
        }
        if !self.links.contains_key(&address) && self.links.len() >= LINK_LIMIT {
            self.counts.queue_full.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let link = self.links.entry(address).or_insert_with(|| {
            let (urgent, urgent_frames) = mpsc::channel(LINK_QUEUE_LIMIT);
            let (bulk, bulk_frames) = mpsc::channel(LINK_QUEUE_LIMIT);
            let waiting_bytes = Arc::new(AtomicUsize::new(0));
            let queue = LinkQueue {
                urgent: urgent_frames,
                bulk: bulk_frames,
                waiting_bytes: waiting_bytes.clone(),
                counts: self.counts.clone(),
                lag: self.lag.clone(),
            };
            actix_rt::spawn(carry(address.socket(), queue));
            Link { urgent, bulk, waiting_bytes }
        });
        let frame_length = frame.bytes.len();
        let sender = match frame.priority {
            Priority::Urgent => &link.urgent,
            Priority::Bulk => &link.bulk,
        };
        if link.waiting_bytes.load(Ordering::Relaxed) + frame_length > LINK_BYTES
            || sender.try_send(frame).is_err()
        {
            self.counts.queue_full.fetch_add(1, Ordering::Relaxed);
            return;
        }
        link.waiting_bytes.fetch_add(frame_length, Ordering::Relaxed);
    }
}

async fn carry(address: SocketAddr, mut queue: LinkQueue) {
    let mut stream: Option<TcpStream> = None;
    while let Some(mut frames) = queue.next().await {
        while frames.len() < WRITE_TOGETHER
            && let Some(frame) = queue.waiting()
        {
            frames.extend_from_slice(&frame);
        }
        if stream.as_ref().is_some_and(is_closed) {
            stream = None;
        }
        if stream.is_none() {
            stream = connect(address).await;
        }
        let Some(open) = &mut stream else {
            // The frames are lost, and so are those that wait for an address that does not answer.
            while queue.waiting().is_some() {}
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        let writing = tokio::time::timeout(WRITE_WITHIN, open.write_all(&frames));
        if !matches!(writing.await, Ok(Ok(()))) {
            stream = None;
        }
    }
}

/// A colleague never writes on a connection it accepted: anything readable is its end.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    match stream.try_read(&mut byte) {
        Ok(_) => true,
        Err(failure) => failure.kind() != std::io::ErrorKind::WouldBlock,
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let connecting = tokio::time::timeout(CONNECT_WITHIN, TcpStream::connect(address));
    let stream = connecting.await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    Some(stream)
}

/// Where messages wait to be handled: bulk only comes to its turn when nothing urgent waits.
#[derive(Clone)]
pub struct PeerInbox {
    pub urgent: mpsc::Sender<RuntimeEvent>,
    pub bulk: mpsc::Sender<RuntimeEvent>,
}

/// Accepts colleagues' connections and hands their messages to the node.
pub async fn listen(
    listener: Rc<TcpListener>,
    fleet: u64,
    inbox: PeerInbox,
    counts: Arc<FrameCounts>,
) -> Result<(), Report<ChildError>> {
    let places = Arc::new(Semaphore::new(LINK_LIMIT));
    loop {
        let accepted = listener.accept().await;
        let (stream, _) = match accepted {
            Ok(accepted) => accepted,
            Err(failure) if is_passing(&failure) => {
                tokio::time::sleep(RECONNECT_PAUSE).await;
                continue;
            }
            Err(failure) => {
                return Err(failure).change_context(ChildError("colleague listener".to_owned()));
            }
        };
        let Ok(place) = places.clone().try_acquire_owned() else { continue };
        let (inbox, counts) = (inbox.clone(), counts.clone());
        actix_rt::spawn(async move {
            read_frames(stream, fleet, &inbox, &counts).await;
            drop(place);
        });
    }
}

/// A connection that broke before it was accepted, or too many open files for now.
pub fn is_passing(failure: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(
        failure.kind(),
        ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted
    ) || failure.raw_os_error().is_some_and(|code| code == 23 || code == 24)
}

async fn read_frames(stream: TcpStream, fleet: u64, inbox: &PeerInbox, counts: &FrameCounts) {
    let clock = MonotonicClock::start();
    let mut stream = BufReader::with_capacity(READ_BUFFER, stream);
    loop {
        let mut head = [0u8; FRAME_HEAD];
        if stream.read_exact(&mut head).await.is_err() {
            return;
        }
        let frame = match frame_length(&head) {
            Ok(length) => read_payload(&mut stream, length).await,
            Err(failure) => {
                drop_frame(failure, counts, stream.get_ref(), clock);
                return;
            }
        };
        let Some(payload) = frame else { return };
        match decode_payload(&head, &payload) {
            Ok(envelope) if envelope.fleet == fleet => {
                let sender = match envelope.message.priority() {
                    Priority::Urgent => &inbox.urgent,
                    Priority::Bulk => &inbox.bulk,
                };
                let received = RuntimeEvent::Received { envelope, at: Instant::now() };
                if sender.try_send(received).is_err() {
                    counts.queue_full.fetch_add(1, Ordering::Relaxed);
                }
            }
            Ok(_) => {
                counts.other_fleet.fetch_add(1, Ordering::Relaxed);
                log::warn!(target: LOG_TARGET, "a node of another fleet speaks from {:?}", stream.get_ref().peer_addr().ok());
                return;
            }
            Err(failure) => {
                drop_frame(failure, counts, stream.get_ref(), clock);
                return;
            }
        }
    }
}

/// Grows with what really comes, so that a lying length reserves nothing.
async fn read_payload(stream: &mut BufReader<TcpStream>, length: usize) -> Option<Vec<u8>> {
    let mut payload = Vec::with_capacity(length.min(READ_STEP));
    while payload.len() < length {
        let begun = payload.len();
        payload.resize(length.min(begun + READ_STEP), 0);
        stream.read_exact(&mut payload[begun..]).await.ok()?;
    }
    Some(payload)
}

fn drop_frame(failure: FrameError, counts: &FrameCounts, stream: &TcpStream, clock: MonotonicClock) {
    let count = match failure {
        FrameError::Foreign => &counts.foreign,
        FrameError::TooLong => &counts.too_long,
        FrameError::Checksum | FrameError::Malformed => &counts.damaged,
    };
    count.fetch_add(1, Ordering::Relaxed);
    log::warn!(target: LOG_TARGET, "dropped a frame from {:?} after {} ms: {failure:?}",
        stream.peer_addr().ok(),
        clock.now().millis()
    );
}
