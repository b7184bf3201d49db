//! Policies for containing poison requests.

use ferry_decisions::closed_set;

closed_set! {
    /// A policy for containing poison requests, which crash the upstreams that run them.
    pub enum QuarantineVariant {
        /// Requests are retried on other upstreams a few times, also after a crash.
        NoContainment,
        /// Each router uses only the crashes that it observed itself.
        Alone,
        /// Routers share the observed crashes and the runs of suspected requests.
        Pooled,
    }
}

impl QuarantineVariant {
    /// Name in reports.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoContainment => "no containment",
            Self::Alone => "each alone",
            Self::Pooled => "pooled",
        }
    }
}
