//! A simulated ACME authority (RFC 8555): it checks nonces, URLs and signatures, fetches http-01 challenges, and
//! issues the certificates that are requested.

use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime};

use base64::engine::general_purpose::URL_SAFE_NO_PAD as BASE64URL;
use base64::Engine;
use ring::digest::{digest, SHA256};
use ring::signature::{UnparsedPublicKey, ECDSA_P256_SHA256_FIXED};
use tinyjson::JsonValue;

type Json = HashMap<String, JsonValue>;

/// How the authority departs from the protocol, and the lifetime of its certificates.
#[derive(Default)]
pub struct Behaviour {
    /// Number of valid nonces that are still to be rejected.
    pub bad_nonces: u32,
    /// Challenges fail whatever response is fetched.
    pub fail_challenges: bool,
    /// Certificates are for another key than the requested one, as if they were of an earlier order.
    pub other_key: bool,
    /// Certificates are for this name instead of the requested one.
    pub other_name: Option<&'static str>,
    pub lifetime: Duration,
}

#[derive(Default)]
struct State {
    nonces: HashSet<String>,
    next: u64,
    key: Option<Json>,
    names: Vec<String>,
    authorized: Option<bool>,
    issued: Option<String>,
    orders: u64,
}

pub struct Authority {
    pub address: SocketAddr,
    pub behaviour: Arc<Mutex<Behaviour>>,
    /// Its root certificate.
    pub root: Vec<u8>,
    state: Arc<Mutex<State>>,
}

