//! Processor time and memory of a process as the operating system counts them.

use std::fs;
use std::io;
use std::time::Duration;

/// Processor time and memory of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUse {
    /// Processor time of all its threads since its start.
    pub processor: Duration,
    /// Resident memory.
    pub resident_bytes: u64,
    /// Highest resident memory so far.
    pub peak_bytes: u64,
}

impl ProcessUse {
    /// Reads the counts of a process by its id; fails when it has ended.
    ///
    /// ```
    /// use teaselworks_lab::slopes::ProcessUse;
    ///
    /// assert!(ProcessUse::of(std::process::id()).unwrap().resident_bytes > 0);
    /// ```
    pub fn of(id: u32) -> io::Result<Self> {
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        Ok(Self {
            processor: processor(id)?,
            resident_bytes: field_bytes(&status, "VmRSS:"),
            peak_bytes: field_bytes(&status, "VmHWM:"),
        })
    }
}

/// Sums the threads' own counts: they are exact, while those of the process come in ticks of
/// 10 ms, too coarse for an idle router.
fn processor(id: u32) -> io::Result<Duration> {
    let mut sum_ns = 0;
    for thread in fs::read_dir(format!("/proc/{id}/task"))? {
        // A thread may end between the listing and the reading.
        let Ok(text) = fs::read_to_string(thread?.path().join("schedstat")) else { continue };
        let first = text.split_whitespace().next().unwrap_or_default();
        sum_ns += first.parse::<u64>().unwrap_or_default();
    }
    Ok(Duration::from_nanos(sum_ns))
}

fn field_bytes(status: &str, field: &str) -> u64 {
    let line = status.lines().find(|line| line.starts_with(field)).unwrap_or_default();
    let kib = line.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    kib.unwrap_or_default() * 1_024
}

/// Returns the average number of runnable threads of the machine over the last minute.
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|text| text.parse().ok()).unwrap_or_default()
}
