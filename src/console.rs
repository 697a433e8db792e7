//! The terminal console: a Unix socket on which the server answers operators' commands, and its client.
//!
//! [`start`] opens the socket, [`client`] is the command-line client. A request is one line with one
//! [`ConsoleCommand`]; an answer consists of lines and ends with an empty one.

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
use crate::net::lines::{LineDecoder, LineEnd};
use crate::net::socket_retry;
use crate::net::NodeHandle;
use crate::settings::Config;

/// A connection on which nothing can be read or written for this long is closed, so that another client can be served.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(30);
/// The server's event loop is considered hung if it does not answer a query within this time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// The wait after a failed accept, for example while no file descriptors are free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The longest line that a client may send, in bytes.
const MAX_LINE_LEN: usize = 256;
/// The maximum number of clients served at once.
const MAX_CLIENTS: usize = 4;
/// The commands, as the console lists them.
pub const COMMANDS: &str = "status, counters, settings, certificate, drain, help, quit";

/// An error of the console or of its client.
#[derive(Debug, Error, Diagnostic)]
pub enum ConsoleError {
    /// The socket cannot be opened.
    #[error("console.socket: {}: {source}", path.display())]
    #[diagnostic(help("name a path in an existing folder that this user may write to"))]
    Socket {
        /// The path of the socket.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// Another process, which is not this one's predecessor, listens on the socket.
    #[error("console.socket: {}: another process listens on it", path.display())]
    #[diagnostic(help("give each server its own console.socket, or stop the other one first"))]
    SocketInUse {
        /// The path of the socket.
        path: PathBuf,
    },
    /// The client cannot connect to the server.
    #[error("{}: {source}", path.display())]
    #[diagnostic(help(
        "check that the server runs with this console.socket, and that you run as the same user"
    ))]
    ConnectFailed {
        /// The path of the socket.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The client's connection failed before the end of an answer.
    #[error("{}: {source}", path.display())]
    #[diagnostic(help(
        "the server stopped, closed an idle connection, or serves four other clients: check its log and connect again"
    ))]
    ConnectionLost {
        /// The path of the socket.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The server answered with an error, which the client has printed.
    #[error("the console command '{command}' failed")]
    #[diagnostic(help("see the error above; `hopwalk console help` lists the commands"))]
    CommandFailed {
        /// The command.
        command: String,
    },
    /// Standard input cannot be read.
    #[error("standard input: {0}")]
    #[diagnostic(help("type commands in UTF-8, or pass them as arguments"))]
    Input(io::Error),
}

/// Returns names and values that describe the certificate in use.
pub type DescribeCertificate = Arc<dyn Fn() -> Vec<(String, String)> + Send + Sync>;

/// Opens the console's socket at `path` and serves its clients in threads. A socket that an earlier process left
/// behind is replaced, and so is the socket of this process's predecessor.
///
/// # Errors
/// [`ConsoleError`] if the socket cannot be opened or another process listens on it.
pub fn start(
    path: &Path,
    config: &Config,
    handle: NodeHandle,
    describe_certificate: DescribeCertificate,
    has_predecessor: bool,
) -> Result<(), ConsoleError> {
    let socket_error = |source| ConsoleError::Socket { path: path.to_path_buf(), source };
    if std::fs::symlink_metadata(path).is_ok_and(|meta| meta.file_type().is_socket()) {
        if !has_predecessor && UnixStream::connect(path).is_ok() {
            return Err(ConsoleError::SocketInUse { path: path.to_path_buf() });
        }
        std::fs::remove_file(path).map_err(socket_error)?;
    }
    let listener = socket_retry::open(|| UnixListener::bind(path)).map_err(socket_error)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(socket_error)?;
    info!("the console listens on {}", path.display());
    let settings = Arc::new(config.describe());
    // Each client holds one clone while it is served.
    let clients = Arc::new(());
    std::thread::spawn(move || loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) => {
                debug!("failed to accept a console connection: {e}");
                std::thread::sleep(ACCEPT_PAUSE);
                continue;
            }
        };
        if Arc::strong_count(&clients) > MAX_CLIENTS {
            continue;
        }
        let (client_permit, settings, handle) = (clients.clone(), settings.clone(), handle.clone());
        let describe_certificate = describe_certificate.clone();
        std::thread::spawn(move || {
            let _client_permit = client_permit;
            let answer =
                |command: &ConsoleCommand| answer(command, &settings, &handle, &describe_certificate);
            if let Err(e) = serve(stream, answer) {
                warn!("closed the connection of a console client: {e}");
            }
        });
    });
    Ok(())
}

