//! Builds responses to operators.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;
use snipevane_core::config::Findings;
use snipevane_proto::operator::{Problem, ProblemFinding};

use crate::request::Response;

/// Retry delay that operators are told while the memory for bodies is taken.
const BODIES_RETRY: Duration = Duration::from_secs(1);

/// Builds a response with a message as JSON.
pub(super) fn json<T: Serialize>(message: &T) -> Response {
    body(StatusCode::OK, "application/json", message)
}

/// Builds a response with plain text.
pub(super) fn text(text: String) -> Response {
    Response::new(Full::new(Bytes::from(text)))
}

/// Builds a problem without findings; an empty detail is left out.
pub(super) fn problem(status: StatusCode, title: &str, detail: impl Into<String>) -> Problem {
    let detail = detail.into();
    Problem {
        type_: None,
        title: title.to_owned(),
        status: status.as_u16(),
        detail: (!detail.is_empty()).then_some(detail),
        in_force: None,
        findings: Vec::new(),
    }
}

/// Builds the problem for an invalid manifest, with one entry for each finding.
pub(super) fn findings_problem(findings: &Findings) -> Problem {
    let list = findings.list.iter().map(|finding| ProblemFinding {
        pointer: finding.pointer.to_string(),
        message: finding.message.clone(),
        hint: finding.hint.clone(),
    });
    let problem = problem(
        StatusCode::UNPROCESSABLE_ENTITY,
        "the manifest has findings",
        "",
    );
    Problem {
        findings: list.collect(),
        ..problem
    }
}

/// Builds a response from a problem, with the problem's status.
pub(super) fn problem_response(problem: &Problem) -> Response {
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    body(status, snipevane_proto::operator::PROBLEM_JSON, problem)
}

/// Builds the response that reports the platform as unreachable, with a `Retry-After` of at least
/// one second.
pub(super) fn platform_unreachable(detail: impl Into<String>, retry_after: Duration) -> Response {
    unavailable("the platform is not reachable", detail, retry_after)
}

/// Builds the response to a request whose body finds no memory.
pub(super) fn no_room() -> Response {
    unavailable("no memory for the body", "", BODIES_RETRY)
}

fn unavailable(title: &str, detail: impl Into<String>, retry_after: Duration) -> Response {
    let problem = problem(StatusCode::SERVICE_UNAVAILABLE, title, detail);
    let mut response = problem_response(&problem);
    let seconds = HeaderValue::from(retry_after.as_secs().max(1));
    response.headers_mut().insert(header::RETRY_AFTER, seconds);
    response
}

fn body<T: Serialize>(status: StatusCode, media_type: &'static str, message: &T) -> Response {
    let text = serde_json::to_vec(message).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(media_type));
    response
}
