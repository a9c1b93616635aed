//! Tests of the changes that instances forward to each other: redundant ones are removed, and a
//! follower at any revision ends with the same entries.

use limpetkeel::{
    Contact, CrashCause, Era, EvacuationList, IngressDeclaration, InstanceRegistry, Millicores,
    Millis, Quarantine, QuarantineList, QuarantineListEntry, Removal, RequestLimits, Revision,
    StoreChange, StoreChangeLog, StoreChanges, StoreSnapshot, Timestamp, UpstreamRegistry,
    UpstreamRegistryEntry, UpstreamState,
};

fn upstream(name: &str, state: UpstreamState, revision: u64) -> StoreChange {
    StoreChange::Upstream(UpstreamRegistryEntry {
        name: name.try_into().expect("name"),
        pool: "desk".try_into().expect("name"),
        availability_zone: "songino".try_into().expect("name"),
        address: ([127, 0, 0, 1], 8080).into(),
        slots: 6,
        state,
        start_time: 1,
        cold_left: limpetkeel::Millis::ZERO,
        revision: Revision::new(Era(1), revision),
    })
}

fn removed(name: &str, revision: u64) -> StoreChange {
    StoreChange::UpstreamRemoved(
        name.try_into().expect("name"),
        Revision::new(Era(1), revision),
    )
}

fn table(version: u64) -> StoreChange {
    let limits = RequestLimits {
        max_head: limpetkeel::Bytes(1_024),
        max_body: limpetkeel::Bytes(1_024),
        head_timeout: Millis(1_000),
        idle_timeout: Millis(1_000),
    };
    let declaration = IngressDeclaration {
        version,
        routes: Vec::new(),
        pools: Vec::new(),
        workspaces: Vec::new(),
        limits,
    };
    StoreChange::Ingress(declaration.into())
}

fn changes(revision: u64, changes: Vec<StoreChange>) -> StoreChanges {
    let changes = changes
        .into_iter()
        .map(|change| (change, Removal::Doubtful));
    StoreChanges {
        revision: Revision::new(Era(1), revision),
        changes: changes.collect(),
    }
}

/// Returns the versions of the tables among the changes.
fn versions(changes: &StoreChanges) -> Vec<u64> {
    let changes = changes.changes.iter();
    changes
        .filter_map(|(change, _)| match change {
            StoreChange::Ingress(declaration) => Some(declaration.version),
            _ => None,
        })
        .collect()
}

#[test]
fn only_the_newest_of_a_burst_of_tables_is_forwarded() {
    let mut burst = changes(9, vec![table(1), table(4), table(7)]);
    burst.remove_superseded();
    assert_eq!(versions(&burst), [7]);
    let mut log = StoreChangeLog::default();
    log.append(&changes(1, vec![table(1)]));
    log.append(&changes(2, vec![table(4)]));
    let newer = log
        .since(Revision::new(Era(1), 0), Revision::new(Era(1), 2))
        .expect("complete");
    assert_eq!(versions(&newer), [4]);
}

#[test]
fn an_older_table_does_not_supersede_a_newer_one() {
    let mut burst = changes(9, vec![table(7), table(4)]);
    burst.remove_superseded();
    assert!(versions(&burst).contains(&7));
}

#[test]
fn a_draining_entry_is_forwarded_before_its_doubtful_removal() {
    let mut registry = UpstreamRegistry::default();
    let mut burst = changes(
        5,
        vec![upstream("a", UpstreamState::Draining, 4), removed("a", 5)],
    );
    burst.remove_superseded();
    apply(
        &mut registry,
        &changes(1, vec![upstream("a", UpstreamState::Ready, 1)]),
    );
    apply(&mut registry, &burst);
    assert!(!registry.has_ready_upstream());
    assert!(registry.get(&"a".try_into().expect("name")).is_none());
}

fn apply(registry: &mut UpstreamRegistry, changes: &StoreChanges) {
    for (change, removal) in changes.changes.clone() {
        match change {
            StoreChange::Upstream(entry) => {
                registry.upsert(entry);
            }
            StoreChange::UpstreamRemoved(name, at) => {
                registry.remove(Timestamp(0), &name, at, removal);
            }
            _ => {}
        }
    }
}

/// Returns the entries that a registry considers present.
fn entries(registry: &UpstreamRegistry) -> Vec<UpstreamRegistryEntry> {
    registry.entries().cloned().collect()
}

