//! Evidence for the freshness lease of one router, and the decision whether the lease is held.

use std::collections::HashMap;
use std::time::Duration;

use super::host_majority::MajorityCount;
use super::tail_frontier::{TailFrontier, TailObservation};
use super::{LeaseBasis, LeaseDenial, LeaseGrant, PeerStatement};
use crate::names::HostName;
use crate::time::MonotonicTime;

/// Most peers whose statements are kept.
const PEER_LIMIT: usize = 1_024;

/// Router process that a lease belongs to.
#[derive(Debug, Clone)]
pub struct LeaseOwner {
    /// Name of the router's host.
    pub host: HostName,
    /// Start of the process, on its own clock.
    pub started_at: MonotonicTime,
    /// Greatest age of evidence that supports a lease.
    pub freshness: Duration,
}

/// Evidence that a router's configuration is recent enough to admit work.
#[derive(Debug, Clone)]
pub struct FreshnessLease {
    owner: LeaseOwner,
    /// Router hosts of the newest listing, sorted.
    listed: Vec<HostName>,
    /// Router hosts of the listing at the last moment at which a lease was held, sorted. A majority
    /// of these is needed too, so that hosts that replace the whole fleet at once cannot outvote it.
    confirmed: Vec<HostName>,
    frontier: TailFrontier,
    /// Highest tail of the log found by any router's read.
    known_tail: u64,
    peers: HashMap<HostName, PeerStatement>,
    /// Whether this process holds all that the host's earlier processes confirmed.
    recovered: bool,
}

impl FreshnessLease {
    /// Creates a lease without evidence.
    pub fn new(owner: LeaseOwner) -> Self {
        Self {
            owner,
            listed: Vec::new(),
            confirmed: Vec::new(),
            frontier: TailFrontier::default(),
            known_tail: 0,
            peers: HashMap::new(),
            recovered: false,
        }
    }

    /// Replaces the listing of the router hosts; an empty one is ignored.
    pub fn relist(&mut self, listed: &[HostName]) {
        if listed.is_empty() {
            return;
        }
        self.listed = listed.to_vec();
        self.listed.sort_unstable();
        self.listed.dedup();
        if self.confirmed.is_empty() {
            self.confirmed.clone_from(&self.listed);
        }
    }

    /// Records a read of the log that began at `began` and found `next_offset` as the tail.
    pub fn record_log_read(&mut self, began: MonotonicTime, next_offset: u64) {
        self.add_observation(began, next_offset, LeaseBasis::Log);
    }

    /// Records a peer's statement; one that was requested before the newest of its process is
    /// ignored.
    ///
    /// The caller must filter out statements of earlier processes of the host, as the membership
    /// table does.
    pub fn record_peer_statement(&mut self, now: MonotonicTime, statement: PeerStatement) {
        if statement.host == self.owner.host {
            return;
        }
        if let (Some(began), Some(log)) = (statement.log_began(), &statement.log) {
            let basis = LeaseBasis::Peer(statement.host.clone());
            self.add_observation(began, log.tail, basis);
        }
        if self.peers.len() >= PEER_LIMIT && !self.peers.contains_key(&statement.host) {
            let freshness = self.owner.freshness;
            self.peers
                .retain(|_, known| known.requested_at.after(freshness) > now);
            if self.peers.len() >= PEER_LIMIT {
                return;
            }
        }
        match self.peers.get(&statement.host) {
            Some(known)
                if known.incarnation == statement.incarnation
                    && known.requested_at > statement.requested_at => {}
            _ => {
                self.peers.insert(statement.host.clone(), statement);
            }
        }
    }

    /// Whether this process holds all that the host's earlier processes confirmed.
    pub fn is_recovered(&self) -> bool {
        self.recovered
    }

    /// Updates from the present evidence whether this process recovered, and the listing by which
    /// majorities are counted.
    ///
    /// To be called whenever the evidence or the offset `own` that this router needs next changed.
    pub fn update(&mut self, now: MonotonicTime, own: u64) {
        self.recovered = self.recovered || self.can_recover(now, own);
        if self.check(now, own).is_ok() {
            self.confirmed.clone_from(&self.listed);
        }
    }

