//! Finds out whether a replica that broke off a request has ended, and exchanges with other routers
//! under which requests replicas ended.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg32;
use teaselworks_policy::crash::{ACKNOWLEDGEMENT_TIME, BlockedRequest, ReplicaEnd};
use teaselworks_policy::upstream::Incarnation;
use teaselworks_policy::verdict::Refusal;

use super::Shared;
use super::upstream_connection::Connection;
use crate::datagram::{EndRow, EndsRow, Message};
use crate::event;
use crate::platform::ListedEnds;

/// Time to open a connection to a replica that broke off a request. One that takes longer counts as
/// ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time within which such a connection is closed if the replica behind a proxy has ended.
const CLOSING_TIME: Duration = Duration::from_millis(10);
/// Number of further times that such a connection is checked for its end.
const WATCH_ROUNDS: u32 = 30;
/// Time between two rounds in which ends without an acknowledgement are reported again.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Number of these rounds after which some other routers get the records that concern all.
const ROUNDS_PER_EXCHANGE: u32 = 4;
/// Number of routers that get it.
const EXCHANGE_PEERS: usize = 2;
/// Number of rounds after the start in which other routers are queried for their records.
const START_ROUNDS: u32 = 8;
/// Pause after the first of these rounds; each later one is longer by as much.
const START_INTERVAL: Duration = Duration::from_millis(25);
/// Number of routers that are queried, and of datagrams in which each responds.
const START_PEERS: usize = 3;
const MAX_REPLIES: usize = 4;
/// Maximum number of requests in a datagram.
const MAX_ROWS: usize = 8;

impl Shared {
    /// Returns whether a replica that broke off a request has ended: it refuses connections, or none
    /// can be opened although this router's link to the service is up.
    ///
    /// Records the end if so. Returns once another router remembers it. A connection that is opened is
    /// watched further: a proxy accepts it for a replica that has ended, and closes it.
    pub(super) async fn record_if_ended(
        self: Arc<Self>,
        service: Arc<str>,
        incarnation: Incarnation,
        fingerprint: u64,
        end: ReplicaEnd,
    ) -> bool {
        // This says nothing about the link, which further attempts find out.
        let has_ended = match self.connections.open(&incarnation, PROBE_TIMEOUT).await {
            Ok(connection) => {
                tokio::time::sleep(CLOSING_TIME).await;
                let is_closed = connection.sender.is_closed();
                if !is_closed {
                    tokio::spawn(self.clone().watch(connection, fingerprint, end));
                }
                is_closed
            }
            // The machine answers, so that the link is not the cause.
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => true,
            Err(_) => !self.fleet().is_link_down(&service),
        };
        if has_ended {
            self.on_replica_ended(fingerprint, end).await;
        }
        has_ended
    }

    /// Records the end of a replica if a connection to it is closed before any request was sent on it.
    /// Otherwise keeps the connection for a later request.
    async fn watch(self: Arc<Self>, connection: Connection, fingerprint: u64, end: ReplicaEnd) {
        for _ in 0..WATCH_ROUNDS {
            tokio::time::sleep(CLOSING_TIME).await;
            if connection.sender.is_closed() {
                self.on_replica_ended(fingerprint, end).await;
                return;
            }
        }
        connection.release(self.now());
    }

    /// Records that a replica ended while it ran a request, and reports that to the routers that
    /// remember it. Returns once one of them has acknowledged it, or after [`ACKNOWLEDGEMENT_TIME`].
    async fn on_replica_ended(&self, fingerprint: u64, end: ReplicaEnd) {
        let now = self.now();
        let is_blocked = {
            let mut fleet = self.fleet();
            let has_peers = !fleet.membership.possible_holders(fingerprint).is_empty();
            fleet.crashes.on_ended(now, fingerprint, end, has_peers)
        };
        self.metrics.add_ended_replica();
        if is_blocked {
            self.log_ended(fingerprint, "crash");
        }
        self.report_ends(fingerprint);
        self.announce(fingerprint);
        self.ended_noticed.notify_one();
        let deadline = tokio::time::Instant::now() + ACKNOWLEDGEMENT_TIME;
        loop {
            let acknowledged = self.end_acknowledged.notified();
            if !self.fleet().crashes.requests.is_unacknowledged(fingerprint) {
                break;
            }
            if tokio::time::timeout_at(deadline, acknowledged).await.is_err() {
                break;
            }
        }
        self.announce(fingerprint);
        self.list_ends(fingerprint);
    }

