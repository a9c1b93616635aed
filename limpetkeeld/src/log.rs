//! Logs: one line of key=value pairs for each event.

use std::io;

use tracing_appender::non_blocking;
use tracing_subscriber::{
    EnvFilter, Layer as _, layer::SubscriberExt as _, util::SubscriberInitExt as _,
};

/// Lines that wait for a slow reader; those beyond are left out and counted.
const MAX_LINES: usize = 4_096;

fn filter(text: &str) -> EnvFilter {
    EnvFilter::try_new(text).unwrap_or_else(|_| EnvFilter::new("info"))
}

/// Starts logging to standard error with a filter such as `info` or `limpetkeeld=debug`.
///
/// A filter that does not parse counts as `info`. A second call has no effect.
pub fn start(text: &str) {
    let lines = tracing_logfmt::builder()
        .layer()
        .with_writer(std::io::stderr);
    let _ = tracing_subscriber::registry()
        .with(lines.with_filter(filter(text)))
        .try_init();
}

/// Starts logging to standard output without ever waiting for it; see [`bounded`].
///
/// A second call has no effect.
pub fn start_bounded(text: &str) -> (non_blocking::WorkerGuard, non_blocking::ErrorCounter) {
    let (subscriber, guard, left_out) = bounded(text, std::io::stdout());
    let _ = subscriber.try_init();
    (guard, left_out)
}

/// Creates a subscriber that never waits for `out`: a thread writes the lines, and lines that find
/// its queue full are left out.
///
/// The guard writes what waits when it is dropped; the counter tells how many lines were left out.
pub fn bounded(
    text: &str,
    out: impl io::Write + Send + 'static,
) -> (
    impl tracing::Subscriber + Send + Sync,
    non_blocking::WorkerGuard,
    non_blocking::ErrorCounter,
) {
    let (writer, guard) = non_blocking::NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_LINES)
        .finish(out);
    let left_out = writer.error_counter();
    let lines = tracing_logfmt::builder().layer().with_writer(writer);
    let subscriber = tracing_subscriber::registry().with(lines.with_filter(filter(text)));
    (subscriber, guard, left_out)
}
