//! Invariants that the program checks about itself while it runs.
//!
//! A check that does not hold is counted and makes its caller refuse; in tests it panics
//! as well, so that a run that breaks one cannot pass.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

macro_rules! invariants {
    ($($(#[$doc:meta])* $name:ident: $text:literal;)*) => {
        /// Something that must always hold.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Invariant {
            $($(#[$doc])* $name,)*
        }

        impl Invariant {
            /// All invariants.
            pub const ALL: &[Invariant] = &[$(Invariant::$name,)*];

            /// Returns the name used in metrics and messages.
            pub fn name(self) -> &'static str {
                match self {
                    $(Invariant::$name => $text,)*
                }
            }
        }
    };
}

invariants! {
    /// An answer's frames reach the caller in order, without gap, once each.
    AnswerWhole: "answer_whole";
    /// Nothing follows the end of an answer.
    AnswerEnds: "answer_ends";
    /// A request that is not idempotent is sent at most once.
    SentOnce: "sent_once";
    /// A request refused as not run is not sent.
    RefusalTrue: "refusal_true";
    /// A cold upstream has no more requests from this host than its share.
    ColdShare: "cold_share";
    /// A new request goes only to an upstream that confirmed the model.
    ModelConfirmed: "model_confirmed";
}

const COUNT: usize = Invariant::ALL.len();
static BROKEN: [AtomicU64; COUNT] = [const { AtomicU64::new(0) }; COUNT];
static PANIC: AtomicBool = AtomicBool::new(false);

/// Makes every broken invariant panic, for tests.
pub fn panic_on_violation() {
    PANIC.store(true, Ordering::Relaxed);
}

/// Checks an invariant; returns whether it holds.
///
/// # Panics
///
/// Panics when it does not hold and [`panic_on_violation`] was called.
pub fn check(invariant: Invariant, ok: bool) -> bool {
    if ok {
        return true;
    }
    BROKEN[invariant as usize].fetch_add(1, Ordering::Relaxed);
    assert!(!PANIC.load(Ordering::Relaxed), "invariant {} is broken", invariant.name());
    log::error!(invariant = invariant.name(); "invariant is broken");
    false
}

/// Returns how often an invariant was broken.
pub fn violations(invariant: Invariant) -> u64 {
    BROKEN[invariant as usize].load(Ordering::Relaxed)
}
