//! One dispatch to one instance, over a kept connection to that instance or a fresh one.
//!
//! Nothing is resent implicitly, and a connection that cannot be opened is the only failure before any byte
//! is sent. [`crate::connection_use`] decides which request a response belongs to. `actix-http`'s client
//! codec reads the response; the end of the stream before the end of the framing counts as a truncated
//! response, never as its end.

use crate::connection_pool::{self, InstanceConnection, InstanceStream};
use crate::connection_use::ResponseOwner;
use crate::header_conventions::HeaderConventions;
use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{
    ConnectionType, Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Uri, Version,
};
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use monotonic_clock::Micros;
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A call as it is sent to an instance. Example: see `Gateway`.
#[derive(Clone, Debug)]
pub struct DispatchCall {
    /// The client's method.
    pub method: Method,
    /// The client's path and query.
    pub uri: Uri,
    /// The client's headers without hop-by-hop ones.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The function named by the permit.
    pub function: String,
    /// The tenant of the call, if there is one. The headers above name none.
    pub tenant: Option<Arc<str>>,
    /// Whether a running call made it.
    pub is_nested: bool,
    /// The instance named by the permit.
    pub instance: String,
    /// The address where the instance listens.
    pub address: SocketAddr,
    /// The call's time left.
    pub time_left: Micros,
    /// Cancelled when nobody waits for the response any more. What has not been sent by then is not sent.
    pub client_left: CancellationToken,
    /// Whether the instance's work may be aborted when nobody waits for it: the call may run again.
    pub is_repeatable: bool,
}

/// Limits of a dispatch. Example: `DispatchSettings::default().buffer_limit`.
#[derive(Clone, Debug)]
pub struct DispatchSettings {
    /// Responses up to this length are buffered until they are whole; longer ones are streamed.
    pub buffer_limit: usize,
    /// Timeout of opening a connection.
    pub connect_timeout: Duration,
    /// The connection fails when sent bytes are not acknowledged within this time.
    pub tcp_user_timeout: Duration,
    /// Idle connections kept to one instance; zero closes each after its response.
    pub idle_limit: usize,
    /// How long a connection is kept where the instance does not say how long it may idle.
    pub default_idle_timeout: Duration,
    /// The headers used with instances.
    pub header_conventions: Arc<HeaderConventions>,
}

impl Default for DispatchSettings {
    fn default() -> DispatchSettings {
        DispatchSettings {
            buffer_limit: 256 * 1024,
            connect_timeout: Duration::from_millis(1_000),
            tcp_user_timeout: Duration::from_secs(4),
            idle_limit: 0,
            default_idle_timeout: Duration::ZERO,
            header_conventions: Arc::new(HeaderConventions::default()),
        }
    }
}

/// The rest of a response that is longer than the buffer.
pub type ResponseRest = Framed<TcpStream, ClientPayloadCodec>;

/// An instance's response: whole, or its beginning with the rest to stream.
pub struct InstanceResponse {
    /// The response's status.
    pub status: StatusCode,
    /// Its headers without hop-by-hop ones.
    pub headers: HeaderMap,
    /// The body, or its beginning.
    pub body: Bytes,
    /// The rest, if the body is longer than the buffer, with the whole body's length if declared.
    pub rest: Option<(Box<ResponseRest>, Option<u64>)>,
}

/// How a dispatch ended. Example: `DispatchOutcome::NotRun`.
pub enum DispatchOutcome {
    /// A whole response, or the beginning of a long one.
    Answered(InstanceResponse),
    /// The connection was refused, or the listener is not the intended instance: the call did not run.
    NotRun,
    /// The instance said that it did not run the call.
    RefusedBusy,
    /// Bytes may have reached the instance, and no valid response arrived.
    Unknown(&'static str),
    /// The same, and the call's time is over.
    TimedOut,
    /// The client left before a byte was sent.
    Withdrawn,
    /// The client left while the instance may have been at work; the connection to it was closed.
    Abandoned,
}

/// Dispatches once, within the call's time left. A connection that is not open by then has carried nothing.
/// Example: `dispatch(call, &DispatchSettings::default()).await`.
pub async fn dispatch(call: DispatchCall, settings: &DispatchSettings) -> DispatchOutcome {
    let ends_at = Instant::now() + call.time_left.duration();
    let client_left = call.client_left.clone();
    let connected = tokio::select! {
        connected = connect(&call, settings, ends_at) => connected,
        () = client_left.cancelled() => return DispatchOutcome::Withdrawn,
    };
    if client_left.is_cancelled() {
        return DispatchOutcome::Withdrawn;
    }
    let Some(connection) = connected else { return DispatchOutcome::NotRun };
    // Connecting took part of the call's time.
    let time_left = Micros(ends_at.saturating_duration_since(Instant::now()).as_micros() as u64);
    if time_left.millis() == 0 {
        return DispatchOutcome::NotRun;
    }
    let is_repeatable = call.is_repeatable;
    let call = DispatchCall { time_left, ..call };
    let exchanged = tokio::time::timeout_at(ends_at, exchange(call, connection, settings));
    if !is_repeatable {
        return exchanged.await.unwrap_or(DispatchOutcome::TimedOut);
    }
    tokio::select! {
        biased;
        exchanged = exchanged => exchanged.unwrap_or(DispatchOutcome::TimedOut),
        () = client_left.cancelled() => DispatchOutcome::Abandoned,
    }
}

/// A kept connection to the instance, or a new one that was opened in time.
async fn connect(
    call: &DispatchCall,
    settings: &DispatchSettings,
    ends_at: Instant,
) -> Option<InstanceConnection> {
    if let Some(kept) = connection_pool::check_out(&call.instance, call.address) {
        return Some(kept);
    }
    let connects_until = ends_at.min(Instant::now() + settings.connect_timeout);
    let connecting = tokio::time::timeout_at(connects_until, TcpStream::connect(call.address));
    let stream = connecting.await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(settings.tcp_user_timeout));
    Some(InstanceConnection::fresh(stream))
}

