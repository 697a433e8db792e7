//! Reads the agent's notices from a link, and passes each one on once over all links.

use std::sync::Arc;

use miette::Diagnostic;
use tracing::warn;

use super::position::NoticePosition;
use super::wire::{parse, ParsedNotice};
use crate::core::{End, Input, LinkId, Notice};
use crate::net::error::NoticeError;
use crate::net::lines::{LineDecoder, LineEnd, LinkReader, MAX_LINE};
use crate::net::request_log::RequestEvent;
use crate::net::Hub;

/// Reads the notices of one link.
pub(super) struct Reader {
    pub(super) link: LinkId,
    pub(super) hub: Arc<Hub>,
    pub(super) decoder: NoticeDecoder,
}

impl Reader {
    /// Reads notices until the link ends, and passes them to the reducer. `move_acknowledged` is called when the agent
    /// acknowledges that it has read everything on this link.
    pub(super) fn read_notices(&mut self, reads: &mut LinkReader, move_acknowledged: impl Fn()) -> End {
        loop {
            match self.decoder.next_notice(&mut reads.lines) {
                Ok(Some(Notice::MoveAcknowledged { requested_on })) if requested_on == self.link => {
                    move_acknowledged()
                }
                Ok(Some(notice)) => {
                    let event = RequestEvent::of_notice(&notice, self.link, self.decoder.cursor());
                    event.into_iter().for_each(|event| self.hub.request_log.record(event));
                    self.hub.push(Input::Agent { link: self.link, notice });
                }
                Ok(None) => {
                    if let Err(end) = reads.read_more() {
                        return end;
                    }
                }
                Err(error) => {
                    warn_unreadable(&error, "reconnecting");
                    return End::Malformed;
                }
            }
        }
    }
}

/// Logs why a notice cannot be read and what an operator can do, in a short line each.
fn warn_unreadable(error: &NoticeError, action: &str) {
    warn!("unreadable notice from the agent: {error}: {action}");
    if let Some(help) = error.help() {
        warn!("unreadable notice from the agent: {help}");
    }
}

/// Creates the decoder that buffers the bytes of a link.
pub fn notice_lines() -> LineDecoder {
    LineDecoder::new(MAX_LINE, LineEnd::LineFeed)
}

/// Decodes the notices of one link.
///
/// The agent numbers its notices from 1 on and sends, on a link, all those behind the number that the link asked for. So
/// each number on a link is one above the last. A line that is not a valid notice, or has another number, ends the link,
/// because it may arrive intact on the next one. If the same line comes at the same place there, the agent itself wrote
/// it: a wrong number is accepted then, and an invalid notice is skipped. Otherwise no later notice would ever be read.
/// The agent keeps a limited number of notices: two links in a row that begin behind a gap have lost those before it.
#[derive(Debug)]
pub struct NoticeDecoder {
    position: Arc<NoticePosition>,
    /// Lines that were skipped since the last numbered notice; each of them may have had a number.
    skipped: usize,
    /// The last numbered notice of this link. A copy right behind it is ignored.
    last_line: String,
}

impl NoticeDecoder {
    /// Creates the decoder of a link that asks for all notices behind the present position.
    pub fn new(position: Arc<NoticePosition>) -> Self {
        Self { position, skipped: 0, last_line: String::new() }
    }

    /// The number of the last notice read, over all links.
    pub fn cursor(&self) -> u64 {
        self.position.cursor()
    }

    /// Returns the next notice that is relevant here, or `None` if no complete one has arrived yet.
    ///
    /// # Errors
    /// [`NoticeError`] if a line is not a valid notice, and is not known from an earlier link. Nothing more may be read
    /// from the link then.
    pub fn next_notice(&mut self, lines: &mut LineDecoder) -> Result<Option<Notice>, NoticeError> {
        while let Some(line) = lines.next_line()? {
            let notice = match parse(&line) {
                Ok(ParsedNotice { cursor: Some(cursor), notice }) => self.accept(cursor, notice, line)?,
                Ok(ParsedNotice { cursor: None, notice }) => notice,
                Err(error) => {
                    self.skip(error, &line)?;
                    None
                }
            };
            if notice.is_some() {
                return Ok(notice);
            }
        }
        Ok(None)
    }

    /// Accepts a numbered notice if its number is the next one, or if an earlier link had the same line here.
    fn accept(
        &mut self,
        cursor: u64,
        notice: Option<Notice>,
        line: String,
    ) -> Result<Option<Notice>, NoticeError> {
        if line == self.last_line {
            return Ok(None);
        }
        let last = self.cursor();
        let highest = last + 1 + self.skipped as u64;
        let is_next = (last + 1..=highest).contains(&cursor);
        if !is_next && !self.begins_after_confirmed_gap(cursor, highest) {
            self.skip(NoticeError::OutOfSequence { expected: last + 1, found: cursor }, &line)?;
            if cursor <= last {
                return Ok(None);
            }
        }
        self.position.advance(cursor);
        self.skipped = 0;
        self.last_line = line;
        Ok(notice)
    }

    /// Whether the link begins with this notice, an earlier link began behind a gap too, and the agent has dropped only
    /// more notices since.
    fn begins_after_confirmed_gap(&self, cursor: u64, highest: u64) -> bool {
        self.last_line.is_empty() && cursor > highest && self.position.is_gap_confirmed(cursor)
    }

    /// Skips a line that an earlier link had at the same place, or returns its error.
    fn skip(&mut self, error: NoticeError, line: &str) -> Result<(), NoticeError> {
        if !self.position.is_repeated(self.skipped, line) {
            return Err(error);
        }
        warn_unreadable(&error, "it came again");
        self.skipped += 1;
        Ok(())
    }
}
