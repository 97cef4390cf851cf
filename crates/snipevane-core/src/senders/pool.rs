//! Assignment of start orders to senders, in batches.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::jobs::{JobId, StartOrder};

use super::offer::{SenderOffer, max_orders_in_flight};

/// Timeouts and limits of the senders.
#[derive(Clone, Copy, Debug)]
pub struct SenderSettings {
    /// Minimum number of entry VMs in a zone that the scheduler hears, for senders to be used there.
    pub min_per_zone: usize,
    /// Time after its last message for which an entry VM counts as heard. Heartbeats are requested every
    /// 0.3 to 0.55 s.
    pub presence_timeout: Duration,
    /// Time for which a sender that failed gets no orders.
    pub exclusion: Duration,
    /// Time after the assignment for which a sender may send an order.
    pub send_window: Duration,
    /// Maximum number of orders in a batch.
    pub max_batch_orders: usize,
    /// Maximum size of the payloads in a batch, in bytes, which a link of 10 Mbit/s carries within 50 ms.
    pub max_batch_payload_bytes: usize,
    /// Number of consecutive orders without a reply of their minions after which a sender has failed: its
    /// own way to the minions may be cut. Consecutive orders to the same minion count once.
    pub max_unanswered: u32,
}

impl Default for SenderSettings {
    fn default() -> Self {
        Self {
            min_per_zone: 3,
            presence_timeout: Duration::from_millis(1_000),
            exclusion: Duration::from_millis(2_000),
            send_window: Duration::from_millis(250),
            max_batch_orders: 64,
            max_batch_payload_bytes: 64 << 10,
            max_unanswered: 4,
        }
    }
}

/// Start orders for one sender.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Number of the batch within the term.
    pub number: u64,
    /// Name of the sender's VM.
    pub vm: SmolStr,
    /// Address of the sender.
    pub address: SmolStr,
    /// Time on the sender's clock, in milliseconds, from which orders of the batch aren't sent any more.
    ///
    /// A sender that was frozen may be permitted to send again, while the batch is out of date.
    pub expires_clock_ms: u64,
    /// Orders of the batch.
    pub starts: Vec<StartOrder>,
}

/// Start orders by the way in which they are sent.
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    /// Orders that senders send.
    pub batches: Vec<Batch>,
    /// Orders that the scheduler sends itself.
    pub direct: Vec<StartOrder>,
}

#[derive(Clone, Debug)]
struct Sender {
    offer: SenderOffer,
    hash: u64,
    heard_at: Duration,
    excluded_until: Duration,
    orders_in_flight: usize,
    unanswered_in_row: u32,
    /// Minion of the last order that got no reply; empty if the last one got a reply.
    unanswered_minion: SmolStr,
}

impl Sender {
    /// Returns the score of the sender for a minion by weighted rendezvous hashing: the sender with the
    /// highest score is chosen with a probability in proportion to its weight.
    fn score(&self, minion: &str) -> f64 {
        let hash = xxh3_64_with_seed(minion.as_bytes(), self.hash);
        // The upper 53 bits, as a number strictly between 0 and 1.
        let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        -self.offer.weight() / uniform.ln()
    }

    fn has_room(&self) -> bool {
        self.orders_in_flight < max_orders_in_flight(&self.offer.capacity)
    }

    /// Returns a reading of the sender's clock at `at` that isn't ahead of it, in milliseconds: the offer
    /// took a while to arrive.
    fn clock_ms_at(&self, at: Duration) -> u64 {
        let elapsed = at.saturating_sub(self.heard_at);
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        self.offer.clock_ms.saturating_add(elapsed_ms)
    }
}

/// Other entry VMs that can send orders, as seen by the scheduler.
#[derive(Clone, Debug, Default)]
pub struct SenderPool {
    settings: SenderSettings,
    senders: BTreeMap<SmolStr, Sender>,
    /// Batches that may not have been completed, with the times from which none of their orders is sent.
    open_batches: BTreeMap<u64, Duration>,
    next_batch: u64,
}

