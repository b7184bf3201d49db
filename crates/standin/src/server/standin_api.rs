//! Dispatch of a server's calls to its kind of stand-in.

use std::sync::Arc;

use ferry_kernel::http::HttpBody;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use crate::engine::EngineState;
use crate::faults::StandinKind;
use crate::platform::PlatformState;
use crate::replica::ReplicaState;
use crate::reply;
use crate::service::ServiceState;
use crate::store::StoreState;

/// State of the stand-in that answers the calls of one server.
#[derive(Debug, Clone)]
pub(crate) enum StandinApi {
    /// Log service, host list and rating service.
    Platform(Arc<PlatformState>),
    /// A model engine.
    Engine(Arc<EngineState>),
    /// A plain service.
    Service(Arc<ServiceState>),
    /// Metadata store of the users' platform.
    Store(Arc<StoreState>),
    /// Upstream of the users' platform.
    Replica(Arc<ReplicaState>),
}

impl StandinApi {
    /// Kind of the stand-in, which determines the faults it supports. A store counts as a platform
    /// and an upstream as a service.
    pub(crate) fn kind(&self) -> StandinKind {
        match self {
            Self::Platform(_) | Self::Store(_) => StandinKind::Platform,
            Self::Engine(_) => StandinKind::Engine,
            Self::Service(_) | Self::Replica(_) => StandinKind::Service,
        }
    }

    /// Answers a call of the stand-in's published protocol.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<HttpBody> {
        match self {
            Self::Platform(state) => state.answer(request).await,
            Self::Engine(state) => state.answer(request).await,
            Self::Service(state) => state.answer(request).await,
            Self::Store(state) => state.answer(request).await,
            Self::Replica(state) => state.answer(request).await,
        }
    }

    /// Answers a call below `/standin/`.
    pub(crate) async fn answer_control(&self, request: Request<Incoming>) -> Response<HttpBody> {
        match self {
            Self::Platform(state) => state.answer_control(request).await,
            Self::Engine(state) => state.answer_control(&request),
            Self::Service(state) => state.answer_control(&request),
            Self::Store(_) | Self::Replica(_) => reply::error(
                StatusCode::NOT_FOUND,
                "this stand-in takes only fault orders",
            ),
        }
    }

    /// Discards all work, as a crash does.
    pub(crate) fn crash(&self) {
        match self {
            Self::Platform(_) | Self::Service(_) | Self::Store(_) | Self::Replica(_) => {}
            Self::Engine(state) => state.crash(),
        }
    }

    /// Prepares a stop: refuses new work, and ends calls that only wait.
    pub(crate) fn leave(&self) {
        match self {
            Self::Platform(state) => state.cancel_waiting_reads(),
            Self::Engine(state) => state.leave(),
            Self::Service(state) => state.leave(),
            Self::Store(_) | Self::Replica(_) => {}
        }
    }

    /// Stops background tasks.
    pub(crate) fn stop(&self) {
        match self {
            Self::Platform(_) | Self::Store(_) | Self::Replica(_) => {}
            Self::Engine(state) => state.stop(),
            Self::Service(state) => state.stop(),
        }
    }
}
