//! The service of limits against another one, whose answers the test holds back.

use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use bytes::Bytes;
use serde_json::json;
use teaselworks::kernel::Shutdown;
use teaselworks::limits::{HeldPermit, LimitsParts, LimitsService};
use teaselworks::metrics::Metrics;
use teaselworks_config::configuration::{NumberedConfiguration, WorkspaceLimits};
use teaselworks_policy::admission::limits::Work;
use teaselworks_policy::clock::SystemClock;
use teaselworks_policy::membership::{Place, RouterInfo, RouterState, View, owner_of};
use teaselworks_policy::name::Name;
use teaselworks_policy::verdict::{Refusal, RefusalReason};
use teaselworks_standin::fleet::until;
use tokio::sync::Semaphore;

const WORKSPACE: &str = "archive";
const WORK: Work = Work { tokens: 1, deadline_left: Duration::from_secs(600) };

/// Two routers, one of which owns the workspace, and the way between them.
struct Pair {
    owner: Arc<LimitsService>,
    other: Arc<LimitsService>,
    views: Arc<RwLock<Arc<View>>>,
    limits: WorkspaceLimits,
    /// A permit for each answer that may pass.
    gate: Arc<Semaphore>,
    asked: Arc<Mutex<Vec<Bytes>>>,
}

fn view(names: &[&str]) -> Arc<View> {
    let routers = names.iter().map(|name| RouterInfo {
        name: (*name).into(),
        incarnation: 1,
        address: "127.0.0.1:1".parse().unwrap(),
        place: Place { region: "".into(), zone: "".into() },
        state: RouterState::Alive,
    });
    Arc::new(View::new(1, routers.collect()))
}

impl Pair {
    fn new(limits: serde_json::Value) -> Self {
        let configuration = json!({ "workspaces": { WORKSPACE: { "limits": limits } } });
        let numbered = Arc::new(NumberedConfiguration {
            version: 1,
            configuration: serde_json::from_value(configuration).unwrap(),
        });
        let first = view(&["a", "b"]);
        let owner = owner_of(&first, WORKSPACE, None).unwrap().name.clone();
        let other: Name = if &*owner == "a" { "b".into() } else { "a".into() };
        let views = Arc::new(RwLock::new(first));
        let (gate, asked) = (Arc::new(Semaphore::new(0)), Arc::new(Mutex::new(Vec::new())));
        let parts = |router: &Name, peer: Option<Arc<LimitsService>>| {
            let (views, numbered) = (views.clone(), numbered.clone());
            let (gate, asked) = (gate.clone(), asked.clone());
            LimitsParts {
                router: router.clone(),
                view: Arc::new(move || views.read().unwrap().clone()),
                configuration: Arc::new(move || numbered.clone()),
                call: Arc::new(move |_, message, _| {
                    let (peer, gate) = (peer.clone(), gate.clone());
                    asked.lock().unwrap().push(message.clone());
                    Box::pin(async move {
                        let answer = peer?.handle(&message);
                        gate.acquire().await.unwrap().forget();
                        answer
                    })
                }),
                clock: Arc::new(SystemClock::new()),
                metrics: Arc::new(Metrics::new()),
                seed: 7,
            }
        };
        let owner = LimitsService::new(parts(&owner, None));
        let other = LimitsService::new(parts(&other, Some(owner.clone())));
        let limits = numbered.configuration.workspaces[WORKSPACE].limits.clone();
        Self { owner, other, views, limits, gate, asked }
    }

    async fn take(&self, at: &Arc<LimitsService>) -> Result<HeldPermit, Refusal> {
        at.take(&WORKSPACE.into(), &self.limits, WORK).await
    }

    fn asks(&self) -> usize {
        self.asked.lock().unwrap().len()
    }
}

