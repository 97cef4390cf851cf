//! Status of an entry VM, its peers, its backend servers and the teams, as the entry VM sees them.

use snipevane_core::clock::Clock;
use snipevane_core::routing::Health;
use snipevane_proto::operator::{Config, PeerStatus, ServerStatus, Status, TeamStatus};

use super::reply::json;
use crate::control::{Control, Platform};
use crate::request::Response;
use crate::state::State;

impl<P: Platform, C: Clock> Control<P, C> {
    /// Returns the status of the entry VM.
    pub(super) fn status(&self) -> Status {
        let node = &self.node;
        let reason = node.unready_reason().map(|reason| reason.to_string());
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
                shards: peer.shards.iter().map(ToString::to_string).collect(),
                age_ms: peer.last_heartbeat_at.map(|at| {
                    u64::try_from(now.duration_since(at).as_millis()).unwrap_or(u64::MAX)
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
            platform_reachable: state.platform_unreachable_since.is_none(),
            lowest_version_confirmed: lowest,
        }
    }

    /// Returns the version and manifest of the configuration in force.
    pub(super) fn config(&self) -> Response {
        let state = self.node.state();
        json(&Config {
            version: state.site.version,
            manifest: serde_json::from_str(&state.manifest).unwrap_or_default(),
        })
    }
}

fn servers(state: &State) -> Vec<ServerStatus> {
    let servers = state.router.stats().map(|stats| {
        let service = state.site.services.get(stats.service);
        let label = match stats.health {
            _ if stats.leaving => "leaving",
            Health::Serving => "serving",
            Health::BackingOff(_) => "backing off",
            Health::Ejected(_) => "ejected",
            Health::Probing => "probing",
        };
        ServerStatus {
            vm: stats.vm.to_string(),
            service: service
                .map(|service| service.name.to_string())
                .unwrap_or_default(),
            zone: state.zone.to_string(),
            state: label.to_owned(),
            slots: stats.slots.into(),
            in_use: stats.slots_in_use.into(),
        }
    });
    servers.collect()
}

fn teams(state: &State) -> Vec<TeamStatus> {
    let teams = state.site.teams.iter().map(|(key, team)| TeamStatus {
        name: team.name.to_string(),
        limit: team.limit,
        allowance: state.limit_rollout.total_allowance(&team.name),
        in_use: state.limits.in_use(key),
    });
    teams.collect()
}
