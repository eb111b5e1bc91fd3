//! Encodes answers in the format of OpenAI's API: JSON bodies and server-sent events.

use serde::Serialize;

use crate::{
    generated::openai::{
        Answer, Choice, ModelInfo, ModelList, PromptDetails, Text, Usage as TokenUsage,
    },
    prelude::*,
    prompt::{Api, Request},
    relay::Ending,
};

/// Event that ends a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
/// Owner of every model in the model list.
const MODEL_OWNER: &str = "mothvale";

/// Encodes the answer to one request.
#[derive(Clone, Debug)]
pub struct Writer {
    api: Api,
    include_usage: bool,
    id: String,
    model: String,
    created: u64,
}

impl Writer {
    /// Creates a writer for a request that arrived at `created`, in seconds since the Unix epoch.
    pub fn new(request: &Request, id: &str, created: u64) -> Self {
        Writer {
            api: request.api,
            include_usage: request.include_usage,
            id: id.into(),
            model: request.model.to_string(),
            created,
        }
    }

    /// Returns the body of an answer that is not streamed.
    pub fn response_body(&self, text: String, ending: &Ending) -> Bytes {
        let finish = Some(ending.finish_reason.to_owned());
        let (message, text) = match self.api {
            Api::Chat => (Some(assistant_message(text)), None),
            Api::Completion => (None, Some(text)),
        };
        let object = match self.api {
            Api::Chat => "chat.completion",
            Api::Completion => "text_completion",
        };
        let choice = Choice { index: 0, message, delta: None, text, finish_reason: finish };
        let answer = self.build_answer(object, vec![choice], Some(token_usage(ending)));
        serde_json::to_vec(&answer).unwrap_or_default().into()
    }

    /// Returns the event that starts a stream before any text: the role for chat, and no bytes
    /// for completions, which have no such event.
    pub fn first_event(&self) -> Bytes {
        match self.api {
            Api::Chat => sse_event(&self.chunk(Some(assistant_message(String::new())), None, None)),
            Api::Completion => Bytes::new(),
        }
    }

    /// Returns an event that carries text, or no bytes for an empty text.
    pub fn text(&self, text: &str) -> Bytes {
        if text.is_empty() {
            return Bytes::new();
        }
        sse_event(&self.text_chunk(text, None))
    }

    /// Returns the events that end a complete stream: the remaining text, the finish reason,
    /// the token counts if the caller asked for them, and `[DONE]`.
    pub fn end(&self, text: &str, ending: &Ending) -> Bytes {
        let mut bytes = Vec::from(self.text(text));
        let finish = Some(ending.finish_reason.to_owned());
        let last = match self.api {
            Api::Chat => self.chunk(Some(Text { role: None, content: None }), None, finish),
            Api::Completion => self.chunk(None, Some(String::new()), finish),
        };
        bytes.extend_from_slice(&sse_event(&last));
        if self.include_usage {
            let answer =
                self.build_answer(self.chunk_object(), Vec::new(), Some(token_usage(ending)));
            bytes.extend_from_slice(&sse_event(&answer));
        }
        bytes.extend_from_slice(DONE_EVENT);
        bytes.into()
    }

    /// Returns the event that ends a failed stream. No `[DONE]` follows, so that no client
    /// takes the answer for complete.
    pub fn failure(&self, err: &Error) -> Bytes {
        sse_event(&err.body(&self.id))
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

    /// Builds a chunk of a stream, with a delta for chat or text for completions.
    fn chunk(&self, delta: Option<Text>, text: Option<String>, finish: Option<String>) -> Answer {
        let choice = Choice { index: 0, message: None, delta, text, finish_reason: finish };
        self.build_answer(self.chunk_object(), vec![choice], None)
    }

    /// Returns the `object` of a chunk.
    fn chunk_object(&self) -> &'static str {
        match self.api {
            Api::Chat => "chat.completion.chunk",
            Api::Completion => "text_completion",
        }
    }

    fn build_answer(
        &self,
        object: &str,
        choices: Vec<Choice>,
        usage: Option<TokenUsage>,
    ) -> Answer {
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

/// Returns the model list for the models of a workspace.
pub fn models(models: &[Model]) -> ModelList {
    let info = |model: &Model| ModelInfo {
        id: model.to_string(),
        object: "model".into(),
        created: 0,
        owned_by: MODEL_OWNER.into(),
    };
    ModelList { object: "list".into(), data: models.iter().map(info).collect() }
}

fn assistant_message(content: String) -> Text {
    Text { role: Some("assistant".into()), content: Some(content) }
}

fn token_usage(ending: &Ending) -> TokenUsage {
    TokenUsage {
        prompt_tokens: ending.prompt_tokens,
        completion_tokens: ending.completion_tokens,
        total_tokens: ending.prompt_tokens + ending.completion_tokens,
        prompt_tokens_details: PromptDetails { cached_tokens: ending.cached_tokens },
    }
}

/// Encodes a server-sent event with JSON as its data.
fn sse_event<T>(value: &T) -> Bytes
where
    T: Serialize,
{
    let mut bytes = b"data: ".to_vec();
    // Serializing plain structs to memory does not fail.
    let _ = serde_json::to_writer(&mut bytes, value);
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}
