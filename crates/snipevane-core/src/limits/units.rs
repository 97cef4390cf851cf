//! Limiter that counts the units of the teams' limits in use at one entry VM.

use rustc_hash::FxHashMap;
use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;

use crate::ids::TeamKey;

new_key_type! {
    struct UsageKey;
}

/// One unit of a team's limit, held while a request or task may run.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a unit that isn't released stays in use"]
pub struct Unit(UsageKey);

#[derive(Debug, Default)]
struct TeamUsage {
    /// Name of the team, if known; the usage outlives the team's key while units are in use.
    name: Option<SmolStr>,
    allowance: u32,
    in_use: u32,
    /// Number of team keys that are linked to this usage.
    key_count: u32,
}

impl TeamUsage {
    fn is_unused(&self) -> bool {
        self.key_count == 0 && self.in_use == 0
    }
}

/// Limits the units of each team in use at one entry VM to the team's allowance.
#[derive(Debug, Default)]
pub struct TeamLimiter {
    usages: SlotMap<UsageKey, TeamUsage>,
    teams: FxHashMap<TeamKey, UsageKey>,
}

impl TeamLimiter {
    /// Adds a team under its key and name.
    ///
    /// A team that is removed and added again has a new key. Units that are still in use under its
    /// former key are found by the name and count against the new key.
    pub fn add_team(&mut self, team: TeamKey, name: &SmolStr) {
        if self.teams.contains_key(&team) {
            return;
        }
        let by_name = |(_, usage): &(UsageKey, &TeamUsage)| usage.name.as_ref() == Some(name);
        let usage = match self.usages.iter().find(by_name) {
            Some((usage, _)) => usage,
            None => self.usages.insert(TeamUsage {
                name: Some(name.clone()),
                ..TeamUsage::default()
            }),
        };
        self.link_team(team, usage);
    }

    /// Sets the units that a team may use at this entry VM.
    ///
    /// Units in use above a lowered allowance stay in use; no new unit is granted until fewer units
    /// than the allowance are in use.
    pub fn set_allowance(&mut self, team: TeamKey, units: u32) {
        let usage = match self.teams.get(&team) {
            Some(&usage) => usage,
            None => {
                let usage = self.usages.insert(TeamUsage::default());
                self.link_team(team, usage);
                usage
            }
        };
        self.usages[usage].allowance = units;
    }

    /// Acquires a unit for a team; returns `None` if the team has no free unit.
    pub fn try_acquire(&mut self, team: TeamKey) -> Option<Unit> {
        let key = *self.teams.get(&team)?;
        let usage = self.usages.get_mut(key)?;
        if usage.in_use >= usage.allowance {
            return None;
        }
        usage.in_use += 1;
        Some(Unit(key))
    }

    /// Releases a unit.
    pub fn release(&mut self, unit: Unit) {
        let Some(usage) = self.usages.get_mut(unit.0) else {
            return;
        };
        usage.in_use = usage.in_use.saturating_sub(1);
        if usage.is_unused() {
            self.usages.remove(unit.0);
        }
    }

    /// Returns the number of units that a team uses.
    pub fn in_use(&self, team: TeamKey) -> u32 {
        self.usage(team).map_or(0, |usage| usage.in_use)
    }

    /// Returns the number of units that a team uses under any of its keys, also if it was removed.
    pub fn in_use_by_name(&self, name: &str) -> u32 {
        self.in_use_by_names()
            .find(|(team, _)| *team == name)
            .map_or(0, |(_, in_use)| in_use)
    }

    /// Returns the number of units in use for each named team, removed teams included.
    pub fn in_use_by_names(&self) -> impl Iterator<Item = (&str, u32)> {
        self.usages
            .values()
            .filter_map(|usage| Some((usage.name.as_deref()?, usage.in_use)))
    }

    /// Returns the number of units that a team may still acquire.
    pub fn free(&self, team: TeamKey) -> u32 {
        self.usage(team)
            .map_or(0, |usage| usage.allowance.saturating_sub(usage.in_use))
    }

    /// Removes the teams for which `keep` returns `false`.
    ///
    /// Units that they use stay counted until they are released.
    pub fn retain_teams(&mut self, mut keep: impl FnMut(TeamKey) -> bool) {
        let usages = &mut self.usages;
        self.teams.retain(|team, usage| {
            if keep(*team) {
                return true;
            }
            unlink_team(usages, *usage);
            false
        });
    }

    fn link_team(&mut self, team: TeamKey, usage: UsageKey) {
        self.teams.insert(team, usage);
        self.usages[usage].key_count += 1;
    }

    fn usage(&self, team: TeamKey) -> Option<&TeamUsage> {
        self.usages.get(*self.teams.get(&team)?)
    }
}

/// Unlinks a team key from a usage, and removes the usage if no key or unit refers to it any more.
fn unlink_team(usages: &mut SlotMap<UsageKey, TeamUsage>, key: UsageKey) {
    let Some(usage) = usages.get_mut(key) else {
        return;
    };
    usage.key_count = usage.key_count.saturating_sub(1);
    if usage.key_count > 0 {
        return;
    }
    usage.allowance = 0;
    if usage.is_unused() {
        usages.remove(key);
    }
}
