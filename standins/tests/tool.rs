//! The command-line tool against the platform stand-in.

use std::{fs, process};

use standins::fleet::{self, Fleet};

struct Tool {
    fleet: Fleet,
}

impl Tool {
    async fn start() -> Tool {
        fleet::build_programs().expect("programs are built");
        let config = fleet::Config {
            zones: 1,
            daemons_per_zone: 2,
            engines_per_zone: 1,
            ..fleet::Config::default()
        };
        Tool {
            fleet: Fleet::start(config).await.expect("the fleet starts"),
        }
    }

    async fn run(&self, args: &[&str]) -> (Option<i32>, String, String) {
        let output = tokio::process::Command::new(fleet::program_path("limpetkeel"))
            .env("LIMPETKEEL_PLATFORM", self.fleet.platform_url())
            .args(args)
            .stdin(process::Stdio::null())
            .output()
            .await
            .expect("the tool runs");
        let to_text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("the output is UTF-8");
        (
            output.status.code(),
            to_text(output.stdout),
            to_text(output.stderr),
        )
    }

    fn write_file(&self, name: &str, contents: &str) -> String {
        let path = self.fleet.directory().join(name);
        fs::write(&path, contents).expect("the file is written");
        path.display().to_string()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn tool_plans_applies_and_edits_tables() {
    let tool = Tool::start().await;
    let tables_file = tool.write_file("t.toml", &fleet::tables_toml());
    let (code, stdout, _) = tool.run(&["plan", &tables_file]).await;
    assert_eq!(code, Some(0));
    assert!(
        stdout.contains("+ route fitting") && stdout.ends_with("revision 0\n"),
        "{stdout}"
    );

    let (code, stdout, stderr) = tool.run(&["apply", &tables_file, "--wait", "30"]).await;
    assert_eq!((code, stderr.as_str()), (Some(0), ""));
    assert!(stdout.ends_with("revision 1\n"), "{stdout}");
    let (_, stdout, _) = tool.run(&["status", "--json"]).await;
    let status: serde_json::Value = serde_json::from_str(&stdout).expect("the output is JSON");
    let instances = status["instances"]
        .as_array()
        .expect("instances is an array");
    assert_eq!(instances.len(), 2);
    assert!(
        instances
            .iter()
            .all(|instance| instance["status"]["revision"] == 1),
        "{stdout}"
    );

    let (code, stdout, _) = tool.run(&["apply", &tables_file]).await;
    assert_eq!(
        (code, stdout.as_str()),
        (Some(0), "no change\nrevision 1\n")
    );

    let (code, stdout, _) = tool.run(&["route", "get", "fitting", "--json"]).await;
    assert_eq!(code, Some(0));
    assert!(stdout.contains("\"rank\":\"urgent\""), "{stdout}");

    let route_file = tool.write_file(
        "r.toml",
        "kind = \"model\"\npool = \"keel-advisor\"\nrank = \"batch\"\ntimeout_ms = 1000\n",
    );
    let (code, stdout, _) = tool.run(&["route", "put", "notes", &route_file]).await;
    assert_eq!(
        (code, stdout.as_str()),
        (Some(0), "+ route notes\nrevision 2\n")
    );
    let (code, stdout, _) = tool.run(&["route", "delete", "notes"]).await;
    assert_eq!(
        (code, stdout.as_str()),
        (Some(0), "- route notes\nrevision 3\n")
    );
    let (code, _, stderr) = tool.run(&["route", "delete", "notes"]).await;
    assert_eq!(code, Some(1));
    assert!(stderr.contains("route notes does not exist"), "{stderr}");
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_declarations_and_lost_races_change_nothing() {
    let tool = Tool::start().await;
    let tables_file = tool.write_file("t.toml", &fleet::tables_toml());
    let (code, _, _) = tool.run(&["apply", &tables_file]).await;
    assert_eq!(code, Some(0));

    let (code, _, stderr) = tool.run(&["pool", "delete", "keel-advisor"]).await;
    assert_eq!(code, Some(2));
    assert!(
        stderr.contains("names pool keel-advisor, which does not exist"),
        "{stderr}"
    );

    let invalid_tables = tool.write_file("bad.toml", "[pools.p]\nkind = \"model\"\ncolour = 1\n");
    let (code, _, stderr) = tool.run(&["apply", &invalid_tables]).await;
    assert_eq!(code, Some(2));
    assert!(stderr.contains("colour"), "{stderr}");

    let (code, _, stderr) = tool
        .run(&["--expect", "7", "route", "delete", "ledger"])
        .await;
    assert_eq!(code, Some(3));
    assert!(stderr.contains("revision 1"), "{stderr}");

    let (code, stdout, _) = tool.run(&["route", "list"]).await;
    assert_eq!((code, stdout.lines().count()), (Some(0), 4));
    let (code, _, _) = tool.run(&["route", "frobnicate"]).await;
    assert_eq!(code, Some(2));
}
