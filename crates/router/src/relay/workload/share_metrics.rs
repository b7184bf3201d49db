//! Metrics of fair shares.

/// Counts a rejected request of `priority` for `service`.
pub fn count_share_rejection(service: &str, priority: u8) {
    metrics::counter!("ferry_share_rejections_total", "service" => service.to_owned(), "priority" => priority.to_string())
        .increment(1);
}

/// Records whether `service` is contended.
pub(super) fn record_contention(service: &str, is_contended: bool) {
    let value = if is_contended { 1.0 } else { 0.0 };
    metrics::gauge!("ferry_service_contended", "service" => service.to_owned()).set(value);
}
