//! The file format of recorded loads: the requests of callers, the engines, and outages and surges.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

/// A recorded load, as read from its file.
///
/// All times given in seconds count from the start of the simulation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Time during which callers send requests.
    pub length_s: f64,
    /// Number of routers.
    pub routers: u32,
    /// Number of callers, each of which sends first attempts to one router, drawn by chance. If it
    /// is missing, each attempt of a request goes to a random router, as retries always do.
    pub callers: Option<u32>,
    /// One-way network delay between a router and an engine.
    #[serde(rename = "way_ms")]
    pub one_way_delay_ms: f64,
    /// Interval at which routers exchange their observations of the engines; if it is missing, they
    /// exchange none.
    pub exchange_ms: Option<f64>,
    /// Number and properties of the engines.
    pub engines: EngineSettings,
    /// Kinds of requests.
    pub kinds: Vec<RequestKind>,
    /// Periods with more requests than usual.
    #[serde(default, rename = "presses")]
    pub surges: Vec<Surge>,
    /// Periods in which some engines do not respond.
    #[serde(default, rename = "dark")]
    pub outages: Vec<Outage>,
    /// Period in which most new requests reach one router.
    pub funnel: Option<Funnel>,
    /// Period in which the engines are brittle.
    pub brittle: Option<Brittle>,
    /// Evacuation of the zone of some engines.
    pub evacuation: Option<Evacuation>,
    /// Restart of some engines, which are cold then.
    pub cold: Option<ColdRestart>,
    /// Periods in which many requests have the same shared prompt part.
    #[serde(default, rename = "hot")]
    pub hot_parts: Vec<HotPart>,
    /// How routers choose an engine for a request.
    #[serde(default, rename = "placing")]
    pub placement: PlacementMode,
}

/// How routers choose an engine for a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum PlacementMode {
    /// By cached prompts and load, as for services whose requests have prompts.
    #[default]
    Reuse,
    /// By load alone, as for services whose requests have no prompts.
    LeastLoad,
}

/// Number and properties of the engines, which are all alike.
///
/// An engine generates tokens in steps: each step yields one token for every request that is
/// generating its answer.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Number of engines.
    pub count: u32,
    /// Number of requests that an engine processes at the same time.
    pub slots: u32,
    /// Length of an engine's queue; an engine rejects requests while its queue is full.
    pub queue: u32,
    /// Duration of a step before the time for each request is added.
    pub step_ms: f64,
    /// Time by which each request that is generating its answer extends a step.
    pub step_ms_per_request: f64,
    /// Prompt tokens that an engine reads per millisecond; while it reads, it runs no steps.
    pub read_tokens_per_ms: f64,
    /// Prompt tokens that an engine copies from another engine per millisecond; its steps continue
    /// meanwhile.
    pub copied_tokens_per_ms: f64,
    /// Capacity of an engine's cache of shared prompt parts, in tokens.
    #[serde(rename = "kept_tokens")]
    pub cache_capacity_tokens: u64,
    /// Age of the load that an engine reports.
    pub report_lag_ms: f64,
}

/// Properties of the requests of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name of the kind, which is also the name of its route.
    pub name: Arc<str>,
    /// Mean number of new requests per second.
    pub per_s: f64,
    /// Number of different shared prompt parts, each of which is equally likely.
    pub shared_parts: u64,
    /// Tokens of the prompt part that a request shares with others.
    pub shared_tokens: u32,
    /// Tokens of the prompt part that belongs to the request alone.
    pub own_tokens: u32,
    /// Mean number of tokens of an answer; each answer has between 0.1 and 1.9 times as many.
    pub answer_tokens: u32,
    /// Time to the first token up to which an answer counts as in time.
    #[serde(rename = "aim_ms")]
    pub target_latency_ms: f64,
    /// Longest time for which a caller waits for the end of the answer.
    pub deadline_ms: f64,
    /// Largest fraction, from 0 to 1, by which a caller's deadline is shorter than `deadline_ms`.
    #[serde(default)]
    pub deadline_spread: f64,
}

/// A period in which most first attempts reach one router. Retries reach others, as always.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Funnel {
    /// Start of the period.
    pub at_s: f64,
    /// Length of the period.
    pub for_s: f64,
    /// Share of the first attempts, from 0 to 1.
    pub share: f64,
}

impl Funnel {
    /// Returns the share of the first attempts that reach one router at a time.
    pub(crate) fn share_at(&self, now: Duration) -> f64 {
        if is_within(now.as_secs_f64(), self.at_s, self.for_s) { self.share } else { 0.0 }
    }
}

/// A period with more requests than usual.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// Start of the period.
    pub at_s: f64,
    /// Length of the period.
    pub for_s: f64,
    /// Factor by which the rates of all kinds of requests are multiplied.
    #[serde(rename = "times")]
    pub rate_factor: f64,
}

/// A period in which some engines do not respond and lose all their requests and cached prompts.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// Start of the outage.
    pub at_s: f64,
    /// Length of the outage.
    pub for_s: f64,
    /// Fraction of the engines that are down, from 0 to 1.
    pub share: f64,
}

