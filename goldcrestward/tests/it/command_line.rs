//! The command line: subcommands, rejected input and exit codes.

use std::{fs, process::Command};

use standin::reserved_port::ReservedPort;

use crate::support::{TOKEN, TestSite};

fn run_cli(args: &[&str]) -> (i32, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_goldcrestward")).args(args).output().expect("the command starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().unwrap_or(-1), text(&output.stdout), text(&output.stderr))
}

/// A call of the program, its exit code, and a part of its only output: standard output for 0, else standard error.
type Case<'a> = (&'a [&'a str], i32, &'a str);

#[test]
fn arguments_decide_exit_code_and_output() {
    let cases: &[Case<'_>] = &[
        (&["--help"], 0, "Exit codes: 0 success, 1 failure, 2 wrong arguments or settings"),
        (&["--version"], 0, env!("CARGO_PKG_VERSION")),
        (&["serve", "--help"], 0, "--settings=<FILE.yaml>"),
        (&["demo", "--help"], 0, "--once"),
        (&["explain", "--help"], 0, "ID"),
        (&["config", "--help"], 0, "apply"),
        (&["config", "apply", "--help"], 0, "--base=REVISION"),
        (&["rollout", "--help"], 0, "watch"),
        (&["peers", "--help"], 0, "--admin=<IP:PORT>"),
        (&["requests", "--help"], 0, "--token=TEXT"),
        (&["refusals", "--help"], 0, "--clear=FINGERPRINT"),
        (&["--bpaf-complete-style-bash"], 0, "complete -o nosort"),
        (&["--bpaf-complete-style-zsh"], 0, "#compdef goldcrestward"),
        (&["--bpaf-complete-style-fish"], 0, "complete"),
        (&["--bpaf-complete-style-elvish"], 0, "edit:completion"),
        (&["--bpaf-complete-rev=8", "ro"], 0, "rollout"),
        (&[], 2, "COMMAND"),
        (&["no-command"], 2, "no-command"),
        (&["--no-flag"], 2, "--no-flag"),
        (&["serve", "--workers", "many"], 2, "many"),
        (&["serve", "--settings", "/no/such/settings.yaml"], 2, "/no/such/settings.yaml"),
        (&["serve", "--callers", "nowhere"], 2, "nowhere"),
        (&["demo", "--seed", "x"], 2, "x"),
        (&["explain"], 2, "ID"),
        (&["config"], 2, "COMMAND"),
        (&["config", "check"], 2, "FOLDER"),
        (&["peers", "--admin", "nowhere"], 2, "nowhere"),
        (&["config", "check", "/no/such/folder"], 1, "/no/such/folder"),
        (&["explain", "id", "/no/such/log"], 1, "/no/such/log"),
        (&["peers", "--admin", "127.0.0.1:1"], 1, "127.0.0.1:1"),
        (&["rollout", "status", "--admin", "127.0.0.1:1"], 1, "127.0.0.1:1"),
    ];
    for (args, expected, text) in cases {
        let (code, stdout, stderr) = run_cli(args);
        assert_eq!(code, *expected, "{args:?}: {stdout}{stderr}");
        let (used, unused) = if code == 0 { (stdout, stderr) } else { (stderr, stdout) };
        assert!(used.contains(text), "{args:?}: {used}");
        // The log of a daemon goes to standard output; a start that fails leaves one line there.
        let is_logged = args.first() == Some(&"serve") && unused.lines().count() == 1 && unused.contains(text);
        assert!(unused.is_empty() || is_logged && unused.contains("event=start-failed"), "{args:?}: {unused}");
    }
}

