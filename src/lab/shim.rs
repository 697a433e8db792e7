//! Faults of the system under a process: a small library that is loaded into it, and the file that steers it.
//!
//! The library is C, built by the machine's own compiler where a lab asks for it; `tests/shim/faults.c` tells what it does.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The library's source.
const SOURCE: &str = include_str!("../../tests/shim/faults.c");
/// Bytes of a number in the steering file.
const NUMBER: u64 = 8;

/// What can be steered; the order is that of the steering file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dial {
    /// Added to the wall clock, in microseconds.
    WallOffsetUs,
    /// Accepts that fail, in a thousand, as all rates here.
    Accept,
    /// Sockets that cannot be had, and connects that fail at once.
    Connect,
    /// Waits, reads and writes that are interrupted.
    Interrupt,
    /// Reads and writes on sockets that do a part.
    Short,
    /// Writes and syncs to files that fail.
    Disk,
    /// Reads and writes on sockets that the process connected, and that find them broken.
    Break,
    /// Accepts that fail as their client is gone: the connection is taken and closed.
    Abort,
    /// Reads, writes and waits around which the thread stands still for a few milliseconds.
    Stall,
}

impl Dial {
    /// The rates of faults that cost no caller its connection.
    pub const RATES: [Self; 7] =
        [Self::Accept, Self::Connect, Self::Interrupt, Self::Short, Self::Disk, Self::Break, Self::Stall];
}

/// How many dials there are.
const DIALS: u64 = Dial::Stall as u64 + 1;

/// The library, built for this machine.
#[derive(Clone, Debug)]
pub struct Shim {
    library: PathBuf,
}

impl Shim {
    /// Builds it in a folder.
    ///
    /// # Errors
    /// What the system says where there is no C compiler, or it fails.
    pub fn build(folder: &Path) -> io::Result<Self> {
        let (source, library) = (folder.join("faults.c"), folder.join("faults.so"));
        std::fs::write(&source, SOURCE)?;
        let built = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-o"])
            .args([&library, &source])
            .arg("-ldl")
            .output()?;
        if !built.status.success() {
            return Err(io::Error::other(String::from_utf8_lossy(&built.stderr).into_owned()));
        }
        Ok(Self { library })
    }

    /// Has a command start its process with the library, without faults so far.
    ///
    /// # Errors
    /// What the system says of the steering file.
    pub fn load(&self, command: &mut Command, steering: &Path) -> io::Result<Faults> {
        let file = File::options().read(true).write(true).create(true).truncate(false).open(steering)?;
        file.set_len(DIALS * NUMBER)?;
        command.env("LD_PRELOAD", &self.library).env("FAULTS", steering);
        Ok(Faults { file })
    }
}

/// The faults of one process, or of all that share a steering file.
#[derive(Debug)]
pub struct Faults {
    file: File,
}

impl Faults {
    /// Turns a dial.
    ///
    /// # Errors
    /// What the system says of the steering file.
    pub fn set(&self, dial: Dial, value: i64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), dial as u64 * NUMBER)
    }
}
