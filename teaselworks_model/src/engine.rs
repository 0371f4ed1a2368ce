//! One engine: requests in steps, prompts that delay them, kept parts, reports that are late.

use std::collections::VecDeque;
use std::time::Duration;

use teaselworks_policy::upstream::LoadReport;

use crate::load::Engines;

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) call: usize,
    pub(crate) key: u64,
    pub(crate) shared_tokens: u32,
    pub(crate) own_tokens: u32,
    pub(crate) answer_tokens: f64,
}

#[derive(Clone, Debug)]
struct Running {
    job: Job,
    /// Prompt tokens that are not read yet.
    unread: f64,
    /// Time until a copy of the shared part is there.
    copying: Duration,
    made: f64,
}

/// What became of requests in a tick.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Progress {
    First(usize),
    Done(usize),
}

/// Tokens of shared parts that an engine did not keep.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Missed {
    pub(crate) read: u64,
    pub(crate) copied: u64,
}

#[derive(Debug)]
pub(crate) struct Engine {
    figures: Engines,
    running: Vec<Running>,
    waiting: VecDeque<(Job, bool)>,
    /// Shared parts, the least recently used first.
    kept: VecDeque<(u64, u32)>,
    reports: VecDeque<(Duration, LoadReport)>,
    pub(crate) missed: Missed,
}

impl Engine {
    pub(crate) fn new(figures: Engines) -> Self {
        Self {
            figures,
            running: Vec::new(),
            waiting: VecDeque::new(),
            kept: VecDeque::new(),
            reports: VecDeque::new(),
            missed: Missed::default(),
        }
    }

    /// Tells whether a shared part is kept.
    pub(crate) fn keeps(&self, key: u64) -> bool {
        self.kept.iter().any(|(kept, _)| *kept == key)
    }

    /// Returns the requests that it runs or keeps waiting.
    pub(crate) fn holds(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Takes a request, whose shared part another engine may hold; false where it is turned away.
    pub(crate) fn offer(&mut self, job: Job, is_held_elsewhere: bool) -> bool {
        if self.waiting.len() >= self.figures.queue as usize {
            return false;
        }
        self.waiting.push_back((job, is_held_elsewhere));
        true
    }

    /// Ends the request of a caller that left.
    pub(crate) fn cancel(&mut self, call: usize) {
        self.running.retain(|running| running.job.call != call);
        self.waiting.retain(|(job, _)| job.call != call);
    }

    /// Forgets everything; returns the requests that it had.
    pub(crate) fn crash(&mut self) -> Vec<usize> {
        let running = self.running.drain(..).map(|running| running.job.call);
        let lost = running.chain(self.waiting.drain(..).map(|(job, _)| job.call)).collect();
        self.kept.clear();
        self.reports.clear();
        lost
    }

    /// Returns the load as of some time ago.
    pub(crate) fn report(&self, now: Duration) -> Option<LoadReport> {
        let lag = Duration::from_secs_f64(self.figures.report_lag_ms / 1e3);
        let old = self.reports.iter().rev().find(|(at, _)| *at + lag <= now);
        old.map(|(_, report)| *report)
    }

    /// Works for a tick.
    pub(crate) fn work(&mut self, now: Duration, tick: Duration) -> Vec<Progress> {
        self.admit();
        let mut left_ms = tick.as_secs_f64() * 1e3;
        for running in &mut self.running {
            running.copying = running.copying.saturating_sub(tick);
            if !running.copying.is_zero() || running.unread <= 0.0 {
                continue;
            }
            let read = running.unread.min(left_ms * self.figures.read_tokens_per_ms);
            running.unread -= read;
            left_ms -= read / self.figures.read_tokens_per_ms;
        }
        let is_ready = |running: &Running| running.unread <= 0.0 && running.copying.is_zero();
        let batch = self.running.iter().filter(|running| is_ready(running)).count();
        let step_ms = self.figures.step_ms + self.figures.step_ms_per_request * batch as f64;
        let mut progress = Vec::new();
        for running in &mut self.running {
            if !is_ready(running) {
                continue;
            }
            if running.made == 0.0 {
                progress.push(Progress::First(running.job.call));
            }
            running.made += (left_ms / step_ms).max(f64::MIN_POSITIVE);
            if running.made >= running.job.answer_tokens {
                progress.push(Progress::Done(running.job.call));
            }
        }
        self.running.retain(|running| running.made < running.job.answer_tokens);
        self.note_report(now);
        progress
    }

    fn admit(&mut self) {
        while self.running.len() < self.figures.slots as usize {
            let Some((job, is_held_elsewhere)) = self.waiting.pop_front() else { return };
            let mut unread = f64::from(job.own_tokens);
            let mut copying = Duration::ZERO;
            if !self.keeps(job.key) {
                let tokens = f64::from(job.shared_tokens);
                if is_held_elsewhere {
                    self.missed.copied += u64::from(job.shared_tokens);
                    copying =
                        Duration::from_secs_f64(tokens / self.figures.copied_tokens_per_ms / 1e3);
                } else {
                    self.missed.read += u64::from(job.shared_tokens);
                    unread += tokens;
                }
            }
            self.keep(job.key, job.shared_tokens);
            self.running.push(Running { job, unread, copying, made: 0.0 });
        }
    }

    fn keep(&mut self, key: u64, tokens: u32) {
        self.kept.retain(|(kept, _)| *kept != key);
        self.kept.push_back((key, tokens));
        let total = |kept: &VecDeque<(u64, u32)>| -> u64 {
            kept.iter().map(|(_, tokens)| u64::from(*tokens)).sum()
        };
        while total(&self.kept) > self.figures.kept_tokens && self.kept.len() > 1 {
            self.kept.pop_front();
        }
    }

    fn note_report(&mut self, now: Duration) {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let report =
            LoadReport { running: count(self.running.len()), waiting: count(self.waiting.len()) };
        self.reports.push_back((now, report));
        let oldest = now.saturating_sub(Duration::from_secs(2));
        while self.reports.front().is_some_and(|(at, _)| *at < oldest) {
            self.reports.pop_front();
        }
    }
}
