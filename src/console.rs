//! The terminal console: a Unix socket in the program, and the client that speaks to it.
//!
//! A request is one line with one word; an answer is lines, ended by an empty one.

use std::io::{self, BufRead, BufReader, Write};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use miette::Diagnostic;
use thiserror::Error;
use tracing::{debug, info, warn};

use crate::core::Query;
use crate::net::frontend::read_some;
use crate::net::lines::LineDecoder;
use crate::net::socket_retry;
use crate::net::NodeHandle;
use crate::settings::Config;

/// A client that says nothing for this long is let go, so that the next one is heard.
const CLIENT_PATIENCE: Duration = Duration::from_secs(30);
/// The program answers within this time, or is taken to hang.
const ANSWER_PATIENCE: Duration = Duration::from_secs(5);
/// Wait after an accept that failed, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The longest line that a client may send.
const MOST_LINE: usize = 256;
/// Clients served at once.
const MOST_CLIENTS: usize = 4;
/// What can be asked.
pub const COMMANDS: &str = "status, counters, settings, certificate, drain, help, quit";

/// Why the console is not there, or a client of it does not get its way.
#[derive(Debug, Error, Diagnostic)]
pub enum ConsoleError {
    /// The socket cannot be made.
    #[error("console.socket: {}: {source}", path.display())]
    #[diagnostic(help("name a path in a folder that is there and that this user may write to"))]
    Socket {
        /// The socket.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// Somebody answers at the socket, and hands nothing over.
    #[error("console.socket: {}: another program listens there", path.display())]
    #[diagnostic(help("give each server a console.socket of its own, or end the other one first"))]
    SocketInUse {
        /// The socket.
        path: PathBuf,
    },
    /// The client finds nobody.
    #[error("{}: {source}", path.display())]
    #[diagnostic(help("check that the server runs with this console.socket, and that you are its user"))]
    ConnectFailed {
        /// The socket.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The talk broke off.
    #[error("{}: {source}", path.display())]
    #[diagnostic(help(
        "the server ended, let an idle client go, or serves four others: look at its log, and connect again"
    ))]
    ConnectionLost {
        /// The socket.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The server answered with an error, which stands above.
    #[error("'{command}' was not carried out")]
    #[diagnostic(help(
        "`hopwalk console help` prints the words; one that is known failed for what stands above"
    ))]
    CommandFailed {
        /// What was asked.
        command: String,
    },
    /// What is typed cannot be read.
    #[error("standard input: {0}")]
    #[diagnostic(help("type words in UTF-8, or give them as arguments"))]
    Input(io::Error),
}

/// Tells what state the certificate is in.
pub type DescribeCertificate = Arc<dyn Fn() -> Vec<(String, String)> + Send + Sync>;

/// Listens on `path` in a thread of its own. A socket left behind by a former life is taken over, and that of
/// the process that this one takes over from.
///
/// # Errors
/// [`ConsoleError`] where the socket cannot be had.
pub fn start(
    path: &Path,
    config: &Config,
    handle: NodeHandle,
    certificate: DescribeCertificate,
    has_predecessor: bool,
) -> Result<(), ConsoleError> {
    let at = |source| ConsoleError::Socket { path: path.to_path_buf(), source };
    if std::fs::symlink_metadata(path).is_ok_and(|meta| meta.file_type().is_socket()) {
        if !has_predecessor && UnixStream::connect(path).is_ok() {
            return Err(ConsoleError::SocketInUse { path: path.to_path_buf() });
        }
        std::fs::remove_file(path).map_err(at)?;
    }
    let listener = socket_retry::open(|| UnixListener::bind(path)).map_err(at)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(at)?;
    info!("the console listens on {}", path.display());
    let settings = Arc::new(config.describe());
    let clients = Arc::new(());
    std::thread::spawn(move || loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) => {
                debug!("no connection for the console: {e}");
                std::thread::sleep(ACCEPT_PAUSE);
                continue;
            }
        };
        if Arc::strong_count(&clients) > MOST_CLIENTS {
            continue;
        }
        let (client, settings, handle) = (clients.clone(), settings.clone(), handle.clone());
        let certificate = certificate.clone();
        std::thread::spawn(move || {
            let _client = client;
            let answer = |word: &ConsoleCommand| answer(word, &settings, &handle, &certificate);
            if let Err(e) = serve(stream, answer) {
                warn!("a console client was let go: {e}");
            }
        });
    });
    Ok(())
}

