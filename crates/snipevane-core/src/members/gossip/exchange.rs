//! The state of the gossip at one VM.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

use super::item::{Topic, Value};
use super::message::{Answer, Delta, Digest, News, Rumor, Summary};
use super::origin::Origin;

/// Settings of a [`Gossip`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipLimits {
    /// Origins in a digest at most.
    pub most_summaries: usize,
    /// Items in a message at most.
    pub most_items: usize,
    /// Peers that a rumor goes on to.
    pub rumor_peers: usize,
    /// Ticks for which digests and answers carry a rumor.
    pub rumor_ticks: u64,
    /// Hints that all VMs together publish in a tick.
    pub hints_per_tick: f64,
}

impl Default for GossipLimits {
    fn default() -> Self {
        Self {
            most_summaries: 32,
            most_items: 32,
            rumor_peers: 6,
            rumor_ticks: 3,
            hints_per_tick: 4.0,
        }
    }
}

/// All origins that one VM knows, itself included.
#[derive(Clone, Debug)]
pub struct Gossip {
    limits: GossipLimits,
    vm: SmolStr,
    origins: BTreeMap<SmolStr, Origin>,
    peers: Vec<SmolStr>,
    /// Hints that are published as the rate allows.
    hints: BTreeMap<Topic, Value>,
    /// Topic of the last hint that was published.
    last_hint: Option<Topic>,
    /// Hints that may be published now.
    hint_credit: f64,
    /// Rumors of the last ticks, with the tick of each.
    recent: VecDeque<(u64, Rumor)>,
    ticks: u64,
    /// Origin after which the next digest goes on.
    cursor: SmolStr,
    rng: ChaCha8Rng,
}

