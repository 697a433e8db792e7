//! Spoilt messages: changes to the framing of a message, whose content stays as it is. No reader may take one for
//! another valid message.

use std::ops::Range;
use std::sync::{Mutex, PoisonError};

use super::random::Random;

/// Bytes that are put into the framing.
const INSERTED: &[u8] = b"\r\n 0+-A:\",}\0\xff";
/// What stands in place of a length, beside lengths that are off.
const NO_LENGTHS: [&str; 5] = ["", "-3", "+5", "0x10", "99999999999999999999"];
/// The largest difference of a length that is off by a few bytes, and of one that is off by many.
const FEW: u64 = 3;
const MANY: u64 = 40;
/// Messages in a thousand of which one is meant.
const PER_MILLE: u64 = 1_000;

/// A message, and which parts of it are framing.
#[derive(Clone, Debug)]
pub struct Framed {
    /// The whole message.
    pub bytes: Vec<u8>,
    /// The bytes that are not content.
    pub framing: Vec<Range<usize>>,
    /// The digits of the content's length, if the framing states it.
    pub length: Option<Range<usize>>,
}

impl Framed {
    /// A reply of the vault with a body.
    pub fn reply(id: &str, body: &[u8]) -> Self {
        let head = format!("{id} yes ");
        let digits = body.len().to_string();
        let bytes = [head.as_bytes(), digits.as_bytes(), b"\r\n", body, b"\r\n"].concat();
        let (length, end) = (head.len()..head.len() + digits.len(), bytes.len());
        Self { bytes, framing: vec![id.len()..length.end + 2, end - 2..end], length: Some(length) }
    }

    /// A message of text in which each of `content` stands once; the rest is framing.
    pub fn text(text: &str, content: &[&str]) -> Self {
        let mut places: Vec<_> = content.iter().filter(|part| !part.is_empty()).collect();
        places.sort_by_key(|part| text.find(**part));
        let (mut framing, mut from) = (Vec::new(), 0);
        for part in places {
            let Some(at) = text[from..].find(*part).map(|at| from + at) else { continue };
            framing.push(from..at);
            from = at + part.len();
        }
        framing.push(from..text.len());
        framing.retain(|part| !part.is_empty());
        Self { bytes: text.as_bytes().to_vec(), framing, length: None }
    }

    /// An HTTP request whose head ends in its `Content-Length`; only that field and the end of the head are spoilt.
    pub fn request(head: &str, body: &[u8]) -> Self {
        const FIELD: &str = "Content-Length: ";
        let bytes = [head.as_bytes(), body].concat();
        let field = head.rfind(FIELD).unwrap_or_default();
        let length = field + FIELD.len()..head.len().saturating_sub(4);
        let framing = Range { start: field, end: head.len() };
        Self { bytes, framing: vec![framing], length: Some(length) }
    }

    /// A spoilt copy, which differs from the message.
    pub fn spoil(&self, random: &mut Random) -> Vec<u8> {
        loop {
            let spoilt = self.change(random);
            if spoilt != self.bytes {
                return spoilt;
            }
        }
    }

    fn change(&self, random: &mut Random) -> Vec<u8> {
        if let Some(length) = self.length.clone().filter(|_| random.next_u64().is_multiple_of(2)) {
            return self.with_length(length, random);
        }
        let mut bytes = self.bytes.clone();
        let at = self.place(random);
        let inserted = INSERTED[(random.next_u64() % INSERTED.len() as u64) as usize];
        match random.next_u64() % 8 {
            0 => drop(bytes.remove(at)),
            1 => bytes.insert(at, bytes[at]),
            2 => bytes.insert(at, inserted),
            3 => bytes[at] = inserted,
            4 => bytes[at] ^= 0x20,
            5 => bytes.truncate(at),
            6 => bytes.extend_from_slice(&self.bytes[at..]),
            _ => drop(bytes.splice(0..0, std::iter::repeat_n(inserted, 1 + at % 40))),
        }
        bytes
    }

    /// A byte of the framing.
    fn place(&self, random: &mut Random) -> usize {
        let total: usize = self.framing.iter().map(Range::len).sum();
        let mut nth = (random.next_u64() % total.max(1) as u64) as usize;
        for part in &self.framing {
            if nth < part.len() {
                return part.start + nth;
            }
            nth -= part.len();
        }
        0
    }

    fn with_length(&self, length: Range<usize>, random: &mut Random) -> Vec<u8> {
        let digits = String::from_utf8_lossy(&self.bytes[length.clone()]).into_owned();
        let stated: i64 = digits.parse().unwrap_or_default();
        let mut off = |most: u64| (random.next_u64() % (2 * most + 1)) as i64 - most as i64;
        let (few, many) = (off(FEW), off(MANY));
        let changed = match random.next_u64() % 8 {
            0..=3 => (stated + few).to_string(),
            4 | 5 => (stated + many).to_string(),
            6 => format!("0{digits}"),
            _ => NO_LENGTHS[(random.next_u64() % NO_LENGTHS.len() as u64) as usize].to_string(),
        };
        [&self.bytes[..length.start], changed.as_bytes(), &self.bytes[length.end..]].concat()
    }
}

/// Spoils some of the messages of one party.
#[derive(Debug)]
pub struct Spoiler {
    random: Mutex<Random>,
    per_mille: u64,
}

impl Spoiler {
    /// Spoils so many messages in a thousand, drawn from a seed.
    pub fn new(seed: u64, per_mille: u64) -> Self {
        Self { random: Mutex::new(Random::new(seed ^ 0x5b01)), per_mille }
    }

    /// The message as it goes out: mostly as it is.
    pub fn pass(&self, message: &Framed) -> Vec<u8> {
        self.draw(message).unwrap_or_else(|| message.bytes.clone())
    }

    /// A spoilt copy of some of the messages.
    pub fn draw(&self, message: &Framed) -> Option<Vec<u8>> {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        let is_spoilt = random.next_u64() % PER_MILLE < self.per_mille;
        is_spoilt.then(|| message.spoil(&mut random))
    }
}
