//! What a router does with what it hears, about itself above all.

use std::time::Duration;

use super::event::Action;
use super::machine::Membership;
use super::message::Message;
use super::record::{Liveness, MAX_FLAPS, Record, Update};
use super::standing::Standing;
use super::table::Merged;
use crate::name::Name;

/// Longest time that a router owns nothing after it was lost.
const LONGEST_HOLD: Duration = Duration::from_secs(300);

/// Share of the fleet that a router must reach to deny its loss without waiting.
const STEADY_SHARE: f64 = 0.5;

impl Membership {
    /// Takes everything that a message tells; returns whether its sender is known.
    pub(super) fn learn(&mut self, now: Duration, message: &Message) -> bool {
        for update in &message.updates {
            self.take_update(now, update);
        }
        for mark in &message.upstreams {
            if self.upstreams.merge(mark.clone()) {
                self.actions.push(Action::UpstreamsChanged);
                self.urgent_news = true;
            }
        }
        let sender = &message.sender;
        self.take_update(now, sender);
        let known = self
            .table
            .get(&sender.router)
            .is_some_and(|member| member.record.incarnation == sender.record.incarnation);
        if known {
            self.note_heard(now, &sender.router);
            self.compare_digest(now, message);
        }
        known
    }

    /// Notes a sign of life; a suspect that gives one gets its full time again.
    pub(super) fn note_heard(&mut self, now: Duration, router: &Name) {
        let deadline = now + self.timing.suspicion;
        let Some(member) = self.table.get_mut(router) else { return };
        member.heard = Some(now);
        if let Some(dead_at) = &mut member.dead_at {
            *dead_at = deadline.max(*dead_at);
        }
    }

    /// Tells whether a message says that this router, as it is now, is suspected or lost.
    pub(super) fn doubts_me(&self, message: &Message) -> bool {
        let own = self.own();
        message.updates.iter().any(|update| {
            update.router == self.me
                && update.record.incarnation >= own.incarnation
                && update.record.revision >= own.revision
                && update.record.liveness >= Liveness::Suspect
        })
    }

    fn take_update(&mut self, now: Duration, update: &Update) {
        if update.router == self.me {
            self.hear_of_myself(now, update.record);
            return;
        }
        if self.table.merge(now, update) != Merged::Changed {
            return;
        }
        let wait = self.timing.suspicion + self.timing.spread(self.table.live());
        let Some(member) = self.table.get_mut(&update.router) else { return };
        if member.record.liveness == Liveness::Suspect && member.dead_at.is_none() {
            // The accuser declares the loss and spreads it; this longer time is for when the
            // accuser is lost too.
            member.dead_at = Some(now + wait);
        }
        self.urgent_news |= member.record.liveness != Liveness::Suspect;
        let news = Update {
            router: update.router.clone(),
            record: member.record,
            details: update.details.clone(),
        };
        self.rumours.add(update.router.clone(), news);
    }

    fn hear_of_myself(&mut self, now: Duration, heard: Record) {
        let own = self.own();
        if heard.incarnation > own.incarnation {
            // The wall clock was set back over a restart, or two processes bear this name. Peers
            // ignore the lower incarnation, seen as a router that never gets work.
            let record = Record { incarnation: heard.incarnation + 1, ..Record::starting(0) };
            self.loss_denied = 0;
            self.return_later(now, record, heard.flaps.saturating_add(1));
            return;
        }
        if heard.incarnation < own.incarnation {
            let unplanned = !heard.leaving && own.joining;
            if unplanned && own.flaps <= heard.flaps {
                self.return_later(now, own, heard.flaps.saturating_add(1));
            }
            return;
        }
        // A loss declared before a mere suspicion was denied: the denial undid it everywhere, but
        // others have taken over, and this router must not act as if nothing had been.
        let lost = heard.liveness == Liveness::Dead && heard.revision >= self.loss_denied;
        let suspected = heard.liveness == Liveness::Suspect && heard.revision >= own.revision;
        if !lost && !suspected {
            return;
        }
        let denial = Record { revision: own.revision.max(heard.revision) + 1, ..own };
        // One that was silent for so long may have been taken for lost by now; the news of that may
        // come later than its denial, or never.
        let silent = self.standing.proof_is_older(now, self.timing.earliest_loss());
        if suspected && !silent {
            self.state(now, denial);
            return;
        }
        self.loss_denied = denial.revision;
        if own.leaving {
            self.state(now, denial);
            return;
        }
        self.deny_loss(now, denial);
    }

    /// Tells whether peers counted on this router a moment ago.
    pub(super) fn is_proved(&self, now: Duration) -> bool {
        self.standing(now) == Standing::Confirmed && !self.standing.is_alone()
    }

    /// Denies that this router is lost.
    ///
    /// Others own its names by now. One that acted all the while in the larger part of the fleet
    /// takes them back at once, after a split or a first loss: they move out and back, no more.
    /// One that was cut off, paused or lost repeatedly waits, and longer each time, so that
    /// a flapping router moves its names once and not with each flap.
    fn deny_loss(&mut self, now: Duration, denial: Record) {
        let steady = self.is_proved(now) && self.view.reached_share() >= STEADY_SHARE;
        let excused = steady && self.split_seen;
        self.split_seen = false;
        let flaps = if excused { denial.flaps } else { denial.flaps.saturating_add(1) };
        self.actions.push(Action::Denied { flaps });
        if excused || (steady && flaps == 1) {
            self.flapped_at = now;
            self.owner_since = now;
            self.state(now, Record { flaps, ..denial });
            return;
        }
        self.standing.revoke(now);
        self.return_later(now, Record { joining: true, ..denial }, flaps);
    }

    /// Goes on as a router that owns nothing until it has been steady for a time.
    fn return_later(&mut self, now: Duration, record: Record, flaps: u8) {
        let flaps = flaps.min(MAX_FLAPS);
        let doublings = u32::from(flaps.saturating_sub(1)).min(16);
        let hold = self.timing.rejoin_hold * (1 << doublings);
        self.hold_until = now + hold.min(LONGEST_HOLD);
        self.flapped_at = now;
        self.state(now, Record { flaps, ..record });
    }
}
