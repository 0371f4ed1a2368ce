//! Chats, bookings and patches that go on while faults come and go, and what became of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use teaselworks_standin::caller::{Chat, ChatOutcome};
use teaselworks_standin::checker::{Observation, Told};
use teaselworks_standin::fleet::{Fleet, MODEL, SERVICE, WORKSPACE};
use tokio::task::JoinSet;

/// Length of an answer in tokens.
const TOKENS: u32 = 60;
/// Time between two chats of one chat's caller.
const CHAT_PAUSE: Duration = Duration::from_millis(25);
/// Time between two bookings of one customer.
const BOOKING_PAUSE: Duration = Duration::from_millis(60);
/// Time between two patches of one operator.
const PATCH_PAUSE: Duration = Duration::from_millis(150);
/// Longest that an operator or a look waits for a router.
const LOOK_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest that a caller waits: every request has a deadline, and no router is frozen for long.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// A chat and what became of it.
pub struct Sent {
    /// Router that took it.
    pub entry: usize,
    /// The chat.
    pub chat: Chat,
    /// Its outcome; `None` where there was none within a minute.
    pub outcome: Option<ChatOutcome>,
    /// When it was sent.
    pub begin: Instant,
    /// When it ended.
    pub end: Instant,
}

/// Everything that was told to callers and operators.
#[derive(Default)]
pub struct Seen {
    /// Chats.
    pub chats: Vec<Sent>,
    /// Bookings, patches and versions.
    pub observations: Vec<Observation>,
    /// Keys of all bookings.
    pub bookings: Vec<String>,
}

/// Starts of each router that its versions are compared over.
///
/// A router that starts while the platform is away begins with what its peers have, which may lag
/// (docs/design/configuration.md, "What cannot be kept"); a new life begins for it.
pub type Lives = Arc<Vec<AtomicU64>>;

/// Traffic that goes on until it is stopped.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    tasks: JoinSet<Seen>,
}

impl Traffic {
    /// Starts a caller, a customer and a look at versions at each router, and two operators.
    pub fn start(fleet: &Fleet, lives: &Lives) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        let routers = fleet.routers.len();
        for entry in 0..routers {
            tasks.spawn(chats(fleet.caller(entry), entry, stop.clone()));
            let callers = [fleet.caller(entry), fleet.caller((entry + 1) % routers)];
            tasks.spawn(bookings(callers, entry, stop.clone()));
            let router = &fleet.routers[entry];
            tasks.spawn(versions(entry, router.operators_url(), lives.clone(), stop.clone()));
        }
        let known = Arc::new(AtomicU64::new(1));
        for operator in 0..2 {
            let urls = fleet.routers.iter().map(|router| router.operators_url()).collect();
            tasks.spawn(patches(operator, urls, known.clone(), stop.clone()));
        }
        Self { stop, tasks }
    }

    /// Stops sending, waits for what is in progress, and returns everything that was seen.
    pub async fn finish(mut self) -> Seen {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Seen::default();
        while let Some(seen) = self.tasks.join_next().await {
            let seen = seen.unwrap();
            all.chats.extend(seen.chats);
            all.observations.extend(seen.observations);
            all.bookings.extend(seen.bookings);
        }
        all
    }
}

/// Sends chats that return once, some of them as one whole document.
async fn chats(
    caller: teaselworks_standin::caller::Caller,
    entry: usize,
    stop: Arc<AtomicBool>,
) -> Seen {
    let mut running = JoinSet::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let mut chat = Chat::new(MODEL, &format!("Verse {number} of hall {entry}?"), TOKENS);
        if number % 4 == 3 {
            chat = chat.whole();
        }
        let caller = caller.clone();
        running.spawn(async move {
            let begin = Instant::now();
            let outcome = tokio::time::timeout(CALLER_TIMEOUT, caller.chat(&chat)).await.ok();
            Sent { entry, chat, outcome, begin, end: Instant::now() }
        });
        number += 1;
        tokio::time::sleep(CHAT_PAUSE).await;
    }
    Seen { chats: running.join_all().await, ..Seen::default() }
}

