//! Planned work on VMs: reads their list, decides, sends orders.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;
use snipevane_adapter::machines::{self, Holder};
use snipevane_adapter::{DecodeError, config};
use snipevane_core::jobs::{
    Moves, TakenDown, Upkeep, Vm, VmOrder, VmReply, VmState, VmWork, WaveOrder, WaveProgress,
};
use thiserror::Error;
use tokio::time::sleep;

use crate::client::CallError;
use crate::clock::Clock;
use crate::events;
use crate::rows::{self, WAVES, WaveRow};
use crate::store::StoreError;

use super::lead::Lead;

/// Time between two decisions.
const PAUSE: Duration = Duration::from_millis(200);

/// Time after which an order of the term before surely shows in the list of VMs.
const ORDER_DELAY: Duration = Duration::from_millis(600);

/// Longest time that a call takes.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);

/// Plans of all kinds.
#[derive(Default)]
struct Plans {
    upkeep: Upkeep,
    moves: Moves,
    taken_down: TakenDown,
    /// VMs that the term before may have given orders lately; none before the first list.
    claimed: Option<FxHashSet<SmolStr>>,
    /// Since when the list of VMs can't be read.
    list_lost_at: Option<Duration>,
}

impl Plans {
    /// Logs when the list of VMs gets lost and when it is there again.
    fn note_list(&mut self, list: &Result<Vec<Vm>, ListError>, now: Duration) {
        match (list, self.list_lost_at) {
            (Ok(_), Some(at)) => {
                let away = now.saturating_sub(at).as_millis();
                events::record(&events::VM_LIST_REGAINED, &[&away]);
                self.list_lost_at = None;
            }
            (Err(error), None) => {
                events::record(&events::VM_LIST_LOST, &[error]);
                self.list_lost_at = Some(now);
            }
            (Ok(_), None) | (Err(_), Some(_)) => {}
        }
    }
}

/// A list of VMs that can't be read.
#[derive(Debug, Error)]
enum ListError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("status {0}")]
    Refused(u16),
    #[error(transparent)]
    Unreadable(#[from] DecodeError),
}

/// Plans work on VMs until the term is over.
pub(super) async fn plan<C: Clock>(lead: Rc<Lead<C>>) {
    let Some(address) = lead.node.settings.machines else {
        return;
    };
    let plans = Rc::new(RefCell::new(Plans::default()));
    loop {
        add_waves(&lead, &plans).await;
        if lead.may_order() {
            plan_once(&lead, address, &plans).await;
        }
        sleep(PAUSE).await;
    }
}

/// Takes in the operator's waves with the progress that is stored of them.
async fn add_waves<C: Clock>(lead: &Rc<Lead<C>>, plans: &RefCell<Plans>) {
    let waves: Vec<WaveOrder> = lead.node.site.borrow().waves.clone();
    let unknown: Vec<WaveOrder> = waves
        .into_iter()
        .filter(|wave| !plans.borrow().upkeep.knows(wave.number))
        .collect();
    if unknown.is_empty() {
        return;
    }
    let stored = match stored_progress(lead).await {
        Ok(stored) => stored,
        Err(error) => {
            log::warn!("the progress of waves can't be read: {error}");
            return;
        }
    };
    let (now, unix_ms) = (lead.node.clock.now(), lead.node.clock.unix_ms());
    for wave in unknown {
        events::record(&events::WAVE_REQUESTED, &[&wave.number, &wave.vms.len()]);
        plans
            .borrow_mut()
            .upkeep
            .add_wave(&wave, stored.get(&wave.number), now, unix_ms);
    }
    store_progress(lead, &mut plans.borrow_mut().upkeep);
}

async fn stored_progress<C: Clock>(
    lead: &Lead<C>,
) -> Result<FxHashMap<u64, WaveProgress>, StoreError> {
    let page = lead.node.store.read(WAVES, "", "").await?;
    let progress = page.rows.iter().filter_map(|row| {
        let number = row.key.parse().ok()?;
        let value: WaveRow = rows::decode(&row.key, row.value.as_ref()?)?;
        let progress = WaveProgress {
            number,
            done: value.done,
            completed: value.completed,
            seen_unix_ms: value.seen_unix_ms,
        };
        Some((number, progress))
    });
    Ok(progress.collect())
}

async fn plan_once<C: Clock>(lead: &Rc<Lead<C>>, address: SocketAddr, plans: &Rc<RefCell<Plans>>) {
    let asked_at = lead.node.clock.now();
    let listed = list_vms(lead, address).await;
    let now = lead.node.clock.now();
    plans.borrow_mut().note_list(&listed, now);
    let Ok(listed) = listed else {
        return;
    };
    let seen = without_claimed(lead, &mut plans.borrow_mut(), &listed, now);
    let Some(vms) = seen else {
        return;
    };
    let orders = {
        let mut scheduler = lead.scheduler.borrow_mut();
        let mut plans = plans.borrow_mut();
        let Plans {
            upkeep,
            moves,
            taken_down,
            ..
        } = &mut *plans;
        taken_down.settle(&mut scheduler, &listed, asked_at);
        let mut orders = upkeep.decide(&mut scheduler, &vms, asked_at, now);
        let taken = |vm: &Vm| upkeep.occupies(&vm.name);
        orders.extend(moves.decide(&mut scheduler, &vms, taken, asked_at, now));
        scheduler.cordon(&vms, |vm| taken(vm) || moves.occupies(&vm.name));
        orders
    };
    for order in orders {
        let vm = vms.iter().find(|vm| vm.name == order.vm).cloned();
        let lead = lead.clone();
        let plans = plans.clone();
        tokio::task::spawn_local(async move {
            let reply = send(&lead, address, &order).await;
            log_order(&lead, &order, reply);
            let now = lead.node.clock.now();
            if let (VmReply::Done, Some(vm)) = (reply, vm) {
                let mut scheduler = lead.scheduler.borrow_mut();
                let mut plans = plans.borrow_mut();
                plans.taken_down.confirmed(&mut scheduler, vm, now);
            }
            match order.work {
                VmWork::Upkeep { wave } => {
                    let mut plans = plans.borrow_mut();
                    plans.upkeep.replied(&order.vm, wave, reply, now);
                }
                VmWork::Move { .. } => plans.borrow_mut().moves.replied(&order.vm, reply),
            }
            store_progress(&lead, &mut plans.borrow_mut().upkeep);
        });
    }
    store_progress(lead, &mut plans.borrow_mut().upkeep);
    lead.wake.notify_one();
}

