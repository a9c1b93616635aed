//! The memory and descriptors that a process uses.

use std::{fs, net};

/// Bytes per kilobyte as `/proc` reports memory.
const BYTES_PER_KB: u64 = 1_024;

/// Returns the resident memory of a process in bytes; 0 if the process has ended.
pub fn resident_memory(id: u32) -> u64 {
    status_bytes(id, "VmRSS:")
}

/// Returns the largest resident memory that a process has had, in bytes; 0 if it has ended.
pub fn peak_resident_memory(id: u32) -> u64 {
    status_bytes(id, "VmHWM:")
}

fn status_bytes(id: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kb.unwrap_or(0) * BYTES_PER_KB
}

/// Returns the number of open descriptors of a process; 0 if it has ended.
pub fn open_descriptors(id: u32) -> usize {
    fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

/// Returns the bytes that the system has received for the connections of a listener and that its
/// process has not read. They count toward the memory limit of a process.
pub fn unread_bytes(listener: net::SocketAddr) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let port = format!(":{:04X}", listener.port());
    let connections = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (local, state, queues) = (*fields.get(1)?, *fields.get(3)?, *fields.get(4)?);
        // The queue of a listening socket holds connections, not bytes.
        let is_listening = state == "0A";
        let unread = queues.split(':').nth(1)?;
        let counts = local.ends_with(&port) && !is_listening;
        counts.then(|| u64::from_str_radix(unread, 16).ok())?
    });
    connections.sum()
}
