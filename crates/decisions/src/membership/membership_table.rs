//! Table of the router hosts: the platform's listing joined with what the hosts say.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::{
    AgedRow, ConfigMark, HostHealth, MemberRow, MembershipDelta, MembershipQuery, neighbours,
};
use crate::lease::{LogSighting, PeerStatement, majority_of};
use crate::names::HostName;
use crate::time::MonotonicTime;

/// Most rows in one answer.
const ROWS_PER_ANSWER: usize = 256;
/// Most hosts in the table.
const TABLE_LIMIT: usize = 1_024;
/// Time for which a changed row is sent before others.
const CHANGE_WINDOW: Duration = Duration::from_secs(5);
/// Time without news after which an unlisted host is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// Age given to a row whose age is not known.
const UNKNOWN_AGE: Duration = Duration::from_secs(3_600);
/// Time from its start in which a process that meets another life of its host is the later one.
const START_WINDOW: Duration = Duration::from_secs(10);

/// A router host as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedRouter {
    /// Name of the host.
    pub host: HostName,
    /// Address of its peer port.
    pub address: SocketAddr,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// What this router says about itself from now on.
#[derive(Debug, Clone, Default)]
pub struct OwnReport {
    /// Configuration that it holds.
    pub config: ConfigMark,
    /// Newest read of the log's tail, aged to the present.
    pub log: Option<LogSighting>,
    /// Whether the last read of the log succeeded.
    pub log_working: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Whether it holds all that earlier lives confirmed.
    pub recovered: bool,
}

/// A change of the fleet that an answer brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// A host was heard of for the first time.
    Joined(HostName),
    /// A host runs a new process.
    Restarted(HostName),
    /// A host is stopping.
    Leaving(HostName),
    /// A later process runs under this host's name; this one must stop serving.
    Replaced,
}

/// What an answer brought.
#[derive(Debug, Clone, Default)]
pub struct AppliedDelta {
    /// Statements that are news, for the lease.
    pub statements: Vec<PeerStatement>,
    /// Changes of the fleet.
    pub changes: Vec<MemberChange>,
}

/// Table of the router hosts from one router's point of view.
#[derive(Debug, Clone)]
pub struct MembershipTable {
    own: MemberRow,
    born: MonotonicTime,
    /// Other hosts heard of; at most [`TABLE_LIMIT`].
    members: BTreeMap<HostName, MemberEntry>,
    listed: BTreeMap<HostName, ListedRouter>,
}

#[derive(Debug, Clone)]
struct MemberEntry {
    row: MemberRow,
    /// Moment at or before which `row` was surely not yet made.
    asked: MonotonicTime,
    /// When news of the host came last.
    heard: MonotonicTime,
    /// When the row last changed in more than its number.
    changed: MonotonicTime,
}

impl MembershipTable {
    /// A table that knows only this router; `own.generation` should be the wall clock's time.
    pub fn new(own: MemberRow, born: MonotonicTime) -> Self {
        Self {
            own,
            born,
            members: BTreeMap::new(),
            listed: BTreeMap::new(),
        }
    }

    /// Takes the router hosts that the platform lists; an empty listing is ignored.
    pub fn relist(&mut self, now: MonotonicTime, listing: &[ListedRouter]) {
        if listing.is_empty() {
            return;
        }
        self.listed = listing
            .iter()
            .map(|router| (router.host.clone(), router.clone()))
            .collect();
        self.members.retain(|host, entry| {
            self.listed.contains_key(host) || now.since(entry.heard) < FORGET_AFTER
        });
    }

