//! What an entry router sees of an attempt's use.

use teaselworks_policy::verdict::Verdict;
use teaselworks_wire::message::{Open, Reply, Target, TokenUse};

/// Status of an answer that an engine generates.
const HTTP_OK: u16 = 200;

/// Tokens of one attempt as its replies tell them.
///
/// The owner charges the prompt once the engine has accepted the chat, so it counts here from the
/// answer's head on.
#[derive(Clone, Copy, Debug)]
pub(super) struct SeenUse {
    resume_tokens: u64,
    tokens: TokenUse,
    ran: bool,
}

impl SeenUse {
    pub(super) fn new(open: &Open) -> Self {
        let (prompt_tokens, resume_tokens) = match &open.target {
            Target::Chat(chat) => (chat.prompt_tokens, chat.resume_tokens),
            Target::Call(_) => (0, 0),
        };
        let tokens = TokenUse { prompt_tokens: prompt_tokens.into(), ..TokenUse::default() };
        Self { resume_tokens: resume_tokens.into(), tokens, ran: false }
    }

    pub(super) fn note(&mut self, reply: &Reply) {
        match reply {
            Reply::Head(head) => self.ran = head.status == HTTP_OK,
            Reply::Data(data) => {
                self.tokens.output_tokens = data.output_tokens.saturating_sub(self.resume_tokens);
            }
            Reply::Finish(finish) => self.end(finish.tokens),
            Reply::Refusal(refusal) => {
                self.ran &= refusal.refusal.verdict != Verdict::NotRun;
                self.end(refusal.tokens);
            }
        }
    }

    /// Returns the tokens used; `None` when the engine did nothing.
    pub(super) fn tokens(&self) -> Option<TokenUse> {
        self.ran.then_some(self.tokens)
    }

    fn end(&mut self, tokens: Option<TokenUse>) {
        if let Some(tokens) = tokens {
            self.ran = true;
            self.tokens = tokens;
        }
    }
}
