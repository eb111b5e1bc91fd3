//! Tests of the search for whole requests that crash upstreams, and for sound ones that only ran beside them.

use std::time::Duration;

use mothvale_lib::{
    poison::{Admission, Break, Detector, Fingerprint, Key, Keys, Proof},
    prelude::*,
};
use mothvale_testutils::gateway::at;

const SECOND: Duration = Duration::from_secs(1);
const DEADLY: Fingerprint = Fingerprint(1);
const SOUND: Fingerprint = Fingerprint(2);

fn key(request: Fingerprint) -> [Key; 1] {
    [request.into()]
}

fn host() -> Host {
    Host::new("host0")
}

/// A request without shared parts that broke at `millis`, at a process that was alive at `alive`.
fn broken(request: Fingerprint, upstream: &'static str, alive: u64, millis: u64) -> Break {
    Break {
        request,
        upstream: Upstream::new(upstream),
        start_time_ms: 1,
        parts: Keys::new(),
        ran: None,
        broke_at: at(millis),
        silence: Some(at(millis).since(at(alive))),
    }
}

fn record(detector: &mut Detector, report: &Break) {
    detector.record_break(report.broke_at, report);
}

fn admit(detector: &mut Detector, millis: u64, request: Fingerprint) -> Option<Admission> {
    detector.admit(at(millis), &host(), 1, &key(request)).ok()
}

/// Returns how long a request is kept away from `millis` on.
fn wait(detector: &mut Detector, millis: u64, request: Fingerprint) -> Duration {
    detector.admit(at(millis), &host(), 1, &key(request)).unwrap_err().retry_after
}

/// Returns a detector that has found the deadly request, with its last crash at 7 s.
fn with_cause() -> Detector {
    let mut detector = Detector::default();
    for millis in [4000, 7000] {
        record(&mut detector, &broken(DEADLY, "e0", millis - 20, millis));
    }
    detector.judge_due(at(7100));
    detector
}

/// Guards against services with one to three upstreams that are never protected.
#[test]
fn deadly_request_is_found_at_the_second_crash_with_few_upstreams() {
    for upstreams in [&["e0"][..], &["e0", "e1"], &["e0", "e1", "e2"]] {
        let mut detector = Detector::default();
        for (number, upstream) in upstreams.iter().cycle().take(2).enumerate() {
            let millis = 1000 + 3000 * number as u64;
            assert_eq!(admit(&mut detector, millis, DEADLY), Some(Admission::Ordinary));
            record(&mut detector, &broken(DEADLY, upstream, millis - 20, millis));
        }
        assert_eq!(admit(&mut detector, 4110, DEADLY), None, "{upstreams:?}");
        assert_eq!(admit(&mut detector, 4110, SOUND), Some(Admission::Ordinary));
    }
}

/// A crash that found only the deadly one under way tells it from a sound one that is kept away meanwhile.
#[test]
fn sound_request_that_other_crashes_explain_is_not_found_anew() {
    let mut detector = Detector::default();
    for millis in [1000, 4000] {
        record(&mut detector, &broken(DEADLY, "e0", millis - 20, millis));
    }
    assert_eq!(admit(&mut detector, 4110, DEADLY), None);
    // The trial crashes the upstream again, beside the same sound request each time.
    for millis in [10_000, 40_000] {
        record(&mut detector, &broken(SOUND, "e0", millis - 20, millis));
        record(&mut detector, &broken(DEADLY, "e0", millis - 20, millis));
    }
    assert_eq!(admit(&mut detector, 40_110, SOUND), Some(Admission::Ordinary));
}

/// Guards against breaks of kept connections that never make up the limit: they show life from before the crash.
#[test]
fn kept_connections_count_as_new_ones_do() {
    let mut detector = Detector::default();
    detector.record_answer(at(900), &[], Proof::Whole);
    for (number, upstream) in ["e0", "e1", "e2"].into_iter().enumerate() {
        let millis = 1000 + 500 * number as u64;
        record(&mut detector, &broken(DEADLY, upstream, 300, millis));
        detector.record_answer(at(millis + 50), &[], Proof::Whole);
    }
    assert_eq!(admit(&mut detector, 2110, DEADLY), None);
}