/// Makes bookings: each second one through two routers at once, the others once.
async fn bookings(
    callers: [teaselworks_standin::caller::Caller; 2],
    entry: usize,
    stop: Arc<AtomicBool>,
) -> Seen {
    let mut running = JoinSet::new();
    let mut seen = Seen::default();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let key = format!("slot-{entry}-{number}");
        seen.bookings.push(key.clone());
        let [first, second] = callers.clone();
        let is_crossed = number % 2 == 1;
        running.spawn(async move {
            if !is_crossed {
                return (key.clone(), book(&first, &key).await);
            }
            // One of two tries may be told "not run" while the other ran.
            match tokio::join!(book(&first, &key), book(&second, &key)) {
                (Told::Answered, _) | (_, Told::Answered) => (key, Told::Answered),
                _ => (key, Told::Unknown),
            }
        });
        number += 1;
        tokio::time::sleep(BOOKING_PAUSE).await;
    }
    for (key, told) in running.join_all().await {
        seen.observations.push(Observation::Outcome { key, told });
    }
    seen
}

/// Makes one booking.
pub async fn book(caller: &teaselworks_standin::caller::Caller, key: &str) -> Told {
    let path = format!("/services/{SERVICE}/book/{key}");
    let call = caller.call("POST", &path, Some(key), "{}");
    match tokio::time::timeout(CALLER_TIMEOUT, call).await {
        Ok(Ok((200, _))) => Told::Answered,
        Ok(Ok((_, body))) => match serde_json::from_str::<Value>(&body) {
            Ok(body) if body["error"]["verdict"] == "not_run" => Told::NotRun,
            _ => Told::Unknown,
        },
        _ => Told::Unknown,
    }
}

/// Looks at the version in force at a router.
async fn versions(router: usize, url: String, lives: Lives, stop: Arc<AtomicBool>) -> Seen {
    let mut seen = Seen::default();
    while !stop.load(Ordering::Relaxed) {
        let life = lives[router].load(Ordering::Relaxed);
        // A starting router with nothing in force serves nothing.
        if let Some(version @ 1..) = version(&url).await {
            let router = format!("router-{router}, life {life}");
            seen.observations.push(Observation::InForce { router, version });
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    seen
}

/// Returns the version in force at a router.
pub async fn version(url: &str) -> Option<u64> {
    let http = reqwest::Client::builder().no_proxy().timeout(LOOK_TIMEOUT).build().ok()?;
    let answer = http.get(format!("{url}/v1/configuration")).send().await.ok()?;
    answer.json::<Value>().await.ok()?["version"].as_u64()
}

/// Submits patches against the newest number that an operator knows, each twice.
async fn patches(
    operator: usize,
    urls: Vec<String>,
    known: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
) -> Seen {
    let http = reqwest::Client::builder().no_proxy().timeout(LOOK_TIMEOUT).build().unwrap();
    let mut seen = Seen::default();
    for number in 0_usize.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let patch = format!("operator-{operator}-{number}");
        let expect = known.load(Ordering::Relaxed);
        let weight = json!({ "workspaces": { WORKSPACE: { "weight": 1 + number } } });
        let body = json!({
            "id": patch, "expect": expect, "author": "test", "reason": "test", "patch": weight,
        });
        for attempt in 0..2 {
            let url = &urls[(operator + number + attempt) % urls.len()];
            let request = http.post(format!("{url}/v1/configuration/patches"));
            let request = request.header("content-type", "application/json");
            let Ok(answer) = request.body(body.to_string()).send().await else { continue };
            let accepted = answer.status() == 200;
            let answer = answer.json::<Value>().await.unwrap_or_default();
            let Some(version) = answer["version"].as_u64().filter(|_| accepted) else { continue };
            known.fetch_max(version, Ordering::Relaxed);
            let patch = patch.clone();
            seen.observations.push(Observation::Accepted { patch, version });
        }
        if let Some(version) = version(&urls[number % urls.len()]).await {
            known.fetch_max(version, Ordering::Relaxed);
        }
        tokio::time::sleep(PATCH_PAUSE).await;
    }
    seen
}
