//! Stand-in for the platform's table service: versioned rows, and transactions that commit only
//! when every row that they write still has the expected version.

use std::{collections::BTreeMap, sync::Mutex};

use http::{Method, StatusCode};
use mothvale_lib::{
    generated::wire::{Outcome, Row, Rows, Transaction},
    public_api::json_response,
};
use volo_http::{request::Request, response::Response};

use crate::server::{Handler, empty_response, json_or_not_found, query_parameter, read_json};

/// Rows in memory, by key.
#[derive(Debug, Default)]
pub struct Table {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    /// Version of the last commit; each row has the version of the commit that wrote it.
    version: u64,
    /// Transactions received, committed or not.
    transaction_count: u64,
}

impl Table {
    /// Commits all writes of a transaction, or none if a row's version differs from the expected
    /// one. A row that does not exist has version 0; a write without a value removes its row.
    pub fn commit(&self, transaction: Transaction) -> Outcome {
        let mut state = self.state.lock().unwrap();
        state.transaction_count += 1;
        let mismatch = transaction.writes.iter().find(|write| {
            let version = state.rows.get(&write.key).map_or(0, |row| row.version);
            version != write.version
        });
        if let Some(write) = mismatch {
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

    /// Returns the number of transactions received, committed or not.
    pub fn transaction_count(&self) -> u64 {
        self.state.lock().unwrap().transaction_count
    }

    /// Returns the row with a key.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.state.lock().unwrap().rows.get(key).cloned()
    }

    /// Returns all rows whose keys start with a prefix, ordered by key.
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
