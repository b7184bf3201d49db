//! Judges the ends of answers.

use std::sync::Arc;

use ferry_decisions::ends::{AnswerEnd, EndMark, EndVerdict, ProcessSign};
use ferry_decisions::names::HostName;
use ferry_kernel::http::BodyFraming;

use super::RelayRun;
use super::silence_meter::SilenceMeter;
use crate::relay::paths::check_process;
use crate::relay::upstreams::RelayUpstream;

/// An end of an answer, with where the answer came from.
pub(super) struct EndedAnswer<'a> {
    /// The end.
    pub(super) end: AnswerEnd,
    /// Upstream that sent the answer.
    pub(super) upstream: &'a Arc<RelayUpstream>,
    /// Router through which it came; absent if it came directly.
    pub(super) detour: Option<&'a HostName>,
    /// How long nothing was read of it; a body that is read as a whole counts as one piece.
    pub(super) silence: &'a SilenceMeter,
    /// Number of pieces of a stream that the answer gave.
    pub(super) pieces: u32,
}

/// What marks the end of a body that was read to its end without an error.
pub(super) fn end_mark(framing: BodyFraming) -> EndMark {
    match framing {
        BodyFraming::Delimited => EndMark::Framing,
        BodyFraming::UntilClose => EndMark::Close,
    }
}

impl RelayRun {
    /// What becomes of an answer that ended; asks whether its upstream lives where the end does not tell.
    pub(super) async fn judge_end(&self, answer: &EndedAnswer<'_>) -> EndVerdict {
        if let Some(verdict) = answer.end.plain_verdict() {
            if verdict != EndVerdict::Whole {
                self.log_end(answer, verdict, None);
            }
            return verdict;
        }
        let silence = answer.silence.longest();
        let sign = check_process(&self.core, answer.upstream, answer.detour, silence).await;
        let verdict = answer.end.verdict(sign, answer.upstream.is_leaving());
        self.log_end(answer, verdict, Some(sign));
        verdict
    }

    /// Logs an end with its verdict, and with the sign of the process if that was needed.
    fn log_end(&self, answer: &EndedAnswer<'_>, verdict: EndVerdict, sign: Option<ProcessSign>) {
        let service = answer.upstream.record.service.to_string();
        metrics::counter!("ferry_relay_unmarked_ends_total", "service" => service, "verdict" => verdict.name())
            .increment(1);
        spdlog::info!("answer ended without proof that it is complete", kv: {
            request_id = self.request.id.as_str(),
            upstream = answer.upstream.id(),
            mark:? = answer.end.mark,
            place:? = answer.end.place,
            sign:? = sign,
            silence_ms = answer.silence.longest().as_millis() as u64,
            verdict = verdict.name(),
            leaving = answer.upstream.is_leaving(),
            pieces = answer.pieces,
        });
    }
}
