//! Answers in the form that OpenAI clients expect.

use serde::Serialize;

use crate::{
    generated::openai::{
        Answer, Choice, ModelInfo, ModelList, PromptDetails, Text, Usage as TokenUsage,
    },
    prelude::*,
    prompt::{Api, Request},
    relay::Usage,
};

const DONE: &[u8] = b"data: [DONE]\n\n";
const OWNER: &str = "mothvale";

/// Writes the answers to one request.
#[derive(Clone, Debug)]
pub struct Writer {
    api: Api,
    include_usage: bool,
    id: String,
    model: String,
    created: u64,
}

impl Writer {
    /// Creates a writer for a request that came at `created`, in seconds since the epoch.
    pub fn new(request: &Request, id: &str, created: u64) -> Self {
        Writer {
            api: request.api,
            include_usage: request.include_usage,
            id: id.into(),
            model: request.model.to_string(),
            created,
        }
    }

    /// Writes a whole answer.
    pub fn response_body(&self, text: String, usage: &Usage) -> Bytes {
        let finish = Some(usage.finish_reason.to_owned());
        let (message, plain) = match self.api {
            Api::Chat => (Some(assistant(text)), None),
            Api::Completion => (None, Some(text)),
        };
        let object = match self.api {
            Api::Chat => "chat.completion",
            Api::Completion => "text_completion",
        };
        let choice = Choice { index: 0, message, delta: None, text: plain, finish_reason: finish };
        let answer = self.answer(object, vec![choice], Some(token_usage(usage)));
        serde_json::to_vec(&answer).unwrap_or_default().into()
    }

    /// Writes the first event of a stream, where the call has one before any text.
    pub fn first_event(&self) -> Bytes {
        match self.api {
            Api::Chat => event(&self.chunk(Some(assistant(String::new())), None, None)),
            Api::Completion => Bytes::new(),
        }
    }

    /// Writes an event that carries text.
    pub fn text(&self, text: &str) -> Bytes {
        if text.is_empty() {
            return Bytes::new();
        }
        event(&self.text_chunk(text, None))
    }

    /// Writes the events that end a whole stream.
    pub fn end(&self, text: &str, usage: &Usage) -> Bytes {
        let mut bytes = Vec::from(self.text(text));
        let finish = Some(usage.finish_reason.to_owned());
        let last = match self.api {
            Api::Chat => self.chunk(Some(Text { role: None, content: None }), None, finish),
            Api::Completion => self.chunk(None, Some(String::new()), finish),
        };
        bytes.extend_from_slice(&event(&last));
        if self.include_usage {
            let answer = self.answer(self.chunk_object(), Vec::new(), Some(token_usage(usage)));
            bytes.extend_from_slice(&event(&answer));
        }
        bytes.extend_from_slice(DONE);
        bytes.into()
    }

    /// Writes the event that ends a stream that failed. No `[DONE]` follows, so that no
    /// client takes the answer for whole.
    pub fn failure(&self, err: &Error) -> Bytes {
        event(&err.body(&self.id))
    }

    fn text_chunk(&self, text: &str, finish: Option<String>) -> Answer {
        match self.api {
            Api::Chat => {
                let delta = Text { role: None, content: Some(text.into()) };
                self.chunk(Some(delta), None, finish)
            }
            Api::Completion => self.chunk(None, Some(text.into()), finish),
        }
    }

    fn chunk(&self, delta: Option<Text>, text: Option<String>, finish: Option<String>) -> Answer {
        let choice = Choice { index: 0, message: None, delta, text, finish_reason: finish };
        self.answer(self.chunk_object(), vec![choice], None)
    }

    fn chunk_object(&self) -> &'static str {
        match self.api {
            Api::Chat => "chat.completion.chunk",
            Api::Completion => "text_completion",
        }
    }

    fn answer(&self, object: &str, choices: Vec<Choice>, usage: Option<TokenUsage>) -> Answer {
        Answer {
            id: self.id.clone(),
            object: object.into(),
            created: self.created,
            model: self.model.clone(),
            choices,
            usage,
        }
    }
}

/// Lists the models of a workspace.
pub fn models(models: &[Model]) -> ModelList {
    let info = |model: &Model| ModelInfo {
        id: model.to_string(),
        object: "model".into(),
        created: 0,
        owned_by: OWNER.into(),
    };
    ModelList { object: "list".into(), data: models.iter().map(info).collect() }
}

fn assistant(content: String) -> Text {
    Text { role: Some("assistant".into()), content: Some(content) }
}

fn token_usage(usage: &Usage) -> TokenUsage {
    TokenUsage {
        prompt_tokens: usage.prompt_tokens,
        completion_tokens: usage.completion_tokens,
        total_tokens: usage.prompt_tokens + usage.completion_tokens,
        prompt_tokens_details: PromptDetails { cached_tokens: usage.cached_tokens },
    }
}

/// Writes a server-sent event with JSON as its data.
fn event<T>(value: &T) -> Bytes
where
    T: Serialize,
{
    let mut bytes = b"data: ".to_vec();
    // Writing a plain structure to memory does not fail.
    let _ = serde_json::to_writer(&mut bytes, value);
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}
