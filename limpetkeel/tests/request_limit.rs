//! Tests of the request limits that upstreams announce to one instance.

#[path = "fixtures/registry.rs"]
mod registry;

use limpetkeel::{AnnouncedLimit, AnnouncedLimits, Millis, RequestRate, Timestamp};
use test_case::test_case;

fn limited(per_second: f64) -> AnnouncedLimit {
    AnnouncedLimit::Limited(RequestRate::try_from(per_second).expect("rate"))
}

#[test_case(-1.0)]
#[test_case(f64::NAN)]
#[test_case(f64::INFINITY)]
fn a_rate_is_finite_and_not_negative(per_second: f64) {
    assert!(RequestRate::try_from(per_second).is_err());
}

#[test]
fn a_limit_holds_until_the_process_names_another_or_none() {
    let registry = registry::registry(&["a"], 1);
    let process = registry::process(&registry, "a");
    let mut limits = AnnouncedLimits::default();
    assert!(!limits.record(Timestamp(0), &process, AnnouncedLimit::Unlimited));
    assert!(limits.notices(Timestamp(0), &registry::pool()).is_empty());
    for (now, limit, is_change) in [
        (100, limited(2.0), true),
        (200, limited(2.0), false),
        (300, limited(3.5), true),
        (400, AnnouncedLimit::Unlimited, true),
    ] {
        assert_eq!(limits.record(Timestamp(now), &process, limit), is_change);
        let notices = limits.notices(Timestamp(now + 50), &registry::pool());
        assert_eq!(notices.len(), 1);
        assert_eq!((notices[0].limit, notices[0].age), (limit, Millis(50)));
    }
}

#[test]
fn a_restart_under_the_same_name_begins_without_a_limit() {
    let (before, after) = (registry::registry(&["a"], 1), registry::registry(&["a"], 2));
    let mut limits = AnnouncedLimits::default();
    limits.record(Timestamp(0), &registry::process(&before, "a"), limited(1.0));
    limits.remove_replaced(&after);
    assert!(limits.notices(Timestamp(0), &registry::pool()).is_empty());
    limits.record(Timestamp(0), &registry::process(&before, "a"), limited(1.0));
    limits.record(
        Timestamp(1),
        &registry::process(&after, "a"),
        AnnouncedLimit::Unlimited,
    );
    assert!(limits.notices(Timestamp(1), &registry::pool()).is_empty());
}

#[test]
fn the_notices_are_of_the_pool_and_bounded_with_the_latest_first() {
    let names: Vec<_> = (0..40).map(|number| format!("u{number:02}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let registry = registry::registry(&names, 1);
    let mut limits = AnnouncedLimits::default();
    for (now, name) in names.iter().enumerate() {
        limits.record(
            Timestamp(now as u64),
            &registry::process(&registry, name),
            limited(1.0),
        );
    }
    let notices = limits.notices(Timestamp(100), &registry::pool());
    assert_eq!(notices.len(), 32);
    assert_eq!(notices[0].upstream.as_str(), "u39");
    let other = "advisor".try_into().expect("name");
    assert!(limits.notices(Timestamp(100), &other).is_empty());
}
