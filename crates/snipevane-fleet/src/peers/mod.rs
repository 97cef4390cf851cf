//! Communication with the other entry VMs: discovery of their addresses through the store,
//! requests to the one that schedules, and relaying of calls to the store.

pub mod messages;
mod relay_turn;
pub(crate) mod scheduler_client;
mod server;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use snipevane_adapter::rows::{Row, Transaction};
use snipevane_core::backoff::Backoff;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::node::Node;
use crate::rows::{self, PEERS_TABLE};
use crate::store::{Purpose, StoreError};

pub use relay_turn::RelayTurn;
pub use server::serve;

/// Interval between reads of the other entry VMs' addresses.
const REFRESH_INTERVAL: Duration = Duration::from_secs(6);

/// Shortest and longest delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(400);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_600);

/// Bounds of the time over which entry VMs spread the write of their addresses, since many of them may start at
/// once. At the first start of a site their number isn't known.
const MIN_REGISTRATION_SPREAD: Duration = Duration::from_millis(1_000);
const MAX_REGISTRATION_SPREAD: Duration = Duration::from_millis(4_000);

/// Periodically reads the addresses of the other entry VMs, to use them as relays, and stores this VM's own unless
/// it is stored already.
pub async fn run_discovery<C: Clock>(node: Rc<Node<C>>) {
    let mut backoff = Backoff::new(RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        match read_and_register(&node).await {
            Ok(Registration::Present) => {
                backoff.reset();
                sleep(REFRESH_INTERVAL).await;
            }
            Ok(Registration::Stored) => backoff.reset(),
            Err(error) => {
                log::debug!("can't read or store addresses of entry VMs, retrying: {error}");
                use_scheduler_as_relay(&node);
                sleep(backoff.next_delay(node.random(0.0..1.0))).await;
            }
        }
    }
}

/// Whether the address of this VM is stored.
enum Registration {
    /// It was before.
    Present,
    /// It is now. Other entry VMs may have stored theirs meanwhile.
    Stored,
}

/// Reads the addresses of the entry VMs, and stores this VM's own if it isn't among them.
async fn read_and_register<C: Clock>(node: &Node<C>) -> Result<Registration, StoreError> {
    let page = node
        .store
        .read(Purpose::Discovery, PEERS_TABLE, "", "")
        .await?;
    let (own, others): (Vec<_>, Vec<_>) = page
        .rows
        .iter()
        .filter_map(|row| Some((&row.key, decode_address(row)?)))
        .partition(|(vm, _)| **vm == node.settings.node);
    node.entry_vms.set(Some(others.len() + 1));
    let others = others
        .iter()
        .filter_map(|(_, address)| address.parse().ok());
    set_relays(node, others.collect());
    if own.iter().any(|(_, address)| *address == own_address(node)) {
        return Ok(Registration::Present);
    }
    let spread = node.write_spread(MAX_REGISTRATION_SPREAD);
    let spread = spread.unwrap_or_default().max(MIN_REGISTRATION_SPREAD);
    sleep(spread.mul_f64(node.random(0.0..1.0))).await;
    register(node).await?;
    Ok(Registration::Stored)
}

fn decode_address(row: &Row) -> Option<String> {
    rows::decode(&row.key, row.value.as_ref()?)
}

/// Uses other entry VMs as relays.
fn set_relays<C: Clock>(node: &Node<C>, mut others: Vec<SocketAddr>) {
    // Entry VMs that are cut off from the store at once begin with different relays.
    let first = node.random(0.0..others.len().max(1) as f64) as usize;
    others.rotate_left(first);
    node.store.set_relays(others);
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
