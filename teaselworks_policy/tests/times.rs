//! How long requests take, from those that ended.

use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::times::RouteTimes;

fn after(answers: u32, elapsed: impl Fn(u32) -> Duration) -> RouteTimes {
    let mut times = RouteTimes::default();
    for answer in 0..answers {
        times.add(&route(), elapsed(answer));
    }
    times
}

fn route() -> Arc<str> {
    "route".into()
}

/// Guards against a stop that cuts the one long request in a hundred, since none was seen yet.
#[test]
fn few_answers_say_nothing_of_the_longest() {
    let few = after(30, |_| Duration::from_millis(60));
    assert_eq!(few.usual(&route()).unwrap().longest, None);
    let many = after(200, |answer| Duration::from_millis(if answer == 150 { 400 } else { 60 }));
    let usual = many.usual(&route()).unwrap();
    assert!(usual.most < Duration::from_millis(100), "{usual:?}");
    assert!(usual.longest.unwrap() > Duration::from_millis(700), "{usual:?}");
}
