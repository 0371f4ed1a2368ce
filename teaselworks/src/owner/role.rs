//! Keeps chats from engines of another role, and engines free of work while their role changes.

use std::collections::HashMap;
use std::io::Cursor;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use futures_util::{StreamExt, stream};
use serde::{Deserialize, Serialize};
use teaselworks_config::configuration::Upstream;
use teaselworks_policy::membership::Duty;
use teaselworks_policy::name::Name;
use teaselworks_policy::orders::{RELEASE_TIME, Release};
use teaselworks_policy::verdict::{Refusal, RefusalReason};
use teaselworks_wire::message::{Open, Purpose, ReplyRefusal, Target};

use super::service::{Owner, refuse};
use crate::event;
use crate::kernel::{Shutdown, ShutdownPhase};
use crate::metrics::Direction;

/// Time between looks at what is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time that a role once read is taken for the one in force: engines that restart lose it.
const LONGEST_AGE: Duration = Duration::from_secs(5);
/// Age at which a role is read anew, in time for some readings that fail.
const STEADY_AGE: Duration = Duration::from_secs(3);
/// Engines asked at once for operators.
const CALLS_AT_ONCE: usize = 32;
/// When a caller may return to an engine of another role, in milliseconds.
const RETURN_AFTER_MS: u64 = 250;

/// Asks an owner to give an engine no new work, since its role is to change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReleaseMessage {
    /// Engine.
    pub engine: Name,
    /// Role that it is to have.
    pub role: Name,
}

/// What an owner answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReleaseAnswer {
    /// Attempts still running at the engine; `None` where the owner promised nothing.
    pub attempts: Option<u64>,
}

/// Time in which an engine gets no new work.
#[derive(Clone, Debug)]
struct Hold {
    /// Role that ends it early.
    role: Name,
    until: Duration,
}

/// What this owner knows of the role of one engine.
#[derive(Clone, Debug, Default)]
struct Known {
    role: Option<Name>,
    /// When the last reading that was answered began.
    read_at: Option<Duration>,
    hold: Option<Hold>,
    /// Tells apart the times for which this router owned the engine.
    exclusive_from: Duration,
}

impl Known {
    fn is_held(&self, now: Duration) -> bool {
        self.hold.as_ref().is_some_and(|hold| now < hold.until)
    }

    /// Tells whether the role read last is surely the one in force still.
    ///
    /// During a hold the role may have changed; read before its end, it proves nothing.
    fn is_fresh(&self, now: Duration) -> bool {
        let Some(read_at) = self.read_at else {
            return false;
        };
        let since_hold = self.hold.as_ref().is_none_or(|hold| read_at >= hold.until);
        since_hold && now < read_at + LONGEST_AGE
    }

    fn is_due(&self, now: Duration, wanted: &Name) -> bool {
        let settled = self.role.as_ref() == Some(wanted) && self.hold.is_none();
        !settled || !self.is_fresh(now + LONGEST_AGE - STEADY_AGE)
    }
}

/// Roles of the engines that this router owns.
#[derive(Debug, Default)]
pub(super) struct Roles(Mutex<HashMap<Name, Known>>);

impl Roles {
    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Known>> {
        self.0.lock().expect("role lock is never poisoned")
    }
}

impl Owner {
    /// Follows the roles of owned engines until the process stops.
    pub fn start_roles(self: &Arc<Self>, shutdown: Shutdown) {
        let owner = self.clone();
        tokio::spawn(async move {
            loop {
                owner.look_at_roles().await;
                tokio::select! {
                    () = shutdown.reached(ShutdownPhase::Stopped) => return,
                    () = tokio::time::sleep(LOOK_INTERVAL) => {}
                }
            }
        });
    }

    /// Answers another router's question for the release of an engine; `None` when unreadable.
    pub fn answer_release(&self, message: &[u8]) -> Option<Bytes> {
        let asked: ReleaseMessage = ciborium::from_reader(Cursor::new(message)).ok()?;
        let release = Release { engine: asked.engine, role: asked.role };
        let answer = ReleaseAnswer { attempts: self.release(&release) };
        let mut bytes = Vec::new();
        ciborium::into_writer(&answer, &mut bytes).expect("writing to memory cannot fail");
        Some(bytes.into())
    }

    /// Gives an engine no new work for [`RELEASE_TIME`]; returns the attempts that it still has.
    ///
    /// `None`: this router cannot promise it, since another one may act for the engine too.
    pub fn release(&self, release: &Release) -> Option<u64> {
        let now = self.parts.clock.monotonic();
        let Duty::Mine { exclusive_from, .. } = self.parts.fleet.duty(&release.engine) else {
            return None;
        };
        if now < exclusive_from {
            return None;
        }
        {
            let mut roles = self.roles.lock();
            let known = roles.entry(release.engine.clone()).or_default();
            // The change is done: held all the same, the engine would serve nobody for a while.
            if known.role.as_ref() == Some(&release.role) && !known.is_held(now) {
                return None;
            }
            if known.hold.as_ref().is_none_or(|hold| hold.role != release.role) {
                let Release { engine, role } = release;
                event::ENGINE_RELEASED.log(format_args!("engine={engine} role={role}"));
            }
            known.hold = Some(Hold { role: release.role.clone(), until: now + RELEASE_TIME });
        }
        // Counted only now: an attempt that was let in meanwhile either counts or sees the hold.
        let Some(replica) = self.known(&release.engine) else {
            return Some(0);
        };
        replica.turn_away(now, &other_role());
        Some(replica.attempts() as u64)
    }

