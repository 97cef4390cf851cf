//! Communication with the other entry VMs: discovery of their addresses through the store,
//! requests to the one that schedules, and relaying of calls to the store.

pub mod messages;
mod relay_turn;
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
use crate::store::{Purpose, StoreError};

pub use relay_turn::RelayTurn;
pub use server::serve;

/// Interval between reads of the other entry VMs' addresses.
const REFRESH_INTERVAL: Duration = Duration::from_secs(6);

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Stores this VM's address, then periodically reads the others' to use them as relays.
pub async fn run_discovery<C: Clock>(node: Rc<Node<C>>) {
    while let Err(error) = register(&node).await {
        log::debug!("can't store this entry VM's address, retrying: {error}");
        sleep(RETRY_DELAY).await;
    }
    loop {
        match read_peers(&node).await {
            Ok(mut peers) => {
                node.entry_vm_count.set(Some(peers.len() + 1));
                // Entry VMs that are cut off from the store at once begin with different relays.
                let first = node.random(0.0..peers.len().max(1) as f64) as usize;
                peers.rotate_left(first);
                node.store.set_relays(peers);
                sleep(REFRESH_INTERVAL).await;
            }
            Err(error) => {
                log::debug!("can't read the addresses of the other entry VMs, retrying: {error}");
                use_scheduler_as_relay(&node);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Makes the scheduler a relay if no other VM is known, since the others' addresses can only be read through a
/// relay while the store refuses direct calls.
fn use_scheduler_as_relay<C: Clock>(node: &Node<C>) {
    if node.store.has_relays() {
        return;
    }
    let view = node.scheduler_view.borrow();
    if let Some(address) = view.reachable_address(node.clock.now()) {
        node.store.set_relays(vec![address]);
    }
}

/// Returns the address on which this process listens for the other entry VMs.
pub(crate) fn own_address<C: Clock>(node: &Node<C>) -> String {
    format!("{}:{}", node.settings.ip, node.settings.peer_ports.0)
}

async fn register<C: Clock>(node: &Node<C>) -> Result<(), StoreError> {
    let address = rows::encode(&own_address(node));
    let transaction = Transaction {
        writes: vec![(PEERS_TABLE.into(), node.settings.node.clone(), address)],
        ..Transaction::default()
    };
    node.store
        .commit(Purpose::Registration, &transaction)
        .await
        .map(|_| ())
}

async fn read_peers<C: Clock>(node: &Node<C>) -> Result<Vec<SocketAddr>, StoreError> {
    let page = node
        .store
        .read(Purpose::Discovery, PEERS_TABLE, "", "")
        .await?;
    let others = page.rows.iter().filter(|row| row.key != node.settings.node);
    let addresses = others.filter_map(|row| {
        let address: String = rows::decode(&row.key, row.value.as_ref()?)?;
        address.parse().ok()
    });
    Ok(addresses.collect())
}
