//! Private storage: a folder that only its owner enters, files that are replaced whole or not at all.

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

/// The account's key, in PKCS #8.
const ACCOUNT: &str = "account.key";
/// The certificate's key and its chain, in one file so that they change together.
const CERTIFICATE: &str = "certificate.pem";

/// A certificate with its key.
#[derive(Clone, Debug, PartialEq)]
pub struct Certificate {
    /// The names that it is for.
    pub names: Vec<String>,
    /// From when it is valid.
    pub not_before: SystemTime,
    /// Until when it is valid.
    pub not_after: SystemTime,
    /// The key and the chain.
    pub pem: String,
}

impl Certificate {
    /// Reads a key and a chain; the first certificate of the chain is the one that counts, and is to be of that key.
    pub fn parse(pem: &str) -> Result<Self, AcmeError> {
        let wrong = |what, said: String| AcmeError::InvalidCertificate { what, reason: said };
        let der = CertificateDer::from_pem_slice(pem.as_bytes());
        let der = der.map_err(|e| wrong("no certificate", e.to_string()))?;
        let x509 = x509_parser::parse_x509_certificate(&der);
        let (_, x509) = x509.map_err(|e| wrong("the certificate", e.to_string()))?;
        let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem.as_bytes()).collect();
        let chain = chain.map_err(|e| wrong("the chain", e.to_string()))?;
        let key = PrivateKeyDer::from_pem_slice(pem.as_bytes());
        let key = key.map_err(|e| wrong("no key", e.to_string()))?;
        let fits = CertifiedKey::from_der(chain, key, &default_provider());
        fits.map_err(|e| wrong("the key of the certificate", e.to_string()))?;
        let at = |seconds: i64| {
            SystemTime::UNIX_EPOCH + Duration::from_secs(u64::try_from(seconds).unwrap_or_default())
        };
        let named = x509.subject_alternative_name();
        let named = named.map_err(|e| wrong("the certificate's names", e.to_string()))?;
        let named = named.map(|n| n.value.general_names.clone()).unwrap_or_default();
        let names = named.into_iter().filter_map(|name| match name {
            GeneralName::DNSName(name) => Some(name.to_string()),
            _ => None,
        });
        Ok(Self {
            names: names.collect(),
            not_before: at(x509.validity().not_before.timestamp()),
            not_after: at(x509.validity().not_after.timestamp()),
            pem: pem.to_string(),
        })
    }
}

/// Waits until no other process holds the folder; given up when it is closed.
fn lock(folder: &File) -> io::Result<()> {
    loop {
        match folder.lock() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            // Some file systems have no locks: there it is as before a second process came.
            Err(e) if e.kind() == io::ErrorKind::Unsupported => return Ok(()),
            done => return done,
        }
    }
}

/// The folder.
pub struct Store(PathBuf);

impl Store {
    /// Makes the folder, if it is not there, and keeps others out of it.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::DirBuilder::new().recursive(true).mode(0o700).create(path)?;
        fs::set_permissions(path, fs::Permissions::from_mode(0o700))?;
        Ok(Self(path.to_path_buf()))
    }

    /// Replaces a file whole: a reader, or a start after a crash, sees the old one or the new one. In an upgrade two
    /// processes have the folder: one after the other writes in it.
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let folder = File::open(&self.0)?;
        lock(&folder)?;
        let (new, path) = (self.0.join(format!("{name}.new")), self.0.join(name));
        let mut file = OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&new)?;
        file.set_permissions(fs::Permissions::from_mode(0o600))?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&new, &path)?;
        folder.sync_all()
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.0.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// The account's key, made by `make` the first time.
    pub(super) fn account(
        &self,
        make: impl FnOnce() -> Result<Vec<u8>, AcmeError>,
    ) -> Result<Vec<u8>, AcmeError> {
        if let Some(key) = self.read(ACCOUNT).map_err(AcmeError::Storage)? {
            return Ok(key);
        }
        let key = make()?;
        self.write(ACCOUNT, &key).map_err(AcmeError::Storage)?;
        Ok(key)
    }

    /// The stored certificate, if there is one.
    pub fn certificate(&self) -> Result<Option<Certificate>, AcmeError> {
        match self.read(CERTIFICATE).map_err(AcmeError::Storage)? {
            Some(bytes) => {
                let pem = String::from_utf8(bytes).map_err(|_| AcmeError::NotUtf8)?;
                Certificate::parse(&pem).map(Some)
            }
            None => Ok(None),
        }
    }

    /// Stores a certificate in place of the former one.
    pub fn store_certificate(&self, pem: &str) -> io::Result<()> {
        self.write(CERTIFICATE, pem.as_bytes())
    }
}