/// An attempt and the next one may meet upstreams that lose power together.
#[test]
fn upstreams_that_end_together_blame_no_request() {
    let mut detector = Detector::default();
    for (number, upstream) in ["e0", "e1", "e2", "e3"].into_iter().enumerate() {
        record(&mut detector, &broken(SOUND, upstream, 900, 1000 + 30 * number as u64));
    }
    assert_eq!(admit(&mut detector, 1200, SOUND), Some(Admission::Ordinary));
}

/// Guards against sound requests that are kept away because several crashes found one of them under way, although
/// others were answered between.
#[test]
fn answer_between_two_crashes_clears_a_sound_request() {
    let mut detector = Detector::default();
    for millis in [1000, 4000, 7000, 10_000] {
        record(&mut detector, &broken(SOUND, "e0", millis - 20, millis));
        record(&mut detector, &broken(DEADLY, "e0", millis - 20, millis));
        assert_eq!(detector.record_whole_answer(at(millis + 100), SOUND).as_slice(), key(SOUND));
    }
    assert_eq!(admit(&mut detector, 10_200, SOUND), Some(Admission::Ordinary));
    assert_eq!(admit(&mut detector, 10_200, DEADLY), None);
}

/// Guards against sound requests that are kept away for minutes. No answer came between the crashes, so both requests may
/// be the cause, whichever is reported first.
#[test]
fn trial_releases_a_sound_request_that_was_at_all_crashes() {
    for requests in [[SOUND, DEADLY], [DEADLY, SOUND]] {
        let mut detector = Detector::default();
        for millis in [1000, 4000, 7000] {
            for request in requests {
                record(&mut detector, &broken(request, "e0", millis - 20, millis));
            }
        }
        assert_eq!(admit(&mut detector, 7110, DEADLY), None);
        let wait = wait(&mut detector, 7110, SOUND);
        assert!(wait <= 6 * SECOND, "{wait:?}");
        let trial_at = 7110 + wait.as_millis() as u64 + 1;
        assert_eq!(admit(&mut detector, trial_at, SOUND), Some(Admission::Trial));
        detector.record_whole_answer(at(trial_at + 20), SOUND);
        assert_eq!(admit(&mut detector, trial_at + 30, SOUND), Some(Admission::Ordinary));
    }
}

/// Guards against a request that is released at one host and kept away at the others for good.
#[test]
fn answer_at_one_host_releases_the_request_at_all() {
    let (mut here, mut there) = (with_cause(), with_cause());
    let answered = here.record_whole_answer(at(8000), DEADLY);
    assert_eq!(answered.as_slice(), key(DEADLY));
    // The news is lost; the other host still tells the cause.
    let report = there.causes(at(8100)).next().unwrap();
    assert_eq!(here.follow(at(8100), &report).as_slice(), key(DEADLY));
    assert!(!here.is_fatal(&key(DEADLY)));
    assert!(there.clear(at(8000), key(DEADLY)[0], Proof::Whole));
    assert_eq!(admit(&mut there, 8200, DEADLY), Some(Admission::Ordinary));
}

#[test]
fn trials_of_a_request_come_soon_at_first_and_then_seldom() {
    let mut detector = with_cause();
    let (mut now, mut arrivals) = (7110, 0);
    while now < 120_000 {
        if admit(&mut detector, now, DEADLY).is_some() {
            arrivals += 1;
            record(&mut detector, &broken(DEADLY, "e0", now - 5, now));
        }
        now += 100;
    }
    assert!((2..=3).contains(&arrivals), "{arrivals}");
}

