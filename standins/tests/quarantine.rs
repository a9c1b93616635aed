//! Tests of quarantined parts of prompts: they reach all daemons and outlast them.

use limpetkeel::{PartId, Quarantine};
use platform::{entry, names};
use standins::deployment::daemon::{self, Deployment};

const PART: PartId = PartId(0xab1e);

fn key(part: PartId) -> String {
    format!("{}{}", names::QUARANTINE_PREFIX, entry::encode_part(part))
}

/// Returns the number of times that the daemons have logged an event of a part.
fn count(deployment: &Deployment, event: &str, part: PartId) -> usize {
    let event = format!("event={event} ");
    let part = format!("part={}", entry::encode_part(part));
    let log = deployment.log();
    log.lines()
        .filter(|line| line.contains(&event) && line.contains(&part))
        .count()
}

/// Waits until the daemons have logged an event of a part so many times.
async fn wait_for_count(deployment: &Deployment, event: &str, part: PartId, expected: usize) {
    daemon::wait_until("the daemons log the event", async || {
        count(deployment, event, part) >= expected
    })
    .await
    .unwrap_or_else(|e| panic!("{event}: {e}: {}", deployment.log()));
    assert_eq!(count(deployment, event, part), expected);
}

#[tokio::test]
async fn a_quarantine_reaches_all_daemons_and_outlasts_their_restart() {
    let mut deployment = Deployment::start(3, 1).await.expect("deployment");
    let quarantine = Quarantine {
        part: PART,
        crashes: 2,
    };
    let value = entry::encode_quarantine(&quarantine).expect("entry");
    deployment.store.put(&key(PART), &value);
    wait_for_count(&deployment, "quarantine_listed", PART, 3).await;
    deployment.restart_daemons().expect("restarted");
    wait_for_count(&deployment, "quarantine_listed", PART, 6).await;
    deployment.store.delete(&key(PART));
    wait_for_count(&deployment, "quarantine_unlisted", PART, 3).await;
}

#[tokio::test]
async fn unreadable_quarantines_disturb_no_other_entry() {
    let deployment = Deployment::start(1, 1).await.expect("deployment");
    let unreadable = [
        (key(PartId(1)), b"\xff".as_slice()),
        (key(PartId(2)), b"{\"crashes\": \"many\"}"),
        (
            format!("{}ab1e", names::QUARANTINE_PREFIX),
            b"{\"crashes\": 2}",
        ),
    ];
    for (key, value) in &unreadable {
        deployment.store.put(key, value);
    }
    deployment.store.put(&key(PART), b"{\"crashes\": 2}");
    wait_for_count(&deployment, "quarantine_listed", PART, 1).await;
    let log = deployment.log();
    assert_eq!(log.matches("event=entry_unreadable").count(), 3, "{log}");
    assert_eq!(log.matches("event=quarantine_listed").count(), 1, "{log}");
    for (key, _) in &unreadable {
        deployment.store.delete(key);
    }
    assert_eq!(deployment.get_status(0, "/look/x").await, 200);
}
