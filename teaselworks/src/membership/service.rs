//! Runs the membership protocol of this router.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use teaselworks_policy::clock::Clock;
use teaselworks_policy::membership::{
    Action, Answer, Call, Contact, Duty, Evidence, ListedState, Membership, Message,
    OwnershipClock, Place, Standing, TICKS_AN_INTERVAL, View,
};
use teaselworks_policy::name::Name;
use teaselworks_wire::codec;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{self, MissedTickBehavior};

use super::list::{Reader, Reading};
use super::meters::Meters;
use super::{MembershipParts, PeerCall, timing};
use crate::event;
use crate::kernel::{ServiceName, Shutdown, ShutdownPhase};
use crate::metrics::Metrics;

/// Name of the membership service.
pub const MEMBERSHIP: ServiceName<MembershipService> = ServiceName::new("membership");

struct State {
    machine: Membership,
    ownership: OwnershipClock,
    rng: Pcg64,
    meters: Meters,
    leaving_upstreams: BTreeSet<Name>,
}

/// Keeps the view of the fleet.
pub struct MembershipService {
    parts: MembershipParts,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    views: watch::Sender<Arc<View>>,
    /// Set off when the list is to be read.
    list_due: Notify,
}

impl fmt::Debug for MembershipService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MembershipService").field("parts", &self.parts).finish_non_exhaustive()
    }
}

impl MembershipService {
    /// Makes a service that has not heard of any other router; `start` sets it going.
    pub fn new(parts: MembershipParts, clock: Arc<dyn Clock>, metrics: &Metrics) -> Arc<Self> {
        let machine = Membership::new(parts.identity.clone(), timing(&parts), clock.monotonic());
        let views = watch::Sender::new(machine.view());
        let state = State {
            machine,
            ownership: OwnershipClock::new(parts.identity.name.clone()),
            rng: Pcg64::seed_from_u64(parts.seed),
            meters: Meters::new(metrics),
            leaving_upstreams: BTreeSet::new(),
        };
        Arc::new(Self { parts, clock, state: Mutex::new(state), views, list_due: Notify::new() })
    }

