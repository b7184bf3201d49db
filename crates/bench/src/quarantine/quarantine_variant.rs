//! Policies against requests that crash upstreams.

use ferry_decisions::closed_set;

closed_set! {
    /// A policy against requests that crash upstreams.
    pub enum QuarantineVariant {
        /// Requests are tried elsewhere a few times, whatever happened to their upstream.
        NoContainment,
        /// Each router contains what it saw itself.
        Alone,
        /// Crashes and runs of suspects are pooled.
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
