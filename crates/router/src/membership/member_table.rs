//! Table of router hosts: the platform's host list and the reports of the routers themselves.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ferry_decisions::guard::RouterId;
use ferry_decisions::lease::{PeerStatement, PropagationStatus};
use ferry_decisions::membership::{
    AppliedDelta, ConfigPosition, HostHealth, ListedRouter, MemberRow, MembershipDelta,
    MembershipQuery, MembershipTable, OwnReport,
};
use ferry_decisions::names::HostName;
use ferry_decisions::time::MonotonicTime;
use ferry_platform::hosts::{HostEntry, HostRole, HostState};
use parking_lot::{Mutex, RwLock};
use tokio::sync::Notify;

use super::{KnownRouter, MemberView, ProcessClock, PropagationTable};

/// Router hosts of the fleet, with the propagation of configuration records among them.
#[derive(Debug)]
pub struct MemberTable {
    clock: ProcessClock,
    state: Mutex<MemberState>,
    /// Router hosts on the newest host list.
    entries: RwLock<Vec<HostEntry>>,
    /// Signalled to start the next round of heartbeats early.
    wake: Notify,
}

#[derive(Debug)]
struct MemberState {
    table: MembershipTable,
    /// Last host in each neighbour's newest reply, where the next reply continues.
    cursors: HashMap<HostName, HostName>,
    propagation: PropagationTable,
}

impl MemberTable {
    /// Creates a table with only this router, whose own row is `own`.
    pub fn new(own: MemberRow, freshness: Duration, clock: ProcessClock) -> Self {
        let state = MemberState {
            table: MembershipTable::new(own, clock.now()),
            cursors: HashMap::new(),
            propagation: PropagationTable::new(freshness),
        };
        Self {
            clock,
            state: Mutex::new(state),
            entries: RwLock::default(),
            wake: Notify::new(),
        }
    }

    /// Sets the address at which other routers reach this one.
    pub fn set_address(&self, address: SocketAddr) {
        self.state.lock().table.set_address(address);
    }

    /// Applies a new host list.
    pub fn update(&self, entries: &[HostEntry]) {
        let routers = entries.iter().filter(|e| e.role == HostRole::Router);
        let routers: Vec<HostEntry> = routers.cloned().collect();
        let listing: Vec<_> = routers.iter().filter_map(listed_router).collect();
        let now = self.clock.now();
        self.state.lock().table.relist(now, &listing);
        *self.entries.write() = routers;
    }

    /// Entries of the router hosts on the newest host list, this one included if it is listed.
    pub fn listed(&self) -> Vec<HostEntry> {
        self.entries.read().clone()
    }

    /// Names of the router hosts on the newest host list.
    pub fn listed_names(&self) -> Vec<HostName> {
        self.state.lock().table.listed()
    }

    /// Names of the router hosts that accept work, sorted: those with a recent report that are not
    /// leaving by their own report or by the host list. Never empty: without any such host, it
    /// contains this one.
    pub fn live(&self) -> Vec<HostName> {
        let now = self.clock.now();
        let (mut live, own) = {
            let state = self.state.lock();
            (state.table.live(now), state.table.own().host.clone())
        };
        let entries = self.entries.read();
        let is_leaving = |host: &HostName| {
            let entry = entries.iter().find(|entry| entry.name == *host);
            entry.is_some_and(|entry| entry.state == HostState::Leaving)
        };
        live.retain(|host| !is_leaving(host));
        if live.is_empty() {
            live.push(own);
        }
        live
    }

    /// Hosts to exchange heartbeats with, and their peer ports.
    pub fn neighbours(&self) -> Vec<(HostName, SocketAddr)> {
        let now = self.clock.now();
        self.state.lock().table.neighbours(now)
    }

    /// Peer ports of all other hosts that are listed or known by their reports.
    pub fn directory(&self) -> Vec<(HostName, SocketAddr)> {
        let now = self.clock.now();
        self.state.lock().table.directory(now)
    }

