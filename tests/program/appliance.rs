//! End-to-end tests of the console and of certificates ordered over ACME.

use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hopwalk::acme::Store;
use hopwalk::lab::shim::{Dial, Shim};
use rstest::rstest;

use super::authority::{Authority, Behaviour};
use super::clock::shim;
use super::harness::*;

const LONG_LIFETIME: Duration = Duration::from_secs(90 * 24 * 3600);

/// A program with a console and, if `acme` settings are given, certificates.
struct Appliance {
    program: Program,
    socket: PathBuf,
    _agent: Agent,
    _dir: ScratchDir,
}

impl Appliance {
    fn start(acme: &str) -> Self {
        Self::start_with_shim(acme, None)
    }

    /// Starts the program with a shim that can make system calls fail.
    fn start_with_shim(acme: &str, shim: Option<&'static Shim>) -> Self {
        let agent = Agent::start(2, Duration::from_millis(5), false);
        let dir = ScratchDir::new();
        let socket = dir.path("console.sock");
        let appliance = format!(r#","console":{{"socket":"{}"}}{acme}"#, socket.display());
        let program =
            Program::start(Setup { agent: Some(agent.address), appliance, shim, ..Setup::default() });
        program.wait_for_log("the console listens");
        Self { program, socket, _agent: agent, _dir: dir }
    }

    fn console(&self, command: &str) -> Output {
        let client = Command::new(env!("CARGO_BIN_EXE_hopwalk"))
            .args(["console", "--socket", self.socket.to_str().unwrap(), command])
            .output();
        client.unwrap()
    }

    /// The value that a console command prints under `name`.
    fn console_value(&self, command: &str, name: &str) -> String {
        let out = String::from_utf8(self.console(command).stdout).unwrap();
        let value = out.lines().find_map(|l| l.strip_prefix(&format!("{name}: ")));
        value.unwrap_or_default().to_string()
    }

    fn serves_requests(&self) -> bool {
        exchange(self.program.http, &Request::new("queue-status", b"x").http()).body == b"made:x"
    }
}

fn acme_settings(authority: SocketAddr, challenges: SocketAddr, store: &Path) -> String {
    format!(
        r#","acme":{{"directory":"http://{authority}/directory","domains":["lobby.example"],"contact":"mailto:a@b.example","store":"{}","challenge_listen":"{challenges}","retry_ms":50}}"#,
        store.display()
    )
}

#[test]
fn the_console_shows_values_and_starts_a_drain() {
    let mut appliance = Appliance::start("");
    assert!(appliance.serves_requests());
    assert_eq!(appliance.console_value("status", "healthy"), "yes");
    assert_eq!(appliance.console_value("counters", "served"), "1");
    assert_eq!(appliance.console_value("settings", "name"), "n7");
    assert_eq!(appliance.console_value("settings", "class lobby-confirm"), "worth 10, wanted within 1800 ms");
    assert_eq!(appliance.console_value("certificate", "certificate"), "none");
    assert!(!appliance.console("nonsense").status.success());
    let mode = std::fs::metadata(&appliance.socket).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    assert_eq!(appliance.console_value("drain", "drain"), "begun");
    assert!(appliance.program.wait_for_exit().success());
    appliance.program.wait_for_log("counters at exit: taken_in=1 ");
}

#[test]
fn the_console_waits_between_failed_accepts() {
    // Guards against a loop that retries a failed accept at once and takes up the server's only core.
    let appliance = Appliance::start_with_shim("", Some(shim()));
    let accepts_fail = |rate| appliance.program.faults().set(Dial::Accept, rate).unwrap();
    accepts_fail(1000);
    // This connection wakes the console's thread, which may still wait in an earlier accept.
    drop(UnixStream::connect(&appliance.socket).unwrap());
    let (since, before) = (Instant::now(), appliance.program.processor_ticks());
    wait_for("some time", || since.elapsed() >= Duration::from_millis(500));
    let used = appliance.program.processor_ticks() - before;
    assert!(used < 20, "{used} ticks of 10 ms in {:?}", since.elapsed());
    accepts_fail(0);
    assert_eq!(appliance.console_value("status", "healthy"), "yes");
}

#[test]
fn an_order_survives_a_bad_nonce_and_its_certificate_a_restart() {
    let (challenges, dir) = (gone(), ScratchDir::new());
    let store = dir.path("acme");
    let authority = Authority::start(
        challenges,
        Behaviour { bad_nonces: 2, lifetime: LONG_LIFETIME, ..Behaviour::default() },
    );
    let first = Appliance::start(&acme_settings(authority.address, challenges, &store));
    wait_for("a certificate", || first.console_value("certificate", "certificate") == "valid");
    assert_eq!(first.console_value("certificate", "names"), "lobby.example");
    let mode = |path: &Path| std::fs::metadata(path).unwrap().permissions().mode() & 0o777;
    let stored_files = || {
        let mut files: Vec<_> = std::fs::read_dir(&store).unwrap().map(|f| f.unwrap().path()).collect();
        files.sort();
        files
    };
    // The console reports a certificate as soon as it is in use, shortly before it is stored.
    wait_for("the stored certificate", || {
        let files = stored_files();
        files.contains(&store.join("certificate.pem"))
            && !files.iter().any(|file| file.extension().is_some_and(|extension| extension == "new"))
    });
    let files = stored_files();
    assert_eq!(files, [store.join("account.key"), store.join("certificate.pem")]);
    assert!(mode(&store) == 0o700 && files.iter().all(|f| mode(f) == 0o600));
    drop(first);
    let second = Appliance::start(&acme_settings(authority.address, challenges, &store));
    assert_eq!(second.console_value("certificate", "certificate"), "valid");
    assert_eq!((second.console_value("certificate", "orders").as_str(), authority.orders()), ("0", 1));
}

#[test]
fn a_request_is_served_under_tls_with_the_ordered_certificate() {
    let (challenges, dir, port) = (gone(), ScratchDir::new(), gone());
    let store = dir.path("acme");
    let authority =
        Authority::start(challenges, Behaviour { lifetime: LONG_LIFETIME, ..Behaviour::default() });
    let tls = format!(r#","tls":{{"listen":"{port}"}}"#);
    let appliance = Appliance::start(&(acme_settings(authority.address, challenges, &store) + &tls));
    wait_for("a certificate", || appliance.console_value("certificate", "certificate") == "valid");
    let mut roots = rustls::RootCertStore::empty();
    roots.add(authority.root.clone().into()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider);
    let config = config.with_safe_default_protocol_versions().unwrap();
    let config = config.with_root_certificates(roots).with_no_client_auth();
    let name = "lobby.example".try_into().unwrap();
    let client = rustls::ClientConnection::new(Arc::new(config), name).unwrap();
    let mut stream = rustls::StreamOwned::new(client, connect(port));
    for body in [&b"one"[..], &[7; 2000]] {
        stream.write_all(&Request::new("queue-status", body).http()).unwrap();
        assert_eq!(read_answer(&mut stream).body, [b"made:", body].concat());
    }
}

#[test]
fn a_failed_challenge_is_retried_later() {
    let (challenges, dir) = (gone(), ScratchDir::new());
    let store = dir.path("acme");
    let authority = Authority::start(
        challenges,
        Behaviour { fail_challenges: true, lifetime: LONG_LIFETIME, ..Behaviour::default() },
    );
    let appliance = Appliance::start(&acme_settings(authority.address, challenges, &store));
    wait_for("a failure", || {
        appliance.console_value("certificate", "last_error").contains("unauthorized not found")
    });
    assert!(appliance.serves_requests() && !store.join("certificate.pem").exists());
    authority.behaviour.lock().unwrap().fail_challenges = false;
    wait_for("a certificate", || appliance.console_value("certificate", "certificate") == "valid");
    assert_eq!(appliance.console_value("certificate", "failures"), "0");
}

#[rstest]
#[case::key(Behaviour { other_key: true, lifetime: LONG_LIFETIME, ..Behaviour::default() })]
#[case::name(Behaviour { other_name: Some("bar.example"), lifetime: LONG_LIFETIME, ..Behaviour::default() })]
fn a_certificate_of_another_order_is_rejected(#[case] behaviour: Behaviour) {
    // Guards against a certificate of an earlier order, which no caller can use, in place of one that works.
    let (challenges, dir) = (gone(), ScratchDir::new());
    let store = dir.path("acme");
    let authority = Authority::start(challenges, behaviour);
    let appliance = Appliance::start(&acme_settings(authority.address, challenges, &store));
    wait_for("the end of an order", || {
        ["orders", "failures"].iter().any(|what| appliance.console_value("certificate", what) != "0")
    });
    assert_eq!(appliance.console_value("certificate", "certificate"), "none");
    assert!(!store.join("certificate.pem").exists());
    *authority.behaviour.lock().unwrap() = Behaviour { lifetime: LONG_LIFETIME, ..Behaviour::default() };
    wait_for("a certificate", || appliance.console_value("certificate", "certificate") == "valid");
}

#[test]
fn certificates_stored_by_two_processes_at_once_are_never_mixed() {
    // Guards against a file that mixes two certificates: during an upgrade two processes store theirs at once.
    let (dir, writers) = (ScratchDir::new(), AtomicUsize::new(2));
    let folder = dir.path("acme");
    let pems = ["a".repeat(300_000), "b".repeat(200_000)];
    Store::open(&folder).unwrap().store_certificate(&pems[0]).unwrap();
    std::thread::scope(|scope| {
        for pem in &pems {
            scope.spawn(|| {
                let store = Store::open(&folder).unwrap();
                let stored: Result<Vec<()>, _> = (0..100).map(|_| store.store_certificate(pem)).collect();
                writers.fetch_sub(1, Ordering::Relaxed);
                stored.unwrap();
            });
        }
        while writers.load(Ordering::Relaxed) > 0 {
            let kept = std::fs::read_to_string(folder.join("certificate.pem")).unwrap();
            assert!(pems.contains(&kept), "{} bytes", kept.len());
        }
    });
}

#[test]
fn a_certificate_that_cannot_be_stored_is_used_and_not_ordered_again() {
    // Guards against orders up to the authority's rate limit while a disk is full, with no certificate in use.
    let (challenges, dir) = (gone(), ScratchDir::new());
    let store = dir.path("acme");
    let behaviour = Behaviour { fail_challenges: true, lifetime: LONG_LIFETIME, ..Behaviour::default() };
    let authority = Authority::start(challenges, behaviour);
    let appliance =
        Appliance::start_with_shim(&acme_settings(authority.address, challenges, &store), Some(shim()));
    // By then the account is created and stored.
    wait_for("a failure", || appliance.console_value("certificate", "failures") != "0");
    let disk_fails = |rate| appliance.program.faults().set(Dial::Disk, rate).unwrap();
    disk_fails(1000);
    authority.behaviour.lock().unwrap().fail_challenges = false;
    wait_for("a certificate", || appliance.console_value("certificate", "certificate") == "valid");
    let orders = authority.orders();
    wait_for("the storage error", || {
        appliance.console_value("certificate", "last_error").starts_with("storage")
    });
    assert_eq!(authority.orders(), orders);
    disk_fails(0);
    wait_for("the stored certificate", || store.join("certificate.pem").exists());
    assert_eq!(
        (authority.orders(), appliance.console_value("certificate", "orders").as_str()),
        (orders, "1")
    );
}

#[rstest]
#[case::forward(Duration::from_secs(90 * 60), 3700)]
#[case::back(Duration::from_secs(6), -3600)]
fn a_certificate_is_renewed_in_time_though_the_clock_is_stepped(
    #[case] lifetime: Duration,
    #[case] by_s: i64,
) {
    // Guards against a certificate that expires unnoticed because the wait for its renewal was computed from the
    // clock before the step.
    let (challenges, dir) = (gone(), ScratchDir::new());
    let store = dir.path("acme");
    let authority = Authority::start(challenges, Behaviour { lifetime, ..Behaviour::default() });
    let appliance =
        Appliance::start_with_shim(&acme_settings(authority.address, challenges, &store), Some(shim()));
    wait_for("a certificate", || appliance.console_value("certificate", "orders") == "1");
    appliance.program.faults().set(Dial::WallOffsetUs, by_s * 1_000_000).unwrap();
    wait_for("its renewal", || authority.orders() >= 2);
}

#[test]
fn an_unreachable_authority_does_not_affect_requests() {
    let dir = ScratchDir::new();
    let appliance = Appliance::start(&acme_settings(gone(), gone(), &dir.path("acme")));
    wait_for("failures", || appliance.console_value("certificate", "failures").parse::<u32>().unwrap() >= 3);
    assert!(appliance.serves_requests());
    assert_eq!(appliance.console_value("status", "healthy"), "yes");
}

#[test]
fn a_certificate_is_renewed_before_it_expires() {
    let (challenges, dir) = (gone(), ScratchDir::new());
    let store = dir.path("acme");
    let lifetime = Duration::from_secs(6);
    let authority = Authority::start(challenges, Behaviour { lifetime, ..Behaviour::default() });
    let appliance = Appliance::start(&acme_settings(authority.address, challenges, &store));
    wait_for("a certificate", || appliance.console_value("certificate", "certificate") == "valid");
    wait_for("its renewal", || {
        assert_eq!(appliance.console_value("certificate", "certificate"), "valid");
        appliance.console_value("certificate", "orders") == "2"
    });
}
