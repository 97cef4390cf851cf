//! This process's copy of the configuration in force, kept up to date from the store.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use snipevane_adapter::config;
use snipevane_adapter::rows::{Page, Row};
use snipevane_adapter::settings::Bounds;
use snipevane_core::backoff::{Backoff, jittered};
use snipevane_core::jobs::{EvacuatedZones, MaintenanceWave, Site};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::events;
use crate::metrics;
use crate::node::Node;
use crate::store::{Purpose, StoreError};

/// Time that a long poll for changes waits. Each response confirms the configuration.
const CHANGES_WAIT: Duration = Duration::from_millis(2_500);

/// Interval between polls for changes while the store doesn't answer direct calls. Relays don't wait for
/// changes of the configuration.
const RELAYED_POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval at which the age of the last confirmation is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Age of the last confirmation at which the scheduler requests a new one, which its heartbeats
/// pass on to the other entry VMs.
const SCHEDULER_CONFIRM_AFTER: Duration = Duration::from_millis(1_000);

/// Age of the last confirmation at which the other entry VMs request one from the store themselves.
const FALLBACK_CONFIRM_AFTER: Duration = Duration::from_millis(1_800);

/// Interval at which it is checked whether a response has arrived that another poll waits for.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Shortest and longest delay before a failed call is retried. The longest one grows with the number of entry VMs.
const RETRY_DELAY: Duration = Duration::from_millis(150);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);

/// Percentage of the time limit for key withdrawal during which a confirmation is valid. The rest
/// allows for change feeds that lag and requests in flight.
const CONFIRMED_PERCENT: u32 = 60;
const PERCENT: u32 = 100;

/// The configuration in force and the time of its last confirmation.
#[derive(Clone, Debug, Default)]
pub struct SiteView {
    /// Configuration; none before the first one is read.
    pub site: Option<Rc<Site>>,
    /// Maintenance waves that the operator has requested.
    pub waves: Vec<MaintenanceWave>,
    /// Availability zones that the operator has requested to evacuate.
    pub evacuated: EvacuatedZones,
    /// Time at which the store last confirmed that the configuration is the newest.
    confirmed_at: Option<Duration>,
    /// Time at which the last response with the operator's rows, or their changes, was requested.
    rows_read_at: Option<Duration>,
    /// Version of the store up to which the operator's rows have been read.
    read_up_to: u64,
    /// Newest configuration version that the scheduler's heartbeats have reported.
    newest_known: u64,
}

