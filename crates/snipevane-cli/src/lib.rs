//! Command line for operators, which checks and applies manifests, issues and withdraws keys,
//! drains and moves VMs, and shows the state and the event timeline of a site.
//!
//! Exit codes: 0 success, 1 refused or failed, 2 invalid input or usage, 3 no entry VM was reached.

mod apply;
mod check;
mod client;
mod demo;
mod error;
mod explain;
mod flags;
mod key;
mod nodes;
mod output;
mod pool;
mod status;
mod timeline;

use std::ffi::OsString;
use std::process::ExitCode;

use tokio::runtime;

pub use client::{Client, Reply};
pub use error::CliError;
pub use explain::{Gap, History, LogLine, explain, parse_log};
pub use nodes::{NodeRow, Samples, render_nodes};
pub use timeline::render_timeline;

use flags::{Snipevane, SnipevaneCmd};

/// Runs one command and returns its exit code.
///
/// `args` doesn't include the program's name.
pub fn run(args: Vec<OsString>) -> ExitCode {
    let flags = match Snipevane::from_vec(args) {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            println!("{error}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{error}");
            return CliError::Usage(String::new()).exit_code();
        }
    };
    match dispatch(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}

fn dispatch(flags: Snipevane) -> Result<(), CliError> {
    let runtime = runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(CliError::Runtime)?;
    let json = flags.json;
    if let SnipevaneCmd::Check(cmd) = &flags.subcommand {
        return check::run(&cmd.file, json);
    }
    if let SnipevaneCmd::Explain(cmd) = &flags.subcommand {
        return explain::run(cmd, json);
    }
    if let SnipevaneCmd::Status(cmd) = &flags.subcommand
        && !cmd.metrics.is_empty()
    {
        return runtime.block_on(nodes::run(&cmd.metrics, json));
    }
    if let SnipevaneCmd::Demo(cmd) = &flags.subcommand {
        return runtime.block_on(demo::run(cmd.stay, json));
    }
    let client = Client::from_files(&flags.entry, flags.operator_key_file.as_deref())?;
    runtime.block_on(async {
        match flags.subcommand {
            SnipevaneCmd::Check(_) | SnipevaneCmd::Demo(_) | SnipevaneCmd::Explain(_) => Ok(()),
            SnipevaneCmd::Apply(cmd) => apply::run(&client, &cmd, json).await,
            SnipevaneCmd::Key(cmd) => key::run(&client, cmd.subcommand, json).await,
            SnipevaneCmd::Pool(cmd) => pool::run(&client, cmd.subcommand, json).await,
            SnipevaneCmd::Drain(cmd) => pool::drain(&client, &cmd, json).await,
            SnipevaneCmd::Status(_) => status::run(&client, json).await,
            SnipevaneCmd::Timeline(cmd) => timeline::run(&client, &cmd, json).await,
        }
    })
}
