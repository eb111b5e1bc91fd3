//! The builds at which streams began. What upstreams of two builds write does not fit together, so a stream
//! goes on only at an upstream of the build that began it, also if its caller resumes it at another host.
//!
//! Load pattern: a host or several engines are lost while engines of two builds serve side by side, and
//! hundreds of callers resume their streams at other hosts within a moment.
//!
//! Does no I/O.

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

use crate::{generated::peer, prelude::*};

/// How long a stream is remembered after its first event; longer than streams last.
pub const RETENTION: Duration = Duration::from_secs(30);
/// How long a build counts after an upstream was last seen with it: as long as a stream may go on.
const BUILD_RETENTION: Duration = RETENTION;
/// Largest number of streams that are remembered; beyond it, the oldest is forgotten.
const MAX_STREAMS: usize = 65_536;
/// How often a host tells the others of a stream. Single messages between hosts are lost now and then.
const SENDS: u8 = 2;

/// Identifies the request that brought the first event of a stream: a hash of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt(pub u64);

impl Attempt {
    /// Returns the key of the request with this id.
    pub fn new(id: &str) -> Self {
        Attempt(xxh3_64(id.as_bytes()))
    }
}

/// The upstreams at which a stream can go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Their service.
    pub service: Service,
    /// Their build.
    pub build: Build,
}

/// Whether this host passes on what it knows of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The stream's events go through this host.
    Own,
    /// Another host has told of it, and others know it only from this one.
    Relayed,
    /// Another host has told all that need it.
    Told,
}

#[derive(Clone, Debug)]
struct Stream {
    place: Arc<Place>,
    /// Whether its events go through this host now.
    running: bool,
    /// How often it is still to be told.
    sends: u8,
    /// Whether this host has seen to it that the row store holds it.
    saved: bool,
}

/// The streams that this host knows.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    streams: HashMap<Attempt, Stream>,
    /// All streams in the order in which they were recorded.
    order: VecDeque<(Instant, Attempt)>,
    /// Streams that are still to be told, in that order.
    untold: Vec<Attempt>,
    /// Streams of this host's zone that the row store is still to hold, in that order.
    unsaved: VecDeque<Attempt>,
    /// Places of streams, shared by them.
    places: Vec<Arc<Place>>,
}

impl Origins {
    /// Records that a stream has begun at a place. The first event counts: what is known of a stream does
    /// not change.
    pub fn record(&mut self, now: Instant, attempt: Attempt, place: &Place, source: Source) {
        let sends = if source == Source::Told { 0 } else { SENDS };
        let running = source == Source::Own;
        if let Some(known) = self.streams.get_mut(&attempt) {
            known.running |= running;
            return;
        }
        let place = self.share(place);
        self.streams.insert(attempt, Stream { place, running, sends, saved: false });
        self.order.push_back((now, attempt));
        if sends > 0 {
            self.untold.push(attempt);
        }
        if self.streams.len() > MAX_STREAMS
            && let Some((_, oldest)) = self.order.pop_front()
        {
            self.streams.remove(&oldest);
        }
    }

    /// Records that the events of a stream do not go through this host any more. Its caller may still take
    /// it up.
    pub fn finish(&mut self, attempt: Attempt) {
        if let Some(stream) = self.streams.get_mut(&attempt) {
            stream.running = false;
        }
    }

    /// Returns where a stream began, if this host knows it.
    pub fn place(&self, attempt: Attempt) -> Option<&Place> {
        self.streams.get(&attempt).map(|it| &*it.place)
    }

    /// Returns the streams that are to be told to other hosts now: those of services of which `is_mixed`
    /// says that they have several builds. The others stay for as long as they run.
    pub fn take_news<F>(&mut self, is_mixed: F) -> Vec<peer::StreamOrigins>
    where
        F: Fn(&Service) -> bool,
    {
        let mut news: Vec<(Arc<Place>, peer::StreamOrigins)> = Vec::new();
        let streams = &mut self.streams;
        self.untold.retain(|attempt| {
            let Some(stream) = streams.get_mut(attempt) else { return false };
            if !is_mixed(&stream.place.service) {
                return true;
            }
            let at = news.iter().position(|it| Arc::ptr_eq(&it.0, &stream.place));
            let at = at.unwrap_or_else(|| {
                let origins = peer::StreamOrigins {
                    service: FastStr::new(stream.place.service.as_str()),
                    build: FastStr::new(stream.place.build.as_str()),
                    ..peer::StreamOrigins::default()
                };
                news.push((stream.place.clone(), origins));
                news.len() - 1
            });
            news[at].1.attempts.push(attempt.0);
            stream.sends = stream.sends.saturating_sub(1);
            stream.sends > 0
        });
        news.into_iter().map(|it| it.1).collect()
    }

    /// Marks a stream that this host knows as one that the row store is to hold.
    pub fn save(&mut self, attempt: Attempt) {
        if let Some(stream) = self.streams.get_mut(&attempt)
            && !std::mem::replace(&mut stream.saved, true)
        {
            self.unsaved.push_back(attempt);
        }
    }

    /// Returns the streams that the row store is to hold now, at most `max`: those of services of which
    /// `is_mixed` says that they have several builds.
    pub fn take_unsaved<F>(&mut self, max: usize, is_mixed: F) -> Vec<(Arc<Place>, Attempt)>
    where
        F: Fn(&Service) -> bool,
    {
        let mut taken = Vec::new();
        let streams = &self.streams;
        self.unsaved.retain(|attempt| {
            let Some(stream) = streams.get(attempt) else { return false };
            if taken.len() >= max || !is_mixed(&stream.place.service) {
                return true;
            }
            taken.push((stream.place.clone(), *attempt));
            false
        });
        taken
    }

