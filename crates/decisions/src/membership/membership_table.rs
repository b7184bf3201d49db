//! Table of the router hosts: the platform's listing combined with the hosts' own statements.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::{
    AgedRow, ConfigPosition, HostHealth, MemberRow, MembershipDelta, MembershipQuery, neighbours,
};
use crate::lease::{LogObservation, PeerStatement, majority_of};
use crate::names::HostName;
use crate::time::MonotonicTime;

/// Most rows in one answer.
const ROWS_PER_ANSWER: usize = 256;
/// Most hosts in the table.
const TABLE_LIMIT: usize = 1_024;
/// Time after a change during which a row is sent before others.
const CHANGE_WINDOW: Duration = Duration::from_secs(5);
/// Time without a statement after which an unlisted host is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(600);
/// Age assumed for a row of unknown age.
const UNKNOWN_AGE: Duration = Duration::from_secs(3_600);
/// Time from its start during which a process that receives a row of another incarnation of its host
/// counts as the later one.
const START_WINDOW: Duration = Duration::from_secs(10);

/// A router host as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedRouter {
    /// Name of the host.
    pub host: HostName,
    /// Address of its peer port.
    pub address: SocketAddr,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}

/// State of this router for its next statement.
#[derive(Debug, Clone, Default)]
pub struct OwnReport {
    /// Configuration that the router holds.
    pub config: ConfigPosition,
    /// Newest read of the log's tail, with its present age.
    pub log: Option<LogObservation>,
    /// Whether the last read of the log succeeded.
    pub log_working: bool,
    /// Whether the router is stopping.
    pub leaving: bool,
    /// Whether the router holds all records that earlier incarnations confirmed.
    pub recovered: bool,
}

/// A change of the fleet that was detected from received rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// A row of an unknown host was received.
    Joined(HostName),
    /// A host runs a new process.
    Restarted(HostName),
    /// A host is stopping.
    Leaving(HostName),
    /// A later process runs under this host's name; this one must stop serving.
    Replaced,
}

/// Result of applying received rows.
#[derive(Debug, Clone, Default)]
pub struct AppliedDelta {
    /// Statements for the lease: the newest one of each host whose row was applied.
    pub statements: Vec<PeerStatement>,
    /// Changes of the fleet.
    pub changes: Vec<MemberChange>,
}

/// Table of the router hosts that one router knows.
#[derive(Debug, Clone)]
pub struct MembershipTable {
    own: MemberRow,
    started_at: MonotonicTime,
    /// Other hosts of which a row was received; at most [`TABLE_LIMIT`].
    members: BTreeMap<HostName, MemberEntry>,
    listed: BTreeMap<HostName, ListedRouter>,
}

#[derive(Debug, Clone)]
struct MemberEntry {
    row: MemberRow,
    /// Moment that is certainly not later than the making of `row`.
    requested_at: MonotonicTime,
    /// Time of the host's newest statement, as far as it is known.
    stated_at: MonotonicTime,
    /// Time at which the row last differed in more than its number.
    changed_at: MonotonicTime,
}

impl MembershipTable {
    /// Creates a table of this router alone; `own.generation` should be the wall clock's time.
    pub fn new(own: MemberRow, started_at: MonotonicTime) -> Self {
        Self {
            own,
            started_at,
            members: BTreeMap::new(),
            listed: BTreeMap::new(),
        }
    }

    /// Replaces the listing of the router hosts by the platform; an empty one is ignored.
    pub fn relist(&mut self, now: MonotonicTime, listing: &[ListedRouter]) {
        if listing.is_empty() {
            return;
        }
        self.listed = listing
            .iter()
            .map(|router| (router.host.clone(), router.clone()))
            .collect();
        self.members.retain(|host, entry| {
            self.listed.contains_key(host) || now.since(entry.stated_at) < REMOVE_AFTER
        });
    }

