//! Samples the processor time, memory and network traffic of running instances.

use std::{fs, time};

use crate::fleet::{self, Fleet};

/// The number of clock ticks per second. `/proc` reports processor time in clock ticks.
const TICKS_PER_SECOND: f64 = 100.0;

/// The counters of one instance at one time.
#[derive(Clone, Copy, Debug, Default)]
pub struct CounterSample {
    ticks: u64,
    memory_kb: u64,
    peer_bytes: f64,
    peer_messages: f64,
    report_bytes: f64,
}

/// The resource use of one instance.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct InstanceUsage {
    /// Processor time, in percent of one core.
    pub core_percent: f64,
    /// Resident memory in megabytes.
    pub memory_mb: f64,
    /// Traffic on peer links in both directions, including headers, in kilobytes per second.
    pub peer_kb_per_second: f64,
    /// Messages sent to peers per second.
    pub peer_messages_per_second: f64,
    /// Traffic of load reports without HTTP headers, in kilobytes per second.
    pub report_kb_per_second: f64,
}

impl InstanceUsage {
    /// Returns the usage between two samples taken `span` apart.
    pub fn between(
        before: &CounterSample,
        after: &CounterSample,
        span: time::Duration,
    ) -> InstanceUsage {
        let seconds = span.as_secs_f64();
        let ticks = after.ticks.saturating_sub(before.ticks) as f64;
        InstanceUsage {
            core_percent: ticks / TICKS_PER_SECOND / seconds * 100.0,
            memory_mb: after.memory_kb as f64 / 1e3,
            peer_kb_per_second: (after.peer_bytes - before.peer_bytes) / seconds / 1e3,
            peer_messages_per_second: (after.peer_messages - before.peer_messages) / seconds,
            report_kb_per_second: (after.report_bytes - before.report_bytes) / seconds / 1e3,
        }
    }

    /// Returns the mean of each field.
    pub fn mean(usages: &[InstanceUsage]) -> InstanceUsage {
        let count = usages.len().max(1) as f64;
        let mean = |field: fn(&InstanceUsage) -> f64| usages.iter().map(field).sum::<f64>() / count;
        InstanceUsage::from_fields(mean)
    }

    /// Returns the highest value of each field.
    pub fn largest(usages: &[InstanceUsage]) -> InstanceUsage {
        InstanceUsage::from_fields(|field| usages.iter().map(field).fold(0.0, f64::max))
    }

    fn from_fields(combine: impl Fn(fn(&InstanceUsage) -> f64) -> f64) -> InstanceUsage {
        InstanceUsage {
            core_percent: combine(|usage| usage.core_percent),
            memory_mb: combine(|usage| usage.memory_mb),
            peer_kb_per_second: combine(|usage| usage.peer_kb_per_second),
            peer_messages_per_second: combine(|usage| usage.peer_messages_per_second),
            report_kb_per_second: combine(|usage| usage.report_kb_per_second),
        }
    }
}

/// Samples the counters of every daemon.
///
/// # Errors
///
/// Returns an error if a daemon does not respond.
pub async fn sample_all(fleet: &Fleet) -> fleet::Result<Vec<CounterSample>> {
    let mut samples = Vec::with_capacity(fleet.daemons.len());
    for daemon in &fleet.daemons {
        let text = fleet.get_text(&format!("{}/metrics", daemon.url())).await?;
        let mut sample = CounterSample {
            peer_bytes: sum_metric(&text, "limpetkeel_peer_bytes_total"),
            peer_messages: sum_metric(&text, "limpetkeel_peer_messages_total"),
            report_bytes: sum_metric(&text, "limpetkeel_upstream_poll_bytes_total"),
            ..CounterSample::default()
        };
        if let Some(process) = &daemon.process {
            sample.ticks = cpu_ticks(process.id());
            sample.memory_kb = resident_memory_kb(process.id());
        }
        samples.push(sample);
    }
    Ok(samples)
}

/// Returns the sum of a metric over all of its label values.
fn sum_metric(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

fn cpu_ticks(id: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // Of the fields after the process name, the 12th and 13th are the user and system time.
    let fields = stat
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .skip(11)
        .take(2);
    fields.filter_map(|field| field.parse::<u64>().ok()).sum()
}

fn resident_memory_kb(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse().ok())
        .unwrap_or(0)
}
