//! Snapshot tests of sessions at the command line.

use std::{
    fmt::Write as _,
    fs,
    path::PathBuf,
    process::{Command, Stdio},
};

use cartvane::units::Revision;
use standins::fleet::{Fleet, OPERATOR_CREDENTIAL};

use crate::support::{BINARY, chat, chat_call, fleet, send, small, wait_idle};

fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("examples").join(name)
}

/// A transcript of commands and their output.
struct Session<'f> {
    text: String,
    fleet: Option<&'f Fleet>,
}

impl<'f> Session<'f> {
    fn new(fleet: Option<&'f Fleet>) -> Session<'f> {
        Session { text: String::new(), fleet }
    }

    /// Runs a command; paths are shown by their last component.
    fn run(&mut self, args: &[&str]) {
        let shown: Vec<&str> = args.iter().map(|w| w.rsplit('/').next().unwrap_or(w)).collect();
        let mut command = Command::new(BINARY);
        command.args(args).stdin(Stdio::null()).env("USER", "rana");
        if let Some(fleet) = self.fleet {
            command.env("CARTVANE_AT", fleet.routers[0].operators.to_string());
            command.env("CARTVANE_CREDENTIAL", OPERATOR_CREDENTIAL);
        }
        let output = command.output().expect("command did not start");
        let code = output.status.code().unwrap_or(-1);
        let _ = writeln!(self.text, "$ cartvane {}", shown.join(" "));
        self.text.push_str(&String::from_utf8_lossy(&output.stdout));
        self.text.push_str(&String::from_utf8_lossy(&output.stderr));
        let _ = writeln!(self.text, "[{code}]\n");
    }
}

/// A file that is removed when dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> TempFile {
        let dir =
            std::env::temp_dir().join(format!("cartvane-session-{}-{name}", std::process::id()));
        fs::create_dir_all(&dir).expect("folder not created");
        let path = dir.join(name);
        fs::write(&path, text).expect("file not written");
        TempFile(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("path is not UTF-8")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        if let Some(dir) = self.0.parent() {
            let _ = fs::remove_dir_all(dir);
        }
    }
}

