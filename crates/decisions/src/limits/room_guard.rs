//! Permits for the requests to an upstream that breaks down when it has to reject many.
//!
//! What harms it are permits whose outcome is not known yet. Therefore the permits that are open never exceed the room that the upstream has shown by
//! more than a third of what it survives, less the rejections of the last second, however late outcomes are reported. The rest is for a second
//! issuer, of which the first one knows by the load only: a router that has just begun to issue permits has one open at a time, and so has
//! one that stands in for another and sees requests that it did not permit.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::names::HostName;
use crate::time::MonotonicTime;

/// Span in which the upstream counts its rejections.
const SPAN: Duration = Duration::from_secs(1);
/// Time without a query after which another router may have issued permits meanwhile.
const IDLE_TIME: Duration = Duration::from_secs(1);
/// Time for which an issuer is asked before it counts as the only one, and after the last sign of another one.
const ESTABLISHED_TIME: Duration = Duration::from_secs(3);
/// Further time for which a substitute has to be asked, and to see no requests of another issuer, before it takes the first one for gone.
const WATCH_TIME: Duration = Duration::from_secs(3);
/// Span over which ends and queries are counted for the times to wait.
const RATE_SPAN: Duration = Duration::from_secs(2);
/// Shortest and longest time after which to ask again.
const MIN_WAIT: Duration = Duration::from_millis(10);
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Time after a rejection for which no more permits are open than the upstream runs requests.
const CALM_TIME: Duration = Duration::from_secs(10);
/// Time after which an upstream that drops a request whose connection was closed has done so, and states a load without it.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Age from which a report is late. Reports of different routers overtake one another by less.
const LATE_TIME: Duration = Duration::from_millis(300);
/// Permits that a substitute issues for one stated load once it takes the first issuer for gone: one in place of the request that was answered, and one more.
const LASTING_PERMITS_PER_LOAD: u32 = 2;
/// Requests that this issuer did not permit and that are no sign of another one.
const FOREIGN_TOLERANCE: u32 = 1;

/// Identifies a permit: the router that holds it, and its number there.
pub type PermitKey = (HostName, u64);

/// What a query for a permit states.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoomQuery {
    /// The permit, if it is issued.
    pub key: PermitKey,
    /// Rejections in a second that the upstream survives.
    pub survived: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time after which the permit ends by itself.
    pub lifetime: Duration,
    /// Whether the issuer stands in for one that some routers do not reach.
    pub is_substitute: bool,
}

/// Load of the upstream as an answer stated it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run at once.
    pub slots: u32,
    /// Time since the answer.
    pub age: Duration,
}

/// How a permit ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The request was answered.
    Done,
    /// The request was not sent.
    Unused,
    /// It was sent, and nobody waits for its answer any more; the upstream may run it on.
    Abandoned,
    /// The upstream rejected it for want of room.
    Rejected,
}

/// Permits of one upstream, as issued by one router.
#[derive(Debug, Clone)]
pub struct RoomGuard {
    open: HashMap<PermitKey, OpenPermit>,
    /// Permits of requests for which nobody waits. They count as open until a load is stated that shows what has become of them.
    abandoned: Vec<AbandonedPermit>,
    /// Rejections of the last [`SPAN`].
    rejected: VecDeque<MonotonicTime>,
    load: Option<KnownLoad>,
    /// Permits issued since the load was stated that is known.
    issued_since_load: u32,
    /// Most requests that the upstream has run at once, less those for which it had no room later.
    shown: u32,
    /// When the upstream last rejected a request.
    last_rejection: Option<MonotonicTime>,
    /// When requests that this issuer did not permit were last seen; absent once a load without them was stated long after.
    foreign_at: Option<MonotonicTime>,
    begun_at: MonotonicTime,
    /// Since when permits have been asked for without a longer pause; absent if this router has been the only issuer before.
    asked_since: Option<MonotonicTime>,
    asked_at: MonotonicTime,
    /// Permits whose lifetime has ended since they were last taken.
    expired: u64,
    /// Times of queries in the last [`RATE_SPAN`].
    queries: VecDeque<MonotonicTime>,
    /// Ends of requests, as their routers saw them, that were reported in the last [`RATE_SPAN`].
    ends: VecDeque<PermitEnd>,
}

/// A permit whose outcome is not known.
#[derive(Debug, Clone, Copy)]
struct OpenPermit {
    issued_at: MonotonicTime,
    /// End of its lifetime.
    until: MonotonicTime,
}

/// Permit of a request for which nobody waits any more.
#[derive(Debug, Clone, Copy)]
struct AbandonedPermit {
    permit: OpenPermit,
    /// Since when nobody waits.
    since: MonotonicTime,
}

