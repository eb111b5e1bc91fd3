//! Promises that are broken on purpose, to show that the checks notice.

use mothvale_platform_standin::engine::Lie;

/// A promise that the stand-ins, or the soak's own observation, break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Upstreams lie.
    Upstreams(Lie),
    /// An upstream leaves without a word.
    SilentDrain,
    /// Zones are evacuated without a word.
    SilentEvacuation,
    /// Keys are revoked without a word.
    SilentRevocation,
    /// Callers use a key that no configuration has.
    UnknownKey,
    /// The configuration's routes are named after a key.
    KeyInName,
    /// Hosts may use almost nothing.
    TinyLimits,
    /// SIGTERM does not reach processes.
    LostSignal,
    /// Processes get SIGKILL soon after SIGTERM.
    ShortGrace,
    /// The log of a host is lost.
    LostLog,
}

/// All mutants, by name, with the check that has to notice.
pub const MUTANTS: [(&str, Mutant, &str); 20] = [
    ("run-twice", Mutant::Upstreams(Lie::RunTwice), "runs-once"),
    ("run-refused", Mutant::Upstreams(Lie::RunRefused), "true-refusals"),
    ("foreign-body", Mutant::Upstreams(Lie::ForeignBody), "whole-answers"),
    ("short-stream", Mutant::Upstreams(Lie::ShortStream), "whole-answers"),
    ("long-deadline", Mutant::Upstreams(Lie::LongDeadline), "deadlines"),
    ("many-arrivals", Mutant::Upstreams(Lie::ManyArrivals), "retry-budget"),
    ("silent-drain", Mutant::SilentDrain, "drains"),
    ("silent-evacuation", Mutant::SilentEvacuation, "evacuations"),
    ("silent-revocation", Mutant::SilentRevocation, "revoked-keys"),
    ("unknown-key", Mutant::UnknownKey, "not-denied"),
    ("old-weights", Mutant::Upstreams(Lie::OldWeights), "older-weights"),
    ("many-holders", Mutant::Upstreams(Lie::ManyHolders), "one-holder"),
    ("silent-limit", Mutant::Upstreams(Lie::SilentLimit), "limits"),
    ("first-build", Mutant::Upstreams(Lie::FirstBuild), "builds"),
    ("key-in-name", Mutant::KeyInName, "no-secrets"),
    ("tiny-limits", Mutant::TinyLimits, "bounded-use"),
    ("lost-signal", Mutant::LostSignal, "ends"),
    ("short-grace", Mutant::ShortGrace, "clean-stops"),
    ("lost-log", Mutant::LostLog, "explained"),
    ("lost-log", Mutant::LostLog, "logged-ends"),
];

/// Returns the mutant of a name.
pub fn by_name(name: &str) -> Option<Mutant> {
    MUTANTS.iter().find(|it| it.0 == name).map(|it| it.1)
}
