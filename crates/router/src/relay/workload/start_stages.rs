//! What this router has learned of the stages of cascades.

use std::collections::HashMap;
use std::time::Duration;

use ferry_decisions::cascade::{DropRates, ServicePace};
use ferry_decisions::names::ServiceName;
use ferry_decisions::time::MonotonicTime;
use parking_lot::Mutex;

/// Maximum number of services whose pace is kept; the configuration has far fewer.
const MAX_SERVICES: usize = 256;

/// Shares of dropped answers, and the time that runs take now.
#[derive(Debug, Default)]
pub struct StartStages {
    /// Dropped and kept answers by class and size range.
    pub rates: Mutex<DropRates>,
    paces: Mutex<HashMap<ServiceName, ServicePace>>,
}

impl StartStages {
    /// Records a complete run at `service` that took `took` where `expected` was expected on an idle upstream.
    pub fn record_run(
        &self,
        service: &ServiceName,
        took: Duration,
        expected: Duration,
        now: MonotonicTime,
    ) {
        let mut paces = self.paces.lock();
        if !paces.contains_key(service) && paces.len() >= MAX_SERVICES {
            // Services that are gone from the configuration are forgotten; the others are known again after a few runs.
            paces.clear();
        }
        let pace = paces.entry(service.clone()).or_default();
        pace.record(took, expected, now);
    }

    /// Time that runs at `service` take now as a multiple of the expected one; 1 if it is not known.
    pub fn pace(&self, service: &ServiceName, now: MonotonicTime) -> f64 {
        let paces = self.paces.lock();
        paces.get(service).map_or(1.0, |pace| pace.factor(now))
    }
}
