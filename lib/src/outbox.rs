//! News for other hosts, each item of which is told several times: a message may be lost, or its receiver suspended. Does no
//! I/O.

use std::collections::VecDeque;

use crate::prelude::*;

/// Pauses after which an item is told again. They last longer together than a connection between hosts outlives a loss of
/// contact; after a longer one, hosts ask each other.
const PAUSES: [Duration; 3] =
    [Duration::from_millis(400), Duration::from_millis(1200), Duration::from_millis(2400)];
/// Largest number of items. A host without any other one would collect them for ever.
const MAX_ITEMS: usize = 1024;

#[derive(Clone, Debug)]
struct Entry<T> {
    item: T,
    /// How often it was told.
    tellings: usize,
    /// When it is told next.
    due: Instant,
}

/// Items that are still to be told.
#[derive(Clone, Debug)]
pub struct Outbox<T> {
    entries: VecDeque<Entry<T>>,
}

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Outbox { entries: VecDeque::new() }
    }
}

impl<T> Outbox<T>
where
    T: Clone,
{
    /// Adds an item, which is due at once. Returns false if there is no room for it.
    pub fn push(&mut self, now: Instant, item: T) -> bool {
        let has_room = self.entries.len() < MAX_ITEMS;
        if has_room {
            self.entries.push_back(Entry { item, tellings: 0, due: now });
        }
        has_room
    }

    /// Puts an item in place of one that is still to be told and for which `is_same` returns true. Returns false if there
    /// is none.
    pub fn replace<F>(&mut self, item: T, is_same: F) -> bool
    where
        F: Fn(&T) -> bool,
    {
        let entry = self.entries.iter_mut().find(|it| is_same(&it.item));
        entry.map(|it| it.item = item).is_some()
    }

    /// Returns the items that are due. One that was told before is dropped if `is_current` returns false for it.
    pub fn take_due<F>(&mut self, now: Instant, is_current: F) -> Vec<T>
    where
        F: Fn(&T) -> bool,
    {
        let mut due = Vec::new();
        self.entries.retain_mut(|entry| {
            if entry.due > now {
                return true;
            }
            if entry.tellings > 0 && !is_current(&entry.item) {
                return false;
            }
            due.push(entry.item.clone());
            let pause = PAUSES.get(entry.tellings);
            entry.tellings += 1;
            entry.due = now + pause.copied().unwrap_or_default();
            pause.is_some()
        });
        due
    }

    /// Returns the number of items that are still to be told.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing is to be told.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
