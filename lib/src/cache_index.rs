//! Which parts of prompts the stores of KV cache hold, and what a request fetches and saves.
//!
//! A part is fetched only while the store is known to hold all of it: its completion was
//! reported in the store's present start, and the store has answered a moment ago. Whatever
//! was known is dropped with the first sign that the store may have restarted.

use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

use crate::{
    codec::Part, deployment::StoreEntry, prelude::*, rendezvous, store_latency::Latencies,
};

/// How long a store's last answer vouches for what it holds: shorter than a store needs to
/// come back from a restart.
const VOUCHED: Duration = Duration::from_millis(1100);
/// By then a fetch has ended or is thrown away, counted from the store's last answer.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(1900);
/// How long a part that was to be saved is not saved again.
const SAVING: Duration = Duration::from_secs(4);
/// Parts shorter than this are read faster than they are moved.
const PART_MIN: u32 = 1;
/// Part of a store's room that is used.
const FULL: f64 = 0.97;
/// Fetches shorter than this say nothing of a store's speed.
const TELLING: u32 = 1000;
/// How much more a store in the engine's own zone is preferred for a part than its room says.
const NEAR_WEIGHT: f64 = 3.0;
/// Changes of a store that are remembered for other hosts.
const LOGGED: usize = 4096;
/// Parts that are remembered as being saved.
const SAVES: usize = 8192;

/// Parts of one request, one place for each.
pub type Locations = SmallVec<[Option<SocketAddr>; 4]>;

/// One change of what a store holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Whether the part is there now.
    pub present: bool,
    /// The salt under which it can be found.
    pub salt: FastStr,
    /// The part's id.
    pub part: FastStr,
    /// Tokens of it that are there now.
    pub tokens: u32,
}

/// A store's answer about what has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Identifies the store's present start.
    pub boot: u64,
    /// Where the next answer goes on.
    pub cursor: u64,
    /// Whether changes before these are missing.
    pub gap: bool,
    /// The clock by which stores and engines judge the end of a fetch, in milliseconds.
    pub clock_ms: Option<u64>,
    /// The changes in order.
    pub changes: Vec<Change>,
}

/// A part in a store, by the hash of salt and id; without tokens it is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPart {
    /// The hash.
    pub key: u64,
    /// Tokens of it that are there.
    pub tokens: u32,
}

/// What one host tells another of a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The store.
    pub address: SocketAddr,
    /// Identifies its present start.
    pub boot: u64,
    /// Where its next answer goes on.
    pub cursor: u64,
    /// Whether these are all parts, and not just the changes.
    pub is_snapshot: bool,
    /// Time since the store has answered.
    pub age: Duration,
    /// The store's clock in that answer, in milliseconds.
    pub clock_ms: u64,
    /// The parts.
    pub parts: Vec<CachedPart>,
}

/// Where the parts of a request are fetched from and saved to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// For each part, the store that holds it.
    pub fetch: Locations,
    /// For each part, the store that is to hold it.
    pub save: Locations,
    /// When a fetch is thrown away, by the stores' clock in milliseconds.
    pub fetch_deadline_ms: Option<u64>,
    /// Stores whose speed shows in the time to the first token.
    telling: SmallVec<[SocketAddr; 4]>,
    /// How each part is found, for the log.
    lookups: SmallVec<[Lookup; 4]>,
}

/// How a part of a prompt is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// In a store.
    Hit,
    /// In a store that is passed over, as it is slow.
    Skipped,
    /// Nowhere; it is to be saved.
    MissSaved,
    /// Nowhere; another request saves it, or no store takes it.
    Miss,
}

impl Plan {
    /// Returns how each part is found, one letter a part.
    pub fn summary(&self) -> String {
        let letter = |it: &Lookup| match it {
            Lookup::Hit => 'f',
            Lookup::Skipped => 'p',
            Lookup::MissSaved => 's',
            Lookup::Miss => '-',
        };
        self.lookups.iter().map(letter).collect()
    }
}

#[derive(Clone, Debug)]
struct Store {
    entry: StoreEntry,
    boot: Option<u64>,
    cursor: u64,
    answered: Instant,
    clock_ms: Option<u64>,
    parts: HashMap<u64, u32>,
    tokens: u64,
    /// The last changes, each with where the store's answer led that told it.
    log: VecDeque<(u64, CachedPart)>,
    /// Up to where changes are no longer in the log.
    forgotten: u64,
}

/// The request that a plan is for.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// Salt under which its parts are found.
    pub salt: &'a str,
    /// Its parts; the last one is its own.
    pub parts: &'a [Part],
    /// The availability zone of the engine that runs it.
    pub zone: &'a Zone,
    /// An engine whose cache may hold the parts.
    pub cache_source: Option<SocketAddr>,
}

/// What is known of all stores.
#[derive(Clone, Debug, Default)]
pub struct Index {
    stores: Vec<Store>,
    saving: HashMap<u64, Instant>,
    latencies: Latencies,
}

