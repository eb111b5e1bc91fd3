//! Mutual TLS between gateway hosts with pinned certificates, because these hosts have no disk and
//! no certificate authority. Each host generates a key and a self-signed certificate when it
//! starts, and publishes the certificate's fingerprint in its row of the row store's hosts table.
//! Other hosts accept only certificates whose fingerprints are published there.
//!
//! Validity periods are not checked, because the wall clock jumps on some hosts.

use std::{
    collections::HashMap,
    sync::{PoisonError, RwLock},
};

use rustls::{
    CertificateError, ClientConfig, DigitallySignedStruct, DistinguishedName, Error as TlsError,
    ServerConfig, SignatureScheme,
    client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier},
    crypto::{CryptoProvider, aws_lc_rs, verify_tls13_signature},
    pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, ServerName, UnixTime},
    server::danger::{ClientCertVerified, ClientCertVerifier},
};
use sha2::{Digest, Sha256};
use thiserror::Error as ThisError;

use crate::prelude::*;

/// ALPN protocol name of calls between gateway hosts.
const ALPN: &[u8] = b"mothvale-mesh/1";

/// Reason why a host's key cannot be generated or used.
#[derive(Debug, ThisError)]
pub enum PinError {
    /// The key or certificate cannot be generated.
    #[error("key: {0}")]
    Key(#[from] rcgen::Error),
    /// The TLS library does not accept the key or certificate.
    #[error("TLS: {0}")]
    Tls(#[from] TlsError),
}

/// A host's key and self-signed certificate, generated when it starts.
#[derive(Debug)]
pub struct Identity {
    certificate: CertificateDer<'static>,
    key: PrivatePkcs8KeyDer<'static>,
}

impl Identity {
    /// Generates a key, and a certificate for it in the name of `host`.
    ///
    /// # Errors
    ///
    /// Returns an error when the library cannot generate them.
    pub fn generate(host: &Host) -> Result<Self, PinError> {
        let certified = rcgen::generate_simple_self_signed(vec![host.to_string()])?;
        let key = PrivatePkcs8KeyDer::from(certified.signing_key.serialize_der());
        Ok(Identity { certificate: certified.cert.der().clone(), key })
    }

    /// Returns the fingerprint of the certificate.
    pub fn fingerprint(&self) -> String {
        fingerprint(&self.certificate)
    }
}

/// Returns the fingerprint of a certificate: its SHA-256 digest in hexadecimal.
pub fn fingerprint(certificate: &CertificateDer<'_>) -> String {
    hex::encode(Sha256::digest(certificate))
}

/// Fingerprints of the certificates to accept, each with its host. Clones share the same set.
#[derive(Clone, Debug, Default)]
pub struct Pins {
    /// Hosts by the fingerprint of their certificate.
    hosts: Arc<RwLock<HashMap<String, Host>>>,
}

impl Pins {
    /// Replaces the accepted fingerprints; `hosts` maps each one to its host.
    pub fn set(&self, hosts: HashMap<String, Host>) {
        *self.hosts.write().unwrap_or_else(PoisonError::into_inner) = hosts;
    }

    /// Returns the host with a fingerprint.
    pub fn host(&self, fingerprint: &str) -> Option<Host> {
        self.hosts.read().unwrap_or_else(PoisonError::into_inner).get(fingerprint).cloned()
    }

    /// Returns the host at the other end of a connection, found by the fingerprint of its certificate.
    pub fn peer(&self, connection: &quinn::Connection) -> Option<Host> {
        let identity = connection.peer_identity()?;
        let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
        self.host(&fingerprint(chain.first()?))
    }
}

/// Returns the TLS configuration for connections from other hosts.
///
/// # Errors
///
/// Returns an error when the TLS library does not accept the key or certificate.
pub fn server_config(identity: &Identity, pins: &Pins) -> Result<ServerConfig, PinError> {
    let verifier = Arc::new(Verifier::new(pins));
    let builder = ServerConfig::builder_with_provider(verifier.provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier);
    let mut config =
        builder.with_single_cert(identity.certificate_chain(), identity.private_key())?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    Ok(config)
}

/// Returns the TLS configuration for connections to other hosts.
///
/// # Errors
///
/// Returns an error when the TLS library does not accept the key or certificate.
pub fn client_config(identity: &Identity, pins: &Pins) -> Result<ClientConfig, PinError> {
    let verifier = Arc::new(Verifier::new(pins));
    let builder = ClientConfig::builder_with_provider(verifier.provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .dangerous()
        .with_custom_certificate_verifier(verifier);
    let mut config =
        builder.with_client_auth_cert(identity.certificate_chain(), identity.private_key())?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    Ok(config)
}

impl Identity {
    fn certificate_chain(&self) -> Vec<CertificateDer<'static>> {
        vec![self.certificate.clone()]
    }

    fn private_key(&self) -> PrivateKeyDer<'static> {
        PrivateKeyDer::Pkcs8(self.key.clone_key())
    }
}

/// Accepts certificates with a pinned fingerprint, whatever their name and validity period.
#[derive(Debug)]
struct Verifier {
    pins: Pins,
    provider: Arc<CryptoProvider>,
}

impl Verifier {
    fn new(pins: &Pins) -> Self {
        Verifier { pins: pins.clone(), provider: Arc::new(aws_lc_rs::default_provider()) }
    }

    fn check_pinned(&self, certificate: &CertificateDer<'_>) -> Result<(), TlsError> {
        match self.pins.host(&fingerprint(certificate)) {
            Some(_) => Ok(()),
            None => Err(CertificateError::UnknownIssuer.into()),
        }
    }

    fn verify_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, TlsError> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signed, algorithms)
    }
}

/// Defines the signature checks, three methods that the library's verifier traits for servers and
/// for clients both have.
macro_rules! tls13_signature_checks {
    () => {
        fn verify_tls12_signature(
            &self,
            _: &[u8],
            _: &CertificateDer<'_>,
            _: &DigitallySignedStruct,
        ) -> Result<HandshakeSignatureValid, TlsError> {
            Err(TlsError::General("connections between hosts require TLS 1.3".into()))
        }

        fn verify_tls13_signature(
            &self,
            message: &[u8],
            certificate: &CertificateDer<'_>,
            signed: &DigitallySignedStruct,
        ) -> Result<HandshakeSignatureValid, TlsError> {
            self.verify_signature(message, certificate, signed)
        }

        fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
            self.provider.signature_verification_algorithms.supported_schemes()
        }
    };
}

impl ServerCertVerifier for Verifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> Result<ServerCertVerified, TlsError> {
        self.check_pinned(end_entity).map(|()| ServerCertVerified::assertion())
    }

    tls13_signature_checks!();
}

impl ClientCertVerifier for Verifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: UnixTime,
    ) -> Result<ClientCertVerified, TlsError> {
        self.check_pinned(end_entity).map(|()| ClientCertVerified::assertion())
    }

    tls13_signature_checks!();
}
