//! Golden tests: the messages of sessions with a running router, compared with recorded files.
//!
//! `TEASELWORKS_RECORD=1 cargo test -p teaselworks --test golden` records the files below
//! `tests/golden` again; review the change as a diff of these files. Times, dates, addresses and
//! identifiers of replicas are replaced by placeholders, since they differ from run to run.

mod common;

use std::path::PathBuf;
use std::{env, fs};

use common::{chat, fleet, request};
use similar::TextDiff;
use teaselworks_standin::caller::{Call, Reply, call};
use teaselworks_standin::configuration::HOST;
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::message::Head;
use teaselworks_standin::upstream::{Script, Step, chunk};

/// Requests sent to a router one after the other, and a transcript of all messages.
struct Session<'a> {
    name: &'static str,
    fleet: &'a Fleet,
    text: String,
}

impl<'a> Session<'a> {
    fn new(name: &'static str, heading: &str, fleet: &'a Fleet) -> Self {
        Self { name, fleet, text: format!("# {heading}\n") }
    }

    /// Sends a request, and adds it, the messages that replicas received and the reply to the
    /// transcript.
    async fn send(&mut self, sent: Call) {
        let received_before: Vec<usize> =
            self.upstreams().map(|upstream| upstream.received_requests().len()).collect();
        let reply = call(self.fleet.routers[0].callers_address(), &sent).await.unwrap();
        self.text.push_str(&format!("\n> {} {}\n", sent.method, sent.target));
        let mut lines = Vec::new();
        for (upstream, received_before) in self.upstreams().zip(received_before) {
            for req in upstream.received_requests().into_iter().skip(received_before) {
                let kind = upstream.id.split('-').next().unwrap_or_default();
                let (method, target) = req.target();
                lines.push((
                    req.has_run,
                    format!(
                        "  {kind} gets {method} {target}\n{}",
                        format_headers(&req.head, "    ")
                    ),
                ));
            }
        }
        // Puts the attempt that broke off before the one that resumes the stream.
        lines.sort_by_key(|(_, text)| text.contains("last-event-id"));
        lines.iter().for_each(|(_, text)| self.text.push_str(text));
        self.push_reply(&reply);
    }

    /// Adds a reply to the transcript.
    fn push_reply(&mut self, reply: &Reply) {
        let completeness = if reply.body.is_whole { "whole" } else { "broken off" };
        self.text.push_str(&format!(
            "< {} ({completeness})\n{}",
            reply.status(),
            format_headers(&reply.head, "  ")
        ));
        for line in reply.text().lines() {
            self.text.push_str(&format!("  | {line}\n"));
        }
    }

    fn upstreams(&self) -> impl Iterator<Item = &teaselworks_standin::upstream::Upstream> {
        self.fleet.engines.iter().chain(&self.fleet.services)
    }

    /// Compares the transcript with the recorded file, and returns the difference if there is one.
    /// Writes the file first if `TEASELWORKS_RECORD` is set.
    fn compare_with_recording(self) -> Option<String> {
        let file = format!("tests/golden/{}.txt", self.name);
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(file);
        if env::var_os("TEASELWORKS_RECORD").is_some() {
            fs::create_dir_all(path.parent().unwrap()).unwrap();
            fs::write(&path, &self.text).unwrap();
        }
        let recorded = fs::read_to_string(&path).unwrap_or_default();
        if recorded == self.text {
            return None;
        }
        let difference = TextDiff::from_lines(recorded.as_str(), self.text.as_str());
        Some(format!("{}\n{}", self.name, difference.unified_diff()))
    }
}

/// Returns the headers in alphabetical order, with placeholders for values that differ from run to
/// run.
fn format_headers(head: &Head, indent: &str) -> String {
    let mut lines = Vec::new();
    for (name, value) in &head.headers {
        let value = match name.as_str() {
            "x-deadline-ms" | "retry-after" => "(time)",
            "x-expect-instance" => "(replica)",
            "kv-fetch" => "(address)",
            "date" => "(date)",
            _ => value,
        };
        lines.push(format!("{indent}{name}: {value}\n"));
    }
    lines.sort();
    lines.concat()
}

/// Guards against an unintended change of the messages between callers, router and replicas.
#[tokio::test]
async fn sessions_are_as_recorded() {
    let fleet = fleet(1).await;
    let mut differences = Vec::new();

    let mut session = Session::new(
        "plain",
        "Requests that are answered, lack an API key, or match no route.",
        &fleet,
    );
    session.send(request("GET", "/read/a?b=c", "1")).await;
    session.send(request("POST", "/write/a", "2").with_body("a tag")).await;
    session.send(Call::new("GET", HOST, "/read/a", "3")).await;
    session.send(request("GET", "/elsewhere/a", "4")).await;
    differences.extend(session.compare_with_recording());

    let mut session =
        Session::new("stream", "A chat answered as a stream of server-sent events.", &fleet);
    session.send(chat("/chat/a", "a5", 1)).await;
    differences.extend(session.compare_with_recording());

    let mut session = Session::new(
        "resumed",
        "A stream that breaks off and is resumed at another engine.",
        &fleet,
    );
    for engine in &fleet.engines {
        engine.set_behaviour(|req| {
            let last: Option<u32> = req.head.header("last-event-id").and_then(|id| id.parse().ok());
            let gap = std::time::Duration::from_millis(1);
            match last {
                Some(last) => Script::stream(req, last + 1..5, gap, true),
                None => Script::stream(req, 1..3, gap, false)
                    .then(Step::Write(chunk("id: 3\ndat")))
                    .then(Step::Close),
            }
        });
    }
    session.send(chat("/gloss/a", "a6", 2)).await;
    differences.extend(session.compare_with_recording());

    let heading = "Replicas that reject a request without running it, or close the connection.";
    let mut session = Session::new("failures", heading, &fleet);
    for service in &fleet.services {
        service.set_behaviour(Script::rejected);
    }
    session.send(request("POST", "/write/a", "7").with_body("a tag")).await;
    for service in &fleet.services {
        service.set_behaviour(|_| Script::new(vec![Step::Close]));
    }
    session.send(request("POST", "/write/a", "8").with_body("a tag")).await;
    differences.extend(session.compare_with_recording());

    assert!(
        differences.is_empty(),
        "sessions differ from the recorded files:\n{}",
        differences.join("\n")
    );
}