/// End of a request, and when it was reported.
#[derive(Debug, Clone, Copy)]
struct PermitEnd {
    ended_at: MonotonicTime,
    reported_at: MonotonicTime,
}

/// The last report of the load.
#[derive(Debug, Clone, Copy)]
struct KnownLoad {
    /// When the upstream stated it.
    at: MonotonicTime,
    /// When this issuer heard of it.
    heard_at: MonotonicTime,
    slots: u32,
    /// Requests that ran or waited.
    requests: u32,
    /// Those of them that this issuer permitted, as far as is known: less those that turned out not to have been there.
    own: u32,
    /// Permits that turned out late to have ended before, or whose outcome nobody reported.
    doubtful: u32,
}

impl KnownLoad {
    /// Requests that this issuer did not permit. Each doubtful permit may have hidden one of them, however few the load shows.
    fn foreign(&self) -> u32 {
        self.requests.saturating_sub(self.own) + self.doubtful
    }
}

impl RoomGuard {
    /// A guard without permits; the first query comes at `now`. `is_only` says that no other router can have issued permits.
    pub fn new(is_only: bool, now: MonotonicTime) -> Self {
        Self {
            open: HashMap::new(),
            abandoned: Vec::new(),
            rejected: VecDeque::new(),
            load: None,
            issued_since_load: 0,
            shown: 0,
            last_rejection: None,
            foreign_at: None,
            begun_at: now,
            asked_since: (!is_only).then_some(now),
            asked_at: now,
            expired: 0,
            queries: VecDeque::new(),
            ends: VecDeque::new(),
        }
    }

    /// Takes a permit.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again if there is none.
    pub fn take(&mut self, query: &RoomQuery, now: MonotonicTime) -> Result<(), Duration> {
        self.forget(now);
        if now.since(self.asked_at) >= IDLE_TIME {
            self.asked_since = Some(now);
        }
        self.asked_at = now;
        self.queries.push_back(now);
        let is_within = self.held() < self.limit(query, now) && !self.awaits_load(query, now);
        let is_probe = self.open.is_empty() && self.may_probe(query, now);
        if !is_within && !is_probe {
            return Err(self.wait(now));
        }
        let permit = OpenPermit {
            issued_at: now,
            until: now.after(query.lifetime),
        };
        self.open.insert(query.key.clone(), permit);
        self.issued_since_load += 1;
        Ok(())
    }

    /// Records the outcome of the permit `key`, which its router saw `age` ago, with the load that the answer stated.
    pub fn end(
        &mut self,
        key: &PermitKey,
        outcome: PermitOutcome,
        load: Option<RoomLoad>,
        age: Duration,
        now: MonotonicTime,
    ) {
        let open = self.open.len() as u32;
        let permit = self.open.remove(key);
        let ended_at = now.before(age);
        let was_there = match outcome {
            PermitOutcome::Unused | PermitOutcome::Rejected => false,
            PermitOutcome::Abandoned => true,
            PermitOutcome::Done => self.load.is_none_or(|load| load.at <= ended_at),
        };
        match was_there {
            true => {}
            false if age < LATE_TIME => self.discount(permit, now),
            false => self.doubt(permit, now),
        }
        // A report that comes twice is about one end.
        if outcome == PermitOutcome::Done && permit.is_some() {
            self.ends.push_back(PermitEnd {
                ended_at,
                reported_at: now,
            });
        }
        if let Some(load) = load {
            self.record_load(load, now);
        }
        match outcome {
            PermitOutcome::Unused => {}
            PermitOutcome::Abandoned => {
                let since = ended_at;
                let abandoned = permit.map(|permit| AbandonedPermit { permit, since });
                self.abandoned.extend(abandoned);
            }
            PermitOutcome::Done => {
                // It ran beside those that the load states, or has been let in beside as many as before.
                let beside = load.map_or(self.shown, |load| load.running);
                self.shown = self.shown.max(open.min(beside + 1));
            }
            PermitOutcome::Rejected => {
                if open <= self.shown {
                    // It has run as many of this issuer alone.
                    self.record_foreign(now);
                }
                let foreign = self.foreign();
                self.shown = self.shown.min((open + foreign).saturating_sub(1));
                self.record_rejection(now);
            }
        }
    }

    /// Records that the upstream rejected a request for want of room.
    pub fn record_rejection(&mut self, now: MonotonicTime) {
        self.rejected.push_back(now);
        self.last_rejection = Some(now);
    }

