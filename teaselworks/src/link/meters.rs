//! Instruments of the links.

use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, UpDownCounter};
use teaselworks_policy::attempt::Dropped;
use teaselworks_wire::handshake::HandshakeError;
use teaselworks_wire::message::Purpose;

use super::connection::LinkEnd;
use crate::metrics::{Direction, Metrics};

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DropCause {
    /// Its stream has ended, or never was.
    UnknownStream,
    /// It carries another attempt than its stream.
    ForeignAttempt,
    /// Its control message has ended, or never was.
    UnknownCall,
}

impl DropCause {
    const ALL: [DropCause; 3] =
        [DropCause::UnknownStream, DropCause::ForeignAttempt, DropCause::UnknownCall];

    /// Returns the name in metrics and logs.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            DropCause::UnknownStream => "unknown_stream",
            DropCause::ForeignAttempt => "foreign_attempt",
            DropCause::UnknownCall => "unknown_call",
        }
    }
}

/// Instruments of the links of one router.
#[derive(Debug)]
pub(super) struct Meters {
    metrics: Arc<Metrics>,
    links: UpDownCounter<i64>,
    streams: UpDownCounter<i64>,
    handshake_failures: Counter<u64>,
    ends: Counter<u64>,
    doubts: Counter<u64>,
    dropped: Counter<u64>,
}

impl Meters {
    /// Makes the instruments.
    pub(super) fn new(metrics: Arc<Metrics>) -> Self {
        let meter = metrics.meter();
        let meters = Self {
            links: meter
                .i64_up_down_counter("teaselworks_links")
                .with_description("Links open to other routers.")
                .build(),
            streams: meter
                .i64_up_down_counter("teaselworks_link_streams")
                .with_description("Streams open on links, both directions.")
                .build(),
            handshake_failures: meter
                .u64_counter("teaselworks_link_handshake_failures")
                .with_description("Links refused or given up before they opened, by cause.")
                .build(),
            ends: meter
                .u64_counter("teaselworks_link_ends")
                .with_description("Links ended, by cause.")
                .build(),
            doubts: meter
                .u64_counter("teaselworks_link_doubts")
                .with_description("Pings that a peer left unanswered for too long.")
                .build(),
            dropped: meter
                .u64_counter("teaselworks_link_frames_dropped")
                .with_description("Frames that belonged to nothing known, by cause.")
                .build(),
            metrics,
        };
        meters.show_all_causes();
        meters
    }

    fn show_all_causes(&self) {
        for cause in HandshakeError::ALL {
            self.handshake_failures.add(0, &[KeyValue::new("cause", cause.as_str())]);
        }
        for end in LinkEnd::ALL {
            self.ends.add(0, &[KeyValue::new("cause", end.as_str())]);
        }
        for cause in DropCause::ALL {
            self.dropped.add(0, &[KeyValue::new("cause", cause.as_str())]);
        }
        self.doubts.add(0, &[]);
        self.links.add(0, &[]);
        self.streams.add(0, &[]);
    }

    /// Counts a link that opened.
    pub(super) fn add_link(&self) {
        self.links.add(1, &[]);
    }

    /// Counts a link that ended.
    pub(super) fn add_end(&self, end: LinkEnd) {
        self.links.add(-1, &[]);
        self.ends.add(1, &[KeyValue::new("cause", end.as_str())]);
    }

    /// Counts a peer that left a ping unanswered for too long.
    pub(super) fn add_doubt(&self) {
        self.doubts.add(1, &[]);
    }

    /// Changes the number of open streams.
    pub(super) fn add_streams(&self, change: i64) {
        self.streams.add(change, &[]);
    }

    /// Counts a handshake that failed.
    pub(super) fn add_handshake_failure(&self, cause: HandshakeError) {
        self.handshake_failures.add(1, &[KeyValue::new("cause", cause.as_str())]);
    }

    /// Counts a dropped frame; `reply` tells whether it was part of an answer.
    pub(super) fn add_dropped(&self, cause: DropCause, reply: bool) {
        self.dropped.add(1, &[KeyValue::new("cause", cause.as_str())]);
        if cause == DropCause::ForeignAttempt {
            self.metrics.add_stale_reply(Dropped::Crossed);
        } else if reply {
            self.metrics.add_stale_reply(Dropped::Late);
        }
    }

    /// Counts control bytes.
    pub(super) fn add_control_bytes(&self, purpose: Purpose, direction: Direction, size: usize) {
        self.metrics.add_control_bytes(purpose, direction, size as u64);
    }
}
