//! Exchange of evidence and phases with the other routers, through topics of the store.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::ServiceName;
use ferry_decisions::rollout::{EvidenceRow, RolloutPhase, RolloutPlan};
use ferry_platform::entries::{RolloutStatus, decode_status, encode_status, status_key};
use ferry_platform::store::{
    AppendGuard, ReadQuery, STATUS_TOPIC, StoreError, StoreRecord, TopicPart, encode_keyed,
};
use tokio::time::{sleep, timeout};

use crate::peer;
use crate::relay::fleet::{EvidenceRecord, write_body};
use crate::relay::relay_core::SharedCore;
use crate::relay::watch::{LossNote, TopicReader};

/// Topic of the routers' evidence.
const EVIDENCE: TopicPart<'static> = TopicPart::only("rollout-evidence");
/// Partition of the phases.
const STATUS: TopicPart<'static> = TopicPart::only(STATUS_TOPIC);
/// Time between two exchanges while a roll-out is under way.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(900);
/// Least time between two looks for conversations that ended.
const LEAST_FORGET_PERIOD: Duration = Duration::from_secs(1);
/// Exchanges after which the phases are read even if no router is seen ahead.
const STATUS_PERIOD: u32 = 5;

/// Position of this router in the topics.
struct RolloutExchange {
    core: SharedCore,
    status: TopicReader,
    /// Offset of the next evidence record.
    evidence: u64,
    /// Rows that were last appended, by service and router.
    sent: HashMap<(ServiceName, String), EvidenceRow>,
    rounds: u32,
    loss: LossNote,
}

/// Exchanges while roll-outs are under way, until the relay closes.
pub async fn follow(core: SharedCore) {
    let mut exchange = RolloutExchange {
        status: TopicReader::new(core.store.clone(), STATUS_TOPIC),
        core,
        evidence: 0,
        sent: HashMap::new(),
        rounds: 0,
        loss: LossNote::new(
            "roll-out evidence cannot be exchanged",
            "roll-out evidence is exchanged again",
        ),
    };
    loop {
        let core = exchange.core.clone();
        let open = core.rollouts.open_services();
        if open.is_empty() {
            core.rollouts.wake.notified().await;
            continue;
        }
        if core.fleet.is_fed() {
            let _ = timeout(EXCHANGE_PERIOD, core.fleet.unfed()).await;
            continue;
        }
        match exchange.run(&open).await {
            Ok(()) => exchange.loss.regain(),
            Err(error) => exchange.loss.lose(&error),
        }
        let _ = timeout(EXCHANGE_PERIOD, core.rollouts.wake.notified()).await;
    }
}

/// Forgets conversations that ended, until the relay closes.
pub async fn forget_sessions(core: SharedCore) {
    loop {
        let gap = core.settings.load().bounds.session_gap;
        sleep(gap.max(LEAST_FORGET_PERIOD)).await;
        core.rollouts.sessions.expire(gap, core.clock.now());
    }
}

impl RolloutExchange {
    /// One exchange about the services whose roll-outs are open, and the next phases that are due.
    async fn run(&mut self, services: &[ServiceName]) -> Result<(), StoreError> {
        if self.rounds.is_multiple_of(STATUS_PERIOD) {
            self.read_status().await?;
        }
        self.rounds += 1;
        for service in services {
            self.send_rows(service).await?;
        }
        let ahead = self.read_rows(services).await?;
        if ahead {
            self.read_status().await?;
        }
        for service in services {
            self.move_on(service).await?;
        }
        Ok(())
    }

    /// Moves the roll-out of `service` to its next phase if that is due.
    async fn move_on(&mut self, service: &ServiceName) -> Result<(), StoreError> {
        let core = &self.core;
        let now = core.clock.now();
        let exposure = core.settings.load().bounds.exposure_share;
        let rate = core.fleet_rate(service);
        let state = core.rollouts.with(service, |rollout| {
            let (phase, canary_share) = match rollout.phase {
                None => {
                    let share = RolloutPlan::canary_share(rollout.order.duration, exposure, rate);
                    (RolloutPhase::Canary, share)
                }
                Some(_) => (rollout.next_phase(now)?, rollout.canary_share()),
            };
            Some(RolloutStatus {
                order: rollout.offset,
                target: rollout.order.target.clone(),
                phase,
                canary_share,
            })
        });
        match state.flatten() {
            Some(status) => self.propose(service, &status).await,
            None => Ok(()),
        }
    }

    /// Reads the phases that the store holds.
    async fn read_status(&mut self) -> Result<(), StoreError> {
        let changes = self.status.next(Duration::ZERO).await?;
        let core = &self.core;
        for service in core.rollouts.open_services() {
            let key = status_key(&service);
            let values = changes.records.iter().filter(|record| record.key == key);
            for value in values.filter_map(|record| record.value.as_ref()) {
                match decode_status(value) {
                    Ok(status) => self.take_status(&service, &status),
                    Err(error) => spdlog::warn!("the status of {} is ignored: {}", service, error),
                }
            }
        }
        Ok(())
    }

