//! Kinds of failed attempts, and what each implies for retries.

closed_set! {
    /// Whether a request is known to have run. Ordered, so that the maximum over several attempts
    /// is the state of the request.
    #[derive(Default)]
    pub enum RunState {
        /// It certainly did not run.
        #[default]
        NotRun,
        /// It may have run.
        MayHaveRun,
        /// It ran.
        Ran,
    }

    /// Kind of failure of an attempt.
    pub enum UpstreamFailure {
        /// No connection was established, so no byte of the request was sent.
        ConnectFailed,
        /// The upstream reported that its queue is full and that it did not run the request.
        QueueFull,
        /// The upstream reported that it is leaving and that it did not run the request.
        Leaving,
        /// The upstream refused the request for another reason and reported that it did not run it.
        RefusedNotRun,
        /// The upstream does not have the model that the caller named, and did not run the request; no other upstream of the service does.
        UnknownModel,
        /// The connection broke after a byte of the request was sent and before the answer began.
        BrokenBeforeAnswer,
        /// The path to the upstream was lost after a byte of the request was sent and before the answer began; the upstream may be
        /// sound.
        PathLost,
        /// The connection broke during the answer.
        BrokenInAnswer,
        /// The upstream answered with a server error that does not say whether the request ran.
        ServerError,
        /// The upstream answered with data that its protocol does not allow.
        MalformedAnswer,
        /// No answer arrived within the time limit of the attempt.
        TimedOut,
        /// The upstream rejected the request as invalid, without reporting that it did not run it.
        BadRequest,
    }
}

impl UpstreamFailure {
    /// What this failure implies about whether the request ran.
    pub fn run_state(self) -> RunState {
        match self {
            Self::ConnectFailed
            | Self::QueueFull
            | Self::Leaving
            | Self::RefusedNotRun
            | Self::UnknownModel => RunState::NotRun,
            Self::BrokenBeforeAnswer
            | Self::PathLost
            | Self::ServerError
            | Self::TimedOut
            | Self::BadRequest => RunState::MayHaveRun,
            Self::BrokenInAnswer | Self::MalformedAnswer => RunState::Ran,
        }
    }

    /// Whether another upstream might answer the request.
    pub fn may_succeed_elsewhere(self) -> bool {
        !matches!(self, Self::BadRequest | Self::UnknownModel)
    }

    /// Whether the upstream should temporarily receive no other requests.
    pub fn makes_suspect(self) -> bool {
        match self {
            Self::ConnectFailed
            | Self::BrokenBeforeAnswer
            | Self::BrokenInAnswer
            | Self::MalformedAnswer => true,
            Self::PathLost
            | Self::QueueFull
            | Self::Leaving
            | Self::RefusedNotRun
            | Self::UnknownModel
            | Self::ServerError
            | Self::TimedOut
            | Self::BadRequest => false,
        }
    }
}
