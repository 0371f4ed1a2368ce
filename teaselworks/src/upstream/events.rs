//! Splits an engine's stream into whole events, counts tokens and finds its end.

use std::borrow::Cow;
use std::ops::Range;

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use teaselworks_policy::name::AttemptId;
use teaselworks_wire::message::TokenUse;

/// Largest event taken from an engine, in bytes.
const EVENT_SIZE_BYTES: usize = 1 << 20;

/// What one piece of the stream held.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ParsedEvents {
    /// Whole events to pass on, without the end marker and the usage event.
    pub bytes: Bytes,
    /// Tokens that `bytes` carries.
    pub tokens: u64,
}

/// State of one stream.
#[derive(Debug, Default)]
pub struct EventParser {
    pending: BytesMut,
    tokens: u64,
    usage: Option<TokenUse>,
    done: bool,
    finish_seen: bool,
    expected: Option<String>,
    id: Option<String>,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow)]
    id: Option<Text<'a>>,
    #[serde(default, borrow)]
    choices: Vec<Choice<'a>>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(default, borrow)]
    delta: Delta<'a>,
    finish_reason: Option<serde::de::IgnoredAny>,
}

#[derive(Default, Deserialize)]
struct Delta<'a> {
    #[serde(borrow)]
    content: Option<Text<'a>>,
    tool_calls: Option<serde::de::IgnoredAny>,
}

/// A text that stays where it was read, unless it has escapes.
///
/// Only as a field of a type of its own is it borrowed: alone, the library copies it.
#[derive(Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u64,
}

impl EventParser {
    /// Starts a stream whose every event must name the attempt at the end of its id.
    pub fn of_attempt(attempt: &AttemptId) -> Self {
        Self { expected: Some(attempt.to_string()), ..Self::default() }
    }

    /// Takes a piece of the stream; fails when an event is too large or no valid JSON.
    ///
    /// ```
    /// use teaselworks::upstream::EventParser;
    ///
    /// let mut parser = EventParser::default();
    /// let event = bytes::Bytes::from("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n");
    /// assert_eq!(parser.push(event.slice(..10)).unwrap().tokens, 0);
    /// assert_eq!(parser.push(event.slice(10..)).unwrap().tokens, 1);
    /// ```
    pub fn push(&mut self, piece: Bytes) -> Result<ParsedEvents, String> {
        let input = self.joined(piece);
        let before_tokens = self.tokens;
        let mut passed = Passed::default();
        let mut at = 0;
        while let Some(length) = event_end(&input[at..]) {
            let event = at..at + length;
            at = event.end;
            if self.read(&input[event.clone()])? {
                passed.add(&input, event);
            }
        }
        self.pending.extend_from_slice(&input[at..]);
        if self.pending.len() > EVENT_SIZE_BYTES {
            return Err("an event of the engine is too large".into());
        }
        Ok(ParsedEvents { bytes: passed.finish(&input), tokens: self.tokens - before_tokens })
    }

    /// Returns a piece behind what the last one left; most pieces are whole events, and not copied.
    fn joined(&mut self, piece: Bytes) -> Bytes {
        if self.pending.is_empty() {
            return piece;
        }
        self.pending.extend_from_slice(&piece);
        std::mem::take(&mut self.pending).freeze()
    }

    /// Tells whether the end marker came, after a finish reason.
    ///
    /// A stream that merely closes looks whole to a reader that does not ask for the marker; the
    /// answer would be cut short silently.
    pub fn is_whole(&self) -> bool {
        self.done && self.finish_seen
    }

    /// Returns the tokens generated so far.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the use that the engine reported.
    pub fn usage(&self) -> Option<TokenUse> {
        self.usage
    }

    /// Checks that every event names the same answer, and the attempt where that is expected.
    ///
    /// An engine that mixes up two streams would show one caller the answer to another; the text
    /// gives no sign of it, the events' id does.
    fn check_id(&mut self, id: Option<&str>) -> Result<(), String> {
        let Some(id) = id else {
            return Ok(());
        };
        if self.id.as_deref() == Some(id) {
            return Ok(());
        }
        if self.expected.as_deref().is_some_and(|expected| !id.ends_with(expected)) {
            return Err("an event of the engine names another attempt".into());
        }
        if self.id.is_some() {
            return Err("an event of the engine belongs to another answer".into());
        }
        self.id = Some(id.to_owned());
        Ok(())
    }

    /// Reads one event and tells whether it is passed on.
    fn read(&mut self, event: &[u8]) -> Result<bool, String> {
        let Some(data) = data(event) else {
            return Ok(true);
        };
        if data == b"[DONE]" {
            self.done = true;
            return Ok(false);
        }
        let chunk: Chunk = serde_json::from_slice(data)
            .map_err(|error| format!("an event of the engine is not valid: {error}"))?;
        self.check_id(chunk.id.as_ref().map(|id| &*id.0))?;
        if let Some(usage) = chunk.usage {
            self.usage = Some(TokenUse {
                prompt_tokens: usage.prompt_tokens,
                cached_tokens: usage.prompt_tokens_details.map_or(0, |d| d.cached_tokens),
                output_tokens: usage.completion_tokens,
            });
        }
        for choice in &chunk.choices {
            self.finish_seen |= choice.finish_reason.is_some();
            let has_text = choice.delta.content.as_ref().is_some_and(|text| !text.0.is_empty());
            self.tokens += u64::from(has_text || choice.delta.tool_calls.is_some());
        }
        Ok(!chunk.choices.is_empty())
    }
}

/// Events that are passed on: one run of the input, behind a copy of earlier ones where an event
/// between them was left out.
#[derive(Default)]
struct Passed {
    earlier: BytesMut,
    run: Range<usize>,
}

impl Passed {
    fn add(&mut self, input: &Bytes, event: Range<usize>) {
        if self.run.end != event.start {
            self.earlier.extend_from_slice(&input[self.run.clone()]);
            self.run.start = event.start;
        }
        self.run.end = event.end;
    }

    fn finish(mut self, input: &Bytes) -> Bytes {
        if self.earlier.is_empty() {
            return input.slice(self.run);
        }
        self.earlier.extend_from_slice(&input[self.run]);
        self.earlier.freeze()
    }
}

/// Returns the length of the first whole event, its blank line included.
fn event_end(pending: &[u8]) -> Option<usize> {
    let mut previous = 0;
    for at in memchr::memchr_iter(b'\n', pending) {
        let line = &pending[previous..at];
        if at > 0 && (line.is_empty() || line == b"\r") {
            return Some(at + 1);
        }
        previous = at + 1;
    }
    None
}

/// Returns the data of an event's `data:` line.
fn data(event: &[u8]) -> Option<&[u8]> {
    let mut lines = event;
    loop {
        let end = memchr::memchr(b'\n', lines);
        let line = &lines[..end.unwrap_or(lines.len())];
        if let Some(data) = line.strip_prefix(b"data:") {
            return Some(data.trim_ascii());
        }
        lines = &lines[end? + 1..];
    }
}
