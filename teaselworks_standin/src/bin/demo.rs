//! Shows the main job with stand-ins: chats that return, reuse their cache, and outlive a router's
//! planned stop. Ends with exit code 0 only when every chat was answered whole.

use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

use nix::sys::signal::Signal;
use teaselworks_standin::caller::{Call, call};
use teaselworks_standin::configuration::{HOST, KEY};
use teaselworks_standin::engine::{Cache, behaviour};
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::program::main_of;
use teaselworks_standin::router::{Program, Router};

/// Chats held.
const CHATS: u32 = 8;
/// Turns of each chat.
const TURNS: u32 = 4;
/// Events of each answer.
const EVENTS: u32 = 12;
/// Time between events.
const GAP: Duration = Duration::from_millis(5);

fn main() -> ExitCode {
    main_of(run)
}

async fn run() -> Result<(), Box<dyn Error>> {
    let mut fleet = Fleet::start(Program::binary(std::env::current_exe()?), 3).await?;
    let caches = [Cache::default(), Cache::default()];
    for (engine, cache) in fleet.engines.iter().zip(&caches) {
        engine.set_behaviour(behaviour(cache.clone(), EVENTS, GAP));
    }
    println!("3 routers, 2 engines; {CHATS} chats of {TURNS} turns, each turn at another router");
    for turn in 0..TURNS {
        if turn == TURNS / 2 {
            println!("router-0 gets SIGTERM; the others go on");
            fleet.routers[0].signal(Signal::SIGTERM)?;
        }
        for chat in 0..CHATS {
            let running = if turn < TURNS / 2 { 0 } else { 1 };
            let routers: &[Router] = &fleet.routers[running..];
            let router = &routers[(chat + turn) as usize % routers.len()];
            hold_turn(router, chat, turn).await?;
        }
    }
    let status = fleet.routers[0].ended().await?;
    if !status.success() {
        return Err(format!("router-0 ended with {status}").into());
    }
    let mut read = 0;
    let mut reused = 0;
    for (engine, cache) in fleet.engines.iter().zip(&caches) {
        let tokens = cache.tokens();
        println!("{}: {} prompt tokens read, {} reused", engine.id, tokens.read, tokens.reused);
        read += tokens.read;
        reused += tokens.reused;
    }
    println!("all {} turns answered whole", CHATS * TURNS);
    if reused <= read {
        return Err("chats that returned did not find their cache".into());
    }
    Ok(())
}

/// Holds one turn: the prompt is the workspace's instructions, the chat so far, and the new line.
async fn hold_turn(router: &Router, chat: u32, turn: u32) -> Result<(), Box<dyn Error>> {
    let prefix = format!("a:400,{:x}:1200,{:x}:60", 0x100 + chat, 0x10_000 + chat * TURNS + turn);
    let request = Call::new("POST", HOST, "/gloss/verse", &format!("{chat}-{turn}"))
        .key(KEY)
        .with("X-Model", "m")
        .with("X-Token-Usage", "1660,84")
        .with("X-Prompt-Prefix", &prefix)
        .with("X-Deadline-Ms", "8000")
        .body("Which verse is older?");
    let reply = call(router.callers(), &request).await?;
    let expected: Vec<u32> = (1..=EVENTS).collect();
    if reply.status() != 200 || !reply.body.is_whole || reply.events() != expected {
        let events = reply.events();
        return Err(format!("chat {chat}, turn {turn}: {} {events:?}", reply.status()).into());
    }
    Ok(())
}