impl Gossip {
    /// Creates the state of a VM that knows itself only.
    pub fn new(vm: &str, incarnation: u64, seed: u64, limits: GossipLimits) -> Self {
        let vm = SmolStr::new(vm);
        Self {
            limits,
            origins: BTreeMap::from([(vm.clone(), Origin::new(incarnation))]),
            vm,
            peers: Vec::new(),
            hints: BTreeMap::new(),
            last_hint: None,
            hint_credit: 0.0,
            recent: VecDeque::new(),
            ticks: 0,
            cursor: SmolStr::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the peers that messages go to.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = SmolStr>) {
        self.peers = peers.into_iter().filter(|peer| *peer != self.vm).collect();
    }

    /// Publishes an item; one that says the same as before is no change.
    pub fn publish(&mut self, topic: Topic, value: Value) {
        let own = self.own();
        if own.get(&topic) != Some(value) {
            own.publish(topic, value);
        }
    }

    /// Publishes an item and returns the rumor with the peers that it goes to at once.
    pub fn publish_urgent(&mut self, topic: Topic, value: Value) -> (Rumor, Vec<SmolStr>) {
        let own = self.own();
        let item = own.publish(topic, value);
        let rumor = Rumor {
            incarnation: own.incarnation,
            origin: self.vm.clone(),
            item,
        };
        self.recent.push_back((self.ticks, rumor.clone()));
        let peers = self.some_peers(self.limits.rumor_peers);
        (rumor, peers)
    }

    /// Notes a hint, which is published when the rate allows; a later one replaces it.
    pub fn hint(&mut self, topic: Topic, value: Value) {
        self.hints.insert(topic, value);
    }

    /// Begins a tick: returns a digest and the peer that it goes to.
    pub fn tick(&mut self) -> Option<(SmolStr, Digest)> {
        self.own().heartbeat += 1;
        self.ticks += 1;
        self.drop_old_rumors();
        self.publish_hints();
        let peer = self.some_peers(1).pop()?;
        Some((peer, self.digest()))
    }

    /// Takes over a peer's digest; returns the answer.
    pub fn on_digest(&mut self, digest: &Digest) -> (Answer, Vec<News>) {
        let mut answer = Answer {
            rumors: self.recent_rumors(),
            ..Answer::default()
        };
        let mut news = self.note_rumors(&digest.rumors);
        let mut room = self.limits.most_items;
        for summary in &digest.summaries {
            news.extend(self.note_heartbeat(summary));
            let Some(origin) = self.origins.get(&summary.origin) else {
                answer.wants.push(unknown(summary));
                continue;
            };
            let known = origin.summary(&summary.origin);
            if (known.incarnation, known.number) < (summary.incarnation, summary.number) {
                answer.wants.push(known);
            } else {
                answer.deltas.extend(newer(origin, summary, &mut room));
            }
        }
        if digest.complete {
            let listed = |vm: &SmolStr| digest.summaries.iter().any(|known| known.origin == *vm);
            for (vm, origin) in &self.origins {
                if !listed(vm) && room > 0 {
                    answer.deltas.push(take(origin, vm, 0, &mut room));
                }
            }
        }
        (answer, news)
    }

    /// Takes over the answer to a digest; returns what the peer asked for.
    pub fn on_answer(&mut self, answer: Answer) -> (Vec<Delta>, Vec<News>) {
        let mut room = self.limits.most_items;
        let mut deltas = Vec::new();
        for summary in &answer.wants {
            if let Some(origin) = self.origins.get(&summary.origin) {
                deltas.extend(newer(origin, summary, &mut room));
            }
        }
        let mut news = self.note_rumors(&answer.rumors);
        news.extend(self.on_deltas(answer.deltas));
        (deltas, news)
    }

    /// Takes over changes; those of an earlier incarnation change nothing.
    pub fn on_deltas(&mut self, deltas: Vec<Delta>) -> Vec<News> {
        let mut news = Vec::new();
        for delta in deltas {
            if delta.origin == self.vm {
                continue;
            }
            let vm = delta.origin.clone();
            let incarnation = delta.incarnation;
            let Some(origin) = self.origin_of(&vm, incarnation) else {
                continue;
            };
            if delta.heartbeat > origin.heartbeat {
                news.push(News::Heartbeat {
                    vm: vm.clone(),
                    incarnation,
                });
            }
            let items = origin.merge(delta).into_iter();
            news.extend(items.map(|item| News::Item {
                vm: vm.clone(),
                incarnation,
                topic: item.topic,
                value: item.value,
            }));
        }
        news
    }

    /// Takes over a rumor; returns the peers that it goes on to, if it is new here.
    pub fn on_rumor(&mut self, rumor: &Rumor) -> Option<(News, Vec<SmolStr>)> {
        let news = self.note_rumor(rumor)?;
        Some((news, self.some_peers(self.limits.rumor_peers)))
    }

    /// Returns what a VM last said of a topic.
    pub fn get(&self, vm: &str, topic: &Topic) -> Option<Value> {
        self.origins.get(vm)?.get(topic)
    }

    /// Drops what is known of a VM that is gone.
    pub fn forget(&mut self, vm: &str) {
        if vm != self.vm {
            self.origins.remove(vm);
        }
    }

    /// Returns the number of known VMs.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no VM is known; never the case, since a VM knows itself.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn own(&mut self) -> &mut Origin {
        self.origins
            .entry(self.vm.clone())
            .or_insert_with(|| Origin::new(0))
    }

    /// Returns an origin in the given incarnation, or none if a later one is known.
    fn origin_of(&mut self, vm: &SmolStr, incarnation: u64) -> Option<&mut Origin> {
        let origin = self
            .origins
            .entry(vm.clone())
            .or_insert_with(|| Origin::new(incarnation));
        if origin.incarnation > incarnation {
            return None;
        }
        if origin.incarnation < incarnation {
            *origin = Origin::new(incarnation);
        }
        Some(origin)
    }

    fn note_rumor(&mut self, rumor: &Rumor) -> Option<News> {
        if rumor.origin == self.vm {
            return None;
        }
        let origin = self.origin_of(&rumor.origin, rumor.incarnation)?;
        if !origin.note_rumor(rumor.item.number) {
            return None;
        }
        self.recent.push_back((self.ticks, rumor.clone()));
        Some(News::Item {
            vm: rumor.origin.clone(),
            incarnation: rumor.incarnation,
            topic: rumor.item.topic.clone(),
            value: rumor.item.value,
        })
    }

