//! Selection of an upstream: exclusions, load balancing, affinity, correction of old load reports.

use std::time::Duration;

use ferry_decisions::admission::{FairStanding, PriorityClass, QueueRank};
use ferry_decisions::choice::{
    ChoiceConfig, ChoicePoints, ChoicePolicy, ChoiceQuery, InFlightHistory, NoUpstream,
    ReportedLoad, UpstreamChoice, UpstreamLoad, UpstreamState, UpstreamView,
};
use ferry_decisions::names::{HostName, ZoneName};
use proptest::prelude::*;

const POLICIES: [ChoicePolicy; 4] = [
    ChoicePolicy::RoundRobin,
    ChoicePolicy::Random,
    ChoicePolicy::LeastReported,
    ChoicePolicy::TwoChoices,
];

fn load(reported: u32, own_at_report: u32, own_in_flight: u32) -> UpstreamLoad {
    UpstreamLoad {
        own_in_flight,
        own_at_report,
        report: Some(ReportedLoad {
            running: reported,
            queued: 0,
            batch_limit: 8,
            queue_limit: 16,
            step_ms: 10.0,
        }),
        ..UpstreamLoad::default()
    }
}

fn names(count: usize) -> Vec<HostName> {
    (0..count)
        .map(|i| HostName::new(&format!("engine-{i}")))
        .collect()
}

fn views<'a>(
    names: &'a [HostName],
    zone: &'a ZoneName,
    loads: &[UpstreamLoad],
) -> Vec<UpstreamView<'a>> {
    names
        .iter()
        .zip(loads)
        .map(|(name, load)| UpstreamView {
            name,
            zone,
            state: UpstreamState::Live,
            load: *load,
        })
        .collect()
}

fn any_state() -> impl Strategy<Value = UpstreamState> {
    prop_oneof![
        Just(UpstreamState::Live),
        Just(UpstreamState::Leaving),
        Just(UpstreamState::Suspect),
    ]
}

proptest! {
    #[test]
    fn only_live_and_untried_upstreams_are_chosen(
        states in prop::collection::vec((any_state(), any::<bool>(), 0_u32..40), 0..12),
        first in 0.0..1.0_f64,
        second in 0.0..1.0_f64,
        turn in any::<u64>(),
        affinity in any::<Option<u64>>(),
    ) {
        let zone = ZoneName::new("a");
        let hosts = names(states.len());
        let loads: Vec<UpstreamLoad> = states.iter().map(|s| load(s.2, 0, 0)).collect();
        let mut views = views(&hosts, &zone, &loads);
        let mut tried = Vec::new();
        for (view, (state, was_tried, _)) in views.iter_mut().zip(&states) {
            view.state = *state;
            if *was_tried {
                tried.push(view.name.clone());
            }
        }
        let query = ChoiceQuery { zone: &zone, affinity, tried: &tried };
        let points = ChoicePoints { first, second, turn };
        let has_eligible = states.iter().any(|s| s.0 == UpstreamState::Live && !s.1);
        for policy in POLICIES {
            let choice = UpstreamChoice { policy, config: ChoiceConfig::default() };
            match choice.choose(&views, &query, points) {
                Ok(index) => {
                    prop_assert_eq!(states[index].0, UpstreamState::Live);
                    prop_assert!(!states[index].1);
                }
                Err(NoUpstream::NoneListed) => prop_assert!(states.is_empty()),
                Err(NoUpstream::AllExcluded { leaving, suspect, tried }) => {
                    prop_assert!(!has_eligible);
                    prop_assert_eq!((leaving + suspect + tried) as usize, states.len());
                }
            }
        }
    }

    #[test]
    fn two_choices_never_select_the_most_loaded_of_several(
        first in 0.0..1.0_f64,
        second in 0.0..1.0_f64,
    ) {
        let zone = ZoneName::new("a");
        let hosts = names(4);
        let views = views(&hosts, &zone, &[load(3, 0, 0), load(30, 0, 0), load(2, 0, 0), load(1, 0, 0)]);
        let query = ChoiceQuery { zone: &zone, affinity: None, tried: &[] };
        let points = ChoicePoints { first, second, turn: 0 };
        prop_assert_ne!(UpstreamChoice::default().choose(&views, &query, points), Ok(1));
    }

    #[test]
    fn the_in_flight_history_matches_a_complete_log(
        events in prop::collection::vec((0_u64..400, any::<bool>()), 1..60),
        back in 0_u64..5_000,
    ) {
        let rank = QueueRank::new(PriorityClass::Normal, FairStanding::Within);
        let mut history = InFlightHistory::default();
        let mut record = vec![(Duration::ZERO, 0_u32)];
        let (mut now, mut in_flight) = (Duration::ZERO, 0_u32);
        for (gap, begins) in events {
            now += Duration::from_millis(gap);
            if begins {
                history.begin(now, rank);
                in_flight += 1;
            } else {
                history.end(now, rank);
                in_flight = in_flight.saturating_sub(1);
            }
            record.push((now, in_flight));
        }
        let time = now.saturating_sub(Duration::from_millis(back));
        let slot_end = Duration::from_millis((time.as_millis() as u64 / 100 + 1) * 100);
        let expected = record.iter().rev().find(|(at, _)| *at < slot_end).map(|r| r.1);
        prop_assert_eq!(Some(history.at(time)), expected);
    }
}