    fn take_status(&self, service: &ServiceName, status: &RolloutStatus) {
        let now = self.core.clock.now();
        self.core.rollouts.with(service, |rollout| {
            if rollout.offset == status.order {
                rollout.enter(status.phase, status.canary_share, now);
            }
        });
        self.core.fleet.feed.wake();
    }

    /// Appends the rows of this router, and of those that ask it, as far as they changed.
    async fn send_rows(&mut self, service: &ServiceName) -> Result<(), StoreError> {
        let core = &self.core;
        let now = core.clock.now();
        let rows = core.rollouts.with(service, |rollout| {
            let own = rollout.own_row(&core.upstreams, now);
            let rows: Vec<EvidenceRow> = rollout.neighbour_rows().cloned().chain([own]).collect();
            (rollout.offset, rows)
        });
        let Some((order, mut rows)) = rows else {
            return Ok(());
        };
        rows.retain(|row| {
            self.sent
                .get(&(service.clone(), row.router.clone()))
                .is_none_or(|sent| !is_same(sent, row))
        });
        if rows.is_empty() {
            return Ok(());
        }
        let bodies = rows
            .iter()
            .filter_map(|row| encode_row(service, order, row));
        let bodies: Vec<Bytes> = bodies.collect();
        core.store
            .append(
                EVIDENCE,
                bodies.iter().map(|body| &body[..]),
                AppendGuard::None,
            )
            .await?;
        self.sent.extend(
            rows.into_iter()
                .map(|row| ((service.clone(), row.router.clone()), row)),
        );
        Ok(())
    }

    /// Reads the other routers' rows; returns whether one of them acts on a later phase.
    async fn read_rows(&mut self, services: &[ServiceName]) -> Result<bool, StoreError> {
        let query = ReadQuery {
            from: self.evidence,
            wait: Duration::ZERO,
        };
        let batch = match self.core.store.read(EVIDENCE, query).await {
            Err(StoreError::Trimmed { first }) => {
                self.evidence = first;
                return Ok(false);
            }
            result => result?,
        };
        self.evidence += batch.records.len() as u64;
        let records = batch.records.iter();
        let decoded: Vec<EvidenceRecord> = records.filter_map(decode_row).collect();
        let merges = services
            .iter()
            .map(|service| self.merge_rows(service, &decoded));
        Ok(merges.fold(false, |ahead, later| ahead | later))
    }

    /// Takes in the rows about `service`; returns whether one of them acts on a later phase.
    fn merge_rows(&self, service: &ServiceName, records: &[EvidenceRecord]) -> bool {
        let now = self.core.clock.now();
        let ahead = self.core.rollouts.with(service, |rollout| {
            let rows: Vec<EvidenceRow> = records
                .iter()
                .filter(|record| record.service == *service && record.order == rollout.offset)
                .map(|record| record.row.clone())
                .collect();
            let ahead = rows.iter().any(|row| row.phase > rollout.phase);
            rollout.merge(rows, now);
            ahead
        });
        ahead.unwrap_or(false)
    }

    /// Moves the roll-out on, unless another router did so meanwhile.
    async fn propose(
        &mut self,
        service: &ServiceName,
        status: &RolloutStatus,
    ) -> Result<(), StoreError> {
        let Some(end) = self.status.position() else {
            return Ok(());
        };
        let Some(record) = encode_keyed(&status_key(service), &encode_status(status)) else {
            spdlog::error!("the status of {} has too long a key", service);
            return Ok(());
        };
        let guard = AppendGuard::EndsAt(end);
        match self.core.store.append(STATUS, [&record[..]], guard).await {
            Ok(_) | Err(StoreError::Moved { .. }) => self.read_status().await,
            Err(error) => Err(error),
        }
    }
}

fn encode_row(service: &ServiceName, order: u64, row: &EvidenceRow) -> Option<Bytes> {
    let record = EvidenceRecord {
        service: service.clone(),
        order,
        row: row.clone(),
    };
    write_body(&record, "a row of evidence")
}

fn decode_row(record: &StoreRecord) -> Option<EvidenceRecord> {
    peer::decode(&record.content)
        .inspect_err(|error| {
            spdlog::warn!("a row of evidence is ignored: {}", error, kv: { offset = record.offset });
        })
        .ok()
}

/// Whether two rows of one router tell the others the same.
fn is_same(one: &EvidenceRow, other: &EvidenceRow) -> bool {
    one.classes == other.classes
        && one.old_in_flight == other.old_in_flight
        && one.phase == other.phase
}
