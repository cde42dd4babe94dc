//! How the messages of a chat become the prompt of an engine.

use crate::macros;

macros::data! {
    /// One message of a chat.
    pub struct Message {
        /// Who speaks: `system`, `user`, `assistant` or `tool`.
        pub role: String,
        /// What is said.
        pub content: Content,
    }
}

macros::data! {
    /// The content of a message: plain text, or parts of which only text is understood.
    #[serde(untagged)]
    pub enum Content {
        /// Plain text.
        Text(String),
        /// A list of parts.
        Parts(Vec<Part>),
    }
}

macros::data! {
    /// One part of a message.
    pub struct Part {
        /// The kind, `text`.
        #[serde(rename = "type")]
        pub kind: String,
        /// The text.
        pub text: String,
    }
}

/// Renders a chat as one prompt: each message as `role: content` on a line of its own.
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
