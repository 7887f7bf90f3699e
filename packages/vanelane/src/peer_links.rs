//! Frames between peers over TCP, with one outgoing connection to each peer. The protocol tolerates dropped
//! frames.

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

/// Log target of this module. It is part of the log format and independent of the module's name.
const LOG_TARGET: &str = "vanelane::colleague_links";

const LINK_QUEUE_LIMIT: usize = 1_024;
const LINK_QUEUE_BYTES: usize = 24 * 1024 * 1024;
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
const LINK_LIMIT: usize = 512;
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const READ_CHUNK_BYTES: usize = 64 * 1024;
/// Several short frames that arrive together are read with one system call.
const READ_BUFFER_BYTES: usize = 4 * 1024;
/// Queued frames are written together, up to this many bytes.
const WRITE_BATCH_BYTES: usize = 32 * 1024;

/// Counts of dropped frames and messages, by reason.
#[derive(Debug, Default)]
pub struct FrameCounts {
    pub foreign: AtomicU64,
    pub too_long: AtomicU64,
    pub damaged: AtomicU64,
    pub other_fleet: AtomicU64,
    pub queue_full: AtomicU64,
    /// Waited for longer than they are valid, before sending or before handling.
    pub stale: AtomicU64,
}

/// A frame to be sent over a link.
pub struct OutgoingFrame {
    pub bytes: Vec<u8>,
    pub priority: Priority,
    pub created_at: Instant,
    /// A frame that is still unsent at this time is dropped.
    pub valid_until: Instant,
}

struct PeerLink {
    urgent: mpsc::Sender<OutgoingFrame>,
    bulk: mpsc::Sender<OutgoingFrame>,
    queued_bytes: Arc<AtomicUsize>,
}

/// The receiving end of a link's two queues.
struct LinkQueue {
    urgent: mpsc::Receiver<OutgoingFrame>,
    bulk: mpsc::Receiver<OutgoingFrame>,
    queued_bytes: Arc<AtomicUsize>,
    counts: Arc<FrameCounts>,
    lag: Arc<NodeLag>,
}

impl LinkQueue {
    /// The next valid frame, urgent ones first. Returns `None` if the link was dropped or idle for
    /// `LINK_IDLE_TIMEOUT`.
    async fn next(&mut self) -> Option<Vec<u8>> {
        loop {
            let receiving = async {
                tokio::select! {
                    biased;
                    frame = self.urgent.recv() => frame,
                    frame = self.bulk.recv() => frame,
                }
            };
            let frame = tokio::time::timeout(LINK_IDLE_TIMEOUT, receiving).await.ok()??;
            if let Some(bytes) = self.dequeue(frame) {
                return Some(bytes);
            }
        }
    }

    /// The next valid frame that is already queued.
    fn try_next(&mut self) -> Option<Vec<u8>> {
        loop {
            let frame = self.urgent.try_recv().or_else(|_| self.bulk.try_recv()).ok()?;
            if let Some(bytes) = self.dequeue(frame) {
                return Some(bytes);
            }
        }
    }

    /// Accounts for a frame that left the queue. Returns its bytes unless it is stale.
    fn dequeue(&self, frame: OutgoingFrame) -> Option<Vec<u8>> {
        self.queued_bytes.fetch_sub(frame.bytes.len(), Ordering::Relaxed);
        let now = Instant::now();
        let waited = now.saturating_duration_since(frame.created_at);
        match frame.priority {
            Priority::Urgent => self.lag.urgent_links.record(waited),
            Priority::Bulk => self.lag.bulk_links.record(waited),
        }
        if now > frame.valid_until {
            self.counts.stale.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(frame.bytes)
    }
}

/// The outgoing connections to peers.
pub struct PeerLinks {
    links: HashMap<Address, PeerLink>,
    counts: Arc<FrameCounts>,
    lag: Arc<NodeLag>,
}

impl PeerLinks {
    pub fn new(counts: Arc<FrameCounts>, lag: Arc<NodeLag>) -> PeerLinks {
        PeerLinks { links: HashMap::new(), counts, lag }
    }

    /// Counts a received message that was dropped because it was stale.
    pub fn count_stale(&self) {
        self.counts.stale.fetch_add(1, Ordering::Relaxed);
    }

