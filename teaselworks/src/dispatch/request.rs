//! State of one request over its attempts, and the way to its caller.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use teaselworks_policy::attempt::{Assembly, Event, Fault, Pace, RequestTraits, Step};
use teaselworks_policy::clock::Clock;
use teaselworks_policy::name::AttemptId;
use teaselworks_policy::retry::{Continuation, DoubtedAttempt, Failure};
use teaselworks_policy::verdict::{RefusalReason, Verdict};
use teaselworks_wire::message::{Header, Reply, ReplyFinish, ReplyHead, TokenUse};
use tokio::sync::mpsc;

use super::answer::AnswerPart;
use super::attempt;
use super::entry::{Entry, Work};
use super::once::KeptAnswer;
use super::spent::Spent;
use super::whole::{WholeChat, usage};
use crate::limits::HeldPermit;
use crate::once::StoredOutcome;
use crate::usage::Reservation;

/// Status of an answer that an engine generates.
const HTTP_OK: u16 = 200;
/// Last event of a whole stream.
const DONE: &str = "data: [DONE]\n\n";

/// State of one request over its attempts.
pub struct Request {
    state: Mutex<State>,
    parts: mpsc::Sender<AnswerPart>,
    clock: Arc<dyn Clock>,
    started: Duration,
    is_chat: bool,
    include_usage: bool,
}

struct State {
    assembly: Assembly,
    whole: Option<WholeChat>,
    /// What was sent, for a request that runs at most once.
    kept: Option<KeptAnswer>,
    /// Head of a chat's answer, held back until its first part, or until it is complete.
    held_head: Option<ReplyHead>,
    resume_tokens: u64,
    spent: Spent,
    permit: Option<HeldPermit>,
    reservation: Option<Reservation>,
    first_token: Option<Duration>,
    last_token: Option<Duration>,
    tokens: u64,
    pace: Pace,
}

/// When tokens came, for the latency histograms.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenTimes {
    /// Time from arrival to the first token.
    pub first: Option<Duration>,
    /// Mean time between tokens.
    pub between: Option<Duration>,
}

impl Request {
    /// Starts a request whose answer goes to `parts`.
    pub fn new(entry: &Entry, parts: mpsc::Sender<AnswerPart>, clock: Arc<dyn Clock>) -> Self {
        let (is_chat, collects, include_usage, prompt_tokens) = match &entry.work {
            Work::Chat(chat) => {
                (true, !chat.stream, chat.include_usage, u64::from(chat.prompt_tokens))
            }
            Work::Call(_) => (false, false, false, 0),
        };
        let state = State {
            assembly: attempt::assembly(entry),
            whole: collects.then(WholeChat::default),
            kept: entry.is_at_most_once().then(KeptAnswer::default),
            held_head: None,
            resume_tokens: 0,
            spent: Spent::new(prompt_tokens),
            permit: None,
            reservation: None,
            first_token: None,
            last_token: None,
            tokens: 0,
            pace: Pace::default(),
        };
        let started = clock.monotonic();
        Self { state: Mutex::new(state), parts, clock, started, is_chat, include_usage }
    }

    /// Returns the attempt in progress.
    pub fn attempt(&self) -> AttemptId {
        self.state().assembly.attempt().clone()
    }

    /// Returns the tokens after which the engine resumes in this attempt.
    pub fn resume_tokens(&self) -> u32 {
        u32::try_from(self.state().resume_tokens).unwrap_or(u32::MAX)
    }

    /// Notes that the attempt is on its way.
    pub fn sending(&self) {
        self.state().assembly.sending();
    }

    /// Takes an event of the attempt in progress.
    pub fn accept(&self, event: &Event) -> Step {
        let mut state = self.state();
        let attempt = state.assembly.attempt().clone();
        let step = state.assembly.accept(&attempt, event);
        if let Step::Fail(fault) = &step {
            let seen_tokens = state.tokens;
            state.spent.ended(fault.verdict, seen_tokens);
        }
        step
    }

