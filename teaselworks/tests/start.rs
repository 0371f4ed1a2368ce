//! The start of a router.

use std::fs;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::sys::stat::Mode;
use nix::unistd::{Pid, mkfifo};
use serde_json::json;
use teaselworks_standin::port::PortGuard;

/// Guards against a router that ends since its settings changed while it was starting.
#[tokio::test]
async fn a_hang_up_before_the_settings_are_read_ends_nothing() {
    let ports = [(); 3].map(|()| PortGuard::reserve().unwrap());
    let [callers, health, metrics] = ports.each_ref().map(PortGuard::address);
    let settings = json!({
        "router": { "name": "router-0", "zone": "a" },
        "listen": { "callers": callers, "health": health, "metrics": metrics },
        "platform": { "address": "127.0.0.1:9" },
    });
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("router.jsonc");
    // A pipe holds the start up where the settings are read.
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
    let mut reloaded = false;
    for line in BufReader::new(router.stdout.take().unwrap()).lines().map_while(Result::ok) {
        if line.contains("router_started") {
            // The settings are read once more for the signal.
            let (file, settings) = (file.clone(), settings.to_string());
            std::thread::spawn(move || fs::write(file, settings));
        }
        reloaded = line.contains("settings_reloaded");
        if reloaded {
            break;
        }
    }
    kill(id, Signal::SIGKILL).unwrap();
    let status = router.wait().unwrap();
    assert!(reloaded, "the router ended with {status}");
}
