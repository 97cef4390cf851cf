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
        self.peers.operate(address, req).await.unwrap_or_else(|error| {
            log::debug!("the coordinator of a pool didn't answer a request for a VM: {error}");
            // The request may have been carried out; its identifier makes it idempotent.
            not_ready(
                "the pool's coordinator didn't answer, so that the operation may have begun; send it again with the \
                 same identifier",
            )
        })
    }

    /// Executes an operator's request for a pool that this entry VM coordinates.
    pub(crate) async fn operate_locally(&self, req: Operate) -> Operated {
        let Some(pool) = self.node.state().site.pool(&req.pool) else {
            return refused(format!("no pool has the name {:?}", req.pool));
        };
        if !self.knows_vm(pool, &req.vm) {
            self.observe_latest_rows(pool).await;
        }
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

    /// Returns whether a pool's coordinator has observed a VM's row.
    fn knows_vm(&self, pool: PoolKey, vm: &str) -> bool {
        let mut coordinators = self.coordinators.lock();
        coordinators.get_mut(pool).is_some_and(|coordination| {
            let vm = coordination.key_or_insert(&SmolStr::new(vm));
            coordination.core.row(vm).is_some()
        })
    }

    /// Reads all rows and passes them to a pool's coordinator, which may be new, or have created rows
    /// that it hasn't observed yet.
    async fn observe_latest_rows(&self, pool: PoolKey) {
        if self.read_pool_rows().await {
            let actions = self.observe(pool);
            self.execute_actions(pool, actions).await;
        }
    }

    /// Returns whether a VM's row, as last read, assigns the VM to a pool.
    fn is_assigned(&self, vm: &str, pool: &str) -> bool {
        let state = self.node.state();
        let read = state.pool_rows.vms.get(vm);
        read.is_some_and(|read| read.row.pool == pool)
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
                let row = coordination.core.row(vm).copied();
                let Some(current) = row.and_then(|row| row.operation) else {
                    drop(coordinators);
                    return Err(self.no_operation(row.is_some(), req));
                };
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
        actions.map_err(|error| match error {
            OperationError::UnknownVm(_) if self.is_assigned(&req.vm, &req.pool) => unplaced_vm(),
            error => self.to_refusal(&error),
        })
    }

    /// Returns the refusal of a request to cancel an operation if the coordinator knows of none.
    fn no_operation(&self, row_observed: bool, req: &Operate) -> Operated {
        if !row_observed && self.is_assigned(&req.vm, &req.pool) {
            return unplaced_vm();
        }
        refused("nothing is done to the VM")
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

/// Returns the refusal for a VM whose row can't be observed yet, as its zone and rack aren't known.
fn unplaced_vm() -> Operated {
    not_ready("the pool's coordinator doesn't know the VM's zone and rack yet")
}

fn no_coordinator() -> Operated {
    not_ready("the pool's coordinator can't be reached")
}

/// Returns a refusal of a request that can be served soon.
fn not_ready(reason: &str) -> Operated {
    let ms = u64::try_from(COORDINATOR_RETRY.as_millis()).unwrap_or(u64::MAX);
    Operated {
        retry_after_ms: Some(ms),
        ..refused(reason)
    }
}
