//! Stand-in for a booking service that places holds (provisional bookings) on beds.
//!
//! Placing a hold is not idempotent. Every hold is kept, so that a test can detect a request
//! that reached the service twice.

use std::{collections::BTreeMap, sync::Mutex};

use http::{Method, StatusCode};
use mothvale_lib::public_api::json_response;
use serde::Serialize;
use volo_http::{request::Request, response::Response};

use crate::server::{Handler, empty_response, read_body};

/// Bodies of the hold requests, by bed and in order of arrival.
#[derive(Debug, Default)]
pub struct Bookings {
    holds: Mutex<BTreeMap<String, Vec<String>>>,
}

/// Response to `POST /beds/{bed}`.
#[derive(Debug, Serialize)]
struct HoldResponse<'a> {
    bed: &'a str,
    /// Number of holds on the bed, including the new one.
    hold: usize,
}

/// Response to `GET /beds/{bed}`.
#[derive(Debug, Serialize)]
struct HoldsResponse {
    holds: Vec<String>,
}

impl Bookings {
    /// Returns the request bodies of all holds on a bed.
    pub fn holds(&self, bed: &str) -> Vec<String> {
        self.holds.lock().unwrap().get(bed).cloned().unwrap_or_default()
    }

    /// Adds a hold and returns the number of holds on the bed.
    fn add_hold(&self, bed: &str, body: String) -> usize {
        let mut holds = self.holds.lock().unwrap();
        let on_bed = holds.entry(bed.to_owned()).or_default();
        on_bed.push(body);
        on_bed.len()
    }
}

impl Handler for Bookings {
    async fn handle(&self, request: Request) -> Response {
        let (head, body) = request.into_parts();
        let Some(bed) = head.uri.path().strip_prefix("/beds/") else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        match head.method {
            Method::GET => json_response(StatusCode::OK, &HoldsResponse { holds: self.holds(bed) }),
            Method::POST => {
                let body = String::from_utf8_lossy(&read_body(body).await).into_owned();
                json_response(
                    StatusCode::CREATED,
                    &HoldResponse { bed, hold: self.add_hold(bed, body) },
                )
            }
            _ => empty_response(StatusCode::METHOD_NOT_ALLOWED),
        }
    }
}
