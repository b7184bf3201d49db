//! Which routers pool the reported work, and to which of them a router reports.
//!
//! All routers put the hosts into the same order, so that they agree on the pool hosts without a message.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::HostName;
use crate::time::MonotonicTime;

/// Number of routers up to which one host pools all reports.
const MAX_SINGLE_GROUP: usize = 8;
/// Seed of the order; differs from the order of the issuers of permits, so that one host rarely has both tasks.
const ORDER_SEED: u64 = 0x10ad;
/// Time for which a host that did not answer is left out.
const SILENT_TIME: Duration = Duration::from_secs(3);
/// Time for which a host that doesn't know the message, as one of an older build, is left out.
const UNKNOWING_TIME: Duration = Duration::from_secs(30);

/// Pool hosts as one router finds them.
#[derive(Debug, Clone, Default)]
pub struct PoolHostChoice {
    left_out: HashMap<HostName, MonotonicTime>,
}

impl PoolHostChoice {
    /// The host of `hosts` to which `own` reports; `own` itself if it is a pool host, or if no other one answers.
    pub fn choose<'a>(
        &self,
        own: &'a HostName,
        hosts: &'a [HostName],
        now: MonotonicTime,
    ) -> &'a HostName {
        let order = ordered(hosts);
        let count = pool_host_count(hosts.len()).min(order.len());
        let (pooling, others) = order.split_at(count);
        if pooling.contains(&own) || pooling.is_empty() {
            return own;
        }
        let position = order.iter().position(|host| *host == own).unwrap_or(0);
        let (after, first) = pooling.split_at(position % count);
        let mut candidates = first.iter().chain(after).chain(others).copied();
        let chosen = candidates.find(|host| *host == own || self.is_asked(host, now));
        chosen.unwrap_or(own)
    }

    /// The pool hosts with which `own`, which pools reports, exchanges the sums of the groups: those before it in the order, so that each pair
    /// exchanges them once.
    pub fn partners<'a>(
        &self,
        own: &HostName,
        hosts: &'a [HostName],
        now: MonotonicTime,
    ) -> Vec<&'a HostName> {
        let order = ordered(hosts);
        let pooling = order.into_iter().take(pool_host_count(hosts.len()));
        pooling
            .take_while(|host| *host != own)
            .filter(|host| self.is_asked(host, now))
            .collect()
    }

    /// Records that `host` did not answer in time.
    pub fn record_silence(&mut self, host: &HostName, now: MonotonicTime) {
        self.leave_out(host, now.after(SILENT_TIME), now);
    }

    /// Records that `host` does not know the message.
    pub fn record_unknowing(&mut self, host: &HostName, now: MonotonicTime) {
        self.leave_out(host, now.after(UNKNOWING_TIME), now);
    }

    fn leave_out(&mut self, host: &HostName, until: MonotonicTime, now: MonotonicTime) {
        self.left_out.retain(|_, end| now < *end);
        self.left_out.insert(host.clone(), until);
    }

    fn is_asked(&self, host: &HostName, now: MonotonicTime) -> bool {
        self.left_out.get(host).is_none_or(|until| now >= *until)
    }
}

/// Number of pool hosts of a fleet of `routers`: the square root, which balances the reports to a pool host and the exchange among the pool hosts.
pub fn pool_host_count(routers: usize) -> usize {
    match routers {
        0..=MAX_SINGLE_GROUP => 1,
        _ => (routers as f64).sqrt().round() as usize,
    }
}

fn ordered(hosts: &[HostName]) -> Vec<&HostName> {
    let mut order: Vec<&HostName> = hosts.iter().collect();
    order.sort_by_cached_key(|host| {
        (
            xxh3_64_with_seed(host.as_str().as_bytes(), ORDER_SEED),
            *host,
        )
    });
    order
}
