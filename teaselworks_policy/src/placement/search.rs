//! The order in which an entry asks owners for a place, and what it claims at each.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::candidates::{HOMES, PlacementRequest, ZONE_PRICE_TOKENS, rank, worthwhile_holder};
use super::replicas::{ReplicaIndex, ReplicaTable};
use crate::load::LoadTable;

/// Price of asking another owner, in prompt tokens computed anew: a round trip between zones.
pub const ASK_PRICE_TOKENS: u32 = ZONE_PRICE_TOKENS;

/// Least loaded replicas that are asked once more when every candidate refused.
const LAST_ASKS: usize = 4;

/// Load, as a multiple of the mean, up to which a home that refused a claim on what it holds is
/// asked again for a place as good as others.
///
/// At the mean itself, half of the chats that nobody holds any more were put elsewhere than before
/// while their home had room; at the bound, replicas fill up and exceed it when the mean falls.
const FRESH_ASK_MULTIPLE: f64 = 1.1;

/// Why an entry asks for a place at a replica; decides how much load the owner allows.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Claim {
    /// The caller's affinity token names the replica as the holder of the context: admitted up to
    /// the bound.
    Holder,
    /// The replica may hold the context: admitted up to the bound if the owner believes so.
    IfHeld,
    /// The replica is as good as others: admitted up to a part of the bound (`FRESH_SHARE`), so
    /// that the rest is left to chats that return.
    #[default]
    Fresh,
    /// Every candidate refused, this one with the least load: admitted up to the bound, or at a
    /// load up to the mean whatever the work, so that there is always a place.
    Last,
}

/// A question to the owner of one replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ask {
    /// The replica.
    pub replica: ReplicaIndex,
    /// What is claimed.
    pub claim: Claim,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Holder,
    Held,
    Perhaps,
    Fresh,
    Room,
    Fallback,
    Last,
}

/// Search of a place for one request.
///
/// A chat that returns is sent to the holder that its token names, else to whichever of its homes
/// holds it; a chat that is new, or that nobody holds, to the first replica that has room. The
/// homes are the same at every router, so that a chat is found again wherever in its homes it was
/// put.
#[derive(Clone, Debug)]
pub struct Search {
    holder: Option<ReplicaIndex>,
    homes: Vec<ReplicaIndex>,
    fallbacks: Vec<ReplicaIndex>,
    /// Replicas that refused for their load, and the load that they told.
    refused: Vec<(u64, ReplicaIndex)>,
    failed: Vec<ReplicaIndex>,
    /// First home that may hold the chat.
    perhaps: Option<ReplicaIndex>,
    mean_tokens: f64,
    stage: Stage,
    next: usize,
}

impl Search {
    /// Begins the search.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::load::LoadTable;
    /// use teaselworks_policy::placement::{
    ///     Claim, ChatKey, PlacementRequest, Replica, ReplicaTable, Phase, Search,
    /// };
    ///
    /// let mut replicas = ReplicaTable::default();
    /// let index = replicas.upsert(Replica::new("engine-1", "sfax", "sfax-a", "quote-8b"));
    /// let request = PlacementRequest {
    ///     workspace: "khaima",
    ///     key: ChatKey::of_conversation("khaima", "henna-12"),
    ///     serves: "quote-8b",
    ///     version: None,
    ///     adapter: None,
    ///     phase: Phase::Whole,
    ///     region: "sfax",
    ///     zone: "sfax-b",
    ///     prompt_tokens: 930,
    ///     reuse_tokens: 900,
    ///     holder: None,
    ///     draw: 4,
    /// };
    /// let mut search = Search::new(&request, &replicas, &LoadTable::default(), Duration::ZERO);
    /// assert_eq!(search.next_ask().unwrap().claim, Claim::IfHeld);
    /// search.refused(index, 100);
    /// assert_eq!(search.next_ask().unwrap().claim, Claim::Fresh);
    /// search.refused(index, 100);
    /// assert_eq!(search.next_ask().unwrap().claim, Claim::Holder);
    /// search.refused(index, 100);
    /// assert_eq!(search.next_ask().unwrap().claim, Claim::Last);
    /// search.refused(index, 100);
    /// assert_eq!(search.next_ask(), None);
    /// ```
    pub fn new(
        request: &PlacementRequest,
        replicas: &ReplicaTable,
        loads: &LoadTable,
        now: Duration,
    ) -> Self {
        let mut homes = Vec::with_capacity(HOMES);
        let mut fallbacks = Vec::new();
        rank(request, replicas, loads, &mut homes, &mut fallbacks);
        // A holder that is gone took the context along: a search for it would ask every home.
        let gone = request.holder.is_some_and(|holder| !replicas.is_eligible(holder));
        let returns = request.reuse_tokens >= ASK_PRICE_TOKENS && !gone;
        Self {
            holder: worthwhile_holder(request, replicas),
            homes,
            fallbacks,
            refused: Vec::new(),
            failed: Vec::new(),
            perhaps: None,
            mean_tokens: loads.mean_tokens(request.serves, now).unwrap_or(f64::MAX),
            stage: if returns { Stage::Holder } else { Stage::Fresh },
            next: 0,
        }
    }

