//! Model of three routers around the return of a store from an older copy: all orders of starts, the return, lost links, and one rewrite.
//!
//! Load pattern: a key was taken away by a later revision, which all routers have in force, longer ago than the bound for revocations. The
//! store goes away and comes back with the earlier revision, while each router may end and start again. Guards against a router that takes the
//! earlier revision for confirmed, so that the key opens requests again.

use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::revision::{EraCheck, EraRound, EraStep, RulesConfirmation};
use ferry_decisions::time::MonotonicTime;
use ferry_decisions::topic::StoreEra;

/// Time between two steps of the model, in each of which a router reads the store, asks the others, and syncs.
const STEP: Duration = Duration::from_millis(250);
/// Number of steps of one run; all events come in the first fifth. A revision that is lost with its router is waited for until the last one.
const STEPS: u32 = 56;
/// Steps from the store's return to the rewrite by the operator: two seconds.
const REWRITE_STEPS: u32 = 8;
/// Bound within which a key that was taken away must open no request.
const REVOCATION: Duration = Duration::from_secs(5);
/// The revision of the copy, in which the key is held, and the later one, which took it away.
const EARLIER: u64 = 2;
const LATER: u64 = 4;
/// Steps in which a router may end; it starts again in the next one. The last one is the absence of an end.
const ENDS: [Option<u32>; 9] = [
    Some(0),
    Some(1),
    Some(2),
    Some(3),
    Some(4),
    Some(6),
    Some(8),
    Some(10),
    None,
];
/// Steps in which the store may come back.
const RETURNS: [u32; 4] = [1, 2, 4, 7];
const ROUTERS: usize = 3;
/// The links between two routers each.
const LINKS: [(usize, usize); 3] = [(0, 1), (0, 2), (1, 2)];

/// What happens in one run.
#[derive(Debug, Clone, Copy)]
struct Play {
    ends: [Option<u32>; ROUTERS],
    returns_at: u32,
    /// Bit by link: whether it loses all messages.
    lost_links: u8,
    is_rewritten: bool,
}

/// One process of a router.
#[derive(Debug, Default)]
struct ModelRouter {
    confirmation: RulesConfirmation,
    revision: Option<u64>,
    confirmed: Option<Duration>,
    era: Option<StoreEra>,
    check: Option<(StoreEra, EraCheck)>,
    /// Whether it knows the addresses of the others, which it learns from the store.
    is_joined: bool,
}

struct Model {
    play: Play,
    routers: Vec<Option<ModelRouter>>,
    step: u32,
}

impl ModelRouter {
    /// A router that ran while the later revision came in force.
    fn informed(moment: Duration) -> Self {
        let mut router = Self::default();
        router.apply(LATER, moment);
        router.is_joined = true;
        router.era = Some(StoreEra(1));
        let checked = router.confirmation.set_checked(StoreEra(1), moment);
        router.count(checked);
        let confirmed = router.confirmation.confirm(StoreEra(1), moment, moment);
        router.count(confirmed);
        router
    }

    fn apply(&mut self, revision: u64, now: Duration) {
        if self.revision < Some(revision) {
            self.revision = Some(revision);
            let confirmed = self.confirmation.apply(revision, now);
            self.count(confirmed);
        }
    }

    fn count(&mut self, confirmed: Option<Duration>) {
        self.confirmed = self.confirmed.max(confirmed);
    }

    fn is_informed(&self, moment: Duration) -> bool {
        self.confirmed.is_some_and(|at| moment - at < REVOCATION)
    }
}

fn host(number: usize) -> HostName {
    HostName::new(&format!("router-{number}"))
}

impl Model {
    fn new(play: Play) -> Self {
        let mut model = Self {
            play,
            routers: Vec::new(),
            step: 0,
        };
        let moment = model.moment();
        let router = |_| Some(ModelRouter::informed(moment));
        model.routers = (0..ROUTERS).map(router).collect();
        model
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::default().after(STEP * self.step)
    }

    /// The same time on the clock of confirmations, which began long before.
    fn moment(&self) -> Duration {
        Duration::from_secs(1_000) + STEP * self.step
    }

