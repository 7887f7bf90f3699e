use actix_http::StatusCode;
use actix_http::header::HeaderName;

/// The headers by which visitors, cells and this front speak: plain data, so that a platform with
/// other words needs other data and no other code. Example: `HeaderConventions::default().time_left`.
#[derive(Clone, Debug)]
pub struct HeaderConventions {
    /// Carries the time left in milliseconds, from visitors and to cells.
    pub time_left: HeaderName,
    /// Names the cell a dispatch is meant for; every other cell answers 421.
    pub instance: HeaderName,
    /// Names the function a dispatch is meant for.
    pub function: Option<HeaderName>,
    /// Tells visitors how their call ended: `ran`, `not_run` or `unknown`.
    pub outcome: Option<HeaderName>,
    /// By which a cell says that it did not run the call; with this value, or with any.
    pub not_run: (HeaderName, Option<&'static str>),
    /// Names the call; cells send it back, so that an answer to another call is known as such.
    pub call_id: Option<HeaderName>,
    /// Carries the visitor's API key, where calls may carry one. It never goes on to a cell.
    pub api_key: Option<HeaderName>,
    /// Tells the cell whose call it is. What visitors say in it counts for nothing and never goes on.
    pub tenant: Option<HeaderName>,
    /// Tells the cell from where the visitor speaks.
    pub forwarded_for: bool,
    /// Whether the time to come back is told in fractions of seconds.
    pub fractional_retry_after: bool,
    /// Headers that begin so are this front's own and are not taken over from visitors.
    pub own_prefix: &'static str,
}

impl HeaderConventions {
    /// Whether visitors read this status alone as a promise that the call did not run and never will.
    /// Where an outcome header tells it, no status does.
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
