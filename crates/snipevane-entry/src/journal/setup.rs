//! Logger setup.

use std::io;
use std::time::SystemTime;

use log::LevelFilter;
use snipevane_proto::settings::LogLevel;

/// Installs a logger that writes one line per record to standard error.
///
/// `level` applies to records of this project; other libraries log from level warn on. A second
/// call in the same process has no effect.
pub fn init_log(level: LogLevel) {
    let filter = match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    };
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            out.finish(format_args!("{time} {} {message}", record.level()));
        })
        .level(LevelFilter::Warn)
        .level_for("snipevane", filter)
        .chain(io::stderr());
    // This fails if a logger is already installed, for example by an embedding program; that
    // logger is kept.
    let _ = dispatch.apply();
}
