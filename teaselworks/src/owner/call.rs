//! Makes a call to a plain service and passes its answer on.

use std::iter;
use std::sync::Arc;

use futures_util::{StreamExt, stream};
use reqwest::Body;
use teaselworks_policy::verdict::Verdict;
use teaselworks_wire::message::{CallTarget, ReplyRefusal};

use super::answer::{failed, pass_body, send_head};
use super::body::RequestBody;
use super::service::{Admitted, Owner};
use crate::upstream::{ServiceClient, passed_back};

/// Makes a call and passes its replies on; fails with how far it got.
pub async fn serve(
    owner: &Arc<Owner>,
    mut admitted: Admitted,
    target: CallTarget,
) -> Result<(), ReplyRefusal> {
    let (body, cut) = match std::mem::take(&mut admitted.body) {
        // The client announces the length itself.
        RequestBody::Whole(bytes) => (bytes.into(), None),
        RequestBody::Arriving(arriving) => {
            let cut = arriving.cut.clone();
            (Body::wrap_stream(arriving.into_stream()), Some(cut))
        }
    };
    let url = &admitted.upstream.url;
    let answered = owner.parts.services.call(url, &admitted.open.attempt, &target, body).await;
    let response = match answered {
        Ok(response) => response,
        Err(error) => return Err(failed(owner, &mut admitted, &error, None, Verdict::NotRun)),
    };
    send_head(&admitted, response.status().as_u16(), passed_back(&response)).await;
    // A service may answer before it has the whole body. Once the answer is whole, the entry lets
    // go of the rest; that must not look like the body's end.
    let ends = stream::iter(iter::from_fn(move || {
        cut.as_ref().inspect(|cut| cut.cancel());
        None
    }));
    pass_body(owner, admitted, ServiceClient::body(response).chain(ends)).await
}
