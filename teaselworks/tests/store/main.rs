//! The configuration through lost answers, races, outages and stale readings.

mod fixture;
mod start;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use proptest::prelude::*;
use serde_json::{Value, json};
use teaselworks::kernel::Shutdown;
use teaselworks::store::{PatchError, PatchRequest, Store};
use teaselworks_config::settings::PlatformSettings;
use teaselworks_policy::name::Name;
use teaselworks_standin::fleet::until;
use teaselworks_standin::platform::{LostAnswer, Platform as Service};

use self::fixture::{Fleet, request, settings, weight};

/// Versions accepted, each with its patch, from outside: the platform's whole log.
fn accepted(service: &Service) -> Vec<(u64, String)> {
    let records = service.log("t/configuration/patch/");
    let mut accepted = Vec::new();
    for event in records {
        let stored: Value = serde_json::from_slice(event.value.as_ref().unwrap()).unwrap();
        let record = &stored["record"];
        accepted.push((record["version"].as_u64().unwrap(), record["id"].as_str().unwrap().into()));
    }
    accepted
}

// Symptom: an operator's patch is applied twice, or reported refused although it is in force.
// Sequence: the platform carries out the commit and its answer is lost, by a cut connection, by
// silence or by an error of the gateway; the operator submits the same patch again, through
// another router. Cause: a writer that takes a lost answer for a failure and repeats the write.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_of_a_commit_is_settled_and_never_applied_twice() {
    for lost_answer in [LostAnswer::Cut, LostAnswer::Silence, LostAnswer::Error] {
        let service = Service::start().unwrap();
        let fleet = Fleet::default();
        let settings = settings(&service);
        let (first, second) = (fleet.router("a", &settings), fleet.router("b", &settings));
        assert_eq!(first.submit(&weight("one", 0, 1)).await, Ok(1));
        service.set_faults(|faults| {
            faults.lost_answer = lost_answer;
            faults.lose_answers = 1;
            faults.lose_prefix = "t/configuration".into();
        });
        assert_eq!(first.submit(&weight("two", 1, 2)).await, Ok(2), "{lost_answer:?}");
        assert_eq!(second.submit(&weight("two", 1, 2)).await, Ok(2), "{lost_answer:?}");
        let other = second.submit(&weight("two", 1, 3)).await;
        assert!(matches!(other, Err(PatchError::Invalid(_))), "{other:?}");
        assert_eq!(accepted(&service), [(1, "one".into()), (2, "two".into())]);
        assert_eq!(first.current().configuration, second.current().configuration);
    }
}

// Symptom: two operators are both told that their patch is version 2, and one of them is lost.
// Sequence: both read version 1 and submit at the same moment through different routers. Cause: a
// number that is checked and then written in two steps.
#[tokio::test(flavor = "multi_thread")]
async fn of_racing_operators_exactly_one_wins() {
    for operators in [2, 5] {
        let service = Service::start().unwrap();
        let fleet = Fleet::default();
        let settings = settings(&service);
        let routers: Vec<_> =
            (0..operators).map(|index| fleet.router(&format!("r{index}"), &settings)).collect();
        assert_eq!(routers[0].submit(&weight("first", 0, 1)).await, Ok(1));
        for router in &routers {
            router.refresh().await.unwrap();
        }
        service.set_faults(|faults| faults.delay_before_ms = 50);
        let races = routers.iter().enumerate().map(|(index, router)| {
            let router = router.clone();
            let request = weight(&format!("racer-{index}"), 1, index as u64 + 10);
            tokio::spawn(async move { router.submit(&request).await })
        });
        let mut winners = 0;
        for race in races.collect::<Vec<_>>() {
            match race.await.unwrap() {
                Ok(version) => {
                    assert_eq!(version, 2);
                    winners += 1;
                }
                Err(PatchError::Stale { current, changed }) => {
                    assert_eq!((current, changed.len()), (2, 1));
                    assert!(changed[0].id.starts_with("racer-"));
                }
                Err(error) => panic!("{error}"),
            }
        }
        assert_eq!(winners, 1);
        assert_eq!(accepted(&service).len(), 2);
    }
}

/// One step of a random history; numbers choose a router.
#[derive(Clone, Debug)]
enum Step {
    /// Submits a patch against the version that the router has in force.
    Submit(usize),
    /// Submits the last patch again.
    Again(usize),
    /// Reads the platform.
    Refresh(usize),
    /// Fetches from another router.
    Fetch(usize, usize),
    /// Replaces the router by an empty one, which asks the others first.
    Replace(usize),
    /// The platform goes back to an earlier content.
    Rewind(i64),
    /// The next write's answer is lost.
    LoseAnswer,
    /// The platform goes down, or comes back.
    Toggle,
}

