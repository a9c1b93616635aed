//! Runs selected cells of the fault matrix. The `faults` program runs the complete matrix.

use standins::{
    fleet,
    matrix::{Cell, Fault, Step},
};
use test_case::test_case;

#[test_case(Step::Request, Fault::KeeperKilled)]
#[test_case(Step::Request, Fault::StreamCrossed)]
#[test_case(Step::RunOnce, Fault::ResponseLost)]
#[test_case(Step::RunOnce, Fault::StoreUnavailable)]
#[test_case(Step::TableChange, Fault::PlatformCut)]
#[test_case(Step::Join, Fault::StoreUnavailable)]
#[test_case(Step::Drain, Fault::None)]
#[test_case(Step::OrderUnchecked, Fault::LeaseExpired)]
#[tokio::test(flavor = "multi_thread")]
async fn cell_has_no_violations(step: Step, fault: Fault) {
    fleet::build_programs().expect("programs are built");
    let cell = Cell {
        step,
        faults: vec![fault],
    };
    let violations = cell.check(1).await.expect("the cell runs");
    assert!(violations.is_empty(), "{violations:#?}");
}
