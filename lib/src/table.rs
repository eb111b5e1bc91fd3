//! Client of the platform's table service, which stores versioned rows: the [`Table`] trait and
//! its implementation over HTTP. `mothvale serve` uses it; the gateway uses the row store instead,
//! see [`row_store`](crate::row_store).

use std::{future::Future, net::SocketAddr};

use http::Method;

use crate::{
    client::{Call, Client},
    fault::{Cause, Fault},
    generated::wire::{Outcome, Row, Rows, Transaction},
    prelude::*,
};

/// Operations of the table service. A [`Fault`] tells whether a failed call may have taken
/// effect.
pub trait Table: Clone + Send + Sync + 'static {
    /// Commits all writes of a transaction or none. Each is conditional on the current version of
    /// its row.
    fn commit(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<Outcome, Fault>> + Send;

    /// Returns a row, or `None` if it does not exist.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Row>, Fault>> + Send;

    /// Returns all rows whose keys start with `prefix`.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>, Fault>> + Send;
}

/// A [`Table`] that calls the table service over HTTP.
#[derive(Clone)]
pub struct HttpTable {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpTable {
    /// Creates a client of the service at `address` that waits up to `timeout` for each call.
    pub fn new(client: Client, address: SocketAddr, timeout: Duration) -> Self {
        HttpTable { client, address, timeout }
    }

    /// Builds a call to the table service.
    fn call(&self, method: Method, path: String) -> Call {
        Call::new(self.address, method, path, self.timeout)
    }
}

impl Table for HttpTable {
    async fn commit(&self, transaction: &Transaction) -> Result<Outcome, Fault> {
        let call = self.call(Method::POST, "/table/v1/transactions".into());
        self.client.fetch_json(call.json(transaction)).await
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, Fault> {
        let call = self.call(Method::GET, format!("/table/v1/rows/{key}"));
        match self.client.fetch_json(call).await {
            Ok(row) => Ok(Some(row)),
            Err(Fault { cause: Cause::Refused(404), .. }) => Ok(None),
            Err(fault) => Err(fault),
        }
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, Fault> {
        let call = self.call(Method::GET, format!("/table/v1/rows?prefix={prefix}"));
        self.client.fetch_json::<Rows>(call).await.map(|it| it.rows)
    }
}
