//! Troubles that a run can play, alone, in series or overlapping.

use std::error::Error;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::SeedableRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_pcg::Pcg32;
use serde_json::json;
use tokio::sync::watch;

use super::content::StreamRoute;
use super::engine::Engine;
use super::fleet::{MAIN_SERVICE, OTHER_SERVICE, StreamFleet};
use super::log::TroubleLog;

/// Time for which an engine that is replaced serves on.
const SERVES_ON: Duration = Duration::from_millis(2_500);
/// Time for which a draining engine stays listed.
const DRAINING: Duration = Duration::from_millis(3_000);
/// Time in which the engines of a release are replaced one after the other.
const RELEASE: Duration = Duration::from_millis(3_000);
/// Time for which killed routers are down.
const DOWN: Duration = Duration::from_millis(1_000);
/// Time for which faults of the store and of answers last.
const FAULT: Duration = Duration::from_millis(4_500);
/// Share of the engines that crash.
const CRASHING_SHARE: f64 = 0.17;

macro_rules! troubles {
    ($($name:ident = $text:literal, $help:literal;)*) => {
        /// A trouble by its name on the command line.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Trouble {
            $(#[doc = $help] $name,)*
        }

        impl Trouble {
            /// Every trouble.
            pub const ALL: &[Trouble] = &[$(Trouble::$name),*];
        }

        impl fmt::Display for Trouble {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Trouble::$name => $text,)* })
            }
        }

        impl FromStr for Trouble {
            type Err = String;

            fn from_str(text: &str) -> Result<Self, String> {
                match text {
                    $($text => Ok(Trouble::$name),)*
                    _ => Err(format!("trouble {text:?} does not exist")),
                }
            }
        }
    };
}

troubles! {
    ReleaseHalf = "release-half", "Half of the engines are replaced by those of a new version.";
    ReleaseAll = "release-all", "All engines are replaced by those of a new version.";
    KillOne = "kill-one", "One router is killed and starts again.";
    KillSixth = "kill-sixth", "A sixth of the routers is killed and starts again.";
    KillAll = "kill-all", "All routers are killed and start again.";
    StopInSeries = "stop-in-series", "Routers stop at SIGTERM and start again, one after the other.";
    LateRouter = "late-router", "One router is killed and starts again five seconds later.";
    FreezeSixth = "freeze-sixth", "A sixth of the routers is suspended for two seconds.";
    ResetCallers = "reset-callers", "Half of the callers lose their connections.";
    SplitRoute = "split-route", "The resumable routes are split 90:10 over two services.";
    MoveRoute = "move-route", "The resumable routes move to another service, and back.";
    StoreSilent = "store-silent", "The store is silent for a third of the routers.";
    StoreLapse = "store-lapse", "The store is silent for all, and the entries of engines lapse.";
    CrashEngines = "crash-engines", "A sixth of the engines crashes and starts again.";
    ResetStreams = "reset-streams", "Engines reset one stream in five in the middle of an event.";
    Unframed = "unframed", "Streams end with their connection.";
    CutLastEvent = "cut-last-event", "One stream in five ends without its last line.";
    LateAnswers = "late-answers", "Answers to earlier requests come again on kept connections.";
}

/// What troubles act on.
pub(super) struct Troubles {
    pub(super) fleet: Arc<StreamFleet>,
    /// Makes half of the callers lose their connections.
    pub(super) resets: watch::Sender<u64>,
    pub(super) log: TroubleLog,
    pub(super) started_at: Instant,
}

type Outcome<T> = Result<T, Box<dyn Error + Send + Sync>>;