    /// Sets the address of this router's peer port, once it is bound.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.own.address = address;
    }

    /// Makes a new statement of this router and returns it.
    pub fn report_own(&mut self, report: &OwnReport) -> &MemberRow {
        self.own.sequence += 1;
        self.own.config = report.config;
        self.own.log.clone_from(&report.log);
        self.own.log_working = report.log_working;
        self.own.leaving = report.leaving;
        self.own.recovered = report.recovered;
        &self.own
    }

    /// Newest statement of this router.
    pub fn own(&self) -> &MemberRow {
        &self.own
    }

    /// Newest row of another host; `None` if none was received.
    pub fn row(&self, host: &HostName) -> Option<&MemberRow> {
        self.members.get(host).map(|entry| &entry.row)
    }

    /// Newest rows of all other hosts.
    pub fn rows(&self) -> impl Iterator<Item = &MemberRow> {
        self.members.values().map(|entry| &entry.row)
    }

    /// Applies the row of a received heartbeat. Its age is unknown, since it is no answer to a query.
    pub fn apply_query(&mut self, now: MonotonicTime, query: &MembershipQuery) -> AppliedDelta {
        let mut applied = AppliedDelta::default();
        self.apply_row(now, now.before(UNKNOWN_AGE), &query.row, &mut applied);
        if let Some(entry) = self.members.get_mut(&query.row.host)
            && entry.row.incarnation_order() == query.row.incarnation_order()
        {
            entry.stated_at = entry.stated_at.max(now);
        }
        applied
    }

    /// Applies the answer to a heartbeat that was sent at `requested_at`.
    pub fn apply_delta(
        &mut self,
        now: MonotonicTime,
        requested_at: MonotonicTime,
        delta: &MembershipDelta,
    ) -> AppliedDelta {
        let mut applied = AppliedDelta::default();
        for aged in delta.rows.iter().take(ROWS_PER_ANSWER) {
            self.apply_row(now, requested_at.before(aged.age), &aged.row, &mut applied);
        }
        applied
    }

    /// Returns the answer to a heartbeat. [`Self::report_own`] must have made a statement as of `now`.
    pub fn answer(&self, now: MonotonicTime, query: &MembershipQuery) -> MembershipDelta {
        let sender = &query.row.host;
        let aged = |entry: &MemberEntry| AgedRow {
            row: entry.row.clone(),
            age: now.since(entry.requested_at),
        };
        let own = AgedRow {
            row: self.own.clone(),
            age: Duration::ZERO,
        };
        let others = || self.members.iter().filter(|(host, _)| *host != sender);
        let has_recent_change = |entry: &MemberEntry| now.since(entry.changed_at) < CHANGE_WINDOW;
        let mut rows = vec![own];
        let changed = others().filter(|(_, entry)| has_recent_change(entry));
        rows.extend(
            changed
                .take(ROWS_PER_ANSWER / 2)
                .map(|(_, entry)| aged(entry)),
        );
        let room = ROWS_PER_ANSWER - rows.len();
        let is_after = |host: &HostName| query.after.as_ref().is_none_or(|after| host > after);
        let rest: Vec<_> = others()
            .filter(|(host, entry)| is_after(host) && !has_recent_change(entry))
            .chain(others().filter(|(host, entry)| !is_after(host) && !has_recent_change(entry)))
            .collect();
        let after = (rest.len() > room).then(|| rest[room - 1].0.clone());
        rows.extend(rest.into_iter().take(room).map(|(_, entry)| aged(entry)));
        MembershipDelta { rows, after }
    }

    /// Health of another host; `None` if none of its rows was received.
    pub fn health(&self, now: MonotonicTime, host: &HostName) -> Option<HostHealth> {
        self.silence(now, host).map(HostHealth::after)
    }

    /// Time since the last statement of another host; `None` if none of its rows was received.
    pub fn silence(&self, now: MonotonicTime, host: &HostName) -> Option<Duration> {
        let entry = self.members.get(host)?;
        Some(now.since(entry.stated_at))
    }

    /// Hosts that accept work: those live and not leaving, including this one; sorted.
    pub fn live(&self, now: MonotonicTime) -> Vec<HostName> {
        let is_live = |entry: &MemberEntry| {
            HostHealth::after(now.since(entry.stated_at)) == HostHealth::Live && !entry.row.leaving
        };
        let others = self.members.iter().filter(|(_, entry)| is_live(entry));
        let mut live: Vec<HostName> = others.map(|(host, _)| host.clone()).collect();
        if !self.own.leaving {
            live.push(self.own.host.clone());
        }
        live.sort_unstable();
        live
    }

    /// Hosts that the platform lists, including leaving ones; sorted.
    pub fn listed(&self) -> Vec<HostName> {
        self.listed.keys().cloned().collect()
    }

    /// Hosts that are listed or not dead, including this one; sorted.
    pub fn known(&self, now: MonotonicTime) -> Vec<HostName> {
        let is_present =
            |entry: &MemberEntry| HostHealth::after(now.since(entry.stated_at)) != HostHealth::Dead;
        let present = self.members.iter().filter(|(_, entry)| is_present(entry));
        let mut known: Vec<HostName> = present
            .map(|(host, _)| host)
            .chain(self.listed.keys())
            .chain([&self.own.host])
            .cloned()
            .collect();
        known.sort_unstable();
        known.dedup();
        known
    }

    /// Least number of hosts that is a majority of the listed ones.
    pub fn majority(&self) -> usize {
        majority_of(self.listed.len())
    }

    /// Hosts to exchange heartbeats with, and the addresses of their peer ports.
    pub fn neighbours(&self, now: MonotonicTime) -> Vec<(HostName, SocketAddr)> {
        self.with_addresses(neighbours(&self.own.host, &self.known(now)))
    }

    /// Addresses of the peer ports of all other hosts that are listed or not dead.
    pub fn directory(&self, now: MonotonicTime) -> Vec<(HostName, SocketAddr)> {
        let mut others = self.known(now);
        others.retain(|host| *host != self.own.host);
        self.with_addresses(others)
    }

    /// Statement of this router, dated `now`.
    pub fn own_statement(&self, now: MonotonicTime) -> PeerStatement {
        statement(&self.own, now)
    }

    /// Newest statements of all other hosts.
    pub fn statements(&self) -> impl Iterator<Item = PeerStatement> {
        self.members
            .values()
            .map(|entry| statement(&entry.row, entry.requested_at))
    }

    fn with_addresses(&self, hosts: Vec<HostName>) -> Vec<(HostName, SocketAddr)> {
        hosts
            .into_iter()
            .filter_map(|host| {
                let address = self.address(&host)?;
                Some((host, address))
            })
            .collect()
    }

    /// Address of a host's peer port: the one that the platform lists, else the one in the host's row.
    fn address(&self, host: &HostName) -> Option<SocketAddr> {
        let listed = self.listed.get(host).map(|router| router.address);
        listed.or_else(|| self.members.get(host).map(|entry| entry.row.address))
    }

    fn apply_row(
        &mut self,
        now: MonotonicTime,
        requested_at: MonotonicTime,
        row: &MemberRow,
        applied: &mut AppliedDelta,
    ) {
        if row.host == self.own.host {
            self.apply_own_host_row(now, row, applied);
            return;
        }
        let Some(entry) = self.members.get_mut(&row.host) else {
            if self.members.len() < TABLE_LIMIT {
                applied.changes.push(MemberChange::Joined(row.host.clone()));
                applied.statements.push(statement(row, requested_at));
                let entry = MemberEntry::new(now, requested_at, row);
                self.members.insert(row.host.clone(), entry);
            }
            return;
        };
        if row.incarnation_order() < entry.row.incarnation_order() {
            return;
        }
        if row.incarnation != entry.row.incarnation {
            applied
                .changes
                .push(MemberChange::Restarted(row.host.clone()));
            *entry = MemberEntry::new(now, requested_at, row);
        } else {
            if row.leaving && !entry.row.leaving {
                applied
                    .changes
                    .push(MemberChange::Leaving(row.host.clone()));
            }
            entry.merge(now, requested_at, row);
        }
        applied
            .statements
            .push(statement(&entry.row, entry.requested_at));
    }

    /// Applies a row with this host's name, which comes from another incarnation or repeats an earlier
    /// statement of this one.
    fn apply_own_host_row(
        &mut self,
        now: MonotonicTime,
        row: &MemberRow,
        applied: &mut AppliedDelta,
    ) {
        if row.incarnation == self.own.incarnation
            || row.incarnation_order() < self.own.incarnation_order()
        {
            return;
        }
        if now.since(self.started_at) < START_WINDOW {
            self.own.generation = row.generation + 1;
        } else {
            applied.changes.push(MemberChange::Replaced);
        }
    }
}

impl MemberEntry {
    fn new(now: MonotonicTime, requested_at: MonotonicTime, row: &MemberRow) -> Self {
        Self {
            row: row.clone(),
            requested_at,
            stated_at: requested_at,
            changed_at: now,
        }
    }

    /// Merges a row of the same process. A time before an older row was made is also before a newer
    /// one was made.
    fn merge(&mut self, now: MonotonicTime, requested_at: MonotonicTime, row: &MemberRow) {
        self.requested_at = self.requested_at.max(requested_at);
        self.stated_at = self.stated_at.max(requested_at);
        if row.sequence <= self.row.sequence {
            return;
        }
        if row.differs(&self.row) {
            self.changed_at = now;
        }
        self.row = row.clone();
    }
}

fn statement(row: &MemberRow, requested_at: MonotonicTime) -> PeerStatement {
    PeerStatement {
        host: row.host.clone(),
        incarnation: row.incarnation,
        requested_at,
        next_offset: row.config.next_offset,
        log: row.log.clone(),
        recovered: row.recovered,
    }
}
