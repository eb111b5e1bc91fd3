//! Index of the prompt parts that KV cache stores hold. Plans which parts the engine of a request
//! fetches from stores, and which ones it saves there. No I/O.
//!
//! A part is fetched only while the store is known to hold all of it: the store has reported it
//! complete since its last start, and has responded recently. All parts of a store are dropped at
//! the first sign that it may have restarted.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
};

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{
    codec::Part,
    configuration::StoreEntry,
    popularity::Popularity,
    prelude::*,
    rendezvous,
    store_latency::Latencies,
    store_link::{Links, Transfer},
};

/// Age of a store's last response up to which the index trusts it: shorter than a restart of a
/// store takes.
const MAX_RESPONSE_AGE: Duration = Duration::from_millis(1100);
/// Time from the store's last response after which a fetch has ended or its result is discarded.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(1900);
/// How long no other request of this host saves a part that one was told to save.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);
/// Fewest tokens of a part that is fetched or saved: an engine computes a shorter one faster than
/// it is transferred. Parts after a skipped one cannot be used, though, so the minimum leaves out
/// only parts of unknown length, which have 0 tokens.
const MIN_PART_TOKENS: u32 = 1;
/// Fraction of a store's capacity that is used.
const MAX_FILL: f64 = 0.97;
/// Fewest tokens of a fetch that shows how fast a store is.
const MIN_MEASURED_TOKENS: u32 = 1000;
/// Factor on the capacity of stores in the engine's own zone when the store for a part is chosen.
const SAME_ZONE_WEIGHT: f64 = 3.0;
/// Time for which an engine keeps a part that no request uses. A part that its requests use more
/// often is in its cache.
const ENGINE_RETENTION: Duration = Duration::from_secs(1);
/// Uses per second, over all hosts, from which a part may always use the links: many prompts begin
/// with it, and nothing that follows it can be used without it.
const POPULAR_RATE: f64 = 1.0;
/// Latest changes of a store that are kept, to send them to other hosts.
const MAX_LOGGED_CHANGES: usize = 4096;
/// Number of recorded saves at which those older than `SAVE_INTERVAL` are removed.
const RECENT_SAVES_LIMIT: usize = 8192;

/// For each part of a request, the address to fetch it from or save it to, if any.
pub type Locations = SmallVec<[Option<SocketAddr>; 4]>;

/// A change in the contents of a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Whether the store holds the part after the change.
    pub present: bool,
    /// The salt under which the part is found.
    pub salt: FastStr,
    /// The part's id.
    pub part: FastStr,
    /// Tokens of the part that the store holds after the change.
    pub tokens: u32,
}

/// A store's response to a call for changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Identifies the store's process start.
    pub boot: u64,
    /// Cursor from which the next response continues.
    pub cursor: u64,
    /// Whether changes between the requested cursor and these are missing.
    pub gap: bool,
    /// The stores' clock, in milliseconds, by which stores and engines check the deadline of a
    /// fetch.
    pub clock_ms: Option<u64>,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}

/// A part in a store. It has been removed from the store if it has no tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPart {
    /// Hash of the part's salt and id.
    pub key: u64,
    /// Tokens of the part that the store holds.
    pub tokens: u32,
}

/// Contents of a store, or changes in them, as one host sends them to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreUpdate {
    /// The store's address.
    pub address: SocketAddr,
    /// Identifies the store's process start.
    pub boot: u64,
    /// Cursor from which the store's next response continues.
    pub cursor: u64,
    /// Whether `parts` holds all parts in the store, and not only changes.
    pub is_snapshot: bool,
    /// Time since the store's last response was requested.
    pub age: Duration,
    /// The stores' clock in the store's last response, in milliseconds.
    pub clock_ms: u64,
    /// Time since that response was received.
    pub clock_age: Duration,
    /// The parts, or the changed ones.
    pub parts: Vec<CachedPart>,
}

/// Where the parts of a request are fetched from and saved to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// For each part, the store or engine to fetch it from.
    pub fetch: Locations,
    /// For each part, the store to save it to.
    pub save: Locations,
    /// Deadline of the fetches, in milliseconds of the stores' clock. Later results are discarded.
    pub fetch_deadline_ms: Option<u64>,
    /// Stores whose speed affects the time to the first token.
    measured_stores: SmallVec<[SocketAddr; 4]>,
    /// Lookup result of each part, for the log.
    lookups: SmallVec<[Lookup; 4]>,
}

