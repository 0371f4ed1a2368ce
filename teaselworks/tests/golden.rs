//! Golden sessions: whole sessions against real processes, compared with files.
//!
//! `TEASELWORKS_RECORD=1 cargo test -p teaselworks --test golden` records them anew; the change is
//! then read as a difference of the files below `tests/golden`. What is normalised is listed in
//! `golden/session.rs`.

#[path = "golden/session.rs"]
mod session;

use std::collections::BTreeSet;

use serde_json::{Value, json};
use session::{Sent, Session};
use teaselworks_config::configuration::key::KeyDigest;
use teaselworks_policy::verdict::RefusalReason;
use teaselworks_standin::caller::Chat;
use teaselworks_standin::engine::batch::RunState;
use teaselworks_standin::engine::order::{Order, OrderKind};
use teaselworks_standin::fleet::{
    Fleet, FleetPlan, KEY, MODEL, READY_TIMEOUT, REGION, SERVICE, until,
};
use teaselworks_standin::http::PortGuard;
use teaselworks_standin::router::Program;
use tokio::task::JoinHandle;

fn plan(routers: usize, engines: usize) -> FleetPlan {
    FleetPlan::new(Program::binary(env!("CARGO_BIN_EXE_teaselworks")), routers, engines)
}

async fn start(plan: FleetPlan) -> Fleet {
    Fleet::start(plan).await.unwrap_or_else(|error| panic!("{error}"))
}

fn request<'a>(fleet: &Fleet, method: &'a str, path: &'a str, body: String) -> Sent<'a> {
    let url = fleet.routers[0].callers_url();
    let headers = vec![("authorization", format!("Bearer {KEY}"))];
    Sent { url, method, path, headers, body, endless: false }
}

fn chat(fleet: &Fleet, chat: &Chat) -> Sent<'static> {
    request(fleet, "POST", "/v1/chat/completions", chat.body().to_string())
}

fn with<'a>(mut sent: Sent<'a>, name: &'a str, value: &str) -> Sent<'a> {
    sent.headers.push((name, value.into()));
    sent
}

fn operators<'a>(fleet: &Fleet, method: &'a str, path: &'a str, body: &Value) -> Sent<'a> {
    let body = if body.is_null() { String::new() } else { body.to_string() };
    let url = fleet.routers[0].operators_url();
    Sent { url, method, path, headers: Vec::new(), body, endless: false }
}

