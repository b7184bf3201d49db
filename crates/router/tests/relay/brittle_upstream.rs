//! Brittle upstreams as the tests of relays start them.

use std::sync::Arc;
use std::time::Duration;

use ferry_standin::brittle::{AnswerPlan, BrittleOptions, ReturnName};
use ferry_standin::{BrittleStandin, BrittleTimes, StoreStandin};

use crate::deployment::SERVICE;

/// Requests that run at once.
pub const SLOTS: u32 = 4;
/// Time for which one runs.
pub const RUN_TIME: Duration = Duration::from_millis(200);
/// Requests that may wait before fewer may, and from then on.
const LONG_QUEUE: u32 = 24;
pub const SHORT_QUEUE: u32 = 3;
/// Rejections in a second that it survives.
pub const SURVIVED: u32 = 3;
/// Time between a break down and the return.
pub const AWAY_TIME: Duration = Duration::from_secs(3);

/// A brittle upstream `name` of the tests' service.
pub fn brittle_options(name: &str, zone: &str, returns_as: ReturnName) -> BrittleOptions {
    BrittleOptions {
        id: name.to_owned(),
        service: SERVICE.to_owned(),
        zone: zone.to_owned(),
        slots: SLOTS,
        long_queue: LONG_QUEUE,
        short_queue: SHORT_QUEUE,
        survived: SURVIVED,
        away_time: AWAY_TIME,
        returns_as,
        keeps_abandoned: false,
    }
}

/// Starts the upstream that `options` describe, which answers with whole bodies.
pub async fn start_brittle(
    store: &StoreStandin,
    options: BrittleOptions,
    times: BrittleTimes,
) -> Arc<BrittleStandin> {
    let plan = AnswerPlan::whole(RUN_TIME);
    let upstream = BrittleStandin::start(store, options, plan).await.unwrap();
    upstream.schedule(times);
    upstream
}