/// Where the longest cached part of a prompt can be fetched from.
#[derive(Clone, Debug, PartialEq)]
pub struct Source {
    /// The availability zone of the store that holds it.
    pub zone: Zone,
    /// How much longer the fetch takes for an engine in another zone.
    pub other_zone_delay: Duration,
}

/// Result of looking up a part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// A store holds the part.
    Hit,
    /// A store holds the part but is skipped because it is slow.
    Skipped,
    /// A store holds the part, but its network link is needed for other parts.
    LinkBusy,
    /// No store holds the part; this request saves it.
    MissSaved,
    /// No store holds the part, and another request saves it or no store has room.
    Miss,
    /// No store holds the part, and the network link to save it is needed for other parts.
    MissLinkBusy,
}

impl Plan {
    /// Returns the lookup results, one letter for each part: `f` for a hit, `p` for a skipped
    /// store, `b` for a busy link, `s` for a miss that is saved, `x` for one that is not saved because
    /// of a busy link, `-` for any other miss.
    pub fn summary(&self) -> String {
        let letter = |it: &Lookup| match it {
            Lookup::Hit => 'f',
            Lookup::Skipped => 'p',
            Lookup::LinkBusy => 'b',
            Lookup::MissSaved => 's',
            Lookup::Miss => '-',
            Lookup::MissLinkBusy => 'x',
        };
        self.lookups.iter().map(letter).collect()
    }
}

/// What the index knows of one store.
#[derive(Clone, Debug)]
struct Store {
    entry: StoreEntry,
    /// Identifies the store's process start; `None` until the store has responded.
    boot: Option<u64>,
    /// Cursor for the next call for changes.
    cursor: u64,
    /// When the store's last response was requested.
    current_as_of: Instant,
    /// The stores' clock in that response, in milliseconds, and when it was received.
    clock: Option<(u64, Instant)>,
    /// Tokens of each part, by the hash of the part's salt and id.
    parts: HashMap<u64, u32>,
    /// Tokens of all parts.
    tokens: u64,
    /// The latest changes, each with the cursor of the response that reported it.
    change_log: VecDeque<(u64, CachedPart)>,
    /// Cursor up to which changes are not in `change_log`.
    log_start: u64,
}

/// The prompt of a request, with what a plan for it depends on.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// Salt under which the prompt's parts are found.
    pub salt: &'a str,
    /// Parts of the prompt in order. All but the last are shared with other requests.
    pub parts: &'a [Part],
    /// The availability zone of the engine that runs the request.
    pub zone: &'a Zone,
    /// An engine whose own cache may hold the parts.
    pub cache_source: Option<SocketAddr>,
    /// Size of one token's KV cache, in bytes.
    pub token_bytes: u64,
    /// Number of engines that share the requests for the prompt's parts.
    pub engines: usize,
    /// Longest useful time of the fetches: after it, the engine had better prefill the prompt.
    pub fetch_budget: Duration,
}

impl Prompt<'_> {
    /// Describes the transfer of one of the prompt's parts from or to a store. `rate` is the number of
    /// uses of the part per second, over all hosts.
    fn transfer(&self, part: u64, tokens: u32, rate: f64, store: &StoreEntry) -> Transfer {
        Transfer {
            part,
            tokens,
            token_bytes: self.token_bytes,
            other_zone: store.zone != *self.zone,
            popular: rate >= POPULAR_RATE,
        }
    }
}

/// Index of the parts that all stores hold.
#[derive(Clone, Debug, Default)]
pub struct Index {
    stores: Vec<Store>,
    /// When each part was last planned to be saved, by the hash of its salt and id.
    recent_saves: HashMap<u64, Instant>,
    latencies: Latencies,
    links: Links,
    popularity: Popularity,
    /// Number of hosts that share the requests.
    hosts: u32,
}

impl Index {
    /// Sets the list of stores. The parts of stores whose configuration is unchanged are kept.
    pub fn set_stores(&mut self, entries: &[StoreEntry]) {
        let mut previous = std::mem::take(&mut self.stores);
        for entry in entries {
            let at = previous.iter().position(|it| it.entry == *entry);
            self.stores.push(match at {
                Some(at) => previous.swap_remove(at),
                None => Store::new(entry),
            });
        }
    }

