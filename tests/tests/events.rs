//! Checks that docs/events.md lists the events of both daemons' catalogues, with the same numbers,
//! levels, texts and fields.

use snipevane_core::events::EventKind;

const PAGE: &str = include_str!("../../docs/events.md");

#[test]
fn the_page_lists_every_event_of_the_catalogue() {
    let rows: Vec<[&str; 4]> = PAGE
        .lines()
        .filter(|line| line.starts_with("| SV"))
        .map(|line| {
            let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
            assert_eq!(cells.len(), 5, "{line}");
            assert!(!cells[4].is_empty(), "no advice: {line}");
            [cells[0], cells[1], cells[2], cells[3]]
        })
        .collect();
    let kinds: Vec<&EventKind> = snipevane_entry::journal::CATALOGUE
        .iter()
        .chain(snipevane_fleet::events::CATALOGUE)
        .collect();
    let catalogue: Vec<[String; 4]> = kinds
        .iter()
        .map(|kind| {
            let level = kind.level.to_string();
            [
                format!("SV{}", kind.number),
                level,
                kind.text.to_owned(),
                kind.fields.join(", "),
            ]
        })
        .collect();
    assert_eq!(rows, catalogue);
    let numbers: Vec<u16> = kinds.iter().map(|kind| kind.number).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}
