//! Runs one stand-in by hand until it is interrupted.

use std::process::ExitCode;

use teaselworks_standin::engine::{Engine, EngineOptions};
use teaselworks_standin::platform::Platform;
use teaselworks_standin::service::Service;
use teaselworks_standin::vm_list::VmList;

const USAGE: &str = "usage: standin platform|engine|service|vm-list";

#[tokio::main]
async fn main() -> ExitCode {
    let kind = std::env::args().nth(1).unwrap_or_default();
    match run(&kind).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(kind: &str) -> std::io::Result<()> {
    match kind {
        "platform" => {
            let platform = Platform::start()?;
            wait(&platform.url()).await
        }
        "engine" => {
            let engine = Engine::start(EngineOptions::default())?;
            wait(&engine.url()).await
        }
        "service" => {
            let service = Service::start()?;
            wait(&service.url()).await
        }
        "vm-list" => {
            let list = VmList::start()?;
            wait(&list.url()).await
        }
        _ => Err(std::io::Error::other(USAGE)),
    }
}

async fn wait(url: &str) -> std::io::Result<()> {
    println!("{url}");
    tokio::signal::ctrl_c().await
}
