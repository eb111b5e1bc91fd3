//! TLS between hosts that have no disk and no authority: each host makes a key when it starts
//! and tells its fingerprint in its row of the store; others accept just the keys told there.
//!
//! Validity times play no part, since the time of day jumps on some machines.

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

/// Protocol name of calls between gateways.
const ALPN: &[u8] = b"mothvale-mesh/1";

/// Why no key can be made or used.
#[derive(Debug, ThisError)]
pub enum PinError {
    /// No key can be made.
    #[error("key: {0}")]
    Key(#[from] rcgen::Error),
    /// TLS does not take it.
    #[error("TLS: {0}")]
    Tls(#[from] TlsError),
}

/// A host's key, made at its start.
#[derive(Debug)]
pub struct Identity {
    certificate: CertificateDer<'static>,
    key: PrivatePkcs8KeyDer<'static>,
}

impl Identity {
    /// Makes a key.
    ///
    /// # Errors
    ///
    /// Returns an error when the library cannot make one.
    pub fn generate(host: &Host) -> Result<Self, PinError> {
        let made = rcgen::generate_simple_self_signed(vec![host.to_string()])?;
        let key = PrivatePkcs8KeyDer::from(made.signing_key.serialize_der());
        Ok(Identity { certificate: made.cert.der().clone(), key })
    }

    /// Returns the fingerprint that others know the key by.
    pub fn fingerprint(&self) -> String {
        fingerprint(&self.certificate)
    }
}

/// Returns the fingerprint of a certificate.
pub fn fingerprint(certificate: &CertificateDer<'_>) -> String {
    hex::encode(Sha256::digest(certificate))
}

/// Fingerprints of the hosts that are known.
#[derive(Clone, Debug, Default)]
pub struct Pins {
    hosts: Arc<RwLock<HashMap<String, Host>>>,
}

impl Pins {
    /// Takes the fingerprints of all hosts.
    pub fn set(&self, hosts: HashMap<String, Host>) {
        *self.hosts.write().unwrap_or_else(PoisonError::into_inner) = hosts;
    }

    /// Finds the host with a fingerprint.
    pub fn host(&self, fingerprint: &str) -> Option<Host> {
        self.hosts.read().unwrap_or_else(PoisonError::into_inner).get(fingerprint).cloned()
    }
}

/// Makes the configuration for answering other hosts.
///
/// # Errors
///
/// Returns an error when TLS does not take the key.
pub fn server_config(identity: &Identity, pins: &Pins) -> Result<ServerConfig, PinError> {
    let verifier = Arc::new(Verifier::new(pins));
    let builder = ServerConfig::builder_with_provider(verifier.provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier);
    let mut config = builder.with_single_cert(identity.chain(), identity.private())?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    Ok(config)
}

/// Makes the configuration for calling other hosts.
///
/// # Errors
///
/// Returns an error when TLS does not take the key.
pub fn client_config(identity: &Identity, pins: &Pins) -> Result<ClientConfig, PinError> {
    let verifier = Arc::new(Verifier::new(pins));
    let builder = ClientConfig::builder_with_provider(verifier.provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .dangerous()
        .with_custom_certificate_verifier(verifier);
    let mut config = builder.with_client_auth_cert(identity.chain(), identity.private())?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    Ok(config)
}

impl Identity {
    fn chain(&self) -> Vec<CertificateDer<'static>> {
        vec![self.certificate.clone()]
    }

    fn private(&self) -> PrivateKeyDer<'static> {
        PrivateKeyDer::Pkcs8(self.key.clone_key())
    }
}

#[derive(Debug)]
struct Verifier {
    pins: Pins,
    provider: Arc<CryptoProvider>,
}

impl Verifier {
    fn new(pins: &Pins) -> Self {
        Verifier { pins: pins.clone(), provider: Arc::new(aws_lc_rs::default_provider()) }
    }

    fn check(&self, certificate: &CertificateDer<'_>) -> Result<(), TlsError> {
        match self.pins.host(&fingerprint(certificate)) {
            Some(_) => Ok(()),
            None => Err(CertificateError::UnknownIssuer.into()),
        }
    }

    fn signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, TlsError> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signed, algorithms)
    }
}

/// How both sides check signatures: the library's two traits have the same three methods.
macro_rules! only_tls13 {
    () => {
        fn verify_tls12_signature(
            &self,
            _: &[u8],
            _: &CertificateDer<'_>,
            _: &DigitallySignedStruct,
        ) -> Result<HandshakeSignatureValid, TlsError> {
            Err(TlsError::General("only TLS 1.3 is spoken between hosts".into()))
        }

        fn verify_tls13_signature(
            &self,
            message: &[u8],
            certificate: &CertificateDer<'_>,
            signed: &DigitallySignedStruct,
        ) -> Result<HandshakeSignatureValid, TlsError> {
            self.signature(message, certificate, signed)
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
        self.check(end_entity).map(|()| ServerCertVerified::assertion())
    }

    only_tls13!();
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
        self.check(end_entity).map(|()| ClientCertVerified::assertion())
    }

    only_tls13!();
}
