//! RPC client for calls to peers.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, header};
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use snipevane_proto::peer::{ConfigBody, Heartbeat, Operate, Operated};

use super::rpc::PeerApiClient;

/// RPC clients for all peers, cached by address.
pub(crate) struct PeerClient {
    headers: HeaderMap,
    timeout: Duration,
    clients: Mutex<FxHashMap<SocketAddr, HttpClient>>,
}

impl PeerClient {
    /// Creates a client that authenticates with the peer key. `timeout` applies to each call.
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
    /// Returns the RPC client's error if the peer returned no heartbeat.
    pub(crate) async fn heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: Heartbeat,
    ) -> Result<Heartbeat, ClientError> {
        self.client(address)?.heartbeat(heartbeat).await
    }

    /// Fetches the configuration in force at a peer, as a difference from the version `have` if the
    /// peer still stores that version.
    ///
    /// # Errors
    ///
    /// Returns the RPC client's error if the peer returned no configuration.
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
    /// Returns the RPC client's error if no response was received; the request may have been
    /// carried out nevertheless.
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