    /// Records that an attempt which was sent at `sent_at` was answered completely.
    pub(super) fn on_request_answered(&self, fingerprint: u64, sent_at: Duration) {
        let now = self.now();
        let (is_listed, peers) = {
            let mut fleet = self.fleet();
            let requests = &mut fleet.crashes.requests;
            let is_listed = requests.is_listed(fingerprint);
            if !requests.on_answered(now, fingerprint, sent_at) {
                return;
            }
            (is_listed, fleet.membership.addresses())
        };
        log_released(fingerprint, "answer");
        let sent_age_ms = age_ms(now, sent_at);
        self.datagrams.send(&Message::RequestAnswered { fingerprint, sent_age_ms }, &peers);
        if is_listed {
            self.list_change(fingerprint);
        }
        self.count_blocked_requests();
    }

    /// Refuses a request under which too many replicas have ended, or may have.
    pub(super) fn admit_fingerprint(
        &self,
        request: &str,
        fingerprint: u64,
        max_retry_after: Duration,
    ) -> Result<(), Refusal> {
        let now = self.now();
        let admitted = self.fleet().admit_fingerprint(now, fingerprint, max_retry_after);
        let Err((refusal, blocked)) = admitted else { return Ok(()) };
        let BlockedRequest { ended, is_confirmed, .. } = blocked;
        event::REQUEST_BLOCKED.log(&[
            event::text("request", &request),
            event::text("fingerprint", &format_args!("{fingerprint:x}")),
            event::number("ended", ended as u64),
            event::text("is_confirmed", &is_confirmed),
        ]);
        Err(refusal)
    }

    /// Handles a message of another router about requests.
    pub(super) fn on_request_message(&self, message: Message, sender: SocketAddr) {
        let now = self.now();
        match message {
            Message::RequestEnds { is_report, rows } => {
                for row in &rows {
                    self.on_ends(row, sender, is_report);
                }
                if is_report && rows.is_empty() {
                    let announced = self.fleet().crashes.requests.announced();
                    for rows in announced.chunks(MAX_ROWS).take(MAX_REPLIES) {
                        self.send_ends(rows, false, &[sender]);
                    }
                } else if is_report {
                    let known: Vec<u64> =
                        rows.iter().map(|(fingerprint, ..)| *fingerprint).collect();
                    self.send_ends(&known, false, &[sender]);
                } else {
                    self.end_acknowledged.notify_waiters();
                }
            }
            Message::RequestAnswered { fingerprint, sent_age_ms } => {
                let sent_at = now.saturating_sub(Duration::from_millis(sent_age_ms.into()));
                if self.fleet().crashes.requests.on_answered(now, fingerprint, sent_at) {
                    log_released(fingerprint, "router");
                    self.count_blocked_requests();
                }
            }
            _ => {}
        }
    }

    /// Adds the ends on record at another router. A message that is not a report is the response to one,
    /// or an announcement.
    fn on_ends(&self, row: &EndsRow, sender: SocketAddr, is_report: bool) {
        let (fingerprint, was_answered, ends) = (row.0, row.1, &row.2);
        let now = self.now();
        let at = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        let end = |(incarnation, sent_age_ms, ended_age_ms, has_begun): &EndRow| ReplicaEnd {
            incarnation: *incarnation,
            sent_at: at(*sent_age_ms),
            ended_at: at(*ended_age_ms),
            has_begun: *has_begun,
        };
        let ends: Vec<ReplicaEnd> = ends.iter().map(end).collect();
        let (is_blocked, refuted_at) = {
            let mut fleet = self.fleet();
            let is_blocked = fleet.crashes.merge_ends(now, fingerprint, &ends, was_answered);
            if !is_report {
                fleet.crashes.requests.on_acknowledged(fingerprint);
            }
            (is_blocked, fleet.crashes.requests.find_refutation(fingerprint, &ends))
        };
        if let Some(sent_at) = refuted_at {
            let sent_age_ms = age_ms(now, sent_at);
            self.datagrams.send(&Message::RequestAnswered { fingerprint, sent_age_ms }, &[sender]);
        }
        if is_blocked {
            self.log_ended(fingerprint, &format!("router {sender}"));
        }
        self.ended_noticed.notify_one();
    }

    /// Records that the store lists the ends of a request.
    pub fn on_listed_ends(&self, fingerprint: u64, listed: &ListedEnds) {
        let now = self.now();
        let ListedEnds { ends, was_answered } = listed;
        if self.fleet().crashes.on_listed_ends(now, fingerprint, ends, *was_answered) {
            self.log_ended(fingerprint, "store");
        }
        self.ended_noticed.notify_one();
    }

    /// Records that the store no longer lists a request.
    pub fn on_unlisted_ends(&self, fingerprint: u64) {
        if self.fleet().crashes.requests.on_unlisted(fingerprint) {
            self.list_ends(fingerprint);
        }
    }

