//! What an engine holds for one request.

use buckthorncleat::backend::wire;
use buckthorncleat::clock;
use buckthorncleat::state::model;
use buckthorncleat::unit;

use crate::engine::export;
use crate::engine::text;

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// When it came.
    pub since: clock::Millis,
    /// Its place among all requests.
    pub sequence: u64,
    /// What it does.
    pub state: State,
}

/// What a request does.
#[derive(Clone, Debug)]
pub enum State {
    /// It waits for its prefill.
    Queued(Prompt),
    /// Its prompt is prefilled.
    Prefilling(Prompt),
    /// Its KV cache waits to be fetched.
    Exported(Export),
    /// Its KV cache is being fetched; the memory is reserved once the head is known.
    Importing(unit::Pieces),
    /// Its KV cache is here.
    Imported(export::Head),
    /// Its answer is generated.
    Decoding(Decoding),
    /// Its answer was generated a moment ago; nothing is held but its text.
    Ended(Decoding),
}

/// A prompt to compute.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The call.
    pub call: wire::Prefill,
    /// The pieces of the prompt.
    pub prefixes: Vec<u64>,
    /// The tokens, delivered ones included.
    pub tokens: unit::Tokens,
    /// The tokens found in the prefix cache, once the prefill runs.
    pub cached: unit::Tokens,
}

impl Prompt {
    /// Reads a call.
    pub fn from_call(call: wire::Prefill) -> Self {
        let delivered = unit::Tokens::new(call.delivered.len() as u64);
        let tokens = unit::Tokens::from_text_bytes(call.prompt.len()) + delivered;
        Self {
            prefixes: wire::prefix_digests(&call.prompt),
            tokens,
            cached: unit::Tokens::new(0),
            call,
        }
    }

    /// Returns the priority.
    pub fn priority(&self) -> model::Priority {
        self.call.priority
    }

    /// Tells whether the delivered tokens are those of the answer.
    pub fn delivered_fits(&self) -> bool {
        let answer = text::Answer::from_prompt(&self.call.model, &self.call.prompt);
        let delivered = self.call.delivered.iter().zip(0..);
        delivered
            .into_iter()
            .all(|(token, i)| *token == answer.token(i))
    }
}

/// KV cache that waits to be fetched.
#[derive(Clone, Debug)]
pub struct Export {
    /// Its name.
    pub name: String,
    /// What is told with it.
    pub head: export::Head,
    /// The tokens found in the prefix cache.
    pub cached: unit::Tokens,
    /// When it is dropped, unless it is being fetched.
    pub expires: clock::Millis,
    /// The transfers that run.
    pub fetches: u32,
}

/// An answer that is generated.
#[derive(Clone, Debug)]
pub struct Decoding {
    /// The memory it takes.
    pub pieces: unit::Pieces,
    /// The answer.
    pub answer: text::Answer,
    /// The most tokens of it.
    pub max_tokens: u64,
    /// The tokens generated, earlier delivered ones included.
    pub produced: u64,
    /// The computed tokens of its prompt.
    pub computed: unit::Tokens,
    /// Whether the prompt crashes the engine.
    pub crashes: bool,
    /// The streams that are read.
    pub readers: u32,
    /// When the last reader left, or the answer ended.
    pub left_at: Option<clock::Millis>,
}

impl Decoding {
    /// Tells whether the whole answer is there.
    pub fn is_complete(&self) -> bool {
        self.produced >= self.answer.length(self.max_tokens)
    }

    /// Returns the last event of the stream.
    pub fn done(&self) -> wire::Done {
        wire::Done {
            finish_reason: match self.answer.is_cut(self.max_tokens) {
                true => wire::FinishReason::Length,
                false => wire::FinishReason::Stop,
            },
            tokens: unit::Tokens::new(self.answer.length(self.max_tokens)),
        }
    }
}

impl Request {
    /// Returns what it does in the words of the interface; nothing once it ended.
    pub fn phase(&self) -> wire::Phase {
        match &self.state {
            State::Queued(_) => wire::Phase::Queued,
            State::Prefilling(_) => wire::Phase::Prefilling,
            State::Exported(_) => wire::Phase::Exported,
            State::Importing(_) | State::Imported(_) => wire::Phase::Imported,
            State::Decoding(_) => wire::Phase::Decoding,
            State::Ended(_) => wire::Phase::Unknown,
        }
    }

    /// Returns the memory it takes.
    pub fn pieces(&self) -> unit::Pieces {
        match &self.state {
            State::Queued(_) | State::Ended(_) => unit::Pieces::new(0),
            State::Prefilling(prompt) => prompt.tokens.to_pieces(),
            State::Exported(export) => export.head.tokens.to_pieces(),
            State::Importing(pieces) => *pieces,
            State::Imported(head) => decode_pieces(head.tokens),
            State::Decoding(decoding) => decoding.pieces,
        }
    }

    /// Tells whether it takes a slot.
    pub fn is_held(&self) -> bool {
        !matches!(self.state, State::Ended(_))
    }
}

/// Returns the memory that a decode engine reserves: the KV cache and a piece to grow into.
pub fn decode_pieces(tokens: unit::Tokens) -> unit::Pieces {
    tokens.to_pieces().next()
}
