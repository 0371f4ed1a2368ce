//! State of the router that all requests share.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use teaselworks_policy::clock::Clock;
use teaselworks_policy::configuration::Configuration;
use teaselworks_policy::fleet::{Fleet, StoppingRequest};
use teaselworks_policy::stop::{Acceptance, StopPlan};
use teaselworks_policy::upstream::{EjectionChange, Incarnation, LinkChange, SharedObservations};
use teaselworks_policy::verdict::Refusal;
use tokio::sync::{Notify, mpsc};

use super::ConnectionPool;
use super::load_exchange::LoadExchange;
use super::origin::Origin;
use super::part_change::PartChange;
use super::request::PreparedRequest;
use super::upstream_connection::Connection;
use crate::datagram::DatagramPort;
use crate::event;
use crate::kernel::{Shutdown, ShutdownPhase};
use crate::metrics::Metrics;

/// Time after the start of the router up to which requests wait for the first configuration. It
/// usually arrives within some tens of milliseconds; a caller that is refused would lose more time
/// than one that waits.
const FIRST_CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of changes of the blocked parts that wait to be written to the store.
const MAX_PART_CHANGES: usize = 64;

/// Maximum number of requests whose ended replicas wait to be written to the store.
const MAX_REQUEST_CHANGES: usize = 256;

/// State and services that every request uses.
pub struct Shared {
    /// Clock that all times of requests are read from.
    pub clock: Arc<dyn Clock>,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Pool of connections to upstreams.
    pub connections: ConnectionPool,
    /// Current phase of a planned stop.
    pub shutdown: Shutdown,
    /// Plan of the planned stop and the time at which the stop began; set when a stop begins.
    stop: OnceLock<(StopPlan, Duration)>,
    /// Availability zone of this router.
    pub zone: Arc<str>,
    /// Port for datagrams of other routers.
    pub datagrams: DatagramPort,
    /// Notified when a replica broke off a request, or another router reports that.
    pub(super) crash_noticed: Notify,
    /// Changes of the blocked parts that the store is to hold.
    pub(super) part_changes: mpsc::Sender<PartChange>,
    part_change_receiver: Mutex<Option<mpsc::Receiver<PartChange>>>,
    /// Notified when replicas ended under a request, as seen here, by another router or in the store.
    pub(super) ended_noticed: Notify,
    /// Notified when another router has acknowledged such ends.
    pub(super) end_acknowledged: Notify,
    /// Fingerprints of requests whose records are to be written to the store.
    pub(super) request_changes: mpsc::Sender<u64>,
    request_change_receiver: Mutex<Option<mpsc::Receiver<u64>>>,
    /// Exchange of offered load with other routers.
    pub(super) load_exchange: LoadExchange,
    fleet: Mutex<Fleet>,
    /// Time at which the router started.
    started_at: Duration,
    /// Notified when a configuration is set.
    configuration_set: Notify,
}

impl Shared {
    /// Creates the state of a router that starts now.
    pub fn new(
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
        shutdown: Shutdown,
        zone: Arc<str>,
        fleet: Fleet,
    ) -> Self {
        let connections = ConnectionPool::new(metrics.clone());
        let stop = OnceLock::new();
        let started_at = clock.monotonic();
        let fleet = Mutex::new(fleet);
        let configuration_set = Notify::new();
        let (part_changes, part_change_receiver) = mpsc::channel(MAX_PART_CHANGES);
        let (request_changes, request_change_receiver) = mpsc::channel(MAX_REQUEST_CHANGES);
        Self {
            clock,
            metrics,
            connections,
            shutdown,
            stop,
            zone,
            datagrams: DatagramPort::default(),
            crash_noticed: Notify::new(),
            part_changes,
            part_change_receiver: Mutex::new(Some(part_change_receiver)),
            ended_noticed: Notify::new(),
            end_acknowledged: Notify::new(),
            request_changes,
            request_change_receiver: Mutex::new(Some(request_change_receiver)),
            load_exchange: LoadExchange::default(),
            fleet,
            started_at,
            configuration_set,
        }
    }

