//! Model of one engine: it reads prompts, generates answers in steps, caches shared prompt parts
//! and reports its load with a delay.

use std::collections::VecDeque;
use std::time::Duration;

use teaselworks_policy::upstream::LoadReport;

use crate::load::EngineSettings;

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Index of the request in the simulation.
    pub(crate) request: usize,
    /// Identifier of the shared prompt part, by which the engine caches its tokens.
    pub(crate) key: u64,
    /// Tokens of the shared prompt part.
    pub(crate) shared_tokens: u32,
    /// Tokens of the prompt part that belongs to the request alone.
    pub(crate) own_tokens: u32,
    /// Tokens to generate.
    pub(crate) answer_tokens: f64,
}

/// A job that occupies a slot of the engine.
#[derive(Clone, Debug)]
struct RunningJob {
    job: Job,
    /// Prompt tokens that the engine still has to read.
    unread_tokens: f64,
    /// Time until the shared part has been copied from another engine.
    copy_remaining: Duration,
    /// Tokens generated so far, with the fraction of the current step.
    generated_tokens: f64,
}

/// What a request reached during a tick; the number is the index of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Progress {
    /// The first token was generated.
    FirstToken(usize),
    /// The answer is complete.
    Finished(usize),
}

/// Tokens of shared prompt parts that were not in an engine's cache when a request needed them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CacheMisses {
    /// Tokens that the engine read itself.
    pub(crate) read_tokens: u64,
    /// Tokens that were copied from another engine.
    pub(crate) copied_tokens: u64,
}

