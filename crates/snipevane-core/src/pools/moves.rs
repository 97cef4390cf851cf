//! Planner for moves of VMs between pools according to their load.

use std::time::Duration;

use slotmap::SecondaryMap;

use super::UnixMs;
use crate::ids::PoolKey;

/// Settings of [`MovePlanner`].
#[derive(Clone, Copy, Debug)]
pub struct MoveSettings {
    /// Usual time to drain a VM.
    pub drain_time: Duration,
    /// Usual time to reboot a VM.
    pub reboot_time: Duration,
    /// Expected wait above which a move is worthwhile, as a multiple of drain plus reboot time.
    pub payback_factor: f64,
    /// Time constant of the mean demand that shows whether a pool is short of VMs. It spans several
    /// intervals between bursts.
    pub short_time_constant: Duration,
    /// Time constant of the mean demand that shows whether a pool can give up VMs.
    pub long_time_constant: Duration,
    /// Time for which a pool must be short of VMs without interruption before it receives any.
    pub min_shortage_duration: Duration,
    /// Time after receiving VMs in which a pool gives none (the spare pool may), after giving VMs
    /// in which it gets none for a shortage, and of idleness before it returns VMs.
    pub cooldown: Duration,
    /// Utilization, as a fraction of capacity, above which a pool is short of VMs.
    pub shortage_threshold: f64,
    /// Utilization, as a fraction of capacity, below which a pool must stay after giving a VM.
    pub donor_threshold: f64,
    /// Utilization, as a fraction of capacity, below which a pool returns VMs that it received.
    pub idle_threshold: f64,
}

impl Default for MoveSettings {
    fn default() -> Self {
        Self {
            drain_time: Duration::from_secs(60),
            reboot_time: Duration::from_secs(180),
            payback_factor: 2.0,
            short_time_constant: Duration::from_secs(100),
            long_time_constant: Duration::from_secs(300),
            min_shortage_duration: Duration::from_secs(120),
            cooldown: Duration::from_secs(1800),
            shortage_threshold: 0.9,
            donor_threshold: 0.6,
            idle_threshold: 0.4,
        }
    }
}

impl MoveSettings {
    /// Returns the expected wait, in seconds, above which a move is worthwhile.
    fn min_wait_secs(&self) -> f64 {
        self.payback_factor * (self.drain_time + self.reboot_time).as_secs_f64()
    }
}

/// Capacity and load of a pool, in VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLoad {
    /// Pool that the load describes.
    pub pool: PoolKey,
    /// VMs that take new work.
    pub serving: u32,
    /// VMs that are being moved into the pool, counted from the decision on their move.
    pub arriving: u32,
    /// Smallest number of VMs that the pool keeps.
    pub min_vms: u32,
    /// VMs that the manifest assigns to the pool.
    pub configured_vms: u32,
    /// Whether this is the spare pool, which holds VMs for the others.
    pub spare: bool,
    /// Arriving work, as the number of VMs that it keeps busy.
    pub demand: f64,
    /// Queued work, in VM-seconds.
    pub backlog: f64,
}

/// A move of VMs between pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// Pool that gives the VMs.
    pub from: PoolKey,
    /// Pool that receives the VMs.
    pub to: PoolKey,
    /// Number of VMs to move.
    pub vms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Trend {
    load: PoolLoad,
    short_mean: f64,
    long_mean: f64,
    updated_at: UnixMs,
    shortage_since: Option<UnixMs>,
    idle_since: Option<UnixMs>,
    received_at: Option<UnixMs>,
    gave_at: Option<UnixMs>,
}

/// Decides on moves of VMs between pools from the pools' loads.
///
/// A pool is short of VMs if its mean demand is close to its capacity, if work is waiting all the
/// time, which bursts alone don't cause, and if the expected wait exceeds a multiple of the time
/// for drain and reboot. It receives the VMs that the mean demand needs, plus those that finish the
/// backlog within that multiple.
#[derive(Clone, Debug, Default)]
pub struct MovePlanner {
    settings: MoveSettings,
    trends: SecondaryMap<PoolKey, Trend>,
}

