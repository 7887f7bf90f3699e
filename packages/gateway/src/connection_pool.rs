//! Connections kept between dispatches, each to one cell of one id at one address.
//!
//! Whether a connection is kept and taken up again is decided by [`ConnectionUse`]; here the idle ones
//! are stored and the system is asked what it knows of them.

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

/// A stream to a cell, with the codec that reads its answers.
pub(crate) type InstanceStream = Framed<TcpStream, ClientCodec>;

/// A connection to a cell.
pub(crate) struct InstanceConnection {
    pub stream: InstanceStream,
    /// Whose answers it may bring.
    pub usage: ConnectionUse<HeaderValue>,
}

impl InstanceConnection {
    /// A connection that carried nothing yet.
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

/// Between two sweeps of connections that are over.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

/// Takes the connection to the cell that was used last, if one is sound.
/// Example: `take("c1", address)` is `None` before the first dispatch.
pub(crate) fn check_out(instance: &str, address: SocketAddr) -> Option<InstanceConnection> {
    IDLE.with_borrow_mut(|idle| {
        let now = Instant::now();
        let connections = idle.by_instance.get_mut(instance)?;
        while let Some(kept) = connections.pop() {
            let check = IdleCheck {
                is_same_address: kept.address == address,
                is_expired: now >= kept.ends_at,
                has_unread_bytes: !is_idle(&kept.connection.stream),
            };
            if kept.connection.usage.may_reuse(check) {
                return Some(kept.connection);
            }
        }
        None
    })
}

/// Keeps a connection whose answer is read to its end, unless more came or it may not be kept.
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
        if idle.swept_at.is_none_or(|swept_at| now >= swept_at + SWEEP_EVERY) {
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

/// Asks the system itself, not what the reactor last saw: nothing to read and not closed.
fn is_idle(stream: &InstanceStream) -> bool {
    let mut byte = [MaybeUninit::<u8>::uninit()];
    match SockRef::from(stream.io_ref()).peek(&mut byte) {
        Ok(_) => false,
        Err(failure) => failure.kind() == std::io::ErrorKind::WouldBlock,
    }
}
