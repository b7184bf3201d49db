//! Table of router hosts: what the platform lists and what the routers say about themselves.

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

use super::{KnownRouter, MemberView, ProcessClock, SpreadTable};

/// Router hosts by name.
#[derive(Debug)]
pub struct MemberTable {
    clock: ProcessClock,
    state: Mutex<MemberState>,
    /// Router hosts as last listed.
    entries: RwLock<Vec<HostEntry>>,
    /// Asks for a round of heartbeats ahead of its time.
    wake: Notify,
}

#[derive(Debug)]
struct MemberState {
    table: MembershipTable,
    /// Host up to which each neighbour's last answer went.
    cursors: HashMap<HostName, HostName>,
    spread: SpreadTable,
}

impl MemberTable {
    /// A table that knows only this router, which says `own` about itself.
    pub fn new(own: MemberRow, freshness: Duration, clock: ProcessClock) -> Self {
        let state = MemberState {
            table: MembershipTable::new(own, clock.now()),
            cursors: HashMap::new(),
            spread: SpreadTable::new(freshness),
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

    /// Takes over a new host list.
    pub fn update(&self, entries: &[HostEntry]) {
        let routers = entries.iter().filter(|e| e.role == HostRole::Router);
        let routers: Vec<HostEntry> = routers.cloned().collect();
        let listing: Vec<_> = routers.iter().filter_map(listed_router).collect();
        let now = self.clock.now();
        self.state.lock().table.relist(now, &listing);
        *self.entries.write() = routers;
    }

    /// Entries of the router hosts last listed, this one included if it is listed.
    pub fn listed(&self) -> Vec<HostEntry> {
        self.entries.read().clone()
    }

    /// Names of the router hosts last listed.
    pub fn listed_names(&self) -> Vec<HostName> {
        self.state.lock().table.listed()
    }

    /// Names of the router hosts that take work, in order: heard lately, not leaving, nor listed as
    /// such. Never empty: a router that knows no other names itself.
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

    /// Peer ports of all other hosts listed or heard of.
    pub fn directory(&self) -> Vec<(HostName, SocketAddr)> {
        let now = self.clock.now();
        self.state.lock().table.directory(now)
    }

    /// Makes a new statement of this router.
    pub fn report_own(&self, report: &OwnReport) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.table.report_own(report);
        let statement = state.table.own_statement(now);
        state.spread.observe(now, &statement);
    }

    /// The heartbeat to be sent to `to`.
    pub fn query(&self, to: &HostName) -> MembershipQuery {
        let state = self.state.lock();
        MembershipQuery {
            row: state.table.own().clone(),
            after: state.cursors.get(to).cloned(),
        }
    }

    /// Answers a heartbeat, after [`Self::report_own`].
    pub fn answer(&self, query: &MembershipQuery) -> MembershipDelta {
        let now = self.clock.now();
        self.state.lock().table.answer(now, query)
    }

    /// Takes the row that came with a heartbeat; asks back soon when its configuration is news, since
    /// only an answer dates it.
    pub fn take_query(&self, query: &MembershipQuery) -> AppliedDelta {
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

    /// Takes the answer of `from` to a heartbeat that was sent at `asked`.
    pub fn take_answer(
        &self,
        from: &HostName,
        asked: MonotonicTime,
        delta: &MembershipDelta,
    ) -> AppliedDelta {
        let now = self.clock.now();
        let mut state = self.state.lock();
        match &delta.after {
            Some(after) => state.cursors.insert(from.clone(), after.clone()),
            None => state.cursors.remove(from),
        };
        let applied = state.table.apply_delta(now, asked, delta);
        state.observe(now, &applied.statements);
        applied
    }

    /// Rows of all other hosts that were heard lately.
    pub fn live_rows(&self) -> Vec<MemberRow> {
        let now = self.clock.now();
        let state = self.state.lock();
        let rows = state.table.rows();
        rows.filter(|row| state.table.health(now, &row.host) == Some(HostHealth::Live))
            .cloned()
            .collect()
    }

    /// Follows the spread of the record at `offset` from now on.
    pub fn follow_spread(&self, offset: u64) {
        let now = self.clock.now();
        self.state.lock().follow(now, offset);
    }

    /// How far the record at `offset` has spread, as far as this router heard.
    pub fn spread(&self, offset: u64, own: ConfigPosition) -> PropagationStatus {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.follow(now, offset);
        let mut statement = state.table.own_statement(now);
        statement.next_offset = own.next_offset;
        state.spread.observe(now, &statement);
        let listed = state.table.listed();
        let known = state.table.known(now);
        let tracker = state.spread.tracker(offset).expect("it was just followed");
        tracker.status(now, &listed, &known)
    }

    /// Lives of the routers known, this one included.
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

    /// All hosts known, for the status view.
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
        let unheard = listed
            .iter()
            .filter(|host| views.iter().all(|view| view.host != **host))
            .map(MemberView::unheard);
        let unheard: Vec<_> = unheard.collect();
        views.extend(unheard);
        views.sort_by(|a, b| a.host.cmp(&b.host));
        views
    }

    /// Asks for a round of heartbeats at once.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Returns once a round of heartbeats was asked for.
    pub async fn woken(&self) {
        self.wake.notified().await;
    }
}

impl MemberState {
    fn observe(&mut self, now: MonotonicTime, statements: &[PeerStatement]) {
        for statement in statements {
            self.spread.observe(now, statement);
        }
    }

    fn follow(&mut self, now: MonotonicTime, offset: u64) {
        if self.spread.follows(offset) {
            return;
        }
        self.spread.follow(offset);
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