impl SiteView {
    /// Returns the version of the configuration; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.site.as_ref().map_or(0, |site| site.version())
    }

    /// Returns whether the last confirmation is recent enough: a key that a newer configuration has
    /// withdrawn is then still within the time limit for key withdrawal, and a newer configuration that
    /// is known to exist needn't be in force yet.
    pub fn is_confirmed(&self, now: Duration, bounds: &Bounds) -> bool {
        let mut limit = bounds.key_withdrawal * CONFIRMED_PERCENT / PERCENT;
        if self.is_outdated() {
            limit = limit.min(bounds.config_apply);
        }
        let age = self.confirmation_age(now);
        self.site.is_some() && age.is_some_and(|age| age < limit)
    }

    /// Returns whether the set of evacuated zones was confirmed recently enough that a request which has been
    /// made since is still within the time limit for evacuations; always true if the platform sets none.
    pub fn is_evacuation_confirmed(&self, now: Duration, bounds: &Bounds) -> bool {
        let limit = bounds.evacuation * CONFIRMED_PERCENT / PERCENT;
        let age = now.saturating_sub(self.rows_read_at.unwrap_or_default());
        bounds.evacuation.is_zero() || (self.rows_read_at.is_some() && age < limit)
    }

    /// Returns whether a newer version is known to exist.
    fn is_outdated(&self) -> bool {
        self.newest_known > self.version()
    }

    /// Records that `version` was the newest version in the store at the time `at`.
    pub fn confirm(&mut self, version: u64, at: Duration) {
        self.newest_known = self.newest_known.max(version);
        if self.site.is_some() && version == self.version() {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Returns whether the store must be polled, because the last confirmation is at least `limit`
    /// old or a newer version is known to exist.
    fn needs_confirmation(&self, limit: Duration, now: Duration) -> bool {
        let is_stale = self.confirmation_age(now).is_none_or(|age| age >= limit);
        self.site.is_some() && (is_stale || self.is_outdated())
    }

    /// Returns the time since the store last confirmed the configuration; none if it never has.
    pub fn confirmation_age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Applies a row of the operator; returns whether the configuration changed.
    fn apply_row(&mut self, row: &Row, now: Duration) -> bool {
        if let Some(zone) = config::evacuated_zone(&row.key) {
            self.apply_evacuation(zone, row.value.is_some());
            return false;
        }
        let Some(value) = &row.value else {
            return false;
        };
        if row.key == config::CONFIG_KEY {
            return self.apply_config(value, now);
        }
        if config::is_wave_key(&row.key) {
            self.apply_wave(value);
        }
        false
    }

    fn apply_config(&mut self, value: &[u8], now: Duration) -> bool {
        let spec = match config::decode_config(value) {
            Ok(spec) => spec,
            Err(error) => {
                events::record(&events::CONFIG_UNREADABLE, &[&self.version(), &error]);
                return false;
            }
        };
        let version = self.version();
        if self.site.is_some() && spec.version <= version {
            return false;
        }
        let age = self.confirmation_age(now).unwrap_or_default().as_millis();
        events::record(&events::CONFIG_IN_FORCE, &[&spec.version, &version, &age]);
        metrics::set_config_version(spec.version);
        self.site = Some(Rc::new(Site::new(spec)));
        true
    }

    fn apply_evacuation(&mut self, zone: &str, requested: bool) {
        let changed = if requested {
            self.evacuated.insert(zone.into())
        } else {
            self.evacuated.remove(zone)
        };
        if changed {
            metrics::set_evacuated_zones(self.evacuated.len());
        }
    }

    /// Forgets the evacuations whose rows aren't among all of the operator's rows.
    fn retain_evacuations(&mut self, rows: &[Row]) {
        let requested = rows.iter().filter(|row| row.value.is_some());
        let requested: EvacuatedZones = requested
            .filter_map(|row| config::evacuated_zone(&row.key).map(SmolStr::from))
            .collect();
        let lifted = self.evacuated.iter();
        let lifted: Vec<SmolStr> = lifted
            .filter(|zone| !requested.contains(zone))
            .cloned()
            .collect();
        for zone in lifted {
            self.apply_evacuation(&zone, false);
        }
    }

    fn apply_wave(&mut self, value: &[u8]) {
        match config::decode_wave(value) {
            Ok(wave) => {
                self.waves.retain(|known| known.number != wave.number);
                self.waves.push(wave);
            }
            Err(error) => {
                events::record(&events::ROW_UNREADABLE, &[&config::TABLE, &"wave", &error]);
            }
        }
    }
}

/// Reads the operator's rows and follows their changes until the process ends.
pub async fn follow<C: Clock>(node: Rc<Node<C>>) {
    let mut backoff = new_backoff(&node, RETRY_DELAY);
    loop {
        match read_all(&node).await {
            Ok(()) => {
                backoff = new_backoff(&node, RETRY_DELAY);
                follow_changes(&node).await;
            }
            Err(error) => log::warn!("reading the configuration failed: {error}; retrying"),
        }
        sleep(backoff.next_delay(node.random(0.0..1.0))).await;
    }
}

/// Creates a backoff for reads that all entry VMs make.
fn new_backoff<C: Clock>(node: &Node<C>, first: Duration) -> Backoff {
    Backoff::new(first, node.read_interval(MAX_RETRY_DELAY))
}

/// Polls the store for changes whenever neither the store nor the scheduler has confirmed the
/// configuration for a while.
///
/// A pending long poll confirms nothing, and its connection may be dead without an error.
pub async fn keep_confirmed<C: Clock>(node: Rc<Node<C>>) {
    let mut backoff = new_backoff(&node, CHECK_INTERVAL);
    let mut delay = CHECK_INTERVAL;
    loop {
        sleep(delay).await;
        delay = CHECK_INTERVAL;
        let limit = if node.leader().is_some() {
            SCHEDULER_CONFIRM_AFTER
        } else {
            FALLBACK_CONFIRM_AFTER
        };
        let due = node
            .site_view
            .borrow()
            .needs_confirmation(limit, node.clock.now());
        if !due {
            continue;
        }
        match poll_changes(&node, Duration::ZERO).await {
            Ok(()) => {
                backoff = new_backoff(&node, CHECK_INTERVAL);
                // A newer version may be known that the response didn't contain yet.
                delay = jittered(node.read_interval(CHECK_INTERVAL), node.random(0.0..1.0));
            }
            Err(error) => {
                log::debug!("confirming the configuration failed: {error}; retrying");
                delay = backoff.next_delay(node.random(0.0..1.0));
            }
        }
    }
}

async fn read_all<C: Clock>(node: &Node<C>) -> Result<(), StoreError> {
    let requested_at = node.clock.now();
    let page = node
        .store
        .read(Purpose::Configuration, config::TABLE, "", "")
        .await?;
    node.site_view.borrow_mut().retain_evacuations(&page.rows);
    apply_page(node, &page, requested_at);
    Ok(())
}

/// Follows changes until the store no longer has the history that is needed.
async fn follow_changes<C: Clock>(node: &Node<C>) {
    let mut backoff = new_backoff(node, RETRY_DELAY);
    loop {
        match poll_changes(node, CHANGES_WAIT).await {
            Ok(()) => {
                backoff = new_backoff(node, RETRY_DELAY);
                if !node.store.is_direct() {
                    sleep(RELAYED_POLL_INTERVAL).await;
                }
            }
            Err(StoreError::HistoryGone) => return,
            Err(error) => {
                log::debug!("reading configuration changes failed: {error}; retrying");
                sleep(backoff.next_delay(node.random(0.0..1.0))).await;
            }
        }
    }
}

/// Waits up to `wait` for changes and applies them.
///
/// While the response to another poll is arriving, no other one is requested: it would contain the same
/// changes, and a large configuration may take the whole bandwidth for a second.
async fn poll_changes<C: Clock>(node: &Node<C>, wait: Duration) -> Result<(), StoreError> {
    while node.store.is_receiving_changes(config::TABLE) {
        sleep(ARRIVAL_CHECK_INTERVAL).await;
    }
    let requested_at = node.clock.now();
    let after = node.site_view.borrow().read_up_to;
    let page = node
        .store
        .changes(Purpose::Configuration, config::TABLE, after, wait)
        .await?;
    apply_page(node, &page, requested_at);
    Ok(())
}

/// Applies the rows of a response. It confirms the configuration as of `requested_at`, since
/// changes made after the request may be missing from it.
fn apply_page<C: Clock>(node: &Node<C>, page: &Page, requested_at: Duration) {
    let now = node.clock.now();
    let mut view = node.site_view.borrow_mut();
    let mut changed = false;
    for row in &page.rows {
        changed |= view.apply_row(row, now);
    }
    view.read_up_to = view.read_up_to.max(page.version);
    view.confirmed_at = view.confirmed_at.max(Some(requested_at));
    view.rows_read_at = view.rows_read_at.max(Some(requested_at));
    drop(view);
    if changed {
        node.site_changed.notify_waiters();
    }
}
