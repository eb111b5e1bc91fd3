//! Invariants that the program checks at run time.
//!
//! A violation is counted and logged, and the code that checked the invariant refuses the
//! operation. In tests a violation also panics, so that no test passes with one.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Defines [`Invariant`] and the names of its variants.
macro_rules! invariants {
    ($($(#[$doc:meta])* $name:ident: $text:literal;)*) => {
        /// A condition that must always hold.
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
    /// The frames of an answer reach the caller in order, without gaps, and once each.
    AnswerWhole: "answer_whole";
    /// No frame follows the end of an answer.
    AnswerEnds: "answer_ends";
    /// A request that is not idempotent is sent at most once.
    SentOnce: "sent_once";
    /// A request that is refused as not run was not sent to an upstream.
    RefusalTrue: "refusal_true";
    /// A cold upstream has no more requests from this host than this host's share of its limit.
    ColdShare: "cold_share";
    /// A new request goes only to an upstream that confirmed the model.
    ModelConfirmed: "model_confirmed";
}

const COUNT: usize = Invariant::ALL.len();
/// How often each invariant was violated.
static VIOLATIONS: [AtomicU64; COUNT] = [const { AtomicU64::new(0) }; COUNT];
static PANIC_ON_VIOLATION: AtomicBool = AtomicBool::new(false);

/// Makes every violation panic, for tests.
pub fn panic_on_violation() {
    PANIC_ON_VIOLATION.store(true, Ordering::Relaxed);
}

/// Counts and logs a violation of `invariant` unless `ok` is true, and returns `ok`.
///
/// # Panics
///
/// Panics if `ok` is false and [`panic_on_violation`] was called.
pub fn check(invariant: Invariant, ok: bool) -> bool {
    if ok {
        return true;
    }
    VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed);
    assert!(
        !PANIC_ON_VIOLATION.load(Ordering::Relaxed),
        "invariant {} is violated",
        invariant.name()
    );
    log::error!(invariant = invariant.name(); "invariant is violated");
    false
}

/// Returns how often an invariant was violated.
pub fn violations(invariant: Invariant) -> u64 {
    VIOLATIONS[invariant as usize].load(Ordering::Relaxed)
}
