//! Shows the main job on one machine: a chat that returns through other routers and finds its
//! earlier turns in an engine's cache.
//!
//! The routers are processes of their own: this program starts itself with the hidden first
//! argument `router`. The platform and the engines are stand-ins within this process.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use teaselworks_lab::own_program;
use teaselworks_standin::caller::{Caller, Chat, WholeAnswer};
use teaselworks_standin::engine::{Engine, EngineOptions};
use teaselworks_standin::fleet::{Fleet, FleetPlan, MODEL};

/// Routers of the demonstration.
const ROUTERS: usize = 4;
/// Engines of the demonstration.
const ENGINES: usize = 6;
/// Chats sent at the same time.
const CHATS: usize = 48;
/// Length of each answer in tokens.
const OUTPUT_TOKENS: u32 = 40;
/// Longest line of a question or answer.
const LINE_LENGTH: usize = 84;
/// Longest wait for a router to stop as planned.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

const QUESTIONS: [&str; 3] = [
    "Write a commentary on the ballad of the young miller, who goes up to the spring for water, \
     meets the reapers on his way, is asked three questions by them, and does not come home. \
     Where was it sung, by whom, and at which work or feast? Which of its verses are older than \
     the others, and by which words can one tell? Name the collections that hold it.",
    "Which verses did the singers of the coast change, and what does the change tell?",
    "Gloss the last verse in two lines, so that a class can follow it.",
];

fn main() -> ExitCode {
    if let Some(code) = own_program::run_as_router() {
        return code;
    }
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    match runtime.block_on(demonstrate()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("The demonstration failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn demonstrate() -> Result<(), String> {
    let start = Instant::now();
    println!("Starting {ROUTERS} router processes, {ENGINES} engines, a key-value service.");
    let program = own_program::program().map_err(|error| error.to_string())?;
    let mut plan = FleetPlan::new(program, ROUTERS, ENGINES);
    plan.engine = EngineOptions::default();
    let mut fleet = Fleet::start(plan).await?;
    println!("All routers are ready after {} ms.\n", start.elapsed().as_millis());
    returning_chat(&fleet).await?;
    many_chats(&fleet).await?;
    planned_stop(&mut fleet).await?;
    println!("Every chat was answered whole, each with its own answer.");
    Ok(())
}

/// Sends the turns of one chat through one router after the other.
async fn returning_chat(fleet: &Fleet) -> Result<(), String> {
    println!("One chat returns twice, each time through another router:");
    let mut chat = Chat::new(MODEL, QUESTIONS[0], OUTPUT_TOKENS);
    let mut cached_tokens = Vec::new();
    for (turn, question) in QUESTIONS.iter().enumerate() {
        println!("\n  Turn {} through router-{turn}:", turn + 1);
        print_wrapped("> ", question);
        let answer = fleet.caller(turn).chat(&chat).await.checked(&chat)?;
        print_answer(&answer);
        cached_tokens.push(answer.cached_tokens());
        if let Some(question) = QUESTIONS.get(turn + 1) {
            chat = chat.next(&answer.text, question);
        }
    }
    if cached_tokens[1..].contains(&0) {
        return Err("a returning chat found nothing in the cache".into());
    }
    println!("\nBoth returns found the turns before them in the cache.\n");
    Ok(())
}

fn print_answer(answer: &WholeAnswer) {
    let prompt_tokens = answer.usage["prompt_tokens"].as_u64().unwrap_or_default();
    let (first_ms, total_ms) = (answer.first_token.as_millis(), answer.total.as_millis());
    print_wrapped("< ", &answer.text);
    println!(
        "    {} of {prompt_tokens} prompt tokens from the cache; first token after {first_ms} ms, \
         whole after {total_ms} ms",
        answer.cached_tokens(),
    );
}

/// Prints a text in lines that fit a terminal.
fn print_wrapped(mark: &str, text: &str) {
    let mut line = String::new();
    for word in text.split(' ') {
        if line.len() + word.len() > LINE_LENGTH {
            println!("    {mark}{line}");
            line.clear();
        }
        if !line.is_empty() {
            line.push(' ');
        }
        line.push_str(word);
    }
    println!("    {mark}{line}");
}

/// Sends many chats of two turns at the same time.
async fn many_chats(fleet: &Fleet) -> Result<(), String> {
    println!("{CHATS} chats of two turns at the same time:");
    let start = Instant::now();
    let mut tasks = Vec::new();
    for index in 0..CHATS {
        let first = fleet.caller(index % ROUTERS);
        let second = fleet.caller((index + 1) % ROUTERS);
        tasks.push(tokio::spawn(two_turns(first, second, index)));
    }
    let mut hits = 0;
    for (done, task) in tasks.into_iter().enumerate() {
        let cached_tokens = task.await.map_err(|error| error.to_string())??;
        hits += usize::from(cached_tokens > 0);
        if (done + 1) % (CHATS / 4) == 0 {
            println!("  {} of {CHATS} answered whole", done + 1);
        }
    }
    println!("  {hits} of {CHATS} returns found their first turn in the cache.");
    let totals: Vec<_> = fleet.engines.iter().map(Engine::totals).collect();
    let finished: Vec<_> = totals.iter().map(|totals| totals.finished.to_string()).collect();
    println!("  Chats at each engine so far: {}.", finished.join(", "));
    let tokens: u64 = totals.iter().map(|totals| totals.output_tokens).sum();
    println!("  {tokens} tokens generated so far; {} ms.\n", start.elapsed().as_millis());
    Ok(())
}

async fn two_turns(first: Caller, second: Caller, index: usize) -> Result<u64, String> {
    let question = format!("Song {index} of the collection: {}", QUESTIONS[0]);
    let chat = Chat::new(MODEL, &question, OUTPUT_TOKENS);
    let answer = first.chat(&chat).await.checked(&chat)?;
    let returned = chat.next(&answer.text, QUESTIONS[1]);
    Ok(second.chat(&returned).await.checked(&returned)?.cached_tokens())
}

/// Stops one router while it answers; the answer must be whole and the process end well.
async fn planned_stop(fleet: &mut Fleet) -> Result<(), String> {
    println!("router-0 is stopped as planned while it answers a chat:");
    let chat = Chat::new(MODEL, QUESTIONS[2], 5 * OUTPUT_TOKENS);
    let caller = fleet.caller(0);
    let sent = chat.clone();
    let answer = tokio::spawn(async move { caller.chat(&sent).await });
    let running = || fleet.engines.iter().any(|engine| engine.totals().running > 0);
    while !running() && !answer.is_finished() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    fleet.routers[0].terminate();
    answer.await.map_err(|error| error.to_string())?.checked(&chat)?;
    println!("  The answer in progress was whole.");
    match fleet.routers[0].until_exit(STOP_TIMEOUT).await {
        Some(status) if status.success() => println!("  The process ended with code 0.\n"),
        Some(status) => return Err(format!("router-0 ended: {status}")),
        None => return Err("router-0 did not stop".into()),
    }
    Ok(())
}
