//! Claims against a model of the log: repeats, lost answers, several owners, voids, retention.

use std::collections::{HashMap, HashSet};

use ferry_decisions::claim::{
    CLOCK_SKEW_MS, ClaimBatch, ClaimEntry, ClaimFate, ClaimFold, ClaimOwner, ClaimReply,
    ID_FUTURE_MS, ID_WINDOW_MS, IdTimeError, READ_BACK_MS, RequestKey, check_id_time, shard_of,
};
use ferry_decisions::names::{HostName, Incarnation, RequestId, WorkspaceName};
use ferry_decisions::time::UnixMillis;
use proptest::prelude::*;
use uuid::{Builder, Uuid};

const START_MS: u64 = 1_700_000_000_000;
const SHARD: u16 = 5;
const OWNERS: usize = 3;
const MINUTE_MS: u64 = 60_000;

/// One step of a run.
#[derive(Debug, Clone)]
enum Action {
    /// A caller makes a new id with its clock off by some milliseconds.
    NewId(i64),
    /// A router, with its clock off, asks an owner to claim an id.
    Ask(usize, usize, i64),
    /// An owner appends its batch.
    Append(usize, AppendFate),
    /// A delayed append reaches the log.
    Land(usize),
    /// An owner reads some records.
    Read(usize, usize),
    /// A router runs what it was granted.
    Run(usize),
    /// A router gives up a claim, granted or not, through an owner.
    Void(usize, usize),
    /// An owner's host is replaced by one that reads the window back.
    Replace(usize),
    /// Time passes.
    Advance(u64),
    /// The log drops its oldest records.
    Retain(usize),
}

/// What becomes of an append.
#[derive(Debug, Clone, Copy)]
enum AppendFate {
    Taken,
    Lost,
    Delayed,
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let skew = -(CLOCK_SKEW_MS as i64 / 2)..(CLOCK_SKEW_MS as i64 / 2);
    let fate = prop_oneof![
        4 => Just(AppendFate::Taken),
        1 => Just(AppendFate::Lost),
        2 => Just(AppendFate::Delayed),
    ];
    let action = prop_oneof![
        2 => skew.clone().prop_map(Action::NewId),
        6 => (0..OWNERS, 0..4_usize, skew).prop_map(|(o, r, s)| Action::Ask(o, r, s)),
        6 => (0..OWNERS, fate).prop_map(|(o, f)| Action::Append(o, f)),
        2 => (0..4_usize).prop_map(Action::Land),
        6 => (0..OWNERS, 1..5_usize).prop_map(|(o, n)| Action::Read(o, n)),
        3 => (0..4_usize).prop_map(Action::Run),
        3 => (0..OWNERS, 0..6_usize).prop_map(|(o, c)| Action::Void(o, c)),
        1 => (0..OWNERS).prop_map(Action::Replace),
        1 => (0..6 * MINUTE_MS).prop_map(Action::Advance),
        1 => (1..4_usize).prop_map(Action::Retain),
    ];
    prop::collection::vec(action, 1..120)
}

/// What a router knows of a claim that it made.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ClaimState {
    Asked,
    Granted,
    Ran,
    GivenUp,
}

#[derive(Debug)]
struct ModelRun {
    now: u64,
    /// Every record ever taken; those before `earliest` are no longer readable.
    records: Vec<(u64, String)>,
    earliest: usize,
    delayed: Vec<String>,
    owners: Vec<ClaimOwner>,
    ids: Vec<RequestKey>,
    claims: Vec<(RequestKey, Uuid, ClaimState)>,
    drawn: u128,
}

impl ModelRun {
    fn new() -> Self {
        let mut run = Self {
            now: START_MS,
            records: Vec::new(),
            earliest: 0,
            delayed: Vec::new(),
            owners: Vec::new(),
            ids: Vec::new(),
            claims: Vec::new(),
            drawn: 0,
        };
        for index in 0..OWNERS {
            run.owners.push(new_owner(index));
        }
        run
    }

    fn draw(&mut self) -> Uuid {
        self.drawn += 1;
        Uuid::from_u128(self.drawn)
    }

    fn play(&mut self, action: &Action) {
        match action {
            Action::NewId(skew) => {
                let time = self.now.saturating_add_signed(*skew);
                self.drawn += 1;
                self.ids.push(key_at(time, self.drawn));
            }
            Action::Ask(owner, id, skew) => self.ask(*owner, *id, *skew),
            Action::Append(owner, fate) => self.append(*owner, *fate),
            Action::Land(index) if *index < self.delayed.len() => {
                let data = self.delayed.remove(*index);
                self.records.push((self.now, data));
            }
            Action::Land(_) => {}
            Action::Read(owner, count) => self.read(*owner, *count),
            Action::Run(index) => self.run_claim(*index),
            Action::Void(owner, claim) => self.void(*owner, *claim),
            Action::Replace(owner) => self.replace(*owner),
            Action::Advance(ms) => self.now += ms,
            Action::Retain(count) => {
                self.earliest = (self.earliest + count).min(self.records.len());
            }
        }
    }

