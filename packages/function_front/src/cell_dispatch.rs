//! One dispatch to one cell over one fresh connection.
//!
//! A connection belongs to this dispatch alone: no pool can hand it to another cell, nothing is
//! resent behind our back, and a refused connection is the only failure before any byte is out.
//! `actix-http`'s client codec reads the answer; the end of the stream before the end of the framing
//! is seen here as a cut, never as an end.

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{
    ConnectionType, Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Uri, Version,
};
use bytes::{Bytes, BytesMut};
use clock_events::Micros;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

use crate::{CELL_HEADER, FUNCTION_HEADER, OUTCOME_HEADER, TIME_LEFT_HEADER};

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
}

impl Default for DispatchSettings {
    fn default() -> DispatchSettings {
        DispatchSettings { buffer_limit: 256 * 1024, connect_within: Duration::from_millis(1_000) }
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
    let connecting = tokio::time::timeout(settings.connect_within, TcpStream::connect(call.address));
    let Ok(Ok(cell_stream)) = connecting.await else { return DispatchOutcome::NotRun };
    let _ = cell_stream.set_nodelay(true);
    let is_head = call.method == Method::HEAD;
    let body = call.body.clone();
    let body_size = match body.is_empty() && !has_body(&call.method) {
        true => BodySize::None,
        false => BodySize::Sized(body.len() as u64),
    };
    let head = request_head(call);
    let mut framed = Framed::new(cell_stream, ClientCodec::default());
    // From here on bytes may reach the cell: nothing below may say that it did not run, except the
    // cell itself.
    if framed.send(Message::Item((RequestHeadType::from(head), body_size))).await.is_err() {
        return DispatchOutcome::Unknown("the connection broke while sending");
    }
    if !body.is_empty() {
        // A cell may answer before it read the whole body; its answer still counts if it is whole.
        let _ = framed.send(Message::Chunk(Some(body))).await;
    }
    read_answer(framed, is_head, settings).await
}

fn has_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

fn request_head(call: DispatchCall) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = call.method;
    head.uri = call.uri;
    head.version = Version::HTTP_11;
    head.headers = call.headers;
    let named = [
        (FUNCTION_HEADER, call.function),
        (CELL_HEADER, call.cell),
        (TIME_LEFT_HEADER, call.time_left.millis().to_string()),
    ];
    for (name, value) in named {
        if let Ok(header_value) = HeaderValue::from_str(&value) {
            head.headers.insert(HeaderName::from_static(name), header_value);
        }
    }
    if !head.headers.contains_key(header::HOST)
        && let Ok(host_value) = HeaderValue::from_str(&call.address.to_string())
    {
        head.headers.insert(header::HOST, host_value);
    }
    head.set_connection_type(ConnectionType::Close);
    head
}

async fn read_answer(
    mut framed: Framed<TcpStream, ClientCodec>,
    is_head: bool,
    settings: &DispatchSettings,
) -> DispatchOutcome {
    let head: ResponseHead = match framed.next().await {
        Some(Ok(head)) => head,
        Some(Err(_)) => return DispatchOutcome::Unknown("the answer is no HTTP"),
        None => return DispatchOutcome::Unknown("the connection ended without an answer"),
    };
    if head.status.is_informational() {
        return DispatchOutcome::Unknown("an answer that nobody asked for");
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return DispatchOutcome::NotRun;
    }
    let says_not_run = head.headers.get(OUTCOME_HEADER).is_some_and(|value| value.as_bytes() == b"not_run");
    if says_not_run && [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS].contains(&head.status)
    {
        return DispatchOutcome::TurnedAway;
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
    let headers = end_to_end(head.headers());
    if has_no_body || framed.codec_ref().message_type() == MessageType::None {
        return DispatchOutcome::Answered(CellAnswer { status, headers, body: Bytes::new(), rest: None });
    }
    let mut payload = framed.into_map_codec(ClientCodec::into_payload_codec);
    let mut body = BytesMut::new();
    loop {
        match payload.next().await {
            Some(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
            Some(Ok(None)) => break,
            Some(Err(_)) => return DispatchOutcome::Unknown("the answer's body is damaged"),
            None => return DispatchOutcome::Unknown("the answer was cut"),
        }
        if body.len() > settings.buffer_limit {
            let rest = Some((Box::new(payload), told_length));
            return DispatchOutcome::Answered(CellAnswer { status, headers, body: body.freeze(), rest });
        }
    }
    if told_length.is_some_and(|length| length != body.len() as u64) {
        return DispatchOutcome::Unknown("the answer's length differs from what it says");
    }
    DispatchOutcome::Answered(CellAnswer { status, headers, body: body.freeze(), rest: None })
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
/// Example: `end_to_end(request.headers())` has no `connection`.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
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
            || name_text.starts_with("x-vanelane-")
            || named.iter().any(|dropped| dropped == name_text);
        if !is_dropped {
            kept_headers.append(name.clone(), value.clone());
        }
    }
    kept_headers
}
