//! Flags of `snipevane-measure`.
//!
//! The macro generates the types from the declaration, which documents each of them.

#![allow(missing_docs, unreachable_pub)]

use std::path::PathBuf;

xflags::xflags! {
    /// Measures the policy and the request path.
    cmd snipevane-measure {
        /// Prints the table of measured rounds of a journal of the users' bench.
        cmd rounds {
            /// Folder with the journal's entries.
            required --journal folder: PathBuf
        }
        /// Runs ways of routing side by side under bursts.
        cmd routing {
            /// Prints JSON in place of the table.
            optional --json
            /// Seeds the demand.
            optional --seed seed: u64
        }
        /// Measures table writes and unknown outcomes of ways to run a request at most once.
        cmd claims {
            /// Prints JSON in place of the table.
            optional --json
            /// Seeds the requests and the crashes.
            optional --seed seed: u64
        }
        /// Measures the part of the work below a team's limit that is refused.
        cmd limits {
            /// Prints JSON in place of the table.
            optional --json
            /// Seeds the demand.
            optional --seed seed: u64
        }
        /// Measures what entry VMs spend on control, and how they treat the platform around an outage.
        cmd control {
            /// Prints JSON in place of the table.
            optional --json
            /// Numbers of entry VMs, by default 2, 4 and 8.
            repeated --entries count: usize
        }
        /// Measures the request path over processes on loopback, direct and through an entry VM.
        cmd path {
            /// Prints JSON in place of the table.
            optional --json
        }
        /// Runs one process of the request path's measurement, which starts it by itself.
        cmd part {
            /// One of entry, platform, backend.
            required kind: String
            /// Settings file.
            required settings: PathBuf
        }
    }
}
