//! Finds the upstreams at which a stream can go on that a caller resumes, if need be with the help of
//! other hosts. `stream_origin` keeps what is known.

use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::{
    codec::Codec,
    gateway::{Gateway, lock},
    generated::peer,
    prelude::*,
    row_reads::{BRIEF_READ_WAIT, READ_WAIT},
    stream_origin::{Attempt, Place, Source},
};

/// How long a request that resumes a stream waits for other hosts to say where it began.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a host that is asked waits for a read of the rows of the upstreams.
const PEER_READ_WAIT: Duration = Duration::from_millis(150);
/// Questions to other hosts that may wait to be asked.
const MAX_WAITING_QUESTIONS: usize = 1024;

/// Where a stream that is resumed can go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// At upstreams of this service and build, which began it.
    Known(Place),
    /// At upstreams of this build: the service has had no other one.
    Only(Build),
    /// At any upstream: no build of the service is known.
    Any,
    /// Nowhere: nobody knows at which of several builds it began.
    Unknown,
}

/// A question to other hosts: at which build a stream began.
pub(crate) struct OriginQuestion {
    pub(crate) service: Service,
    pub(crate) attempt: Attempt,
    /// Whether the other hosts are to read the rows of the upstreams before they answer.
    pub(crate) reads_rows: bool,
    pub(crate) answer: oneshot::Sender<peer::OriginAnswer>,
}

/// The questions that the mesh is to ask.
#[derive(Debug)]
pub(crate) struct OriginQuestions {
    sender: mpsc::Sender<OriginQuestion>,
    receiver: std::sync::Mutex<Option<mpsc::Receiver<OriginQuestion>>>,
}

impl Default for OriginQuestions {
    fn default() -> Self {
        let (sender, receiver) = mpsc::channel(MAX_WAITING_QUESTIONS);
        OriginQuestions { sender, receiver: std::sync::Mutex::new(Some(receiver)) }
    }
}

impl OriginQuestions {
    /// Returns the receiver of the questions, once.
    pub(crate) fn take_receiver(&self) -> Option<mpsc::Receiver<OriginQuestion>> {
        lock(&self.receiver).take()
    }
}

