//! The membership protocol of one router: events, a clock reading and random numbers in, calls
//! and views out.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::event::{Action, Answer, Call, Evidence, Identity, VmList};
use super::message::{Contact, MAX_UPDATES, Message, MessageKind};
use super::prober::{CallId, Cause, Pending, Prober};
use super::reading::{ListClock, judge_of};
use super::record::{Details, Liveness, Record, Update};
use super::rumours::Rumours;
use super::standing::{Standing, StandingClock};
use super::sync::SYNC_RECORDS;
use super::table::{Table, full_update};
use super::timing::{Timing, rounds};
use super::upstreams::UpstreamBoard;
use super::view::View;
use crate::name::Name;

/// Times that news ride on messages, as a multiple of the doublings needed to reach everyone.
const REPEAT_FACTOR: u32 = 3;

/// Membership as one router sees it.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) me: Name,
    pub(super) timing: Timing,
    pub(super) table: Table,
    pub(super) view: Arc<View>,
    pub(super) prober: Prober,
    pub(super) rumours: Rumours<Update>,
    pub(super) upstreams: UpstreamBoard,
    pub(super) standing: StandingClock,
    pub(super) contacts: BTreeMap<Name, Contact>,
    pub(super) list_read: bool,
    pub(super) list_clock: ListClock,
    /// Whether it had the records of a router that knew the fleet, or waited long enough.
    pub(super) synced: bool,
    pub(super) started: Duration,
    /// Lowest revision whose loss was not denied yet.
    pub(super) loss_denied: u32,
    /// Whether others were lost since this router last denied its own loss: those on the other
    /// side of a split say so of everyone on this one, once.
    pub(super) split_seen: bool,
    pub(super) hold_until: Duration,
    pub(super) flapped_at: Duration,
    pub(super) owner_since: Duration,
    pub(super) was_confirmed: bool,
    pub(super) next_probe: Duration,
    pub(super) next_seek: Duration,
    pub(super) next_urgent: Duration,
    pub(super) next_sync: Duration,
    pub(super) mismatches: u32,
    pub(super) urgent: VecDeque<Name>,
    pub(super) notices: Vec<Name>,
    /// Whether news wait that should not wait for the next probe.
    pub(super) urgent_news: bool,
    pub(super) push_tokens: f64,
    pub(super) actions: Vec<Action>,
}

impl Membership {
    /// Makes the membership of a router that starts.
    ///
    /// ```
    /// use std::time::Duration;
    /// use teaselworks_policy::membership::{Identity, Membership, Place, Timing};
    ///
    /// let identity = Identity {
    ///     name: "sfax-a-1".into(),
    ///     incarnation: 1,
    ///     address: "127.0.0.1:7000".parse().unwrap(),
    ///     place: Place { region: "sfax".into(), zone: "sfax-a".into() },
    /// };
    /// let membership = Membership::new(identity, Timing::default(), Duration::ZERO);
    /// assert_eq!(membership.view().routers().len(), 1);
    /// ```
    pub fn new(identity: Identity, timing: Timing, now: Duration) -> Self {
        let mut table = Table::default();
        let details = Details { address: identity.address, place: identity.place };
        let record = Record::starting(identity.incarnation);
        let own = Update { router: identity.name.clone(), record, details: Some(details) };
        table.merge(now, &own);
        let view = Arc::new(table.refresh().unwrap_or_default());
        Self {
            me: identity.name,
            standing: StandingClock::new(&timing, now),
            timing,
            table,
            view,
            prober: Prober::default(),
            rumours: Rumours::default(),
            upstreams: UpstreamBoard::default(),
            contacts: BTreeMap::new(),
            list_read: false,
            list_clock: ListClock::default(),
            synced: false,
            started: now,
            loss_denied: 0,
            split_seen: false,
            hold_until: now,
            flapped_at: now,
            owner_since: now,
            was_confirmed: false,
            next_probe: now,
            next_seek: now,
            next_urgent: now,
            next_sync: now,
            mismatches: 0,
            urgent: VecDeque::new(),
            notices: Vec::new(),
            urgent_news: false,
            push_tokens: 0.0,
            actions: Vec::new(),
        }
    }

    /// Returns the current snapshot.
    pub fn view(&self) -> Arc<View> {
        self.view.clone()
    }

    /// Tells whether this router may act as an owner now.
    ///
    /// One that starts may not before it has a peer's records: in a view of its own it would own
    /// everything.
    pub fn standing(&self, now: Duration) -> Standing {
        let standing = self.standing.standing(now, self.alone_wait());
        if self.synced || self.standing.is_alone() {
            return standing;
        }
        Standing::Unconfirmed { until: now + self.alone_wait() }
    }

