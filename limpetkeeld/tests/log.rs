//! Logs whose reader does not keep up.

use std::{io, sync, time};

use limpetkeeld::log;

/// Many times the lines that the queue holds.
const LINES: usize = 50_000;

/// Far less than a stalled reader would cost, far more than writing to a queue takes.
const UNHINDERED: time::Duration = time::Duration::from_secs(5);

/// A reader that takes nothing until it is told to, then counts lines.
struct Stalled {
    go_on: sync::Arc<sync::Barrier>,
    waits: bool,
    lines: sync::Arc<sync::atomic::AtomicUsize>,
}

impl io::Write for Stalled {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if std::mem::take(&mut self.waits) {
            self.go_on.wait();
        }
        let ends = buf.iter().filter(|byte| **byte == b'\n').count();
        self.lines.fetch_add(ends, sync::atomic::Ordering::SeqCst);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_holds_nobody_up_and_what_is_left_out_is_counted() {
    let go_on = sync::Arc::new(sync::Barrier::new(2));
    let written = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
    let out = Stalled {
        go_on: go_on.clone(),
        waits: true,
        lines: written.clone(),
    };
    let (subscriber, guard, left_out) = log::bounded("info", out);
    let started = time::Instant::now();
    tracing::subscriber::with_default(subscriber, || {
        for line in 0..LINES {
            tracing::info!(event = "flood", line);
        }
    });
    // The reader has taken nothing yet.
    assert!(started.elapsed() < UNHINDERED, "{:?}", started.elapsed());
    assert_eq!(written.load(sync::atomic::Ordering::SeqCst), 0);
    go_on.wait();
    drop(guard);
    let written = written.load(sync::atomic::Ordering::SeqCst);
    let left_out = left_out.dropped_lines();
    assert!(left_out > 0, "the queue is bounded");
    assert_eq!(written + left_out, LINES);
}
