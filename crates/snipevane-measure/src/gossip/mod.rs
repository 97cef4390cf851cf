//! Bytes and delays of the gossip between entry VMs at several sizes.

mod cluster;
mod wire;

use std::time::Instant;

use serde::Serialize;
use snipevane_core::members::{News, Sign, Topic, Value};
use snipevane_core::routing::Load;

use self::cluster::Cluster;
use crate::MeasureError;

const DEFAULT_SEED: u64 = 7;
/// Sizes that are measured.
const SIZES: [usize; 4] = [7, 14, 28, 96];
/// Ticks, of one second each.
const TICKS: u64 = 600;
/// Ticks at the start that aren't counted, since all items are new then.
const WARM_UP: u64 = 60;
/// Ticks between two changes of the configuration: 2,200 changes a day.
const CHANGE_EVERY: u64 = 39;
/// Ticks between two withdrawals of keys.
const WITHDRAWAL_EVERY: u64 = 60;
/// Ticks between two signs of a server that leaves.
const SIGN_EVERY: u64 = 30;
/// Services and teams that each VM gives hints of.
const SERVICES: u64 = 5;
const TEAMS: u64 = 20;

/// Figures of one size.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Entry VMs.
    pub nodes: usize,
    /// Bytes sent and received by a node, a second.
    pub mean_bytes: f64,
    /// The same for the node that had the most over the run.
    pub most_bytes_of_a_node: f64,
    /// Most bytes that a node had in one second.
    pub peak_bytes: u64,
    /// Time of a core that a node takes, in percent.
    pub core_percent: f64,
    /// Most hops of a withdrawal that came as a rumor.
    pub rumor_hops: usize,
    /// Nodes that a withdrawal's rumor reached, in percent.
    pub rumor_reach_percent: f64,
    /// Ticks until the last node knew of a withdrawal, rumors and exchanges together.
    pub withdrawal_ticks: u64,
    /// Ticks until the last node knew the last VM's version in force.
    pub version_ticks: u64,
    /// Ticks since a node last heard that another one was alive, at most.
    pub heartbeat_age: u64,
}

/// Items that are watched on their way.
struct Watched {
    topic: Topic,
    value: Value,
    origin: Option<usize>,
    since: u64,
    known: Vec<bool>,
    ticks: Option<u64>,
}

impl Watched {
    fn new(nodes: usize, topic: Topic, value: Value, origin: usize, since: u64) -> Self {
        let mut known = vec![false; nodes];
        known[origin] = true;
        Self {
            topic,
            value,
            origin: Some(origin),
            since,
            known,
            ticks: None,
        }
    }

    fn note(&mut self, at: usize, news: &News, tick: u64) {
        let News::Item {
            vm, topic, value, ..
        } = news
        else {
            return;
        };
        let from = self.origin.map(|origin| format!("entry-{origin:02}"));
        let same = *topic == self.topic && *value == self.value;
        if self.ticks.is_some() || !same || from.as_deref() != Some(vm.as_str()) {
            return;
        }
        self.known[at] = true;
        if self.known.iter().all(|&known| known) {
            self.ticks = Some(tick - self.since);
        }
    }
}

/// Runs the gossip of one size.
pub fn measure(nodes: usize, seed: u64) -> Figures {
    let mut cluster = Cluster::new(nodes, seed);
    let mut totals = vec![0; nodes];
    let mut peak = 0;
    let mut rumor_hops = 0;
    let mut reached = Vec::new();
    let mut withdrawals: Vec<Watched> = Vec::new();
    let mut versions: Vec<Watched> = Vec::new();
    let mut heartbeat_age = 0;
    let started = Instant::now();
    for tick in 1..=TICKS {
        hint(&mut cluster, tick);
        if tick % CHANGE_EVERY == 0 {
            versions.push(change_config(&mut cluster, tick));
        }
        if tick % SIGN_EVERY == 0 {
            let sign = Value::Sign {
                sign: Sign::CloseHeader,
                incarnation: tick,
            };
            let topic = Topic::ServerSign(format!("minion-{tick}").into());
            cluster.nodes[tick as usize % nodes].publish(topic, sign);
        }
        if tick % WITHDRAWAL_EVERY == 0 {
            let topic = Topic::KeyWithdrawn(format!("key-{tick:08}").into());
            let (value, from) = (Value::Number(tick), tick as usize % nodes);
            let mut watched = Watched::new(nodes, topic.clone(), value, from, tick);
            rumor_hops = rumor_hops.max(cluster.publish_urgent(from, topic, value));
            for (at, news) in &cluster.news {
                watched.note(*at, news, tick);
            }
            let known = watched.known.iter().filter(|&&known| known).count();
            reached.push(100.0 * known as f64 / nodes as f64);
            withdrawals.push(watched);
        }
        cluster.tick();
        for (at, news) in cluster.news.drain(..) {
            for watched in withdrawals.iter_mut().chain(&mut versions) {
                watched.note(at, &news, tick);
            }
        }
        let bytes = std::mem::replace(&mut cluster.bytes, vec![0; nodes]);
        if tick <= WARM_UP {
            continue;
        }
        for (total, bytes) in totals.iter_mut().zip(&bytes) {
            *total += bytes;
        }
        peak = peak.max(bytes.into_iter().max().unwrap_or(0));
        heartbeat_age = heartbeat_age.max(oldest_heartbeat(&cluster, tick));
    }
    let counted = (TICKS - WARM_UP) as f64;
    let spent = started.elapsed().as_secs_f64() / (nodes as f64 * TICKS as f64);
    Figures {
        nodes,
        mean_bytes: totals.iter().sum::<u64>() as f64 / counted / nodes as f64,
        most_bytes_of_a_node: totals
            .iter()
            .max()
            .map_or(0.0, |&most| most as f64 / counted),
        peak_bytes: peak,
        core_percent: 100.0 * spent,
        rumor_hops,
        rumor_reach_percent: reached.iter().sum::<f64>() / reached.len().max(1) as f64,
        withdrawal_ticks: slowest(&withdrawals),
        version_ticks: slowest(&versions),
        heartbeat_age,
    }
}

