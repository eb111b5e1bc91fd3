//! Election of the host that reads the cache stores for its zone.

use mothvale_lib::{
    prelude::*,
    zone_leader::{Election, Member, rank},
};
use mothvale_testutils::gateway::at;

const ROUND_MS: u64 = 250;

fn hosts(count: usize) -> Vec<Host> {
    let member = |index: usize| Member {
        host: Host::new(format!("host-{index}")),
        processor_millis: if index.is_multiple_of(10) { 500 } else { 120 },
    };
    rank((0..count).map(member).collect())
}

/// Plays rounds of pulls of all hosts of a zone from `start_ms` to `end_ms`. `answers` tells whether a
/// host answers. Returns the most hosts that read the cache stores in a round, and those that do so in
/// the last one.
fn play<F>(
    elections: &mut [Election],
    ranked: &[Host],
    start_ms: u64,
    end_ms: u64,
    answers: F,
) -> (usize, Vec<usize>)
where
    F: Fn(u64, usize) -> bool,
{
    let mut most = 0;
    let mut readers = Vec::new();
    for now_ms in (start_ms..end_ms).step_by(ROUND_MS as usize) {
        let now = at(now_ms);
        readers.clear();
        for (index, election) in elections.iter_mut().enumerate() {
            election.start_round(now);
            for host in election.candidates(now, ranked, &ranked[index]) {
                let position = ranked.iter().position(|it| *it == host).unwrap();
                if answers(now_ms, position) {
                    election.record_answer(now, &host);
                    break;
                }
                election.record_failure(now, &host, 1);
            }
            if answers(now_ms, index) && election.reads_stores(now, ranked, &ranked[index]) {
                readers.push(index);
            }
        }
        most = most.max(readers.len());
    }
    (most, readers)
}

#[test]
fn hosts_with_more_processor_time_rank_first() {
    let ranked = hosts(50);
    assert!(ranked[..5].iter().all(|it| it.as_str().ends_with('0')), "{:?}", &ranked[..6]);
}

/// Fifty hosts of a zone start at once, and connections to the leader need a second.
#[test]
fn few_hosts_read_the_stores_when_a_zone_starts() {
    let ranked = hosts(50);
    let mut elections = vec![Election::default(); 50];
    let (most, readers) = play(&mut elections, &ranked, 0, 4_000, |now, _| now >= 1_000);
    assert!(most <= 3, "{most} hosts read the stores at once");
    assert_eq!(readers, [0]);
}

/// The leader stops answering. The host that ranks next takes over, and nobody else.
#[test]
fn next_host_takes_over_from_a_silent_leader() {
    let ranked = hosts(50);
    let mut elections = vec![Election::default(); 50];
    play(&mut elections, &ranked, 0, 4_000, |_, _| true);
    let (most, readers) = play(&mut elections, &ranked, 4_000, 8_000, |_, position| position != 0);
    assert!(most <= 2, "{most} hosts read the stores at once");
    assert_eq!(readers, [1]);
    let (_, readers) = play(&mut elections, &ranked, 8_000, 14_000, |_, _| true);
    assert_eq!(readers, [0], "the leader is back");
}

/// A rack with the hosts that rank first is lost for good; their rows stay.
#[test]
fn leader_is_found_behind_many_lost_hosts() {
    let ranked = hosts(50);
    let mut elections = vec![Election::default(); 50];
    let (most, readers) = play(&mut elections, &ranked, 0, 10_000, |_, position| position >= 6);
    assert!(most <= 4, "{most} hosts read the stores at once");
    assert!(readers.contains(&6), "{readers:?}");
}

#[test]
fn host_without_a_row_reads_no_stores() {
    let ranked = hosts(3);
    let mut election = Election::default();
    election.start_round(at(0));
    assert!(!election.reads_stores(at(60_000), &ranked, &Host::new("new")));
}
