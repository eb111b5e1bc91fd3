//! Parses durations and sizes with units, as written in settings.

use std::time::Duration;

use bytesize::ByteSize;

/// Parses a duration such as `1500ms`, `2s` or `1h 30m`.
///
/// # Errors
///
/// Returns what is wrong with the text, such as a missing unit.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text).map_err(|err| format!("{err} (write e.g. `1500ms` or `2s`)"))
}

/// Parses a size in bytes such as `512KiB`.
///
/// # Errors
///
/// Returns what is wrong with the text, such as a missing unit.
pub fn parse_bytes(text: &str) -> Result<usize, String> {
    const HINT: &str = "(write e.g. `16KiB` or `1MiB`)";
    if text.bytes().all(|it| it.is_ascii_digit()) {
        return Err(format!("the unit is missing {HINT}"));
    }
    let size: ByteSize = text.parse().map_err(|err| format!("{err} {HINT}"))?;
    usize::try_from(size.as_u64()).map_err(|_| format!("too large {HINT}"))
}
