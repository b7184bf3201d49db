//! Ways in which an attempt on an upstream fails.

closed_set! {
    /// What is known about the run of a request, least certain of harm first.
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

    /// How an attempt failed.
    pub enum UpstreamFailure {
        /// No connection: no byte of the request was handed over.
        ConnectFailed,
        /// The upstream said that its queue is full and that it did not run the request.
        QueueFull,
        /// The upstream said that it is leaving and that it did not run the request.
        Leaving,
        /// The upstream refused the request in another way and said that it did not run it.
        RefusedNotRun,
        /// The connection broke after a byte was handed over, before the answer began.
        BrokenBeforeAnswer,
        /// The connection broke within the answer.
        BrokenInAnswer,
        /// The upstream answered with a server error that does not say whether it ran.
        ServerError,
        /// The upstream answered with something that is not an answer of its protocol.
        MalformedAnswer,
        /// No answer came in the time that the attempt had.
        TimedOut,
        /// The upstream said that the request itself is wrong, not that it did not run it.
        BadRequest,
    }
}

impl UpstreamFailure {
    /// What this failure tells about the run.
    pub fn run_state(self) -> RunState {
        match self {
            Self::ConnectFailed | Self::QueueFull | Self::Leaving | Self::RefusedNotRun => {
                RunState::NotRun
            }
            Self::BrokenBeforeAnswer | Self::ServerError | Self::TimedOut | Self::BadRequest => {
                RunState::MayHaveRun
            }
            Self::BrokenInAnswer | Self::MalformedAnswer => RunState::Ran,
        }
    }

    /// Whether another upstream might answer.
    pub fn may_succeed_elsewhere(self) -> bool {
        self != Self::BadRequest
    }

    /// Whether the upstream should get no other work for a while.
    pub fn makes_suspect(self) -> bool {
        match self {
            Self::ConnectFailed
            | Self::BrokenBeforeAnswer
            | Self::BrokenInAnswer
            | Self::MalformedAnswer => true,
            Self::QueueFull
            | Self::Leaving
            | Self::RefusedNotRun
            | Self::ServerError
            | Self::TimedOut
            | Self::BadRequest => false,
        }
    }
}
