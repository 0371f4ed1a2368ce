//! The checker of histories finds each kind of planted fault, and no fault in a valid history.

use teaselworks_standin::checker::{History, Observation, Told};

fn executed(key: &str) -> Observation {
    Observation::Executed { key: key.into() }
}

fn outcome(key: &str, told: Told) -> Observation {
    Observation::Outcome { key: key.into(), told }
}

fn accepted(patch: &str, version: u64) -> Observation {
    Observation::Accepted { patch: patch.into(), version }
}

fn in_force(router: &str, version: u64) -> Observation {
    Observation::InForce { router: router.into(), version }
}

fn worked(tokens: u64) -> Observation {
    Observation::Worked { workspace: "w".into(), tokens }
}

fn charged(tokens: u64) -> Observation {
    Observation::Charged { workspace: "w".into(), tokens }
}

fn valid() -> Vec<Observation> {
    vec![
        executed("a"),
        outcome("a", Told::Answered),
        outcome("a", Told::Unknown),
        outcome("b", Told::NotRun),
        accepted("p", 1),
        accepted("p", 1),
        accepted("q", 2),
        in_force("r", 1),
        in_force("s", 2),
        in_force("r", 2),
        worked(5),
        worked(3),
        charged(8),
    ]
}

#[test]
fn each_planted_fault_is_found_and_nothing_else() {
    let planted = [
        (executed("a"), "call a was executed 2 times"),
        (executed("b"), "call b: told not run, ran"),
        (outcome("c", Told::Answered), "call c: answered, did not run"),
        (accepted("x", 2), "version 2 was made by q and by x"),
        (accepted("p", 3), "patch p made version 1 and 3"),
        (in_force("r", 1), "r went back from version 2 to 1"),
        (charged(1), "w was charged 9 tokens for 8"),
        (worked(1), "w was charged 8 tokens for 9"),
    ];
    let history = |observations: Vec<Observation>| {
        let mut history = History::default();
        observations.into_iter().for_each(|observation| history.add(observation));
        history.violations()
    };
    assert_eq!(history(valid()), Vec::<String>::new());
    for (fault, violation) in planted {
        let mut observations = valid();
        observations.push(fault);
        assert_eq!(history(observations), [violation]);
    }
}