/// A period in which all engines say with their answers that they are brittle: soon they let fewer
/// requests wait, and one that rejects too many within a second falls over.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Brittle {
    /// Start of the period.
    pub at_s: f64,
    /// Length of the period.
    pub for_s: f64,
    /// Time after the start of the period from which fewer requests may wait.
    pub notice_s: f64,
    /// Number of requests that may wait at an engine.
    pub queue: u32,
    /// Largest number of requests that an engine can reject within a second.
    pub max_rejections: u32,
    /// Time for which an engine that fell over is down.
    pub down_s: f64,
}

impl Brittle {
    /// Returns whether the engines state that they are brittle.
    pub(crate) fn is_announced(&self, now: Duration) -> bool {
        is_within(now.as_secs_f64(), self.at_s, self.for_s)
    }

    /// Returns whether fewer requests may wait.
    pub(crate) fn is_in_effect(&self, now: Duration) -> bool {
        self.is_announced(now) && now.as_secs_f64() >= self.at_s + self.notice_s
    }
}

/// An evacuation of the zone of some engines, which get no new requests meanwhile. All routers know
/// of it at once.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {
    /// Start of the evacuation.
    pub at_s: f64,
    /// Length of the evacuation.
    pub for_s: f64,
    /// Fraction of the engines that are in the zone, from 0 to 1.
    pub share: f64,
}

impl Evacuation {
    /// Returns whether an engine is in the evacuated zone; the engines with the lowest numbers are.
    pub(crate) fn affects(&self, engine: u32, engines: u32) -> bool {
        f64::from(engine) < self.share * f64::from(engines)
    }

    /// Returns whether the zone is evacuated.
    pub(crate) fn is_in_effect(&self, now: Duration) -> bool {
        is_within(now.as_secs_f64(), self.at_s, self.for_s)
    }
}

/// A restart of some engines, which lose their requests and caches and are cold then: one that gets
/// too many requests within a second falls over.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdRestart {
    /// Time of the restart.
    pub at_s: f64,
    /// Length of the time for which the engines are cold.
    pub for_s: f64,
    /// Fraction of the engines that restart, from 0 to 1.
    pub share: f64,
    /// Longest time until the new entries reach a router; each gets them after a random time.
    pub notice_s: f64,
    /// Requests per second that a cold engine bears.
    pub requests_per_s: f64,
    /// Factor by which requests may exceed that rate before the engine falls over.
    pub overshoot: f64,
    /// Number of requests within a second by which they may exceed it besides.
    pub slack: f64,
    /// Time for which an engine that fell over is down.
    pub down_s: f64,
}

impl ColdRestart {
    /// Returns whether an engine restarts; the engines with the lowest numbers do.
    pub(crate) fn affects(&self, engine: usize, engines: u32) -> bool {
        (engine as f64) < self.share * f64::from(engines)
    }

    /// Returns whether the engines that restarted are cold.
    pub(crate) fn is_in_effect(&self, now: Duration) -> bool {
        is_within(now.as_secs_f64(), self.at_s, self.for_s)
    }

    /// Returns the largest number of requests within a second that a cold engine bears.
    pub(crate) fn max_requests(&self) -> usize {
        // Casting a float to an integer truncates.
        (self.requests_per_s * self.overshoot + self.slack) as usize
    }
}

/// A period in which many requests of a kind have the same shared prompt part.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HotPart {
    /// Start of the period.
    pub at_s: f64,
    /// Length of the period.
    pub for_s: f64,
    /// Name of the kind of requests.
    pub kind: String,
    /// Fraction of the requests of this kind that have the same shared part, from 0 to 1.
    pub share: f64,
}

/// Error of reading a load: invalid JSON, or a missing, unknown or malformed field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadError(String);

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for LoadError {}

impl Load {
    /// Parses a load from JSON with comments.
    ///
    /// Returns an error if `text` is invalid JSON or a field is missing, unknown or of a wrong
    /// type.
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

    /// Returns the factor by which the rates of requests are multiplied at `now`: the largest one
    /// of the current surges, but at least 1.
    pub(crate) fn rate_factor(&self, now: Duration) -> f64 {
        let now_s = now.as_secs_f64();
        let surges = self.surges.iter().filter(|surge| is_within(now_s, surge.at_s, surge.for_s));
        surges.map(|surge| surge.rate_factor).fold(1.0, f64::max)
    }

    /// Returns the fraction of the requests of `kind` that have the hot shared part at `now`.
    pub(crate) fn hot_share(&self, kind: &str, now: Duration) -> f64 {
        let now_s = now.as_secs_f64();
        let is_hot = |hot: &&HotPart| *hot.kind == *kind && is_within(now_s, hot.at_s, hot.for_s);
        self.hot_parts.iter().filter(is_hot).map(|hot| hot.share).fold(0.0, f64::max)
    }

    /// Returns whether an engine is down at `now`; an outage affects the engines with the lowest
    /// numbers.
    pub(crate) fn is_down(&self, engine: u32, now: Duration) -> bool {
        let now_s = now.as_secs_f64();
        let position = f64::from(engine) / f64::from(self.engines.count);
        self.outages
            .iter()
            .any(|outage| is_within(now_s, outage.at_s, outage.for_s) && position < outage.share)
    }
}

/// Returns whether `now_s` lies in the period that starts at `at_s` and lasts `for_s`.
fn is_within(now_s: f64, at_s: f64, for_s: f64) -> bool {
    (at_s..at_s + for_s).contains(&now_s)
}
