//! Connections for the attempts of a request, and what becomes of it while its service is out of this host's
//! reach.

use tokio::time::timeout;

use crate::{
    codec::Codec,
    connection::{self, Connection},
    detour_link::Terms,
    fleet::{Choice, Outcome},
    forward::{AttemptError, Forwarder, InFlightAttempt},
    prelude::*,
};

/// Idle time from which a pooled connection is not used for a request that may run only once:
/// the upstream may be closing it just then, which would leave the outcome unknown.
const ONCE_MAX_IDLE: Duration = Duration::from_secs(2);
/// Attempts without a usable connection after which a request is refused.
pub(crate) const MAX_CONNECT_FAILURES: u32 = 5;

/// Why there is no connection for an attempt.
pub(crate) enum ConnectError {
    /// No connection could be established.
    Failed,
    /// No connection was open, and new ones are known to fail.
    NotTried,
}

impl<C> Forwarder<C>
where
    C: Codec,
{
    /// Returns the only upstreams that the next attempt may go to, or `None` if all may be chosen. While the
    /// service is out of reach, the upstreams that are reached get no more than their part of the requests;
    /// the others go over other hosts first.
    pub(crate) fn allowed_upstreams(&self) -> Option<Vec<Upstream>> {
        let reached_part = self.gateway.reached_part(&self.job.service)?;
        if self.stays_here {
            return (reached_part == 0.0).then(|| self.gateway.connected_upstreams());
        }
        let sample = crate::rendezvous::fraction(&["reach", &self.job.metadata.id]);
        (sample >= reached_part).then(Vec::new)
    }

    /// Checks that this host can do more for a request of another host than that one itself.
    pub(crate) fn check_reach(&self, terms: Terms) -> Result<(), Error> {
        match self.gateway.reached_part(&self.job.service) {
            Some(reached_part) if reached_part <= terms.reached_part => {
                Err(Error::new(Kind::Unreachable, "the service is out of reach here as well"))
            }
            _ => Ok(()),
        }
    }

    /// Handles an upstream to which there is no connection.
    pub(crate) fn handle_unreachable(
        &mut self,
        attempt: InFlightAttempt<C>,
        err: ConnectError,
    ) -> AttemptError {
        let (name, outcome) = match err {
            ConnectError::Failed => ("unreachable", Outcome::Unreachable),
            ConnectError::NotTried => ("not_sent_out_of_reach", Outcome::Cancelled),
        };
        self.log_attempt(&attempt.choice, name);
        self.tried.push(attempt.choice.id.clone());
        attempt.complete(outcome);
        self.connect_failures += 1;
        self.out_of_reach = self.gateway.reached_part(&self.job.service).is_some();
        let retry = self.connect_failures < MAX_CONNECT_FAILURES;
        match self.out_of_reach {
            // Another host comes before further attempts here.
            true => self.retry_or_refuse(retry && self.stays_here, Kind::Unreachable),
            false => self.retry_or_refuse(retry, Kind::NoUpstream),
        }
    }

    /// Takes a connection from the pool or opens a new one; the flag is true for a pooled one.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream cannot be reached, or only open connections may be used.
    pub(crate) async fn connect(
        &self,
        choice: &Choice,
    ) -> Result<(Connection, bool), ConnectError> {
        let max_idle = match self.job.route.retry_policy.allows_rerun() {
            true => Duration::MAX,
            false => ONCE_MAX_IDLE,
        };
        loop {
            let pooled = self.gateway.pool().take(&choice.id, choice.incarnation.address, max_idle);
            self.gateway.record_closed_early();
            let Some(mut pooled) = pooled else { break };
            if connection::wait_ready(&mut pooled).await {
                return Ok((pooled, true));
            }
        }
        if self.needs_open_connection {
            return Err(ConnectError::NotTried);
        }
        let connecting = Connection::connect_upstream(choice.incarnation.address);
        let connected = timeout(self.job.time_left(), connecting).await;
        let Ok(Ok(connection)) = connected else { return Err(ConnectError::Failed) };
        self.gateway.record_connection(&choice.id, true);
        Ok((connection, false))
    }
}
