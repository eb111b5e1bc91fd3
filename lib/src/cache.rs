//! Which parts of prompts the stores of KV cache hold, and what a request fetches and saves.
//!
//! A part is fetched only while the store is known to hold all of it: its completion was
//! reported in the store's present start, and the store has answered a moment ago. Whatever
//! was known is dropped with the first sign that the store may have restarted.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

use crate::{deployment::StoreEntry, dialect::Part, prelude::*, rank};

/// How long a store's last answer vouches for what it holds: shorter than a store needs to
/// come back from a restart.
const VOUCHED: Duration = Duration::from_millis(1100);
/// By then a fetch has ended or is thrown away, counted from the store's last answer.
const FETCH_LIMIT: Duration = Duration::from_millis(1900);
/// How long a part that was to be saved is not saved again.
const SAVING: Duration = Duration::from_secs(4);
/// Parts shorter than this are read faster than they are moved.
const PART_MIN: u32 = 1;
/// Part of a store's room that is used.
const FULL: f64 = 0.97;
/// Part of a store's link that transfers are planned for.
const LINK_PART: f64 = 100.0;
/// A transfer to or from another zone takes so many times as long.
const OTHER_ZONE: f64 = 2.0;
/// Seconds of a store's link that a host may use at once.
const LINK_BURST: f64 = 0.25;
/// A request that fetched and got its first token later than this was held up by transfers.
const HELD_UP: Duration = Duration::from_millis(450);
/// What is left of a store's planned rate after a request was held up.
const BACK_OFF: f64 = 1.0;
/// What is added to the part of the planned rate with each request that was not held up.
const RECOVERY: f64 = 1.0;
/// Least part of the planned rate, to see when the store is fast again.
const RATE_MIN: f64 = 0.03;
/// Parts that are remembered as being saved.
const SAVES: usize = 8192;

/// Parts of one request, one place for each.
pub type Places = SmallVec<[Option<SocketAddr>; 4]>;

/// One change of what a store holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Whether the part is there now.
    pub held: bool,
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
    pub next: u64,
    /// Whether changes before these are missing.
    pub gap: bool,
    /// The clock by which stores and engines judge the end of a fetch, in milliseconds.
    pub clock: Option<u64>,
    /// The changes in order.
    pub changes: Vec<Change>,
}

/// Where the parts of a request are fetched from and saved to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// For each part, the store that holds it.
    pub fetch: Places,
    /// For each part, the store that is to hold it.
    pub save: Places,
    /// When a fetch is thrown away, by the stores' clock in milliseconds.
    pub until: Option<u64>,
}

#[derive(Clone, Debug)]
struct Store {
    entry: StoreEntry,
    boot: Option<u64>,
    next: u64,
    answered: Instant,
    clock: Option<u64>,
    parts: HashMap<u64, u32>,
    tokens: u64,
    /// Part of the planned rate that is used now.
    rate: f64,
    /// Bytes that may be moved now.
    allowance: f64,
    filled: Instant,
}

/// The request that a plan is for.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Salt under which its parts are found.
    pub salt: &'a str,
    /// Its parts; the last one is its own.
    pub parts: &'a [Part],
    /// Bytes of one token's cache.
    pub token_bytes: u64,
    /// The availability zone of the engine that runs it.
    pub zone: &'a Zone,
    /// An engine whose cache may hold the parts.
    pub origin: Option<SocketAddr>,
    /// Hosts that share the stores.
    pub hosts: usize,
}

/// What is known of all stores.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    stores: Vec<Store>,
    saving: HashMap<u64, Instant>,
}

impl Cache {
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

    /// Returns where the changes of a store are to be read from.
    pub fn next(&self, address: SocketAddr) -> u64 {
        self.store(address).map_or(0, |it| it.next)
    }

    /// Takes a store's answer that was asked for at `asked`.
    pub fn take(&mut self, asked: Instant, address: SocketAddr, changes: &Changes) {
        let Some(store) = self.stores.iter_mut().find(|it| it.entry.address == address) else {
            return;
        };
        if store.boot != Some(changes.boot) || changes.gap {
            store.forget();
            store.boot = Some(changes.boot);
        }
        store.next = changes.next;
        store.answered = asked;
        store.clock = changes.clock;
        for change in &changes.changes {
            store.change(change);
        }
    }

    /// Drops what is known of a store that may have restarted.
    pub fn lose(&mut self, address: SocketAddr) {
        if let Some(store) = self.stores.iter_mut().find(|it| it.entry.address == address) {
            store.forget();
            store.boot = None;
            store.next = 0;
        }
    }

    /// Takes when the first token came of a request that fetched or saved by a plan.
    pub fn settle(&mut self, plan: &Plan, first: Duration) {
        for store in &mut self.stores {
            if !plan.fetch.contains(&Some(store.entry.address)) {
                continue;
            }
            store.rate = match first > HELD_UP {
                true => (store.rate * BACK_OFF).max(RATE_MIN),
                false => (store.rate + RECOVERY).min(1.0),
            };
        }
    }

