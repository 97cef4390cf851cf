//! HTTP client for the operator listeners of entry VMs.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, RETRY_AFTER};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snipevane_proto::operator::Problem;
use tokio::task::JoinError;
use tokio::time;

use crate::CliError;

/// Time limit for connecting to an entry VM, after which it counts as not reached.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for a GET request.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for a request that changes state.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A decoded response and the entry VM that sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply<T> {
    /// Operator listener that responded.
    pub entry: SocketAddr,
    /// Decoded response body.
    pub value: T,
}

/// Client for the operator listeners of one site.
#[derive(Clone, Debug)]
pub struct Client {
    entries: Vec<SocketAddr>,
    authorization: String,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// When a failed request may be retried at another entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retry {
    /// Always, even if the response was lost.
    Always,
    /// Only if the request wasn't sent.
    IfNotSent,
}

/// Result of one request to one entry VM.
enum Exchange<T> {
    /// A response arrived; it holds the decoded body or an error.
    Done(Result<T, CliError>),
    /// The connection couldn't be opened, so nothing was sent.
    NotSent(String),
    /// The request may have been sent, but no complete response arrived.
    Lost(String),
}

impl Client {
    /// Creates a client that tries the operator listeners in order and authenticates with an
    /// operator key.
    pub fn new(entries: Vec<SocketAddr>, operator_key: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self {
            entries,
            authorization: format!("Bearer {operator_key}"),
            http: legacy::Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
        }
    }

    /// Creates a client that reads its operator key from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry VM or no key file is given, or the file can't be read.
    pub fn from_files(entries: &[SocketAddr], key_file: Option<&Path>) -> Result<Self, CliError> {
        if entries.is_empty() {
            return Err(CliError::Usage(
                "name at least one operator listener with --entry IP:PORT".to_owned(),
            ));
        }
        let Some(path) = key_file else {
            return Err(CliError::Usage(
                "name the file of the operator key with --operator-key-file FILE".to_owned(),
            ));
        };
        let key = fs::read_to_string(path).map_err(|source| CliError::File {
            path: path.to_owned(),
            source,
        })?;
        Ok(Self::new(entries.to_vec(), key.trim()))
    }

