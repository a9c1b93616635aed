//! Tests of the table of relayed traffic: route matching, API keys, weights and versions.

use std::sync::Arc;

use limpetkeel::{
    Bytes, Denial, Ingress, IngressDeclaration, IngressPoolDeclaration, IngressRouteDeclaration,
    LatencyObjective, Millis, PoolShare, RequestLimits, ResponseForm, RetryPolicy,
    WorkspaceDeclaration,
};
use test_case::test_case;

fn route(name: &str, prefix: &str) -> IngressRouteDeclaration {
    IngressRouteDeclaration {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        prefix: prefix.to_owned(),
        pool_shares: vec![PoolShare {
            pool: "desk".to_owned(),
            weight: 1,
        }],
        form: ResponseForm::Complete,
        retry_policy: RetryPolicy::Restart,
        timeout: Millis(2_000),
        objective: LatencyObjective {
            first_event: Millis(300),
            max_gap: Millis(2_000),
        },
        priority: 2,
        max_sends: 2,
        public: false,
    }
}

fn declaration(version: u64) -> IngressDeclaration {
    IngressDeclaration {
        version,
        routes: vec![route("short", "/a/"), route("long", "/a/b/")],
        pools: vec![IngressPoolDeclaration {
            name: "desk".to_owned(),
            engine: None,
            cold: None,
        }],
        workspaces: vec![WorkspaceDeclaration {
            name: "counter".to_owned(),
            keys: vec!["k1".to_owned()],
            priority: Some(1),
        }],
        limits: RequestLimits {
            max_head: Bytes(16_384),
            max_body: Bytes(1_000_000),
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        },
    }
}

fn ingress(declaration: IngressDeclaration) -> Ingress {
    Ingress::try_from(Arc::new(declaration)).expect("valid")
}

#[test_case("/a/x", Some("short"); "one matching prefix")]
#[test_case("/a/b/x", Some("long"); "the longest prefix")]
#[test_case("/a/b", Some("short"); "a prefix includes its trailing slash")]
#[test_case("/a/bb/", Some("short"); "a longer segment does not match")]
#[test_case("/ab/", None; "no matching prefix")]
#[test_case("/", None; "the root")]
fn the_longest_prefix_selects_the_route(path: &str, expected: Option<&str>) {
    let admitted = ingress(declaration(1)).admit("desk.example", path, Some("k1"));
    match expected {
        Some(name) => assert_eq!(admitted.expect("admitted").route.name().as_str(), name),
        None => assert_eq!(admitted.err(), Some(Denial::UnknownRoute)),
    }
}

#[test]
fn an_unknown_host_has_no_route() {
    let admitted = ingress(declaration(1)).admit("other.example", "/a/", Some("k1"));
    assert_eq!(admitted.err(), Some(Denial::UnknownRoute));
}

#[test_case(None; "missing")]
#[test_case(Some("k2"); "unknown")]
#[test_case(Some(""); "empty")]
fn a_route_that_needs_a_key_denies_an_invalid_one(key: Option<&str>) {
    let admitted = ingress(declaration(1)).admit("desk.example", "/a/", key);
    assert_eq!(admitted.err(), Some(Denial::UnknownKey));
}

/// Guards against a deployment that is open to everyone once its last key was withdrawn.
#[test_case(None; "missing")]
#[test_case(Some("k1"); "withdrawn")]
#[test_case(Some("k2"); "unknown")]
fn no_key_is_valid_while_no_workspace_has_one(key: Option<&str>) {
    let mut edited = declaration(2);
    edited.workspaces[0].keys.clear();
    let admitted = ingress(edited).admit("desk.example", "/a/", key);
    assert_eq!(admitted.err(), Some(Denial::UnknownKey));
}

#[test]
fn a_table_without_workspaces_needs_no_key() {
    let mut edited = declaration(2);
    edited.workspaces.clear();
    let ingress = ingress(edited);
    let admission = ingress
        .admit("desk.example", "/a/", None)
        .expect("admitted");
    assert!(!admission.uses_keys);
}

