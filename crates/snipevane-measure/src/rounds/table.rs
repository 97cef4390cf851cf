//! Rendering of the table of rounds as Markdown.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use super::entry::Entry;

/// Subcommands of the bench whose days are part of rounds.
const MEASURED: [&str; 2] = ["run", "score"];

/// Round of measurements on one deployment: all invocations with the same reason.
#[derive(Default)]
struct Round {
    worths: BTreeMap<String, Vec<f64>>,
    rules: BTreeSet<String>,
}

type Key = (String, String, bool);

/// Renders one table for each deployment, with the rounds in order of their first invocation.
pub(super) fn render(entries: &[Entry]) -> String {
    let mut order: Vec<Key> = Vec::new();
    let mut rounds: BTreeMap<Key, Round> = BTreeMap::new();
    for entry in entries
        .iter()
        .filter(|entry| MEASURED.contains(&entry.cmd.as_str()))
    {
        let (Some(site), Some(why)) = (&entry.site, &entry.why) else {
            continue;
        };
        let key = (site.clone(), why.clone(), entry.is_trial());
        if !rounds.contains_key(&key) {
            order.push(key.clone());
        }
        add(rounds.entry(key).or_default(), entry);
    }
    let sites: BTreeSet<&String> = order.iter().map(|(site, ..)| site).collect();
    let mut text = String::new();
    for site in sites {
        let of_site = order.iter().filter(|(name, ..)| name == site);
        let of_site: Vec<(&Key, &Round)> = of_site.map(|key| (key, &rounds[key])).collect();
        render_site(&mut text, site, &of_site);
    }
    text
}

fn add(round: &mut Round, entry: &Entry) {
    for day in &entry.days {
        if let Some(worth) = day.worth {
            round
                .worths
                .entry(day.name.clone())
                .or_default()
                .push(worth);
        }
        round.rules.extend(day.rules.keys().cloned());
    }
}

fn render_site(text: &mut String, site: &str, rounds: &[(&Key, &Round)]) {
    let standard: BTreeSet<&String> = rounds
        .iter()
        .flat_map(|(_, round)| round.worths.keys())
        .filter(|name| is_standard(name))
        .collect();
    let head: Vec<&str> = standard.iter().map(|name| name.as_str()).collect();
    // Writing to a string doesn't fail.
    let _ = writeln!(
        text,
        "\n## {site}\n\n| round | {} | mean | rules |",
        head.join(" | ")
    );
    let _ = writeln!(text, "|---|{}---|---|", "---|".repeat(head.len()));
    let played = |round: &Round| round.worths.keys().any(|name| is_standard(name));
    for ((_, why, trial), round) in rounds.iter().filter(|(_, round)| played(round)) {
        let means: Vec<Option<f64>> = standard
            .iter()
            .map(|name| round.worths.get(*name).map(|all| mean(all)))
            .collect();
        let known: Vec<f64> = means.iter().flatten().copied().collect();
        let cells: Vec<String> = means.iter().map(|worth| cell(*worth)).collect();
        let all = known.len() == standard.len();
        let total = if all {
            cell(Some(mean(&known)))
        } else {
            String::new()
        };
        let rules: Vec<&str> = round.rules.iter().map(String::as_str).collect();
        let mark = if *trial { " (trial)" } else { "" };
        let why = why.replace('|', "/");
        let _ = writeln!(
            text,
            "| {why}{mark} | {} | {total} | {} |",
            cells.join(" | "),
            rules.join(" ")
        );
    }
}

/// Returns whether a day is one of a deployment's standard days.
fn is_standard(name: &str) -> bool {
    let slots = ["quiet-", "scale-", "trouble-"];
    let mut numbers = slots.iter().filter_map(|slot| name.strip_prefix(slot));
    numbers.any(|number| number.chars().all(|c| c.is_ascii_digit()))
}

fn cell(worth: Option<f64>) -> String {
    worth.map_or_else(String::new, |worth| format!("{worth:.3}"))
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
