//! Stand-in for a booking service: holds on beds, which may not be made twice.

use std::{collections::BTreeMap, sync::Mutex};

use http::{Method, StatusCode};
use mothvale_lib::front::json_response;
use serde::Serialize;
use volo_http::{request::Request, response::Response};

use crate::server::{Handler, empty_response, read_body};

/// Holds by bed, in the order in which they were made.
#[derive(Debug, Default)]
pub struct Bookings {
    holds: Mutex<BTreeMap<String, Vec<String>>>,
}

#[derive(Debug, Serialize)]
struct Hold<'a> {
    bed: &'a str,
    hold: usize,
}

#[derive(Debug, Serialize)]
struct Holds {
    holds: Vec<String>,
}

impl Bookings {
    /// Returns the bodies of all holds on a bed.
    pub fn holds(&self, bed: &str) -> Vec<String> {
        self.holds.lock().unwrap().get(bed).cloned().unwrap_or_default()
    }

    fn hold(&self, bed: &str, body: String) -> usize {
        let mut holds = self.holds.lock().unwrap();
        let list = holds.entry(bed.to_owned()).or_default();
        list.push(body);
        list.len()
    }
}

impl Handler for Bookings {
    async fn handle(&self, request: Request) -> Response {
        let (head, body) = request.into_parts();
        let Some(bed) = head.uri.path().strip_prefix("/beds/") else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        match head.method {
            Method::GET => json_response(StatusCode::OK, &Holds { holds: self.holds(bed) }),
            Method::POST => {
                let body = String::from_utf8_lossy(&read_body(body).await).into_owned();
                json_response(StatusCode::CREATED, &Hold { bed, hold: self.hold(bed, body) })
            }
            _ => empty_response(StatusCode::METHOD_NOT_ALLOWED),
        }
    }
}
