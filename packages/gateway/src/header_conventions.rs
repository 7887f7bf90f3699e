use actix_http::StatusCode;
use actix_http::header::HeaderName;

/// The headers used between clients, the gateway and instances. They are plain data, so that a platform with
/// other header names needs other data and no other code. Example: `HeaderConventions::default().time_left`.
#[derive(Clone, Debug)]
pub struct HeaderConventions {
    /// Carries the time left in milliseconds, from clients and to instances.
    pub time_left: HeaderName,
    /// Names the instance a dispatch is meant for; every other instance responds with 421.
    pub instance: HeaderName,
    /// Names the function a dispatch is meant for.
    pub function: Option<HeaderName>,
    /// Reports to clients how their call ended: `ran`, `not_run` or `unknown`.
    pub outcome: Option<HeaderName>,
    /// States in an instance's response that it did not run the call; with this value, or with any.
    pub not_run: (HeaderName, Option<&'static str>),
    /// Identifies the call; instances send it back, so that a response to another call is recognized.
    pub call_id: Option<HeaderName>,
    /// Carries the client's API key, where calls may carry one. It is never forwarded to an instance.
    pub api_key: Option<HeaderName>,
    /// Names the tenant of the call to the instance. What clients send in it is ignored and never forwarded.
    pub tenant: Option<HeaderName>,
    /// Whether the client's address is appended to `X-Forwarded-For`.
    pub forwarded_for: bool,
    /// Whether `Retry-After` is sent in fractions of seconds.
    pub fractional_retry_after: bool,
    /// Headers with this prefix are the gateway's own and are not forwarded from clients.
    pub own_prefix: &'static str,
}

impl HeaderConventions {
    /// Whether clients take this status alone as a promise that the call did not run and never will.
    /// Where an outcome header says so, no status does.
    /// Example: `header_conventions.promises_not_run(StatusCode::TOO_MANY_REQUESTS)`.
    pub fn promises_not_run(&self, status: StatusCode) -> bool {
        self.outcome.is_none() && PROMISING_STATUSES.contains(&status)
    }
}

const PROMISING_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

impl Default for HeaderConventions {
    fn default() -> HeaderConventions {
        HeaderConventions {
            time_left: HeaderName::from_static(crate::TIME_LEFT_HEADER),
            instance: HeaderName::from_static(crate::INSTANCE_HEADER),
            function: Some(HeaderName::from_static(crate::FUNCTION_HEADER)),
            outcome: Some(HeaderName::from_static(crate::OUTCOME_HEADER)),
            not_run: (HeaderName::from_static(crate::OUTCOME_HEADER), Some("not_run")),
            call_id: None,
            api_key: Some(HeaderName::from_static(crate::API_KEY_HEADER)),
            tenant: Some(HeaderName::from_static(crate::TENANT_HEADER)),
            forwarded_for: true,
            fractional_retry_after: false,
            own_prefix: "x-vanelane-",
        }
    }
}
