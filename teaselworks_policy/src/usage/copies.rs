//! Copies of other routers' batches, and claims of attempts whose owner was lost.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use super::batch::{AttemptKey, Batch, Charge, Source};
use super::journal::BATCH_RETENTION;
use super::message::{CopyAnswer, CopyRequest};
use super::names::Learnt;
use super::pack::PackedBatch;
use super::period::Period;
use crate::name::Name;

/// Silence after which a source is taken for lost; it speaks every few seconds while it holds use.
pub const LOST_SILENCE: Duration = Duration::from_secs(15);

/// Longest silence of a source towards the holder of its copies, with a margin for the way.
const HOLDER_SILENCE: Duration = Duration::from_secs(6);

/// Longest silence of a source whose attempts in progress are charged when it is lost: longer than
/// it takes to learn of the loss, shorter than charges are contested after a change of holder.
const PROGRESS_SILENCE: Duration = Duration::from_secs(12);

/// Silence after which a source is taken for lost when membership says so too.
const DEAD_SILENCE: Duration = Duration::from_secs(1);

/// Charges held for all sources; beyond it further batches are refused.
const HELD_CHARGES: usize = 200_000;

/// How long accepted claims are remembered after the last one of a router: longer than a router
/// is paused, or cut off, and comes back with the same attempts.
const CLAIM_RETENTION: Duration = Duration::from_secs(3_600);

/// Attempts remembered of batches that were taken over.
const TAKEN_ATTEMPTS: usize = 8_192;

/// What is held for one source.
#[derive(Clone, Debug, Default)]
struct Copy {
    batches: BTreeMap<u64, Batch>,
    held_through: u64,
    heard_at: Duration,
    spoke_at: Option<Duration>,
    closing: bool,
    taken: VecDeque<AttemptKey>,
    sequence: u64,
    names: Learnt,
    progress: BTreeMap<AttemptKey, (Period, Charge)>,
}

/// Claims accepted of one source's attempts.
#[derive(Clone, Debug, Default)]
struct Claims {
    attempts: HashSet<AttemptKey>,
    at: Duration,
}

/// Batches of a source that was lost or has stopped, to be brought to the platform in its stead.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// Whose batches they are.
    pub source: Source,
    /// The batches in order.
    pub batches: Vec<Batch>,
}

/// Copies of other routers' batches.
#[derive(Clone, Debug, Default)]
pub struct Copies {
    sources: BTreeMap<Source, Copy>,
    claims: BTreeMap<Source, Claims>,
    held_charges: usize,
}

impl Copies {
    /// Holds the batches of a request that follow what is held; tells how far that is.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::usage::{Copies, CopyRequest, NewNames, Source};
    ///
    /// let mut copies = Copies::default();
    /// let source = Source { router: "a".into(), incarnation: 1 };
    /// let request = CopyRequest {
    ///     source,
    ///     after: 9,
    ///     dropped_through: 7,
    ///     adopted: false,
    ///     closing: false,
    ///     sequence: 1,
    ///     names: NewNames::default(),
    ///     batches: Vec::new(),
    ///     progress: Vec::new(),
    /// };
    /// assert_eq!(copies.receive(request, Duration::ZERO).held_through, 7);
    /// ```
    pub fn receive(&mut self, request: CopyRequest, now: Duration) -> CopyAnswer {
        let claims = self.claims.get(&request.source);
        let copy = self.sources.entry(request.source).or_default();
        copy.heard_at = now;
        if !request.adopted {
            copy.spoke_at = Some(now);
        }
        copy.closing |= request.closing;
        self.held_charges -= copy.drop_through(request.dropped_through);
        let mut learnt = std::mem::take(&mut copy.names);
        let names = match request.adopted {
            true => Some(request.names.list.as_slice()),
            false => learnt.learn(&request.names),
        };
        let unread = names.is_none();
        let (batches, names) = match names {
            Some(names) => (request.batches.as_slice(), names),
            None => Default::default(),
        };
        // A request that was overtaken tells of attempts that may have ended since.
        if !unread && !request.adopted && request.sequence > copy.sequence {
            copy.sequence = request.sequence;
            copy.note_progress(&request.progress, names, now);
        }
        let follows = request.after <= copy.held_through;
        let mut contested = Vec::new();
        for batch in batches {
            let mut batch = batch.unpack(names, now);
            // Claims are told in answer to a repeated request too: the first may have been lost.
            if let Some(claims) = claims {
                claims.mark(&mut batch, &mut contested);
            }
            if !follows || batch.number != copy.held_through + 1 {
                continue;
            }
            if self.held_charges + batch.charges.len() > HELD_CHARGES {
                break;
            }
            for charge in &batch.charges {
                copy.progress.remove(&charge.attempt);
            }
            copy.held_through = batch.number;
            self.held_charges += batch.charges.len();
            copy.batches.insert(batch.number, batch);
        }
        copy.names = learnt;
        CopyAnswer { held_through: copy.held_through, contested, unread }
    }

    /// Returns what lost and stopped sources left, once; `is_dead` is membership's opinion.
    pub fn take_over(&mut self, now: Duration, is_dead: impl Fn(&Source) -> bool) -> Vec<Takeover> {
        let mut takeovers = Vec::new();
        for (source, copy) in &mut self.sources {
            let silence = now.saturating_sub(copy.heard_at);
            let dead = silence >= DEAD_SILENCE && is_dead(source);
            if copy.batches.is_empty() || !(copy.closing || dead || silence >= LOST_SILENCE) {
                continue;
            }
            let batches = copy.take();
            self.held_charges -= batches.iter().map(|batch| batch.charges.len()).sum::<usize>();
            takeovers.push(Takeover { source: source.clone(), batches });
        }
        takeovers
    }

