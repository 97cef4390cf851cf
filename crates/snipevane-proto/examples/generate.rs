//! Generates Rust types from the schemas in `schemas/` into `src/generated/`.
//!
//! Run `cargo run -p snipevane-proto --example generate` after changing a schema. With `--check` it
//! writes nothing and fails if the generated files are out of date.

use std::error::Error;
use std::path::Path;
use std::{env, fs};

use schemars08::schema::RootSchema;
use typify::{TypeSpace, TypeSpaceSettings};

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let check_only = env::args().any(|arg| arg == "--check");
    let mut stale = Vec::new();
    for entry in fs::read_dir(root.join("schemas"))? {
        let path = entry?.path();
        let Some(stem) = path.file_name().and_then(|name| name.to_str()) else {
            continue;
        };
        let Some(name) = stem.strip_suffix(".schema.json") else {
            continue;
        };
        let text = generate(&fs::read_to_string(&path)?)?;
        let target = root
            .join("src/generated")
            .join(format!("{}.rs", name.replace('-', "_")));
        if check_only {
            if fs::read_to_string(&target).ok().as_deref() != Some(text.as_str()) {
                stale.push(name.to_owned());
            }
        } else {
            fs::write(target, text)?;
        }
    }
    if stale.is_empty() {
        return Ok(());
    }
    Err(format!(
        "generated types are out of date with their schemas: {}",
        stale.join(", ")
    )
    .into())
}

fn generate(schema: &str) -> Result<String, Box<dyn Error>> {
    let schema: RootSchema = serde_json::from_str(schema)?;
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    settings.with_map_type("::std::collections::BTreeMap".to_owned());
    let mut space = TypeSpace::new(&settings);
    space.add_root_schema(schema)?;
    let file = syn::parse2(space.to_stream())?;
    Ok(prettyplease::unparse(&file))
}
