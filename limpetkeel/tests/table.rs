//! Tests of the tables: validation, references, revisions and differences.

use limpetkeel::{Declarations, Era, Error, Revision, TableChange, Tables};
use test_case::test_case;

const POOL: &str = "[pools.p]\nkind = \"model\"\n";

fn route(fields: &str) -> String {
    format!("{POOL}[routes.r]\nkind = \"model\"\npool = \"p\"\nrank = \"urgent\"\n{fields}\n")
}

fn declarations(text: &str) -> Declarations {
    toml::from_str(text).expect("declarations")
}

#[test_case(&route("timeout_ms = 0"), "invalid_declaration"; "no timeout")]
#[test_case(&route("timeout_ms = 86400001"), "invalid_declaration"; "timeout over a day")]
#[test_case("[routes.r]\nkind=\"model\"\npool=\"q\"\nrank=\"batch\"\ntimeout_ms=1", "dangling_pool"; "dangling pool")]
#[test_case("[pools.p]\nkind=\"service\"\n[routes.r]\nkind=\"model\"\npool=\"p\"\nrank=\"batch\"\ntimeout_ms=1", "invalid_declaration"; "other kind")]
#[test_case("[pools.p]\nkind=\"model\"\nfloor_percent={urgent=50,normal=40,batch=10}", "invalid_declaration"; "floors over the limit")]
#[test_case("[pools.p]\nkind=\"model\"\nlong_percent=0", "invalid_declaration"; "no upstreams for long prompts")]
#[test_case("[pools.\"a b\"]\nkind=\"model\"", "invalid_name"; "invalid name")]
fn invalid_declarations_are_reported(text: &str, code: &str) {
    let errors = declarations(text).validation_errors();
    assert_eq!(errors.iter().map(Error::code).collect::<Vec<_>>(), [code]);
    assert!(Tables::try_from((Revision::new(Era(1), 1), declarations(text))).is_err());
}

#[test]
fn unknown_fields_are_refused() {
    assert!(toml::from_str::<Declarations>("[pools.p]\nkind = \"model\"\nsize = 3").is_err());
}

#[test]
fn only_higher_revisions_replace_the_tables() {
    let at = |revision, text: &str| {
        Tables::try_from((Revision::new(Era(1), revision), declarations(text))).expect("tables")
    };
    let mut tables = at(2, POOL);
    assert!(!tables.replace_if_newer(at(1, "")));
    assert!(!tables.replace_if_newer(at(2, "")));
    assert_eq!(tables.pools().count(), 1);
    assert!(tables.replace_if_newer(at(3, "")));
    assert_eq!(
        (tables.revision(), tables.pools().count()),
        (Revision::new(Era(1), 3), 0)
    );
}

#[test]
fn differences_are_listed() {
    let before = declarations("[pools.a]\nkind=\"model\"\n[pools.b]\nkind=\"model\"");
    let after = declarations("[pools.b]\nkind=\"service\"\n[pools.c]\nkind=\"model\"");
    let changes = before.diff(&after);
    let expected = [
        TableChange::Update("pool b".to_owned()),
        TableChange::Add("pool c".to_owned()),
        TableChange::Remove("pool a".to_owned()),
    ];
    assert_eq!(changes, expected);
}
