//! Refusals, as `application/problem+json` with the outcome stated.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use http_body_util::Full;
use serde_json::json;
use smol_str::SmolStr;
use snipevane_proto::headers::{self, Outcome};

/// A response with its whole body.
pub(crate) type Response = http::Response<Full<Bytes>>;

/// Media type of a problem's body.
pub(crate) const PROBLEM_JSON: &str = "application/problem+json";

/// The entry VM's own answer to a request that it doesn't serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// Status code.
    pub(crate) status: StatusCode,
    /// What is known of the request.
    pub(crate) outcome: Outcome,
    /// What is wrong, the same for each refusal of the kind.
    pub(crate) title: &'static str,
    /// What is wrong in this case.
    pub(crate) detail: SmolStr,
    /// When to come back.
    pub(crate) retry_after: Option<Duration>,
    /// Whether the connection is closed after the answer.
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

    /// Creates the answer to a request that may have run.
    pub(crate) fn unknown(status: StatusCode, title: &'static str) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(status, title)
        }
    }

    /// Creates the refusal of a request for which there is no room now.
    pub(crate) fn busy(title: &'static str, retry_after: Duration) -> Self {
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, title).retry_after(retry_after)
    }

    /// Adds what is wrong in this case.
    pub(crate) fn detail(mut self, detail: impl Into<SmolStr>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Adds when to come back.
    pub(crate) fn retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Asks for the connection to be closed after the answer.
    pub(crate) fn close(mut self) -> Self {
        self.close = true;
        self
    }

    /// Turns the refusal into a response.
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
            // Whole seconds, and never 0, which callers take as "at once".
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