#[test]
fn a_follower_at_any_revision_ends_with_the_same_entries() {
    let batches: Vec<_> = (1..60)
        .map(|revision| {
            let name = format!("u{}", revision * 7 % 13);
            let change = match revision * 5 % 3 {
                0 => upstream(&name, UpstreamState::Ready, revision),
                1 => upstream(&name, UpstreamState::Draining, revision),
                _ => removed(&name, revision),
            };
            changes(revision, vec![change])
        })
        .collect();
    let mut log = StoreChangeLog::default();
    let mut current = UpstreamRegistry::default();
    for batch in &batches {
        log.append(batch);
        apply(&mut current, batch);
    }
    let newest = Revision::new(Era(1), batches.len() as u64);
    for known in 0..batches.len() {
        let mut follower = UpstreamRegistry::default();
        for batch in &batches[..known] {
            apply(&mut follower, batch);
        }
        let forwarded = log.since(Revision::new(Era(1), known as u64), newest);
        apply(&mut follower, &forwarded.expect("the log is complete"));
        assert_eq!(entries(&follower), entries(&current), "after {known}");
    }
}

#[test]
fn a_burst_of_restarts_fits_into_the_log() {
    let mut log = StoreChangeLog::default();
    let contact = |number: u64| Contact {
        name: format!("n{number}").as_str().try_into().expect("name"),
        availability_zone: "songino".try_into().expect("name"),
        address: ([127, 0, 0, 1], 7000).into(),
        processor: Millicores(500),
    };
    for revision in 1..=1_500 {
        let change = StoreChange::Instance(contact(revision % 300));
        log.append(&changes(revision, vec![change]));
    }
    let all = log
        .since(Revision::new(Era(1), 0), Revision::new(Era(1), 1_500))
        .expect("complete");
    assert_eq!(all.changes.len(), 300);
}

#[test]
fn a_snapshot_is_forwarded_as_the_changes_that_lead_to_it() {
    let ready = |name: &str, revision| match upstream(name, UpstreamState::Ready, revision) {
        StoreChange::Upstream(entry) => entry,
        _ => unreachable!(),
    };
    let contact = |name: &str| Contact {
        name: name.try_into().expect("name"),
        availability_zone: "songino".try_into().expect("name"),
        address: ([127, 0, 0, 1], 7000).into(),
        processor: Millicores(500),
    };
    let mut registry = UpstreamRegistry::default();
    for name in ["kept", "changed", "gone"] {
        registry.upsert(ready(name, 1));
    }
    let mut instances = InstanceRegistry::new(contact("n0"));
    instances.insert(contact("n1"));
    instances.insert(contact("n2"));
    let snapshot = StoreSnapshot {
        revision: Revision::new(Era(1), 9),
        upstreams: vec![ready("kept", 1), ready("changed", 8), ready("new", 9)],
        instances: vec![contact("n2"), contact("n3")],
        ..StoreSnapshot::default()
    };
    let quarantines = QuarantineList::default();
    let forwarded = snapshot.changes_from(
        1,
        &registry,
        &instances,
        &quarantines,
        &EvacuationList::default(),
        Removal::Certain,
    );
    assert_eq!(forwarded.revision, Revision::new(Era(1), 9));
    assert_eq!(forwarded.changes.len(), 5, "{forwarded:?}");
    apply(&mut registry, &forwarded);
    let names: Vec<_> = entries(&registry)
        .iter()
        .map(|entry| (entry.name.to_string(), entry.revision.number()))
        .collect();
    let expected = [("changed", 8), ("kept", 1), ("new", 9)];
    assert_eq!(
        names,
        expected.map(|(name, revision)| (name.to_owned(), revision))
    );
}

fn quarantine(part: u64, crashes: u32, revision: u64) -> QuarantineListEntry {
    let part = CrashCause::Part(part);
    QuarantineListEntry {
        quarantine: Quarantine {
            cause: part,
            crashes,
        },
        revision: Revision::new(Era(1), revision),
    }
}

/// Applies the changes that concern quarantines.
fn apply_quarantines(list: &mut QuarantineList, changes: &StoreChanges) {
    for (change, _) in changes.changes.clone() {
        match change {
            StoreChange::Quarantine(entry) => list.insert(entry),
            StoreChange::QuarantineRemoved(part, at) => list.remove(part, at),
            _ => {}
        }
    }
    list.advance(changes.revision);
}

