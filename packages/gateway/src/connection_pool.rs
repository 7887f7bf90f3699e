//! Idle connections kept between dispatches, each to one instance id at one address.
//!
//! [`ConnectionUse`] decides whether a connection is kept and reused; this module stores the idle ones and
//! checks the state of their sockets.

use crate::connection_use::{ConnectionUse, IdleCheck, ResponseEnd};
use actix_codec::Framed;
use actix_http::h1::ClientCodec;
use actix_http::header::HeaderValue;
use socket2::SockRef;
use std::cell::RefCell;
use std::collections::HashMap;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// A stream to an instance, with the codec that reads its responses.
pub(crate) type InstanceStream = Framed<TcpStream, ClientCodec>;

/// A connection to an instance.
pub(crate) struct InstanceConnection {
    pub stream: InstanceStream,
    /// Decides which request its responses belong to, and whether it may be reused.
    pub usage: ConnectionUse<HeaderValue>,
}

impl InstanceConnection {
    /// A connection that has carried nothing yet.
    pub fn fresh(stream: TcpStream) -> InstanceConnection {
        InstanceConnection {
            stream: Framed::new(stream, ClientCodec::default()),
            usage: ConnectionUse::fresh(),
        }
    }
}

struct IdleConnection {
    address: SocketAddr,
    connection: InstanceConnection,
    ends_at: Instant,
}

thread_local! {
    static IDLE: RefCell<IdleConnections> = RefCell::new(IdleConnections::default());
}

#[derive(Default)]
struct IdleConnections {
    by_instance: HashMap<String, Vec<IdleConnection>>,
    swept_at: Option<Instant>,
}

/// Interval between sweeps of expired connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Takes the most recently used connection to the instance that may be reused, if there is one.
/// Example: `check_out("c1", address)` is `None` before the first dispatch.
pub(crate) fn check_out(instance: &str, address: SocketAddr) -> Option<InstanceConnection> {
    IDLE.with_borrow_mut(|idle| {
        let now = Instant::now();
        let connections = idle.by_instance.get_mut(instance)?;
        while let Some(kept) = connections.pop() {
            let check = IdleCheck {
                is_same_address: kept.address == address,
                is_expired: now >= kept.ends_at,
                has_unread_bytes: !is_socket_idle(&kept.connection.stream),
            };
            if kept.connection.usage.may_reuse(check) {
                return Some(kept.connection);
            }
        }
        None
    })
}

/// Keeps a connection whose response has been read to its end, unless more bytes arrived or it may not be
/// kept.
/// Example: `put_back("c1", address, connection, Duration::from_secs(3), 2)`.
pub(crate) fn put_back(
    instance: &str,
    address: SocketAddr,
    mut connection: InstanceConnection,
    idle_span: Duration,
    idle_limit: usize,
) {
    let end = ResponseEnd {
        has_unread_bytes: !connection.stream.is_read_buf_empty(),
        has_unsent_bytes: !connection.stream.is_write_buf_empty(),
        instance_keeps_alive: !idle_span.is_zero(),
    };
    if !connection.usage.response_ended(end) {
        return;
    }
    IDLE.with_borrow_mut(|idle| {
        let now = Instant::now();
        if idle.swept_at.is_none_or(|swept_at| now >= swept_at + SWEEP_INTERVAL) {
            idle.swept_at = Some(now);
            idle.by_instance.retain(|_, connections| {
                connections.retain(|kept| now < kept.ends_at);
                !connections.is_empty()
            });
        }
        let connections = idle.by_instance.entry(instance.to_owned()).or_default();
        if connections.len() < idle_limit {
            connections.push(IdleConnection { address, connection, ends_at: now + idle_span });
        }
    });
}

/// Whether the socket has nothing to read and is not closed. This asks the operating system itself, since the
/// reactor's last readiness may be outdated.
fn is_socket_idle(stream: &InstanceStream) -> bool {
    let mut byte = [MaybeUninit::<u8>::uninit()];
    match SockRef::from(stream.io_ref()).peek(&mut byte) {
        Ok(_) => false,
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
    }
}