const ROUTERS: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..ROUTERS).prop_map(Step::Submit),
        1 => (0..ROUTERS).prop_map(Step::Again),
        3 => (0..ROUTERS).prop_map(Step::Refresh),
        3 => (0..ROUTERS, 0..ROUTERS).prop_map(|(to, from)| Step::Fetch(to, from)),
        1 => (0..ROUTERS).prop_map(Step::Replace),
        1 => (1_i64..4).prop_map(Step::Rewind),
        1 => Just(Step::LoseAnswer),
        1 => Just(Step::Toggle),
    ]
}

/// Routers, the platform, and what was seen of them.
struct World {
    service: Service,
    fleet: Fleet,
    settings: PlatformSettings,
    routers: Vec<Arc<Store>>,
    /// Number in force at each router when it was last looked at.
    seen: Vec<u64>,
    /// Configuration of each lineage, whoever had it.
    contents: BTreeMap<Name, String>,
    last: Option<PatchRequest>,
    submitted: u64,
}

impl World {
    fn new() -> Self {
        let service = Service::start().unwrap();
        let settings = settings(&service);
        let fleet = Fleet::default();
        let routers = (0..ROUTERS).map(|index| fleet.router(&name(index), &settings)).collect();
        let seen = vec![0; ROUTERS];
        let contents = BTreeMap::new();
        Self { service, fleet, settings, routers, seen, contents, last: None, submitted: 0 }
    }

    async fn take(&mut self, step: &Step) {
        match step {
            Step::Submit(router) => {
                self.submitted += 1;
                let expect = self.routers[*router].version().number;
                // A workspace of its own, so that the content tells every patch that led to it.
                let id = format!("p{}", self.submitted);
                let patch = json!({ "workspaces": { id.clone(): {} } });
                let request = request(&id, expect, patch);
                let _ = self.routers[*router].submit(&request).await;
                self.last = Some(request);
            }
            Step::Again(router) => {
                let Some(request) = &self.last else { return };
                let _ = self.routers[*router].submit(request).await;
            }
            Step::Refresh(router) => {
                let _ = self.routers[*router].refresh().await;
            }
            Step::Fetch(to, from) => self.routers[*to].fetch_from(&name(*from).into()).await,
            Step::Replace(router) => {
                self.routers[*router] = self.fleet.router(&name(*router), &self.settings);
                for peer in 0..ROUTERS {
                    self.routers[*router].fetch_from(&name(peer).into()).await;
                }
                self.seen[*router] = 0;
            }
            Step::Rewind(back) => self.service.rewind((self.service.revision() - back).max(0)),
            Step::LoseAnswer => self.service.set_faults(|faults| faults.lose_answers = 1),
            Step::Toggle => self.service.set_faults(|faults| {
                faults.unavailable = !faults.unavailable;
            }),
        }
    }

    /// Checks that no number went down, that a lineage means one configuration everywhere, and that
    /// each patch at the platform follows from the one before.
    fn check(&mut self) -> Result<(), TestCaseError> {
        for (index, router) in self.routers.iter().enumerate() {
            let (version, numbered) = (router.version(), router.current());
            prop_assert_eq!(version.number, numbered.version);
            prop_assert!(version.number >= self.seen[index], "router {} went down", index);
            self.seen[index] = version.number;
            let content = String::from_utf8(numbered.configuration.encode()).unwrap();
            let known = self.contents.entry(version.lineage.clone()).or_insert(content.clone());
            prop_assert_eq!(known, &content, "{} has two contents", version.lineage);
        }
        let mut lineage = json!("");
        for (key, value) in self.service.dump().range("t/configuration/patch/".to_owned()..) {
            if !key.contains("/patch/") {
                break;
            }
            let stored: Value = serde_json::from_slice(value).unwrap();
            prop_assert_eq!(&stored["parent"], &lineage, "{} does not follow", key);
            lineage = stored["lineage"].clone();
        }
        Ok(())
    }
}

fn name(index: usize) -> String {
    format!("r{index}")
}