fn serve(stream: UnixStream, answer: impl Fn(&ConsoleCommand) -> Vec<(String, String)>) -> io::Result<()> {
    stream.set_read_timeout(Some(CLIENT_TIMEOUT))?;
    stream.set_write_timeout(Some(CLIENT_TIMEOUT))?;
    let mut lines = LineDecoder::new(MAX_LINE_LEN, LineEnd::Any);
    loop {
        // A line that is too long is rejected whole: neither its start nor its end is executed as a command.
        let line = match lines.next_line() {
            Ok(Some(line)) => line,
            Ok(None) if read_some(&mut (&stream), lines.buffer_mut())? > 0 => continue,
            Ok(None) => return Ok(()),
            Err(_) => return (&stream).write_all(b"error: the line is too long, or no text\n\n"),
        };
        let command = ConsoleCommand::parse(&line);
        if command == ConsoleCommand::Quit {
            return Ok(());
        }
        (&stream).write_all(encode(&answer(&command)).as_bytes())?;
    }
}

/// A command that a client sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleCommand {
    /// Show the state of the server.
    Status,
    /// Show the counters.
    Counters,
    /// Show the configuration.
    Settings,
    /// Show the state of the certificate.
    Certificate,
    /// Begin a drain.
    Drain,
    /// List the commands.
    Help,
    /// Close the connection.
    Quit,
    /// An unknown command.
    Unknown(String),
}

impl ConsoleCommand {
    /// Parses a line.
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

/// Encodes an answer as lines that end with an empty one. Line breaks in values become spaces, so no value can end the
/// answer early.
pub fn encode(answer: &[(String, String)]) -> String {
    let mut out = String::new();
    for (name, value) in answer {
        let value = value.replace(['\n', '\r'], " ");
        out += &if value.is_empty() { format!("{name}\n") } else { format!("{name}: {value}\n") };
    }
    out + "\n"
}

fn answer(
    command: &ConsoleCommand,
    settings: &[(String, String)],
    handle: &NodeHandle,
    describe_certificate: &DescribeCertificate,
) -> Vec<(String, String)> {
    let query_server = |query| match handle.query(query, ANSWER_TIMEOUT) {
        Some(lines) => lines,
        None => vec![("error".to_string(), "the program did not answer".to_string())],
    };
    let line = |name: &str, value: &str| vec![(name.to_string(), value.to_string())];
    match command {
        ConsoleCommand::Status => query_server(Query::Status),
        ConsoleCommand::Counters => query_server(Query::Counters),
        ConsoleCommand::Settings => settings.to_vec(),
        ConsoleCommand::Certificate => describe_certificate(),
        // Until this process has taken over, its predecessor serves, which this order would not reach.
        ConsoleCommand::Drain if !handle.accepts_clients() => {
            line("error", "this process has not taken over yet: repeat the command once it has")
        }
        ConsoleCommand::Drain => {
            handle.drain();
            line("drain", "begun")
        }
        ConsoleCommand::Help | ConsoleCommand::Quit => line("commands", COMMANDS),
        ConsoleCommand::Unknown(other) => line("error", &format!("'{other}' is none of {COMMANDS}")),
    }
}

/// Sends one command on a connection and returns the answer.
fn request(reader: &mut impl BufRead, writer: &mut impl Write, command: &str) -> io::Result<String> {
    writer.write_all(format!("{command}\n").as_bytes())?;
    let mut answer = String::new();
    loop {
        let line_start = answer.len();
        if reader.read_line(&mut answer)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if &answer[line_start..] == "\n" {
            answer.truncate(line_start);
            return Ok(answer);
        }
    }
}

/// The command-line client: sends `commands` and prints the answers. Without commands, sends the lines of standard
/// input.
///
/// # Errors
/// [`ConsoleError`] if no server answers, standard input cannot be read, or one of `commands` fails.
pub fn client(path: &Path, commands: &[String]) -> Result<(), ConsoleError> {
    let connection_lost = |source| ConsoleError::ConnectionLost { path: path.to_path_buf(), source };
    let connect_failed = |source| ConsoleError::ConnectFailed { path: path.to_path_buf(), source };
    let mut writer = UnixStream::connect(path).map_err(connect_failed)?;
    writer.set_read_timeout(Some(ANSWER_TIMEOUT * 2)).map_err(connection_lost)?;
    let mut reader = BufReader::new(writer.try_clone().map_err(connection_lost)?);
    let mut out = io::stdout();
    let mut execute = |command: &str| -> Result<bool, ConsoleError> {
        let answer = request(&mut reader, &mut writer, command).map_err(connection_lost)?;
        let _ = out.write_all(answer.as_bytes());
        Ok(!answer.starts_with("error: "))
    };
    if !commands.is_empty() {
        for command in commands {
            if !execute(command)? {
                return Err(ConsoleError::CommandFailed { command: command.clone() });
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
            command => drop(execute(command)?),
        }
    }
}
