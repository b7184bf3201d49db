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
        /// Explain where a request would go now, without sending it.
        cmd where {
            /// IP:PORT of the metrics port of the relay to ask.
            required address: SocketAddr
            /// YAML file that describes the request; the flags below override its values.
            optional -f,--file file: PathBuf
            /// Host that the caller calls.
            optional --host host: String
            /// Path that the caller calls.
            optional --path path: String
            /// Model; the first of the rule's cascade when absent.
            optional --model model: String
            /// A part of the prompt; give one flag for each, in order.
            repeated --part id_tokens: String
            /// Tokens of the prompt.
            optional --prompt-tokens tokens: u32
            /// Most tokens of the answer.
            optional --answer-tokens tokens: u32
            /// The caller's estimate of the number of answer tokens.
            optional --hint tokens: u32
            /// Workspace of the caller.
            optional --workspace workspace: String
            /// Key of the caller, in place of the workspace.
            optional --key key: String
            /// Conversation of the request.
            optional --session session: String
            /// Milliseconds that the caller waits; the rule's timeout when absent.
            optional --deadline-ms milliseconds: u64
            /// An upstream that has failed the request; give one flag for each.
            repeated --tried upstream: String
            /// Random numbers of the choice, FIRST,SECOND as an answer stated them; drawn when absent.
            optional --points numbers: String
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
