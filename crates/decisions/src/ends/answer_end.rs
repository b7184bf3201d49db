//! Whether an answer is whole, by how and where its body ended and what its upstream's process did since.

/// End of the body of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerEnd {
    /// What marked it.
    pub mark: EndMark,
    /// Where it fell.
    pub place: EndPlace,
}

closed_set! {
    /// What marked the end of a body.
    pub enum EndMark {
        /// Its length or last chunk.
        Framing,
        /// The end of the connection, which a process that ends brings about as well.
        Close,
        /// A reset or a failure of the connection.
        Reset,
    }

    /// Where a body ended.
    pub enum EndPlace {
        /// Behind an event, or somewhere in a body that is no stream of events.
        Boundary,
        /// Inside an event.
        InsideEvent,
        /// Before the first event of a stream that has not begun.
        BeforeEvents,
    }

    /// What is known of the process that sent an answer, by a connection that was opened to its address after the answer's end.
    pub enum ProcessSign {
        /// The upstream that sent the answer replied on it.
        Same,
        /// Another one replied: the process that sent the answer has ended.
        Replaced,
        /// The connection stayed open, and its process can't be asked who it is.
        Accepted,
        /// It was refused: no process listens there any more.
        Refused,
        /// There was no reply, or one that says nothing of the process.
        Unreached,
    }

    /// What becomes of an answer at its end.
    pub enum EndVerdict {
        /// It is whole, as far as anybody can tell.
        Whole,
        /// It was broken off by its upstream.
        Broken,
        /// It may be whole or not, which is nobody's fault that is known.
        Unproven,
    }
}

impl ProcessSign {
    /// Whether the process is known to have outlived the answer, as far as it can be asked.
    pub fn is_alive(self) -> bool {
        matches!(self, Self::Same | Self::Accepted)
    }

    /// The sign of a connection of one's own, where another router that asked after the end too has reached the same process if
    /// `is_reached`: the path may be at fault.
    pub fn with_witness(self, is_reached: bool) -> Self {
        match (self, is_reached) {
            (Self::Refused | Self::Unreached, true) => Self::Same,
            (sign, _) => sign,
        }
    }
}

impl EndPlace {
    /// Why an answer that ended here was broken off, for log lines.
    pub fn break_reason(self) -> &'static str {
        match self {
            Self::Boundary => "the upstream ended",
            Self::InsideEvent => "the stream ended inside an event",
            Self::BeforeEvents => "the stream ended before its first event",
        }
    }
}

impl EndVerdict {
    /// Name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Broken => "broken",
            Self::Unproven => "unproven",
        }
    }
}

impl AnswerEnd {
    /// The verdict that needs no sign of the process; `None` where one is needed.
    pub fn plain_verdict(&self) -> Option<EndVerdict> {
        match (self.place, self.mark) {
            (EndPlace::InsideEvent, _) | (_, EndMark::Reset) => Some(EndVerdict::Broken),
            (EndPlace::BeforeEvents, EndMark::Close) => Some(EndVerdict::Broken),
            (_, EndMark::Framing) => Some(EndVerdict::Whole),
            (EndPlace::Boundary, EndMark::Close) => None,
        }
    }

    /// The verdict with a `sign` of the process, which `is_leaving` if it has said so or its entry does.
    ///
    /// A process that leaves may end at any moment after its last answer, so that its end is no evidence against it.
    pub fn verdict(&self, sign: ProcessSign, is_leaving: bool) -> EndVerdict {
        if let Some(verdict) = self.plain_verdict() {
            return verdict;
        }
        match sign {
            ProcessSign::Same | ProcessSign::Accepted => EndVerdict::Whole,
            ProcessSign::Replaced | ProcessSign::Refused if !is_leaving => EndVerdict::Broken,
            ProcessSign::Replaced | ProcessSign::Refused | ProcessSign::Unreached => {
                EndVerdict::Unproven
            }
        }
    }
}
