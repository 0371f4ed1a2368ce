//! What reading one event of an engine's stream costs, by `cargo bench -p teaselworks --bench
//! events`.

use std::hint::black_box;

use bytes::Bytes;
use criterion::{Criterion, Throughput};
use teaselworks::upstream::EventParser;
use teaselworks_policy::name::AttemptId;

/// Events read by one parser, each a piece of its own.
const EVENTS: u64 = 200;

fn main() {
    let attempt = AttemptId { router: "router-0".into(), incarnation: 7, sequence: 1, attempt: 0 };
    let event = Bytes::from(format!(
        "data: {{\"id\":\"chatcmpl-{attempt}\",\"object\":\"chat.completion.chunk\",\
         \"created\":1,\"model\":\"m\",\"choices\":[{{\"index\":0,\
         \"delta\":{{\"content\":\" ballad\"}},\"finish_reason\":null}}]}}\n\n"
    ));
    let mut criterion = Criterion::default().configure_from_args();
    let mut group = criterion.benchmark_group("engine events");
    group.throughput(Throughput::Elements(EVENTS));
    group.bench_function("one a piece", |bencher| {
        bencher.iter(|| {
            let mut parser = EventParser::of_attempt(&attempt);
            for _ in 0..EVENTS {
                black_box(parser.push(event.clone()).expect("the event is valid"));
            }
        });
    });
    group.finish();
    criterion.final_summary();
}