impl<C> Gateway<C>
where
    C: Codec,
{
    /// Records that the first event of a stream has arrived from an upstream of a build.
    pub fn record_stream(&self, attempt: Attempt, service: &Service, build: &Build) {
        let place = Place { service: service.clone(), build: build.clone() };
        let mut origins = lock(&self.stream_origins);
        origins.record(self.now(), attempt, &place, Source::Own);
        origins.save(attempt);
    }

    /// Records that the events of a stream do not go through this host any more.
    pub fn finish_stream(&self, attempt: Attempt) {
        lock(&self.stream_origins).finish(attempt);
    }

    /// Returns at which upstreams of a service a stream can go on that another request began, or that
    /// names none.
    pub async fn find_destination(
        &self,
        service: &Service,
        attempt: Option<Attempt>,
    ) -> Destination {
        let asked_at = self.now();
        let Some(attempt) = attempt else {
            let has_rows = self.wait_for_rows(asked_at, READ_WAIT).await;
            self.wait_for_builds().await;
            let has_rows = has_rows && self.fleet().knows_builds_of(asked_at, service);
            return match has_rows && self.knows_builds(service) {
                true => self.only_destination(service),
                false => Destination::Unknown,
            };
        };
        if let Some(destination) = self.known_destination(attempt).await {
            return destination;
        }
        // While builds differ, the rows do not tell where the stream began.
        let is_mixed = self.fleet().builds.is_mixed(asked_at, service);
        let has_rows = !is_mixed && self.wait_for_rows(asked_at, READ_WAIT).await;
        let has_rows = has_rows && self.fleet().knows_builds_of(asked_at, service);
        if has_rows && self.fleet().builds.covers_all_streams(self.now()) {
            let destination = self.only_destination(service);
            if destination != Destination::Unknown {
                return destination;
            }
        }
        let answer = self.ask_other_hosts(service, attempt, !is_mixed && !has_rows).await;
        if let (Some(service), Some(build)) = (answer.service, answer.build) {
            let place = Place { service: Service::new(service), build: Build::new(build) };
            lock(&self.stream_origins).record(self.now(), attempt, &place, Source::Told);
        }
        // It may also have been told meanwhile.
        if let Some(destination) = self.known_destination(attempt).await {
            return destination;
        }
        // After its start, this host may know only one of several builds.
        self.wait_for_builds().await;
        let destination = self.only_destination(service);
        let has_rows = has_rows || answer.has_read_rows;
        let knows_builds = self.knows_builds(service) || answer.knows_builds;
        if has_rows && knows_builds && !answer.mixed && destination != Destination::Unknown {
            return destination;
        }
        self.wait_for_streams(asked_at).await;
        self.known_destination(attempt).await.unwrap_or(Destination::Unknown)
    }

    /// Waits, for a moment at most, for the rows of upstreams that have started again under their ids, maybe
    /// with another build.
    pub(crate) async fn wait_for_restarts(&self) {
        self.wait_for_rows(self.now(), BRIEF_READ_WAIT).await;
    }

    /// Returns where a stream can go on whose beginning is not known.
    fn only_destination(&self, service: &Service) -> Destination {
        let (now, fleet) = (self.now(), self.fleet());
        match fleet.builds.only(now, service) {
            Some(build) => Destination::Only(build.clone()),
            None if fleet.builds.is_mixed(now, service) => Destination::Unknown,
            None => Destination::Any,
        }
    }

    async fn known_destination(&self, attempt: Attempt) -> Option<Destination> {
        let place = lock(&self.stream_origins).place(attempt).cloned()?;
        self.wait_for_restarts().await;
        Some(Destination::Known(place))
    }

    /// Asks other hosts where a stream began, and to read the rows of the upstreams first if this host cannot.
    /// The answer is empty if there is none in time.
    async fn ask_other_hosts(
        &self,
        service: &Service,
        attempt: Attempt,
        reads_rows: bool,
    ) -> peer::OriginAnswer {
        if !self.has_joined_mesh() {
            return peer::OriginAnswer::default();
        }
        let (answer, received) = oneshot::channel();
        let question = OriginQuestion { service: service.clone(), attempt, reads_rows, answer };
        if self.origin_questions.sender.try_send(question).is_err() {
            log::warn!(service = service.as_str();
                "too many questions where streams began wait for other hosts");
            return peer::OriginAnswer::default();
        }
        let answer = timeout(ANSWER_TIMEOUT, received).await;
        answer.ok().and_then(Result::ok).unwrap_or_default()
    }

    /// Answers another host's question where a stream began.
    pub(crate) async fn answer_origin(
        &self,
        question: &peer::OriginQuestion,
    ) -> peer::OriginAnswer {
        let service = Service::new(question.service.clone());
        let asked_at = self.now();
        let has_read_rows =
            question.reads_rows && self.wait_for_rows(asked_at, PEER_READ_WAIT).await;
        let has_read_rows = has_read_rows && self.fleet().knows_builds_of(asked_at, &service);
        let origins = lock(&self.stream_origins);
        let place = origins.place(Attempt(question.attempt)).cloned();
        drop(origins);
        // The lock of the fleet is released before it is taken again for the builds.
        let mixed = self.fleet().builds.is_mixed(self.now(), &service);
        peer::OriginAnswer {
            service: place.as_ref().map(|it| FastStr::new(it.service.as_str())),
            build: place.as_ref().map(|it| FastStr::new(it.build.as_str())),
            mixed,
            knows_builds: self.knows_builds(&service),
            has_read_rows,
        }
    }

    /// Returns the streams that other hosts are to be told of, while upstreams of several builds serve.
    pub(crate) fn take_stream_news(&self) -> Vec<peer::StreamOrigins> {
        let now = self.now();
        let fleet = self.fleet();
        if !fleet.builds.is_any_mixed(now) {
            return Vec::new();
        }
        lock(&self.stream_origins).take_news(|it| fleet.builds.is_mixed(now, it))
    }

    /// Tells another host, which may not know them, of the streams that go through this one.
    pub(crate) fn tell_streams_again(&self) {
        lock(&self.stream_origins).tell_running_again();
    }

    /// Records streams that another host has told of. `is_saved_here` is whether this host sees to it that
    /// the row store holds them.
    pub(crate) fn apply_stream_news(
        &self,
        news: &[peer::StreamOrigins],
        source: Source,
        is_saved_here: bool,
    ) {
        let now = self.now();
        for it in news {
            let (service, build) = (Service::new(it.service.clone()), Build::new(it.build.clone()));
            // An upstream may come and go between two reads of the table.
            self.fleet().builds.see(now, &service, &build);
            let place = Place { service, build };
            let mut origins = lock(&self.stream_origins);
            for attempt in it.attempts.iter().map(|it| Attempt(*it)) {
                origins.record(now, attempt, &place, source);
                if is_saved_here {
                    origins.save(attempt);
                }
            }
        }
    }
}
