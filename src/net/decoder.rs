//! Messages out of the pieces in which a connection brings them, without I/O.
//!
//! A message is a head, which tells how long the body is, and that body. However the bytes are cut into pieces the
//! same messages come out, and each byte is looked at a bounded number of times: a head is read when its end is
//! there, and before that only each time the bytes have doubled, so that what can never become a head is turned
//! down early. Without this a head of 8 KiB that comes byte by byte would cost 33 MB of reading.

use super::fields::RequestError;

/// How messages stand on a wire.
pub trait Framing: Copy {
    /// What a head says.
    type Head;
    /// What is made of a head and its body.
    type Message;
    /// The longest head in bytes.
    const MOST_HEAD: usize;

    /// Looks for the end of a head in `bytes`, of which `scan` has seen some; true if one may be there now.
    fn may_end(&self, bytes: &[u8], scan: &mut Scan) -> bool;

    /// Reads the head at the start of `bytes`, which are no more than [`Framing::MOST_HEAD`]; none while it is
    /// not there whole.
    fn head(&self, bytes: &[u8]) -> Result<Option<Headed<Self::Head>>, RequestError>;

    /// Makes the message; `behind` tells whether more bytes came behind its body.
    fn message(
        &self,
        head: Headed<Self::Head>,
        body: &[u8],
        behind: bool,
    ) -> Result<Self::Message, RequestError>;

    /// The answer to a head that does not end within its bound.
    fn too_large(&self) -> RequestError {
        RequestError { status: 431, reason: "the head is too large" }
    }
}

/// A head, and where its message ends.
#[derive(Clone, Debug)]
pub struct Headed<H> {
    /// What it says.
    pub head: H,
    /// Its length in bytes.
    pub len: usize,
    /// The length of the body behind it.
    pub body: usize,
}

/// How far bytes were looked through for the end of a head.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scan {
    seen: usize,
    /// Something other than an end of a line was there.
    text: bool,
    /// Nothing but ends of lines came since the last one.
    blank: bool,
}

impl Scan {
    /// Looks for an empty line behind one with text, where `\n` or `\r\n` ends a line.
    pub fn finds_blank_line(&mut self, bytes: &[u8]) -> bool {
        while let Some(byte) = bytes.get(self.seen) {
            self.seen += 1;
            match byte {
                b'\n' if self.blank && self.text => return true,
                b'\n' => self.blank = true,
                b'\r' => {}
                _ => (self.text, self.blank) = (true, false),
            }
        }
        false
    }
}

/// Bytes at which a first look is taken at a head without an end.
const FIRST_LOOK: usize = 16;

/// What a connection brought and was not yet taken as a message.
#[derive(Debug)]
pub struct MessageDecoder<F: Framing> {
    framing: F,
    bytes: Vec<u8>,
    /// Bytes at the start that were taken.
    used: usize,
    scan: Scan,
    next_look: usize,
    headed: Option<Headed<F::Head>>,
    work: u64,
}

impl<F: Framing> MessageDecoder<F> {
    /// Nothing was brought yet.
    pub fn new(framing: F) -> Self {
        Self {
            framing,
            bytes: Vec::new(),
            used: 0,
            scan: Scan::default(),
            next_look: FIRST_LOOK,
            headed: None,
            work: 0,
        }
    }

    /// Where more bytes are to be put, behind those that are there.
    pub fn buffer_mut(&mut self) -> &mut Vec<u8> {
        // Only what is left of a piece is moved, once a piece.
        self.work += (self.bytes.len() - self.used) as u64 * u64::from(self.used > 0);
        self.bytes.drain(..std::mem::take(&mut self.used));
        &mut self.bytes
    }

    /// All that came was taken.
    pub fn is_empty(&self) -> bool {
        self.used == self.bytes.len()
    }

    /// Bytes that were looked at or moved so far: the cost of all that was read.
    pub fn bytes_processed(&self) -> u64 {
        self.work
    }

    /// What is wrong with what is there, now that nothing more comes. A head is looked at only now and then before
    /// it ends, so this may be more than [`MessageDecoder::next_message`] told.
    pub fn finish(&mut self) -> Option<RequestError> {
        self.next_look = 0;
        self.next_message().err()
    }

    /// The next message, and the bytes that it took; none while it is not there whole. After an error nothing
    /// behind it may be read.
    pub fn next_message(&mut self) -> Result<Option<(F::Message, usize)>, RequestError> {
        let bytes = &self.bytes[self.used..];
        let headed = match self.headed.take() {
            Some(headed) => headed,
            None => {
                let before = self.scan.seen;
                let look = self.framing.may_end(bytes, &mut self.scan)
                    || bytes.len() >= self.next_look.min(F::MOST_HEAD);
                self.work += (self.scan.seen - before) as u64;
                if !look {
                    return Ok(None);
                }
                let seen = &bytes[..bytes.len().min(F::MOST_HEAD)];
                self.work += seen.len() as u64;
                self.next_look = seen.len() * 2;
                match self.framing.head(seen)? {
                    Some(headed) => headed,
                    None if seen.len() >= F::MOST_HEAD => return Err(self.framing.too_large()),
                    None => return Ok(None),
                }
            }
        };
        let taken = headed.len + headed.body;
        let Some(body) = bytes.get(headed.len..taken) else {
            self.headed = Some(headed);
            return Ok(None);
        };
        let message = self.framing.message(headed, body, bytes.len() > taken)?;
        self.work += taken as u64;
        self.used += taken;
        (self.scan, self.next_look) = (Scan::default(), FIRST_LOOK);
        Ok(Some((message, taken)))
    }
}