fn log_order<C: Clock>(lead: &Lead<C>, order: &VmOrder, reply: VmReply) {
    let work = match &order.work {
        VmWork::Upkeep { wave } => format!("upkeep in wave {wave}"),
        VmWork::Move { pool } => format!("move to {pool}"),
    };
    let reply = match reply {
        VmReply::Done => "done",
        VmReply::Fenced => "fenced",
        VmReply::Busy => "busy",
        VmReply::NotInWave => "not in the wave",
        VmReply::Invalid => "invalid",
        VmReply::TooMany => "nothing done",
        VmReply::Unknown => "no answer",
    };
    let fence = lead.row.borrow().fence;
    events::record(&events::VM_ORDER_SENT, &[&order.vm, &work, &reply, &fence]);
}

/// Returns the list of VMs, in which those that the term before may have given an order lately are
/// moving; none if it may lack such orders yet.
///
/// An order shows in the list at once and its VM's next minion is born when it is done. So a VM
/// that is up, with a minion that is old enough, had no order lately.
fn without_claimed<C: Clock>(
    lead: &Lead<C>,
    plans: &mut Plans,
    vms: &[Vm],
    now: Duration,
) -> Option<Vec<Vm>> {
    let Some(taken_over_at) = lead.taken_over_at else {
        return Some(vms.to_vec());
    };
    let lease = lead.node.settings.bounds.machine_lease + ORDER_DELAY;
    if now >= taken_over_at + lease {
        return Some(vms.to_vec());
    }
    if now < taken_over_at + ORDER_DELAY {
        return None;
    }
    let born_before = lead.node.clock.unix_ms().saturating_sub(millis(lease));
    let scheduler = lead.scheduler.borrow();
    let claimed = plans.claimed.get_or_insert_with(|| {
        let recent = vms
            .iter()
            .filter(|vm| !scheduler.is_settled(vm, born_before));
        recent.map(|vm| vm.name.clone()).collect()
    });
    let seen = vms.iter().map(|vm| Vm {
        state: if claimed.contains(&vm.name) {
            VmState::Moving
        } else {
            vm.state
        },
        ..vm.clone()
    });
    Some(seen.collect())
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Hands the progress of waves to the next transaction.
fn store_progress<C: Clock>(lead: &Lead<C>, upkeep: &mut Upkeep) {
    let mut writes = lead.writes.borrow_mut();
    for progress in upkeep.take_changes() {
        let key: SmolStr = config::wave_status_key(progress.number).into();
        let status = config::encode_wave_status(progress.completed);
        writes.retain(|(table, written, _)| table != config::STATUS_TABLE || *written != key);
        writes.push((config::STATUS_TABLE.into(), key, status));
        let key: SmolStr = progress.number.to_string().into();
        writes.retain(|(table, written, _)| table != WAVES || *written != key);
        let row = WaveRow {
            done: progress.done,
            completed: progress.completed,
            seen_unix_ms: progress.seen_unix_ms,
        };
        writes.push((WAVES.into(), key, rows::encode(&row)));
    }
    if !writes.is_empty() {
        lead.store_wake.notify_one();
    }
}

/// Reads the whole list of VMs.
///
/// # Errors
///
/// Returns why it can't be read.
async fn list_vms<C: Clock>(lead: &Lead<C>, address: SocketAddr) -> Result<Vec<Vm>, ListError> {
    let mut vms = Vec::new();
    let mut next: Option<String> = None;
    loop {
        let request = machines::list(next.as_deref());
        let answer = lead.node.client.call(address, request, CALL_LIMIT).await?;
        if answer.status != 200 {
            return Err(ListError::Refused(answer.status));
        }
        let page = machines::decode_list(&answer.body)?;
        vms.extend(page.vms);
        next = page.next;
        if next.is_none() {
            return Ok(vms);
        }
    }
}

async fn send<C: Clock>(lead: &Lead<C>, address: SocketAddr, order: &VmOrder) -> VmReply {
    if !lead.may_order() {
        return VmReply::TooMany;
    }
    let holder = Holder {
        name: lead.node.settings.node.clone(),
        fence: lead.row.borrow().fence,
    };
    let request = machines::order(order, &holder);
    match lead.node.client.call(address, request, CALL_LIMIT).await {
        Ok(answer) => machines::decode_reply(answer.status, &answer.body),
        Err(CallError::NotSent) => VmReply::TooMany,
        Err(CallError::NoAnswer) => VmReply::Unknown,
    }
}