fn serve(stream: UnixStream, answer: impl Fn(&ConsoleCommand) -> Vec<(String, String)>) -> io::Result<()> {
    stream.set_read_timeout(Some(CLIENT_PATIENCE))?;
    stream.set_write_timeout(Some(CLIENT_PATIENCE))?;
    let mut lines = LineDecoder::new(MOST_LINE);
    loop {
        // A line that is too long is no word: neither its start nor its end is carried out.
        let line = match lines.next_line() {
            Ok(Some(line)) => line,
            Ok(None) if read_some(&mut (&stream), lines.buffer_mut())? > 0 => continue,
            Ok(None) => return Ok(()),
            Err(_) => return (&stream).write_all(b"error: the line is too long, or no text\n\n"),
        };
        let word = ConsoleCommand::parse(&line);
        if word == ConsoleCommand::Quit {
            return Ok(());
        }
        (&stream).write_all(encode(&answer(&word)).as_bytes())?;
    }
}

/// What a client asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleCommand {
    /// How things are.
    Status,
    /// What was counted.
    Counters,
    /// The configuration.
    Settings,
    /// The state of the certificate.
    Certificate,
    /// Begin to leave.
    Drain,
    /// What can be asked.
    Help,
    /// The end of the talk.
    Quit,
    /// None of these.
    Unknown(String),
}

impl ConsoleCommand {
    /// Reads a line.
    pub fn parse(line: &str) -> Self {
        match line.trim_ascii() {
            "status" => Self::Status,
            "counters" => Self::Counters,
            "settings" => Self::Settings,
            "certificate" => Self::Certificate,
            "drain" => Self::Drain,
            "" | "help" => Self::Help,
            "quit" => Self::Quit,
            other => Self::Unknown(other.to_string()),
        }
    }
}

/// An answer in lines, ended by an empty one. What stands in a value cannot end it early.
pub fn encode(answer: &[(String, String)]) -> String {
    let mut out = String::new();
    for (name, value) in answer {
        let value = value.replace(['\n', '\r'], " ");
        out += &if value.is_empty() { format!("{name}\n") } else { format!("{name}: {value}\n") };
    }
    out + "\n"
}

fn answer(
    word: &ConsoleCommand,
    settings: &[(String, String)],
    handle: &NodeHandle,
    certificate: &DescribeCertificate,
) -> Vec<(String, String)> {
    let asked = |query| match handle.query(query, ANSWER_PATIENCE) {
        Some(lines) => lines,
        None => vec![("error".to_string(), "the program did not answer".to_string())],
    };
    let line = |name: &str, value: &str| vec![(name.to_string(), value.to_string())];
    match word {
        ConsoleCommand::Status => asked(Query::Status),
        ConsoleCommand::Counters => asked(Query::Counters),
        ConsoleCommand::Settings => settings.to_vec(),
        ConsoleCommand::Certificate => certificate(),
        ConsoleCommand::Drain => {
            handle.drain();
            line("drain", "begun")
        }
        ConsoleCommand::Help | ConsoleCommand::Quit => line("commands", COMMANDS),
        ConsoleCommand::Unknown(other) => line("error", &format!("'{other}' is none of {COMMANDS}")),
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
///
/// # Errors
/// [`ConsoleError`] where no server answers, or a word is not carried out.
pub fn client(path: &Path, words: &[String]) -> Result<(), ConsoleError> {
    let at = |source| ConsoleError::ConnectionLost { path: path.to_path_buf(), source };
    let unreached = |source| ConsoleError::ConnectFailed { path: path.to_path_buf(), source };
    let mut writes = UnixStream::connect(path).map_err(unreached)?;
    writes.set_read_timeout(Some(ANSWER_PATIENCE * 2)).map_err(at)?;
    let mut reads = BufReader::new(writes.try_clone().map_err(at)?);
    let mut out = io::stdout();
    let mut carry_out = |word: &str| -> Result<bool, ConsoleError> {
        let answer = ask(&mut reads, &mut writes, word).map_err(at)?;
        let _ = out.write_all(answer.as_bytes());
        Ok(!answer.starts_with("error: "))
    };
    if !words.is_empty() {
        for word in words {
            if !carry_out(word)? {
                return Err(ConsoleError::CommandFailed { command: word.clone() });
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
        if io::stdin().read_line(&mut line).map_err(ConsoleError::Input)? == 0 {
            return Ok(());
        }
        match line.trim() {
            "" => {}
            "quit" | "exit" => return Ok(()),
            word => drop(carry_out(word)?),
        }
    }
}