/// Compares the transcript with its snapshot; times, addresses, paths and chat keys are masked.
macro_rules! assert_session {
    ($session:expr) => {
        insta::with_settings!({
            filters => vec![
                (r"\d{4}-\d\d-\d\dT[0-9:.]+Z", "[time]"),
                (r"127\.0\.0\.1:\d+", "[address]"),
                (r#"/[^ \n"]*/cartvane-session-[^/\n]*/"#, ""),
                (r#"/[^ \n"]*/examples/"#, ""),
                (r#""at": \d+"#, "\"at\": [time]"),
                (r"chat key [0-9a-f]{16}", "chat key [key]"),
            ]
        }, { insta::assert_snapshot!($session.text) });
    };
}

#[test]
fn the_example_files_are_valid() {
    let mut session = Session::new(None);
    for name in ["hanbit.toml", "al-harthy.toml", "alone-fleet.toml"] {
        session.run(&["check", example(name).to_str().expect("path is not UTF-8")]);
    }
    session.run(&["check", example("hanbit.toml").to_str().expect("path is not UTF-8"), "--json"]);
    assert_session!(session);
}

#[test]
fn check_reports_all_errors_of_a_file() {
    let file = TempFile::new(
        "faulty.toml",
        r#"key_sallt = "x"

[[zone]]
id = "east"

[[team]]
id = "Crew One"
keys = ["zz"]
weight = 0

[[team]]
id = "crew"
keys = []
priority = "reservd"

[[service]]
id = "llm"
kind = "modle"

[[service]]
id = "app"
kind = "plain"
deadline = "10 parsecs"
non_idempotent = ["bookings"]
load_bound = 0.5

[[backend_server]]
id = "app-1"
service = "ap"
address = "10.0.0.1"
zone = "east"

[[backend_server]]
id = "app-2"
service = "app"
address = "10.0.0.1:0"
zone = "west"
capacity = -3

[[share]]
service = "app"
zone = "east"
share = 0.7
"#,
    );
    let unparsable = TempFile::new("broken.toml", "key_salt = \"x\n[[team]]\n");
    let mut session = Session::new(None);
    session.run(&["check", file.path()]);
    session.run(&["check", file.path(), "--json"]);
    session.run(&["check", unparsable.path()]);
    session.run(&["check", "nowhere.toml"]);
    assert_session!(session);
}

#[test]
fn wrong_command_lines_get_a_suggestion() {
    let mut session = Session::new(None);
    session.run(&[]);
    session.run(&["aply", "x"]);
    session.run(&["--version"]);
    session.run(&["check", "x.toml", "--jsn"]);
    session.run(&["check"]);
    session.run(&["apply", "x.toml"]);
    session.run(&["apply", "--base", "two", "x.toml"]);
    session.run(&["router"]);
    session.run(&["completions", "tcsh"]);
    session.run(&[
        "status",
        "--at",
        "127.0.0.1:1",
        "--credential-file",
        example("alone.toml").to_str().expect("path is not UTF-8"),
    ]);
    for command in cartvane::cli::COMMANDS.iter().map(|c| c.name) {
        session.run(&[command, "--help"]);
    }
    assert_session!(session);
}

#[test]
fn an_operator_session() {
    let fleet = fleet(small());
    let file = fleet.file();
    let more = file.clone()
        + "[[team]]\nid = \"night\"\nkeys = [\"0000000000000000000000000000000000000000000000000000000000000001\"]\n";
    let less = file.replace("load_bound = 1.25", "load_bound = 1.5");
    let (same, more, less) = (
        TempFile::new("same.toml", &file),
        TempFile::new("more.toml", &more),
        TempFile::new("less.toml", &less),
    );
    let invalid = TempFile::new("bad.toml", "surprise = 1\n");
    send(&fleet, 0, &chat_call(&chat("a returning chat", 4)).with("cartvane-chat", "c1"));
    wait_idle(&fleet);
    let mut session = Session::new(Some(&fleet));
    session.run(&["apply", same.path()]);
    session.run(&["diff", more.path()]);
    session.run(&["apply", more.path(), "--wait", "--base", "1"]);
    session.run(&["apply", less.path(), "--base", "1"]);
    session.run(&["apply", invalid.path()]);
    session.run(&["apply", less.path(), "--wait", "--json"]);
    session.run(&["show", "--revision", "9"]);
    session.run(&["drain", "engine-00"]);
    session.run(&["drain", "engine-77"]);
    fleet
        .wait_for("the drain active everywhere and the load of every engine reported", |s| {
            let homes = || s.instances.iter().flat_map(|i| &i.shards).filter(|shard| shard.is_home);
            s.instances.iter().all(|i| i.revision == Revision(4))
                && homes().count() == 2
                && homes()
                    .filter(|s| s.service == "llm")
                    .flat_map(|s| &s.engines)
                    .all(|e| e.reported == Some(0))
        })
        .expect("drain not active in time");
    session.run(&["status"]);
    session.run(&["explain", "--service", "llm", "--team", "crew", "--chat", "c1"]);
    session.run(&["explain", "--service", "nothing", "--team", "crew", "--chat", "c1"]);
    session.run(&["audit"]);
    session.run(&["audit", "--entity", "team/night", "--json"]);
    session.run(&["audit", "--since", "yesterday"]);
    assert_session!(session);
}

#[test]
fn completions_name_every_command() {
    for shell in ["bash", "zsh", "fish"] {
        let output = Command::new(BINARY)
            .args(["completions", shell])
            .output()
            .expect("command did not start");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        for command in &cartvane::cli::COMMANDS {
            assert!(text.contains(command.name), "{shell}: {}", command.name);
        }
    }
}