    /// Tells whether this router knows whom it could ask about the fleet's state, or that there is
    /// nobody to ask.
    ///
    /// One that starts sees nobody at first. It is true at the latest once it waited as long as it
    /// takes to find the others; see [`Timing::alone_wait`].
    pub fn has_found_fleet(&self) -> bool {
        self.synced || self.nobody_else()
    }

    /// Returns since when this router may own without a break, as a reading of the clock.
    pub fn owner_since(&self) -> Duration {
        self.owner_since
    }

    /// Returns how long a former owner may act beside this router; see [`Timing::overlap_limit`].
    pub fn overlap_limit(&self) -> Duration {
        self.timing.overlap_limit(self.table.live() + self.table.lost())
    }

    /// Returns what is said about a router.
    pub fn record(&self, router: &str) -> Option<Record> {
        self.table.get(router).map(|member| member.record)
    }

    /// Returns the upstreams that are leaving.
    pub fn upstreams(&self) -> &UpstreamBoard {
        &self.upstreams
    }

    /// Returns this router's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.own().incarnation
    }

    /// Takes what is to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes a complete reading of the platform's list; `wall_ms` is the wall clock.
    ///
    /// The list lags: it only says whom to ask and never ends a router's life. What it says of
    /// upstreams is all there is, so a mark of leaving counts at once and is passed on.
    pub fn on_vm_list(&mut self, now: Duration, wall_ms: u64, list: &VmList) {
        self.list_read = true;
        self.contacts = list
            .routers
            .iter()
            .filter(|contact| contact.router != self.me)
            .map(|contact| (contact.router.clone(), contact.clone()))
            .collect();
        let contacts = &self.contacts;
        self.table.set_listed(|router| contacts.contains_key(router));
        let view = self.view.clone();
        let judges = |upstream: &Name| judge_of(&view, upstream) == Some(&self.me);
        if self.upstreams.on_list(now, wall_ms, &list.upstreams, judges) {
            self.actions.push(Action::UpstreamsChanged);
            self.urgent_news = true;
        }
        self.settle(now);
    }

    /// Takes a request from a peer and says how to answer it.
    pub fn on_request(&mut self, now: Duration, message: &Message) -> Answer {
        let sender = &message.sender;
        let former = self
            .table
            .get(&sender.router)
            .filter(|member| member.record.incarnation < sender.record.incarnation)
            .map(|member| full_update(&sender.router, member));
        let known = self.learn(now, message);
        self.settle(now);
        let mut reply = match &message.kind {
            MessageKind::Relay(contact) => {
                let message = self.compose(MessageKind::Probe, &contact.router);
                let timeout = self.timing.probe_timeout;
                let call = Call { call: 0, to: contact.clone(), message, timeout };
                return Answer::Forward(Box::new(call));
            }
            MessageKind::Sync(digests) => {
                let records = self.table.differing(digests, SYNC_RECORDS);
                let kind = MessageKind::Records(self.table.digests().to_vec());
                let mut reply = self.compose(kind, &sender.router);
                reply.updates = records;
                reply.upstreams.extend(self.differing_marks(message, digests));
                reply
            }
            _ => self.compose(MessageKind::Ack(known), &sender.router),
        };
        reply.updates.extend(former);
        Answer::Reply(Box::new(reply))
    }

    /// Takes the outcome of a forwarded call and returns the answer to the router that asked.
    pub fn on_forwarded(
        &mut self,
        now: Duration,
        asker: &Name,
        outcome: Option<Message>,
    ) -> Message {
        match outcome {
            Some(message) => {
                self.learn(now, &message);
                self.settle(now);
                message
            }
            None => self.compose(MessageKind::Unreached, asker),
        }
    }

    /// Takes the answer to a call; an answer to a call that was given up is read as news only.
    pub fn on_answer(&mut self, now: Duration, call: CallId, message: &Message) {
        let doubted = self.doubts_me(message);
        self.learn(now, message);
        self.prober.close_round(&message.sender.router);
        self.settle(now);
        let Some(pending) = self.prober.end(call) else { return };
        let direct = pending.callee == message.sender.router;
        match &message.kind {
            MessageKind::Ack(known) => {
                if direct && *known && !doubted {
                    self.standing.prove(pending.started);
                }
                if direct && (!*known || !self.synced) {
                    self.start_sync(now, &message.sender.router);
                }
            }
            MessageKind::Records(digests) => {
                if !doubted {
                    self.standing.prove(pending.started);
                }
                self.take_records(now, message, digests);
            }
            _ => {}
        }
        self.settle(now);
    }

    /// Takes the failure of a call.
    pub fn on_failure(&mut self, call: CallId) {
        let Some(pending) = self.prober.end(call) else { return };
        if pending.cause == Cause::Probe
            && let Some(round) = self.prober.round_mut(&pending.target)
        {
            round.direct_failed = true;
        }
    }

    /// Takes what real traffic told: an answer replaces a probe, a failure hastens one.
    pub fn on_evidence(&mut self, now: Duration, router: &Name, evidence: Evidence) {
        match evidence {
            Evidence::Answered => {
                self.prober.close_round(router);
                self.note_heard(now, router);
            }
            Evidence::Failed if !self.urgent.contains(router) => {
                self.urgent.push_back(router.clone());
            }
            Evidence::Failed => {}
        }
    }

    /// Begins a planned stop: this router owns nothing from now on, and tells the fleet.
    pub fn leave(&mut self, now: Duration) {
        let record = Record { leaving: true, ..self.own() };
        self.notices = self.others();
        self.state(now, record);
        self.settle(now);
    }

    pub(super) fn own(&self) -> Record {
        self.table.get(&self.me).map_or(Record::starting(0), |member| member.record)
    }

    /// Changes this router's own record and spreads it.
    pub(super) fn state(&mut self, now: Duration, record: Record) {
        let Some(member) = self.table.get(&self.me) else { return };
        let mut own = full_update(&self.me, member);
        own.record = record;
        self.table.merge(now, &own);
        // Peers that know this incarnation know where it is.
        if record.revision > 0 || record.leaving {
            own.details = None;
        }
        self.rumours.add(self.me.clone(), own);
        self.urgent_news = true;
    }

    /// Returns the other routers that are not dead.
    pub(super) fn others(&self) -> Vec<Name> {
        let live = self.table.iter().filter(|(_, member)| member.record.liveness != Liveness::Dead);
        live.map(|(router, _)| router.clone()).filter(|router| *router != self.me).collect()
    }

    pub(super) fn alone_wait(&self) -> Duration {
        let known = self.table.live() + self.table.lost();
        self.timing.alone_wait(known.max(self.contacts.len() + 1))
    }

    /// Publishes what changed.
    pub(super) fn settle(&mut self, now: Duration) {
        self.table.set_alone(self.standing.is_alone());
        let lost = self.table.lost();
        if let Some(view) = self.table.refresh() {
            self.split_seen |= lost == 0 && self.table.lost() > 0;
            self.view = Arc::new(view);
            self.actions.retain(|action| !matches!(action, Action::ViewChanged(_)));
            self.actions.push(Action::ViewChanged(self.view.clone()));
        }
        let confirmed = self.standing(now) == Standing::Confirmed;
        if confirmed && !self.was_confirmed {
            self.owner_since = now;
        }
        self.was_confirmed = confirmed;
    }

    /// Returns how often news ride on messages.
    pub(super) fn repeats(&self) -> u32 {
        REPEAT_FACTOR * rounds(self.table.live())
    }

    /// Makes a message to a router, with what it should know first and then the freshest news.
    pub(super) fn compose(&mut self, kind: MessageKind, to: &Name) -> Message {
        let repeats = self.repeats();
        let mut updates = Vec::new();
        match self.table.get(to) {
            // The receiver must hear what is said of it, so that it can deny it.
            Some(member) if member.record.liveness >= Liveness::Suspect => {
                updates.push(full_update(to, member));
            }
            Some(_) => {}
            // A router that is not known may not know this one either.
            None => updates.extend(self.own_update()),
        }
        updates.extend(self.rumours.take(MAX_UPDATES - updates.len(), repeats));
        Message {
            kind,
            sender: Update { router: self.me.clone(), record: self.own(), details: None },
            digest: self.digest(),
            updates,
            upstreams: self.upstreams.take_news(repeats),
        }
    }

    pub(super) fn own_update(&self) -> Option<Update> {
        self.table.get(&self.me).map(|member| full_update(&self.me, member))
    }

    /// Starts a call to a router.
    pub(super) fn call(
        &mut self,
        now: Duration,
        to: Contact,
        target: &Name,
        cause: Cause,
        message: Message,
    ) {
        let timeout = match cause {
            Cause::Probe | Cause::Push => self.timing.probe_timeout,
            Cause::Relay => 2 * self.timing.probe_timeout,
            Cause::Sync => 4 * self.timing.probe_timeout,
        };
        let callee = to.router.clone();
        let deadline = now + timeout;
        let pending = Pending { cause, callee, target: target.clone(), started: now, deadline };
        let call = self.prober.start(pending);
        self.actions.push(Action::Call(Box::new(Call { call, to, message, timeout })));
    }

    pub(super) fn contact(&self, router: &Name) -> Option<Contact> {
        let Some(member) = self.table.get(router) else {
            return self.contacts.get(router).cloned();
        };
        Some(Contact { router: router.clone(), address: member.details.address })
    }
}
