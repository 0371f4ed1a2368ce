//! Versions between routers: new ones are passed on at once, and each router asks another one now
//! and then, so that nobody is left behind.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use rand::seq::IndexedRandom;
use serde::Serialize;
use teaselworks_config::configuration::Configuration;
use teaselworks_policy::name::Name;
use teaselworks_policy::store::fanout::children;
use teaselworks_policy::store::version::{Relation, Version, relation};

use super::Store;
use super::held::Held;
use super::message::{Answer, Request, VersionMessage, decode, encode};
use super::peers::Peer;

/// Time for one answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time between two questions.
const ASK_INTERVAL: Duration = Duration::from_secs(2);
/// Patches carried by one message; the routers' frames hold 64 KiB.
pub(super) const MESSAGE_SIZE_BYTES: usize = 32 << 10;
/// Answers awaited at once by a status.
const STATUS_CALLS: usize = 32;
/// Routers asked by one that starts.
const START_PEERS: usize = 5;
/// A router that starts waits so long for its view of the fleet, which has a shorter limit of its
/// own with all but extreme settings.
const START_PATIENCE: Duration = Duration::from_secs(10);
const START_PAUSE: Duration = Duration::from_millis(50);
/// Turns of questions by a router that starts, while no router asked has a configuration.
const START_TURNS: u32 = 3;
/// A router that starts waits so long for the platform before it takes its peers' word alone.
const START_LOAD_PATIENCE: Duration = Duration::from_secs(2);
/// Messages that fetch one configuration: enough for 128 MB.
const LONGEST_PULL: usize = 4_096;

/// State of one router as an operator sees it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RouterStatus {
    /// Name.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Number in force there; `None`: no answer.
    pub version: Option<u64>,
    /// `in_force`, `behind` or `unreachable`.
    pub state: &'static str,
}

impl Store {
    /// Answers a message that another router sent through its `Peers`.
    pub fn handle(&self, message: &[u8]) -> Bytes {
        let answer = match decode(message) {
            Some(Request::Announce { from, version, patches }) => {
                self.note_heard();
                // What does not follow is fetched below. From nothing, everything is fetched: a
                // message holds a part of what leads to the newest, and that part would be in
                // force at a router that served a higher number before it restarted.
                if self.held.version().number > 0 {
                    let _ = self.held.adopt_patches(&patches);
                }
                self.want_if_newer(from, version);
                self.have()
            }
            Some(Request::Ask { from, version }) => {
                self.note_heard();
                self.want_if_newer(from, version);
                self.have()
            }
            Some(Request::Patches { after }) => {
                let after = Version::from(after);
                match self.held.patches_after(&after, MESSAGE_SIZE_BYTES) {
                    Some(patches) => Answer::Patches { patches },
                    None => Answer::Gone { version: self.held.version().into() },
                }
            }
            Some(Request::Piece { version, offset_bytes }) => self.piece(version, offset_bytes),
            None => self.have(),
        };
        encode(&answer)
    }

    fn have(&self) -> Answer {
        Answer::Have { version: self.held.version().into() }
    }

    fn want_if_newer(&self, from: Name, version: VersionMessage) {
        if relation(&self.held.version(), &version.into()) == Relation::Newer {
            // A full queue means that fetching goes on anyway; the next question repeats it.
            let _ = self.wanted.try_send(from);
        }
    }

    async fn ask(&self, peer: &Name, request: &Request) -> Option<Answer> {
        let answer = self.peers.call(peer, encode(request), CALL_TIMEOUT).await?;
        let answer = decode(&answer)?;
        self.note_heard();
        Some(answer)
    }

    fn question(&self) -> Request {
        Request::Ask { from: self.peers.own.name.clone(), version: self.held.version().into() }
    }

