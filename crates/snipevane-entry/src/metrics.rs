//! Prometheus metrics of an entry VM.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use snipevane_core::clock::Clock;

use crate::node::Node;

/// Recorder and renderer of the metrics of one entry VM.
pub(crate) struct Metrics {
    handle: PrometheusHandle,
    recorder: metrics_exporter_prometheus::PrometheusRecorder,
}

impl Metrics {
    /// Creates a separate recorder, so that several entry VMs in one process have metrics of their
    /// own.
    pub(crate) fn new() -> Self {
        let recorder = PrometheusBuilder::new().build_recorder();
        Self {
            handle: recorder.handle(),
            recorder,
        }
    }

    /// Updates the metrics from the state and renders them in the Prometheus text format.
    pub(crate) fn render<C: Clock>(&self, node: &Node<C>) -> String {
        metrics::with_local_recorder(&self.recorder, || {
            let state = node.state();
            metrics::gauge!("snipevane_config_version").set(state.site.version as f64);
            // Only the listener counts bytes; calls to a peer are counted by that peer's listener.
            let bytes = &node.peer_bytes;
            metrics::counter!("snipevane_peer_bytes_total", "direction" => "received")
                .absolute(bytes.received());
            metrics::counter!("snipevane_peer_bytes_total", "direction" => "sent")
                .absolute(bytes.sent());
            for incident in node.incidents.totals() {
                metrics::counter!(
                    "snipevane_listener_incidents_total",
                    "listener" => incident.listener,
                    "incident" => incident.kind
                )
                .absolute(incident.count);
            }
            metrics::gauge!("snipevane_in_flight").set(node.in_flight() as f64);
            for (key, team) in &state.site.teams {
                let name = team.name.to_string();
                metrics::gauge!("snipevane_team_in_use", "team" => name.clone())
                    .set(f64::from(state.limits.in_use(key)));
                metrics::gauge!("snipevane_team_allowance", "team" => name)
                    .set(f64::from(state.limit_rollout.total_allowance(&team.name)));
            }
            for (key, service) in &state.site.services {
                let name = service.name.to_string();
                let waiting = state.waiting.get(key).map_or(0, |queue| queue.len());
                metrics::gauge!("snipevane_service_waiting", "service" => name.clone())
                    .set(waiting as f64);
                metrics::gauge!("snipevane_service_free_slots", "service" => name)
                    .set(f64::from(state.router.free_slots(key)));
            }
            let reachable = state
                .peers
                .iter()
                .filter(|(_, peer)| peer.reachable)
                .count();
            metrics::gauge!("snipevane_peers_reachable").set(reachable as f64);
        });
        self.handle.render()
    }
}
