//! Homes of chats through churn, what may be placed where, and the search for a place.

use std::time::Duration;

use proptest::prelude::*;
use teaselworks_policy::load::{Admission, BoundPolicy, LoadSample, LoadTable, ReplicaLoad, Work};
use teaselworks_policy::name::AttemptId;
use teaselworks_policy::placement::holdings::CacheEvent;
use teaselworks_policy::placement::{
    Ask, Belief, ChatKey, Claim, Holdings, Phase, PlacementRequest, Replica, ReplicaIndex,
    ReplicaTable, Search, prefix_blocks, rank, reuse_tokens,
};

const NOW: Duration = Duration::ZERO;

fn fleet(replicas: usize) -> ReplicaTable {
    let mut table = ReplicaTable::default();
    for number in 0..replicas {
        let zone = ["a", "b", "c"][number % 3];
        table.upsert(Replica::new(format!("engine-{number}"), "near", zone, "m"));
    }
    table
}

fn request(key: u64, zone: &str) -> PlacementRequest<'_> {
    PlacementRequest {
        workspace: "w",
        key: ChatKey(key),
        serves: "m",
        version: None,
        adapter: None,
        phase: Phase::Whole,
        region: "near",
        zone,
        prompt_tokens: 1_000,
        reuse_tokens: 900,
        holder: None,
        draw: key.rotate_left(17) ^ zone.len() as u64,
    }
}

fn homes(request: &PlacementRequest, table: &ReplicaTable) -> Vec<ReplicaIndex> {
    let (mut homes, mut fallbacks) = (Vec::new(), Vec::new());
    rank(request, table, &LoadTable::default(), &mut homes, &mut fallbacks);
    for fallback in &fallbacks {
        assert!(!homes.contains(fallback));
    }
    homes
}

fn messages(texts: &[String]) -> impl Iterator<Item = (&str, &str)> {
    let role = |turn| if turn % 2 == 0 { "user" } else { "assistant" };
    texts.iter().enumerate().map(move |(turn, text)| (role(turn), text.as_str()))
}

/// Symptom: a chat is placed on an engine that is in another role, or the mean of a pool counts
/// engines that serve none of its chats.
/// Sequence: engines of one model are in two roles, and one is on the way from the first to the
/// second.
/// Cause: all engines of a model are one pool, or a replica stays in a pool that it left.
#[test]
fn engines_in_roles_are_pools_of_their_own() {
    let mut table = ReplicaTable::default();
    let mut loads = LoadTable::default();
    for number in 0..6 {
        let serves: &str = ["m gloss", "m commentary"][number % 2];
        let replica = Replica::new(format!("engine-{number}"), "near", "a", serves);
        let index = table.upsert(replica);
        let load_tokens = [100, 900][number % 2];
        let sample = LoadSample { load_tokens, ..LoadSample::default() };
        loads.observe(index, &serves.into(), sample, NOW);
    }
    let moving = ReplicaIndex(0);
    let known = table.get(moving).unwrap().clone();
    table.upsert(Replica { also_serves: vec!["m commentary".into()], ..known.clone() });
    let pool = |table: &ReplicaTable, serves| {
        let mut pool = Vec::new();
        for key in 0..200 {
            pool.extend(homes(&PlacementRequest { serves, ..request(key, "a") }, table));
        }
        pool.sort();
        pool.dedup();
        pool
    };
    let indexes = |numbers: &[u32]| numbers.iter().copied().map(ReplicaIndex).collect::<Vec<_>>();
    assert_eq!(pool(&table, "m gloss"), indexes(&[0, 2, 4]));
    assert_eq!(pool(&table, "m commentary"), indexes(&[0, 1, 3, 5]));
    assert_eq!(loads.mean_tokens("m gloss", NOW), Some(100.0));
    assert_eq!(loads.mean_tokens("m commentary", NOW), Some(900.0));
    table.set_reachable(moving, false);
    assert_eq!(pool(&table, "m commentary"), indexes(&[1, 3, 5]));
    table.set_reachable(moving, true);
    table.upsert(known.clone());
    assert_eq!(pool(&table, "m gloss"), indexes(&[0, 2, 4]));
    assert_eq!(pool(&table, "m commentary"), indexes(&[1, 3, 5]));
    table.upsert(Replica { serves: "m commentary".into(), ..known });
    assert_eq!(pool(&table, "m gloss"), indexes(&[2, 4]));
    assert_eq!(pool(&table, "m commentary"), indexes(&[0, 1, 3, 5]));
}

