//! Tests of the screening of prompt parts: evidence, trials, quarantines and their expiry.

use limpetkeel::{
    CauseDecisionKind, Crash, CrashCause, CrashScreening, MAX_CAUSES_PER_REQUEST, Millis,
    Quarantine, QuarantineUpdate, RequestId, ScreeningVerdict, Timestamp, UpstreamLifetime,
};
use test_case::test_case;

/// A part that all requests of a route share.
const COMMON: CrashCause = CrashCause::Part(1);

/// A part of sound requests.
const SOUND: CrashCause = CrashCause::Part(2);

/// A part that crashes upstreams.
const DEADLY: CrashCause = CrashCause::Part(0xdead);

/// Returns a process of an upstream.
fn upstream(index: u64) -> UpstreamLifetime {
    UpstreamLifetime {
        name: format!("e{index:02}").as_str().try_into().expect("name"),
        start_time: 1,
    }
}

/// Records the crash of an upstream of its own, under the plan with the same number.
fn crash(screening: &mut CrashScreening, now: u64, number: u64, parts: &[CrashCause]) {
    let crash = Crash {
        plan: RequestId(number),
        planned_at: Timestamp(now.saturating_sub(150)),
        upstream: upstream(number),
    };
    screening.record_crash(Timestamp(now), &crash, parts);
}

/// Starts a trial of parts.
fn begin_trial(screening: &mut CrashScreening, now: u64, number: u64, parts: &[CrashCause]) {
    let verdict = screening.screen(Timestamp(now), parts);
    assert_eq!(verdict, ScreeningVerdict::Trial, "at {now}");
    screening.begin_trial(RequestId(number), parts);
}

/// Returns the time until the next trial.
fn retry_after(screening: &mut CrashScreening, now: u64, part: CrashCause) -> Millis {
    match screening.screen(Timestamp(now), &[part]) {
        ScreeningVerdict::Refused { retry_after } => retry_after,
        verdict => panic!("{verdict:?}"),
    }
}

/// Returns a screening in which a part was suspected with two crashes and quarantined at 2 s.
fn quarantined(part: CrashCause) -> CrashScreening {
    let mut screening = CrashScreening::default();
    crash(&mut screening, 0, 1, &[part]);
    crash(&mut screening, 1_000, 2, &[part]);
    begin_trial(&mut screening, 1_500, 3, &[part]);
    crash(&mut screening, 2_000, 3, &[part]);
    screening
}

#[test]
fn a_part_without_evidence_is_not_stored() {
    let mut screening = CrashScreening::default();
    for part in 0..100 {
        let verdict = screening.screen(Timestamp(0), &[CrashCause::Part(part)]);
        assert_eq!(verdict, ScreeningVerdict::Clear);
        screening.record_response(&[CrashCause::Part(part)]);
    }
    assert!(screening.is_empty());
}

#[test]
fn two_crashes_suspect_a_part_and_a_crashed_trial_quarantines_it() {
    let mut screening = CrashScreening::default();
    crash(&mut screening, 0, 1, &[DEADLY]);
    let verdict = screening.screen(Timestamp(10), &[DEADLY]);
    assert_eq!(verdict, ScreeningVerdict::Clear, "one crash");
    crash(&mut screening, 1_000, 2, &[DEADLY]);
    begin_trial(&mut screening, 1_500, 3, &[DEADLY]);
    crash(&mut screening, 2_000, 3, &[DEADLY]);
    assert_eq!(retry_after(&mut screening, 2_000, DEADLY), Millis(10_000));
    let quarantine = Quarantine {
        cause: DEADLY,
        crashes: 3,
    };
    assert_eq!(
        screening.take_updates(),
        [QuarantineUpdate::Imposed(quarantine)]
    );
    let kinds: Vec<_> = screening
        .take_decisions()
        .into_iter()
        .map(|decision| decision.kind)
        .collect();
    assert_eq!(
        kinds,
        [
            CauseDecisionKind::Suspected,
            CauseDecisionKind::TrialStarted,
            CauseDecisionKind::Quarantined
        ]
    );
}

