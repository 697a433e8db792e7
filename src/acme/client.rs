//! One order at an ACME authority, from the account to the certificate.

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

/// One exchange with the authority takes no longer.
const EXCHANGE_PATIENCE: Duration = Duration::from_secs(20);
/// An order that the authority does not end in this time has failed.
const ORDER_PATIENCE: Duration = Duration::from_secs(120);
/// Waits between two looks at the same resource, unless the authority names one.
const POLL: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));
/// Tries of one request whose nonce is not accepted.
const NONCE_TRIES: u32 = 5;
/// The longest answer of an authority.
const MOST_BODY: u64 = 256 << 10;

/// An answer of the authority.
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

/// A client of one authority.
pub(super) struct Client {
    agent: ureq::Agent,
}

/// An account at work on an order.
struct Session<'a> {
    client: &'a Client,
    key: AccountKey,
    kid: Option<String>,
    new_nonce: String,
    nonce: Option<String>,
    until: Instant,
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
            .timeout_global(Some(EXCHANGE_PATIENCE))
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .user_agent(concat!("hopwalk/", env!("CARGO_PKG_VERSION")))
            .tls_config(tls.build());
        Ok(Self { agent: config.build().new_agent() })
    }

    /// Orders a certificate; returns its key and chain in PEM.
    pub(super) fn order(&self, settings: &Acme, store: &Store) -> Result<String, AcmeError> {
        let key = AccountKey::from_pkcs8(&store.account(AccountKey::generate)?)?;
        let directory = Directory::from_object(&self.get(&settings.directory)?.json()?)?;
        let until = Instant::now() + ORDER_PATIENCE;
        let new_nonce = directory.new_nonce;
        let mut session = Session { client: self, key, kid: None, new_nonce, nonce: None, until };

        let contact =
            settings.contact.as_ref().map_or(String::new(), |c| format!(r#""contact":[{}],"#, quote(c)));
        let account = format!(r#"{{{contact}"termsOfServiceAgreed":true}}"#);
        let account = session.post(&directory.new_account, &account)?;
        session.kid = Some(account.location.ok_or(AcmeError::MissingLocation { what: "account" })?);

        let names: Vec<_> =
            settings.domains.iter().map(|d| format!(r#"{{"type":"dns","value":{}}}"#, quote(d))).collect();
        let order = format!(r#"{{"identifiers":[{}]}}"#, names.join(","));
        let order = session.post(&directory.new_order, &order)?;
        let at = order.location.clone().ok_or(AcmeError::MissingLocation { what: "order" })?;
        let order = order.json()?;

        let address = settings.challenge_listen;
        let responder = Responder::start(address);
        let responder = responder.map_err(|source| AcmeError::Listen { address, source })?;
        for url in order.urls("authorizations")? {
            session.authorize(&url, &responder)?;
        }
        drop(responder);

        let wrong = |what| move |e: rcgen::Error| AcmeError::SigningRequest { what, reason: e.to_string() };
        let pair = rcgen::KeyPair::generate().map_err(wrong("a key"))?;
        let params = rcgen::CertificateParams::new(settings.domains.clone()).map_err(wrong("names"))?;
        let csr = params.serialize_request(&pair).map_err(wrong("a signing request"))?;
        // An order may need a moment between its last authorization and the request to sign.
        session.poll(&at, |status| matches!(status, "ready" | "valid"))?;
        session.post(order.text("finalize")?, &format!(r#"{{"csr":"{}"}}"#, encode(csr.der())))?;
        let order = session.poll(&at, |status| status == "valid")?;
        let chain = session.post(order.text("certificate")?, "")?;
        Ok(pair.serialize_pem() + &chain.body)
    }

    fn get(&self, url: &str) -> Result<Answer, AcmeError> {
        let answer = read(self.agent.get(url).call(), url)?;
        match answer.status {
            200..=299 => Ok(answer),
            status => Err(AcmeError::Refused { url: url.into(), status, problem: String::new() }),
        }
    }
}

fn read(
    response: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    url: &str,
) -> Result<Answer, AcmeError> {
    let unreachable = |e: ureq::Error| AcmeError::Unreachable { url: url.into(), reason: e.to_string() };
    let mut response = response.map_err(unreachable)?;
    let field = |name: &str| {
        let value = response.headers().get(name).and_then(|v| v.to_str().ok());
        value.map(str::to_string)
    };
    let (location, nonce) = (field("location"), field("replay-nonce"));
    let retry_after = field("retry-after").and_then(|s| parse_retry_after(&s));
    let body = response.body_mut().with_config().limit(MOST_BODY).read_to_string();
    let body = body.map_err(unreachable)?;
    Ok(Answer { status: response.status().as_u16(), location, nonce, retry_after, body })
}

impl Session<'_> {
    fn fresh_nonce(&mut self) -> Result<String, AcmeError> {
        if let Some(nonce) = self.nonce.take() {
            return Ok(nonce);
        }
        let answer = read(self.client.agent.head(&self.new_nonce).call(), &self.new_nonce)?;
        answer.nonce.ok_or(AcmeError::MissingNonce)
    }

    /// A signed request. A nonce that is not accepted costs another try with the one that came back.
    fn post(&mut self, url: &str, payload: &str) -> Result<Answer, AcmeError> {
        for _ in 0..NONCE_TRIES {
            self.in_time()?;
            let nonce = self.fresh_nonce()?;
            let identity = match &self.kid {
                Some(kid) => format!(r#""kid":{}"#, quote(kid)),
                None => format!(r#""jwk":{}"#, self.key.jwk()),
            };
            let body = self.key.sign(&identity, &nonce, url, payload)?;
            let request = self.client.agent.post(url).header("content-type", "application/jose+json");
            let answer = read(request.send(body), url)?;
            self.nonce = answer.nonce.clone();
            if (200..300).contains(&answer.status) {
                return Ok(answer);
            }
            let problem = answer.json().map_or_else(|_| String::new(), |json| json.problem());
            if !problem.starts_with("urn:ietf:params:acme:error:badNonce") {
                return Err(AcmeError::Refused { url: url.into(), status: answer.status, problem });
            }
            debug!("the authority wants another nonce");
        }
        Err(AcmeError::NonceRejected { url: url.into() })
    }

    fn in_time(&self) -> Result<(), AcmeError> {
        match Instant::now() < self.until {
            true => Ok(()),
            false => Err(AcmeError::OrderTimedOut),
        }
    }

    /// Looks at a resource until its status is what is waited for; `invalid` ends the order.
    fn poll(&mut self, url: &str, there: impl Fn(&str) -> bool) -> Result<Object, AcmeError> {
        let mut wait = POLL.0;
        loop {
            let answer = self.post(url, "")?;
            let json = answer.json()?;
            let status = json.text("status")?;
            if there(status) {
                return Ok(json);
            }
            if !matches!(status, "pending" | "processing" | "ready") {
                return Err(json.failure(status));
            }
            std::thread::sleep(answer.retry_after.unwrap_or(wait).min(POLL.1));
            wait = (wait * 2).min(POLL.1);
        }
    }

    fn authorize(&mut self, url: &str, responder: &Responder) -> Result<(), AcmeError> {
        let authorization = self.post(url, "")?.json()?;
        if authorization.text("status")? == "valid" {
            return Ok(());
        }
        let challenge = authorization.http_challenge()?;
        responder.put(&challenge.token, self.key.authorization(&challenge.token));
        self.post(&challenge.url, "{}")?;
        self.poll(url, |status| status == "valid").map(drop)
    }
}
