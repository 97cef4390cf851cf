//! Rendering of the table of rounds as Markdown.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use super::entry::Entry;

/// Subcommands of the bench whose days are part of rounds.
const MEASURED: [&str; 2] = ["run", "score"];

/// Round of measurements on one deployment: all invocations with the same reason.
#[derive(Default)]
struct Round {
    scores: BTreeMap<String, Vec<f64>>,
    rules: BTreeSet<String>,
}

/// Deployment and reason that the invocations of a round share.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RoundKey {
    site: String,
    why: String,
    is_trial: bool,
}

/// Renders one table for each deployment, with the rounds in order of their first invocation.
pub(super) fn render(entries: &[Entry]) -> String {
    let mut order: Vec<RoundKey> = Vec::new();
    let mut rounds: BTreeMap<RoundKey, Round> = BTreeMap::new();
    for entry in entries
        .iter()
        .filter(|entry| MEASURED.contains(&entry.cmd.as_str()))
    {
        let (Some(site), Some(why)) = (&entry.site, &entry.why) else {
            continue;
        };
        let key = RoundKey {
            site: site.clone(),
            why: why.clone(),
            is_trial: entry.is_trial(),
        };
        if !rounds.contains_key(&key) {
            order.push(key.clone());
        }
        add(rounds.entry(key).or_default(), entry);
    }
    let sites: BTreeSet<&String> = order.iter().map(|key| &key.site).collect();
    let mut text = String::new();
    for site in sites {
        let of_site = order.iter().filter(|key| key.site == *site);
        let of_site: Vec<(&RoundKey, &Round)> = of_site.map(|key| (key, &rounds[key])).collect();
        render_site(&mut text, site, &of_site);
    }
    text
}

fn add(round: &mut Round, entry: &Entry) {
    for day in &entry.days {
        if let Some(score) = day.score {
            round
                .scores
                .entry(day.name.clone())
                .or_default()
                .push(score);
        }
        round.rules.extend(day.rules.keys().cloned());
    }
}

fn render_site(text: &mut String, site: &str, rounds: &[(&RoundKey, &Round)]) {
    let days: BTreeSet<&String> = rounds
        .iter()
        .flat_map(|(_, round)| round.scores.keys())
        .filter(|name| is_standard(name))
        .collect();
    let head: Vec<&str> = days.iter().map(|name| name.as_str()).collect();
    // Writing to a string doesn't fail.
    let _ = writeln!(
        text,
        "\n## {site}\n\n| round | {} | mean | rules |",
        head.join(" | ")
    );
    let _ = writeln!(text, "|---|{}---|---|", "---|".repeat(head.len()));
    let played = |round: &Round| round.scores.keys().any(|name| is_standard(name));
    for (key, round) in rounds.iter().filter(|(_, round)| played(round)) {
        let mark = if key.is_trial { " (trial)" } else { "" };
        let why = key.why.replace('|', "/");
        let cells = render_cells(round, &days);
        let _ = writeln!(text, "| {why}{mark} | {cells} |");
    }
}

/// Renders a round's mean score of each day, their mean if no day is missing, and its broken rules.
fn render_cells(round: &Round, days: &BTreeSet<&String>) -> String {
    let means: Vec<Option<f64>> = days
        .iter()
        .map(|name| round.scores.get(*name).map(|all| mean(all)))
        .collect();
    let known: Vec<f64> = means.iter().flatten().copied().collect();
    let cells: Vec<String> = means.iter().map(|score| cell(*score)).collect();
    let total = (known.len() == days.len()).then(|| mean(&known));
    let rules: Vec<&str> = round.rules.iter().map(String::as_str).collect();
    format!(
        "{} | {} | {}",
        cells.join(" | "),
        cell(total),
        rules.join(" ")
    )
}

/// Returns whether a day is one of a deployment's standard days.
fn is_standard(name: &str) -> bool {
    let slots = ["quiet-", "scale-", "trouble-"];
    let mut numbers = slots.iter().filter_map(|slot| name.strip_prefix(slot));
    numbers.any(|number| number.chars().all(|c| c.is_ascii_digit()))
}

fn cell(score: Option<f64>) -> String {
    score.map_or_else(String::new, |score| format!("{score:.3}"))
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
