//! Flags of `ferry-standin`.

#![allow(missing_docs)]

use std::net::SocketAddr;

xflags::xflags! {
    /// Emulates what chestnutferry is served by, on one address.
    cmd ferry-standin {
        /// Log service, host list and rating service.
        cmd platform {
            /// Address to listen on, IP:PORT; port 0 takes any free port.
            required --listen listen: SocketAddr
            /// Appends that the log takes in a second.
            optional --appends-per-second count: u32
            /// Records kept in each stream.
            optional --keep-records count: usize
            /// Greatest age of a record, in milliseconds.
            optional --keep-ms ms: u64
            /// Time after which the host list shows a change, in milliseconds.
            optional --hosts-lag-ms ms: u64
            /// Time that a rating takes, in milliseconds.
            optional --ratings-lag-ms ms: u64
        }
        /// A model engine.
        cmd engine {
            /// Address to listen on, IP:PORT; port 0 takes any free port.
            required --listen listen: SocketAddr
            /// Base address of the platform to register with, http://IP:PORT.
            optional --platform url: String
            /// Name in the host list.
            required --name name: String
            /// Availability zone.
            required --zone zone: String
            /// A version that the engine serves; may be repeated.
            repeated --version version: String
            /// Duration of a step, in milliseconds.
            optional --step-ms ms: f64
            /// Requests that run at once.
            optional --batch count: usize
            /// Requests that may wait.
            optional --queue count: usize
            /// Prompt tokens that a request takes in during one step.
            optional --prefill-tokens count: u64
            /// Blocks of 16 tokens that the prefix cache holds.
            optional --cache-blocks count: usize
            /// Age of the load reports, in milliseconds.
            optional --load-lag-ms ms: u64
            /// Tokens of an answer when the request sets no limit.
            optional --tokens count: u32
        }
        /// A plain service.
        cmd service {
            /// Address to listen on, IP:PORT; port 0 takes any free port.
            required --listen listen: SocketAddr
            /// Base address of the platform to register with, http://IP:PORT.
            optional --platform url: String
            /// Name in the host list.
            required --name name: String
            /// Availability zone.
            required --zone zone: String
            /// Service that it runs.
            required --service service: String
            /// Time that a call takes, in milliseconds.
            optional --duration-ms ms: u64
            /// Calls that run at once.
            optional --calls count: usize
            /// Age of the load reports, in milliseconds.
            optional --load-lag-ms ms: u64
        }
        /// Metadata store of the users' platform.
        cmd store {
            /// Address to listen on, IP:PORT; port 0 takes any free port.
            required --listen listen: SocketAddr
        }
        /// Upstream of the users' platform, which registers itself until it is stopped.
        cmd replica {
            /// Address to listen on, IP:PORT; port 0 takes any free port.
            required --listen listen: SocketAddr
            /// Address of the store to register in, IP:PORT.
            required --store store: SocketAddr
            /// Identifier.
            required --id id: String
            /// Service that it belongs to.
            required --service service: String
            /// Version of its software.
            required --version version: String
            /// Requests that it runs at once.
            optional --slots count: u32
        }
    }
}
