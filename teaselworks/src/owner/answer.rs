//! What the answers of engines and services have in common on their way to the entry.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use teaselworks_policy::name::Name;
use teaselworks_policy::verdict::{Refusal, Verdict};
use teaselworks_wire::message::{
    Header, Reply, ReplyData, ReplyFinish, ReplyHead, ReplyRefusal, TokenUse,
};

use super::service::{Admitted, Estimate, Owner, upstream_refusal};
use crate::event;
use crate::upstream::UpstreamError;

/// Passes on a body as it is, and ends the answer; fails when the upstream breaks it off.
pub(super) async fn pass_body(
    owner: &Arc<Owner>,
    mut admitted: Admitted,
    mut body: impl Stream<Item = Result<Bytes, UpstreamError>> + Unpin,
) -> Result<(), ReplyRefusal> {
    let mut offset_bytes = 0;
    while let Some(piece) = body.next().await {
        let bytes = match piece {
            Ok(bytes) => bytes,
            Err(error) => return Err(failed(owner, &mut admitted, &error, None, Verdict::Ran)),
        };
        let size_bytes = bytes.len() as u64;
        let data = ReplyData { offset_bytes, output_tokens: 0, more: false, bytes };
        offset_bytes += size_bytes;
        if admitted.replies.send(Reply::Data(data)).await.is_err() {
            return Ok(());
        }
    }
    finish(owner, admitted, offset_bytes, None).await;
    Ok(())
}

/// Sends the head of an answer; a caller that is gone is noticed with the data.
pub(super) async fn send_head(admitted: &Admitted, status: u16, headers: Vec<Header>) {
    let head = ReplyHead { status, headers, replica: admitted.open.replica.clone() };
    let _ = admitted.replies.send(Reply::Head(head)).await;
}

/// Ends a whole answer: the place is given back first, so that the load sent along is without it.
pub(super) async fn finish(
    owner: &Arc<Owner>,
    admitted: Admitted,
    size_bytes: u64,
    tokens: Option<TokenUse>,
) {
    let Admitted { open, mut slot, replica, upstream, replies, .. } = admitted;
    slot.whole(Estimate::of(&open.target).output_tokens);
    drop(slot);
    let serves = owner.parts.placement.pool_of(&open.replica, &upstream);
    let load = owner.load(&replica, &serves);
    let _ = replies.send(Reply::Finish(ReplyFinish { size_bytes, tokens, load })).await;
}

/// Makes the refusal of an attempt that the upstream failed, and tells the circuit.
pub(super) fn failed(
    owner: &Arc<Owner>,
    admitted: &mut Admitted,
    error: &UpstreamError,
    tokens: Option<TokenUse>,
    sent: Verdict,
) -> ReplyRefusal {
    admitted.slot.note(false);
    let replica: &Name = &admitted.open.replica;
    event::UPSTREAM_FAILED.log(format_args!("replica={replica} {error}"));
    let refusal: Refusal = upstream_refusal(error, sent);
    let serves = owner.parts.placement.pool_of(replica, &admitted.upstream);
    let load = owner.load(&admitted.replica, &serves);
    ReplyRefusal { refusal, tokens, load }
}
