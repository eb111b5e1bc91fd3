//! Processor time of threads and memory of the process, read from `/proc`.

use std::{fs, io, time::Duration};

/// Clock ticks per second in `/proc`; the same on all current Linux systems.
const TICKS_PER_SECOND: u64 = 100;
/// Size of the pages that `/proc/self/statm` counts, in bytes.
const PAGE_BYTES: u64 = 4096;

/// Returns the total user and system time of the running threads with this name, to the clock
/// tick.
///
/// # Errors
///
/// Returns an error when the list of threads cannot be read.
pub fn thread_cpu_time(name: &str) -> io::Result<Duration> {
    let mut ticks = 0;
    for entry in fs::read_dir("/proc/self/task")? {
        // A thread may end after it was listed.
        let Ok(stat) = fs::read_to_string(entry?.path().join("stat")) else { continue };
        let Some((before_name_end, tail)) = stat.rsplit_once(')') else { continue };
        if before_name_end.split_once('(').is_some_and(|(_, it)| it == name) {
            let fields: Vec<_> = tail.split_whitespace().collect();
            let field = |index: usize| fields.get(index).and_then(|it| it.parse().ok());
            // User and system time, fields 14 and 15 of the file; `tail` begins with field 3.
            ticks += field(11).unwrap_or(0) + field(12).unwrap_or(0);
        }
    }
    Ok(Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND))
}

/// Returns the resident memory of this process, in bytes.
///
/// # Errors
///
/// Returns an error when `/proc/self/statm` cannot be read.
pub fn resident_bytes() -> io::Result<u64> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
    Ok(pages.unwrap_or(0) * PAGE_BYTES)
}
