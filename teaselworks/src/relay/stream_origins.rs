//! Notifies other routers where streams began, and finds out where a stream began that is resumed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::stream_origin::{
    KnownOrigin, RETENTION, StreamKeys, StreamOrigin, stream_key,
};

use super::Shared;
use super::request::PreparedRequest;
use crate::datagram::{Message, unpack_keys, unpack_origin};
use crate::event;
use crate::metrics::LookupOutcome;
use crate::platform::headers::{self, ResumedStream};

/// Longest wait for other routers to tell where a stream began.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait if routes and lists leave one possible origin.
const SOLE_LOOKUP_TIMEOUT: Duration = Duration::from_millis(100);

impl Shared {
    /// Records that a stream began, here and at the routers that hold copies of its origin.
    pub(super) fn on_stream_began(&self, keys: StreamKeys, origin: &StreamOrigin) {
        let holders = {
            let now = self.now();
            let mut fleet = self.fleet();
            fleet.stream_origins.record(now, keys, origin);
            fleet.membership.holders(keys.content)
        };
        self.datagrams.send_origin(keys, origin, &holders);
    }

    /// Finds out where the stream `resumed` began, which the request `prepared` resumes.
    ///
    /// Returns `None` if neither this router nor one that may have a copy has it, and routes and lists
    /// leave more than one possibility or may have, as far as this router knows.
    pub(super) async fn find_stream_origin(
        &self,
        prepared: &PreparedRequest,
        resumed: &ResumedStream,
    ) -> Option<Arc<StreamOrigin>> {
        let started_at = self.now();
        let (origin, outcome) = self.look_up_origin(prepared, resumed).await;
        self.metrics.add_stream_lookup(outcome);
        let now = self.now();
        let memory = self.fleet().origin_memory.complete_for(now);
        let memory_ms = memory.map_or(-1, |memory| memory.as_millis() as i64);
        event::STREAM_LOOKED_UP.log(&[
            event::text("request", &prepared.metadata.id),
            event::text("stream", &resumed.id),
            event::text("fingerprint", &format_args!("{:x}", prepared.fingerprint)),
            event::text("outcome", &outcome),
            event::text("service", &origin.as_ref().map_or("", |origin| &*origin.service)),
            event::text("version", &origin.as_ref().map_or("", |origin| &*origin.version)),
            event::number("targets", prepared.route.targets.len() as u64),
            event::text("memory_ms", &memory_ms),
            event::number("elapsed_ms", now.saturating_sub(started_at).as_millis() as u64),
        ]);
        origin
    }

    /// Looks for the origin of a stream here, at other routers, and in what routes and lists allow.
    async fn look_up_origin(
        &self,
        prepared: &PreparedRequest,
        resumed: &ResumedStream,
    ) -> (Option<Arc<StreamOrigin>>, LookupOutcome) {
        let keys = StreamKeys { request: stream_key(&resumed.id), content: prepared.fingerprint };
        let host = headers::host(&prepared.headers, &prepared.target).unwrap_or_default();
        let (named, known, known_for, sole, holders) = {
            let now = self.now();
            let mut fleet = self.fleet();
            let named = fleet.stream_origins.find_request(now, keys.request);
            let known = fleet.stream_origins.find(now, keys);
            let sole = fleet.sole_origin(now, host, prepared.target.path()).map(Arc::new);
            let known_for = match known {
                Some(_) => fleet.origin_memory.streams_known_for(now),
                None => Duration::ZERO,
            };
            let holders = fleet.membership.possible_holders(keys.content);
            (named, known, known_for, sole, holders)
        };
        match named {
            Some(KnownOrigin::One(origin)) => return (Some(origin), LookupOutcome::Known),
            Some(KnownOrigin::Several) => return (None, LookupOutcome::Ambiguous),
            None => {}
        }
        let timeout = if sole.is_some() { SOLE_LOOKUP_TIMEOUT } else { LOOKUP_TIMEOUT };
        let told = self.datagrams.look_up(keys, &holders, timeout).await;
        let outcome = if told.is_some() { LookupOutcome::Told } else { LookupOutcome::Known };
        let told_for = told.as_ref().map_or(Duration::ZERO, |(_, known_for)| *known_for);
        // What the caller has of the stream came within one answer and the pause before this try.
        let longest_stream = (prepared.route.timeout * 2).min(RETENTION);
        let is_certain = known_for.max(told_for) >= longest_stream;
        let found = match (known, told.map(|(told, _)| told)) {
            (Some(known), Some(told)) => Some(known.merge(told)),
            (known, told) => known.or(told),
        };
        match (found, sole) {
            (Some(KnownOrigin::Several), _) => (None, LookupOutcome::Ambiguous),
            (Some(KnownOrigin::One(origin)), None) if is_certain => (Some(origin), outcome),
            // An equal request may have begun the stream that is known, after a router had started that
            // knows no other one.
            (Some(KnownOrigin::One(_)) | None, None) => (None, LookupOutcome::Unknown),
            (Some(KnownOrigin::One(origin)), Some(sole)) if origin != sole => {
                (None, LookupOutcome::Ambiguous)
            }
            (Some(KnownOrigin::One(origin)), Some(_)) => (Some(origin), outcome),
            (None, Some(sole)) => (Some(sole), LookupOutcome::Sole),
        }
    }

    /// Handles a message of another router.
    pub fn on_message(&self, message: Message, sender: SocketAddr) {
        let now = self.now();
        match message {
            Message::StreamBegan { keys, origin } => {
                let (keys, origin) = (unpack_keys(keys), unpack_origin(origin));
                self.fleet().stream_origins.record(now, keys, &origin);
            }
            // The query that waits for it has got it.
            Message::StreamAnswer { .. } => {}
            Message::StreamQuery { keys } => {
                let keys = unpack_keys(keys);
                let (known, known_for) = {
                    let mut fleet = self.fleet();
                    let is_named = fleet.stream_origins.find_request(now, keys.request).is_some();
                    let known_for = fleet.origin_memory.streams_known_for(now);
                    let known_for = if is_named { RETENTION } else { known_for };
                    (fleet.stream_origins.find(now, keys), known_for)
                };
                self.datagrams.answer(keys, known.as_ref(), known_for, sender);
            }
            Message::Load(message) => self.on_load_message(message, sender),
            message @ (Message::RequestEnds { .. } | Message::RequestAnswered { .. }) => {
                self.on_request_message(message, sender);
            }
            message => self.on_part_message(message),
        }
    }
}
