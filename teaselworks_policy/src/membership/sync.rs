//! Mends what news left different between two routers' tables.

use std::time::Duration;

use super::machine::Membership;
use super::message::{Message, MessageKind};
use super::prober::Cause;
use super::record::{Liveness, Update};
use super::table::digest_of_groups;
use super::upstreams::UpstreamMark;
use crate::name::Name;

/// Records in one answer to a `Sync`, rounded up to whole groups; a router that starts asks again
/// at once until it has all, the others keep within their control budget.
pub(super) const SYNC_RECORDS: usize = 32;

/// Least intervals between two fetches of records.
const SYNC_INTERVALS: u32 = 4;

/// Exchanges with a differing digest, all news sent, before records are fetched.
const MISMATCHES: u32 = 2;

/// Exchanges with a differing digest before records are fetched in any case.
const MISMATCHES_WHILE_BUSY: u32 = 16;

/// Sendings that one peer whose view agrees stands for.
const AGREED_SENDINGS: u32 = 1;

impl Membership {
    /// Compares a peer's digest with this router's own; fetches records when they differ for long.
    pub(super) fn compare_digest(&mut self, now: Duration, message: &Message) {
        if message.digest == self.digest() {
            self.mismatches = 0;
            // Else the news of a mass start would be repeated for minutes to those who know.
            let repeats = self.repeats();
            let agreed = |news: &Update| news.record.liveness != Liveness::Suspect;
            self.rumours.age(AGREED_SENDINGS, repeats, agreed);
            return;
        }
        self.mismatches += 1;
        let told = self.rumours.is_empty() && !self.upstreams.has_news();
        let lasts = self.mismatches >= MISMATCHES && told;
        if lasts || self.mismatches >= MISMATCHES_WHILE_BUSY {
            self.start_sync(now, &message.sender.router);
        }
    }

    /// Asks a router for the records that differ, at a bounded rate.
    pub(super) fn start_sync(&mut self, now: Duration, with: &Name) {
        if now < self.next_sync {
            return;
        }
        let Some(contact) = self.contact(with) else { return };
        let wait = if self.synced { SYNC_INTERVALS } else { 1 };
        self.next_sync = now + self.timing.probe_interval * wait;
        self.mismatches = 0;
        let mut message = self.compose(MessageKind::Sync(self.table.digests().to_vec()), with);
        message.updates.extend(self.own_update());
        self.call(now, contact, with, Cause::Sync, message);
    }

    /// Goes on after an answer to a `Sync`.
    pub(super) fn take_records(&mut self, now: Duration, message: &Message, digests: &[u32]) {
        let sender = &message.sender;
        // Records of a router that has just started itself may be a small part of the fleet.
        let informed = !sender.record.joining || self.knows_most_of_list();
        if informed && !self.synced && message.updates.len() >= SYNC_RECORDS {
            self.next_sync = now;
            self.start_sync(now, &sender.router);
            return;
        }
        self.synced |= informed;
        self.push_differing(now, message, digests);
    }

    /// Tells whether most routers that the list names are known.
    fn knows_most_of_list(&self) -> bool {
        let known = self.contacts.keys().filter(|router| self.table.get(router).is_some()).count();
        self.list_read && known * 2 >= self.contacts.len()
    }

    fn push_differing(&mut self, now: Duration, peer: &Message, digests: &[u32]) {
        let marks = self.differing_marks(peer, digests);
        if digests == self.table.digests() && marks.is_empty() {
            return;
        }
        let to = &peer.sender.router;
        let Some(contact) = self.contact(to) else { return };
        let mut message = self.compose(MessageKind::Push, to);
        message.updates = self.table.differing(digests, SYNC_RECORDS);
        message.upstreams.extend(marks);
        self.call(now, contact, to, Cause::Push, message);
    }

    /// Returns the digest of everything that routers agree on, records and marks of upstreams.
    pub(super) fn digest(&self) -> u32 {
        self.table.digest() ^ self.upstreams.digest()
    }

    /// Returns marks of upstreams where those of a peer, which also sent the digests of its
    /// records, differ.
    ///
    /// A router that was paused or cut off while news of a leaving upstream were passed on would
    /// go on giving it work until its own next turn to read the list, minutes later.
    pub(super) fn differing_marks(&mut self, peer: &Message, digests: &[u32]) -> Vec<UpstreamMark> {
        if peer.digest ^ digest_of_groups(digests) == self.upstreams.digest() {
            return Vec::new();
        }
        self.upstreams.marks()
    }
}