    /// Forgets which streams the row store is to hold: another host sees to that.
    pub fn drop_unsaved(&mut self) {
        self.unsaved.clear();
    }

    /// Tells the streams that go through this host once more: to a host that may not know them.
    pub fn tell_running_again(&mut self) {
        for (attempt, stream) in self.streams.iter_mut().filter(|it| it.1.running) {
            if stream.sends == 0 {
                self.untold.push(*attempt);
            }
            stream.sends = SENDS;
        }
    }

    /// Forgets streams that began long ago.
    pub fn purge(&mut self, now: Instant) {
        while let Some((began_at, attempt)) = self.order.front().copied()
            && now.since(began_at) >= RETENTION
        {
            self.order.pop_front();
            self.streams.remove(&attempt);
        }
        let streams = &self.streams;
        self.untold.retain(|it| streams.contains_key(it));
        self.unsaved.retain(|it| streams.contains_key(it));
        self.places.retain(|it| Arc::strong_count(it) > 1);
    }

    /// Returns the number of streams that are remembered.
    pub fn count(&self) -> usize {
        self.streams.len()
    }

    fn share(&mut self, place: &Place) -> Arc<Place> {
        if let Some(known) = self.places.iter().find(|it| ***it == *place) {
            return known.clone();
        }
        let shared = Arc::new(place.clone());
        self.places.push(shared.clone());
        shared
    }
}

/// The builds that each service has had lately, as far as this host has read the rows of the upstreams.
#[derive(Clone, Debug)]
pub struct Builds {
    by_service: HashMap<Service, SmallVec<[(Build, Instant); 2]>>,
    /// Age of the known rows up to which this host keeps up with the row store.
    max_rows_age: Duration,
    /// The time as of which the rows are known.
    rows_as_of: Option<Instant>,
    /// Since when this host has kept up with the row store.
    complete_since: Instant,
}

impl Builds {
    /// Creates the builds of a host that has read no rows. It keeps up with the row store while what it knows
    /// is no older than `max_rows_age`.
    pub fn new(max_rows_age: Duration) -> Self {
        Builds {
            by_service: HashMap::new(),
            max_rows_age,
            rows_as_of: None,
            complete_since: Instant::ZERO,
        }
    }

    /// Records that the rows of all upstreams are known as of a time. Builds that came and left since the
    /// last such time are unknown if that is long ago.
    pub fn record_rows(&mut self, as_of: Instant) {
        if self.rows_as_of.is_some_and(|it| it >= as_of) {
            return;
        }
        if self.rows_as_of.is_none_or(|it| as_of.since(it) > self.max_rows_age) {
            self.complete_since = as_of;
        }
        self.rows_as_of = Some(as_of);
    }

    /// Returns whether this host keeps up with the row store: it has not just been suspended or cut off.
    pub fn is_current(&self, now: Instant) -> bool {
        self.rows_as_of.is_some_and(|it| now.since(it) <= self.max_rows_age)
    }

    /// Returns the time as of which the rows are known, or `None` before the first read.
    pub fn rows_as_of(&self) -> Option<Instant> {
        self.rows_as_of
    }

    /// Returns since when this host has kept up with the row store, up to its last read.
    pub fn complete_since(&self) -> Instant {
        self.complete_since
    }

    /// Returns whether the rows tell of a process that took the place of one which ended at `ended_at`. Upstreams cannot
    /// write their rows while the row store is away, and do so within `rewrite_time` afterwards.
    pub fn tell_restart_since(&self, ended_at: Instant, rewrite_time: Duration) -> bool {
        let written_at = match ended_at < self.complete_since {
            true => self.complete_since + rewrite_time,
            false => ended_at,
        };
        self.rows_as_of >= Some(written_at)
    }

    /// Records that an upstream of a service has a build.
    pub fn see(&mut self, now: Instant, service: &Service, build: &Build) {
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.clone(), SmallVec::new());
        }
        let Some(builds) = self.by_service.get_mut(service) else { return };
        match builds.iter_mut().find(|it| it.0 == *build) {
            Some(known) => known.1 = known.1.max(now),
            None => builds.push((build.clone(), now)),
        }
    }

    /// Returns the builds at which streams of a service may have begun.
    pub fn recent(&self, now: Instant, service: &Service) -> impl Iterator<Item = &Build> {
        let builds = self.by_service.get(service).into_iter().flatten();
        builds.filter(move |it| now.since(it.1) < BUILD_RETENTION).map(|it| &it.0)
    }

    /// Returns the services that have had builds lately.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.by_service.keys()
    }

    /// Returns whether streams of a service may have begun at several builds.
    pub fn is_mixed(&self, now: Instant, service: &Service) -> bool {
        self.recent(now, service).nth(1).is_some()
    }

    /// Returns whether streams of any service may have begun at several builds.
    pub fn is_any_mixed(&self, now: Instant) -> bool {
        self.by_service.keys().any(|it| self.is_mixed(now, it))
    }

    /// Returns the build at which all streams of a service began, if there is only one.
    pub fn only(&self, now: Instant, service: &Service) -> Option<&Build> {
        let mut recent = self.recent(now, service);
        recent.next().filter(|_| recent.next().is_none())
    }

    /// Returns whether this host has kept up with the row store for so long that it has seen all builds at
    /// which streams of today may have begun.
    pub fn covers_all_streams(&self, now: Instant) -> bool {
        self.is_current(now) && now.since(self.complete_since) >= BUILD_RETENTION
    }

    /// Forgets builds that no upstream has had for long.
    pub fn purge(&mut self, now: Instant) {
        for builds in self.by_service.values_mut() {
            builds.retain(|it| now.since(it.1) < BUILD_RETENTION);
        }
        self.by_service.retain(|_, builds| !builds.is_empty());
    }
}
