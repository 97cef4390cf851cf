//! Admission by memory: what the held jobs take, and which new ones are accepted beside them.
//!
//! A large job needs more room than it takes, so that those that are refused first are the large ones, and a team by
//! itself gets half of the memory.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use crate::jobs::model::spec::JobSpec;

/// Fraction of the VM's memory that jobs may take, as a divisor. Half of the memory is for all of the process, which takes
/// up to twice the sum: it reads all rows at a takeover, and memory that is given back stays in fragments.
const MEMORY_DIVISOR: usize = 5;

/// Fraction of the jobs' memory that a team by itself may take, as a divisor.
const TEAM_DIVISOR: usize = 2;

/// Room that must be left beside a job, as a multiple of its own size, and as a divisor of the limit, of which the
/// smaller one counts.
const ROOM_FACTOR: usize = 15;
const ROOM_DIVISOR: usize = 4;

/// Time for which a sum of what is held is used again, with what was accepted since.
const SUM_MAX_AGE: Duration = Duration::from_millis(100);

/// Memory of a job beside its specification, in bytes, as it is accepted.
const JOB_BYTES: usize = 2_000;

/// Memory that jobs take, in bytes, about.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldBytes {
    /// All jobs.
    pub all: usize,
    /// The jobs of each team.
    pub by_team: FxHashMap<Option<SmolStr>, usize>,
}

impl HeldBytes {
    /// Adds the memory of a job of a team.
    pub fn add(&mut self, team: Option<&SmolStr>, bytes: usize) {
        self.all += bytes;
        *self.by_team.entry(team.cloned()).or_default() += bytes;
    }
}

/// Reason for which a job isn't accepted: too little memory is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoMemory {
    /// Memory that the job would take, in bytes.
    pub bytes: usize,
    /// Memory that the jobs of its team take if these are at their limit, or that all jobs take, in bytes.
    pub held_bytes: usize,
    /// Memory that those may take, in bytes.
    pub max_bytes: usize,
}

/// Memory of one VM for jobs, with what they take as last summed up.
#[derive(Clone, Debug)]
pub struct JobMemory {
    max_bytes: usize,
    held: HeldBytes,
    summed_at: Option<Duration>,
}

impl JobMemory {
    /// Creates the limit of a VM with this memory, in bytes.
    pub fn new(memory_bytes: usize) -> Self {
        Self {
            max_bytes: memory_bytes / MEMORY_DIVISOR,
            held: HeldBytes::default(),
            summed_at: None,
        }
    }

    /// Returns the memory that jobs may take, in bytes.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Reserves memory for a new job, given how to sum up what is held.
    ///
    /// # Errors
    ///
    /// Returns an error if all jobs, or those of its team, leave too little.
    pub fn reserve(
        &mut self,
        spec: &JobSpec,
        sum: impl FnOnce() -> HeldBytes,
        now: Duration,
    ) -> Result<(), NoMemory> {
        let is_current = self.summed_at.is_some_and(|at| now < at + SUM_MAX_AGE);
        if !is_current {
            self.held = sum();
            self.summed_at = Some(now);
        }
        let bytes = spec.held_bytes() + spec.payload.len() + JOB_BYTES;
        let of_team = self.held.by_team.get(&spec.team).copied().unwrap_or(0);
        check(bytes, of_team, self.max_bytes / TEAM_DIVISOR)?;
        check(bytes, self.held.all, self.max_bytes)?;
        self.held.add(spec.team.as_ref(), bytes);
        Ok(())
    }
}

/// Checks that a job has room beside those that are held.
fn check(bytes: usize, held_bytes: usize, max_bytes: usize) -> Result<(), NoMemory> {
    let room = (bytes * ROOM_FACTOR).min(max_bytes / ROOM_DIVISOR);
    if held_bytes + bytes + room <= max_bytes {
        return Ok(());
    }
    Err(NoMemory {
        bytes,
        held_bytes,
        max_bytes,
    })
}
