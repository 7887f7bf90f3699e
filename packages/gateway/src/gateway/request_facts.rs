//! What the gateway reads from a request's head.

use crate::header_conventions::HeaderConventions;
use crate::route_table::{RouteEntry, RouteTable};
use actix_http::header;
use actix_http::{HttpMessage, Request};
use monotonic_clock::Micros;

/// What routes are matched by. It is kept, since a newer configuration generation may arrive while the call
/// waits.
pub(super) struct RequestTarget {
    method: String,
    host: Option<String>,
    path: String,
}

impl RequestTarget {
    pub(super) fn of(request: &Request) -> RequestTarget {
        let host_value = request.headers().get(header::HOST).and_then(|value| value.to_str().ok());
        RequestTarget {
            method: request.method().as_str().to_owned(),
            host: host_value.or_else(|| request.uri().host()).map(str::to_owned),
            path: request.path().to_owned(),
        }
    }

    pub(super) fn find<'table>(&self, routes: &'table RouteTable) -> Option<&'table RouteEntry> {
        routes.find(&self.method, self.host.as_deref(), &self.path)
    }
}

/// The body length that a request declares.
pub(super) fn declared_body_bytes(request: &Request) -> Option<u64> {
    let length_value = request.headers().get(header::CONTENT_LENGTH)?;
    length_value.to_str().ok()?.trim().parse().ok()
}

/// The minimum number of bytes that this head takes on the wire.
pub(super) fn head_bytes(request: &Request) -> u64 {
    const REQUEST_LINE_REST: usize = "  HTTP/1.1\r\n".len();
    const HEADER_REST: usize = ":\r\n".len();
    const HEAD_END: usize = "\r\n".len();
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let request_line = request.method().as_str().len() + target + REQUEST_LINE_REST;
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.as_bytes().len() + HEADER_REST)
        .sum();
    (request_line + headers + HEAD_END) as u64
}

/// The route's timeout, or less if the client or a calling instance names less.
pub(super) fn time_left(
    request: &Request,
    route: &RouteEntry,
    header_conventions: &HeaderConventions,
) -> Micros {
    let named = request
        .headers()
        .get(&header_conventions.time_left)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim().parse::<u64>().ok());
    named.map_or(route.timeout, |millis| route.timeout.min(Micros(millis.saturating_mul(1_000))))
}