/// Sends the call and reads its response. From here on bytes may reach the instance: only the instance itself
/// can say that the call did not run.
async fn exchange(
    call: DispatchCall,
    mut connection: InstanceConnection,
    settings: &DispatchSettings,
) -> DispatchOutcome {
    let is_head = call.method == Method::HEAD;
    let body = call.body.clone();
    let body_size = match body.is_empty() && !has_body(&call.method) {
        true => BodySize::None,
        false => BodySize::Sized(body.len() as u64),
    };
    let endpoint = (call.instance.clone(), call.address);
    let head = request_head(call, settings);
    let call_id =
        settings.header_conventions.call_id.as_ref().and_then(|name| head.headers.get(name).cloned());
    connection.usage.request_sent(call_id);
    if connection.stream.write_request(head, body_size, body).await.is_err() {
        return DispatchOutcome::Unknown("the connection broke while sending");
    }
    read_response(connection, is_head, endpoint, settings).await
}

trait WriteRequest {
    async fn write_request(&mut self, head: RequestHead, size: BodySize, body: Bytes) -> std::io::Result<()>;
}

impl WriteRequest for InstanceStream {
    /// Sends head and body together, in one write if the socket accepts it.
    async fn write_request(&mut self, head: RequestHead, size: BodySize, body: Bytes) -> std::io::Result<()> {
        self.feed(Message::Item((RequestHeadType::from(head), size))).await?;
        if body.is_empty() {
            return self.flush().await;
        }
        self.feed(Message::Chunk(Some(body))).await?;
        // An instance may respond before it has read the whole body; a whole response still counts.
        let _ = self.flush().await;
        Ok(())
    }
}

fn has_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