#[test]
fn a_public_route_needs_no_key_and_has_no_workspace() {
    let mut edited = declaration(1);
    edited.routes[0].public = true;
    let ingress = ingress(edited);
    for key in [None, Some("k1"), Some("unknown")] {
        let admission = ingress.admit("desk.example", "/a/", key).expect("admitted");
        assert_eq!(admission.workspace, None);
        assert!(
            admission.uses_keys,
            "the table has keys, so none is forwarded"
        );
    }
}

#[test]
fn the_priority_of_a_workspace_overrides_that_of_the_route() {
    let admission = ingress(declaration(1))
        .admit("desk.example", "/a/", Some("k1"))
        .expect("admitted");
    assert_eq!(admission.priority(), 1);
}

#[test]
fn the_denial_before_the_first_table_is_no_table() {
    let admitted = Ingress::default().admit("desk.example", "/a/", Some("k1"));
    assert_eq!(admitted.err(), Some(Denial::NoTable));
}

#[test]
fn only_a_newer_version_replaces_the_table() {
    let mut ingress = ingress(declaration(7));
    let mut older = declaration(6);
    older.routes.clear();
    assert_eq!(ingress.replace_if_newer(Arc::new(older)), Ok(false));
    assert_eq!(
        ingress.replace_if_newer(Arc::new(declaration(7))),
        Ok(false)
    );
    assert!(ingress.admit("desk.example", "/a/", Some("k1")).is_ok());
    let mut newer = declaration(9);
    newer.routes.clear();
    assert_eq!(ingress.replace_if_newer(Arc::new(newer)), Ok(true));
    assert_eq!(
        ingress.admit("desk.example", "/a/", Some("k1")).err(),
        Some(Denial::UnknownRoute)
    );
}

#[test]
fn an_invalid_version_does_not_replace_the_table() {
    let mut ingress = ingress(declaration(7));
    let mut invalid = declaration(8);
    invalid.routes[0].prefix = "no-slash".to_owned();
    assert!(ingress.replace_if_newer(Arc::new(invalid)).is_err());
    assert_eq!(ingress.version(), 7);
    assert!(ingress.admit("desk.example", "/a/b/", Some("k1")).is_ok());
}

#[test_case(|r: &mut IngressRouteDeclaration| r.prefix = "a/".to_owned(); "no leading slash")]
#[test_case(|r: &mut IngressRouteDeclaration| r.prefix = "/a".to_owned(); "no trailing slash")]
#[test_case(|r: &mut IngressRouteDeclaration| r.timeout = Millis(0); "no timeout")]
#[test_case(|r: &mut IngressRouteDeclaration| r.pool_shares.clear(); "no pool")]
#[test_case(|r: &mut IngressRouteDeclaration| r.pool_shares[0].weight = 0; "no weight")]
#[test_case(|r: &mut IngressRouteDeclaration| r.name = String::new(); "no name")]
fn an_invalid_route_is_rejected(invalidate: fn(&mut IngressRouteDeclaration)) {
    let mut edited = declaration(1);
    invalidate(&mut edited.routes[0]);
    assert!(Ingress::try_from(Arc::new(edited)).is_err());
}

#[test]
fn pools_are_chosen_by_weight() {
    let mut edited = declaration(1);
    edited.routes[0].pool_shares = vec![
        PoolShare {
            pool: "old".to_owned(),
            weight: 9,
        },
        PoolShare {
            pool: "new".to_owned(),
            weight: 1,
        },
    ];
    let admission = ingress(edited)
        .admit("desk.example", "/a/", Some("k1"))
        .expect("admitted");
    let chosen_pool = |draw| {
        admission
            .route
            .pool(draw)
            .map(|pool| pool.as_str().to_owned())
    };
    let new_pool_draws = (0..1_000).filter(|draw| chosen_pool(*draw).as_deref() == Some("new"));
    assert_eq!(new_pool_draws.count(), 100);
}
