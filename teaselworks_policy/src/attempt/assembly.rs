//! Puts the answer of one request together from the events of its attempts, at the entry router.

use std::time::Duration;

use crate::name::AttemptId;
use crate::retry::decision::reason_of;
use crate::retry::{Continuation, DoubtedAttempt, Failure, RetryReason};
use crate::verdict::{Refusal, RefusalReason, Verdict};

use super::event::{Dropped, Event, Fault, NextAttempt, RequestTraits, Step};
use super::progress::Progress;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The attempt runs.
    Running,
    /// The attempt failed; the retry policy is asked.
    Failed,
    /// The request has its final outcome.
    Ended,
}

/// The answer to one request, over all its attempts.
#[derive(Clone, Debug)]
pub struct Assembly {
    attempt: AttemptId,
    phase: Phase,
    progress: Progress,
    earlier_verdict: Verdict,
    /// Whether the attempt before the next one was only turned away.
    redirected: bool,
    /// Retries before this attempt; redirects are not counted.
    retries: u32,
    /// Bytes of this attempt's body that arrived.
    received_bytes: u64,
    /// Tokens of the answer that this attempt's events account for.
    received_tokens: u64,
    /// Whether this attempt brought a token.
    brought_token: bool,
    /// Whether the caller may lack a part without tokens that was left out.
    skipped: bool,
    /// Whether the last part that reached the caller brought no token.
    tail_reached_caller: bool,
    /// Status that reached the caller.
    status: Option<u16>,
    /// Bytes of bodies that reached the caller, over all attempts.
    reached_caller_bytes: u64,
    /// Tokens that reached the caller, over all attempts.
    reached_caller_tokens: u64,
}

