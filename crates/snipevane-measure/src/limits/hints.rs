//! Hints: the numbers of free units that entry VMs publish to each other.

use snipevane_core::ids::TeamKey;
use snipevane_core::limits::TeamLimiter;

/// Units that an observer took from a peer since the peer's last publication.
#[derive(Clone, Copy, Default)]
struct Correction {
    publication: u32,
    taken: u32,
}

/// Free units of each entry VM and team, as last published.
pub(super) struct Hints {
    teams: usize,
    /// Published free units, by VM and team.
    published: Vec<Vec<u32>>,
    /// Free units that are published next, by VM and team.
    next: Vec<Vec<u32>>,
    /// Number of publications of each VM.
    publications: Vec<u32>,
    /// Corrections by observer, then by VM and team.
    corrections: Vec<Vec<Correction>>,
}

impl Hints {
    pub(super) fn new(vms: usize, teams: usize) -> Self {
        Self {
            teams,
            published: vec![vec![0; teams]; vms],
            next: vec![vec![0; teams]; vms],
            publications: vec![1; vms],
            corrections: vec![vec![Correction::default(); vms * teams]; vms],
        }
    }

    /// Publishes the free units that the VM had one publication period ago.
    pub(super) fn publish(&mut self, vm: usize, limits: &TeamLimiter, teams: &[TeamKey]) {
        let now = teams.iter().map(|&team| limits.free(team)).collect();
        self.published[vm] = std::mem::replace(&mut self.next[vm], now);
        self.publications[vm] += 1;
    }

    /// Returns the number of free units that `observer` expects at `vm`.
    pub(super) fn free(&self, observer: usize, vm: usize, team: usize) -> u32 {
        let correction = self.corrections[observer][vm * self.teams + team];
        let taken = if correction.publication == self.publications[vm] {
            correction.taken
        } else {
            0
        };
        self.published[vm][team].saturating_sub(taken)
    }

    /// Records that `observer` took units of `vm`, or `u32::MAX` if `vm` declined.
    pub(super) fn record_taken(&mut self, observer: usize, vm: usize, team: usize, taken: u32) {
        let correction = &mut self.corrections[observer][vm * self.teams + team];
        if correction.publication != self.publications[vm] {
            *correction = Correction {
                publication: self.publications[vm],
                taken: 0,
            };
        }
        correction.taken = correction.taken.saturating_add(taken);
    }
}