proptest! {
    // Symptom: reuse falls when one engine comes or goes. Sequence: a replica leaves, then one
    // joins. Cause: homes that depend on the number or order of replicas.
    #[test]
    fn only_chats_of_a_changed_replica_move(keys in prop::collection::vec(any::<u64>(), 200)) {
        let mut table = fleet(40);
        let gone = ReplicaIndex(7);
        let before: Vec<_> = keys.iter().map(|key| homes(&request(*key, "a"), &table)).collect();
        table.remove("engine-7");
        let mut moved = 0;
        for (key, before) in keys.iter().zip(&before) {
            let after = homes(&request(*key, "b"), &table);
            let kept: Vec<_> = before.iter().filter(|home| **home != gone).collect();
            prop_assert!(after.iter().zip(kept).all(|(after, before)| after == before));
            moved += usize::from(after[0] != before[0]);
        }
        prop_assert!(moved <= 200 / 40 * 4, "{} of 200 chats moved.", moved);
        let joined = table.upsert(Replica::new("engine-new", "near", "a", "m"));
        for (key, before) in keys.iter().zip(&before) {
            let after = homes(&request(*key, "c"), &table);
            let same = after[0] == before[0] || before[0] == gone || after[0] == joined;
            prop_assert!(same, "A chat moved between replicas that stayed.");
        }
    }

    // Symptom: work at a replica that is leaving, unreachable, or serves something else.
    // Sequence: replicas change while requests are ranked. Cause: a stale copy of eligibility.
    #[test]
    fn only_eligible_replicas_are_asked(
        changes in prop::collection::vec((0..12usize, 0..6u8), 0..40),
        key in any::<u64>(),
    ) {
        let mut table = fleet(12);
        for (number, change) in changes {
            let name = format!("engine-{number}");
            let Some(index) = table.index_of(&name) else { continue };
            let known = table.get(index).cloned().expect("an index leads to its replica");
            match change {
                0 => table.set_reachable(index, false),
                1 => table.set_reachable(index, true),
                2 => table.set_leaving(index),
                3 => drop(table.upsert(Replica { adapters: Some(vec!["choir".into()]), ..known })),
                4 => drop(table.upsert(Replica { version: Some("2".into()), ..known })),
                _ => drop(table.upsert(Replica { phase: Phase::Prefill, ..known })),
            }
        }
        let wanted =
            PlacementRequest { adapter: Some("school"), version: Some("1"), ..request(key, "a") };
        let holder = Some(ReplicaIndex((key % 12) as u32));
        let wanted = PlacementRequest { holder, ..wanted };
        let mut search = Search::new(&wanted, &table, &LoadTable::default(), NOW);
        let mut asks = 0;
        while let Some(Ask { replica, .. }) = search.next_ask() {
            asks += 1;
            prop_assert!(asks <= 16);
            prop_assert!(table.is_eligible(replica));
            let asked = table.get(replica).expect("an eligible replica is known");
            prop_assert!(asked.adapters.is_none() && asked.version.is_none());
            prop_assert_eq!(asked.phase, Phase::Whole);
            match key.wrapping_add(asks) % 3 {
                0 => search.failed(replica),
                1 => search.perhaps(replica, key % 100),
                _ => search.refused(replica, key % 100),
            }
        }
    }

    // Symptom: an edited chat is computed anew from its beginning, or a chat is thought held that
    // is not. Sequence: a chat is answered, and returns with its last messages changed. Cause: a
    // hash that does not depend on all that comes before it, or depends on what comes after.
    #[test]
    fn a_chain_finds_the_longest_common_prefix(
        texts in prop::collection::vec("[a-z ]{0,40}", 3..12),
        edited in 0..12usize,
    ) {
        let edited = edited.min(texts.len() - 1);
        let mut other = texts.clone();
        other[edited].push('!');
        let chain = prefix_blocks("choir", "m", messages(&texts));
        let changed = prefix_blocks("choir", "m", messages(&other));
        for (turn, (one, two)) in chain.iter().zip(&changed).enumerate() {
            prop_assert_eq!(one.hash == two.hash, turn <= edited);
        }
        let mut holdings = Holdings::new(64);
        for end in (2..=chain.len()).step_by(2) {
            holdings.store(&chain[..end], NOW);
        }
        let held = holdings.held_tokens(&changed);
        prop_assert!(held <= reuse_tokens(&changed).max(chain[0].tokens));
        prop_assert!(held >= chain[edited.saturating_sub(1)].tokens.min(reuse_tokens(&changed)));
        let stranger = prefix_blocks("school", "m", messages(&texts));
        prop_assert_eq!(holdings.belief(&stranger, NOW), Belief::No);
    }
}