    /// Activates a configuration; returns false, and changes nothing, if the active one has the
    /// same or a higher version.
    pub fn set_configuration(&self, configuration: Configuration) -> bool {
        let is_newer = self.fleet().set_configuration(self.now(), configuration);
        self.configuration_set.notify_waiters();
        is_newer
    }

    /// Returns the active configuration. If there is none yet, waits for the first one until
    /// [`FIRST_CONFIGURATION_TIMEOUT`] after the start of the router. `None` if none has arrived by
    /// then.
    pub(super) async fn configuration(&self) -> Option<Arc<Configuration>> {
        let notified = self.configuration_set.notified();
        let known = self.fleet().configuration();
        let remaining = (self.started_at + FIRST_CONFIGURATION_TIMEOUT).saturating_sub(self.now());
        if known.is_some() || remaining.is_zero() {
            return known;
        }
        // The request is refused if no configuration arrives in time. One that arrives later serves
        // the caller's retry.
        let _ = tokio::time::timeout(remaining, notified).await;
        self.fleet().configuration()
    }

    /// Returns the changes of the blocked parts that the store is to hold; `None` if they were taken
    /// before.
    pub fn take_part_changes(&self) -> Option<mpsc::Receiver<PartChange>> {
        self.part_change_receiver.lock().expect("part change lock is never poisoned").take()
    }

    /// Returns the fingerprints of requests whose records are to be written to the store; `None` if they
    /// were taken before.
    pub fn take_request_changes(&self) -> Option<mpsc::Receiver<u64>> {
        self.request_change_receiver.lock().expect("request change lock is never poisoned").take()
    }

    /// Returns the time since the router started.
    pub(super) fn age(&self) -> Duration {
        self.now().saturating_sub(self.started_at)
    }

    /// Returns the time of the monotonic clock.
    pub fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    /// Begins a planned stop with `plan`. If a stop has already begun, its plan stays in force.
    pub fn begin_stop(&self, plan: StopPlan) {
        let _ = self.stop.set((plan, self.now()));
        self.shutdown.advance(ShutdownPhase::Announced);
    }

    /// Decides whether a request is served that may outlast a planned stop, if one has begun.
    pub(super) fn admit(
        &self,
        prepared: &PreparedRequest,
        origin: Origin,
    ) -> Result<Acceptance, Refusal> {
        let Some((plan, stop_began_at)) = self.stop.get() else { return Ok(Acceptance::Unchanged) };
        let now = self.now();
        let request = StoppingRequest {
            route: &prepared.route,
            size: prepared.size(),
            remaining: prepared.deadline.remaining(now),
            max_retry_after: prepared.deadline.max_retry_after(now),
            is_forwarded: origin != Origin::Caller,
        };
        let since_stop = now.saturating_sub(*stop_began_at);
        let (estimate, decision) = {
            let mut fleet = self.fleet();
            let estimate = fleet.duration_estimate(now, &prepared.route.name, request.size);
            (estimate, fleet.admit_while_stopping(now, plan, since_stop, &request))
        };
        let typical = estimate.map(|estimate| estimate.typical);
        let upper_bound = estimate.and_then(|estimate| estimate.upper_bound);
        event::STOP_DECIDED.log(&[
            event::text("request", &prepared.metadata.id),
            event::text("route", &prepared.route.name),
            event::number("since_stop_ms", since_stop.as_millis() as u64),
            event::number("remaining_ms", request.remaining.as_millis() as u64),
            event::text("typical_ms", &milliseconds(typical)),
            event::text("upper_bound_ms", &milliseconds(upper_bound)),
            event::text(
                "decision",
                &decision.as_ref().map_or("refused", |accepted| accepted.as_str()),
            ),
        ]);
        decision
    }

    /// Applies the observations of upstreams that other routers share, and counts and logs the
    /// ejections and readmissions that follow.
    pub fn apply_observations(&self, observations: &SharedObservations) {
        let changes = self.fleet().apply_observations(self.now(), observations);
        for EjectionChange { upstream, is_ejected } in changes {
            if is_ejected {
                self.metrics.add_ejection();
                event::UPSTREAM_EJECTED
                    .log(&[event::text("upstream", &upstream), event::text("reason", &"told")]);
            } else {
                event::UPSTREAM_READMITTED.log(&[event::text("upstream", &upstream)]);
            }
        }
    }

