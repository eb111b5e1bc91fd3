//! Parsing and validation of callers' chat and completion requests.

use serde::de::DeserializeOwned;

use crate::{
    generated::openai::{ChatRequest, CompletionRequest, Content, Message, Prompt, Stop},
    prelude::*,
    rendezvous,
    settings::{Catalog, WorkspaceEntry},
};

/// Roles that a chat message may have.
const ROLES: [&str; 5] = ["system", "developer", "user", "assistant", "tool"];
/// Maximum number of tokens of an answer whose request sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Bytes of the prompt's start that the prefix key covers: about two thousand tokens.
const PREFIX_BYTES: usize = 8192;
/// Bytes of text per token, for estimates.
const BYTES_PER_TOKEN: usize = 4;

/// The API that a request was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Api {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completion,
}

/// A validated request for a model's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The API that the request was sent to.
    pub api: Api,
    /// The model.
    pub model: Model,
    /// The canonical prompt. For a chat, one line for each message: a JSON array of role, content
    /// and name.
    pub text: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a streamed answer ends with token counts.
    pub include_usage: bool,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u32,
    /// Sampling options.
    pub sampling: Sampling,
}

/// Sampling options.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sampling {
    /// Sampling temperature, 0 to 2.
    pub temperature: Option<f64>,
    /// Nucleus sampling: probability mass of the tokens to sample from.
    pub top_p: Option<f64>,
    /// Seed of the random number generator.
    pub seed: Option<i64>,
    /// Sequences that end the answer.
    pub stop: Vec<String>,
}

impl Request {
    /// Returns a hash of the prompt's prefix. It includes the workspace and the model, so that no
    /// two workspaces or models share a key.
    pub fn prefix_key(&self, workspace: &Workspace) -> u64 {
        let mut end = self.text.len().min(PREFIX_BYTES);
        while !self.text.is_char_boundary(end) {
            end -= 1;
        }
        rendezvous::hash_parts(&[workspace.as_str(), self.model.as_str(), &self.text[..end]])
    }

    /// Estimates the number of tokens of the prompt.
    pub fn estimated_tokens(&self) -> u32 {
        u32::try_from(self.text.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
    }

    /// Checks that the workspace may use the model and that `max_tokens` is within the model's
    /// limit.
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
            Err(Error::new(kind, message).with_param("model"))
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
            return Err(Error::new(Kind::BadValue, message).with_param("max_tokens"));
        }
        Ok(())
    }
}

/// Parses and validates a request body.
///
/// # Errors
///
/// Returns an error of kind `BadJson` or `BadValue`.
pub fn parse(api: Api, body: &[u8]) -> Result<Request, Error> {
    match api {
        Api::Chat => Request::try_from(parse_json::<ChatRequest>(body)?),
        Api::Completion => Request::try_from(parse_json::<CompletionRequest>(body)?),
    }
}

fn parse_json<T>(body: &[u8]) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|err| Error::new(Kind::BadJson, format!("body: {err}")))
}

impl TryFrom<ChatRequest> for Request {
    type Error = Error;

    fn try_from(raw: ChatRequest) -> Result<Self, Error> {
        if raw.messages.is_empty() {
            return Err(bad_value("messages", "messages must not be empty"));
        }
        let mut text = String::new();
        for message in &raw.messages {
            append_message(&mut text, message)?;
        }
        check_choice_count(raw.n)?;
        let sampling = parse_sampling(raw.temperature, raw.top_p, raw.seed, raw.stop)?;
        Ok(Request {
            api: Api::Chat,
            model: Model::new(raw.model),
            text,
            stream: raw.stream.unwrap_or(false),
            include_usage: raw.stream_options.and_then(|it| it.include_usage).unwrap_or(false),
            max_tokens: parse_max_tokens(raw.max_completion_tokens.or(raw.max_tokens))?,
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
                Err(_) => return Err(bad_value("prompt", "a list must hold exactly one prompt")),
            },
        };
        if text.is_empty() {
            return Err(bad_value("prompt", "prompt must not be empty"));
        }
        check_choice_count(raw.n)?;
        let sampling = parse_sampling(raw.temperature, raw.top_p, raw.seed, raw.stop)?;
        Ok(Request {
            api: Api::Completion,
            model: Model::new(raw.model),
            text,
            stream: raw.stream.unwrap_or(false),
            include_usage: raw.stream_options.and_then(|it| it.include_usage).unwrap_or(false),
            max_tokens: parse_max_tokens(raw.max_tokens)?,
            sampling,
        })
    }
}

/// Appends a message to the canonical prompt. JSON quoting ensures that the text of a message
/// cannot forge the start of another one.
fn append_message(text: &mut String, message: &Message) -> Result<(), Error> {
    if !ROLES.contains(&message.role.as_str()) {
        return Err(bad_value("messages", format!("the role `{}` is not supported", message.role)));
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
                        return Err(bad_value("messages", message));
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

/// Checks that the request asks for one answer only.
fn check_choice_count(n: Option<u32>) -> Result<(), Error> {
    match n {
        None | Some(1) => Ok(()),
        Some(_) => Err(bad_value("n", "only one choice is supported")),
    }
}

fn parse_max_tokens(raw: Option<u32>) -> Result<u32, Error> {
    match raw.unwrap_or(DEFAULT_MAX_TOKENS) {
        0 => Err(bad_value("max_tokens", "max_tokens must be at least 1")),
        tokens => Ok(tokens),
    }
}

fn parse_sampling(
    temperature: Option<f64>,
    top_p: Option<f64>,
    seed: Option<i64>,
    stop: Option<Stop>,
) -> Result<Sampling, Error> {
    if temperature.is_some_and(|it| !(0.0..=2.0).contains(&it)) {
        return Err(bad_value("temperature", "temperature must be between 0 and 2"));
    }
    if top_p.is_some_and(|it| !(0.0..=1.0).contains(&it)) {
        return Err(bad_value("top_p", "top_p must be between 0 and 1"));
    }
    let stop = match stop {
        None => Vec::new(),
        Some(Stop::Text(text)) => vec![text],
        Some(Stop::List(list)) => list,
    };
    Ok(Sampling { temperature, top_p, seed, stop })
}

fn bad_value<S>(param: &'static str, message: S) -> Error
where
    S: Into<String>,
{
    Error::new(Kind::BadValue, message).with_param(param)
}