/// Owners of a few replicas, as an entry reaches them.
struct Owners {
    loads: Vec<ReplicaLoad>,
    holdings: Vec<Holdings>,
}

impl Owners {
    fn place(
        &mut self,
        table: &ReplicaTable,
        request: &PlacementRequest,
        texts: &[String],
    ) -> Option<ReplicaIndex> {
        let chain = prefix_blocks("w", "m", messages(texts));
        let mean = self.loads.iter().map(ReplicaLoad::load_tokens).sum::<u64>() as f64
            / self.loads.len() as f64;
        let mut loads = LoadTable::default();
        let sample = LoadSample { mean_tokens: mean, mean_weight: 1.0, ..LoadSample::default() };
        loads.observe(ReplicaIndex(99), &"m".into(), sample, NOW);
        let mut search = Search::new(request, table, &loads, NOW);
        while let Some(Ask { replica, claim }) = search.next_ask() {
            let at = replica.0 as usize;
            let belief = self.holdings[at].belief(&chain, NOW);
            let load = &mut self.loads[at];
            if claim == Claim::IfHeld && belief != Belief::Held {
                match belief {
                    Belief::Perhaps => search.perhaps(replica, load.load_tokens()),
                    _ => search.refused(replica, load.load_tokens()),
                }
                continue;
            }
            let sequence = load.running() as u64 + 1_000 * texts.len() as u64;
            let id = AttemptId { router: "e".into(), incarnation: 1, sequence, attempt: 0 };
            let policy = BoundPolicy { multiple: 1.25, floor_tokens: 0 };
            let work = Work { uncached_tokens: 0, output_tokens: 5 };
            match load.try_admit(NOW, &id, work, claim, mean, &policy) {
                Admission::Admit { .. } => {
                    self.holdings[at].store(&chain, NOW);
                    return Some(replica);
                }
                _ => search.refused(replica, load.load_tokens()),
            }
        }
        None
    }
}

proptest! {
    // Symptom: a chat that overflowed is computed anew at each turn. Sequence: the home is above
    // the bound, the chat goes elsewhere, the home recovers, the chat returns through another
    // router without a token. Cause: an overflow that only the first router knows of.
    #[test]
    fn a_chat_that_overflowed_is_found_again(key in any::<u64>(), other_draw in any::<u64>()) {
        let table = fleet(9);
        let home = homes(&request(key, "a"), &table)[0];
        let mut owners =
            Owners { loads: vec![ReplicaLoad::default(); 9], holdings: vec![Holdings::new(64); 9] };
        for (at, load) in owners.loads.iter_mut().enumerate() {
            let busy = if at == home.0 as usize { 3_000 } else { 400 + 10 * (at as u32 % 5) };
            let id = AttemptId { router: "x".into(), incarnation: 1, sequence: 1, attempt: 0 };
            let work = Work { uncached_tokens: 0, output_tokens: busy };
            load.try_admit(NOW, &id, work, Claim::Last, 0.0, &BoundPolicy::default());
        }
        let texts = ["first".into(), "answer".into(), "second".into()];
        let first = PlacementRequest { reuse_tokens: 0, ..request(key, "a") };
        let placed = owners.place(&table, &first, &texts[..1]);
        prop_assert!(placed.is_some() && placed != Some(home));
        let id = AttemptId { router: "x".into(), incarnation: 1, sequence: 1, attempt: 0 };
        owners.loads[home.0 as usize].progress(&id, 2_600);
        let returned = PlacementRequest { draw: other_draw, ..request(key, "c") };
        prop_assert_eq!(owners.place(&table, &returned, &texts), placed);
    }
}

