//! Notifies other routers where streams began, and finds out where a stream began that is resumed.

use std::net::SocketAddr;
use std::sync::Arc;

use teaselworks_policy::stream_origin::{StreamOrigin, stream_key};

use super::Shared;
use crate::datagram::Message;
use crate::event;
use crate::metrics::LookupOutcome;
use crate::platform::headers::ResumedStream;

impl Shared {
    /// Records that a stream began, here and at the routers that hold copies of its origin.
    ///
    /// `request` is the identifier of the request whose answer brings the first event.
    pub(super) fn on_stream_began(&self, request: &str, origin: &StreamOrigin) {
        let stream = stream_key(request);
        let holders = {
            let now = self.now();
            let mut fleet = self.fleet();
            fleet.stream_origins.record(now, stream, origin.clone());
            fleet.membership.holders(stream)
        };
        self.datagrams.send_origin(stream, origin, &holders);
    }

    /// Finds out where the stream `resumed` began, which the request `request` for `service` resumes.
    ///
    /// Returns `None` if neither this router nor one that may have a copy has it, and more than one
    /// software version can have begun it.
    pub(super) async fn find_stream_origin(
        &self,
        request: &str,
        resumed: &ResumedStream,
        service: &Arc<str>,
        targets: usize,
    ) -> Option<Arc<StreamOrigin>> {
        let started_at = self.now();
        let (origin, outcome) = self.look_up_origin(resumed, service).await;
        self.metrics.add_stream_lookup(outcome);
        let memory = self.fleet().list_memory(self.now());
        let memory_ms = memory.map_or(-1, |memory| memory.as_millis() as i64);
        event::STREAM_LOOKED_UP.log(&[
            event::text("request", &request),
            event::text("stream", &resumed.id),
            event::text("outcome", &outcome),
            event::text("service", &origin.as_ref().map_or("", |origin| &*origin.service)),
            event::text("version", &origin.as_ref().map_or("", |origin| &*origin.version)),
            event::number("targets", targets as u64),
            event::text("memory_ms", &memory_ms),
            event::number("elapsed_ms", self.now().saturating_sub(started_at).as_millis() as u64),
        ]);
        origin
    }

    /// Looks for the origin of a stream here, at other routers, and in what the list of upstreams
    /// allows.
    async fn look_up_origin(
        &self,
        resumed: &ResumedStream,
        service: &Arc<str>,
    ) -> (Option<Arc<StreamOrigin>>, LookupOutcome) {
        let stream = stream_key(&resumed.id);
        let (known, sole, holders) = {
            let now = self.now();
            let mut fleet = self.fleet();
            let known = fleet.stream_origins.find(now, stream);
            let sole = fleet.sole_origin(now, service).map(Arc::new);
            (known, sole, fleet.membership.holders(stream))
        };
        if known.is_some() {
            return (known, LookupOutcome::Known);
        }
        // No router has the origin of a stream that the caller does not name, unless another router
        // forwards it.
        if !resumed.is_named && sole.is_some() {
            return (sole, LookupOutcome::Sole);
        }
        if let Some(origin) = self.datagrams.look_up(stream, &holders).await {
            return (Some(Arc::new(origin)), LookupOutcome::Told);
        }
        match sole {
            Some(origin) => (Some(origin), LookupOutcome::Sole),
            None => (None, LookupOutcome::Unknown),
        }
    }

    /// Handles a message of another router.
    pub fn on_message(&self, message: Message, sender: SocketAddr) {
        let now = self.now();
        match message {
            Message::StreamBegan { stream, origin: (service, version) }
            | Message::StreamAnswer { stream, origin: Some((service, version)) } => {
                let origin = StreamOrigin { service, version };
                self.fleet().stream_origins.record(now, stream, origin);
            }
            Message::StreamAnswer { origin: None, .. } => {}
            Message::StreamQuery { stream } => {
                let origin = self.fleet().stream_origins.find(now, stream);
                self.datagrams.answer(stream, origin.as_deref(), sender);
            }
            Message::Load(message) => self.on_load_message(message, sender),
            message @ (Message::RequestEnds { .. } | Message::RequestAnswered { .. }) => {
                self.on_request_message(message, sender);
            }
            message => self.on_part_message(message),
        }
    }
}