    /// Gathers the newest version of some peers and the platform, and puts it in force.
    ///
    /// A platform that was restored from a backup holds an old configuration, and so does a peer
    /// that was cut off. A router that started with either would serve workspaces and limits that
    /// were replaced long ago, seen as a number that goes down from one answer to the next.
    pub(super) async fn load_at_start(&self) {
        let staged = match self.newest_peer().await {
            Some(peer) => self.fetch_staged(&peer).await.unwrap_or_else(Held::staged),
            None => Held::staged(),
        };
        // Without the platform the peers' version must do; `follow` tries on.
        let _ = tokio::time::timeout(START_LOAD_PATIENCE, self.load_into(&staged)).await;
        self.held.adopt_staged(staged);
    }

    /// Asks some peers for their version; returns the one with the highest.
    async fn newest_peer(&self) -> Option<Name> {
        self.wait_for_fleet().await;
        for turn in 0..START_TURNS {
            if turn > 0 {
                tokio::time::sleep(START_PAUSE).await;
            }
            let newest = self.ask_some_peers().await;
            if newest.is_some() {
                return newest;
            }
        }
        None
    }

    /// Waits until this router knows whom to ask, or that there is nobody.
    ///
    /// On a busy machine, or while the list of VMs is slow, that takes longer than any fixed short
    /// wait. A router that went on without its peers would put an old configuration in force if
    /// the platform was restored from a backup: seen as version 2 where it served 3 before its
    /// restart.
    async fn wait_for_fleet(&self) {
        let end = self.clock.monotonic() + START_PATIENCE;
        while !self.peers.is_found() && self.clock.monotonic() < end {
            tokio::time::sleep(START_PAUSE).await;
        }
    }

    /// Asks peers chosen at random; returns the one with the highest version, if any has one.
    async fn ask_some_peers(&self) -> Option<Name> {
        let peers = self.peers.list();
        let asked: Vec<Name> = self.with_random(|random| {
            peers.sample(random, START_PEERS).map(|peer| peer.name.clone()).collect()
        });
        let question = self.question();
        let answers = asked.into_iter().map(|peer| {
            let question = &question;
            async move { (self.ask(&peer, question).await, peer) }
        });
        let answers: Vec<_> = stream::iter(answers).buffer_unordered(START_PEERS).collect().await;
        let newest = answers
            .into_iter()
            .filter_map(|(answer, peer)| match answer {
                Some(Answer::Have { version }) => Some((version.number, peer)),
                _ => None,
            })
            .max();
        newest.filter(|(number, _)| *number > 0).map(|(_, peer)| peer)
    }

    /// Asks a peer chosen at random now and then.
    pub(super) async fn ask_now_and_then(&self) {
        loop {
            tokio::time::sleep(self.spread(ASK_INTERVAL)).await;
            self.free_windows();
            let peers = self.peers.list();
            let Some(peer) = self.with_random(|random| peers.choose(random).cloned()) else {
                continue;
            };
            if let Some(Answer::Have { version }) = self.ask(&peer.name, &self.question()).await {
                self.want_if_newer(peer.name, version);
            }
        }
    }

    /// Passes each new version on.
    pub(super) async fn spread_changes(&self) {
        let mut current = self.held.subscribe();
        let mut told = self.held.version();
        while current.changed().await.is_ok() {
            let version = self.held.version();
            let patches = self.held.patches_after(&told, MESSAGE_SIZE_BYTES).unwrap_or_default();
            told = version.clone();
            let from = self.peers.own.name.clone();
            let announce =
                Request::Announce { from: from.clone(), version: version.into(), patches };
            let told_peers = children(&from, &self.routers(), self.watcher_count);
            let calls = told_peers.into_iter().map(|peer| {
                let announce = &announce;
                async move { (self.ask(&peer, announce).await, peer) }
            });
            let answers: Vec<_> =
                stream::iter(calls).buffer_unordered(STATUS_CALLS).collect().await;
            for (answer, peer) in answers {
                if let Some(Answer::Have { version }) = answer {
                    self.want_if_newer(peer, version);
                }
            }
        }
    }

