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
        /// Publish the objects of a file, all of them or none.
        cmd apply {
            /// Configuration file.
            required -f,--file file: PathBuf
            /// Seconds to wait until the change is in force; 9 when absent.
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
        /// Stop all new work on a version.
        cmd withdraw {
            required version: String
        }
        /// Restrict a version to the sessions that are pinned to it.
        cmd retire {
            required version: String
        }
        /// Show the status of every router.
        cmd status {
        }
        /// Show the status of relays on the users' platform.
        cmd relays {
            /// IP:PORT of the metrics port of each relay.
            repeated addresses: SocketAddr
        }
        /// Explain how a request was handled, from log files if any are named, otherwise from the routers.
        cmd explain {
            required request: String
            /// Log files of one or more routers.
            repeated logs: PathBuf
            /// Also read log lines from standard input.
            optional --stdin
        }
        /// Follow the changes of the configuration.
        cmd watch {
            /// Offset to start from; the end of the stream when absent.
            optional --from offset: u64
            /// Stop after this many records.
            optional --count records: u64
        }
        /// Validate a configuration file without publishing it.
        cmd check {
            required file: PathBuf
        }
        /// Print the digest of the key on standard input.
        cmd digest {
        }
    }
}
