//! A caller's or an operator's HTTP client that never repeats a request by itself.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use snipevane_proto::headers::{OUTCOME, Outcome};
use tokio::time::timeout;

/// Time after which a test gives up on an answer, far above any deadline that it sets.
const GIVE_UP: Duration = Duration::from_secs(60);

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the outcome header.
    pub fn outcome(&self) -> Option<Outcome> {
        Outcome::parse(self.headers.get(OUTCOME)?.to_str().ok()?)
    }

    /// Parses the body.
    ///
    /// # Panics
    ///
    /// Panics if the body isn't JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// No whole answer came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallError(pub String);

/// Sends requests to one address.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    bearer: Option<String>,
}

impl Caller {
    /// Creates a caller without a key.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
        Self {
            client,
            address,
            bearer: None,
        }
    }

    /// Shows a key with each request.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        self.bearer = Some(key.to_owned());
        self
    }

    /// Sends the same key to another address.
    #[must_use]
    pub fn at(&self, address: SocketAddr) -> Self {
        Self {
            address,
            ..self.clone()
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no whole answer came.
    ///
    /// # Panics
    ///
    /// Panics if the request is malformed.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, CallError> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        if let Some(key) = &self.bearer {
            req = req.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body.into())).unwrap();
        let exchange = async {
            let response = self.client.request(req).await.map_err(call_error)?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(call_error)?.to_bytes();
            Ok(Answer {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        };
        timeout(GIVE_UP, exchange)
            .await
            .unwrap_or_else(|_| Err(CallError("no answer".into())))
    }

    /// Posts a request to a queue.
    ///
    /// # Errors
    ///
    /// Returns an error if no whole answer came.
    pub async fn post(
        &self,
        queue: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer, CallError> {
        let path = format!("/v1/queues/{queue}/work");
        self.send(Method::POST, &path, headers, body.to_owned())
            .await
    }

    /// Fetches JSON.
    ///
    /// # Panics
    ///
    /// Panics if no JSON came.
    pub async fn get_json(&self, path: &str) -> Value {
        self.send(Method::GET, path, &[], "").await.unwrap().json()
    }

    /// Posts JSON and returns the whole answer.
    ///
    /// # Panics
    ///
    /// Panics if no answer came.
    pub async fn post_json(&self, path: &str, body: &Value) -> Answer {
        self.send(Method::POST, path, &[], body.to_string())
            .await
            .unwrap()
    }
}

fn call_error(error: impl std::fmt::Display) -> CallError {
    CallError(error.to_string())
}
