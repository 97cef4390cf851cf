//! Commands and flags of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use humantime::Duration as Age;

xflags::xflags! {
    /// Operates a snipevane site.
    ///
    /// Exit codes: 0 success, 1 refused or failed, 2 invalid input or usage, 3 no entry VM reached.
    cmd snipevane {
        /// Operator listener of an entry VM, as IP:port; the first one that responds is used.
        repeated --entry addr: SocketAddr
        /// File that holds the operator key.
        optional --operator-key-file file: PathBuf
        /// Prints the result as JSON.
        optional --json

        /// Checks a manifest and prints all findings.
        cmd check {
            /// File of the manifest.
            required file: PathBuf
        }

        /// Puts a manifest in force.
        cmd apply {
            /// File of the manifest.
            required file: PathBuf
            /// Version that the manifest replaces; the version in force if absent.
            optional --based-on version: u64
            /// Waits until every known entry VM has the version in force.
            optional --wait
            /// Maximum time to wait; 60s if absent.
            optional --wait-limit time: Age
        }

        /// Issues, withdraws and lists keys of teams.
        cmd key {
            /// Issues a new key to a team and prints it; it can't be shown again.
            cmd give {
                /// Name of the team.
                required team: String
            }
            /// Withdraws a key.
            cmd withdraw {
                /// Identifier of the key.
                required id: String
            }
            /// Lists the keys without their secrets.
            cmd list {}
        }

        /// Shows pools, and moves or reboots their VMs.
        cmd pool {
            /// Shows the pools with their VMs.
            cmd show {
                /// Name of the only pool to show.
                optional name: String
            }
            /// Drains a VM, moves it to another pool and reboots it.
            cmd move {
                /// Name of the VM.
                required vm: String
                /// Pool that the VM joins.
                required to: String
            }
            /// Drains a VM and reboots it.
            cmd reboot {
                /// Name of the VM.
                required vm: String
            }
        }

        /// Takes a VM out of service once its work is done, within the availability budget.
        cmd drain {
            /// Name of the VM.
            required vm: String
            /// Puts the VM back into service.
            optional --cancel
            /// Waits until the VM is empty.
            optional --wait
            /// Maximum time to wait; 10min if absent.
            optional --wait-limit time: Age
        }

        /// Shows entry VMs, backend servers, teams and the versions in force.
        cmd status {
            /// Metrics address of an entry VM that runs jobs; shows a table with a row per address.
            repeated --metrics addr: SocketAddr
        }

        /// Shows the history of a job or task from the logs of the daemons that run jobs.
        cmd explain {
            /// Identifier of the job, step or task.
            required id: String
            /// Log file; standard input if none is given.
            repeated --log file: PathBuf
        }

        /// Merges the events of all entry VMs in causal order.
        cmd timeline {
            /// Maximum age of the events, for example `10m`.
            optional --since age: Age
            /// Shows only events of this team.
            optional --team team: String
            /// Shows only events of this VM.
            optional --vm vm: String
        }

        /// Runs a small site inside one process and reports whether its guarantees held.
        cmd demo {
            /// Keeps the site running and prints example commands.
            optional --stay
        }
    }
}
