//! In-memory replica of one table of the platform's row store, kept up to date by applying changes.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// A point in the history of the row store, ordered by era, then by version.
///
/// A store that comes back from a copy begins a new era, in which it gives versions of the former
/// one out again for other changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision {
    /// How often the store has come back from a copy.
    pub era: u64,
    /// The store's version, which increases with each change within an era.
    pub version: u64,
}

/// One row of a table; a removed row stays as a tombstone without a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: FastStr,
    /// The value, or `None` for a removed row.
    pub value: Option<Bytes>,
    /// Version of the row's last change; versions increase across all rows of the store
    /// within an era.
    pub version: u64,
}

/// Replica of a table. It never returns an older state than before.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    /// Rows of the present era.
    rows: BTreeMap<FastStr, Row>,
    revision: Revision,
    /// Revision since which all changes are known. Removals before it are not: a whole read does not
    /// list them.
    base: Revision,
    /// Rows of former eras that the store did not have when it came back from a copy, until they are
    /// released. They are not passed on to other hosts.
    retained: BTreeMap<FastStr, Row>,
}

impl Replica {
    /// Returns the revision up to which all changes are known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether the table was never read.
    pub fn is_unknown(&self) -> bool {
        self.revision == Revision::default()
    }

    /// Returns all rows that exist, and those that are retained.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().filter(|it| it.value.is_some()).chain(self.retained.values())
    }

    /// Returns how many rows of former eras are retained.
    pub fn retained_count(&self) -> usize {
        self.retained.len()
    }

    /// Returns whether this replica knows all changes after a revision. Otherwise
    /// [`changes_since`](Self::changes_since) returns the whole table.
    pub fn has_changes_since(&self, known: Revision) -> bool {
        known >= self.base
    }

    /// Returns the changes after a revision, removals included: all rows if not all changes after it
    /// are known, and none for a revision of a later era.
    pub fn changes_since(&self, known: Revision) -> Vec<Row> {
        let has_changes = self.has_changes_since(known);
        let is_new = |it: &&Row| {
            !has_changes || Revision { era: self.revision.era, version: it.version } > known
        };
        self.rows.values().filter(is_new).cloned().collect()
    }

    /// Applies changes, and returns those that are new. They must include all changes from revision
    /// `since` up to `until`. Changes that this replica cannot be continued with are ignored: those of
    /// another era, and those that leave a gap.
    pub fn apply_changes(&mut self, rows: Vec<Row>, since: Revision, until: Revision) -> Vec<Row> {
        let same_era = since.era == until.era && until.era == self.revision.era;
        if !same_era || since > self.revision {
            return Vec::new();
        }
        let known_version = self.revision.version;
        let mut new_rows = Vec::new();
        for row in rows {
            if row.version > known_version {
                new_rows.extend(self.apply(&row).then_some(row));
            } else if self.retained.remove(&row.key).is_some() {
                // A row up to the known version that the replica does not have was removed by then.
                new_rows.push(Row { value: None, ..row });
            }
        }
        self.revision = self.revision.max(until);
        new_rows
    }

    /// Replaces the replica by the whole table as of `revision`, and returns the rows that changed,
    /// removals included. A snapshot that is older than the replica changes nothing.
    ///
    /// After a rise of the era, rows that the store lacks are retained until
    /// [`release_retained`](Self::release_retained): the store may have lost them.
    pub fn apply_snapshot(&mut self, rows: Vec<Row>, revision: Revision) -> Vec<Row> {
        if revision < self.revision {
            return Vec::new();
        }
        self.base = revision;
        if revision.era > self.revision.era {
            return self.start_era(rows, revision);
        }
        let version = revision.version;
        let exists = rows.iter().filter(|it| it.value.is_some());
        let present: BTreeSet<_> = exists.map(|it| it.key.clone()).collect();
        let mut new_rows: Vec<_> = rows.into_iter().filter(|it| self.apply(it)).collect();
        for row in self.rows.values_mut() {
            // A row newer than the snapshot may have come from another host; it is not removed.
            if row.value.is_some() && row.version <= version && !present.contains(&row.key) {
                *row = Row { key: row.key.clone(), value: None, version };
                new_rows.push(row.clone());
            }
        }
        self.revision = revision;
        new_rows
    }

    /// Replaces the rows of the former era by those of a later one, whose versions cannot be compared
    /// with them. Returns the rows whose values differ.
    fn start_era(&mut self, rows: Vec<Row>, revision: Revision) -> Vec<Row> {
        let mut former = std::mem::take(&mut self.retained);
        former.append(&mut self.rows);
        let mut new_rows = Vec::new();
        for row in rows {
            let former_value = former.remove(&row.key).and_then(|it| it.value);
            if former_value != row.value {
                new_rows.push(row.clone());
            }
            self.rows.insert(row.key.clone(), row);
        }
        former.retain(|_, it| it.value.is_some());
        self.retained = former;
        self.revision = revision;
        new_rows
    }

    /// Drops the rows of former eras that the store still lacks, and returns them as removals.
    pub fn release_retained(&mut self) -> Vec<Row> {
        let version = self.revision.version;
        let retained = std::mem::take(&mut self.retained);
        retained.into_keys().map(|key| Row { key, value: None, version }).collect()
    }

    /// Stores a row unless the replica has the same or a newer version of it; returns whether it
    /// was stored.
    fn apply(&mut self, row: &Row) -> bool {
        let known_version = self.rows.get(&row.key).map_or(0, |it| it.version);
        if row.version <= known_version {
            return false;
        }
        self.retained.remove(&row.key);
        self.rows.insert(row.key.clone(), row.clone());
        true
    }
}
