//! Request headers that control how a backend server stand-in handles the request.

use std::time::Duration;

use http::{Request, StatusCode};

use crate::http::header_text;

/// Run time of the request, in milliseconds.
const RUN_MS: &str = "x-test-run-ms";
/// Size of the padding in the response body, in bytes.
const PADDING_BYTES: &str = "x-test-answer-bytes";
/// Status code of the response.
const STATUS: &str = "x-test-status";
/// Truncates the response body half way and aborts the connection.
const CUT_BODY: &str = "x-test-cut-body";
/// Number of bytes by which `Content-Length` is smaller than the data sent.
const WRONG_LENGTH: &str = "x-test-wrong-length";
/// Sends a second response, of another exchange, on the connection.
const TWO_RESPONSES: &str = "x-test-two-answers";
/// Sends a second response, of another exchange, once the next request arrives on the connection.
const LATE_SECOND_RESPONSE: &str = "x-test-late-second-answer";
/// Sends an exchange identifier that the caller doesn't know.
const FOREIGN: &str = "x-test-foreign-exchange";
/// Sends `Connection: close` in the response.
const CLOSE: &str = "x-test-close";

/// Understated bytes if the header's value is not a number.
const DEFAULT_UNDERSTATED_BYTES: usize = 7;
/// Maximum size of the padding, in bytes.
const MAX_PADDING_BYTES: usize = 64 << 20;

/// How the stand-in handles a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TestHeaders {
    pub(crate) run_time: Duration,
    pub(crate) padding_bytes: usize,
    pub(crate) status: StatusCode,
    pub(crate) cut_body: bool,
    pub(crate) understated_bytes: usize,
    pub(crate) two_responses: bool,
    pub(crate) late_second_response: bool,
    pub(crate) foreign_exchange: bool,
    pub(crate) close_connection: bool,
}

impl TestHeaders {
    /// Reads the test headers of a request; missing or invalid values get their defaults.
    pub(crate) fn read<B>(req: &Request<B>) -> Self {
        let number = |name| header_text(req, name).parse::<usize>().ok();
        let status = number(STATUS).and_then(|number| u16::try_from(number).ok());
        let status = status.and_then(|status| StatusCode::from_u16(status).ok());
        let wrong_length = req.headers().contains_key(WRONG_LENGTH);
        let understated = number(WRONG_LENGTH).unwrap_or(DEFAULT_UNDERSTATED_BYTES);
        Self {
            run_time: Duration::from_millis(number(RUN_MS).unwrap_or_default() as u64),
            padding_bytes: number(PADDING_BYTES)
                .unwrap_or_default()
                .min(MAX_PADDING_BYTES),
            status: status.unwrap_or(StatusCode::OK),
            cut_body: req.headers().contains_key(CUT_BODY),
            understated_bytes: if wrong_length { understated } else { 0 },
            two_responses: req.headers().contains_key(TWO_RESPONSES),
            late_second_response: req.headers().contains_key(LATE_SECOND_RESPONSE),
            foreign_exchange: req.headers().contains_key(FOREIGN),
            close_connection: req.headers().contains_key(CLOSE),
        }
    }
}