/// Returns the entries of a list in the order of the parts.
fn quarantines(list: &QuarantineList) -> Vec<QuarantineListEntry> {
    list.stored_entries().copied().collect()
}

#[test]
fn a_snapshot_forwards_new_changed_and_removed_quarantines() {
    let mut list = QuarantineList::default();
    list.replace(
        Timestamp(0),
        vec![
            quarantine(1, 2, 1),
            quarantine(2, 2, 2),
            quarantine(3, 2, 3),
        ],
        Revision::new(Era(1), 3),
    );
    let snapshot = StoreSnapshot {
        revision: Revision::new(Era(1), 9),
        quarantines: vec![
            quarantine(1, 2, 1),
            quarantine(2, 5, 8),
            quarantine(4, 2, 9),
        ],
        ..StoreSnapshot::default()
    };
    let instances = InstanceRegistry::new(Contact {
        name: "n0".try_into().expect("name"),
        availability_zone: "songino".try_into().expect("name"),
        address: ([127, 0, 0, 1], 7000).into(),
        processor: Millicores(500),
    });
    let upstreams = UpstreamRegistry::default();
    let forwarded = snapshot.changes_from(
        0,
        &upstreams,
        &instances,
        &list,
        &EvacuationList::default(),
        Removal::Certain,
    );
    assert_eq!(forwarded.changes.len(), 3, "{forwarded:?}");
    apply_quarantines(&mut list, &forwarded);
    assert_eq!(quarantines(&list), snapshot.quarantines);
}

#[test]
fn a_follower_at_any_revision_ends_with_the_same_quarantines() {
    let batches: Vec<_> = (1..60)
        .map(|revision| {
            let part = revision * 7 % 13;
            let change = match revision * 5 % 3 {
                0 | 1 => StoreChange::Quarantine(quarantine(part, revision as u32, revision)),
                _ => StoreChange::QuarantineRemoved(
                    CrashCause::Part(part),
                    Revision::new(Era(1), revision),
                ),
            };
            changes(revision, vec![change])
        })
        .collect();
    let mut log = StoreChangeLog::default();
    let mut current = QuarantineList::default();
    for batch in &batches {
        log.append(batch);
        apply_quarantines(&mut current, batch);
    }
    let newest = Revision::new(Era(1), batches.len() as u64);
    for known in 0..batches.len() {
        let mut follower = QuarantineList::default();
        for batch in &batches[..known] {
            apply_quarantines(&mut follower, batch);
        }
        let forwarded = log.since(Revision::new(Era(1), known as u64), newest);
        let forwarded = forwarded.expect("the log is complete");
        apply_quarantines(&mut follower, &forwarded);
        assert_eq!(
            quarantines(&follower),
            quarantines(&current),
            "after {known}"
        );
    }
}

#[test]
fn only_the_newest_change_of_a_quarantined_part_is_forwarded() {
    let mut burst = changes(
        9,
        vec![
            StoreChange::Quarantine(quarantine(1, 2, 6)),
            StoreChange::Quarantine(quarantine(2, 2, 7)),
            StoreChange::Quarantine(quarantine(1, 3, 8)),
            StoreChange::QuarantineRemoved(CrashCause::Part(2), Revision::new(Era(1), 9)),
        ],
    );
    burst.remove_superseded();
    assert_eq!(burst.changes.len(), 2, "{burst:?}");
    let mut list = QuarantineList::default();
    apply_quarantines(&mut list, &burst);
    assert_eq!(quarantines(&list), [quarantine(1, 3, 8)]);
}

#[test]
fn a_log_reaches_back_to_no_revision_of_an_earlier_era() {
    let mut log = StoreChangeLog::default();
    log.append(&changes(40, vec![removed("a", 40)]));
    log.reset(Revision::new(Era(2), 30));
    let newest = Revision::new(Era(2), 41);
    log.append(&StoreChanges {
        revision: newest,
        ..changes(41, vec![removed("b", 41)])
    });
    for known in [
        Revision::new(Era(1), 29),
        Revision::new(Era(1), 41),
        Revision::new(Era(1), 50),
        Revision::new(Era(2), 29),
    ] {
        assert!(log.since(known, newest).is_none(), "{known}");
    }
    let forwarded = log.since(Revision::new(Era(2), 30), newest);
    assert_eq!(forwarded.expect("complete").changes.len(), 1);
}
