//! Whether a service is contended, from the loads that its upstreams state.

/// Part of the slots in waiting requests from which a service is contended if most slots are taken too.
const WAITING_BEGIN: f64 = 0.05;
/// Part of the slots that must be taken for waiting requests to count. Engines state requests as waiting until their first token, so that requests of long
/// prompts wait at engines with free slots.
const WAITING_TAKEN: f64 = 0.75;
/// Part of the slots in use at which a service becomes contended.
const TAKEN_BEGIN: f64 = 0.9;
/// Part of the slots in use below which contention ends. The gap prevents rejections that stop and begin with each figure.
const TAKEN_END: f64 = 0.6;

/// Sums of the fresh loads of a service's upstreams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub waiting: u64,
    /// Requests that run at once.
    pub slots: u64,
    /// Upstreams whose load is in the sums.
    pub reporting: usize,
    /// Upstreams of the service.
    pub upstreams: usize,
}

impl ServiceLoad {
    /// Waiting requests as a part of the slots.
    pub fn waiting_part(&self) -> f64 {
        self.waiting as f64 / self.slots.max(1) as f64
    }

    /// Part of the slots that is taken.
    pub fn taken_part(&self) -> f64 {
        self.running as f64 / self.slots.max(1) as f64
    }

    /// Whether the service is contended if it `was_contended` a moment ago. It is not where the load of most upstreams is unknown.
    pub fn is_contended(&self, was_contended: bool) -> bool {
        let is_known = self.slots > 0 && 2 * self.reporting >= self.upstreams;
        let taken = self.taken_part();
        let is_loaded = match was_contended {
            true => taken >= TAKEN_END,
            false => {
                taken >= TAKEN_BEGIN
                    || taken >= WAITING_TAKEN && self.waiting_part() >= WAITING_BEGIN
            }
        };
        is_known && is_loaded
    }
}
