//! Connections kept between dispatches, each to one cell of one id at one address.
//!
//! Whether a connection is kept and taken up again is decided by [`ConnectionUse`]; here the idle ones
//! are stored and the system is asked what it knows of them.

use crate::connection_use::{AnswerEnd, ConnectionUse, IdleCheck};
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
pub(crate) type CellStream = Framed<TcpStream, ClientCodec>;

/// A connection to a cell.
pub(crate) struct CellConnection {
    pub stream: CellStream,
    /// Whose answers it may bring.
    pub usage: ConnectionUse<HeaderValue>,
}

impl CellConnection {
    /// A connection that carried nothing yet.
    pub fn fresh(stream: TcpStream) -> CellConnection {
        CellConnection { stream: Framed::new(stream, ClientCodec::default()), usage: ConnectionUse::fresh() }
    }
}

struct IdleConnection {
    address: SocketAddr,
    connection: CellConnection,
    ends_at: Instant,
}

thread_local! {
    static IDLE: RefCell<IdleConnections> = RefCell::new(IdleConnections::default());
}

#[derive(Default)]
struct IdleConnections {
    by_cell: HashMap<String, Vec<IdleConnection>>,
    swept_at: Option<Instant>,
}

/// Between two sweeps of connections that are over.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

/// Takes the connection to the cell that was used last, if one is sound.
/// Example: `take("c1", address)` is `None` before the first dispatch.
pub(crate) fn take(cell: &str, address: SocketAddr) -> Option<CellConnection> {
    IDLE.with_borrow_mut(|idle| {
        let now = Instant::now();
        let connections = idle.by_cell.get_mut(cell)?;
        while let Some(kept) = connections.pop() {
            let check = IdleCheck {
                is_same_address: kept.address == address,
                is_expired: now >= kept.ends_at,
                has_unread_bytes: !is_quiet(&kept.connection.stream),
            };
            if kept.connection.usage.may_take_up(check) {
                return Some(kept.connection);
            }
        }
        None
    })
}

/// Keeps a connection whose answer is read to its end, unless more came or it may not be kept.
/// Example: `give_back("c1", address, connection, Duration::from_secs(3), 2)`.
pub(crate) fn give_back(
    cell: &str,
    address: SocketAddr,
    mut connection: CellConnection,
    idle_span: Duration,
    idle_limit: usize,
) {
    let end = AnswerEnd {
        has_unread_bytes: !connection.stream.is_read_buf_empty(),
        has_unsent_bytes: !connection.stream.is_write_buf_empty(),
        cell_keeps_it: !idle_span.is_zero(),
    };
    if !connection.usage.answer_ended(end) {
        return;
    }
    IDLE.with_borrow_mut(|idle| {
        let now = Instant::now();
        if idle.swept_at.is_none_or(|swept_at| now >= swept_at + SWEEP_EVERY) {
            idle.swept_at = Some(now);
            idle.by_cell.retain(|_, connections| {
                connections.retain(|kept| now < kept.ends_at);
                !connections.is_empty()
            });
        }
        let connections = idle.by_cell.entry(cell.to_owned()).or_default();
        if connections.len() < idle_limit {
            connections.push(IdleConnection { address, connection, ends_at: now + idle_span });
        }
    });
}

/// Asks the system itself, not what the reactor last saw: nothing to read and not closed.
fn is_quiet(stream: &CellStream) -> bool {
    let mut byte = [MaybeUninit::<u8>::uninit()];
    match SockRef::from(stream.io_ref()).peek(&mut byte) {
        Ok(_) => false,
        Err(failure) => failure.kind() == std::io::ErrorKind::WouldBlock,
    }
}