    /// Opens a connection to a replica, and records how long that took or why it failed: the connect
    /// timeout of later connections and the state of the link to the service are derived from it.
    ///
    /// `reason` is the identifier of the request that needs the connection, for the log.
    pub(super) async fn open_connection(
        &self,
        service: &Arc<str>,
        incarnation: &Incarnation,
        reason: &str,
    ) -> io::Result<Connection> {
        let started_at = self.now();
        let timeout = self.fleet().connect_times.timeout();
        let opened = self.connections.open(incarnation, timeout).await;
        let now = self.now();
        let elapsed = now.saturating_sub(started_at);
        let change = {
            let mut fleet = self.fleet();
            match &opened {
                Ok(_) => fleet.connect_times.on_opened(elapsed),
                Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                    fleet.connect_times.on_timeout();
                }
                Err(_) => {}
            }
            fleet.on_connect(now, service, &incarnation.id, opened.is_ok())
        };
        if let Err(error) = &opened {
            self.metrics.add_connect_failure(error.kind());
            event::CONNECT_FAILED.log(&[
                event::text("request", &reason),
                event::text("upstream", &incarnation.id),
                event::text("address", &incarnation.address),
                event::text("cause", error),
                event::number("elapsed_ms", elapsed.as_millis() as u64),
                event::number("timeout_ms", timeout.as_millis() as u64),
            ]);
        }
        if let Some(change) = change {
            log_link_change(service, change);
        }
        opened
    }

    /// Records that a replica has stated that it is leaving, and closes its idle connections.
    pub(super) fn on_leaving(&self, service: &Arc<str>, id: &str) {
        if !self.fleet().on_leaving(service, id) {
            return;
        }
        self.connections.close_idle(id);
        event::UPSTREAM_LEAVING
            .log(&[event::text("upstream", &id), event::text("service", service)]);
    }

    /// Records that a replica has said with an answer for how long it is still cold.
    pub(super) fn on_cold(&self, service: &Arc<str>, id: &str, remaining: Duration) {
        if self.fleet().on_cold(self.now(), service, id, remaining) {
            event::UPSTREAM_COLD.log(&[
                event::text("upstream", &id),
                event::text("service", service),
                event::number("remaining_ms", remaining.as_millis() as u64),
            ]);
        }
    }

    /// Records that the replicas of a service say they are brittle.
    pub(super) fn on_brittle(&self, service: &Arc<str>, max_rejections: u32) {
        if self.fleet().on_brittle(self.now(), service, max_rejections) {
            event::SERVICE_BRITTLE.log(&[
                event::text("service", service),
                event::number("max_rejections", max_rejections.into()),
            ]);
        }
    }

    /// Opens a connection to a replica in order to find out whether its service can be reached. The
    /// connection is kept for a later request.
    pub async fn probe_link(&self, service: &Arc<str>, incarnation: &Incarnation) {
        if let Ok(connection) = self.open_connection(service, incarnation, "").await {
            connection.release(self.now());
        }
    }

    /// Locks the state of the fleet for one decision. Don't hold the guard across an `.await`.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().expect("fleet state lock is never poisoned, since no decision panics")
    }
}

/// Returns a time in milliseconds for the log, -1 if it is not known.
fn milliseconds(time: Option<Duration>) -> i64 {
    time.map_or(-1, |time| time.as_millis() as i64)
}

fn log_link_change(service: &Arc<str>, change: LinkChange) {
    match change {
        LinkChange::Down { failed_replicas, silent_for } => {
            let silent_ms = silent_for.map_or(-1, |time| time.as_millis() as i64);
            event::LINK_LOST.log(&[
                event::text("service", service),
                event::number("failed_replicas", failed_replicas as u64),
                event::text("silent_ms", &silent_ms),
            ]);
        }
        LinkChange::Up { down_for } => event::LINK_RESTORED.log(&[
            event::text("service", service),
            event::number("down_ms", down_for.as_millis() as u64),
        ]),
    }
}