impl SenderPool {
    /// Creates an empty pool.
    pub fn new(settings: SenderSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &SenderSettings {
        &self.settings
    }

    /// Records that an entry VM was heard, and its offer.
    pub fn record_offer(&mut self, vm: &SmolStr, offer: SenderOffer, now: Duration) {
        if let Some(sender) = self.senders.get_mut(vm) {
            sender.offer = offer;
            sender.heard_at = now;
            return;
        }
        let sender = Sender {
            offer,
            hash: xxh3_64(vm.as_bytes()),
            heard_at: now,
            excluded_until: Duration::ZERO,
            orders_in_flight: 0,
            unanswered_in_row: 0,
            unanswered_minion: SmolStr::default(),
        };
        self.senders.insert(vm.clone(), sender);
    }

    /// Records that an entry VM no longer offers to send orders.
    pub fn record_no_offer(&mut self, vm: &SmolStr) {
        if let Some(sender) = self.senders.get_mut(vm) {
            sender.heard_at = Duration::ZERO;
        }
    }

    /// Returns the number of senders that orders can be assigned to.
    pub fn usable(&self, now: Duration) -> usize {
        let usable = |sender: &&Sender| self.is_heard(sender, now) && now >= sender.excluded_until;
        self.senders.values().filter(usable).count()
    }

    /// Decides which sender sends each order.
    ///
    /// The scheduler sends itself: repeats, as the sender of the first transmission may be the reason for
    /// them; orders with large payloads; and orders to zones with few entry VMs or without a usable sender.
    pub fn assign(
        &mut self,
        starts: Vec<StartOrder>,
        zone_of: impl Fn(&StartOrder) -> Option<SmolStr>,
        now: Duration,
    ) -> Assignment {
        let mut assignment = Assignment::default();
        if starts.is_empty() {
            return assignment;
        }
        let mut by_sender: BTreeMap<SmolStr, Vec<StartOrder>> = BTreeMap::new();
        let zones = self.usable_by_zone(now);
        for order in starts {
            let is_repeat = order.transmission > 1;
            let is_large = order.payload.len() > self.settings.max_batch_payload_bytes;
            let zone = zone_of(&order).filter(|_| !is_repeat && !is_large);
            let senders = zone.and_then(|zone| zones.get(&zone));
            let chosen = senders.and_then(|senders| self.choose(senders, &order.to.id));
            let Some(vm) = chosen else {
                assignment.direct.push(order);
                continue;
            };
            if let Some(sender) = self.senders.get_mut(&vm) {
                sender.orders_in_flight += 1;
            }
            by_sender.entry(vm).or_default().push(order);
        }
        for (vm, orders) in by_sender {
            for part in self.split(orders) {
                assignment.batches.extend(self.batch(&vm, part, now));
            }
        }
        assignment
    }

    /// Records that the outcome of an order of a sender to a minion is known; `answered` tells whether its minion
    /// replied, if it was sent. Returns whether the sender has failed because its minions don't reply.
    pub fn record_outcome(
        &mut self,
        vm: &SmolStr,
        minion: &SmolStr,
        answered: Option<bool>,
    ) -> bool {
        let Some(sender) = self.senders.get_mut(vm) else {
            return false;
        };
        sender.orders_in_flight = sender.orders_in_flight.saturating_sub(1);
        match answered {
            Some(true) => {
                sender.unanswered_in_row = 0;
                sender.unanswered_minion = SmolStr::default();
            }
            Some(false) if sender.unanswered_minion != *minion => {
                sender.unanswered_in_row += 1;
                sender.unanswered_minion = minion.clone();
            }
            Some(false) | None => {}
        }
        sender.unanswered_in_row >= self.settings.max_unanswered
    }

    /// Records that a sender has reported the outcomes of all orders of a batch. Without that, it may send
    /// them until the batch expires.
    pub fn close_batch(&mut self, number: u64) {
        self.open_batches.remove(&number);
    }

    /// Returns the time from which no sender sends an order that it has got so far.
    pub fn sending_ends_at(&self) -> Duration {
        let ends = self.open_batches.values();
        ends.max().copied().unwrap_or_default()
    }

    /// Assigns no orders to a failed sender for a while. Returns whether it was usable before.
    pub fn exclude(&mut self, vm: &SmolStr, now: Duration) -> bool {
        let Some(sender) = self.senders.get_mut(vm) else {
            return false;
        };
        let was_usable = now >= sender.excluded_until;
        sender.excluded_until = now + self.settings.exclusion;
        sender.unanswered_in_row = 0;
        sender.unanswered_minion = SmolStr::default();
        was_usable
    }

    fn is_heard(&self, sender: &Sender, now: Duration) -> bool {
        !sender.heard_at.is_zero() && now < sender.heard_at + self.settings.presence_timeout
    }

    /// Returns the usable senders of each zone that has enough entry VMs.
    fn usable_by_zone(&self, now: Duration) -> FxHashMap<SmolStr, Vec<SmolStr>> {
        let mut heard: FxHashMap<SmolStr, Vec<&SmolStr>> = FxHashMap::default();
        for (vm, sender) in &self.senders {
            if self.is_heard(sender, now) {
                heard.entry(sender.offer.zone.clone()).or_default().push(vm);
            }
        }
        let zones = heard
            .into_iter()
            .filter(|(_, vms)| vms.len() >= self.settings.min_per_zone);
        let usable = zones.map(|(zone, vms)| {
            let vms = vms
                .into_iter()
                .filter(|vm| now >= self.senders[*vm].excluded_until);
            (zone, vms.cloned().collect())
        });
        usable.collect()
    }

    /// Returns the sender for a minion among those that have room for another order.
    fn choose(&self, vms: &[SmolStr], minion: &str) -> Option<SmolStr> {
        let with_room = vms.iter().filter_map(|vm| {
            let sender = self.senders.get(vm)?;
            sender.has_room().then(|| (vm, sender.score(minion)))
        });
        let chosen = with_room.max_by(|(_, left), (_, right)| left.total_cmp(right));
        chosen.map(|(vm, _)| vm.clone())
    }

    /// Splits orders into parts of limited size.
    fn split(&self, orders: Vec<StartOrder>) -> Vec<Vec<StartOrder>> {
        let mut parts: Vec<Vec<StartOrder>> = Vec::new();
        let mut jobs: FxHashSet<JobId> = FxHashSet::default();
        let mut payload_bytes = 0;
        for order in orders {
            let job = order.task.step.job;
            let added = if jobs.contains(&job) {
                0
            } else {
                order.payload.len()
            };
            let payload_fits = payload_bytes + added <= self.settings.max_batch_payload_bytes;
            let max_orders = self.settings.max_batch_orders;
            match parts.last_mut() {
                Some(part) if payload_fits && part.len() < max_orders => {
                    payload_bytes += added;
                    part.push(order);
                }
                _ => {
                    jobs.clear();
                    payload_bytes = order.payload.len();
                    parts.push(vec![order]);
                }
            }
            jobs.insert(job);
        }
        parts
    }

    fn batch(&mut self, vm: &SmolStr, starts: Vec<StartOrder>, now: Duration) -> Option<Batch> {
        let sender = self.senders.get(vm)?;
        let expires_at = now + self.settings.send_window;
        let batch = Batch {
            number: self.next_batch,
            vm: vm.clone(),
            address: sender.offer.address.clone(),
            expires_clock_ms: sender.clock_ms_at(expires_at),
            starts,
        };
        self.open_batches.retain(|_, end| *end > now);
        self.open_batches.insert(batch.number, expires_at);
        self.next_batch += 1;
        Some(batch)
    }
}
