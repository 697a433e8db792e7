//! The links between members of a fleet: frames in pieces, and messages of any bytes.

use hopwalk::fleet::wire::codec::{decode, encode, Decoder, Opening, MAX_FRAME};
use hopwalk::fleet::wire::message::{Request, ServerFrame};
use hopwalk::fleet::wire::FrameError;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::alloc::most_held;

/// Longer frames are too long.
const MOST: usize = 96;

type Read = (Vec<Vec<u8>>, Option<FrameError>);

fn read<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Read {
    let (mut decoder, mut bodies) = (Decoder::new(MOST), Vec::new());
    for piece in pieces {
        decoder.push(piece);
        loop {
            match decoder.frame() {
                Ok(Some(body)) => bodies.push(body.to_vec()),
                Ok(None) => break,
                Err(error) => return (bodies, Some(error)),
            }
        }
    }
    (bodies, None)
}

/// What was read is written the same way each time, and read as the same again.
fn again<T: Serialize + DeserializeOwned>(body: &[u8]) {
    match decode::<T>(body) {
        Ok(message) => {
            let frame = encode(&message, MAX_FRAME).expect("a short message is a short frame");
            let same = decode::<T>(&frame[4..]).expect("what was written can be read");
            assert_eq!(encode(&same, MAX_FRAME), Ok(frame));
        }
        Err(error) => assert!(matches!(error, FrameError::Malformed | FrameError::Later), "{error}"),
    }
}

/// Frames however they are cut, and each of them as every message that it could be.
pub fn links(bytes: &[u8]) {
    let ((bodies, error), held) = most_held(|| read([bytes]));
    assert!(held <= 64 * bytes.len() + 16_384, "{held} bytes held for {} read", bytes.len());
    let mut left = bytes.len();
    for body in &bodies {
        assert!(body.len() <= MOST);
        left -= 4 + body.len();
        again::<(u64, Request)>(body);
        again::<ServerFrame>(body);
        if let Ok(opening) = Opening::read(body, "f") {
            assert_eq!(opening, Opening::new("f", opening.name.clone()));
        }
    }
    assert!(error.is_some() || left < 4 + MOST, "{left} bytes are not read");
    let whole = (bodies, error);
    assert_eq!(read(bytes.chunks(1)), whole);
    for at in (1..bytes.len()).step_by(bytes.len() / 48 + 1) {
        assert_eq!(read([&bytes[..at], &bytes[at..]]), whole);
    }
}