    /// Sets the number of hosts, which share the requests and the probes of slow stores.
    pub fn set_host_count(&mut self, hosts: usize) {
        self.hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        self.latencies.set_host_count(hosts);
    }

    /// Returns the links of the stores, with the demand for them.
    pub fn links(&mut self) -> &mut Links {
        &mut self.links
    }

    /// Returns the cursor from which to ask a store for changes.
    pub fn cursor(&self, address: SocketAddr) -> u64 {
        self.store(address).map_or(0, |it| it.cursor)
    }

    /// Applies a store's response. `requested_at` is the time before it was requested, and
    /// `received_at` the time when it was received.
    pub fn apply_changes(
        &mut self,
        requested_at: Instant,
        received_at: Instant,
        address: SocketAddr,
        changes: &Changes,
    ) {
        let Some(store) = self.stores.iter_mut().find(|it| it.entry.address == address) else {
            return;
        };
        if store.boot != Some(changes.boot) || changes.gap {
            store.clear();
            store.boot = Some(changes.boot);
            // Hosts with an older cursor of the store are sent a snapshot.
            store.log_start = changes.cursor;
        }
        store.cursor = changes.cursor;
        store.current_as_of = requested_at;
        store.clock = changes.clock_ms.map(|it| (it, received_at));
        for change in &changes.changes {
            let tokens = if change.present { change.tokens } else { 0 };
            store.apply(CachedPart { key: part_key(&change.salt, &change.part), tokens });
        }
    }

    /// Returns the address, process start and cursor of each store; the start is 0 if unknown.
    pub fn cursors(&self) -> Vec<(SocketAddr, u64, u64)> {
        self.stores.iter().map(|it| (it.entry.address, it.boot.unwrap_or(0), it.cursor)).collect()
    }

    /// Returns the update that brings another host's index of a store up to date. `boot` and
    /// `cursor` tell what the other host has. Returns `None` while this host has no recent response
    /// of the store.
    pub fn export(
        &self,
        now: Instant,
        address: SocketAddr,
        boot: u64,
        cursor: u64,
    ) -> Option<StoreUpdate> {
        let store = self.store(address).filter(|it| it.is_current(now))?;
        let is_snapshot = store.boot != Some(boot) || cursor < store.log_start;
        let parts = match is_snapshot {
            true => store.parts.iter().map(|it| CachedPart { key: *it.0, tokens: *it.1 }).collect(),
            false => store.change_log.iter().filter(|it| it.0 > cursor).map(|it| it.1).collect(),
        };
        Some(StoreUpdate {
            address,
            boot: store.boot?,
            cursor: store.cursor,
            is_snapshot,
            age: now.since(store.current_as_of),
            clock_ms: store.clock?.0,
            clock_age: now.since(store.clock?.1),
            parts,
        })
    }

    /// Applies another host's update of a store. `requested_at` is the time before the update was
    /// requested.
    pub fn import(&mut self, requested_at: Instant, update: &StoreUpdate) {
        let Some(store) = self.stores.iter_mut().find(|it| it.entry.address == update.address)
        else {
            return;
        };
        let current_as_of = requested_at.saturating_sub(update.age);
        if update.is_snapshot || store.boot != Some(update.boot) {
            store.clear();
            store.boot = Some(update.boot);
            store.log_start = update.cursor;
        }
        if !update.is_snapshot && current_as_of < store.current_as_of {
            return;
        }
        store.cursor = update.cursor;
        store.current_as_of = current_as_of;
        store.clock = Some((update.clock_ms, requested_at.saturating_sub(update.clock_age)));
        for part in &update.parts {
            store.apply(*part);
        }
    }

    /// Drops all parts of a store that may have restarted.
    pub fn invalidate(&mut self, address: SocketAddr) {
        if let Some(store) = self.stores.iter_mut().find(|it| it.entry.address == address) {
            store.clear();
            store.boot = None;
            store.cursor = 0;
            self.latencies.forget(address);
        }
    }

    /// Records the time to the first token of a planned request. `usual` is the mean of its engine:
    /// only the excess counts against the stores, because an engine may be slow for all requests.
    pub fn record_first_token(
        &mut self,
        now: Instant,
        plan: &Plan,
        ttft: Duration,
        usual: Duration,
    ) {
        self.latencies.record(now, &plan.measured_stores, ttft.saturating_sub(usual));
    }

