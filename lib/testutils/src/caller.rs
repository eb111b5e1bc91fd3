//! HTTP client for tests: calls a host as a workspace's caller does, over a real socket.

use std::{net::SocketAddr, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode};
use mothvale_lib::{
    client::{Call, Client},
    fault::Fault,
    generated::openai::{Answer, ErrorBody, ErrorObject},
};
use mothvale_standin::dev::KEYS;
use serde_json::{Value, json};
use volo_http::client::sse::SseReader;

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A caller of one host, with an API key.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    address: SocketAddr,
    key: String,
}

/// A complete HTTP response.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// The JSON body, or null when it is not JSON.
    pub body: Value,
}

impl Reply {
    /// Returns the error object of the body.
    ///
    /// # Panics
    ///
    /// Panics when the body is not an error.
    pub fn error(&self) -> ErrorObject {
        serde_json::from_value::<ErrorBody>(self.body.clone()).unwrap().error
    }

    /// Returns the value of a header field, or `None` when it is absent or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|it| it.to_str().ok())
    }
}

/// What a caller received of a streamed answer.
#[derive(Debug, Default)]
pub struct StreamedReply {
    /// The text received.
    pub text: String,
    /// The last `finish_reason`.
    pub finish: Option<String>,
    /// Completion tokens, if the usage was received.
    pub tokens: Option<u32>,
    /// Whether `[DONE]` was received.
    pub done: bool,
    /// The error event, if one was received.
    pub error: Option<ErrorObject>,
    /// Whether the connection broke.
    pub broken: bool,
}

impl Caller {
    /// Creates a caller of the host at `address`, with the API key of workspace `bedline`.
    pub fn new(address: SocketAddr) -> Self {
        Caller { client: Client::pooled(), address, key: KEYS[0].into() }
    }

    /// Replaces the API key.
    pub fn with_key(self, key: &str) -> Self {
        Caller { key: key.into(), ..self }
    }

    /// Returns a call with the API key in its `Authorization` header.
    pub fn call(&self, method: Method, path: &str) -> Call {
        let mut call = Call::new(self.address, method, path, CALL_TIMEOUT);
        let bearer = format!("Bearer {}", self.key);
        call.headers.insert(http::header::AUTHORIZATION, bearer.parse().unwrap());
        call
    }

    /// Sends a call and returns the complete response.
    ///
    /// # Errors
    ///
    /// Returns the fault when no complete response is received.
    pub async fn send(&self, call: Call) -> Result<Reply, Fault> {
        let response: Response<_> = self.client.send_buffered(call).await?;
        let (head, body) = response.into_parts();
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        Ok(Reply { status: head.status, headers: head.headers, body })
    }

    /// Sends a GET request.
    ///
    /// # Panics
    ///
    /// Panics when no complete response is received.
    pub async fn get(&self, path: &str) -> Reply {
        self.send(self.call(Method::GET, path)).await.unwrap()
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Panics
    ///
    /// Panics when no complete response is received.
    pub async fn post(&self, path: &str, body: &Value) -> Reply {
        self.send(self.call(Method::POST, path).json(body)).await.unwrap()
    }

    /// Sends a POST request with a JSON body and an idempotency key.
    ///
    /// # Errors
    ///
    /// Returns the fault when no complete response is received.
    pub async fn post_idempotent(
        &self,
        path: &str,
        key: &str,
        body: &Value,
    ) -> Result<Reply, Fault> {
        let mut call = self.call(Method::POST, path).json(body);
        let name = HeaderName::from_static("idempotency-key");
        call.headers.insert(name, HeaderValue::from_str(key).unwrap());
        self.send(call).await
    }

    /// Sends a chat completion request of one message, without streaming.
    ///
    /// # Panics
    ///
    /// Panics when no complete response is received.
    pub async fn chat(&self, text: &str, tokens: u32) -> Reply {
        self.post("/v1/chat/completions", &chat_body(text, tokens, false)).await
    }

    /// Sends a streaming chat completion request of one message and reads the stream to its end.
    ///
    /// # Panics
    ///
    /// Panics when no response begins or an event is not valid.
    pub async fn stream(&self, text: &str, tokens: u32) -> StreamedReply {
        let call = self.call(Method::POST, "/v1/chat/completions");
        let response = self.client.send(call.json(&chat_body(text, tokens, true))).await.unwrap();
        let mut streamed = StreamedReply::default();
        let Ok(mut reader) = SseReader::into_sse(response) else {
            streamed.broken = true;
            return streamed;
        };
        loop {
            match reader.read().await {
                Ok(Some(event)) => streamed.add_event(event.data().unwrap_or_default()),
                Ok(None) => return streamed,
                Err(_) => {
                    streamed.broken = true;
                    return streamed;
                }
            }
        }
    }
}

impl StreamedReply {
    /// Adds the data of one server-sent event.
    fn add_event(&mut self, data: &str) {
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        if let Ok(body) = serde_json::from_str::<ErrorBody>(data) {
            self.error = Some(body.error);
            return;
        }
        let answer: Answer = serde_json::from_str(data).unwrap();
        for choice in &answer.choices {
            let delta = choice.delta.as_ref().and_then(|it| it.content.as_deref());
            self.text.push_str(delta.or(choice.text.as_deref()).unwrap_or_default());
            self.finish = choice.finish_reason.clone().or(self.finish.take());
        }
        self.tokens = answer.usage.map(|it| it.completion_tokens).or(self.tokens);
    }
}

/// Returns the body of a chat completion request of one user message, for at most `tokens`
/// tokens.
pub fn chat_body(text: &str, tokens: u32, stream: bool) -> Value {
    json!({
        "model": "demo",
        "messages": [{"role": "user", "content": text}],
        "max_tokens": tokens,
        "stream": stream,
        "stream_options": {"include_usage": stream},
    })
}

/// Returns the canonical prompt, as engines receive it, of a chat of one user message.
pub fn canonical_prompt(text: &str) -> String {
    format!("{}\n", serde_json::to_string(&("user", text, None::<&str>)).unwrap())
}
