//! Tests of the `explain` command on log files.

use std::{fs, path, process};

const FIRST_LOG: &str = "\
ts=2026-07-27T10:36:20.100Z level=info event=planned request=r1 plan=07 planner=node2 lead=u1
ts=2026-07-27T10:36:20.101Z level=info event=planned request=r2 plan=08 planner=node2 lead=u1
not a log line = at all
ts=2026-07-27T10:36:20.900Z level=info event=attempt_failed request=r1 upstream=u1 reason=silent
";

const SECOND_LOG: &str = "\
ts=2026-07-27T10:36:20.950Z level=info event=plan_refused request=r1 pool=p error=\"no \\\"room\\\" now\"
ts=2026-07-27T10:36:20.960Z level=info event=request_ended request=r1 result=failed reason=no_plan sends=1
";

/// A directory with the two log files, which is removed on drop.
struct LogDir(path::PathBuf);

impl LogDir {
    fn new(name: &str) -> LogDir {
        let directory = std::env::temp_dir().join(format!("explain-{name}-{}", process::id()));
        fs::create_dir_all(&directory).expect("create directory");
        fs::write(directory.join("a.log"), FIRST_LOG).expect("write log file");
        fs::write(directory.join("b.log"), SECOND_LOG).expect("write log file");
        LogDir(directory)
    }

    fn explain(&self, request: &str, files: &[&str]) -> (Option<i32>, String) {
        let output = process::Command::new(env!("CARGO_BIN_EXE_limpetkeel"))
            .args(["explain", request])
            .args(files.iter().map(|file| self.0.join(file)))
            .output()
            .expect("run limpetkeel");
        let text = String::from_utf8(output.stdout).expect("UTF-8 output");
        (output.status.code(), text)
    }
}

impl Drop for LogDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn lines_of_several_instances_are_merged_by_timestamp() {
    let logs = LogDir::new("order");
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
fn the_deciding_line_is_printed() {
    let logs = LogDir::new("inputs");
    let (_, text) = logs.explain("r1", &["a.log", "b.log"]);
    assert!(text.contains("ended: failed reason=no_plan"), "{text}");
    let deciding_line = text.lines().find(|line| line.starts_with("decided by:"));
    let deciding_line = deciding_line.expect("no line \"decided by\"");
    assert!(deciding_line.contains("plan_refused"), "{deciding_line}");
    assert!(
        deciding_line.contains("error=no \"room\" now"),
        "{deciding_line}"
    );
}

#[test]
fn a_request_without_a_final_line_is_reported_as_such() {
    let logs = LogDir::new("end");
    let (code, text) = logs.explain("r2", &["a.log"]);
    assert_eq!(code, Some(0));
    assert!(
        text.contains("the instance may have stopped unexpectedly"),
        "{text}"
    );
}

#[test]
fn an_unknown_request_and_a_missing_file_fail() {
    let logs = LogDir::new("unknown");
    assert_eq!(logs.explain("r9", &["a.log"]).0, Some(1));
    assert_eq!(logs.explain("r1", &["none.log"]).0, Some(2));
    assert_eq!(logs.explain("r1", &[]).0, Some(2));
}
