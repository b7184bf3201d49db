//! What may be repeated.

closed_set! {
    /// Whether a request may run more than once, and the shape of its answer.
    pub enum RunKind {
        /// May run any number of times.
        Idempotent,
        /// May run at most once.
        Once,
        /// A series of events that may be resumed after a break, at another upstream too.
        ResumableStream,
        /// A series of events that runs at most once.
        Stream,
    }
}

impl RunKind {
    /// Whether a second run of the same request does no harm.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent | Self::ResumableStream => true,
            Self::Once | Self::Stream => false,
        }
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        match self {
            Self::ResumableStream | Self::Stream => true,
            Self::Idempotent | Self::Once => false,
        }
    }

    /// Name as metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Once => "once",
            Self::ResumableStream => "resumable_stream",
            Self::Stream => "stream",
        }
    }
}