impl MovePlanner {
    /// Creates a planner without any pool; pools are added with their first load.
    pub fn new(settings: MoveSettings) -> Self {
        Self {
            settings,
            trends: SecondaryMap::new(),
        }
    }

    /// Updates the loads of all pools and returns the moves that are worthwhile now.
    pub fn decide(&mut self, loads: &[PoolLoad], now: UnixMs) -> Vec<Move> {
        for load in loads {
            self.observe(*load, now);
        }
        self.trends
            .retain(|pool, _| loads.iter().any(|load| load.pool == pool));
        let mut moves = self.restore_min_vms(now);
        moves.extend(self.supply_short_pools(now));
        moves.extend(self.return_extra_vms(now));
        moves
    }

    fn observe(&mut self, load: PoolLoad, now: UnixMs) {
        let settings = self.settings;
        let Some(trend) = self.trends.get_mut(load.pool) else {
            let trend = Trend::new(load, now);
            self.trends.insert(load.pool, trend);
            return;
        };
        let elapsed = now.since(trend.updated_at);
        trend.short_mean = update_mean(
            trend.short_mean,
            load.demand,
            elapsed,
            settings.short_time_constant,
        );
        trend.long_mean = update_mean(
            trend.long_mean,
            load.demand,
            elapsed,
            settings.long_time_constant,
        );
        trend.load = load;
        trend.updated_at = now;
        let has_shortage = trend.has_shortage(&settings);
        trend.shortage_since = has_shortage.then(|| trend.shortage_since.unwrap_or(now));
        let idle = trend.is_idle(&settings);
        trend.idle_since = idle.then(|| trend.idle_since.unwrap_or(now));
    }

    /// Moves VMs from the spare pool to pools that have fallen below their minimum size.
    fn restore_min_vms(&mut self, now: UnixMs) -> Vec<Move> {
        let wanted = self.trends.iter().filter_map(|(pool, trend)| {
            let load = trend.load;
            let missing = load.min_vms.saturating_sub(load.serving + load.arriving);
            (missing > 0 && !load.spare).then_some((pool, missing))
        });
        let wanted: Vec<(PoolKey, u32)> = wanted.collect();
        let mut moves = Vec::new();
        for (to, missing) in wanted {
            if let Some(from) = self.spare_with_vms() {
                let available = self.trends[from].load.serving;
                moves.push(self.record_move(from, to, missing.min(available), now));
            }
        }
        moves
    }

    fn supply_short_pools(&mut self, now: UnixMs) -> Vec<Move> {
        let settings = self.settings;
        let mut pools_in_shortage: Vec<(f64, PoolKey, u32)> = Vec::new();
        for (pool, trend) in &self.trends {
            let long_enough = trend
                .shortage_since
                .is_some_and(|since| now.since(since) >= settings.min_shortage_duration);
            let cooling = trend.in_cooldown(trend.gave_at, &settings, now);
            if long_enough && !cooling && trend.load.arriving == 0 {
                pools_in_shortage.push((trend.utilization(), pool, trend.missing(&settings)));
            }
        }
        pools_in_shortage.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut moves = Vec::new();
        for (_, to, missing) in pools_in_shortage {
            let mut left = missing;
            while left > 0 {
                let Some((from, available)) = self.donor(to, now) else {
                    break;
                };
                let vms = left.min(available);
                moves.push(self.record_move(from, to, vms, now));
                left -= vms;
            }
        }
        moves
    }

    /// Moves the VMs of an idle pool above its configured size and its minimum back to the spare
    /// pool.
    fn return_extra_vms(&mut self, now: UnixMs) -> Vec<Move> {
        let settings = self.settings;
        let Some(spare) = self.spare() else {
            return Vec::new();
        };
        let idle = self.trends.iter().filter_map(|(pool, trend)| {
            let load = trend.load;
            let extra = load
                .serving
                .saturating_sub(load.configured_vms.max(load.min_vms));
            let long_enough = trend
                .idle_since
                .is_some_and(|since| now.since(since) >= settings.cooldown);
            let cooling = trend.in_cooldown(trend.received_at, &settings, now);
            (extra > 0 && long_enough && !cooling && !load.spare).then_some((pool, extra))
        });
        let idle: Vec<(PoolKey, u32)> = idle.collect();
        idle.into_iter()
            .map(|(pool, extra)| self.record_move(pool, spare, extra, now))
            .collect()
    }

