//! Estimate of the mean load over the replicas of a pool, from samples that replies carry.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::placement::ReplicaIndex;

/// Time in which a sample loses all but 1/e of its weight.
pub const SAMPLE_AGE: Duration = Duration::from_secs(2);

/// Least weight at which an estimate says anything.
const LEAST_WEIGHT: f64 = 1e-6;

/// Load of one replica as its owner knows it, with what the owner knows of the others.
///
/// It rides on every final reply, so that it is written without field names and with short floats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, f32, f32)", into = "(u64, f32, f32)")]
pub struct LoadSample {
    /// Work in progress and waiting at the replica, in tokens.
    pub load_tokens: u64,
    /// The owner's own estimate of the mean load over replicas, in tokens.
    pub mean_tokens: f64,
    /// Number of replicas that the estimate covers.
    pub mean_weight: f64,
}

impl From<(u64, f32, f32)> for LoadSample {
    fn from((load_tokens, mean_tokens, mean_weight): (u64, f32, f32)) -> Self {
        Self { load_tokens, mean_tokens: mean_tokens.into(), mean_weight: mean_weight.into() }
    }
}

impl From<LoadSample> for (u64, f32, f32) {
    fn from(sample: LoadSample) -> Self {
        (sample.load_tokens, sample.mean_tokens as f32, sample.mean_weight as f32)
    }
}

/// Weighted sum that forgets by age.
#[derive(Clone, Copy, Debug, Default)]
struct Decayed {
    sum: f64,
    weight: f64,
    at: Duration,
}

impl Decayed {
    fn advance(&mut self, now: Duration) {
        let factor = decay(now.saturating_sub(self.at));
        self.sum *= factor;
        self.weight *= factor;
        self.at = self.at.max(now);
    }

    fn add(&mut self, value: f64, weight: f64) {
        self.sum = (self.sum + value * weight).max(0.0);
        self.weight = (self.weight + weight).max(0.0);
    }
}

fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / SAMPLE_AGE.as_secs_f64()).exp()
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    load_tokens: u64,
    weight: f64,
    at: Duration,
}

/// Estimate of the mean load over the replicas of one pool.
///
/// Two sums of samples, each weighted by age: what this router saw itself, where a replica counts
/// once, however often it is seen; and what other routers saw themselves, as they sent it. Only
/// the first is sent on. So no sample is older than two hops, none comes back to where it was
/// taken, and a lost or repeated message changes the weight of an estimate, never its total
/// (plain push-sum, which moves mass with each message, would lose it).
#[derive(Clone, Debug, Default)]
pub struct MeanEstimate {
    seen: HashMap<ReplicaIndex, Seen>,
    own: Decayed,
    heard: Decayed,
}

impl MeanEstimate {
    /// Takes the load of a replica, seen at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::load::MeanEstimate;
    /// use teaselworks_policy::placement::ReplicaIndex;
    ///
    /// let mut mean = MeanEstimate::default();
    /// mean.sample(ReplicaIndex(0), 100, Duration::ZERO);
    /// mean.sample(ReplicaIndex(1), 300, Duration::ZERO);
    /// assert_eq!(mean.value(Duration::ZERO), Some(200.0));
    /// ```
    pub fn sample(&mut self, replica: ReplicaIndex, load_tokens: u64, now: Duration) {
        self.forget(replica, now);
        let weight = self.sample_weight(load_tokens);
        self.own.add(load_tokens as f64, weight);
        self.seen.insert(replica, Seen { load_tokens, weight, at: now });
    }

    /// Returns the weight of a sample of the load.
    ///
    /// Replies come from replicas in proportion to the work that they carry, so that of a large
    /// pool the busy ones are heard more, and their plain mean is too high: by 5% over 100
    /// replicas, which let owners exceed the bound. Weighting each by one over its load undoes
    /// that. Where all are heard all the time, as in a small pool, there is nothing to undo.
    fn sample_weight(&self, load_tokens: u64) -> f64 {
        if self.own.weight <= LEAST_WEIGHT {
            return 1.0;
        }
        let heard = (self.own.weight / self.seen.len().max(1) as f64).min(1.0);
        let mean = self.own.sum / self.own.weight;
        let inverse = (mean / (load_tokens as f64).max(1.0)).clamp(0.5, 2.0);
        inverse.powf(1.0 - heard)
    }

    /// Forgets a replica that left.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::load::MeanEstimate;
    /// use teaselworks_policy::placement::ReplicaIndex;
    ///
    /// let mut mean = MeanEstimate::default();
    /// mean.sample(ReplicaIndex(0), 100, Duration::ZERO);
    /// mean.forget(ReplicaIndex(0), Duration::ZERO);
    /// assert_eq!(mean.value(Duration::ZERO), None);
    /// ```
    pub fn forget(&mut self, replica: ReplicaIndex, now: Duration) {
        self.own.advance(now);
        if let Some(seen) = self.seen.remove(&replica) {
            let weight = seen.weight * decay(self.own.at.saturating_sub(seen.at));
            self.own.add(seen.load_tokens as f64, -weight);
        }
    }

