//! Reads the agent's notices off a link, each one once over all links.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use tracing::warn;

use super::wire::{parse, MOVE};
use crate::core::{End, Input, Notice};
use crate::net::error::NoticeError;
use crate::net::lines::{Buffer, Lines};
use crate::net::Hub;
use crate::told;

/// Reads until the link ends. A notice that cannot be read ends it, as a new link may bring it whole; where that one
/// brings the same again, it is the agent's own, and is passed over: it must not keep back all that follows.
pub(super) fn read_notices(
    link: &mut Buffer,
    cursor: &AtomicU64,
    unreadable: &Mutex<Option<u64>>,
    hub: &Hub,
    settled: impl Fn(),
) -> End {
    let unreadable = || unreadable.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        match next_notice(&mut link.lines, cursor) {
            Ok(Some(Notice::Sampled { ticket: MOVE, .. })) => settled(),
            Ok(Some(notice)) => hub.push(Input::Agent(notice)),
            Ok(None) => {
                if let Err(end) = link.more() {
                    return end;
                }
            }
            Err(why) => {
                let behind = Some(cursor.load(Ordering::Acquire));
                let again = unreadable().take() == behind && !matches!(why, NoticeError::Line);
                let what = if again { "passed over" } else { "the link is made anew" };
                warn!("a notice of the agent cannot be read: {}: {what}", told::in_a_line(&why));
                if !again {
                    *unreadable() = behind;
                    return End::Malformed;
                }
            }
        }
    }
}

/// The next notice that tells something new; none while it is not there whole. `cursor` is the number of the last
/// notice read, over all links: what was told before, on this link or a former one, is not told twice.
pub fn next_notice(lines: &mut Lines, cursor: &AtomicU64) -> Result<Option<Notice>, NoticeError> {
    while let Some(line) = lines.line().map_err(|_| NoticeError::Line)? {
        let (number, notice) = parse(&line)?;
        let told = number.is_some_and(|number| cursor.fetch_max(number, Ordering::AcqRel) >= number);
        if let Some(notice) = notice.filter(|_| !told) {
            return Ok(Some(notice));
        }
    }
    Ok(None)
}
