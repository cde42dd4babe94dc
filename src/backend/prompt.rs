//! Renders the messages of a chat into the prompt of an engine.

use crate::macros;

macros::data! {
    /// One message of a chat.
    pub struct Message {
        /// The author: `system`, `user`, `assistant` or `tool`.
        pub role: String,
        pub content: Content,
    }
}

macros::data! {
    /// The content of a message: plain text, or a list of parts, of which only text is supported.
    #[serde(untagged)]
    pub enum Content {
        /// Plain text.
        Text(String),
        Parts(Vec<Part>),
    }
}

macros::data! {
    /// One part of a message.
    pub struct Part {
        /// The type of the part, `text`.
        #[serde(rename = "type")]
        pub kind: String,
        pub text: String,
    }
}

/// Renders a chat as one prompt, with one line `role: content` per message.
pub fn from_messages(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        push_content(&mut prompt, &message.content);
        prompt.push('\n');
    }
    prompt
}

fn push_content(prompt: &mut String, content: &Content) {
    match content {
        Content::Text(text) => prompt.push_str(text),
        Content::Parts(parts) => parts.iter().for_each(|part| prompt.push_str(&part.text)),
    }
}
