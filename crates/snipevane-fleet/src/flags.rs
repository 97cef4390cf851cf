//! Command-line flags.

xflags::xflags! {
    /// Takes jobs from callers and runs their tasks on minions.
    ///
    /// Exit codes: 0 success, 1 failure, 2 invalid settings or usage.
    cmd snipevane-fleet {
        /// Port on which to serve metrics; without it, no metrics are served.
        optional --metrics-port port: u16
        /// Validates the settings, prints all findings, and exits.
        optional --check
    }
}
