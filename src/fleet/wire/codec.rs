//! Frames: a length as u32 in network order, then that many bytes of `postcard`. No I/O: bytes in, frames out.

use miette::Diagnostic;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The longest frame, without its length, in bytes.
pub const MAX_FRAME: usize = 1 << 20;
/// The longest opening, in bytes.
pub const MAX_OPENING: usize = 512;
/// First in every opening.
pub const MAGIC: [u8; 4] = *b"hwfl";
/// The number of this protocol; another one is foreign.
pub const PROTOCOL: u16 = 1;
/// Bytes of the length.
const PREFIX: usize = 4;

/// Why bytes are no frame of this fleet. The link they came on is closed, but for [`FrameError::Later`].
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
pub enum FrameError {
    /// Over the bound.
    #[error("a frame of {bytes} bytes, over {most}")]
    #[diagnostic(help(
        "send less at once; from a peer: see that the address is a member's `fleet.routes.listen`"
    ))]
    TooLong {
        /// Its length.
        bytes: usize,
        /// The bound.
        most: usize,
    },
    /// No message, or bytes left over after one.
    #[error("a frame that is no message")]
    #[diagnostic(help("run one version of hopwalk at all members; if they do, report it"))]
    Malformed,
    /// Another program.
    #[error("what is there does not speak the fleet's protocol")]
    #[diagnostic(help("see that the address is a member's `fleet.routes.listen`"))]
    Magic,
    /// Another protocol number.
    #[error("protocol {theirs}, not {PROTOCOL}")]
    #[diagnostic(help("bring all members to one version of hopwalk"))]
    Protocol {
        /// The peer's.
        theirs: u16,
    },
    /// Another fleet.
    #[error("a member of fleet {theirs:?}")]
    #[diagnostic(help("correct the address or the fleet's name: two fleets do not share members"))]
    Fleet {
        /// The peer's.
        theirs: String,
    },
    /// Another member than the one that was called.
    #[error("{theirs:?} is at this address")]
    #[diagnostic(help("correct the name or the address of this voter in `fleet.routes.voters`"))]
    Name {
        /// The peer's.
        theirs: String,
    },
    /// A message, or a kind of one, that a later version has. Its frame is passed over.
    #[error("a message of another version of hopwalk")]
    #[diagnostic(help(
        "bring this member to the version of the peer; until then what is new is not done here"
    ))]
    Later,
}

/// The first frame of each side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opening {
    /// [`MAGIC`].
    pub magic: [u8; 4],
    /// [`PROTOCOL`].
    pub protocol: u16,
    /// The name of the sender's fleet.
    pub fleet: String,
    /// The sender's name.
    pub name: String,
}

impl Opening {
    /// Of this program.
    pub fn new(fleet: impl Into<String>, name: impl Into<String>) -> Self {
        Self { magic: MAGIC, protocol: PROTOCOL, fleet: fleet.into(), name: name.into() }
    }

    /// Reads a peer's opening, and checks that it is of this program and fleet.
    ///
    /// # Errors
    /// [`FrameError::Magic`], [`FrameError::Protocol`], [`FrameError::Fleet`]; [`FrameError::Malformed`] for what
    /// begins like an opening and is none.
    pub fn read(body: &[u8], fleet: &str) -> Result<Self, FrameError> {
        let Some(rest) = body.strip_prefix(&MAGIC) else { return Err(FrameError::Magic) };
        // The number stands before all that another protocol may have changed.
        let (theirs, _) = postcard::take_from_bytes::<u16>(rest).map_err(|_| FrameError::Malformed)?;
        if theirs != PROTOCOL {
            return Err(FrameError::Protocol { theirs });
        }
        let (opening, _) = take::<Self>(body)?;
        if opening.fleet != fleet {
            return Err(FrameError::Fleet { theirs: opening.fleet });
        }
        Ok(opening)
    }
}

/// A message as a frame, its length included.
///
/// # Errors
/// [`FrameError::TooLong`]; nothing is to be sent then.
pub fn encode<T: Serialize>(message: &T, most: usize) -> Result<Vec<u8>, FrameError> {
    let mut frame = postcard::to_extend(message, vec![0; PREFIX]).map_err(|_| FrameError::Malformed)?;
    let bytes = frame.len() - PREFIX;
    if bytes > most {
        return Err(FrameError::TooLong { bytes, most });
    }
    frame[..PREFIX].copy_from_slice(&(bytes as u32).to_be_bytes());
    Ok(frame)
}

/// The message of a frame's body.
///
/// # Errors
/// As [`take`], and [`FrameError::Malformed`] for bytes that are left over.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    match take(body)? {
        (message, []) => Ok(message),
        _ => Err(FrameError::Malformed),
    }
}

/// The message that a frame's body begins with, and what stands behind it: fields of a later version.
///
/// # Errors
/// [`FrameError::Later`] for a variant that is not known, and [`FrameError::Malformed`].
pub fn take<T: DeserializeOwned>(body: &[u8]) -> Result<(T, &[u8]), FrameError> {
    postcard::take_from_bytes(body).map_err(|error| match error {
        // What serde's derived code says of a variant's number; postcard has errors of its own for all other bytes.
        postcard::Error::SerdeDeCustom => FrameError::Later,
        _ => FrameError::Malformed,
    })
}

/// Cuts a stream of bytes into the bodies of frames, however the bytes are split.
#[derive(Debug)]
pub struct Decoder {
    buffer: Vec<u8>,
    taken: usize,
    most: usize,
    failed: Option<FrameError>,
}

impl Decoder {
    /// For frames of up to `most` bytes. It holds no more than one of them and what was pushed at once.
    pub fn new(most: usize) -> Self {
        Self { buffer: Vec::new(), taken: 0, most, failed: None }
    }

    /// From the next frame on, another bound.
    pub fn allow(&mut self, most: usize) {
        self.most = most;
    }

    /// Takes bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.failed.is_none() {
            self.buffer.drain(..self.taken);
            self.taken = 0;
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// The next whole frame's body; none until more bytes come.
    ///
    /// # Errors
    /// [`FrameError::TooLong`] as soon as the length is known, and from then on.
    pub fn frame(&mut self) -> Result<Option<&[u8]>, FrameError> {
        if let Some(error) = &self.failed {
            return Err(error.clone());
        }
        let rest = &self.buffer[self.taken..];
        let Some((prefix, rest)) = rest.split_first_chunk::<PREFIX>() else { return Ok(None) };
        let bytes = u32::from_be_bytes(*prefix) as usize;
        if bytes > self.most {
            let error = FrameError::TooLong { bytes, most: self.most };
            (self.failed, self.buffer, self.taken) = (Some(error.clone()), Vec::new(), 0);
            return Err(error);
        }
        if rest.len() < bytes {
            return Ok(None);
        }
        let from = self.taken + PREFIX;
        self.taken = from + bytes;
        Ok(Some(&self.buffer[from..self.taken]))
    }
}
