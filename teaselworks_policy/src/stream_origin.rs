//! Which service and software version began each resumable stream.
//!
//! What two services or two versions write does not fit together, and replicas do not check it. A stream
//! therefore goes on only where its origin is known, either to this router or to one that has a copy, or
//! where all routers must have begun it alike.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Time for which an origin is kept: longer than any caller waits for its stream.
pub const RETENTION: Duration = Duration::from_secs(60);
/// Age from which a record of the same origin takes the place of an earlier one.
const REFRESH_AGE: Duration = Duration::from_secs(1);
/// Maximum number of different origins that are kept for one key.
const MAX_ORIGINS_PER_KEY: usize = 4;
/// Maximum number of records that are kept; the oldest ones make room for new ones.
const MAX_RECORDS: usize = 16_384;
/// Number of different origins above which those that no stream has any more are discarded.
const MAX_UNUSED_ORIGINS: usize = 64;

/// Where a stream began.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StreamOrigin {
    /// Service of the replica that sent the first event.
    pub service: Arc<str>,
    /// Version of that replica's software.
    pub version: Arc<str>,
}

/// What is known of the streams with one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KnownOrigin {
    /// All of them began alike.
    One(Arc<StreamOrigin>),
    /// Several streams have the key and began differently.
    Several,
}

impl KnownOrigin {
    /// Returns what two routers know together.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use teaselworks_policy::stream_origin::{KnownOrigin, StreamOrigin};
    ///
    /// let known = |version: &str| {
    ///     let origin = StreamOrigin { service: "chat".into(), version: version.into() };
    ///     KnownOrigin::One(Arc::new(origin))
    /// };
    /// assert_eq!(known("v1").merge(known("v1")), known("v1"));
    /// assert_eq!(known("v1").merge(known("v2")), KnownOrigin::Several);
    /// ```
    pub fn merge(self, other: KnownOrigin) -> KnownOrigin {
        if self == other { self } else { KnownOrigin::Several }
    }
}

/// Keys of the stream that answers a request. A caller that resumes a stream names the request that began
/// it, or sends the same content under an identifier of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StreamKeys {
    /// Key of the identifier of the request, see [`stream_key`].
    pub request: u64,
    /// Fingerprint of the content of the request, which streams of equal requests share.
    pub content: u64,
}

/// Returns the key of the stream whose first event answered the request with the identifier
/// `request_id`.
///
/// ```
/// use teaselworks_policy::stream_origin::stream_key;
///
/// assert_ne!(stream_key("9c41"), stream_key("9c42"));
/// ```
pub fn stream_key(request_id: &str) -> u64 {
    xxh3_64(request_id.as_bytes())
}

/// Where the streams with one key began.
#[derive(Clone, Debug, Default)]
struct Record {
    /// Different origins, each with the time at which it was last recorded.
    origins: Vec<(Duration, Arc<StreamOrigin>)>,
}

impl Record {
    /// Returns the time of the last record.
    fn recorded_at(&self) -> Duration {
        self.origins.iter().map(|(at, _)| *at).max().unwrap_or_default()
    }

    fn known(&self, now: Duration) -> Option<KnownOrigin> {
        let is_kept = |at: Duration| now.saturating_sub(at) <= RETENTION;
        let mut kept = self.origins.iter().filter(|(at, _)| is_kept(*at));
        let (_, first) = kept.next()?;
        let is_only = kept.next().is_none();
        Some(if is_only { KnownOrigin::One(first.clone()) } else { KnownOrigin::Several })
    }
}

/// The origins of the streams that recently began at this router, and of those that other routers
/// told it of.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    records: HashMap<u64, Record>,
    /// Keys in the order in which they were recorded, with the time of the record.
    recorded: VecDeque<(Duration, u64)>,
    /// Every different origin, so that streams share one copy of the names.
    interned: HashSet<Arc<StreamOrigin>>,
}

impl StreamOrigins {
    /// Records where a stream began, under both of its keys.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::stream_origin::{
    ///     KnownOrigin, StreamKeys, StreamOrigin, StreamOrigins,
    /// };
    ///
    /// let origin = |version: &str| StreamOrigin { service: "chat".into(), version: version.into() };
    /// let keys = |request: u64| StreamKeys { request, content: 7 };
    /// let mut origins = StreamOrigins::default();
    /// origins.record(Duration::ZERO, keys(1), &origin("v1"));
    /// let KnownOrigin::One(known) = origins.find(Duration::ZERO, keys(3)).unwrap() else { panic!() };
    /// assert_eq!(&*known.version, "v1");
    /// origins.record(Duration::ZERO, keys(2), &origin("v2"));
    /// assert_eq!(origins.find(Duration::ZERO, keys(3)), Some(KnownOrigin::Several));
    /// let KnownOrigin::One(known) = origins.find(Duration::ZERO, keys(2)).unwrap() else { panic!() };
    /// assert_eq!(&*known.version, "v2");
    /// assert_eq!(origins.find(Duration::from_secs(99), keys(1)), None);
    /// ```
    pub fn record(&mut self, now: Duration, keys: StreamKeys, origin: &StreamOrigin) {
        let origin = self.intern(origin);
        self.record_key(now, keys.request, &origin);
        self.record_key(now, keys.content, &origin);
    }

    /// Returns where the stream began that answered the request, or else an equal one.
    pub fn find(&mut self, now: Duration, keys: StreamKeys) -> Option<KnownOrigin> {
        self.discard_old(now);
        let record = self.records.get(&keys.request).or_else(|| self.records.get(&keys.content));
        record.and_then(|record| record.known(now))
    }

    /// Returns where the stream began that answered the request with this key.
    pub fn find_request(&mut self, now: Duration, request: u64) -> Option<KnownOrigin> {
        self.discard_old(now);
        self.records.get(&request).and_then(|record| record.known(now))
    }

    /// Returns the number of keys whose origin is known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no origin is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn record_key(&mut self, now: Duration, key: u64, origin: &Arc<StreamOrigin>) {
        self.discard_old(now);
        let record = self.records.entry(key).or_default();
        match record.origins.iter_mut().find(|(_, known)| known == origin) {
            Some((at, _)) if now.saturating_sub(*at) < REFRESH_AGE => return,
            Some((at, _)) => *at = now,
            None => {
                if record.origins.len() == MAX_ORIGINS_PER_KEY {
                    record.origins.remove(0);
                }
                record.origins.push((now, origin.clone()));
            }
        }
        self.recorded.push_back((now, key));
    }

    fn discard_old(&mut self, now: Duration) {
        while let Some((recorded_at, key)) = self.recorded.front().copied() {
            let is_old = now.saturating_sub(recorded_at) > RETENTION;
            if !is_old && self.recorded.len() < MAX_RECORDS {
                return;
            }
            self.recorded.pop_front();
            if self.records.get(&key).is_some_and(|record| record.recorded_at() == recorded_at) {
                self.records.remove(&key);
            }
        }
    }

    fn intern(&mut self, origin: &StreamOrigin) -> Arc<StreamOrigin> {
        if let Some(known) = self.interned.get(origin) {
            return known.clone();
        }
        if self.interned.len() >= MAX_UNUSED_ORIGINS {
            self.interned.retain(|known| Arc::strong_count(known) > 1);
        }
        let origin = Arc::new(origin.clone());
        self.interned.insert(origin.clone());
        origin
    }
}
