//! Sizes of the messages of refused questions, encoded as routers encode them.

use teaselworks_policy::load::LoadSample;
use teaselworks_policy::name::{AttemptId, Name};
use teaselworks_policy::placement::Ask;
use teaselworks_policy::verdict::{Priority, Refusal, RefusalReason};
use teaselworks_wire::codec;
use teaselworks_wire::frame::{Frame, StreamKey};
use teaselworks_wire::message::{ChatTarget, Open, Reply, ReplyRefusal, Target};

use super::workload::Request;

/// Header of a message on a link with its mask.
const HEADER_BYTES: u64 = 8;
/// A number of a stream, an incarnation, a deadline and a version of usual length.
const STREAM: u32 = 4_001;
const INCARNATION: u64 = 1_764_700_000_000;
const DEADLINE_MS: u64 = 60_000;
const VERSION: u64 = 42;
/// Credit that the entry gives for the answer with the question.
const WINDOW_BYTES: u32 = 4_096;

/// One question that an owner refused.
pub(super) struct Refused {
    pub(super) ask: Ask,
    pub(super) told_tokens: u64,
    pub(super) attempt: AttemptId,
    pub(super) reason: RefusalReason,
    pub(super) load: LoadSample,
}

/// Returns the bytes of a question and its refusal, without those of the request's body.
pub(super) fn refused_bytes(request: &Request, model: &Name, refused: Refused) -> u64 {
    let Refused { ask, told_tokens, attempt, reason, load } = refused;
    let router = format!("router-{:03}", request.entry).into();
    let attempt = AttemptId { router, incarnation: INCARNATION, ..attempt };
    let key = StreamKey::new(STREAM, &attempt);
    let chat = ChatTarget {
        model: model.clone(),
        adapter: None,
        prefix: request.chain.clone(),
        prompt_tokens: request.prompt_tokens,
        output_tokens: request.expected_tokens,
        stream: true,
        resume_tokens: 0,
    };
    let open = Open {
        attempt,
        replica: format!("engine-{}", ask.replica.0).into(),
        claim: ask.claim,
        refused_mean_tokens: told_tokens,
        workspace: request.workspace.clone(),
        priority: Priority::Normal,
        deadline_ms: DEADLINE_MS,
        configuration_version: VERSION,
        target: Target::Chat(chat),
    };
    let detail = match reason {
        RefusalReason::NotHeld => "Not held.",
        RefusalReason::PerhapsHeld => "Perhaps held.",
        RefusalReason::NotOwner => "Another router owns the replica.",
        _ => "The replica would carry more than its bound.",
    };
    let refusal =
        ReplyRefusal { refusal: Refusal::not_run(reason, None, detail), tokens: None, load };
    let frames = [
        Frame::Open { key, window_bytes: WINDOW_BYTES, open },
        Frame::BodyEnd(key),
        Frame::Reply { key, reply: Reply::Refusal(refusal) },
    ];
    let mut buffer = Vec::new();
    for frame in frames {
        codec::append(&mut buffer, &frame, usize::MAX).expect("the frames can be encoded");
    }
    buffer.len() as u64 + 2 * HEADER_BYTES
}
