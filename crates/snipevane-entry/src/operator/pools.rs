//! Lists pools and their VMs, and handles requests for operations on a VM.

use std::time::Duration;

use http::{HeaderValue, StatusCode, header};
use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_proto::operator::{OperateRequest, Operated, PoolStatus, PoolVm};
use snipevane_proto::peer::{Operate, Verb};

use super::reply::{json, problem, problem_response};
use crate::control::{Control, Platform};
use crate::request::Response;
use crate::state::State;

impl<P: Platform, C: Clock> Control<P, C> {
    /// Lists the pools with their VMs.
    pub(super) fn list_pools(&self) -> Response {
        let state = self.node.state();
        let coordinator = |pool: &str| {
            let read = state.pool_rows.pools.get(pool);
            read.map(|read| read.row.vm.clone())
        };
        let pools = state.site.pools.values().map(|pool| PoolStatus {
            name: pool.name.to_string(),
            coordinator: coordinator(&pool.name),
            vms: pool_vms(&state, &pool.name),
        });
        let mut pools: Vec<PoolStatus> = pools.collect();
        pools.sort_by(|a, b| a.name.cmp(&b.name));
        json(&pools)
    }

    /// Sends an operator's request for a VM to the coordinator of the VM's pool.
    pub(super) async fn operate_vm(&self, vm: &str, verb: Verb, req: OperateRequest) -> Response {
        let pool = {
            let state = self.node.state();
            let read = state.pool_rows.vms.get(vm);
            read.map(|read| SmolStr::new(&read.row.pool))
        };
        let Some(pool) = pool else {
            let detail = format!("no pool has the VM {vm:?}");
            return problem_response(&problem(StatusCode::NOT_FOUND, "unknown VM", detail));
        };
        let operate = Operate {
            pool: pool.to_string(),
            vm: vm.to_owned(),
            // The lower 64 bits of the identifier are its random part.
            id: req.operation.as_u64_pair().1,
            verb,
            to: req.to,
        };
        let operated = self.operate(operate).await;
        if operated.accepted {
            return json(&Operated {
                vm: vm.to_owned(),
                pool: pool.to_string(),
            });
        }
        let reason = operated.reason.unwrap_or_default();
        let problem = problem(StatusCode::CONFLICT, "the operation is refused", reason);
        let mut response = problem_response(&problem);
        if let Some(after) = operated.retry_after_ms.map(Duration::from_millis) {
            let seconds = HeaderValue::from(after.as_secs().max(1));
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        response
    }
}

fn pool_vms(state: &State, pool: &str) -> Vec<PoolVm> {
    let zone = |vm: &SmolStr| {
        let entry = state.list.iter().find(|entry| entry.id == *vm);
        entry.map(|entry| entry.zone.to_string())
    };
    let rows = state.pool_rows.vms.iter();
    let rows = rows.filter(|(_, read)| read.row.pool == pool);
    let vms = rows.map(|(vm, read)| PoolVm {
        vm: vm.to_string(),
        state: read.row.state.to_string(),
        zone: zone(vm),
        operation: read.row.operation.as_ref().map(|held| match &held.to {
            Some(to) => format!("{} to {to}", held.kind),
            None => held.kind.to_string(),
        }),
    });
    let mut vms: Vec<PoolVm> = vms.collect();
    vms.sort_by(|a, b| a.vm.cmp(&b.vm));
    vms
}
