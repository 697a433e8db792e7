//! The encoding of frames: a length as u32 in network byte order, then that many bytes of `postcard`. A [`Decoder`]
//! splits a stream of bytes into frames; there is no I/O here.

use miette::Diagnostic;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The longest frame in bytes, without its length prefix.
pub const MAX_FRAME: usize = 1 << 20;
/// The longest opening, in bytes.
pub const MAX_OPENING: usize = 512;
/// The first bytes of every opening.
pub const MAGIC: [u8; 4] = *b"hwfl";
/// The number of this protocol; peers with another number are foreign.
pub const PROTOCOL: u16 = 1;
/// The length of the length prefix, in bytes.
const PREFIX: usize = 4;

/// Why a frame is not accepted. The link is closed, except after [`FrameError::Later`].
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
pub enum FrameError {
    /// It is over the limit.
    #[error("a frame of {bytes} bytes, over the limit of {most}")]
    #[diagnostic(help(
        "send less at once; if a peer sent it, check that the address is a member's `fleet.routes.listen`"
    ))]
    TooLong {
        /// The length of the frame.
        bytes: usize,
        /// The limit.
        most: usize,
    },
    /// It is not a message, or has bytes left over after one.
    #[error("a frame that is not a message")]
    #[diagnostic(help("run the same version of hopwalk on all members; if they do, report a defect"))]
    Malformed,
    /// The peer is another program.
    #[error("the peer does not use the fleet's protocol")]
    #[diagnostic(help("check that the address is a member's `fleet.routes.listen`"))]
    Magic,
    /// The peer has another protocol number.
    #[error("the peer uses protocol {theirs}, not {PROTOCOL}")]
    #[diagnostic(help("bring all members to the same version of hopwalk"))]
    Protocol {
        /// What the peer's opening contains.
        theirs: u16,
    },
    /// The peer belongs to another fleet.
    #[error("the peer is a member of fleet {theirs:?}")]
    #[diagnostic(help("correct the address or the fleet's name: two fleets do not share members"))]
    Fleet {
        /// What the peer's opening contains.
        theirs: String,
    },
    /// The peer is another member than expected.
    #[error("the member at this address is {theirs:?}")]
    #[diagnostic(help("correct the name or the address of this voter in `fleet.routes.voters`"))]
    Name {
        /// What the peer's opening contains.
        theirs: String,
    },
    /// It is a message, or contains a variant, of a later version. The frame is ignored.
    #[error("a message that only a later version of hopwalk knows")]
    #[diagnostic(help(
        "upgrade this member to the version of the peer; until then it ignores such messages"
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
    /// Creates an opening of this program.
    pub fn new(fleet: impl Into<String>, name: impl Into<String>) -> Self {
        Self { magic: MAGIC, protocol: PROTOCOL, fleet: fleet.into(), name: name.into() }
    }

    /// Reads a peer's opening, and checks its program, protocol and fleet.
    ///
    /// # Errors
    /// [`FrameError::Magic`], [`FrameError::Protocol`], [`FrameError::Fleet`]; [`FrameError::Malformed`] for a frame
    /// that begins like an opening and is not one.
    pub fn read(body: &[u8], fleet: &str) -> Result<Self, FrameError> {
        let Some(rest) = body.strip_prefix(&MAGIC) else { return Err(FrameError::Magic) };
        // The protocol number comes before everything that another protocol may have changed.
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

/// Encodes a message as a frame with its length prefix.
///
/// # Errors
/// [`FrameError::TooLong`]; the message must not be sent then.
pub fn encode<T: Serialize>(message: &T, most: usize) -> Result<Vec<u8>, FrameError> {
    let mut frame = postcard::to_extend(message, vec![0; PREFIX]).map_err(|_| FrameError::Malformed)?;
    let bytes = frame.len() - PREFIX;
    if bytes > most {
        return Err(FrameError::TooLong { bytes, most });
    }
    frame[..PREFIX].copy_from_slice(&(bytes as u32).to_be_bytes());
    Ok(frame)
}

/// Decodes the message of a frame's body.
///
/// # Errors
/// Those of [`take`], and [`FrameError::Malformed`] for bytes that are left over.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    match take(body)? {
        (message, []) => Ok(message),
        _ => Err(FrameError::Malformed),
    }
}

/// Decodes the message that a frame's body begins with, and returns it with the bytes after it, which are fields of a
/// later version.
///
/// # Errors
/// [`FrameError::Later`] for an unknown variant, otherwise [`FrameError::Malformed`].
pub fn take<T: DeserializeOwned>(body: &[u8]) -> Result<(T, &[u8]), FrameError> {
    postcard::take_from_bytes(body).map_err(|error| match error {
        // The error of serde's derived code for an unknown variant; postcard has other errors for all other bytes.
        postcard::Error::SerdeDeCustom => FrameError::Later,
        _ => FrameError::Malformed,
    })
}

/// Splits a stream of bytes, which may arrive in parts of any size, into the bodies of frames.
#[derive(Debug)]
pub struct Decoder {
    buffer: Vec<u8>,
    consumed: usize,
    max: usize,
    failed: Option<FrameError>,
}

impl Decoder {
    /// Creates a decoder for frames of up to `max` bytes. It holds at most one partial frame and the bytes that were
    /// pushed last.
    pub fn new(max: usize) -> Self {
        Self { buffer: Vec::new(), consumed: 0, max, failed: None }
    }

    /// Sets the limit from the next frame on.
    pub fn set_max(&mut self, max: usize) {
        self.max = max;
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.failed.is_none() {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Returns the body of the next complete frame, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// [`FrameError::TooLong`] as soon as the length is known, and in every later call.
    pub fn frame(&mut self) -> Result<Option<&[u8]>, FrameError> {
        if let Some(error) = &self.failed {
            return Err(error.clone());
        }
        let rest = &self.buffer[self.consumed..];
        let Some((prefix, rest)) = rest.split_first_chunk::<PREFIX>() else { return Ok(None) };
        let bytes = u32::from_be_bytes(*prefix) as usize;
        if bytes > self.max {
            let error = FrameError::TooLong { bytes, most: self.max };
            (self.failed, self.buffer, self.consumed) = (Some(error.clone()), Vec::new(), 0);
            return Err(error);
        }
        if rest.len() < bytes {
            return Ok(None);
        }
        let from = self.consumed + PREFIX;
        self.consumed = from + bytes;
        Ok(Some(&self.buffer[from..self.consumed]))
    }
}
