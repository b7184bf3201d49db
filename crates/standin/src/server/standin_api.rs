//! The closed set of stand-ins behind one server.

use std::sync::Arc;

use ferry_kernel::http::HttpBody;
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::engine::EngineState;
use crate::faults::StandinKind;
use crate::platform::PlatformState;
use crate::service::ServiceState;

/// What answers the calls of one server.
#[derive(Debug, Clone)]
pub(crate) enum StandinApi {
    /// Log service, host list and rating service.
    Platform(Arc<PlatformState>),
    /// A model engine.
    Engine(Arc<EngineState>),
    /// A plain service.
    Service(Arc<ServiceState>),
}

impl StandinApi {
    /// Which stand-in it is.
    pub(crate) fn kind(&self) -> StandinKind {
        match self {
            Self::Platform(_) => StandinKind::Platform,
            Self::Engine(_) => StandinKind::Engine,
            Self::Service(_) => StandinKind::Service,
        }
    }

    /// Answers a call of the published protocol.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<HttpBody> {
        match self {
            Self::Platform(state) => state.answer(request).await,
            Self::Engine(state) => state.answer(request).await,
            Self::Service(state) => state.answer(request).await,
        }
    }

    /// Answers a call below `/standin/`.
    pub(crate) async fn answer_control(&self, request: Request<Incoming>) -> Response<HttpBody> {
        match self {
            Self::Platform(state) => state.answer_control(request).await,
            Self::Engine(state) => state.answer_control(&request),
            Self::Service(state) => state.answer_control(&request),
        }
    }

    /// Forgets all work, as a crash does.
    pub(crate) fn crash(&self) {
        match self {
            Self::Platform(_) | Self::Service(_) => {}
            Self::Engine(state) => state.crash(),
        }
    }

    /// Refuses new work, and ends calls that only wait, before a stop.
    pub(crate) fn leave(&self) {
        match self {
            Self::Platform(state) => state.end_waits(),
            Self::Engine(state) => state.leave(),
            Self::Service(state) => state.leave(),
        }
    }

    /// Ends background tasks.
    pub(crate) fn stop(&self) {
        match self {
            Self::Platform(_) => {}
            Self::Engine(state) => state.stop(),
            Self::Service(state) => state.stop(),
        }
    }
}
