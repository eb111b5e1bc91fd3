//! Stand-in for the platform's table service.

use std::{collections::BTreeMap, sync::Mutex};

use http::{Method, StatusCode};
use mothvale_lib::{
    front::json_response,
    generated::wire::{Outcome, Row, Rows, Transaction},
};
use volo_http::{request::Request, response::Response};

use crate::server::{Handler, empty_response, json_or_not_found, query_parameter, read_json};

/// Rows in memory, with conditional writes.
#[derive(Debug, Default)]
pub struct Table {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    version: u64,
    transactions: u64,
}

impl Table {
    /// Commits a transaction.
    pub fn commit(&self, transaction: Transaction) -> Outcome {
        let mut state = self.state.lock().unwrap();
        state.transactions += 1;
        let differs = transaction.writes.iter().find(|write| {
            let version = state.rows.get(&write.key).map_or(0, |row| row.version);
            version != write.version
        });
        if let Some(write) = differs {
            let conflict = Some(write.key.clone());
            return Outcome { committed: false, conflict, version: None };
        }
        state.version += 1;
        let version = state.version;
        for write in transaction.writes {
            match write.value {
                Some(value) => {
                    let row = Row { key: write.key.clone(), value, version };
                    state.rows.insert(write.key, row);
                }
                None => {
                    state.rows.remove(&write.key);
                }
            }
        }
        Outcome { committed: true, conflict: None, version: Some(version) }
    }

    /// Returns how many transactions came, committed or not.
    pub fn transaction_count(&self) -> u64 {
        self.state.lock().unwrap().transactions
    }

    /// Returns a row.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.state.lock().unwrap().rows.get(key).cloned()
    }

    /// Returns all rows under a prefix.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let state = self.state.lock().unwrap();
        state.rows.values().filter(|it| it.key.starts_with(prefix)).cloned().collect()
    }
}

impl Handler for Table {
    async fn handle(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        match (request.method(), path.strip_prefix("/table/v1/rows")) {
            (&Method::GET, Some("")) => {
                let prefix = query_parameter(&request, "prefix").unwrap_or_default();
                json_response(StatusCode::OK, &Rows { rows: self.rows(prefix) })
            }
            (&Method::GET, Some(key)) => {
                json_or_not_found(self.row(key.trim_start_matches('/')).as_ref())
            }
            (&Method::POST, None) if path == "/table/v1/transactions" => {
                match read_json(request.into_body()).await {
                    Some(transaction) => json_response(StatusCode::OK, &self.commit(transaction)),
                    None => empty_response(StatusCode::BAD_REQUEST),
                }
            }
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}
