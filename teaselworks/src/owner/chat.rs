//! Runs a chat on an engine and passes its events on.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use futures_util::StreamExt;
use teaselworks_policy::usage::{PROGRESS_INTERVAL, UsageRecord, UseOutcome};
use teaselworks_policy::verdict::Verdict;
use teaselworks_wire::message::{ChatTarget, Header, Reply, ReplyData, ReplyRefusal, TokenUse};

use super::answer::{failed, finish, pass_body, send_head};
use super::service::{Admitted, Owner, OwnerParts};
use crate::upstream::{EngineHead, EventParser, UpstreamError};

/// Status of an answer that the engine generates.
const HTTP_OK: u16 = 200;

/// The use of one chat, recorded when it ends, however it ends.
///
/// An attempt whose caller or entry router goes away is dropped in the middle; recording at the
/// end of the normal path alone would leave what it had generated uncharged.
struct ChatUse {
    owner: Arc<Owner>,
    record: Option<UsageRecord>,
    /// When progress was told last, for an attempt that no other router sees.
    told_at: Option<Duration>,
}

impl ChatUse {
    fn start(owner: &Arc<Owner>, admitted: &Admitted, target: &ChatTarget) -> Self {
        let record = UsageRecord {
            attempt: admitted.open.attempt.clone(),
            workspace: admitted.open.workspace.clone(),
            model: target.model.clone(),
            adapter: target.adapter.clone(),
            prompt_tokens: u64::from(target.prompt_tokens),
            cached_tokens: 0,
            output_tokens: 0,
            outcome: UseOutcome::Cancelled,
            at_ms: 0,
        };
        Self { owner: owner.clone(), record: Some(record), told_at: None }
    }

    fn note(&mut self, output_tokens: u64) {
        let Some(record) = &mut self.record else {
            return;
        };
        record.output_tokens = output_tokens;
        let parts = &self.owner.parts;
        if record.attempt.router != parts.router || output_tokens == 0 {
            return;
        }
        let now = parts.clock.monotonic();
        if self.told_at.is_some_and(|at| now < at + PROGRESS_INTERVAL) {
            return;
        }
        self.told_at = Some(now);
        parts.usage.progress(UsageRecord { at_ms: wall_ms(parts), ..record.clone() });
    }

    /// Records the use as it ended; returns it.
    fn end(&mut self, usage: Option<TokenUse>, outcome: UseOutcome) -> TokenUse {
        let Some(mut record) = self.record.take() else {
            return TokenUse::default();
        };
        if let Some(usage) = usage {
            record.prompt_tokens = usage.prompt_tokens;
            record.cached_tokens = usage.cached_tokens;
            record.output_tokens = usage.output_tokens;
        }
        record.outcome = outcome;
        self.keep(record)
    }

    fn keep(&self, mut record: UsageRecord) -> TokenUse {
        let parts = &self.owner.parts;
        record.at_ms = wall_ms(parts);
        let tokens = TokenUse {
            prompt_tokens: record.prompt_tokens,
            cached_tokens: record.cached_tokens,
            output_tokens: record.output_tokens,
        };
        parts.metrics.add_tokens("prompt", tokens.prompt_tokens);
        parts.metrics.add_tokens("cached", tokens.cached_tokens);
        parts.metrics.add_tokens("output", tokens.output_tokens);
        parts.usage.record(record);
        tokens
    }
}

impl Drop for ChatUse {
    fn drop(&mut self) {
        if let Some(record) = self.record.take() {
            self.keep(record);
        }
    }
}

fn wall_ms(parts: &OwnerParts) -> u64 {
    let wall = parts.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    wall.as_millis() as u64
}

/// Runs a chat and passes its replies on; fails with what the engine did until then.
pub async fn serve(
    owner: &Arc<Owner>,
    mut admitted: Admitted,
    target: ChatTarget,
) -> Result<(), ReplyRefusal> {
    let body = std::mem::take(&mut admitted.body).into_whole();
    let head = owner.parts.engines.chat(&admitted.upstream.url, &admitted.open.attempt, body).await;
    let head = match head {
        Ok(head) => head,
        Err(error) => return Err(failed(owner, &mut admitted, &error, None, Verdict::NotRun)),
    };
    if !head.is_success() {
        return pass_document(owner, admitted, head).await;
    }
    generate(owner, admitted, target, head).await
}

async fn generate(
    owner: &Arc<Owner>,
    mut admitted: Admitted,
    target: ChatTarget,
    head: EngineHead,
) -> Result<(), ReplyRefusal> {
    let mut used = ChatUse::start(owner, &admitted, &target);
    let headers = vec![Header { name: "content-type".into(), value: "text/event-stream".into() }];
    send_head(&admitted, HTTP_OK, headers).await;
    let mut parser = match admitted.upstream.anonymous_events {
        true => EventParser::default(),
        false => EventParser::of_attempt(&admitted.open.attempt),
    };
    let mut body = head.into_body();
    let mut offset_bytes = 0;
    while let Some(piece) = body.next().await {
        let parsed = piece.and_then(|piece| parser.push(piece).map_err(UpstreamError::broken));
        let parsed = match parsed {
            Ok(parsed) => parsed,
            Err(error) => return Err(broken(owner, &mut admitted, &mut used, &error)),
        };
        used.note(parser.tokens());
        admitted.slot.progress(parser.tokens());
        if parsed.bytes.is_empty() {
            continue;
        }
        let size_bytes = parsed.bytes.len() as u64;
        let output_tokens = u64::from(target.resume_tokens) + parser.tokens();
        let bytes = parsed.bytes;
        let data = ReplyData { offset_bytes, output_tokens, more: false, bytes };
        offset_bytes += size_bytes;
        if admitted.replies.send(Reply::Data(data)).await.is_err() {
            return Ok(());
        }
    }
    if !parser.is_whole() {
        let error = UpstreamError::broken("the engine's stream ended before its end marker");
        return Err(broken(owner, &mut admitted, &mut used, &error));
    }
    let tokens = used.end(parser.usage(), UseOutcome::Finished);
    let now = owner.parts.clock.monotonic();
    admitted.replica.answered(now, &target.prefix, &tokens);
    finish(owner, admitted, offset_bytes, Some(tokens)).await;
    Ok(())
}

/// Passes on an answer that is no stream of events: the engine's word on an invalid chat.
async fn pass_document(
    owner: &Arc<Owner>,
    admitted: Admitted,
    head: EngineHead,
) -> Result<(), ReplyRefusal> {
    let headers = vec![Header { name: "content-type".into(), value: "application/json".into() }];
    send_head(&admitted, head.status(), headers).await;
    pass_body(owner, admitted, head.into_body()).await
}

fn broken(
    owner: &Arc<Owner>,
    admitted: &mut Admitted,
    used: &mut ChatUse,
    error: &UpstreamError,
) -> ReplyRefusal {
    let tokens = used.end(None, UseOutcome::Failed);
    failed(owner, admitted, error, Some(tokens), Verdict::Ran)
}
