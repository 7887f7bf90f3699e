//! The headers of a request that are forwarded to instances.

use crate::header_conventions::HeaderConventions;
use crate::instance_dispatch::end_to_end;
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{HttpMessage, Request};

/// The client's headers without those of its connection, without its API key, which is a secret whether or
/// not any route needs one, and without its tenant header: only the gateway names the tenant to instances.
pub(super) fn instance_headers(request: &Request, header_conventions: &HeaderConventions) -> HeaderMap {
    let mut headers = end_to_end(request.headers(), header_conventions.own_prefix);
    for name in [&header_conventions.api_key, &header_conventions.tenant].into_iter().flatten() {
        headers.remove(name);
    }
    if header_conventions.forwarded_for
        && let Some(peer) = request.peer_addr()
        && let Ok(peer_value) = HeaderValue::from_str(&peer.ip().to_string())
    {
        headers.append(header::X_FORWARDED_FOR, peer_value);
    }
    headers
}
