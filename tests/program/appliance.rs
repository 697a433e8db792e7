//! The console and the certificates, in the real program.

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

use super::authority::{Authority, Rules};
use super::clock::shim;
use super::harness::*;

const MONTHS: Duration = Duration::from_secs(90 * 24 * 3600);

/// A program with a console and, where an authority is given, certificates.
struct Appliance {
    program: Program,
    socket: PathBuf,
    _agent: Agent,
    _dir: ScratchDir,
}

impl Appliance {
    fn start(acme: &str) -> Self {
        Self::start_on(acme, None)
    }

    /// On a system whose calls can be made to fail.
    fn start_on(acme: &str, shim: Option<&'static Shim>) -> Self {
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

    /// What the console says under a name.
    fn console_value(&self, command: &str, name: &str) -> String {
        let out = String::from_utf8(self.console(command).stdout).unwrap();
        let value = out.lines().find_map(|l| l.strip_prefix(&format!("{name}: ")));
        value.unwrap_or_default().to_string()
    }

    fn serves(&self) -> bool {
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
fn the_console_tells_and_drains() {
    let mut appliance = Appliance::start("");
    assert!(appliance.serves());
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
fn the_console_waits_while_the_system_gives_no_connections() {
    // Guards against a loop that asks again at once and takes the server's one core.
    let appliance = Appliance::start_on("", Some(shim()));
    let accepts_fail = |rate| appliance.program.faults().set(Dial::Accept, rate).unwrap();
    accepts_fail(1000);
    // It wakes the console's thread, which may wait in an accept from before.
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
    let authority = Authority::start(challenges, Rules { bad_nonces: 2, life: MONTHS, ..Rules::default() });
    let first = Appliance::start(&acme_settings(authority.address, challenges, &store));
    wait_for("a certificate", || first.console_value("certificate", "certificate") == "valid");
    assert_eq!(first.console_value("certificate", "names"), "lobby.example");
    let mode = |path: &Path| std::fs::metadata(path).unwrap().permissions().mode() & 0o777;
    let mut files: Vec<_> = std::fs::read_dir(&store).unwrap().map(|f| f.unwrap().path()).collect();
    files.sort();
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
    let authority = Authority::start(challenges, Rules { life: MONTHS, ..Rules::default() });
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
fn a_failed_challenge_is_tried_again_later() {
    let (challenges, dir) = (gone(), ScratchDir::new());
    let store = dir.path("acme");
    let authority =
        Authority::start(challenges, Rules { fail_challenges: true, life: MONTHS, ..Rules::default() });
    let appliance = Appliance::start(&acme_settings(authority.address, challenges, &store));
    wait_for("a failure", || {
        appliance.console_value("certificate", "last_error").contains("unauthorized not found")
    });
    assert!(appliance.serves() && !store.join("certificate.pem").exists());
    authority.rules.lock().unwrap().fail_challenges = false;
    wait_for("a certificate", || appliance.console_value("certificate", "certificate") == "valid");
    assert_eq!(appliance.console_value("certificate", "failures"), "0");
}

#[rstest]
#[case::key(Rules { other_key: true, life: MONTHS, ..Rules::default() })]
#[case::name(Rules { other_name: Some("bar.example"), life: MONTHS, ..Rules::default() })]
fn a_certificate_of_another_order_is_not_taken(#[case] rules: Rules) {
    // Guards against a certificate that no caller can use in place of one that works: it was of an earlier order.
    let (challenges, dir) = (gone(), ScratchDir::new());
    let store = dir.path("acme");
    let authority = Authority::start(challenges, rules);
    let appliance = Appliance::start(&acme_settings(authority.address, challenges, &store));
    wait_for("the end of an order", || {
        ["orders", "failures"].iter().any(|what| appliance.console_value("certificate", what) != "0")
    });
    assert_eq!(appliance.console_value("certificate", "certificate"), "none");
    assert!(!store.join("certificate.pem").exists());
    *authority.rules.lock().unwrap() = Rules { life: MONTHS, ..Rules::default() };
    wait_for("a certificate", || appliance.console_value("certificate", "certificate") == "valid");
}

#[test]
fn of_two_processes_that_store_certificates_one_is_kept_whole() {
    // Guards against a file that is half of one and half of another: two versions keep it at once in an upgrade.
    let (dir, writers) = (ScratchDir::new(), AtomicUsize::new(2));
    let folder = dir.path("acme");
    let pems = ["a".repeat(300_000), "b".repeat(200_000)];
    Store::open(&folder).unwrap().keep_certificate(&pems[0]).unwrap();
    std::thread::scope(|threads| {
        for pem in &pems {
            threads.spawn(|| {
                let store = Store::open(&folder).unwrap();
                let stored: Result<Vec<()>, _> = (0..100).map(|_| store.keep_certificate(pem)).collect();
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
    // Guards against orders up to the authority's limit while a disk is full, and no certificate in use.
    let (challenges, dir) = (gone(), ScratchDir::new());
    let store = dir.path("acme");
    let rules = Rules { fail_challenges: true, life: MONTHS, ..Rules::default() };
    let authority = Authority::start(challenges, rules);
    let appliance = Appliance::start_on(&acme_settings(authority.address, challenges, &store), Some(shim()));
    // The account is made and stored.
    wait_for("a failure", || appliance.console_value("certificate", "failures") != "0");
    let disk_fails = |rate| appliance.program.faults().set(Dial::Disk, rate).unwrap();
    disk_fails(1000);
    authority.rules.lock().unwrap().fail_challenges = false;
    wait_for("a certificate", || appliance.console_value("certificate", "certificate") == "valid");
    let orders = authority.orders();
    wait_for("the storage's failure", || {
        appliance.console_value("certificate", "last_error").starts_with("storage")
    });
    assert_eq!(authority.orders(), orders);
    disk_fails(0);
    wait_for("the stored one", || store.join("certificate.pem").exists());
    assert_eq!(
        (authority.orders(), appliance.console_value("certificate", "orders").as_str()),
        (orders, "1")
    );
}

#[rstest]
#[case::forward(Duration::from_secs(90 * 60), 3700)]
#[case::back(Duration::from_secs(6), -3600)]
fn a_certificate_is_renewed_in_time_though_the_clock_is_stepped(#[case] life: Duration, #[case] by_s: i64) {
    // Guards against a certificate that expires while nobody looks: a wait by the clock before the step.
    let (challenges, dir) = (gone(), ScratchDir::new());
    let store = dir.path("acme");
    let authority = Authority::start(challenges, Rules { life, ..Rules::default() });
    let appliance = Appliance::start_on(&acme_settings(authority.address, challenges, &store), Some(shim()));
    wait_for("a certificate", || appliance.console_value("certificate", "orders") == "1");
    appliance.program.faults().set(Dial::WallOffsetUs, by_s * 1_000_000).unwrap();
    wait_for("its renewal", || authority.orders() >= 2);
}

#[test]
fn an_authority_that_is_down_disturbs_nothing() {
    let dir = ScratchDir::new();
    let appliance = Appliance::start(&acme_settings(gone(), gone(), &dir.path("acme")));
    wait_for("failures", || appliance.console_value("certificate", "failures").parse::<u32>().unwrap() >= 3);
    assert!(appliance.serves());
    assert_eq!(appliance.console_value("status", "healthy"), "yes");
}

#[test]
fn a_certificate_is_renewed_before_it_expires() {
    let (challenges, dir) = (gone(), ScratchDir::new());
    let store = dir.path("acme");
    let life = Duration::from_secs(6);
    let authority = Authority::start(challenges, Rules { life, ..Rules::default() });
    let appliance = Appliance::start(&acme_settings(authority.address, challenges, &store));
    wait_for("a certificate", || appliance.console_value("certificate", "certificate") == "valid");
    wait_for("its renewal", || {
        assert_eq!(appliance.console_value("certificate", "certificate"), "valid");
        appliance.console_value("certificate", "orders") == "2"
    });
}