    /// Asks every engine that is to have a role for the one in force, for operators to see.
    ///
    /// What this router heard may be old: it follows the engines that it owns alone.
    pub async fn roles_in_force(&self) -> HashMap<Name, Name> {
        let numbered = self.numbered();
        let mut asked = Vec::new();
        for (name, upstream) in &numbered.configuration.upstreams {
            if upstream.role.is_empty() {
                continue;
            }
            let (engines, name, url) =
                (self.parts.engines.clone(), name.clone(), upstream.url.clone());
            asked.push(async move {
                let report = engines.role_report(&url).await.ok()?;
                Some((name, report.role?))
            });
        }
        let asked = stream::iter(asked).buffer_unordered(CALLS_AT_ONCE);
        asked.filter_map(std::future::ready).collect().await
    }

    /// Checks that an engine is in the role that a chat asks for.
    pub(super) async fn check_role(
        &self,
        open: &Open,
        upstream: &Upstream,
        exclusive_from: Duration,
    ) -> Result<(), ReplyRefusal> {
        let Some(wanted) = self.wanted_role(open) else {
            return Ok(());
        };
        if wanted.is_empty() && upstream.role.is_empty() {
            return Ok(());
        }
        if wanted.is_empty() || upstream.role.is_empty() {
            return Err(refuse(other_role()));
        }
        if !self.is_role_fresh(&open.replica, exclusive_from) {
            self.read_role(&open.replica, upstream, exclusive_from).await;
        }
        self.check_role_again(open, upstream)
    }

    /// Checks the role once more, after the attempt was counted and had its turn.
    ///
    /// Between check and count the engine may have been released, and during a wait or a pause of
    /// this VM its role may have changed: the chat would be cut, or run in the new role.
    pub(super) fn check_role_again(
        &self,
        open: &Open,
        upstream: &Upstream,
    ) -> Result<(), ReplyRefusal> {
        let Some(wanted) = self.wanted_role(open) else {
            return Ok(());
        };
        if wanted.is_empty() && upstream.role.is_empty() {
            return Ok(());
        }
        let now = self.parts.clock.monotonic();
        let in_role = self.roles.lock().get(&open.replica).is_some_and(|known| {
            known.is_fresh(now) && !known.is_held(now) && known.role.as_ref() == Some(&wanted)
        });
        if in_role { Ok(()) } else { Err(refuse(other_role())) }
    }

    /// Returns the role that a chat asks for, empty for none; `None` for a call.
    fn wanted_role(&self, open: &Open) -> Option<Name> {
        let Target::Chat(chat) = &open.target else {
            return None;
        };
        Some(self.numbered().configuration.role_of_chats(&open.workspace, &chat.model))
    }

    fn is_role_fresh(&self, engine: &Name, exclusive_from: Duration) -> bool {
        let now = self.parts.clock.monotonic();
        self.roles.lock().get(engine).is_some_and(|known| {
            known.exclusive_from == exclusive_from && (known.is_held(now) || known.is_fresh(now))
        })
    }

    async fn look_at_roles(&self) {
        let numbered = self.numbered();
        let now = self.parts.clock.monotonic();
        let mut due = Vec::new();
        for (name, upstream) in &numbered.configuration.upstreams {
            if upstream.role.is_empty() {
                self.roles.lock().remove(name);
                continue;
            }
            let Duty::Mine { exclusive_from, .. } = self.parts.fleet.duty(name) else {
                self.roles.lock().remove(name);
                continue;
            };
            let known = self.roles.lock().get(name).cloned().unwrap_or_default();
            if known.exclusive_from != exclusive_from || known.is_due(now, &upstream.role) {
                due.push(self.read_role(name, upstream, exclusive_from));
            }
        }
        join_all(due).await;
    }

    /// Reads an engine's role; without an answer it is unknown.
    async fn read_role(&self, engine: &Name, upstream: &Upstream, exclusive_from: Duration) {
        let began_at = self.parts.clock.monotonic();
        let report = self.parts.engines.role_report(&upstream.url).await.ok();
        let now = self.parts.clock.monotonic();
        if let Some(report) = &report {
            let size_bytes = report.size_bytes;
            self.parts.metrics.add_control_bytes(Purpose::Upstream, Direction::In, size_bytes);
        }
        let mut roles = self.roles.lock();
        let known = roles.entry(engine.clone()).or_default();
        let is_new = known.exclusive_from != exclusive_from;
        if is_new {
            let hold = known.hold.take();
            *known = Known { hold, exclusive_from, ..Known::default() };
        }
        // Without an answer what was read before holds for as long as any reading does.
        if let Some(report) = report {
            if known.role != report.role {
                let shown = report.role.as_deref().unwrap_or_default();
                event::ROLE_CHANGED.log(format_args!("engine={engine} role={shown}"));
            }
            (known.role, known.read_at) = (report.role, Some(began_at));
        }
        // A former owner may have promised the engine's release, of which this one knows nothing:
        // work let in now would be cut by the order that follows the promise.
        if is_new && known.role.as_ref() != Some(&upstream.role) {
            let until = now.max(exclusive_from) + RELEASE_TIME;
            known.hold = Some(Hold { role: upstream.role.clone(), until });
        }
        let role = known.role.clone();
        let ended = known.hold.as_ref().is_some_and(|hold| {
            began_at >= hold.until
                || known.read_at == Some(began_at) && role.as_ref() == Some(&hold.role)
        });
        if ended {
            known.hold = None;
        }
        drop(roles);
        self.parts.placement.set_role(engine, role);
    }
}

fn other_role() -> Refusal {
    let detail = "The engine is in another role, or its role changes.";
    Refusal::not_run(RefusalReason::OtherRole, Some(RETURN_AFTER_MS), detail)
}
