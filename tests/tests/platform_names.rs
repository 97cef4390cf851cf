//! The wire names of the users' platform may occur only in the adapter in `platform/`, the one
//! place that decodes them, and not in the crates of the product.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::fs;
use std::path::{Path, PathBuf};

/// Names that the platform's interfaces use and that the product's crates must not contain.
const PLATFORM_NAMES: [&str; 22] = [
    "run-start",
    "run-stop",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "ackCursor",
    "holdMaxMs",
    "hostMachine",
    "rolloutWave",
    "schemaVersion",
    "tableName",
    "fencingToken",
    "grantToken",
    "validityMs",
    "decisionMs",
    "drainRemainingMs",
    "machine-move",
    "machine-upkeep",
    "missAllowed",
    "antiAffinity",
    "fillLevels",
    "nodeName",
];

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn product_crates_dont_use_platform_names() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("../crates");
    let mut files = Vec::new();
    for entry in fs::read_dir(crates).expect("the crates") {
        let folder = entry.expect("a crate").path();
        collect_sources(&folder.join("src"), &mut files);
        // The stand-ins in `platform/` speak the platform's names for the tests of daemons too.
        let tests = folder.join("tests");
        if tests.exists() {
            collect_sources(&tests, &mut files);
        }
    }
    assert!(files.len() > 200, "the sources were found");
    let mut leaks = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("a source");
        let named = PLATFORM_NAMES.iter().filter(|name| text.contains(**name));
        leaks.extend(named.map(|name| format!("{name} in {}", file.display())));
    }
    assert_eq!(leaks, Vec::<String>::new());
}
