//! Callers' requests for model answers, checked.

use serde::de::DeserializeOwned;

use crate::{
    generated::openai::{ChatRequest, CompletionRequest, Content, Message, Prompt, Stop},
    prelude::*,
    rendezvous,
    settings::{Catalog, WorkspaceEntry},
};

const ROLES: [&str; 5] = ["system", "developer", "user", "assistant", "tool"];
const DEFAULT_TOKENS: u32 = 256;
/// Bytes of the prompt's first piece, about two thousand tokens.
const PIECE_BYTES: usize = 8192;
const BYTES_PER_TOKEN: usize = 4;

/// Which call the answer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Api {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completion,
}

/// A request for a model's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Which call it came by.
    pub api: Api,
    /// The model.
    pub model: Model,
    /// The canonical prompt: for a chat, one JSON array of role and content a line.
    pub text: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a streamed answer ends with token counts.
    pub include_usage: bool,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Sampling options.
    pub sampling: Sampling,
}

/// Sampling options.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sampling {
    /// Temperature.
    pub temperature: Option<f64>,
    /// Nucleus.
    pub top_p: Option<f64>,
    /// Seed.
    pub seed: Option<i64>,
    /// Stop sequences.
    pub stop: Vec<String>,
}

impl Request {
    /// Returns the key of the prompt's first piece, which no other workspace or model has.
    pub fn prefix_key(&self, workspace: &Workspace) -> u64 {
        let mut end = self.text.len().min(PIECE_BYTES);
        while !self.text.is_char_boundary(end) {
            end -= 1;
        }
        rendezvous::hash_parts(&[workspace.as_str(), self.model.as_str(), &self.text[..end]])
    }

    /// Estimates the tokens of the prompt.
    pub fn estimated_tokens(&self) -> u32 {
        u32::try_from(self.text.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
    }

    /// Checks that the workspace may use the model and that the answer is not too long.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `ModelUnknown`, `ModelForbidden` or `BadValue`.
    pub fn check_allowed(
        &self,
        workspace: &WorkspaceEntry,
        catalog: &Catalog,
    ) -> Result<(), Error> {
        let refuse = |kind| {
            let message = format!("the model `{}` does not exist", self.model);
            Err(Error::new(kind, message).param("model"))
        };
        let Some(entry) = catalog.models.get(&self.model) else {
            return refuse(Kind::ModelUnknown);
        };
        if !workspace.models.contains(&self.model) {
            return refuse(Kind::ModelForbidden);
        }
        if self.max_tokens > entry.max_tokens {
            let message =
                format!("max_tokens is {}, at most {}", self.max_tokens, entry.max_tokens);
            return Err(Error::new(Kind::BadValue, message).param("max_tokens"));
        }
        Ok(())
    }
}

/// Parses the body of a call.
///
/// # Errors
///
/// Returns an error of kind `BadJson` or `BadValue`.
pub fn parse(api: Api, body: &[u8]) -> Result<Request, Error> {
    match api {
        Api::Chat => Request::try_from(json::<ChatRequest>(body)?),
        Api::Completion => Request::try_from(json::<CompletionRequest>(body)?),
    }
}

fn json<T>(body: &[u8]) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|err| Error::new(Kind::BadJson, format!("body: {err}")))
}

impl TryFrom<ChatRequest> for Request {
    type Error = Error;

    fn try_from(raw: ChatRequest) -> Result<Self, Error> {
        if raw.messages.is_empty() {
            return Err(bad("messages", "messages must not be empty"));
        }
        let mut text = String::new();
        for message in &raw.messages {
            append(&mut text, message)?;
        }
        one_choice(raw.n)?;
        let sampling = sampling(raw.temperature, raw.top_p, raw.seed, raw.stop)?;
        Ok(Request {
            api: Api::Chat,
            model: Model::new(raw.model),
            text,
            stream: raw.stream.unwrap_or(false),
            include_usage: raw.stream_options.and_then(|it| it.include_usage).unwrap_or(false),
            max_tokens: max_tokens(raw.max_completion_tokens.or(raw.max_tokens))?,
            sampling,
        })
    }
}

impl TryFrom<CompletionRequest> for Request {
    type Error = Error;

    fn try_from(raw: CompletionRequest) -> Result<Self, Error> {
        let text = match raw.prompt {
            Prompt::Text(text) => text,
            Prompt::List(list) => match <[String; 1]>::try_from(list) {
                Ok([text]) => text,
                Err(_) => return Err(bad("prompt", "a list must hold exactly one prompt")),
            },
        };
        if text.is_empty() {
            return Err(bad("prompt", "prompt must not be empty"));
        }
        one_choice(raw.n)?;
        let sampling = sampling(raw.temperature, raw.top_p, raw.seed, raw.stop)?;
        Ok(Request {
            api: Api::Completion,
            model: Model::new(raw.model),
            text,
            stream: raw.stream.unwrap_or(false),
            include_usage: raw.stream_options.and_then(|it| it.include_usage).unwrap_or(false),
            max_tokens: max_tokens(raw.max_tokens)?,
            sampling,
        })
    }
}

/// Appends a message to the canonical prompt. JSON quoting keeps a message's text from
/// forging the start of another message.
fn append(text: &mut String, message: &Message) -> Result<(), Error> {
    if !ROLES.contains(&message.role.as_str()) {
        return Err(bad("messages", format!("the role `{}` is not supported", message.role)));
    }
    let content = match &message.content {
        None => String::new(),
        Some(Content::Text(text)) => text.clone(),
        Some(Content::Parts(parts)) => {
            let mut content = String::new();
            for part in parts {
                match (part.type_.as_str(), &part.text) {
                    ("text", Some(text)) => content.push_str(text),
                    (kind, _) => {
                        let message = format!("content of type `{kind}` is not supported");
                        return Err(bad("messages", message));
                    }
                }
            }
            content
        }
    };
    let line = serde_json::to_string(&(&message.role, &content, &message.name));
    text.push_str(&line.map_err(|err| Error::new(Kind::Internal, err.to_string()))?);
    text.push('\n');
    Ok(())
}

fn one_choice(n: Option<u32>) -> Result<(), Error> {
    match n {
        None | Some(1) => Ok(()),
        Some(_) => Err(bad("n", "only one choice is supported")),
    }
}

fn max_tokens(raw: Option<u32>) -> Result<u32, Error> {
    match raw.unwrap_or(DEFAULT_TOKENS) {
        0 => Err(bad("max_tokens", "max_tokens must be at least 1")),
        tokens => Ok(tokens),
    }
}

fn sampling(
    temperature: Option<f64>,
    top_p: Option<f64>,
    seed: Option<i64>,
    stop: Option<Stop>,
) -> Result<Sampling, Error> {
    if temperature.is_some_and(|it| !(0.0..=2.0).contains(&it)) {
        return Err(bad("temperature", "temperature must be between 0 and 2"));
    }
    if top_p.is_some_and(|it| !(0.0..=1.0).contains(&it)) {
        return Err(bad("top_p", "top_p must be between 0 and 1"));
    }
    let stop = match stop {
        None => Vec::new(),
        Some(Stop::Text(text)) => vec![text],
        Some(Stop::List(list)) => list,
    };
    Ok(Sampling { temperature, top_p, seed, stop })
}

fn bad<S>(param: &'static str, message: S) -> Error
where
    S: Into<String>,
{
    Error::new(Kind::BadValue, message).param(param)
}