// Symptom: while engines come and go, 1.26 times as many chats move as must, and each asks three
// owners in vain. Sequence: the holder that a token names is gone, or the homes have lost a chat
// while the first of them is a little above the mean. Cause: a search for what cannot be found,
// and a home that is passed over although it has room.
#[test]
fn a_chat_that_nobody_holds_is_put_at_its_first_home() {
    let mut table = fleet(9);
    let request = PlacementRequest { reuse_tokens: 900, ..request(7, "a") };
    let homes = homes(&request, &table);
    let mut loads = LoadTable::default();
    let sample = LoadSample { mean_tokens: 1_000.0, mean_weight: 1.0, ..LoadSample::default() };
    loads.observe(ReplicaIndex(99), &"m".into(), LoadSample { load_tokens: 1_000, ..sample }, NOW);
    let mut search = Search::new(&request, &table, &loads, NOW);
    for home in &homes {
        assert_eq!(search.next_ask(), Some(Ask { replica: *home, claim: Claim::IfHeld }));
        search.refused(*home, 1_050);
    }
    let first = Some(Ask { replica: homes[0], claim: Claim::Fresh });
    assert_eq!(search.next_ask(), first);
    let gone = table.upsert(Replica::new("gone", "home", "a", "m"));
    table.set_leaving(gone);
    let request = PlacementRequest { holder: Some(gone), ..request };
    assert_eq!(Search::new(&request, &table, &loads, NOW).next_ask(), first);
}

// Symptom: chats cross regions for a little reuse. Sequence: a caller returns a token that names
// a holder in another region. Cause: a holder followed whatever its distance.
#[test]
fn a_far_holder_is_asked_only_when_worth_it() {
    let mut table = fleet(3);
    let far = table.upsert(Replica::new("far-1", "far", "f", "m"));
    for (reuse_tokens, first) in [(900, false), (9_000, true)] {
        let asked = PlacementRequest { holder: Some(far), reuse_tokens, ..request(5, "a") };
        let mut search = Search::new(&asked, &table, &LoadTable::default(), NOW);
        let ask = search.next_ask().expect("replicas are eligible");
        assert_eq!(ask.replica == far, first);
    }
}

// Symptom: a new owner sends every returning chat away, and their contexts are lost. Sequence:
// ownership moves, and the new owner has heard of nothing that the engine holds. Cause: not
// knowing taken for not holding.
#[test]
fn a_new_owner_says_that_it_does_not_know() {
    let texts: Vec<String> = ["a", "b", "c"].map(Into::into).into();
    let chain = prefix_blocks("w", "m", messages(&texts));
    let mut holdings = Holdings::new(64);
    holdings.doubt(Duration::from_secs(600));
    assert_eq!(holdings.belief(&chain, Duration::from_secs(1)), Belief::Perhaps);
    assert_eq!(holdings.belief(&chain, Duration::from_secs(600)), Belief::No);
    holdings.store(&chain[..2], NOW);
    assert_eq!(holdings.belief(&chain, Duration::from_secs(1)), Belief::Held);
    holdings.apply(CacheEvent::Removed { hash: chain[1].hash }, NOW);
    holdings.apply(CacheEvent::Removed { hash: chain[1].hash }, NOW);
    assert_eq!(holdings.belief(&chain, Duration::from_secs(600)), Belief::No);
    let mut search = Search::new(&request(5, "a"), &fleet(9), &LoadTable::default(), NOW);
    let first = search.next_ask().expect("replicas are eligible").replica;
    search.perhaps(first, 9);
    let mut claims = Vec::new();
    while let Some(ask) = search.next_ask() {
        claims.push((ask.replica, ask.claim));
        search.refused(ask.replica, 9);
    }
    assert_eq!(claims[2], (first, Claim::Holder), "the two other homes are asked before");
}

