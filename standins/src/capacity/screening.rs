//! The cost of screening requests by the parts of their prompts.

use std::{hint, time};

use limpetkeel::{
    Crash, CrashCause, CrashScreening, MAX_CAUSES_PER_REQUEST, RequestId, Timestamp,
    UpstreamLifetime,
};
use limpetkeeld::relay::port::Codec as _;
use platform::{codec::Codec, names};

/// The number of times each operation is measured.
const ROUNDS: u32 = 200;

/// The cost of screening requests with so many parts.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct ScreeningCost {
    /// The number of parts of each prompt.
    pub parts: usize,
    /// The time to decode a request head.
    pub decode_us: f64,
    /// The time to screen a request while there is no evidence.
    pub screen_us: f64,
    /// The time to screen a request whose parts all have evidence, in a full table.
    pub screen_suspected_us: f64,
    /// The time to record a crash against the parts, in a full table.
    pub crash_us: f64,
    /// The time to clear the parts.
    pub clear_us: f64,
}

/// Returns the mean time of an operation, in microseconds.
fn measure_us(mut operation: impl FnMut(u32)) -> f64 {
    let started = time::Instant::now();
    for round in 0..ROUNDS {
        operation(round);
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

/// Returns causes that differ for each number.
fn causes(number: u32, count: usize) -> Vec<CrashCause> {
    let first = u64::from(number) << 32;
    (0..count as u64)
        .map(|part| CrashCause::Part(first + part))
        .collect()
}

/// Records the crash of an upstream of its own.
fn record_crash(screening: &mut CrashScreening, number: u32, causes: &[CrashCause]) {
    let Ok(name) = format!("upstream-{number}").as_str().try_into() else {
        return;
    };
    let now = Timestamp(u64::from(number));
    let crash = Crash {
        plan: RequestId(u64::from(number)),
        planned_at: now,
        upstream: UpstreamLifetime {
            name,
            start_time: 1,
        },
    };
    screening.record_crash(now, &crash, causes);
}

/// Returns a screening whose table is full.
fn full_screening() -> CrashScreening {
    let mut screening = CrashScreening::default();
    for number in 1_000..1_002 {
        let causes = causes(number, MAX_CAUSES_PER_REQUEST);
        record_crash(&mut screening, number, &causes);
    }
    screening
}

/// Measures the cost of screening requests with so many parts. Returns `None` if a request head
/// cannot hold them.
pub fn measure(parts: usize) -> Option<ScreeningCost> {
    let list: Vec<_> = (0..parts).map(|part| format!("{part:x}:40")).collect();
    let req = http::Request::post("/a/b")
        .header(names::REQUEST_ID, "id")
        .header(http::header::HOST, "desk.example")
        .header(names::PROMPT_PARTS, list.join(","));
    let (head, ()) = req.body(()).ok()?.into_parts();
    Codec.decode_request(&head).ok()?;
    let decode_us = measure_us(|_| {
        let _ = hint::black_box(Codec.decode_request(&head));
    });
    let repeated = causes(1, parts);
    let mut empty = CrashScreening::default();
    let screen_us = measure_us(|round| {
        hint::black_box(empty.screen(Timestamp(u64::from(round)), &repeated));
    });
    let mut screening = full_screening();
    let crash_us = measure_us(|round| record_crash(&mut screening, 2_000 + round, &repeated));
    let now = Timestamp(3_000);
    let screen_suspected_us = measure_us(|_| {
        hint::black_box(screening.screen(now, &repeated));
    });
    let mut clearing = time::Duration::ZERO;
    for round in 0..ROUNDS {
        record_crash(&mut screening, 4_000 + round, &repeated);
        let started = time::Instant::now();
        screening.record_response(&repeated);
        clearing += started.elapsed();
    }
    Some(ScreeningCost {
        parts,
        decode_us,
        screen_us,
        screen_suspected_us,
        crash_us,
        clear_us: clearing.as_secs_f64() * 1e6 / f64::from(ROUNDS),
    })
}
