//! Explaining a request from logs.

use std::{fs, path, process};

const FIRST: &str = "\
ts=2026-07-27T10:36:20.100Z level=info event=planned request=r1 plan=07 planner=node2 lead=u1
ts=2026-07-27T10:36:20.101Z level=info event=planned request=r2 plan=08 planner=node2 lead=u1
not a log line = at all
ts=2026-07-27T10:36:20.900Z level=info event=attempt_failed request=r1 upstream=u1 reason=silent
";

const SECOND: &str = "\
ts=2026-07-27T10:36:20.950Z level=info event=plan_refused request=r1 pool=p error=\"no \\\"room\\\" now\"
ts=2026-07-27T10:36:20.960Z level=info event=request_ended request=r1 result=failed reason=no_plan sends=1
";

struct Logs(path::PathBuf);

impl Logs {
    fn new(name: &str) -> Logs {
        let folder = std::env::temp_dir().join(format!("explain-{name}-{}", process::id()));
        fs::create_dir_all(&folder).expect("folder");
        fs::write(folder.join("a.log"), FIRST).expect("file");
        fs::write(folder.join("b.log"), SECOND).expect("file");
        Logs(folder)
    }

    fn explain(&self, request: &str, files: &[&str]) -> (Option<i32>, String) {
        let output = process::Command::new(env!("CARGO_BIN_EXE_limpetkeel"))
            .args(["explain", request])
            .args(files.iter().map(|file| self.0.join(file)))
            .output()
            .expect("tool");
        let text = String::from_utf8(output.stdout).expect("text");
        (output.status.code(), text)
    }
}

impl Drop for Logs {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn lines_of_several_instances_are_joined_in_order() {
    let logs = Logs::new("order");
    let (code, text) = logs.explain("r1", &["b.log", "a.log"]);
    assert_eq!(code, Some(0));
    let events: Vec<_> = text
        .lines()
        .filter_map(|line| line.split_whitespace().nth(2))
        .take(4)
        .collect();
    let expected = ["planned", "attempt_failed", "plan_refused", "request_ended"];
    assert_eq!(events, expected);
    assert!(!text.contains("plan=08"), "another request: {text}");
}

#[test]
fn the_deciding_inputs_are_named() {
    let logs = Logs::new("inputs");
    let (_, text) = logs.explain("r1", &["a.log", "b.log"]);
    assert!(text.contains("ended: failed reason=no_plan"), "{text}");
    let decided = text.lines().find(|line| line.starts_with("decided by:"));
    let decided = decided.expect("decision");
    assert!(decided.contains("plan_refused"), "{decided}");
    assert!(decided.contains("error=no \"room\" now"), "{decided}");
}

#[test]
fn a_request_without_an_end_says_so() {
    let logs = Logs::new("end");
    let (code, text) = logs.explain("r2", &["a.log"]);
    assert_eq!(code, Some(0));
    assert!(text.contains("the instance may have died"), "{text}");
}

#[test]
fn an_unknown_request_and_a_missing_file_fail() {
    let logs = Logs::new("unknown");
    assert_eq!(logs.explain("r9", &["a.log"]).0, Some(1));
    assert_eq!(logs.explain("r1", &["none.log"]).0, Some(2));
    assert_eq!(logs.explain("r1", &[]).0, Some(2));
}
