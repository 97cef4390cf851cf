//! Answers to callers.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::Full;
use smol_str::SmolStr;
use snipevane_adapter::callers;

/// An answer to a caller.
pub(crate) type Reply = Response<Full<Bytes>>;

/// Answers with a JSON body.
pub(crate) fn json(status: StatusCode, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// Why a request isn't served, kept beside the answer for the log.
#[derive(Clone)]
struct Reason(SmolStr);

/// Answers that a request isn't served, and why.
pub(crate) fn error(status: StatusCode, message: &str) -> Reply {
    let mut reply = json(status, callers::encode_error(message));
    reply.extensions_mut().insert(Reason(message.into()));
    reply
}

/// Returns why a request isn't served.
pub(crate) fn reason(reply: &Reply) -> SmolStr {
    let reason = reply.extensions().get::<Reason>();
    reason.map(|reason| reason.0.clone()).unwrap_or_default()
}

/// Answers that a request has not run and may be sent again after a while.
pub(crate) fn with_retry_after(status: StatusCode, message: &str, delay: Duration) -> Reply {
    let mut reply = error(status, message);
    let secs = delay.as_secs_f64().ceil().max(1.0);
    reply
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(secs as u64));
    reply
}
