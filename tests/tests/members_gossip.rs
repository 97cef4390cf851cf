//! Gossip brings every item to every VM, whatever is lost, and nothing of an earlier incarnation.

use proptest::collection;
use proptest::prelude::{ProptestConfig, any, prop_assert_eq};
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use smol_str::SmolStr;
use snipevane_core::members::{Gossip, GossipLimits, News, Topic, Value};

const SEED: [u8; 32] = [47; 32];

fn nodes(count: usize, limits: GossipLimits) -> Vec<Gossip> {
    let names: Vec<SmolStr> = (0..count).map(name).collect();
    let node = |n: usize| {
        let mut node = Gossip::new(&name(n), 1, n as u64, limits);
        node.set_peers(names.iter().cloned());
        node
    };
    (0..count).map(node).collect()
}

fn name(n: usize) -> SmolStr {
    SmolStr::from(format!("vm-{n:02}"))
}

/// Lets one node make its tick; each of the three messages arrives if its flag says so.
///
/// Returns the news with the node that had them.
fn exchange(nodes: &mut [Gossip], from: usize, arrives: [bool; 3]) -> Vec<(usize, News)> {
    let Some((peer, digest)) = nodes[from].tick() else {
        return Vec::new();
    };
    let to = (0..nodes.len()).find(|&n| name(n) == peer).unwrap_or(from);
    let mut all = Vec::new();
    if !arrives[0] {
        return all;
    }
    let (answer, news) = nodes[to].on_digest(&digest);
    all.extend(news.into_iter().map(|news| (to, news)));
    if !arrives[1] {
        return all;
    }
    let (deltas, news) = nodes[from].on_answer(answer);
    all.extend(news.into_iter().map(|news| (from, news)));
    if arrives[2] {
        let news = nodes[to].on_deltas(deltas);
        all.extend(news.into_iter().map(|news| (to, news)));
    }
    all
}

fn settle(nodes: &mut [Gossip], ticks: usize) {
    for _ in 0..ticks {
        for n in 0..nodes.len() {
            exchange(nodes, n, [true; 3]);
        }
    }
}

#[test]
fn all_items_arrive_after_any_losses() {
    let config = ProptestConfig {
        cases: 60,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let steps = collection::vec(
        (0..6_usize, 0..4_u64, any::<u64>(), any::<[bool; 3]>()),
        1..80,
    );
    let result = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        // Small messages, so that items and digests need several of them.
        let limits = GossipLimits {
            most_summaries: 3,
            most_items: 2,
            ..GossipLimits::default()
        };
        let mut nodes = nodes(6, limits);
        let mut last = std::collections::BTreeMap::new();
        for (n, topic, value, arrives) in steps {
            let topic = Topic::Units(format!("team-{topic}").into());
            nodes[n].publish(topic.clone(), Value::Number(value));
            last.insert((n, topic), Value::Number(value));
            exchange(&mut nodes, n, arrives);
        }
        settle(&mut nodes, 60);
        for ((origin, topic), value) in last {
            for node in &nodes {
                prop_assert_eq!(node.get(&name(origin), &topic), Some(value));
            }
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn a_restarted_vm_replaces_its_items_and_its_former_ones_change_nothing() {
    let mut nodes = nodes(3, GossipLimits::default());
    let topic = Topic::ConfigInForce;
    nodes[0].publish(topic.clone(), Value::Number(7));
    nodes[0].publish(Topic::ConfigSettled, Value::Number(7));
    settle(&mut nodes, 10);
    let former = nodes[0].clone();
    nodes[0] = Gossip::new("vm-00", 2, 9, GossipLimits::default());
    nodes[0].set_peers((0..3).map(name));
    nodes[0].publish(topic.clone(), Value::Number(8));
    settle(&mut nodes, 10);
    assert_eq!(nodes[1].get("vm-00", &topic), Some(Value::Number(8)));
    assert_eq!(nodes[1].get("vm-00", &Topic::ConfigSettled), None);
    nodes[0] = former;
    settle(&mut nodes, 10);
    assert_eq!(nodes[1].get("vm-00", &topic), Some(Value::Number(8)));
}

#[rstest]
#[case(7)]
#[case(96)]
fn an_urgent_item_reaches_all_within_a_few_ticks(#[case] count: usize) {
    let mut nodes = nodes(count, GossipLimits::default());
    settle(&mut nodes, 20);
    let topic = Topic::KeyWithdrawn("k1".into());
    let (rumor, mut to) = nodes[0].publish_urgent(topic.clone(), Value::Number(1));
    let mut knows = vec![false; count];
    knows[0] = true;
    while let Some(peer) = to.pop() {
        let n = (0..count).find(|&n| name(n) == peer).unwrap();
        if let Some((_, next)) = nodes[n].on_rumor(&rumor) {
            knows[n] = true;
            to.extend(next);
        }
    }
    // What the rumor missed, the next exchanges bring.
    for _ in 0..5 {
        for n in 0..count {
            for (at, news) in exchange(&mut nodes, n, [true; 3]) {
                knows[at] |= matches!(&news, News::Item { topic: known, .. } if *known == topic);
            }
        }
    }
    let missing: Vec<usize> = (0..count).filter(|&n| !knows[n]).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn hints_keep_to_the_rate_and_take_turns() {
    let limits = GossipLimits {
        hints_per_tick: 1.0,
        ..GossipLimits::default()
    };
    let mut node = Gossip::new("vm-00", 1, 1, limits);
    let topic = |n: usize| Topic::Units(format!("team-{n}").into());
    for tick in 0..6 {
        for n in 0..3 {
            node.hint(topic(n), Value::Number(tick));
        }
        node.tick();
    }
    let published: Vec<Option<Value>> = (0..3).map(|n| node.get("vm-00", &topic(n))).collect();
    let expected = [3, 4, 5].map(|tick| Some(Value::Number(tick)));
    assert_eq!(published, expected);
}
