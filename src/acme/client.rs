//! Orders a certificate from an ACME authority.
//!
//! [`Client::order`] performs a whole order: it registers or finds the account, creates the order, answers the
//! challenges, sends the signing request and downloads the certificate chain.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::debug;
use ureq::tls::{parse_pem, PemItem, RootCerts, TlsConfig};

use super::challenge::Responder;
use super::error::AcmeError;
use super::jws::{encode, quote, AccountKey};
use super::store::Store;
use super::wire::{parse_retry_after, Directory, Object};
use crate::settings::Acme;

/// Timeout of one HTTP exchange with the authority.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// An order that is not complete within this time has failed.
const ORDER_TIMEOUT: Duration = Duration::from_secs(120);
/// The first and the longest wait between two polls of the same resource. The wait doubles with each poll; the authority
/// may name another one, up to the longest.
const POLL_WAITS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));
/// How often one request is sent at most while its nonce is rejected.
const MAX_NONCE_TRIES: u32 = 5;
/// The longest body of an answer that is read.
const MAX_BODY_LEN: u64 = 256 << 10;

/// An HTTP answer of the authority.
struct Answer {
    status: u16,
    location: Option<String>,
    nonce: Option<String>,
    retry_after: Option<Duration>,
    body: String,
}

impl Answer {
    fn json(&self) -> Result<Object, AcmeError> {
        Object::parse(&self.body)
    }
}

/// An HTTP client for the authority.
pub(super) struct Client {
    agent: ureq::Agent,
}

/// The signed requests of one order.
struct Session<'a> {
    client: &'a Client,
    key: AccountKey,
    /// The account's URL, which identifies the key once the account is known.
    kid: Option<String>,
    /// Where a nonce is requested.
    new_nonce: String,
    /// The unused nonce of the last answer.
    nonce: Option<String>,
    deadline: Instant,
}

