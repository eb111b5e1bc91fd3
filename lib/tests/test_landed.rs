//! Tests that this build reads what hosts of earlier landings send and store, as both serve side by side while a
//! system goes over from one to the other. The files hold one message or row a line, as encoded by the landing
//! that they name, with every field of its schema set.

use mothvale_lib::{
    gateway_process::HostRow,
    generated::peer::{Gossip, OriginAnswer, Pulled, Question, Rows, StoredOrigins},
    lease::LeaseRow,
    prelude::*,
    replica::Row,
    stream_ledger::Ledger,
};
use pilota::{LinkedBytes, pb::Message};
use serde::{Serialize, de::DeserializeOwned};

const LANDINGS: [(&str, &str); 3] = [
    ("812524a", include_str!("data/landed_812524a.txt")),
    ("dc868a4", include_str!("data/landed_dc868a4.txt")),
    ("ceceba6", include_str!("data/landed_ceceba6.txt")),
];
/// A field that no build has: number 1000, with a length of two bytes.
const UNKNOWN_FIELD: &[u8] = b"\xc2\x3e\x02hi";

/// Reads a message and returns it as this build encodes it.
fn reencode<M>(bytes: &[u8]) -> Vec<u8>
where
    M: Message + Default,
{
    let message = M::decode(Bytes::copy_from_slice(bytes)).unwrap();
    let mut encoded = LinkedBytes::new();
    message.encode(&mut encoded).unwrap();
    encoded.concat().to_vec()
}

/// Reads a row and returns it as this build writes it.
fn rewrite<R>(text: &str) -> String
where
    R: Serialize + DeserializeOwned,
{
    serde_json::to_string(&serde_json::from_str::<R>(text).unwrap()).unwrap()
}

fn parse_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2).map(|it| std::str::from_utf8(it).unwrap());
    digits.map(|it| u8::from_str_radix(it, 16).unwrap()).collect()
}

/// Reads a message of a kind and returns it as this build encodes it, or `None` if the kind is no message.
fn reencode_kind(kind: &str, bytes: &[u8]) -> Option<Vec<u8>> {
    Some(match kind {
        "Gossip" => reencode::<Gossip>(bytes),
        "Rows" => reencode::<Rows>(bytes),
        "Pulled" => reencode::<Pulled>(bytes),
        "Question" => reencode::<Question>(bytes),
        "OriginAnswer" => reencode::<OriginAnswer>(bytes),
        "StoredOrigins" => reencode::<StoredOrigins>(bytes),
        _ => return None,
    })
}

/// Guards against fields that lose their number, type or meaning between two builds: a host would drop or misread
/// what one of the other build tells.
#[test]
fn messages_of_earlier_landings_are_read_without_loss() {
    for (landing, text) in LANDINGS {
        let mut count = 0;
        for (kind, hex) in text.lines().filter_map(|it| it.split_once(' ')) {
            if kind.ends_with("Row") {
                continue;
            }
            let bytes = parse_hex(hex);
            let read = reencode_kind(kind, &bytes);
            assert_eq!(read.as_ref(), Some(&bytes), "{landing}: {kind}");
            let later = [&bytes, UNKNOWN_FIELD].concat();
            let read = reencode_kind(kind, &later);
            assert_eq!(read, Some(bytes), "{kind} with a field of a later build");
            count += 1;
        }
        assert!(count >= 8, "{landing}: {count} messages");
    }
}

/// Guards against rows that a host of another build cannot read: it would not see the host, or take the lease for
/// free, or forget builds at which streams began.
#[test]
fn rows_of_earlier_landings_are_read_without_loss() {
    for (landing, text) in LANDINGS {
        let mut count = 0;
        for (kind, row) in text.lines().filter_map(|it| it.split_once(' ')) {
            match kind {
                "HostRow" => assert_eq!(rewrite::<HostRow>(row), row, "{landing}"),
                "LeaseRow" => assert_eq!(rewrite::<LeaseRow>(row), row, "{landing}"),
                "BuildRow" => {
                    let value = Some(Bytes::copy_from_slice(row.as_bytes()));
                    let key = FastStr::from_static_str("engines");
                    let builds = Ledger::default().apply(0, vec![Row { key, value, version: 7 }]);
                    let names: Vec<_> = builds.iter().map(|it| it.1.as_str()).collect();
                    assert_eq!(names, ["v1", "v2"], "{landing}");
                }
                _ => continue,
            }
            count += 1;
        }
        assert!(count > 0, "{landing} has no rows");
    }
}
