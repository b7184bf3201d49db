//! Flags of `ferry-standin`.

#![allow(missing_docs)]

use std::net::SocketAddr;

xflags::xflags! {
    /// Emulates one of the external systems that chestnutferry depends on, on one address.
    cmd ferry-standin {
        /// Log service, host list and rating service.
        cmd platform {
            /// Address to listen on, IP:PORT; port 0 takes any free port.
            required --listen listen: SocketAddr
            /// Appends that the log accepts per second.
            optional --appends-per-second count: u32
            /// Maximum number of records kept in each stream.
            optional --keep-records count: usize
            /// Maximum age of a record, in milliseconds.
            optional --keep-ms ms: u64
            /// Delay before the host list shows a change, in milliseconds.
            optional --hosts-lag-ms ms: u64
            /// Duration of a rating call, in milliseconds.
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
            /// Version that the engine serves; may be repeated.
            repeated --version version: String
            /// Duration of an engine step, in milliseconds.
            optional --step-ms ms: f64
            /// Requests that run concurrently.
            optional --batch count: usize
            /// Requests that may wait in the queue.
            optional --queue count: usize
            /// Prompt tokens processed per request in one step.
            optional --prefill-tokens count: u64
            /// Blocks of 16 tokens that the prefix cache holds.
            optional --cache-blocks count: usize
            /// Age of the load reports, in milliseconds.
            optional --load-lag-ms ms: u64
            /// Tokens in an answer when the request sets no limit.
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
            /// Name of the service.
            required --service service: String
            /// Duration of a call, in milliseconds.
            optional --duration-ms ms: u64
            /// Calls that run concurrently.
            optional --calls count: usize
            /// Age of the load reports, in milliseconds.
            optional --load-lag-ms ms: u64
        }
        /// Metadata store of the users' platform.
        cmd store {
            /// Address to listen on, IP:PORT; port 0 takes any free port.
            required --listen listen: SocketAddr
        }
        /// Upstream of the users' platform; renews its registration in the store until it is
        /// stopped.
        cmd replica {
            /// Address to listen on, IP:PORT; port 0 takes any free port.
            required --listen listen: SocketAddr
            /// Address of the store to register in, IP:PORT.
            required --store store: SocketAddr
            /// Identifier of the upstream.
            required --id id: String
            /// Service that the upstream belongs to.
            required --service service: String
            /// Software version of the upstream.
            required --version version: String
            /// Availability zone of the upstream.
            optional --zone zone: String
            /// Requests that the upstream runs concurrently.
            optional --slots count: u32
        }
    }
}