    /// Takes the owner's word on what the attempt in progress used.
    pub fn note_use(&self, reply: &Reply) {
        let tokens = match reply {
            Reply::Finish(finish) => finish.tokens,
            Reply::Refusal(refusal) => refusal.tokens,
            Reply::Head(_) | Reply::Data(_) => None,
        };
        if let Some(tokens) = tokens {
            self.state().spent.told(tokens);
        }
    }

    /// Keeps the permission of the workspace's limits until the answer is whole or given up.
    pub fn hold(&self, permit: HeldPermit) {
        self.state().permit = Some(permit);
    }

    /// Keeps the reservation of the workspace's budget until the answer is whole or given up.
    pub fn hold_budget(&self, reservation: Reservation) {
        self.state().reservation = Some(reservation);
    }

    /// Gives permission and reservation back, charged by the tokens used.
    pub fn release(&self) {
        let mut state = self.state();
        if let Some(fault) = state.assembly.abandon(RefusalReason::Deadline, "") {
            let seen_tokens = state.tokens;
            state.spent.ended(fault.verdict, seen_tokens);
        }
        let (permit, used_tokens) = (state.permit.take(), state.spent.total_tokens());
        let reservation = state.reservation.take();
        drop(state);
        if let Some(reservation) = reservation {
            reservation.settle(used_tokens);
        }
        if let Some(permit) = permit {
            permit.settle(used_tokens);
        }
    }

    /// Returns what the retry policy is asked about after a fault.
    ///
    /// What was collected of a whole answer that cannot be continued is thrown away: no part of
    /// it was shown, so the answer is generated again from its start.
    pub fn failure(&self, fault: &Fault, traits: &RequestTraits, left: Duration) -> Failure {
        let mut state = self.state();
        let restarts = matches!(traits.continuation, Continuation::Restart | Continuation::Never);
        if state.whole.is_some() && restarts {
            state.whole = Some(WholeChat::default());
            state.held_head = None;
            state.assembly.discard();
        }
        state.assembly.failure(fault, traits, left)
    }

    /// Returns what the retry policy is asked about while the attempt's owner is in doubt.
    pub fn doubted(
        &self,
        traits: &RequestTraits,
        left: Duration,
        served_elsewhere: bool,
    ) -> DoubtedAttempt {
        self.state().assembly.doubted(traits, left, served_elsewhere)
    }

    /// Returns the time left until the attempt's next tokens are late.
    pub fn until_late(&self) -> Duration {
        self.state().pace.until_late(self.clock.monotonic())
    }

    /// Tells whether the whole answer lacks the last part that was left out of it.
    pub fn lacks_last_part(&self) -> bool {
        self.state().assembly.lacks_last_part()
    }

    /// Starts the next attempt; false when the request has its final outcome.
    pub fn next_attempt(&self, continuation: Continuation) -> bool {
        let mut state = self.state();
        let Some(next) = state.assembly.next_attempt(continuation) else {
            return false;
        };
        state.resume_tokens = next.resume_tokens;
        state.pace.restart();
        state.spent.next(next.resume_tokens);
        true
    }

    /// Returns the worst verdict over all attempts.
    pub fn verdict(&self) -> Verdict {
        self.state().assembly.verdict()
    }

    /// Passes the head on; false when the caller is gone.
    ///
    /// The head of a chat is held back: engines send it before the first token, and once a caller
    /// has it, a failure can no longer be told by the status.
    pub async fn send_head(&self, mut head: ReplyHead) -> bool {
        {
            let mut state = self.state();
            // An engine that refuses a chat as invalid answers with a document, not with events.
            if head.status != HTTP_OK {
                state.whole = None;
            }
            if state.whole.is_some() {
                set_header(&mut head.headers, "content-type", "application/json");
            }
            if self.is_chat {
                state.held_head = Some(head);
                return true;
            }
        }
        self.emit_head(head).await
    }

