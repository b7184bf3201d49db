//! Load of a whole service, from what its upstreams stated to any router.

use std::time::Duration;

use ferry_decisions::admission::ServiceLoad;
use ferry_decisions::names::ServiceName;
use ferry_decisions::time::MonotonicTime;
use ferry_decisions::workload::WorkLoad;

use crate::relay::relay_core::RelayCore;
use crate::relay::upstreams::RelayUpstream;

/// Age up to which a stated load counts. The fleet hears several answers a second of each upstream, which arrive within 2 s.
const MAX_AGE: Duration = Duration::from_secs(3);

/// Sums of the newest loads of the upstreams of `service` to which requests may be sent.
pub(super) fn service_load(
    core: &RelayCore,
    service: &ServiceName,
    now: MonotonicTime,
) -> ServiceLoad {
    let mut sum = ServiceLoad::default();
    for upstream in core.upstreams.of_service(service).iter() {
        if upstream.is_leaving() || core.is_evacuated(upstream) {
            continue;
        }
        sum.upstreams += 1;
        if let Some(load) = newest_load(core, upstream, now) {
            sum.reporting += 1;
            sum.running += u64::from(load.running);
            sum.waiting += u64::from(load.waiting);
            sum.slots += u64::from(load.slots);
        }
    }
    sum
}

/// The load that `upstream` stated last, to this router or another one; only with the contention of its machine.
fn newest_load(core: &RelayCore, upstream: &RelayUpstream, now: MonotonicTime) -> Option<WorkLoad> {
    let own = upstream.work_load(MAX_AGE, now);
    let pooled = core.load.view(&upstream.record.incarnation, now).load;
    let known = own.into_iter().chain(pooled);
    let is_known = |load: &WorkLoad| {
        let age = Duration::from_millis(load.age_ms.into());
        load.contention.is_some() && load.slots > 0 && age <= MAX_AGE
    };
    known.filter(is_known).min_by_key(|load| load.age_ms)
}
