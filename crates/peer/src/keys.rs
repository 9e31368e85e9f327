//! TLS keys and certificates with which members of a deployment authenticate each other.
//!
//! Entries read them from files, at their start and when the keys change. Nodes use anonymous keys.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error as StdError, From};
use quinn::crypto::rustls::{NoInitialCipherSuite, QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::{Error as PemError, PemObject};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::server::{VerifierBuilderError, WebPkiClientVerifier};
use rustls::{DigitallySignedStruct, RootCertStore, SignatureScheme};

/// Subject name in the certificate of every member.
pub const CERTIFICATE_NAME: &str = "member.nutmegwharf";
/// Idle time after which a connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 5_000;
/// Protocol that is negotiated on every connection.
const ALPN_PROTOCOL: &[u8] = b"nutmegwharf/1";

/// Key material in PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Material {
    /// Certificates of the authorities that sign the certificates of members.
    pub authority: String,
    /// Certificate chain of this member.
    pub certificate: String,
    /// Private key of this member.
    pub key: String,
}

/// QUIC configurations that are built from the keys.
#[derive(Clone, Debug)]
pub struct Keys {
    /// Configuration for connections that peers open.
    pub server: ServerConfig,
    /// Configuration for connections that this member opens.
    pub client: ClientConfig,
}

/// Key material that cannot be used.
#[derive(Debug, Display, StdError, From)]
pub enum Error {
    /// A part is not valid PEM of the expected kind.
    #[display("key material is not valid PEM: {_0}")]
    Pem(PemError),
    /// TLS rejects the certificate or the key.
    #[display("certificate or key rejected by TLS: {_0}")]
    Tls(rustls::Error),
    /// No verifier can be built from the certificates of the authority.
    #[display("certificates of the authority cannot be used: {_0}")]
    Authority(VerifierBuilderError),
    /// The cipher suite for the initial packets of QUIC is missing.
    #[display("{_0}")]
    Suite(NoInitialCipherSuite),
    /// A key or a certificate could not be generated.
    #[display("key or certificate cannot be generated: {_0}")]
    Issue(rcgen::Error),
}

impl Keys {
    /// Builds the configurations for mutual TLS from key material.
    ///
    /// # Errors
    ///
    /// Returns an error for the first part that cannot be used.
    pub fn read(material: &Material) -> Result<Self, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let roots = Arc::new(roots(&material.authority)?);
        let chain = chain(&material.certificate)?;
        let key = || PrivateKeyDer::from_pem_slice(material.key.as_bytes());

        let verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider))
                .build()?;
        let server = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key()?)?;

        let client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key()?)?;
        Self::from_tls(server, client)
    }
}

impl Keys {
    /// Generates keys that encrypt the connections without authenticating the members, for networks
    /// that only members can reach.
    ///
    /// # Errors
    ///
    /// Returns an error if the key or the certificate cannot be generated.
    pub fn anonymous() -> Result<Self, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let key = KeyPair::generate()?;
        let certificate =
            CertificateParams::new(vec![CERTIFICATE_NAME.to_owned()])?.self_signed(&key)?;
        let chain = vec![certificate.der().clone()];
        let key = PrivateKeyDer::Pkcs8(key.serialize_der().into());
        let versions = &[&rustls::version::TLS13];

        let server = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(versions)?
            .with_no_client_auth()
            .with_single_cert(chain, key)?;
        let client = rustls::ClientConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(versions)?
            .dangerous()
            .with_custom_certificate_verifier(Arc::new(AnyCertificate(provider)))
            .with_no_client_auth();
        Self::from_tls(server, client)
    }

    fn from_tls(
        mut server: rustls::ServerConfig,
        mut client: rustls::ClientConfig,
    ) -> Result<Self, Error> {
        server.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        client.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        let transport = Arc::new(transport());
        let mut server = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?));
        server.transport_config(Arc::clone(&transport));
        let mut client = ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
        client.transport_config(transport);
        Ok(Self { server, client })
    }
}

/// Accepts any server certificate, but verifies that the server holds its private key.
#[derive(Debug)]
struct AnyCertificate(Arc<CryptoProvider>);

impl ServerCertVerifier for AnyCertificate {
    fn verify_server_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls12_signature(message, certificate, signature, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .max_concurrent_bidi_streams(VarInt::from_u32(0))
        .max_concurrent_uni_streams(VarInt::from_u32(1))
        // Frames are small: probing for a larger MTU costs more bytes than it saves.
        .mtu_discovery_config(None)
        .initial_rtt(Duration::from_millis(5));
    transport
}

fn roots(pem: &str) -> Result<RootCertStore, Error> {
    let mut roots = RootCertStore::empty();
    for certificate in chain(pem)? {
        roots.add(certificate)?;
    }
    Ok(roots)
}

fn chain(pem: &str) -> Result<Vec<CertificateDer<'static>>, Error> {
    let read: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem.as_bytes()).collect();
    Ok(read?)
}

/// Generates an authority and the key material of `count` members with certificates signed by it.
///
/// # Errors
///
/// Returns an error if a key or a certificate cannot be generated.
pub fn issue(count: usize) -> Result<Vec<Material>, Error> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
    let authority = issuer.pem();
    let member = |_| {
        let key = KeyPair::generate()?;
        let params = CertificateParams::new(vec![CERTIFICATE_NAME.to_owned()])?;
        let certificate = params.signed_by(&key, &issuer)?;
        Ok(Material {
            authority: authority.clone(),
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    };
    (0..count).map(member).collect()
}
