//! What is played, and how it is drawn.

use std::ops::Range;

use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;

/// Length of a play.
pub const LENGTH_MS: u64 = 14_000;

/// What is played.
#[derive(Debug, Clone)]
pub struct FleetPlay {
    pub seed: u64,
    pub routers: usize,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Requests that may wait, at first and from half of the time on.
    pub queue: [u32; 2],
    pub survived: u32,
    pub run_ms: u64,
    /// Whether answers begin long before they end.
    pub streams: bool,
    /// Pause between two requests.
    pub pause_ms: u64,
    /// Highest delay of each message.
    pub delay_ms: u64,
    /// Hosts that are suspended, and when.
    pub freezes: Vec<(usize, Range<u64>)>,
    /// Pairs of a router and an issuer whose messages are lost, and when.
    pub cuts: Vec<HostCut>,
    pub leaving: Option<LeavingCallers>,
}

/// Routers that lose what they send to some hosts, and what these send to them.
#[derive(Debug, Clone)]
pub struct HostCut {
    /// One in how many routers is cut, and which.
    pub one_in: usize,
    pub first: usize,
    /// Hosts from which they are cut off, by the same rule.
    pub from_one_in: usize,
    pub from_first: usize,
    pub time: Range<u64>,
}

/// Callers that leave.
#[derive(Debug, Clone, Copy)]
pub struct LeavingCallers {
    pub one_in: u64,
    pub patience_ms: u64,
    /// Whether the upstream runs their requests on.
    pub keeps_abandoned: bool,
}

impl FleetPlay {
    pub fn is_frozen(&self, host: usize, now: u64) -> Option<u64> {
        let freezes = self.freezes.iter();
        let ends = freezes.filter(|(number, time)| *number == host && time.contains(&now));
        ends.map(|(_, time)| time.end).max()
    }

    pub fn is_cut(&self, router: usize, host: usize, now: u64) -> bool {
        self.cuts.iter().any(|cut| {
            router != host
                && cut.time.contains(&now)
                && router % cut.one_in == cut.first % cut.one_in
                && host % cut.from_one_in == cut.from_first % cut.from_one_in
        })
    }
}

/// A fleet without faults.
pub fn calm_play() -> FleetPlay {
    FleetPlay {
        seed: 7,
        routers: 12,
        slots: 4,
        queue: [3, 3],
        survived: 3,
        run_ms: 200,
        streams: false,
        pause_ms: 20,
        delay_ms: 4,
        freezes: Vec::new(),
        cuts: Vec::new(),
        leaving: None,
    }
}

/// Two of four routers lose what they send to others for a moment.
pub fn lost_reports() -> FleetPlay {
    FleetPlay {
        routers: 4,
        slots: 10,
        queue: [1, 0],
        survived: 2,
        run_ms: 1_197,
        streams: true,
        pause_ms: 14,
        delay_ms: 29,
        cuts: vec![HostCut {
            one_in: 2,
            first: 1,
            from_one_in: 1,
            from_first: 0,
            time: 5_286..5_704,
        }],
        leaving: Some(LeavingCallers {
            one_in: 2,
            patience_ms: 291,
            keeps_abandoned: true,
        }),
        ..calm_play()
    }
}

/// All routers lose what they send to every third host for some seconds.
pub fn returning_routers() -> FleetPlay {
    FleetPlay {
        routers: 17,
        slots: 10,
        queue: [0, 0],
        survived: 2,
        run_ms: 383,
        streams: true,
        pause_ms: 3,
        delay_ms: 28,
        cuts: vec![HostCut {
            one_in: 1,
            first: 0,
            from_one_in: 3,
            from_first: 1,
            time: 3_619..7_383,
        }],
        ..calm_play()
    }
}

pub fn plays() -> impl Strategy<Value = FleetPlay> {
    let sizes = (2..24usize, 1..12u32, 0..24u32, 0..4u32, 1..8u32);
    let times = (20..1_500u64, 1..40u64, 1..60u64);
    let faults = (
        vec((0..24usize, span()), 0..10),
        vec(cuts(), 0..4),
        option::of(leaving()),
    );
    (any::<u64>(), sizes, times, faults).prop_map(|(seed, sizes, times, faults)| {
        let (routers, slots, queue, late_queue, survived) = sizes;
        let (run_ms, pause_ms, delay_ms) = times;
        let (freezes, cuts, leaving) = faults;
        FleetPlay {
            seed,
            routers,
            slots,
            queue: [queue, late_queue],
            survived,
            run_ms,
            streams: seed % 2 == 0,
            pause_ms,
            delay_ms,
            freezes,
            cuts,
            leaving,
        }
    })
}

fn span() -> impl Strategy<Value = Range<u64>> {
    (0..LENGTH_MS, 100..6_000u64).prop_map(|(from, length)| from..from + length)
}

fn cuts() -> impl Strategy<Value = HostCut> {
    (1..4usize, 0..4usize, 1..4usize, 0..4usize, span()).prop_map(
        |(one_in, first, from_one_in, from_first, time)| HostCut {
            one_in,
            first,
            from_one_in,
            from_first,
            time,
        },
    )
}

fn leaving() -> impl Strategy<Value = LeavingCallers> {
    (1..4u64, 20..800u64, any::<bool>()).prop_map(|(one_in, patience_ms, keeps_abandoned)| {
        LeavingCallers {
            one_in,
            patience_ms,
            keeps_abandoned,
        }
    })
}