#[test]
fn the_back_off_doubles_with_each_crashed_trial_up_to_a_limit() {
    let mut screening = quarantined(DEADLY);
    let mut now = 2_000;
    let mut back_offs = Vec::new();
    for number in 4..9 {
        let back_off = retry_after(&mut screening, now, DEADLY);
        back_offs.push(back_off.0);
        now += back_off.0;
        begin_trial(&mut screening, now, number, &[DEADLY]);
        now += 500;
        crash(&mut screening, now, number, &[DEADLY]);
    }
    assert_eq!(back_offs, [10_000, 20_000, 40_000, 60_000, 60_000]);
}

#[test]
fn one_request_at_a_time_is_admitted_as_a_trial() {
    let mut screening = CrashScreening::default();
    crash(&mut screening, 0, 1, &[COMMON, DEADLY]);
    crash(&mut screening, 1_000, 2, &[COMMON, DEADLY]);
    begin_trial(&mut screening, 1_100, 3, &[COMMON, DEADLY]);
    assert!(retry_after(&mut screening, 1_200, DEADLY) > Millis::ZERO);
    assert!(retry_after(&mut screening, 1_200, COMMON) > Millis::ZERO);
    // The plan of another request ends.
    screening.end_trial(RequestId(99), &[COMMON, DEADLY]);
    retry_after(&mut screening, 1_200, DEADLY);
}

#[test]
fn a_trial_without_a_result_is_no_strike() {
    let mut suspected = CrashScreening::default();
    crash(&mut suspected, 0, 1, &[DEADLY]);
    crash(&mut suspected, 1_000, 2, &[DEADLY]);
    begin_trial(&mut suspected, 1_100, 3, &[DEADLY]);
    suspected.end_trial(RequestId(3), &[DEADLY]);
    begin_trial(&mut suspected, 1_200, 4, &[DEADLY]);

    let mut screening = quarantined(DEADLY);
    screening.take_updates();
    begin_trial(&mut screening, 12_000, 4, &[DEADLY]);
    screening.end_trial(RequestId(4), &[DEADLY]);
    assert_eq!(screening.take_updates(), []);
    begin_trial(&mut screening, 12_100, 5, &[DEADLY]);
}

#[test]
fn a_response_clears_every_part_of_its_request() {
    let mut screening = quarantined(DEADLY);
    crash(&mut screening, 5_000, 4, &[COMMON]);
    screening.take_updates();
    screening.record_response(&[COMMON, SOUND, DEADLY]);
    assert!(screening.is_empty());
    assert_eq!(screening.take_updates(), [QuarantineUpdate::Lifted(DEADLY)]);
    let verdict = screening.screen(Timestamp(5_000), &[DEADLY]);
    assert_eq!(verdict, ScreeningVerdict::Clear);
}

#[test]
fn sound_requests_with_the_other_parts_keep_running() {
    let mut screening = CrashScreening::default();
    for number in 1..=2 {
        let now = number * 1_000;
        crash(&mut screening, now, number, &[COMMON, SOUND, DEADLY]);
        // Another request on the same upstream breaks off with it, and its retry is served.
        crash(&mut screening, now, number, &[COMMON, SOUND]);
        screening.record_response(&[COMMON, SOUND]);
    }
    let verdict = screening.screen(Timestamp(2_500), &[COMMON, SOUND]);
    assert_eq!(verdict, ScreeningVerdict::Clear);
    begin_trial(&mut screening, 2_500, 3, &[COMMON, SOUND, DEADLY]);
    crash(&mut screening, 3_000, 3, &[COMMON, SOUND, DEADLY]);
    let verdict = screening.screen(Timestamp(3_000), &[COMMON, SOUND]);
    assert_eq!(verdict, ScreeningVerdict::Clear);
    retry_after(&mut screening, 3_000, DEADLY);
}

#[test]
fn a_quarantined_part_explains_the_crash_of_its_trial() {
    let mut screening = quarantined(DEADLY);
    begin_trial(&mut screening, 12_000, 4, &[COMMON, DEADLY]);
    crash(&mut screening, 12_500, 4, &[COMMON, DEADLY]);
    assert_eq!(screening.len(), 1, "nothing counts against the other part");
}

