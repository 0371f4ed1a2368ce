//! A recorded load: who asks for what, how hard, and what fails meanwhile.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

/// A load, as its file states it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Time for which callers ask.
    pub length_s: f64,
    /// Routers that callers ask, all alike.
    pub routers: u32,
    /// Time of one way between routers and engines.
    pub way_ms: f64,
    /// Time between two exchanges of loads among the routers, where there are any.
    pub exchange_ms: Option<f64>,
    /// The engines.
    pub engines: Engines,
    /// What is asked for.
    pub kinds: Vec<Kind>,
    /// Times in which callers press.
    #[serde(default)]
    pub presses: Vec<Press>,
    /// Times in which engines are dark.
    #[serde(default)]
    pub dark: Vec<Dark>,
    /// Times in which many requests share one part.
    #[serde(default)]
    pub hot: Vec<Hot>,
    /// How routers place requests.
    #[serde(default)]
    pub placing: Placing,
}

/// How routers place requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Placing {
    /// By prompt and load, as routers do.
    #[default]
    Reuse,
    /// By load alone, as for services without prompts.
    LeastLoad,
}

/// Engines, all alike.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// Their number.
    pub count: u32,
    /// Requests that one runs at once.
    pub slots: u32,
    /// Requests that wait in one beyond that before it turns others away.
    pub queue: u32,
    /// Time of a step, in which each running request gets a token.
    pub step_ms: f64,
    /// Time that each running request adds to a step.
    pub step_ms_per_request: f64,
    /// Prompt tokens read in a millisecond, in which no step is made.
    pub read_tokens_per_ms: f64,
    /// Prompt tokens copied from another engine in a millisecond, beside its steps.
    pub copied_tokens_per_ms: f64,
    /// Tokens of shared parts that one keeps.
    pub kept_tokens: u64,
    /// Age of the load that it reports.
    pub report_lag_ms: f64,
}

/// Requests of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name.
    pub name: Arc<str>,
    /// Requests a second.
    pub per_s: f64,
    /// Different shared parts, all asked for alike.
    pub shared_parts: u64,
    /// Tokens of a shared part.
    pub shared_tokens: u32,
    /// Tokens of a request's own part.
    pub own_tokens: u32,
    /// Mean tokens of an answer; each is up to twice as long.
    pub answer_tokens: u32,
    /// Time to the first token that callers aim at.
    pub aim_ms: f64,
    /// Longest time for which callers wait.
    pub deadline_ms: f64,
    /// Part of it by which the least patient callers wait less.
    #[serde(default)]
    pub deadline_spread: f64,
}

/// A time in which callers press.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Press {
    /// Its start.
    pub at_s: f64,
    /// Its length.
    pub for_s: f64,
    /// Multiple of the usual requests.
    pub times: f64,
}

/// A time in which engines are dark: they answer nothing, and forget what they ran.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dark {
    /// Its start.
    pub at_s: f64,
    /// Its length.
    pub for_s: f64,
    /// Part of the engines.
    pub share: f64,
}

/// A time in which many requests of a kind share one part.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hot {
    /// Its start.
    pub at_s: f64,
    /// Its length.
    pub for_s: f64,
    /// The kind.
    pub kind: String,
    /// Part of its requests.
    pub share: f64,
}

/// Why a load could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadError(String);

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for LoadError {}

impl Load {
    /// Reads a load from JSON with comments; fails where it is none, or lacks a field.
    ///
    /// ```
    /// use teaselworks_model::Load;
    ///
    /// assert!(Load::parse("{ \"length_s\": 1 }").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, LoadError> {
        let options = jsonc_parser::ParseOptions::default();
        jsonc_parser::parse_to_serde_value::<Load>(text, &options)
            .map_err(|error| LoadError(error.to_string()))
    }

    /// Returns the multiple of the usual requests at a time.
    pub(crate) fn pressure(&self, now: Duration) -> f64 {
        let now_s = now.as_secs_f64();
        let presses = self.presses.iter().filter(|press| is_within(now_s, press.at_s, press.for_s));
        presses.map(|press| press.times).fold(1.0, f64::max)
    }

    /// Returns the part of the requests of a kind that share one part at a time.
    pub(crate) fn hot_share(&self, kind: &str, now: Duration) -> f64 {
        let now_s = now.as_secs_f64();
        let is_hot = |hot: &&Hot| *hot.kind == *kind && is_within(now_s, hot.at_s, hot.for_s);
        self.hot.iter().filter(is_hot).map(|hot| hot.share).fold(0.0, f64::max)
    }

    /// Tells whether an engine is dark at a time.
    pub(crate) fn is_dark(&self, engine: u32, now: Duration) -> bool {
        let now_s = now.as_secs_f64();
        let place = f64::from(engine) / f64::from(self.engines.count);
        self.dark.iter().any(|dark| is_within(now_s, dark.at_s, dark.for_s) && place < dark.share)
    }
}

fn is_within(now_s: f64, at_s: f64, for_s: f64) -> bool {
    (at_s..at_s + for_s).contains(&now_s)
}
