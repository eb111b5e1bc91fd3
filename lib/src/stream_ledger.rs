//! What the row store holds about streams, so that it outlives all hosts: the builds that each service has
//! had lately, and, while there are several, at which of them streams began.
//!
//! Load pattern: all hosts are killed at once while engines of two builds serve, and hundreds of callers
//! resume their streams at hosts that have just started.
//!
//! Does no I/O.

use std::collections::{HashMap, HashSet};

use pilota::pb::Message;
use serde::{Deserialize, Serialize};

use crate::{
    generated::peer::{StoredOrigins, StreamOrigins},
    peer::encode,
    prelude::*,
    replica::Row,
    stream_origin::{Attempt, Builds, Place, RETENTION},
};

/// Time in which a host adds streams to the same row.
const ROW_TIME: Duration = Duration::from_secs(1);
/// Rows that a host writes in turn; together they reach back further than streams are remembered.
const ROW_COUNT: u64 = 32;
/// Most streams in a row, which keeps it below the store's limit of 64 KiB.
const MAX_ROW_STREAMS: usize = 4096;
/// The era in a row that may lack builds.
const UNVOUCHED: u64 = u64::MAX;

/// A row of the builds table; its key is the service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct BuildRow {
    /// The builds at which streams of the service may have begun lately, in ascending order.
    builds: Vec<String>,
    /// The store's era in which the row was written. A store that comes back from a copy may have lost
    /// a later one.
    #[serde(default)]
    era: u64,
}

#[derive(Clone, Debug)]
struct StoredRow {
    row: BuildRow,
    version: u64,
}

/// A change of a row of the builds table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The service.
    pub service: Service,
    /// The new value.
    pub value: Bytes,
    /// The version that the row must have, 0 if there must be none.
    pub expected_version: u64,
}

/// What a host knows of the builds table.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// The store's era when the table was last read; `None` before the first time.
    era: Option<u64>,
    rows: HashMap<Service, StoredRow>,
    /// Services of which this host has known all builds since it read their rows.
    known: HashSet<Service>,
    /// Whether services without a row have had no build before this host's start.
    knows_others: bool,
}

impl Ledger {
    /// Returns whether the table has been read in the store's present era, `era`.
    pub fn is_read(&self, era: u64) -> bool {
        self.era.is_some_and(|it| it >= era)
    }

    /// Applies the whole table as of an era of the store. Returns the builds that this host may not have
    /// seen.
    pub fn apply(&mut self, era: u64, rows: Vec<Row>) -> Vec<(Service, Build)> {
        let is_first = self.era.is_none();
        let mut news = Vec::new();
        let mut has_unreadable = false;
        let former = std::mem::take(&mut self.rows);
        for Row { key, value, version } in rows {
            let Some(value) = value else { continue };
            let service = Service::new(key);
            let Ok(row) = serde_json::from_slice::<BuildRow>(&value) else {
                log::warn!(service = service.as_str(), version = version;
                    "row of builds cannot be read");
                has_unreadable = true;
                let row = BuildRow { builds: Vec::new(), era: UNVOUCHED };
                self.rows.insert(service, StoredRow { row, version });
                continue;
            };
            let known = former.get(&service).map(|it| it.row.builds.as_slice()).unwrap_or_default();
            let unseen = row.builds.iter().filter(|it| !known.contains(it));
            news.extend(unseen.map(|it| (service.clone(), Build::new(it.clone()))));
            let is_new = !is_first && self.knows_others && !former.contains_key(&service);
            if is_new || is_first && row.era == era {
                self.known.insert(service.clone());
            }
            self.rows.insert(service, StoredRow { row, version });
        }
        if is_first {
            self.knows_others = era == 0 && !has_unreadable;
        }
        self.era = Some(era);
        news
    }

    /// Returns whether this host knows all builds at which streams of a service may have begun, also those
    /// from before its start.
    pub fn knows_builds(&self, service: &Service) -> bool {
        self.known.contains(service) || self.knows_others && !self.rows.contains_key(service)
    }