#[test]
fn simultaneous_crashes_have_one_cause() {
    let mut screening = CrashScreening::default();
    // A zone is lost: all upstreams break off within a tenth of a second.
    for number in 0..20 {
        crash(&mut screening, 1_000 + number * 5, number, &[COMMON]);
    }
    let verdict = screening.screen(Timestamp(1_500), &[COMMON]);
    assert_eq!(verdict, ScreeningVerdict::Clear);
}

#[test]
fn a_retry_that_crashes_at_once_has_a_cause_of_its_own() {
    let mut screening = CrashScreening::default();
    crash(&mut screening, 1_000, 1, &[DEADLY]);
    let retry = Crash {
        plan: RequestId(2),
        planned_at: Timestamp(1_005),
        upstream: upstream(2),
    };
    screening.record_crash(Timestamp(1_100), &retry, &[DEADLY]);
    begin_trial(&mut screening, 1_200, 3, &[DEADLY]);
}

#[test]
fn repeated_resets_of_one_upstream_have_one_cause() {
    let mut screening = CrashScreening::default();
    for attempt in 0..5 {
        let now = attempt * 1_000;
        let reset = Crash {
            plan: RequestId(attempt),
            planned_at: Timestamp(now),
            upstream: upstream(1),
        };
        screening.record_crash(Timestamp(now), &reset, &[COMMON]);
    }
    let verdict = screening.screen(Timestamp(5_000), &[COMMON]);
    assert_eq!(verdict, ScreeningVerdict::Clear);
}

#[test]
fn a_restarted_upstream_can_crash_again() {
    let mut screening = CrashScreening::default();
    crash(&mut screening, 0, 1, &[DEADLY]);
    let restarted = Crash {
        plan: RequestId(2),
        planned_at: Timestamp(3_900),
        upstream: UpstreamLifetime {
            start_time: 2,
            ..upstream(1)
        },
    };
    screening.record_crash(Timestamp(4_000), &restarted, &[DEADLY]);
    begin_trial(&mut screening, 4_100, 3, &[DEADLY]);
}

#[test]
fn evidence_expires_without_further_crashes() {
    let mut screening = CrashScreening::default();
    crash(&mut screening, 0, 1, &[DEADLY]);
    crash(&mut screening, 3_500_000, 2, &[DEADLY]);
    begin_trial(&mut screening, 7_000_000, 3, &[DEADLY]);
    screening.end_trial(RequestId(3), &[DEADLY]);
    let verdict = screening.screen(Timestamp(7_100_000), &[DEADLY]);
    assert_eq!(verdict, ScreeningVerdict::Clear);
    assert!(screening.is_empty());
}

#[test_case(31_000)]
#[test_case(301_000; "more rarely than quarantines last")]
fn a_part_that_comes_rarely_crashes_one_upstream_at_a_time(interval: u64) {
    let mut screening = quarantined(DEADLY);
    for number in 1..=10 {
        let now = 2_000 + number * interval;
        if matches!(
            screening.screen(Timestamp(now), &[DEADLY]),
            ScreeningVerdict::Refused { .. }
        ) {
            continue;
        }
        begin_trial(&mut screening, now, 10 + number, &[DEADLY]);
        crash(&mut screening, now + 100, 10 + number, &[DEADLY]);
        retry_after(&mut screening, now + 101, DEADLY);
    }
}

#[test]
fn two_crashes_of_a_part_that_comes_rarely_suspect_it() {
    let mut screening = CrashScreening::default();
    crash(&mut screening, 0, 1, &[DEADLY]);
    crash(&mut screening, 31_000, 2, &[DEADLY]);
    begin_trial(&mut screening, 62_000, 3, &[DEADLY]);
    crash(&mut screening, 62_100, 3, &[DEADLY]);
    retry_after(&mut screening, 62_101, DEADLY);
}

#[test]
fn a_quarantine_expires_and_is_lifted_for_all() {
    let mut screening = quarantined(DEADLY);
    screening.take_updates();
    let verdict = screening.screen(Timestamp(200_000), &[DEADLY]);
    assert_eq!(verdict, ScreeningVerdict::Trial);
    let verdict = screening.screen(Timestamp(400_000), &[DEADLY]);
    assert_eq!(verdict, ScreeningVerdict::Trial, "suspected");
    assert_eq!(screening.take_updates(), [QuarantineUpdate::Lifted(DEADLY)]);
    let verdict = screening.screen(Timestamp(3_700_000), &[DEADLY]);
    assert_eq!(verdict, ScreeningVerdict::Clear);
    assert!(screening.take_updates().is_empty());
}