fn request_head(call: DispatchCall, settings: &DispatchSettings) -> RequestHead {
    let header_conventions = &settings.header_conventions;
    let mut head = RequestHead::default();
    head.method = call.method;
    head.uri = call.uri;
    head.version = Version::HTTP_11;
    head.headers = call.headers;
    let named = [
        (header_conventions.function.clone(), call.function),
        (Some(header_conventions.instance.clone()), call.instance),
        (Some(header_conventions.time_left.clone()), call.time_left.millis().to_string()),
    ];
    for (name, value) in named {
        if let (Some(name), Ok(header_value)) = (name, HeaderValue::from_str(&value)) {
            head.headers.insert(name, header_value);
        }
    }
    if let (Some(name), Some(tenant)) = (&header_conventions.tenant, call.tenant)
        && let Ok(header_value) = HeaderValue::from_str(&tenant)
    {
        head.headers.insert(name.clone(), header_value);
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

/// How the end of a response's body is declared.
struct ResponseFraming {
    declared_length: Option<u64>,
    has_no_body: bool,
}

/// The framing of a response, unless it is ambiguous or ends only with the connection.
fn framing(head: &ResponseHead, is_head: bool) -> Result<ResponseFraming, &'static str> {
    let lengths: Vec<&HeaderValue> = head.headers.get_all(header::CONTENT_LENGTH).collect();
    let declared_length: Option<u64> =
        lengths.first().and_then(|value| value.to_str().ok()).and_then(|text| text.trim().parse().ok());
    let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    let has_no_body = is_head
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED
        || (declared_length == Some(0) && !is_chunked);
    if lengths.len() > 1 || (is_chunked && !lengths.is_empty()) {
        return Err("the answer's length is told twice");
    }
    if !has_no_body && declared_length.is_none() && !is_chunked {
        return Err("the answer is framed by the connection's end alone");
    }
    Ok(ResponseFraming { declared_length, has_no_body })
}

/// Whether the response says that the instance did not run the call.
fn reports_not_run(head: &ResponseHead, header_conventions: &HeaderConventions) -> bool {
    let (name, expected) = &header_conventions.not_run;
    let is_reported = head
        .headers
        .get(name)
        .is_some_and(|value| expected.is_none_or(|expected| value.as_bytes() == expected.as_bytes()));
    is_reported && !head.status.is_success()
}

async fn read_response(
    connection: InstanceConnection,
    is_head: bool,
    (instance, address): (String, SocketAddr),
    settings: &DispatchSettings,
) -> DispatchOutcome {
    let header_conventions = &settings.header_conventions;
    let InstanceConnection { mut stream, mut usage } = connection;
    loop {
        let head: ResponseHead = match stream.next().await {
            Some(Ok(head)) => head,
            Some(Err(_)) => return DispatchOutcome::Unknown("the answer is no HTTP"),
            None => return DispatchOutcome::Unknown("the connection ended without an answer"),
        };
        if head.status.is_informational() {
            return DispatchOutcome::Unknown("an answer that nobody asked for");
        }
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        let was_not_run = reports_not_run(&head, header_conventions);
        let answered_id = header_conventions.call_id.as_ref().and_then(|name| head.headers.get(name));
        let owner = usage.response_began(answered_id, was_not_run || is_misdirected);
        if owner == ResponseOwner::Nobody {
            return DispatchOutcome::Unknown("an answer that nobody asked for");
        }
        let is_awaited = owner == ResponseOwner::Awaited;
        if is_awaited && is_misdirected {
            return DispatchOutcome::NotRun;
        }
        if is_awaited && !was_not_run && header_conventions.promises_not_run(head.status) {
            return DispatchOutcome::Unknown("a status that promises what the cell does not say");
        }
        let ResponseFraming { declared_length, has_no_body } = match framing(&head, is_head) {
            Ok(framing) => framing,
            Err(reason) => return DispatchOutcome::Unknown(reason),
        };
        let status = head.status;
        let idle_span = idle_span(&head, settings);
        let headers = end_to_end(head.headers(), header_conventions.own_prefix);
        let is_bodiless = has_no_body || stream.codec_ref().message_type() == MessageType::None;
        let (body, next_stream) = if is_bodiless {
            (Bytes::new(), stream)
        } else {
            let mut payload = stream.into_map_codec(ClientCodec::into_payload_codec);
            let mut body = BytesMut::new();
            loop {
                match payload.next().await {
                    Some(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
                    Some(Ok(None)) => break,
                    Some(Err(_)) => return DispatchOutcome::Unknown("the answer's body is damaged"),
                    None => return DispatchOutcome::Unknown("the answer was cut"),
                }
                if body.len() <= settings.buffer_limit {
                    continue;
                }
                if !is_awaited {
                    return DispatchOutcome::Unknown("an answer that nobody asked for");
                }
                let rest = Some((Box::new(payload), declared_length));
                let body = body.freeze();
                return DispatchOutcome::Answered(InstanceResponse { status, headers, body, rest });
            }
            if declared_length.is_some_and(|length| length != body.len() as u64) {
                return DispatchOutcome::Unknown("the answer's length differs from what it says");
            }
            (body.freeze(), payload.into_map_codec(ClientPayloadCodec::into_message_codec))
        };
        if !is_awaited {
            // The late response to an earlier call has been read to its end; this call's follows.
            stream = next_stream;
            continue;
        }
        let connection = InstanceConnection { stream: next_stream, usage };
        connection_pool::put_back(&instance, address, connection, idle_span, settings.idle_limit);
        if was_not_run {
            return DispatchOutcome::RefusedBusy;
        }
        return DispatchOutcome::Answered(InstanceResponse { status, headers, body, rest: None });
    }
}

/// How long the connection may be kept: 70 % of what the instance declares, since the two sides start
/// counting at different times; `default_idle_timeout` without a declaration; not at all when the instance
/// closes the connection.
fn idle_span(head: &ResponseHead, settings: &DispatchSettings) -> Duration {
    let closes = head.headers.get(header::CONNECTION).is_some_and(|value| {
        value.to_str().is_ok_and(|text| text.split(',').any(|part| part.trim().eq_ignore_ascii_case("close")))
    });
    if closes || head.version != Version::HTTP_11 {
        return Duration::ZERO;
    }
    let keep_alive = head.headers.get(header::HeaderName::from_static("keep-alive"));
    let seconds = keep_alive.and_then(|value| value.to_str().ok()).and_then(|text| {
        text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok())
    });
    seconds.map_or(settings.default_idle_timeout, |seconds| Duration::from_millis(seconds.min(3_600) * 700))
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

/// The headers without hop-by-hop ones and without the gateway's own.
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
