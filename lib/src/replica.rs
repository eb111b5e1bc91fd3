//! Copy of one table of the platform's store, kept up to date by its changes.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// One row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: FastStr,
    /// The value; none for a row that was removed.
    pub value: Option<Bytes>,
    /// Version of its last change; grows over all rows of the store.
    pub version: u64,
}

/// The copy. It never goes back to an older state than it has shown.
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

    /// Takes changes that lead without a gap from a known version to `version`; returns
    /// those that are new.
    pub fn apply_changes(&mut self, rows: Vec<Row>, version: u64) -> Vec<Row> {
        let news: Vec<_> = rows.into_iter().filter(|it| self.take(it)).collect();
        self.version = self.version.max(version);
        news
    }

    /// Takes the whole table as of `version`; returns what is new. An answer that is older
    /// than what is known changes nothing.
    pub fn apply_snapshot(&mut self, rows: Vec<Row>, version: u64) -> Vec<Row> {
        if version < self.version {
            return Vec::new();
        }
        let kept: BTreeSet<_> = rows.iter().map(|it| it.key.clone()).collect();
        let mut news: Vec<_> = rows.into_iter().filter(|it| self.take(it)).collect();
        for row in self.rows.values_mut() {
            // A change after the answer's version may have come by another way.
            if row.value.is_some() && row.version <= version && !kept.contains(&row.key) {
                *row = Row { key: row.key.clone(), value: None, version };
                news.push(row.clone());
            }
        }
        self.version = version;
        news
    }

    fn take(&mut self, row: &Row) -> bool {
        let known = self.rows.get(&row.key).map_or(0, |it| it.version);
        if row.version <= known {
            return false;
        }
        self.rows.insert(row.key.clone(), row.clone());
        true
    }
}
