//! Metrics of one host, exported in the Prometheus text format.

use prometheus::{
    GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::invariant::{Invariant, violations};

/// Upper bounds of the histogram buckets, in seconds. The target for the first token is 1.2 s.
const FIRST_TOKEN_BUCKETS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.2, 2.5, 5.0, 10.0];
/// Upper bounds of the histogram buckets, in seconds. The target between tokens is 36 ms.
const TOKEN_GAP_BUCKETS_S: [f64; 10] = [0.002, 0.005, 0.01, 0.02, 0.036, 0.05, 0.1, 0.25, 0.5, 1.0];

/// All metrics of one host and the registry that exports them.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Ended requests, by outcome as described at [`Metrics::count_outcome`].
    pub requests: IntCounterVec,
    /// Attempts sent to upstreams.
    pub attempts: IntCounter,
    /// Time to the first token by priority class, in seconds.
    pub first_token: HistogramVec,
    /// Time between tokens, in seconds.
    pub token_gap: Histogram,
    /// Prompt tokens of finished answers.
    pub prompt_tokens: IntCounter,
    /// Prompt tokens that engines found in their caches.
    pub cached_tokens: IntCounter,
    /// Tokens delivered to callers.
    pub tokens: IntCounter,
    /// Dropped frames, by reason.
    pub dropped_frames: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Upstreams that were learned to shut down, by source: their responses, or other hosts.
    pub departures: IntCounterVec,
    /// Pauses that upstreams have asked for.
    pub pauses: IntCounter,
    /// Upstreams that name a limit on their requests, as far as this host knows.
    pub limited_upstreams: IntGauge,
    /// Bytes of streamed responses that wait for slow callers.
    pub unread_bytes: IntGauge,
    /// Bytes that are held for bodies of requests and of responses.
    pub held_bytes: IntGaugeVec,
    /// Most bytes that were held for bodies since the start.
    pub held_bytes_peak: IntGauge,
    /// Bodies for which the host had no memory, by owner.
    pub memory_refusals: IntCounterVec,
    /// Part of a service's requests that a new build gets, by service and build.
    pub build_shares: GaugeVec,
    /// Answers while a service moves to another build, by service, side and whether they were good.
    pub build_answers: IntCounterVec,
    /// Requests that were sent over other hosts, by what became of them there.
    pub detours: IntCounterVec,
    /// Attempts that sent a request once more, by service.
    pub resends: IntCounterVec,
    /// Requests that were not sent once more because the retry budget was used up, by service.
    pub resend_refusals: IntCounterVec,
    /// Services of which this host reaches no upstream, as far as it knows.
    pub unreachable_services: IntGauge,
    /// Requests that were refused because all their upstreams had asked for a pause.
    pub pause_refusals: IntCounter,
    /// Streams that callers resume, by what is known of their origin.
    pub resumed_streams: IntCounterVec,
    /// Requests that were refused because the limits of all their upstreams were used up.
    pub limit_refusals: IntCounter,
    /// Requests that were shed by admission control, by priority.
    pub shed_requests: IntCounterVec,
    /// Attempts that were not sent because the chosen upstream changed meanwhile, by reason.
    pub unsent_attempts: IntCounterVec,
    /// Known causes of crashes: sets of prompt parts that crash upstreams.
    pub crash_causes: IntGauge,
    /// Requests that were not sent, or withdrawn from an upstream, because their prompts crash upstreams.
    pub fatal_prompts: IntCounterVec,
    /// Calls to the table service, by outcome.
    pub table_calls: IntCounterVec,
    /// The row store's newest era that this host has seen.
    pub store_era: IntGauge,
    /// How often this host has seen the row store come back from a copy.
    pub store_restores: IntCounter,
    /// Violations by invariant, copied from [`violations`] when the metrics are exported.
    invariants: IntCounterVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error when two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let first_token = HistogramVec::new(
            HistogramOpts::new("mothvale_first_token_seconds", "Time to the first token")
                .buckets(FIRST_TOKEN_BUCKETS_S.to_vec()),
            &["class"],
        )?;
        registry.register(Box::new(first_token.clone()))?;
        let token_gap = Histogram::with_opts(
            HistogramOpts::new("mothvale_token_gap_seconds", "Time between tokens")
                .buckets(TOKEN_GAP_BUCKETS_S.to_vec()),
        )?;
        registry.register(Box::new(token_gap.clone()))?;
        let in_flight = IntGauge::new("mothvale_requests_in_flight", "Requests in flight")?;
        registry.register(Box::new(in_flight.clone()))?;
        let store_era = IntGauge::new("mothvale_store_era", "Newest era of the row store")?;
        registry.register(Box::new(store_era.clone()))?;
        let crash_causes =
            IntGauge::new("mothvale_crash_causes", "Sets of prompt parts that crash upstreams")?;
        registry.register(Box::new(crash_causes.clone()))?;
        let limited_upstreams =
            IntGauge::new("mothvale_limited_upstreams", "Upstreams that name a limit")?;
        registry.register(Box::new(limited_upstreams.clone()))?;
        let unread_bytes =
            IntGauge::new("mothvale_unread_bytes", "Bytes of streams that wait for slow callers")?;
        registry.register(Box::new(unread_bytes.clone()))?;
        let held_bytes = IntGaugeVec::new(
            Opts::new("mothvale_held_bytes", "Bytes held for bodies of requests and of responses"),
            &["owner"],
        )?;
        registry.register(Box::new(held_bytes.clone()))?;
        let held_bytes_peak = IntGauge::new(
            "mothvale_held_bytes_peak",
            "Most bytes held for bodies since the start",
        )?;
        registry.register(Box::new(held_bytes_peak.clone()))?;
        let unreachable_services = IntGauge::new(
            "mothvale_unreachable_services",
            "Services of which this host reaches no upstream",
        )?;
        registry.register(Box::new(unreachable_services.clone()))?;
        let build_shares = GaugeVec::new(
            Opts::new("mothvale_rollout_share", "Part of a service's requests for its new build"),
            &["service", "build"],
        )?;
        registry.register(Box::new(build_shares.clone()))?;
        Ok(Metrics {
            build_shares,
            build_answers: counters(
                "mothvale_rollout_answers_total",
                "Answers of old and new builds while a service moves to a build",
                &["service", "side", "outcome"],
            )?,
            unreachable_services,
            resends: counters(
                "mothvale_resends_total",
                "Attempts that sent a request once more",
                &["service"],
            )?,
            resend_refusals: counters(
                "mothvale_resend_refusals_total",
                "Requests not sent once more because the retry budget was used up",
                &["service"],
            )?,
            detours: counters(
                "mothvale_detours_total",
                "Requests sent over other hosts, by outcome",
                &["outcome"],
            )?,
            crash_causes,
            fatal_prompts: counters(
                "mothvale_fatal_prompts_total",
                "Requests whose prompts crash upstreams, by what was done",
                &["action"],
            )?,
            store_era,
            store_restores: counter(
                "mothvale_store_restores_total",
                "How often the row store was seen to come back from a copy",
            )?,
            requests: counters("mothvale_requests_total", "Requests by outcome", &["outcome"])?,
            attempts: counter("mothvale_attempts_total", "Attempts sent to upstreams")?,
            first_token,
            token_gap,
            prompt_tokens: counter("mothvale_prompt_tokens_total", "Prompt tokens")?,
            cached_tokens: counter(
                "mothvale_cached_prompt_tokens_total",
                "Prompt tokens that engines found in their caches",
            )?,
            tokens: counter("mothvale_tokens_total", "Tokens delivered")?,
            dropped_frames: counters(
                "mothvale_dropped_frames_total",
                "Frames dropped",
                &["reason"],
            )?,
            in_flight,
            departures: counters(
                "mothvale_upstream_departures_total",
                "Upstreams learned to shut down",
                &["source"],
            )?,
            pauses: counter("mothvale_upstream_pauses_total", "Pauses that upstreams asked for")?,
            limited_upstreams,
            unread_bytes,
            held_bytes,
            held_bytes_peak,
            memory_refusals: counters(
                "mothvale_memory_refusals_total",
                "Bodies for which the host had no memory",
                &["owner"],
            )?,
            pause_refusals: counter(
                "mothvale_pause_refusals_total",
                "Requests refused because all their upstreams had asked for a pause",
            )?,
            resumed_streams: counters(
                "mothvale_resumed_streams_total",
                "Streams that callers resume, by what is known of their origin",
                &["outcome"],
            )?,
            limit_refusals: counter(
                "mothvale_limit_refusals_total",
                "Requests refused because the limits of all their upstreams were used up",
            )?,
            shed_requests: counters(
                "mothvale_shed_requests_total",
                "Requests shed because the engines had too much to do",
                &["priority"],
            )?,
            unsent_attempts: counters(
                "mothvale_unsent_attempts_total",
                "Attempts not sent because the chosen upstream changed",
                &["reason"],
            )?,
            table_calls: counters(
                "mothvale_table_calls_total",
                "Calls to the table service",
                &["outcome"],
            )?,
            invariants: counters(
                "mothvale_broken_invariants_total",
                "Broken invariants",
                &["invariant"],
            )?,
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        for invariant in Invariant::ALL {
            let counter = self.invariants.with_label_values(&[invariant.name()]);
            counter.reset();
            counter.inc_by(violations(*invariant));
        }
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }

    /// Counts a request by its outcome: `ok`, an error code, an HTTP status, or how the
    /// connection to the caller ended.
    pub fn count_outcome(&self, outcome: &str) {
        self.requests.with_label_values(&[outcome]).inc();
    }
}
