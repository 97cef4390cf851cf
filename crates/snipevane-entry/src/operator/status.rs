//! What an entry VM knows of itself, its peers, its backend servers and the teams.

use snipevane_core::clock::Clock;
use snipevane_core::routing::Health;
use snipevane_proto::operator::{Config, PeerStatus, ServerStatus, Status, TeamStatus};

use super::reply::json;
use crate::control::{Control, Platform};
use crate::request::Response;
use crate::state::State;

impl<P: Platform, C: Clock> Control<P, C> {
    /// Describes the entry VM.
    pub(super) fn status(&self) -> Status {
        let node = &self.node;
        let reason = node.not_ready().map(|reason| reason.to_string());
        let now = node.now();
        let state = node.state();
        let peers: Vec<PeerStatus> = state
            .peers
            .iter()
            .map(|(vm, peer)| PeerStatus {
                vm: vm.to_string(),
                zone: peer.zone.to_string(),
                reachable: peer.reachable,
                version: peer.version,
                age_ms: peer.heard.map(|heard| {
                    u64::try_from(now.duration_since(heard).as_millis()).unwrap_or(u64::MAX)
                }),
            })
            .collect();
        let version = state.site.version;
        let lowest = peers
            .iter()
            .map(|peer| peer.version)
            .fold(version, u64::min);
        Status {
            vm: node.settings.vm.to_string(),
            zone: node.settings.zone.to_string(),
            incarnation: node.incarnation,
            version,
            ready: reason.is_none(),
            reason,
            shard: state.held.first().map(|held| held.name.to_string()),
            peers,
            servers: servers(&state),
            teams: teams(&state),
            platform_reachable: state.platform_away_since.is_none(),
            lowest_version_confirmed: lowest,
        }
    }

    /// Returns the configuration in force.
    pub(super) fn config(&self) -> Response {
        let state = self.node.state();
        json(&Config {
            version: state.site.version,
            manifest: serde_json::from_str(&state.manifest).unwrap_or_default(),
        })
    }
}

fn servers(state: &State) -> Vec<ServerStatus> {
    let servers = state.router.stats().map(|counts| {
        let service = state.site.services.get(counts.service);
        let label = match counts.health {
            _ if counts.leaving => "leaving",
            Health::Serving => "serving",
            Health::BackingOff(_) => "backing off",
            Health::Ejected(_) => "ejected",
            Health::Probing => "probing",
        };
        ServerStatus {
            vm: counts.vm.to_string(),
            service: service
                .map(|service| service.name.to_string())
                .unwrap_or_default(),
            zone: state.zone.to_string(),
            state: label.to_owned(),
            slots: counts.slots.into(),
            in_use: counts.slots_in_use.into(),
        }
    });
    servers.collect()
}

fn teams(state: &State) -> Vec<TeamStatus> {
    let teams = state.site.teams.iter().map(|(key, team)| TeamStatus {
        name: team.name.to_string(),
        limit: team.limit,
        allowance: state.limit_deals.total_allowance(&team.name),
        in_use: state.limits.in_use(key),
    });
    teams.collect()
}
