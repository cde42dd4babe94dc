//! Generated answers. The same model and prompt always give the same answer.

use buckthorncleat::id;

/// The shortest answer to a prompt without a `[len=N]` mark.
pub const SHORTEST_ANSWER: u64 = 16;

/// The longest answer to a prompt without a `[len=N]` mark.
pub const LONGEST_ANSWER: u64 = 200;

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
        let natural = SHORTEST_ANSWER + digest % (LONGEST_ANSWER - SHORTEST_ANSWER + 1);
        let length = mark_number(prompt, "len").unwrap_or(natural);
        Self { digest, length }
    }

    /// Returns the number of tokens of the answer when limited to `most`.
    pub fn length(&self, most: u64) -> u64 {
        self.length.min(most)
    }

    /// Returns whether a limit of `most` tokens truncates the answer.
    pub fn is_cut(&self, most: u64) -> bool {
        self.length > most
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

    /// Returns the text of the answer when limited to `most` tokens.
    pub fn text(&self, most: u64) -> String {
        (0..self.length(most)).map(|i| self.token(i)).collect()
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