fn assert_same(differences: impl IntoIterator<Item = Option<String>>) {
    let differences: Vec<String> = differences.into_iter().flatten().collect();
    assert!(differences.is_empty(), "sessions differ:\n{}", differences.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn chats() {
    let fleet = start(plan(2, 1)).await;
    let first = Chat::new(MODEL, &"Which verse is older? ".repeat(8), 4);

    let about = "A streamed chat: events, use, end mark.";
    let mut streamed = Session::new("chat_streamed", &fleet, about).await;
    streamed.send(chat(&fleet, &first)).await;

    let mut whole = Session::new("chat_whole", &fleet, "The same chat as one document.").await;
    whole.send(chat(&fleet, &first.clone().whole())).await;

    let about = "The chat returns through the other router and finds its context in the cache.";
    let mut returning = Session::new("chat_returning", &fleet, about).await;
    let mut sent = chat(&fleet, &first.next(&first.expected(), "And the tune?"));
    sent.url = fleet.routers[1].callers_url();
    returning.send(sent).await;

    let about = "The caller goes away: the engine stops at once.";
    let mut cancelled = Session::new("chat_cancelled", &fleet, about).await;
    let mut response =
        cancelled.open(chat(&fleet, &Chat::new(MODEL, "A long one.", 100_000))).await;
    let event = response.chunk().await.unwrap().unwrap();
    let event = String::from_utf8_lossy(&event);
    cancelled.push(event.split_inclusive("\n\n").next().unwrap());
    drop(response);
    cancelled.note("The caller closes the connection.");
    let last = || fleet.engines[0].runs().pop().unwrap();
    until("the engine sees the end", async || last().state == RunState::Cancelled).await;
    cancelled.push("# The engine has cancelled the chat.\n");

    let mut models = Session::new("models", &fleet, "The models that a workspace may use.").await;
    models.send(request(&fleet, "GET", "/v1/models", String::new())).await;
    assert_same([streamed, whole, returning, cancelled, models].map(Session::compare));
}

#[tokio::test(flavor = "multi_thread")]
async fn service_calls() {
    let mut plan = plan(2, 0);
    plan.services = 1;
    let fleet = start(plan).await;
    let mut session = Session::new("service_calls", &fleet, "Calls to a plain service.").await;
    let path = format!("/services/{SERVICE}/stock?tent=large");
    session.send(request(&fleet, "GET", &path, String::new())).await;
    session.note("A call that may not be repeated runs once; a repeat gets the kept outcome.");
    let path = format!("/services/{SERVICE}/book/courtyard-3");
    let book = || {
        let sent = request(&fleet, "POST", &path, "{\"slot\":\"evening\"}".into());
        with(sent, "idempotency-key", "slot-7")
    };
    session.send(book()).await;
    // The outcome is kept after the caller has its answer; until then a repeat is told that the
    // call is in progress, which `refused_duplicate_call` shows.
    let records = || fleet.platform.log("teaselworks/once/").len();
    until("the record is made and its outcome kept", async || records() == 2).await;
    session.send(book()).await;
    assert_eq!(fleet.services[0].executions_by_key()["slot-7"], 1);
    session.note("The service has executed the call once.");
    assert_same([session.compare()]);
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_patches() {
    let fleet = start(plan(1, 1)).await;
    let about = "Patches of the configuration: accepted, resubmitted, stale, not valid.";
    let mut session = Session::new("operator_patches", &fleet, about).await;
    let patch = |id: &str, expect: u64, patch: Value| json!({ "id": id, "expect": expect, "author": "ana", "reason": "trial", "patch": patch });
    let weight = json!({ "workspaces": { "archive": { "weight": 3 } } });
    let path = "/v1/configuration/patches";
    for (note, body) in [
        ("The first patch is accepted.", patch("p-1", 1, weight.clone())),
        ("Its resubmission tells so, and changes nothing.", patch("p-1", 1, weight.clone())),
        ("A patch made for an older version is refused.", patch("p-2", 1, weight)),
        ("A patch that is not valid is refused.", patch("p-3", 2, json!({ "models": 7 }))),
    ] {
        session.note(note);
        session.send(operators(&fleet, "POST", path, &body)).await;
    }
    for path in ["/v1/configuration/history", "/v1/configuration/status"] {
        session.send(operators(&fleet, "GET", path, &Value::Null)).await;
    }
    assert_same([session.compare()]);
}

/// Refusals between routers that no caller sees: the search goes on to another replica.
const UNSEEN: [RefusalReason; 3] =
    [RefusalReason::NotHeld, RefusalReason::PerhapsHeld, RefusalReason::NotOwner];

/// Sessions that each show one refusal reason, at one fleet.
struct Refusals {
    fleet: Fleet,
    version: u64,
    seen: BTreeSet<RefusalReason>,
    differences: Vec<Option<String>>,
}

impl Refusals {
    fn new(fleet: Fleet) -> Self {
        Self { fleet, version: 1, seen: BTreeSet::new(), differences: Vec::new() }
    }

    /// Sends a request and records it as the session of a reason.
    async fn record(&mut self, reason: RefusalReason, about: &str, sent: Sent<'_>) {
        let name = format!("refused_{reason}");
        let mut session = Session::new(&name, &self.fleet, about).await;
        let body = session.send(sent).await;
        self.differences.push(session.compare());
        assert!(body.contains(&format!("\"code\":\"{reason}\"")), "expected {reason}: {body}");
        self.seen.insert(reason);
    }

    /// Changes the policy, and waits until the change is in force.
    async fn set_policy(&mut self, policy: Value) {
        let patch = json!({ "policy": policy });
        let id = format!("policy-{}", self.version);
        let (status, body) = self.fleet.patch(0, &id, self.version, &patch).await.unwrap();
        assert_eq!(status, 200, "{body}");
        self.version += 1;
        let router = &self.fleet.routers[0];
        until("the policy is in force", async || {
            router.get("/status").await.unwrap()["configuration_version"] == self.version
        })
        .await;
    }

    /// Begins chats that the stalled engine does not get on with.
    async fn hold(&self, key: &str, chats: usize) -> Vec<JoinHandle<()>> {
        self.fleet.engines[0].set_faults(|faults| faults.stalled = true);
        let mut held = Vec::new();
        for index in 0..chats {
            let caller = self.fleet.caller_with(0, key);
            let chat = Chat::new(MODEL, &format!("Held {index}."), 4);
            held.push(tokio::spawn(async move {
                caller.chat(&chat).await.checked(&chat).expect("a chat held back is answered");
            }));
            self.until_owned(index + 1).await;
        }
        held
    }

    /// Lets the engine go on, and waits until the chats are answered.
    async fn release(&self, held: Vec<JoinHandle<()>>) {
        self.fleet.engines[0].set_faults(|faults| faults.stalled = false);
        for held in held {
            held.await.unwrap();
        }
        self.until_owned(0).await;
    }

    async fn until_owned(&self, attempts: usize) {
        let owned = async || {
            self.fleet.routers[0].get("/status").await.unwrap()["owned_attempts"] == attempts
        };
        until("the owner has the attempts", owned).await;
    }

    fn chat(&self, model: &str) -> Sent<'static> {
        chat(&self.fleet, &Chat::new(model, "One verse.", 4))
    }

    fn chat_with(&self, key: &str) -> Sent<'static> {
        let mut sent = self.chat(MODEL);
        sent.headers = vec![("authorization", format!("Bearer {key}"))];
        sent
    }

    async fn of_the_callers_port(&mut self) {
        let about = "A key that no workspace holds.";
        self.record(RefusalReason::Unauthorized, about, self.chat_with("unknown")).await;
        let mut sent = self.chat(MODEL);
        sent.body = "{\"model\":".into();
        self.record(RefusalReason::Malformed, "A body that breaks off.", sent).await;
        let mut sent = self.chat(MODEL);
        sent.body = " ".repeat(4_097);
        self.record(RefusalReason::TooLarge, "A body beyond the limit.", sent).await;
        let mut sent = self.chat(MODEL);
        sent.endless = true;
        self.record(RefusalReason::BodyTimeout, "A body that does not end in time.", sent).await;
        let about = "A model that the configuration does not have.";
        self.record(RefusalReason::UnknownTarget, about, self.chat("unheard")).await;
    }

    async fn of_limits(&mut self) {
        for (reason, key, about) in [
            (RefusalReason::RequestRate, "rare", "A workspace whose request rate is spent."),
            (RefusalReason::TokenRate, "terse", "A workspace whose token rate is spent."),
            (RefusalReason::Budget, "poor", "A workspace whose budget is spent."),
        ] {
            let caller = self.fleet.caller_with(0, key);
            let chat = Chat::new(MODEL, "One verse.", 4);
            until("the limit is spent", async || caller.chat(&chat).await.refused().is_ok()).await;
            self.record(reason, about, self.chat_with(key)).await;
        }
        let held = self.hold("single", 1).await;
        let about = "A workspace that has as many requests in progress as it may.";
        self.record(RefusalReason::Concurrency, about, self.chat_with("single")).await;
        self.release(held).await;
    }

    async fn of_load(&mut self) {
        let held = self.hold(KEY, 1).await;
        let about = "No turn within the deadline, with the engine stalled.";
        let sent = with(self.chat(MODEL), "x-deadline-ms", "1000");
        self.record(RefusalReason::Deadline, about, sent).await;
        self.release(held).await;
        let held = self.hold(KEY, 2).await;
        let about = "One chat runs, one waits, and no more may wait.";
        self.record(RefusalReason::QueueFull, about, self.chat(MODEL)).await;
        self.release(held).await;
        self.set_policy(json!({ "bound_floor_tokens": 1, "queue_requests": 64 })).await;
        let held = self.hold(KEY, 1).await;
        let about = "The one replica would carry more than the bound.";
        self.record(RefusalReason::OverBound, about, self.chat(MODEL)).await;
        self.release(held).await;
        self.set_policy(json!({ "bound_floor_tokens": 1_000_000 })).await;
        let held = self.hold(KEY, 4).await;
        let about = "The router has as many requests in progress as it may.";
        self.record(RefusalReason::Overloaded, about, self.chat(MODEL)).await;
        self.release(held).await;
    }

    async fn of_upstreams(&mut self) {
        let about = "A model that no upstream serves.";
        self.record(RefusalReason::NoReplica, about, self.chat("absent")).await;
        let about = "The only replica refuses connections.";
        self.record(RefusalReason::UpstreamUnreachable, about, self.chat("gone")).await;
        let caller = self.fleet.caller(0);
        until("the circuit opens", async || {
            let refused = caller.chat(&Chat::new("gone", "One verse.", 4)).await.refused();
            refused.unwrap().reason == RefusalReason::CircuitOpen.as_str()
        })
        .await;
        let about = "The only replica failed too often.";
        self.record(RefusalReason::CircuitOpen, about, self.chat("gone")).await;
        for engine in &self.fleet.engines[1..] {
            engine.set_faults(|faults| faults.fail_chats = 100);
        }
        let about = "The only replica fails after it ran the chat.";
        self.record(RefusalReason::UpstreamFailed, about, self.chat("broken")).await;
        self.set_policy(json!({ "retry_ratio": 0.0, "retry_burst": 0 })).await;
        let about = "The first replica fails and no retry is left.";
        self.record(RefusalReason::RetryBudget, about, self.chat("ailing")).await;
    }

    async fn of_calls(&mut self) {
        let book = |refusals: &Self, key: &str| {
            let sent = request(&refusals.fleet, "POST", "/services/booking/book", "{}".into());
            with(sent, "idempotency-key", key)
        };
        self.fleet.platform.set_faults(|faults| faults.unavailable = true);
        let about = "A call that may not be repeated, while the platform is down.";
        self.record(RefusalReason::PlatformUnavailable, about, book(self, "slot-8")).await;
        assert!(self.fleet.services[0].calls().is_empty(), "a call that was refused ran");
        self.fleet.platform.set_faults(|faults| faults.unavailable = false);
        self.fleet.services[0].set_faults(|faults| faults.delay_ms = 600_000);
        let caller = self.fleet.caller(0);
        let held = tokio::spawn(async move {
            let path = "/services/booking/book";
            // The platform is not asked again at once after its outage.
            while caller.call("POST", path, Some("slot-7"), "{}").await.unwrap().0 != 200 {}
        });
        self.until_owned(1).await;
        let about = "A call whose twin is in progress.";
        self.record(RefusalReason::DuplicateCall, about, book(self, "slot-7")).await;
        self.fleet.services[0].set_faults(|faults| faults.delay_ms = 0);
        held.await.unwrap();
        self.until_owned(0).await;
    }

    async fn of_a_stop(&mut self) {
        let held = self.hold(KEY, 1).await;
        self.fleet.routers[0].terminate();
        let caller = self.fleet.caller(0);
        until("the router refuses", async || {
            let refused = caller.chat(&Chat::new("absent", "One verse.", 4)).await.refused();
            refused.unwrap().reason == RefusalReason::Stopping.as_str()
        })
        .await;
        let about = "A router that was told to stop, with a chat in progress.";
        self.record(RefusalReason::Stopping, about, self.chat(MODEL)).await;
        self.fleet.engines[0].set_faults(|faults| faults.stalled = false);
        for held in held {
            held.await.unwrap();
        }
    }
}

fn refusal_plan(closed: &PortGuard) -> FleetPlan {
    let mut plan = plan(1, 4);
    plan.services = 1;
    let closed = closed.address();
    plan.with_settings(|_, settings| {
        settings.limits.body_size_bytes = 4_096;
        settings.limits.body_timeout_ms = 300;
        settings.limits.requests = 4;
    })
    .with_configuration(move |configuration| {
        let zone = configuration["upstreams"]["engine-0"]["zone"].clone();
        configuration["upstreams"]["gone-0"] = json!({
            "kind": "engine", "serves": "gone", "url": format!("http://{closed}"),
            "region": REGION, "zone": zone,
        });
        for model in ["absent", "gone", "ailing", "broken"] {
            configuration["models"][model] = json!({ "reproducible": true });
        }
        for (engine, model) in
            [("engine-1", "ailing"), ("engine-2", "ailing"), ("engine-3", "broken")]
        {
            configuration["upstreams"][engine]["serves"] = model.into();
        }
        configuration["policy"] = json!({ "running_requests": 1, "queue_requests": 1 });
        for (name, fields) in [
            ("rare", json!({ "limits": { "requests_per_s": 0.001 } })),
            ("terse", json!({ "limits": { "tokens_per_s": 0.001 } })),
            ("single", json!({ "limits": { "concurrent_requests": 1 } })),
            ("poor", json!({ "budget": { "tokens": 1, "period_ms": 31_536_000_000_u64 } })),
        ] {
            configuration["workspaces"][name] = fields;
            configuration["workspaces"][name]["key_digests"] =
                json!([KeyDigest::of(name).to_string()]);
        }
    })
}

async fn without_configuration() -> Refusals {
    let mut fleet = Fleet::launch(&plan(1, 0)).unwrap();
    fleet.routers[0].until_ok("/health", READY_TIMEOUT).await.unwrap();
    let mut refusals = Refusals::new(fleet);
    let about = "A router that has no configuration yet.";
    refusals.record(RefusalReason::NoConfiguration, about, refusals.chat(MODEL)).await;
    refusals
}

async fn without_role() -> Refusals {
    let plan = plan(1, 1).with_configuration(|configuration| {
        configuration["models"][MODEL]["role"] = json!("gloss");
        configuration["upstreams"]["engine-0"]["role"] = json!("gloss");
    });
    let mut refusals = Refusals::new(start(plan).await);
    // An engine that took a higher number obeys no router.
    let order = Order {
        kind: OrderKind::Role,
        model: String::new(),
        adapter: None,
        version: String::new(),
        role: Some("commentary".into()),
        fencing: u64::MAX,
    };
    assert!(refusals.fleet.engines[0].order(order));
    let about = "The only engine is in another role than the chat asks for.";
    refusals.record(RefusalReason::OtherRole, about, refusals.chat(MODEL)).await;
    refusals
}

async fn without_owner() -> Refusals {
    let mut plan = plan(2, 0);
    plan.services = 1;
    plan.proxy_links = true;
    plan.proxy_upstreams = true;
    let mut refusals = Refusals::new(start(plan).await);
    let upstreams = refusals.fleet.routers[0].get("/v1/upstreams").await.unwrap();
    let owner = upstreams[0]["owner"].as_str().unwrap();
    let owner = refusals.fleet.routers.iter().position(|router| router.name() == owner).unwrap();
    let service = refusals.fleet.services.remove(0);
    refusals.fleet.service_proxies[0].set_faults(|faults| faults.backward.frozen = true);
    let proxies = std::mem::take(&mut refusals.fleet.link_proxies);
    let path = format!("/services/{SERVICE}/stock");
    let mut sent = request(&refusals.fleet, "POST", &path, "{}".into());
    sent.url = refusals.fleet.routers[1 - owner].callers_url();
    let about = "The link to the owner is lost while a call that is not idempotent is in progress.";
    let cut = async {
        until("the service was called", async || !service.calls().is_empty()).await;
        // Links are used in both directions, so that both are cut.
        for proxy in &proxies {
            proxy.cut();
        }
    };
    tokio::join!(refusals.record(RefusalReason::OwnerUnreachable, about, sent), cut);
    refusals
}

#[tokio::test(flavor = "multi_thread")]
async fn every_refusal() {
    let closed = PortGuard::take().unwrap();
    let mut refusals = Refusals::new(start(refusal_plan(&closed)).await);
    refusals.of_the_callers_port().await;
    refusals.of_limits().await;
    refusals.of_load().await;
    refusals.of_upstreams().await;
    refusals.of_calls().await;
    refusals.of_a_stop().await;
    let mut seen = BTreeSet::from(UNSEEN);
    let mut differences = Vec::new();
    let others = [without_configuration().await, without_owner().await, without_role().await];
    for part in std::iter::once(refusals).chain(others) {
        seen.extend(part.seen);
        differences.extend(part.differences);
    }
    assert_same(differences);
    let unseen: Vec<_> =
        RefusalReason::ALL.iter().filter(|reason| !seen.contains(reason)).collect();
    assert!(unseen.is_empty(), "no session shows {unseen:?}");
}
