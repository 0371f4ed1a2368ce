//! Time of one call and memory of one value.

use std::hint::black_box;
use std::time::Instant;

use crate::slopes::process::ProcessUse;

/// Series of calls; the quickest counts, as the machine does other work too.
const SERIES: usize = 7;

/// Returns the time of one call in nanoseconds, the least over several series of `calls`.
pub fn time_ns<T>(calls: usize, mut call: impl FnMut(usize) -> T) -> f64 {
    let mut least = f64::MAX;
    for _ in 0..SERIES {
        let start = Instant::now();
        for number in 0..calls {
            black_box(call(number));
        }
        least = least.min(start.elapsed().as_nanos() as f64 / calls as f64);
    }
    least
}

/// Returns the resident memory of one value in bytes, over several made and held together.
pub fn resident_bytes<T>(copies: usize, mut make: impl FnMut() -> T) -> f64 {
    // What an earlier measurement freed is used up first, so that new values need new pages.
    let mut held: Vec<T> = (0..copies).map(|_| make()).collect();
    let before = resident();
    held.extend((0..copies).map(|_| make()));
    let after = resident();
    drop(black_box(held));
    (after - before) / copies as f64
}

fn resident() -> f64 {
    let used = ProcessUse::of(std::process::id()).expect("this process runs");
    used.resident_bytes as f64
}