#[test]
fn a_session_keeps_its_upstream_until_it_is_overloaded() {
    let zone = ZoneName::new("a");
    let hosts = names(6);
    let query = ChoiceQuery {
        zone: &zone,
        affinity: Some(77),
        tried: &[],
    };
    let choice = UpstreamChoice::default();
    let equal = [load(4, 0, 0); 6];
    let preferred = choice
        .choose(
            &views(&hosts, &zone, &equal),
            &query,
            ChoicePoints::default(),
        )
        .unwrap();
    for step in 0..10 {
        let points = ChoicePoints {
            first: f64::from(step) / 10.0,
            ..ChoicePoints::default()
        };
        let again = choice.choose(&views(&hosts, &zone, &equal), &query, points);
        assert_eq!(again, Ok(preferred));
    }
    let mut overloaded = equal;
    overloaded[preferred] = load(30, 0, 0);
    let other = choice.choose(
        &views(&hosts, &zone, &overloaded),
        &query,
        ChoicePoints::default(),
    );
    assert_ne!(other, Ok(preferred));
}

#[test]
fn an_old_report_is_corrected_by_the_requests_known_since() {
    assert_eq!(load(10, 4, 7).corrected(), 13);
    assert_eq!(load(10, 4, 0).corrected(), 6);
    assert_eq!(
        load(2, 4, 1).corrected(),
        1,
        "a report can miss own requests"
    );
    assert_eq!(UpstreamLoad::default().corrected(), 0);
    let pooled = UpstreamLoad {
        peers_in_flight: 9,
        peers_at_report: 5,
        ..load(10, 4, 7)
    };
    assert_eq!(pooled.corrected(), 17);
}

#[test]
fn an_upstream_in_another_zone_is_selected_only_when_it_is_less_loaded() {
    let (near, far) = (ZoneName::new("a"), ZoneName::new("b"));
    let hosts = names(2);
    let query = ChoiceQuery {
        zone: &near,
        affinity: None,
        tried: &[],
    };
    let choose = |far_load: UpstreamLoad| {
        let mut views = views(&hosts, &near, &[load(5, 0, 0), far_load]);
        views[1].zone = &far;
        UpstreamChoice::default().choose(&views, &query, ChoicePoints::default())
    };
    assert_eq!(choose(load(5, 0, 0)), Ok(0));
    assert_eq!(choose(load(1, 0, 0)), Ok(1));
}

#[test]
fn the_cost_of_an_upstream_includes_its_step_duration() {
    let zone = ZoneName::new("a");
    let hosts = names(3);
    let query = ChoiceQuery {
        zone: &zone,
        affinity: None,
        tried: &hosts[2..],
    };
    let mut slow = load(2, 0, 0);
    slow.observed_step_ms = Some(80.0);
    let views = views(&hosts, &zone, &[slow, load(9, 0, 0), load(0, 0, 0)]);
    assert_eq!(UpstreamChoice::default().cheapest(&views, &query), Ok(1));
}

proptest! {
    /// Guards against a full upstream that looks idle, since the requests that it states don't fit into their type when added.
    #[test]
    fn a_load_is_no_smaller_than_any_part_that_is_stated(
        running in any_count(),
        queued in any_count(),
        batch_limit in any_count(),
        own_in_flight in 0_u32..100,
    ) {
        let load = UpstreamLoad {
            own_in_flight,
            report: Some(ReportedLoad { running, queued, batch_limit, ..ReportedLoad::default() }),
            ..UpstreamLoad::default()
        };
        prop_assert!(load.reported() >= running.max(queued));
        prop_assert!(load.corrected() >= running.max(queued));
        prop_assert!(load.cost().is_finite() && load.cost() >= 0.0);
    }
}

/// Counts of all sizes, the largest and their neighbours among them.
fn any_count() -> impl Strategy<Value = u32> {
    prop_oneof![0_u32..100, any::<u32>(), (u32::MAX - 2)..=u32::MAX]
}