#[test]
fn the_number_of_parts_is_bounded_and_quarantines_outlast_single_crashes() {
    let mut screening = quarantined(DEADLY);
    for part in 0..40_000 {
        let now = 3_000 + part / 10;
        crash(&mut screening, now, part, &[CrashCause::Part(part)]);
    }
    assert_eq!(screening.len(), 2 * MAX_CAUSES_PER_REQUEST);
    retry_after(&mut screening, 9_000, DEADLY);
}

#[test]
fn a_part_that_crashes_upstreams_behind_the_parts_of_a_full_head_is_held_back() {
    let mut screening = CrashScreening::default();
    let request = |number: u64| {
        let own = (1..MAX_CAUSES_PER_REQUEST as u64).map(|part| number << 32 | part);
        let mut parts: Vec<_> = own.map(CrashCause::Part).collect();
        parts.push(DEADLY);
        parts
    };
    crash(&mut screening, 0, 1, &request(1));
    crash(&mut screening, 500, 2, &request(2));
    let third = request(3);
    begin_trial(&mut screening, 1_000, 3, &third);
    crash(&mut screening, 1_500, 3, &third);
    retry_after(&mut screening, 2_000, DEADLY);
    let verdict = screening.screen(Timestamp(2_000), &third[..MAX_CAUSES_PER_REQUEST - 1]);
    assert_eq!(verdict, ScreeningVerdict::Clear, "the parts of one crash");
}

#[test]
fn sound_parts_of_full_heads_that_crash_upstreams_are_cleared_by_one_response() {
    let mut screening = CrashScreening::default();
    let sound: Vec<_> = (1..MAX_CAUSES_PER_REQUEST as u64)
        .map(CrashCause::Part)
        .collect();
    let mut deadly = sound.clone();
    deadly.push(DEADLY);
    for number in 1..=2 {
        crash(&mut screening, number * 500, number, &deadly);
    }
    begin_trial(&mut screening, 2_000, 3, &deadly);
    crash(&mut screening, 2_500, 3, &deadly);
    assert_eq!(
        screening.screen(Timestamp(3_000), &sound),
        ScreeningVerdict::Trial,
        "only such a request tells the parts apart"
    );
    screening.record_response(&sound);
    let verdict = screening.screen(Timestamp(3_000), &sound);
    assert_eq!(verdict, ScreeningVerdict::Clear);
    retry_after(&mut screening, 3_000, DEADLY);
}

#[test]
fn a_limited_number_of_parts_of_a_request_is_screened() {
    let mut screening = CrashScreening::default();
    let parts: Vec<_> = (0..5_000).map(CrashCause::Part).collect();
    crash(&mut screening, 0, 1, &parts);
    assert_eq!(screening.len(), MAX_CAUSES_PER_REQUEST);
}

#[test_case(3, 10_000)]
#[test_case(5, 40_000)]
fn known_quarantines_are_not_learned_anew(crashes: u32, back_off: u64) {
    let mut screening = CrashScreening::default();
    let quarantine = Quarantine {
        cause: DEADLY,
        crashes,
    };
    screening.set_quarantines(Timestamp(0), &[quarantine]);
    assert_eq!(retry_after(&mut screening, 0, DEADLY), Millis(back_off));
    begin_trial(&mut screening, back_off, 1, &[DEADLY]);
    crash(&mut screening, back_off + 500, 1, &[DEADLY]);
    let quarantine = Quarantine {
        cause: DEADLY,
        crashes: crashes + 1,
    };
    assert_eq!(
        screening.take_updates(),
        [QuarantineUpdate::Imposed(quarantine)]
    );
}

