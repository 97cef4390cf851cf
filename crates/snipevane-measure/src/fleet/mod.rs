//! Runs of the fleet policy: pools, waves, shares and tasks beside a naive version.

mod demand;
mod faults;
mod max_min;
mod naive_pools;
mod naive_tasks;
mod output;
mod picture;
mod pool_policy;
mod pool_run;
mod report;
mod setting;
mod share_meter;
mod task_policy;
mod task_run;
mod workload;

pub use output::Output;
pub use report::{Report, Row};
pub use setting::Setting;

use std::io::{self, Write};

use naive_pools::NaivePools;
use naive_tasks::NaivePolicy;
use pool_policy::CorePools;
use pool_run::PoolRun;
use share_meter::ShareMeter;
use task_policy::CorePolicy;
use task_run::TaskRun;

use crate::MeasureError;

/// Runs the policy and its naive version on the same demand and faults and prints both.
///
/// # Errors
///
/// Returns an error if the output can't be written.
pub fn run(setting: Setting, output: &Output) -> Result<(), MeasureError> {
    let measured = measure_shares(setting, output.seed);
    if let Some(file) = &output.svg {
        picture::draw(file, &measured.policy, &measured.naive)?;
    }
    if output.json {
        writeln!(
            io::stdout(),
            "{}",
            serde_json::to_string_pretty(&measured.report)?
        )?;
    } else {
        write!(io::stdout(), "{}", measured.report)?;
    }
    Ok(())
}

/// Runs the policy and its naive version on the same demand and faults.
pub fn measure(setting: Setting, seed: u64) -> Report {
    measure_shares(setting, seed).report
}

struct Measured {
    report: Report,
    policy: ShareMeter,
    naive: ShareMeter,
}

fn measure_shares(setting: Setting, seed: u64) -> Measured {
    let size = setting.size();
    let pools = PoolRun::new(CorePools::new(size), size, seed).run();
    let naive_pools = PoolRun::new(NaivePools::new(size), size, seed).run();
    let weights = workload::weights(size.teams);
    let policy = CorePolicy::new(&weights, size.workers, size.worker);
    let tasks = TaskRun::new(policy, size, seed).run();
    let naive = NaivePolicy::new(&weights, size.workers, size.worker);
    let naive_tasks = TaskRun::new(naive, size, seed).run();
    let report = Report::new(
        size.name,
        seed,
        [&pools, &naive_pools],
        [&tasks, &naive_tasks],
    );
    Measured {
        report,
        policy: tasks.shares,
        naive: naive_tasks.shares,
    }
}
