//! Units of the teams' limits that one entry VM may use.

use rustc_hash::FxHashMap;
use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;

use crate::ids::TeamKey;

new_key_type! {
    struct AccountKey;
}

/// One unit of a team's limit, held while a request or task may run.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a unit that isn't given back stays in use"]
pub struct Unit(AccountKey);

#[derive(Debug, Default)]
struct Account {
    /// Name of the team; the account outlives the team's key while units are in use.
    name: Option<SmolStr>,
    allowance: u32,
    in_use: u32,
    /// Number of team keys that lead here.
    keys: u32,
}

impl Account {
    fn is_unused(&self) -> bool {
        self.keys == 0 && self.in_use == 0
    }
}

/// Units in use and allowances of all teams at one entry VM.
#[derive(Debug, Default)]
pub struct Limits {
    accounts: SlotMap<AccountKey, Account>,
    teams: FxHashMap<TeamKey, AccountKey>,
}

impl Limits {
    /// Ties a team's key to its name.
    ///
    /// A team that is removed and added again has a new key; by its name, the units that are in
    /// use under its former key still count.
    pub fn add_team(&mut self, team: TeamKey, name: &SmolStr) {
        if self.teams.contains_key(&team) {
            return;
        }
        let by_name = |(_, account): &(AccountKey, &Account)| account.name.as_ref() == Some(name);
        let account = match self.accounts.iter().find(by_name) {
            Some((account, _)) => account,
            None => self.accounts.insert(Account {
                name: Some(name.clone()),
                ..Account::default()
            }),
        };
        self.tie(team, account);
    }

    /// Sets the units that a team may use at this entry VM.
    ///
    /// Units in use above a lowered allowance stay in use; no new one is granted until they are
    /// given back.
    pub fn set_allowance(&mut self, team: TeamKey, units: u32) {
        let account = match self.teams.get(&team) {
            Some(&account) => account,
            None => {
                let account = self.accounts.insert(Account::default());
                self.tie(team, account);
                account
            }
        };
        self.accounts[account].allowance = units;
    }

    /// Takes a unit for a team; returns `None` if the team has no free one.
    pub fn try_take(&mut self, team: TeamKey) -> Option<Unit> {
        let key = *self.teams.get(&team)?;
        let account = self.accounts.get_mut(key)?;
        if account.in_use >= account.allowance {
            return None;
        }
        account.in_use += 1;
        Some(Unit(key))
    }

    /// Gives a unit back.
    pub fn give_back(&mut self, unit: Unit) {
        let Some(account) = self.accounts.get_mut(unit.0) else {
            return;
        };
        account.in_use = account.in_use.saturating_sub(1);
        if account.is_unused() {
            self.accounts.remove(unit.0);
        }
    }

    /// Returns the units that a team uses.
    pub fn in_use(&self, team: TeamKey) -> u32 {
        self.account(team).map_or(0, |account| account.in_use)
    }

    /// Returns the units that a team uses under any of its keys, also if it was removed.
    pub fn in_use_by_name(&self, name: &str) -> u32 {
        self.in_use_by_names()
            .find(|(team, _)| *team == name)
            .map_or(0, |(_, in_use)| in_use)
    }

    /// Returns the units in use of every named team, also of removed ones.
    pub fn in_use_by_names(&self) -> impl Iterator<Item = (&str, u32)> {
        self.accounts
            .values()
            .filter_map(|account| Some((account.name.as_deref()?, account.in_use)))
    }

    /// Returns the units that a team may still take.
    pub fn free(&self, team: TeamKey) -> u32 {
        self.account(team).map_or(0, |account| {
            account.allowance.saturating_sub(account.in_use)
        })
    }

    /// Drops the teams for which `keep` returns false.
    ///
    /// Units that they use stay counted until they are given back.
    pub fn retain_teams(&mut self, mut keep: impl FnMut(TeamKey) -> bool) {
        let accounts = &mut self.accounts;
        self.teams.retain(|team, account| {
            if keep(*team) {
                return true;
            }
            release(accounts, *account);
            false
        });
    }

    fn tie(&mut self, team: TeamKey, account: AccountKey) {
        self.teams.insert(team, account);
        self.accounts[account].keys += 1;
    }

    fn account(&self, team: TeamKey) -> Option<&Account> {
        self.accounts.get(*self.teams.get(&team)?)
    }
}

/// Unties a key from an account, and drops the account if nothing needs it any more.
fn release(accounts: &mut SlotMap<AccountKey, Account>, key: AccountKey) {
    let Some(account) = accounts.get_mut(key) else {
        return;
    };
    account.keys = account.keys.saturating_sub(1);
    if account.keys > 0 {
        return;
    }
    account.allowance = 0;
    if account.is_unused() {
        accounts.remove(key);
    }
}
