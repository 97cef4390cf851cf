//! The other entry VMs: their addresses in the store, questions to the one that schedules, and
//! calls passed on for them.

pub mod messages;
pub(crate) mod scheduler_client;
mod server;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use snipevane_adapter::rows::Transaction;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::node::Node;
use crate::rows::{self, PEERS_TABLE};
use crate::store::StoreError;

pub use server::serve;

/// Time between two readings of the other entry VMs' addresses.
const REFRESH_INTERVAL: Duration = Duration::from_secs(6);

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Writes this VM's address to the store, and reads the others' from time to time.
pub async fn run_discovery<C: Clock>(node: Rc<Node<C>>) {
    while let Err(error) = register(&node).await {
        log::debug!("the address can't be stored: {error}");
        sleep(RETRY_DELAY).await;
    }
    loop {
        match read_peers(&node).await {
            Ok(peers) => {
                node.store.set_relays(peers);
                sleep(REFRESH_INTERVAL).await;
            }
            Err(error) => {
                log::debug!("the other entry VMs can't be read: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the address at which this process serves the other entry VMs.
pub(crate) fn own_address<C: Clock>(node: &Node<C>) -> String {
    format!("{}:{}", node.settings.ip, node.settings.peer_ports.0)
}

async fn register<C: Clock>(node: &Node<C>) -> Result<(), StoreError> {
    let address = rows::encode(&own_address(node));
    let transaction = Transaction {
        writes: vec![(PEERS_TABLE.into(), node.settings.node.clone(), address)],
        ..Transaction::default()
    };
    node.store.commit(&transaction).await.map(|_| ())
}

async fn read_peers<C: Clock>(node: &Node<C>) -> Result<Vec<SocketAddr>, StoreError> {
    let page = node.store.read(PEERS_TABLE, "", "").await?;
    let others = page.rows.iter().filter(|row| row.key != node.settings.node);
    let addresses = others.filter_map(|row| {
        let address: String = rows::decode(&row.key, row.value.as_ref()?)?;
        address.parse().ok()
    });
    Ok(addresses.collect())
}
