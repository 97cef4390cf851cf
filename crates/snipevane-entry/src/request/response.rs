//! The whole answer of a backend server.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use http_body_util::Full;
use snipevane_proto::headers::{self, Outcome};
use uuid::Uuid;

use super::{Refusal, Response};

/// Headers that belong to one connection and aren't passed on.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

/// A backend server's answer, read to its end.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamResponse {
    /// Status code.
    pub(crate) status: StatusCode,
    /// Headers, less those that belong to a connection.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

impl UpstreamResponse {
    /// Takes over an answer's parts.
    pub(crate) fn new(status: StatusCode, mut headers: HeaderMap, body: Bytes) -> Self {
        remove_hop_by_hop(&mut headers);
        Self {
            status,
            headers,
            body,
        }
    }

    /// Returns the approximate size in memory, in bytes.
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

    /// Returns the outcome that the sender stated.
    pub(crate) fn outcome(&self) -> Option<Outcome> {
        let value = self.headers.get(headers::OUTCOME)?;
        Outcome::parse(value.to_str().ok()?)
    }

    /// Returns whether the answer belongs to an exchange, as far as the backend server says.
    ///
    /// One that names something else belongs to another exchange, whatever that is.
    pub(crate) fn belongs_to(&self, exchange: Uuid) -> bool {
        let Some(value) = self.headers.get(headers::EXCHANGE) else {
            return true;
        };
        let named = value.to_str().ok().and_then(|id| Uuid::parse_str(id).ok());
        named == Some(exchange)
    }

    /// Tells whether the backend server says that it didn't run the request.
    pub(crate) fn is_declined(&self) -> bool {
        self.outcome() == Some(Outcome::NotRun)
    }
}

/// What a caller gets.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// A backend server's answer.
    Answered(UpstreamResponse),
    /// A peer's response, passed on as it is.
    Relayed(UpstreamResponse),
    /// The entry VM's own refusal.
    Refused(Refusal),
}

impl Reply {
    /// Turns the reply into a response.
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

/// Removes headers that belong to one connection, and those that `Connection` names.
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
