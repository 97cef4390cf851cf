//! What an entry VM tells the scheduler about itself as a sender.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::candidates::VmCapacity;

/// Weight per core. A core has time for about as many start orders as a link of 100 Mbit/s carries.
const WEIGHT_PER_CORE: f64 = 100.0;

/// Start orders in flight per unit of weight. Of 1.3 KB each, they occupy the link for about 40 ms.
const ORDERS_PER_WEIGHT: f64 = 4.0;

/// Bounds of the start orders in flight.
const MIN_ORDERS_IN_FLIGHT: f64 = 8.0;
const MAX_ORDERS_IN_FLIGHT: f64 = 256.0;

/// Offer of an entry VM to send orders.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SenderOffer {
    /// Availability zone of the VM.
    pub zone: SmolStr,
    /// Address on which the VM listens for the other entry VMs.
    pub address: SmolStr,
    /// Capacity of the VM.
    pub capacity: VmCapacity,
    /// Reading of the VM's monotonic clock when the offer was made, in milliseconds.
    pub clock_ms: u64,
    /// Fencing token that the VM had permission for when the offer was made; 0 if it had none.
    #[serde(default)]
    pub permitted_fence: u64,
}

impl SenderOffer {
    /// Returns the share of the orders that the VM gets relative to others of its zone: the bandwidth of
    /// its link in Mbit/s, or less if its processor is too small for that.
    pub(super) fn weight(&self) -> f64 {
        weight(&self.capacity)
    }
}

/// Returns the number of start orders that a sender of this capacity may have in flight.
pub fn max_orders_in_flight(capacity: &VmCapacity) -> usize {
    let orders = weight(capacity) * ORDERS_PER_WEIGHT;
    orders.clamp(MIN_ORDERS_IN_FLIGHT, MAX_ORDERS_IN_FLIGHT) as usize
}

fn weight(capacity: &VmCapacity) -> f64 {
    let by_cores = capacity.cores * WEIGHT_PER_CORE;
    // The settings may give no bandwidth.
    let weight = if capacity.link_mbps > 0.0 {
        by_cores.min(capacity.link_mbps)
    } else {
        by_cores
    };
    weight.max(1.0)
}
