//! How long ago a signal can have been sent that the event loop learns of late.

use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::{Signal, raise};
use teaselworks::kernel::{Wakeups, block_signals};
use teaselworks_policy::clock::ManualClock;

/// Time for which the process does not run.
const PAUSE: Duration = Duration::from_secs(1);
/// Time between two wake-ups.
const WAKEUP_INTERVAL: Duration = Duration::from_millis(1);
/// Largest number of wake-ups between a pause and the event loop's learning of the signal.
const MAX_WAKEUPS: u32 = 12;

/// Guards against a pause that counts as shorter than it was, since the event loop wakes up more often
/// after it before it learns of the signal that was sent meanwhile.
#[test]
fn wakeups_after_a_pause_do_not_shorten_it() {
    for count in 0..=MAX_WAKEUPS {
        let clock = Arc::new(ManualClock::default());
        let wakeups = Wakeups::new(clock.clone());
        wakeups.watch(&[Signal::SIGUSR1 as i32]).unwrap();
        for _ in 0..3 {
            clock.advance(WAKEUP_INTERVAL);
            wakeups.record();
        }
        clock.advance(PAUSE);
        raise(Signal::SIGUSR1).unwrap();
        for _ in 0..count {
            wakeups.record();
            clock.advance(WAKEUP_INTERVAL);
        }
        assert_eq!(wakeups.max_signal_delay(), PAUSE + count * WAKEUP_INTERVAL, "{count} wake-ups");
    }
}

/// Guards against a pause before a signal that counts as its delay.
#[test]
fn a_pause_before_a_signal_is_no_delay() {
    let clock = Arc::new(ManualClock::default());
    let wakeups = Wakeups::new(clock.clone());
    wakeups.watch(&[Signal::SIGUSR2 as i32]).unwrap();
    wakeups.record();
    clock.advance(PAUSE);
    wakeups.record();
    raise(Signal::SIGUSR2).unwrap();
    clock.advance(WAKEUP_INTERVAL);
    wakeups.record();
    assert_eq!(wakeups.max_signal_delay(), WAKEUP_INTERVAL);
}

/// Guards against a signal that is handled on a thread whose handler may run only after the event loop has
/// woken up.
#[test]
fn a_thread_that_blocks_signals_does_not_handle_them() {
    let clock = Arc::new(ManualClock::default());
    let wakeups = Wakeups::new(clock.clone());
    wakeups.watch(&[Signal::SIGURG as i32]).unwrap();
    wakeups.record();
    let raising = std::thread::spawn(|| {
        block_signals();
        raise(Signal::SIGURG).unwrap();
    });
    raising.join().unwrap();
    for _ in 0..2 {
        clock.advance(PAUSE);
        wakeups.record();
    }
    assert_eq!(wakeups.max_signal_delay(), Duration::ZERO);
}
