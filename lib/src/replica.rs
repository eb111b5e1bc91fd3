//! In-memory replica of one table of the platform's row store, kept up to date by applying changes.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// One row of a table; a removed row stays as a tombstone without a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: FastStr,
    /// The value, or `None` for a removed row.
    pub value: Option<Bytes>,
    /// Version of the row's last change; versions increase across all rows of the store.
    pub version: u64,
}

/// Replica of a table. It never returns an older state than before.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    rows: BTreeMap<FastStr, Row>,
    version: u64,
}

impl Replica {
    /// Returns the version up to which all changes are known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all rows that exist.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().filter(|it| it.value.is_some())
    }

    /// Returns the changes after a version, removals included.
    pub fn changes_since(&self, version: u64) -> Vec<Row> {
        self.rows.values().filter(|it| it.version > version).cloned().collect()
    }

    /// Applies changes, and returns those that are new. They must include all changes from the
    /// replica's version, or an earlier one, up to `version`.
    pub fn apply_changes(&mut self, rows: Vec<Row>, version: u64) -> Vec<Row> {
        let new_rows: Vec<_> = rows.into_iter().filter(|it| self.apply(it)).collect();
        self.version = self.version.max(version);
        new_rows
    }

    /// Replaces the replica by the whole table as of `version`, and returns the rows that changed,
    /// removals included. A snapshot that is older than the replica changes nothing.
    pub fn apply_snapshot(&mut self, rows: Vec<Row>, version: u64) -> Vec<Row> {
        if version < self.version {
            return Vec::new();
        }
        let present: BTreeSet<_> = rows.iter().map(|it| it.key.clone()).collect();
        let mut new_rows: Vec<_> = rows.into_iter().filter(|it| self.apply(it)).collect();
        for row in self.rows.values_mut() {
            // A row newer than the snapshot may have come from another host; it is not removed.
            if row.value.is_some() && row.version <= version && !present.contains(&row.key) {
                *row = Row { key: row.key.clone(), value: None, version };
                new_rows.push(row.clone());
            }
        }
        self.version = version;
        new_rows
    }

    /// Stores a row unless the replica has the same or a newer version of it; returns whether it
    /// was stored.
    fn apply(&mut self, row: &Row) -> bool {
        let known_version = self.rows.get(&row.key).map_or(0, |it| it.version);
        if row.version <= known_version {
            return false;
        }
        self.rows.insert(row.key.clone(), row.clone());
        true
    }
}
