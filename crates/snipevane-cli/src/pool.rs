//! The `snipevane pool` and `snipevane drain` commands: show pools, and move, reboot or drain VMs.

use std::time::Duration;

use snipevane_proto::operator::{OperateRequest, Operated, PoolStatus, PoolVm};
use tokio::time::{self, Instant};
use uuid::Uuid;

use crate::flags::{Drain, PoolCmd};
use crate::output::{print_json, spinner};
use crate::{CliError, Client, key};

/// Time limit of `--wait` if `--wait-limit` isn't given.
const DEFAULT_WAIT_LIMIT: Duration = Duration::from_secs(10 * 60);
/// Interval at which `--wait` polls the VM's state.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// State of a drained VM.
const EMPTY: &str = "empty";

/// Shows pools, or moves or reboots a VM.
pub(crate) async fn run(client: &Client, cmd: PoolCmd, json: bool) -> Result<(), CliError> {
    match cmd {
        PoolCmd::Show(cmd) => show(client, cmd.name.as_deref(), json).await,
        PoolCmd::Move(cmd) => operate(client, &cmd.vm, "move", Some(cmd.to), json).await,
        PoolCmd::Reboot(cmd) => operate(client, &cmd.vm, "reboot", None, json).await,
    }
}

/// Drains a VM, or cancels its drain.
pub(crate) async fn drain(client: &Client, cmd: &Drain, json: bool) -> Result<(), CliError> {
    if cmd.cancel {
        return operate(client, &cmd.vm, "cancel", None, json).await;
    }
    operate(client, &cmd.vm, "drain", None, json).await?;
    if !cmd.wait {
        return Ok(());
    }
    let limit = cmd.wait_limit.map_or(DEFAULT_WAIT_LIMIT, Into::into);
    wait_until_empty(client, &cmd.vm, limit).await?;
    if !json {
        println!("{}: empty", cmd.vm);
    }
    Ok(())
}

async fn show(client: &Client, name: Option<&str>, json: bool) -> Result<(), CliError> {
    let mut pools: Vec<PoolStatus> = client.get("/v1/pools").await?.value;
    if let Some(name) = name {
        pools.retain(|pool| pool.name == name);
        if pools.is_empty() {
            return Err(CliError::Usage(format!("there is no pool {name:?}")));
        }
    }
    if json {
        return print_json(&pools);
    }
    for pool in &pools {
        let coordinator = pool.coordinator.as_deref().unwrap_or("none");
        println!("pool {} coordinator {coordinator}", pool.name);
        for vm in &pool.vms {
            print_vm(vm);
        }
    }
    Ok(())
}

fn print_vm(vm: &PoolVm) {
    let zone = vm.zone.as_deref().unwrap_or("unknown");
    match &vm.operation {
        Some(operation) => println!("  {} zone {zone} {} ({operation})", vm.vm, vm.state),
        None => println!("  {} zone {zone} {}", vm.vm, vm.state),
    }
}

async fn operate(
    client: &Client,
    vm: &str,
    verb: &str,
    to: Option<String>,
    json: bool,
) -> Result<(), CliError> {
    if !key::is_path_segment(vm) {
        return Err(CliError::Usage(format!("{vm:?} isn't a valid VM name")));
    }
    // The operation's identifier makes a retry through another entry VM safe.
    let req = OperateRequest {
        operation: Uuid::now_v7(),
        to,
    };
    let path = format!("/v1/vms/{vm}/{verb}");
    let operated: Operated = client.post_idempotent(&path, &req).await?.value;
    if json {
        return print_json(&operated);
    }
    println!(
        "{verb} of {} in pool {}: accepted",
        operated.vm, operated.pool
    );
    Ok(())
}

async fn wait_until_empty(client: &Client, vm: &str, limit: Duration) -> Result<(), CliError> {
    let started = Instant::now();
    let bar = spinner(&format!("draining {vm}"));
    loop {
        let state = state_of(client, vm).await;
        if state.as_deref() == Some(EMPTY) {
            bar.finish_and_clear();
            return Ok(());
        }
        if started.elapsed() >= limit {
            bar.finish_and_clear();
            let state = state.as_deref().unwrap_or("unknown");
            return Err(CliError::Incomplete(format!("{vm} is {state}, not empty")));
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

async fn state_of(client: &Client, vm: &str) -> Option<String> {
    let pools: Vec<PoolStatus> = client.get("/v1/pools").await.ok()?.value;
    let mut vms = pools.into_iter().flat_map(|pool| pool.vms);
    vms.find(|other| other.vm == vm).map(|other| other.state)
}
