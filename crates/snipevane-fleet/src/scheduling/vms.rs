//! Planned work on VMs (maintenance and moves between pools): reads the list of VMs, decides, and
//! has orders sent.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use snipevane_core::jobs::{
    MaintenancePlanner, MaintenanceWave, MovePlanner, PendingShutdowns, Vm, VmOperation, VmOrder,
    VmOrderBudget, VmReply, VmState, WaveProgress,
};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::events;
use crate::rows::WAVES_TABLE;
use crate::store::{Purpose, StoreError};

use super::leader::Leader;
use super::vm_calls::{ListError, list_vms, send_order};
use super::wave_rows;

/// Pause between planning rounds.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Further pause while no work on VMs is planned or in progress and all minions answer. A move starts later by
/// this at most when demand rises.
const IDLE_PLAN_PAUSE: Duration = Duration::from_millis(200);

/// Time after which an order of the previous term is certain to show in the list of VMs.
const ORDER_VISIBILITY_DELAY: Duration = Duration::from_millis(600);

/// Planners of all kinds of work on VMs.
struct Planners {
    maintenance: MaintenancePlanner,
    moves: MovePlanner,
    pending_shutdowns: PendingShutdowns,
    order_budget: VmOrderBudget,
    /// Time since which the list of VMs can't be read; `None` while it can be.
    list_unreadable_since: Option<Duration>,
    /// Whether the last list shows VMs that are moving or under maintenance.
    vms_changing: bool,
}

impl Planners {
    /// Creates planners without work for a platform that accepts this many orders per second.
    fn new(orders_per_s: f64) -> Self {
        Self {
            maintenance: MaintenancePlanner::default(),
            moves: MovePlanner::default(),
            pending_shutdowns: PendingShutdowns::default(),
            order_budget: VmOrderBudget::new(orders_per_s),
            list_unreadable_since: None,
            vms_changing: false,
        }
    }

    /// Returns whether the list of VMs can be read, and no work on VMs is planned or in progress.
    fn is_idle(&self) -> bool {
        self.list_unreadable_since.is_none()
            && !self.vms_changing
            && !self.maintenance.has_active_wave()
            && self.moves.is_idle()
            && self.pending_shutdowns.is_empty()
    }

    /// Logs when the list of VMs becomes unreadable and when it can be read again.
    fn log_list_state(&mut self, list: &Result<Vec<Vm>, ListError>, now: Duration) {
        match (list, self.list_unreadable_since) {
            (Ok(_), Some(at)) => {
                let outage_ms = now.saturating_sub(at).as_millis();
                events::record(&events::VM_LIST_REGAINED, &[&outage_ms]);
                self.list_unreadable_since = None;
            }
            (Err(error), None) => {
                events::record(&events::VM_LIST_LOST, &[error]);
                self.list_unreadable_since = Some(now);
            }
            (Ok(_), None) | (Err(_), Some(_)) => {}
        }
    }
}

/// Plans work on VMs for as long as the term lasts, if a VM API is configured.
pub(super) async fn run_planner<C: Clock>(leader: Rc<Leader<C>>) {
    let Some(address) = leader.node.settings.vm_api_address else {
        return;
    };
    let planners = Planners::new(leader.node.settings.vm_api_calls_per_s);
    let planners = Rc::new(RefCell::new(planners));
    loop {
        load_new_waves(&leader, &planners).await;
        if leader.may_send_vm_orders() {
            plan_once(&leader, address, &planners).await;
        }
        sleep(PLAN_INTERVAL).await;
        if planners.borrow().is_idle() && !leader.scheduler.borrow().awaits_vm_list() {
            sleep(IDLE_PLAN_PAUSE).await;
        }
    }
}

/// Loads the operator's waves that this term doesn't have yet, completed ones included, with their
/// stored progress.
async fn load_new_waves<C: Clock>(leader: &Rc<Leader<C>>, planners: &RefCell<Planners>) {
    let waves: Vec<MaintenanceWave> = leader.node.site_view.borrow().waves.clone();
    let new_waves: Vec<MaintenanceWave> = waves
        .into_iter()
        .filter(|wave| !planners.borrow().maintenance.has_wave(wave.number))
        .collect();
    if new_waves.is_empty() {
        return;
    }
    let stored = match stored_progress(leader).await {
        Ok(stored) => stored,
        Err(error) => {
            log::warn!("can't read the progress of maintenance waves, retrying: {error}");
            return;
        }
    };
    let (now, unix_ms) = (leader.node.clock.now(), leader.node.clock.unix_ms());
    for wave in new_waves {
        events::record(&events::WAVE_LOADED, &[&wave.number, &wave.vms.len()]);
        planners
            .borrow_mut()
            .maintenance
            .add_wave(&wave, stored.get(&wave.number), now, unix_ms);
    }
    store_progress(leader, &mut planners.borrow_mut().maintenance);
}

/// Reads the stored progress of all waves; returns it by wave number.
async fn stored_progress<C: Clock>(
    leader: &Leader<C>,
) -> Result<FxHashMap<u64, WaveProgress>, StoreError> {
    let page = leader
        .node
        .store
        .read(Purpose::SchedulerRead, WAVES_TABLE, "", "")
        .await?;
    let progress = page.rows.iter().filter_map(wave_rows::decode);
    let progress = progress.map(|progress| (progress.number, progress));
    Ok(progress.collect())
}

