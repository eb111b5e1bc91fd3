//! Stand-in for a store host, which keeps pieces of KV cache.
//!
//! A piece is written first and can be read once its manifest, with a matching checksum, is
//! published.

use std::{collections::BTreeMap, sync::Mutex};

use bytes::Bytes;
use http::{Method, StatusCode};
use mothvale_lib::{
    generated::wire::{Manifest, Manifests},
    public_api::{body_response, json_response},
};
use sha2::{Digest, Sha256};
use volo_http::{request::Request, response::Response};

use crate::server::{Handler, empty_response, read_body, read_json};

/// Pieces in memory, up to a limit in bytes.
#[derive(Debug)]
pub struct Store {
    capacity: usize,
    /// Pieces by name and generation.
    pieces: Mutex<BTreeMap<(String, u64), Piece>>,
}

#[derive(Debug)]
struct Piece {
    data: Bytes,
    /// Set when the piece is published.
    manifest: Option<Manifest>,
}

impl Store {
    /// Creates an empty store of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Store { capacity, pieces: Mutex::default() }
    }

    /// Writes a piece, which cannot be read yet.
    fn write_piece(&self, key: (String, u64), data: Bytes) -> StatusCode {
        let mut pieces = self.pieces.lock().unwrap();
        let used: usize = pieces.values().map(|it| it.data.len()).sum();
        if used + data.len() > self.capacity {
            return StatusCode::INSUFFICIENT_STORAGE;
        }
        pieces.insert(key, Piece { data, manifest: None });
        StatusCode::OK
    }

    /// Publishes a piece if the checksum in the manifest matches its data.
    fn publish_manifest(&self, manifest: Manifest) -> StatusCode {
        let mut pieces = self.pieces.lock().unwrap();
        match pieces.get_mut(&(manifest.piece.clone(), manifest.generation)) {
            Some(piece) if hex::encode(Sha256::digest(&piece.data)) == manifest.checksum => {
                piece.manifest = Some(manifest);
                StatusCode::OK
            }
            Some(_) => StatusCode::CONFLICT,
            None => StatusCode::NOT_FOUND,
        }
    }

    fn read_published(&self, key: &(String, u64)) -> Option<Bytes> {
        let pieces = self.pieces.lock().unwrap();
        let piece = pieces.get(key).filter(|it| it.manifest.is_some())?;
        Some(piece.data.clone())
    }

    fn remove_piece(&self, key: &(String, u64)) -> StatusCode {
        match self.pieces.lock().unwrap().remove(key) {
            Some(_) => StatusCode::OK,
            None => StatusCode::NOT_FOUND,
        }
    }

    fn manifests(&self) -> Manifests {
        let pieces = self.pieces.lock().unwrap();
        Manifests { pieces: pieces.values().filter_map(|it| it.manifest.clone()).collect() }
    }
}

impl Handler for Store {
    async fn handle(&self, request: Request) -> Response {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        if path == "/store/v1/manifests" {
            return match head.method {
                Method::GET => json_response(StatusCode::OK, &self.manifests()),
                Method::POST => match read_json(body).await {
                    Some(manifest) => empty_response(self.publish_manifest(manifest)),
                    None => empty_response(StatusCode::BAD_REQUEST),
                },
                _ => empty_response(StatusCode::METHOD_NOT_ALLOWED),
            };
        }
        let Some(key) = piece_key(path) else { return empty_response(StatusCode::NOT_FOUND) };
        match head.method {
            Method::PUT => empty_response(self.write_piece(key, read_body(body).await)),
            Method::DELETE => empty_response(self.remove_piece(&key)),
            Method::GET => match self.read_published(&key) {
                Some(data) => body_response("application/octet-stream", data),
                None => empty_response(StatusCode::NOT_FOUND),
            },
            _ => empty_response(StatusCode::METHOD_NOT_ALLOWED),
        }
    }
}

/// Parses `/store/v1/pieces/{piece}/{generation}`.
fn piece_key(path: &str) -> Option<(String, u64)> {
    let (piece, generation) = path.strip_prefix("/store/v1/pieces/")?.split_once('/')?;
    Some((piece.to_owned(), generation.parse().ok()?))
}