    /// Reports ends again that no router has acknowledged, and sends the announced records to some other
    /// routers, until the process ends. A router that was cut off, or has just started,
    /// learns from that what it missed.
    pub async fn exchange_ended_requests(&self, seed: u64) {
        let mut random = Pcg32::seed_from_u64(seed);
        for round in 0..START_ROUNDS {
            let peers = self.fleet().membership.addresses();
            let peers: Vec<SocketAddr> = peers.sample(&mut random, START_PEERS).copied().collect();
            let query = Message::RequestEnds { is_report: true, rows: Vec::new() };
            self.datagrams.send(&query, &peers);
            tokio::time::sleep(START_INTERVAL * (round + 1)).await;
        }
        let mut round = 0_u32;
        loop {
            if self.fleet().crashes.requests.is_empty() {
                self.ended_noticed.notified().await;
            }
            tokio::time::sleep(REPORT_INTERVAL).await;
            round = round.wrapping_add(1);
            let unacknowledged = self.fleet().crashes.requests.unacknowledged();
            for fingerprint in unacknowledged {
                self.report_ends(fingerprint);
            }
            if !round.is_multiple_of(ROUNDS_PER_EXCHANGE) {
                continue;
            }
            let (announced, peers) = {
                let mut fleet = self.fleet();
                fleet.crashes.requests.expire(self.now());
                (fleet.crashes.requests.announced(), fleet.membership.addresses())
            };
            self.count_blocked_requests();
            let rows: Vec<u64> = announced.sample(&mut random, MAX_ROWS).copied().collect();
            let peers: Vec<SocketAddr> =
                peers.sample(&mut random, EXCHANGE_PEERS).copied().collect();
            self.send_ends(&rows, false, &peers);
        }
    }

    /// Reports the ends of a request to the routers that remember them. Without such a router, nothing
    /// else can be on record.
    fn report_ends(&self, fingerprint: u64) {
        let holders = self.fleet().membership.possible_holders(fingerprint);
        if holders.is_empty() {
            self.fleet().crashes.requests.on_acknowledged(fingerprint);
        }
        self.send_ends(&[fingerprint], true, &holders);
    }

    /// Announces a request to all routers if enough replicas ended under it.
    fn announce(&self, fingerprint: u64) {
        let peers = {
            let mut fleet = self.fleet();
            let is_due = fleet.crashes.requests.take_announcement(fingerprint);
            if !is_due {
                return;
            }
            fleet.membership.addresses()
        };
        self.send_ends(&[fingerprint], false, &peers);
    }

    fn send_ends(&self, fingerprints: &[u64], is_report: bool, addresses: &[SocketAddr]) {
        if addresses.is_empty() || fingerprints.is_empty() {
            return;
        }
        let now = self.now();
        let rows: Vec<EndsRow> = {
            let fleet = self.fleet();
            let row = |fingerprint: &u64| {
                let ends = fleet.crashes.requests.ends(*fingerprint).iter();
                let ends = ends.map(|end| {
                    let (sent_age_ms, ended_age_ms) =
                        (age_ms(now, end.sent_at), age_ms(now, end.ended_at));
                    (end.incarnation, sent_age_ms, ended_age_ms, end.has_begun)
                });
                let was_answered = fleet.crashes.requests.was_answered(*fingerprint);
                (*fingerprint, was_answered, ends.collect())
            };
            fingerprints.iter().take(MAX_ROWS).map(row).collect()
        };
        self.datagrams.send(&Message::RequestEnds { is_report, rows }, addresses);
    }

    /// Has the store list the ends of a request if a router that starts needs them.
    fn list_ends(&self, fingerprint: u64) {
        let age = self.age();
        if self.fleet().crashes.requests.needs_listing(fingerprint, age) {
            self.list_change(fingerprint);
        }
    }

    fn list_change(&self, fingerprint: u64) {
        // Where more changes wait than the channel can buffer, the other routers still have the
        // datagrams.
        let _ = self.request_changes.try_send(fingerprint);
    }

    fn log_ended(&self, fingerprint: u64, source: &str) {
        let ended = self.fleet().crashes.requests.ends(fingerprint).len();
        self.count_blocked_requests();
        event::ENDED_LIMIT_REACHED.log(&[
            event::text("fingerprint", &format_args!("{fingerprint:x}")),
            event::number("ended", ended as u64),
            event::text("source", &source),
        ]);
    }

    fn count_blocked_requests(&self) {
        let count = self.fleet().crashes.requests.blocked_count();
        self.metrics.set_blocked_requests(count);
    }
}

fn age_ms(now: Duration, at: Duration) -> u32 {
    now.saturating_sub(at).as_millis().try_into().unwrap_or(u32::MAX)
}

fn log_released(fingerprint: u64, source: &str) {
    event::ENDS_REFUTED.log(&[
        event::text("fingerprint", &format_args!("{fingerprint:x}")),
        event::text("source", &source),
    ]);
}