    fn is_reached(&self, one: usize, other: usize) -> bool {
        let link = (one.min(other), one.max(other));
        let index = LINKS.iter().position(|known| *known == link).unwrap();
        self.play.lost_links & (1 << index) == 0
    }

    /// Revision that the store holds now; `None` while it is away.
    fn stored(&self) -> Option<u64> {
        let rewritten_at = self.play.returns_at + REWRITE_STEPS;
        match self.step {
            step if step < self.play.returns_at => None,
            step if self.play.is_rewritten && step >= rewritten_at => Some(LATER),
            _ => Some(EARLIER),
        }
    }

    fn run_step(&mut self) {
        for number in 0..ROUTERS {
            match self.play.ends[number] {
                Some(at) if at == self.step => self.routers[number] = None,
                Some(at) if at + 1 == self.step => {
                    self.routers[number] = Some(ModelRouter::default());
                }
                _ => {}
            }
        }
        for number in 0..ROUTERS {
            let Some(mut router) = self.routers[number].take() else {
                continue;
            };
            self.read_store(&mut router);
            self.fetch_missing(number, &mut router);
            self.check_era(number, &mut router);
            self.sync(number, &mut router);
            self.routers[number] = Some(router);
        }
        self.step += 1;
    }

    fn read_store(&self, router: &mut ModelRouter) {
        let Some(stored) = self.stored() else {
            return;
        };
        let (era, now) = (StoreEra(2), self.moment());
        router.apply(stored, now);
        router.era = Some(era);
        let confirmed = router.confirmation.confirm(era, now, now);
        router.count(confirmed);
    }

    /// Fetches the revision that other routers stated in the step before.
    fn fetch_missing(&self, number: usize, router: &mut ModelRouter) {
        let now = self.moment();
        for other in (0..ROUTERS).filter(|other| *other != number) {
            let is_holder = router.confirmation.holders(now).contains(&host(other));
            let holder = self.routers[other].as_ref();
            if let Some(holder) = holder.filter(|_| is_holder && self.is_reached(number, other)) {
                router.apply(holder.revision.unwrap_or_default(), now);
            }
        }
    }

    fn check_era(&mut self, number: usize, router: &mut ModelRouter) {
        let now = self.now();
        let Some(era) = router.confirmation.unchecked_era() else {
            return;
        };
        let is_informed = router.is_informed(self.moment());
        let check = router.check.filter(|(begun, _)| *begun == era);
        let (_, check) = check.unwrap_or_else(|| (era, EraCheck::begin(era, is_informed, now)));
        router.check = Some((era, check));
        let mut round = EraRound::default();
        if router.is_joined {
            for other in (0..ROUTERS).filter(|other| *other != number) {
                round.asked += 1;
                let is_informed = self.exchange(number, router, other);
                round.answered += usize::from(is_informed.is_some());
                round.informed += usize::from(is_informed == Some(true));
            }
        }
        // The list of routers is read beside the operator's records, and known a moment later.
        router.is_joined = true;
        if check.step(round, now) != EraStep::AskAgain {
            let confirmed = router.confirmation.set_checked(era, self.moment());
            router.count(confirmed);
        }
    }

    /// The first router that runs passes on what it knows.
    fn sync(&mut self, number: usize, router: &mut ModelRouter) {
        let source = (0..number).find(|other| self.routers[*other].is_some());
        if let Some(source) = source.filter(|_| router.is_joined) {
            self.exchange(number, router, source);
        }
    }

    /// A query of `router` to `other` and its answer, each with the revision in force. Returns whether the other router's rules are confirmed;
    /// `None` without an answer.
    fn exchange(&mut self, number: usize, router: &mut ModelRouter, other: usize) -> Option<bool> {
        let moment = self.moment();
        let is_reached = self.is_reached(number, other);
        let asked = self.routers[other].as_mut().filter(|_| is_reached)?;
        let is_informed = asked.is_informed(moment);
        router
            .confirmation
            .hear(&host(other), asked.revision, moment);
        asked
            .confirmation
            .hear(&host(number), router.revision, moment);
        Some(is_informed)
    }

