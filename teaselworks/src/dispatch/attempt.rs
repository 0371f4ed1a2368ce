//! One attempt: opened at the owner, its replies passed to the caller.

use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::attempt::{Assembly, Event, Fault, Step};
use teaselworks_policy::membership::owner_of;
use teaselworks_policy::name::Name;
use teaselworks_policy::placement::{Claim, ReplicaIndex, Search};
use teaselworks_policy::verdict::{Refusal, RefusalReason};
use teaselworks_wire::message::{Header, Open, Reply, ReplyFinish};

use super::dispatcher::Dispatcher;
use super::doubt::{self, Received};
use super::entry::Entry;
use super::feed::Feed;
use super::request::Request;
use super::retry::PaidRetry;
use crate::event;
use crate::exchange::{self, Exchange};
use crate::link::Peer;
use crate::once;
use crate::usage::Witness;

/// Header that carries the affinity token.
const AFFINITY: &str = "x-affinity";

/// How an attempt ended.
pub enum Ended {
    /// The answer is whole; its last message.
    Whole(ReplyFinish),
    /// The attempt failed.
    Failed(Fault),
    /// The attempt was left because its owner is in doubt.
    Left(Fault, PaidRetry),
    /// The caller is gone.
    CallerGone,
    /// The request's body is too large, too slow or broken off.
    BodyFailed(Refusal),
}

/// Who is asked for a place, and how.
pub struct Asked<'a> {
    /// The replica.
    pub replica: &'a Name,
    /// What is claimed of its owner.
    pub claim: Claim,
    /// Its index.
    pub index: ReplicaIndex,
    /// The search that named it.
    pub search: &'a Search,
    /// The caller's deadline.
    pub deadline: Duration,
    /// Time left until then.
    pub left: Duration,
    /// Right to send a request that runs at most once.
    pub once: Option<&'a once::Claim>,
}

/// An attempt under way.
///
/// The fields are dropped in this order. Were the feed dropped first, a body that was given up
/// midway would end like a whole one, and the service would run a call with the beginning of its
/// body; the exchange cancels the attempt before.
struct Opened<'a> {
    exchange: Exchange,
    feed: Feed<'a>,
    /// Router asked, where it is another one.
    owner: Option<Name>,
    /// Sees the replies of an attempt at another router.
    witness: Option<Witness>,
}

/// Makes one attempt and passes its replies on.
pub async fn run(
    dispatcher: &Arc<Dispatcher>,
    entry: &Entry,
    request: &Request,
    asked: &Asked<'_>,
) -> Ended {
    let opened = match open(dispatcher, entry, request, asked).await {
        Ok(opened) => opened,
        Err(refusal) => return fail(request.accept(&Event::Refused(refusal))),
    };
    pass_on(dispatcher, entry, request, asked, opened).await
}

async fn open<'a>(
    dispatcher: &Arc<Dispatcher>,
    entry: &'a Entry,
    request: &Request,
    asked: &Asked<'_>,
) -> Result<Opened<'a>, Refusal> {
    let Asked { replica, claim, left, once, .. } = *asked;
    let view = dispatcher.parts.fleet.view();
    let place = entry.routing.place_of(replica);
    let Some(owner) = owner_of(&view, replica, place.as_ref()) else {
        let detail = "No router owns the replica.";
        return Err(Refusal::not_run(RefusalReason::OwnerUnreachable, None, detail));
    };
    let resume_tokens = request.resume_tokens();
    let open = Open {
        attempt: request.attempt(),
        replica: replica.clone(),
        claim,
        refused_mean_tokens: asked.search.refused_mean_tokens(),
        workspace: entry.workspace.clone(),
        priority: entry.priority,
        deadline_ms: left.as_millis() as u64,
        configuration_version: entry.routing.numbered.version,
        target: entry.target(resume_tokens),
    };
    let (feed, body) = entry.feed(resume_tokens);
    if let Some(once) = once {
        once.may_send()?;
    }
    if owner.name == dispatcher.parts.router {
        let (exchange, incoming) = exchange::pair(open, body);
        request.sending();
        dispatcher.parts.owner.accept(incoming);
        return Ok(Opened { exchange, feed, owner: None, witness: None });
    }
    let peer = Peer { router: owner.name.clone(), address: owner.address };
    let witness = dispatcher.parts.usage.witness(&peer.router, &open);
    let opened = dispatcher.parts.links.open(&peer, open, body).await;
    dispatcher.parts.fleet.report(&peer.router, opened.is_ok());
    match opened {
        Ok(exchange) => {
            request.sending();
            Ok(Opened { exchange, feed, owner: Some(peer.router), witness })
        }
        Err(error) => Err(Refusal {
            reason: RefusalReason::OwnerUnreachable,
            verdict: error.verdict,
            retry_after_ms: None,
            detail: format!("The owner of the replica cannot be reached: {error}."),
        }),
    }
}

