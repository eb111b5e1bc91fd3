//! Tests of TLS for callers and of mutual TLS between hosts.

use std::sync::Arc;

use mothvale_lib::{
    generated::peer::Alive,
    name::Host,
    peer::{Handler, Peers},
    settings::{self, Identity},
    tls,
};
use mothvale_standin::dev::{Authority, Cluster, Options};
use mothvale_testutils::init;
use rustls::{
    ClientConfig, RootCertStore,
    pki_types::{CertificateDer, ServerName, pem::PemObject},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use tokio_rustls::TlsConnector;

/// Answers the calls of other hosts as the host with this name, with one record, `known`.
struct TestHandler(&'static str);

impl Handler for TestHandler {
    fn alive(&self) -> Alive {
        Alive { host: self.0.into(), boot: "b".into(), leaving: false }
    }

    fn record(&self, request: &str) -> Option<String> {
        (request == "known").then(|| "{}".into())
    }
}

/// Returns the peer settings of a host with a new certificate from `authority`.
fn peer_settings(authority: &Authority, name: &str, hosts: Vec<settings::Peer>) -> settings::Peers {
    let identity = authority.issue(name).unwrap();
    let identity = Identity { certificate: identity.certificate.into(), key: identity.key.into() };
    settings::Peers { authority: authority.pem().into(), identity, hosts }
}

/// Binds the endpoint of host `name`, which connects to `hosts`.
fn bind(authority: &Authority, name: &'static str, hosts: Vec<settings::Peer>) -> Peers {
    let settings = peer_settings(authority, name, hosts);
    let address = "127.0.0.1:0".parse().unwrap();
    Peers::bind(&Host::new(name), address, &settings, Arc::new(TestHandler(name))).unwrap()
}

/// Returns the settings entry by which other hosts reach the endpoint `to` as host `name`.
fn peer(name: &'static str, to: &Peers) -> settings::Peer {
    let address = to.address().unwrap();
    settings::Peer { name: Host::new(name), zone: mothvale_lib::name::Zone::new("z"), address }
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_with_certificates_of_one_authority_connect() {
    let authority = Authority::new().unwrap();
    let server = bind(&authority, "host_b", Vec::new());
    let client_host = bind(&authority, "host_a", vec![peer("host_b", &server)]);
    assert_eq!(client_host.probe("host_b").await.unwrap().boot, "b");
    assert_eq!(client_host.explain("host_b", "known").await.as_deref(), Some("{}"));
    assert_eq!(client_host.explain("host_b", "unknown").await.as_deref(), Some(""));
    assert!(client_host.probe("host_c").await.is_none());
    server.close().await;
    assert!(client_host.probe("host_b").await.is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_with_a_certificate_of_another_authority_is_refused() {
    let (ours, theirs) = (Authority::new().unwrap(), Authority::new().unwrap());
    let server = bind(&ours, "host_b", Vec::new());
    let client_host = bind(&theirs, "host_a", vec![peer("host_b", &server)]);
    assert!(client_host.probe("host_b").await.is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_with_the_certificate_of_another_host_is_refused() {
    let authority = Authority::new().unwrap();
    let server = bind(&authority, "host_c", Vec::new());
    let client_host = bind(&authority, "host_a", vec![peer("host_b", &server)]);
    assert!(client_host.probe("host_b").await.is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_over_tls_while_another_handshake_is_stalled() {
    init();
    let authority = Authority::new().unwrap();
    let host = Host::new("host_a");
    let identity = authority.issue("host_a").unwrap();
    let options = Options { hosts: 1, ..Options::default() };
    let standins = mothvale_standin::dev::Standins::start(&options).await.unwrap();
    let mut settings = standins.settings(&options).unwrap().pop().unwrap();
    settings.listen.tls =
        Some(Identity { certificate: identity.certificate.into(), key: identity.key.into() });
    let cluster = Cluster::with_settings(standins, vec![settings]).await.unwrap();
    let address = cluster.hosts[0].public_address();
    let _stalled = TcpStream::connect(address).await.unwrap();
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from_pem_slice(authority.pem().as_bytes()).unwrap()).unwrap();
    let provider = Arc::new(rustls::crypto::aws_lc_rs::default_provider());
    let client = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = TlsConnector::from(Arc::new(client));
    let name = ServerName::try_from(tls::certificate_name(&host)).unwrap();
    let stream = TcpStream::connect(address).await.unwrap();
    let mut stream = connector.connect(name, stream).await.unwrap();
    let request = "GET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: Bearer dev-bedline\r\n\
                   connection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response).await;
    assert!(response.starts_with("HTTP/1.1 200") && response.contains("\"demo\""), "{response}");
}
