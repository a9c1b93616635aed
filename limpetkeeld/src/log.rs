//! Logging: one line of `key=value` pairs for each event.

use std::io;

use tracing_appender::non_blocking;
use tracing_subscriber::{
    EnvFilter, Layer as _, layer::SubscriberExt as _, util::SubscriberInitExt as _,
};

/// The number of lines that are queued for a slow reader; further lines are dropped and counted.
const QUEUE_CAPACITY: usize = 4_096;

fn parse_filter(text: &str) -> EnvFilter {
    EnvFilter::try_new(text).unwrap_or_else(|_| EnvFilter::new("info"))
}

/// Starts logging to standard error with a filter such as `info` or `limpetkeeld=debug`.
///
/// A filter that does not parse is treated as `info`. Only the first call has an effect.
pub fn start(text: &str) {
    let lines = tracing_logfmt::builder()
        .layer()
        .with_writer(std::io::stderr);
    let _ = tracing_subscriber::registry()
        .with(lines.with_filter(parse_filter(text)))
        .try_init();
}

/// Starts logging to standard output without ever blocking on it; see [`non_blocking_subscriber`].
///
/// Only the first call has an effect.
pub fn start_non_blocking(text: &str) -> (non_blocking::WorkerGuard, non_blocking::ErrorCounter) {
    let (subscriber, guard, dropped_lines) = non_blocking_subscriber(text, std::io::stdout());
    let _ = subscriber.try_init();
    (guard, dropped_lines)
}

/// Creates a subscriber that never blocks on `out`: a thread writes the lines, and lines that find
/// its queue full are dropped.
///
/// Returns the subscriber, a guard that writes the queued lines when it is dropped, and a counter
/// of the dropped lines.
pub fn non_blocking_subscriber(
    text: &str,
    out: impl io::Write + Send + 'static,
) -> (
    impl tracing::Subscriber + Send + Sync,
    non_blocking::WorkerGuard,
    non_blocking::ErrorCounter,
) {
    let (writer, guard) = non_blocking::NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUE_CAPACITY)
        .finish(out);
    let dropped_lines = writer.error_counter();
    let lines = tracing_logfmt::builder().layer().with_writer(writer);
    let subscriber = tracing_subscriber::registry().with(lines.with_filter(parse_filter(text)));
    (subscriber, guard, dropped_lines)
}
