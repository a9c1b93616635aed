//! Tests of revisions: their order over eras, and their text.

use limpetkeel::{Era, Revision};
use test_case::test_case;

#[test]
fn a_revision_of_a_later_era_is_newer_whatever_its_number() {
    let lost = Revision::new(Era(1), 47);
    for number in [1, 47, 48] {
        assert!(Revision::new(Era(2), number) > lost);
    }
    assert!(Revision::new(Era(1), 48) > lost);
}

#[test_case("0", Revision::default(); "the default")]
#[test_case("12", Revision::new(Era(0), 12); "without an era")]
#[test_case("3.12", Revision::new(Era(3), 12); "with an era")]
fn a_revision_is_read_as_it_is_written(text: &str, revision: Revision) {
    assert_eq!(revision.to_string(), text);
    assert_eq!(text.parse(), Ok(revision));
}

#[test_case(""; "empty")]
#[test_case("x"; "no number")]
#[test_case("3."; "no number after the era")]
#[test_case("-1"; "negative")]
fn other_text_is_no_revision(text: &str) {
    assert!(text.parse::<Revision>().is_err());
}
