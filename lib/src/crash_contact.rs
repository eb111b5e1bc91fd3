//! Whether a host may lack what other hosts know of crashes: it has just started, was suspended, or was cut off from them.
//! Requests are held meanwhile, for a short time that is bounded whatever the others do. Does no I/O.

use crate::prelude::*;

/// How long requests are held after the start at most. There may be no other host, and nothing to read.
pub const START_HOLD: Duration = Duration::from_secs(1);
/// How long requests are held at most after a loss of contact: until a connection is open again.
pub const MAX_HOLD: Duration = Duration::from_millis(600);
/// Time without a word of any host, or without a turn of this host's own loops, after which it may have missed something.
const MAX_SILENCE: Duration = Duration::from_millis(1500);

/// A time in which requests are held.
#[derive(Clone, Copy, Debug)]
struct Hold {
    began_at: Instant,
    until: Instant,
}

/// How well a host keeps up with what others know of crashes.
#[derive(Clone, Debug)]
pub struct Contact {
    /// When another host last told what it knows. `None` while this host seems to be the only one.
    told_at: Option<Instant>,
    /// When this host's own loops last had a turn.
    turn_at: Instant,
    hold: Option<Hold>,
    /// The silence for which requests were held last, by the last word before it.
    held_for: Option<Instant>,
}

impl Default for Contact {
    /// Returns the contact of a host that has just started.
    fn default() -> Self {
        let hold = Hold { began_at: Instant::ZERO, until: Instant::ZERO + START_HOLD };
        Contact { told_at: None, turn_at: Instant::ZERO, hold: Some(hold), held_for: None }
    }
}

impl Contact {
    /// Records a turn of this host's loops.
    pub fn record_turn(&mut self, now: Instant) {
        self.check(now);
        self.turn_at = now;
    }

    /// Records that another host has told what it knows. Messages that waited while this host was suspended may be old, so
    /// this ends only the hold of the start.
    pub fn record_word(&mut self, now: Instant) {
        self.check(now);
        self.told_at = Some(now);
        self.end_hold(Instant::ZERO);
    }

    /// Records an answer to what this host asked at `asked_at`: from another host, or from the row store.
    pub fn record_answer(&mut self, asked_at: Instant) {
        self.end_hold(asked_at);
    }

    /// Returns until when requests are held, or `None` if they are not. What the row store holds may be a moment old, so a
    /// request that `is_suspected` to crash upstreams waits for the word of another host after the start.
    pub fn held_until(&mut self, now: Instant, is_suspected: bool) -> Option<Instant> {
        self.check(now);
        let start_hold = Instant::ZERO + START_HOLD;
        let waits_for_word = is_suspected && self.told_at.is_none() && now < start_hold;
        self.hold.map(|it| it.until).or(waits_for_word.then_some(start_hold))
    }

    /// Returns whether another host has told what it knows since the start.
    pub fn has_word(&self) -> bool {
        self.told_at.is_some()
    }

    /// Returns since when requests are held, if they are.
    pub fn held_since(&self) -> Option<Instant> {
        self.hold.map(|it| it.began_at)
    }

    fn end_hold(&mut self, asked_at: Instant) {
        self.hold = self.hold.filter(|it| it.began_at > asked_at);
    }

    /// Begins to hold requests if this host has been out of contact, once for each time.
    fn check(&mut self, now: Instant) {
        self.hold = self.hold.filter(|it| it.until > now);
        let Some(told_at) = self.told_at else { return };
        let was_suspended = now.since(self.turn_at) >= MAX_SILENCE;
        let is_cut_off = now.since(told_at) >= MAX_SILENCE && self.held_for != Some(told_at);
        if was_suspended || is_cut_off {
            self.turn_at = now;
            self.held_for = Some(told_at);
            self.hold = Some(Hold { began_at: now, until: now + MAX_HOLD });
        }
    }
}