    fn ask(&mut self, owner: usize, id: usize, skew: i64) {
        let Some(key) = self.ids.iter().rev().nth(id).cloned() else {
            return;
        };
        let clock = UnixMillis(self.now.saturating_add_signed(skew));
        if check_id_time(&key.request, clock).is_err() {
            return;
        }
        let claim = self.draw();
        self.claims.push((key.clone(), claim, ClaimState::Asked));
        let reply = self.owners[owner].submit(claim_entry(&key, claim));
        if let Some(reply) = reply {
            self.answer(claim, &reply);
        }
    }

    fn append(&mut self, owner: usize, fate: AppendFate) {
        let batch = self.draw();
        let Some(batch) = self.owners[owner].next_batch(batch) else {
            return;
        };
        let data = serde_json::to_string(batch).unwrap();
        match fate {
            AppendFate::Taken => self.records.push((self.now, data)),
            AppendFate::Lost => {}
            AppendFate::Delayed => self.delayed.push(data),
        }
    }

    fn read(&mut self, owner: usize, count: usize) {
        let next = self.owners[owner].fold().next_offset() as usize;
        if next < self.earliest {
            let lost = self.records[self.earliest - 1].0;
            self.owners[owner].skip_to(self.earliest as u64, UnixMillis(lost));
        }
        let from = next.max(self.earliest);
        let end = self.records.len().min(from + count);
        for offset in from..end {
            let (time, data) = self.records[offset].clone();
            for (decision, reply) in
                self.owners[owner].apply(offset as u64, UnixMillis(time), &data)
            {
                self.answer(decision.claim, &reply);
            }
        }
    }

    fn answer(&mut self, claim: Uuid, reply: &ClaimReply) {
        let known = self
            .claims
            .iter_mut()
            .find(|(_, known, _)| *known == claim)
            .unwrap();
        if known.2 != ClaimState::Asked {
            return;
        }
        known.2 = match reply {
            ClaimReply::Granted => ClaimState::Granted,
            _ => ClaimState::GivenUp,
        };
    }

    fn run_claim(&mut self, index: usize) {
        let granted = self
            .claims
            .iter_mut()
            .filter(|(_, _, state)| *state == ClaimState::Granted)
            .nth(index);
        if let Some(claim) = granted {
            claim.2 = ClaimState::Ran;
        }
    }

    fn void(&mut self, owner: usize, index: usize) {
        let open = self
            .claims
            .iter_mut()
            .filter(|(_, _, state)| matches!(state, ClaimState::Granted | ClaimState::Asked))
            .nth(index);
        if let Some((key, claim, state)) = open {
            *state = ClaimState::GivenUp;
            let entry = void_entry(key, *claim);
            self.owners[owner].submit(entry);
        }
    }

    fn replace(&mut self, owner: usize) {
        let mut fresh = new_owner(owner);
        let oldest = self.now - READ_BACK_MS;
        let from = self.records.partition_point(|(time, _)| *time < oldest);
        if let Some((time, _)) = from.checked_sub(1).map(|last| &self.records[last]) {
            fresh.skip_to(from as u64, UnixMillis(*time));
        }
        self.owners[owner] = fresh;
    }

    /// No request may be held, or have been run, by two claims.
    fn check_single_run(&self) {
        let mut held: HashMap<&RequestKey, Uuid> = HashMap::new();
        for (key, claim, state) in &self.claims {
            if matches!(state, ClaimState::Granted | ClaimState::Ran) {
                let other = held.insert(key, *claim);
                assert_eq!(other, None, "two claims of {key:?} are granted at once");
            }
        }
    }

    /// Every grant must agree with the whole log read without any forgetting.
    fn check_first_unvoided(&self) {
        let granted = reference_grants(&self.records);
        for (key, claim, state) in &self.claims {
            if matches!(state, ClaimState::Granted | ClaimState::Ran) {
                assert!(granted.contains(claim), "{key:?} was not first unvoided");
            }
        }
    }
}

