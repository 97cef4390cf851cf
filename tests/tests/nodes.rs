//! Tests that `snipevane status --metrics` shows a row for each entry VM, including those that
//! don't respond.

use insta::assert_snapshot;
use snipevane_cli::{NodeRow, Samples, render_nodes};

const SCHEDULER: &str = "# TYPE snipevane_config_version gauge
snipevane_config_version 32
snipevane_term_held 1
snipevane_term_fence 4
snipevane_tasks_waiting{pool=\"p-0\"} 120
snipevane_tasks_waiting{pool=\"p-1\"} 3
snipevane_oldest_waiting_seconds{pool=\"p-0\"} 1.5
snipevane_oldest_waiting_seconds{pool=\"p-1\"} 0.25
snipevane_free_cores{pool=\"p-0\"} 0.5
snipevane_free_cores{pool=\"p-1\"} 16
snipevane_store_reached 1
unreadable
";

const OTHER: &str = "snipevane_config_version 31
snipevane_term_held 0
snipevane_term_fence 3
snipevane_tasks_waiting{pool=\"p-0\"} 9
snipevane_store_reached 0
";

#[test]
fn figures_of_a_term_that_is_over_are_not_shown() {
    let texts = [Some(SCHEDULER), Some(OTHER), None];
    let rows = texts.iter().enumerate().map(|(number, text)| {
        let address = format!("10.0.0.{number}:7001").parse().unwrap();
        let samples = text.map(Samples::parse);
        NodeRow::new(address, samples.as_ref())
    });
    let rows: Vec<NodeRow> = rows.collect();
    assert_eq!(rows[0].waiting, Some(123));
    assert_eq!(rows[1].waiting, None);
    assert_snapshot!("entry_vms", render_nodes(&rows));
}