/// Runs one planning round: reads the list of VMs, decides, and sends orders in the background.
async fn plan_once<C: Clock>(
    leader: &Rc<Leader<C>>,
    address: SocketAddr,
    planners: &Rc<RefCell<Planners>>,
) {
    let sent_at = leader.node.clock.now();
    let listed = list_vms(leader, address).await;
    let now = leader.node.clock.now();
    planners.borrow_mut().log_list_state(&listed, now);
    let Ok(listed) = listed else {
        return;
    };
    planners.borrow_mut().vms_changing = listed.iter().any(is_changing);
    if !shows_earlier_orders(leader, sent_at) {
        return;
    }
    if leader.taken_over_at.is_some() {
        let mut scheduler = leader.scheduler.borrow_mut();
        scheduler.forget_unhosted_minions(&listed);
    }
    let vms = mark_previously_ordered(leader, &listed, now);
    let orders = {
        let mut scheduler = leader.scheduler.borrow_mut();
        let mut planners = planners.borrow_mut();
        let Planners {
            maintenance,
            moves,
            pending_shutdowns,
            order_budget,
            ..
        } = &mut *planners;
        pending_shutdowns.resolve(&mut scheduler, &listed, sent_at);
        scheduler.end_runs_of_unhosted_minions(&listed, sent_at);
        scheduler.mark_awaiting_maintenance(&vms, &maintenance.awaiting_vms());
        let mut orders = maintenance.decide(&mut scheduler, &vms, sent_at, now);
        let under_maintenance = |vm: &Vm| maintenance.is_in_progress(&vm.name);
        order_budget.record_sent(orders.len(), now);
        let room = leader.ordered_vms.borrow().room();
        let room = room.saturating_sub(orders.len());
        let room = room.min(order_budget.available(now));
        let move_orders = moves.decide(&mut scheduler, &vms, under_maintenance, room, sent_at, now);
        order_budget.record_sent(move_orders.len(), now);
        orders.extend(move_orders);
        *leader.move_outlook.borrow_mut() = Some(moves.outlook().clone());
        scheduler.update_cordons(&vms, |vm| {
            let cordon = maintenance.cordon(&vm.name);
            cordon.max(moves.cordon(&vm.name))
        });
        orders
    };
    for order in orders {
        let vm = vms.iter().find(|vm| vm.name == order.vm).cloned();
        let leader = leader.clone();
        let planners = planners.clone();
        tokio::task::spawn_local(async move {
            let reply = send_order(&leader, address, &order).await;
            log_order(&leader, &order, reply);
            let now = leader.node.clock.now();
            if let (VmReply::Done, Some(vm)) = (reply, vm) {
                let mut scheduler = leader.scheduler.borrow_mut();
                let mut planners = planners.borrow_mut();
                planners.pending_shutdowns.add(&mut scheduler, vm, now);
            }
            match order.operation {
                VmOperation::Maintenance { wave } => {
                    let mut planners = planners.borrow_mut();
                    planners.maintenance.replied(&order.vm, wave, reply, now);
                }
                VmOperation::Move { .. } => planners.borrow_mut().moves.replied(&order.vm, reply),
            }
            store_progress(&leader, &mut planners.borrow_mut().maintenance);
        });
    }
    store_progress(leader, &mut planners.borrow_mut().maintenance);
    leader.wake.notify_one();
}

fn is_changing(vm: &Vm) -> bool {
    matches!(vm.state, VmState::Moving | VmState::Maintenance)
}

fn log_order<C: Clock>(leader: &Leader<C>, order: &VmOrder, reply: VmReply) {
    let work = match &order.operation {
        VmOperation::Maintenance { wave } => format!("maintenance in wave {wave}"),
        VmOperation::Move { pool } => format!("move to {pool}"),
    };
    let reply = match reply {
        VmReply::Done => "done",
        VmReply::Fenced => "fenced",
        VmReply::Busy => "busy",
        VmReply::NotInWave => "not in the wave",
        VmReply::Invalid => "invalid",
        VmReply::NotCarriedOut => "nothing done",
        VmReply::Unknown => "no answer",
    };
    let fence = leader.row.borrow().fence;
    events::record(
        &events::VM_ORDER_OUTCOME,
        &[&order.vm, &work, &reply, &fence],
    );
}

/// Returns whether a list of VMs that was requested at `asked_at` shows every order of the previous
/// term, whenever the list arrives.
fn shows_earlier_orders<C: Clock>(leader: &Leader<C>, asked_at: Duration) -> bool {
    let taken_over_at = leader.taken_over_at;
    taken_over_at.is_none_or(|at| asked_at >= at + ORDER_VISIBILITY_DELAY)
}

/// Returns the time after an order during which another term leaves its VM alone.
pub(super) fn order_window(vm_lease: Duration) -> Duration {
    vm_lease + ORDER_VISIBILITY_DELAY
}

/// Marks as moving each VM for which the previous term may have sent a recent order, and returns
/// the list, which must show every order of that term.
fn mark_previously_ordered<C: Clock>(leader: &Leader<C>, vms: &[Vm], now: Duration) -> Vec<Vm> {
    let Some(taken_over_at) = leader.taken_over_at else {
        return vms.to_vec();
    };
    let window = order_window(leader.node.settings.bounds.vm_lease);
    let is_reserved = |vm: &Vm| match &leader.previously_ordered_vms {
        Some(ordered) => ordered.get(&vm.name).is_some_and(|until| now < *until),
        None => now < taken_over_at + window,
    };
    let marked = vms.iter().map(|vm| Vm {
        state: if is_reserved(vm) {
            VmState::Moving
        } else {
            vm.state
        },
        ..vm.clone()
    });
    marked.collect()
}

/// Queues changes of the waves' progress to be stored.
fn store_progress<C: Clock>(leader: &Leader<C>, maintenance: &mut MaintenancePlanner) {
    let mut pending = leader.pending_waves.borrow_mut();
    for progress in maintenance.take_changes() {
        wave_rows::enqueue(&mut pending, progress);
    }
    if !pending.is_empty() {
        leader.store_wake.notify_one();
    }
}
