//! The promises that a run is judged by, from what callers, upstreams and operators have seen.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use mothvale_platform_standin::{
    engine::{Arrival, LimitNotice, OrderArrival},
    operator::{ENGINES, PLAIN, ROUTES},
};

use super::record::{Attempt, Evidence, Exit, Outcome, Scope};

/// Statuses that promise that a request has not run and will not.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// By how much an upstream's deadline may end after the caller's.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);
/// Lines of a process may be lost that it wrote this long before SIGKILL.
const LOG_LAG: Duration = Duration::from_secs(1);

/// Span in which an upstream with a limit counts what it gets.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// What it may get in that span: this multiple of its limit, and as many requests more.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
/// How long a host may take to act on a limit that it has been told.
const LIMIT_NOTICE: Duration = Duration::from_millis(500);

/// A broken promise.
#[derive(Clone, Debug)]
pub struct Broken {
    /// Name of the check.
    pub check: &'static str,
    /// When it was broken.
    pub at: Instant,
    /// What was seen.
    pub what: String,
}

/// A check: its name and the function that finds broken promises.
type Check = (&'static str, fn(&Evidence) -> Vec<(Instant, String)>);

/// All checks.
const CHECKS: [Check; 19] = [
    ("runs-once", runs_once),
    ("true-refusals", true_refusals),
    ("whole-answers", whole_answers),
    ("deadlines", deadlines),
    ("retry-budget", retry_budget),
    ("drains", drains),
    ("evacuations", evacuations),
    ("revoked-keys", revoked_keys),
    ("not-denied", not_denied),
    ("older-weights", older_weights),
    ("one-holder", one_holder),
    ("limits", limits),
    ("builds", builds),
    ("no-secrets", no_secrets),
    ("bounded-use", bounded_use),
    ("ends", ends),
    ("clean-stops", clean_stops),
    ("explained", explained),
    ("logged-ends", logged_ends),
];

/// Returns the broken promises, the earliest first.
pub fn judge(evidence: &Evidence) -> Vec<Broken> {
    let found = CHECKS.iter().flat_map(|(check, find)| {
        find(evidence).into_iter().map(|(at, what)| Broken { check, at, what })
    });
    let mut found: Vec<_> = found.collect();
    found.sort_by_key(|it| it.at);
    found
}

fn is_at_most_once(attempt: &Attempt) -> bool {
    let route = &ROUTES[attempt.route];
    route.policy != "idempotent" && !route.resumable
}

/// Returns the runs of each request, by id.
fn runs(evidence: &Evidence) -> HashMap<&str, Vec<&Arrival>> {
    let mut runs: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in evidence.journal.arrivals.iter().filter(|it| it.ran) {
        runs.entry(&arrival.id).or_default().push(arrival);
    }
    runs
}

/// Returns the arrivals of requests that a caller has sent, with these.
fn arrivals(evidence: &Evidence) -> impl Iterator<Item = (&Arrival, &Attempt)> {
    let attempts = evidence.record.attempts.iter().map(|it| (it.id.as_str(), it));
    let attempts: HashMap<&str, &Attempt> = attempts.collect();
    let arrivals = evidence.journal.arrivals.iter();
    arrivals.filter_map(move |it| Some((it, *attempts.get(it.id.as_str())?)))
}

fn runs_once(evidence: &Evidence) -> Vec<(Instant, String)> {
    let runs = runs(evidence);
    let attempts = evidence.record.attempts.iter().filter(|it| is_at_most_once(it));
    let twice = attempts.filter_map(|it| {
        let second = runs.get(it.id.as_str())?.get(1)?;
        Some((second.at, format!("request {} ran again at upstream {}", it.id, second.engine_id)))
    });
    twice.collect()
}

fn true_refusals(evidence: &Evidence) -> Vec<(Instant, String)> {
    let runs = runs(evidence);
    let attempts = evidence.record.attempts.iter().filter(|it| is_at_most_once(it));
    let false_ones = attempts.filter_map(|it| {
        let Outcome::Answered(status) = it.outcome else { return None };
        let run = runs.get(it.id.as_str())?.first()?;
        NOT_RUN_STATUSES.contains(&status).then(|| {
            (it.ended, format!("request {} got {status} and ran at {}", it.id, run.engine_id))
        })
    });
    false_ones.collect()
}

fn whole_answers(evidence: &Evidence) -> Vec<(Instant, String)> {
    let wrong = evidence.record.attempts.iter().filter_map(|it| match &it.outcome {
        Outcome::Wrong(what) => Some((it.ended, format!("request {}: {what}", it.id))),
        _ => None,
    });
    wrong.collect()
}

fn deadlines(evidence: &Evidence) -> Vec<(Instant, String)> {
    let broken = arrivals(evidence).filter_map(|(arrival, attempt)| {
        let what = match arrival.deadline {
            None => "no deadline was passed on".to_owned(),
            Some(it) if it > attempt.deadline + DEADLINE_SLACK => {
                format!("{} ms were passed on of {}", it.as_millis(), attempt.deadline.as_millis())
            }
            Some(it)
                if arrival.at + it > attempt.at + attempt.deadline + DEADLINE_SLACK
                    && evidence.in_contact(attempt.host, arrival.at) =>
            {
                format!("{} ms were passed on too late", it.as_millis())
            }
            Some(_) => return None,
        };
        Some((arrival.at, format!("request {}: {what}", arrival.id)))
    });
    broken.collect()
}

fn retry_budget(evidence: &Evidence) -> Vec<(Instant, String)> {
    let bounds = &evidence.bounds;
    let window = Duration::from_secs(bounds.retry_window_s);
    let mut broken = Vec::new();
    for service in [ENGINES, PLAIN] {
        let of_service = |it: &Attempt| ROUTES[it.route].service == service;
        let attempts = evidence.record.attempts.iter().filter(|it| of_service(it));
        let sent: Vec<_> = attempts.map(|it| it.at).collect();
        let mut seen = HashSet::new();
        let arrivals = arrivals(evidence).filter(|it| of_service(it.1));
        let again: Vec<_> =
            arrivals.filter(|it| !seen.insert(it.0.id.as_str())).map(|it| it.0.at).collect();
        for (index, end) in again.iter().enumerate() {
            let count = again[..=index].iter().filter(|it| **it + window > *end).count();
            // The requests of this window, of the one before it, or of the one half a window before.
            let requests = (0..3).map(|half| {
                let (start, end) = (window + window / 2 * half, window / 2 * half);
                let age = again[index];
                sent.iter().filter(|it| **it + start > age && **it + end <= age).count()
            });
            let requests = requests.max().unwrap_or(0) as f64;
            let allowed = requests * bounds.retry_ratio + bounds.retry_slack as f64;
            if count as f64 > allowed {
                broken.push((*end, format!("{service}: {count} retries, {allowed} are allowed")));
                break;
            }
        }
    }
    broken
}

fn drains(evidence: &Evidence) -> Vec<(Instant, String)> {
    let bound = Duration::from_millis(evidence.bounds.drain_ms);
    let late = arrivals(evidence).filter(|(arrival, attempt)| {
        let mut drains = evidence.record.drains.iter();
        !arrival.misdirected
            && drains.any(|it| it.what == arrival.engine_id && it.binds(attempt.at, bound))
            && evidence.in_contact(attempt.host, attempt.at)
            && evidence.in_contact(attempt.host, arrival.at)
    });
    let what = |it: &Arrival| format!("request {} reached {}, which leaves", it.id, it.engine_id);
    late.map(|it| (it.0.at, what(it.0))).collect()
}

fn evacuations(evidence: &Evidence) -> Vec<(Instant, String)> {
    let bound = Duration::from_millis(evidence.bounds.evacuate_ms);
    let late = arrivals(evidence).filter(|(arrival, attempt)| {
        let zone = &evidence.upstream_zones[arrival.engine];
        let mut evacuations = evidence.record.evacuations.iter();
        !arrival.misdirected
            && evacuations.any(|it| it.what == *zone && it.binds(arrival.at, bound))
            && evidence.in_contact(attempt.host, arrival.at)
    });
    let what = |it: &Arrival| format!("request {} reached {}, evacuated", it.id, it.engine_id);
    late.map(|it| (it.0.at, what(it.0))).collect()
}

fn revoked_keys(evidence: &Evidence) -> Vec<(Instant, String)> {
    let bound = Duration::from_millis(evidence.bounds.apply_ms);
    let late = arrivals(evidence).filter(|(arrival, attempt)| {
        let mut revocations = evidence.record.revocations.iter();
        arrival.ran
            && revocations.any(|it| it.what == attempt.key && it.binds(attempt.at, bound))
            && evidence.in_contact(attempt.host, attempt.at)
            && evidence.in_contact(attempt.host, arrival.at)
    });
    late.map(|it| (it.0.at, format!("request {} ran with a revoked key", it.0.id))).collect()
}

fn not_denied(evidence: &Evidence) -> Vec<(Instant, String)> {
    // The first key and all routes are in every configuration.
    let denied = evidence.record.attempts.iter().filter_map(|it| match it.outcome {
        Outcome::Answered(status @ (400..=407 | 413 | 431)) if it.key == 0 => {
            Some((it.ended, format!("request {} got {status}, and it is allowed", it.id)))
        }
        _ => None,
    });
    denied.collect()
}

fn older_weights(evidence: &Evidence) -> Vec<(Instant, String)> {
    let bound = Duration::from_millis(evidence.bounds.version_ms);
    let contact = Duration::from_millis(evidence.bounds.contact_ms);
    let late = arrivals(evidence).filter_map(|(arrival, attempt)| {
        if !arrival.ran || arrival.weights == 0 || !evidence.in_contact(attempt.host, arrival.at) {
            return None;
        }
        // The bound counts in one stretch without disturbances of the store and of links.
        let calm_since = evidence.last_link_disturbance(arrival.at).map(|it| it + contact);
        let target = evidence.record.targets.iter().find(|it| {
            let since = calm_since.map_or(it.from, |calm| calm.max(it.from));
            it.what > arrival.weights && arrival.at > since + bound
        })?;
        let after = arrival.at.saturating_duration_since(target.from).as_millis();
        Some((
            arrival.at,
            format!(
                "request {} of host {} began on version {} at {}, {after} ms after version {}",
                arrival.id, attempt.host, arrival.weights, arrival.engine_id, target.what
            ),
        ))
    });
    late.collect()
}

fn one_holder(evidence: &Evidence) -> Vec<(Instant, String)> {
    let slack = Duration::from_millis(evidence.bounds.thaw_slack_ms);
    let lease = Duration::from_millis(evidence.bounds.lease_ms);
    let counts = |order: &&OrderArrival| {
        let recent =
            evidence.record.disturbances.iter().filter(|it| {
                it.start <= order.at && it.end.is_none_or(|end| end + slack > order.at)
            });
        recent.count() == 0
    };
    let mut by_engine: HashMap<(usize, u64), Vec<&OrderArrival>> = HashMap::new();
    for order in evidence.journal.orders.iter().filter(counts) {
        by_engine.entry((order.engine, order.born)).or_default().push(order);
    }
    let mut broken = Vec::new();
    for orders in by_engine.values() {
        for (index, order) in orders.iter().enumerate() {
            let before = &orders[..index];
            let others = || before.iter().filter(|it| it.holder != order.holder);
            let shared = others().any(|it| it.fence == order.fence);
            let older = before.iter().any(|it| it.fence > order.fence);
            let turns = others().any(|other| {
                let mut first = before.iter().take_while(|it| it.at < other.at);
                order.at < other.at + lease && first.any(|it| it.holder == order.holder)
            });
            if shared || older || turns {
                let OrderArrival { holder, fence, engine, .. } = order;
                let what = format!(
                    "order of {holder} with token {fence} at upstream {engine}: token of another \
                     holder: {shared}, older token: {older}, turns: {turns}"
                );
                broken.push((order.at, what));
            }
        }
    }
    broken
}

/// From the contact bound after an upstream first named a limit, it gets no more in any span than the limit
/// and a slack allow, from hosts that it had told.
fn limits(evidence: &Evidence) -> Vec<(Instant, String)> {
    let contact = Duration::from_millis(evidence.bounds.contact_ms);
    let hosts: HashMap<&str, usize> =
        evidence.record.attempts.iter().map(|it| (it.id.as_str(), it.host)).collect();
    let names = evidence.host_names.iter().enumerate();
    let by_name: HashMap<&str, usize> = names.map(|it| (it.1.as_str(), it.0)).collect();
    let requests = evidence.journal.arrivals.iter().filter(|it| !it.misdirected);
    let requests = requests.filter_map(|it| Some((it.engine, it.at, *hosts.get(it.id.as_str())?)));
    let orders = evidence.journal.orders.iter();
    let orders = orders.filter_map(|it| Some((it.engine, it.at, *by_name.get(&*it.holder)?)));
    let mut arrivals: Vec<_> = requests.chain(orders).collect();
    arrivals.sort_by_key(|it| it.1);
    let mut broken = Vec::new();
    let mut notices: Vec<_> = evidence.journal.limits.iter().collect();
    notices.sort_by_key(|it| it.engine);
    let limit = |it: &LimitNotice| (it.engine, it.born, it.per_second.to_bits());
    for episode in notices.chunk_by(|a, b| limit(a) == limit(b)) {
        let (first, last) = (&episode[0], &episode[episode.len() - 1]);
        let mut told: HashMap<usize, Instant> = HashMap::new();
        for notice in episode {
            if let Some(host) = hosts.get(notice.request.as_str()) {
                told.entry(*host).or_insert(notice.at);
            }
        }
        let counted: Vec<_> = arrivals
            .iter()
            .filter(|(engine, at, host)| {
                *engine == first.engine
                    && (first.at..=last.at).contains(at)
                    && told.get(host).is_some_and(|it| *it + LIMIT_NOTICE <= *at)
                    && evidence.in_contact(*host, *at)
            })
            .map(|it| it.1)
            .collect();
        let allowed = first.per_second * LIMIT_SPAN.as_secs_f64() * LIMIT_FACTOR + LIMIT_SLACK;
        let most = counted.iter().enumerate().filter(|(_, at)| **at >= first.at + contact);
        let over = most
            .map(|(index, at)| {
                let in_span = counted[..=index].iter().filter(|it| **it + LIMIT_SPAN > *at);
                (*at, in_span.count())
            })
            .find(|it| it.1 as f64 > allowed);
        if let Some((at, count)) = over {
            let (engine, per_second) = (first.engine, first.per_second);
            let what =
                format!("upstream {engine} had named {per_second} and got {count} of {allowed}");
            broken.push((at, what));
        }
    }
    broken
}

/// A stream goes on only at the build that began it, whichever request takes it there.
fn builds(evidence: &Evidence) -> Vec<(Instant, String)> {
    let mut begun: HashMap<&str, Vec<u32>> = HashMap::new();
    let mut broken = Vec::new();
    for arrival in evidence.journal.arrivals.iter().filter(|it| it.ran && it.weights > 0) {
        // Several runs may begin a stream, of which the first ones break off before their first event.
        if arrival.last_event == 0 {
            begun.entry(&arrival.stream).or_default().push(arrival.build);
            continue;
        }
        let began = begun.get(&*arrival.stream).map_or(&[][..], Vec::as_slice);
        if !began.contains(&arrival.build) {
            let Arrival { id, stream, build, engine_id, .. } = arrival;
            let what = format!(
                "request {id} went on with stream {stream} of builds {began:?} at build {build} of \
                 {engine_id}"
            );
            broken.push((arrival.at, what));
        }
    }
    broken
}

fn no_secrets(evidence: &Evidence) -> Vec<(Instant, String)> {
    let passed = evidence.journal.arrivals.iter().filter(|it| it.has_key);
    let passed = passed.map(|it| (it.at, format!("request {}: its key was passed on", it.id)));
    let end = evidence.record.attempts.last().map_or_else(Instant::now, |it| it.ended);
    let logged = evidence.logs.iter().zip(&evidence.host_names);
    let logged = logged.filter(|(log, _)| evidence.keys.iter().any(|key| log.contains(key)));
    let logged = logged.map(|(_, host)| (end, format!("the log of {host} has a key")));
    passed.chain(logged).collect()
}

fn bounded_use(evidence: &Evidence) -> Vec<(Instant, String)> {
    let end = evidence.record.attempts.last().map_or_else(Instant::now, |it| it.ended);
    let usage = evidence.record.usage.iter().zip(&evidence.host_names);
    let over = usage.filter(|((memory, files), _)| {
        *memory > evidence.max_memory || *files > evidence.max_files
    });
    over.map(|((memory, files), host)| (end, format!("{host}: {memory} bytes, {files} files")))
        .collect()
}

fn ends(evidence: &Evidence) -> Vec<(Instant, String)> {
    let name = |host: usize| &evidence.host_names[host];
    let exits = evidence.record.exits.iter().filter(|it| it.took.is_none() || !it.success);
    let exits = exits.map(|it| {
        let what =
            format!("{}: after SIGTERM took {:?}, success {}", name(it.host), it.took, it.success);
        (it.signalled, what)
    });
    let own = evidence.record.own_ends.iter();
    let own = own.map(|(host, at)| (*at, format!("{} ended by itself", name(*host))));
    exits.chain(own).collect()
}

fn clean_stops(evidence: &Evidence) -> Vec<(Instant, String)> {
    let contact = Duration::from_millis(evidence.bounds.contact_ms);
    let grace = Duration::from_secs(evidence.bounds.grace_s);
    let runs = runs(evidence);
    let cut = evidence.record.attempts.iter().filter_map(|attempt| {
        // A host may not have read a request that has not reached any upstream.
        let runs = runs.get(attempt.id.as_str())?;
        if !matches!(attempt.outcome, Outcome::Cut(_)) {
            return None;
        }
        let process = evidence.record.process_at(attempt.host, attempt.at)?;
        let exit = evidence.record.exits.iter().find(|it| {
            it.process == process
                && attempt.at < it.signalled + grace
                && attempt.ended > it.signalled
        })?;
        // Any disturbance but a planned stop excuses the cut.
        let mut disturbances = evidence.record.disturbances.iter().filter(|it| {
            it.start <= attempt.ended && it.end.is_none_or(|end| end + contact > attempt.at)
        });
        let is_excused = disturbances.any(|it| match it.scope {
            Scope::Host(host) | Scope::StoreLink(host) | Scope::CallerLink(host) => {
                host == attempt.host
            }
            Scope::Stop(_) => false,
            Scope::Store | Scope::Link | Scope::Machine => true,
            Scope::Upstream(upstream) => runs.iter().any(|run| run.engine == upstream),
        });
        (!is_excused).then(|| {
            let after = attempt.ended.duration_since(exit.signalled).as_millis();
            let what = format!("request {} was cut {after} ms after SIGTERM", attempt.id);
            (attempt.ended, what)
        })
    });
    cut.collect()
}

fn explained(evidence: &Evidence) -> Vec<(Instant, String)> {
    const FIELD: &str = "\"request\":\"";
    let mut logged = HashSet::new();
    for log in &evidence.logs {
        let fields = log.match_indices(FIELD).map(|(start, _)| &log[start + FIELD.len()..]);
        logged.extend(fields.filter_map(|it| it.split('"').next()));
    }
    let failed = evidence.record.attempts.iter().filter(|it| {
        let is_way = |scope| scope == Scope::CallerLink(it.host);
        let failed = match it.outcome {
            Outcome::Answered(status) => status >= 300,
            // The host does not see that its whole answer is lost on the way to the caller.
            Outcome::Cut(Some(status)) => status >= 300 || evidence.is_calm(it.ended, is_way),
            // The request may never have reached the host.
            Outcome::Cut(None) => false,
            Outcome::TimedOut | Outcome::Left | Outcome::Wrong(_) => false,
        };
        let process = evidence.record.process_at(it.host, it.at);
        let mut kills = evidence.record.kills.iter();
        let was_killed = kills.any(|(host, at)| {
            *host == it.host
                && evidence.record.process_at(*host, *at) == process
                && *at + LOG_LAG > it.at
                && *at < it.ended + LOG_LAG
        });
        failed && !was_killed
    });
    let unexplained = failed.filter(|it| !logged.contains(it.id.as_str()));
    unexplained
        .map(|it| (it.ended, format!("request {}: {:?}, and no log line", it.id, it.outcome)))
        .collect()
}

fn logged_ends(evidence: &Evidence) -> Vec<(Instant, String)> {
    const LINE: &str = "\"message\":\"stopped\"";
    let exits = evidence.record.exits.iter().filter(|it| it.took.is_some() && it.had_started);
    let silent = exits.filter(|it| !evidence.log_of(it.process).contains(LINE));
    let what = |it: &Exit| format!("{}: no line `stopped`", evidence.host_names[it.host]);
    silent.map(|it| (it.signalled, what(it))).collect()
}
