//! The platform's table service: the trait, and the client of its HTTP protocol.

use std::{future::Future, net::SocketAddr};

use http::Method;

use crate::{
    client::{Call, Client},
    fault::{Cause, Fault},
    generated::wire::{Outcome, Row, Rows, Transaction},
    prelude::*,
};

/// What the system asks of the table service.
pub trait Table: Clone + Send + Sync + 'static {
    /// Commits conditional writes together or not at all.
    fn commit(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<Outcome, Fault>> + Send;

    /// Reads a row; none when it does not exist.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Row>, Fault>> + Send;

    /// Reads all rows under a prefix.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>, Fault>> + Send;
}

/// Speaks the table service's HTTP protocol.
#[derive(Clone)]
pub struct HttpTable {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpTable {
    /// Creates a client of the service at `address`.
    pub fn new(client: Client, address: SocketAddr, timeout: Duration) -> Self {
        HttpTable { client, address, timeout }
    }

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
