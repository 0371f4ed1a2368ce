//! Demonstrates the router with simulated engines: chats whose later turns reuse the prompt cache
//! of their engine, and which go on while a router is stopped. The exit code is 0 only if every
//! turn got a complete response, the stopped router exited without an error, and the engines reused
//! more prompt tokens from their caches than they had to process.

use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

use nix::sys::signal::Signal;
use teaselworks_standin::caller::{Call, call};
use teaselworks_standin::configuration::{API_KEY, HOST};
use teaselworks_standin::engine::{PromptCache, engine_behaviour};
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::program::main_or_router;
use teaselworks_standin::router::{Program, Router};

const CHATS: u32 = 8;
const TURNS_PER_CHAT: u32 = 4;
const EVENTS_PER_RESPONSE: u32 = 12;
/// Time between two events of a response.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);

fn main() -> ExitCode {
    main_or_router(run)
}

async fn run() -> Result<(), Box<dyn Error>> {
    let mut fleet = Fleet::start(Program::binary(std::env::current_exe()?), 3).await?;
    let caches = [PromptCache::default(), PromptCache::default()];
    for (engine, cache) in fleet.engines.iter().zip(&caches) {
        engine.set_behaviour(engine_behaviour(cache.clone(), EVENTS_PER_RESPONSE, EVENT_INTERVAL));
    }
    println!(
        "3 routers, 2 engines; {CHATS} chats of {TURNS_PER_CHAT} turns, each turn at another router"
    );
    for turn in 0..TURNS_PER_CHAT {
        if turn == TURNS_PER_CHAT / 2 {
            println!("router-0 is stopped with SIGTERM; the other routers go on");
            fleet.routers[0].signal(Signal::SIGTERM)?;
        }
        for chat in 0..CHATS {
            let first_running = if turn < TURNS_PER_CHAT / 2 { 0 } else { 1 };
            let routers: &[Router] = &fleet.routers[first_running..];
            let router = &routers[(chat + turn) as usize % routers.len()];
            send_turn(router, chat, turn).await?;
        }
    }
    let status = fleet.routers[0].wait_for_exit().await?;
    if !status.success() {
        return Err(format!("router-0 ended with {status}").into());
    }
    let mut processed_tokens = 0;
    let mut reused_tokens = 0;
    for (engine, cache) in fleet.engines.iter().zip(&caches) {
        let tokens = cache.tokens();
        println!(
            "{}: {} prompt tokens processed, {} reused",
            engine.id, tokens.processed, tokens.reused
        );
        processed_tokens += tokens.processed;
        reused_tokens += tokens.reused;
    }
    println!("all {} turns got a complete response", CHATS * TURNS_PER_CHAT);
    if reused_tokens <= processed_tokens {
        return Err("the engines reused no more prompt tokens than they had to process".into());
    }
    Ok(())
}

/// Sends one turn of a chat and checks that the response is complete. The prompt consists of the
/// workspace's instructions, which all chats share, the start of the chat, which its turns share,
/// and a part of the turn's own.
async fn send_turn(router: &Router, chat: u32, turn: u32) -> Result<(), Box<dyn Error>> {
    let prefix =
        format!("a:400,{:x}:1200,{:x}:60", 0x100 + chat, 0x10_000 + chat * TURNS_PER_CHAT + turn);
    let request = Call::new("POST", HOST, "/gloss/verse", &format!("{chat}-{turn}"))
        .with_api_key(API_KEY)
        .with_header("X-Model", "m")
        .with_header("X-Token-Usage", "1660,84")
        .with_header("X-Prompt-Prefix", &prefix)
        .with_header("X-Deadline-Ms", "8000")
        .with_body("Which verse is older?");
    let reply = call(router.callers_address(), &request).await?;
    let expected: Vec<u32> = (1..=EVENTS_PER_RESPONSE).collect();
    if reply.status() != 200 || !reply.body.is_whole || reply.events() != expected {
        let events = reply.events();
        return Err(format!(
            "chat {chat}, turn {turn}: incomplete response, status {}, events {events:?}",
            reply.status()
        )
        .into());
    }
    Ok(())
}
