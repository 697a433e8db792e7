//! Certificates by ACME (RFC 8555, http-01): ordered, kept in private storage, renewed before they expire.
//!
//! All of it runs in one thread of its own. An authority that fails costs a later attempt and nothing else:
//! the certificate at hand stays in use.

mod challenge;
mod client;
mod error;
mod jws;
mod store;
pub mod wire;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use tracing::{info, warn};

use crate::settings::Acme;
use crate::told;
pub use error::AcmeError;
pub use store::{Certificate, Store};

/// A certificate is renewed when this part of its life is left.
const RENEW_PART: u32 = 3;
/// The longest wait between two attempts.
const MOST_BACKOFF: Duration = Duration::from_secs(6 * 3600);
/// The time until the next look at the clock, which may have been set meanwhile. Certificates may live for hours only.
const LOOK: Duration = Duration::from_secs(5);

/// What is known about the certificate.
#[derive(Clone, Debug, Default)]
pub struct CertificateStatus {
    /// The one in use.
    pub certificate: Option<Arc<Certificate>>,
    /// Orders that went well since the start.
    pub orders: u64,
    /// Attempts that failed since the last one that went well, and why the last of them did.
    pub failures: u32,
    /// Why the last attempt failed.
    pub last_error: Option<String>,
}

/// The state, shared with what uses it.
#[derive(Clone, Default)]
pub struct SharedCertificate(Arc<Mutex<CertificateStatus>>);

impl SharedCertificate {
    fn lock(&self) -> MutexGuard<'_, CertificateStatus> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The state as it is.
    pub fn get(&self) -> CertificateStatus {
        self.lock().clone()
    }

    /// Lines for the console.
    pub fn describe(&self) -> Vec<(String, String)> {
        let state = self.get();
        let line = |name: &str, value: String| (name.to_string(), value);
        let mut lines = match &state.certificate {
            None => vec![line("certificate", "none".to_string())],
            Some(certificate) => {
                let left = certificate.not_after.duration_since(SystemTime::now()).unwrap_or_default();
                let name = if left.is_zero() { "expired" } else { "valid" };
                vec![
                    line("certificate", name.to_string()),
                    line("names", certificate.names.join(" ")),
                    line("hours_left", (left.as_secs() / 3600).to_string()),
                ]
            }
        };
        lines.push(line("orders", state.orders.to_string()));
        lines.push(line("failures", state.failures.to_string()));
        lines.extend(state.last_error.map(|e| line("last_error", e)));
        lines
    }
}

/// Loads what is stored, and keeps the certificate fresh from then on.
///
/// # Errors
/// [`AcmeError`] where the storage, the roots or a thread cannot be had. A failed order is tried again.
pub fn start(settings: Acme, shared: SharedCertificate) -> Result<(), AcmeError> {
    let open = |source| AcmeError::OpenStore { path: settings.store.clone(), source };
    let store = Store::open(&settings.store).map_err(open)?;
    match store.certificate() {
        Ok(certificate) => shared.lock().certificate = certificate.map(Arc::new),
        // What cannot be read is ordered anew.
        Err(e) => warn!("the stored certificate cannot be used: {}", told::in_a_line(&e)),
    }
    let client = client::Client::new(&settings)?;
    std::thread::Builder::new()
        .name("acme".to_string())
        .spawn(move || keep_fresh(&settings, &store, &client, &shared))
        .map_err(AcmeError::Thread)?;
    Ok(())
}

fn keep_fresh(settings: &Acme, store: &Store, client: &client::Client, shared: &SharedCertificate) {
    // The one in use, until it is stored.
    let mut unstored: Option<Arc<Certificate>> = None;
    let mut due = shared.get().certificate.map(|certificate| Due::of(&certificate, &settings.domains));
    loop {
        unstored = unstored.filter(|certificate| !is_kept(store, certificate, shared));
        let wait = due.as_ref().map_or(Duration::ZERO, Due::wait);
        if !wait.is_zero() {
            let look = if unstored.is_some() { settings.retry } else { LOOK };
            std::thread::sleep(wait.min(look));
            continue;
        }
        match order(settings, store, client) {
            Ok(certificate) => {
                info!("a new certificate for {}", certificate.names.join(" "));
                let renewal = Due::of(&certificate, &settings.domains);
                let soon = renewal.wait().is_zero();
                due = Some(renewal);
                let certificate = Arc::new(certificate);
                unstored = Some(certificate.clone());
                let mut state = shared.lock();
                state.certificate = Some(certificate);
                state.orders += 1;
                (state.failures, state.last_error) = (0, None);
                drop(state);
                // An authority whose certificates are due at once is not asked in a tight loop.
                if soon {
                    std::thread::sleep(settings.retry);
                }
            }
            Err(error) => {
                warn!("no new certificate: {}", told::in_a_line(&error));
                let mut state = shared.lock();
                state.failures = state.failures.saturating_add(1);
                state.last_error = Some(error.to_string());
                let wait = backoff(settings.retry, state.failures);
                drop(state);
                std::thread::sleep(wait);
            }
        }
    }
}

