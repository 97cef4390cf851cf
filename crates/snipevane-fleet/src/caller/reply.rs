//! HTTP responses to callers.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::Full;
use smol_str::SmolStr;
use snipevane_adapter::callers;

/// A response to a caller.
pub(crate) type Reply = Response<Full<Bytes>>;

/// Returns a response with a JSON body.
pub(crate) fn json(status: StatusCode, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// Reason why a request wasn't served, attached to the response as an extension so that it can be
/// logged.
#[derive(Clone)]
struct Reason(SmolStr);

/// Returns an error response with the reason why the request wasn't served.
pub(crate) fn error(status: StatusCode, message: &str) -> Reply {
    let mut reply = json(status, callers::encode_error(message));
    reply.extensions_mut().insert(Reason(message.into()));
    reply
}

/// Returns the reason attached to an error response; empty if there is none.
pub(crate) fn reason(reply: &Reply) -> SmolStr {
    let reason = reply.extensions().get::<Reason>();
    reason.map(|reason| reason.0.clone()).unwrap_or_default()
}

/// Makes a response the last one of its connection, as the rest of the request isn't read.
pub(crate) fn closing(mut reply: Reply) -> Reply {
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
    reply
}

/// Returns an error response with a `Retry-After` header, for a request that had no effect. The
/// delay is rounded up to at least one second.
pub(crate) fn with_retry_after(status: StatusCode, message: &str, delay: Duration) -> Reply {
    let mut reply = error(status, message);
    let secs = delay.as_secs_f64().ceil().max(1.0);
    reply
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(secs as u64));
    reply
}