    /// Probes and reads the list until the process stops, and tells the fleet when a planned stop
    /// begins.
    pub fn start(self: &Arc<Self>, shutdown: Shutdown) {
        let (ticking, reading, leaving) = (self.clone(), self.clone(), self.clone());
        let (until_stopped, until_read) = (shutdown.clone(), shutdown.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = until_stopped.reached(ShutdownPhase::Stopped) => {}
                () = ticking.keep_ticking() => {}
            }
        });
        tokio::spawn(async move {
            tokio::select! {
                () = until_read.reached(ShutdownPhase::Stopped) => {}
                () = reading.keep_reading() => {}
            }
        });
        tokio::spawn(async move {
            shutdown.reached(ShutdownPhase::Notice).await;
            leaving.leave();
        });
    }

    /// Returns the current snapshot.
    pub fn view(&self) -> Arc<View> {
        self.views.borrow().clone()
    }

    /// Returns a receiver that shows each new snapshot.
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.views.subscribe()
    }

    /// Takes note of whether real traffic with a router went well.
    pub fn report(self: &Arc<Self>, router: &Name, answered: bool) {
        let evidence = if answered { Evidence::Answered } else { Evidence::Failed };
        let now = self.clock.monotonic();
        self.lock().machine.on_evidence(now, router, evidence);
    }

    /// Begins a planned stop: this router owns nothing from now on, and says so.
    pub fn leave(self: &Arc<Self>) {
        let now = self.clock.monotonic();
        let mut state = self.lock();
        state.machine.leave(now);
        self.act(state, now);
    }

    /// Tells whether this router may act as an owner now; asked right before each act.
    pub fn standing(&self) -> Standing {
        self.lock().machine.standing(self.clock.monotonic())
    }

    /// Tells whether this router knows the others, or that there are none; a router that starts
    /// does not for a while.
    pub fn has_found_fleet(&self) -> bool {
        self.lock().machine.has_found_fleet()
    }

    /// Tells whether an upstream of the platform's list gets new work; unknown ones do.
    pub fn upstream_state(&self, upstream: &str) -> ListedState {
        let leaving = self.lock().machine.upstreams().is_leaving(upstream);
        if leaving { ListedState::Leaving } else { ListedState::Live }
    }

    /// Sets the replicas whose owners are followed, each with its place.
    pub fn set_replicas(&self, replicas: impl IntoIterator<Item = (Name, Option<Place>)>) {
        let now = self.clock.monotonic();
        let State { machine, ownership, .. } = &mut *self.lock();
        ownership.set_replicas(now, machine, replicas);
    }

    /// Tells what this router may do for a followed replica; asked right before each act.
    pub fn duty(&self, replica: &str) -> Duty {
        let now = self.clock.monotonic();
        let state = self.lock();
        state.ownership.duty(now, &state.machine, replica)
    }

    /// Answers a control message of another router; drops `answer` on one that is unreadable.
    pub fn handle(self: &Arc<Self>, from: &Name, bytes: &[u8], answer: oneshot::Sender<Bytes>) {
        let message: Message = match codec::decode(bytes) {
            Ok(message) => message,
            Err(error) => {
                event::MEMBERSHIP_UNREADABLE.log(format_args!("from={from} cause={error}"));
                return;
            }
        };
        let now = self.clock.monotonic();
        let mut state = self.lock();
        let reply = state.machine.on_request(now, &message);
        self.act(state, now);
        match reply {
            Answer::Reply(reply) => send(answer, &reply),
            Answer::Forward(call) => {
                let (service, asker) = (self.clone(), from.clone());
                tokio::spawn(async move { service.forward(*call, &asker, answer).await });
            }
        }
    }

    async fn forward(self: Arc<Self>, call: Call, asker: &Name, answer: oneshot::Sender<Bytes>) {
        let outcome = ask(&self.parts.call, call.to, &call.message, call.timeout).await;
        let now = self.clock.monotonic();
        let mut state = self.lock();
        let reply = state.machine.on_forwarded(now, asker, outcome);
        self.act(state, now);
        send(answer, &reply);
    }

    async fn keep_ticking(self: Arc<Self>) {
        let interval = Duration::from_millis(self.parts.settings.probe_interval_ms);
        let mut ticks = time::interval(interval / TICKS_AN_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let now = self.clock.monotonic();
            let mut guard = self.lock();
            let state = &mut *guard;
            state.machine.tick(now, &mut state.rng);
            let standing = state.machine.standing(now);
            state.meters.show_standing(standing);
            if state.machine.list_due(now, self.wall_ms(), &mut state.rng) {
                self.list_due.notify_one();
            }
            self.act(guard, now);
        }
    }

    async fn keep_reading(self: Arc<Self>) {
        let mut reader = Reader::new(&self.parts.vm_list.url);
        loop {
            self.list_due.notified().await;
            let outcome = reader.read().await;
            self.take_list(outcome);
        }
    }

    fn take_list(self: &Arc<Self>, outcome: Result<Reading, String>) {
        let now = self.clock.monotonic();
        let mut state = self.lock();
        state.meters.show_list(&outcome);
        if let Ok(reading) = outcome {
            state.machine.on_vm_list(now, self.wall_ms(), &reading.list);
        }
        self.act(state, now);
    }

    fn wall_ms(&self) -> u64 {
        let wall = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        wall.unwrap_or_default().as_millis() as u64
    }

    /// Does what the state machine asks for.
    fn act(self: &Arc<Self>, mut state: MutexGuard<'_, State>, now: Duration) {
        for action in state.machine.take_actions() {
            match action {
                Action::Call(call) => {
                    let service = self.clone();
                    tokio::spawn(async move { service.call(*call).await });
                }
                Action::ViewChanged(view) => {
                    let overlap = state.machine.overlap_limit();
                    state.ownership.on_view(now, &view, overlap);
                    state.meters.show_view(&view);
                    self.views.send_replace(view);
                }
                Action::UpstreamsChanged => log_upstreams(&mut state),
                Action::Denied { flaps } => state.meters.show_denial(flaps),
            }
        }
    }

    async fn call(self: Arc<Self>, call: Call) {
        let outcome = ask(&self.parts.call, call.to, &call.message, call.timeout).await;
        let now = self.clock.monotonic();
        let mut state = self.lock();
        match outcome {
            Some(message) => state.machine.on_answer(now, call.call, &message),
            None => state.machine.on_failure(call.call),
        }
        self.act(state, now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("membership lock is never poisoned")
    }
}

/// Calls a router; `None` when it does not answer, or not with a message.
async fn ask(
    call: &PeerCall,
    to: Contact,
    message: &Message,
    timeout: Duration,
) -> Option<Message> {
    let bytes = codec::encode(message).ok()?;
    let answer = call(to, bytes, timeout).await?;
    codec::decode(&answer).ok()
}

fn send(answer: oneshot::Sender<Bytes>, message: &Message) {
    let Ok(bytes) = codec::encode(message) else { return };
    // Fails when the asker has gone.
    let _ = answer.send(bytes);
}

fn log_upstreams(state: &mut State) {
    let leaving: BTreeSet<Name> = state.machine.upstreams().leaving().cloned().collect();
    for upstream in leaving.difference(&state.leaving_upstreams) {
        event::UPSTREAM_LEAVING.log(format_args!("upstream={upstream}"));
    }
    for upstream in state.leaving_upstreams.difference(&leaving) {
        event::UPSTREAM_LIVE.log(format_args!("upstream={upstream}"));
    }
    state.leaving_upstreams = leaving;
}
