//! Settings: faults are reported together, by key and line; the example files are valid.

use std::{fs, path, process};

use limpetkeel::{Declarations, Era, Revision, Tables};
use limpetkeeld::settings::{Error, Settings};
use test_case::test_case;

const VALID: &str = "instance = \"a\"\navailability_zone = \"z\"\nhttp_listen = \"127.0.0.1:1\"\n\
                    peer_listen = \"127.0.0.1:2\"\npeer_key = \"0123456789abcdef\"\n\
                    platform = \"http://127.0.0.1:3\"\n";

fn faults(text: &str) -> Vec<(String, usize)> {
    match Settings::try_from(text) {
        Err(Error::Faults(faults)) => faults.into_iter().map(|f| (f.key, f.line)).collect(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn valid_settings_are_accepted() {
    let settings = Settings::try_from(VALID).expect("settings");
    assert_eq!(settings.peer_advertise, settings.peer_listen);
    assert_eq!(settings.workers, 4);
}

#[test_case("\"a\"\n", "\"a b\"\n", "instance", 1; "name")]
#[test_case("127.0.0.1:1", "localhost", "http_listen", 3; "address")]
#[test_case("0123456789abcdef", "0123", "peer_key", 5; "short key")]
#[test_case("http://", "ftp://", "platform", 6; "url")]
#[test_case("http://127.0.0.1:3\"", "http://127.0.0.1:3\"\nworkers = 0", "workers", 7; "bounds")]
fn fault_reports_its_key_and_line(valid: &str, invalid: &str, key: &str, line: usize) {
    assert_eq!(
        faults(&VALID.replacen(valid, invalid, 1)),
        [(key.to_owned(), line)]
    );
}

#[test]
fn all_faults_are_reported_together() {
    let text = VALID
        .replace("\"a\"", "\"\"")
        .replace("127.0.0.1:1", "x")
        .replace("http:", "x:");
    assert_eq!(faults(&text).len(), 3);
}

#[test]
fn unknown_key_is_a_fault() {
    assert_eq!(faults(&format!("{VALID}colour = 1\n"))[0].1, 7);
}

fn example(name: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(name)
}

#[test_case("guild")]
#[test_case("marollen")]
fn examples_are_valid(deployment: &str) {
    Settings::read(&example(&format!("{deployment}/daemon.toml"))).expect("settings");
    let tables = fs::read_to_string(example(&format!("{deployment}/tables.toml"))).expect("file");
    let declarations: Declarations = toml::from_str(&tables).expect("declarations");
    Tables::try_from((Revision::new(Era(1), 1), declarations)).expect("tables");
}

#[test]
fn check_exits_with_2_and_lists_all_faults() {
    let file = std::env::temp_dir().join(format!("limpetkeel-check-{}.toml", std::process::id()));
    fs::write(&file, VALID.replace("\"a\"", "\"\"").replace("http:", "x:")).expect("file");
    let output = process::Command::new(env!("CARGO_BIN_EXE_limpetkeeld"))
        .args(["--check", "--config"])
        .arg(&file)
        .output()
        .expect("daemon");
    fs::remove_file(&file).expect("file");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(
        text.contains("line 1: instance") && text.contains("line 6: platform"),
        "{text}"
    );
}
