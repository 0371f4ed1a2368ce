//! Asks the owner of a workspace for allowance, and gives back what comes too late.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use teaselworks_policy::admission::loan::{Ask, CALL_VALIDITY, Grant};
use teaselworks_policy::name::Name;
use tokio::sync::oneshot;

use super::message::{Message, decode, encode};
use super::meters::AskOutcome;
use super::service::LimitsService;

/// Longest time that a request waits for the owner of its workspace.
const PATIENCE: Duration = Duration::from_millis(500);
/// Time after which an answer of an owner is given up for good.
///
/// Longer than a request waits, so that what was lent to a request that went on is given back and
/// not held until the request's deadline.
pub const CALL_TIMEOUT: Duration = CALL_VALIDITY;
/// Time for which an owner that did not answer is not asked again.
const UNANSWERED_PAUSE: Duration = Duration::from_secs(1);

/// Owners that did not answer, and until when they are not asked.
///
/// Without it every request of the workspaces of an owner that is silent waits as long as the
/// first one did.
#[derive(Debug, Default)]
pub struct Unanswered {
    until: Mutex<HashMap<Name, Duration>>,
}

impl Unanswered {
    /// Tells whether an owner may be asked.
    pub fn may_ask(&self, now: Duration, owner: &Name) -> bool {
        self.lock().get(owner).is_none_or(|until| *until <= now)
    }

    /// Notes whether an owner answered.
    fn note(&self, now: Duration, owner: Name, answered: bool) {
        let mut until = self.lock();
        until.retain(|_, until| *until > now);
        if !answered {
            until.insert(owner, now + UNANSWERED_PAUSE);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Duration>> {
        self.until.lock().expect("lock of unanswered owners is never poisoned")
    }
}

/// A request that waits for its owner's answer.
///
/// A request's caller may go away at any moment. A slot that was lent to it then would be lost
/// until its deadline, and with a few such callers the whole limit; so an answer that nobody takes
/// is given back, whether it comes before the request goes or after.
struct Waiting {
    service: Arc<LimitsService>,
    owner: Name,
    workspace: Name,
    answer: oneshot::Receiver<Grant>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        // From here on the sender keeps an answer and gives it back itself.
        self.answer.close();
        if let Ok(grant) = self.answer.try_recv() {
            self.service.give_back(self.owner.clone(), &self.workspace, &grant);
        }
    }
}

impl LimitsService {
    /// Asks the owner of a workspace; `None` when it does not answer in time.
    pub(super) async fn ask(
        self: &Arc<Self>,
        owner: Name,
        ask: Ask,
        deadline_left: Duration,
    ) -> Option<Grant> {
        if owner == self.parts.router {
            return self.lend(&ask);
        }
        let (sender, answer) = oneshot::channel();
        let workspace = ask.workspace.clone();
        let service = self.clone();
        let mut waiting = Waiting { service, owner: owner.clone(), workspace, answer };
        tokio::spawn(self.clone().call(owner.clone(), ask, sender));
        let patience = PATIENCE.min(deadline_left);
        let grant = tokio::time::timeout(patience, &mut waiting.answer).await;
        let grant = grant.ok().and_then(Result::ok);
        self.unanswered.note(self.now(), owner, grant.is_some());
        grant
    }

    async fn call(self: Arc<Self>, owner: Name, ask: Ask, waiting: oneshot::Sender<Grant>) {
        let workspace = ask.workspace.clone();
        let message = encode(&Message::Ask(ask));
        let answer = (self.parts.call)(owner.clone(), message, CALL_TIMEOUT).await;
        let Some(grant) = answer.and_then(|answer| decode::<Grant>(&answer)) else {
            return self.meters.add_ask(AskOutcome::Unanswered);
        };
        let outcome = match grant {
            Grant::Lent { .. } => AskOutcome::Lent,
            Grant::Leased { .. } => AskOutcome::Leased,
            Grant::Denied { .. } => AskOutcome::Denied,
        };
        self.meters.add_ask(outcome);
        if let Err(grant) = waiting.send(grant) {
            self.give_back(owner, &workspace, &grant);
        }
    }

    fn give_back(self: &Arc<Self>, owner: Name, workspace: &Name, grant: &Grant) {
        self.meters.add_ask(AskOutcome::Late);
        let settlement = self.limiter().discard(self.now(), workspace, grant);
        if let Some(settlement) = settlement {
            self.tell(Some(owner), settlement);
        }
    }
}
