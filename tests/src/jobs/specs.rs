//! Specifications of jobs, minions and sites for the tests.

use smol_str::{SmolStr, format_smolstr};
use snipevane_core::jobs::{JobSpec, MinionEntry, Pool, Queue, Site, SiteSpec, StepSpec, Team};
use snipevane_core::placement::Resources;

/// Name of the team that submits jobs unless a test names another.
pub const TEAM: &str = "team";

/// Returns a site configuration with pools `p0`, `p1` and so on, a queue for each, and a standby
/// pool. `quota_cpu_millis` is the team's CPU quota in thousandths of a core; 0 means no limit.
pub fn site(pools: usize, quota_cpu_millis: u64) -> Site {
    Site::new(site_spec(pools, quota_cpu_millis))
}

/// Returns the configuration of [`site`] before its indexes are built.
pub fn site_spec(pools: usize, quota_cpu_millis: u64) -> SiteSpec {
    let names = (0..pools).map(|number| format_smolstr!("p{number}"));
    let queues = names.clone().map(|pool| Queue {
        name: format_smolstr!("q-{pool}"),
        host: "jobs.example".into(),
        path_prefix: format_smolstr!("/{pool}/"),
        pool,
        max_attempts: 3,
        slack_factor: 1.6,
        target_latency_ms: 600,
        ..Queue::default()
    });
    let standby = Pool {
        name: "standby".into(),
        standby: true,
        ..Pool::default()
    };
    let pools = names.map(|name| Pool {
        name,
        enforces_capacity: true,
        standby: false,
    });
    let quota = Resources {
        cpu_millis: quota_cpu_millis,
        ..Resources::default()
    };
    SiteSpec {
        version: 1,
        queues: queues.collect(),
        pools: pools.chain([standby]).collect(),
        teams: vec![Team {
            name: TEAM.into(),
            keys: vec!["key".into()],
            share_per_s: 0.0,
            quota,
        }],
        max_body_bytes: 1 << 18,
        max_header_bytes: 1 << 14,
    }
}

/// Returns the entry of a minion with 16 cores; each rack has four minions.
pub fn entry(number: usize, pool: &str) -> MinionEntry {
    let rack = format_smolstr!("r{}", number / 4);
    MinionEntry {
        id: format_smolstr!("i-{number}"),
        pool: pool.into(),
        address: format_smolstr!("10.0.0.{number}:80"),
        zone: "zone".into(),
        labels: vec![rack.clone()],
        rack,
        capacity: Resources {
            cpu_millis: 16_000,
            memory_mib: 32_768,
            accelerators: 0,
        },
        ..MinionEntry::default()
    }
}

/// Returns a step of tasks with an estimated run time in milliseconds.
pub fn step(tasks: u32, cpu_millis: u64, estimate_ms: u64, after: &[u32]) -> StepSpec {
    StepSpec {
        tasks,
        cpu_millis,
        memory_mib: 100,
        estimate_ms,
        after: after.to_vec(),
        ..StepSpec::default()
    }
}

/// Returns a step of long-running tasks, each on a minion of its own.
pub fn long_running_step(tasks: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        max_per_minion: Some(1),
        max_unavailable: Some(1),
        ..step(tasks, 1_000, 1_000, &[])
    }
}

/// Returns a job that runs in a pool.
pub fn job(pool: &str, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        queue: format_smolstr!("q-{pool}"),
        pool: pool.into(),
        team: Some(SmolStr::new_static(TEAM)),
        payload: "payload".to_owned(),
        steps,
        accepted_unix_ms: 0,
        schedule: None,
        terms: None,
    }
}
