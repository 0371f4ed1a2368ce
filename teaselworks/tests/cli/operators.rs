//! Against canned answers of the operators' port.

use std::env;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::mpsc;
use std::thread;

use serde_json::{Value, json};
use teaselworks::cli::ExitCode;

use crate::{BINARY, Ended, run, teaselworks};

/// A port that nothing listens on.
const NOBODY: &str = "http://127.0.0.1:1";

#[derive(Debug)]
struct Request {
    line: String,
    body: Value,
}

/// What the operators' port does with a submission: answer, or close without an answer.
type Answer = Option<(u16, Value)>;

/// An operators' port that gives its answers to submissions in turn.
struct Port {
    url: String,
    requests: mpsc::Receiver<Request>,
}

impl Port {
    fn start(configuration: Value, answers: Vec<Answer>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let (sender, requests) = mpsc::channel();
        thread::spawn(move || {
            let mut answers = answers.into_iter();
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let request = read_request(&stream);
                let answer = match request.line.as_str() {
                    "GET /v1/configuration HTTP/1.1" => Some((200, configuration.clone())),
                    "GET /v1/upstreams HTTP/1.1" => {
                        Some((200, json!([{ "name": "e1", "skew": 1.5, "new": null }])))
                    }
                    "GET /v1/configuration/history?limit=2 HTTP/1.1" => {
                        Some((200, json!({ "patches": [record()] })))
                    }
                    line if line.starts_with("POST") => answers.next().flatten(),
                    _ => Some((404, json!(null))),
                };
                if sender.send(request).is_err() {
                    return;
                }
                let Some((status, body)) = answer else { continue };
                let body = body.to_string();
                let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
                write!(stream, "{head}connection: close\r\n\r\n{body}").unwrap();
            }
        });
        Self { url, requests }
    }

    fn submission(&self) -> Value {
        let is_submission = |request: &Request| request.line.starts_with("POST");
        self.requests.try_iter().find(is_submission).expect("a submission").body
    }
}

fn read_request(stream: &TcpStream) -> Request {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let mut size_bytes = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).unwrap();
        match header.trim().to_lowercase().split_once(": ") {
            Some(("content-length", value)) => size_bytes = value.parse().unwrap(),
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; size_bytes];
    reader.read_exact(&mut body).unwrap();
    let body = serde_json::from_slice(&body).unwrap_or_default();
    Request { line: line.trim().into(), body }
}

fn record() -> Value {
    let at_ms = 1_779_710_400_123_u64;
    json!({ "version": 2, "id": "i", "author": "a", "reason": "r", "at_ms": at_ms, "patch": {} })
}

fn version(version: u64) -> Value {
    let workspaces = json!({ "choir": { "weight": 1 } });
    json!({ "version": version, "configuration": { "workspaces": workspaces } })
}

const PATCH: &str = "// More.\n{ \"workspaces\": { \"choir\": { \"weight\": 2 } } }";

fn submit(url: &str, more: &[&str], patch: &str) -> Ended {
    let mut args = vec!["config", "patch", "--operator", url, "--expect", "7", "-"];
    args.extend(more);
    run(BINARY, &args, patch)
}

#[test]
fn an_accepted_patch_shows_its_difference_and_version() {
    let port = Port::start(version(7), vec![Some((200, json!({ "version": 8 })))]);
    let ended = submit(&port.url, &["--reason", "festival"], PATCH);
    assert_eq!(ended.out, "~ workspaces.choir.weight: 1 -> 2\nAccepted as version 8.\n");
    assert_eq!((ended.code, ended.err.as_str()), (0, ""));
    let mut sent = port.submission();
    assert_eq!(sent["id"].take().as_str().unwrap().len(), 32);
    let patch = json!({ "workspaces": { "choir": { "weight": 2 } } });
    let expected =
        json!({ "id": null, "expect": 7, "author": "mojca", "reason": "festival", "patch": patch });
    assert_eq!(sent, expected);
}

