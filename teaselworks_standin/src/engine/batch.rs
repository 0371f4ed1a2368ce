//! Continuous batching: every step gives each running request one token.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::UnboundedSender;

use super::cache::{BLOCK_TOKENS, Cache};

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// Waits for a place in the batch; has not run.
    Waiting,
    /// Runs.
    Running,
    /// All tokens were generated.
    Finished,
    /// The caller went away before all were.
    Cancelled,
}

/// What an engine knows of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// `x-request-id` header.
    pub request_id: String,
    /// Model asked for.
    pub model: String,
    /// Role of the engine when the chat arrived.
    pub role: String,
    /// `priority` of the body.
    pub priority: i64,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
    /// Tokens of an earlier attempt that were not generated again.
    pub resume_tokens: u32,
    /// Tokens generated.
    pub output_tokens: u32,
    /// Whether it entered the batch.
    pub ran: bool,
    /// State.
    pub state: RunState,
}

impl Run {
    /// Returns the tokens spent, prompt and answer together; 0 for a request that did not run.
    pub fn spent_tokens(&self) -> u64 {
        if !self.ran {
            return 0;
        }
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}

/// A request on its way through the batch.
pub(super) struct Job {
    pub run: usize,
    pub prompt: Vec<u64>,
    pub whole: Vec<u64>,
    pub output_tokens: u32,
    pub sender: UnboundedSender<Step>,
    pub prefill_tokens: u32,
}

/// What a step brings to a request's reader.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    /// The request entered the batch with so many cached tokens.
    Admitted { cached_tokens: u32 },
    /// One more token was generated.
    Token,
}

/// Sums over all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// Requests running now.
    pub running: u64,
    /// Requests waiting now.
    pub waiting: u64,
    /// Most requests running at once.
    pub peak_running: u64,
    /// Prompt tokens of all requests that ran.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
    /// Requests that ended with all tokens.
    pub finished: u64,
    /// Requests whose caller went away.
    pub cancelled: u64,
}

/// Requests, waiting ones by priority and arrival.
#[derive(Default)]
pub(super) struct Batch {
    pub runs: Vec<Run>,
    pub runs_by_id: HashMap<String, u32>,
    pub totals: Totals,
    waiting: BTreeMap<(i64, usize), Job>,
    running: Vec<Job>,
}

impl Batch {
    pub fn push(&mut self, mut job: Job, run: Run) {
        job.run = self.runs.len();
        self.waiting.insert((run.priority, job.run), job);
        self.runs.push(run);
        self.count();
    }

    fn count(&mut self) {
        self.totals.running = self.running.len() as u64;
        self.totals.waiting = self.waiting.len() as u64;
        self.totals.peak_running = self.totals.peak_running.max(self.totals.running);
    }

    /// Runs one step.
    pub fn step(&mut self, cache: &mut Cache, places: usize, prefill_tokens_per_step: u32) {
        self.drop_cancelled();
        while self.running.len() < places {
            let Some((_, job)) = self.waiting.pop_first() else { break };
            self.admit(job, cache);
        }
        let mut running = Vec::with_capacity(self.running.len());
        for job in std::mem::take(&mut self.running) {
            if let Some(job) = self.advance(job, cache, prefill_tokens_per_step) {
                running.push(job);
            }
        }
        self.running = running;
        self.count();
    }

    /// Ends the requests whose caller has gone.
    pub fn drop_cancelled(&mut self) {
        let waiting = self.waiting.extract_if(.., |_, job| job.sender.is_closed());
        let cancelled: Vec<Job> = waiting
            .map(|(_, job)| job)
            .chain(self.running.extract_if(.., |job| job.sender.is_closed()))
            .collect();
        self.cancel(cancelled);
    }

    fn cancel(&mut self, jobs: Vec<Job>) {
        for job in jobs {
            self.runs[job.run].state = RunState::Cancelled;
            self.totals.cancelled += 1;
        }
        self.count();
    }

    fn admit(&mut self, mut job: Job, cache: &mut Cache) {
        let run = &mut self.runs[job.run];
        let held = u32::try_from(cache.lookup(&job.prompt)).expect("a cache is small");
        run.cached_tokens = (held * BLOCK_TOKENS).min(run.prompt_tokens);
        (run.ran, run.state) = (true, RunState::Running);
        job.prefill_tokens = run.prompt_tokens - run.cached_tokens;
        cache.store(&job.prompt, Some(&run.request_id));
        self.totals.prompt_tokens += u64::from(run.prompt_tokens);
        self.totals.cached_tokens += u64::from(run.cached_tokens);
        *self.runs_by_id.entry(run.request_id.clone()).or_default() += 1;
        let _ = job.sender.send(Step::Admitted { cached_tokens: run.cached_tokens });
        self.running.push(job);
    }

    /// Gives a request its token; `None` when it has ended.
    fn advance(&mut self, mut job: Job, cache: &mut Cache, prefill_tokens: u32) -> Option<Job> {
        let run = &mut self.runs[job.run];
        if job.prefill_tokens > prefill_tokens {
            job.prefill_tokens -= prefill_tokens;
            return Some(job);
        }
        job.prefill_tokens = 0;
        if run.resume_tokens + run.output_tokens < job.output_tokens {
            run.output_tokens += 1;
            self.totals.output_tokens += 1;
            let _ = job.sender.send(Step::Token);
        }
        if run.resume_tokens + run.output_tokens < job.output_tokens {
            return Some(job);
        }
        run.state = RunState::Finished;
        self.totals.finished += 1;
        cache.store(&job.whole, Some(&run.request_id));
        None
    }

    /// Returns the number of requests running and waiting.
    pub fn requests(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Loses every request, as a crash or a change of role does.
    pub fn clear(&mut self) {
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let lost = std::mem::take(&mut self.running).into_iter().chain(waiting).collect();
        self.cancel(lost);
    }
}