/// Symptom: a workspace is refused for minutes although nothing of it is in progress.
/// Sequence: a slot is lent to a request whose caller goes away, or which has stopped waiting,
/// before the owner's answer arrives.
/// Cause: nobody takes the answer, and the slot is lent until the request's deadline.
#[tokio::test]
async fn a_slot_lent_to_a_request_that_is_gone_is_given_back() {
    let pair = Arc::new(Pair::new(json!({ "concurrent_requests": 1 })));
    let taking = tokio::spawn({
        let pair = pair.clone();
        async move { pair.take(&pair.other).await.map(drop) }
    });
    until("the owner is asked", async || pair.asks() == 1).await;
    taking.abort();
    assert_eq!(pair.take(&pair.owner).await.unwrap_err().reason, RefusalReason::Concurrency);
    pair.gate.add_permits(2);
    until("the slot is back", async || pair.take(&pair.owner).await.is_ok()).await;

    // A request that has waited long enough goes on by itself.
    let permit = pair.take(&pair.other).await.unwrap();
    assert_eq!(pair.asks(), 3);
    assert_eq!(pair.take(&pair.owner).await.unwrap_err().reason, RefusalReason::Concurrency);
    pair.gate.add_permits(2);
    until("the slot is back", async || pair.take(&pair.owner).await.is_ok()).await;
    drop(permit);
    assert_eq!(pair.asks(), 4);
}

/// Symptom: each request of a workspace that uses a hundredth of its limits waits for the owner.
/// Sequence: 410 routers, of which one gets a request and some more; the owner does not answer.
/// Cause: the router's base share is less than one request.
#[tokio::test]
async fn a_request_far_from_its_limits_waits_for_nobody() {
    let limits = json!({ "requests_per_s": 100.0, "concurrent_requests": 1_000 });
    let pair = Pair::new(limits);
    let names: Vec<String> = (0..408).map(|number| format!("c-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).chain(["a", "b"]).collect();
    *pair.views.write().unwrap() = view(&names);
    let first = pair.take(&pair.other).await.unwrap();
    assert_eq!(pair.asks(), 0);

    // What is more than its share is asked for.
    let mut held = vec![first];
    while pair.asks() == 0 {
        held.extend(pair.take(&pair.other).await);
        assert!(held.len() < 10, "nothing is asked for");
    }
}

/// Symptom: the owner of a large workspace is asked and told the end of each request of a surge;
/// or the workspace is refused for minutes after it, at other routers.
/// Sequence: 100 requests at once, of which a base share allows 40; they end, and then the owner's
/// own callers need nearly all of the limit.
/// Cause: slots are lent one at a time; or those lent together are not given back.
#[tokio::test]
async fn a_router_that_asks_often_holds_a_lease_until_its_requests_end() {
    let pair = Pair::new(json!({ "concurrent_requests": 400 }));
    pair.gate.add_permits(1_000);
    pair.other.start(&Shutdown::new());
    let mut held = Vec::new();
    while held.len() < 100 {
        held.push(pair.take(&pair.other).await.unwrap());
    }
    assert!(pair.asks() < 10, "{} messages", pair.asks());
    held.clear();
    until("what was leased is back", async || {
        let mut held = Vec::new();
        while let Ok(permit) = pair.take(&pair.owner).await {
            held.push(permit);
        }
        held.len() >= 340
    })
    .await;
    assert!(pair.asks() < 20, "{} messages", pair.asks());
}

/// Symptom: a workspace gets several times its limit while routers disagree.
/// Sequence: a router is asked after another one came to own the workspace, by its own view too.
/// Cause: it lends without owning.
#[tokio::test]
async fn only_the_owner_lends() {
    let pair = Pair::new(json!({ "requests_per_s": 1.0 }));
    pair.gate.add_permits(1);
    let _permit = pair.take(&pair.other).await.unwrap();
    let ask = pair.asked.lock().unwrap()[0].clone();
    assert!(pair.owner.handle(&ask).is_some());
    assert_eq!(pair.owner.handle(&Bytes::from_static(b"no message")), None);
    let before = pair.views.read().unwrap().clone();
    let owner = owner_of(&before, WORKSPACE, None).unwrap().name.clone();
    let newcomers: Vec<String> = (0..99).map(|number| format!("c-{number}")).collect();
    let larger = newcomers.iter().map(|name| view(&["a", "b", name]));
    let moved = larger
        .into_iter()
        .find(|view| owner_of(view, WORKSPACE, None).is_some_and(|router| router.name != owner));
    *pair.views.write().unwrap() = moved.unwrap();
    assert_eq!(pair.owner.handle(&ask), None);
    *pair.views.write().unwrap() = before;
    assert!(pair.owner.handle(&ask).is_some());
}
