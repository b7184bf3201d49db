//! Many hosts and many upstreams that need permits.

use std::collections::HashSet;
use std::time::Duration;

use ferry_decisions::limits::{IssuerChoice, is_first_issuer};
use ferry_decisions::names::HostName;
use ferry_decisions::registry::UpstreamIncarnation;
use ferry_decisions::time::{MonotonicTime, UnixMillis};

const MANY_HOSTS: usize = 352;
const MANY_UPSTREAMS: usize = 300;
/// Hosts that a router asks at most.
const MOST_ISSUERS: usize = 16;
/// Time after which a host that does not answer counts as gone, and for how long it is then not asked.
const GONE_TIME: Duration = Duration::from_secs(10);
const GONE_RETRY_TIME: Duration = Duration::from_secs(30);
/// Turns in which a router that reaches none of the hosts that it asks has asked them all.
const TURNS: usize = 8;
const STEP: Duration = Duration::from_millis(100);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(0).after(Duration::from_millis(ms))
}

fn hosts(count: usize) -> Vec<HostName> {
    let names = (0..count).map(|number| format!("entry-{number}"));
    names.map(|name| name.as_str().into()).collect()
}

fn upstream(number: usize) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: format!("up-{number}").as_str().into(),
        started_at: Some(UnixMillis(1)),
    }
}

#[test]
fn a_router_asks_few_hosts_for_the_permits_of_all_upstreams() {
    let hosts = hosts(MANY_HOSTS);
    let choice = IssuerChoice::default();
    let asked: HashSet<&HostName> = (0..MANY_UPSTREAMS)
        .filter_map(|number| choice.choose(&upstream(number), &hosts, at(0)))
        .collect();
    assert_eq!(asked.len(), MOST_ISSUERS);
}

#[test]
fn routers_ask_the_first_issuer_whatever_order_they_list_the_hosts_in() {
    let listed = hosts(MANY_HOSTS);
    let mut reversed = listed.clone();
    reversed.reverse();
    let choice = IssuerChoice::default();
    for number in 0..MANY_UPSTREAMS {
        let upstream = upstream(number);
        let chosen = choice.choose(&upstream, &listed, at(0)).unwrap();
        assert_eq!(choice.choose(&upstream, &reversed, at(0)), Some(chosen));
        let firsts = listed
            .iter()
            .filter(|host| is_first_issuer(&upstream, &listed, host));
        assert_eq!(firsts.collect::<Vec<_>>(), [chosen]);
    }
}

#[test]
fn routers_that_reach_different_hosts_ask_two_of_them_at_most() {
    let hosts = hosts(MANY_HOSTS);
    for number in 0..MANY_UPSTREAMS {
        let upstream = upstream(number);
        let mut asked = HashSet::new();
        for router in 0..64_usize {
            let mut choice = IssuerChoice::default();
            // Each reaches another part of the hosts.
            for turn in 0..TURNS {
                let now = at(turn as u64);
                let Some(host) = choice.choose(&upstream, &hosts, now).cloned() else {
                    break;
                };
                match (router >> (turn % 6)) & 1 {
                    0 => choice.record_answer(&host),
                    _ => choice.record_silence(&host, now),
                }
                asked.insert(host);
            }
        }
        assert!(asked.len() <= 2, "{} hosts are asked", asked.len());
    }
}

#[test]
fn another_host_takes_the_place_of_one_that_is_gone_until_it_answers_again() {
    let hosts = hosts(MANY_HOSTS);
    let upstream = upstream(0);
    let mut choice = IssuerChoice::default();
    let first = choice.choose(&upstream, &hosts, at(0)).unwrap().clone();
    let mut now = at(0);
    while now <= at(0).after(GONE_TIME) {
        if choice.choose(&upstream, &hosts, now) == Some(&first) {
            choice.record_silence(&first, now);
        }
        now = now.after(STEP);
    }
    choice.record_silence(&first, now);

    let second = choice.choose(&upstream, &hosts, now).unwrap().clone();
    choice.record_silence(&second, now);
    let third = choice.choose(&upstream, &hosts, now).unwrap();
    assert!(first != second && ![&first, &second].contains(&third));

    now = now.after(GONE_RETRY_TIME);
    assert_eq!(choice.choose(&upstream, &hosts, now), Some(&first));
    choice.record_answer(&first);
    assert_eq!(choice.choose(&upstream, &hosts, now), Some(&first));
}