// Symptom: reuse falls as replicas are added, because each computes every workspace's system
// prompt. Sequence: a workspace of many starts chats in a large pool. Cause: homes spread over the
// whole pool whatever the workspace.
#[test]
fn a_small_workspace_of_many_keeps_to_few_replicas() {
    let mut table = fleet(200);
    let used = |table: &ReplicaTable, place: usize| {
        let home = |key| homes(&request(key, "a"), table)[place];
        (0..2_000).map(home).collect::<std::collections::BTreeSet<_>>().len()
    };
    assert!(used(&table, 0) > 190);
    table.set_workspaces(18_000);
    assert!(used(&table, 0) < 30);
    assert!(used(&table, 2) > 190, "what overflows spreads over the pool");
    let mut table = fleet(6);
    table.set_workspaces(18_000);
    for number in 0..200 {
        table.upsert(Replica::new(format!("far-{number}"), "far", "f", "m"));
    }
    let near = |index| table.get(index).is_some_and(|replica| &*replica.region == "near");
    assert!((0..2_000).all(|key| homes(&request(key, "a"), &table).into_iter().all(near)));
}

// Symptom: an engine whose memory is short carries more than the bound for seconds. Sequence: it
// drops the context of a chat that pauses, the chat returns and is priced as if it were held, and
// so are all others that paused as long. Cause: an estimate that its own figures do not correct.
#[test]
fn what_an_engine_drops_is_priced_once_its_figures_show_it() {
    let chat = |number: usize| {
        let texts = [format!("chat {number}"), "answer".into(), "again".into()];
        prefix_blocks("w", "m", messages(&texts))
    };
    let mut holdings = Holdings::new(1_000);
    for number in 0..40 {
        holdings.store(&chat(number)[..2], NOW);
    }
    let later = Duration::from_secs(90);
    assert_ne!(holdings.expected_tokens(&chat(0), later), 0);
    for number in 0..20 {
        // Engines that never report what they found say nothing by a zero.
        holdings.learn(&chat(number), 0, 100, later);
    }
    assert_ne!(holdings.expected_tokens(&chat(39), later), 0);
    holdings.learn(&chat(0), 90, 100, later);
    for number in 0..20 {
        holdings.learn(&chat(number), 0, 100, later);
    }
    assert_eq!(holdings.expected_tokens(&chat(39), later), 0);
    assert_ne!(holdings.expected_tokens(&chat(39), Duration::from_secs(20)), 0);
    assert_eq!(holdings.belief(&chat(39), later), Belief::Held);
}

proptest! {
    // Symptom: an engine that lies about its cache, or figures that arrive late, twice or in
    // another order, drive its chats away or are believed for ever. Sequence: any figures, then
    // true ones. Cause: an estimate that decides more than a price, or that old figures fix.
    #[test]
    fn figures_change_prices_alone_and_true_ones_win(
        told in prop::collection::vec(
            (prop_oneof![0..200u64, any::<u64>()], prop_oneof![0..200u64, any::<u64>()], 0..100_000u64),
            0..60,
        ),
    ) {
        let texts: Vec<String> = ["a", "b", "c"].map(Into::into).into();
        let chain = prefix_blocks("w", "m", messages(&texts));
        let mut holdings = Holdings::new(64);
        holdings.store(&chain[..2], NOW);
        for (cached_tokens, prompt_tokens, at_s) in told {
            let at = Duration::from_secs(at_s);
            holdings.learn(&chain, cached_tokens, prompt_tokens, at);
            prop_assert!(holdings.expected_tokens(&chain, at) <= holdings.held_tokens(&chain));
            prop_assert_eq!(holdings.belief(&chain, at), Belief::Held);
        }
        let now = Duration::from_secs(100);
        for _ in 0..20 {
            holdings.learn(&chain, 90, 100, now);
        }
        prop_assert_eq!(holdings.expected_tokens(&chain, now), holdings.held_tokens(&chain));
        for _ in 0..20 {
            holdings.learn(&chain, 1, 100, now);
        }
        prop_assert_eq!(holdings.expected_tokens(&chain, now), chain[0].tokens);
    }
}
