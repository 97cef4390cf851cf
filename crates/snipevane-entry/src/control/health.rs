//! Runs health checks on the backend servers and logs changes of their state.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Request, header};
use http_body_util::Full;
use snipevane_core::clock::Clock;
use snipevane_core::members::HealthSignal;
use snipevane_proto::headers::SERVER_STATE;
use tokio::time::timeout;

use super::{Control, Platform};
use crate::backend::{BufferedResponse, ExchangeError};
use crate::health_signals::announces_leaving;
use crate::state::HealthCheck;

/// Path of a backend server's health check.
const HEALTH_PATH: &str = "/healthz";
/// Interval between health checks of a server that shows no sign of leaving.
///
/// Together with [`CHECK_TIMEOUT`], it bounds to 4 s the time until a server that fails its health
/// check gets no new requests.
pub(super) const SERVING_CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Timeout of a health check; a check that times out is ignored.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the loop looks for due health checks.
pub(super) const HEALTH_TICK: Duration = Duration::from_millis(250);

impl<P: Platform, C: Clock> Control<P, C> {
    /// Runs the health checks that are due, and logs the changes of the servers.
    ///
    /// The next round starts only after all checks of this one have ended, so there is at most one
    /// health check connection to each server.
    pub(super) async fn poll_health(&self) {
        let now = self.node.now();
        let include_serving = self.serving_checks_due(now);
        let checks = {
            let mut state = self.node.state();
            state.apply_statuses(now);
            state.health_checks(include_serving, now)
        };
        join_all(checks.iter().map(|check| self.check(check))).await;
        self.report_server_changes();
    }

    /// Logs each change of the backend servers once.
    pub(super) fn report_server_changes(&self) {
        let now = self.node.now();
        let changes = self.node.state().server_changes(now);
        for change in &changes {
            self.node.record_server_change(change);
        }
        self.node.state().remove_gone();
    }

    fn serving_checks_due(&self, now: Instant) -> bool {
        let mut checked_at = self.serving_checked_at.lock();
        let due = checked_at.is_none_or(|at| now.duration_since(at) >= SERVING_CHECK_INTERVAL);
        if due {
            *checked_at = Some(now);
        }
        due
    }

    async fn check(&self, check: &HealthCheck) {
        let req = Request::get(HEALTH_PATH)
            .header(header::HOST, check.address.to_string())
            // Each check uses a connection of its own, which is closed afterwards.
            .header(header::CONNECTION, "close")
            .body(Full::new(Bytes::new()));
        let Ok(req) = req else {
            return;
        };
        let exchange = self.node.backends.exchange_once(check.address, req);
        let Ok(result) = timeout(CHECK_TIMEOUT, exchange).await else {
            return;
        };
        if let Some(signal) = health_signal(result) {
            self.node.report_health_signal(&check.vm, signal);
        }
    }
}

/// Maps the result of a health check to a signal; `None` if the result is inconclusive.
fn health_signal(result: Result<BufferedResponse, ExchangeError>) -> Option<HealthSignal> {
    match result {
        Ok(response) if announces_leaving(response.headers.get(SERVER_STATE)) => {
            Some(HealthSignal::LeavingHeader)
        }
        Ok(response) if response.status.is_success() => Some(HealthSignal::HealthCheckPassed),
        Ok(response) if response.status.is_server_error() => {
            Some(HealthSignal::HealthCheckRejected)
        }
        Err(ExchangeError::NotSent(_)) => Some(HealthSignal::ConnectionRefused),
        Ok(_) | Err(_) => None,
    }
}
