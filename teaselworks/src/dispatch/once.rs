//! Requests that must run at most once: recorded before they are sent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use teaselworks_policy::verdict::{Refusal, Verdict};
use teaselworks_wire::message::ReplyHead;

use super::dispatcher::{Answered, Dispatcher};
use super::entry::{Entry, Work};
use super::request::Request;
use crate::once::{Begin, BodyKeeper, Fingerprint, KeptBody, OnceCall, StoredOutcome};

/// What was sent to the caller, kept for repeats of the request.
#[derive(Debug, Default)]
pub struct KeptAnswer {
    head: Option<ReplyHead>,
    body: BodyKeeper,
}

impl KeptAnswer {
    /// Keeps the head.
    pub fn head(&mut self, head: &ReplyHead) {
        self.head = Some(head.clone());
    }

    /// Keeps part of the body.
    pub fn data(&mut self, bytes: &Bytes) {
        self.body.data(bytes);
    }

    /// Returns what repeats are answered with; `None` without a head.
    pub fn into_outcome(self) -> Option<StoredOutcome> {
        let head = self.head?;
        Some(self.body.into_outcome(head.status, head.headers))
    }
}

/// Runs a request at most once, or answers it with the outcome of its earlier run.
pub async fn run(
    dispatcher: &Arc<Dispatcher>,
    entry: &Entry,
    request: &Request,
) -> Result<Answered, Refusal> {
    let fingerprint = fingerprint(entry);
    let generated = entry.attempt.request_id();
    let call = OnceCall {
        workspace: &entry.workspace,
        key: entry.idempotency_key().unwrap_or(&generated),
        fingerprint: &fingerprint,
        attempt: &entry.attempt,
        retention: Duration::from_millis(
            entry.routing.numbered.configuration.policy.once_retention_ms,
        ),
        patience: entry.time,
    };
    let claim = match dispatcher.parts.once.begin(&call).await? {
        Begin::Proceed(claim) => claim,
        Begin::Repeat(outcome) => {
            repeat(request, outcome).await;
            return Ok(Answered::Repeated);
        }
    };
    let answered = dispatcher.answer(entry, request, Some(&claim)).await;
    match &answered {
        Ok(_) => {
            // A caller that has its answer and repeats the call must find the outcome.
            if let Some(outcome) = request.take_kept() {
                claim.finish(outcome).await;
            }
            request.end().await;
        }
        // Nothing was sent, so the key is free for the caller's next try.
        Err(refusal) if refusal.verdict == Verdict::NotRun => claim.release().await,
        // The call may have run: its record stays and every repeat is told so.
        Err(_) => {}
    }
    answered
}

async fn repeat(request: &Request, outcome: StoredOutcome) {
    let KeptBody::Whole(body) = outcome.body else {
        return;
    };
    let head = ReplyHead { status: outcome.status, headers: outcome.headers, replica: "".into() };
    request.send_whole(head, body).await;
}

fn fingerprint(entry: &Entry) -> Fingerprint {
    match &entry.work {
        Work::Call(call) => {
            let body = call.body.as_whole().unwrap_or_default();
            Fingerprint::of(&call.service, &call.method, &call.path, body)
        }
        Work::Chat(chat) => {
            let document = serde_json::to_vec(&chat.document).unwrap_or_default();
            Fingerprint::of(&chat.model, "POST", "/v1/chat/completions", &document)
        }
    }
}
