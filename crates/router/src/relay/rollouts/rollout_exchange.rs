//! Exchange of roll-out evidence and phases with the other routers, through topics of the store.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::names::ServiceName;
use ferry_decisions::rollout::{EvidenceRow, ExposureBound, RolloutPhase, RolloutPlan};
use ferry_decisions::topic::{StoreEra, TopicPosition};
use ferry_platform::entries::{
    RolloutStatus, decode_status, encode_status, rollout_key, service_of_rollout_key,
};
use ferry_platform::store::{
    AppendCondition, RESPONSE_BYTES, ReadBatch, ReadQuery, STATUS_TOPIC, StoreError, StoreRecord,
    TopicPartition, encode_keyed,
};
use tokio::time::{sleep, timeout};

use crate::relay::fleet::{EvidenceRecord, read_record, write_body};
use crate::relay::relay_core::SharedCore;
use crate::relay::topic_progress::TopicProgress;
use crate::relay::watch::{OutageLog, TopicReader};

/// Topic of the routers' evidence rows.
const EVIDENCE: TopicPartition<'static> = TopicPartition::only("rollout-evidence");
/// Partition that holds the phase of each service's roll-out.
const STATUS: TopicPartition<'static> = TopicPartition::only(STATUS_TOPIC);
/// Period of the exchanges while a roll-out is in progress.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(900);
/// The same while a new version has all traffic, so that its latest answers are known before it is completed.
const FULL_PHASE_PERIOD: Duration = Duration::from_millis(300);
/// Minimum pause between two exchanges.
const MIN_EXCHANGE_PAUSE: Duration = Duration::from_millis(200);
/// Minimum period at which ended conversations are removed.
const MIN_EXPIRY_PERIOD: Duration = Duration::from_secs(1);
/// Number of exchanges after which the phases are read even if no other router reports a later phase.
const EXCHANGES_PER_STATUS_READ: u32 = 5;

/// State of the exchange: read positions and the rows sent last.
struct RolloutExchange {
    core: SharedCore,
    status: TopicReader,
    /// How far the phases are known here.
    status_topic: TopicProgress,
    /// Position of the next evidence record to read.
    evidence_position: TopicPosition,
    /// Phases in the store, by service, as they were read last.
    stored: HashMap<ServiceName, RolloutStatus>,
    /// Era of the store in which the phases that are known here are stored, also those that it lost; 0 before its first answer.
    restored_era: StoreEra,
    /// Rows appended last, by service and router.
    last_sent: HashMap<(ServiceName, String), EvidenceRow>,
    /// Number of exchanges so far, without those that could not read the phases.
    rounds: u32,
    outages: OutageLog,
}

/// Runs an exchange once per period while roll-outs are in progress, until the relay closes.
///
/// Pauses unless this router reads the store; the one that it syncs from does the exchange for both.
pub async fn follow(core: SharedCore) {
    let mut eras = core.store.eras().subscribe();
    let mut exchange = RolloutExchange {
        status: TopicReader::new(core.store.clone(), STATUS_TOPIC),
        status_topic: TopicProgress::default(),
        core,
        evidence_position: TopicPosition::default(),
        stored: HashMap::new(),
        restored_era: StoreEra::default(),
        last_sent: HashMap::new(),
        rounds: 0,
        outages: OutageLog::new(
            "cannot exchange roll-out evidence through the store; retrying",
            "exchanging roll-out evidence through the store again",
        ),
    };
    loop {
        let core = exchange.core.clone();
        let services = core.rollouts.unfinished_services();
        exchange.note_first_era();
        if services.is_empty() && !exchange.must_restore() {
            tokio::select! {
                () = core.rollouts.wake.notified() => {}
                // The sender is as old as the relay.
                _ = eras.changed() => {}
            }
            continue;
        }
        if !core.fleet.sync_state().is_own_reader() {
            let reading = core.fleet.wait_until(|state| state.is_own_reader());
            // The end of the time leads to another look at the unfinished roll-outs.
            let _ = timeout(EXCHANGE_PERIOD, reading).await;
            continue;
        }
        match exchange.run(&services).await {
            Ok(()) => exchange.outages.record_success(),
            Err(error) => exchange.outages.record_failure(&error),
        }
        let pause = pause_until_due(&core, &services);
        let _ = timeout(pause, core.rollouts.wake.notified()).await;
    }
}

/// Time until the next exchange: its period, or less if a phase is due sooner.
fn pause_until_due(core: &SharedCore, services: &[ServiceName]) -> Duration {
    let (bound, now) = (exposure_bound(core), core.clock.now());
    let due = services.iter().filter_map(|service| {
        let due = core
            .rollouts
            .with(service, |rollout| rollout.next_phase_in(&bound, now));
        due.flatten()
    });
    let soonest = due.min().unwrap_or(EXCHANGE_PERIOD);
    let mut phases = services.iter().filter_map(|service| {
        let phase = core.rollouts.with(service, |rollout| rollout.phase);
        phase.flatten()
    });
    let period = match phases.any(|phase| phase == RolloutPhase::Full) {
        true => FULL_PHASE_PERIOD,
        false => EXCHANGE_PERIOD,
    };
    soonest.clamp(MIN_EXCHANGE_PAUSE, period)
}

