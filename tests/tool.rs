//! The command lines of the operators' tool and the daemon, run as processes.

use std::path::Path;
use std::process::Command;
use std::process::Output;

use standins::bed::TestBed;
use standins::bed::TestBedPlan;
use standins::bed::wait_until;

const TOOL: &str = env!("CARGO_BIN_EXE_sorrelwick");
const DAEMON: &str = env!("CARGO_BIN_EXE_sorrelwickd");

async fn run(program: &str, args: &[&str]) -> Output {
    let mut command = Command::new(program);
    command.args(args).env_remove("SORRELWICK_ADDRESS").env_remove("SORRELWICK_TOKEN");
    tokio::task::spawn_blocking(move || command.output()).await.expect("no panic").expect("it runs")
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn write_declaration(dir: &Path, name: &str, timeout_ms: u32) {
    let text = format!(
        "{{\n  // kept in version control\n  name: \"{name}\",\n  timeout_ms: {timeout_ms},\n  \
         kinds: [{{ name: \"lookup\", method: \"GET\", path_prefix: \"/\", idempotent: true }}],\n}}\n"
    );
    std::fs::write(dir.join(format!("{name}.json5")), text).expect("written");
}

/// Two services are planned, applied, updated at a stale revision, which must conflict, and pruned.
#[tokio::test(flavor = "multi_thread")]
async fn plan_and_apply_commit_declarations_and_report_conflicts() {
    let bed = TestBed::start(TestBedPlan::default()).await;
    let operator = bed.daemon(0).board().settings.listen.operator.to_string();
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().to_str().expect("a path");
    write_declaration(dir.path(), "catalogue", 100);
    write_declaration(dir.path(), "orders", 200);
    let planned = run(TOOL, &["--address", &operator, "plan", path]).await;
    assert!(
        stdout_text(&planned).contains("create orders (revision 0)"),
        "{}",
        stdout_text(&planned)
    );
    assert!(stdout_text(&planned).contains("+ timeout_ms: 200"));
    let applied = run(TOOL, &["--address", &operator, "apply", path]).await;
    assert!(
        stdout_text(&applied).contains("committed orders at revision 1"),
        "{}",
        stderr_text(&applied)
    );
    let again = run(TOOL, &["--address", &operator, "plan", path]).await;
    assert_eq!(stdout_text(&again), "nothing to change\n");
    write_declaration(dir.path(), "orders", 300);
    let changed = run(TOOL, &["--address", &operator, "--json", "plan", path]).await;
    let rows: serde_json::Value = serde_json::from_str(&stdout_text(&changed)).expect("JSON");
    assert_eq!(rows[0]["lines"][0], "~ timeout_ms: 200 -> 300");
    assert_eq!(rows[0]["expected_revision"], 1);
    let file = dir.path().join("orders.json5");
    let file = file.to_str().expect("a path");
    let stale =
        run(TOOL, &["--address", &operator, "service", "update", file, "--expected-revision", "7"])
            .await;
    assert_eq!(stale.status.code(), Some(3), "a conflict has its own exit code");
    assert!(stderr_text(&stale).contains("error 3002 Conflict"), "{}", stderr_text(&stale));
    std::fs::remove_file(dir.path().join("orders.json5")).expect("removed");
    let pruned = run(TOOL, &["--address", &operator, "apply", "--prune", path]).await;
    assert!(
        stdout_text(&pruned).contains("delete orders (revision 1)"),
        "{}",
        stderr_text(&pruned)
    );
    let listed = run(TOOL, &["--address", &operator, "service", "list"]).await;
    assert!(stdout_text(&listed).contains("catalogue") && !stdout_text(&listed).contains("orders"));
}

/// `status` and `timeline` query every instance, and a killed instance is shown as dead.
#[tokio::test(flavor = "multi_thread")]
async fn status_and_timeline_cover_all_instances() {
    let mut bed = TestBed::start(TestBedPlan::default()).await;
    bed.create_service("orders").await;
    let operator = bed.daemon(0).board().settings.listen.operator.to_string();
    let status = run(TOOL, &["--address", &operator, "status"]).await;
    let text = stdout_text(&status);
    assert_eq!(text.matches("orders@1").count(), 3, "{text}");
    assert!(text.contains("i2") && text.contains("richmond"));
    bed.operator(0).set_drain("orders", "b0", true).await.expect("drained");
    bed.wait_until_applied("orders", 2).await;
    bed.kill(2);
    wait_until("the dead instance is on the timeline", async || {
        let events = run(TOOL, &["--address", &operator, "timeline"]).await;
        stdout_text(&events).lines().any(|line| line.contains("i2") && line.ends_with("dead"))
    })
    .await;
    let events = run(TOOL, &["--address", &operator, "--json", "timeline"]).await;
    let events: serde_json::Value = serde_json::from_str(&stdout_text(&events)).expect("JSON");
    let rows = events.as_array().expect("a list");
    let stamps: Vec<u64> = rows.iter().filter_map(|row| row["stamp"].as_u64()).collect();
    assert!(stamps.is_sorted());
    let in_force = rows.iter().filter(|row| row["detail"] == "orders revision 2").count();
    assert_eq!(in_force, 2, "one for each instance that still runs");
}

#[tokio::test]
async fn errors_have_result_codes_and_exit_codes() {
    let unreachable = run(TOOL, &["--address", "127.0.0.1:1", "service", "list"]).await;
    assert_eq!(unreachable.status.code(), Some(1));
    assert!(
        stderr_text(&unreachable).starts_with("error 3008 OperatorUnreachable"),
        "{}",
        stderr_text(&unreachable)
    );
    let dir = tempfile::tempdir().expect("a directory");
    let file = dir.path().join("bad.json5");
    std::fs::write(&file, "{\n  name: \"x\",\n  nmae: 1,\n}").expect("written");
    let path = dir.path().to_str().expect("a path");
    let bad = run(TOOL, &["--address", "127.0.0.1:1", "plan", path]).await;
    assert!(
        stderr_text(&bad).contains("3007 DeclarationInvalid")
            && stderr_text(&bad).contains("line 3"),
        "{}",
        stderr_text(&bad)
    );
    let completions = run(TOOL, &["completions", "bash"]).await;
    assert!(stdout_text(&completions).contains("sorrelwick"));
}

#[tokio::test]
async fn the_daemon_validates_settings_and_prints_defaults() {
    let defaults = run(DAEMON, &["--print-defaults"]).await;
    let dir = tempfile::tempdir().expect("a directory");
    let file = dir.path().join("settings.json5");
    std::fs::write(&file, &defaults.stdout).expect("written");
    let path = file.to_str().expect("a path");
    let good = run(DAEMON, &["--settings", path, "--check"]).await;
    assert_eq!(good.status.code(), Some(0), "{}", stderr_text(&good));
    let broken = stdout_text(&defaults).replace("queue_max: 1000", "queue_max: 99999999");
    std::fs::write(&file, broken).expect("written");
    let bad = run(DAEMON, &["--settings", path, "--check"]).await;
    assert_eq!(bad.status.code(), Some(2));
    assert!(stderr_text(&bad).contains("requests.queue_max"), "{}", stderr_text(&bad));
    let missing = run(DAEMON, &["--settings", "/nowhere/at/all", "--check"]).await;
    assert!(stderr_text(&missing).starts_with("1001 SettingsUnreadable"));
}
