//! The folder that holds the account key and the certificate.
//!
//! Only its owner can enter the folder. A [`Store`] replaces each file atomically.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use rustls::crypto::ring::default_provider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::sign::CertifiedKey;
use x509_parser::extensions::GeneralName;

use super::error::AcmeError;

/// The account key, in PKCS #8.
const ACCOUNT_FILE: &str = "account.key";
/// The certificate's private key and its chain, in one file so that they change together.
const CERTIFICATE_FILE: &str = "certificate.pem";

/// A certificate with its private key.
#[derive(Clone, Debug, PartialEq)]
pub struct Certificate {
    /// The DNS names that it covers.
    pub names: Vec<String>,
    /// The start of its validity.
    pub not_before: SystemTime,
    /// The end of its validity.
    pub not_after: SystemTime,
    /// The private key and the chain, in PEM.
    pub pem: String,
}

impl Certificate {
    /// Parses a private key and a chain in PEM. The first certificate of the chain must belong to the key; names and
    /// validity are taken from it.
    pub fn parse(pem: &str) -> Result<Self, AcmeError> {
        let invalid = |what, reason: String| AcmeError::InvalidCertificate { what, reason };
        let der = CertificateDer::from_pem_slice(pem.as_bytes());
        let der = der.map_err(|e| invalid("cannot read the certificate", e.to_string()))?;
        let x509 = x509_parser::parse_x509_certificate(&der);
        let (_, x509) = x509.map_err(|e| invalid("cannot parse the certificate", e.to_string()))?;
        let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem.as_bytes()).collect();
        let chain = chain.map_err(|e| invalid("cannot read the certificate chain", e.to_string()))?;
        let key = PrivateKeyDer::from_pem_slice(pem.as_bytes());
        let key = key.map_err(|e| invalid("cannot read the private key", e.to_string()))?;
        let certified_key = CertifiedKey::from_der(chain, key, &default_provider());
        certified_key
            .map_err(|e| invalid("the private key cannot be used with the certificate", e.to_string()))?;
        let time = |seconds: i64| {
            SystemTime::UNIX_EPOCH + Duration::from_secs(u64::try_from(seconds).unwrap_or_default())
        };
        let alternative_names = x509.subject_alternative_name();
        let alternative_names =
            alternative_names.map_err(|e| invalid("cannot read the certificate's names", e.to_string()))?;
        let alternative_names = alternative_names.map(|n| n.value.general_names.clone()).unwrap_or_default();
        let names = alternative_names.into_iter().filter_map(|name| match name {
            GeneralName::DNSName(name) => Some(name.to_string()),
            _ => None,
        });
        Ok(Self {
            names: names.collect(),
            not_before: time(x509.validity().not_before.timestamp()),
            not_after: time(x509.validity().not_after.timestamp()),
            pem: pem.to_string(),
        })
    }
}

/// Waits until no other process has locked the folder, and locks it; the lock is released when `folder` is closed.
fn lock(folder: &File) -> io::Result<()> {
    loop {
        match folder.lock() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            // Some file systems have no locks; there, two processes may write at the same time.
            Err(e) if e.kind() == io::ErrorKind::Unsupported => return Ok(()),
            result => return result,
        }
    }
}

/// The folder with the account key and the certificate.
pub struct Store(PathBuf);

impl Store {
    /// Creates the folder if it does not exist, and makes it accessible to its owner only.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::DirBuilder::new().recursive(true).mode(0o700).create(path)?;
        fs::set_permissions(path, fs::Permissions::from_mode(0o700))?;
        Ok(Self(path.to_path_buf()))
    }

    /// Replaces a file atomically: a reader, or a start after a crash, finds either the old content or the new one.
    /// During an upgrade two processes use the folder, so the folder is locked while a file is written.
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let folder = File::open(&self.0)?;
        lock(&folder)?;
        let (new_path, path) = (self.0.join(format!("{name}.new")), self.0.join(name));
        let mut file =
            OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&new_path)?;
        file.set_permissions(fs::Permissions::from_mode(0o600))?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&new_path, &path)?;
        folder.sync_all()
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.0.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// The stored account key; if there is none, stores the one that `generate` returns.
    pub(super) fn load_or_store_account_key(
        &self,
        generate: impl FnOnce() -> Result<Vec<u8>, AcmeError>,
    ) -> Result<Vec<u8>, AcmeError> {
        if let Some(key) = self.read(ACCOUNT_FILE).map_err(AcmeError::Storage)? {
            return Ok(key);
        }
        let key = generate()?;
        self.write(ACCOUNT_FILE, &key).map_err(AcmeError::Storage)?;
        Ok(key)
    }

    /// The stored certificate, if there is one.
    pub fn certificate(&self) -> Result<Option<Certificate>, AcmeError> {
        match self.read(CERTIFICATE_FILE).map_err(AcmeError::Storage)? {
            Some(bytes) => {
                let pem = String::from_utf8(bytes).map_err(|_| AcmeError::NotUtf8)?;
                Certificate::parse(&pem).map(Some)
            }
            None => Ok(None),
        }
    }

    /// Stores a certificate in place of the previous one.
    pub fn store_certificate(&self, pem: &str) -> io::Result<()> {
        self.write(CERTIFICATE_FILE, pem.as_bytes())
    }
}