/// A new certificate, if it is one that was ordered.
fn order(settings: &Acme, store: &Store, client: &client::Client) -> Result<Certificate, AcmeError> {
    let certificate = Certificate::parse(&client.order(settings, store)?)?;
    if certificate.not_after <= SystemTime::now() {
        return Err(AcmeError::Expired);
    }
    if let Some(domain) = lacking(&certificate, &settings.domains) {
        let reason = format!("{domain} is not one of them: {}", certificate.names.join(" "));
        return Err(AcmeError::InvalidCertificate { what: "the names of the certificate", reason });
    }
    Ok(certificate)
}

/// Stores the certificate in use. One that cannot be stored was issued all the same, and is not to be ordered again.
fn is_kept(store: &Store, certificate: &Certificate, shared: &SharedCertificate) -> bool {
    let kept = store.store_certificate(&certificate.pem).map_err(AcmeError::Storage);
    let mut state = shared.lock();
    match &kept {
        Ok(()) if state.failures == 0 => state.last_error = None,
        Ok(()) => {}
        Err(error) => {
            warn!("the certificate in use is not stored: {}", told::in_a_line(error));
            state.last_error = Some(error.to_string());
        }
    }
    kept.is_ok()
}

/// A name that is wanted, and that the certificate is not for.
fn lacking<'a>(certificate: &Certificate, domains: &'a [String]) -> Option<&'a String> {
    // Names of hosts are the same in capitals.
    domains.iter().find(|domain| !certificate.names.iter().any(|name| name.eq_ignore_ascii_case(domain)))
}

/// When a certificate is to be renewed; at once if it is for other names than are wanted.
fn renew_at(certificate: &Certificate, domains: &[String]) -> SystemTime {
    if lacking(certificate, domains).is_some() {
        return SystemTime::UNIX_EPOCH;
    }
    let life = certificate.not_after.duration_since(certificate.not_before).unwrap_or_default();
    certificate.not_after - life / RENEW_PART
}

/// When the certificate in use is to be renewed: at a moment of the wall clock, or once the span until then has really
/// passed, where the clock is set back meanwhile. The first of the two counts.
struct Due {
    at: SystemTime,
    since: Instant,
    span: Duration,
}

impl Due {
    fn of(certificate: &Certificate, domains: &[String]) -> Self {
        let at = renew_at(certificate, domains);
        Self { at, since: Instant::now(), span: until(at) }
    }

    fn wait(&self) -> Duration {
        until(self.at).min(self.span.saturating_sub(self.since.elapsed()))
    }
}

/// From now to a moment of the wall clock; zero if that is past.
fn until(at: SystemTime) -> Duration {
    at.duration_since(SystemTime::now()).unwrap_or_default()
}

/// The wait after so many failures in a row: doubled each time, up to a limit.
fn backoff(first: Duration, failures: u32) -> Duration {
    let doubled = first.saturating_mul(1 << failures.saturating_sub(1).min(20));
    doubled.min(MOST_BACKOFF.max(first))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_wait_doubles_up_to_its_limit() {
        let first = Duration::from_secs(60);
        let waits: Vec<_> = [1, 2, 3, 30, u32::MAX].map(|n| backoff(first, n).as_secs()).to_vec();
        assert_eq!(waits, [60, 120, 240, 21_600, 21_600]);
    }

    #[test]
    fn a_certificate_is_renewed_with_a_third_of_its_life_left_or_for_other_names() {
        let at = |s| SystemTime::UNIX_EPOCH + Duration::from_secs(s);
        let names = vec!["a.example".to_string()];
        let certificate =
            Certificate { names: names.clone(), not_before: at(0), not_after: at(900), pem: String::new() };
        assert_eq!(renew_at(&certificate, &names), at(600));
        assert_eq!(renew_at(&certificate, &["b.example".to_string()]), at(0));
    }
}
