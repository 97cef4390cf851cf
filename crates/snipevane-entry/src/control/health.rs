//! Checks the backend servers' health and reports what changes of them.

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
/// Time between two checks of a server that shows no sign of leaving.
///
/// With [`CHECK_TIMEOUT`], a server that declines gets nothing new after 4 s.
pub(super) const CHECK_SERVING_EVERY: Duration = Duration::from_secs(3);
/// Time after which a check without an answer tells nothing.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two looks at what is due.
pub(super) const HEALTH_TICK: Duration = Duration::from_millis(250);

impl<P: Platform, C: Clock> Control<P, C> {
    /// Does the health checks that are due, and reports what changed of the servers.
    ///
    /// The next round begins after the last check has ended, so that there is one connection for
    /// checks to each server at most.
    pub(super) async fn poll_health(&self) {
        let now = self.node.now();
        let regular = self.regular_checks_due(now);
        let checks = {
            let mut state = self.node.state();
            state.apply_views(now);
            state.health_checks(regular, now)
        };
        join_all(checks.iter().map(|check| self.check(check))).await;
        self.report_servers();
    }

    /// Reports each change of the backend servers once.
    pub(super) fn report_servers(&self) {
        let now = self.node.now();
        let changes = self.node.state().server_changes(now);
        for change in &changes {
            self.node.record_server_change(change);
        }
        self.node.state().forget_gone();
    }

    fn regular_checks_due(&self, now: Instant) -> bool {
        let mut checked_at = self.serving_checked_at.lock();
        let due = checked_at.is_none_or(|at| now.duration_since(at) >= CHECK_SERVING_EVERY);
        if due {
            *checked_at = Some(now);
        }
        due
    }

    async fn check(&self, check: &HealthCheck) {
        let req = Request::get(HEALTH_PATH)
            .header(header::HOST, check.address.to_string())
            // The connection is opened for this check and closed after it.
            .header(header::CONNECTION, "close")
            .body(Full::new(Bytes::new()));
        let Ok(req) = req else {
            return;
        };
        let exchange = self.node.backends.exchange_once(check.address, req);
        let Ok(result) = timeout(CHECK_TIMEOUT, exchange).await else {
            return;
        };
        if let Some(sign) = sign_of(result) {
            self.node.report_health_signal(&check.vm, sign);
        }
    }
}

/// Returns what a health check's result shows, if anything.
fn sign_of(result: Result<BufferedResponse, ExchangeError>) -> Option<HealthSignal> {
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
