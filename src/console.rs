//! The terminal console: a Unix socket in the program, and the client that speaks to it.
//!
//! A request is one line with one word; an answer is lines, ended by an empty one.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use tracing::{info, warn};

use crate::core::Query;
use crate::net::Handle;
use crate::settings::Config;

/// A client that says nothing for this long is let go, so that the next one is heard.
const CLIENT_PATIENCE: Duration = Duration::from_secs(30);
/// The program answers within this time, or is taken to hang.
const ANSWER_PATIENCE: Duration = Duration::from_secs(5);
/// The longest line that a client may send.
const MOST_LINE: u64 = 256;
/// Clients served at once.
const MOST_CLIENTS: usize = 4;
/// What can be asked.
pub const COMMANDS: &str = "status, counters, settings, certificate, drain, help, quit";

/// Tells what state the certificate is in.
pub type CertificateState = Arc<dyn Fn() -> Vec<(String, String)> + Send + Sync>;

/// Listens on `path` in a thread of its own. A socket left behind by a former life is taken over, and that of
/// the process that this one takes over from.
pub fn start(
    path: &Path,
    config: &Config,
    handle: Handle,
    certificate: CertificateState,
    takes_over: bool,
) -> Result<(), String> {
    let at = |e: io::Error| format!("console.socket: {}: {e}", path.display());
    if std::fs::symlink_metadata(path).is_ok_and(|meta| meta.file_type().is_socket()) {
        if !takes_over && UnixStream::connect(path).is_ok() {
            return Err(format!("console.socket: {}: another program listens there", path.display()));
        }
        std::fs::remove_file(path).map_err(at)?;
    }
    let listener = UnixListener::bind(path).map_err(at)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(at)?;
    info!("the console listens on {}", path.display());
    let settings = Arc::new(config.describe());
    let clients = Arc::new(());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if Arc::strong_count(&clients) > MOST_CLIENTS {
                continue;
            }
            let (client, settings, handle) = (clients.clone(), settings.clone(), handle.clone());
            let certificate = certificate.clone();
            std::thread::spawn(move || {
                let _client = client;
                let answer = |word: &str| answer(word, &settings, &handle, &certificate);
                if let Err(e) = serve(stream, answer) {
                    warn!("a console client was let go: {e}");
                }
            });
        }
    });
    Ok(())
}

fn serve(stream: UnixStream, answer: impl Fn(&str) -> Vec<(String, String)>) -> io::Result<()> {
    stream.set_read_timeout(Some(CLIENT_PATIENCE))?;
    stream.set_write_timeout(Some(CLIENT_PATIENCE))?;
    let mut writes = stream.try_clone()?;
    let mut reads = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reads.by_ref().take(MOST_LINE).read_line(&mut line)? == 0 {
            return Ok(());
        }
        let word = line.trim();
        if word == "quit" {
            return Ok(());
        }
        let mut out = String::new();
        for (name, value) in answer(word) {
            // An empty line would end the answer early.
            let value = value.replace('\n', " ");
            out += &if value.is_empty() { format!("{name}\n") } else { format!("{name}: {value}\n") };
        }
        writes.write_all((out + "\n").as_bytes())?;
    }
}

fn answer(
    word: &str,
    settings: &[(String, String)],
    handle: &Handle,
    certificate: &CertificateState,
) -> Vec<(String, String)> {
    let asked = |query| match handle.query(query, ANSWER_PATIENCE) {
        Some(lines) => lines,
        None => vec![("error".to_string(), "the program did not answer".to_string())],
    };
    let line = |name: &str, value: &str| vec![(name.to_string(), value.to_string())];
    match word {
        "status" => asked(Query::Status),
        "counters" => asked(Query::Counters),
        "settings" => settings.to_vec(),
        "certificate" => certificate(),
        "drain" => {
            handle.drain();
            line("drain", "begun")
        }
        "" | "help" => line("commands", COMMANDS),
        other => line("error", &format!("'{other}' is none of {COMMANDS}")),
    }
}

/// Asks one word on a connection and returns the answer.
fn ask(reads: &mut impl BufRead, writes: &mut impl Write, word: &str) -> io::Result<String> {
    writes.write_all(format!("{word}\n").as_bytes())?;
    let mut answer = String::new();
    loop {
        let had = answer.len();
        if reads.read_line(&mut answer)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if &answer[had..] == "\n" {
            answer.truncate(had);
            return Ok(answer);
        }
    }
}

/// The client: carries out `words`, or what is typed if there are none.
pub fn client(path: &Path, words: &[String]) -> Result<(), String> {
    let at = |e: io::Error| format!("{}: {e}", path.display());
    let mut writes = UnixStream::connect(path).map_err(at)?;
    writes.set_read_timeout(Some(ANSWER_PATIENCE * 2)).map_err(at)?;
    let mut reads = BufReader::new(writes.try_clone().map_err(at)?);
    let mut out = io::stdout();
    let mut carry_out = |word: &str| -> Result<bool, String> {
        let answer = ask(&mut reads, &mut writes, word).map_err(at)?;
        let _ = out.write_all(answer.as_bytes());
        Ok(!answer.starts_with("error: "))
    };
    if !words.is_empty() {
        for word in words {
            if !carry_out(word)? {
                return Err(format!("'{word}' was not carried out"));
            }
        }
        return Ok(());
    }
    println!("commands: {COMMANDS}");
    let mut line = String::new();
    loop {
        print!("hopwalk> ");
        let _ = io::stdout().flush();
        line.clear();
        if io::stdin().read_line(&mut line).map_err(|e| e.to_string())? == 0 {
            return Ok(());
        }
        match line.trim() {
            "" => {}
            "quit" | "exit" => return Ok(()),
            word => drop(carry_out(word)?),
        }
    }
}