    /// Plans where the shared parts of a prompt are fetched from and saved to.
    pub fn plan(&mut self, now: Instant, prompt: &Prompt<'_>) -> Plan {
        let (salt, parts) = (prompt.salt, prompt.parts);
        let shared = parts.len().saturating_sub(1);
        let mut plan = Plan {
            fetch: SmallVec::from_elem(None, parts.len()),
            save: SmallVec::from_elem(None, parts.len()),
            fetch_deadline_ms: None,
            ..Plan::default()
        };
        for (index, part) in parts[..shared].iter().enumerate() {
            if part.tokens < MIN_PART_TOKENS {
                continue;
            }
            let key = part_key(salt, &part.id);
            plan.fetch[index] = prompt.cache_source;
            let lookup = match self.find_holder(now, key).map(|it| it.entry.address) {
                Some(address) => self.plan_fetch(now, index, key, address, prompt, &mut plan),
                None => match self.choose_save_store(now, key, part.tokens, prompt) {
                    Ok(address) => {
                        plan.save[index] = Some(address);
                        Lookup::MissSaved
                    }
                    Err(lookup) => lookup,
                },
            };
            plan.lookups.push(lookup);
        }
        plan
    }

    /// Plans the fetch of a part from the store that holds it, unless the store is slow or its link is
    /// needed for other parts.
    fn plan_fetch(
        &mut self,
        now: Instant,
        index: usize,
        key: u64,
        address: SocketAddr,
        prompt: &Prompt<'_>,
        plan: &mut Plan,
    ) -> Lookup {
        let Some(store) = self.stores.iter().find(|it| it.entry.address == address) else {
            return Lookup::Miss;
        };
        let tokens = prompt.parts[index].tokens;
        let rate = self.popularity.record(now, key) * f64::from(self.hosts);
        // Engines keep the parts that most of their requests share; these use no link.
        let resident = rate * ENGINE_RETENTION.as_secs_f64() >= prompt.engines as f64;
        let transfer = prompt.transfer(key, tokens, rate, &store.entry);
        if !resident && !self.links.admit(now, &store.entry, &transfer) {
            return Lookup::LinkBusy;
        }
        if self.latencies.should_skip(now, address) {
            return Lookup::Skipped;
        }
        let deadline_ms = store.fetch_deadline_ms(now, prompt.fetch_budget);
        plan.fetch[index] = Some(address);
        plan.fetch_deadline_ms =
            Some(plan.fetch_deadline_ms.map_or(deadline_ms, |it| it.min(deadline_ms)));
        if tokens >= MIN_MEASURED_TOKENS {
            plan.measured_stores.push(address);
        }
        Lookup::Hit
    }

    /// Returns where the longest shared part of a prompt can be fetched from. `token_bytes` is the size
    /// of one token's KV cache.
    pub fn longest_part_source(
        &mut self,
        now: Instant,
        salt: &str,
        parts: &[Part],
        token_bytes: u64,
    ) -> Option<Source> {
        let shared = &parts[..parts.len().saturating_sub(1)];
        let longest = shared.iter().max_by_key(|it| it.tokens)?;
        let entry = &self.find_holder(now, part_key(salt, &longest.id))?.entry;
        let (zone, address) = (entry.zone.clone(), entry.address);
        let store = self.stores.iter().find(|it| it.entry.address == address)?;
        let delay = self.links.transfer_time(now, &store.entry, longest.tokens, token_bytes);
        Some(Source { zone, other_zone_delay: delay })
    }

    /// Returns the address of each store and the tokens and parts that it holds, for metrics.
    pub fn usage(&self) -> Vec<(SocketAddr, u64, usize)> {
        self.stores.iter().map(|it| (it.entry.address, it.tokens, it.parts.len())).collect()
    }

    fn store(&self, address: SocketAddr) -> Option<&Store> {
        self.stores.iter().find(|it| it.entry.address == address)
    }

    /// Finds the store with the shortest configured time to the first byte of those that hold a
    /// part.
    fn find_holder(&self, now: Instant, key: u64) -> Option<&Store> {
        let stores = self.stores.iter();
        let holders = stores.filter(|it| it.is_current(now) && it.parts.contains_key(&key));
        holders.min_by_key(|it| it.entry.first_byte)
    }

