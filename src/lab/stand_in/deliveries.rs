//! The replies that runs were given, and what is wrong with one: each belongs to the call that it was made for, and to no other.

use std::collections::HashMap;

use super::asks::{is_reply_to, Ask};

/// Bytes of a reply or call that a fault shows.
const SHOWN: usize = 120;

/// A run as its agent has it when a reply comes.
#[derive(Clone, Copy, Debug)]
pub enum AtReply<'a> {
    /// It waits for the call that this notice asked for, with this body. Where the asks of its vault are known, `ask` is the
    /// request's ask in force.
    Waiting { notice: u64, body: &'a [u8], ask: Option<&'a Ask> },
    /// It goes on, and waits for nothing.
    Running,
    /// It is over, or was never launched.
    Over,
}

/// A reply that came.
#[derive(Debug)]
struct Delivery {
    reply: Vec<u8>,
    /// Over which link, and behind how many notices.
    link: u64,
    notices: usize,
}

/// All replies, by the handle of their run.
#[derive(Debug, Default)]
pub struct Deliveries(HashMap<String, Vec<Delivery>>);

impl Deliveries {
    /// Notes a reply; says what is wrong with it, beginning with the kind of the fault.
    pub fn note(
        &mut self,
        handle: &str,
        run: AtReply,
        reply: &[u8],
        link: u64,
        notices: usize,
    ) -> Option<String> {
        let earlier = self.0.entry(handle.into()).or_default();
        let came_before = earlier.iter().any(|d| d.reply == reply);
        earlier.push(Delivery { reply: reply.to_vec(), link, notices });
        let kind = match run {
            AtReply::Waiting { body, ask: None, .. } if reply == [b"reply:", body].concat() => return None,
            AtReply::Waiting { body, ask: Some(ask), .. } if ask.body == body && reply == ask.reply() => {
                if ask.was_answered_in_time {
                    return None;
                }
                "reply_after_stated_time"
            }
            AtReply::Waiting { body, ask: Some(_), .. } if is_reply_to(body, reply) => {
                "reply_of_abandoned_ask"
            }
            AtReply::Waiting { .. } => "reply",
            AtReply::Running | AtReply::Over if came_before => "reply_again",
            AtReply::Running => "reply_late",
            // Its request was over before the reply came.
            AtReply::Over => return None,
        };
        let call = match run {
            AtReply::Waiting { notice, body, ask } => {
                let ask = ask.map_or(String::new(), |ask| format!(" ask {:016x}", ask.number));
                format!("notice {notice} [{}]{ask}", shown(body))
            }
            AtReply::Running | AtReply::Over => "none".into(),
        };
        let delivers: Vec<_> =
            earlier.iter().map(|d| format!("link {} behind notice {}", d.link, d.notices)).collect();
        Some(format!("{kind} got=[{}] call={call} delivers=[{}]", shown(reply), delivers.join("; ")))
    }
}

fn shown(bytes: &[u8]) -> String {
    String::from_utf8_lossy(&bytes[..bytes.len().min(SHOWN)]).into_owned()
}
