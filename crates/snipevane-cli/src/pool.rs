//! `snipevane pool`, `drain`, `undrain`, `move` and `reboot`.

use snipevane_proto::operator::{OperateRequest, Operated, PoolStatus};
use uuid::Uuid;

use crate::output::print_json;
use crate::{CliError, Client};

/// Lists the pools with their VMs.
pub(crate) async fn list(client: &Client, json: bool) -> Result<(), CliError> {
    let pools: Vec<PoolStatus> = client.get("/v1/pools").await?.value;
    if json {
        return print_json(&pools);
    }
    for pool in pools {
        let coordinator = pool.coordinator.as_deref().unwrap_or("nobody yet");
        println!(
            "{} ({} VMs, coordinated by {coordinator})",
            pool.name,
            pool.vms.len()
        );
        for vm in pool.vms {
            let zone = vm.zone.as_deref().unwrap_or("not in the platform's list");
            let operation = vm
                .operation
                .map(|what| format!(" ({what})"))
                .unwrap_or_default();
            println!("  {} {zone} {}{operation}", vm.vm, vm.state);
        }
    }
    Ok(())
}

/// Asks for an operation on a VM.
pub(crate) async fn operate(
    client: &Client,
    vm: &str,
    verb: &str,
    to: Option<String>,
    json: bool,
) -> Result<(), CliError> {
    let req = OperateRequest {
        operation: Uuid::now_v7(),
        to,
    };
    // The operation's identifier makes a second try through another entry VM safe.
    let path = format!("/v1/vms/{vm}/{verb}");
    let operated: Operated = client.post_idempotent(&path, &req).await?.value;
    if json {
        return print_json(&operated);
    }
    println!(
        "{verb} of {} accepted by the coordinator of pool {}",
        operated.vm, operated.pool
    );
    Ok(())
}
