//! One dispatch to one cell, over a kept connection to that very cell or a fresh one.
//!
//! Nothing is resent behind our back, and a refused connection is the only failure before any byte is
//! out. Where calls have ids an answer to another call is known by its id and never handed on.
//! `actix-http`'s client codec reads the answer; the end of the stream before the end of the framing
//! is seen here as a cut, never as an end.

use crate::call_dialect::CallDialect;
use crate::cell_pool::{self, CellConnection};
use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{
    ConnectionType, Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Uri, Version,
};
use bytes::{Bytes, BytesMut};
use clock_events::Micros;
use futures_util::{SinkExt, StreamExt};
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// What is carried to the cell. Example: see `Front`.
#[derive(Clone, Debug)]
pub struct DispatchCall {
    /// The visitor's method.
    pub method: Method,
    /// The visitor's path and query.
    pub uri: Uri,
    /// The visitor's headers without hop-by-hop ones.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The function named by the ticket.
    pub function: String,
    /// The cell named by the ticket.
    pub cell: String,
    /// Where the cell listens.
    pub address: SocketAddr,
    /// The call's time left.
    pub time_left: Micros,
}

/// Limits of a dispatch. Example: `DispatchSettings::default().buffer_limit`.
#[derive(Clone, Debug)]
pub struct DispatchSettings {
    /// Answers up to this length are held until they are whole; longer ones are streamed.
    pub buffer_limit: usize,
    /// How long connecting may take.
    pub connect_within: Duration,
    /// Sent bytes that the machine beyond does not confirm for so long end the connection.
    pub silence_within: Duration,
    /// Idle connections kept to one cell; zero closes each after its answer.
    pub idle_limit: usize,
    /// How long a connection is kept where the cell does not say how long it may idle.
    pub idle_untold: Duration,
    /// The headers that cells speak by.
    pub dialect: Arc<CallDialect>,
}

impl Default for DispatchSettings {
    fn default() -> DispatchSettings {
        DispatchSettings {
            buffer_limit: 256 * 1024,
            connect_within: Duration::from_millis(1_000),
            silence_within: Duration::from_secs(4),
            idle_limit: 0,
            idle_untold: Duration::ZERO,
            dialect: Arc::new(CallDialect::default()),
        }
    }
}

/// The rest of an answer that is longer than the buffer.
pub type AnswerRest = Framed<TcpStream, ClientPayloadCodec>;

/// A cell's answer: whole, or its beginning with the rest to stream.
pub struct CellAnswer {
    /// The cell's status.
    pub status: StatusCode,
    /// Its headers without hop-by-hop ones.
    pub headers: HeaderMap,
    /// The body, or its beginning.
    pub body: Bytes,
    /// What is still to come, if the body is longer than the buffer; with its whole length if told.
    pub rest: Option<(Box<AnswerRest>, Option<u64>)>,
}

