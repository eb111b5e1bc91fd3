//! Structured logs: one JSON object a line.

use std::io::Write;

use fern::Dispatch;
use log::{Record, kv};
use serde_json::{Map, Value};
use thiserror::Error as ThisError;

use crate::{clock::unix_millis, settings::Log};

/// The logger is set already.
#[derive(Debug, ThisError)]
#[error("log: {0}")]
pub struct LogError(#[from] log::SetLoggerError);

/// Sets the process's logger; lines go to standard error.
///
/// # Errors
///
/// Returns an error when a logger is set already.
pub fn install(settings: &Log) -> Result<(), LogError> {
    Ok(dispatch(settings).chain(std::io::stderr()).apply()?)
}

/// Builds a logger that writes to `output`, for tests.
pub fn writer(settings: &Log, output: Box<dyn Write + Send>) -> Dispatch {
    dispatch(settings).chain(output)
}

fn dispatch(settings: &Log) -> Dispatch {
    let mut dispatch = Dispatch::new().level(settings.level);
    for (module, level) in &settings.modules {
        dispatch = dispatch.level_for(target(module), *level);
    }
    dispatch.format(|out, _, record| out.finish(format_args!("{}", line(record))))
}

/// Modules of this crate are named without its name.
fn target(module: &str) -> String {
    if module.contains("::") { module.into() } else { format!("mothvale_lib::{module}") }
}

fn line(record: &Record<'_>) -> Value {
    let mut fields = Fields(Map::new());
    fields.set("ts_ms", unix_millis().into());
    fields.set("level", record.level().as_str().to_lowercase().into());
    fields.set("module", record.target().into());
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
