//! The configuration in force, as followed in the store.

use std::rc::Rc;
use std::time::Duration;

use snipevane_adapter::config;
use snipevane_adapter::rows::Row;
use snipevane_adapter::settings::Bounds;
use snipevane_core::jobs::{Site, WaveOrder};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::metrics;
use crate::node::Node;
use crate::store::StoreError;

/// Time that a question for changes waits; each answer confirms the configuration.
const FEED_WAIT: Duration = Duration::from_millis(1_000);

/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(150);

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

    /// Takes in a row; returns whether the configuration changed.
    fn take(&mut self, row: &Row) -> bool {
        let Some(value) = &row.value else {
            return false;
        };
        if row.key == config::CONFIG_KEY {
            return self.take_config(value);
        }
        if config::is_wave(&row.key) {
            self.take_wave(value);
        }
        false
    }

    fn take_config(&mut self, value: &[u8]) -> bool {
        let spec = match config::decode_config(value) {
            Ok(spec) => spec,
            Err(error) => {
                log::error!("{error}");
                return false;
            }
        };
        let version = self.version();
        if self.site.is_some() && spec.version <= version {
            return false;
        }
        log::info!(
            "configuration {} is in force, after {version}",
            spec.version
        );
        metrics::configured(spec.version);
        self.site = Some(Rc::new(Site::new(spec)));
        true
    }

    fn take_wave(&mut self, value: &[u8]) {
        match config::decode_wave(value) {
            Ok(wave) => {
                self.waves.retain(|known| known.number != wave.number);
                self.waves.push(wave);
            }
            Err(error) => log::error!("{error}"),
        }
    }
}

/// Follows the operator's rows until the process ends.
pub async fn follow<C: Clock>(node: Rc<Node<C>>) {
    loop {
        match read_all(&node).await {
            Ok(version) => follow_changes(&node, version).await,
            Err(error) => log::warn!("the configuration can't be read: {error}"),
        }
        sleep(RETRY).await;
    }
}

async fn read_all<C: Clock>(node: &Node<C>) -> Result<u64, StoreError> {
    let asked_at = node.clock.now();
    let page = node.store.read(config::TABLE, "", "").await?;
    take_rows(node, &page.rows, asked_at);
    Ok(page.version)
}

/// Follows changes until the history that is needed is gone.
async fn follow_changes<C: Clock>(node: &Node<C>, mut version: u64) {
    loop {
        let asked_at = node.clock.now();
        match node.store.changes(config::TABLE, version, FEED_WAIT).await {
            Ok(page) => {
                take_rows(node, &page.rows, asked_at);
                version = version.max(page.version);
            }
            Err(StoreError::HistoryGone) => return,
            Err(error) => {
                log::debug!("changes of the configuration can't be read: {error}");
                sleep(RETRY).await;
            }
        }
    }
}

fn take_rows<C: Clock>(node: &Node<C>, rows: &[Row], asked_at: Duration) {
    let mut view = node.site.borrow_mut();
    let mut changed = false;
    for row in rows {
        changed |= view.take(row);
    }
    view.confirmed_at = Some(asked_at);
    drop(view);
    if changed {
        node.site_changed.notify_waiters();
    }
}