impl Index {
    /// Takes the list of stores; what is known of those that stay is kept.
    pub fn set_stores(&mut self, entries: &[StoreEntry]) {
        let mut known = std::mem::take(&mut self.stores);
        for entry in entries {
            let at = known.iter().position(|it| it.entry == *entry);
            self.stores.push(match at {
                Some(at) => known.swap_remove(at),
                None => Store::new(entry),
            });
        }
    }

    /// Takes the number of hosts, which share the probes of slow stores.
    pub fn set_host_count(&mut self, hosts: usize) {
        self.latencies.set_host_count(hosts);
    }

    /// Returns where the changes of a store are to be read from.
    pub fn cursor(&self, address: SocketAddr) -> u64 {
        self.store(address).map_or(0, |it| it.cursor)
    }

    /// Takes a store's answer that was asked for at `asked`.
    pub fn apply_changes(&mut self, asked: Instant, address: SocketAddr, changes: &Changes) {
        let Some(store) = self.stores.iter_mut().find(|it| it.entry.address == address) else {
            return;
        };
        if store.boot != Some(changes.boot) || changes.gap {
            store.forget();
            store.boot = Some(changes.boot);
            // Hosts that knew the store before this answer are told everything.
            store.forgotten = changes.cursor;
        }
        store.cursor = changes.cursor;
        store.answered = asked;
        store.clock_ms = changes.clock_ms;
        for change in &changes.changes {
            let tokens = if change.present { change.tokens } else { 0 };
            store.change(CachedPart { key: key(&change.salt, &change.part), tokens });
        }
    }

    /// Returns the stores that are known, with the points up to which they are.
    pub fn cursors(&self) -> Vec<(SocketAddr, u64, u64)> {
        self.stores.iter().map(|it| (it.entry.address, it.boot.unwrap_or(0), it.cursor)).collect()
    }

    /// Returns what has changed in a store since a point, for another host; none while this
    /// host does not know the store.
    pub fn export(
        &self,
        now: Instant,
        address: SocketAddr,
        boot: u64,
        next: u64,
    ) -> Option<Update> {
        let store = self.store(address).filter(|it| it.vouches(now))?;
        let is_snapshot = store.boot != Some(boot) || next < store.forgotten;
        let parts = match is_snapshot {
            true => store.parts.iter().map(|it| CachedPart { key: *it.0, tokens: *it.1 }).collect(),
            false => store.log.iter().filter(|it| it.0 > next).map(|it| it.1).collect(),
        };
        Some(Update {
            address,
            boot: store.boot?,
            cursor: store.cursor,
            is_snapshot,
            age: now.since(store.answered),
            clock_ms: store.clock_ms?,
            parts,
        })
    }

    /// Takes what another host knows of a store; `asked` is the time before it was asked.
    pub fn import(&mut self, asked: Instant, update: &Update) {
        let Some(store) = self.stores.iter_mut().find(|it| it.entry.address == update.address)
        else {
            return;
        };
        let answered = asked.saturating_sub(update.age);
        if update.is_snapshot || store.boot != Some(update.boot) {
            store.forget();
            store.boot = Some(update.boot);
            store.forgotten = update.cursor;
        }
        if !update.is_snapshot && answered < store.answered {
            return;
        }
        store.cursor = update.cursor;
        store.answered = answered;
        store.clock_ms = Some(update.clock_ms);
        for part in &update.parts {
            store.change(*part);
        }
    }

    /// Drops what is known of a store that may have restarted.
    pub fn invalidate(&mut self, address: SocketAddr) {
        if let Some(store) = self.stores.iter_mut().find(|it| it.entry.address == address) {
            store.forget();
            store.boot = None;
            store.cursor = 0;
            self.latencies.forget(address);
        }
    }

    /// Takes when the first token of a planned request came, and how long that takes at its
    /// engine on the whole: an engine that is slow for all says nothing of the store.
    pub fn record_first_token(
        &mut self,
        now: Instant,
        plan: &Plan,
        first: Duration,
        usual: Duration,
    ) {
        self.latencies.record(now, &plan.telling, first.saturating_sub(usual));
    }

    /// Plans a request whose parts, but the last one, others share.
    pub fn plan(&mut self, now: Instant, prompt: &Prompt<'_>) -> Plan {
        let (salt, parts) = (prompt.salt, prompt.parts);
        let shared = parts.len().saturating_sub(1);
        let mut plan = Plan {
            fetch: SmallVec::from_elem(None, parts.len()),
            save: SmallVec::from_elem(None, parts.len()),
            fetch_deadline_ms: None,
            ..Plan::default()
        };
        for (at, part) in parts[..shared].iter().enumerate() {
            if part.tokens < PART_MIN {
                continue;
            }
            let key = key(salt, &part.id);
            plan.fetch[at] = prompt.cache_source;
            match self.holder(now, key).map(|it| (it.entry.address, it.fetch_deadline_ms())) {
                Some((address, deadline_ms)) => {
                    if self.latencies.should_skip(now, address) {
                        plan.lookups.push(Lookup::Skipped);
                        continue;
                    }
                    plan.lookups.push(Lookup::Hit);
                    plan.fetch[at] = Some(address);
                    plan.fetch_deadline_ms = Some(
                        plan.fetch_deadline_ms.map_or(deadline_ms, |it: u64| it.min(deadline_ms)),
                    );
                    if part.tokens >= TELLING {
                        plan.telling.push(address);
                    }
                }
                None => {
                    plan.save[at] = self.home(now, key, part.tokens, prompt);
                    let saved = plan.save[at].is_some();
                    plan.lookups.push(if saved { Lookup::MissSaved } else { Lookup::Miss });
                }
            }
        }
        plan
    }

