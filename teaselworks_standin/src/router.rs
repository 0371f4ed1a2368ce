//! One real router process: its settings file, signals, log and end.

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

/// Time between two looks at a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for a router to be ready or to end; far above what either takes.
const PATIENCE: Duration = Duration::from_secs(30);

/// Program that runs a router, and the arguments before `--settings`.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Arguments that choose the router.
    pub arguments: Vec<String>,
}

impl Program {
    /// Returns the `teaselworks` binary at a path.
    pub fn binary(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into(), arguments: vec!["router".into()] }
    }
}

#[derive(Debug)]
struct Ports {
    callers: PortGuard,
    health: PortGuard,
    peers: PortGuard,
    metrics: PortGuard,
}

/// A router process; killed when dropped.
pub struct Router {
    program: Program,
    settings: Value,
    folder: TempDir,
    child: Option<Child>,
    log: Arc<Mutex<Vec<String>>>,
    /// The log is read.
    is_reading: Arc<AtomicBool>,
    ports: Ports,
}

impl Router {
    /// Takes free ports, writes the settings to a folder of its own and starts the process.
    pub fn start(
        program: Program,
        name: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
        bounds: &Value,
    ) -> io::Result<Self> {
        let ports = Ports {
            callers: PortGuard::reserve()?,
            health: PortGuard::reserve()?,
            peers: PortGuard::reserve()?,
            metrics: PortGuard::reserve()?,
        };
        let settings = json!({
            "router": { "name": name, "zone": "a" },
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
            is_reading: Arc::new(AtomicBool::new(true)),
            ports,
        };
        router.spawn()?;
        Ok(router)
    }

    /// Starts the process again after it ended.
    pub fn spawn(&mut self) -> io::Result<()> {
        self.write_settings()?;
        let mut child = Command::new(&self.program.path)
            .args(&self.program.arguments)
            .arg("--settings")
            .arg(self.file())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take().expect("standard output is piped");
        let log = self.log.clone();
        let is_reading = self.is_reading.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                while !is_reading.load(Ordering::Relaxed) {
                    std::thread::sleep(POLL_INTERVAL);
                }
                log.lock().expect("lock is never poisoned").push(line);
            }
        });
        self.child = Some(child);
        Ok(())
    }

    /// Changes the settings and writes their file.
    pub fn change_settings(&mut self, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        change(&mut self.settings);
        self.write_settings()
    }

    fn write_settings(&self) -> io::Result<()> {
        fs::write(self.file(), serde_json::to_vec_pretty(&self.settings)?)
    }

    fn file(&self) -> PathBuf {
        self.folder.path().join("router.jsonc")
    }

    /// Returns the process's identifier while it runs.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the address for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.ports.callers.address()
    }

    /// Returns the address for other routers.
    pub fn peers_address(&self) -> SocketAddr {
        self.ports.peers.address()
    }

    /// Returns the lines logged so far, over all starts.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().expect("lock is never poisoned").clone()
    }

    /// Reads no more of the log, so that the pipe fills up, or reads on.
    pub fn set_log_reading(&self, is_reading: bool) {
        self.is_reading.store(is_reading, Ordering::Relaxed);
    }

    /// Returns the logged lines of an event, decoded.
    pub fn events(&self, name: &str) -> Vec<Value> {
        let lines = self.log();
        let decoded = lines.iter().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        decoded
            .filter(|line| line["message"].as_str().is_some_and(|text| text.ends_with(name)))
            .map(|mut line| line["kvs"].take())
            .collect()
    }

    /// Waits until an event was logged so many times, and returns the lines: the log is written a
    /// moment after what it tells of.
    pub async fn wait_for_events(&self, name: &str, count: usize) -> io::Result<Vec<Value>> {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            let events = self.events(name);
            if events.len() >= count {
                return Ok(events);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(io::Error::other(format!("{name} not logged; the log:\n{}", self.log().join("\n"))))
    }

    /// Tells whether the router reports itself ready.
    pub async fn is_ready(&self) -> bool {
        let question = Call::new("GET", "router", "/readiness", "ready");
        let reply = call(self.ports.health.address(), &question).await;
        reply.is_ok_and(|reply| reply.status() == 200)
    }

    /// Waits until the router is ready.
    pub async fn wait_until_ready(&self) -> io::Result<()> {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if self.is_ready().await {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(io::Error::other(format!("not ready; its log:\n{}", self.log().join("\n"))))
    }

    /// Returns the metrics page.
    pub async fn metrics(&self) -> io::Result<String> {
        let question = Call::new("GET", "router", "/metrics", "metrics");
        Ok(call(self.ports.metrics.address(), &question).await?.text())
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let id = i32::try_from(child.id()).map_err(io::Error::other)?;
        kill(Pid::from_raw(id), signal).map_err(io::Error::from)
    }

    /// Tells whether the process has ended.
    pub fn has_exited(&mut self) -> io::Result<bool> {
        let Some(child) = &mut self.child else { return Ok(true) };
        Ok(child.try_wait()?.is_some())
    }

    /// Waits until the process has ended.
    pub async fn wait_for_exit(&mut self) -> io::Result<ExitStatus> {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            let Some(child) = &mut self.child else { break };
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(io::Error::other("the router did not end"))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        // It may have ended by itself.
        let _ = child.kill();
        let _ = child.wait();
    }
}