// Symptom: a router goes back to an older configuration, or two routers with one version differ.
// Sequence: any order of patches, resubmissions, reads, fetches, replaced routers, lost answers,
// outages and restored backups. Cause: a number or a patch taken without its place in the lineage.
#[test]
fn numbers_only_grow_and_a_lineage_has_one_content() {
    use Step::{Again, Fetch, Refresh, Replace, Rewind, Submit, Toggle};
    let runtime = tokio::runtime::Runtime::new().unwrap();
    // The shortest ways to two lineages: an old backup is patched on by a router that lagged.
    let patched_backup = vec![Submit(0), Rewind(1), Submit(1), Submit(0), Submit(1), Refresh(0)];
    let peer_of_both = vec![Submit(0), Rewind(1), Submit(1), Fetch(0, 1), Submit(1), Fetch(0, 1)];
    let in_outage = vec![Submit(0), Toggle, Replace(1), Again(1), Toggle, Again(2), Refresh(1)];
    for steps in [patched_backup, peer_of_both, in_outage] {
        runtime.block_on(play(&steps)).unwrap();
    }
    let mut config = ProptestConfig::with_cases(48);
    config.failure_persistence = None;
    proptest!(config, |(steps in prop::collection::vec(step(), 1..24))| {
        runtime.block_on(play(&steps))?;
    });
}

async fn play(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut world = World::new();
    for step in steps {
        world.take(step).await;
        world.check()?;
    }
    Ok(())
}

fn snapshot_version(service: &Service) -> u64 {
    let head: Value = serde_json::from_slice(&service.dump()["t/configuration/head"]).unwrap();
    head["snapshot"]["manifest"]["version"].as_u64().unwrap_or(0)
}

// Symptom: a router starts with half a configuration, or with none. Sequence: 18,000 workspaces are
// more than one value holds; the writer of a snapshot stops between two chunks and tries again; a
// router starts from it. Cause: chunks that can be found before all are there, or a patch log
// alone.
#[tokio::test(flavor = "multi_thread")]
async fn large_configuration_is_read_from_whole_snapshots_only() {
    let service = Service::start().unwrap();
    let fleet = Fleet::default();
    let settings = settings(&service);
    let writer = fleet.router("writer", &settings);
    writer.start(&Shutdown::new());
    for page in 0..9_u64 {
        let mut workspaces = json!({});
        for index in page * 2_000..(page + 1) * 2_000 {
            let digest = format!("{index:064x}");
            workspaces[format!("workspace-{index:05}")] = json!({ "key_digests": [digest] });
        }
        let patch = json!({ "workspaces": workspaces });
        assert_eq!(writer.submit(&request(&format!("{page}"), page, patch)).await, Ok(page + 1));
    }
    for expect in 9..128 {
        if expect == 63 {
            service.set_faults(|faults| {
                faults.lose_prefix = "t/configuration/snapshot/".into();
                faults.lose_requests = 2;
            });
        }
        if expect == 127 {
            // The answers about the last patch and about the naming of the snapshot after it.
            service.set_faults(|faults| {
                faults.lose_prefix = "t/configuration/head".into();
                faults.lose_answers = 2;
            });
        }
        let request = weight(&format!("small-{expect}"), expect, expect);
        assert_eq!(writer.submit(&request).await, Ok(expect + 1));
        if expect == 63 || expect == 127 {
            until("a snapshot is named", async || snapshot_version(&service) == expect + 1).await;
        }
    }
    let faults = service.faults();
    assert_eq!((faults.lose_requests, faults.lose_answers), (0, 0), "the faults were met");
    assert_eq!(writer.submit(&weight("after", 128, 1)).await, Ok(129));

    let mut chunks = BTreeSet::new();
    for change in service.log("t/configuration/") {
        if change.key.contains("/snapshot/") && change.value.is_some() {
            chunks.insert(change.key.clone());
        }
        if change.key != "t/configuration/head" {
            continue;
        }
        let head: Value = serde_json::from_slice(&change.value.unwrap()).unwrap();
        let Some(id) = head["snapshot"]["id"].as_str() else { continue };
        assert!(head["snapshot"]["manifest"]["chunks"].as_u64() > Some(1));
        for index in 0..head["snapshot"]["manifest"]["chunks"].as_u64().unwrap() {
            let key = format!("t/configuration/snapshot/{id}/{index:06}");
            assert!(chunks.contains(&key), "{key} is named before it is written");
        }
    }
    let before = service.counts().total();
    let reader = fleet.router("reader", &settings);
    reader.refresh().await.unwrap();
    assert_eq!(reader.current(), writer.current());
    assert_eq!(reader.current().configuration.workspaces.len(), 18_001);
    assert!(service.counts().total() - before < 10, "calls of a start");
}
