//! Calls to peers.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, header};
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use snipevane_proto::peer::{ConfigBody, Heartbeat, Operate, Operated};

use super::rpc::PeerApiClient;

/// Clients of the peers, by address.
pub(crate) struct PeerClient {
    headers: HeaderMap,
    timeout: Duration,
    clients: Mutex<FxHashMap<SocketAddr, HttpClient>>,
}

impl PeerClient {
    /// Creates clients that show a key.
    pub(crate) fn new(peer_key: &str, timeout: Duration) -> Self {
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_str(&format!("Bearer {peer_key}")) {
            headers.insert(header::AUTHORIZATION, value);
        }
        Self {
            headers,
            timeout,
            clients: Mutex::default(),
        }
    }

    /// Exchanges heartbeats with a peer.
    ///
    /// # Errors
    ///
    /// Returns the client's error if no heartbeat came back.
    pub(crate) async fn heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: Heartbeat,
    ) -> Result<Heartbeat, ClientError> {
        self.client(address)?.heartbeat(heartbeat).await
    }

    /// Fetches the configuration in force at a peer, as a change from the version `have` if the
    /// peer still knows that one.
    ///
    /// # Errors
    ///
    /// Returns the client's error if none came back.
    pub(crate) async fn config(
        &self,
        address: SocketAddr,
        have: u64,
    ) -> Result<ConfigBody, ClientError> {
        self.client(address)?.config(have).await
    }

    /// Asks a pool's coordinator to carry out an operator's request.
    ///
    /// # Errors
    ///
    /// Returns the client's error if no answer came back; the request may have been carried out.
    pub(crate) async fn operate(
        &self,
        address: SocketAddr,
        req: Operate,
    ) -> Result<Operated, ClientError> {
        self.client(address)?.operate(req).await
    }

    fn client(&self, address: SocketAddr) -> Result<HttpClient, ClientError> {
        let mut clients = self.clients.lock();
        if let Some(client) = clients.get(&address) {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::default()
            .set_headers(self.headers.clone())
            .request_timeout(self.timeout)
            .build(format!("http://{address}/rpc"))?;
        clients.insert(address, client.clone());
        Ok(client)
    }
}