async fn pass_on(
    dispatcher: &Arc<Dispatcher>,
    entry: &Entry,
    request: &Request,
    asked: &Asked<'_>,
    mut opened: Opened<'_>,
) -> Ended {
    let replica = asked.replica;
    // Asked once for each doubt: whether the attempt goes on to wait changes only with the owner's
    // next word, and a thousand answers on a dead link should not ask again and again.
    let mut heeds_doubt = true;
    let mut skipped = None;
    loop {
        let received = tokio::select! {
            biased;
            received = next(&mut opened.exchange, request, heeds_doubt) => received,
            refusal = opened.feed.run() => return Ended::BodyFailed(refusal),
        };
        heeds_doubt = !matches!(received, Received::Doubted);
        let reply = match (received, &opened.owner) {
            (Received::Reply(reply), _) => reply,
            (Received::Doubted, Some(owner)) => {
                let replayable = opened.feed.is_replayable();
                match dispatcher.leave(entry, request, asked, owner, replayable) {
                    Some(retry) => return left(request.accept(&Event::Lost), retry),
                    None => continue,
                }
            }
            (Received::Lost | Received::Doubted, _) => {
                return fail(request.accept(&Event::Lost));
            }
        };
        request.note_use(&reply);
        if let Some(witness) = &mut opened.witness {
            witness.note(&reply);
        }
        match (request.accept(&event_of(&reply)), reply) {
            (Step::Head, Reply::Head(mut head)) => {
                if let Some(value) = dispatcher.affinity_token(entry, replica) {
                    head.headers.push(Header { name: AFFINITY.into(), value });
                }
                if !request.send_head(head).await {
                    return Ended::CallerGone;
                }
            }
            (Step::Forward, Reply::Data(data)) => {
                request.note_tokens(data.output_tokens);
                if !request.send_data(data.bytes).await {
                    return Ended::CallerGone;
                }
            }
            (Step::Skip, Reply::Data(data)) => skipped = Some(data.bytes),
            (Step::Finish, Reply::Finish(finish)) => {
                if let Some(last) = skipped.filter(|_| request.lacks_last_part()) {
                    request.send_data(last).await;
                }
                dispatcher.parts.placement.observe(replica, finish.load);
                return Ended::Whole(finish);
            }
            (Step::Fail(fault), reply) => {
                if let Reply::Refusal(refusal) = reply {
                    dispatcher.parts.placement.observe(replica, refusal.load);
                }
                return Ended::Failed(fault);
            }
            (Step::Drop(kind), _) => {
                dispatcher.parts.metrics.add_stale_reply(kind);
                event::STALE_REPLY_DROPPED
                    .log(format_args!("attempt={} kind={kind}", request.attempt()));
            }
            _ => {}
        }
    }
}

async fn next(exchange: &mut Exchange, request: &Request, heeds_doubt: bool) -> Received {
    match heeds_doubt {
        true => doubt::receive(exchange, request).await,
        false => exchange.replies.recv().await.into(),
    }
}

fn event_of(reply: &Reply) -> Event {
    match reply {
        Reply::Head(head) => Event::Head { status: head.status },
        Reply::Data(data) => Event::Data {
            offset_bytes: data.offset_bytes,
            size_bytes: data.bytes.len() as u64,
            output_tokens: data.output_tokens,
        },
        Reply::Finish(finish) => {
            Event::Finish { size_bytes: finish.size_bytes, output_tokens: None }
        }
        Reply::Refusal(refusal) => Event::Refused(refusal.refusal.clone()),
    }
}

fn fail(step: Step) -> Ended {
    match step {
        Step::Fail(fault) => Ended::Failed(fault),
        _ => unreachable!("a refused or lost attempt that runs is a failed one"),
    }
}

fn left(step: Step, retry: PaidRetry) -> Ended {
    match fail(step) {
        Ended::Failed(fault) => Ended::Left(fault, retry),
        ended => ended,
    }
}

/// Makes the assembly of a request.
pub fn assembly(entry: &Entry) -> Assembly {
    Assembly::new(entry.attempt.clone())
}