    /// Queues a frame, or drops it if the link's queue is full or there are too many links.
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
            let queued_bytes = Arc::new(AtomicUsize::new(0));
            let queue = LinkQueue {
                urgent: urgent_frames,
                bulk: bulk_frames,
                queued_bytes: queued_bytes.clone(),
                counts: self.counts.clone(),
                lag: self.lag.clone(),
            };
            actix_rt::spawn(run_link(address.socket(), queue));
            PeerLink { urgent, bulk, queued_bytes }
        });
        let frame_length = frame.bytes.len();
        let sender = match frame.priority {
            Priority::Urgent => &link.urgent,
            Priority::Bulk => &link.bulk,
        };
        if link.queued_bytes.load(Ordering::Relaxed) + frame_length > LINK_QUEUE_BYTES
            || sender.try_send(frame).is_err()
        {
            self.counts.queue_full.fetch_add(1, Ordering::Relaxed);
            return;
        }
        link.queued_bytes.fetch_add(frame_length, Ordering::Relaxed);
    }
}

async fn run_link(address: SocketAddr, mut queue: LinkQueue) {
    let mut stream: Option<TcpStream> = None;
    while let Some(mut frames) = queue.next().await {
        while frames.len() < WRITE_BATCH_BYTES
            && let Some(frame) = queue.try_next()
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
            // The address is unreachable: these frames and all queued ones are dropped.
            while queue.try_next().is_some() {}
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        let writing = tokio::time::timeout(WRITE_TIMEOUT, open.write_all(&frames));
        if !matches!(writing.await, Ok(Ok(()))) {
            stream = None;
        }
    }
}

/// A peer never writes on a connection that it accepted: a readable connection is closed or invalid.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    match stream.try_read(&mut byte) {
        Ok(_) => true,
        Err(failure) => failure.kind() != std::io::ErrorKind::WouldBlock,
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    Some(stream)
}

/// The queues of received messages. Bulk messages are handled only if no urgent one is queued.
#[derive(Clone)]
pub struct PeerInbox {
    pub urgent: mpsc::Sender<RuntimeEvent>,
    pub bulk: mpsc::Sender<RuntimeEvent>,
}

/// Accepts connections of peers and passes their messages to the node.
pub async fn listen(
    listener: Rc<TcpListener>,
    fleet: u64,
    inbox: PeerInbox,
    counts: Arc<FrameCounts>,
) -> Result<(), Report<ChildError>> {
    let connection_slots = Arc::new(Semaphore::new(LINK_LIMIT));
    loop {
        let accepted = listener.accept().await;
        let (stream, _) = match accepted {
            Ok(accepted) => accepted,
            Err(failure) if is_transient(&failure) => {
                tokio::time::sleep(RECONNECT_PAUSE).await;
                continue;
            }
            Err(failure) => {
                return Err(failure).change_context(ChildError("colleague listener".to_owned()));
            }
        };
        let Ok(slot) = connection_slots.clone().try_acquire_owned() else { continue };
        let (inbox, counts) = (inbox.clone(), counts.clone());
        actix_rt::spawn(async move {
            read_frames(stream, fleet, &inbox, &counts).await;
            drop(slot);
        });
    }
}

/// Whether an accept error is transient: the connection broke before it was accepted, or there are too many
/// open files (ENFILE 23, EMFILE 24).
pub fn is_transient(failure: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(
        failure.kind(),
        ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted
    ) || failure.raw_os_error().is_some_and(|code| code == 23 || code == 24)
}

async fn read_frames(stream: TcpStream, fleet: u64, inbox: &PeerInbox, counts: &FrameCounts) {
    let clock = MonotonicClock::start();
    let mut stream = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
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
                log::warn!(target: LOG_TARGET, "closed a connection from {:?}: the node belongs to another fleet", stream.get_ref().peer_addr().ok());
                return;
            }
            Err(failure) => {
                drop_frame(failure, counts, stream.get_ref(), clock);
                return;
            }
        }
    }
}

/// Reads a payload. The buffer grows with the received bytes, so that a false length allocates no memory.
async fn read_payload(stream: &mut BufReader<TcpStream>, length: usize) -> Option<Vec<u8>> {
    let mut payload = Vec::with_capacity(length.min(READ_CHUNK_BYTES));
    while payload.len() < length {
        let received = payload.len();
        payload.resize(length.min(received + READ_CHUNK_BYTES), 0);
        stream.read_exact(&mut payload[received..]).await.ok()?;
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
    log::warn!(target: LOG_TARGET, "dropped a frame from {:?}, {} ms after the start: {failure:?}",
        stream.peer_addr().ok(),
        clock.now().millis()
    );
}
