//! The configuration in force, as followed in the store.

use std::rc::Rc;
use std::time::Duration;

use snipevane_adapter::config;
use snipevane_adapter::rows::{Page, Row};
use snipevane_adapter::settings::Bounds;
use snipevane_core::jobs::{Site, WaveOrder};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::events;
use crate::metrics;
use crate::node::Node;
use crate::store::StoreError;

/// Time that a question for changes waits; each answer confirms the configuration.
const CHANGES_WAIT: Duration = Duration::from_millis(2_500);

/// Time between two looks at the age of the last confirmation.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Age of the last confirmation at which the scheduler asks for another, for all.
const SCHEDULER_CONFIRM_AFTER: Duration = Duration::from_millis(1_000);

/// Age of the last confirmation at which the others ask for one themselves.
const FALLBACK_CONFIRM_AFTER: Duration = Duration::from_millis(1_800);

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Part of the bound on withdrawn keys for which a confirmation counts, in percent. The rest is
/// for feeds that lag and requests that are under way.
const CONFIRMED_PERCENT: u32 = 60;
const PERCENT: u32 = 100;

/// The configuration in force and how fresh it is.
#[derive(Clone, Debug, Default)]
pub struct SiteView {
    /// Configuration; none before the first was read.
    pub site: Option<Rc<Site>>,
    /// Waves of upkeep that the operator asks for.
    pub waves: Vec<WaveOrder>,
    confirmed_at: Option<Duration>,
    /// Version of the store up to which the operator's rows were read.
    read_up_to: u64,
    /// Newest version that the scheduler has told of.
    newest_known: u64,
}

impl SiteView {
    /// Returns the version of the configuration; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.site.as_ref().map_or(0, |site| site.version())
    }

    /// Returns whether no newer configuration can have withdrawn a key for too long.
    pub fn is_confirmed(&self, now: Duration, bounds: &Bounds) -> bool {
        let bound = bounds.key_withdrawal * CONFIRMED_PERCENT / PERCENT;
        let fresh = |at: Duration| now.saturating_sub(at) < bound;
        self.site.is_some() && self.confirmed_at.is_some_and(fresh)
    }

    /// Takes note that the store held this version, and no newer one, at a time.
    pub fn confirm(&mut self, version: u64, at: Duration) {
        self.newest_known = self.newest_known.max(version);
        if self.site.is_some() && version == self.version() {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Returns whether the store is to be asked, because the last confirmation is older than
    /// `limit` or a newer version is known to exist.
    fn needs_confirmation(&self, limit: Duration, now: Duration) -> bool {
        let is_stale = self.confirmation_age(now).is_none_or(|age| age >= limit);
        self.site.is_some() && (is_stale || self.newest_known > self.version())
    }

    /// Returns the time since the store has confirmed the configuration.
    pub fn confirmation_age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Takes in a row; returns whether the configuration changed.
    fn apply_row(&mut self, row: &Row, now: Duration) -> bool {
        let Some(value) = &row.value else {
            return false;
        };
        if row.key == config::CONFIG_KEY {
            return self.apply_config(value, now);
        }
        if config::is_wave(&row.key) {
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

/// Follows the operator's rows until the process ends.
pub async fn follow<C: Clock>(node: Rc<Node<C>>) {
    loop {
        match read_all(&node).await {
            Ok(()) => follow_changes(&node).await,
            Err(error) => log::warn!("the configuration can't be read: {error}"),
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Asks the store for changes whenever neither it nor the scheduler has confirmed the
/// configuration for a while.
///
/// A question for changes that waits confirms nothing, and the connection that it waits on may
/// have gone silent.
pub async fn keep_confirmed<C: Clock>(node: Rc<Node<C>>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let limit = if node.leader().is_some() {
            SCHEDULER_CONFIRM_AFTER
        } else {
            FALLBACK_CONFIRM_AFTER
        };
        let due = node
            .site
            .borrow()
            .needs_confirmation(limit, node.clock.now());
        if !due {
            continue;
        }
        if let Err(error) = poll_changes(&node, Duration::ZERO).await {
            log::debug!("the configuration can't be confirmed: {error}");
        }
    }
}

async fn read_all<C: Clock>(node: &Node<C>) -> Result<(), StoreError> {
    let requested_at = node.clock.now();
    let page = node.store.read(config::TABLE, "", "").await?;
    apply_page(node, &page, requested_at);
    Ok(())
}

/// Follows changes until the history that is needed is gone.
async fn follow_changes<C: Clock>(node: &Node<C>) {
    loop {
        match poll_changes(node, CHANGES_WAIT).await {
            Ok(()) => {}
            Err(StoreError::HistoryGone) => return,
            Err(error) => {
                log::debug!("changes of the configuration can't be read: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn poll_changes<C: Clock>(node: &Node<C>, wait: Duration) -> Result<(), StoreError> {
    let requested_at = node.clock.now();
    let after = node.site.borrow().read_up_to;
    let page = node.store.changes(config::TABLE, after, wait).await?;
    apply_page(node, &page, requested_at);
    Ok(())
}

fn apply_page<C: Clock>(node: &Node<C>, page: &Page, requested_at: Duration) {
    let now = node.clock.now();
    let mut view = node.site.borrow_mut();
    let mut changed = false;
    for row in &page.rows {
        changed |= view.apply_row(row, now);
    }
    view.read_up_to = view.read_up_to.max(page.version);
    view.confirmed_at = view.confirmed_at.max(Some(requested_at));
    drop(view);
    if changed {
        node.site_changed.notify_waiters();
    }
}
