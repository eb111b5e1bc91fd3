//! The part of a request's way on which its answer is a stream: whole events are passed on as
//! they come, and a run that breaks is gone on with elsewhere where that is allowed.

use http::{Response, StatusCode};
use http_body_util::BodyExt;
use tokio::{sync::mpsc, time::timeout_at};

use crate::{
    cache_index::Plan,
    codec::Codec,
    fleet::Outcome,
    forward::{Body, Forwarder, Placement, Truncated, UpstreamResponse},
    prelude::*,
    sse::Decoder,
};

/// Events that wait for a caller.
const WAITING: usize = 32;

impl<D> Forwarder<D>
where
    D: Codec,
{
    /// Passes a stream on, in a task of its own.
    pub(crate) fn forward_stream(self, upstream_response: UpstreamResponse<D>) -> Response<Body> {
        let (sender, receiver) = mpsc::channel(WAITING);
        let response = self.build_response(&upstream_response.head, Body::Stream(receiver));
        tokio::spawn(self.pump(upstream_response, sender));
        response
    }

    async fn pump(
        mut self,
        mut upstream_response: UpstreamResponse<D>,
        chunks: mpsc::Sender<Result<Bytes, Truncated>>,
    ) {
        let _active = self.gateway.track_request();
        let mut last_event_id = None;
        loop {
            let end = self.follow(upstream_response, &chunks, &mut last_event_id).await;
            let again = match end {
                End::Done | End::Left => return,
                End::Late => false,
                End::Broken => self.may_retry(),
            };
            if !again {
                break;
            }
            let resumed = tokio::select! {
                () = chunks.closed() => return,
                resumed = self.send_with_retries(last_event_id) => resumed,
            };
            match resumed {
                Ok(next) if next.head.status == StatusCode::OK => upstream_response = next,
                _ => break,
            }
        }
        log::info!(request = self.job.metadata.id.as_str(), route = self.job.route.name.as_str(),
            last_event = last_event_id.unwrap_or_default(), runs = self.runs; "stream is cut");
        self.gateway.metrics.count_outcome("stream_cut");
        // A caller that has left needs no mark.
        let _ = chunks.send(Err(Truncated)).await;
    }

    /// Passes on the events of one run.
    async fn follow(
        &mut self,
        upstream_response: UpstreamResponse<D>,
        chunks: &mpsc::Sender<Result<Bytes, Truncated>>,
        last_event_id: &mut Option<u64>,
    ) -> End {
        let UpstreamResponse { placement, connection, head, mut body, started } = upstream_response;
        let mut decoder = Decoder::default();
        let mut first = None;
        loop {
            let frame = tokio::select! {
                () = chunks.closed() => return End::Left,
                frame = timeout_at(self.job.deadline, body.frame()) => frame,
            };
            let data = match frame {
                Err(_) => return End::Late,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) if decoder.take_remaining().is_empty() => break,
                Ok(None | Some(Err(_))) => return self.stream_broken(placement),
            };
            if !decoder.push(&data) {
                return self.stream_broken(placement);
            }
            let events = self.events(&mut decoder, last_event_id);
            if events.is_empty() {
                continue;
            }
            if first.is_none() {
                let elapsed = started.elapsed();
                first = Some(elapsed);
                self.report_wait();
                if let Some(plan) = &self.plan {
                    let usual = self.gateway.fleet().mean_ttfb(&placement.choice.id);
                    self.gateway.cache_index().record_first_token(
                        self.gateway.now(),
                        plan,
                        elapsed,
                        usual,
                    );
                }
            }
            if chunks.send(Ok(events)).await.is_err() {
                return End::Left;
            }
        }
        let choice = placement.choice.clone();
        self.gateway.clear_suspect(self.job.fingerprint());
        self.gateway.pool().put(&choice.id, choice.address, connection, &head.headers);
        let first = first.unwrap_or_else(|| started.elapsed());
        let class = self.job.route.name.as_str();
        let wait = self.job.received.elapsed();
        self.gateway.metrics.first_token.with_label_values(&[class]).observe(first.as_secs_f64());
        placement.complete(Outcome::Served(first));
        let parts = self.plan.as_ref().map(Plan::summary).unwrap_or_default();
        log::info!(request = self.job.metadata.id.as_str(), route = self.job.route.name.as_str(),
            upstream = choice.id.as_str(), chosen = choice.reason,
            weights = choice.weight_version.unwrap_or_default(), tokens = choice.tokens,
            session = format!("{:x}", self.session_key.unwrap_or_default()).as_str(),
            parts = parts.as_str(), origin = choice.cache_source.is_some(), runs = self.runs,
            first_ms = first.as_millis() as u64,
            total_ms = wait.as_millis() as u64; "stream ended");
        End::Done
    }

    /// Joins the whole events that have come, without those that the caller has.
    fn events(&self, decoder: &mut Decoder, last_event_id: &mut Option<u64>) -> Bytes {
        let mut joined: SmallVec<[Bytes; 4]> = SmallVec::new();
        while let Some(event) = decoder.next_event() {
            let repeated =
                matches!((event.id, *last_event_id), (Some(id), Some(last)) if id <= last);
            if repeated {
                continue;
            }
            *last_event_id = event.id.or(*last_event_id);
            joined.push(event.bytes);
        }
        match joined.len() {
            1 => joined.remove(0),
            _ => joined.concat().into(),
        }
    }

    fn stream_broken(&mut self, placement: Placement<D>) -> End {
        self.log_attempt(&placement.choice, "stream_broken");
        self.gateway.record_crash(self.job.fingerprint(), &placement.choice.id);
        self.tried.push(placement.choice.id.clone());
        placement.complete(Outcome::Broken);
        End::Broken
    }
}

/// How one run of a stream ended.
enum End {
    Done,
    Left,
    Late,
    Broken,
}
