//! Chat and text completions: request bodies, response bodies and stream events.

use bytes::Bytes;

use crate::backend::prompt;
use crate::backend::wire;
use crate::clock;
use crate::error;
use crate::id;
use crate::macros;
use crate::unit;

macros::data! {copy
    /// The completion endpoint that a request uses.
    pub enum Endpoint {
        /// `POST /v1/chat/completions`.
        Chat,
        /// `POST /v1/completions`.
        Text,
    }
}

/// A completion request.
#[derive(Clone, Debug)]
pub struct Call {
    pub endpoint: Endpoint,
    pub model: id::ModelId,
    /// The prompt as one text; chat messages are rendered into it.
    pub prompt: String,
    /// The most tokens to generate; `None` when the caller sets no limit.
    pub max_tokens: Option<unit::Tokens>,
    /// Whether tokens are sent one by one, as server-sent events.
    pub stream: bool,
}

#[derive(serde::Deserialize)]
struct Body {
    model: id::ModelId,
    #[serde(default)]
    messages: Vec<prompt::Message>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

impl Call {
    /// Parses the body of a request; unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// Fails when the body is not such a JSON object, the prompt is empty or `max_tokens` is 0.
    pub fn from_json(endpoint: Endpoint, body: &[u8]) -> error::Result<Self> {
        let body: Body = serde_json::from_slice(body)
            .map_err(|e| error::Error::bad_value("body", e, "send a JSON object as documented"))?;
        let max_tokens = body.max_completion_tokens.or(body.max_tokens);
        if max_tokens == Some(0) {
            return Err(error::Error::bad_value("max_tokens", 0, "use 1 or more"));
        }
        Ok(Self {
            endpoint,
            prompt: prompt_of(endpoint, &body)?,
            model: body.model,
            max_tokens: max_tokens.map(unit::Tokens::new),
            stream: body.stream,
        })
    }

    /// Returns the tokens charged for the prompt, by its length in bytes.
    pub fn prompt_tokens(&self) -> unit::Tokens {
        unit::Tokens::from_text_bytes(self.prompt.len())
    }

    /// Returns the response body of a request that does not stream.
    pub fn completion_json(&self, id: id::RequestId, completion: &Completion) -> serde_json::Value {
        let finish = completion.finish_reason;
        let choice = match self.endpoint {
            Endpoint::Chat => serde_json::json!({
                "index": 0,
                "message": {"role": "assistant", "content": completion.text},
                "finish_reason": finish,
            }),
            Endpoint::Text => serde_json::json!({
                "index": 0,
                "text": completion.text,
                "finish_reason": finish,
            }),
        };
        serde_json::json!({
            "id": id,
            "object": self.object(false),
            "created": clock::wall_millis() / 1000,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": completion.prompt_tokens,
                "completion_tokens": completion.completion_tokens,
                "total_tokens": completion.prompt_tokens + completion.completion_tokens,
            },
        })
    }

    /// Returns the server-sent event of one token; the token's index is the event id.
    pub fn token_event(&self, id: id::RequestId, token: &wire::Token) -> Bytes {
        let choice = match self.endpoint {
            Endpoint::Chat => serde_json::json!({
                "index": 0, "delta": {"content": token.text}, "finish_reason": null,
            }),
            Endpoint::Text => serde_json::json!({
                "index": 0, "text": token.text, "finish_reason": null,
            }),
        };
        let chunk = self.chunk(id, &choice);
        Bytes::from(format!("id: {}\ndata: {chunk}\n\n", token.index))
    }

    /// Returns the events that end a complete stream: the finish reason and `[DONE]`.
    pub fn last_events(&self, id: id::RequestId, reason: wire::FinishReason) -> Bytes {
        let choice = match self.endpoint {
            Endpoint::Chat => serde_json::json!({"index": 0, "delta": {}, "finish_reason": reason}),
            Endpoint::Text => serde_json::json!({"index": 0, "text": "", "finish_reason": reason}),
        };
        let chunk = self.chunk(id, &choice);
        Bytes::from(format!("data: {chunk}\n\ndata: [DONE]\n\n"))
    }

    fn chunk(&self, id: id::RequestId, choice: &serde_json::Value) -> serde_json::Value {
        serde_json::json!({
            "id": id,
            "object": self.object(true),
            "created": clock::wall_millis() / 1000,
            "model": self.model,
            "choices": [choice],
        })
    }

    const fn object(&self, chunk: bool) -> &'static str {
        match (self.endpoint, chunk) {
            (Endpoint::Chat, true) => "chat.completion.chunk",
            (Endpoint::Chat, false) => "chat.completion",
            (Endpoint::Text, _) => "text_completion",
        }
    }
}

/// The complete output of a model for one request.
#[derive(Clone, Debug)]
pub struct Completion {
    pub text: String,
    pub finish_reason: wire::FinishReason,
    pub prompt_tokens: unit::Tokens,
    pub completion_tokens: unit::Tokens,
}

fn prompt_of(endpoint: Endpoint, body: &Body) -> error::Result<String> {
    let (field, prompt) = match endpoint {
        Endpoint::Chat => ("messages", prompt::from_messages(&body.messages)),
        Endpoint::Text => ("prompt", body.prompt.clone()),
    };
    if prompt.is_empty() {
        let remedy = "send at least one message, or a prompt that is not empty";
        return Err(error::Error::bad_value(field, "", remedy));
    }
    Ok(prompt)
}
