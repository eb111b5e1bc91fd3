//! Structured logs: one JSON object a line.

use std::{
    io::Write,
    iter,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use fern::Dispatch;
use log::{Record, kv};
use serde_json::{Map, Value};
use thiserror::Error as ThisError;

use crate::{clock::unix_millis, settings::Log};

/// Lines that wait for the thread that writes them.
const WAITING_LINES: usize = 2048;
/// Lines that are written in a second; a host answers about fifty requests in one.
const LINES_PER_SECOND: u64 = 400;

/// Start of the module path of each line that this crate logs.
const CRATE: &str = "mothvale_lib::";
/// Modules that are logged under a name that differs from their own. Module paths are part of
/// the log format, so renamed modules keep the name they are logged under.
const LOG_NAMES: [(&str, &str); 6] = [
    ("cache_gc", "retire"),
    ("connection", "link"),
    ("forward", "passage"),
    ("store_latency", "lag"),
    ("target_weights", "naming"),
    ("upstream_state", "standing"),
];

/// Lines that were dropped and not yet told.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Why the logger cannot be set.
#[derive(Debug, ThisError)]
pub enum LogError {
    /// It is set already.
    #[error("log: {0}")]
    Set(#[from] log::SetLoggerError),
    /// The thread that writes cannot be started.
    #[error("log: {0}")]
    Thread(#[from] std::io::Error),
}

/// Sets the process's logger; lines go to standard error.
///
/// # Errors
///
/// Returns an error when a logger is set already.
pub fn install_stderr(settings: &Log) -> Result<(), LogError> {
    Ok(dispatch(settings).chain(std::io::stderr()).apply()?)
}

/// Sets the process's logger; lines go to standard output from a thread of their own, so
/// that whoever logs never waits. What is over the bound is dropped and counted.
///
/// # Errors
///
/// Returns an error when a logger is set already, or the thread cannot be started.
pub fn install_stdout(settings: &Log) -> Result<(), LogError> {
    let (lines, waiting) = mpsc::sync_channel(WAITING_LINES);
    thread::Builder::new().name("log".into()).spawn(move || write_lines(&waiting))?;
    let output = fern::Output::call(move |record| {
        if lines.try_send(record.args().to_string()).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    });
    Ok(dispatch(settings).chain(output).apply()?)
}

/// Writes lines as they come, those that wait together in one call.
fn write_lines(waiting: &mpsc::Receiver<String>) {
    let mut second = Instant::now();
    let mut written = 0;
    while let Ok(first) = waiting.recv() {
        if second.elapsed() >= Duration::from_secs(1) {
            (second, written) = (Instant::now(), 0);
        }
        let mut text = String::new();
        for line in iter::once(first).chain(waiting.try_iter()) {
            written += 1;
            if written > LINES_PER_SECOND {
                DROPPED.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            text.push_str(&line);
            text.push('\n');
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 && written <= LINES_PER_SECOND {
            text.push_str(&format!(
                "{{\"level\":\"warn\",\"message\":\"lines dropped\",\"dropped\":{dropped}}}\n"
            ));
        } else {
            DROPPED.fetch_add(dropped, Ordering::Relaxed);
        }
        if std::io::stdout().write_all(text.as_bytes()).is_err() {
            // Nobody reads the lines; there is nowhere to tell it.
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Builds a logger that writes to `output`, for tests.
pub fn dispatch_to(settings: &Log, output: Box<dyn Write + Send>) -> Dispatch {
    dispatch(settings).chain(output)
}

fn dispatch(settings: &Log) -> Dispatch {
    let mut dispatch = Dispatch::new().level(settings.level);
    for (module, level) in &settings.modules {
        dispatch = dispatch.level_for(target(module), *level);
    }
    dispatch.format(|out, _, record| out.finish(format_args!("{}", line(record))))
}

/// Returns the log target of a module that the settings name. Modules of this crate are named
/// without its name.
fn target(module: &str) -> String {
    let name = module.strip_prefix(CRATE).unwrap_or(module);
    if name.contains("::") {
        return module.into();
    }
    let module = LOG_NAMES.iter().find(|it| it.1 == name).map_or(name, |it| it.0);
    format!("{CRATE}{module}")
}

/// Returns the name under which a log target is logged.
fn logged_name(target: &str) -> String {
    let module = target.strip_prefix(CRATE);
    match LOG_NAMES.iter().find(|it| Some(it.0) == module) {
        Some((_, name)) => format!("{CRATE}{name}"),
        None => target.into(),
    }
}

fn line(record: &Record<'_>) -> Value {
    let mut fields = Fields(Map::new());
    fields.set("ts_ms", unix_millis().into());
    fields.set("level", record.level().as_str().to_lowercase().into());
    fields.set("module", logged_name(record.target()).into());
    fields.set("message", record.args().to_string().into());
    // The visitor below never fails.
    let _ = record.key_values().visit(&mut fields);
    Value::Object(fields.0)
}

struct Fields(Map<String, Value>);

impl Fields {
    fn set(&mut self, name: &str, value: Value) {
        self.0.insert(name.into(), value);
    }
}

impl<'kvs> kv::VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let text = || Value::String(value.to_string());
        self.set(key.as_str(), serde_json::to_value(&value).unwrap_or_else(|_| text()));
        Ok(())
    }
}
