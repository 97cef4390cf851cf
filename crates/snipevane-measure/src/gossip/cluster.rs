//! Entry VMs that gossip in one process.

use std::collections::VecDeque;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use snipevane_core::members::{Gossip, GossipLimits, News, Rumor, Topic, Value};

use super::wire;

/// Start of each process, in milliseconds since the Unix epoch.
const INCARNATION: u64 = 1_796_000_000_000;
/// Part of the messages that are lost.
const LOSS: f64 = 0.01;

/// Entry VMs with the bytes that each sent and received.
pub(super) struct Cluster {
    pub(super) nodes: Vec<Gossip>,
    names: Vec<SmolStr>,
    /// Bytes sent and received in the present tick.
    pub(super) bytes: Vec<u64>,
    /// What each node last heard of each other one: the tick of the news.
    pub(super) heard: Vec<Vec<u64>>,
    /// News of the present tick, with the node that had them.
    pub(super) news: Vec<(usize, News)>,
    rng: ChaCha8Rng,
    tick: u64,
}

impl Cluster {
    pub(super) fn new(count: usize, seed: u64) -> Self {
        let names: Vec<SmolStr> = (0..count)
            .map(|n| SmolStr::from(format!("entry-{n:02}")))
            .collect();
        let node = |(n, name): (usize, &SmolStr)| {
            let incarnation = INCARNATION + n as u64;
            let mut node = Gossip::new(name, incarnation, seed + n as u64, GossipLimits::default());
            node.set_peers(names.iter().cloned());
            node
        };
        Self {
            nodes: names.iter().enumerate().map(node).collect(),
            names: names.clone(),
            bytes: vec![0; count],
            heard: vec![vec![0; count]; count],
            news: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            tick: 0,
        }
    }

    /// Lets each node make one tick, in an order that differs from tick to tick.
    pub(super) fn tick(&mut self) {
        self.tick += 1;
        let first = self.rng.random_range(0..self.nodes.len());
        for n in 0..self.nodes.len() {
            self.exchange((first + n) % self.nodes.len());
        }
    }

    /// Publishes an urgent item and passes it on until no node is left that has it anew.
    ///
    /// Returns the greatest number of hops on the way to a node.
    pub(super) fn publish_urgent(&mut self, from: usize, topic: Topic, value: Value) -> usize {
        let (rumor, peers) = self.nodes[from].publish_urgent(topic, value);
        let mut queue: VecDeque<(usize, SmolStr, usize)> =
            peers.into_iter().map(|peer| (from, peer, 1)).collect();
        let mut most_hops = 0;
        while let Some((from, to, hops)) = queue.pop_front() {
            let Some(to) = self.number_of(&to) else {
                continue;
            };
            if !self.deliver(from, to, wire::rumor_bytes(&rumor) + wire::empty_bytes()) {
                continue;
            }
            if let Some(peers) = self.on_rumor(to, &rumor) {
                most_hops = most_hops.max(hops);
                queue.extend(peers.into_iter().map(|peer| (to, peer, hops + 1)));
            }
        }
        most_hops
    }

    fn on_rumor(&mut self, to: usize, rumor: &Rumor) -> Option<Vec<SmolStr>> {
        let (news, peers) = self.nodes[to].on_rumor(rumor)?;
        self.news.push((to, news));
        Some(peers)
    }

    fn exchange(&mut self, from: usize) {
        let Some((peer, digest)) = self.nodes[from].tick() else {
            return;
        };
        let Some(to) = self.number_of(&peer) else {
            return;
        };
        if !self.deliver(from, to, wire::digest_bytes(&digest)) {
            return;
        }
        let (answer, news) = self.nodes[to].on_digest(&digest);
        self.note(to, news);
        if !self.deliver(to, from, wire::answer_bytes(&answer)) {
            return;
        }
        let (deltas, news) = self.nodes[from].on_answer(answer);
        self.note(from, news);
        if deltas.is_empty() {
            return;
        }
        let bytes = wire::deltas_bytes(&deltas) + wire::empty_bytes();
        if self.deliver(from, to, bytes) {
            let news = self.nodes[to].on_deltas(deltas);
            self.note(to, news);
        }
    }

    /// Books a message at both ends; returns whether it arrives.
    fn deliver(&mut self, from: usize, to: usize, bytes: usize) -> bool {
        self.bytes[from] += bytes as u64;
        self.bytes[to] += bytes as u64;
        !self.rng.random_bool(LOSS)
    }

    fn note(&mut self, at: usize, news: Vec<News>) {
        for news in news {
            if let News::Heartbeat { vm, .. } = &news
                && let Some(of) = self.number_of(vm)
            {
                self.heard[at][of] = self.tick;
            }
            self.news.push((at, news));
        }
    }

    fn number_of(&self, vm: &SmolStr) -> Option<usize> {
        self.names.binary_search(vm).ok()
    }
}