    /// Returns the zone of the store that holds the longest of the shared parts.
    pub fn longest_part_zone(&self, now: Instant, salt: &str, parts: &[Part]) -> Option<Zone> {
        let shared = &parts[..parts.len().saturating_sub(1)];
        let longest = shared.iter().max_by_key(|it| it.tokens)?;
        let store = self.holder(now, key(salt, &longest.id))?;
        Some(store.entry.zone.clone())
    }

    /// Returns the tokens that each store holds, for metrics.
    pub fn usage(&self) -> Vec<(SocketAddr, u64, usize)> {
        self.stores.iter().map(|it| (it.entry.address, it.tokens, it.parts.len())).collect()
    }

    fn store(&self, address: SocketAddr) -> Option<&Store> {
        self.stores.iter().find(|it| it.entry.address == address)
    }

    /// Finds the fastest store that holds all of a part.
    fn holder(&self, now: Instant, key: u64) -> Option<&Store> {
        let stores = self.stores.iter();
        let holders = stores.filter(|it| it.vouches(now) && it.parts.contains_key(&key));
        holders.min_by_key(|it| it.entry.first_byte)
    }

    /// Finds the store that is to hold a part: the same on every host, as long as it has room.
    fn home(
        &mut self,
        now: Instant,
        key: u64,
        tokens: u32,
        prompt: &Prompt<'_>,
    ) -> Option<SocketAddr> {
        if self.saving.get(&key).is_some_and(|it| now.since(*it) < SAVING) {
            return None;
        }
        let open = self.stores.iter().filter(|it| it.vouches(now) && it.has_room(tokens));
        // Weighted rendezvous hashing: the chance of being first goes with the capacity.
        let weight = |it: &&Store| {
            let hash = rendezvous::mix64(key ^ it.hash()) >> 11;
            let chance = (hash as f64 + 1.0) / (1_u64 << 53) as f64;
            let near = if it.entry.zone == *prompt.zone { NEAR_WEIGHT } else { 1.0 };
            -(it.entry.tokens as f64) * near / chance.ln()
        };
        let home = open.max_by(|a, b| weight(a).total_cmp(&weight(b)))?.entry.address;
        if self.saving.len() >= SAVES {
            self.saving.retain(|_, it| now.since(*it) < SAVING);
        }
        self.saving.insert(key, now);
        Some(home)
    }
}

impl Store {
    fn new(entry: &StoreEntry) -> Self {
        Store {
            entry: entry.clone(),
            boot: None,
            cursor: 0,
            answered: Instant::default(),
            clock_ms: None,
            parts: HashMap::new(),
            tokens: 0,
            log: VecDeque::new(),
            forgotten: 0,
        }
    }

    fn hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.entry.address.hash(&mut hasher);
        hasher.finish()
    }

    fn vouches(&self, now: Instant) -> bool {
        self.boot.is_some() && now.since(self.answered) < VOUCHED
    }

    fn has_room(&self, tokens: u32) -> bool {
        (self.tokens + u64::from(tokens)) as f64 <= self.entry.tokens as f64 * FULL
    }

    /// When a fetch that is planned now must have ended. Without the stores' clock, a time
    /// that has passed: nothing is fetched.
    fn fetch_deadline_ms(&self) -> u64 {
        self.clock_ms.map_or(0, |it| it + FETCH_TIMEOUT.as_millis() as u64)
    }

    fn change(&mut self, part: CachedPart) {
        let before = self.parts.remove(&part.key).unwrap_or(0);
        self.tokens = self.tokens.saturating_sub(before.into());
        if part.tokens > 0 {
            self.parts.insert(part.key, part.tokens);
            self.tokens += u64::from(part.tokens);
        }
        if self.log.len() >= LOGGED {
            let oldest = self.log.pop_front();
            self.forgotten = oldest.map_or(self.forgotten, |it| it.0);
        }
        self.log.push_back((self.cursor, part));
    }

    fn forget(&mut self) {
        self.parts.clear();
        self.tokens = 0;
        self.log.clear();
        self.forgotten = 0;
    }
}

fn key(salt: &str, part: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (salt, part).hash(&mut hasher);
    hasher.finish()
}