    /// Plans a request whose parts, but the last one, others share.
    pub fn plan(&mut self, now: Instant, need: &Need<'_>) -> Plan {
        let (salt, parts) = (need.salt, need.parts);
        let shared = parts.len().saturating_sub(1);
        for store in &mut self.stores {
            store.fill(now, need.hosts);
        }
        let mut plan = Plan {
            fetch: SmallVec::from_elem(None, parts.len()),
            save: SmallVec::from_elem(None, parts.len()),
            until: None,
        };
        for (at, part) in parts[..shared].iter().enumerate() {
            if part.tokens < PART_MIN {
                continue;
            }
            let key = key(salt, &part.id);
            let bytes = (u64::from(part.tokens) * need.token_bytes) as f64;
            plan.fetch[at] = need.origin;
            match self.holder(now, key) {
                Some(store) => {
                    if store.spend(bytes, need.zone) {
                        plan.fetch[at] = Some(store.entry.address);
                        let until = store.until();
                        plan.until = Some(plan.until.map_or(until, |it: u64| it.min(until)));
                    }
                }
                None => plan.save[at] = self.home(now, key, bytes, part.tokens, need.zone),
            }
        }
        plan
    }

    /// Returns the tokens that each store holds, for metrics.
    pub fn usage(&self) -> Vec<(SocketAddr, u64, usize)> {
        self.stores.iter().map(|it| (it.entry.address, it.tokens, it.parts.len())).collect()
    }

    fn store(&self, address: SocketAddr) -> Option<&Store> {
        self.stores.iter().find(|it| it.entry.address == address)
    }

    /// Finds the fastest store that holds all of a part.
    fn holder(&mut self, now: Instant, key: u64) -> Option<&mut Store> {
        let stores = self.stores.iter_mut();
        let holders = stores.filter(|it| it.vouches(now) && it.parts.contains_key(&key));
        holders.min_by_key(|it| it.entry.first_byte)
    }

    /// Finds the store that is to hold a part: the same on every host, as long as it has room.
    fn home(
        &mut self,
        now: Instant,
        key: u64,
        bytes: f64,
        tokens: u32,
        zone: &Zone,
    ) -> Option<SocketAddr> {
        if self.saving.get(&key).is_some_and(|it| now.since(*it) < SAVING) {
            return None;
        }
        let open = self.stores.iter_mut().filter(|it| it.vouches(now) && it.has_room(tokens));
        // Weighted rendezvous hashing: the chance of being first goes with the capacity.
        let weight = |it: &&mut Store| {
            let hash = rank::mix(key ^ it.hash()) >> 11;
            let chance = (hash as f64 + 1.0) / (1_u64 << 53) as f64;
            -(it.entry.tokens as f64) / chance.ln()
        };
        let home = open.max_by(|a, b| weight(a).total_cmp(&weight(b)))?;
        if !home.spend(bytes, zone) {
            return None;
        }
        let home = home.entry.address;
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
            next: 0,
            answered: Instant::default(),
            clock: None,
            parts: HashMap::new(),
            tokens: 0,
            rate: 1.0,
            allowance: 0.0,
            filled: Instant::default(),
        }
    }

    /// Adds what this host may move by now.
    fn fill(&mut self, now: Instant, hosts: usize) {
        let rate = self.entry.bytes_per_second * LINK_PART * self.rate / hosts.max(1) as f64;
        let elapsed = now.since(self.filled).as_secs_f64();
        // A burst is of the whole link: a part may take more than a host's share of a second.
        let most = self.entry.bytes_per_second * LINK_BURST * self.rate;
        self.allowance = (self.allowance + rate * elapsed).min(most);
        self.filled = now;
    }

    /// Takes the bytes of a transfer out of the allowance, if there is any.
    fn spend(&mut self, bytes: f64, zone: &Zone) -> bool {
        if self.allowance <= 0.0 {
            return false;
        }
        let times = if self.entry.zone == *zone { 1.0 } else { OTHER_ZONE };
        self.allowance -= bytes * times;
        true
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
    fn until(&self) -> u64 {
        self.clock.map_or(0, |it| it + FETCH_LIMIT.as_millis() as u64)
    }

    fn change(&mut self, change: &Change) {
        let key = key(&change.salt, &change.part);
        let before = self.parts.remove(&key).unwrap_or(0);
        self.tokens = self.tokens.saturating_sub(before.into());
        if change.held {
            self.parts.insert(key, change.tokens);
            self.tokens += u64::from(change.tokens);
        }
    }

    fn forget(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }
}

fn key(salt: &str, part: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (salt, part).hash(&mut hasher);
    hasher.finish()
}
