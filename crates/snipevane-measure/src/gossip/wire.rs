//! Sizes of gossip messages as JSON.

use serde_json::{Value as Json, json};
use snipevane_core::members::{Answer, Delta, Digest, Item, Rumor, Summary, Topic, Value};

/// Head of an HTTP request or answer with the frame of a JSON-RPC call, in bytes.
const FRAME_BYTES: usize = 250;

/// Returns the size of a digest.
pub(super) fn digest_bytes(digest: &Digest) -> usize {
    let summaries: Vec<Json> = digest.summaries.iter().map(summary).collect();
    size(&json!([summaries, digest.complete, rumors(&digest.rumors)]))
}

/// Returns the size of an answer.
pub(super) fn answer_bytes(answer: &Answer) -> usize {
    let deltas: Vec<Json> = answer.deltas.iter().map(delta).collect();
    let wants: Vec<Json> = answer.wants.iter().map(summary).collect();
    size(&json!([deltas, wants, rumors(&answer.rumors)]))
}

/// Returns the size of changes.
pub(super) fn deltas_bytes(deltas: &[Delta]) -> usize {
    let deltas: Vec<Json> = deltas.iter().map(delta).collect();
    size(&json!(deltas))
}

/// Returns the size of a rumor.
pub(super) fn rumor_bytes(rumor: &Rumor) -> usize {
    size(&one_rumor(rumor))
}

/// Returns the size of an answer without content.
pub(super) fn empty_bytes() -> usize {
    FRAME_BYTES
}

fn size(json: &Json) -> usize {
    json.to_string().len() + FRAME_BYTES
}

fn rumors(rumors: &[Rumor]) -> Json {
    rumors.iter().map(one_rumor).collect()
}

fn one_rumor(rumor: &Rumor) -> Json {
    json!([rumor.origin.as_str(), rumor.incarnation, item(&rumor.item)])
}

fn summary(summary: &Summary) -> Json {
    json!([
        summary.origin.as_str(),
        summary.incarnation,
        summary.heartbeat,
        summary.number
    ])
}

fn delta(delta: &Delta) -> Json {
    let items: Vec<Json> = delta.items.iter().map(item).collect();
    json!([
        delta.origin.as_str(),
        delta.incarnation,
        delta.heartbeat,
        delta.after,
        delta.number,
        items
    ])
}

fn item(item: &Item) -> Json {
    let (kind, name) = match &item.topic {
        Topic::ConfigInForce => ("c", ""),
        Topic::ConfigSettled => ("s", ""),
        Topic::KeyWithdrawn(id) => ("k", id.as_str()),
        Topic::Slots(service) => ("f", service.as_str()),
        Topic::Units(team) => ("u", team.as_str()),
        Topic::ServerSign(vm) => ("g", vm.as_str()),
    };
    let value = match item.value {
        Value::Number(number) => json!(number),
        Value::Load(load) => json!([load.free, load.waiting, load.slots]),
        Value::Count(count) => json!(count),
        Value::Sign { sign, incarnation } => json!([format!("{sign:?}"), incarnation]),
    };
    json!([kind, name, value, item.number])
}