    /// Records a load that the upstream stated, unless a newer one is known.
    pub fn record_load(&mut self, load: RoomLoad, now: MonotonicTime) {
        let at = now.before(load.age);
        if self.load.is_some_and(|known| known.at >= at) {
            return;
        }
        // What is left of them now shows in the load.
        self.abandoned
            .retain(|permit| permit.since.after(SETTLE_TIME) > at);
        let known = KnownLoad {
            at,
            heard_at: now,
            slots: load.slots,
            requests: load.running + load.waiting,
            own: self.own(at),
            doubtful: 0,
        };
        self.shown = self.shown.max(load.running);
        self.issued_since_load = 0;
        self.load = Some(known);
        self.watch_foreign(now);
        let is_alone = known.foreign() <= FOREIGN_TOLERANCE;
        let was_long_ago = |at| now.since(at) >= ESTABLISHED_TIME;
        if is_alone && self.foreign_at.is_some_and(was_long_ago) {
            self.foreign_at = None;
        }
    }

    /// Requests of this issuer that may have been at the upstream when it stated a load at `at`.
    fn own(&self, at: MonotonicTime) -> u32 {
        // Those that have ended since were there.
        let ended = self.ends.iter().filter(|end| end.ended_at > at);
        self.held() + ended.count() as u32
    }

    /// Takes `permit` for one of a request that was not at the upstream when it stated its load.
    fn discount(&mut self, permit: Option<OpenPermit>, now: MonotonicTime) {
        if let Some(load) = self.load_with(permit) {
            load.own = load.own.saturating_sub(1);
            self.watch_foreign(now);
        }
    }

    /// The same where it is known late only: until then it may have hidden a request of another issuer from more loads than this one.
    fn doubt(&mut self, permit: Option<OpenPermit>, now: MonotonicTime) {
        if let Some(load) = self.load_with(permit) {
            load.doubtful += 1;
            self.watch_foreign(now);
        }
    }

    /// The last load, if `permit` counted as a request of it.
    fn load_with(&mut self, permit: Option<OpenPermit>) -> Option<&mut KnownLoad> {
        let permit = permit?;
        self.load
            .as_mut()
            .filter(|load| permit.issued_at <= load.heard_at)
    }

    /// Requests of the last load that this issuer did not permit.
    fn foreign(&self) -> u32 {
        self.load.map_or(0, |load| load.foreign())
    }

    fn watch_foreign(&mut self, now: MonotonicTime) {
        if self.foreign() > FOREIGN_TOLERANCE {
            self.record_foreign(now);
        }
    }

    /// Records requests that this issuer did not permit. At first they are those that were sent before permits were needed.
    fn record_foreign(&mut self, now: MonotonicTime) {
        if now.since(self.begun_at) >= ESTABLISHED_TIME {
            self.foreign_at = Some(now);
        }
    }

    /// Requests per second that the upstream has answered lately; `None` if none was.
    pub fn per_second(&self) -> Option<f64> {
        let ends = self.ends.len();
        (ends > 0).then(|| ends as f64 / RATE_SPAN.as_secs_f64())
    }

    /// Number of open permits, with those of requests for which nobody waits any more.
    pub fn open(&self) -> usize {
        self.open.len() + self.abandoned.len()
    }

    /// Takes the number of permits whose lifetime ended before their outcome was reported.
    pub fn take_expired(&mut self) -> u64 {
        std::mem::take(&mut self.expired)
    }

    /// Whether nobody has asked for a permit for `span`, and none is open.
    pub fn is_idle(&self, span: Duration, now: MonotonicTime) -> bool {
        let is_held = self.held_permits().any(|permit| permit.until > now);
        now.since(self.asked_at) >= span && !is_held
    }

    /// Highest number of open permits.
    fn limit(&self, query: &RoomQuery, now: MonotonicTime) -> u32 {
        let rejected = self.rejected.len() as u32;
        match self.is_only(query, now) {
            true => self.room(query, now).saturating_sub(rejected),
            false if rejected == 0 => self.shared_room(query, now),
            false => 0,
        }
    }

    /// Whether another router may issue permits, and the upstream has to state its load before this one issues more.
    fn awaits_load(&self, query: &RoomQuery, now: MonotonicTime) -> bool {
        let may_be_shared = query.is_substitute || self.foreign_at.is_some();
        let most = match query.is_substitute && self.is_lasting(query, now) {
            true => LASTING_PERMITS_PER_LOAD,
            false => 1,
        };
        may_be_shared && self.issued_since_load >= most
    }

