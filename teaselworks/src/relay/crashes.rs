//! Exchanges with other routers which parts of prompts crash replicas.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::crash::{CrashAction, CrashReport};

use super::Shared;
use super::part_change::PartChange;
use crate::datagram::{CrashRow, Message};
use crate::event;

/// Time between two evaluations of the crash reports. Most suspicions end within it, since answers
/// are written on the same parts.
const TICK: Duration = Duration::from_millis(100);
/// Maximum number of crash reports in a datagram.
const MAX_REPORTS: usize = 30;

impl Shared {
    /// Carries out what crashes call for, until the process ends.
    pub async fn exchange_crashes(&self) {
        loop {
            self.crash_noticed.notified().await;
            while self.fleet().crashes.is_active() {
                tokio::time::sleep(TICK).await;
                let actions = self.fleet().crashes.tick(self.now());
                actions.into_iter().for_each(|action| self.carry_out(action));
            }
        }
    }

    fn carry_out(&self, action: CrashAction) {
        let now = self.now();
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u32;
        match action {
            CrashAction::Report(reports) => self.send_reports(&reports, now),
            CrashAction::Suspect { part, first_at } => {
                let first_age_ms = age_ms(first_at);
                self.metrics.add_suspected_part();
                self.send_to_all(&Message::PartSuspected { part, first_age_ms });
                event::PART_SUSPECTED.log(&[
                    event::text("part", &format_args!("{part:x}")),
                    event::number("first_age_ms", first_age_ms.into()),
                ]);
            }
            CrashAction::Prove { part, began_at } => {
                let began_age_ms = age_ms(began_at);
                let holders = self.fleet().membership.holders(part);
                self.datagrams.send(&Message::PartProven { part, began_age_ms }, &holders);
                event::PART_PROVEN.log(&[
                    event::text("part", &format_args!("{part:x}")),
                    event::number("began_age_ms", began_age_ms.into()),
                ]);
            }
            CrashAction::Block { part, crashes, first_at } => {
                log_blocked(part, crashes.len(), "crashes");
                self.metrics.add_blocked_parts(1);
                let first_age_ms = age_ms(first_at);
                self.send_to_all(&Message::PartBlocked { part, crashes, first_age_ms });
                self.store_part_change(PartChange::Blocked(part));
            }
            CrashAction::Release { part } => {
                log_released(part, "answer");
                self.metrics.add_blocked_parts(-1);
                self.send_to_all(&Message::PartReleased { part });
                self.store_part_change(PartChange::Released(part));
            }
        }
    }

    /// Sends each report to the holders of its part.
    fn send_reports(&self, reports: &[CrashReport], now: Duration) {
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u32;
        let mut rows_by_holder: HashMap<SocketAddr, Vec<CrashRow>> = HashMap::new();
        for report in reports {
            let CrashReport { part, incarnation, sent_at, crashed_at, is_proven } = *report;
            let row = (part, incarnation, age_ms(sent_at), age_ms(crashed_at), is_proven);
            for holder in self.fleet().membership.holders(part) {
                rows_by_holder.entry(holder).or_default().push(row);
            }
        }
        for (holder, rows) in rows_by_holder {
            for rows in rows.chunks(MAX_REPORTS) {
                self.datagrams.send(&Message::PartCrashes(rows.to_vec()), &[holder]);
            }
        }
    }

    fn send_to_all(&self, message: &Message) {
        let addresses = self.fleet().membership.listed_addresses();
        self.datagrams.send(message, &addresses);
    }

    fn store_part_change(&self, change: PartChange) {
        // Where more changes wait than the channel can buffer, the other routers still have the
        // datagram.
        let _ = self.part_changes.try_send(change);
    }

    /// Records that a replica broke off a request before it had written an answer for a while.
    pub(super) fn on_crashed(&self, parts: &Arc<[u64]>, incarnation: u64, sent_at: Duration) {
        let now = self.now();
        self.fleet().crashes.on_crashed(now, parts, incarnation, sent_at);
        self.crash_noticed.notify_one();
    }

    /// Records that an answer has been written for a while, or is complete.
    pub(super) fn on_written(&self, parts: &Arc<[u64]>, began_at: Duration) {
        let now = self.now();
        let is_active = {
            let mut fleet = self.fleet();
            fleet.crashes.on_written(now, parts, began_at);
            fleet.crashes.is_active()
        };
        if is_active {
            self.crash_noticed.notify_one();
        }
    }

    /// Handles a message of another router about parts of prompts.
    pub(super) fn on_part_message(&self, message: Message) {
        let now = self.now();
        let at = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        let mut fleet = self.fleet();
        let crashes = &mut fleet.crashes;
        match message {
            Message::PartCrashes(rows) => {
                for (part, incarnation, sent_age_ms, crashed_age_ms, is_proven) in rows {
                    let (sent_at, crashed_at) = (at(sent_age_ms), at(crashed_age_ms));
                    let report = CrashReport { part, incarnation, sent_at, crashed_at, is_proven };
                    crashes.on_report(now, &report);
                }
            }
            Message::PartSuspected { part, first_age_ms } => {
                crashes.on_suspected(now, part, at(first_age_ms));
            }
            Message::PartProven { part, began_age_ms } => {
                crashes.on_proven(now, part, at(began_age_ms));
            }
            Message::PartBlocked { part, crashes: incarnations, first_age_ms } => {
                let is_new = !crashes.blocked.contains(now, part);
                crashes.on_blocked(now, part, &incarnations, at(first_age_ms));
                if is_new {
                    self.metrics.add_blocked_parts(1);
                    log_blocked(part, incarnations.len(), "router");
                }
            }
            Message::PartReleased { part } => {
                if crashes.blocked.release(part) {
                    self.metrics.add_blocked_parts(-1);
                    log_released(part, "router");
                }
            }
            Message::StreamBegan { .. }
            | Message::StreamQuery { .. }
            | Message::StreamAnswer { .. }
            | Message::RequestEnds { .. }
            | Message::RequestAnswered { .. }
            | Message::Load(_) => {}
        }
        drop(fleet);
        self.crash_noticed.notify_one();
    }

    /// Records that the store lists a blocked part, or no longer does.
    pub fn on_listed_part(&self, part: u64, is_listed: bool) {
        let now = self.now();
        let mut fleet = self.fleet();
        let blocked = &mut fleet.crashes.blocked;
        if is_listed && blocked.on_listed(now, part) {
            self.metrics.add_blocked_parts(1);
            log_blocked(part, 0, "store");
        } else if !is_listed && blocked.on_unlisted(now, part) {
            self.metrics.add_blocked_parts(-1);
            log_released(part, "store");
        }
    }

    /// Replaces the blocked parts that the store lists.
    pub fn replace_listed_parts(&self, parts: &[u64]) {
        let now = self.now();
        let (blocked, released) = self.fleet().crashes.blocked.replace_listed(now, parts);
        self.metrics.add_blocked_parts(blocked.len() as i64 - released.len() as i64);
        blocked.into_iter().for_each(|part| log_blocked(part, 0, "store"));
        released.into_iter().for_each(|part| log_released(part, "store"));
    }
}

fn log_blocked(part: u64, crashes: usize, source: &str) {
    event::PART_BLOCKED.log(&[
        event::text("part", &format_args!("{part:x}")),
        event::number("crashes", crashes as u64),
        event::text("source", &source),
    ]);
}

fn log_released(part: u64, source: &str) {
    let part = format!("{part:x}");
    event::PART_RELEASED.log(&[event::text("part", &part), event::text("source", &source)]);
}
