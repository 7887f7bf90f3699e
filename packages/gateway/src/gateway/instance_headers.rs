//! The headers of a request that go on to cells.

use crate::header_conventions::HeaderConventions;
use crate::instance_dispatch::end_to_end;
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{HttpMessage, Request};

/// The visitor's headers without those of its connection, without its key, which is a secret whether or not
/// any lane needs one, and without what it says of its tenant, which only this front tells cells.
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
