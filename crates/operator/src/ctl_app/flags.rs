//! Command line of `ferryctl`.

#![allow(
    missing_docs,
    reason = "the macro generates items without documentation"
)]

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Reads and changes the configuration of a fleet.
    cmd ferryctl {
        /// Settings file; ferryctl.yaml when absent.
        optional --settings file: PathBuf
        /// Print JSON instead of tables.
        optional --json
        /// Publish the objects of a file; all of them take hold or none.
        cmd apply {
            /// File with objects.
            required -f,--file file: PathBuf
            /// Seconds to wait until the change is in force.
            optional --wait seconds: u64
        }
        /// Delete an object.
        cmd delete {
            /// workspace, model, version, cascade or rule.
            required kind: String
            required name: String
        }
        /// Show objects.
        cmd get {
            /// workspace, model, version, cascade or rule; all when absent.
            optional kind: String
            optional name: String
        }
        /// Stop all new work of a version.
        cmd withdraw {
            required version: String
        }
        /// Keep a version for its sessions only.
        cmd retire {
            required version: String
        }
        /// Show every router.
        cmd status {
        }
        /// Show what relays on the users' platform believe.
        cmd relays {
            /// IP:PORT of their metrics.
            repeated addresses: SocketAddr
        }
        /// Show what was decided about a request: from log files if some are named, else from the routers.
        cmd explain {
            required request: String
            /// Log files, of several routers if need be.
            repeated logs: PathBuf
            /// Read log lines from standard input, too.
            optional --stdin
        }
        /// Follow the changes of the configuration.
        cmd watch {
            /// Offset to start from; the end when absent.
            optional --from offset: u64
            /// End after this many records.
            optional --count records: u64
        }
        /// Check a file with objects without publishing it.
        cmd check {
            required file: PathBuf
        }
        /// Print the digest of the key on standard input.
        cmd digest {
        }
    }
}