impl Client {
    pub(super) fn new(settings: &Acme) -> Result<Self, AcmeError> {
        let mut tls = TlsConfig::builder();
        if let Some(path) = &settings.roots {
            let pem =
                std::fs::read(path).map_err(|source| AcmeError::Roots { path: path.clone(), source })?;
            let mut roots = Vec::new();
            for item in parse_pem(&pem) {
                let item = item.map_err(|e| AcmeError::InvalidRoots { reason: e.to_string() })?;
                if let PemItem::Certificate(root) = item {
                    roots.push(root);
                }
            }
            tls = tls.root_certs(RootCerts::Specific(Arc::new(roots)));
        }
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(EXCHANGE_TIMEOUT))
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .user_agent(concat!("hopwalk/", env!("CARGO_PKG_VERSION")))
            .tls_config(tls.build());
        Ok(Self { agent: config.build().new_agent() })
    }

    /// Orders a certificate for the domains in the settings and returns its private key and chain in PEM.
    pub(super) fn order(&self, settings: &Acme, store: &Store) -> Result<String, AcmeError> {
        let key = AccountKey::from_pkcs8(&store.load_or_store_account_key(AccountKey::generate)?)?;
        let directory = Directory::from_object(&self.get(&settings.directory)?.json()?)?;
        let deadline = Instant::now() + ORDER_TIMEOUT;
        let new_nonce = directory.new_nonce;
        let mut session = Session { client: self, key, kid: None, new_nonce, nonce: None, deadline };

        let contact =
            settings.contact.as_ref().map_or(String::new(), |c| format!(r#""contact":[{}],"#, quote(c)));
        let account = format!(r#"{{{contact}"termsOfServiceAgreed":true}}"#);
        let account = session.post(&directory.new_account, &account)?;
        session.kid = Some(account.location.ok_or(AcmeError::MissingLocation { what: "account" })?);

        let names: Vec<_> =
            settings.domains.iter().map(|d| format!(r#"{{"type":"dns","value":{}}}"#, quote(d))).collect();
        let order = format!(r#"{{"identifiers":[{}]}}"#, names.join(","));
        let order = session.post(&directory.new_order, &order)?;
        let order_url = order.location.clone().ok_or(AcmeError::MissingLocation { what: "order" })?;
        let order = order.json()?;

        let address = settings.challenge_listen;
        let responder = Responder::start(address);
        let responder = responder.map_err(|source| AcmeError::Listen { address, source })?;
        for url in order.urls("authorizations")? {
            session.authorize(&url, &responder)?;
        }
        drop(responder);

        let signing_error =
            |what| move |e: rcgen::Error| AcmeError::SigningRequest { what, reason: e.to_string() };
        let key_pair = rcgen::KeyPair::generate().map_err(signing_error("cannot generate a private key"))?;
        let params = rcgen::CertificateParams::new(settings.domains.clone())
            .map_err(signing_error("cannot request these domains"))?;
        let csr = params
            .serialize_request(&key_pair)
            .map_err(signing_error("cannot create the signing request"))?;
        // An order may not be ready for the signing request at once after its last authorization.
        session.poll(&order_url, |status| matches!(status, "ready" | "valid"))?;
        session.post(order.text("finalize")?, &format!(r#"{{"csr":"{}"}}"#, encode(csr.der())))?;
        let order = session.poll(&order_url, |status| status == "valid")?;
        let chain = session.post(order.text("certificate")?, "")?;
        Ok(key_pair.serialize_pem() + &chain.body)
    }

    fn get(&self, url: &str) -> Result<Answer, AcmeError> {
        let answer = read_answer(self.agent.get(url).call(), url)?;
        match answer.status {
            200..=299 => Ok(answer),
            status => Err(AcmeError::Refused { url: url.into(), status, problem: String::new() }),
        }
    }
}

fn read_answer(
    response: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    url: &str,
) -> Result<Answer, AcmeError> {
    let unreachable = |e: ureq::Error| AcmeError::Unreachable { url: url.into(), reason: e.to_string() };
    let mut response = response.map_err(unreachable)?;
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|v| v.to_str().ok());
        value.map(str::to_string)
    };
    let (location, nonce) = (header("location"), header("replay-nonce"));
    let retry_after = header("retry-after").and_then(|s| parse_retry_after(&s));
    let body = response.body_mut().with_config().limit(MAX_BODY_LEN).read_to_string();
    let body = body.map_err(unreachable)?;
    Ok(Answer { status: response.status().as_u16(), location, nonce, retry_after, body })
}

impl Session<'_> {
    /// The nonce of the last answer, or else a requested one.
    fn take_nonce(&mut self) -> Result<String, AcmeError> {
        if let Some(nonce) = self.nonce.take() {
            return Ok(nonce);
        }
        let answer = read_answer(self.client.agent.head(&self.new_nonce).call(), &self.new_nonce)?;
        answer.nonce.ok_or(AcmeError::MissingNonce)
    }

    /// Sends a signed request. If its nonce is rejected, sends it again with the nonce of that answer.
    fn post(&mut self, url: &str, payload: &str) -> Result<Answer, AcmeError> {
        for _ in 0..MAX_NONCE_TRIES {
            self.check_deadline()?;
            let nonce = self.take_nonce()?;
            let identity = match &self.kid {
                Some(kid) => format!(r#""kid":{}"#, quote(kid)),
                None => format!(r#""jwk":{}"#, self.key.jwk()),
            };
            let body = self.key.sign(&identity, &nonce, url, payload)?;
            let request = self.client.agent.post(url).header("content-type", "application/jose+json");
            let answer = read_answer(request.send(body), url)?;
            self.nonce = answer.nonce.clone();
            if (200..300).contains(&answer.status) {
                return Ok(answer);
            }
            let problem = answer.json().map_or_else(|_| String::new(), |json| json.problem());
            if !problem.starts_with("urn:ietf:params:acme:error:badNonce") {
                return Err(AcmeError::Refused { url: url.into(), status: answer.status, problem });
            }
            debug!("the authority rejected a nonce; trying again with another one");
        }
        Err(AcmeError::NonceRejected { url: url.into() })
    }

    fn check_deadline(&self) -> Result<(), AcmeError> {
        match Instant::now() < self.deadline {
            true => Ok(()),
            false => Err(AcmeError::OrderTimedOut),
        }
    }

    /// Requests a resource until `is_done` accepts its status. A status from which it cannot get there, such as
    /// `invalid`, is an error.
    fn poll(&mut self, url: &str, is_done: impl Fn(&str) -> bool) -> Result<Object, AcmeError> {
        let mut wait = POLL_WAITS.0;
        loop {
            let answer = self.post(url, "")?;
            let json = answer.json()?;
            let status = json.text("status")?;
            if is_done(status) {
                return Ok(json);
            }
            if !matches!(status, "pending" | "processing" | "ready") {
                return Err(json.failure(status));
            }
            std::thread::sleep(answer.retry_after.unwrap_or(wait).min(POLL_WAITS.1));
            wait = (wait * 2).min(POLL_WAITS.1);
        }
    }

    /// Answers the http-01 challenge of an authorization and waits until the authorization is valid.
    fn authorize(&mut self, url: &str, responder: &Responder) -> Result<(), AcmeError> {
        let authorization = self.post(url, "")?.json()?;
        if authorization.text("status")? == "valid" {
            return Ok(());
        }
        let challenge = authorization.http_challenge()?;
        responder.add(&challenge.token, self.key.key_authorization(&challenge.token));
        self.post(&challenge.url, "{}")?;
        self.poll(url, |status| status == "valid").map(drop)
    }
}
