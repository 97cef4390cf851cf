//! Change feeds of the leader: reads jobs and minions from the store and follows their changes.

use std::rc::Rc;
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;
use snipevane_adapter::minion;
use snipevane_adapter::rows::Row;
use snipevane_core::jobs::{JobId, Progress};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::events;
use crate::job_rows::{self, ReadJob};
use crate::progress_rows;
use crate::rows::{self, CancelRow, JOBS_TABLE, JobsTableKey, PROGRESS_TABLE};
use crate::store::{Purpose, StoreError};

use super::leader::Leader;

/// Time that a long poll for changes waits.
const FEED_WAIT: Duration = Duration::from_millis(2_500);

/// Delay between polls for jobs, during which changes accumulate. It doesn't affect most jobs, as
/// the entry VM that accepts a job usually sends it to the scheduler directly.
const JOB_BATCH_DELAY: Duration = Duration::from_millis(200);

/// Delay between polls for minions, during which changes accumulate.
const MINION_BATCH_DELAY: Duration = Duration::from_millis(100);

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Reads all jobs that haven't ended, then follows new jobs and cancellations.
pub(super) async fn follow_jobs<C: Clock>(leader: Rc<Leader<C>>) {
    let mut first = true;
    loop {
        match read_jobs(&leader, first).await {
            Ok(version) => {
                first = false;
                leader.jobs_loaded.set(true);
                leader.wake.notify_one();
                follow_job_changes(&leader, version).await;
            }
            Err(error) => log::warn!("can't read the jobs, retrying: {error}"),
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Reads all jobs; returns the version up to which the table was read.
///
/// If `first` is set, an earlier term may have started tasks of the jobs, so that the progress it
/// stored is read too.
async fn read_jobs<C: Clock>(leader: &Leader<C>, first: bool) -> Result<u64, StoreError> {
    let adopted = first && leader.row.borrow().fence > 1;
    let inbox = leader
        .node
        .store
        .read(Purpose::SchedulerRead, JOBS_TABLE, "", "")
        .await?;
    let progress = if adopted {
        read_progress(leader).await?
    } else {
        FxHashMap::default()
    };
    for (id, progress) in progress
        .iter()
        .filter(|(_, progress)| progress.state.is_final())
    {
        let mut scheduler = leader.scheduler.borrow_mut();
        if progress.tombstone {
            scheduler.add_tombstone(*id, progress.ended_unix_ms);
        } else {
            scheduler.add_ended_job(*id, progress.state, progress.ended_unix_ms);
        }
    }
    add_jobs(leader, &inbox.rows, &progress, adopted);
    for row in &inbox.rows {
        apply_cancel_row(leader, row);
    }
    if adopted {
        let fence = leader.row.borrow().fence;
        events::record(&events::JOBS_ADOPTED, &[&fence, &inbox.rows.len()]);
    }
    Ok(inbox.version)
}

async fn read_progress<C: Clock>(
    leader: &Leader<C>,
) -> Result<FxHashMap<JobId, Progress>, StoreError> {
    let page = leader
        .node
        .store
        .read(Purpose::SchedulerRead, PROGRESS_TABLE, "", "")
        .await?;
    Ok(progress_rows::decode_all(&page.rows))
}

async fn follow_job_changes<C: Clock>(leader: &Leader<C>, mut version: u64) {
    loop {
        match leader
            .node
            .store
            .changes(Purpose::SchedulerRead, JOBS_TABLE, version, FEED_WAIT)
            .await
        {
            Ok(page) => {
                if let Err(error) = apply_job_changes(leader, &page.rows).await {
                    log::debug!("can't read a job of several rows, retrying: {error}");
                    sleep(RETRY_DELAY).await;
                    continue;
                }
                version = version.max(page.version);
                leader.wake.notify_one();
                sleep(JOB_BATCH_DELAY).await;
            }
            Err(StoreError::HistoryGone) => return,
            Err(error) => {
                log::debug!("can't read changes of jobs, retrying: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Applies new jobs and cancellations.
///
/// # Errors
///
/// Returns an error if the rest of a job of several rows can't be read.
async fn apply_job_changes<C: Clock>(leader: &Leader<C>, rows: &[Row]) -> Result<(), StoreError> {
    for id in add_jobs(leader, rows, &FxHashMap::default(), false) {
        add_incomplete_job(leader, id).await?;
    }
    for row in rows {
        apply_cancel_row(leader, row);
    }
    Ok(())
}

/// Adds the jobs among rows to the scheduler; returns those of which rows are missing.
fn add_jobs<C: Clock>(
    leader: &Leader<C>,
    rows: &[Row],
    progress: &FxHashMap<JobId, Progress>,
    adopted: bool,
) -> Vec<JobId> {
    let now = leader.node.clock.now();
    let unix_ms = leader.node.clock.unix_ms();
    let mut incomplete = Vec::new();
    for (id, read) in job_rows::decode_all(rows) {
        match read {
            ReadJob::Whole(spec, chunks) => {
                leader.record_chunks(id, chunks);
                let mut scheduler = leader.scheduler.borrow_mut();
                scheduler.add_job(id, *spec, progress.get(&id), adopted, now, unix_ms);
            }
            ReadJob::Incomplete => incomplete.push(id),
        }
    }
    incomplete
}

/// Reads all rows of a job, of which a page of changes had only some, and adds it.
///
/// # Errors
///
/// Returns an error if the store doesn't answer.
async fn add_incomplete_job<C: Clock>(leader: &Leader<C>, id: JobId) -> Result<(), StoreError> {
    let (from, to) = job_rows::key_range(id);
    let page = leader
        .node
        .store
        .read(Purpose::SchedulerRead, JOBS_TABLE, &from, &to)
        .await?;
    add_jobs(leader, &page.rows, &FxHashMap::default(), false);
    Ok(())
}

fn apply_cancel_row<C: Clock>(leader: &Leader<C>, row: &Row) {
    let (Some(JobsTableKey::Cancel(id)), Some(value)) = (JobsTableKey::parse(&row.key), &row.value)
    else {
        return;
    };
    // Earlier versions write rows without content.
    let request: Option<CancelRow> = rows::decode::<Option<CancelRow>>(&row.key, value).flatten();
    let tombstone_unix_ms = request.unwrap_or_default().tombstone_unix_ms;
    let mut scheduler = leader.scheduler.borrow_mut();
    if tombstone_unix_ms > 0 {
        scheduler.add_tombstone(id, tombstone_unix_ms);
    } else {
        scheduler.cancel_job(id, leader.node.clock.unix_ms());
    }
}

/// Reads the list of minions, then follows its changes.
pub(super) async fn follow_minions<C: Clock>(leader: Rc<Leader<C>>) {
    loop {
        match read_minions(&leader).await {
            Ok(version) => follow_minion_changes(&leader, version).await,
            Err(error) => log::warn!("can't read the list of minions, retrying: {error}"),
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn read_minions<C: Clock>(leader: &Leader<C>) -> Result<u64, StoreError> {
    let page = leader
        .node
        .store
        .read(Purpose::SchedulerRead, minion::TABLE, "", "")
        .await?;
    let listed: FxHashSet<SmolStr> = page.rows.iter().map(|row| row.key.clone()).collect();
    for row in &page.rows {
        apply_minion_row(leader, row);
    }
    let mut scheduler = leader.scheduler.borrow_mut();
    scheduler.retain_minions(&listed);
    scheduler.confirm_minions(leader.node.clock.now());
    drop(scheduler);
    leader.wake.notify_one();
    Ok(page.version)
}

async fn follow_minion_changes<C: Clock>(leader: &Leader<C>, mut version: u64) {
    loop {
        match leader
            .node
            .store
            .changes(Purpose::SchedulerRead, minion::TABLE, version, FEED_WAIT)
            .await
        {
            Ok(page) => {
                for row in &page.rows {
                    apply_minion_row(leader, row);
                }
                let now = leader.node.clock.now();
                leader.scheduler.borrow_mut().confirm_minions(now);
                version = version.max(page.version);
                leader.wake.notify_one();
                sleep(MINION_BATCH_DELAY).await;
            }
            Err(StoreError::HistoryGone) => return,
            Err(error) => {
                log::debug!("can't read changes of minions, retrying: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn apply_minion_row<C: Clock>(leader: &Leader<C>, row: &Row) {
    let mut scheduler = leader.scheduler.borrow_mut();
    let Some(value) = &row.value else {
        scheduler.unlist_minion(&row.key);
        return;
    };
    match minion::decode_entry(&row.key, value) {
        Ok(entry) => scheduler.upsert_minion(entry, leader.node.clock.now()),
        Err(error) => {
            events::record(&events::ROW_UNREADABLE, &[&minion::TABLE, &row.key, &error]);
            scheduler.unlist_minion(&row.key);
        }
    }
}
