//! Sets up structured logs: one JSON object per line, on standard error or standard output.

use std::{
    io::Write,
    iter,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, Receiver, SyncSender},
    },
    thread,
    time::{Duration, Instant},
};

use fern::Dispatch;
use log::{Record, kv};
use serde_json::{Map, Value};
use thiserror::Error as ThisError;

use crate::{clock::unix_millis, settings::Log};

/// Most lines queued for the thread that writes them.
const MAX_QUEUED_LINES: usize = 2048;
/// Most lines written per second. A host answers about fifty requests per second.
const MAX_LINES_PER_SECOND: u64 = 400;

/// Longest wait for the thread that writes the lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Prefix of the module paths of this crate.
const CRATE_PREFIX: &str = "mothvale_lib::";
/// Modules whose logged name differs from their module name, as pairs of module name and logged
/// name. Module paths are part of the log format, so renamed modules keep their logged name.
const LOG_NAMES: [(&str, &str); 11] = [
    ("cache_gc", "retire"),
    ("connection", "link"),
    ("forward", "passage"),
    ("gateway_process", "node"),
    ("gateway_server", "serve"),
    ("health_tracker", "core"),
    ("public_api", "front"),
    ("store_latency", "lag"),
    ("table_sync", "follow"),
    ("target_weights", "naming"),
    ("upstream_state", "standing"),
];

/// Lines that were dropped and not yet reported in the log.
static UNREPORTED_DROPS: AtomicU64 = AtomicU64::new(0);

/// Queue of the thread that writes the lines, once there is one.
static QUEUE: OnceLock<SyncSender<Entry>> = OnceLock::new();

/// Entry in the queue of the thread that writes the lines.
enum Entry {
    Line(String),
    /// All lines before this are to be written; then a message is sent.
    Flush(SyncSender<()>),
}

/// Why the logger cannot be installed.
#[derive(Debug, ThisError)]
pub enum LogError {
    /// The process already has a logger.
    #[error("log: {0}")]
    Set(#[from] log::SetLoggerError),
    /// The thread that writes the lines cannot be started.
    #[error("log: {0}")]
    Thread(#[from] std::io::Error),
}

/// Installs the process's logger, which writes lines to standard error.
///
/// # Errors
///
/// Returns an error when a logger is already installed.
pub fn install_stderr(settings: &Log) -> Result<(), LogError> {
    Ok(dispatch(settings).chain(std::io::stderr()).apply()?)
}

/// Installs the process's logger, which writes lines to standard output from a separate thread,
/// so that logging never blocks. Lines over the limits of the queue or of the rate are dropped
/// and counted.
///
/// # Errors
///
/// Returns an error when a logger is already installed or the thread cannot be started.
pub fn install_stdout(settings: &Log) -> Result<(), LogError> {
    let (queue, queued) = mpsc::sync_channel(MAX_QUEUED_LINES);
    thread::Builder::new().name("log".into()).spawn(move || write_lines(&queued))?;
    let lines = queue.clone();
    let output = fern::Output::call(move |record| {
        if lines.try_send(Entry::Line(record.args().to_string())).is_err() {
            UNREPORTED_DROPS.fetch_add(1, Ordering::Relaxed);
        }
    });
    dispatch(settings).chain(output).apply()?;
    // Set once, as a process has one logger.
    QUEUE.get_or_init(|| queue);
    Ok(())
}

/// Waits until the lines logged so far are written, for at most [`FLUSH_TIMEOUT`]. For the end of the
/// process; the logger's own `flush` does not know the queue.
pub fn flush() {
    let Some(queue) = QUEUE.get() else { return log::logger().flush() };
    let (written, done) = mpsc::sync_channel(1);
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    let mut entry = Entry::Flush(written);
    // The queue may be full for a moment.
    while let Err(mpsc::TrySendError::Full(returned)) = queue.try_send(entry) {
        if Instant::now() >= deadline {
            return;
        }
        entry = returned;
        thread::sleep(Duration::from_millis(5));
    }
    // Without an answer in time, the rest of the lines is lost with the process.
    let _ = done.recv_timeout(deadline.saturating_duration_since(Instant::now()));
}

/// Writes lines until the logger is gone. All queued lines are written in one call.
fn write_lines(queued: &Receiver<Entry>) {
    let mut second_start = Instant::now();
    let mut written = 0;
    while let Ok(first) = queued.recv() {
        if second_start.elapsed() >= Duration::from_secs(1) {
            (second_start, written) = (Instant::now(), 0);
        }
        let mut text = String::new();
        let mut waiting = Vec::new();
        for entry in iter::once(first).chain(queued.try_iter()) {
            let line = match entry {
                Entry::Line(line) => line,
                Entry::Flush(flushed) => {
                    waiting.push(flushed);
                    continue;
                }
            };
            written += 1;
            if written > MAX_LINES_PER_SECOND {
                UNREPORTED_DROPS.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            text.push_str(&line);
            text.push('\n');
        }
        let dropped = UNREPORTED_DROPS.swap(0, Ordering::Relaxed);
        if dropped > 0 && written <= MAX_LINES_PER_SECOND {
            text.push_str(&format!(
                "{{\"level\":\"warn\",\"message\":\"lines dropped\",\"dropped\":{dropped}}}\n"
            ));
        } else {
            UNREPORTED_DROPS.fetch_add(dropped, Ordering::Relaxed);
        }
        if std::io::stdout().write_all(text.as_bytes()).is_err() {
            // Nobody reads standard output, so there is nowhere to report it.
            UNREPORTED_DROPS.fetch_add(1, Ordering::Relaxed);
        }
        for flushed in waiting {
            // Whoever waits may have given up.
            let _ = flushed.try_send(());
        }
    }
}

/// Builds a logger that writes to `output`, for tests.
pub fn dispatch_to(settings: &Log, output: Box<dyn Write + Send>) -> Dispatch {
    dispatch(settings).chain(output)
}

/// Builds a logger without an output.
fn dispatch(settings: &Log) -> Dispatch {
    let mut dispatch = Dispatch::new().level(settings.level);
    for (module, level) in &settings.modules {
        dispatch = dispatch.level_for(log_target(module), *level);
    }
    dispatch.format(|out, _, record| out.finish(format_args!("{}", format_line(record))))
}

/// Returns the log target of a module that the settings name by its logged name. The prefix of
/// this crate can be left out. A name that contains other `::` is taken as a whole target.
fn log_target(module: &str) -> String {
    let name = module.strip_prefix(CRATE_PREFIX).unwrap_or(module);
    if name.contains("::") {
        return module.into();
    }
    let module = LOG_NAMES.iter().find(|it| it.1 == name).map_or(name, |it| it.0);
    format!("{CRATE_PREFIX}{module}")
}

/// Returns the name under which a log target is logged.
fn logged_name(target: &str) -> String {
    let module = target.strip_prefix(CRATE_PREFIX);
    match LOG_NAMES.iter().find(|it| Some(it.0) == module) {
        Some((_, name)) => format!("{CRATE_PREFIX}{name}"),
        None => target.into(),
    }
}

/// Formats a log record as a JSON object.
fn format_line(record: &Record<'_>) -> Value {
    let mut fields = Fields(Map::new());
    fields.set("ts_ms", unix_millis().into());
    fields.set("level", record.level().as_str().to_lowercase().into());
    fields.set("module", logged_name(record.target()).into());
    fields.set("message", record.args().to_string().into());
    // The visitor below never fails.
    let _ = record.key_values().visit(&mut fields);
    Value::Object(fields.0)
}

/// The fields of one log line.
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
