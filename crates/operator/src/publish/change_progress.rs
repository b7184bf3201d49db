//! How far a published change has come.

use std::collections::BTreeMap;

use serde::Serialize;

/// Stage of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeStage {
    /// The log has it.
    Published,
    /// It is part of the configuration and a majority of the routers have folded it.
    Accepted,
    /// No router admits work under an older configuration.
    InForce,
}

/// Where a change is in force, and which hosts it waits for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ChangeProgress {
    /// Stage reached.
    pub stage: ChangeStage,
    /// Offset of the change in the configuration stream.
    pub offset: u64,
    /// Hosts that have folded the change.
    pub confirmed: Vec<String>,
    /// Hosts that have not, but whose freshness lease has lapsed since the change was accepted.
    pub lapsed: Vec<String>,
    /// Hosts that are waited for.
    pub waiting: Vec<String>,
}

impl ChangeProgress {
    /// Progress of the change at `offset`, given whether each router has folded it and whether
    /// every lease that does not rest on it has lapsed since a majority did.
    pub fn assess(offset: u64, folded: &BTreeMap<String, bool>, leases_lapsed: bool) -> Self {
        let with = |wanted: bool| {
            let hosts = folded.iter().filter(|(_, has)| **has == wanted);
            hosts.map(|(host, _)| host.clone()).collect::<Vec<_>>()
        };
        let confirmed = with(true);
        let missing = with(false);
        let accepted = confirmed.len() * 2 > folded.len();
        let (lapsed, waiting) = if accepted && leases_lapsed {
            (missing, Vec::new())
        } else {
            (Vec::new(), missing)
        };
        let stage = match (accepted, waiting.is_empty()) {
            (false, _) => ChangeStage::Published,
            (true, false) => ChangeStage::Accepted,
            (true, true) => ChangeStage::InForce,
        };
        Self {
            stage,
            offset,
            confirmed,
            lapsed,
            waiting,
        }
    }
}
