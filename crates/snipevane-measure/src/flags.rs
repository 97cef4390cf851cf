//! Flags of `snipevane-measure`.
//!
//! The macro generates the types from the declaration, which documents each of them.

#![allow(missing_docs, unreachable_pub)]

use std::path::PathBuf;

xflags::xflags! {
    /// Measures policies and the request path.
    cmd snipevane-measure {
        /// Prints a table of the measured rounds in a journal of the users' bench.
        cmd rounds {
            /// Folder that holds the journal entries.
            required --journal folder: PathBuf
        }
        /// Compares routing strategies by simulations of the same bursts.
        cmd routing {
            /// Prints the result as JSON.
            optional --json
            /// Seed of the random demand.
            optional --seed seed: u64
        }
        /// Compares strategies for at-most-once execution by table writes and unknown outcomes.
        cmd claims {
            /// Prints the result as JSON.
            optional --json
            /// Seed of the random requests and crashes.
            optional --seed seed: u64
        }
        /// Compares allocations of limits by the requests refused below a team's limit.
        cmd limits {
            /// Prints the result as JSON.
            optional --json
            /// Seed of the random demand.
            optional --seed seed: u64
        }
        /// Measures the resources and platform requests of entry VMs around an outage of the
        /// platform.
        cmd control {
            /// Prints the result as JSON.
            optional --json
            /// Number of entry VMs; 2, 4 and 8 one after the other if absent.
            repeated --entries count: usize
        }
        /// Measures the request path on loopback, direct and through an entry VM.
        cmd path {
            /// Prints the result as JSON.
            optional --json
        }
        /// Runs one process of a measured site; started by the measurements themselves.
        cmd part {
            /// Kind of the process: entry, platform or backend.
            required kind: String
            /// File of the process's settings.
            required settings: PathBuf
        }
    }
}