    /// Updates this router's own row and statement.
    pub fn report_own(&self, report: &OwnReport) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.table.report_own(report);
        let statement = state.table.own_statement(now);
        state.propagation.observe(now, &statement);
    }

    /// Builds the heartbeat for `to`.
    pub fn query(&self, to: &HostName) -> MembershipQuery {
        let state = self.state.lock();
        MembershipQuery {
            row: state.table.own().clone(),
            after: state.cursors.get(to).cloned(),
        }
    }

    /// Builds the reply to a heartbeat; call [`Self::report_own`] first.
    pub fn reply(&self, query: &MembershipQuery) -> MembershipDelta {
        let now = self.clock.now();
        self.state.lock().table.answer(now, query)
    }

    /// Applies the row in a received heartbeat. If its configuration is newer than known, requests an
    /// early round, since only the reply to a query tells when the row was valid.
    pub fn apply_query(&self, query: &MembershipQuery) -> AppliedDelta {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let known = state.table.row(&query.row.host);
        if known.is_none_or(|row| row.config.next_offset < query.row.config.next_offset) {
            self.wake();
        }
        let applied = state.table.apply_query(now, query);
        state.observe(now, &applied.statements);
        applied
    }

    /// Applies the reply of `from` to a heartbeat that was sent at `requested_at`.
    pub fn apply_reply(
        &self,
        from: &HostName,
        requested_at: MonotonicTime,
        delta: &MembershipDelta,
    ) -> AppliedDelta {
        let now = self.clock.now();
        let mut state = self.state.lock();
        match &delta.after {
            Some(after) => state.cursors.insert(from.clone(), after.clone()),
            None => state.cursors.remove(from),
        };
        let applied = state.table.apply_delta(now, requested_at, delta);
        state.observe(now, &applied.statements);
        applied
    }

    /// Rows of all other hosts with a recent report.
    pub fn live_rows(&self) -> Vec<MemberRow> {
        let now = self.clock.now();
        let state = self.state.lock();
        let rows = state.table.rows();
        rows.filter(|row| state.table.health(now, &row.host) == Some(HostHealth::Live))
            .cloned()
            .collect()
    }

    /// Starts tracking the propagation of the record at `offset`.
    pub fn track_propagation(&self, offset: u64) {
        let now = self.clock.now();
        self.state.lock().track(now, offset);
    }

    /// Propagation status of the record at `offset`, by the reports that this router received.
    pub fn propagation(&self, offset: u64, own: ConfigPosition) -> PropagationStatus {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.track(now, offset);
        let mut statement = state.table.own_statement(now);
        statement.next_offset = own.next_offset;
        state.propagation.observe(now, &statement);
        let listed = state.table.listed();
        let known = state.table.known(now);
        let tracker = state
            .propagation
            .tracker(offset)
            .expect("tracking was just started");
        tracker.status(now, &listed, &known)
    }

    /// All known router processes, this one included.
    pub fn known_routers(&self) -> Vec<KnownRouter> {
        let now = self.clock.now();
        let state = self.state.lock();
        let listed = state.table.listed();
        let own = state.table.own();
        let known = |row: &MemberRow, silence| KnownRouter {
            router: RouterId {
                host: row.host.clone(),
                incarnation: row.incarnation,
            },
            listed: listed.contains(&row.host),
            silence,
            health: HostHealth::after(silence),
        };
        let others = state.table.rows().filter(|row| row.host != own.host);
        let others = others.map(|row| {
            let silence = state.table.silence(now, &row.host);
            known(row, silence.unwrap_or(Duration::MAX))
        });
        others.chain([known(own, Duration::ZERO)]).collect()
    }

    /// All known hosts, for the status view.
    pub fn view(&self) -> Vec<MemberView> {
        let now = self.clock.now();
        let state = self.state.lock();
        let listed = state.table.listed();
        let others = state.table.rows().map(|row| {
            let silence = state.table.silence(now, &row.host);
            MemberView::new(row, silence, listed.contains(&row.host))
        });
        let own = state.table.own();
        let own = MemberView::new(own, Some(Duration::ZERO), listed.contains(&own.host));
        let mut views: Vec<_> = others.chain([own]).collect();
        let without_report = listed
            .iter()
            .filter(|host| views.iter().all(|view| view.host != **host))
            .map(MemberView::without_report);
        let without_report: Vec<_> = without_report.collect();
        views.extend(without_report);
        views.sort_by(|a, b| a.host.cmp(&b.host));
        views
    }

    /// Requests a round of heartbeats at once.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Waits until a round of heartbeats is requested.
    pub async fn wait_for_wake(&self) {
        self.wake.notified().await;
    }
}

impl MemberState {
    fn observe(&mut self, now: MonotonicTime, statements: &[PeerStatement]) {
        for statement in statements {
            self.propagation.observe(now, statement);
        }
    }

    fn track(&mut self, now: MonotonicTime, offset: u64) {
        if self.propagation.is_tracked(offset) {
            return;
        }
        self.propagation.track(offset);
        let known: Vec<_> = self.table.statements().collect();
        self.observe(now, &known);
    }
}

fn listed_router(entry: &HostEntry) -> Option<ListedRouter> {
    let Ok(address) = entry.address.parse() else {
        metrics::counter!("ferry_host_list_bad_addresses_total").increment(1);
        return None;
    };
    Some(ListedRouter {
        host: entry.name.clone(),
        address,
        leaving: entry.state == HostState::Leaving,
    })
}
