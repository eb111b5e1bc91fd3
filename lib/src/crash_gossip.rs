//! The part of gossip that is about crashes of upstreams: requests whose upstream broke off, what was answered since, and
//! what crashes upstreams. A host that may have missed some of it asks for all.
//!
//! Times travel as ages, because hosts have no common clock. A relay adds the time for which it kept a
//! message.

use crate::{
    codec::Codec,
    gateway::Gateway,
    generated::peer::{self, Gossip},
    poison::{Break, CauseReport, Fingerprint, Key, Proof},
    prelude::*,
};

/// Adds what this host has to tell about crashes to a message. Breaks and answers are told a few times, causes
/// while they change or keep requests away.
pub(crate) fn write<C>(gateway: &Gateway<C>, gossip: &mut Gossip)
where
    C: Codec,
{
    let now = gateway.crash_clock();
    gossip.crashes.extend(gateway.take_breaks().iter().map(|it| encode_break(now, it)));
    let answered = gateway.take_answered_parts().into_iter();
    gossip.answered_parts.extend(answered.map(|it| peer::AnsweredPart {
        part: it.key.0,
        age_ms: millis(now.since(it.at)),
        ran_ms: match it.proof {
            Proof::Ran(time) => millis(time),
            Proof::Whole => 0,
        },
        whole: it.proof == Proof::Whole,
    }));
    write_causes(gateway, gossip);
}

/// Adds what this host knows to crash upstreams, as far as other hosts may need it now, to a message.
pub(crate) fn write_causes<C>(gateway: &Gateway<C>, gossip: &mut Gossip)
where
    C: Codec,
{
    gossip.knows_causes = gateway.knows_causes();
    gossip.causes.extend(gateway.cause_news().iter().map(encode_cause));
}

/// Returns all that this host knows of crashes, for a host that may have missed some of it.
pub(crate) fn news<C>(gateway: &Gateway<C>) -> peer::CrashNews
where
    C: Codec,
{
    let now = gateway.crash_clock();
    peer::CrashNews {
        crashes: gateway.all_breaks().iter().map(|it| encode_break(now, it)).collect(),
        causes: gateway.crash_causes().iter().map(encode_cause).collect(),
        knows_causes: gateway.knows_causes(),
    }
}

/// Applies what another host knows of crashes, as the answer to a question of `asked_at`.
pub(crate) fn apply_news<C>(
    gateway: &Gateway<C>,
    peer: &Host,
    asked_at: Instant,
    news: &peer::CrashNews,
) where
    C: Codec,
{
    apply_crashes(gateway, peer, &news.crashes, &news.causes);
    if news.knows_causes {
        gateway.record_crash_answer(asked_at);
    }
}

fn apply_crashes<C>(
    gateway: &Gateway<C>,
    peer: &Host,
    crashes: &[peer::Crash],
    causes: &[peer::Cause],
) where
    C: Codec,
{
    let now = gateway.crash_clock();
    for crash in crashes {
        log::debug!(peer = peer.as_str(), upstream = crash.upstream.as_str(),
            fingerprint = crash.request; "another host reported an upstream crash");
        gateway.record_remote_break(peer, &decode_break(now, crash));
    }
    for cause in causes {
        gateway.follow_cause(peer.as_str(), &decode_cause(cause));
    }
}

/// Applies what another host tells about crashes. Answers come first: they may be newer than a cause
/// that the other host still follows.
pub(crate) fn apply<C>(gateway: &Gateway<C>, peer: &Host, gossip: &Gossip)
where
    C: Codec,
{
    let now = gateway.crash_clock();
    for it in &gossip.answered_parts {
        let at = now.saturating_sub(Duration::from_millis(it.age_ms));
        gateway.record_remote_answer(peer, Key(it.part), at, decode_proof(it));
    }
    apply_crashes(gateway, peer, &gossip.crashes, &gossip.causes);
    if gossip.knows_causes {
        gateway.record_crash_word();
    }
}

/// Returns whether a message has anything about crashes to relay. Causes are not relayed: a host that
/// has learned one tells it itself.
pub(crate) fn has_news(gossip: &Gossip) -> bool {
    !gossip.crashes.is_empty() || !gossip.answered_parts.is_empty()
}

/// Adds the news about crashes in a message that a relay has kept for `kept` to another message.
pub(crate) fn relay(from: &Gossip, kept: Duration, to: &mut Gossip) {
    let kept_ms = millis(kept);
    let crashes = from.crashes.iter().cloned();
    to.crashes
        .extend(crashes.map(|it| peer::Crash { age_ms: it.age_ms.saturating_add(kept_ms), ..it }));
    let answered = from.answered_parts.iter().cloned();
    to.answered_parts.extend(
        answered.map(|it| peer::AnsweredPart { age_ms: it.age_ms.saturating_add(kept_ms), ..it }),
    );
}

/// Encodes a cause of crashes, with times as of now.
pub(crate) fn encode_cause(report: &CauseReport) -> peer::Cause {
    peer::Cause {
        parts: report.parts.iter().map(|it| it.0).collect(),
        last_crash_age_ms: millis(report.last_crash_age),
        trials: report.trials,
        next_trial_ms: millis(report.next_trial_in),
    }
}

/// Decodes a cause of crashes.
pub(crate) fn decode_cause(cause: &peer::Cause) -> CauseReport {
    CauseReport {
        parts: cause.parts.iter().map(|it| Key(*it)).collect(),
        last_crash_age: Duration::from_millis(cause.last_crash_age_ms),
        trials: cause.trials,
        next_trial_in: Duration::from_millis(cause.next_trial_ms),
    }
}

/// Decodes a break that a message of `sent_at` tells of.
pub(crate) fn decode_break(sent_at: Instant, crash: &peer::Crash) -> Break {
    Break {
        request: Fingerprint(crash.request),
        upstream: Upstream::new(crash.upstream.clone()),
        ran: crash.suspected.then(|| Duration::from_millis(crash.ran_ms)),
        start_time_ms: crash.start_time_ms,
        parts: crash.parts.iter().map(|it| Key(*it)).collect(),
        broke_at: sent_at.saturating_sub(Duration::from_millis(crash.age_ms)),
        silence: crash.silence_ms.map(Duration::from_millis),
    }
}

fn encode_break(now: Instant, report: &Break) -> peer::Crash {
    peer::Crash {
        request: report.request.0,
        upstream: FastStr::new(report.upstream.as_str()),
        suspected: report.ran.is_some(),
        ran_ms: millis(report.ran.unwrap_or_default()),
        start_time_ms: report.start_time_ms,
        parts: report.parts.iter().map(|it| it.0).collect(),
        age_ms: millis(now.since(report.broke_at)),
        silence_ms: report.silence.map(millis),
    }
}

/// Returns what an answer shows, or `None` for one of an earlier build, which may be a first event.
fn decode_proof(answered: &peer::AnsweredPart) -> Option<Proof> {
    match (answered.whole, answered.ran_ms) {
        (true, _) => Some(Proof::Whole),
        (false, 0) => None,
        (false, ran_ms) => Some(Proof::Ran(Duration::from_millis(ran_ms))),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
