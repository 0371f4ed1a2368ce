//! Counts of a run and the trails of streams that went wrong.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde_json::Value;

use super::check::{StreamRecord, Way};

/// Streams that went wrong in the same ways whose trails are printed.
const TRAILS_MAX: usize = 2;
/// Messages of the routers' logs that tell who decided where a request went.
const DECISIONS: [&str; 4] =
    ["stream_looked_up", "request_placed", "request_refused", "request_answered"];

/// Result of a run.
#[derive(Debug, Default)]
pub struct StreamReport {
    /// All streams.
    pub streams: Vec<StreamRecord>,
    /// Troubles with the times since the start at which they began and ended.
    pub troubles: Vec<(Duration, String)>,
    /// Log lines of each router.
    pub logs: Vec<Vec<String>>,
}

impl StreamReport {
    /// Returns the streams that went wrong, each with the ways.
    pub fn wrong_streams(&self) -> Vec<(&StreamRecord, Vec<Way>)> {
        let ways = self.streams.iter().map(|stream| (stream, stream.ways()));
        ways.filter(|(_, ways)| !ways.is_empty()).collect()
    }

    /// Returns the number of streams that went wrong, for each way.
    pub fn way_counts(&self) -> BTreeMap<Way, usize> {
        let mut counts = BTreeMap::new();
        for way in self.streams.iter().flat_map(StreamRecord::ways) {
            *counts.entry(way).or_default() += 1;
        }
        counts
    }

    /// Returns one line with all counts.
    pub fn summary(&self) -> String {
        let count = |is: &dyn Fn(&&StreamRecord) -> bool| self.streams.iter().filter(is).count();
        let resumable = |one: &&StreamRecord| one.content.route.is_resumable();
        let lookups = self.lookup_counts();
        let ways: Vec<String> =
            self.way_counts().iter().map(|(way, count)| format!("{way} {count}")).collect();
        format!(
            "streams {} complete {} [last status of others: {}] broken {} broken-resumable {} resumed {} went-on {} lookups \
             [{lookups}] ORDER {} [{}]",
            self.streams.len(),
            count(&|one| one.is_complete()),
            self.incomplete_counts(),
            count(&|one| one.is_broken()),
            count(&|one| one.is_broken() && resumable(one)),
            count(&|one| one.is_resumed()),
            count(&|one| one.went_on()),
            self.wrong_streams().len(),
            ways.join(", "),
        )
    }

    /// Returns the number of streams that did not end as complete, by the status of the last try.
    fn incomplete_counts(&self) -> String {
        let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
        for stream in self.streams.iter().filter(|stream| !stream.is_complete()) {
            *counts.entry(stream.tries.last().map_or(0, |one| one.status)).or_default() += 1;
        }
        let counts: Vec<String> =
            counts.iter().map(|(status, count)| format!("{status} {count}")).collect();
        counts.join(", ")
    }

    /// Returns how often each outcome of a lookup was logged.
    fn lookup_counts(&self) -> String {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for line in self.logs.iter().flatten().filter(|line| line.contains("stream_looked_up")) {
            let Ok(line) = serde_json::from_str::<Value>(line) else { continue };
            let outcome = line["kvs"]["outcome"].as_str().unwrap_or("?");
            *counts.entry(outcome.to_owned()).or_default() += 1;
        }
        let counts: Vec<String> =
            counts.iter().map(|(name, count)| format!("{name} {count}")).collect();
        counts.join(", ")
    }

    /// Writes a stream's tries, the log lines that name them, and its events by writer.
    fn write_trail(&self, f: &mut fmt::Formatter<'_>, stream: &StreamRecord) -> fmt::Result {
        let content = &stream.content;
        writeln!(
            f,
            "  stream {} {:?} {} events",
            content.stream, content.route, content.event_count
        )?;
        for one in &stream.tries {
            writeln!(
                f,
                "    {} at router-{} from {:.3} s to {:.3} s, after event {}: status {}, whole {}, \
                 left {}, rest {} bytes",
                one.request,
                one.router,
                one.sent_s,
                one.ended_s,
                one.last_event,
                one.status,
                one.is_whole,
                one.is_left,
                one.rest_bytes,
            )?;
            for (router, line) in self.lines_about(&one.request) {
                writeln!(f, "      router-{router}: {line}")?;
            }
            let mut events = one.events.as_slice();
            while let Some(first) = events.first() {
                let same = events.iter().take_while(|event| event.writer == first.writer).count();
                let numbers: Vec<u32> = events[..same].iter().map(|event| event.number).collect();
                writeln!(f, "      events {numbers:?} by {:?}", first.writer)?;
                events = &events[same..];
            }
        }
        Ok(())
    }

    /// Returns the log lines about decisions on a request, with the number of the router.
    fn lines_about(&self, request: &str) -> Vec<(usize, &str)> {
        let quoted = format!("\"{request}\"");
        let mut lines = Vec::new();
        for (router, log) in self.logs.iter().enumerate() {
            for line in log.iter().filter(|line| line.contains(&quoted)) {
                if DECISIONS.iter().any(|decision| line.contains(decision)) {
                    lines.push((router, line.as_str()));
                }
            }
        }
        lines
    }
}

impl fmt::Display for StreamReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, trouble) in &self.troubles {
            writeln!(f, "{:8.3} s  {trouble}", at.as_secs_f64())?;
        }
        let mut printed: BTreeMap<String, usize> = BTreeMap::new();
        for (stream, ways) in self.wrong_streams() {
            let ways: Vec<String> = ways.iter().map(Way::to_string).collect();
            let ways = ways.join(", ");
            let count = printed.entry(ways.clone()).or_default();
            *count += 1;
            if *count > TRAILS_MAX {
                continue;
            }
            writeln!(f, "  ORDER {ways}")?;
            self.write_trail(f, stream)?;
        }
        writeln!(f, "{}", self.summary())
    }
}