    /// Makes a search that asks the given replicas in order, whatever their load.
    ///
    /// ```
    /// use teaselworks_policy::placement::{ReplicaIndex, Search};
    ///
    /// let mut search = Search::fixed(vec![ReplicaIndex(4)]);
    /// assert_eq!(search.next_ask().unwrap().replica, ReplicaIndex(4));
    /// ```
    pub fn fixed(replicas: Vec<ReplicaIndex>) -> Self {
        Self {
            holder: None,
            homes: replicas,
            fallbacks: Vec::new(),
            refused: Vec::new(),
            failed: Vec::new(),
            perhaps: None,
            mean_tokens: f64::MAX,
            stage: Stage::Fresh,
            next: 0,
        }
    }

    /// Returns whom to ask next; `None` when there is nobody left.
    pub fn next_ask(&mut self) -> Option<Ask> {
        loop {
            let position = self.next;
            self.next += 1;
            let (replica, claim) = match self.stage {
                Stage::Holder => (self.holder.filter(|_| position == 0), Claim::Holder),
                Stage::Held => (self.homes.get(position).copied(), Claim::IfHeld),
                Stage::Perhaps => (self.perhaps.filter(|_| position == 0), Claim::Holder),
                Stage::Fresh => (self.homes.get(position).copied(), Claim::Fresh),
                Stage::Room => {
                    (self.least_loaded(position).filter(|_| position == 0), Claim::Holder)
                }
                Stage::Fallback => (self.fallbacks.get(position).copied(), Claim::Fresh),
                Stage::Last => (self.least_loaded(position), Claim::Last),
            };
            let Some(replica) = replica else {
                self.stage = match self.stage {
                    Stage::Holder => Stage::Held,
                    Stage::Held => Stage::Perhaps,
                    Stage::Perhaps => Stage::Fresh,
                    Stage::Fresh => Stage::Room,
                    Stage::Room => Stage::Fallback,
                    Stage::Fallback => Stage::Last,
                    Stage::Last => return None,
                };
                self.next = 0;
                continue;
            };
            if self.is_worth_asking(replica, claim) {
                return Some(Ask { replica, claim });
            }
        }
    }

    /// Notes that the owner of a replica refused for its load, or because it holds nothing.
    pub fn refused(&mut self, replica: ReplicaIndex, load_tokens: u64) {
        self.refused.retain(|(_, earlier)| *earlier != replica);
        self.refused.push((load_tokens, replica));
    }

    /// Notes that the owner of a replica does not know whether it holds the chat, or that it holds
    /// less than another may; it is asked again if none holds more.
    pub fn perhaps(&mut self, replica: ReplicaIndex, load_tokens: u64) {
        self.perhaps = self.perhaps.or(Some(replica));
        self.refused(replica, load_tokens);
    }

    /// Notes that a replica cannot serve the request; it is not asked again.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::load::LoadTable;
    /// use teaselworks_policy::placement::{
    ///     ChatKey, PlacementRequest, Replica, ReplicaTable, Phase, Search,
    /// };
    ///
    /// let mut replicas = ReplicaTable::default();
    /// let index = replicas.upsert(Replica::new("engine-1", "sfax", "sfax-a", "quote-8b"));
    /// let request = PlacementRequest {
    ///     workspace: "khaima",
    ///     key: ChatKey::of_conversation("khaima", "henna-12"),
    ///     serves: "quote-8b",
    ///     version: None,
    ///     adapter: None,
    ///     phase: Phase::Whole,
    ///     region: "sfax",
    ///     zone: "sfax-b",
    ///     prompt_tokens: 30,
    ///     reuse_tokens: 0,
    ///     holder: None,
    ///     draw: 4,
    /// };
    /// let mut search = Search::new(&request, &replicas, &LoadTable::default(), Duration::ZERO);
    /// assert_eq!(search.next_ask().unwrap().replica, index);
    /// search.failed(index);
    /// assert_eq!(search.next_ask(), None);
    /// ```
    pub fn failed(&mut self, replica: ReplicaIndex) {
        self.refused.retain(|(_, earlier)| *earlier != replica);
        self.failed.push(replica);
    }

    /// Returns the mean of the loads that refusing owners have told, in tokens; zero for none.
    ///
    /// It is fresh where an owner's estimate of the mean lags: while loads rise together, every
    /// replica seems to be above the mean, and a fleet that has room refuses.
    ///
    /// ```
    /// use teaselworks_policy::placement::{ReplicaIndex, Search};
    ///
    /// let mut search = Search::fixed(vec![ReplicaIndex(0), ReplicaIndex(1)]);
    /// search.refused(ReplicaIndex(0), 100);
    /// search.refused(ReplicaIndex(1), 300);
    /// assert_eq!(search.refused_mean_tokens(), 200);
    /// ```
    pub fn refused_mean_tokens(&self) -> u64 {
        let sum_tokens: u64 = self.refused.iter().map(|(load_tokens, _)| load_tokens).sum();
        sum_tokens / self.refused.len().max(1) as u64
    }

    fn least_loaded(&mut self, position: usize) -> Option<ReplicaIndex> {
        if position >= LAST_ASKS {
            return None;
        }
        self.refused.sort_unstable();
        self.refused.get(position).map(|(_, replica)| *replica)
    }

    /// Leaves out who failed, and who told a moment ago that it would refuse.
    fn is_worth_asking(&self, replica: ReplicaIndex, claim: Claim) -> bool {
        if self.failed.contains(&replica) {
            return false;
        }
        let told = self.refused.iter().find(|(_, refused)| *refused == replica);
        match (claim, told) {
            (Claim::IfHeld, Some(_)) => false,
            (Claim::Fresh, Some((load_tokens, _))) => {
                *load_tokens as f64 <= self.mean_tokens * FRESH_ASK_MULTIPLE
            }
            _ => true,
        }
    }
}
