//! The table of relayed traffic: matching, keys, weights and versions.

use std::sync::Arc;

use limpetkeel::{
    Bytes, Denial, Form, Ingress, IngressDeclaration, IngressPoolDeclaration,
    IngressRouteDeclaration, Limits, Millis, Objective, Repeat, Share, WorkspaceDeclaration,
};
use test_case::test_case;

fn route(name: &str, prefix: &str) -> IngressRouteDeclaration {
    IngressRouteDeclaration {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        prefix: prefix.to_owned(),
        shares: vec![Share {
            pool: "desk".to_owned(),
            weight: 1,
        }],
        form: Form::Whole,
        repeat: Repeat::Restart,
        timeout: Millis(2_000),
        objective: Objective {
            first: Millis(300),
            pause: Millis(2_000),
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
        }],
        workspaces: vec![WorkspaceDeclaration {
            name: "counter".to_owned(),
            keys: vec!["k1".to_owned()],
            priority: Some(1),
        }],
        limits: Limits {
            head: Bytes(16_384),
            body: Bytes(1_000_000),
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        },
    }
}

fn ingress(declaration: IngressDeclaration) -> Ingress {
    Ingress::try_from(Arc::new(declaration)).expect("valid")
}

#[test_case("/a/x", Some("short"); "the only prefix")]
#[test_case("/a/b/x", Some("long"); "the longest prefix")]
#[test_case("/a/b", Some("short"); "a prefix ends with its slash")]
#[test_case("/a/bb/", Some("short"); "a longer segment is another one")]
#[test_case("/ab/", None; "no prefix")]
#[test_case("/", None; "the root")]
fn the_longest_prefix_selects_the_route(path: &str, expected: Option<&str>) {
    let admitted = ingress(declaration(1)).admit("desk.example", path, Some("k1"));
    match expected {
        Some(name) => assert_eq!(admitted.expect("admitted").route.name().as_str(), name),
        None => assert_eq!(admitted.err(), Some(Denial::UnknownRoute)),
    }
}

#[test]
fn another_host_has_no_route() {
    let admitted = ingress(declaration(1)).admit("other.example", "/a/", Some("k1"));
    assert_eq!(admitted.err(), Some(Denial::UnknownRoute));
}

#[test_case(None; "missing")]
#[test_case(Some("k2"); "unknown")]
#[test_case(Some(""); "empty")]
fn a_keyed_route_refuses(key: Option<&str>) {
    let admitted = ingress(declaration(1)).admit("desk.example", "/a/", key);
    assert_eq!(admitted.err(), Some(Denial::UnknownKey));
}

#[test]
fn a_public_route_needs_no_key_and_names_no_workspace() {
    let mut declared = declaration(1);
    declared.routes[0].public = true;
    let ingress = ingress(declared);
    for key in [None, Some("k1"), Some("unknown")] {
        let admission = ingress.admit("desk.example", "/a/", key).expect("admitted");
        assert_eq!(admission.workspace, None);
        assert!(admission.keyed, "keys are in use, so none is passed on");
    }
}

#[test]
fn a_workspace_goes_before_the_route_in_priority() {
    let admission = ingress(declaration(1))
        .admit("desk.example", "/a/", Some("k1"))
        .expect("admitted");
    assert_eq!(admission.priority(), 1);
}

#[test]
fn without_a_table_nothing_is_denied_for_good() {
    let admitted = Ingress::default().admit("desk.example", "/a/", Some("k1"));
    assert_eq!(admitted.err(), Some(Denial::NoTable));
}

#[test]
fn a_version_is_never_taken_back() {
    let mut ingress = ingress(declaration(7));
    let mut older = declaration(6);
    older.routes.clear();
    assert_eq!(ingress.adopt(Arc::new(older)), Ok(false));
    assert_eq!(ingress.adopt(Arc::new(declaration(7))), Ok(false));
    assert!(ingress.admit("desk.example", "/a/", Some("k1")).is_ok());
    let mut newer = declaration(9);
    newer.routes.clear();
    assert_eq!(ingress.adopt(Arc::new(newer)), Ok(true));
    assert_eq!(
        ingress.admit("desk.example", "/a/", Some("k1")).err(),
        Some(Denial::UnknownRoute)
    );
}

#[test]
fn an_invalid_version_leaves_the_one_in_force() {
    let mut ingress = ingress(declaration(7));
    let mut invalid = declaration(8);
    invalid.routes[0].prefix = "no-slash".to_owned();
    assert!(ingress.adopt(Arc::new(invalid)).is_err());
    assert_eq!(ingress.version(), 7);
    assert!(ingress.admit("desk.example", "/a/b/", Some("k1")).is_ok());
}

#[test_case(|r: &mut IngressRouteDeclaration| r.prefix = "a/".to_owned(); "no leading slash")]
#[test_case(|r: &mut IngressRouteDeclaration| r.prefix = "/a".to_owned(); "no trailing slash")]
#[test_case(|r: &mut IngressRouteDeclaration| r.timeout = Millis(0); "no timeout")]
#[test_case(|r: &mut IngressRouteDeclaration| r.shares.clear(); "no pool")]
#[test_case(|r: &mut IngressRouteDeclaration| r.shares[0].weight = 0; "no weight")]
#[test_case(|r: &mut IngressRouteDeclaration| r.name = String::new(); "no name")]
fn a_faulty_route_is_refused(spoil: fn(&mut IngressRouteDeclaration)) {
    let mut declared = declaration(1);
    spoil(&mut declared.routes[0]);
    assert!(Ingress::try_from(Arc::new(declared)).is_err());
}

#[test]
fn pools_are_chosen_by_weight() {
    let mut declared = declaration(1);
    declared.routes[0].shares = vec![
        Share {
            pool: "old".to_owned(),
            weight: 9,
        },
        Share {
            pool: "new".to_owned(),
            weight: 1,
        },
    ];
    let admission = ingress(declared)
        .admit("desk.example", "/a/", Some("k1"))
        .expect("admitted");
    let picked = |draw| {
        admission
            .route
            .pool(draw)
            .map(|pool| pool.as_str().to_owned())
    };
    let new = (0..1_000).filter(|draw| picked(*draw).as_deref() == Some("new"));
    assert_eq!(new.count(), 100);
}
