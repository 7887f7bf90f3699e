//! The headers of a request that go on to cells.

use crate::call_dialect::CallDialect;
use crate::cell_dispatch::end_to_end;
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{HttpMessage, Request};

/// The visitor's headers without those of its connection, without its key, which is a secret whether or not
/// any lane needs one, and without what it says of its tenant, which only this front tells cells.
pub(super) fn cell_headers(request: &Request, dialect: &CallDialect) -> HeaderMap {
    let mut headers = end_to_end(request.headers(), dialect.own_prefix);
    for name in [&dialect.api_key, &dialect.tenant].into_iter().flatten() {
        headers.remove(name);
    }
    if dialect.forwarded_for
        && let Some(peer) = request.peer_addr()
        && let Ok(peer_value) = HeaderValue::from_str(&peer.ip().to_string())
    {
        headers.append(header::X_FORWARDED_FOR, peer_value);
    }
    headers
}