impl Troubles {
    /// Plays a trouble to its end.
    pub(super) async fn play(
        self: Arc<Self>,
        trouble: Trouble,
        number: usize,
        seed: u64,
    ) -> Outcome<()> {
        let mut random = Pcg32::seed_from_u64(seed);
        let routers = self.fleet.routers.len();
        self.log(format!("{trouble} begins"));
        match trouble {
            Trouble::ReleaseHalf => self.release(number, 0.5, &mut random).await?,
            Trouble::ReleaseAll => self.release(number, 1.0, &mut random).await?,
            Trouble::KillOne => self.restart(1, Signal::SIGKILL, DOWN, &mut random).await?,
            Trouble::KillSixth => {
                self.restart(routers.div_ceil(6), Signal::SIGKILL, DOWN, &mut random).await?;
            }
            Trouble::KillAll => self.restart(routers, Signal::SIGKILL, DOWN, &mut random).await?,
            Trouble::LateRouter => {
                self.restart(1, Signal::SIGKILL, 5 * DOWN, &mut random).await?;
            }
            Trouble::StopInSeries => self.stop_in_series(&mut random).await?,
            Trouble::FreezeSixth => self.freeze(routers.div_ceil(6), &mut random).await?,
            Trouble::ResetCallers => self.resets.send_modify(|count| *count += 1),
            Trouble::SplitRoute => self.split_route(),
            Trouble::MoveRoute => {
                self.route_to(OTHER_SERVICE);
                tokio::time::sleep(FAULT).await;
                self.route_to(MAIN_SERVICE);
            }
            Trouble::StoreSilent => self.silence_store(routers.div_ceil(3), &mut random).await,
            Trouble::StoreLapse => self.lapse_store().await,
            Trouble::CrashEngines => self.crash_engines(&mut random).await?,
            Trouble::ResetStreams => {
                self.fleet.set_behaviour(|behaviour| behaviour.reset_one_in = 5);
                tokio::time::sleep(FAULT).await;
                self.fleet.set_behaviour(|behaviour| behaviour.reset_one_in = 0);
            }
            Trouble::Unframed => {
                self.fleet.set_behaviour(|behaviour| behaviour.is_unframed = true);
                tokio::time::sleep(FAULT).await;
                self.fleet.set_behaviour(|behaviour| behaviour.is_unframed = false);
            }
            Trouble::CutLastEvent => {
                self.fleet.set_behaviour(|behaviour| behaviour.cut_last_event_one_in = 5);
                tokio::time::sleep(FAULT).await;
                self.fleet.set_behaviour(|behaviour| behaviour.cut_last_event_one_in = 0);
            }
            Trouble::LateAnswers => {
                self.fleet.set_behaviour(|behaviour| behaviour.late_answer_one_in = 3);
                tokio::time::sleep(FAULT).await;
                self.fleet.set_behaviour(|behaviour| behaviour.late_answer_one_in = 0);
            }
        }
        self.log(format!("{trouble} ends"));
        Ok(())
    }

    fn log(&self, text: String) {
        self.log.add(self.started_at.elapsed(), text);
    }

    /// Replaces a share of the engines one after the other. Every other one reports that it drains;
    /// the rest lose their entries and serve on.
    async fn release(&self, number: usize, share: f64, random: &mut Pcg32) -> Outcome<()> {
        let mut engines = self.fleet.engines();
        engines.shuffle(random);
        engines.truncate((engines.len() as f64 * share) as usize);
        let pause = RELEASE / engines.len().max(1) as u32;
        let version = format!("v{}", number + 2);
        let mut leaving = tokio::task::JoinSet::new();
        for (place, old) in engines.into_iter().enumerate() {
            self.fleet.start_engine(old.service, &version)?;
            leaving.spawn(leave(self.fleet.clone(), old, place % 2 == 0));
            tokio::time::sleep(pause).await;
        }
        self.log(format!("all engines of {version} are listed"));
        while leaving.join_next().await.is_some() {}
        Ok(())
    }

    /// Ends random routers at the same time and starts them again.
    async fn restart(
        &self,
        count: usize,
        signal: Signal,
        down: Duration,
        random: &mut Pcg32,
    ) -> Outcome<()> {
        let mut restarts = tokio::task::JoinSet::new();
        for number in self.random_routers(count, random) {
            self.log(format!("router-{number} gets {signal}"));
            let fleet = self.fleet.clone();
            restarts.spawn(async move { fleet.restart_router(number, signal, down).await });
        }
        while let Some(result) = restarts.join_next().await {
            result??;
        }
        Ok(())
    }

