//! Metrics of permits and of brittle upstreams, by service.
//!
//! The number of series is bounded by that of the services.

use ferry_decisions::limits::PermitOutcome;
use ferry_decisions::names::ServiceName;

/// How a query for a permit ended at the router that asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryEnd {
    /// The permit was issued.
    Issued,
    /// There is none now.
    Refused,
    /// The issuer did not answer.
    Unanswered,
}

/// How a permit ended at its issuer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitEnd {
    /// Its router reported this outcome.
    Reported(PermitOutcome),
    /// Its lifetime was over before.
    Expired,
}

impl QueryEnd {
    fn name(self) -> &'static str {
        match self {
            Self::Issued => "issued",
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
        }
    }
}

impl PermitEnd {
    fn name(self) -> &'static str {
        match self {
            Self::Reported(PermitOutcome::Done) => "done",
            Self::Reported(PermitOutcome::Unused) => "unused",
            Self::Reported(PermitOutcome::Abandoned) => "abandoned",
            Self::Reported(PermitOutcome::Rejected) => "rejected",
            Self::Expired => "expired",
        }
    }
}

/// Counts a query of this router.
pub fn count_query(service: &ServiceName, end: QueryEnd) {
    metrics::counter!("ferry_permit_queries_total", "service" => service.to_string(), "outcome" => end.name())
        .increment(1);
}

/// Counts that this router asks another issuer than the last time for an upstream.
pub fn count_issuer_change(service: &ServiceName) {
    metrics::counter!("ferry_permit_issuer_changes_total", "service" => service.to_string())
        .increment(1);
}

/// Counts that this router begins to issue the permits of an upstream.
pub fn count_issuer_start(service: &ServiceName, is_substitute: bool) {
    let role = if is_substitute { "substitute" } else { "first" };
    metrics::counter!("ferry_permit_issuer_starts_total", "service" => service.to_string(), "role" => role)
        .increment(1);
}

/// Counts an answer of this router, as the issuer, to a query for a permit.
pub fn count_permit(service: &ServiceName, is_issued: bool) {
    let outcome = if is_issued { "issued" } else { "refused" };
    metrics::counter!("ferry_permits_total", "service" => service.to_string(), "outcome" => outcome)
        .increment(1);
}

/// Counts `count` permits of this router, as the issuer, that ended.
pub fn count_permit_ends(service: &ServiceName, end: PermitEnd, count: u64) {
    metrics::counter!("ferry_permit_ends_total", "service" => service.to_string(), "outcome" => end.name())
        .increment(count);
}

/// Changes the number of open permits that this router has issued.
pub fn change_open(service: &ServiceName, change: f64) {
    metrics::gauge!("ferry_permits_open", "service" => service.to_string()).increment(change);
}

/// Counts an answer of an upstream that says that it is brittle, to a request with or without a permit.
pub fn count_brittle_answer(service: &ServiceName, has_permit: bool) {
    metrics::counter!("ferry_brittle_answers_total", "service" => service.to_string(), "permit" => yes_or_no(has_permit))
        .increment(1);
}

/// Counts a rejection by such an upstream.
pub fn count_brittle_rejection(service: &ServiceName, has_permit: bool) {
    metrics::counter!("ferry_brittle_rejections_total", "service" => service.to_string(), "permit" => yes_or_no(has_permit))
        .increment(1);
}

/// Counts an upstream of a brittle service that another process has replaced although it did not leave.
pub fn count_brittle_end(service: &ServiceName) {
    metrics::counter!("ferry_brittle_ends_total", "service" => service.to_string()).increment(1);
}

/// Sets the number of upstreams of which this router keeps the limit of cold ones.
pub fn set_cold(service: &ServiceName, count: usize) {
    metrics::gauge!("ferry_cold_upstreams", "service" => service.to_string()).set(count as f64);
}

/// Counts a request for which this router got no permit of a cold upstream.
pub fn count_cold_refusal(service: &ServiceName) {
    metrics::counter!("ferry_cold_refusals_total", "service" => service.to_string()).increment(1);
}

fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
