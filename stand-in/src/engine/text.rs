//! The made-up answers: a fixed function of model and prompt.

use buckthorncleat::id;

/// The shortest answer of a prompt that asks for no length, in tokens.
pub const SHORTEST_ANSWER: u64 = 16;

/// The longest answer of a prompt that asks for no length, in tokens.
pub const LONGEST_ANSWER: u64 = 200;

const SYLLABLES: [&str; 32] = [
    "ba", "be", "bi", "bo", "da", "de", "di", "do", "ka", "ke", "ki", "ko", "la", "le", "li", "lo",
    "ma", "me", "mi", "mo", "na", "ne", "ni", "no", "sa", "se", "si", "so", "ta", "te", "ti", "to",
];

/// The whole answer that a model gives to a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    digest: u64,
    length: u64,
}

impl Answer {
    /// Finds the answer to a prompt.
    ///
    /// The text depends on the whole prompt, or on the mark `[seed=NAME]` alone if there is one.
    /// The length is that of the mark `[len=N]` if there is one. Of several marks the last counts.
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

    /// Returns the tokens of the answer when it may have at most so many.
    pub fn length(&self, most: u64) -> u64 {
        self.length.min(most)
    }

    /// Tells whether the answer is cut when it may have at most so many tokens.
    pub fn is_cut(&self, most: u64) -> bool {
        self.length > most
    }

    /// Returns the text of one token, counted from 0.
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

    /// Returns the text of the whole answer when it may have at most so many tokens.
    pub fn text(&self, most: u64) -> String {
        (0..self.length(most)).map(|i| self.token(i)).collect()
    }
}

/// Returns the value of the last mark `[name=value]` in a prompt.
pub fn mark<'a>(prompt: &'a str, name: &str) -> Option<&'a str> {
    let opening = format!("[{name}=");
    let start = prompt.rfind(&opening)? + opening.len();
    let length = prompt[start..].find(']')?;
    Some(&prompt[start..start + length])
}

/// Returns the number in the last mark `[name=number]` in a prompt.
pub fn mark_number(prompt: &str, name: &str) -> Option<u64> {
    mark(prompt, name)?.parse().ok()
}
