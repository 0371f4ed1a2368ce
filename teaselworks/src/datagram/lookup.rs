//! Queries for the origin of a stream that wait for an answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use teaselworks_policy::stream_origin::{KnownOrigin, StreamKeys};
use tokio::sync::mpsc;

/// The answer of one router: the origin of the stream if it has one, and the time for which it was told of all.
pub(super) type Answer = (SocketAddr, Option<(KnownOrigin, Duration)>);

/// A query that waits, by its number.
type Waiting = (u64, mpsc::UnboundedSender<Answer>);

/// The queries that wait, by the keys of their stream.
#[derive(Debug, Default)]
pub(super) struct Lookups {
    waiting: Mutex<HashMap<StreamKeys, Vec<Waiting>>>,
    next_number: AtomicU64,
}

/// A query that waits; it ends when this is dropped.
pub(super) struct Lookup {
    lookups: Arc<Lookups>,
    keys: StreamKeys,
    number: u64,
    answers: mpsc::UnboundedReceiver<Answer>,
}

impl Lookups {
    /// Begins to wait for answers about a stream.
    pub(super) fn begin(self: &Arc<Self>, keys: StreamKeys) -> Lookup {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, answers) = mpsc::unbounded_channel();
        self.lock().entry(keys).or_default().push((number, sender));
        Lookup { lookups: self.clone(), keys, number, answers }
    }

    /// Passes an answer on to the queries that wait for it.
    pub(super) fn on_answer(&self, keys: StreamKeys, answer: &Answer) {
        for (_, sender) in self.lock().get(&keys).into_iter().flatten() {
            // A receiver that is gone has its answer already.
            let _ = sender.send(answer.clone());
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<StreamKeys, Vec<Waiting>>> {
        self.waiting.lock().expect("lookup lock is never poisoned")
    }
}

impl Lookup {
    /// Waits for the next answer.
    pub(super) async fn next_answer(&mut self) -> Option<Answer> {
        self.answers.recv().await
    }
}

impl Drop for Lookup {
    fn drop(&mut self) {
        let mut waiting = self.lookups.lock();
        let Some(senders) = waiting.get_mut(&self.keys) else { return };
        senders.retain(|(number, _)| *number != self.number);
        if senders.is_empty() {
            waiting.remove(&self.keys);
        }
    }
}
