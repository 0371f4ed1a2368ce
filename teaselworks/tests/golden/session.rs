//! Records a session between callers, operators and real routers, and compares it with a file.
//!
//! Normalised, all else is compared byte for byte: the incarnation in request ids, and their
//! sequence numbers, which count from 1 in each session; addresses of the test's own ports,
//! affinity tokens, wall-clock times and times to return; of headers the order, and `date`,
//! `content-length`, `connection` and `transfer-encoding`.

use std::collections::BTreeMap;
use std::env;
use std::fmt::Write;
use std::fs;
use std::path::PathBuf;

use futures_util::{StreamExt, stream};
use reqwest::{Body, Client, Response};
use serde_json::Value;
use similar::TextDiff;
use teaselworks_standin::fleet::Fleet;

const UNCOMPARED: [&str; 4] = ["connection", "content-length", "date", "transfer-encoding"];
const INCARNATION: &str = "INCARNATION-";
const RECORD: &str = "TEASELWORKS_RECORD";

/// One request of a session.
pub struct Sent<'a> {
    pub url: String,
    pub method: &'a str,
    pub path: &'a str,
    pub headers: Vec<(&'a str, String)>,
    pub body: String,
    /// Whether the body never ends.
    pub endless: bool,
}

/// A session being recorded.
pub struct Session {
    name: String,
    text: String,
    replaced: BTreeMap<String, String>,
    http: Client,
}

impl Session {
    /// Begins a session with one sentence on what it shows.
    pub async fn new(name: &str, fleet: &Fleet, about: &str) -> Self {
        let mut replaced = BTreeMap::new();
        for (index, engine) in fleet.engines.iter().enumerate() {
            replaced.insert(engine.server().address().to_string(), format!("ENGINE-{index}"));
        }
        for router in &fleet.routers {
            let Ok(status) = router.get("/status").await else { continue };
            let incarnation = status["incarnation"].as_u64().expect("a status has an incarnation");
            let prefix = format!("{}-", router.name());
            replaced.insert(format!("{prefix}{incarnation:x}-"), format!("{prefix}{INCARNATION}"));
            replaced.insert(router.settings().listen.links.to_string(), format!("{prefix}LINKS"));
        }
        let http = Client::builder().no_proxy().build().unwrap();
        Self { name: name.into(), text: format!("# {about}\n"), replaced, http }
    }

    /// Adds a line on what happens outside the exchange.
    pub fn note(&mut self, note: &str) {
        let _ = writeln!(self.text, "\n# {note}");
    }

    /// Sends a request and records it and its answer's head; the answer's body is still to come.
    pub async fn open(&mut self, sent: Sent<'_>) -> Response {
        let mut request =
            self.http.request(sent.method.parse().unwrap(), format!("{}{}", sent.url, sent.path));
        let _ = writeln!(self.text, "\n> {} {}", sent.method, sent.path);
        for (name, value) in &sent.headers {
            let _ = writeln!(self.text, "> {name}: {}", shown(name, value));
            request = request.header(*name, value);
        }
        if !sent.body.is_empty() {
            let _ = writeln!(self.text, "{}", sent.body);
        }
        let body = match sent.endless {
            false => Body::from(sent.body),
            true => {
                let _ = writeln!(self.text, "# The rest of the body never comes.");
                let first = stream::iter([Ok::<_, std::io::Error>(sent.body)]);
                Body::wrap_stream(first.chain(stream::pending()))
            }
        };
        let response = request.body(body).send().await.expect("a router answers");
        let _ = writeln!(self.text, "\n< {}", response.status());
        let mut lines = Vec::new();
        for (name, value) in response.headers() {
            if UNCOMPARED.contains(&name.as_str()) {
                continue;
            }
            lines.push(format!("< {name}: {}\n", shown(name.as_str(), value.to_str().unwrap())));
        }
        lines.sort();
        self.text.extend(lines);
        response
    }

    /// Sends a request and records it and its whole answer; returns the answer's body.
    pub async fn send(&mut self, sent: Sent<'_>) -> String {
        let response = self.open(sent).await;
        self.finish(response).await
    }

    /// Records the rest of an answer; returns it.
    pub async fn finish(&mut self, response: Response) -> String {
        let body = match response.text().await {
            Ok(body) => body,
            Err(_) => "the connection broke\n".into(),
        };
        let _ = writeln!(self.text, "{}", body.trim_end_matches('\n'));
        body
    }

    /// Records text.
    pub fn push(&mut self, text: &str) {
        self.text.push_str(text);
    }

    /// Compares the session with its file, or writes the file; returns the difference.
    pub fn compare(mut self) -> Option<String> {
        for (from, to) in &self.replaced {
            self.text = self.text.replace(from, to);
        }
        self.text = with_own_sequence(&self.text);
        let text: String = self.text.lines().map(|line| without_times(line) + "\n").collect();
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
            .join("tests/golden")
            .join(format!("{}.txt", self.name));
        if env::var_os(RECORD).is_some() {
            fs::write(&path, &text).expect("the file can be written");
            return None;
        }
        let golden = fs::read_to_string(&path).unwrap_or_default();
        if golden == text {
            return None;
        }
        let diff = TextDiff::from_lines(&golden, &text);
        let (golden, now) = (format!("{}.txt", self.name), "this run");
        Some(diff.unified_diff().header(&golden, now).to_string())
    }
}

fn shown<'a>(name: &str, value: &'a str) -> &'a str {
    match name {
        "x-affinity" => "AFFINITY",
        "retry-after" => "SECONDS",
        _ => value,
    }
}

/// Renumbers request ids by their first appearance.
fn with_own_sequence(text: &str) -> String {
    let mut parts = text.split(INCARNATION);
    let mut own = parts.next().unwrap_or_default().to_owned();
    let mut numbers: Vec<&str> = Vec::new();
    for part in parts {
        let end = part.find(|c: char| !c.is_ascii_digit()).unwrap_or(part.len());
        let (number, rest) = part.split_at(end);
        let known = numbers.iter().position(|known| *known == number).unwrap_or(numbers.len());
        if known == numbers.len() {
            numbers.push(number);
        }
        let _ = write!(own, "{INCARNATION}{}{rest}", known + 1);
    }
    own
}

/// Replaces the numbers of fields that hold times in a line of JSON.
fn without_times(line: &str) -> String {
    let Ok(mut json) = serde_json::from_str::<Value>(line) else { return line.into() };
    if !replace_times(&mut json) {
        return line.into();
    }
    json.to_string()
}

fn replace_times(json: &mut Value) -> bool {
    let mut replaced = false;
    match json {
        Value::Object(fields) => {
            for (name, value) in fields {
                let is_time = name.ends_with("at_ms") || name == "retry_after_ms";
                if is_time && value.is_number() {
                    *value = "TIME".into();
                    replaced = true;
                }
                replaced |= replace_times(value);
            }
        }
        Value::Array(items) => {
            for item in items {
                replaced |= replace_times(item);
            }
        }
        _ => {}
    }
    replaced
}