impl Assembly {
    /// Starts with the first attempt.
    ///
    /// ```
    /// use teaselworks_policy::attempt::{Assembly, Event, Step};
    /// use teaselworks_policy::name::AttemptId;
    ///
    /// let id = AttemptId { router: "a".into(), incarnation: 7, sequence: 1, attempt: 0 };
    /// let mut assembly = Assembly::new(id.clone());
    /// assembly.sending();
    /// assert_eq!(assembly.accept(&id, &Event::Head { status: 200 }), Step::Head);
    /// let data = Event::Data { offset_bytes: 0, size_bytes: 3, output_tokens: 1 };
    /// assert_eq!(assembly.accept(&id, &data), Step::Forward);
    /// let finish = Event::Finish { size_bytes: 3, output_tokens: Some(1) };
    /// assert_eq!(assembly.accept(&id, &finish), Step::Finish);
    /// ```
    pub fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            phase: Phase::Running,
            progress: Progress::default(),
            earlier_verdict: Verdict::NotRun,
            redirected: false,
            retries: 0,
            received_bytes: 0,
            received_tokens: 0,
            brought_token: false,
            skipped: false,
            tail_reached_caller: false,
            status: None,
            reached_caller_bytes: 0,
            reached_caller_tokens: 0,
        }
    }

    /// Returns the attempt whose events count.
    pub fn attempt(&self) -> &AttemptId {
        &self.attempt
    }

    /// Notes that the attempt is about to be handed to a link or upstream.
    pub fn sending(&mut self) {
        self.progress.sending();
    }

    /// Returns the tokens of the answer that reached the caller.
    pub fn reached_caller_tokens(&self) -> u64 {
        self.reached_caller_tokens
    }

    /// Tells whether the head of an answer reached the caller.
    pub fn reached_caller(&self) -> bool {
        self.status.is_some()
    }

    /// Returns the worst verdict over all attempts, were the request given up now.
    pub fn verdict(&self) -> Verdict {
        self.earlier_verdict.max(self.progress.verdict())
    }

    /// Tells whether the request has its final outcome.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Returns what the retry policy is asked about after a fault.
    pub fn failure(&self, fault: &Fault, traits: &RequestTraits, left: Duration) -> Failure {
        Failure {
            workspace: traits.workspace.clone(),
            verdict: fault.verdict,
            earlier_verdict: fault.earlier_verdict,
            reason: fault.reason,
            idempotent: traits.idempotent,
            continuation: traits.continuation,
            deadline_left: left,
            attempt: self.attempt.attempt,
            retries: self.retries,
            reached_caller_tokens: self.reached_caller_tokens,
            reached_caller: self.reached_caller(),
            retry_after_ms: fault.retry_after_ms,
        }
    }

    /// Returns what the retry policy is asked about while the running attempt's owner is in doubt.
    pub fn doubted(
        &self,
        traits: &RequestTraits,
        left: Duration,
        served_elsewhere: bool,
    ) -> DoubtedAttempt {
        let fault = Fault {
            reason: RefusalReason::OwnerUnreachable,
            verdict: self.progress.verdict(),
            earlier_verdict: self.earlier_verdict,
            retry_after_ms: None,
            detail: String::new(),
        };
        let failure = self.failure(&fault, traits, left);
        DoubtedAttempt { failure, ends_on_token: !self.tail_reached_caller, served_elsewhere }
    }

    /// Starts the next attempt; `None` when the request has its final outcome.
    ///
    /// An attempt that still runs is abandoned: its verdict is kept, its later events are dropped.
    pub fn next_attempt(&mut self, continuation: Continuation) -> Option<NextAttempt> {
        if self.phase == Phase::Ended {
            return None;
        }
        let resumes = continuation == Continuation::Resume;
        let resume_tokens = if resumes { self.reached_caller_tokens } else { 0 };
        self.earlier_verdict = self.verdict();
        self.retries += u32::from(!self.redirected);
        self.redirected = false;
        self.attempt = self.attempt.next();
        self.phase = Phase::Running;
        self.progress = Progress::default();
        self.received_bytes = 0;
        self.received_tokens = resume_tokens;
        self.brought_token = false;
        self.skipped = false;
        Some(NextAttempt { attempt: self.attempt.clone(), resume_tokens })
    }

    /// Gives the running attempt up for a reason of the entry router's own, such as a timeout;
    /// `None` when no attempt runs.
    ///
    /// The verdict follows from how far the attempt got, never from the reason.
    pub fn abandon(&mut self, reason: RefusalReason, detail: &str) -> Option<Fault> {
        if self.phase != Phase::Running {
            return None;
        }
        Some(self.fault(reason, self.progress.verdict(), None, detail))
    }

    /// Forgets what was received, for an answer that was collected and not yet shown to its
    /// caller: the next attempt generates it from its start.
    pub fn discard(&mut self) {
        self.status = None;
        self.tail_reached_caller = false;
        self.reached_caller_bytes = 0;
        self.reached_caller_tokens = 0;
    }

    /// Tells whether the whole answer lacks the last part that was left out of it.
    ///
    /// An attempt that resumes after the last token brings an opening and a closing part, which
    /// cannot be told apart when they come. At its end they can.
    pub fn lacks_last_part(&self) -> bool {
        self.phase == Phase::Ended && self.skipped
    }

    /// Ends the request: every later event is dropped. False when it had ended before.
    pub fn end(&mut self) -> bool {
        let first = self.phase != Phase::Ended;
        self.phase = Phase::Ended;
        first
    }

    /// Takes an event in.
    pub fn accept(&mut self, attempt: &AttemptId, event: &Event) -> Step {
        if let Some(dropped) = self.check(attempt) {
            return Step::Drop(dropped);
        }
        match event {
            Event::Head { status } => self.head(*status),
            Event::Data { offset_bytes, size_bytes, output_tokens } => {
                self.data(*offset_bytes, *size_bytes, *output_tokens)
            }
            Event::Finish { size_bytes, output_tokens } => self.finish(*size_bytes, *output_tokens),
            Event::Refused(refusal) => self.refused(refusal),
            Event::Lost => self.lost(),
        }
    }

    fn check(&self, attempt: &AttemptId) -> Option<Dropped> {
        let own = &self.attempt;
        let same_request = attempt.router == own.router
            && attempt.incarnation == own.incarnation
            && attempt.sequence == own.sequence;
        if !same_request || attempt.attempt > own.attempt {
            return Some(Dropped::Crossed);
        }
        if self.phase == Phase::Ended {
            return Some(Dropped::AfterEnd);
        }
        if attempt.attempt < own.attempt || self.phase == Phase::Failed {
            return Some(Dropped::Late);
        }
        None
    }

    fn head(&mut self, status: u16) -> Step {
        if self.progress == Progress::Answered {
            return Step::Drop(Dropped::Duplicate);
        }
        self.progress.answered();
        match self.status {
            None => {
                self.status = Some(status);
                Step::Head
            }
            Some(first) if first == status => Step::Skip,
            // What goes wrong otherwise: an engine refuses to resume with a status and an error
            // text of its own, and the text is joined to the answer.
            Some(_) => self.broken("Another attempt answered with another status."),
        }
    }

    fn data(&mut self, offset_bytes: u64, size_bytes: u64, output_tokens: u64) -> Step {
        if self.progress != Progress::Answered {
            return self.broken("Part of the answer came before its head.");
        }
        if size_bytes > 0 && offset_bytes.saturating_add(size_bytes) <= self.received_bytes {
            return Step::Drop(Dropped::Duplicate);
        }
        if offset_bytes != self.received_bytes {
            return self.broken("Part of the answer is missing.");
        }
        if output_tokens < self.received_tokens {
            return self.broken("The count of tokens went back.");
        }
        let before_tokens = self.received_tokens;
        self.received_bytes = self.received_bytes.saturating_add(size_bytes);
        self.received_tokens = output_tokens;
        self.brought_token |= output_tokens > before_tokens;
        self.place(before_tokens, size_bytes, output_tokens)
    }

    /// Decides whether the caller has a part already, from the tokens before and after it.
    fn place(&mut self, before_tokens: u64, size_bytes: u64, output_tokens: u64) -> Step {
        let reached_tokens = self.reached_caller_tokens;
        if before_tokens < reached_tokens && output_tokens > reached_tokens {
            return self.broken("The answer cannot be joined at the token where it broke off.");
        }
        if before_tokens < reached_tokens {
            return Step::Skip;
        }
        let brings_token = output_tokens > before_tokens;
        if !brings_token && self.may_be_repeated() {
            self.skipped = true;
            return Step::Skip;
        }
        self.skipped = false;
        self.tail_reached_caller = !brings_token;
        self.reached_caller_tokens = output_tokens;
        self.reached_caller_bytes = self.reached_caller_bytes.saturating_add(size_bytes);
        Step::Forward
    }

    /// Tells whether a part without tokens may have reached the caller from an earlier attempt:
    /// it opens this attempt's answer, or the caller had such a part after the last token.
    fn may_be_repeated(&self) -> bool {
        let repeats = self.attempt.attempt > 0 && self.reached_caller_bytes > 0;
        repeats && (!self.brought_token || self.tail_reached_caller)
    }

    fn finish(&mut self, size_bytes: u64, output_tokens: Option<u64>) -> Step {
        if self.progress != Progress::Answered {
            return self.broken("The answer ended before its head.");
        }
        if size_bytes != self.received_bytes {
            return self.broken("The answer's length is not the one announced.");
        }
        if output_tokens.is_some_and(|tokens| tokens != self.received_tokens) {
            return self.broken("The answer's tokens are not as many as announced.");
        }
        if self.received_tokens < self.reached_caller_tokens {
            return self.broken("The answer generated again is shorter than the first.");
        }
        if self.skipped && !self.skipped_is_last_part() {
            return self.broken("The answer's last part cannot be told from its first.");
        }
        self.phase = Phase::Ended;
        Step::Finish
    }

    /// Tells whether the part left out last closes the answer: this attempt brought no token, so
    /// the caller has them all, and it has nothing that follows them.
    fn skipped_is_last_part(&self) -> bool {
        !self.brought_token && !self.tail_reached_caller
    }

    fn refused(&mut self, refusal: &Refusal) -> Step {
        let verdict = self.progress.verdict_stated(refusal.verdict);
        Step::Fail(self.fault(refusal.reason, verdict, refusal.retry_after_ms, &refusal.detail))
    }

    fn lost(&mut self) -> Step {
        let verdict = self.progress.verdict();
        let detail = "The link to the owner was lost.";
        Step::Fail(self.fault(RefusalReason::OwnerUnreachable, verdict, None, detail))
    }

    fn broken(&mut self, detail: &str) -> Step {
        // Whatever arrived shows that an upstream was at work, whether or not its head did.
        Step::Fail(self.fault(RefusalReason::UpstreamFailed, Verdict::Ran, None, detail))
    }

    fn fault(
        &mut self,
        reason: RefusalReason,
        verdict: Verdict,
        retry_after_ms: Option<u64>,
        detail: &str,
    ) -> Fault {
        self.phase = Phase::Failed;
        self.redirected = reason_of(reason).is_some_and(RetryReason::is_redirect);
        let earlier_verdict = self.earlier_verdict;
        self.earlier_verdict = earlier_verdict.max(verdict);
        self.progress = Progress::default();
        Fault { reason, verdict, earlier_verdict, retry_after_ms, detail: detail.to_owned() }
    }
}
