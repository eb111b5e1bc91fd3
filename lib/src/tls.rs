//! TLS configurations for callers and for connections between hosts, built from PEM text.

use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    crypto::{CryptoProvider, aws_lc_rs},
    pki_types::{CertificateDer, PrivateKeyDer, pem, pem::PemObject},
    server::{VerifierBuilderError, WebPkiClientVerifier},
};
use thiserror::Error as ThisError;

use crate::{
    prelude::*,
    settings::{Identity, Peers},
};

/// ALPN protocol name of connections between hosts.
const PEER_ALPN: &[u8] = b"mothvale-peer/1";

/// Why a TLS configuration cannot be built.
#[derive(Debug, ThisError)]
pub enum TlsError {
    /// The text is not valid PEM.
    #[error("PEM text is not usable: {0}")]
    Pem(#[from] pem::Error),
    /// The certificate or key is not usable, or they do not belong together.
    #[error("certificate or key is not usable: {0}")]
    Rustls(#[from] rustls::Error),
    /// The certificate of the authority (CA) is not usable.
    #[error("authority is not usable: {0}")]
    Authority(#[from] VerifierBuilderError),
}

/// Builds the server configuration for callers.
///
/// # Errors
///
/// Returns an error when the certificate or key is not usable.
pub fn public_server_config(identity: &Identity) -> Result<ServerConfig, TlsError> {
    let (chain, key) = parse_identity(identity)?;
    let builder = ServerConfig::builder_with_provider(crypto_provider())
        .with_safe_default_protocol_versions()?
        .with_no_client_auth();
    let mut config = builder.with_single_cert(chain, key)?;
    config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    Ok(config)
}

/// Builds the server configuration for connections from other hosts, which must present a
/// certificate of the authority.
///
/// # Errors
///
/// Returns an error when a certificate or key is not usable.
pub fn peer_server_config(peers: &Peers) -> Result<ServerConfig, TlsError> {
    let (chain, key) = parse_identity(&peers.identity)?;
    let verifier = WebPkiClientVerifier::builder_with_provider(
        Arc::new(root_store(peers)?),
        crypto_provider(),
    )
    .build()?;
    let builder = ServerConfig::builder_with_provider(crypto_provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier);
    let mut config = builder.with_single_cert(chain, key)?;
    config.alpn_protocols = vec![PEER_ALPN.to_vec()];
    Ok(config)
}

/// Builds the client configuration for connections to other hosts.
///
/// # Errors
///
/// Returns an error when a certificate or key is not usable.
pub fn peer_client_config(peers: &Peers) -> Result<ClientConfig, TlsError> {
    let (chain, key) = parse_identity(&peers.identity)?;
    let builder = ClientConfig::builder_with_provider(crypto_provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(root_store(peers)?);
    let mut config = builder.with_client_auth_cert(chain, key)?;
    config.alpn_protocols = vec![PEER_ALPN.to_vec()];
    Ok(config)
}

/// Returns the DNS name that the certificate of a host must be valid for.
pub fn certificate_name(host: &Host) -> String {
    format!("{}.mothvale.internal", host.as_str().replace('_', "-"))
}

/// Returns the cryptography library that all configurations use.
fn crypto_provider() -> Arc<CryptoProvider> {
    Arc::new(aws_lc_rs::default_provider())
}

/// Returns the root certificates that peers must chain to.
fn root_store(peers: &Peers) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    for cert in CertificateDer::pem_slice_iter(peers.authority.as_bytes()) {
        roots.add(cert?)?;
    }
    Ok(roots)
}

/// Returns the certificate chain and the private key of an identity.
fn parse_identity(
    identity: &Identity,
) -> Result<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>), TlsError> {
    let chain = CertificateDer::pem_slice_iter(identity.certificate.as_bytes());
    let chain = chain.collect::<Result<Vec<_>, _>>()?;
    let key = PrivateKeyDer::from_pem_slice(identity.key.as_bytes())?;
    Ok((chain, key))
}