/// Guards against requests that are kept away for longer because no upstream was there to take the trial.
#[test]
fn trial_that_was_not_sent_comes_again_soon_on_all_hosts() {
    let (mut here, mut there) = (with_cause(), with_cause());
    let millis = 7110 + wait(&mut here, 7110, DEADLY).as_millis() as u64 + 1;
    assert_eq!(admit(&mut here, millis, DEADLY), Some(Admission::Trial));
    let report = here.causes(at(millis)).next().unwrap();
    there.follow(at(millis), &report);
    assert!(wait(&mut there, millis, DEADLY) > 10 * SECOND);
    here.return_trial(at(millis + 100), &key(DEADLY));
    let report = here.causes(at(millis + 100)).next().unwrap();
    there.follow(at(millis + 150), &report);
    for detector in [&mut here, &mut there] {
        assert!(wait(detector, millis + 200, DEADLY) < 2 * SECOND);
    }
    // Hosts that tell each other of the same trial do not bring it forward.
    let report = there.causes(at(millis + 200)).next().unwrap();
    let before = wait(&mut here, millis + 200, DEADLY);
    here.follow(at(millis + 200), &report);
    assert_eq!(wait(&mut here, millis + 200, DEADLY), before);
}

/// A stream that has begun may be cut off by another request's crash.
#[test]
fn crash_after_the_response_had_begun_counts_half() {
    let mut detector = Detector::default();
    for number in 1..=4 {
        assert_eq!(admit(&mut detector, 3000 * number - 100, DEADLY), Some(Admission::Ordinary));
        let report = broken(DEADLY, "e0", 3000 * number - 50, 3000 * number);
        record(&mut detector, &Break { ran: Some(Duration::ZERO), ..report });
    }
    assert_eq!(admit(&mut detector, 12_110, DEADLY), None);
}

/// Guards against hosts that start, or were cut off, and count from the beginning.
#[test]
fn host_that_is_told_all_breaks_judges_as_the_others_do() {
    let mut knowing = Detector::default();
    record(&mut knowing, &broken(DEADLY, "e0", 980, 1000));
    record(&mut knowing, &broken(SOUND, "e0", 980, 1000));
    knowing.record_whole_answer(at(5000), SOUND);
    let mut late = Detector::default();
    // Told several times, with the time that messages take.
    for told_at in [6000, 6050, 6500] {
        for report in knowing.breaks().collect::<Vec<_>>() {
            let broke_at = report.broke_at + Duration::from_millis(told_at % 7);
            late.record_break(at(told_at), &Break { broke_at, ..report });
        }
    }
    assert_eq!(admit(&mut late, 6600, DEADLY), Some(Admission::Ordinary));
    record(&mut late, &broken(DEADLY, "e0", 6980, 7000));
    assert_eq!(admit(&mut late, 7110, DEADLY), None);
    assert!(!late.is_fatal(&key(SOUND)));
}

/// Callers can make up any number of requests.
#[test]
fn state_stays_bounded_with_made_up_requests() {
    let mut detector = Detector::default();
    for number in 0..20_000 {
        record(&mut detector, &broken(Fingerprint(number), "e0", number * 10, number * 10 + 5));
        detector.record_whole_answer(at(number * 10 + 6), Fingerprint(number));
    }
    assert!(detector.crash_count() <= 64);
    assert!(detector.breaks().count() <= 64 * 64);
}

/// Guards against gossip that grows with each request that was found and never comes again.
#[test]
fn cause_is_told_while_it_changes_or_keeps_requests_away() {
    let mut detector = with_cause();
    let told = |detector: &Detector, millis| detector.cause_news(at(millis)).count();
    assert_eq!((told(&detector, 7110), told(&detector, 11_000)), (1, 1));
    assert_eq!((told(&detector, 13_000), detector.causes(at(13_000)).count()), (0, 1));
    // The trial, and a request that is kept away.
    assert_eq!(admit(&mut detector, 14_000, DEADLY), Some(Admission::Trial));
    assert_eq!((told(&detector, 15_000), told(&detector, 20_000)), (1, 0));
    assert_eq!(admit(&mut detector, 21_000, DEADLY), None);
    assert_eq!((told(&detector, 22_000), told(&detector, 27_000)), (1, 0));
    // A host that follows tells it as long, and does not keep the others telling it.
    let report = detector.causes(at(27_000)).next().unwrap();
    let mut other = Detector::default();
    for millis in (27_000..33_000).step_by(50) {
        other.follow(at(millis), &report);
    }
    assert_eq!(told(&other, 33_000), 0);
}
