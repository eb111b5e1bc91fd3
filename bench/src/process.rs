//! Processor time of threads and memory of the process, as the kernel tells.

use std::{fs, io, time::Duration};

/// Clock ticks a second in `/proc`, the same on all Linux systems of today.
const TICKS_PER_SECOND: u64 = 100;
const PAGE_BYTES: u64 = 4096;

/// Returns the processor time that threads with this name have taken.
pub fn thread_cpu_time(name: &str) -> io::Result<Duration> {
    let mut ticks = 0;
    for entry in fs::read_dir("/proc/self/task")? {
        // A thread may end while the list is read.
        let Ok(stat) = fs::read_to_string(entry?.path().join("stat")) else { continue };
        let Some((head, tail)) = stat.rsplit_once(')') else { continue };
        if head.split_once('(').is_some_and(|(_, it)| it == name) {
            let fields: Vec<_> = tail.split_whitespace().collect();
            let field = |index: usize| fields.get(index).and_then(|it| it.parse().ok());
            ticks += field(11).unwrap_or(0) + field(12).unwrap_or(0);
        }
    }
    Ok(Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND))
}

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> io::Result<u64> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
    Ok(pages.unwrap_or(0) * PAGE_BYTES)
}
