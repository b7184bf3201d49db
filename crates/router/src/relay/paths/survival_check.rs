//! Checks whether an upstream survived the break of a connection that was counted as its crash.

use std::sync::Arc;

use super::open_link::probe;
use super::witness_query::is_reached_by_others;
use crate::relay::relay_core::SharedCore;
use crate::relay::upstreams::RelayUpstream;

/// Checks `upstream` in the background after the break of a direct connection: it survived if this router cannot connect to it right
/// afterwards and another one still reaches the same process.
pub fn check_survival(core: &SharedCore, upstream: &Arc<RelayUpstream>) {
    let Some(check) = SurvivalCheck::begin(upstream) else {
        return;
    };
    let (core_of_task, upstream) = (core.clone(), Arc::clone(upstream));
    core.spawn(async move {
        let _check = check;
        if !probe(&core_of_task, &upstream).await
            && is_reached_by_others(&core_of_task, &upstream, None).await
        {
            let incarnation = &upstream.record.incarnation;
            core_of_task.crashes.record_survival(incarnation);
        }
    });
}

/// Marks an upstream as being checked until it is dropped.
struct SurvivalCheck(Arc<RelayUpstream>);

impl SurvivalCheck {
    /// Begins a check of `upstream`; `None` if one is in progress.
    fn begin(upstream: &Arc<RelayUpstream>) -> Option<Self> {
        upstream.begin_check().then(|| Self(Arc::clone(upstream)))
    }
}

impl Drop for SurvivalCheck {
    fn drop(&mut self) {
        self.0.end_check();
    }
}