#[test]
fn a_quarantine_that_is_no_longer_listed_is_lifted() {
    let mut screening = quarantined(DEADLY);
    screening.set_quarantines(Timestamp(2_100), &[]);
    retry_after(&mut screening, 2_100, DEADLY);
    let quarantine = Quarantine {
        cause: DEADLY,
        crashes: 3,
    };
    screening.set_quarantines(Timestamp(2_200), &[quarantine]);
    assert_eq!(
        retry_after(&mut screening, 2_200, DEADLY),
        Millis(9_800),
        "the back-off goes on"
    );
    screening.set_quarantines(Timestamp(2_300), &[]);
    let verdict = screening.screen(Timestamp(2_300), &[DEADLY]);
    assert_eq!(verdict, ScreeningVerdict::Clear);
}

#[test]
fn an_outdated_list_does_not_restore_a_lifted_quarantine() {
    let mut screening = CrashScreening::default();
    let quarantine = |crashes| Quarantine {
        cause: DEADLY,
        crashes,
    };
    screening.set_quarantines(Timestamp(0), &[quarantine(3)]);
    screening.record_response(&[DEADLY]);
    screening.set_quarantines(Timestamp(100), &[quarantine(3)]);
    let verdict = screening.screen(Timestamp(100), &[DEADLY]);
    assert_eq!(verdict, ScreeningVerdict::Clear);
    screening.set_quarantines(Timestamp(200), &[quarantine(4)]);
    retry_after(&mut screening, 200, DEADLY);
}

#[test]
fn a_listed_part_on_trial_stays_on_trial() {
    let mut screening = CrashScreening::default();
    crash(&mut screening, 0, 1, &[DEADLY]);
    crash(&mut screening, 1_000, 2, &[DEADLY]);
    begin_trial(&mut screening, 1_100, 3, &[DEADLY]);
    let quarantine = Quarantine {
        cause: DEADLY,
        crashes: 3,
    };
    screening.set_quarantines(Timestamp(1_200), &[quarantine]);
    crash(&mut screening, 2_000, 3, &[DEADLY]);
    assert_eq!(retry_after(&mut screening, 2_000, DEADLY), Millis(20_000));
}

#[test]
fn a_sound_part_is_not_held_back_with_the_deadly_part_of_other_requests() {
    let mut screening = CrashScreening::default();
    crash(&mut screening, 0, 1, &[SOUND, DEADLY]);
    crash(&mut screening, 1_000, 2, &[SOUND, DEADLY]);
    begin_trial(&mut screening, 1_500, 3, &[SOUND, DEADLY]);
    crash(&mut screening, 2_000, 3, &[SOUND, DEADLY]);
    let verdict = screening.screen(Timestamp(2_100), &[SOUND, DEADLY]);
    assert!(matches!(verdict, ScreeningVerdict::Refused { .. }));
    begin_trial(&mut screening, 2_100, 4, &[SOUND]);
    screening.record_response(&[SOUND]);
    let verdict = screening.screen(Timestamp(2_300), &[SOUND]);
    assert_eq!(verdict, ScreeningVerdict::Clear);
    assert_eq!(retry_after(&mut screening, 2_300, DEADLY), Millis(9_700));
}

#[test]
fn a_deadly_part_is_tried_once_without_a_sound_part_of_the_same_crashes() {
    let mut screening = CrashScreening::default();
    crash(&mut screening, 0, 1, &[SOUND, DEADLY]);
    crash(&mut screening, 1_000, 2, &[SOUND, DEADLY]);
    begin_trial(&mut screening, 1_500, 3, &[SOUND, DEADLY]);
    crash(&mut screening, 2_000, 3, &[SOUND, DEADLY]);
    begin_trial(&mut screening, 2_100, 4, &[DEADLY]);
    crash(&mut screening, 2_300, 4, &[DEADLY]);
    assert_eq!(retry_after(&mut screening, 2_300, DEADLY), Millis(20_000));
    begin_trial(&mut screening, 2_400, 5, &[SOUND]);
}

#[test]
fn a_crashed_trial_counts_beside_other_crashes() {
    let mut screening = CrashScreening::default();
    crash(&mut screening, 0, 1, &[DEADLY]);
    crash(&mut screening, 1_000, 2, &[DEADLY]);
    begin_trial(&mut screening, 1_050, 3, &[DEADLY]);
    crash(&mut screening, 1_210, 4, &[DEADLY]);
    crash(&mut screening, 1_300, 3, &[DEADLY]);
    assert_eq!(retry_after(&mut screening, 1_300, DEADLY), Millis(20_000));
}
