//! Tests of the log format: one JSON object per line with the record's fields, levels by module,
//! and the logged names of renamed modules.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
};

use log::{Level, LevelFilter, Record};
use mothvale_lib::{log_setup, settings::Log};
use serde_json::Value;

/// Log output in memory.
#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_line_is_json_and_levels_are_by_module() {
    let sink = Sink::default();
    let modules = [("relay".to_owned(), LevelFilter::Debug)].into();
    let settings = Log { level: LevelFilter::Info, modules };
    let (_, logger) = log_setup::dispatch_to(&settings, Box::new(sink.clone())).into_log();
    let fields = [("request", "r-1"), ("workspace", "bedline"), ("upstream", "engine\"1\"")];
    for (target, level) in [
        ("mothvale_lib::relay", Level::Debug),
        ("mothvale_lib::core", Level::Debug),
        ("mothvale_lib::core", Level::Warn),
    ] {
        let record = Record::builder()
            .target(target)
            .level(level)
            .args(format_args!("two\nlines"))
            .key_values(&fields)
            .build();
        logger.log(&record);
    }
    logger.flush();
    let text = String::from_utf8(sink.0.lock().unwrap().clone()).unwrap();
    let lines: Vec<Value> = text.lines().map(|it| serde_json::from_str(it).unwrap()).collect();
    let seen: Vec<_> = lines.iter().map(|it| (&it["module"], &it["level"])).collect();
    assert_eq!(
        seen,
        [
            (&Value::from("mothvale_lib::relay"), &Value::from("debug")),
            (&Value::from("mothvale_lib::core"), &Value::from("warn")),
        ]
    );
    assert_eq!(lines[0]["upstream"], "engine\"1\"");
    assert_eq!(lines[0]["message"], "two\nlines");
}

#[test]
fn a_renamed_module_keeps_the_name_that_it_is_logged_under() {
    let sink = Sink::default();
    let modules =
        [("link".to_owned(), LevelFilter::Debug), ("passage".to_owned(), LevelFilter::Off)].into();
    let settings = Log { level: LevelFilter::Info, modules };
    let (_, logger) = log_setup::dispatch_to(&settings, Box::new(sink.clone())).into_log();
    for (target, level) in [
        ("mothvale_lib::connection", Level::Debug),
        ("mothvale_lib::forward", Level::Error),
        ("mothvale_lib::upstream_state", Level::Debug),
        ("mothvale_lib::upstream_state", Level::Info),
    ] {
        let record =
            Record::builder().target(target).level(level).args(format_args!("line")).build();
        logger.log(&record);
    }
    logger.flush();
    let text = String::from_utf8(sink.0.lock().unwrap().clone()).unwrap();
    let lines: Vec<Value> = text.lines().map(|it| serde_json::from_str(it).unwrap()).collect();
    let seen: Vec<_> = lines.iter().map(|it| (&it["module"], &it["level"])).collect();
    assert_eq!(
        seen,
        [
            (&Value::from("mothvale_lib::link"), &Value::from("debug")),
            (&Value::from("mothvale_lib::standing"), &Value::from("info")),
        ]
    );
}