    /// Checks whether a router that needs the record at offset `own` next may admit work now.
    ///
    /// # Errors
    ///
    /// Fails if no lease is held; the denial says which evidence is missing.
    pub fn check(&self, now: MonotonicTime, own: u64) -> Result<LeaseGrant, LeaseDenial> {
        if let Some(observation) = self.frontier.newest(own) {
            let until = observation.began.after(self.owner.freshness);
            if until > now {
                let basis = observation.basis.clone();
                return Ok(LeaseGrant { basis, until });
            }
        }
        self.check_majority(now, own)
    }

    /// Checks the lease without a recent read of the log, by statements of a majority.
    fn check_majority(&self, now: MonotonicTime, own: u64) -> Result<LeaseGrant, LeaseDenial> {
        self.check_not_behind(now, own)?;
        if self.listed.is_empty() {
            return Err(LeaseDenial::NoListing);
        }
        if !self.recovered {
            let count = self.count_others(now);
            return Err(LeaseDenial::Recovering {
                responding: count.responding,
                needed: count.needed,
            });
        }
        let count = self.count(
            |host| {
                if *host == self.owner.host {
                    return Some(now);
                }
                self.request_time(host)
            },
            now,
        );
        match count.until {
            Some(until) => Ok(LeaseGrant {
                basis: LeaseBasis::Majority {
                    responding: count.responding,
                },
                until,
            }),
            None => Err(LeaseDenial::NoMajority {
                responding: count.responding,
                needed: count.needed,
            }),
        }
    }

    /// Denies the lease if the log or a peer is known to be ahead, or if a peer reads the log. Only
    /// statements within the freshness limit count.
    fn check_not_behind(&self, now: MonotonicTime, own: u64) -> Result<(), LeaseDenial> {
        if self.known_tail > own {
            return Err(LeaseDenial::Behind {
                own,
                tail: self.known_tail,
            });
        }
        let freshness = self.owner.freshness;
        let recent = self
            .peers
            .values()
            .filter(|peer| peer.requested_at.after(freshness) > now);
        for peer in recent {
            if peer.next_offset > own {
                return Err(LeaseDenial::PeerAhead {
                    host: peer.host.clone(),
                    own,
                    next: peer.next_offset,
                });
            }
            if peer.log.as_ref().is_some_and(|log| log.age < freshness) {
                return Err(LeaseDenial::LogUnreachable {
                    host: peer.host.clone(),
                });
            }
        }
        Ok(())
    }

    fn can_recover(&self, now: MonotonicTime, own: u64) -> bool {
        let from_log = self
            .frontier
            .newest(own)
            .is_some_and(|observation| observation.began >= self.owner.started_at);
        from_log
            || (!self.listed.is_empty()
                && self.check_not_behind(now, own).is_ok()
                && self.count_others(now).until.is_some())
    }

    /// Counts the other hosts whose statements were requested since this process started.
    fn count_others(&self, now: MonotonicTime) -> MajorityCount {
        self.count(
            |host| {
                self.request_time(host)
                    .filter(|time| *time >= self.owner.started_at)
            },
            now,
        )
    }

    /// Time at which the statement of `host` was requested, if it counts towards a majority.
    fn request_time(&self, host: &HostName) -> Option<MonotonicTime> {
        let peer = self.peers.get(host)?;
        peer.recovered.then_some(peer.requested_at)
    }

    fn count(
        &self,
        requested_at_of: impl Fn(&HostName) -> Option<MonotonicTime>,
        now: MonotonicTime,
    ) -> MajorityCount {
        let freshness = self.owner.freshness;
        let present = MajorityCount::of(&self.listed, now, freshness, &requested_at_of);
        let confirmed = MajorityCount::of(&self.confirmed, now, freshness, &requested_at_of);
        present.weaker(confirmed)
    }

    fn add_observation(&mut self, began: MonotonicTime, tail: u64, basis: LeaseBasis) {
        self.known_tail = self.known_tail.max(tail);
        self.frontier.add(TailObservation { began, tail, basis });
    }
}
