//! The library of mothvale, a serving system between callers and model engines.
//!
//! Decisions are made by code without I/O; thin adapters around it do the network calls.
//!
//! [`host`] runs one host for `mothvale serve`, with [`public_api`], [`health_tracker`],
//! [`upstream_choice`], [`relay`], [`services`], [`peer`] and [`retry`].
//!
//! [`gateway_process`] runs one host for `mothvale gateway`, with [`gateway_server`], [`gateway`],
//! [`fleet`], [`forward`], [`mesh`], [`table_sync`], [`rollout`] and [`window`].

pub mod admin;
pub mod admission;
pub mod answer;
pub mod backend;
mod body_buffer;
pub mod cache_gc;
pub mod cache_index;
pub mod cache_watch;
pub mod choice;
pub mod claim;
pub mod client;
pub mod clock;
pub mod codec;
pub mod configuration;
pub mod connection;
pub mod control;
mod crash_causes;
mod crash_gossip;
pub mod departure;
pub mod engine;
pub mod era_watch;
pub mod error;
pub mod ewma;
mod fatal_prompt;
pub mod fault;
pub mod fleet;
pub mod forward;
pub mod gateway;
pub mod gateway_process;
pub mod gateway_server;
pub mod generated;
pub mod group_commit;
pub mod health_tracker;
pub mod holdover;
pub mod hop_by_hop;
pub mod host;
pub mod host_list;
pub mod host_settings;
pub mod inflight;
pub mod invariant;
pub mod key;
pub mod lease;
pub mod listener;
pub mod log_setup;
pub mod mesh;
pub mod metric;
pub mod name;
pub mod notice;
pub mod object;
pub mod obstacle;
pub mod openai;
pub mod pause;
pub mod peer;
pub mod pinned_tls;
pub mod poison;
pub mod popularity;
pub mod prelude;
pub mod problem;
pub mod prompt;
pub mod public_api;
pub mod quarantine;
pub mod rate_limit;
pub mod reach;
pub mod record;
pub mod relay;
pub mod rendezvous;
pub mod replica;
pub mod response_body;
pub mod retry;
pub mod rollout;
pub mod row_store;
pub mod salt;
pub mod services;
pub mod settings;
pub mod share;
pub mod shared;
pub mod sse;
pub mod store;
pub mod store_history;
pub mod store_latency;
pub mod store_link;
pub mod stream;
pub mod stream_origin;
pub mod stream_resumption;
pub mod sweep;
pub mod table;
pub mod table_sync;
pub mod target_weights;
pub mod tls;
pub mod unit;
pub mod upstream_choice;
pub mod upstream_state;
pub mod view;
pub mod weight;
pub mod window;
pub mod yaml;
pub mod zone_leader;