/// State of one engine.
#[derive(Debug)]
pub(crate) struct Engine {
    settings: EngineSettings,
    running: Vec<RunningJob>,
    /// Queued jobs, each with whether another engine has its shared part cached.
    waiting: VecDeque<(Job, bool)>,
    /// Identifiers and tokens of the cached shared parts, the least recently used first.
    cache: VecDeque<(u64, u32)>,
    /// Load after each of the last ticks, the oldest first.
    reports: VecDeque<(Duration, LoadReport)>,
    pub(crate) cache_misses: CacheMisses,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub(crate) fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            reports: VecDeque::new(),
            cache_misses: CacheMisses::default(),
        }
    }

    /// Returns whether the shared part with the identifier `key` is cached.
    pub(crate) fn has_cached(&self, key: u64) -> bool {
        self.cache.iter().any(|(cached, _)| *cached == key)
    }

    /// Returns the number of running and waiting requests.
    pub(crate) fn request_count(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Adds a job to the queue; returns false if `queue` requests wait already.
    ///
    /// `is_cached_elsewhere` is whether the shared part can be copied from another engine.
    pub(crate) fn enqueue(&mut self, job: Job, is_cached_elsewhere: bool, queue: u32) -> bool {
        // Jobs start with the next tick, so those that will find a free slot do not wait.
        let free_slots = (self.settings.slots as usize).saturating_sub(self.running.len());
        if self.waiting.len() >= queue as usize + free_slots {
            return false;
        }
        self.waiting.push_back((job, is_cached_elsewhere));
        true
    }

    /// Drops a request whose caller has disconnected.
    pub(crate) fn cancel(&mut self, request: usize) {
        self.running.retain(|running| running.job.request != request);
        self.waiting.retain(|(job, _)| job.request != request);
    }

    /// Drops all requests, cached parts and load reports; returns the dropped requests.
    pub(crate) fn crash(&mut self) -> Vec<usize> {
        let running = self.running.drain(..).map(|running| running.job.request);
        let lost = running.chain(self.waiting.drain(..).map(|(job, _)| job.request)).collect();
        self.cache.clear();
        self.reports.clear();
        lost
    }

    /// Returns the latest load that is at least `report_lag_ms` old, if there is one.
    pub(crate) fn delayed_report(&self, now: Duration) -> Option<LoadReport> {
        let lag = Duration::from_secs_f64(self.settings.report_lag_ms / 1e3);
        let latest = self.reports.iter().rev().find(|(at, _)| *at + lag <= now);
        latest.map(|(_, report)| *report)
    }

    /// Processes the requests for one tick.
    ///
    /// Reading prompts takes time from the tick; what remains is left for generating tokens.
    pub(crate) fn advance(&mut self, now: Duration, tick: Duration) -> Vec<Progress> {
        self.start_waiting();
        let mut remaining_ms = tick.as_secs_f64() * 1e3;
        for running in &mut self.running {
            running.copy_remaining = running.copy_remaining.saturating_sub(tick);
            if !running.copy_remaining.is_zero() || running.unread_tokens <= 0.0 {
                continue;
            }
            let read_tokens =
                running.unread_tokens.min(remaining_ms * self.settings.read_tokens_per_ms);
            running.unread_tokens -= read_tokens;
            remaining_ms -= read_tokens / self.settings.read_tokens_per_ms;
        }
        let is_generating =
            |running: &RunningJob| running.unread_tokens <= 0.0 && running.copy_remaining.is_zero();
        let batch_size = self.running.iter().filter(|running| is_generating(running)).count();
        let step_ms = self.settings.step_ms + self.settings.step_ms_per_request * batch_size as f64;
        let mut progress = Vec::new();
        for running in &mut self.running {
            if !is_generating(running) {
                continue;
            }
            if running.generated_tokens == 0.0 {
                progress.push(Progress::FirstToken(running.job.request));
            }
            // More than zero even if no time remains, so that the first token is reported once.
            running.generated_tokens += (remaining_ms / step_ms).max(f64::MIN_POSITIVE);
            if running.generated_tokens >= running.job.answer_tokens {
                progress.push(Progress::Finished(running.job.request));
            }
        }
        self.running.retain(|running| running.generated_tokens < running.job.answer_tokens);
        self.record_report(now);
        progress
    }

    /// Moves jobs from the queue to the free slots.
    fn start_waiting(&mut self) {
        while self.running.len() < self.settings.slots as usize {
            let Some((job, is_cached_elsewhere)) = self.waiting.pop_front() else { return };
            let mut unread_tokens = f64::from(job.own_tokens);
            let mut copy_remaining = Duration::ZERO;
            if !self.has_cached(job.key) {
                let tokens = f64::from(job.shared_tokens);
                if is_cached_elsewhere {
                    self.cache_misses.copied_tokens += u64::from(job.shared_tokens);
                    copy_remaining =
                        Duration::from_secs_f64(tokens / self.settings.copied_tokens_per_ms / 1e3);
                } else {
                    self.cache_misses.read_tokens += u64::from(job.shared_tokens);
                    unread_tokens += tokens;
                }
            }
            self.add_to_cache(job.key, job.shared_tokens);
            self.running.push(RunningJob {
                job,
                unread_tokens,
                copy_remaining,
                generated_tokens: 0.0,
            });
        }
    }

    /// Makes a shared part the most recently used one in the cache, and evicts the least recently
    /// used ones while the cache is over capacity.
    fn add_to_cache(&mut self, key: u64, tokens: u32) {
        self.cache.retain(|(cached, _)| *cached != key);
        self.cache.push_back((key, tokens));
        let total_tokens = |cache: &VecDeque<(u64, u32)>| -> u64 {
            cache.iter().map(|(_, tokens)| u64::from(*tokens)).sum()
        };
        while total_tokens(&self.cache) > self.settings.cache_capacity_tokens
            && self.cache.len() > 1
        {
            self.cache.pop_front();
        }
    }

    /// Stores the current load for later reports, and drops loads older than two seconds.
    fn record_report(&mut self, now: Duration) {
        let to_u32 = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let report =
            LoadReport { running: to_u32(self.running.len()), waiting: to_u32(self.waiting.len()) };
        self.reports.push_back((now, report));
        let oldest = now.saturating_sub(Duration::from_secs(2));
        while self.reports.front().is_some_and(|(at, _)| *at < oldest) {
            self.reports.pop_front();
        }
    }
}
