//! Issues, lists and withdraws API keys.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use http::StatusCode;
use snipevane_core::clock::Clock;
use snipevane_core::keys::KeyRow;
use snipevane_proto::operator::{GiveKey, GivenKey, KeyInfo, Withdrawal};
use tokio::time::{sleep, timeout};
use uuid::Uuid;

use super::reply::{json, platform_unreachable, problem, problem_response};
use crate::control::{Control, Platform};
use crate::journal::kinds;
use crate::request::Response;

/// Maximum wait for the peers to confirm a withdrawal.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the confirmations of the peers are checked.
const CONFIRM_POLL: Duration = Duration::from_millis(20);
/// `Retry-After` of a reply that reports the platform as unreachable.
const PLATFORM_RETRY: Duration = Duration::from_secs(5);

impl<P: Platform, C: Clock> Control<P, C> {
    /// Lists all keys, without their secrets.
    pub(super) fn list_keys(&self) -> Response {
        let state = self.node.state();
        let mut keys: Vec<KeyInfo> = state
            .keys
            .rows()
            .map(|row| KeyInfo {
                id: row.id.to_string(),
                team: row.team.to_string(),
                withdrawn: row.withdrawn,
            })
            .collect();
        keys.sort_by(|a, b| (&a.team, &a.id).cmp(&(&b.team, &b.id)));
        json(&keys)
    }

    /// Issues a new key to a team. The key is stored before the operator gets it.
    pub(super) async fn issue_key(&self, req: GiveKey) -> Response {
        if self.node.state().site.team(&req.team).is_none() {
            let detail = format!("no team has the name {:?}", req.team);
            return problem_response(&problem(StatusCode::NOT_FOUND, "unknown team", detail));
        }
        let mut random = [0; 32];
        if let Err(error) = getrandom::fill(&mut random) {
            let title = "no random numbers";
            return problem_response(&problem(
                StatusCode::INTERNAL_SERVER_ERROR,
                title,
                error.to_string(),
            ));
        }
        let id = Uuid::now_v7().simple().to_string();
        // The key is issued from a separate key store, because the node may accept it only once it
        // is stored in the platform's table.
        let mut issuer = snipevane_core::keys::KeyStore::default();
        let (row, presented) = issuer.issue(req.team.as_str(), id.as_str(), random);
        if let Err(error) = self.store_key(&row, None).await {
            return platform_unreachable(error.to_string(), PLATFORM_RETRY);
        }
        self.node.state().keys.merge(row.clone());
        self.node.record(&kinds::KEY_ISSUED, &[&row.id, &row.team]);
        json(&GivenKey {
            id,
            team: req.team,
            key: presented,
        })
    }

    /// Withdraws a key on this entry VM, then at the peers and in the platform's table
    /// concurrently.
    pub(super) async fn withdraw_key(&self, id: &str) -> Response {
        let Some(row) = self.node.state().keys.get(id).cloned() else {
            let detail = format!("no key has the identifier {id:?}");
            return problem_response(&problem(StatusCode::NOT_FOUND, "unknown key", detail));
        };
        let sequence = {
            let mut state = self.node.state();
            state.keys.withdraw(id);
            // Only the current sequence number is needed; no change comes after `u64::MAX`.
            state.keys.changes_since(u64::MAX).1
        };
        self.node
            .record(&kinds::KEY_WITHDRAWN, &[&row.id, &row.team]);
        let (stored, ()) = tokio::join!(
            self.store_withdrawal(&row),
            self.await_confirmations(sequence)
        );
        let (confirmed_zones, unconfirmed_zones) = self.split_zones(sequence);
        json(&Withdrawal {
            id: id.to_owned(),
            confirmed_zones,
            unconfirmed_zones,
            stored,
        })
    }

    async fn store_withdrawal(&self, row: &KeyRow) -> bool {
        let row = KeyRow {
            withdrawn: true,
            ..row.clone()
        };
        let key = format!("{}{}", snipevane_proto::rows::KEY_PREFIX, row.id);
        let Ok(Some(stored)) = self.platform.read(&key).await else {
            return false;
        };
        self.store_key(&row, Some(stored.version)).await.is_ok()
    }

    /// Sends heartbeats until all peers that were heard within [`CONFIRM_TIMEOUT`] have confirmed a change of keys, for
    /// at most that time. A peer that a loaded machine holds up counts as silent earlier.
    async fn await_confirmations(&self, sequence: u64) {
        let confirmed = async {
            self.send_heartbeats().await;
            while !self.all_heard_confirmed(sequence) {
                sleep(CONFIRM_POLL).await;
                self.send_heartbeats().await;
            }
        };
        let _ = timeout(CONFIRM_TIMEOUT, confirmed).await;
    }

    fn all_heard_confirmed(&self, sequence: u64) -> bool {
        let now = self.node.now();
        let state = self.node.state();
        let mut heard = state
            .peers
            .iter()
            .filter(|(_, peer)| peer.was_heard_within(CONFIRM_TIMEOUT, now));
        heard.all(|(_, peer)| peer.keys_confirmed >= sequence)
    }

    /// Returns the zones in which all known entry VMs have confirmed a change of keys, and the
    /// remaining zones. A zone without a known entry VM counts as unconfirmed.
    fn split_zones(&self, sequence: u64) -> (Vec<String>, Vec<String>) {
        let state = self.node.state();
        let mut zones: BTreeMap<String, bool> = state
            .site
            .zones
            .values()
            .map(|zone| (zone.name.to_string(), false))
            .collect();
        zones.insert(state.zone.to_string(), true);
        let mut seen_zones = BTreeSet::from([state.zone.to_string()]);
        for (_, peer) in state.peers.iter() {
            let zone = peer.zone.to_string();
            let confirmed_by_peer = peer.reachable && peer.keys_confirmed >= sequence;
            let first = seen_zones.insert(zone.clone());
            let all = zones.entry(zone).or_insert(confirmed_by_peer);
            *all = confirmed_by_peer && (first || *all);
        }
        let (confirmed, unconfirmed): (Vec<_>, Vec<_>) =
            zones.into_iter().partition(|(_, all)| *all);
        let names = |zones: Vec<(String, bool)>| zones.into_iter().map(|(zone, _)| zone).collect();
        (names(confirmed), names(unconfirmed))
    }
}
