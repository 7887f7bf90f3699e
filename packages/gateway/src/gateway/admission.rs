//! Admission of calls: on a route that needs a tenant's key, only a call that carries one known key is
//! admitted.

use super::request_facts::RequestTarget;
use crate::header_conventions::HeaderConventions;
use crate::route_table::{RouteEntry, RouteTable, TenantEntry};
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Request};
use configuration_schema::ApiKey;

/// Characters around a header's value that are no part of it.
const OPTIONAL_WHITE_SPACE: [char; 2] = [' ', '\t'];

/// The API key that a request carries. Its `Debug` form hides the key.
#[derive(Clone, Debug, PartialEq, Eq)]
enum PresentedKey {
    /// No API key header, or a single empty one.
    Absent,
    /// More than one API key header, or a value that is not UTF-8: it belongs to no tenant.
    Malformed,
    /// A single header with this key.
    Single(ApiKey),
}

impl PresentedKey {
    fn of(headers: &HeaderMap, header_conventions: &HeaderConventions) -> PresentedKey {
        let Some(name) = &header_conventions.api_key else { return PresentedKey::Absent };
        let mut values = headers.get_all(name);
        let Some(value) = values.next() else { return PresentedKey::Absent };
        if values.next().is_some() {
            return PresentedKey::Malformed;
        }
        match std::str::from_utf8(value.as_bytes()).map(|text| text.trim_matches(OPTIONAL_WHITE_SPACE)) {
            Ok("") => PresentedKey::Absent,
            Ok(key) => PresentedKey::Single(ApiKey::new(key)),
            Err(_) => PresentedKey::Malformed,
        }
    }
}

/// Why a configuration does not admit a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Denial {
    /// No route matches.
    NoRoute,
    /// The route needs a key, and the call carries none.
    NoKey,
    /// The route needs a key, and what the call carries belongs to no tenant.
    UnknownKey,
}

/// How a configuration admits a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Admission<'table> {
    /// The matching route.
    pub(super) route: &'table RouteEntry,
    /// The tenant of the call; none where the route needs no key.
    pub(super) tenant: Option<&'table TenantEntry>,
}

impl Admission<'_> {
    /// Whether the call is still this tenant's (or still nobody's): a permit is used only for the tenant that
    /// it was requested for.
    pub(super) fn is_for(&self, tenant: Option<&TenantEntry>) -> bool {
        self.tenant.map(|entry| &entry.name) == tenant.map(|entry| &entry.name)
    }
}

/// The parts of a call that decide on its admission. They are kept, since a newer configuration generation
/// may arrive while the call waits.
pub(super) struct AdmissionRequest {
    target: RequestTarget,
    key: PresentedKey,
}

impl AdmissionRequest {
    pub(super) fn of(request: &Request, header_conventions: &HeaderConventions) -> AdmissionRequest {
        AdmissionRequest {
            target: RequestTarget::of(request),
            key: PresentedKey::of(request.headers(), header_conventions),
        }
    }

    pub(super) fn admission<'table>(&self, routes: &'table RouteTable) -> Result<Admission<'table>, Denial> {
        let route = self.target.find(routes).ok_or(Denial::NoRoute)?;
        if !routes.needs_key(route) {
            return Ok(Admission { route, tenant: None });
        }
        let tenant = match &self.key {
            PresentedKey::Absent => return Err(Denial::NoKey),
            PresentedKey::Malformed => None,
            PresentedKey::Single(key) => routes.tenant_of(key.as_str()),
        };
        let tenant = tenant.ok_or(Denial::UnknownKey)?;
        Ok(Admission { route, tenant: Some(tenant) })
    }
}

/// Low bits of a permit's rank, which hold the route's rank.
const ROUTE_RANK_BITS: u32 = 8;
/// Higher ranks are capped to this one.
const MAX_RANK: u32 = (1 << ROUTE_RANK_BITS) - 1;

/// The rank of a permit request: the tenant's rank first, then the route's. Zero is served first. A call
/// without a tenant has tenant rank zero: it is public, most often made by a running call that occupies an
/// instance, and no tenant's rank says that it may wait. Example: `permit_rank(Some(2), 3) == 515`.
pub(super) fn permit_rank(tenant_rank: Option<u32>, route_rank: u32) -> u16 {
    let tenant_bits = tenant_rank.unwrap_or(0).min(MAX_RANK);
    let rank = (tenant_bits << ROUTE_RANK_BITS) | route_rank.min(MAX_RANK);
    u16::try_from(rank).unwrap_or(u16::MAX)
}

#[cfg(test)]
mod tests;
