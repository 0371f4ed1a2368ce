//! Watches: the history from a revision on as lines of JSON, with faults.

use std::io;
use std::sync::Arc;

use futures_util::stream;
use poem::Response;
use serde_json::{Value, json};
use tokio::sync::watch;

use super::message::{Event, Int, WatchCreateRequest, WatchRequest};
use super::store::{Store, contains};
use super::{PlatformFaults, Shared};
use crate::connection::breakable;

/// Counts a watch as long as it waits.
struct Counted(Arc<Shared>);

impl Counted {
    fn new(shared: Arc<Shared>) -> Self {
        let mut state = shared.lock();
        state.counts.watches += 1;
        state.counts.peak_watches = state.counts.peak_watches.max(state.counts.watches);
        drop(state);
        Self(shared)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.lock().counts.watches -= 1;
    }
}

struct Watch {
    counted: Counted,
    changed: watch::Receiver<()>,
    request: WatchCreateRequest,
    created: bool,
    next: usize,
    rewinds: u64,
}

pub(super) fn respond(shared: Arc<Shared>, request: WatchRequest) -> Response {
    let request = request.create_request;
    let changed = shared.changed.subscribe();
    let (next, rewinds) = {
        let store = &shared.lock().store;
        (first_event(store, request.start_revision), store.rewinds())
    };
    let counted = Counted::new(shared);
    let watch = Watch { counted, changed, request, created: false, next, rewinds };
    let lines = stream::unfold(watch, |mut watch| async {
        let line = watch.line().await?;
        Some((Ok::<_, io::Error>(format!("{line}\n")), watch))
    });
    Response::builder().content_type("application/json").body(breakable(lines))
}

/// Returns the position of the first change that a watch reports.
fn first_event(store: &Store, start_revision: Int) -> usize {
    let history = store.history();
    if start_revision.0 == 0 {
        return history.len();
    }
    history.partition_point(|event| event.kv.mod_revision < start_revision)
}

impl Watch {
    /// Returns the next line; `None` when the service became unavailable or went back.
    async fn line(&mut self) -> Option<Value> {
        if !self.created {
            self.created = true;
            let created = self.counted.0.lock().store.answer(json!({ "created": true }));
            return Some(json!({ "result": created }));
        }
        loop {
            if let Some(result) = self.events()? {
                return Some(result);
            }
            self.changed.changed().await.ok()?;
        }
    }

    /// Returns the changes of the next revision that has some; the outer `None` ends the watch.
    fn events(&mut self) -> Option<Option<Value>> {
        let mut state = self.counted.0.lock();
        let super::State { store, faults, .. } = &mut *state;
        if faults.unavailable || store.rewinds() != self.rewinds {
            return None;
        }
        while let Some(event) = store.history().get(self.next) {
            let revision = event.kv.mod_revision;
            let rest = &store.history()[self.next..];
            let length = rest.partition_point(|event| event.kv.mod_revision == revision);
            let mut events = Vec::new();
            for event in &rest[..length] {
                if contains(&self.request.key, &self.request.range_end, &event.kv.key) {
                    push(&mut events, event, store.history(), faults);
                }
            }
            self.next += length;
            if events.is_empty() {
                continue;
            }
            return Some(Some(json!({ "result": store.answer(json!({ "events": events })) })));
        }
        Some(None)
    }
}

fn push(events: &mut Vec<Event>, event: &Event, history: &[Event], faults: &mut PlatformFaults) {
    if faults.drop_events > 0 {
        faults.drop_events -= 1;
        return;
    }
    events.push(event.clone());
    if faults.repeat_events > 0 {
        faults.repeat_events -= 1;
        events.push(event.clone());
    }
    if faults.stale_events > 0 {
        let older = history.iter().rev().find(|older| {
            older.kv.key == event.kv.key && older.kv.mod_revision < event.kv.mod_revision
        });
        if let Some(older) = older {
            faults.stale_events -= 1;
            events.push(older.clone());
        }
    }
}