    /// Chooses the store to save a part to, and records the save, or returns why it is not saved. All
    /// hosts choose the same store
    /// for engines in the same zone, as long as it has room.
    fn choose_save_store(
        &mut self,
        now: Instant,
        key: u64,
        tokens: u32,
        prompt: &Prompt<'_>,
    ) -> Result<SocketAddr, Lookup> {
        let rate = self.popularity.record(now, key) * f64::from(self.hosts);
        if self.recent_saves.get(&key).is_some_and(|it| now.since(*it) < SAVE_INTERVAL) {
            return Err(Lookup::Miss);
        }
        let candidates = self.stores.iter().filter(|it| it.is_current(now) && it.has_room(tokens));
        // Weighted rendezvous hashing: a store's chance to rank first is proportional to its
        // capacity, times the zone weight.
        let weight = |it: &&Store| {
            let hash = rendezvous::mix64(key ^ it.address_hash()) >> 11;
            let uniform = (hash as f64 + 1.0) / (1_u64 << 53) as f64;
            let zone_weight = if it.entry.zone == *prompt.zone { SAME_ZONE_WEIGHT } else { 1.0 };
            -(it.entry.tokens as f64) * zone_weight / uniform.ln()
        };
        let chosen = candidates.max_by(|a, b| weight(a).total_cmp(&weight(b)));
        let chosen = chosen.ok_or(Lookup::Miss)?;
        let transfer = prompt.transfer(key, tokens, rate, &chosen.entry);
        if !self.links.admit(now, &chosen.entry, &transfer) {
            return Err(Lookup::MissLinkBusy);
        }
        let chosen = chosen.entry.address;
        if self.recent_saves.len() >= RECENT_SAVES_LIMIT {
            self.recent_saves.retain(|_, it| now.since(*it) < SAVE_INTERVAL);
        }
        self.recent_saves.insert(key, now);
        Ok(chosen)
    }
}

impl Store {
    fn new(entry: &StoreEntry) -> Self {
        Store {
            entry: entry.clone(),
            boot: None,
            cursor: 0,
            current_as_of: Instant::default(),
            clock: None,
            parts: HashMap::new(),
            tokens: 0,
            change_log: VecDeque::new(),
            log_start: 0,
        }
    }

    fn address_hash(&self) -> u64 {
        xxh3_64(self.entry.address.to_string().as_bytes())
    }

    /// Returns whether the store has responded recently enough for its parts to be used.
    fn is_current(&self, now: Instant) -> bool {
        self.boot.is_some() && now.since(self.current_as_of) < MAX_RESPONSE_AGE
    }

    fn has_room(&self, tokens: u32) -> bool {
        (self.tokens + u64::from(tokens)) as f64 <= self.entry.tokens as f64 * MAX_FILL
    }

    /// Returns the deadline of a fetch that is planned now and may take up to `budget`, in
    /// milliseconds of the stores' clock. If that clock is unknown, the deadline is in the past, so
    /// that nothing is fetched.
    fn fetch_deadline_ms(&self, now: Instant, budget: Duration) -> u64 {
        let Some((clock_ms, received_at)) = self.clock else { return 0 };
        let limit = FETCH_TIMEOUT.min(now.since(received_at) + budget);
        clock_ms + limit.as_millis() as u64
    }

    /// Sets the tokens of a part, and logs the change for other hosts.
    fn apply(&mut self, part: CachedPart) {
        let previous = self.parts.remove(&part.key).unwrap_or(0);
        self.tokens = self.tokens.saturating_sub(previous.into());
        if part.tokens > 0 {
            self.parts.insert(part.key, part.tokens);
            self.tokens += u64::from(part.tokens);
        }
        if self.change_log.len() >= MAX_LOGGED_CHANGES {
            let oldest = self.change_log.pop_front();
            self.log_start = oldest.map_or(self.log_start, |it| it.0);
        }
        self.change_log.push_back((self.cursor, part));
    }

    /// Removes all parts and logged changes.
    fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
        self.change_log.clear();
        self.log_start = 0;
    }
}

/// Returns the hash by which the index identifies a part, the same on all hosts.
pub fn part_key(salt: &str, part: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&(salt.len() as u64).to_le_bytes());
    hasher.update(salt.as_bytes());
    hasher.update(part.as_bytes());
    hasher.digest()
}
