//! One process of a site: an entry VM, a platform stand-in or a backend server stand-in.
//!
//! Tests start it as `site-process KIND SETTINGS_FILE`.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends it")]

use std::env;
use std::path::Path;
use std::process::ExitCode;

use snipevane_standin::{Backend, Platform, read_settings};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let [kind, file] = args.as_slice() else {
        eprintln!("usage: site-process entry|platform|backend SETTINGS_FILE");
        return ExitCode::from(2);
    };
    let file = Path::new(file);
    match kind.as_str() {
        "entry" => snipevane_entry::process::run(file),
        kind => run_standin(kind, file),
    }
}

#[tokio::main]
async fn run_standin(kind: &str, file: &Path) -> ExitCode {
    if kind == "platform" {
        let platform = Platform::start(read_settings(file).unwrap()).await.unwrap();
        println!("listening {}", platform.address());
        std::future::pending::<()>().await;
    }
    let backend = Backend::start(read_settings(file).unwrap()).await.unwrap();
    println!(
        "listening {} {}",
        backend.address(),
        backend.control_address()
    );
    std::future::pending::<()>().await;
    ExitCode::SUCCESS
}
