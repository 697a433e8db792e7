//! TLS certificates over ACME (RFC 8555) with http-01 challenges: they are ordered, stored in a private folder and
//! renewed before they expire.
//!
//! [`start`] loads the stored certificate into a [`SharedCertificate`], which the TLS frontend and the console read,
//! and starts one thread that orders and renews certificates. While the authority fails, the current certificate
//! stays in use and the order is tried again later. [`Store`] is the folder, [`wire`] parses the authority's answers.

mod challenge;
mod client;
mod error;
mod jws;
mod store;
pub mod wire;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use tracing::{info, warn};

use crate::error_text;
use crate::settings::Acme;
pub use error::AcmeError;
pub use store::{Certificate, Store};

/// A certificate is renewed when its lifetime divided by this number is left.
const RENEWAL_DIVISOR: u32 = 3;
/// The longest wait between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(6 * 3600);
/// The clock, which may have been set in the meantime, is checked this often: some certificates are valid for a few
/// hours only.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The certificate in use, and the results of the orders since the start.
#[derive(Clone, Debug, Default)]
pub struct CertificateStatus {
    /// The certificate in use.
    pub certificate: Option<Arc<Certificate>>,
    /// Successful orders since the start.
    pub orders: u64,
    /// Failed attempts since the last successful one.
    pub failures: u32,
    /// Why the last attempt failed.
    pub last_error: Option<String>,
}

/// The certificate status, shared between the ordering thread, the TLS frontend and the console.
#[derive(Clone, Default)]
pub struct SharedCertificate(Arc<Mutex<CertificateStatus>>);

impl SharedCertificate {
    fn lock(&self) -> MutexGuard<'_, CertificateStatus> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A copy of the current status.
    pub fn get(&self) -> CertificateStatus {
        self.lock().clone()
    }

    /// The status as names and values for the console.
    pub fn describe(&self) -> Vec<(String, String)> {
        let status = self.get();
        let line = |name: &str, value: String| (name.to_string(), value);
        let mut lines = match &status.certificate {
            None => vec![line("certificate", "none".to_string())],
            Some(certificate) => {
                let remaining = certificate.not_after.duration_since(SystemTime::now()).unwrap_or_default();
                let validity = if remaining.is_zero() { "expired" } else { "valid" };
                vec![
                    line("certificate", validity.to_string()),
                    line("names", certificate.names.join(" ")),
                    line("hours_left", (remaining.as_secs() / 3600).to_string()),
                ]
            }
        };
        lines.push(line("orders", status.orders.to_string()));
        lines.push(line("failures", status.failures.to_string()));
        lines.extend(status.last_error.map(|e| line("last_error", e)));
        lines
    }
}

/// Loads the stored certificate and starts the thread that orders and renews certificates.
///
/// # Errors
/// [`AcmeError`] if the folder cannot be opened, the roots cannot be read or the thread cannot be started. A failed
/// order is no error here: it is tried again.
pub fn start(settings: Acme, shared: SharedCertificate) -> Result<(), AcmeError> {
    let open_error = |source| AcmeError::OpenStore { path: settings.store.clone(), source };
    let store = Store::open(&settings.store).map_err(open_error)?;
    match store.certificate() {
        Ok(certificate) => shared.lock().certificate = certificate.map(Arc::new),
        Err(e) => {
            warn!("cannot use the stored certificate; ordering a new one: {}", error_text::single_line(&e))
        }
    }
    let client = client::Client::new(&settings)?;
    std::thread::Builder::new()
        .name("acme".to_string())
        .spawn(move || run_renewals(&settings, &store, &client, &shared))
        .map_err(AcmeError::Thread)?;
    Ok(())
}

fn run_renewals(settings: &Acme, store: &Store, client: &client::Client, shared: &SharedCertificate) {
    // The certificate in use, until it is stored.
    let mut unstored: Option<Arc<Certificate>> = None;
    let mut next_renewal =
        shared.get().certificate.map(|certificate| RenewalTime::of(&certificate, &settings.domains));
    loop {
        unstored = unstored.filter(|certificate| !try_to_store(store, certificate, shared));
        let wait = next_renewal.as_ref().map_or(Duration::ZERO, RenewalTime::remaining);
        if !wait.is_zero() {
            let check_interval = if unstored.is_some() { settings.retry } else { CLOCK_CHECK_INTERVAL };
            std::thread::sleep(wait.min(check_interval));
            continue;
        }
        match order(settings, store, client) {
            Ok(certificate) => {
                info!("obtained a certificate for {}", certificate.names.join(" "));
                let renewal = RenewalTime::of(&certificate, &settings.domains);
                let is_due_at_once = renewal.remaining().is_zero();
                next_renewal = Some(renewal);
                let certificate = Arc::new(certificate);
                unstored = Some(certificate.clone());
                let mut status = shared.lock();
                status.certificate = Some(certificate);
                status.orders += 1;
                (status.failures, status.last_error) = (0, None);
                drop(status);
                // Prevents a tight loop of orders where each new certificate is due for renewal at once.
                if is_due_at_once {
                    std::thread::sleep(settings.retry);
                }
            }
            Err(error) => {
                warn!("the certificate order failed: {}", error_text::single_line(&error));
                let mut status = shared.lock();
                status.failures = status.failures.saturating_add(1);
                status.last_error = Some(error.to_string());
                let wait = backoff(settings.retry, status.failures);
                drop(status);
                std::thread::sleep(wait);
            }
        }
    }
}

