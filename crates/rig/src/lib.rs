//! Test harness that starts a fleet of real processes on loopback addresses: stand-ins, routers, relays,
//! and TCP proxies between them that can cut or stall connections. Its client calls the routers.

mod answer;
mod crashing_upstream;
mod curl_line;
mod fleet;
mod link_proxy;
mod operator_tool;
mod pause_bound;
mod process;
mod raw_call;
mod relay_fixture;
mod relay_process;
mod retry_excess;
mod rig_client;
mod wait;

pub use answer::{ChatResult, Refusal, RigAnswer};
pub use crashing_upstream::{CrashingUpstream, DownPort};
pub use curl_line::curl_request;
pub use fleet::{ADMIN_TOKEN, EngineNode, FleetRig, Programs, RouterNode, ServiceNode};
pub use link_proxy::{LinkProxy, PartitionScope};
pub use operator_tool::ToolOutput;
pub use pause_bound::worst_pause_excess;
pub use process::{ChildProcess, RigError};
pub use raw_call::{RawBytes, call_raw};
pub use relay_fixture::{
    FIXTURE_DEADLINE, HOST_NAME, KEY, RelayFixture, SERVICE, WORKSPACE, fixture_headers,
    fixture_request, fixture_rule,
};
pub use relay_process::RelayProcess;
pub use retry_excess::{RetryExcess, worst_retry_excess};
pub use rig_client::{ChatCall, RigClient, read_refusal};
pub use wait::{LONG_WAIT, eventually};