    /// Sets the address of this router's peer port, once it is bound.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.own.address = address;
    }

    /// Makes a new statement of this router.
    pub fn report_own(&mut self, report: &OwnReport) -> &MemberRow {
        self.own.sequence += 1;
        self.own.config = report.config;
        self.own.log.clone_from(&report.log);
        self.own.log_working = report.log_working;
        self.own.leaving = report.leaving;
        self.own.recovered = report.recovered;
        &self.own
    }

    /// The newest statement of this router.
    pub fn own(&self) -> &MemberRow {
        &self.own
    }

    /// The newest row of another host.
    pub fn row(&self, host: &HostName) -> Option<&MemberRow> {
        self.members.get(host).map(|entry| &entry.row)
    }

    /// Rows of all other hosts heard of.
    pub fn rows(&self) -> impl Iterator<Item = &MemberRow> {
        self.members.values().map(|entry| &entry.row)
    }

    /// Takes the row of a heartbeat that came unasked, so its age is not known.
    pub fn apply_query(&mut self, now: MonotonicTime, query: &MembershipQuery) -> AppliedDelta {
        let mut applied = AppliedDelta::default();
        self.apply_row(now, now.before(UNKNOWN_AGE), &query.row, &mut applied);
        if let Some(entry) = self.members.get_mut(&query.row.host)
            && entry.row.life() == query.row.life()
        {
            entry.heard = entry.heard.max(now);
        }
        applied
    }

    /// Takes the answer to a heartbeat that was sent at `asked`.
    pub fn apply_delta(
        &mut self,
        now: MonotonicTime,
        asked: MonotonicTime,
        delta: &MembershipDelta,
    ) -> AppliedDelta {
        let mut applied = AppliedDelta::default();
        for aged in delta.rows.iter().take(ROWS_PER_ANSWER) {
            self.apply_row(now, asked.before(aged.age), &aged.row, &mut applied);
        }
        applied
    }

    /// Answers a heartbeat, after [`Self::report_own`] made a statement as of `now`.
    pub fn answer(&self, now: MonotonicTime, query: &MembershipQuery) -> MembershipDelta {
        let asker = &query.row.host;
        let aged = |entry: &MemberEntry| AgedRow {
            row: entry.row.clone(),
            age: now.since(entry.asked),
        };
        let own = AgedRow {
            row: self.own.clone(),
            age: Duration::ZERO,
        };
        let others = || self.members.iter().filter(|(host, _)| *host != asker);
        let is_fresh = |entry: &MemberEntry| now.since(entry.changed) < CHANGE_WINDOW;
        let mut rows = vec![own];
        let changed = others().filter(|(_, entry)| is_fresh(entry));
        rows.extend(
            changed
                .take(ROWS_PER_ANSWER / 2)
                .map(|(_, entry)| aged(entry)),
        );
        let room = ROWS_PER_ANSWER - rows.len();
        let is_after = |host: &HostName| query.after.as_ref().is_none_or(|after| host > after);
        let rest: Vec<_> = others()
            .filter(|(host, entry)| is_after(host) && !is_fresh(entry))
            .chain(others().filter(|(host, entry)| !is_after(host) && !is_fresh(entry)))
            .collect();
        let after = (rest.len() > room).then(|| rest[room - 1].0.clone());
        rows.extend(rest.into_iter().take(room).map(|(_, entry)| aged(entry)));
        MembershipDelta { rows, after }
    }

    /// Health of another host; `None` when nothing was heard of it.
    pub fn health(&self, now: MonotonicTime, host: &HostName) -> Option<HostHealth> {
        self.silence(now, host).map(HostHealth::after)
    }

    /// Time without news of another host; `None` when nothing was heard of it.
    pub fn silence(&self, now: MonotonicTime, host: &HostName) -> Option<Duration> {
        let entry = self.members.get(host)?;
        Some(now.since(entry.heard))
    }

    /// Hosts that take work: heard lately and not leaving, this one included; sorted.
    pub fn live(&self, now: MonotonicTime) -> Vec<HostName> {
        let is_live = |entry: &MemberEntry| {
            HostHealth::after(now.since(entry.heard)) == HostHealth::Live && !entry.row.leaving
        };
        let others = self.members.iter().filter(|(_, entry)| is_live(entry));
        let mut live: Vec<HostName> = others.map(|(host, _)| host.clone()).collect();
        if !self.own.leaving {
            live.push(self.own.host.clone());
        }
        live.sort_unstable();
        live
    }

    /// Hosts that the platform lists, leaving ones included; sorted.
    pub fn listed(&self) -> Vec<HostName> {
        self.listed.keys().cloned().collect()
    }

    /// Hosts listed or heard of and not dead, this one included; sorted.
    pub fn known(&self, now: MonotonicTime) -> Vec<HostName> {
        let is_present =
            |entry: &MemberEntry| HostHealth::after(now.since(entry.heard)) != HostHealth::Dead;
        let heard = self.members.iter().filter(|(_, entry)| is_present(entry));
        let mut known: Vec<HostName> = heard
            .map(|(host, _)| host)
            .chain(self.listed.keys())
            .chain([&self.own.host])
            .cloned()
            .collect();
        known.sort_unstable();
        known.dedup();
        known
    }

    /// Number of hosts that make a majority of the listed ones.
    pub fn majority(&self) -> usize {
        majority_of(self.listed.len())
    }

    /// Hosts to exchange heartbeats with, and their peer ports.
    pub fn neighbours(&self, now: MonotonicTime) -> Vec<(HostName, SocketAddr)> {
        self.with_addresses(neighbours(&self.own.host, &self.known(now)))
    }

    /// Peer ports of all other hosts listed or heard of and not dead.
    pub fn directory(&self, now: MonotonicTime) -> Vec<(HostName, SocketAddr)> {
        let mut others = self.known(now);
        others.retain(|host| *host != self.own.host);
        self.with_addresses(others)
    }

    /// The statement of this router as of `now`.
    pub fn own_statement(&self, now: MonotonicTime) -> PeerStatement {
        statement(&self.own, now)
    }

    /// The newest statements of all other hosts.
    pub fn statements(&self) -> impl Iterator<Item = PeerStatement> {
        self.members
            .values()
            .map(|entry| statement(&entry.row, entry.asked))
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

    /// Address of a host's peer port: as the platform lists it, else as the host says itself.
    fn address(&self, host: &HostName) -> Option<SocketAddr> {
        let listed = self.listed.get(host).map(|router| router.address);
        listed.or_else(|| self.members.get(host).map(|entry| entry.row.address))
    }

    fn apply_row(
        &mut self,
        now: MonotonicTime,
        asked: MonotonicTime,
        row: &MemberRow,
        applied: &mut AppliedDelta,
    ) {
        if row.host == self.own.host {
            self.meet_own_name(now, row, applied);
            return;
        }
        let Some(entry) = self.members.get_mut(&row.host) else {
            if self.members.len() < TABLE_LIMIT {
                applied.changes.push(MemberChange::Joined(row.host.clone()));
                applied.statements.push(statement(row, asked));
                let entry = MemberEntry::new(now, asked, row);
                self.members.insert(row.host.clone(), entry);
            }
            return;
        };
        if row.life() < entry.row.life() {
            return;
        }
        if row.incarnation != entry.row.incarnation {
            applied
                .changes
                .push(MemberChange::Restarted(row.host.clone()));
            *entry = MemberEntry::new(now, asked, row);
        } else {
            if row.leaving && !entry.row.leaving {
                applied
                    .changes
                    .push(MemberChange::Leaving(row.host.clone()));
            }
            entry.merge(now, asked, row);
        }
        applied.statements.push(statement(&entry.row, entry.asked));
    }

    /// A row under this host's name comes from another process, or from this one's past.
    fn meet_own_name(&mut self, now: MonotonicTime, row: &MemberRow, applied: &mut AppliedDelta) {
        if row.incarnation == self.own.incarnation || row.life() < self.own.life() {
            return;
        }
        if now.since(self.born) < START_WINDOW {
            self.own.generation = row.generation + 1;
        } else {
            applied.changes.push(MemberChange::Replaced);
        }
    }
}

impl MemberEntry {
    fn new(now: MonotonicTime, asked: MonotonicTime, row: &MemberRow) -> Self {
        Self {
            row: row.clone(),
            asked,
            heard: asked,
            changed: now,
        }
    }

    /// Takes a row of the same process. A bound for an older row holds for a newer one as well.
    fn merge(&mut self, now: MonotonicTime, asked: MonotonicTime, row: &MemberRow) {
        self.asked = self.asked.max(asked);
        self.heard = self.heard.max(asked);
        if row.sequence <= self.row.sequence {
            return;
        }
        if row.differs(&self.row) {
            self.changed = now;
        }
        self.row = row.clone();
    }
}

fn statement(row: &MemberRow, asked: MonotonicTime) -> PeerStatement {
    PeerStatement {
        host: row.host.clone(),
        incarnation: row.incarnation,
        asked,
        next_offset: row.config.next_offset,
        log: row.log.clone(),
        recovered: row.recovered,
    }
}
