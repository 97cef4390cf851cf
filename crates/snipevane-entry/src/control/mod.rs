//! Background loops outside the request path: configuration, keys, VM list, shards, pools,
//! heartbeats, health checks and timers.

mod config;
mod health;
mod heartbeats;
mod keys;
mod list;
mod pools;
mod shards;

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_core::config::in_force::SourceSelector;
use snipevane_platform::{ObjectStore, PlatformError, Row, Table, VmList};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::journal::kinds;
use crate::node::Node;
use crate::peer::PeerClient;

pub(crate) use pools::Coordinators;

/// Interval at which the timers in the state are checked.
const TICK: Duration = Duration::from_millis(20);

/// Interval between log lines on the same limit of a listener.
const INCIDENT_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Platform services that an entry VM uses.
pub trait Platform: Table + ObjectStore + VmList {}

impl<P: Table + ObjectStore + VmList> Platform for P {}

/// Shared context of the background loops.
pub(crate) struct Control<P, C> {
    /// State and settings of this entry VM's process.
    pub(crate) node: Arc<Node<C>>,
    /// Client of the platform.
    pub(crate) platform: P,
    /// Client for calls to peers.
    pub(crate) peers: PeerClient,
    /// Coordinators of the pools that this entry VM coordinates.
    pub(crate) coordinators: Mutex<Coordinators>,
    /// Selects the source of newer configurations.
    pub(crate) source_selector: Mutex<SourceSelector>,
    /// Time of the last health check of the serving backend servers.
    pub(crate) serving_checked_at: Mutex<Option<Instant>>,
}

impl<P: Platform, C: Clock> Control<P, C> {
    /// Spawns all background loops on `tracker`; they end when `stop` is cancelled.
    pub(crate) fn start(self: &Arc<Self>, tracker: &TaskTracker, stop: &CancellationToken) {
        let timings = &self.node.settings.timings;
        let poll = timings.platform_poll_interval;
        let (control, stopped) = (self.clone(), stop.clone());
        tracker.spawn(async move { control.watch_peer_versions(&stopped).await });
        self.spawn(tracker, stop, poll, |control| async move {
            control.poll_config().await
        });
        self.spawn(tracker, stop, poll, |control| async move {
            control.poll_keys().await
        });
        self.spawn(tracker, stop, poll, |control| async move {
            control.poll_vm_list().await
        });
        self.spawn(tracker, stop, poll, |control| async move {
            control.poll_shards().await
        });
        self.spawn(tracker, stop, poll, |control| async move {
            control.poll_pools().await;
        });
        self.spawn(
            tracker,
            stop,
            timings.heartbeat_interval,
            |control| async move {
                control.send_heartbeats().await;
            },
        );
        self.spawn(tracker, stop, health::HEALTH_TICK, |control| async move {
            control.poll_health().await;
        });
        self.spawn(tracker, stop, TICK, |control| async move { control.tick() });
        self.spawn(
            tracker,
            stop,
            INCIDENT_REPORT_INTERVAL,
            |control| async move {
                control.report_incidents();
            },
        );
    }

    /// Logs what happened at the listeners' limits since the last report.
    fn report_incidents(&self) {
        for incident in self.node.incidents.take_new() {
            self.node.record(
                &kinds::LISTENER_LIMIT_REACHED,
                &[
                    &incident.listener,
                    &incident.kind,
                    &incident.count,
                    &incident.reason,
                ],
            );
        }
    }

    fn spawn<F, T>(
        self: &Arc<Self>,
        tracker: &TaskTracker,
        stop: &CancellationToken,
        period: Duration,
        step: F,
    ) where
        F: Fn(Arc<Self>) -> T + Send + 'static,
        T: Future<Output = ()> + Send + 'static,
    {
        let (control, stop) = (self.clone(), stop.clone());
        tracker.spawn(async move {
            let mut ticks = interval(period);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                tokio::select! {
                    () = stop.cancelled() => return,
                    _ = ticks.tick() => {}
                }
                step(control.clone()).await;
            }
        });
    }

    /// Expires what has timed out, activates shards that have become usable, and dispatches waiting
    /// requests.
    fn tick(&self) {
        let now = self.node.now();
        let unix_ms = self.node.clock.unix_ms();
        {
            let mut state = self.node.state();
            state.router.tick(now);
            state.activate_ready_shards(now);
            state.settle_version(unix_ms);
            state.expire_waiting(now);
        }
        self.node.dispatch();
    }

    /// Records whether a call reached the platform, and logs when the platform becomes unreachable
    /// or reachable again.
    pub(crate) fn record_platform_result<T>(&self, result: &Result<T, PlatformError>) {
        let now = self.node.now();
        let mut state = self.node.state();
        match result {
            Ok(_) => {
                state.platform_last_response = Some(now);
                let Some(since) = state.platform_unreachable_since.take() else {
                    return;
                };
                drop(state);
                let away_ms = now.duration_since(since).as_millis();
                self.node.record(&kinds::PLATFORM_REACHABLE, &[&away_ms]);
            }
            Err(error) => {
                if state.platform_unreachable_since.is_some() {
                    return;
                }
                state.platform_unreachable_since = Some(now);
                drop(state);
                self.node.record(&kinds::PLATFORM_UNREACHABLE, &[error]);
            }
        }
    }

    /// Parses a row's value; logs an event and returns `None` if it can't be parsed.
    pub(crate) fn parse_row<T: DeserializeOwned>(&self, row: &Row) -> Option<T> {
        match serde_json::from_value(row.value.clone()) {
            Ok(value) => Some(value),
            Err(error) => {
                self.node
                    .record(&kinds::ROW_UNREADABLE, &[&row.key, &error]);
                None
            }
        }
    }
}

/// Returns the name of the object that stores the manifest with the given hash.
pub(crate) fn manifest_object(hash: &str) -> SmolStr {
    format!("{}{hash}", snipevane_proto::rows::MANIFEST_PREFIX).into()
}