/// Claims that were first and unvoided at their own record, by a plain scan of the whole log.
fn reference_grants(records: &[(u64, String)]) -> HashSet<Uuid> {
    let mut granted = HashSet::new();
    let mut seen = HashSet::new();
    let mut holders: HashMap<RequestKey, Uuid> = HashMap::new();
    for (_, data) in records {
        let batch: ClaimBatch = serde_json::from_str(data).unwrap();
        for entry in &batch.entries {
            let known = !seen.insert(entry.claim());
            let holder = holders.get(entry.request()).copied();
            match entry {
                ClaimEntry::Void { claim, request, .. } if holder == Some(*claim) => {
                    holders.remove(request);
                }
                ClaimEntry::Claim { claim, request, .. } if !known && holder.is_none() => {
                    holders.insert(request.clone(), *claim);
                    granted.insert(*claim);
                }
                _ => {}
            }
        }
    }
    granted
}

fn new_owner(index: usize) -> ClaimOwner {
    let host = HostName::new(&format!("router-{index}"));
    ClaimOwner::new(SHARD, &host, Incarnation(Uuid::from_u128(index as u128)))
}

/// A key of the tested shard whose id holds `time`.
fn key_at(time: u64, salt: u128) -> RequestKey {
    let id = (0_u16..)
        .map(|count| {
            let mut bytes = [0; 10];
            bytes[..8].copy_from_slice(&(salt as u64).to_be_bytes());
            bytes[8..].copy_from_slice(&count.to_be_bytes());
            let uuid = Builder::from_unix_timestamp_millis(time, &bytes).into_uuid();
            RequestId::new(&uuid.to_string())
        })
        .find(|id| shard_of(id) == SHARD)
        .unwrap();
    RequestKey::new(&WorkspaceName::new("clinic"), &id)
}

fn claim_entry(key: &RequestKey, claim: Uuid) -> ClaimEntry {
    ClaimEntry::Claim {
        request: key.clone(),
        claim,
        router: HostName::new("router-a"),
        incarnation: Incarnation(Uuid::nil()),
        time: UnixMillis(START_MS),
    }
}

fn void_entry(key: &RequestKey, claim: Uuid) -> ClaimEntry {
    ClaimEntry::Void {
        request: key.clone(),
        claim,
        time: UnixMillis(START_MS),
    }
}

fn record(entries: Vec<ClaimEntry>) -> String {
    let batch = ClaimBatch {
        owner: HostName::new("router-a"),
        incarnation: Incarnation(Uuid::nil()),
        batch: Uuid::from_u128(9),
        entries,
    };
    serde_json::to_string(&batch).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_500))]

    #[test]
    fn at_most_one_grant_is_outstanding_and_the_first_unvoided_claim_wins(
        actions in actions(),
    ) {
        let mut run = ModelRun::new();
        for action in &actions {
            run.play(action);
            run.check_single_run();
        }
        run.check_first_unvoided();
    }

    /// Readers that start anywhere within the window agree about every id that is still claimable.
    #[test]
    fn a_reader_that_starts_late_never_grants_what_a_full_reader_does_not(
        actions in actions(),
        start in 0..20_usize,
    ) {
        let mut run = ModelRun::new();
        for action in &actions {
            run.play(action);
        }
        let mut full = ClaimFold::new(SHARD);
        let mut late = ClaimFold::new(SHARD);
        for (offset, (time, data)) in run.records.iter().enumerate() {
            full.apply(offset as u64, UnixMillis(*time), data);
            if offset >= start {
                late.apply(offset as u64, UnixMillis(*time), data);
            }
        }
        for (key, claim, _) in &run.claims {
            if late.fate(key, *claim) == Some(ClaimFate::Granted) {
                prop_assert_eq!(full.fate(key, *claim), Some(ClaimFate::Granted));
            }
        }
    }
}

#[test]
fn a_lost_claim_stays_lost_when_its_batch_is_repeated_after_the_holders_void() {
    let key = key_at(START_MS, 1);
    let [first, second] = [Uuid::from_u128(1), Uuid::from_u128(2)];
    let log = [
        record(vec![claim_entry(&key, first)]),
        record(vec![claim_entry(&key, second)]),
        record(vec![void_entry(&key, first)]),
        record(vec![claim_entry(&key, second)]),
    ];
    let mut fold = ClaimFold::new(SHARD);
    for (offset, data) in log.iter().enumerate() {
        fold.apply(offset as u64, UnixMillis(START_MS), data);
    }
    assert_eq!(fold.fate(&key, second), Some(ClaimFate::Held));
    assert_eq!(fold.holder(&key), None);
}

#[test]
fn a_void_that_overtakes_its_claim_still_frees_the_id() {
    let key = key_at(START_MS, 1);
    let [first, second] = [Uuid::from_u128(1), Uuid::from_u128(2)];
    let log = [
        record(vec![void_entry(&key, first)]),
        record(vec![claim_entry(&key, first)]),
        record(vec![claim_entry(&key, second)]),
    ];
    let mut fold = ClaimFold::new(SHARD);
    for (offset, data) in log.iter().enumerate() {
        fold.apply(offset as u64, UnixMillis(START_MS), data);
    }
    assert_eq!(fold.fate(&key, second), Some(ClaimFate::Granted));
}