/// Gives hints of changing room at each node.
fn hint(cluster: &mut Cluster, tick: u64) {
    for (n, node) in cluster.nodes.iter_mut().enumerate() {
        for service in 0..SERVICES {
            let load = Load {
                free: (tick + n as u64 + service) as u32 % 8,
                waiting: 0,
                slots: 11,
            };
            let topic = Topic::Slots(format!("service-{service}").into());
            node.hint(topic, Value::Load(load));
        }
        let team = tick % TEAMS;
        let topic = Topic::Units(format!("team-{team:03}").into());
        node.hint(topic, Value::Count((tick + n as u64) as u32 % 4));
    }
}

/// Puts a version in force everywhere; watches the first node's.
fn change_config(cluster: &mut Cluster, tick: u64) -> Watched {
    let version = Value::Number(tick);
    let first = tick as usize % cluster.nodes.len();
    cluster.publish_urgent(first, Topic::ConfigInForce, version);
    for node in &mut cluster.nodes {
        node.publish(Topic::ConfigInForce, version);
        node.publish(Topic::ConfigSettled, version);
    }
    let other = (first + 1) % cluster.nodes.len();
    Watched::new(
        cluster.nodes.len(),
        Topic::ConfigInForce,
        version,
        other,
        tick,
    )
}

fn oldest_heartbeat(cluster: &Cluster, tick: u64) -> u64 {
    let mut oldest = 0;
    for (at, heard) in cluster.heard.iter().enumerate() {
        for (of, &last) in heard.iter().enumerate() {
            if at != of {
                oldest = oldest.max(tick - last);
            }
        }
    }
    oldest
}

/// Returns the most ticks until all nodes knew, or the run's length if some never did.
fn slowest(watched: &[Watched]) -> u64 {
    let settled = watched
        .iter()
        .filter(|watched| watched.since + CHANGE_EVERY <= TICKS);
    settled
        .map(|watched| watched.ticks.unwrap_or(TICKS))
        .max()
        .unwrap_or(0)
}

/// Runs all sizes and prints the figures.
///
/// # Errors
///
/// Returns an error if the figures can't be written as JSON.
pub fn run(json: bool, seed: Option<u64>) -> Result<(), MeasureError> {
    let seed = seed.unwrap_or(DEFAULT_SEED);
    let figures: Vec<Figures> = SIZES.iter().map(|&nodes| measure(nodes, seed)).collect();
    if json {
        println!("{}", serde_json::to_string_pretty(&figures)?);
        return Ok(());
    }
    println!("seed {seed}, {TICKS} s, bytes are a second and node, sent and received");
    println!(
        "{:>5} {:>8} {:>8} {:>8} {:>8} {:>6} {:>8} {:>12} {:>9} {:>11}",
        "nodes",
        "mean B",
        "most B",
        "peak B",
        "core %",
        "hops",
        "reach %",
        "withdrawal s",
        "version s",
        "heartbeat s",
    );
    for row in &figures {
        println!(
            "{:>5} {:>8.0} {:>8.0} {:>8} {:>8.4} {:>6} {:>8.2} {:>12} {:>9} {:>11}",
            row.nodes,
            row.mean_bytes,
            row.most_bytes_of_a_node,
            row.peak_bytes,
            row.core_percent,
            row.rumor_hops,
            row.rumor_reach_percent,
            row.withdrawal_ticks,
            row.version_ticks,
            row.heartbeat_age,
        );
    }
    Ok(())
}