    /// Routers that let the key open requests: confirmed, by the earlier revision.
    fn let_in(&self) -> Vec<usize> {
        let believes = |router: &ModelRouter| {
            router.is_informed(self.moment()) && router.revision == Some(EARLIER)
        };
        let routers = self.routers.iter().enumerate();
        routers
            .filter(|(_, router)| router.as_ref().is_some_and(believes))
            .map(|(number, _)| number)
            .collect()
    }
}

fn all_plays() -> impl Iterator<Item = Play> {
    let ends = ENDS.into_iter().flat_map(|first| {
        let pairs = ENDS
            .into_iter()
            .flat_map(move |second| ENDS.into_iter().map(move |third| (second, third)));
        pairs.map(move |(second, third)| [first, second, third])
    });
    ends.flat_map(|ends| {
        RETURNS.into_iter().flat_map(move |returns_at| {
            (0..8u8).flat_map(move |lost_links| {
                [true, false].into_iter().map(move |is_rewritten| Play {
                    ends,
                    returns_at,
                    lost_links,
                    is_rewritten,
                })
            })
        })
    })
}

/// Whether a router that runs the whole time reaches all others, so that what it knows is never lost.
fn has_reachable_witness(play: Play) -> bool {
    let model = Model::new(play);
    (0..ROUTERS).any(|router| {
        let mut others = (0..ROUTERS).filter(|other| *other != router);
        play.ends[router].is_none() && others.all(|other| model.is_reached(router, other))
    })
}

#[test]
fn no_router_takes_an_earlier_revision_for_confirmed() {
    let mut runs = 0;
    for play in all_plays() {
        // Without a rewrite, and without anybody who knows better, the copy is all that there is.
        let is_protected = play.is_rewritten || has_reachable_witness(play);
        let mut model = Model::new(play);
        for _ in 0..STEPS {
            model.run_step();
            if is_protected {
                let let_in = model.let_in();
                assert!(
                    let_in.is_empty(),
                    "{let_in:?} at step {} of {play:?}",
                    model.step
                );
            }
        }
        runs += 1;
        let moment = model.moment();
        for router in model.routers.iter().flatten() {
            assert!(
                router.is_informed(moment),
                "out of touch after {play:?}: {router:?}"
            );
            if is_protected {
                assert_eq!(router.revision, Some(LATER), "{play:?}");
            }
        }
    }
    println!("{runs} orders");
}

/// Routers that were there before are not held up by the check.
#[test]
fn routers_that_run_on_stay_confirmed() {
    for returns_at in RETURNS {
        let mut model = Model::new(Play {
            ends: [None; ROUTERS],
            returns_at,
            lost_links: 0,
            is_rewritten: false,
        });
        for _ in 0..STEPS {
            model.run_step();
            let moment = model.moment();
            assert!(
                model
                    .routers
                    .iter()
                    .flatten()
                    .all(|router| router.is_informed(moment))
            );
        }
    }
}

/// A fleet that starts as a whole is not held up where the store has lost nothing, nor for long where it may have.
#[test]
fn routers_that_all_start_serve_by_the_store() {
    let mut model = Model::new(Play {
        ends: [Some(0); ROUTERS],
        returns_at: 1,
        lost_links: 0,
        is_rewritten: false,
    });
    for _ in 0..16 {
        model.run_step();
    }
    assert_eq!(model.let_in().len(), ROUTERS, "nobody knows better");
}

/// Guards against rules that are never confirmed while the configuration changes all the time: some router always has a later one.
#[test]
fn rules_are_confirmed_although_others_are_always_ahead() {
    let mut confirmation = RulesConfirmation::default();
    let (era, other) = (StoreEra(0), host(1));
    confirmation.set_checked(era, Duration::ZERO);
    let begun_at = Duration::from_secs(1_000);
    let mut confirmed = begun_at;
    for number in 1..100 {
        let now = begun_at + STEP * number;
        let revision = u64::from(number);
        confirmation.hear(&other, Some(revision + 1), now);
        confirmation.apply(revision, now);
        // Read just before the other router had its later revision.
        let counted = confirmation.confirm(era, now - STEP / 2, now);
        confirmed = confirmed.max(counted.unwrap_or_default());
        assert!(
            now - confirmed < STEP * 2,
            "{:?} at {number}",
            now - confirmed
        );
        assert!(!confirmation.is_outrun_for(STEP * 2, now));
    }
}
