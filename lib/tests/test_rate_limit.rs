//! Tests of limits that upstreams name, as they are read and as a host keeps them.

use mothvale_lib::{
    codec::RateLimit,
    rate_limit::{Change, Limits, NoRate, Rate, Statement},
};
use mothvale_testutils::gateway::{at, engine};

fn rate(per_second: f64) -> Rate {
    Rate::try_from(per_second).unwrap()
}

/// What engine 0 says at a time.
fn statement(at_ms: u64, per_second: Option<f64>) -> Statement {
    let row = engine("engine0", "hobart");
    Statement {
        upstream: row.id.clone(),
        incarnation: row.incarnation(),
        rate: per_second.map(rate),
        said_at: at(at_ms),
    }
}

#[test]
fn values_that_are_no_rate_say_nothing() {
    let read = |per_second| Rate::try_from(&RateLimit::PerSecond(per_second));
    assert_eq!(read(2.5), Ok(rate(2.5)));
    assert_eq!(read(0.0), Ok(rate(0.0)));
    assert_eq!(read(-0.5), Err(NoRate::Negative));
    assert_eq!(read(f64::INFINITY), Err(NoRate::NotFinite));
    assert_eq!(read(f64::NAN), Err(NoRate::NotFinite));
    assert_eq!(Rate::try_from(&RateLimit::Unreadable("soon".into())), Err(NoRate::Unreadable));
}

#[test]
fn newer_statement_of_a_process_counts() {
    let mut limits = Limits::default();
    assert_eq!(limits.record(&statement(10, None)), Change::Nothing);
    assert_eq!(limits.record(&statement(20, Some(2.5))), Change::Named);
    assert_eq!(limits.record(&statement(30, Some(2.5))), Change::Nothing);
    assert_eq!(limits.record(&statement(40, Some(3.0))), Change::Changed(rate(2.5)));
    assert_eq!(limits.record(&statement(35, None)), Change::Nothing);
    assert_eq!(limits.count(), 1);
    assert_eq!(limits.record(&statement(50, None)), Change::Ended);
    assert_eq!(limits.record(&statement(45, Some(3.0))), Change::Nothing);
    assert_eq!(limits.count(), 0);
    let mut other = statement(60, Some(1.0));
    other.incarnation.start_time_ms += 1;
    assert_eq!(limits.record(&other), Change::Named);
    let row = engine("engine0", "hobart");
    assert_eq!(limits.limited_since(&row.id, row.incarnation()), None);
    assert_eq!(limits.limited_since(&row.id, other.incarnation), Some(at(60)));
}
