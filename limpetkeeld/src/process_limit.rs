//! The limits that the system sets for this process.

use std::fs;

/// The limit on open descriptors if the system does not state one: the usual limit of a process.
const USUAL_OPEN_DESCRIPTORS: u64 = 1_024;

/// The largest limit on open descriptors that is used. Some systems state a limit without end.
const MAX_OPEN_DESCRIPTORS: u64 = 1 << 20;

/// Returns how many descriptors the system lets this process open.
pub fn open_descriptors() -> u64 {
    let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"));
    let stated = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    stated
        .unwrap_or(USUAL_OPEN_DESCRIPTORS)
        .min(MAX_OPEN_DESCRIPTORS)
}
