//! Who is let in: on a lane that needs a tenant's key, only a call that carries one known key.

use super::request_facts::RequestTarget;
use crate::header_conventions::HeaderConventions;
use crate::route_table::{RouteEntry, RouteTable, TenantEntry};
use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Request};
use configuration_schema::ApiKey;

/// What may stand around a header's value and is no part of it.
const OPTIONAL_WHITE_SPACE: [char; 2] = [' ', '\t'];

/// The key that a request carries. Its `Debug` form hides it.
#[derive(Clone, Debug, PartialEq, Eq)]
enum PresentedKey {
    /// No header for it, or one empty header.
    Absent,
    /// More than one header for it, or bytes that are no text: no tenant is known by that.
    Malformed,
    /// One header with this key.
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

/// Why a configuration does not let a call in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Denial {
    /// No lane takes it.
    NoRoute,
    /// Its lane needs a key, and it carries none.
    NoKey,
    /// Its lane needs a key, and no tenant is known by what it carries.
    UnknownKey,
}

/// How a configuration lets a call in.
#[derive(Clone, Copy, Debug)]
pub(super) struct Admission<'routes> {
    /// The lane that takes it.
    pub(super) route: &'routes RouteEntry,
    /// Whose call it is; none where the lane needs no key.
    pub(super) tenant: Option<&'routes TenantEntry>,
}

impl Admission<'_> {
    /// Whether it is the call of this tenant, or of none: a ticket is used for the one it was asked for.
    pub(super) fn is_for(&self, tenant: Option<&TenantEntry>) -> bool {
        self.tenant.map(|row| &row.name) == tenant.map(|row| &row.name)
    }
}

/// What a call is let in by. It is kept, since a newer generation may come while the call waits.
pub(super) struct AdmissionRequest {
    place: RequestTarget,
    key: PresentedKey,
}

impl AdmissionRequest {
    pub(super) fn of(request: &Request, header_conventions: &HeaderConventions) -> AdmissionRequest {
        AdmissionRequest {
            place: RequestTarget::of(request),
            key: PresentedKey::of(request.headers(), header_conventions),
        }
    }

    pub(super) fn admission<'routes>(
        &self,
        routes: &'routes RouteTable,
    ) -> Result<Admission<'routes>, Denial> {
        let route = self.place.find(routes).ok_or(Denial::NoRoute)?;
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

/// Bits of a ticket's rank that hold the lane's.
const ROUTE_RANK_BITS: u32 = 8;
/// Ranks from this one on are told as this one.
const RANK_MOST: u32 = (1 << ROUTE_RANK_BITS) - 1;

/// The rank under which a ticket is asked for: the tenant's first, then the lane's. Zero goes first.
/// A call without a tenant takes tenant rank zero: it is public, most often made by a running call that
/// holds a cell, and no tenant's rank says that it may wait. Example: `permit_rank(Some(2), 3) == 515`.
pub(super) fn permit_rank(tenant_rank: Option<u32>, route_rank: u32) -> u16 {
    let tenant_bits = tenant_rank.unwrap_or(0).min(RANK_MOST);
    let rank = (tenant_bits << ROUTE_RANK_BITS) | route_rank.min(RANK_MOST);
    u16::try_from(rank).unwrap_or(u16::MAX)
}

#[cfg(test)]
mod tests;
