//! Tests of a router's start.

use std::fs;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::sys::stat::Mode;
use nix::unistd::{Pid, mkfifo};
use serde_json::json;
use teaselworks_standin::port::PortGuard;

/// Guards against a SIGHUP that ends the router when it arrives before the settings are read: the
/// default action of the signal ends the process until a handler is installed. The signal must
/// instead lead to a reload after the start.
#[tokio::test]
async fn sighup_before_the_settings_are_read_does_not_end_the_router() {
    let ports = [(); 3].map(|()| PortGuard::reserve().unwrap());
    let [callers, health, metrics] = ports.each_ref().map(PortGuard::address);
    let settings = json!({
        "router": { "name": "router-0", "zone": "a" },
        "listen": { "callers": callers, "health": health, "metrics": metrics },
        "platform": { "address": "127.0.0.1:9" },
    });
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("router.jsonc");
    // The router blocks when it reads its settings until the test has written them to this pipe.
    mkfifo(&file, Mode::S_IRUSR | Mode::S_IWUSR).unwrap();
    let mut router = Command::new(env!("CARGO_BIN_EXE_teaselworks"))
        .args(["router", "--settings"])
        .arg(&file)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut pipe = fs::OpenOptions::new().write(true).open(&file).unwrap();
    let id = Pid::from_raw(i32::try_from(router.id()).unwrap());
    kill(id, Signal::SIGHUP).unwrap();
    std::io::Write::write_all(&mut pipe, settings.to_string().as_bytes()).unwrap();
    drop(pipe);
    let mut is_reloaded = false;
    for line in BufReader::new(router.stdout.take().unwrap()).lines().map_while(Result::ok) {
        if line.contains("router_started") {
            // The signal makes the router read the pipe a second time.
            let (file, settings) = (file.clone(), settings.to_string());
            std::thread::spawn(move || fs::write(file, settings));
        }
        is_reloaded = line.contains("settings_reloaded");
        if is_reloaded {
            break;
        }
    }
    kill(id, Signal::SIGKILL).unwrap();
    let status = router.wait().unwrap();
    assert!(is_reloaded, "the router ended with {status}");
}
