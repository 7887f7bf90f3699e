//! Frames between colleagues over TCP: one outgoing connection to each, dropped frames are harmless.

use crate::protocol_shell::ShellEvent;
use clock_events::MonotonicClock;
use colleague_messages::{Address, FRAME_HEAD, FrameError, decode_payload, frame_length};
use error_stack::{Report, ResultExt};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use supervisor::ChildError;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};

const LINK_WAITLIST: usize = 1_024;
const LINK_BYTES: usize = 24 * 1024 * 1024;
const WRITE_WITHIN: Duration = Duration::from_secs(3);
const CONNECT_WITHIN: Duration = Duration::from_secs(1);
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
const LINK_LIMIT: usize = 512;
const IDLE_LINK: Duration = Duration::from_secs(60);
const READ_STEP: usize = 64 * 1024;

/// Frames dropped, by reason.
#[derive(Debug, Default)]
pub struct FrameCounts {
    pub foreign: AtomicU64,
    pub too_long: AtomicU64,
    pub damaged: AtomicU64,
    pub other_fleet: AtomicU64,
    pub waitlist_full: AtomicU64,
}

struct Link {
    sender: mpsc::Sender<Vec<u8>>,
    waiting_bytes: Arc<AtomicUsize>,
}

/// The outgoing connections.
pub struct ColleagueLinks {
    links: HashMap<Address, Link>,
    counts: Arc<FrameCounts>,
}

impl ColleagueLinks {
    pub fn new(counts: Arc<FrameCounts>) -> ColleagueLinks {
        ColleagueLinks { links: HashMap::new(), counts }
    }

    /// Puts a frame on the way, or drops it when the link is overfull.
    pub fn send(&mut self, address: Address, frame: Vec<u8>) {
        self.links.retain(|_, link| !link.sender.is_closed());
        if !self.links.contains_key(&address) && self.links.len() >= LINK_LIMIT {
            self.counts.waitlist_full.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let link = self.links.entry(address).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(LINK_WAITLIST);
            let waiting_bytes = Arc::new(AtomicUsize::new(0));
            actix_rt::spawn(carry(address.socket(), receiver, waiting_bytes.clone()));
            Link { sender, waiting_bytes }
        });
        let frame_length = frame.len();
        if link.waiting_bytes.load(Ordering::Relaxed) + frame_length > LINK_BYTES
            || link.sender.try_send(frame).is_err()
        {
            self.counts.waitlist_full.fetch_add(1, Ordering::Relaxed);
            return;
        }
        link.waiting_bytes.fetch_add(frame_length, Ordering::Relaxed);
    }
}

async fn carry(address: SocketAddr, mut receiver: mpsc::Receiver<Vec<u8>>, waiting_bytes: Arc<AtomicUsize>) {
    let mut stream: Option<TcpStream> = None;
    loop {
        let Ok(received) = tokio::time::timeout(IDLE_LINK, receiver.recv()).await else { return };
        let Some(frame) = received else { return };
        waiting_bytes.fetch_sub(frame.len(), Ordering::Relaxed);
        if stream.as_ref().is_some_and(is_closed) {
            stream = None;
        }
        if stream.is_none() {
            stream = connect(address).await;
        }
        let Some(open) = &mut stream else {
            // The frame is lost, and so are those that wait for an address that does not answer.
            while let Ok(lost_frame) = receiver.try_recv() {
                waiting_bytes.fetch_sub(lost_frame.len(), Ordering::Relaxed);
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        let writing = tokio::time::timeout(WRITE_WITHIN, open.write_all(&frame));
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

/// Accepts colleagues' connections and hands their messages to the node.
pub async fn listen(
    listener: Rc<TcpListener>,
    fleet: u64,
    inbox: mpsc::Sender<ShellEvent>,
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

async fn read_frames(
    mut stream: TcpStream,
    fleet: u64,
    inbox: &mpsc::Sender<ShellEvent>,
    counts: &FrameCounts,
) {
    let clock = MonotonicClock::start();
    loop {
        let mut head = [0u8; FRAME_HEAD];
        if stream.read_exact(&mut head).await.is_err() {
            return;
        }
        let frame = match frame_length(&head) {
            Ok(length) => read_payload(&mut stream, length).await,
            Err(failure) => {
                drop_frame(failure, counts, &stream, clock);
                return;
            }
        };
        let Some(payload) = frame else { return };
        match decode_payload(&head, &payload) {
            Ok(envelope) if envelope.fleet == fleet => {
                if inbox.try_send(ShellEvent::Heard(envelope)).is_err() {
                    counts.waitlist_full.fetch_add(1, Ordering::Relaxed);
                }
            }
            Ok(_) => {
                counts.other_fleet.fetch_add(1, Ordering::Relaxed);
                log::warn!("a node of another fleet speaks from {:?}", stream.peer_addr().ok());
                return;
            }
            Err(failure) => {
                drop_frame(failure, counts, &stream, clock);
                return;
            }
        }
    }
}

/// Grows with what really comes, so that a lying length reserves nothing.
async fn read_payload(stream: &mut TcpStream, length: usize) -> Option<Vec<u8>> {
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
    log::warn!(
        "dropped a frame from {:?} after {} ms: {failure:?}",
        stream.peer_addr().ok(),
        clock.now().millis()
    );
}
