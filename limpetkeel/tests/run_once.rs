//! Run-once records, also under arbitrary interleavings of writers.

use limpetkeel::{
    CallKey, Error, RecordUpdate, RunOnceClaim, RunOnceShard, StoredResponse, Timestamp,
    UpdateResult,
};
use proptest::prelude::{Strategy, any, prop, prop_assert, proptest};

fn call(key: u8) -> CallKey {
    CallKey {
        workspace: "w".try_into().expect("name"),
        key: format!("key-{key}").as_str().try_into().expect("key"),
    }
}

fn claim(key: u8, nonce: u64, deadline: u64) -> RecordUpdate {
    RecordUpdate::Claim(RunOnceClaim {
        call: call(key),
        nonce,
        fingerprint: 1,
        claimed: Timestamp(0),
        deadline: Timestamp(deadline),
    })
}

fn answer(size: usize) -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: None,
        body: Some("x".repeat(size)),
    }
}

#[test]
fn a_finished_call_is_replayed_and_a_call_past_its_deadline_is_unknown() {
    let mut shard = RunOnceShard::default();
    assert_eq!(
        shard.apply(Timestamp(0), &claim(1, 1, 100)),
        UpdateResult::Done
    );
    let second = shard.apply(Timestamp(50), &claim(1, 2, 200));
    assert_eq!(second, UpdateResult::Refused(Error::RunOnceInProgress));
    let late = shard.apply(Timestamp(100), &claim(1, 3, 300));
    assert_eq!(late, UpdateResult::Refused(Error::RunOnceUnknown));
    let finish = RecordUpdate::Finish {
        call: call(1),
        nonce: 1,
        answer: answer(3),
    };
    assert_eq!(shard.apply(Timestamp(100), &finish), UpdateResult::Done);
    let replay = shard.apply(Timestamp(100), &claim(1, 4, 400));
    assert_eq!(replay, UpdateResult::Finished(answer(3)));
}

#[test]
fn a_call_whose_response_is_too_large_to_store_stays_finished() {
    let mut shard = RunOnceShard::default();
    shard.apply(Timestamp(0), &claim(1, 1, 100));
    let finish = RecordUpdate::Finish {
        call: call(1),
        nonce: 1,
        answer: answer(5_000),
    };
    shard.apply(Timestamp(0), &finish);
    let again = shard.apply(Timestamp(0), &claim(1, 2, 100));
    assert_eq!(again, UpdateResult::Refused(Error::RunOnceAnswerNotKept));
}

#[test]
fn records_are_kept_until_their_retention_and_deadline_have_passed() {
    let mut shard = RunOnceShard::default();
    let retention = limpetkeel::RUN_ONCE_RETENTION.0;
    shard.apply(Timestamp(0), &claim(1, 1, retention + 10));
    shard.prune(Timestamp(retention + 9));
    assert_eq!(shard.len(), 1);
    shard.prune(Timestamp(retention + 10));
    assert!(shard.is_empty());
}

#[test]
fn a_full_shard_refuses_claims_and_stays_below_the_size_limit() {
    let mut shard = RunOnceShard::default();
    let mut refused = 0;
    for nonce in 0..10_000_u64 {
        let update = RecordUpdate::Claim(RunOnceClaim {
            call: CallKey {
                workspace: "w".try_into().expect("name"),
                key: format!("key-{nonce}").as_str().try_into().expect("key"),
            },
            nonce,
            fingerprint: 1,
            claimed: Timestamp(0),
            deadline: Timestamp(1),
        });
        let applied = shard.apply(Timestamp(0), &update);
        refused += u32::from(applied == UpdateResult::Refused(Error::RunOnceShardFull));
    }
    assert!(refused > 0);
    let encoded = serde_json::to_string(&shard).expect("json");
    assert!(encoded.len() < 1_000_000, "{}", encoded.len());
}

/// One step of one of several writers that share a store with one shard.
#[derive(Clone, Debug)]
enum Step {
    /// The writer reads the shard.
    Read(usize),
    /// The writer writes its claim by compare-and-swap; the response is lost if `lost` is set.
    Write { writer: usize, lost: bool },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let writer = 0..4_usize;
    let step = (writer, any::<bool>(), any::<bool>()).prop_map(|(writer, write, lost)| {
        if write {
            Step::Write { writer, lost }
        } else {
            Step::Read(writer)
        }
    });
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        ..Default::default()
    })]

    #[test]
    fn at_most_one_writer_may_run_a_call(steps in steps()) {
        let (mut version, mut stored) = (0_u64, RunOnceShard::default());
        let mut seen: Vec<Option<(u64, RunOnceShard)>> = vec![None; 4];
        let mut may_run = [false; 4];
        for step in steps {
            match step {
                Step::Read(writer) => seen[writer] = Some((version, stored.clone())),
                Step::Write { writer, lost } => {
                    let Some((expect, mut shard)) = seen[writer].take() else { continue };
                    let before = shard.clone();
                    let applied = shard.apply(Timestamp(0), &claim(1, writer as u64, 100));
                    if shard == before {
                        may_run[writer] |= applied == UpdateResult::Done;
                    } else if expect == version {
                        (version, stored) = (version + 1, shard);
                        may_run[writer] |= !lost && applied == UpdateResult::Done;
                    }
                }
            }
        }
        prop_assert!(may_run.iter().filter(|may| **may).count() <= 1);
    }
}
