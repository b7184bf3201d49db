//! Property tests of claims against a model of the log, with repeated batches, lost and delayed
//! appends, several owners of one stream, voids and retention.

use std::collections::{HashMap, HashSet};

use ferry_decisions::claim::{
    CLOCK_SKEW_MS, ClaimBatch, ClaimEntry, ClaimFold, ClaimOutcome, ClaimOwner, ClaimReply,
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

/// One step of a model run.
#[derive(Debug, Clone)]
enum Action {
    /// A caller makes a new request id with its clock off by the given milliseconds.
    NewId(i64),
    /// A router, with its clock off by the given milliseconds, submits a claim of an id to an owner.
    Submit(usize, usize, i64),
    /// An owner appends its next batch.
    Append(usize, AppendOutcome),
    /// A delayed append reaches the log.
    Deliver(usize),
    /// An owner reads a number of records.
    Read(usize, usize),
    /// A router runs a request whose claim was granted.
    Run(usize),
    /// A router voids a claim, granted or not, through an owner.
    Void(usize, usize),
    /// A new owner on the same host reads back the log time of the window.
    Replace(usize),
    /// The clock advances by the given milliseconds.
    Advance(u64),
    /// Retention deletes a number of the oldest records.
    DeleteOldest(usize),
}

/// Outcome of an append.
#[derive(Debug, Clone, Copy)]
enum AppendOutcome {
    Appended,
    Lost,
    Delayed,
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let skew = -(CLOCK_SKEW_MS as i64 / 2)..(CLOCK_SKEW_MS as i64 / 2);
    let outcome = prop_oneof![
        4 => Just(AppendOutcome::Appended),
        1 => Just(AppendOutcome::Lost),
        2 => Just(AppendOutcome::Delayed),
    ];
    let action = prop_oneof![
        2 => skew.clone().prop_map(Action::NewId),
        6 => (0..OWNERS, 0..4_usize, skew).prop_map(|(o, r, s)| Action::Submit(o, r, s)),
        6 => (0..OWNERS, outcome).prop_map(|(o, f)| Action::Append(o, f)),
        2 => (0..4_usize).prop_map(Action::Deliver),
        6 => (0..OWNERS, 1..5_usize).prop_map(|(o, n)| Action::Read(o, n)),
        3 => (0..4_usize).prop_map(Action::Run),
        3 => (0..OWNERS, 0..6_usize).prop_map(|(o, c)| Action::Void(o, c)),
        1 => (0..OWNERS).prop_map(Action::Replace),
        1 => (0..6 * MINUTE_MS).prop_map(Action::Advance),
        1 => (1..4_usize).prop_map(Action::DeleteOldest),
    ];
    prop::collection::vec(action, 1..120)
}

/// State of a claim as its router knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ClaimState {
    Submitted,
    Granted,
    Ran,
    Abandoned,
}