    /// Fetches from each peer that turned out to be ahead.
    pub(super) async fn pull_wanted(&self, mut wanted: tokio::sync::mpsc::Receiver<Name>) {
        while let Some(peer) = wanted.recv().await {
            self.fetch_from(&peer).await;
        }
    }

    /// Fetches what a peer has in force beyond this router, patch by patch or whole.
    pub async fn fetch_from(&self, peer: &Name) {
        if self.held.version().number > 0 {
            self.fetch_into(&self.held, peer).await;
            return;
        }
        // From nothing, part after part would be in force, each older than what was at this
        // router before it restarted.
        if let Some(staged) = self.fetch_staged(peer).await {
            self.held.adopt_staged(staged);
        }
    }

    /// Fetches all that a peer has in force; `None` when only a part of it came.
    async fn fetch_staged(&self, peer: &Name) -> Option<Held> {
        let staged = Held::staged();
        self.fetch_into(&staged, peer).await.then_some(staged)
    }

    /// Fetches what a peer has beyond `held`; returns whether all of it came.
    async fn fetch_into(&self, held: &Held, peer: &Name) -> bool {
        for _ in 0..LONGEST_PULL {
            let after = held.version();
            let request = Request::Patches { after: after.clone().into() };
            match self.ask(peer, &request).await {
                Some(Answer::Patches { patches }) if patches.is_empty() => return true,
                Some(Answer::Patches { patches }) => {
                    let adopted = held.adopt_patches(&patches);
                    if adopted.is_err() || held.version() == after {
                        return false;
                    }
                }
                Some(Answer::Gone { version }) => {
                    return self.pull_whole(held, peer, version).await;
                }
                _ => return false,
            }
        }
        false
    }

    /// Fetches a whole configuration piece by piece; returns whether all of it came.
    async fn pull_whole(&self, held: &Held, peer: &Name, version: VersionMessage) -> bool {
        if relation(&held.version(), &version.clone().into()) != Relation::Newer {
            return true;
        }
        let mut whole: Vec<u8> = Vec::new();
        for _ in 0..LONGEST_PULL {
            let offset_bytes = whole.len() as u64;
            let request = Request::Piece { version: version.clone(), offset_bytes };
            let Some(Answer::Piece { size_bytes, bytes }) = self.ask(peer, &request).await else {
                return false;
            };
            whole.extend_from_slice(&bytes);
            if whole.len() as u64 >= size_bytes {
                break;
            }
            if bytes.is_empty() {
                return false;
            }
        }
        match Configuration::decode(&whole) {
            Ok(configuration) => {
                held.adopt_whole(version.into(), configuration);
                true
            }
            Err(error) => {
                crate::event::CONFIGURATION_UNREADABLE.log(format_args!("peer={peer} {error}"));
                false
            }
        }
    }

    /// Asks every live router for its version.
    pub async fn status(self: &Arc<Self>) -> Vec<RouterStatus> {
        let question = self.question();
        let calls = self.peers.list().into_iter().map(|peer| {
            let question = &question;
            async move {
                let version = match self.ask(&peer.name, question).await {
                    Some(Answer::Have { version }) => Some(version.number),
                    _ => None,
                };
                (peer, version)
            }
        });
        let mut found: Vec<_> = stream::iter(calls).buffer_unordered(STATUS_CALLS).collect().await;
        found.push((self.peers.own.clone(), Some(self.held.version().number)));
        found.sort_by(|(left, _), (right, _)| left.name.cmp(&right.name));
        let newest = found.iter().filter_map(|(_, version)| *version).max().unwrap_or_default();
        found.into_iter().map(|(peer, version)| router_status(peer, version, newest)).collect()
    }
}

fn router_status(peer: Peer, version: Option<u64>, newest: u64) -> RouterStatus {
    let state = match version {
        Some(version) if version == newest => "in_force",
        Some(_) => "behind",
        None => "unreachable",
    };
    RouterStatus { name: peer.name, zone: peer.zone, version, state }
}