#[test]
fn a_void_of_another_claim_frees_nothing() {
    let key = key_at(START_MS, 1);
    let [first, second, third] = [1, 2, 3].map(Uuid::from_u128);
    let data = record(vec![
        claim_entry(&key, first),
        void_entry(&key, second),
        claim_entry(&key, third),
    ]);
    let mut fold = ClaimFold::new(SHARD);
    fold.apply(0, UnixMillis(START_MS), &data);
    assert_eq!(fold.fate(&key, third), Some(ClaimFate::Held));
}

#[test]
fn an_id_is_forgotten_only_when_no_record_can_claim_it_any_more() {
    let key = key_at(START_MS, 1);
    let [first, second] = [Uuid::from_u128(1), Uuid::from_u128(2)];
    let mut fold = ClaimFold::new(SHARD);
    fold.apply(
        0,
        UnixMillis(START_MS),
        &record(vec![claim_entry(&key, first)]),
    );
    let last = START_MS + ID_WINDOW_MS + CLOCK_SKEW_MS;
    fold.apply(1, UnixMillis(last + CLOCK_SKEW_MS), "{}");
    assert_eq!(fold.len(), 1);
    let repeat = record(vec![claim_entry(&key, second)]);
    fold.apply(2, UnixMillis(last), &repeat);
    assert_eq!(fold.fate(&key, second), Some(ClaimFate::Held));
    fold.apply(3, UnixMillis(last + CLOCK_SKEW_MS + 1), &repeat);
    assert!(fold.is_empty());
    assert_eq!(fold.holder(&key), None);
    assert_eq!(fold.foreign(), 1);
}

#[test]
fn after_a_gap_no_id_is_granted_that_a_lost_record_may_hold() {
    let old = key_at(START_MS, 1);
    let young = key_at(START_MS + 4 * MINUTE_MS, 2);
    let [first, second] = [Uuid::from_u128(1), Uuid::from_u128(2)];
    let mut fold = ClaimFold::new(SHARD);
    fold.skip_to(7, UnixMillis(START_MS + MINUTE_MS));
    let data = record(vec![claim_entry(&old, first), claim_entry(&young, second)]);
    fold.apply(7, UnixMillis(START_MS + 4 * MINUTE_MS), &data);
    assert_eq!(fold.holder(&old), None);
    assert_eq!(fold.fate(&young, second), Some(ClaimFate::Granted));
    assert_eq!(fold.gaps(), 1);
}

#[test]
fn reading_back_the_window_is_enough_to_grant_every_id_in_it() {
    let now = START_MS;
    let claim = Uuid::from_u128(1);
    for time in [now - ID_WINDOW_MS, now, now + ID_FUTURE_MS] {
        let key = key_at(time, 1);
        let mut fold = ClaimFold::new(SHARD);
        fold.skip_to(7, UnixMillis(now - READ_BACK_MS));
        let data = record(vec![claim_entry(&key, claim)]);
        fold.apply(7, UnixMillis(now), &data);
        assert_eq!(fold.fate(&key, claim), Some(ClaimFate::Granted));
    }
}

#[test]
fn equal_ids_of_two_workspaces_do_not_meet() {
    let key = key_at(START_MS, 1);
    let other = RequestKey::new(&WorkspaceName::new("depots"), &key.request);
    let [first, second] = [Uuid::from_u128(1), Uuid::from_u128(2)];
    let data = record(vec![claim_entry(&key, first), claim_entry(&other, second)]);
    let mut fold = ClaimFold::new(SHARD);
    fold.apply(0, UnixMillis(START_MS), &data);
    assert_eq!(fold.fate(&other, second), Some(ClaimFate::Granted));
}

#[test]
fn ids_outside_the_window_are_refused_with_the_reason() {
    let at = |time| check_id_time(&key_at(time, 1).request, UnixMillis(START_MS));
    assert!(at(START_MS - ID_WINDOW_MS).is_ok());
    assert!(at(START_MS + ID_FUTURE_MS).is_ok());
    let too_old = at(START_MS - ID_WINDOW_MS - 1).unwrap_err();
    assert!(matches!(too_old, IdTimeError::TooOld { .. }));
    let too_new = at(START_MS + ID_FUTURE_MS + 1).unwrap_err();
    assert!(matches!(too_new, IdTimeError::TooNew { .. }));
    let untimed = check_id_time(&RequestId::new("order-17"), UnixMillis(START_MS)).unwrap_err();
    assert!(matches!(untimed, IdTimeError::NotTimed { .. }));
}
