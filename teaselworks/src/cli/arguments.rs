//! Arguments that several commands share.

use std::env;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, value_parser};

/// URL of the operators' port where neither option nor environment names one.
const DEFAULT_OPERATOR: &str = "http://127.0.0.1:8082";
/// Environment variable that names the operators' port.
const OPERATOR_VARIABLE: &str = "TEASELWORKS_OPERATOR";

/// How to talk to the operators' port.
#[derive(Clone, Debug)]
pub(super) struct Client {
    /// Base URL without a slash at its end.
    pub(super) url: String,
    /// Longest wait for an answer.
    pub(super) timeout: Duration,
    /// Whether a script reads the output.
    pub(super) json: bool,
}

impl Client {
    /// Reads the arguments that `with_client` added.
    pub(super) fn from_matches(matches: &ArgMatches) -> Self {
        let url = match matches.get_one::<String>("operator") {
            Some(url) => url.clone(),
            None => env::var(OPERATOR_VARIABLE).unwrap_or_else(|_| DEFAULT_OPERATOR.into()),
        };
        let timeout_ms = matches.get_one::<u64>("timeout-ms").copied().unwrap_or_default();
        Self {
            url: url.trim_end_matches('/').into(),
            timeout: Duration::from_millis(timeout_ms),
            json: matches.get_flag("json"),
        }
    }
}

/// Returns the arguments of commands that talk to the operators' port.
pub(super) fn client() -> [Arg; 3] {
    let operator = Arg::new("operator").long("operator").value_name("URL").help(
        "URL of a router's operators' port [env: TEASELWORKS_OPERATOR] \
               [default: http://127.0.0.1:8082]",
    );
    let timeout = Arg::new("timeout-ms")
        .long("timeout-ms")
        .value_name("MS")
        .value_parser(value_parser!(u64).range(1..))
        .default_value("10000")
        .help("Longest wait for an answer, in milliseconds");
    [operator, timeout, json()]
}

/// Returns the flag that makes output readable for scripts.
pub(super) fn json() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON for scripts")
}

/// Returns an option that names a file.
pub(super) fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("FILE").help(help)
}

/// Returns the text of an option, where it was given.
pub(super) fn text(matches: &ArgMatches, name: &str) -> Option<String> {
    matches.get_one::<String>(name).cloned()
}

/// Returns the identifier of a submission: the one given, or a new one.
pub(super) fn id(matches: &ArgMatches) -> String {
    text(matches, "id").unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()))
}

/// Returns who submits.
pub(super) fn author(matches: &ArgMatches) -> String {
    let user = || env::var("USER").unwrap_or_else(|_| "unknown".into());
    text(matches, "author").unwrap_or_else(user)
}

/// Returns the words as a line that a POSIX shell takes apart into the same words.
fn shell_line(words: &[&str]) -> String {
    let quoted: Vec<String> = words.iter().map(|word| quote(word)).collect();
    quoted.join(" ")
}

fn quote(word: &str) -> String {
    let is_plain =
        |character: char| character.is_ascii_alphanumeric() || "-_./:@%+,=".contains(character);
    if !word.is_empty() && word.chars().all(is_plain) {
        return word.into();
    }
    format!("'{}'", word.replace('\'', r"'\''"))
}

/// Returns the arguments of commands that submit: against which number, under which identifier,
/// who and why.
pub(super) fn submission(expect: &'static str) -> [Arg; 4] {
    let expect = Arg::new("expect")
        .long("expect")
        .value_name("N")
        .required(true)
        .value_parser(value_parser!(u64))
        .help(expect);
    let id = Arg::new("id")
        .long("id")
        .value_name("ID")
        .help("Identifier of the patch, to resubmit it after an unknown outcome");
    let author =
        Arg::new("author").long("author").value_name("NAME").help("Who submits it [env: USER]");
    let reason = Arg::new("reason")
        .long("reason")
        .value_name("TEXT")
        .default_value("not given")
        .help("Why, for the history");
    [expect, id, author, reason]
}

/// A submission that can be made again under its id.
pub(super) struct Resubmission<'a> {
    /// Command below `config`.
    pub command: &'a str,
    /// Number that the submission is made against.
    pub expect: u64,
    /// The submission's own id.
    pub id: &'a str,
    /// Who submits.
    pub author: &'a str,
    /// Why.
    pub reason: &'a str,
    /// Last word of the command.
    pub last: &'a str,
}

impl Resubmission<'_> {
    /// Returns the command line that submits the same again at a router.
    pub(super) fn line(&self, client: &Client) -> String {
        let expect = self.expect.to_string();
        let words = ["teaselworks", "config", self.command, "--operator", &client.url];
        let named = ["--expect", &expect, "--id", self.id, "--author", self.author];
        let told = ["--reason", self.reason, self.last];
        shell_line(&[&words[..], &named, &told].concat())
    }
}