    /// Takes another router's own estimate, as `LoadSample` carries it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::load::{LoadSample, MeanEstimate};
    ///
    /// let mut mean = MeanEstimate::default();
    /// mean.merge(LoadSample { load_tokens: 0, mean_tokens: 50.0, mean_weight: 2.0 }, Duration::ZERO);
    /// assert_eq!(mean.value(Duration::ZERO), Some(50.0));
    /// ```
    pub fn merge(&mut self, sample: LoadSample, now: Duration) {
        self.heard.advance(now);
        let valid = sample.mean_tokens.is_finite() && sample.mean_weight.is_finite();
        if valid && sample.mean_tokens >= 0.0 && sample.mean_weight > 0.0 {
            self.heard.add(sample.mean_tokens, sample.mean_weight);
        }
    }

    /// Returns the estimate in tokens; `None` when nothing recent is known.
    pub fn value(&self, now: Duration) -> Option<f64> {
        let (mut own, mut heard) = (self.own, self.heard);
        own.advance(now);
        heard.advance(now);
        let weight = own.weight + heard.weight;
        (weight > LEAST_WEIGHT).then(|| (own.sum + heard.sum) / weight)
    }

    /// Returns the part of the estimate that this router saw itself, to be sent with a load.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::load::MeanEstimate;
    /// use teaselworks_policy::placement::ReplicaIndex;
    ///
    /// let mut mean = MeanEstimate::default();
    /// mean.sample(ReplicaIndex(0), 100, Duration::ZERO);
    /// let sample = mean.to_send(100, Duration::ZERO);
    /// assert_eq!((sample.mean_tokens, sample.mean_weight), (100.0, 1.0));
    /// ```
    pub fn to_send(&self, load_tokens: u64, now: Duration) -> LoadSample {
        let mut own = self.own;
        own.advance(now);
        if own.weight <= LEAST_WEIGHT {
            return LoadSample { load_tokens, ..LoadSample::default() };
        }
        LoadSample { load_tokens, mean_tokens: own.sum / own.weight, mean_weight: own.weight }
    }
}

/// Loads of replicas as one router last heard of them, and the mean of each pool.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    loads: Vec<u64>,
    means: HashMap<Name, MeanEstimate>,
}

impl LoadTable {
    /// Takes a sample that a reply or a probe brought about a replica of the pool `serves`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::load::{LoadSample, LoadTable};
    /// use teaselworks_policy::placement::ReplicaIndex;
    ///
    /// let mut loads = LoadTable::default();
    /// let sample = LoadSample { load_tokens: 70, ..LoadSample::default() };
    /// loads.observe(ReplicaIndex(3), &"m".into(), sample, Duration::ZERO);
    /// assert_eq!(loads.load_tokens(ReplicaIndex(3)), 70);
    /// ```
    pub fn observe(
        &mut self,
        replica: ReplicaIndex,
        serves: &Name,
        sample: LoadSample,
        now: Duration,
    ) {
        let index = replica.0 as usize;
        if self.loads.len() <= index {
            self.loads.resize(index + 1, 0);
        }
        self.loads[index] = sample.load_tokens;
        let mean = self.means.entry(serves.clone()).or_default();
        mean.sample(replica, sample.load_tokens, now);
        mean.merge(sample, now);
    }

    /// Takes another router's own estimate of the mean of the pool `serves`; a pool of which this
    /// router knows no replica is left out.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::load::{LoadSample, LoadTable};
    /// use teaselworks_policy::placement::ReplicaIndex;
    ///
    /// let mut loads = LoadTable::default();
    /// let now = Duration::ZERO;
    /// loads.observe(ReplicaIndex(0), &"m".into(), LoadSample::default(), now);
    /// let sample = LoadSample { load_tokens: 0, mean_tokens: 60.0, mean_weight: 1.0 };
    /// loads.merge("m", sample, now);
    /// assert_eq!(loads.mean_tokens("m", now), Some(30.0));
    /// ```
    pub fn merge(&mut self, serves: &str, sample: LoadSample, now: Duration) {
        if let Some(mean) = self.means.get_mut(serves) {
            mean.merge(sample, now);
        }
    }

    /// Returns the pools of which something is known.
    pub fn pools(&self) -> impl Iterator<Item = &Name> {
        self.means.keys()
    }

    /// Forgets a replica that left the pool `serves`.
    pub fn forget(&mut self, replica: ReplicaIndex, serves: &str, now: Duration) {
        if let Some(load) = self.loads.get_mut(replica.0 as usize) {
            *load = 0;
        }
        if let Some(mean) = self.means.get_mut(serves) {
            mean.forget(replica, now);
        }
    }

    /// Returns the load of a replica in tokens as last heard; zero when never heard.
    pub fn load_tokens(&self, replica: ReplicaIndex) -> u64 {
        self.loads.get(replica.0 as usize).copied().unwrap_or_default()
    }

    /// Returns the estimated mean load of a pool in tokens; `None` when nothing recent is known.
    pub fn mean_tokens(&self, serves: &str, now: Duration) -> Option<f64> {
        self.means.get(serves)?.value(now)
    }

    /// Makes the sample that an owner sends with a load of its replica of the pool `serves`.
    pub fn to_send(&self, serves: &str, load_tokens: u64, now: Duration) -> LoadSample {
        let mean = self.means.get(serves);
        let unknown = LoadSample { load_tokens, ..LoadSample::default() };
        mean.map_or(unknown, |mean| mean.to_send(load_tokens, now))
    }
}
