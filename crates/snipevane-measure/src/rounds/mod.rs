//! Table of the measured rounds in the journal of the users' bench.

mod entry;
mod table;

use std::path::Path;

use crate::MeasureError;

use entry::Entry;

/// Prints the table of the rounds in a journal folder, as Markdown.
///
/// # Errors
///
/// Returns an error if the folder or an entry can't be read.
pub fn run(journal: &Path) -> Result<(), MeasureError> {
    let mut entries = Vec::new();
    for file in std::fs::read_dir(journal)? {
        let path = file?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            let entry: Entry = serde_json::from_slice(&std::fs::read(&path)?)?;
            entries.push(entry);
        }
    }
    entries.sort_by(|a, b| a.at.cmp(&b.at));
    print!("{}", table::render(&entries));
    Ok(())
}
