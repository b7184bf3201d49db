//! Orders that inject faults into a stand-in.

use ferry_decisions::{closed_set, value_type};

value_type! {
    /// The set of active faults; an absent fault is inactive.
    #[derive(Default)]
    #[serde(default)]
    pub struct FaultOrder {
        /// Calls fail.
        pub outage: Option<OutageOrder>,
        /// Calls are delayed.
        pub slow: Option<SlowOrder>,
        /// Answers are lost after the call has taken effect.
        pub lose_answers: Option<AnswerLoss>,
        /// No call is answered and no engine step is made until the fault is cleared.
        pub freeze: bool,
        /// Load reports are no longer updated; engines and services only.
        pub drop_load_reports: bool,
        /// New work is refused, and load reports state that the host is leaving; engines and
        /// services only.
        pub leaving: bool,
        /// A request that contains a marker crashes the stand-in; engines and services only.
        pub crash: Option<CrashOrder>,
        /// Each connection of a stream breaks after this many tokens; engines only.
        pub break_streams_after: Option<u64>,
        /// Factor by which the duration of engine steps is multiplied; engines only.
        pub step_factor: Option<f64>,
        /// Step duration that load reports state in place of the real one, in milliseconds, which may be any number; engines only.
        pub stated_step_ms: Option<f64>,
        /// Fraction of the answers, from 0 to 1, that contain the marker of a bad answer; engines
        /// only.
        pub bad_answers: Option<f64>,
    }

    /// Outage, in which calls fail.
    pub struct OutageOrder {
        /// How the calls fail.
        pub answer: OutageAnswer,
        /// Prefix of the affected paths, which may go on into their query; empty for all paths.
        #[serde(default)]
        pub path: String,
    }

    /// Delay of calls.
    pub struct SlowOrder {
        /// Added delay, in milliseconds.
        pub ms: u64,
        /// Prefix of the affected paths, which may go on into their query; empty for all paths.
        #[serde(default)]
        pub path: String,
    }

    /// Loss of answers: the call takes effect, then the connection is closed without an answer.
    pub struct AnswerLoss {
        /// Number of answers to lose; GET calls are never affected and not counted.
        pub count: u64,
        /// Prefix of the affected paths, which may go on into their query; empty for all paths.
        #[serde(default)]
        pub path: String,
    }

    /// Crash caused by a request that contains a marker.
    pub struct CrashOrder {
        /// Text in a request's body that causes the crash; must not be empty.
        pub marker: String,
        /// Keep the process running, but break all connections and refuse new ones until the
        /// restart. A stand-in that runs in-process always does so.
        #[serde(default)]
        pub simulate: bool,
        /// Before the crash, break all connections and leave new ones unanswered for this many
        /// milliseconds.
        #[serde(default)]
        pub hang_ms: u64,
        /// Time until the automatic restart, in milliseconds; when absent, the stand-in restarts on
        /// `POST /standin/restart`.
        #[serde(default)]
        pub restart_ms: Option<u64>,
    }
}

closed_set! {
    /// How a call fails during an outage.
    pub enum OutageAnswer {
        /// The call is answered with status 503.
        Unavailable,
        /// The connection is closed without an answer.
        Drop,
    }

    /// Kind of system that a stand-in emulates.
    pub enum StandinKind {
        /// Log service, host list and rating service.
        Platform,
        /// A model engine.
        Engine,
        /// A plain service.
        Service,
    }
}

/// Reason why a fault order is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The fault is not available on this kind of stand-in.
    #[error("{fault:?} is no fault of a {kind:?}; leave it out")]
    NotOfKind {
        /// Key of the fault in the order.
        fault: &'static str,
        /// Kind of the stand-in.
        kind: StandinKind,
    },
    /// A value is out of range.
    #[error("{fault:?} must be {range}")]
    OutOfRange {
        /// Key of the fault in the order.
        fault: &'static str,
        /// Description of the allowed values.
        range: &'static str,
    },
}

impl FaultOrder {
    /// Checks that a stand-in of `kind` supports the order.
    ///
    /// # Errors
    ///
    /// Fails when a fault is not available on that kind of stand-in or a value is out of range.
    pub fn check(&self, kind: StandinKind) -> Result<(), OrderError> {
        let is_upstream = kind != StandinKind::Platform;
        let is_engine = kind == StandinKind::Engine;
        let availability = [
            ("drop_load_reports", self.drop_load_reports, is_upstream),
            ("leaving", self.leaving, is_upstream),
            ("crash", self.crash.is_some(), is_upstream),
            (
                "break_streams_after",
                self.break_streams_after.is_some(),
                is_engine,
            ),
            ("step_factor", self.step_factor.is_some(), is_engine),
            ("stated_step_ms", self.stated_step_ms.is_some(), is_engine),
            ("bad_answers", self.bad_answers.is_some(), is_engine),
        ];
        if let Some((fault, ..)) = availability
            .iter()
            .find(|(_, is_set, is_available)| *is_set && !is_available)
        {
            return Err(OrderError::NotOfKind { fault, kind });
        }
        self.check_ranges()
    }

    fn check_ranges(&self) -> Result<(), OrderError> {
        let ranges = [
            (
                "step_factor",
                "between 0.01 and 10000",
                self.step_factor
                    .is_none_or(|factor| (0.01..=10_000.0).contains(&factor)),
            ),
            (
                "bad_answers",
                "between 0 and 1",
                self.bad_answers
                    .is_none_or(|fraction| (0.0..=1.0).contains(&fraction)),
            ),
            (
                "crash.marker",
                "a text that is not empty",
                self.crash
                    .as_ref()
                    .is_none_or(|crash| !crash.marker.is_empty()),
            ),
        ];
        match ranges.iter().find(|(.., is_in_range)| !is_in_range) {
            Some((fault, range, _)) => Err(OrderError::OutOfRange { fault, range }),
            None => Ok(()),
        }
    }
}