    fn note_rumors(&mut self, rumors: &[Rumor]) -> Vec<News> {
        rumors
            .iter()
            .filter_map(|rumor| self.note_rumor(rumor))
            .collect()
    }

    fn recent_rumors(&self) -> Vec<Rumor> {
        let recent = self.recent.iter().take(self.limits.most_items);
        recent.map(|(_, rumor)| rumor.clone()).collect()
    }

    fn drop_old_rumors(&mut self) {
        let oldest = self.ticks.saturating_sub(self.limits.rumor_ticks);
        while self.recent.front().is_some_and(|&(tick, _)| tick < oldest) {
            self.recent.pop_front();
        }
    }

    fn note_heartbeat(&mut self, summary: &Summary) -> Option<News> {
        let origin = self.origins.get_mut(&summary.origin)?;
        let same = origin.incarnation == summary.incarnation;
        if !same || origin.heartbeat >= summary.heartbeat || summary.origin == self.vm {
            return None;
        }
        origin.heartbeat = summary.heartbeat;
        Some(News::Heartbeat {
            vm: summary.origin.clone(),
            incarnation: summary.incarnation,
        })
    }

    /// Summarises this VM and the origins that come next in turn.
    fn digest(&mut self) -> Digest {
        let most = self.limits.most_summaries;
        let complete = self.origins.len() <= most;
        let after = (Bound::Excluded(self.cursor.clone()), Bound::Unbounded);
        let turn = self.origins.range(after).chain(self.origins.iter());
        let mut summaries: Vec<Summary> = turn
            .filter(|(vm, _)| **vm != self.vm)
            .take(most.min(self.origins.len()) - 1)
            .map(|(vm, origin)| origin.summary(vm))
            .collect();
        if let Some(last) = summaries.last() {
            self.cursor = last.origin.clone();
        }
        let own = self.origins.get(&self.vm);
        summaries.extend(own.map(|own| own.summary(&self.vm)));
        Digest {
            summaries,
            complete,
            rumors: self.recent_rumors(),
        }
    }

    /// Publishes as many hints as fall to this VM in a tick.
    fn publish_hints(&mut self) {
        let rate = self.limits.hints_per_tick / self.origins.len() as f64;
        self.hint_credit = (self.hint_credit + rate).min(rate.max(1.0));
        while self.hint_credit >= 1.0 {
            let Some((topic, value)) = self.next_hint() else {
                return;
            };
            if self.get(&self.vm, &topic) != Some(value) {
                self.publish(topic, value);
                self.hint_credit -= 1.0;
            }
        }
    }

    /// Takes the hint that comes next in turn.
    fn next_hint(&mut self) -> Option<(Topic, Value)> {
        let after = self.last_hint.take().map(Bound::Excluded);
        let range = (after.unwrap_or(Bound::Unbounded), Bound::Unbounded);
        let next = self.hints.range(range).next();
        let (topic, _) = next.or_else(|| self.hints.first_key_value())?;
        let topic = topic.clone();
        let value = self.hints.remove(&topic)?;
        self.last_hint = Some(topic.clone());
        Some((topic, value))
    }

    fn some_peers(&mut self, most: usize) -> Vec<SmolStr> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.rng.next_u64());
        self.peers.sample(&mut rng, most).cloned().collect()
    }
}

/// Returns the summary of an origin of which nothing is known.
fn unknown(summary: &Summary) -> Summary {
    Summary {
        origin: summary.origin.clone(),
        incarnation: 0,
        heartbeat: 0,
        number: 0,
    }
}

/// Returns what a peer lacks of an origin.
fn newer(origin: &Origin, known: &Summary, room: &mut usize) -> Option<Delta> {
    if origin.incarnation < known.incarnation {
        return None;
    }
    let after = match origin.incarnation > known.incarnation {
        true => 0,
        false => known.number,
    };
    let restarted = origin.incarnation > known.incarnation;
    if *room == 0 || (!restarted && origin.number <= after) {
        return None;
    }
    Some(take(origin, &known.origin, after, room))
}

fn take(origin: &Origin, vm: &SmolStr, after: u64, room: &mut usize) -> Delta {
    let delta = origin.delta(vm, after, *room);
    *room -= delta.items.len();
    delta
}
