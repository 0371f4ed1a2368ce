//! Runs a real router process with its own settings file; reads its log, metrics and exit status.

use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::caller::{Call, call};
use crate::port::PortGuard;

/// Interval at which the state or the log of a process is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum time that tests wait for a router to become ready, exit or log an event; far above what
/// any of these takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Command that runs a router, without the argument `--settings`.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Arguments that make the executable run a router.
    pub arguments: Vec<String>,
}

impl Program {
    /// Returns the command for the `teaselworks` executable at `path`.
    pub fn binary(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into(), arguments: vec!["router".into()] }
    }
}

/// Ports on which a router listens, reserved for all its starts.
#[derive(Debug)]
struct ReservedPorts {
    callers: PortGuard,
    health: PortGuard,
    peers: PortGuard,
    metrics: PortGuard,
}

/// A router process, which is killed when it is dropped.
pub struct Router {
    program: Program,
    settings: Value,
    folder: TempDir,
    child: Option<Child>,
    /// Lines read from standard output, over all starts.
    log: Arc<Mutex<Vec<String>>>,
    /// Whether the thread that reads the log goes on reading.
    is_log_read: Arc<AtomicBool>,
    ports: ReservedPorts,
}

impl Router {
    /// Reserves free ports, writes the settings file to a new temporary folder and starts the
    /// process.
    ///
    /// `store` is the address of the platform's store, `seeds` are addresses of other routers, and
    /// `bounds` is the section `bounds` of the settings.
    pub fn start(
        program: Program,
        name: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
        bounds: &Value,
    ) -> io::Result<Self> {
        let ports = ReservedPorts {
            callers: PortGuard::reserve()?,
            health: PortGuard::reserve()?,
            peers: PortGuard::reserve()?,
            metrics: PortGuard::reserve()?,
        };
        let settings = json!({
            "router": { "name": name, "zone": "a", "is_first_start": true },
            "listen": {
                "callers": ports.callers.address(),
                "health": ports.health.address(),
                "peers": ports.peers.address(),
                "metrics": ports.metrics.address(),
            },
            "platform": { "address": store },
            "seeds": seeds,
            "limits": { "file_descriptors": 4_096 },
            "bounds": bounds,
            "log": { "format": "json", "level": "debug" },
        });
        let folder = tempfile::Builder::new().prefix("teaselworks-").tempdir()?;
        let mut router = Self {
            program,
            settings,
            folder,
            child: None,
            log: Arc::default(),
            is_log_read: Arc::new(AtomicBool::new(true)),
            ports,
        };
        router.spawn()?;
        Ok(router)
    }

    /// Writes the settings file and starts the process, which must not be running.
    pub fn spawn(&mut self) -> io::Result<()> {
        self.write_settings()?;
        let mut child = Command::new(&self.program.path)
            .args(&self.program.arguments)
            .arg("--settings")
            .arg(self.settings_path())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take().expect("standard output is piped");
        let log = self.log.clone();
        let is_log_read = self.is_log_read.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                while !is_log_read.load(Ordering::Relaxed) {
                    std::thread::sleep(POLL_INTERVAL);
                }
                log.lock().expect("lock is never poisoned").push(line);
            }
        });
        self.child = Some(child);
        Ok(())
    }

    /// Changes the settings and writes the settings file.
    pub fn change_settings(&mut self, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        change(&mut self.settings);
        self.write_settings()
    }

    fn write_settings(&self) -> io::Result<()> {
        fs::write(self.settings_path(), serde_json::to_vec_pretty(&self.settings)?)
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.path().join("router.jsonc")
    }

    /// Returns the process identifier, or `None` once [`Router::wait_for_exit`] has returned a
    /// status.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the address on which the router listens for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.ports.callers.address()
    }

    /// Returns the address on which the router listens for other routers.
    pub fn peers_address(&self) -> SocketAddr {
        self.ports.peers.address()
    }

    /// Returns the lines logged so far, over all starts.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().expect("lock is never poisoned").clone()
    }

    /// Stops or resumes reading the log. While it is not read, the pipe from the router fills up.
    pub fn set_log_reading(&self, is_log_read: bool) {
        self.is_log_read.store(is_log_read, Ordering::Relaxed);
    }

    /// Returns the fields of each logged event whose message ends with `name`, in order.
    pub fn events(&self, name: &str) -> Vec<Value> {
        let lines = self.log();
        let decoded = lines.iter().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        decoded
            .filter(|line| line["message"].as_str().is_some_and(|text| text.ends_with(name)))
            .map(|mut line| line["kvs"].take())
            .collect()
    }

    /// Waits until an event was logged at least `count` times, and returns the fields of all its
    /// occurrences. A line is written and read some time after its event, so a test cannot read the
    /// log at once. Fails with the log after [`WAIT_TIMEOUT`].
    pub async fn wait_for_events(&self, name: &str, count: usize) -> io::Result<Vec<Value>> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            let events = self.events(name);
            if events.len() >= count {
                return Ok(events);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(io::Error::other(format!(
            "event {name} not logged {count} times within {WAIT_TIMEOUT:?}; log:\n{}",
            self.log().join("\n")
        )))
    }

    /// Returns whether the router's readiness check responds with 200.
    pub async fn is_ready(&self) -> bool {
        let request = Call::new("GET", "router", "/readiness", "ready");
        let reply = call(self.ports.health.address(), &request).await;
        reply.is_ok_and(|reply| reply.status() == 200)
    }

    /// Waits until the router is ready. Fails with the log after [`WAIT_TIMEOUT`].
    pub async fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if self.is_ready().await {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(io::Error::other(format!(
            "router not ready within {WAIT_TIMEOUT:?}; log:\n{}",
            self.log().join("\n")
        )))
    }

    /// Returns the text of the metrics page.
    pub async fn metrics(&self) -> io::Result<String> {
        let request = Call::new("GET", "router", "/metrics", "metrics");
        Ok(call(self.ports.metrics.address(), &request).await?.text())
    }

    /// Sends a signal to the process; does nothing after its exit status was read.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let id = i32::try_from(child.id()).map_err(io::Error::other)?;
        kill(Pid::from_raw(id), signal).map_err(io::Error::from)
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> io::Result<bool> {
        let Some(child) = &mut self.child else { return Ok(true) };
        Ok(child.try_wait()?.is_some())
    }

    /// Waits until the process has exited and returns its status. Fails after [`WAIT_TIMEOUT`], or
    /// if the status was already returned.
    pub async fn wait_for_exit(&mut self) -> io::Result<ExitStatus> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            let Some(child) = &mut self.child else { break };
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(io::Error::other("router process did not exit in time, or its status was read before"))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        // Killing fails if the process has already exited.
        let _ = child.kill();
        let _ = child.wait();
    }
}