    /// Returns the changes that make the table hold the builds that this host has seen. A host that does
    /// not know all builds of a service only adds to its row.
    pub fn changes(&self, now: Instant, builds: &Builds) -> Vec<Change> {
        let Some(era) = self.era else { return Vec::new() };
        let change = |service: &Service| {
            let stored = self.rows.get(service);
            let knows_all = builds.covers_all_streams(now) || self.knows_builds(service);
            let mut names: Vec<_> =
                builds.recent(now, service).map(|it| it.as_str().to_owned()).collect();
            if names.is_empty() {
                return None;
            }
            let kept = stored.filter(|_| !knows_all);
            names.extend(kept.into_iter().flat_map(|it| it.row.builds.iter().cloned()));
            names.sort();
            names.dedup();
            // Only a host that knows all builds vouches for the row in a new era of the store.
            let era = if knows_all { era } else { kept.map_or(UNVOUCHED, |it| it.row.era) };
            let row = BuildRow { builds: names, era };
            let is_same = stored.is_some_and(|it| it.row == row);
            (!is_same).then(|| Change {
                service: service.clone(),
                // Serializing strings and numbers cannot fail.
                value: serde_json::to_vec(&row).unwrap_or_default().into(),
                expected_version: stored.map_or(0, |it| it.version),
            })
        };
        builds.services().filter_map(change).collect()
    }
}

/// The row of the streams table that a host adds streams to.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Number of the row, of all rows since the start of the store's clock.
    number: u64,
    /// Counts rows with the same number.
    part: u64,
    streams: Vec<StreamOrigins>,
    count: usize,
    is_stored: bool,
}

impl Batch {
    /// Starts the row for the time `clock` of the store, once the former one is stored.
    pub fn start_row(&mut self, clock: Duration) {
        let number = u64::try_from(clock.as_millis() / ROW_TIME.as_millis()).unwrap_or(u64::MAX);
        let is_full = self.count >= MAX_ROW_STREAMS;
        if !(self.is_stored || self.count == 0) || number == self.number && !is_full {
            return;
        }
        let part = if number == self.number { self.part + 1 } else { 0 };
        *self = Batch { number, part, ..Batch::default() };
    }

    /// Returns how many streams the row has room for.
    pub fn room(&self) -> usize {
        MAX_ROW_STREAMS.saturating_sub(self.count)
    }

    /// Adds a stream.
    pub fn add(&mut self, place: &Place, attempt: Attempt) {
        let (service, build) = (place.service.as_str(), place.build.as_str());
        let at = self.streams.iter().position(|it| it.service == service && it.build == build);
        let at = at.unwrap_or_else(|| {
            self.streams.push(StreamOrigins {
                service: FastStr::new(service),
                build: FastStr::new(build),
                ..StreamOrigins::default()
            });
            self.streams.len() - 1
        });
        self.streams[at].attempts.push(attempt.0);
        self.count += 1;
        self.is_stored = false;
    }

    /// Returns the key and the value of the row if the store does not hold it yet. `clock` is the store's.
    pub fn unstored(&self, host: &Host, clock: Duration) -> Option<(FastStr, Bytes)> {
        if self.is_stored || self.count == 0 {
            return None;
        }
        let key = format!("{}/{}/{}", host.as_str(), self.number % ROW_COUNT, self.part);
        let stored_at_ms = u64::try_from(clock.as_millis()).unwrap_or(u64::MAX);
        let value = encode(&StoredOrigins { origins: self.streams.clone(), stored_at_ms });
        Some((key.into(), value))
    }

    /// Records that the store holds the row.
    pub fn set_stored(&mut self) {
        self.is_stored = true;
    }
}

/// Returns the streams in a row of the streams table, or `None` if they are too old at the time `clock` of
/// the store, or cannot be read.
pub fn parse_streams(value: &Bytes, clock: Duration) -> Option<Vec<StreamOrigins>> {
    let stored = StoredOrigins::decode(value.clone()).ok()?;
    let age = clock.saturating_sub(Duration::from_millis(stored.stored_at_ms));
    (age < RETENTION).then_some(stored.origins)
}
