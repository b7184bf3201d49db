//! Brittle upstreams that break down and come back.

use std::time::Duration;

use ferry_standin::brittle::ReturnName;

use crate::brittle_play::{ALLOWED_FALLS, BrittlePlay};

/// Requests for half of what the upstreams can do: none need be rejected.
#[tokio::test(flavor = "multi_thread")]
async fn brittle_upstreams_that_are_half_busy_serve_all() {
    let play = BrittlePlay {
        pause: Duration::from_millis(10),
        ..BrittlePlay::default()
    };
    let result = play.run().await;
    assert_eq!(result.falls, 0, "{result:?}");
    assert!(result.served >= 0.95, "{result:?}");
}

/// Requests for 1.7 times what the upstreams can do.
#[tokio::test(flavor = "multi_thread")]
async fn brittle_upstreams_at_many_routers_do_not_fall_and_are_used() {
    let play = BrittlePlay {
        pause: Duration::from_millis(3),
        ..BrittlePlay::default()
    };
    let result = play.run().await;
    assert!(result.falls <= ALLOWED_FALLS, "{result:?}");
    assert!(result.served >= 0.45, "{result:?}");
}

async fn assert_returns_end_in_no_fall(returns_as: ReturnName) {
    let play = BrittlePlay {
        pause: Duration::from_millis(4),
        crashes: 3,
        returns_as,
        ..BrittlePlay::default()
    };
    let result = play.run().await;
    assert!(result.falls <= ALLOWED_FALLS, "{result:?}");
    assert!(result.served >= 0.45, "{result:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_brittle_upstream_that_returns_does_not_fall_again() {
    assert_returns_end_in_no_fall(ReturnName::Same).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_brittle_upstream_that_returns_under_another_id_does_not_fall_again() {
    assert_returns_end_in_no_fall(ReturnName::New).await;
}