    /// Tells whether a process's batches are held, or lately were.
    pub fn knows(&self, owner: &Source) -> bool {
        self.find(owner).is_some()
    }

    /// Decides on claims of a lost process's attempts: returns those that are to be charged to the
    /// claim, or `None` when the process did not speak to this router around the time when the
    /// claimer `heard` of it last: then another router holds its copies.
    ///
    /// What goes wrong without one who decides: either the last second of a killed router is
    /// never charged, or its copy and the entry that saw the answer both charge it. An attempt in a
    /// copy is the owner's; of one that is claimed and then copied after all, because the owner was
    /// only paused or cut off, the platform's value takes the first that comes.
    pub fn claim(
        &mut self,
        owner: &Source,
        attempts: &[AttemptKey],
        heard: Duration,
        now: Duration,
    ) -> Option<Vec<AttemptKey>> {
        let (source, copy) = self.find(owner)?;
        if copy.spoke_at? + HOLDER_SILENCE < heard {
            return None;
        }
        let fresh = attempts.iter().filter(|attempt| !copy.knows(attempt));
        let mut accepted: Vec<AttemptKey> = fresh.copied().collect();
        let claims = self.claims.entry(source.clone()).or_default();
        claims.at = now;
        accepted.retain(|attempt| claims.attempts.insert(*attempt));
        Some(accepted)
    }

    /// Returns what lost processes used in attempts that only they saw, once, to be charged as
    /// claimed; `is_dead` is membership's opinion.
    ///
    /// A process that has been silent for longer may have another holder, which knows better.
    pub fn take_progress(
        &mut self,
        now: Duration,
        is_dead: impl Fn(&Source) -> bool,
    ) -> Vec<(Period, Charge)> {
        let mut charges = Vec::new();
        for (source, copy) in &mut self.sources {
            let silence = copy.spoke_at.map_or(Duration::MAX, |at| now.saturating_sub(at));
            if silence > PROGRESS_SILENCE {
                copy.progress.clear();
            }
            if copy.progress.is_empty() || silence < DEAD_SILENCE || !is_dead(source) {
                continue;
            }
            let claims = self.claims.entry(source.clone()).or_default();
            claims.at = now;
            for (attempt, progress) in std::mem::take(&mut copy.progress) {
                if !copy.knows(&attempt) && claims.attempts.insert(attempt) {
                    charges.push(progress);
                }
            }
        }
        charges
    }

    /// Forgets sources that left nothing and have been silent for long.
    pub fn forget_silent(&mut self, now: Duration) {
        let keep = |copy: &Copy| {
            !copy.batches.is_empty() || now < copy.heard_at + LOST_SILENCE + 2 * BATCH_RETENTION
        };
        self.sources.retain(|_, copy| keep(copy));
        self.claims.retain(|_, claims| now < claims.at + CLAIM_RETENTION);
    }

    /// Tells whether it is known what an attempt in progress at a lost process had used.
    pub fn holds_progress(&self, attempt: AttemptKey) -> bool {
        self.sources.values().any(|copy| copy.progress.contains_key(&attempt))
    }

    /// Tells whether a copy of an attempt's charge is held.
    pub fn holds(&self, attempt: AttemptKey) -> bool {
        let batches = self.sources.values().flat_map(|copy| copy.batches.values());
        batches.flat_map(|batch| &batch.charges).any(|charge| charge.attempt == attempt)
    }

    fn find(&self, owner: &Source) -> Option<(&Source, &Copy)> {
        self.sources.iter().find(|(source, _)| source.is_process(owner))
    }

    /// Returns the number of charges held.
    pub fn held_charges(&self) -> usize {
        self.held_charges
    }
}

impl Copy {
    /// Keeps what attempts in progress have used.
    fn note_progress(&mut self, progress: &[PackedBatch], names: &[Name], now: Duration) {
        for batch in progress {
            let Batch { period, charges, .. } = batch.unpack(names, now);
            let charges = charges.into_iter().map(|charge| (charge.attempt, (period, charge)));
            self.progress.extend(charges);
        }
    }

    /// Drops batches up to a number and returns the number of charges in them.
    fn drop_through(&mut self, number: u64) -> usize {
        self.held_through = self.held_through.max(number);
        let rest = self.batches.split_off(&(number + 1));
        let dropped = std::mem::replace(&mut self.batches, rest);
        dropped.values().map(|batch| batch.charges.len()).sum()
    }

    /// Takes the batches out, and remembers the latest attempts in them.
    fn take(&mut self) -> Vec<Batch> {
        let batches: Vec<Batch> = std::mem::take(&mut self.batches).into_values().collect();
        let charges = batches.iter().flat_map(|batch| &batch.charges);
        self.taken.extend(charges.map(|charge| charge.attempt));
        let surplus = self.taken.len().saturating_sub(TAKEN_ATTEMPTS);
        self.taken.drain(..surplus);
        batches
    }

    /// Tells whether an attempt was in a batch, held or taken over.
    fn knows(&self, attempt: &AttemptKey) -> bool {
        let charges = self.batches.values().flat_map(|batch| &batch.charges);
        charges.map(|charge| &charge.attempt).chain(&self.taken).any(|known| known == attempt)
    }
}

impl Claims {
    /// Marks the claimed attempts of a batch as contested, and lists them.
    fn mark(&self, batch: &mut Batch, contested: &mut Vec<AttemptKey>) {
        for charge in &mut batch.charges {
            if self.attempts.contains(&charge.attempt) {
                charge.contested = true;
                contested.push(charge.attempt);
            }
        }
    }
}
