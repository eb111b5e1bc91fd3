//! Passes large responses on as their callers read them, while the host has no memory to hold them whole. Such a
//! response cannot be asked for again once its head is on the way to the caller.

use http::Response;
use http_body_util::BodyExt;
use tokio::time::timeout_at;

use crate::{
    codec::Codec,
    fatal_prompt::Signs,
    fleet::Outcome,
    forward::{Forwarder, UpstreamResponse, keep_length},
    gateway::RequestGuard,
    poison::Proof,
    prelude::*,
    response_body::{Body, Truncated},
    unread::Sender,
};

impl<C> Forwarder<C>
where
    C: Codec,
{
    /// Returns a response whose body is passed on in a separate task.
    pub(crate) fn pass_through(mut self, upstream_response: UpstreamResponse<C>) -> Response<Body> {
        self.gateway.metrics.memory_refusals.with_label_values(&["responses"]).inc();
        self.body = Bytes::new();
        let (sender, receiver) = self.gateway.unread.narrow_channel();
        let head = &upstream_response.head;
        let mut response = self.build_response(head, Body::Stream(receiver));
        keep_length(head, &mut response);
        let active = self.gateway.track_request();
        tokio::spawn(self.pass_chunks(upstream_response, sender, active));
        response
    }

    /// Passes on the chunks of a response until its end, its deadline, or until the caller leaves.
    async fn pass_chunks(
        self,
        upstream_response: UpstreamResponse<C>,
        chunks: Sender<Result<Bytes, Truncated>>,
        _active: RequestGuard<C>,
    ) {
        let UpstreamResponse { attempt, connection, head, mut body, started, head_at, .. } =
            upstream_response;
        let deadline = self.job.deadline;
        let latency = head_at.duration_since(started);
        let fatal = self.wait_fatal();
        tokio::pin!(fatal);
        let reason = loop {
            let frame = tokio::select! {
                () = chunks.closed() => return,
                () = self.gateway.ending.cancelled() => break "host_ends",
                () = &mut fatal => {
                    self.count_withdrawal(&attempt.choice);
                    break "withdrawn";
                }
                frame = timeout_at(deadline, body.frame()) => frame,
            };
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => {
                    let (id, address) = (&attempt.choice.id, attempt.choice.incarnation.address);
                    self.gateway.pool().put(id, address, connection, &head.headers);
                    self.gateway.record_answer(&self.shared_parts, Proof::Whole);
                    self.gateway.record_whole_answer(self.job.fingerprint);
                    self.record_answer_time(started.elapsed());
                    attempt.complete(Outcome::Served(latency));
                    return;
                }
                Ok(Some(Err(_))) => {
                    let ran = Some(head_at.elapsed());
                    let signs = Signs { is_break: true, pooled: false, ran, silence: ran };
                    self.report_break(&attempt.choice, signs);
                    attempt.complete(Outcome::Broken);
                    break "upstream_broke_off";
                }
                Err(_) => break "deadline",
            };
            let bytes = data.len();
            match timeout_at(deadline, chunks.send(Ok(data), bytes)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return,
                Err(_) => break "deadline",
            }
        };
        log::info!(request = self.job.metadata.id.as_str(), reason = reason;
            "response that the host had no memory for was cut off");
        self.gateway.metrics.count_outcome("response_cut");
        // The caller must not take the response for complete.
        let _ = chunks.send(Err(Truncated), 0).await;
    }
}