    /// Whether a substitute has watched for requests of another issuer for long enough, and sees none.
    fn is_lasting(&self, query: &RoomQuery, now: MonotonicTime) -> bool {
        let asked_since = self.asked_since.unwrap_or(self.begun_at);
        let has_watched = now.since(asked_since) >= ESTABLISHED_TIME + WATCH_TIME;
        has_watched && self.foreign() <= FOREIGN_TOLERANCE && self.is_only(query, now)
    }

    /// Whether one permit may be open whatever is known: one at a time tells what there is to know. An upstream that survives one rejection has
    /// none left for a substitute, unless that has been asked for long, or is asked again after a pause.
    fn may_probe(&self, query: &RoomQuery, now: MonotonicTime) -> bool {
        let has_begun = now.since(self.begun_at) >= ESTABLISHED_TIME;
        let is_after_pause = has_begun && self.asked_since == Some(now);
        let may_reject = query.survived > 1 || !query.is_substitute || is_after_pause;
        self.rejected.is_empty() && (may_reject || self.is_only(query, now))
    }

    /// Whether no other router issues permits, as far as is known.
    fn is_only(&self, query: &RoomQuery, now: MonotonicTime) -> bool {
        let is_alone = self.is_established(now) && self.foreign_at.is_none();
        is_alone && (!query.is_substitute || self.load.is_some())
    }

    /// Permits that count as open.
    fn held_permits(&self) -> impl Iterator<Item = &OpenPermit> {
        let abandoned = self.abandoned.iter().map(|abandoned| &abandoned.permit);
        self.open.values().chain(abandoned)
    }

    /// Number of permits that count as open.
    fn held(&self) -> u32 {
        (self.open.len() + self.abandoned.len()) as u32
    }

    /// Whether no other router has issued permits lately, as far as the time tells.
    fn is_established(&self, now: MonotonicTime) -> bool {
        let asked_since = self.asked_since;
        asked_since.is_none_or(|since| now.since(since) >= ESTABLISHED_TIME)
    }

    /// Permits that may be open while this router is the only issuer, before rejections are taken off.
    fn room(&self, query: &RoomQuery, now: MonotonicTime) -> u32 {
        let foreign = self.foreign();
        let last_rejection = self.last_rejection;
        if last_rejection.is_some_and(|at| now.since(at) < CALM_TIME) {
            return self.shown.saturating_sub(foreign);
        }
        let slots = self.load.map_or(query.slots, |load| load.slots);
        // The rest is for another issuer.
        let survived = query.survived / 3;
        let grown = self.shown + survived.max(1);
        let most = slots.saturating_sub(foreign).max(1) + survived;
        grown.min(most)
    }

    /// Permits that may be open beside those of another issuer.
    fn shared_room(&self, query: &RoomQuery, now: MonotonicTime) -> u32 {
        let is_first = !query.is_substitute && self.is_established(now);
        let load = self.load.filter(|_| is_first);
        load.map_or(0, |load| self.shown.saturating_sub(load.foreign()))
    }

    /// Time after which a permit is expected for the one who asks: those that ask share the ends.
    fn wait(&self, now: MonotonicTime) -> Duration {
        let ends = self.per_second().unwrap_or(1.0 / MAX_WAIT.as_secs_f64());
        let queries = self.queries.len() as f64 / RATE_SPAN.as_secs_f64();
        let wait = Duration::from_secs_f64((queries / ends).max(1.0) / ends);
        let oldest = self.rejected.front().filter(|_| self.open.is_empty());
        let rejected = oldest.map(|at| SPAN.saturating_sub(now.since(*at)));
        wait.max(rejected.unwrap_or_default())
            .clamp(MIN_WAIT, MAX_WAIT)
    }

    /// Ends permits whose lifetime is over.
    fn expire(&mut self, now: MonotonicTime) {
        let is_over = |permit: &OpenPermit| permit.until <= now;
        let expired: Vec<_> = self.open.extract_if(|_, permit| is_over(permit)).collect();
        self.expired += expired.len() as u64;
        for (_, permit) in expired {
            self.doubt(Some(permit), now);
        }
        let abandoned: Vec<_> = self
            .abandoned
            .extract_if(.., |abandoned| is_over(&abandoned.permit))
            .collect();
        for abandoned in abandoned {
            self.doubt(Some(abandoned.permit), now);
        }
    }

    fn forget(&mut self, now: MonotonicTime) {
        self.expire(now);
        for (times, span) in [(&mut self.rejected, SPAN), (&mut self.queries, RATE_SPAN)] {
            while times.front().is_some_and(|at| now.since(*at) > span) {
                times.pop_front();
            }
        }
        let is_old = |end: &PermitEnd| now.since(end.reported_at) > RATE_SPAN;
        while self.ends.front().is_some_and(is_old) {
            self.ends.pop_front();
        }
    }
}
