//! Which service and software version began each resumable stream.
//!
//! What two versions write does not fit together, and replicas do not check it. A stream therefore
//! goes on only where its origin is known, either to this router or to one that has a copy.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Time for which an origin is kept: longer than any caller waits for its stream.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of origins that are kept; the oldest ones make room for new ones.
const MAX_ORIGINS: usize = 16_384;
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

/// The origins of the streams that recently began at this router, and of those that other routers
/// told it of.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    origins: HashMap<u64, Arc<StreamOrigin>>,
    /// Keys in the order in which they were recorded, with the time of the record.
    recorded: VecDeque<(Duration, u64)>,
    /// Every different origin, so that streams share one copy of the names.
    interned: HashSet<Arc<StreamOrigin>>,
}

impl StreamOrigins {
    /// Records where a stream began. The first record of a stream stays: a stream has one origin.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::stream_origin::{StreamOrigin, StreamOrigins};
    ///
    /// let origin = |version: &str| StreamOrigin { service: "chat".into(), version: version.into() };
    /// let mut origins = StreamOrigins::default();
    /// origins.record(Duration::ZERO, 7, origin("v1"));
    /// origins.record(Duration::ZERO, 7, origin("v2"));
    /// assert_eq!(&*origins.find(Duration::ZERO, 7).unwrap().version, "v1");
    /// assert_eq!(origins.find(Duration::from_secs(99), 7), None);
    /// ```
    pub fn record(&mut self, now: Duration, stream: u64, origin: StreamOrigin) {
        self.discard_old(now);
        if self.origins.contains_key(&stream) {
            return;
        }
        let origin = self.intern(origin);
        self.origins.insert(stream, origin);
        self.recorded.push_back((now, stream));
    }

    /// Returns where a stream began, if that is known.
    pub fn find(&mut self, now: Duration, stream: u64) -> Option<Arc<StreamOrigin>> {
        self.discard_old(now);
        self.origins.get(&stream).cloned()
    }

    /// Returns the number of streams whose origin is known.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no origin is known.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn discard_old(&mut self, now: Duration) {
        while let Some((recorded_at, stream)) = self.recorded.front() {
            let is_old = now.saturating_sub(*recorded_at) > RETENTION;
            if !is_old && self.recorded.len() < MAX_ORIGINS {
                return;
            }
            self.origins.remove(stream);
            self.recorded.pop_front();
        }
    }

    fn intern(&mut self, origin: StreamOrigin) -> Arc<StreamOrigin> {
        if let Some(known) = self.interned.get(&origin) {
            return known.clone();
        }
        if self.interned.len() >= MAX_UNUSED_ORIGINS {
            self.interned.retain(|known| Arc::strong_count(known) > 1);
        }
        let origin = Arc::new(origin);
        self.interned.insert(origin.clone());
        origin
    }
}
