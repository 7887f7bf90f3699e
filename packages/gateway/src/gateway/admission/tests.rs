use super::*;
use actix_http::header::{HeaderName, HeaderValue};

#[test]
fn the_tenants_rank_outweighs_the_routes_and_both_are_capped() {
    let ranks = [(None, 0, 0), (None, 7, 7), (Some(0), 255, 255), (Some(0), 1_000, 255), (Some(1), 0, 256)];
    for (tenant, route, rank) in ranks {
        assert_eq!(permit_rank(tenant, route), rank, "{tenant:?} {route}");
    }
    assert_eq!(permit_rank(Some(255), 255), u16::MAX);
    assert_eq!(permit_rank(Some(u32::MAX), u32::MAX), u16::MAX);
    let ordered: Vec<u16> =
        (0..=255).flat_map(|tenant| (0..=256).map(move |route| permit_rank(Some(tenant), route))).collect();
    assert!(ordered.is_sorted(), "up to the cap a worse rank never sorts before a better one");
}

fn presented(values: &[&[u8]]) -> PresentedKey {
    let header_conventions = HeaderConventions::default();
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_bytes(value).expect("a valid header value");
        headers.append(HeaderName::from_static("x-vanelane-api-key"), value);
    }
    PresentedKey::of(&headers, &header_conventions)
}

#[test]
fn a_key_is_the_exact_text_between_optional_white_space() {
    let single = |key: &str| PresentedKey::Single(ApiKey::new(key));
    assert_eq!(presented(&[]), PresentedKey::Absent);
    assert_eq!(presented(&[b""]), PresentedKey::Absent);
    assert_eq!(presented(&[b" \t "]), PresentedKey::Absent);
    assert_eq!(presented(&[b"\t key \t"]), single("key"));
    assert_eq!(presented(&[b"a key"]), single("a key"));
    // Only spaces and tabs are optional white space; a no-break space is part of the key.
    assert_eq!(presented(&["\u{a0}key".as_bytes()]), single("\u{a0}key"));
    assert_eq!(presented(&[b"\xffkey"]), PresentedKey::Malformed);
    for repeated in [[&b"key"[..], b"key"], [b"key", b""], [b"", b""]] {
        assert_eq!(presented(&repeated), PresentedKey::Malformed);
    }
    let no_conventions = HeaderConventions { api_key: None, ..HeaderConventions::default() };
    assert_eq!(PresentedKey::of(&HeaderMap::new(), &no_conventions), PresentedKey::Absent);
}

/// Guards against API keys in logs: the `Debug` form of what is kept of a waiting call hides its key.
#[test]
fn a_presented_key_is_not_printed() {
    assert!(!format!("{:?}", presented(&[b"secret"])).contains("secret"));
}
