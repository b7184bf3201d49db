//! Evidence for the freshness lease of one router, and the decision whether it holds.

use std::collections::HashMap;
use std::time::Duration;

use super::host_majority::MajorityCount;
use super::tail_frontier::{TailFrontier, TailSighting};
use super::{LeaseBasis, LeaseDenial, LeaseGrant, PeerStatement};
use crate::names::HostName;
use crate::time::MonotonicTime;

/// Most peers whose statements are kept.
const PEER_LIMIT: usize = 1_024;

/// The router that a lease belongs to.
#[derive(Debug, Clone)]
pub struct LeaseOwner {
    /// Name of this host.
    pub host: HostName,
    /// Start of this process, on its own clock.
    pub born: MonotonicTime,
    /// Longest age of evidence.
    pub freshness: Duration,
}

/// Evidence that a router's configuration is fresh.
#[derive(Debug, Clone)]
pub struct FreshnessLease {
    owner: LeaseOwner,
    /// Router hosts as last listed, sorted.
    listed: Vec<HostName>,
    /// Listing of the last moment at which a lease was held, sorted. A majority of this one is
    /// needed too, so that a fleet exchanged at a stroke cannot outvote the one that it replaced.
    settled: Vec<HostName>,
    frontier: TailFrontier,
    /// Highest tail of the log heard of.
    known_tail: u64,
    peers: HashMap<HostName, PeerStatement>,
    /// Whether this process holds all that the host's earlier processes confirmed.
    recovered: bool,
}

impl FreshnessLease {
    /// A lease without any evidence.
    pub fn new(owner: LeaseOwner) -> Self {
        Self {
            owner,
            listed: Vec::new(),
            settled: Vec::new(),
            frontier: TailFrontier::default(),
            known_tail: 0,
            peers: HashMap::new(),
            recovered: false,
        }
    }

    /// Takes a new listing of the router hosts; an empty one is ignored.
    pub fn relist(&mut self, listed: &[HostName]) {
        if listed.is_empty() {
            return;
        }
        self.listed = listed.to_vec();
        self.listed.sort_unstable();
        self.listed.dedup();
        if self.settled.is_empty() {
            self.settled.clone_from(&self.listed);
        }
    }

    /// Takes a read of the log that began at `began` and found `next_offset` as the tail.
    pub fn log_read(&mut self, began: MonotonicTime, next_offset: u64) {
        self.add_sighting(began, next_offset, LeaseBasis::Log);
    }

    /// Takes a statement; one that was asked for before the newest of its process is ignored.
    ///
    /// Statements of earlier processes of the host must be filtered out by the caller, as the
    /// membership table does.
    pub fn peer_heard(&mut self, now: MonotonicTime, statement: PeerStatement) {
        if statement.host == self.owner.host {
            return;
        }
        if let (Some(began), Some(log)) = (statement.log_began(), &statement.log) {
            let basis = LeaseBasis::Peer(statement.host.clone());
            self.add_sighting(began, log.tail, basis);
        }
        if self.peers.len() >= PEER_LIMIT && !self.peers.contains_key(&statement.host) {
            let freshness = self.owner.freshness;
            self.peers
                .retain(|_, known| known.asked.after(freshness) > now);
            if self.peers.len() >= PEER_LIMIT {
                return;
            }
        }
        match self.peers.get(&statement.host) {
            Some(known)
                if known.incarnation == statement.incarnation && known.asked > statement.asked => {}
            _ => {
                self.peers.insert(statement.host.clone(), statement);
            }
        }
    }

    /// Whether this process holds all that the host's earlier processes confirmed.
    pub fn is_recovered(&self) -> bool {
        self.recovered
    }

    /// Notes what the present evidence settles: recovery, and the listing to count majorities by.
    ///
    /// To be called whenever evidence or the own offset changed.
    pub fn settle(&mut self, now: MonotonicTime, own: u64) {
        self.recovered = self.recovered || self.recovers(now, own);
        if self.holds(now, own).is_ok() {
            self.settled.clone_from(&self.listed);
        }
    }

    /// Whether a router that needs the record `own` next may admit work now.
    ///
    /// # Errors
    ///
    /// A denial says what is missing.
    pub fn holds(&self, now: MonotonicTime, own: u64) -> Result<LeaseGrant, LeaseDenial> {
        if let Some(sighting) = self.frontier.newest(own) {
            let until = sighting.began.after(self.owner.freshness);
            if until > now {
                let basis = sighting.basis.clone();
                return Ok(LeaseGrant { basis, until });
            }
        }
        self.majority_holds(now, own)
    }

    /// The rule for an outage of the log.
    fn majority_holds(&self, now: MonotonicTime, own: u64) -> Result<LeaseGrant, LeaseDenial> {
        self.check_not_behind(now, own)?;
        if self.listed.is_empty() {
            return Err(LeaseDenial::NoListing);
        }
        if !self.recovered {
            let count = self.count_others(now);
            return Err(LeaseDenial::Recovering {
                heard: count.heard,
                needed: count.needed,
            });
        }
        let count = self.count(
            |host| {
                if *host == self.owner.host {
                    return Some(now);
                }
                self.counted(host)
            },
            now,
        );
        match count.until {
            Some(until) => Ok(LeaseGrant {
                basis: LeaseBasis::Majority { heard: count.heard },
                until,
            }),
            None => Err(LeaseDenial::CutOff {
                heard: count.heard,
                needed: count.needed,
            }),
        }
    }

    /// Refuses when the log or a peer heard is known to be ahead, or a peer heard reads the log.
    fn check_not_behind(&self, now: MonotonicTime, own: u64) -> Result<(), LeaseDenial> {
        if self.known_tail > own {
            return Err(LeaseDenial::Behind {
                own,
                tail: self.known_tail,
            });
        }
        let freshness = self.owner.freshness;
        let heard = self
            .peers
            .values()
            .filter(|peer| peer.asked.after(freshness) > now);
        for peer in heard {
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

    fn recovers(&self, now: MonotonicTime, own: u64) -> bool {
        let from_log = self
            .frontier
            .newest(own)
            .is_some_and(|sighting| sighting.began >= self.owner.born);
        from_log
            || (!self.listed.is_empty()
                && self.check_not_behind(now, own).is_ok()
                && self.count_others(now).until.is_some())
    }

    /// Counts the other hosts that answered since this process started.
    fn count_others(&self, now: MonotonicTime) -> MajorityCount {
        self.count(
            |host| self.counted(host).filter(|asked| *asked >= self.owner.born),
            now,
        )
    }

    /// When the statement of `host` was asked for, if it counts towards a majority.
    fn counted(&self, host: &HostName) -> Option<MonotonicTime> {
        let peer = self.peers.get(host)?;
        peer.recovered.then_some(peer.asked)
    }

    fn count(
        &self,
        asked_at: impl Fn(&HostName) -> Option<MonotonicTime>,
        now: MonotonicTime,
    ) -> MajorityCount {
        let freshness = self.owner.freshness;
        let present = MajorityCount::of(&self.listed, now, freshness, &asked_at);
        let settled = MajorityCount::of(&self.settled, now, freshness, &asked_at);
        present.weaker(settled)
    }

    fn add_sighting(&mut self, began: MonotonicTime, tail: u64, basis: LeaseBasis) {
        self.known_tail = self.known_tail.max(tail);
        self.frontier.add(TailSighting { began, tail, basis });
    }
}
