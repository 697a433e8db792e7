//! TLS under the HTTP front, with the certificate that ACME keeps fresh.

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
use super::frontend::Stream;
use super::stream::Conn;
use crate::acme::{Certificate, Shared};

/// A handshake must be over within this time.
const HANDSHAKE_PATIENCE: Duration = Duration::from_secs(10);

/// A connection under TLS.
pub(super) type Tls = StreamOwned<ServerConnection, Conn>;

impl Stream for Tls {
    fn conn(&mut self) -> &mut Conn {
        &mut self.sock
    }

    fn end(&mut self) {
        self.conn.send_close_notify();
        let _ = self.flush();
    }
}

/// Hands out the certificate in use, and reads it anew only when it changes.
struct Current {
    shared: Shared,
    read: Mutex<Option<(Arc<Certificate>, Arc<CertifiedKey>)>>,
}

impl fmt::Debug for Current {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Current")
    }
}

impl ResolvesServerCert for Current {
    fn resolve(&self, _hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        let certificate = self.shared.get().certificate?;
        let mut read = self.read.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, key)) = read.as_ref().filter(|(of, _)| Arc::ptr_eq(of, &certificate)) {
            return Some(key.clone());
        }
        let key = Arc::new(certified(&certificate.pem)?);
        *read = Some((certificate, key.clone()));
        Some(key)
    }
}

fn certified(pem: &str) -> Option<CertifiedKey> {
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem.as_bytes()).collect();
    let key = PrivateKeyDer::from_pem_slice(pem.as_bytes()).ok()?;
    CertifiedKey::from_der(chain.ok()?, key, &default_provider()).ok()
}

/// How connections are taken under TLS.
pub(super) fn config(shared: Shared) -> Result<Arc<ServerConfig>, NodeError> {
    let versions = ServerConfig::builder_with_provider(Arc::new(default_provider()));
    let versions = versions.with_safe_default_protocol_versions().map_err(NodeError::Tls)?;
    let current = Arc::new(Current { shared, read: Mutex::default() });
    Ok(Arc::new(versions.with_no_client_auth().with_cert_resolver(current)))
}

/// Shakes hands with a caller.
pub(super) fn accept(mut stream: Conn, config: &Arc<ServerConfig>) -> io::Result<Tls> {
    let mut conn = ServerConnection::new(config.clone()).map_err(io::Error::other)?;
    let until = Instant::now() + HANDSHAKE_PATIENCE;
    while conn.is_handshaking() {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_patience(left);
        conn.complete_io(&mut stream)?;
    }
    Ok(StreamOwned::new(conn, stream))
}
