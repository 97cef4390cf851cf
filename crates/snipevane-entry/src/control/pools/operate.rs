//! Operators' requests to drain, move or reboot VMs, or to cancel an operation.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_core::ids::PoolKey;
use snipevane_core::pools::{Operation, OperationError, OperationId, OperationKind, PoolAction};
use snipevane_proto::peer::{Operate, Operated, Verb};

use super::{Control, Platform};

/// Delay after which an operator's request is to be retried if no coordinator can be reached.
const COORDINATOR_RETRY: Duration = Duration::from_secs(2);

impl<P: Platform, C: Clock> Control<P, C> {
    /// Executes an operator's request, here or by a call to the pool's coordinator.
    pub(crate) async fn operate(&self, req: Operate) -> Operated {
        let coordinator = {
            let state = self.node.state();
            state
                .pool_rows
                .pools
                .get(req.pool.as_str())
                .map(|read| read.row.clone())
        };
        let Some(coordinator) = coordinator else {
            return no_coordinator();
        };
        if coordinator.holder == self.node.incarnation {
            return self.operate_locally(req).await;
        }
        let address = {
            let state = self.node.state();
            state
                .peers
                .get(&coordinator.vm)
                .filter(|peer| peer.reachable)
                .map(|peer| peer.address)
        };
        let Some(address) = address else {
            return no_coordinator();
        };
        self.peers
            .operate(address, req)
            .await
            .unwrap_or_else(|_| no_coordinator())
    }

    /// Executes an operator's request for a pool that this entry VM coordinates.
    pub(crate) async fn operate_locally(&self, req: Operate) -> Operated {
        let Some(pool) = self.node.state().site.pool(&req.pool) else {
            return refused(format!("no pool has the name {:?}", req.pool));
        };
        let actions = match self.begin(pool, &req) {
            Ok(actions) => actions,
            Err(refusal) => return refusal,
        };
        self.execute_actions(pool, actions).await;
        Operated {
            accepted: true,
            reason: None,
            retry_after_ms: None,
        }
    }

    fn begin(&self, pool: PoolKey, req: &Operate) -> Result<Vec<PoolAction>, Operated> {
        let to = req.to.as_deref().map(|to| self.node.state().site.pool(to));
        let now = self.now_ms();
        let mut coordinators = self.coordinators.lock();
        let coordination = coordinators.get_mut(pool).ok_or_else(no_coordinator)?;
        let vm = coordination.key_or_insert(&SmolStr::new(&req.vm));
        let kind = match req.verb {
            Verb::Drain => OperationKind::Drain,
            Verb::Reboot => OperationKind::Reboot,
            Verb::Move => {
                let to = to
                    .flatten()
                    .ok_or_else(|| refused("the move names no known pool"))?;
                OperationKind::Move { to }
            }
            Verb::Cancel => {
                let current = coordination.core.row(vm).and_then(|row| row.operation);
                let current = current.ok_or_else(|| refused("nothing is done to the VM"))?;
                let actions = coordination.core.cancel(current.id, now);
                drop(coordinators);
                return actions.map_err(|error| self.to_refusal(&error));
            }
        };
        let operation = Operation {
            id: OperationId(req.id),
            kind,
        };
        let actions = coordination.core.begin(operation, &[vm], now);
        drop(coordinators);
        actions.map_err(|error| self.to_refusal(&error))
    }

    fn to_refusal(&self, error: &OperationError) -> Operated {
        let OperationError::Budget {
            violation,
            retry_after,
        } = error
        else {
            return refused(error.to_string());
        };
        let state = self.node.state();
        let service = state.site.services.get(violation.service);
        let service = service
            .map(|service| service.name.clone())
            .unwrap_or_default();
        let zone = violation.zone.and_then(|zone| state.site.zones.get(zone));
        let place = zone.map_or("the pool".to_owned(), |zone| format!("zone {}", zone.name));
        let reason = format!(
            "the availability budget of service {service} would be passed by {} in {place}: {} VMs \
             are out of service and {} may be",
            violation.excess, violation.unavailable, violation.max_unavailable
        );
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Operated {
            accepted: false,
            reason: Some(reason),
            retry_after_ms: retry_after.map(ms),
        }
    }
}

fn refused(reason: impl Into<String>) -> Operated {
    Operated {
        accepted: false,
        reason: Some(reason.into()),
        retry_after_ms: None,
    }
}

fn no_coordinator() -> Operated {
    let ms = u64::try_from(COORDINATOR_RETRY.as_millis()).unwrap_or(u64::MAX);
    let refusal = refused("the pool's coordinator can't be reached");
    Operated {
        retry_after_ms: Some(ms),
        ..refusal
    }
}