/// How a dispatch ended. Example: `DispatchOutcome::NotRun`.
pub enum DispatchOutcome {
    /// A whole answer, or the beginning of a long one.
    Answered(CellAnswer),
    /// The connection was refused, or the listener is not the cell meant: it did not run.
    NotRun,
    /// The cell said that it did not run the call.
    TurnedAway,
    /// Bytes may have reached the cell and no whole answer came.
    Unknown(&'static str),
}

/// Dispatches once; the caller bounds it by the call's time left.
/// Example: `dispatch(call, &DispatchSettings::default()).await`.
pub async fn dispatch(call: DispatchCall, settings: &DispatchSettings) -> DispatchOutcome {
    let pooled = cell_pool::take(&call.cell, call.address);
    let mut framed = match pooled {
        Some(framed) => framed,
        None => {
            let connecting = tokio::time::timeout(settings.connect_within, TcpStream::connect(call.address));
            let Ok(Ok(cell_stream)) = connecting.await else { return DispatchOutcome::NotRun };
            let _ = cell_stream.set_nodelay(true);
            let _ = SockRef::from(&cell_stream).set_tcp_user_timeout(Some(settings.silence_within));
            Framed::new(cell_stream, ClientCodec::default())
        }
    };
    let is_head = call.method == Method::HEAD;
    let body = call.body.clone();
    let body_size = match body.is_empty() && !has_body(&call.method) {
        true => BodySize::None,
        false => BodySize::Sized(body.len() as u64),
    };
    let place = (call.cell.clone(), call.address);
    let head = request_head(call, settings);
    let call_id = settings.dialect.call_id.as_ref().and_then(|name| head.headers.get(name).cloned());
    // From here on bytes may reach the cell: nothing below may say that it did not run, except the
    // cell itself.
    if framed.write_whole(head, body_size, body).await.is_err() {
        return DispatchOutcome::Unknown("the connection broke while sending");
    }
    read_answer(framed, is_head, call_id, place, settings).await
}

trait WriteWhole {
    async fn write_whole(&mut self, head: RequestHead, size: BodySize, body: Bytes) -> std::io::Result<()>;
}

impl WriteWhole for CellConnection {
    /// Head and body leave together, in one write where the connection takes it.
    async fn write_whole(&mut self, head: RequestHead, size: BodySize, body: Bytes) -> std::io::Result<()> {
        self.feed(Message::Item((RequestHeadType::from(head), size))).await?;
        if body.is_empty() {
            return self.flush().await;
        }
        self.feed(Message::Chunk(Some(body))).await?;
        // A cell may answer before it read the whole body; its answer still counts if it is whole.
        let _ = self.flush().await;
        Ok(())
    }
}

fn has_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

fn request_head(call: DispatchCall, settings: &DispatchSettings) -> RequestHead {
    let dialect = &settings.dialect;
    let mut head = RequestHead::default();
    head.method = call.method;
    head.uri = call.uri;
    head.version = Version::HTTP_11;
    head.headers = call.headers;
    let named = [
        (dialect.function.clone(), call.function),
        (Some(dialect.cell.clone()), call.cell),
        (Some(dialect.time_left.clone()), call.time_left.millis().to_string()),
    ];
    for (name, value) in named {
        if let (Some(name), Ok(header_value)) = (name, HeaderValue::from_str(&value)) {
            head.headers.insert(name, header_value);
        }
    }
    if !head.headers.contains_key(header::HOST)
        && let Ok(host_value) = HeaderValue::from_str(&call.address.to_string())
    {
        head.headers.insert(header::HOST, host_value);
    }
    let connection = if settings.idle_limit > 0 { ConnectionType::KeepAlive } else { ConnectionType::Close };
    head.set_connection_type(connection);
    head
}

/// Answers to calls before this one that may come late on a connection, each known by its id.
const LATE_ANSWERS: usize = 1;

async fn read_answer(
    mut framed: CellConnection,
    is_head: bool,
    call_id: Option<HeaderValue>,
    (cell, address): (String, SocketAddr),
    settings: &DispatchSettings,
) -> DispatchOutcome {
    let dialect = &settings.dialect;
    let mut late_answers = 0;
    loop {
        let head: ResponseHead = match framed.next().await {
            Some(Ok(head)) => head,
            Some(Err(_)) => return DispatchOutcome::Unknown("the answer is no HTTP"),
            None => return DispatchOutcome::Unknown("the connection ended without an answer"),
        };
        if head.status.is_informational() {
            return DispatchOutcome::Unknown("an answer that nobody asked for");
        }
        let id_name = dialect.call_id.as_ref();
        let answered_id = id_name.and_then(|name| head.headers.get(name));
        let is_other = call_id.is_some() && answered_id.is_some() && answered_id != call_id.as_ref();
        if !is_other && head.status == StatusCode::MISDIRECTED_REQUEST {
            return DispatchOutcome::NotRun;
        }
        let lengths: Vec<&HeaderValue> = head.headers.get_all(header::CONTENT_LENGTH).collect();
        let told_length: Option<u64> =
            lengths.first().and_then(|value| value.to_str().ok()).and_then(|text| text.trim().parse().ok());
        let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
        let has_no_body = is_head
            || head.status == StatusCode::NO_CONTENT
            || head.status == StatusCode::NOT_MODIFIED
            || (told_length == Some(0) && !is_chunked);
        if lengths.len() > 1 || (is_chunked && !lengths.is_empty()) {
            return DispatchOutcome::Unknown("the answer's length is told twice");
        }
        if !has_no_body && told_length.is_none() && !is_chunked {
            return DispatchOutcome::Unknown("the answer is framed by the connection's end alone");
        }
        let status = head.status;
        let idle_span = idle_span(&head, settings);
        let headers = end_to_end(head.headers(), dialect.own_prefix);
        let is_bodiless = has_no_body || framed.codec_ref().message_type() == MessageType::None;
        let (body, back) = if is_bodiless {
            (Bytes::new(), framed)
        } else {
            let mut payload = framed.into_map_codec(ClientCodec::into_payload_codec);
            let mut body = BytesMut::new();
            loop {
                match payload.next().await {
                    Some(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
                    Some(Ok(None)) => break,
                    Some(Err(_)) => return DispatchOutcome::Unknown("the answer's body is damaged"),
                    None => return DispatchOutcome::Unknown("the answer was cut"),
                }
                if body.len() > settings.buffer_limit && is_other {
                    return DispatchOutcome::Unknown("an answer that nobody asked for");
                }
                if body.len() > settings.buffer_limit {
                    let rest = Some((Box::new(payload), told_length));
                    return DispatchOutcome::Answered(CellAnswer {
                        status,
                        headers,
                        body: body.freeze(),
                        rest,
                    });
                }
            }
            if told_length.is_some_and(|length| length != body.len() as u64) {
                return DispatchOutcome::Unknown("the answer's length differs from what it says");
            }
            (body.freeze(), payload.into_map_codec(ClientPayloadCodec::into_message_codec))
        };
        if is_other {
            // A second answer to an earlier call stands where this call's should come.
            late_answers += 1;
            if late_answers > LATE_ANSWERS {
                return DispatchOutcome::Unknown("answers that nobody asked for");
            }
            framed = back;
            continue;
        }
        let says_not_run = headers
            .get(&dialect.not_run.0)
            .is_some_and(|value| dialect.not_run.1.is_none_or(|meant| value.as_bytes() == meant.as_bytes()));
        cell_pool::give_back(&cell, address, back, idle_span, settings.idle_limit);
        if says_not_run && !status.is_success() {
            return DispatchOutcome::TurnedAway;
        }
        return DispatchOutcome::Answered(CellAnswer { status, headers, body, rest: None });
    }
}

/// How long the connection may be kept: as the cell says, less a part of it, since the two clocks
/// start apart; not at all when it says nothing or closes.
fn idle_span(head: &ResponseHead, settings: &DispatchSettings) -> Duration {
    let closes = head.headers.get(header::CONNECTION).is_some_and(|value| {
        value.to_str().is_ok_and(|text| text.split(',').any(|part| part.trim().eq_ignore_ascii_case("close")))
    });
    if closes || head.version != Version::HTTP_11 {
        return Duration::ZERO;
    }
    let told = head.headers.get(header::HeaderName::from_static("keep-alive"));
    let seconds = told.and_then(|value| value.to_str().ok()).and_then(|text| {
        text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok())
    });
    seconds.map_or(settings.idle_untold, |seconds| Duration::from_millis(seconds.min(3_600) * 700))
}

const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
];

/// The headers without those that concern one connection only, and without vanelane's own.
/// Example: `end_to_end(request.headers(), "x-vanelane-")` has no `connection`.
pub(crate) fn end_to_end(headers: &HeaderMap, own_prefix: &str) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept_headers = HeaderMap::new();
    for (name, value) in headers {
        let name_text = name.as_str();
        let is_dropped = HOP_BY_HOP.contains(&name_text)
            || (!own_prefix.is_empty() && name_text.starts_with(own_prefix))
            || named.iter().any(|dropped| dropped == name_text);
        if !is_dropped {
            kept_headers.append(name.clone(), value.clone());
        }
    }
    kept_headers
}
