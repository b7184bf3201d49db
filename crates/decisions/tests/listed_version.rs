//! Versions that appear before the order to roll them out is known.

use std::time::Duration;

use ferry_decisions::names::VersionName;
use ferry_decisions::rollout::{ListedVersion, confirmed_versions};
use proptest::prelude::*;

fn usable(listed: &[(VersionName, u64)], version: &VersionName, confirmed_ms: u64) -> bool {
    let listed = listed.iter().map(|(version, age_ms)| ListedVersion {
        version,
        listed_age: Duration::from_millis(*age_ms),
    });
    let confirmed = confirmed_versions(listed, Duration::from_millis(confirmed_ms));
    confirmed.is_empty() || confirmed.contains(&version)
}

/// Load pattern: the upstreams of a new version are listed in the middle of the traffic, the order is read half a second later.
#[test]
fn a_new_version_gets_no_request_before_the_orders_were_confirmed_after_its_listing() {
    let (old, new) = (VersionName::new("v1"), VersionName::new("v2"));
    // Confirmations at 400 ms intervals; the one that follows the listing at 1,100 ms is that of 1,200 ms, known 450 ms later.
    for now in 1_100..3_000_u64 {
        let known = now.saturating_sub(450);
        let confirmed_ms = now - known / 400 * 400;
        let listed = [(old.clone(), now), (new.clone(), now - 1_100)];
        assert!(usable(&listed, &old, confirmed_ms));
        assert_eq!(
            usable(&listed, &new, confirmed_ms),
            now >= 1_650,
            "at {now} ms"
        );
    }
}

proptest! {
    /// Whatever is listed when, one version at least can be used, and none that only late listings have beside a confirmed one.
    #[test]
    fn some_version_is_usable(
        listed in prop::collection::vec((0..4u8, 0..5_000u64), 1..20),
        confirmed_ms in 0..6_000u64,
    ) {
        let listed: Vec<(VersionName, u64)> = listed
            .into_iter()
            .map(|(version, age)| (VersionName::new(&format!("v{version}")), age))
            .collect();
        let usable_count = listed
            .iter()
            .filter(|(version, _)| usable(&listed, version, confirmed_ms))
            .count();
        prop_assert!(usable_count > 0);
        let confirmed = |version: &VersionName| {
            listed.iter().any(|(other, age)| other == version && confirmed_ms < *age)
        };
        let any_confirmed = listed.iter().any(|(version, _)| confirmed(version));
        for (version, _) in &listed {
            prop_assert_eq!(usable(&listed, version, confirmed_ms), confirmed(version) || !any_confirmed);
        }
    }
}