#[test]
fn serve_reports_file_line_and_field_of_bad_settings() {
    let dir = tempfile::tempdir().expect("the temporary directory is created");
    let cases = [
        ("site: s\nzoen: z\n", "settings.yaml:2", "zoen"),
        ("site: s\ncallers: nowhere\n", "settings.yaml:2", "callers"),
        ("site: s\nworkers: 1\n", "peers", "missing"),
        ("peers: 127.0.0.1:1\npeer-secrets: [short]\n", "peer-secrets", "16 bytes"),
        ("site: s\nmemory-mb: much\n", "settings.yaml:2", "memory-mb"),
        (
            "site: s\nregion: r\nzone: z\ncallers: 127.0.0.1:1\npeers: 127.0.0.1:2\nplatform: 127.0.0.1:3\n\
             peer-secrets: [sixteen-bytes-or-more]\nmemory-mb: 63\n",
            "memory-mb",
            "must be 64 or more, not 63",
        ),
    ];
    for (text, location, message) in cases {
        let path = dir.path().join("settings.yaml");
        fs::write(&path, text).expect("the file is written");
        let (code, _, stderr) = run_cli(&["serve", "--settings", &path.to_string_lossy()]);
        assert_eq!(code, 2, "{text}: {stderr}");
        assert!(stderr.contains(location), "{text}: {stderr}");
        assert!(stderr.contains(message), "{text}: {stderr}");
    }
}

#[test]
fn config_check_accepts_examples_and_exits_with_3_on_bad_files() {
    for example in ["swanvale", "klaasvikat"] {
        let dir = format!("{}/../examples/{example}", env!("CARGO_MANIFEST_DIR"));
        let (code, _, stderr) = run_cli(&["config", "check", &dir]);
        assert_eq!(code, 0, "{example}: {stderr}");
    }
    let dir = tempfile::tempdir().expect("the temporary directory is created");
    fs::write(dir.path().join("10-a.yaml"), "zones:\n  z: { region: north }\n").expect("the file is written");
    fs::write(dir.path().join("20-b.yaml"), "zones:\n  z: { region: south }\n").expect("the file is written");
    let path = dir.path().to_string_lossy().into_owned();
    let (code, stdout, _) = run_cli(&["config", "check", &path]);
    assert_eq!(code, 0);
    assert!(stdout.contains("zones.z") && stdout.contains("20-b.yaml") && stdout.contains("10-a.yaml"), "{stdout}");
    fs::write(dir.path().join("30-c.yaml"), "pools:\n  p:\n    knd: model\n").expect("the file is written");
    let (code, _, stderr) = run_cli(&["config", "check", &path]);
    assert_eq!(code, 3);
    assert!(stderr.contains("30-c.yaml:3") && stderr.contains("knd"), "{stderr}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn operator_commands_respond_and_conflict_exits_with_4() {
    let site = TestSite::start(2, 1).await;
    let admin = site.daemons[1].admin.to_string();
    let operator = |args: &[&str]| {
        let mut all: Vec<&str> = args.to_vec();
        all.extend(["--admin", &admin, "--token", TOKEN]);
        run_cli(&all)
    };
    for args in [
        &["config", "list"][..],
        &["config", "status", "--wait"],
        &["rollout", "status"],
        &["peers"],
        &["requests"],
        &["refusals"],
        &["peers", "--json"],
    ] {
        let (code, stdout, stderr) = operator(args);
        assert_eq!(code, 0, "{args:?}: {stderr}");
        assert!(!stdout.is_empty(), "{args:?}");
    }
    let dir = tempfile::tempdir().expect("the temporary directory is created");
    let file = dir.path().join("20-zone.yaml");
    fs::write(&file, "zones: { east-a: { region: east } }\n").expect("the file is written");
    let path = file.to_string_lossy().into_owned();
    let (code, _, stderr) = operator(&["config", "put", "--wait", &path]);
    assert_eq!(code, 0, "{stderr}");
    fs::write(&file, "zones: { east-b: { region: east } }\n").expect("the file is written");
    let (code, _, stderr) = operator(&["config", "put", "--base", "1", &path]);
    assert_eq!(code, 4, "{stderr}");
    let (code, _, stderr) = operator(&["config", "remove", "--wait", "20-zone.yaml"]);
    assert_eq!(code, 0, "{stderr}");
    let (code, _, stderr) = run_cli(&["peers", "--admin", &admin, "--token", "wrong"]);
    assert_eq!(code, 1);
    assert!(stderr.contains("token"), "{stderr}");
    let unused_port = ReservedPort::new().expect("a port is free");
    let unused_address = unused_port.address().to_string();
    let (code, _, stderr) = run_cli(&["peers", "--admin", &unused_address]);
    assert_eq!(code, 1);
    assert!(stderr.contains(&unused_address), "{stderr}");
}
