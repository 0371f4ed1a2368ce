//! Drives the counting of use: sends what is due, and hands over what comes back.

use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::budget::{BudgetAsk, BudgetGrant, BudgetStep};
use teaselworks_policy::usage::{Call, Period, Slot, SlotStep, WriteOutcome};
use teaselworks_wire::codec;
use tokio::sync::Semaphore;
use tokio::time::{self, MissedTickBehavior};

use super::budgets::Budgets;
use super::message::{UsageMessage, UsageReply};
use super::service::UsageService;
use crate::event;
use crate::kernel::{Shutdown, ShutdownPhase};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(250);

/// Ticks between two looks for budgets that are held idle.
const GIVE_BACK_ROUNDS: u64 = 40;

/// Time for another router's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Platform calls of the counting of use that may be on their way at once.
const PLATFORM_CALLS: usize = 4;

/// Longest wait of a planned stop for the platform to take budgets back.
const BUDGET_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest wait of a planned stop for the last copies.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs until the process stops.
pub(super) async fn run(service: Arc<UsageService>, shutdown: Shutdown) {
    let platform_calls = Arc::new(Semaphore::new(PLATFORM_CALLS));
    let mut ticks = time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for round in 0_u64.. {
        tokio::select! {
            () = shutdown.reached(ShutdownPhase::Stopped) => return,
            _ = ticks.tick() => {}
            () = service.hurried() => {}
            () = service.budgets().wanted() => {}
        }
        tick(&service, &platform_calls);
        if round % GIVE_BACK_ROUNDS == 0 || service.is_stopping() {
            give_back(&service);
        }
    }
}

/// Copies what is held to another router before a planned stop ends the process, and gives budgets
/// back.
pub(super) async fn hand_over(service: &Arc<UsageService>) {
    service.begin_stop();
    if !until(service, HAND_OVER_TIMEOUT, || service.may_end()).await {
        let (charges, _) = service.held_charges();
        event::USE_NOT_HANDED_OVER.log(format_args!("attempts={charges}"));
    }
    // Budgets that the platform does not take back are lost for their period, no more.
    until(service, BUDGET_TIMEOUT, || service.budgets().is_empty()).await;
}

/// Ticks until something holds; returns whether it came to.
async fn until(service: &UsageService, timeout: Duration, holds: impl Fn() -> bool) -> bool {
    let deadline = time::Instant::now() + timeout;
    while !holds() {
        if time::Instant::now() >= deadline {
            return false;
        }
        service.hurry();
        time::sleep(TICK / 10).await;
    }
    true
}

fn tick(service: &Arc<UsageService>, platform_calls: &Arc<Semaphore>) {
    let due = service.due();
    for call in due.calls {
        tokio::spawn(send(service.clone(), call));
    }
    for (slot, step) in due.steps {
        tokio::spawn(ask_platform(service.clone(), platform_calls.clone(), slot, step));
    }
    for (shard, step) in due.budget_steps {
        tokio::spawn(ask_for_budget(service.clone(), shard, step));
    }
}

/// Gives back what was granted and not used for a while.
fn give_back(service: &Arc<UsageService>) {
    for ask in service.budgets().give_back(service.is_stopping()) {
        let service = service.clone();
        tokio::spawn(async move { ask_owner(&service, &ask).await });
    }
}

/// Asks the owner of a workspace's budget.
pub(super) async fn ask_owner(service: &Arc<UsageService>, ask: &BudgetAsk) -> BudgetGrant {
    let shard = Budgets::shard_of(&ask.workspace);
    let fleet = (service.parts().fleet)();
    let Some(owner) = fleet.owner_of(Slot { period: Period::default(), shard }) else {
        return BudgetGrant::Unavailable;
    };
    if *owner == service.parts().source.router {
        return service.budgets().serve(ask).await;
    }
    let Ok(message) = codec::encode(&UsageMessage::Budget(ask.clone())) else {
        return BudgetGrant::Unavailable;
    };
    let reply = (service.parts().call)(owner.clone(), message, CALL_TIMEOUT).await;
    match reply.and_then(|bytes| codec::decode(&bytes).ok()) {
        Some(UsageReply::Budget(grant)) => grant,
        _ => BudgetGrant::Unavailable,
    }
}

async fn ask_for_budget(service: Arc<UsageService>, shard: u8, step: BudgetStep) {
    match step {
        BudgetStep::Read => {
            let reading = (service.parts().budgets.read)(shard).await;
            service.budgets().read_done(shard, reading);
        }
        BudgetStep::Write(write) => {
            let outcome = (service.parts().budgets.write)(shard, write).await;
            service.budgets().write_done(shard, outcome);
        }
    }
}

async fn send(service: Arc<UsageService>, call: Call) {
    if call.to == service.parts().source.router {
        let answer = service.serve(call.request.clone());
        service.answered(call, Some(answer));
        return;
    }
    let request = call.request.clone().without(&service.parts().source.router);
    let answer = match codec::encode(&UsageMessage::Use(request)) {
        Ok(bytes) => (service.parts().call)(call.to.clone(), bytes, CALL_TIMEOUT).await,
        Err(_) => None,
    };
    // An answer that cannot be read counts as none.
    let answer = match answer.and_then(|bytes| codec::decode(&bytes).ok()) {
        Some(UsageReply::Use(answer)) => Some(answer),
        _ => None,
    };
    service.answered(call, answer);
}

async fn ask_platform(
    service: Arc<UsageService>,
    platform_calls: Arc<Semaphore>,
    slot: Slot,
    step: SlotStep,
) {
    let Ok(_permit) = platform_calls.acquire().await else {
        return;
    };
    match step {
        SlotStep::Read => {
            let reading = (service.parts().slots.read)(slot).await;
            service.read_done(slot, reading);
        }
        SlotStep::Write(write) => {
            let outcome = (service.parts().slots.write)(slot, write).await;
            service.count_write(&outcome);
            service.write_done(slot, outcome);
        }
    }
}

/// Returns the name of a write's outcome in metrics.
pub(super) fn outcome_name(outcome: &WriteOutcome) -> &'static str {
    match outcome {
        WriteOutcome::Written(_) => "written",
        WriteOutcome::Conflict(_) => "conflict",
        WriteOutcome::NotWritten => "not_written",
        WriteOutcome::Unknown => "unknown",
    }
}
