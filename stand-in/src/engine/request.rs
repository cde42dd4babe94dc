//! The state that an engine keeps for one request.

use buckthorncleat::backend::wire;
use buckthorncleat::clock;
use buckthorncleat::state::model;
use buckthorncleat::unit;

use crate::engine::export;
use crate::engine::text;

/// A request and its state.
#[derive(Clone, Debug)]
pub struct Request {
    pub arrived_at: clock::Millis,
    /// The order of arrival: a higher number came later.
    pub sequence: u64,
    pub state: State,
}

/// The stage of a request.
#[derive(Clone, Debug)]
pub enum State {
    /// Waits for its prefill.
    Queued(Prompt),
    /// The prefill runs.
    Prefilling(Prompt),
    /// The KV cache waits to be fetched.
    Exported(Export),
    /// The KV cache is being fetched. The memory is 0 until the head has been received.
    Importing(unit::Pieces),
    /// The KV cache has been received.
    Imported(export::Head),
    /// The answer is being generated.
    Decoding(Decoding),
    /// The answer has ended. It takes no slot or memory; only its text is kept for readers.
    Ended(Decoding),
}

/// A prompt to prefill.
#[derive(Clone, Debug)]
pub struct Prompt {
    pub call: wire::Prefill,
    /// The digests of the prompt's prefixes, one for each full piece, the shortest first.
    pub prefixes: Vec<u64>,
    /// The tokens of the prompt and of the answer delivered before.
    pub tokens: unit::Tokens,
    /// The tokens found in the prefix cache; 0 until the prefill runs.
    pub cached: unit::Tokens,
}

impl Prompt {
    /// Returns the prompt of a call, with its length and prefix digests computed.
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

    pub fn priority(&self) -> model::Priority {
        self.call.priority
    }

    /// Returns whether the delivered tokens are the first ones of the answer.
    pub fn delivered_matches_answer(&self) -> bool {
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
    /// The name in its path, unique in the engine.
    pub name: String,
    /// The head that is sent before the KV cache.
    pub head: export::Head,
    /// The tokens found in the prefix cache.
    pub cached: unit::Tokens,
    /// When it is dropped, unless it is being fetched.
    pub expires: clock::Millis,
    /// The number of running transfers.
    pub running_fetches: u32,
}

/// An answer that is being generated or has ended.
#[derive(Clone, Debug)]
pub struct Decoding {
    /// The reserved memory.
    pub pieces: unit::Pieces,
    pub answer: text::Answer,
    /// The most tokens that the answer may have.
    pub max_tokens: u64,
    /// The tokens generated, those delivered before included.
    pub produced: u64,
    /// The prompt tokens that were computed for it; 0 once the totals have counted them.
    pub computed: unit::Tokens,
    /// Whether the prompt crashes the engine.
    pub crashes: bool,
    /// The number of open streams.
    pub readers: u32,
    /// Since when no stream is open; `None` while one is.
    pub unread_since: Option<clock::Millis>,
}

impl Decoding {
    /// Returns whether all tokens of the answer have been generated.
    pub fn is_complete(&self) -> bool {
        self.produced >= self.answer.length(self.max_tokens)
    }

    /// Returns the last event of the stream.
    pub fn done(&self) -> wire::Done {
        wire::Done {
            finish_reason: match self.answer.is_truncated(self.max_tokens) {
                true => wire::FinishReason::Length,
                false => wire::FinishReason::Stop,
            },
            tokens: unit::Tokens::new(self.answer.length(self.max_tokens)),
        }
    }
}

impl Request {
    /// Returns the phase on the wire; `Unknown` once the answer has ended.
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

    /// Returns the memory that the request takes now.
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

    /// Returns whether the request takes a slot.
    pub fn is_held(&self) -> bool {
        !matches!(self.state, State::Ended(_))
    }
}

/// Returns the memory that a decode engine reserves: the KV cache, and one piece for the answer.
pub fn decode_pieces(tokens: unit::Tokens) -> unit::Pieces {
    tokens.to_pieces().next()
}
