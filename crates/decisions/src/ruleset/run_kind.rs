//! Whether requests may run more than once, and the form of their answers.

closed_set! {
    /// Whether a request may run more than once, and the form of its answer.
    pub enum RunKind {
        /// May run any number of times.
        Idempotent,
        /// May run at most once.
        Once,
        /// An event stream that can be resumed after it broke off, also on another upstream.
        ResumableStream,
        /// An event stream of a request that may run at most once.
        Stream,
    }
}

impl RunKind {
    /// Whether the same request may safely run again.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent | Self::ResumableStream => true,
            Self::Once | Self::Stream => false,
        }
    }

    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        match self {
            Self::ResumableStream | Self::Stream => true,
            Self::Idempotent | Self::Once => false,
        }
    }

    /// Name used as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Once => "once",
            Self::ResumableStream => "resumable_stream",
            Self::Stream => "stream",
        }
    }
}
