//! Messages about paths between routers.

use std::time::Duration;

use ferry_decisions::registry::UpstreamIncarnation;
use ferry_decisions::time::duration_micros;
use serde::{Deserialize, Serialize};

/// A message about paths.
#[derive(Debug, Serialize, Deserialize)]
pub enum PathMessage {
    /// Asks which upstreams the receiver reaches by its own paths.
    Reach(ReachQuery),
    /// Says what an upstream stated in an answer that came through the receiver.
    Statement(UpstreamStatement),
}

/// A question about upstreams.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReachQuery {
    /// Upstreams asked about.
    pub upstreams: Vec<UpstreamIncarnation>,
    /// How the receiver finds out.
    pub proof: ReachProof,
}

/// What shows that an upstream is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReachProof {
    /// Data heard a moment ago, or a new connection.
    Recent,
    /// The same as [`Self::SameProcess`]; routers of builds before that one ask so, and take a new connection for it.
    NewConnection,
    /// The upstream's own reply, in the listed incarnation, on a connection that is opened after the question.
    SameProcess,
}

/// Answer to a message.
#[derive(Debug, Serialize, Deserialize)]
pub enum PathAnswer {
    /// Whether each upstream is reached, in the order of the question.
    Reached(Vec<bool>),
    /// The statement was taken note of.
    Noted,
}

/// What an upstream stated about the requests that it wants.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct UpstreamStatement {
    /// Upstream.
    pub upstream: UpstreamIncarnation,
    /// Whether it is leaving.
    pub leaves: bool,
    /// Time for which it wants no request from the router that it sees; zero if it asked for none.
    #[serde(with = "duration_micros")]
    pub pause: Duration,
}

/// First message on a tunnel.
#[derive(Debug, Serialize, Deserialize)]
pub struct TunnelQuery {
    /// Upstream to connect to.
    pub upstream: UpstreamIncarnation,
}

/// Answer to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelAnswer {
    /// The upstream is connected; all further messages are data.
    Opened,
    /// The answering router does not reach the upstream.
    Lost,
    /// The upstream is not listed there, wants no request, or too many tunnels are open.
    Refused,
}
