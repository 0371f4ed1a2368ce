//! The command line as a process of its own.

mod fleet;
mod operators;

use std::env;
use std::fs;
use std::io::Write;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use teaselworks::cli::ExitCode;

const BINARY: &str = env!("CARGO_BIN_EXE_teaselworks");
/// Set to write the committed manual and completions anew.
const RECORD_VARIABLE: &str = "TEASELWORKS_RECORD";

#[derive(Debug)]
struct Ended {
    code: i32,
    out: String,
    err: String,
}

fn run(program: &str, args: &[&str], input: &str) -> Ended {
    let mut child = Command::new(program)
        .args(args)
        .env("USER", "mojca")
        .env_remove("TEASELWORKS_OPERATOR")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    let output = child.wait_with_output().unwrap();
    Ended {
        code: output.status.code().expect("an exit code"),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn teaselworks(args: &[&str]) -> Ended {
    run(BINARY, args, "")
}

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap().to_path_buf()
}

#[test]
fn examples_of_both_deployments_pass_check() {
    let examples = repository().join("examples");
    for (settings, configuration, engines, services) in [
        ("archive.settings.jsonc", "archive.configuration.jsonc", 18, 4),
        ("khaima.settings.jsonc", "khaima.configuration.jsonc", 18, 3),
    ] {
        let settings = examples.join(settings);
        let configuration = examples.join(configuration);
        let (settings, file) = (settings.to_str().unwrap(), configuration.to_str().unwrap());
        let ended = teaselworks(&["check", "--settings", settings, "--configuration", file]);
        assert_eq!((ended.code, ended.out.as_str()), (0, "No fault was found.\n"), "{ended:?}");
        let text = fs::read_to_string(file).unwrap();
        assert_eq!(text.matches("\"kind\": \"engine\"").count(), engines);
        assert_eq!(text.matches("\"kind\": \"service\"").count(), services);
        assert_eq!(text.matches("\"key_digests\"").count(), 10);
        // Faults of several files are told together, by file.
        let args = ["check", "--settings", file, "--configuration", settings];
        let swapped = teaselworks(&args);
        assert_eq!(swapped.code, ExitCode::Refused as i32);
        assert!(swapped.err.contains(&format!("{file}:2:1: router: is missing")), "{swapped:?}");
        assert!(swapped.err.contains(&format!("{settings}:4:3: router: unknown field")));
    }
}

#[test]
fn manual_and_completions_are_current() {
    let assets = repository().join("teaselworks/assets");
    let mut files = Vec::new();
    for shell in ["bash", "zsh", "fish"] {
        files.push((format!("completions/teaselworks.{shell}"), vec!["completions", shell]));
    }
    for page in [
        "teaselworks",
        "teaselworks-router",
        "teaselworks-check",
        "teaselworks-config-get",
        "teaselworks-config-patch",
        "teaselworks-config-republish",
        "teaselworks-config-history",
        "teaselworks-config-status",
        "teaselworks-upstreams",
        "teaselworks-workspaces",
        "teaselworks-workspaces-use",
        "teaselworks-events",
    ] {
        files.push((format!("man/{page}.1"), vec!["man", page]));
    }
    for (file, args) in files {
        let path = assets.join(file);
        let ended = teaselworks(&args);
        assert_eq!(ended.code, 0, "{ended:?}");
        if env::var_os(RECORD_VARIABLE).is_some() {
            fs::create_dir_all(path.parent().unwrap()).unwrap();
            fs::write(&path, &ended.out).unwrap();
        }
        let committed = fs::read_to_string(&path).unwrap_or_default();
        let hint = "is not current; write it anew with TEASELWORKS_RECORD=1";
        assert!(committed == ended.out, "{} {hint}", path.display());
    }
}

// Symptom: a router with a typo in its settings takes requests, or ends at each start with one
// more. Sequence: start with settings that have two faults, then with a port that is taken.
// Cause: ports opened before all settings were checked.
#[test]
fn a_router_with_faulty_settings_or_a_taken_port_does_not_start() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let settings = |operators: &str, secret: &str| {
        format!(
            r#"{{ "router": {{ "name": "r", "region": "r", "zone": "z" }},
                "listen": {{ "callers": "{address}", "links": "127.0.0.1:0",
                    "operators": "{operators}" }},
                "links": {{ "secret": "{secret}" }},
                "platform": {{ "endpoints": ["http://127.0.0.1:1"] }},
                "vm_list": {{ "url": "http://127.0.0.1:1" }} }}"#
        )
    };
    let file = env::temp_dir().join(format!("teaselworks-settings-{}.jsonc", std::process::id()));
    let start = |settings: String| {
        fs::write(&file, settings).unwrap();
        let ended = teaselworks(&["router", "--settings", file.to_str().unwrap()]);
        fs::remove_file(&file).unwrap();
        ended
    };
    let faulty = start(settings("nowhere", "short"));
    assert_eq!(faulty.code, ExitCode::Refused as i32, "{faulty:?}");
    let fields: Vec<&str> =
        faulty.err.lines().map(|line| line.split(": ").nth(1).unwrap()).collect();
    assert_eq!(fields, ["listen.operators", "links.secret"]);
    let refused = start(settings("127.0.0.1:0", "a secret for tests alone"));
    assert_eq!(refused.code, ExitCode::Failure as i32, "{refused:?}");
    assert!(refused.err.contains(&format!("cannot listen on {address}")), "{refused:?}");
}
