//! Responses of backend servers and peers, and the reply that a caller gets.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use http_body_util::Full;
use snipevane_proto::headers::{self, Outcome};

use super::{Refusal, Response};

/// Hop-by-hop headers, which apply to one connection and aren't forwarded.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

/// Complete response of a backend server or peer.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamResponse {
    /// Status code.
    pub(crate) status: StatusCode,
    /// Headers, without the hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

impl UpstreamResponse {
    /// Creates a response from its parts and removes the hop-by-hop headers.
    pub(crate) fn new(status: StatusCode, mut headers: HeaderMap, body: Bytes) -> Self {
        remove_hop_by_hop(&mut headers);
        Self {
            status,
            headers,
            body,
        }
    }

    /// Returns the approximate size in memory, in bytes: names and values of the headers, and body.
    pub(crate) fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        headers + self.body.len()
    }

    fn into_response(self) -> Response {
        let mut response = Response::new(Full::new(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }

    /// Returns the outcome that the sender's outcome header states, if it is present and valid.
    pub(crate) fn outcome(&self) -> Option<Outcome> {
        let value = self.headers.get(headers::OUTCOME)?;
        Outcome::parse(value.to_str().ok()?)
    }

    /// Returns whether the backend server states that it didn't run the request.
    pub(crate) fn is_declined(&self) -> bool {
        self.outcome() == Some(Outcome::NotRun)
    }
}

/// Reply to a caller.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Response of a backend server.
    Answered(UpstreamResponse),
    /// Response of a peer, relayed unchanged.
    Relayed(UpstreamResponse),
    /// Refusal by this entry VM.
    Refused(Refusal),
}

impl Reply {
    /// Returns whether the reply is the response of a backend server, possibly relayed by a peer.
    pub(crate) fn is_answered(&self) -> bool {
        match self {
            Self::Answered(_) => true,
            Self::Relayed(response) => response.outcome() == Some(Outcome::Answered),
            Self::Refused(_) => false,
        }
    }

    /// Replaces the body of a response of a backend server or peer.
    pub(crate) fn map_body(mut self, map: impl FnOnce(Bytes) -> Bytes) -> Self {
        match &mut self {
            Self::Answered(response) | Self::Relayed(response) => {
                response.body = map(std::mem::take(&mut response.body));
            }
            Self::Refused(_) => {}
        }
        self
    }

    /// Converts the reply into an HTTP response.
    pub(crate) fn into_response(self) -> Response {
        match self {
            Self::Relayed(response) => response.into_response(),
            Self::Answered(response) => {
                let mut response = response.into_response();
                let value = HeaderValue::from_static(Outcome::Answered.as_str());
                response.headers_mut().insert(headers::OUTCOME, value);
                response
            }
            Self::Refused(refusal) => refusal.into_response(),
        }
    }
}

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