    /// Selects a pool that can give VMs and how many it can give. The spare pool comes first.
    fn donor(&self, to: PoolKey, now: UnixMs) -> Option<(PoolKey, u32)> {
        if let Some(spare) = self.spare_with_vms() {
            return Some((spare, self.trends[spare].load.serving));
        }
        let settings = &self.settings;
        let mut best: Option<(f64, PoolKey)> = None;
        for (pool, trend) in &self.trends {
            let load = trend.load;
            if pool == to || load.spare || load.serving <= load.min_vms.max(1) {
                continue;
            }
            if trend.in_cooldown(trend.received_at, settings, now) {
                continue;
            }
            let after = trend.long_mean / f64::from(load.serving - 1);
            let better = best.is_none_or(|(lowest, _)| after < lowest);
            if after < settings.donor_threshold && better {
                best = Some((after, pool));
            }
        }
        best.map(|(_, pool)| (pool, 1))
    }

    fn spare(&self) -> Option<PoolKey> {
        let mut spares = self.trends.iter().filter(|(_, trend)| trend.load.spare);
        spares.next().map(|(pool, _)| pool)
    }

    fn spare_with_vms(&self) -> Option<PoolKey> {
        self.spare()
            .filter(|&pool| self.trends[pool].load.serving > self.trends[pool].load.min_vms)
    }

    /// Records a move, so that later decisions of the same round take it into account.
    fn record_move(&mut self, from: PoolKey, to: PoolKey, vms: u32, now: UnixMs) -> Move {
        if let Some(trend) = self.trends.get_mut(from) {
            trend.load.serving = trend.load.serving.saturating_sub(vms);
            trend.gave_at = Some(now);
        }
        if let Some(trend) = self.trends.get_mut(to) {
            trend.load.arriving += vms;
            trend.received_at = Some(now);
            trend.shortage_since = None;
        }
        Move { from, to, vms }
    }
}

impl Trend {
    fn new(load: PoolLoad, now: UnixMs) -> Self {
        Self {
            load,
            short_mean: load.demand,
            long_mean: load.demand,
            updated_at: now,
            shortage_since: None,
            idle_since: None,
            received_at: None,
            gave_at: None,
        }
    }

    fn utilization(&self) -> f64 {
        self.short_mean / f64::from(self.load.serving.max(1))
    }

    /// Returns whether the pool is short of VMs, so that the expected wait makes a move worthwhile.
    fn has_shortage(&self, settings: &MoveSettings) -> bool {
        let capacity = f64::from(self.load.serving + self.load.arriving);
        let threshold = capacity * settings.shortage_threshold;
        let waits = self.load.backlog > 0.0 || self.load.demand > threshold;
        if self.load.spare || self.short_mean <= threshold || !waits {
            return false;
        }
        if self.short_mean >= capacity {
            return true;
        }
        self.load.backlog / (capacity - self.short_mean) > settings.min_wait_secs()
    }

    fn is_idle(&self, settings: &MoveSettings) -> bool {
        self.long_mean < f64::from(self.load.serving) * settings.idle_threshold
    }

    /// Returns how many VMs the pool lacks for its mean demand and its backlog, at least one.
    fn missing(&self, settings: &MoveSettings) -> u32 {
        let for_demand = self.short_mean / settings.shortage_threshold;
        let for_backlog = self.load.backlog / settings.min_wait_secs();
        let wanted = (for_demand + for_backlog).ceil();
        let mut missing = 0;
        while f64::from(self.load.serving + self.load.arriving + missing) < wanted {
            missing += 1;
        }
        missing.max(1)
    }

    fn in_cooldown(&self, event: Option<UnixMs>, settings: &MoveSettings, now: UnixMs) -> bool {
        event.is_some_and(|at| now.since(at) < settings.cooldown)
    }
}

fn update_mean(mean: f64, sample: f64, elapsed: Duration, time_constant: Duration) -> f64 {
    let old_weight = (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp();
    mean * old_weight + sample * (1.0 - old_weight)
}
