//! Logging to a reader that does not keep up.

use std::{io, sync, time};

use limpetkeeld::log;

/// The number of log lines; more than ten times the capacity of the queue.
const LINES: usize = 50_000;

/// The time limit for logging all lines: far more than writing to a queue takes, far less than
/// waiting for a stalled reader.
const MAX_LOGGING_TIME: time::Duration = time::Duration::from_secs(5);

/// A writer that blocks its first write until the barrier is released, and counts lines.
struct StalledWriter {
    resume: sync::Arc<sync::Barrier>,
    stalled: bool,
    lines: sync::Arc<sync::atomic::AtomicUsize>,
}

impl io::Write for StalledWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if std::mem::take(&mut self.stalled) {
            self.resume.wait();
        }
        let newlines = buf.iter().filter(|byte| **byte == b'\n').count();
        self.lines
            .fetch_add(newlines, sync::atomic::Ordering::SeqCst);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn stalled_writer_does_not_block_logging_and_dropped_lines_are_counted() {
    let resume = sync::Arc::new(sync::Barrier::new(2));
    let written = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
    let out = StalledWriter {
        resume: resume.clone(),
        stalled: true,
        lines: written.clone(),
    };
    let (subscriber, guard, dropped_lines) = log::non_blocking_subscriber("info", out);
    let started = time::Instant::now();
    tracing::subscriber::with_default(subscriber, || {
        for line in 0..LINES {
            tracing::info!(event = "flood", line);
        }
    });
    // The writer is still blocked.
    assert!(
        started.elapsed() < MAX_LOGGING_TIME,
        "{:?}",
        started.elapsed()
    );
    assert_eq!(written.load(sync::atomic::Ordering::SeqCst), 0);
    resume.wait();
    drop(guard);
    let written = written.load(sync::atomic::Ordering::SeqCst);
    let dropped_lines = dropped_lines.dropped_lines();
    assert!(dropped_lines > 0, "the queue is bounded");
    assert_eq!(written + dropped_lines, LINES);
}