    /// Passes part of the body on; false when the caller is gone.
    pub async fn send_data(&self, bytes: Bytes) -> bool {
        let head = {
            let mut state = self.state();
            if let Some(whole) = &mut state.whole {
                whole.push(&bytes);
                return !self.parts.is_closed();
            }
            state.held_head.take()
        };
        if let Some(head) = head
            && !self.emit_head(head).await
        {
            return false;
        }
        self.emit_data(bytes).await
    }

    /// Answers with a whole document.
    pub async fn send_whole(&self, head: ReplyHead, body: Bytes) {
        let _ = self.emit_head(head).await && self.emit_data(body).await;
        self.end().await;
    }

    /// Returns what was sent, for a request that runs at most once.
    pub fn take_kept(&self) -> Option<StoredOutcome> {
        self.state().kept.take()?.into_outcome()
    }

    /// Sends the head; false when the caller is gone and nobody else needs the answer.
    async fn emit_head(&self, head: ReplyHead) -> bool {
        let keeps = match &mut self.state().kept {
            Some(kept) => {
                kept.head(&head);
                true
            }
            None => false,
        };
        self.parts.send(AnswerPart::Head(head)).await.is_ok() || keeps
    }

    /// Sends part of the body; false when the caller is gone and nobody else needs the answer.
    async fn emit_data(&self, bytes: Bytes) -> bool {
        let keeps = match &mut self.state().kept {
            Some(kept) => {
                kept.data(&bytes);
                true
            }
            None => false,
        };
        self.parts.send(AnswerPart::Data(bytes)).await.is_ok() || keeps
    }

    /// Notes when tokens came.
    pub fn note_tokens(&self, output_tokens: u64) {
        let now = self.clock.monotonic();
        let mut state = self.state();
        if output_tokens <= state.tokens {
            return;
        }
        state.tokens = output_tokens;
        state.first_token.get_or_insert(now);
        state.last_token = Some(now);
        state.pace.token(now);
    }

    /// Returns when tokens came.
    pub fn token_times(&self) -> TokenTimes {
        let state = self.state();
        let (Some(first), Some(last)) = (state.first_token, state.last_token) else {
            return TokenTimes::default();
        };
        let gaps = u32::try_from(state.tokens.saturating_sub(1)).unwrap_or(u32::MAX);
        let between = (gaps > 0).then(|| (last - first) / gaps);
        TokenTimes { first: Some(first - self.started), between }
    }

    /// Sends what is left of a whole answer; `end` follows.
    ///
    /// The permission is given back before the last part is sent: a caller that goes on with its
    /// next request at once would otherwise meet its own last one in the limit.
    pub async fn finish(&self, finish: &ReplyFinish) {
        self.release();
        let (head, whole) = {
            let mut state = self.state();
            (state.held_head.take(), state.whole.take())
        };
        if let Some(head) = head {
            let _ = self.emit_head(head).await;
        }
        if let Some(whole) = whole {
            let _ = self.emit_data(whole.finish(finish.tokens).into()).await;
        } else if finish.tokens.is_some() {
            let _ = self.emit_data(self.stream_end(finish.tokens)).await;
        }
    }

    /// Tells the caller that the answer is whole.
    pub async fn end(&self) {
        let _ = self.parts.send(AnswerPart::End).await;
    }

    fn stream_end(&self, tokens: Option<TokenUse>) -> Bytes {
        match tokens {
            Some(tokens) if self.include_usage => {
                let event = serde_json::json!({
                    "object": "chat.completion.chunk", "choices": [], "usage": usage(tokens),
                });
                format!("data: {event}\n\n{DONE}").into()
            }
            _ => DONE.into(),
        }
    }

    /// Returns the way to the caller.
    pub fn parts(&self) -> &mpsc::Sender<AnswerPart> {
        &self.parts
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("request lock is never poisoned")
    }
}

fn set_header(headers: &mut Vec<Header>, name: &str, value: &str) {
    headers.retain(|header| header.name != name);
    headers.push(Header { name: name.into(), value: value.into() });
}
