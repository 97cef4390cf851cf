//! Error responses of the entry VM, as `application/problem+json` with the request's outcome.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use http_body_util::Full;
use serde_json::json;
use smol_str::SmolStr;
use snipevane_listeners::BodyError;
use snipevane_proto::headers::{self, Outcome};

/// Retry delay that callers are told while the memory for bodies is taken.
const BODIES_RETRY: Duration = Duration::from_secs(1);

/// HTTP response with a complete body.
pub(crate) type Response = http::Response<Full<Bytes>>;

/// Media type of problem details.
pub(crate) const PROBLEM_JSON: &str = "application/problem+json";

/// Error response to a request that the entry VM doesn't serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// Status code.
    pub(crate) status: StatusCode,
    /// What is known of whether the request ran.
    pub(crate) outcome: Outcome,
    /// Summary of the error, the same for all refusals of this kind; documented for callers.
    pub(crate) title: &'static str,
    /// Explanation of this occurrence of the error; left out of the body if empty.
    pub(crate) detail: SmolStr,
    /// Time after which the caller may retry.
    pub(crate) retry_after: Option<Duration>,
    /// Whether the connection is closed after the response.
    pub(crate) close: bool,
}

impl Refusal {
    /// Creates a refusal of a request that didn't run.
    pub(crate) fn not_run(status: StatusCode, title: &'static str) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            title,
            detail: SmolStr::default(),
            retry_after: None,
            close: false,
        }
    }

    /// Creates the refusal of a request that may have run.
    pub(crate) fn unknown(status: StatusCode, title: &'static str) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(status, title)
        }
    }

    /// Creates the refusal (503) of a request that didn't run and can't be served at the moment.
    pub(crate) fn busy(title: &'static str, retry_after: Duration) -> Self {
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, title).retry_after(retry_after)
    }

    /// Adds an explanation of this occurrence of the error.
    pub(crate) fn detail(mut self, detail: impl Into<SmolStr>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Adds the time after which the caller may retry.
    pub(crate) fn retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Closes the connection after the response.
    pub(crate) fn close(mut self) -> Self {
        self.close = true;
        self
    }

    /// Converts the refusal into an HTTP response.
    pub(crate) fn into_response(self) -> Response {
        let mut body = json!({
            "title": self.title,
            "status": self.status.as_u16(),
            "outcome": self.outcome.as_str(),
        });
        if !self.detail.is_empty() {
            body["detail"] = self.detail.as_str().into();
        }
        let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
        *response.status_mut() = self.status;
        let map = response.headers_mut();
        map.insert(header::CONTENT_TYPE, HeaderValue::from_static(PROBLEM_JSON));
        map.insert(
            headers::OUTCOME,
            HeaderValue::from_static(self.outcome.as_str()),
        );
        if let Some(after) = self.retry_after {
            // Rounded up to whole seconds, and never 0, which callers take as "at once".
            let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
            map.insert(header::RETRY_AFTER, HeaderValue::from(seconds.max(1)));
        }
        if self.status == StatusCode::UNAUTHORIZED {
            map.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if self.close {
            map.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Returns the refusal of a request whose body wasn't received; `max_bytes` is the queue's limit.
pub(crate) fn body_refusal(error: BodyError, max_bytes: usize) -> Refusal {
    match error {
        BodyError::TooLarge => {
            Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
                .detail(format!("the queue takes {max_bytes} bytes at most"))
        }
        BodyError::Broken => Refusal::not_run(StatusCode::BAD_REQUEST, "the body broke off"),
        BodyError::Late => {
            let title = "the body wasn't received in time";
            Refusal::not_run(StatusCode::REQUEST_TIMEOUT, title)
        }
        BodyError::NoRoom => {
            Refusal::busy("no memory for the body", BODIES_RETRY).detail(error.to_string())
        }
    }
}
