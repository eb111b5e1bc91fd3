//! What upstreams say in their responses about further requests to them, and what other hosts pass
//! on of that.

use std::time::SystemTime;

use http::StatusCode;

use crate::{
    codec::{Codec, ResponseMetadata},
    departure::Departure,
    gateway::Gateway,
    generated::peer,
    pause::{self, Length},
    prelude::*,
    rate_limit::{Change, Rate, Statement},
    rendezvous,
    upstream_state::Incarnation,
};

impl<C> Gateway<C>
where
    C: Codec,
{
    /// Applies what a response says about further requests to the upstream. `request` is the id of
    /// the request, or the path of a call that the gateway itself made.
    ///
    /// Any response counts: one with an error or without a signature, or that belongs to an
    /// earlier request, still comes from the process at the other end of the connection.
    ///
    /// Returns whether the response asks for a pause.
    pub fn apply_notices(
        &self,
        id: &Upstream,
        incarnation: Incarnation,
        request: &str,
        status: StatusCode,
        metadata: &ResponseMetadata,
    ) -> bool {
        let Some((id, incarnation)) = self.responder(id, incarnation, metadata) else {
            log::debug!(upstream = id.as_str(), request = request, status = status.as_u16(),
                leaving = metadata.leaving;
                "response is from an unknown upstream at this address");
            return false;
        };
        if let Some(max_refusals) = metadata.max_refusals {
            self.record_refusal_limit(&id, request, max_refusals);
        }
        if metadata.leaving {
            let upstream = id.clone();
            let departure = Departure { upstream, incarnation, age: Duration::ZERO };
            self.record_departure(&departure, "response", request);
        }
        status == StatusCode::SERVICE_UNAVAILABLE
            && self.apply_pause(&id, incarnation, request, metadata)
    }

    /// Records the pause that a response with which an upstream turned a request away asks for.
    /// Returns whether it asks for one.
    fn apply_pause(
        &self,
        id: &Upstream,
        incarnation: Incarnation,
        request: &str,
        metadata: &ResponseMetadata,
    ) -> bool {
        let retry_after = metadata.retry_after.as_ref();
        let length = Length::read(retry_after, metadata.date, SystemTime::now());
        let Length { duration, bounded } = match length {
            Ok(length) => length,
            Err(reason) => {
                log::debug!(upstream = id.as_str(), request = request,
                    value = format!("{retry_after:?}").as_str(),
                    reason = reason.to_string().as_str(); "upstream asks for no pause");
                return false;
            }
        };
        if bounded {
            log::debug!(upstream = id.as_str(), request = request,
                value = format!("{retry_after:?}").as_str(),
                kept_ms = duration.as_millis() as u64; "upstream asks for too long a pause");
        }
        let now = self.now();
        let host = self.host_settings.host.as_str();
        let sample = rendezvous::hash_parts(&["pause", host, id.as_str(), request]);
        if self.fleet().pauses.record(now, id, incarnation, duration, sample) {
            self.metrics.pauses.inc();
            let service = self.fleet().row(id).map(|it| it.service.clone());
            log::info!(upstream = id.as_str(), request = request,
                service = service.as_ref().map(Service::as_str).unwrap_or_default(),
                address = incarnation.address.to_string().as_str(),
                started_ms = incarnation.start_time_ms, pause_ms = duration.as_millis() as u64,
                spread_ms = pause::spread(duration, sample).as_millis() as u64;
                "upstream asked for a pause");
        }
        true
    }

    /// Records that upstreams of a service bear only so many refusals in a second.
    fn record_refusal_limit(&self, id: &Upstream, request: &str, per_second: u32) {
        let Some(service) = self.fleet().row(id).map(|it| it.service.clone()) else { return };
        if self.fleet().refusal_limits.record(self.now(), &service) {
            log::info!(service = service.as_str(), upstream = id.as_str(), request = request,
                per_second = per_second; "service limits refusals");
        }
    }

    /// Applies the limit that a response names, or that it names none. `sent_at` is when the request was
    /// sent to which this response belongs, or `None` if the response may belong to an earlier request
    /// or is unsigned; such a response names a limit but does not end one.
    pub fn apply_rate_limit(
        &self,
        id: &Upstream,
        incarnation: Incarnation,
        request: &str,
        sent_at: Option<Instant>,
        metadata: &ResponseMetadata,
    ) {
        let Some((upstream, incarnation)) = self.responder(id, incarnation, metadata) else {
            return;
        };
        let rate = match &metadata.rate_limit {
            Some(limit) => match Rate::try_from(limit) {
                Ok(rate) => Some(rate),
                Err(reason) => {
                    log::debug!(upstream = upstream.as_str(), request = request,
                        value = format!("{limit:?}").as_str(),
                        reason = reason.to_string().as_str(); "upstream names no limit");
                    return;
                }
            },
            // A response to a request that was sent before the limit was named says nothing.
            None => {
                let limited_since = self.fleet().limits.limited_since(&upstream, incarnation);
                if limited_since.is_none_or(|it| sent_at.is_none_or(|sent_at| sent_at <= it)) {
                    return;
                }
                None
            }
        };
        let statement = Statement { upstream, incarnation, rate, said_at: self.now() };
        self.record_rate_limit(&statement, "response", request);
    }

    /// Returns what upstreams have said about their limits, for a message to other hosts.
    pub(crate) fn limit_news(&self) -> Vec<peer::Limit> {
        let now = self.now();
        self.fleet().limits.news(now).iter().map(|it| it.to_message(now)).collect()
    }

    /// Records what upstreams have said about their limits to another host.
    pub(crate) fn apply_limit_news(&self, peer: &Host, limits: &[peer::Limit]) {
        for message in limits {
            match Statement::from_message(self.now(), message) {
                Ok(statement) => self.record_rate_limit(&statement, "host", peer.as_str()),
                Err(err) => log::warn!(peer = peer.as_str(), error = err.to_string().as_str();
                    "limit of an upstream in gossip cannot be read"),
            }
        }
    }

    /// Records what an upstream has said about its limit, and logs what it changes. `source` is the kind
    /// of its origin, and `origin` the request or the host.
    fn record_rate_limit(&self, statement: &Statement, source: &'static str, origin: &str) {
        let change = self.fleet().record_limit(self.now(), statement);
        let former = match change {
            Change::Nothing => return,
            Change::Changed(former) => Some(former.per_second()),
            Change::Named | Change::Ended => None,
        };
        self.update_limited_upstreams();
        log::info!(upstream = statement.upstream.as_str(),
            address = statement.incarnation.address.to_string().as_str(),
            started_ms = statement.incarnation.start_time_ms,
            per_second = statement.rate.map(Rate::per_second), former = former, source = source,
            origin = origin, age_ms = self.now().since(statement.said_at).as_millis() as u64;
            "upstream's limit changed");
    }

    /// Sets the gauge of the upstreams that have a limit.
    pub(crate) fn update_limited_upstreams(&self) {
        let limited = self.fleet().limits.count();
        self.metrics.limited_upstreams.set(i64::try_from(limited).unwrap_or(i64::MAX));
    }

    /// Records a departure that another host has learned.
    pub fn record_remote_departure(&self, peer: &Host, departure: &Departure) {
        self.record_departure(departure, "host", peer.as_str());
    }

    /// Records a departure, and logs it if it is new. `source` is the kind of its origin, and
    /// `origin` the request or the host.
    fn record_departure(&self, departure: &Departure, source: &'static str, origin: &str) {
        if !self.fleet().departures.record(self.now(), departure) {
            return;
        }
        self.metrics.departures.with_label_values(&[source]).inc();
        log::info!(upstream = departure.upstream.as_str(),
            address = departure.incarnation.address.to_string().as_str(),
            started_ms = departure.incarnation.start_time_ms, source = source, origin = origin,
            age_ms = departure.age.as_millis() as u64;
            "upstream is leaving and gets nothing new");
    }

    /// Returns which process has responded. It is the addressed one, unless that one's address now
    /// belongs to another upstream; `None` if that one's row does not have the address.
    fn responder(
        &self,
        id: &Upstream,
        incarnation: Incarnation,
        metadata: &ResponseMetadata,
    ) -> Option<(Upstream, Incarnation)> {
        let other = metadata.upstream.as_deref().filter(|it| *it != id.as_str());
        let Some(other) = other.filter(|_| metadata.misdirected) else {
            return Some((id.clone(), incarnation));
        };
        let other = Upstream::new(FastStr::new(other));
        let known = self.fleet().row(&other)?.incarnation();
        (known.address == incarnation.address).then_some((other, known))
    }
}
