//! Generated answers. The same model and prompt always give the same answer.

use buckthorncleat::id;

/// The shortest answer to a prompt without a `[len=N]` mark.
pub const MIN_ANSWER_TOKENS: u64 = 16;

/// The longest answer to a prompt without a `[len=N]` mark.
pub const MAX_ANSWER_TOKENS: u64 = 200;

const SYLLABLES: [&str; 32] = [
    "ba", "be", "bi", "bo", "da", "de", "di", "do", "ka", "ke", "ki", "ko", "la", "le", "li", "lo",
    "ma", "me", "mi", "mo", "na", "ne", "ni", "no", "sa", "se", "si", "so", "ta", "te", "ti", "to",
];

/// The complete answer of a model to a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    digest: u64,
    length: u64,
}

impl Answer {
    /// Returns the answer of `model` to `prompt`.
    ///
    /// The text depends on the model and the whole prompt, or on the model and the mark
    /// `[seed=NAME]` if there is one. The mark `[len=N]` sets the length in tokens. Of several
    /// marks the last counts.
    pub fn from_prompt(model: &id::ModelId, prompt: &str) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(model.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(mark(prompt, "seed").unwrap_or(prompt).as_bytes());
        let digest = hasher.digest();
        let default_length =
            MIN_ANSWER_TOKENS + digest % (MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS + 1);
        let length = mark_number(prompt, "len").unwrap_or(default_length);
        Self { digest, length }
    }

    /// Returns the number of tokens of the answer when limited to `max_tokens`.
    pub fn length(&self, max_tokens: u64) -> u64 {
        self.length.min(max_tokens)
    }

    /// Returns whether a limit of `max_tokens` tokens truncates the answer.
    pub fn is_truncated(&self, max_tokens: u64) -> bool {
        self.length > max_tokens
    }

    /// Returns the text of a token; the first has the index 0.
    pub fn token(&self, index: u64) -> String {
        let bytes = index.to_le_bytes();
        let mut draw = xxhash_rust::xxh3::xxh3_64_with_seed(&bytes, self.digest);
        let mut text = String::from(" ");
        for _ in 0..1 + draw % 3 {
            draw /= 3;
            text.push_str(SYLLABLES[(draw % 32) as usize]);
            draw /= 32;
        }
        text
    }

    /// Returns the text of the answer when limited to `max_tokens` tokens.
    pub fn text(&self, max_tokens: u64) -> String {
        (0..self.length(max_tokens))
            .map(|i| self.token(i))
            .collect()
    }
}

/// Returns the value of the last mark `[name=value]` in a prompt; `None` without a mark.
pub fn mark<'a>(prompt: &'a str, name: &str) -> Option<&'a str> {
    let opening = format!("[{name}=");
    let start = prompt.rfind(&opening)? + opening.len();
    let length = prompt[start..].find(']')?;
    Some(&prompt[start..start + length])
}

/// Returns the number in the last mark `[name=number]` in a prompt; `None` without a mark or if
/// its value is not a number.
pub fn mark_number(prompt: &str, name: &str) -> Option<u64> {
    mark(prompt, name)?.parse().ok()
}