#[derive(Debug)]
struct ModelRun {
    now: u64,
    /// Every record appended so far; those before `earliest` are no longer readable.
    records: Vec<(u64, String)>,
    earliest: usize,
    delayed: Vec<String>,
    owners: Vec<ClaimOwner>,
    ids: Vec<RequestKey>,
    claims: Vec<(RequestKey, Uuid, ClaimState)>,
    uuid_count: u128,
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
            uuid_count: 0,
        };
        for index in 0..OWNERS {
            run.owners.push(new_owner(index));
        }
        run
    }

    fn next_uuid(&mut self) -> Uuid {
        self.uuid_count += 1;
        Uuid::from_u128(self.uuid_count)
    }

    fn perform(&mut self, action: &Action) {
        match action {
            Action::NewId(skew) => {
                let time = self.now.saturating_add_signed(*skew);
                self.uuid_count += 1;
                self.ids.push(key_at(time, self.uuid_count));
            }
            Action::Submit(owner, id, skew) => self.submit(*owner, *id, *skew),
            Action::Append(owner, outcome) => self.append(*owner, *outcome),
            Action::Deliver(index) if *index < self.delayed.len() => {
                let data = self.delayed.remove(*index);
                self.records.push((self.now, data));
            }
            Action::Deliver(_) => {}
            Action::Read(owner, count) => self.read(*owner, *count),
            Action::Run(index) => self.run_claim(*index),
            Action::Void(owner, claim) => self.void(*owner, *claim),
            Action::Replace(owner) => self.replace(*owner),
            Action::Advance(ms) => self.now += ms,
            Action::DeleteOldest(count) => {
                self.earliest = (self.earliest + count).min(self.records.len());
            }
        }
    }

    fn submit(&mut self, owner: usize, id: usize, skew: i64) {
        let Some(key) = self.ids.iter().rev().nth(id).cloned() else {
            return;
        };
        let clock = UnixMillis(self.now.saturating_add_signed(skew));
        if check_id_time(&key.request, clock).is_err() {
            return;
        }
        let claim = self.next_uuid();
        self.claims
            .push((key.clone(), claim, ClaimState::Submitted));
        let reply = self.owners[owner].submit(claim_entry(&key, claim));
        if let Some(reply) = reply {
            self.record_reply(claim, &reply);
        }
    }

    fn append(&mut self, owner: usize, outcome: AppendOutcome) {
        let batch = self.next_uuid();
        let Some(batch) = self.owners[owner].next_batch(batch) else {
            return;
        };
        let data = serde_json::to_string(batch).unwrap();
        match outcome {
            AppendOutcome::Appended => self.records.push((self.now, data)),
            AppendOutcome::Lost => {}
            AppendOutcome::Delayed => self.delayed.push(data),
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
                self.record_reply(decision.claim, &reply);
            }
        }
    }

    fn record_reply(&mut self, claim: Uuid, reply: &ClaimReply) {
        let known = self
            .claims
            .iter_mut()
            .find(|(_, known, _)| *known == claim)
            .unwrap();
        if known.2 != ClaimState::Submitted {
            return;
        }
        known.2 = match reply {
            ClaimReply::Granted => ClaimState::Granted,
            _ => ClaimState::Abandoned,
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
        let voidable = self
            .claims
            .iter_mut()
            .filter(|(_, _, state)| matches!(state, ClaimState::Granted | ClaimState::Submitted))
            .nth(index);
        if let Some((key, claim, state)) = voidable {
            *state = ClaimState::Abandoned;
            let entry = void_entry(key, *claim);
            self.owners[owner].submit(entry);
        }
    }

    fn replace(&mut self, owner: usize) {
        let mut successor = new_owner(owner);
        let oldest = self.now - READ_BACK_MS;
        let from = self.records.partition_point(|(time, _)| *time < oldest);
        if let Some((time, _)) = from.checked_sub(1).map(|last| &self.records[last]) {
            successor.skip_to(from as u64, UnixMillis(*time));
        }
        self.owners[owner] = successor;
    }

    /// Checks that no request is granted to, or was run by, two claims.
    fn check_single_run(&self) {
        let mut held: HashMap<&RequestKey, Uuid> = HashMap::new();
        for (key, claim, state) in &self.claims {
            if matches!(state, ClaimState::Granted | ClaimState::Ran) {
                let other = held.insert(key, *claim);
                assert_eq!(other, None, "two claims of {key:?} are granted at once");
            }
        }
    }

    /// Checks every grant against a scan of the whole log that never removes a claim.
    fn check_first_unvoided(&self) {
        let granted = reference_grants(&self.records);
        for (key, claim, state) in &self.claims {
            if matches!(state, ClaimState::Granted | ClaimState::Ran) {
                assert!(
                    granted.contains(claim),
                    "{key:?}: the granted claim was not the first unvoided one"
                );
            }
        }
    }
}

/// Claims that were the first unvoided ones at their own record, by a plain scan of the whole log.
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

/// Key of the tested shard whose request id holds `time`.
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
            run.perform(action);
            run.check_single_run();
        }
        run.check_first_unvoided();
    }

    /// Guards against a reader that starts after the first record, without the earlier claims, and
    /// grants a claim that a reader of the whole log refuses.
    #[test]
    fn a_reader_that_starts_late_never_grants_what_a_full_reader_does_not(
        actions in actions(),
        start in 0..20_usize,
    ) {
        let mut run = ModelRun::new();
        for action in &actions {
            run.perform(action);
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
            if late.outcome(key, *claim) == Some(ClaimOutcome::Granted) {
                prop_assert_eq!(full.outcome(key, *claim), Some(ClaimOutcome::Granted));
            }
        }
    }
}

#[test]
fn a_refused_claim_stays_refused_when_its_batch_is_repeated_after_the_holders_void() {
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
    assert_eq!(fold.outcome(&key, second), Some(ClaimOutcome::Held));
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
    assert_eq!(fold.outcome(&key, second), Some(ClaimOutcome::Granted));
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
    assert_eq!(fold.outcome(&key, third), Some(ClaimOutcome::Held));
}

#[test]
fn an_id_is_removed_only_when_no_record_can_claim_it_any_more() {
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
    assert_eq!(fold.outcome(&key, second), Some(ClaimOutcome::Held));
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
    assert_eq!(fold.outcome(&young, second), Some(ClaimOutcome::Granted));
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
        assert_eq!(fold.outcome(&key, claim), Some(ClaimOutcome::Granted));
    }
}

#[test]
fn equal_ids_of_two_workspaces_do_not_conflict() {
    let key = key_at(START_MS, 1);
    let other = RequestKey::new(&WorkspaceName::new("depots"), &key.request);
    let [first, second] = [Uuid::from_u128(1), Uuid::from_u128(2)];
    let data = record(vec![claim_entry(&key, first), claim_entry(&other, second)]);
    let mut fold = ClaimFold::new(SHARD);
    fold.apply(0, UnixMillis(START_MS), &data);
    assert_eq!(fold.outcome(&other, second), Some(ClaimOutcome::Granted));
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
