//! Reads the agent's notices off a link, each one once over all links.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tracing::warn;

use super::wire::parse;
use crate::core::{End, Input, LinkId, Notice};
use crate::net::error::NoticeError;
use crate::net::lines::{LineDecoder, LinkReader};
use crate::net::Hub;
use crate::told;

/// Reads one link.
pub(super) struct Reader {
    pub(super) link: LinkId,
    pub(super) hub: Arc<Hub>,
    /// The number of the last notice read, over all links.
    pub(super) cursor: Arc<AtomicU64>,
    /// Behind which notice there was one that could not be read, when a link was given up for that.
    pub(super) unreadable: Arc<Mutex<Option<u64>>>,
}

impl Reader {
    /// Reads until the link ends. A notice that cannot be read ends it, as a new link may bring it whole; where that one
    /// brings the same again, it is the agent's own, and is passed over: it must not keep back all that follows.
    pub(super) fn read_notices(&self, reads: &mut LinkReader, settled: impl Fn()) -> End {
        loop {
            match next_notice(&mut reads.lines, &self.cursor) {
                Ok(Some(Notice::MoveAcknowledged { requested_on })) if requested_on == self.link => settled(),
                Ok(Some(notice)) => self.hub.push(Input::Agent { link: self.link, notice }),
                Ok(None) => {
                    if let Err(end) = reads.read_more() {
                        return end;
                    }
                }
                Err(why) => {
                    if !self.passes_over(&why) {
                        return End::Malformed;
                    }
                }
            }
        }
    }

    /// Whether a notice that cannot be read is passed over, as the link before brought the same.
    fn passes_over(&self, why: &NoticeError) -> bool {
        let behind = Some(self.cursor.load(Ordering::Acquire));
        let again = self.unreadable().take() == behind && !matches!(why, NoticeError::UnreadableLine);
        let what = if again { "passed over" } else { "the link is made anew" };
        warn!("a notice of the agent cannot be read: {}: {what}", told::in_a_line(why));
        if !again {
            *self.unreadable() = behind;
        }
        again
    }

    fn unreadable(&self) -> MutexGuard<'_, Option<u64>> {
        self.unreadable.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The next notice that tells something new; none while it is not there whole. `cursor` is the number of the last
/// notice read, over all links: what was told before, on this link or a former one, is not told twice.
pub fn next_notice(lines: &mut LineDecoder, cursor: &AtomicU64) -> Result<Option<Notice>, NoticeError> {
    while let Some(line) = lines.next_line().map_err(|_| NoticeError::UnreadableLine)? {
        let (number, notice) = parse(&line)?;
        let told = number.is_some_and(|number| cursor.fetch_max(number, Ordering::AcqRel) >= number);
        if let Some(notice) = notice.filter(|_| !told) {
            return Ok(Some(notice));
        }
    }
    Ok(None)
}