    /// Sends a GET request to the first entry VM that responds.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry VM answers, or the one that does refuses.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<Reply<T>, CliError> {
        let body = Bytes::new();
        self.try_in_order(Method::GET, path, body, Retry::Always)
            .await
    }

    /// Sends a GET request to all entry VMs concurrently, so that one that hangs doesn't delay the
    /// others.
    ///
    /// Returns one result for each entry VM, in the order in which they were given.
    pub async fn get_all<T>(&self, path: &str) -> Vec<(SocketAddr, Result<T, CliError>)>
    where
        T: DeserializeOwned + Send + 'static,
    {
        let calls: Vec<_> = self
            .entries
            .iter()
            .map(|&entry| {
                let (client, path) = (self.clone(), path.to_owned());
                let call = async move { client.get_from(entry, &path).await };
                (entry, tokio::spawn(call))
            })
            .collect();
        let mut results = Vec::new();
        for (entry, call) in calls {
            let failed = |error: JoinError| Err(CliError::InvalidResponse(error.to_string()));
            results.push((entry, call.await.unwrap_or_else(failed)));
        }
        results
    }

    async fn get_from<T: DeserializeOwned>(
        &self,
        entry: SocketAddr,
        path: &str,
    ) -> Result<T, CliError> {
        match self.exchange(entry, Method::GET, path, Bytes::new()).await {
            Exchange::Done(result) => result,
            Exchange::NotSent(reason) | Exchange::Lost(reason) => {
                Err(CliError::Unreachable(reason))
            }
        }
    }

    /// Posts an idempotent message to the first entry VM that responds.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry VM answers, or the one that does refuses.
    pub async fn post_idempotent<T: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
    ) -> Result<Reply<T>, CliError> {
        let body = encode(message)?;
        self.try_in_order(Method::POST, path, body, Retry::Always)
            .await
    }

    /// Posts a message that isn't idempotent.
    ///
    /// The next entry VM is tried only if the connection to the one before failed, so the message
    /// is delivered at most once.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::OutcomeUnknown`] if the response was lost, or another error if the
    /// message wasn't sent or was refused.
    pub async fn post_once<T: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
    ) -> Result<Reply<T>, CliError> {
        let body = encode(message)?;
        self.try_in_order(Method::POST, path, body, Retry::IfNotSent)
            .await
    }

    /// Sends a DELETE request to the first entry VM that responds.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry VM answers, or the one that does refuses.
    pub async fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<Reply<T>, CliError> {
        let body = Bytes::new();
        self.try_in_order(Method::DELETE, path, body, Retry::Always)
            .await
    }

    async fn try_in_order<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        retry: Retry,
    ) -> Result<Reply<T>, CliError> {
        let mut failures = Vec::new();
        let mut lost = false;
        for &entry in &self.entries {
            match self
                .exchange(entry, method.clone(), path, body.clone())
                .await
            {
                // A server error from a later entry VM doesn't tell whether the request whose
                // response was lost took effect.
                Exchange::Done(Err(CliError::Refused { problem, .. }))
                    if lost && problem.status >= 500 =>
                {
                    failures.push(format!("{entry}: {}", problem.title));
                }
                Exchange::Done(result) => return result.map(|value| Reply { entry, value }),
                Exchange::NotSent(reason) => failures.push(format!("{entry}: {reason}")),
                Exchange::Lost(reason) if retry == Retry::IfNotSent => {
                    return Err(CliError::OutcomeUnknown(format!("{entry}: {reason}")));
                }
                Exchange::Lost(reason) => {
                    lost = true;
                    failures.push(format!("{entry}: {reason}"));
                }
            }
        }
        let failures = failures.join("; ");
        if lost && method != Method::GET {
            return Err(CliError::OutcomeUnknown(failures));
        }
        Err(CliError::Unreachable(failures))
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Exchange<T> {
        let limit = if method == Method::GET {
            READ_TIMEOUT
        } else {
            WRITE_TIMEOUT
        };
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header(AUTHORIZATION, &self.authorization)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body));
        let req = match req {
            Ok(req) => req,
            Err(error) => return Exchange::Done(Err(CliError::Usage(error.to_string()))),
        };
        let exchange = async {
            let response = self.http.request(req).await.map_err(|error| {
                let text = describe(&error);
                if error.is_connect() {
                    Exchange::NotSent(text)
                } else {
                    Exchange::Lost(text)
                }
            })?;
            buffer_body(response).await.map_err(Exchange::Lost)
        };
        match time::timeout(limit, exchange).await {
            Ok(Ok(response)) => Exchange::Done(decode(&response)),
            Ok(Err(failure)) => failure,
            Err(_) => Exchange::Lost(format!("no response within {limit:?}")),
        }
    }
}

async fn buffer_body<B>(response: Response<B>) -> Result<Response<Bytes>, String>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    Ok(Response::from_parts(parts, body.to_bytes()))
}

fn encode(message: &impl Serialize) -> Result<Bytes, CliError> {
    serde_json::to_vec(message)
        .map(Bytes::from)
        .map_err(|error| CliError::Usage(error.to_string()))
}

fn decode<T: DeserializeOwned>(response: &Response<Bytes>) -> Result<T, CliError> {
    if response.status().is_success() {
        return parse(response.body());
    }
    let retry_after_s = response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    let problem = parse(response.body()).unwrap_or_else(|_| fallback_problem(response.status()));
    Err(CliError::Refused {
        problem: Box::new(problem),
        retry_after_s,
    })
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, CliError> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| CliError::InvalidResponse(error.to_string()))
}

fn fallback_problem(status: StatusCode) -> Problem {
    Problem {
        type_: None,
        title: status.canonical_reason().unwrap_or("refused").to_owned(),
        status: status.as_u16(),
        detail: None,
        in_force: None,
        findings: Vec::new(),
    }
}

/// Formats an error followed by the chain of its sources.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(&format!(": {error}"));
        cause = error.source();
    }
    text
}