#[test]
fn each_kind_of_refusal_has_its_exit_code() {
    let stale = json!({ "error": { "reason": "stale", "current": 9, "changed": [record()] } });
    let fault = json!({ "field": "workspaces.choir", "problem": "is odd" });
    let invalid = json!({ "error": { "reason": "invalid", "faults": [fault] } });
    let error = |reason: &str| json!({ "error": { "reason": reason } });
    let cases = [
        (409, stale, ExitCode::Stale, "2 by a at 2026-05-25T12:00:00.123Z: r\n  {}"),
        (422, invalid, ExitCode::Refused, "workspaces.choir: is odd"),
        (503, error("platform_unavailable"), ExitCode::Refused, "platform_unavailable"),
        (503, error("unknown_outcome"), ExitCode::UnknownOutcome, " --id "),
        (502, json!("a balancer"), ExitCode::UnknownOutcome, " --id "),
        (200, json!({}), ExitCode::UnknownOutcome, " --id "),
        (404, json!("not here"), ExitCode::Failure, "takes no patches"),
    ];
    for (status, body, code, text) in cases {
        let port = Port::start(version(7), vec![Some((status, body))]);
        let ended = submit(&port.url, &["--json"], PATCH);
        assert_eq!(ended.code, code as i32, "{ended:?}");
        assert!(ended.err.contains(text), "{ended:?}");
        let out: Value = serde_json::from_str(&ended.out).expect("JSON for scripts");
        assert!(out["error"]["reason"].is_string(), "{out}");
    }
    assert_eq!(submit(NOBODY, &[], PATCH).code, ExitCode::Unreachable as i32);
    assert_eq!(teaselworks(&["config", "patch"]).code, ExitCode::Usage as i32);
    assert_eq!(teaselworks(&["--help"]).code, ExitCode::Ok as i32);
}

// Symptom: a patch is in force twice, or an operator believes it was lost and makes another.
// Sequence: the router commits the patch and dies before it answers.
// Cause: a broken exchange looks like a failure unless the submission may have left.
#[test]
fn a_lost_answer_is_settled_by_the_printed_command() {
    let port = Port::start(version(7), vec![None, Some((200, json!({ "version": 8 })))]);
    let file = env::temp_dir().join(format!("it's a patch {}.jsonc", std::process::id()));
    fs::write(&file, PATCH).unwrap();
    let file_name = file.to_str().unwrap();
    let args = ["config", "patch", "--operator", &port.url, "--expect", "7", file_name];
    let ended = teaselworks(&args);
    assert_eq!(ended.code, ExitCode::UnknownOutcome as i32, "{ended:?}");
    let first = port.submission();
    let command = ended.err.lines().last().unwrap().trim();
    let folder = Path::new(BINARY).parent().unwrap().display();
    let settled = run("sh", &["-c", &format!("PATH={folder}:$PATH; {command}")], "");
    fs::remove_file(&file).unwrap();
    assert_eq!(settled.code, 0, "{settled:?}");
    assert_eq!(port.submission(), first);
}

#[test]
fn faults_are_found_before_anything_is_submitted() {
    let port = Port::start(version(7), Vec::new());
    let ended = submit(&port.url, &[], "{\n  \"workspaces\": { \"choir\": { \"weight\": -1 } }\n}");
    let fault = "-:2:30: workspaces.choir.weight: invalid value: integer `-1`, expected u32\n";
    assert_eq!((ended.code, ended.err.as_str()), (ExitCode::Refused as i32, fault));
    let dry = submit(&port.url, &["--dry-run"], PATCH);
    assert_eq!((dry.code, dry.out.as_str()), (0, "~ workspaces.choir.weight: 1 -> 2\n"));
    assert!(port.requests.try_iter().all(|request| request.line.starts_with("GET")));
}

#[test]
fn lists_are_tables_and_the_configuration_is_a_file_for_check() {
    let port = Port::start(version(7), Vec::new());
    let out = |args: &[&str]| teaselworks(&[args, &["--operator", &port.url]].concat()).out;
    assert_eq!(out(&["upstreams"]), "NAME  SKEW  NEW\ne1    1.50  -\n");
    let history = out(&["config", "history", "--limit", "2"]);
    assert_eq!(
        history,
        "VERSION  AT                        AUTHOR  REASON  ID\n\
         2        2026-05-25T12:00:00.123Z  a       r       i\n"
    );
    assert!(out(&["config", "get"]).starts_with("// Version 7\n{\n"));
    let events = teaselworks(&["events", "--json"]).out;
    let events: Vec<Value> = serde_json::from_str(&events).unwrap();
    assert_eq!(events.len(), teaselworks::event::ALL.len());
}