    async fn stop_in_series(&self, random: &mut Pcg32) -> Outcome<()> {
        for number in self.random_routers(4, random) {
            self.log(format!("router-{number} gets SIGTERM"));
            self.fleet.restart_router(number, Signal::SIGTERM, Duration::ZERO).await?;
        }
        Ok(())
    }

    async fn freeze(&self, count: usize, random: &mut Pcg32) -> Outcome<()> {
        let numbers = self.random_routers(count, random);
        for number in &numbers {
            self.log(format!("router-{number} is suspended"));
            self.fleet.router(*number).process.signal(Signal::SIGSTOP)?;
        }
        tokio::time::sleep(2 * DOWN).await;
        for number in &numbers {
            self.fleet.router(*number).process.signal(Signal::SIGCONT)?;
        }
        Ok(())
    }

    /// Splits the resumable routes over two services.
    fn split_route(&self) {
        self.fleet.publish(|configuration| {
            for route in StreamRoute::ALL.into_iter().filter(|route| route.is_resumable()) {
                let route = configuration.route_mut(route.prefix());
                route["service"] = json!(null);
                route["traffic_split"] = json!([
                    { "service": MAIN_SERVICE, "weight": 90 },
                    { "service": OTHER_SERVICE, "weight": 10 },
                ]);
            }
        });
    }

    /// Sends the resumable routes to one service.
    fn route_to(&self, service: &str) {
        self.log(format!("the configuration names {service}"));
        self.fleet.publish(|configuration| {
            for route in StreamRoute::ALL.into_iter().filter(|route| route.is_resumable()) {
                let route = configuration.route_mut(route.prefix());
                route["service"] = json!(service);
                route["traffic_split"] = json!([]);
            }
        });
    }

    async fn silence_store(&self, count: usize, random: &mut Pcg32) {
        let numbers = self.random_routers(count, random);
        for number in &numbers {
            self.fleet.router(*number).store_proxy.set_frozen(true);
        }
        self.log(format!("the store is silent for routers {numbers:?}"));
        tokio::time::sleep(2 * FAULT).await;
        for number in &numbers {
            self.fleet.router(*number).store_proxy.set_frozen(false);
        }
    }

    /// Freezes the paths of all routers to the store, and lists the engines again only a second after
    /// it is back.
    async fn lapse_store(&self) {
        let set_frozen = |is_frozen: bool| {
            for number in 0..self.fleet.routers.len() {
                self.fleet.router(number).store_proxy.set_frozen(is_frozen);
            }
        };
        set_frozen(true);
        tokio::time::sleep(FAULT).await;
        let engines = self.fleet.engines();
        engines.iter().for_each(|engine| self.fleet.remove_entry(engine));
        set_frozen(false);
        tokio::time::sleep(DOWN).await;
        engines.iter().for_each(|engine| self.fleet.put_entry(engine, "ready"));
    }

    /// Crashes engines; they start again under the identifiers that they had.
    async fn crash_engines(&self, random: &mut Pcg32) -> Outcome<()> {
        let engines = self.fleet.engines();
        let count = (engines.len() as f64 * CRASHING_SHARE).ceil() as usize;
        let crashed: Vec<_> = engines.sample(random, count).cloned().collect();
        crashed.iter().for_each(|engine| engine.upstream.stop());
        tokio::time::sleep(FAULT).await;
        for engine in &crashed {
            engine.upstream.restart().await?;
            self.fleet.put_entry(engine, "ready");
        }
        Ok(())
    }

    fn random_routers(&self, count: usize, random: &mut Pcg32) -> Vec<usize> {
        let mut numbers: Vec<usize> = (0..self.fleet.routers.len()).collect();
        numbers.shuffle(random);
        numbers.truncate(count);
        numbers.sort_unstable();
        numbers
    }
}

/// Ends an engine that is replaced.
async fn leave(fleet: Arc<StreamFleet>, engine: Arc<Engine>, drains: bool) {
    if drains {
        fleet.put_entry(&engine, "draining");
        tokio::time::sleep(DRAINING).await;
        fleet.remove_entry(&engine);
    } else {
        fleet.remove_entry(&engine);
        tokio::time::sleep(SERVES_ON).await;
    }
    fleet.end_engine(&engine);
}