struct Reply(u16, Vec<(&'static str, String)>, String);

fn string_field(json: &Json, key: &str) -> String {
    json.get(key).and_then(|v| v.get::<String>()).cloned().unwrap_or_default()
}

fn parse_object(bytes: &[u8]) -> Json {
    let json: JsonValue = std::str::from_utf8(bytes).unwrap().parse().unwrap();
    json.get::<Json>().unwrap().clone()
}

fn problem(kind: &str, detail: &str) -> Reply {
    Reply(400, vec![], format!(r#"{{"type":"urn:ietf:params:acme:error:{kind}","detail":"{detail}"}}"#))
}

impl Authority {
    /// Fetches challenges from `challenges` instead of port 80 of the name.
    pub fn start(challenges: SocketAddr, behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let key = rcgen::KeyPair::generate().unwrap();
        let mut params = rcgen::CertificateParams::new(vec![]).unwrap();
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        let root = params.self_signed(&key).unwrap();
        let authority = Self {
            address,
            behaviour: Arc::new(Mutex::new(behaviour)),
            root: root.der().to_vec(),
            state: Arc::default(),
        };
        let (behaviour, state) = (authority.behaviour.clone(), authority.state.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let issue = |csr: &[u8], behaviour: &Behaviour| issue(csr, behaviour, &root, &key);
                serve(stream, address, challenges, &behaviour, &state, issue);
            }
        });
        authority
    }

    pub fn orders(&self) -> u64 {
        self.state.lock().unwrap().orders
    }
}

fn issue(csr: &[u8], behaviour: &Behaviour, root: &rcgen::Certificate, key: &rcgen::KeyPair) -> String {
    let mut csr = rcgen::CertificateSigningRequestParams::from_der(&csr.to_vec().into()).unwrap();
    if let Some(name) = behaviour.other_name {
        csr.params.subject_alt_names = vec![rcgen::SanType::DnsName(name.try_into().unwrap())];
    }
    csr.params.not_before = SystemTime::now().into();
    csr.params.not_after = (SystemTime::now() + behaviour.lifetime).into();
    csr.signed_by(root, key).unwrap().pem() + &root.pem()
}

/// A certificate signing request for a new key that is then discarded.
fn csr_for_unknown_key(names: &[String]) -> Vec<u8> {
    let params = rcgen::CertificateParams::new(names.to_vec()).unwrap();
    let key = rcgen::KeyPair::generate().unwrap();
    params.serialize_request(&key).unwrap().der().to_vec()
}

fn serve(
    stream: TcpStream,
    address: SocketAddr,
    challenges: SocketAddr,
    behaviour: &Mutex<Behaviour>,
    state: &Mutex<State>,
    issue: impl Fn(&[u8], &Behaviour) -> String,
) {
    let (mut reader, mut writer) = (BufReader::new(stream.try_clone().unwrap()), stream);
    let (mut head, mut len) = (String::new(), 0);
    while !head.ends_with("\r\n\r\n") {
        let line_start = head.len();
        if reader.read_line(&mut head).unwrap_or(0) == 0 {
            return;
        }
        if let Some(value) = head[line_start..].to_lowercase().strip_prefix("content-length:") {
            len = value.trim().parse().unwrap();
        }
    }
    let is_post = head.starts_with("POST ");
    let jose_headers = head.to_lowercase().matches("\r\ncontent-type: application/jose+json\r\n").count();
    assert_eq!(jose_headers, usize::from(is_post), "{head}");
    let mut body = vec![0; len];
    reader.read_exact(&mut body).unwrap();
    let path = head.split(' ').nth(1).unwrap().to_string();
    let base = format!("http://{address}");
    let (mut behaviour, mut state) = (behaviour.lock().unwrap(), state.lock().unwrap());
    let Reply(status, fields, response_body) = match path.as_str() {
        "/directory" => Reply(
            200,
            vec![],
            format!(
                r#"{{"newNonce":"{base}/nonce","newAccount":"{base}/account","newOrder":"{base}/new","meta":{{}}}}"#
            ),
        ),
        "/nonce" => Reply(200, vec![], String::new()),
        _ => match verify_request(&body, &format!("{base}{path}"), &mut behaviour, &mut state) {
            Ok(payload) => answer(&path, &base, &payload, challenges, &behaviour, &mut state, issue),
            Err(reply) => reply,
        },
    };
    state.next += 1;
    let nonce = format!("nonce{}", state.next);
    state.nonces.insert(nonce.clone());
    let fields: String = fields.into_iter().map(|(n, v)| format!("{n}: {v}\r\n")).collect();
    let head = format!("HTTP/1.1 {status} X\r\nReplay-Nonce: {nonce}\r\nConnection: close\r\n{fields}");
    let _ = writer.write_all(
        format!("{head}Content-Length: {}\r\n\r\n{response_body}", response_body.len()).as_bytes(),
    );
}

/// Verifies a signed request and returns its payload.
fn verify_request(
    body: &[u8],
    url: &str,
    behaviour: &mut Behaviour,
    state: &mut State,
) -> Result<Vec<u8>, Reply> {
    let jws = parse_object(body);
    let part = |key: &str| BASE64URL.decode(string_field(&jws, key)).unwrap();
    let head = parse_object(&part("protected"));
    if !state.nonces.remove(&string_field(&head, "nonce")) {
        return Err(problem("badNonce", "never given"));
    }
    if behaviour.bad_nonces > 0 {
        behaviour.bad_nonces -= 1;
        return Err(problem("badNonce", "not this one"));
    }
    assert_eq!((string_field(&head, "alg").as_str(), string_field(&head, "url").as_str()), ("ES256", url));
    let key = match head.get("jwk").and_then(|k| k.get::<Json>()) {
        Some(key) => key.clone(),
        None => {
            assert!(string_field(&head, "kid").ends_with("/account/1"), "no known account");
            state.key.clone().expect("an account")
        }
    };
    let coordinate = |name: &str| BASE64URL.decode(string_field(&key, name)).unwrap();
    let point = [vec![4], coordinate("x"), coordinate("y")].concat();
    let signed = format!("{}.{}", string_field(&jws, "protected"), string_field(&jws, "payload"));
    let verified =
        UnparsedPublicKey::new(&ECDSA_P256_SHA256_FIXED, point).verify(signed.as_bytes(), &part("signature"));
    verified.map_err(|_| problem("malformed", "the signature is wrong"))?;
    state.key = Some(key);
    Ok(part("payload"))
}

fn answer(
    path: &str,
    base: &str,
    payload: &[u8],
    challenges: SocketAddr,
    behaviour: &Behaviour,
    state: &mut State,
    issue: impl Fn(&[u8], &Behaviour) -> String,
) -> Reply {
    let order = |state: &State| {
        let status = match (&state.issued, state.authorized) {
            (Some(_), _) => "valid",
            (None, Some(true)) => "ready",
            (None, Some(false)) => "invalid",
            (None, None) => "pending",
        };
        format!(
            r#"{{"status":"{status}","authorizations":["{base}/authz"],"finalize":"{base}/finalize","certificate":"{base}/cert"}}"#
        )
    };
    match path {
        "/account" => {
            assert!(parse_object(payload)["termsOfServiceAgreed"].get::<bool>().unwrap());
            Reply(201, vec![("Location", format!("{base}/account/1"))], "{}".to_string())
        }
        "/new" => {
            let names = parse_object(payload)["identifiers"].get::<Vec<JsonValue>>().unwrap().clone();
            state.names = names.iter().map(|n| string_field(n.get::<Json>().unwrap(), "value")).collect();
            (state.authorized, state.issued) = (None, None);
            state.orders += 1;
            Reply(201, vec![("Location", format!("{base}/order"))], order(state))
        }
        "/order" => Reply(200, vec![], order(state)),
        "/authz" => {
            let (status, error) = match state.authorized {
                None => ("pending", ""),
                Some(true) => ("valid", ""),
                Some(false) => (
                    "invalid",
                    r#","error":{"type":"urn:ietf:params:acme:error:unauthorized","detail":"not found"}"#,
                ),
            };
            let http = format!(r#"{{"type":"http-01","url":"{base}/challenge","token":"tok-1"{error}}}"#);
            let dns = r#"{"type":"dns-01","url":"x","token":"y"}"#;
            Reply(200, vec![], format!(r#"{{"status":"{status}","challenges":[{dns},{http}]}}"#))
        }
        "/challenge" => {
            let key = state.key.as_ref().unwrap();
            let jwk = format!(
                r#"{{"crv":"P-256","kty":"EC","x":"{}","y":"{}"}}"#,
                string_field(key, "x"),
                string_field(key, "y")
            );
            let expected = format!("tok-1.{}", BASE64URL.encode(digest(&SHA256, jwk.as_bytes())));
            let found = fetch(challenges, &state.names[0], "/.well-known/acme-challenge/tok-1");
            state.authorized = Some(found == expected && !behaviour.fail_challenges);
            Reply(200, vec![], r#"{"status":"processing"}"#.to_string())
        }
        "/finalize" => {
            let requested = BASE64URL.decode(string_field(&parse_object(payload), "csr")).unwrap();
            let csr = if behaviour.other_key { csr_for_unknown_key(&state.names) } else { requested };
            state.issued = Some(issue(&csr, behaviour));
            Reply(200, vec![], order(state))
        }
        "/cert" => Reply(200, vec![], state.issued.clone().unwrap()),
        _ => Reply(404, vec![], "{}".to_string()),
    }
}

fn fetch(address: SocketAddr, host: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    answer.split_once("\r\n\r\n").unwrap().1.to_string()
}
