//! Sets up the log of a process.

use std::io;
use std::time::SystemTime;

use log::LevelFilter;
use snipevane_proto::settings::LogLevel;

/// Sends log records to standard error, one line each.
///
/// A second call in the same process changes nothing.
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
    // An embedding program may have set a logger of its own, which then stays.
    let _ = dispatch.apply();
}
