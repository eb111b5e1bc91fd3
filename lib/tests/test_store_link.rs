//! Sharing of the cache stores' links: demand beyond the bandwidth, seen by many hosts.

use std::{net::SocketAddr, time::Duration};

use mothvale_lib::{
    configuration::StoreEntry,
    popularity::Popularity,
    prelude::*,
    rendezvous::mix64,
    store_link::{Links, Transfer, short_id},
    window::Sum,
};
use mothvale_testutils::gateway::at;

const TOKEN_BYTES: u64 = 1_000;
/// Tokens per second that the store's link carries.
const LINK_TOKENS: u64 = 100_000;
const PART_TOKENS: u32 = 1_000;

fn store() -> StoreEntry {
    StoreEntry {
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: Zone::new("hobart"),
        tokens: 1_000_000,
        first_byte: Duration::from_millis(6),
        bytes_per_second: (LINK_TOKENS * TOKEN_BYTES) as f64,
        watchers: 12,
    }
}

fn transfer(part: u64, other_zone: bool) -> Transfer {
    Transfer {
        part: mix64(part),
        tokens: PART_TOKENS,
        token_bytes: TOKEN_BYTES,
        other_zone,
        popular: false,
    }
}

/// Plays `per_second` transfers spread over hosts that exchange their demands every 250 ms. Returns
/// the transfers that were admitted in each second.
fn play(hosts: usize, per_second: u64, other_zone: bool, seconds: u64) -> Vec<u64> {
    let names: Vec<_> = (0..hosts).map(|it| Host::new(format!("host-{it}"))).collect();
    let mut links = vec![Links::default(); hosts];
    let mut admitted = vec![0; seconds as usize];
    let interval = 1_000_000 / per_second;
    let mut next_exchange = 0;
    for step in 0..per_second * seconds {
        let now = at(step * interval / 1000);
        if step * interval / 1000 >= next_exchange {
            next_exchange += 250;
            let demands: Vec<_> = links.iter_mut().map(|it| it.combined(now, |_| false)).collect();
            for (index, link) in links.iter_mut().enumerate() {
                for (peer, demand) in demands.iter().enumerate().filter(|it| it.0 != index) {
                    link.record_peer(now, &names[peer], demand.clone());
                }
            }
        }
        let host = (mix64(step) % hosts as u64) as usize;
        let transfer = transfer(mix64(step ^ 77) % 5_000, other_zone);
        let second = (step / per_second) as usize;
        admitted[second] += u64::from(links[host].admit(now, &store(), &transfer));
    }
    admitted
}

/// Returns the mean of the transfers admitted in a second, once demands are known.
fn mean(admitted: &[u64]) -> f64 {
    admitted[2..].iter().sum::<u64>() as f64 / (admitted.len() - 2) as f64
}

/// Prompts return three times as fast as the link carries their parts. What is admitted keeps the link
/// below its bandwidth, with one host as with a hundred, and uses at least half of it.
#[test]
fn demand_above_the_bandwidth_is_admitted_up_to_the_bandwidth() {
    let carried = LINK_TOKENS / u64::from(PART_TOKENS);
    for hosts in [1, 8, 100] {
        let mean = mean(&play(hosts, carried * 3, false, 12)) / carried as f64;
        assert!((0.5..0.95).contains(&mean), "{mean} of the bandwidth with {hosts} hosts");
    }
}

#[test]
fn demand_within_the_bandwidth_is_admitted_whole() {
    let carried = LINK_TOKENS / u64::from(PART_TOKENS);
    assert_eq!(play(8, carried / 2, false, 4).iter().sum::<u64>(), carried / 2 * 4);
}

/// Engines are in other zones than the store, so that each transfer takes twice as long.
#[test]
fn transfers_between_zones_count_twice() {
    let carried = LINK_TOKENS / u64::from(PART_TOKENS);
    let mean = mean(&play(8, carried * 3, true, 12)) / carried as f64;
    assert!((0.25..0.475).contains(&mean), "{mean} of the bandwidth, twice as long each");
}

/// A part that is not fetched under load is not saved either, by any host: a hash of the part decides.
#[test]
fn all_hosts_admit_the_same_parts() {
    let mut links = [Links::default(), Links::default()];
    let demand = [(short_id(store().address), LINK_TOKENS * 3)].into_iter().collect();
    for (index, link) in links.iter_mut().enumerate() {
        link.record_peer(
            at(0),
            &Host::new(format!("peer-{index}")),
            std::clone::Clone::clone(&demand),
        );
    }
    let [mut first, mut second] = links;
    let same = (0..200).filter(|part| {
        let transfer = transfer(*part, false);
        first.admit(at(part / 2), &store(), &transfer)
            == second.admit(at(part / 2), &store(), &transfer)
    });
    assert_eq!(same.count(), 200);
}

#[test]
fn demand_of_a_host_that_is_gone_expires() {
    let mut links = Links::default();
    let demand = [(short_id(store().address), LINK_TOKENS * 100)].into_iter().collect();
    links.record_peer(at(0), &Host::new("gone"), demand);
    let count = |links: &mut Links, now: Instant| {
        (0..100).filter(|it| links.admit(now, &store(), &transfer(*it, false))).count()
    };
    assert!(count(&mut links, at(100)) < 20);
    assert!(count(&mut links, at(5_000)) > 60);
}

#[test]
fn sum_forgets_what_is_older_than_its_span() {
    let mut sum = Sum::new(Duration::from_secs(1));
    sum.add(at(0), 5);
    sum.add(at(950), 7);
    assert_eq!(sum.total(at(990)), 12);
    assert_eq!(sum.total(at(1_050)), 7);
    assert_eq!(sum.total(at(60_000)), 0);
}

#[test]
fn popularity_is_the_rate_of_the_last_seconds() {
    let mut popularity = Popularity::default();
    let rates = (0..400).map(|it| popularity.record(at(it * 10), 1));
    let last = rates.last().unwrap();
    assert!((80.0..=110.0).contains(&last), "100 uses a second, measured {last}");
    assert!(popularity.record(at(4_000), 2) < 1.0);
    assert!(popularity.record(at(60_000), 1) < 1.0);
}