/// Orders a certificate and checks that it is still valid and covers all domains in the settings.
fn order(settings: &Acme, store: &Store, client: &client::Client) -> Result<Certificate, AcmeError> {
    let certificate = Certificate::parse(&client.order(settings, store)?)?;
    if certificate.not_after <= SystemTime::now() {
        return Err(AcmeError::Expired);
    }
    if let Some(domain) = missing_domain(&certificate, &settings.domains) {
        let reason = format!("{domain} is not among its names: {}", certificate.names.join(" "));
        return Err(AcmeError::InvalidCertificate { what: "the certificate lacks a domain", reason });
    }
    Ok(certificate)
}

/// Stores the certificate in use and returns whether that succeeded. A certificate that cannot be stored has been
/// issued all the same, so it stays in use and is not ordered again.
fn try_to_store(store: &Store, certificate: &Certificate, shared: &SharedCertificate) -> bool {
    let stored = store.store_certificate(&certificate.pem).map_err(AcmeError::Storage);
    let mut status = shared.lock();
    match &stored {
        Ok(()) if status.failures == 0 => status.last_error = None,
        Ok(()) => {}
        Err(error) => {
            warn!("cannot store the certificate in use: {}", error_text::single_line(error));
            status.last_error = Some(error.to_string());
        }
    }
    stored.is_ok()
}

/// The first of the domains that the certificate does not cover.
fn missing_domain<'a>(certificate: &Certificate, domains: &'a [String]) -> Option<&'a String> {
    // Host names are compared without regard to case.
    domains.iter().find(|domain| !certificate.names.iter().any(|name| name.eq_ignore_ascii_case(domain)))
}

/// When a certificate is to be renewed: at once if it does not cover all domains.
fn renewal_time(certificate: &Certificate, domains: &[String]) -> SystemTime {
    if missing_domain(certificate, domains).is_some() {
        return SystemTime::UNIX_EPOCH;
    }
    let lifetime = certificate.not_after.duration_since(certificate.not_before).unwrap_or_default();
    certificate.not_after - lifetime / RENEWAL_DIVISOR
}

/// When the certificate in use is to be renewed: at a time of the wall clock, or once the duration until then has
/// passed on the monotonic clock, whichever is first. The second covers a wall clock that is set back in the meantime.
struct RenewalTime {
    at: SystemTime,
    computed_at: Instant,
    delay: Duration,
}

impl RenewalTime {
    fn of(certificate: &Certificate, domains: &[String]) -> Self {
        let at = renewal_time(certificate, domains);
        Self { at, computed_at: Instant::now(), delay: time_until(at) }
    }

    fn remaining(&self) -> Duration {
        time_until(self.at).min(self.delay.saturating_sub(self.computed_at.elapsed()))
    }
}

/// The duration from now to a time of the wall clock; zero if that has passed.
fn time_until(at: SystemTime) -> Duration {
    at.duration_since(SystemTime::now()).unwrap_or_default()
}

/// The wait after a number of consecutive failures: it doubles with each failure, up to [`MAX_BACKOFF`].
fn backoff(first: Duration, failures: u32) -> Duration {
    let doubled = first.saturating_mul(1 << failures.saturating_sub(1).min(20));
    doubled.min(MAX_BACKOFF.max(first))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_backoff_doubles_up_to_its_limit() {
        let first = Duration::from_secs(60);
        let waits: Vec<_> = [1, 2, 3, 30, u32::MAX].map(|n| backoff(first, n).as_secs()).to_vec();
        assert_eq!(waits, [60, 120, 240, 21_600, 21_600]);
    }

    #[test]
    fn a_certificate_is_renewed_with_a_third_of_its_lifetime_left_or_at_once_for_other_domains() {
        let at = |s| SystemTime::UNIX_EPOCH + Duration::from_secs(s);
        let domains = vec!["a.example".to_string()];
        let certificate =
            Certificate { names: domains.clone(), not_before: at(0), not_after: at(900), pem: String::new() };
        assert_eq!(renewal_time(&certificate, &domains), at(600));
        assert_eq!(renewal_time(&certificate, &["b.example".to_string()]), at(0));
    }
}
