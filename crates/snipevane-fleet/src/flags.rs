//! Flags of the command line.

xflags::xflags! {
    /// Takes jobs from callers and runs their tasks on minions.
    ///
    /// Exit codes: 0 done, 1 failed, 2 bad settings or usage.
    cmd snipevane-fleet {
        /// Port at which metrics are served; none if absent.
        optional --metrics-port port: u16
        /// Checks the settings, prints all findings, and ends.
        optional --check
    }
}
