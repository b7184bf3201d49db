//! What can be ordered to go wrong.

use ferry_decisions::{closed_set, value_type};

value_type! {
    /// The faults in force; whatever is absent works.
    #[derive(Default)]
    #[serde(default)]
    pub struct FaultOrder {
        /// Calls fail.
        pub outage: Option<OutageOrder>,
        /// Calls are answered late.
        pub slow: Option<SlowOrder>,
        /// Answers are lost after their effect.
        pub lose_answers: Option<AnswerLoss>,
        /// Nothing is answered and no step is made until the fault is lifted.
        pub freeze: bool,
        /// Load reports are no longer renewed; engines and services only.
        pub drop_load_reports: bool,
        /// Refuses work and says in its load reports that it is leaving; engines and services only.
        pub leaving: bool,
        /// A marked request crashes the stand-in; engines and services only.
        pub crash: Option<CrashOrder>,
        /// Each connection of a stream breaks after this many tokens; engines only.
        pub break_streams_after: Option<u64>,
        /// Engine steps take this many times longer; engines only.
        pub step_factor: Option<f64>,
        /// Fraction of the answers, from 0 to 1, that carry the marker of a bad answer; engines only.
        pub bad_answers: Option<f64>,
    }

    /// Calls that fail.
    pub struct OutageOrder {
        /// How they fail.
        pub answer: OutageAnswer,
        /// Start of the paths concerned; empty for all.
        #[serde(default)]
        pub path: String,
    }

    /// Calls that are answered late.
    pub struct SlowOrder {
        /// Added time, in milliseconds.
        pub ms: u64,
        /// Start of the paths concerned; empty for all.
        #[serde(default)]
        pub path: String,
    }

    /// Answers that are lost: the call takes effect, then the connection is closed.
    pub struct AnswerLoss {
        /// Number of answers to lose; calls by GET are not counted.
        pub count: u64,
        /// Start of the paths concerned; empty for all.
        #[serde(default)]
        pub path: String,
    }

    /// A request that crashes whoever runs it.
    pub struct CrashOrder {
        /// Text in the request's body that causes the crash.
        pub marker: String,
        /// Keep the process: break all connections and refuse new ones until the restart. A stand-in
        /// that is no process of its own always does so.
        #[serde(default)]
        pub simulate: bool,
        /// Break all connections, and take new ones without an answer for this many milliseconds before
        /// the process is gone.
        #[serde(default)]
        pub hang_ms: u64,
        /// Restart by itself after this many milliseconds; otherwise at `POST /standin/restart`.
        #[serde(default)]
        pub restart_ms: Option<u64>,
    }
}

closed_set! {
    /// How a call fails in an outage.
    pub enum OutageAnswer {
        /// Status 503.
        Unavailable,
        /// The connection is closed without an answer.
        Drop,
    }

    /// What a stand-in stands in for.
    pub enum StandinKind {
        /// Log service, host list and rating service.
        Platform,
        /// A model engine.
        Engine,
        /// A plain service.
        Service,
    }
}

/// Why an order is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The fault does not exist on this kind of stand-in.
    #[error("{fault:?} is no fault of a {kind:?}; leave it out")]
    NotOfKind {
        /// Key of the fault.
        fault: &'static str,
        /// Kind of the stand-in.
        kind: StandinKind,
    },
    /// The value is outside its range.
    #[error("{fault:?} must be {range}")]
    OutOfRange {
        /// Key of the fault.
        fault: &'static str,
        /// Values that are allowed.
        range: &'static str,
    },
}

impl FaultOrder {
    /// Checks the order for a stand-in of `kind`.
    ///
    /// # Errors
    ///
    /// Fails when a fault does not exist on that kind or a value is out of range.
    pub fn check(&self, kind: StandinKind) -> Result<(), OrderError> {
        let upstream = kind != StandinKind::Platform;
        let engine = kind == StandinKind::Engine;
        let placements = [
            ("drop_load_reports", self.drop_load_reports, upstream),
            ("leaving", self.leaving, upstream),
            ("crash", self.crash.is_some(), upstream),
            (
                "break_streams_after",
                self.break_streams_after.is_some(),
                engine,
            ),
            ("step_factor", self.step_factor.is_some(), engine),
            ("bad_answers", self.bad_answers.is_some(), engine),
        ];
        if let Some((fault, ..)) = placements.iter().find(|(_, set, fits)| *set && !fits) {
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
                    .is_none_or(|part| (0.0..=1.0).contains(&part)),
            ),
            (
                "crash.marker",
                "a text that is not empty",
                self.crash
                    .as_ref()
                    .is_none_or(|crash| !crash.marker.is_empty()),
            ),
        ];
        match ranges.iter().find(|(.., fits)| !fits) {
            Some((fault, range, _)) => Err(OrderError::OutOfRange { fault, range }),
            None => Ok(()),
        }
    }
}
