//! Which router issues the permits of an upstream.
//!
//! All routers put the hosts into the same order, so that they ask the same one without a message. Few hosts issue permits, however many upstreams need
//! them: a router keeps links to these only. And a router asks two of them at most for one upstream, so that two issue its permits at a
//! time, which the rejections that it survives have to cover; a third one may while routers differ in which host is gone.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::names::HostName;
use crate::registry::UpstreamIncarnation;
use crate::time::MonotonicTime;

/// Number of hosts that issue the permits of all upstreams.
const ISSUING_HOSTS: usize = 16;
/// Number of hosts that are asked for the permits of one upstream.
const CANDIDATES: usize = 2;
/// Time for which a host that did not answer is not asked.
const RETRY_TIME: Duration = Duration::from_secs(3);
/// Time since the first query without an answer after which a host that still does not answer counts as gone, and the next one takes its place.
const GONE_TIME: Duration = Duration::from_secs(10);
/// Time for which a host that is gone is not asked.
const GONE_RETRY_TIME: Duration = Duration::from_secs(30);

/// Hosts that issue permits, in the order of all hosts.
type IssuingHosts<'a> = SmallVec<[&'a HostName; ISSUING_HOSTS]>;

/// Hosts as one router finds them when it asks for permits.
#[derive(Debug, Default)]
pub struct IssuerChoice {
    silent: HashMap<HostName, SilentHost>,
}

/// A host that does not answer.
#[derive(Debug, Clone, Copy)]
struct SilentHost {
    /// When it first did not answer.
    since: MonotonicTime,
    /// When it last did not.
    asked_at: MonotonicTime,
}

impl SilentHost {
    fn is_gone(&self) -> bool {
        self.asked_at.since(self.since) >= GONE_TIME
    }

    fn is_asked(&self, now: MonotonicTime) -> bool {
        let pause = match self.is_gone() {
            true => GONE_RETRY_TIME,
            false => RETRY_TIME,
        };
        now.since(self.asked_at) >= pause
    }
}

impl IssuerChoice {
    /// The host of `hosts` to ask for a permit of `upstream`; `None` while none of those that may issue it answers.
    pub fn choose<'a>(
        &self,
        upstream: &UpstreamIncarnation,
        hosts: &'a [HostName],
        now: MonotonicTime,
    ) -> Option<&'a HostName> {
        let mut issuing = issuing_hosts(hosts, |host| !self.is_left_out(host, now));
        issuing.sort_by_key(|host| order(upstream, host));
        let mut candidates = issuing.into_iter().take(CANDIDATES);
        candidates.find(|host| self.is_asked(host, now))
    }

    /// The same, but no other host takes the place of one that is gone: whichever hosts a router reaches, no third one issues permits of the upstream.
    pub fn choose_fixed<'a>(
        &self,
        upstream: &UpstreamIncarnation,
        hosts: &'a [HostName],
        now: MonotonicTime,
    ) -> Option<&'a HostName> {
        let mut candidates = fixed_issuers(upstream, hosts).into_iter();
        candidates.find(|host| self.is_asked(host, now))
    }

    /// Records that `host` answered.
    pub fn record_answer(&mut self, host: &HostName) {
        self.silent.remove(host);
    }

    /// Records that `host` did not answer.
    pub fn record_silence(&mut self, host: &HostName, now: MonotonicTime) {
        let silent = self.silent.entry(host.clone()).or_insert(SilentHost {
            since: now,
            asked_at: now,
        });
        silent.asked_at = now;
    }

    fn is_asked(&self, host: &HostName, now: MonotonicTime) -> bool {
        let silent = self.silent.get(host);
        silent.is_none_or(|silent| silent.is_asked(now))
    }

    /// Whether the next host takes the place of `host`, which is gone and not due to be asked.
    fn is_left_out(&self, host: &HostName, now: MonotonicTime) -> bool {
        let silent = self.silent.get(host);
        silent.is_some_and(|silent| silent.is_gone() && !silent.is_asked(now))
    }
}

/// Whether `host` is the first one of `hosts` to issue the permits of `upstream`.
pub fn is_first_issuer(
    upstream: &UpstreamIncarnation,
    hosts: &[HostName],
    host: &HostName,
) -> bool {
    let issuing = issuing_hosts(hosts, |_| true);
    let first = issuing.into_iter().min_by_key(|host| order(upstream, host));
    first.is_none_or(|first| first == host)
}

/// The hosts of `hosts` that issue the permits of `upstream` if none is gone, the first one first.
pub fn fixed_issuers<'a>(
    upstream: &UpstreamIncarnation,
    hosts: &'a [HostName],
) -> SmallVec<[&'a HostName; CANDIDATES]> {
    let mut issuing = issuing_hosts(hosts, |_| true);
    issuing.sort_by_key(|host| order(upstream, host));
    issuing.into_iter().take(CANDIDATES).collect()
}

/// The first hosts of the order that `is_present`.
fn issuing_hosts(hosts: &[HostName], is_present: impl Fn(&HostName) -> bool) -> IssuingHosts<'_> {
    let mut present: Vec<&HostName> = hosts.iter().filter(|host| is_present(host)).collect();
    if present.len() > ISSUING_HOSTS {
        present.sort_by_cached_key(|host| issuing_order(host));
        present.truncate(ISSUING_HOSTS);
    }
    present.into_iter().collect()
}

/// Sort key of `host` among all that may issue permits.
fn issuing_order(host: &HostName) -> (u64, &HostName) {
    (xxh3_64(host.as_str().as_bytes()), host)
}

/// Sort key of `host` among those that issue the permits of `upstream`.
fn order<'a>(upstream: &UpstreamIncarnation, host: &'a HostName) -> (u64, &'a HostName) {
    let both = format!("{} {}", upstream.id, host);
    (xxh3_64(both.as_bytes()), host)
}
