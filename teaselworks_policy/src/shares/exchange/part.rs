//! The latest message of each sender, for its lifetime.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::message::ReportedLoad;
use super::topology::Topology;

/// Time for which a message counts that is sent every 250 ms: the next five may be lost.
const FREQUENT_LIFETIME: Duration = Duration::from_millis(1_500);
/// Time for which a message counts that is sent every second.
const RARE_LIFETIME: Duration = Duration::from_millis(2_500);

/// A message of one sender about the load of one or several routers.
#[derive(Debug)]
pub(super) struct Part {
    pub(super) process: u64,
    pub(super) sequence: u64,
    pub(super) received_at: Duration,
    pub(super) is_frequent: bool,
    /// Clock reading at which the oldest load in it was measured.
    pub(super) as_of: Duration,
    pub(super) routers: u32,
    pub(super) load: ReportedLoad,
}

/// The latest message of each sender.
#[derive(Debug, Default)]
pub(super) struct Parts {
    /// With each, the process before that of the message: its delayed messages are ignored.
    latest: BTreeMap<SocketAddr, (Part, Option<u64>)>,
}

impl Parts {
    /// Replaces the earlier message of the sender. Returns false, and changes nothing, if the
    /// message is not newer, or too many senders are counted that are not listed.
    pub(super) fn accept(&mut self, from: SocketAddr, part: Part, topology: &Topology) -> bool {
        let before = match self.latest.get(&from) {
            Some((last, _)) if last.process == part.process && part.sequence <= last.sequence => {
                return false;
            }
            Some((last, before)) if last.process == part.process => *before,
            Some((_, Some(before))) if *before == part.process => return false,
            Some((last, _)) => Some(last.process),
            None => {
                let unlisted = self.latest.keys().filter(|sender| !topology.is_listed(**sender));
                if !topology.is_listed(from) && unlisted.count() >= topology.listed_count() {
                    return false;
                }
                None
            }
        };
        self.latest.insert(from, (part, before));
        true
    }

    /// Drops messages whose lifetime is over.
    pub(super) fn expire(&mut self, now: Duration) {
        self.latest.retain(|_, (part, _)| {
            let lifetime = if part.is_frequent { FREQUENT_LIFETIME } else { RARE_LIFETIME };
            now.saturating_sub(part.received_at) < lifetime
        });
    }

    /// Returns the messages, those of listed senders first.
    pub(super) fn iter<'a>(&'a self, topology: &'a Topology) -> impl Iterator<Item = &'a Part> {
        let of = move |is_listed: bool| {
            let all = self.latest.iter();
            all.filter(move |(sender, _)| topology.is_listed(**sender) == is_listed)
        };
        of(true).chain(of(false)).map(|(_, (part, _))| part)
    }

    /// Returns the senders.
    pub(super) fn senders(&self) -> impl Iterator<Item = SocketAddr> {
        self.latest.keys().copied()
    }

    /// Returns whether there are no messages.
    pub(super) fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }

    /// Drops all messages.
    pub(super) fn clear(&mut self) {
        self.latest.clear();
    }
}
