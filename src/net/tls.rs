//! TLS for the HTTP frontend, with the certificate that the ACME client obtains and renews.

use std::fmt;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rustls::crypto::ring::default_provider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::{ClientHello, ResolvesServerCert};
use rustls::sign::CertifiedKey;
use rustls::{ServerConfig, ServerConnection, StreamOwned};

use super::error::NodeError;
use super::frontend::ClientStream;
use super::stream::Conn;
use crate::acme::{Certificate, SharedCertificate};

/// A TLS handshake must be complete within this time.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// A TLS connection.
pub(super) type TlsStream = StreamOwned<ServerConnection, Conn>;

impl ClientStream for TlsStream {
    fn conn(&mut self) -> &mut Conn {
        &mut self.sock
    }

    fn notify_close(&mut self) {
        self.conn.send_close_notify();
        let _ = self.flush();
    }

    fn has_arrived(&self) -> bool {
        false
    }
}

/// Provides the current certificate to TLS handshakes, and parses it only when it has changed.
struct CurrentCertificate {
    shared: SharedCertificate,
    cached: Mutex<Option<(Arc<Certificate>, Arc<CertifiedKey>)>>,
}

impl fmt::Debug for CurrentCertificate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Current")
    }
}

impl ResolvesServerCert for CurrentCertificate {
    fn resolve(&self, _hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        let certificate = self.shared.get().certificate?;
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, key)) = cached.as_ref().filter(|(of, _)| Arc::ptr_eq(of, &certificate)) {
            return Some(key.clone());
        }
        let key = Arc::new(parse_certified_key(&certificate.pem)?);
        *cached = Some((certificate, key.clone()));
        Some(key)
    }
}

fn parse_certified_key(pem: &str) -> Option<CertifiedKey> {
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem.as_bytes()).collect();
    let key = PrivateKeyDer::from_pem_slice(pem.as_bytes()).ok()?;
    CertifiedKey::from_der(chain.ok()?, key, &default_provider()).ok()
}

/// The TLS configuration for accepted connections.
pub(super) fn server_config(shared: SharedCertificate) -> Result<Arc<ServerConfig>, NodeError> {
    let builder = ServerConfig::builder_with_provider(Arc::new(default_provider()));
    let builder = builder.with_safe_default_protocol_versions().map_err(NodeError::Tls)?;
    let resolver = Arc::new(CurrentCertificate { shared, cached: Mutex::default() });
    Ok(Arc::new(builder.with_no_client_auth().with_cert_resolver(resolver)))
}

/// Performs the TLS handshake with a client.
pub(super) fn accept(mut stream: Conn, config: &Arc<ServerConfig>) -> io::Result<TlsStream> {
    let mut conn = ServerConnection::new(config.clone()).map_err(io::Error::other)?;
    let deadline = Instant::now() + HANDSHAKE_TIMEOUT;
    while conn.is_handshaking() {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(remaining);
        conn.complete_io(&mut stream)?;
    }
    Ok(StreamOwned::new(conn, stream))
}
