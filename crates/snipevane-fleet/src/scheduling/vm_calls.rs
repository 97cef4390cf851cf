//! Calls to the platform's VM API: the list of VMs, and orders for them.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;
use snipevane_adapter::DecodeError;
use snipevane_adapter::vms::{self, TermHolder};
use snipevane_core::jobs::{Vm, VmOrder, VmReply};
use thiserror::Error;
use tokio::time::{sleep, timeout};

use crate::client::CallError;
use crate::clock::Clock;

use super::leader::Leader;
use super::vms::order_window;

/// Time in which a VM must be recorded before its order is sent, which covers two writes to a slow store. A
/// later order would rest on an outdated decision; until then, the VM gets no new work.
const RECORD_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Timeout for a call to the platform's VM API.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Status with which the platform refuses calls beyond its rate.
const TOO_MANY_CALLS: u16 = 429;

/// Delay before a page of the list that was refused is requested again.
const PAGE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time after which no page of a list is requested again, as the first pages are out of date.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Reason why the list of VMs can't be read.
#[derive(Debug, Error)]
pub(super) enum ListError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("status {0}")]
    Refused(u16),
    #[error(transparent)]
    Unreadable(#[from] DecodeError),
}

/// Reads all pages of the list of VMs.
///
/// A page that is refused is requested again: all pages before it would be paid for once more, and a list with more
/// pages than the platform sends in a second would never be complete.
///
/// # Errors
///
/// Returns an error if a page can't be read.
pub(super) async fn list_vms<C: Clock>(
    leader: &Leader<C>,
    address: SocketAddr,
) -> Result<Vec<Vm>, ListError> {
    let mut vms = Vec::new();
    let mut next: Option<String> = None;
    let retries_end = leader.node.clock.now() + LIST_TIMEOUT;
    loop {
        let request = vms::list_request(next.as_deref());
        let response = leader
            .node
            .client
            .call(address, request, CALL_TIMEOUT)
            .await?;
        if response.status == TOO_MANY_CALLS && leader.node.clock.now() < retries_end {
            sleep(PAGE_RETRY_DELAY).await;
            continue;
        }
        if response.status != 200 {
            return Err(ListError::Refused(response.status));
        }
        let page = vms::decode_list(&response.body)?;
        vms.extend(page.vms);
        next = page.next;
        if next.is_none() {
            return Ok(vms);
        }
    }
}

/// Records a VM that is to be ordered in the scheduler's row; returns whether the row had room for it and was
/// stored in time.
async fn record_order<C: Clock>(leader: &Leader<C>, vm: &SmolStr) -> bool {
    let window = order_window(leader.node.settings.bounds.vm_lease);
    let carried_out_by = leader.node.clock.now() + RECORD_TIMEOUT + CALL_TIMEOUT;
    let has_room = leader
        .ordered_vms
        .borrow_mut()
        .reserve(vm, carried_out_by + window);
    if !has_room {
        return false;
    }
    leader.store_wake.notify_one();
    let stored = async {
        while !leader.ordered_vms.borrow().is_stored(vm) && !leader.ended.get() {
            leader.row_written.notified().await;
        }
    };
    timeout(RECORD_TIMEOUT, stored).await.is_ok()
}

/// Records a VM and sends the order for it, unless the term no longer allows that.
pub(super) async fn send_order<C: Clock>(
    leader: &Leader<C>,
    address: SocketAddr,
    order: &VmOrder,
) -> VmReply {
    if !record_order(leader, &order.vm).await || !leader.may_send_vm_orders() {
        return VmReply::NotCarriedOut;
    }
    let holder = TermHolder {
        name: leader.node.settings.node.clone(),
        fence: leader.row.borrow().fence,
    };
    let request = vms::order_request(order, &holder);
    leader.open_vm_orders.record_sent();
    let may_send = || leader.may_send_vm_orders();
    let client = &leader.node.client;
    let response = client.call_if(address, request, CALL_TIMEOUT, may_send);
    let reply = match response.await {
        Ok(response) => vms::decode_reply(response.status, &response.body),
        Err(CallError::NotSent) => VmReply::NotCarriedOut,
        Err(CallError::NoAnswer) => VmReply::Unknown,
    };
    let (now, vm_lease) = (
        leader.node.clock.now(),
        leader.node.settings.bounds.vm_lease,
    );
    if reply == VmReply::Unknown {
        leader.open_vm_orders.record_no_reply(now + vm_lease);
    } else {
        leader.open_vm_orders.record_reply();
        let until = now + order_window(vm_lease);
        leader.ordered_vms.borrow_mut().reserve(&order.vm, until);
    }
    reply
}
