//! What becomes of an attempt while its owner may be lost.

use teaselworks_policy::membership::owner_of;
use teaselworks_policy::name::Name;
use teaselworks_policy::retry::DoubtDecision;
use teaselworks_wire::message::Reply;
use tokio::sync::mpsc::error::TryRecvError;
use tokio::time;

use super::attempt::Asked;
use super::dispatcher::{Decisions, Dispatcher};
use super::entry::Entry;
use super::request::Request;
use super::retry::PaidRetry;
use crate::exchange::Exchange;

/// What an attempt waited for.
pub enum Received {
    /// A reply.
    Reply(Reply),
    /// Nothing more will come.
    Lost,
    /// The owner is in doubt, and the answer is late.
    Doubted,
}

impl From<Option<Reply>> for Received {
    fn from(reply: Option<Reply>) -> Self {
        reply.map_or(Received::Lost, Received::Reply)
    }
}

/// Waits for the next reply, or until the owner is in doubt and tokens are late.
///
/// Replies that have come are taken first: leaving them would generate their tokens twice.
pub async fn receive(exchange: &mut Exchange, request: &Request) -> Received {
    loop {
        if let Some(reply) = exchange.recv_unless_doubted().await {
            return Received::Reply(reply);
        }
        match exchange.replies.try_recv() {
            Ok(reply) => return Received::Reply(reply),
            Err(TryRecvError::Disconnected) => return Received::Lost,
            Err(TryRecvError::Empty) => {}
        }
        let until_late = request.until_late();
        if until_late.is_zero() {
            return Received::Doubted;
        }
        // The owner may say something meanwhile, so the doubt is looked at again.
        if let Ok(reply) = time::timeout(until_late, exchange.replies.recv()).await {
            return reply.into();
        }
    }
}

impl Dispatcher {
    /// Decides whether the running attempt is left because `owner` is in doubt; returns the retry
    /// that follows.
    pub(super) fn leave(
        &self,
        entry: &Entry,
        request: &Request,
        asked: &Asked<'_>,
        owner: &Name,
        replayable: bool,
    ) -> Option<PaidRetry> {
        let now = self.parts.clock.monotonic();
        let served_elsewhere = self.is_served_elsewhere(entry, asked, owner);
        let left = asked.deadline.saturating_sub(now);
        // Another attempt would send a body of which a part has gone without its beginning.
        let mut traits = entry.traits();
        traits.idempotent &= replayable;
        let doubted = request.doubted(&traits, left, served_elsewhere);
        let decision = {
            let Decisions { retries, random } = &mut *self.decisions();
            retries.on_doubt(now, &doubted, random)
        };
        self.parts.metrics.add_doubted_attempt(decision);
        match decision {
            DoubtDecision::Leave { reason, delay } => Some(PaidRetry { reason, delay }),
            DoubtDecision::Wait(_) => None,
        }
    }

    /// Tells whether the search has another replica, whose owner is not in doubt.
    fn is_served_elsewhere(&self, entry: &Entry, asked: &Asked<'_>, doubted: &Name) -> bool {
        let mut others = asked.search.clone();
        others.failed(asked.index);
        let view = self.parts.fleet.view();
        while let Some(ask) = others.next_ask() {
            let Some(replica) = self.parts.placement.name_of(ask.replica) else {
                continue;
            };
            let place = entry.routing.place_of(&replica);
            let Some(owner) = owner_of(&view, &replica, place.as_ref()) else {
                continue;
            };
            if owner.name != *doubted && !self.parts.links.is_doubted(&owner.name) {
                return true;
            }
        }
        false
    }
}
