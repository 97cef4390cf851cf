//! Writes the manifest at the target size; `samples/target.json` holds its output.
//!
//! Run `cargo run -p snipevane-tests --example target_manifest > samples/target.json`.

use std::error::Error;

use snipevane_tests::target_manifest::{SEED, target_manifest};

fn main() -> Result<(), Box<dyn Error>> {
    println!("{}", serde_json::to_string_pretty(&target_manifest(SEED))?);
    Ok(())
}
