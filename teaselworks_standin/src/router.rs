//! One real router process: its settings file, signals, log and end.

use std::env;
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;
use std::process::{self, Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use reqwest::Client;
use serde_json::Value;
use teaselworks_config::settings::Settings;

use crate::http::PortGuard;

/// Time between two looks at a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for an operators' answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

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

/// Ports kept for one router through its restarts.
#[derive(Debug)]
pub struct RouterPorts {
    /// Callers' port.
    pub callers: PortGuard,
    /// Port for links.
    pub links: PortGuard,
    /// Operators' port.
    pub operators: PortGuard,
}

impl RouterPorts {
    /// Takes three free ports.
    pub fn take() -> io::Result<Self> {
        Ok(Self {
            callers: PortGuard::take()?,
            links: PortGuard::take()?,
            operators: PortGuard::take()?,
        })
    }
}

/// A router process; killed, and its settings file removed, when dropped.
pub struct RouterProcess {
    program: Program,
    settings: Settings,
    file: PathBuf,
    child: Option<Child>,
    log: Arc<Mutex<Vec<String>>>,
    http: Client,
    _ports: RouterPorts,
}

impl RouterProcess {
    /// Writes the settings to a temporary file and starts the process.
    pub fn start(program: Program, settings: Settings, ports: RouterPorts) -> io::Result<Self> {
        static FILES: AtomicU64 = AtomicU64::new(0);
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let name = format!("teaselworks-{}-{number}.json", process::id());
        let file = env::temp_dir().join(name);
        let http = Client::builder().no_proxy().timeout(ANSWER_TIMEOUT).build();
        let http = http.map_err(io::Error::other)?;
        let log = Arc::default();
        let mut router = Self { program, settings, file, child: None, log, http, _ports: ports };
        router.spawn()?;
        Ok(router)
    }

    fn spawn(&mut self) -> io::Result<()> {
        fs::write(&self.file, serde_json::to_vec_pretty(&self.settings)?)?;
        let mut child = Command::new(&self.program.path)
            .args(&self.program.arguments)
            .arg("--settings")
            .arg(&self.file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let stderr = child.stderr.take().expect("standard error is piped");
        let log = self.log.clone();
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                log.lock().expect("lock is never poisoned").push(line);
            }
        });
        self.child = Some(child);
        Ok(())
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Changes the settings that the next start reads.
    pub fn set_settings(&mut self, change: impl FnOnce(&mut Settings)) {
        change(&mut self.settings);
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.settings.router.name
    }

    /// Returns the base URL of the callers' port.
    pub fn callers_url(&self) -> String {
        format!("http://{}", self.settings.listen.callers)
    }

    /// Returns the base URL of the operators' port.
    pub fn operators_url(&self) -> String {
        format!("http://{}", self.settings.listen.operators)
    }

    /// Returns the lines logged so far, over all starts.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().expect("lock is never poisoned").clone()
    }

    /// Returns the process id while the process runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Asks the process to stop as planned.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Stops the process without letting it run on: it holds its connections and does nothing.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process run on.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    fn signal(&self, signal: Signal) {
        // The child is not yet waited for, so that its id cannot name another process.
        let Some(id) = self.id().and_then(|id| i32::try_from(id).ok()) else { return };
        let _ = kill(Pid::from_raw(id), signal);
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Starts the process again, on the same ports, after it was killed or has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.spawn()
    }

    /// Waits for the process to end; `None` when it still runs after the time.
    pub async fn until_exit(&mut self, time: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < time {
            if let Some(status) = self.exit_status() {
                return Some(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }

    fn exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Waits until a path of the operators' port answers 200; fails when the process ends or the
    /// time passes, with the process's log.
    pub async fn until_ok(&mut self, path: &str, time: Duration) -> Result<(), String> {
        let start = Instant::now();
        let url = format!("{}{path}", self.operators_url());
        let mut last = String::new();
        while start.elapsed() < time {
            if let Some(status) = self.exit_status() {
                return Err(format!("{} ended: {status}\n{}", self.name(), self.log().join("\n")));
            }
            last = match self.http.get(&url).send().await {
                Ok(response) if response.status().is_success() => return Ok(()),
                Ok(response) => response.text().await.unwrap_or_default(),
                Err(error) => error.to_string(),
            };
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let log = self.log().join("\n");
        Err(format!("{} does not answer 200 at {path}: {last}\n{log}", self.name()))
    }

    /// Waits until the router sees so many routers alive, itself included.
    pub async fn until_alive(&self, routers: usize, time: Duration) -> Result<(), String> {
        let start = Instant::now();
        let mut last = String::new();
        while start.elapsed() < time {
            let known = self.get("/status").await.map(|status| alive(&status));
            match known {
                Ok(known) if known >= routers => return Ok(()),
                Ok(known) => last = format!("{known} of {routers} routers are alive"),
                Err(error) => last = error,
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(format!("{}: {last}\n{}", self.name(), self.log().join("\n")))
    }

    /// Returns a JSON answer of the operators' port; fails with what went wrong.
    pub async fn get(&self, path: &str) -> Result<Value, String> {
        let text = self.get_text(path).await?;
        serde_json::from_str(&text).map_err(|error| format!("{path}: {error}: {text}"))
    }

    /// Returns a text answer of the operators' port; fails with what went wrong.
    pub async fn get_text(&self, path: &str) -> Result<String, String> {
        let url = format!("{}{path}", self.operators_url());
        let response = self.http.get(&url).send().await.map_err(|error| error.to_string())?;
        let status = response.status();
        let text = response.text().await.map_err(|error| error.to_string())?;
        if status.is_success() { Ok(text) } else { Err(format!("{path}: {status}: {text}")) }
    }

    /// Posts JSON to the operators' port; returns status and answer, fails when there is none.
    pub async fn post(&self, path: &str, body: &Value) -> Result<(u16, Value), String> {
        let url = format!("{}{path}", self.operators_url());
        let request = self.http.post(&url).header("content-type", "application/json");
        let sent = request.body(body.to_string()).send().await;
        let response = sent.map_err(|error| error.to_string())?;
        let status = response.status().as_u16();
        let bytes = response.bytes().await.map_err(|error| error.to_string())?;
        Ok((status, serde_json::from_slice(&bytes).unwrap_or(Value::Null)))
    }

    /// Returns the sum of a metric over all its labels that contain every given text; 0 where the
    /// metric is unknown.
    pub async fn metric(&self, name: &str, labels: &[&str]) -> Result<f64, String> {
        let text = self.get_text("/metrics").await?;
        Ok(sum_metric(&text, name, labels))
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("--- log of {}\n{}", self.name(), self.log().join("\n"));
        }
        self.kill();
        let _ = fs::remove_file(&self.file);
    }
}

/// Returns the number of routers that a status shows as alive.
fn alive(status: &Value) -> usize {
    let routers = status["routers"].as_array().cloned().unwrap_or_default();
    routers.iter().filter(|router| router["state"] == "alive").count()
}

/// Sums a metric in Prometheus text over all its labels that contain every given text.
///
/// ```
/// use teaselworks_standin::router::sum_metric;
///
/// let text = "# TYPE a counter\na{x=\"1\"} 2\na{x=\"2\"} 3\nab 9\n";
/// assert_eq!(sum_metric(text, "a", &[]), 5.0);
/// assert_eq!(sum_metric(text, "a", &["x=\"2\""]), 3.0);
/// ```
pub fn sum_metric(text: &str, name: &str, labels: &[&str]) -> f64 {
    let mut sum = 0.0;
    for line in text.lines() {
        let Some((series, value)) = line.rsplit_once(' ') else { continue };
        let (found, found_labels) = series.split_once('{').unwrap_or((series, ""));
        if found == name && labels.iter().all(|label| found_labels.contains(label)) {
            sum += value.parse().unwrap_or(0.0);
        }
    }
    sum
}