/// Requests that a bad version may get, as the deployment's bounds state them.
fn exposure_bound(core: &SharedCore) -> ExposureBound {
    let bounds = &core.settings.load().bounds;
    ExposureBound {
        share: bounds.exposure_share,
        tolerance: bounds.exposure_tolerance,
    }
}

/// Removes ended conversations periodically, until the relay closes.
pub async fn expire_sessions(core: SharedCore) {
    loop {
        let gap = core.settings.load().bounds.session_gap;
        sleep(gap.max(MIN_EXPIRY_PERIOD)).await;
        core.rollouts.sessions.expire(gap, core.clock.now());
    }
}

impl RolloutExchange {
    /// Runs one exchange for `services`, whose roll-outs have not ended, and proposes the phases that are due.
    async fn run(&mut self, services: &[ServiceName]) -> Result<(), StoreError> {
        self.core.report_ongoing_conversations();
        if self.must_restore() {
            self.restore_phases().await?;
        }
        if self.rounds.is_multiple_of(EXCHANGES_PER_STATUS_READ) {
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
            self.advance_phase(service).await?;
        }
        Ok(())
    }

    /// Proposes the next phase of the roll-out of `service` if it is due.
    async fn advance_phase(&mut self, service: &ServiceName) -> Result<(), StoreError> {
        let core = &self.core;
        let now = core.clock.now();
        let bound = exposure_bound(core);
        let rate = core.fleet_rate(service);
        let state = core.rollouts.with(service, |rollout| {
            let (phase, canary_share) = match rollout.phase {
                None => {
                    let share = RolloutPlan::canary_share(rollout.order.duration, &bound, rate);
                    (RolloutPhase::Announced, share)
                }
                Some(_) => (rollout.next_phase(&bound, now)?, rollout.canary_share()),
            };
            Some(RolloutStatus {
                order: rollout.offset(),
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

    /// Reads and applies the phases that changed in the store.
    async fn read_status(&mut self) -> Result<(), StoreError> {
        let known_keys = self.core.rollouts.count();
        let progress = &self.status_topic;
        let next = self.status.next(progress, known_keys, Duration::ZERO);
        let changes = next.await?;
        self.status_topic.advance(changes.position);
        if changes.whole {
            self.stored.clear();
        }
        for record in &changes.records {
            let service = service_of_rollout_key(&record.key);
            let Some((service, value)) = service.zip(record.value.as_ref()) else {
                continue;
            };
            match decode_status(value) {
                Ok(status) => {
                    self.apply_status(&service, &status);
                    self.stored.insert(service, status);
                }
                Err(error) => spdlog::warn!(
                    "ignoring the malformed roll-out status of {}: {}",
                    service,
                    error
                ),
            }
        }
        Ok(())
    }

    /// Notes the era of the store's first answer, before which no phase is known here that it could have lost.
    fn note_first_era(&mut self) {
        if self.restored_era == StoreEra::default() {
            self.restored_era = self.core.store.eras().newest();
        }
    }

    /// Whether the store came back from an older copy since the phases were last stored.
    fn must_restore(&self) -> bool {
        self.core.store.eras().newest() > self.restored_era
    }

    /// Stores again the phases that the store lost when it came back from an older copy, those of ended roll-outs too.
    async fn restore_phases(&mut self) -> Result<(), StoreError> {
        let era = self.core.store.eras().newest();
        let orders = self.core.operator_topic.position();
        if orders.is_none_or(|orders| orders.era < era) {
            // The positions of the orders in the new era, by which phases name them, are read first.
            return Ok(());
        }
        self.read_status().await?;
        let phases = self.core.rollouts.map_all(|service, rollout| {
            let status = rollout.status()?;
            (rollout.position.era == era).then(|| (service.clone(), status))
        });
        let lost: Vec<(ServiceName, RolloutStatus)> = phases
            .into_iter()
            .flatten()
            .filter(|(service, status)| status.is_missing_in(self.stored.get(service)))
            .collect();
        for (service, status) in &lost {
            self.propose(service, status).await?;
        }
        let is_stored = |(service, status): &(ServiceName, RolloutStatus)| {
            !status.is_missing_in(self.stored.get(service))
        };
        if lost.iter().all(is_stored) {
            spdlog::info!("phases of roll-outs stored again in the store's new era", kv: {
                era = era.0,
                phases = lost.len(),
            });
            self.restored_era = era;
        }
        Ok(())
    }

    fn apply_status(&self, service: &ServiceName, status: &RolloutStatus) {
        let now = self.core.clock.now();
        self.core.report_ongoing_conversations();
        self.core.rollouts.with(service, |rollout| {
            if rollout.offset() == status.order && rollout.order.target == status.target {
                rollout.enter(status.phase, status.canary_share, now);
            }
        });
        self.core.fleet.feed.wake();
    }

    /// Appends the changed rows of this router and of the routers that sync from it.
    async fn send_rows(&mut self, service: &ServiceName) -> Result<(), StoreError> {
        let core = &self.core;
        let now = core.clock.now();
        let rows = core.rollouts.with(service, |rollout| {
            let own = rollout.own_row(&core.upstreams, now);
            let rows: Vec<EvidenceRow> = rollout.client_rows().cloned().chain([own]).collect();
            (rollout.offset(), rows)
        });
        let Some((order, mut rows)) = rows else {
            return Ok(());
        };
        rows.retain(|row| {
            self.last_sent
                .get(&(service.clone(), row.router.clone()))
                .is_none_or(|sent| !has_same_evidence(sent, row))
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
                AppendCondition::None,
            )
            .await?;
        self.last_sent.extend(
            rows.into_iter()
                .map(|row| ((service.clone(), row.router.clone()), row)),
        );
        Ok(())
    }

    /// Reads and merges all new rows of all routers; returns whether one of them is in a later phase.
    async fn read_rows(&mut self, services: &[ServiceName]) -> Result<bool, StoreError> {
        let mut ahead = false;
        loop {
            let batch = self.read_evidence().await?;
            let records = batch.records.iter();
            let decoded: Vec<EvidenceRecord> = records.filter_map(decode_row).collect();
            for service in services {
                ahead |= self.merge_rows(service, &decoded);
            }
            if self.evidence_position.offset >= batch.end {
                return Ok(ahead);
            }
        }
    }

    /// Reads the next records of the evidence topic, from the first one kept if the store has dropped some of them.
    async fn read_evidence(&mut self) -> Result<ReadBatch, StoreError> {
        let query = |from| ReadQuery {
            from,
            wait: Duration::ZERO,
            most_bytes: RESPONSE_BYTES,
        };
        let store = &self.core.store;
        let newest = store.eras().newest();
        if newest > self.evidence_position.era {
            // All rows are read again, and those that the store lost are sent again.
            self.evidence_position = TopicPosition::new(newest, 0);
            self.last_sent.clear();
        }
        let from = self.evidence_position.offset;
        let (era, batch) = match store.read(EVIDENCE, query(from)).await {
            Err(StoreError::Trimmed { first }) => {
                self.evidence_position.offset = first;
                store.read(EVIDENCE, query(first)).await?
            }
            result => result?,
        };
        if era > self.evidence_position.era {
            return Err(StoreError::PastEra {
                era: self.evidence_position.era.0,
                newest: era.0,
            });
        }
        self.evidence_position.offset += batch.records.len() as u64;
        Ok(batch)
    }

    /// Merges the rows about the order of `service`; returns whether one of them is in a later phase.
    fn merge_rows(&self, service: &ServiceName, records: &[EvidenceRecord]) -> bool {
        let now = self.core.clock.now();
        let ahead = self.core.rollouts.with(service, |rollout| {
            let rows: Vec<EvidenceRow> = records
                .iter()
                .filter(|record| record.service == *service && record.order == rollout.offset())
                .map(|record| record.row.clone())
                .collect();
            let ahead = rows.iter().any(|row| row.phase > rollout.phase);
            rollout.merge(rows, now);
            ahead
        });
        ahead.unwrap_or(false)
    }

    /// Appends `status` to the store, provided that this router has read everything there, and reads it back.
    ///
    /// If another router appended first, its phase is read instead.
    async fn propose(
        &mut self,
        service: &ServiceName,
        status: &RolloutStatus,
    ) -> Result<(), StoreError> {
        let Some(end) = self.status_topic.position() else {
            return Ok(());
        };
        let Some(record) = encode_keyed(&rollout_key(service), &encode_status(status)) else {
            spdlog::error!(
                "cannot store the roll-out status of {}: its key is too long",
                service
            );
            return Ok(());
        };
        let guard = AppendCondition::EndsAt(end.offset);
        match self.core.store.append(STATUS, [&record[..]], guard).await {
            Ok(_) | Err(StoreError::EndMismatch { .. }) => self.read_status().await,
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
    write_body(&record, "a roll-out evidence row")
}

fn decode_row(record: &StoreRecord) -> Option<EvidenceRecord> {
    read_record(&record.content, "roll-out evidence row", record.offset)
}

/// Whether two rows of one router carry the same evidence; the elapsed time is left out, since it always differs.
fn has_same_evidence(one: &EvidenceRow, other: &EvidenceRow) -> bool {
    one.classes == other.classes
        && one.ongoing == other.ongoing
        && one.target_sends == other.target_sends
        && one.base_sends == other.base_sends
        && one.old_in_flight == other.old_in_flight
        && one.phase == other.phase
}
