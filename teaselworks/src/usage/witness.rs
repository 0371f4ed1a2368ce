//! What this router sees of an attempt at another one, kept in case that one is lost.

use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::name::Name;
use teaselworks_policy::usage::{Charge, Sighting, Source, UsageRecord, UseOutcome};
use teaselworks_wire::message::{Open, Reply, Target};

use super::seen::SeenUse;
use super::service::UsageService;

/// The router that owns an attempt, and the one that holds its copies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Watched {
    /// Owner, with its incarnation as membership shows it.
    pub owner: Source,
    /// Holder of the owner's copies.
    pub holder: Name,
}

/// Time between two looks for the holder of an owner's copies during a long answer.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Looks on as an attempt's replies pass; when it is dropped, what was seen is kept for a while.
///
/// The owner charges the attempt. A killed owner takes with it what it had not copied yet, half a
/// second of use and everything in progress; then only the entry knows what reached the caller.
#[derive(Debug)]
pub struct Witness {
    service: Arc<UsageService>,
    watched: Watched,
    record: UsageRecord,
    seen: SeenUse,
    heard_at: Duration,
    watched_at: Duration,
}

impl Witness {
    pub(super) fn new(service: Arc<UsageService>, watched: Watched, open: &Open) -> Option<Self> {
        let Target::Chat(target) = &open.target else {
            return None;
        };
        let record = UsageRecord {
            attempt: open.attempt.clone(),
            workspace: open.workspace.clone(),
            model: target.model.clone(),
            adapter: target.adapter.clone(),
            prompt_tokens: 0,
            cached_tokens: 0,
            output_tokens: 0,
            outcome: UseOutcome::Cut,
            at_ms: 0,
        };
        let now = service.now();
        let seen = SeenUse::new(open);
        Some(Self { service, watched, record, seen, heard_at: now, watched_at: now })
    }

    /// Takes note of a reply.
    pub fn note(&mut self, reply: &Reply) {
        self.seen.note(reply);
        self.heard_at = self.service.now();
        if self.heard_at >= self.watched_at + WATCH_INTERVAL {
            self.watched_at = self.heard_at;
            self.look_again();
        }
    }

    /// Learns who holds the owner's copies now; a lost owner is no longer in the view.
    fn look_again(&mut self) {
        let current = (self.service.parts().watched)(&self.watched.owner.router);
        if let Some(current) =
            current.filter(|current| self.watched.owner.is_process(&current.owner))
        {
            self.watched = current;
        }
    }
}

impl Drop for Witness {
    fn drop(&mut self) {
        let Some(tokens) = self.seen.tokens() else {
            return;
        };
        self.record.prompt_tokens = tokens.prompt_tokens;
        self.record.cached_tokens = tokens.cached_tokens;
        self.record.output_tokens = tokens.output_tokens;
        self.record.at_ms = self.service.wall_ms();
        self.service.see(Sighting {
            owner: self.watched.owner.clone(),
            holder: self.watched.holder.clone(),
            heard_at: self.heard_at,
            period: self.record.period(),
            charge: Charge::from(&self.record),
            since: self.service.now(),
        });
    }
}
