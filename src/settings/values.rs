//! Rejects values that are well-formed but make no sense. The simulator's options are not checked for this.

use super::error::{ConfigError, Problem};
use super::node::{string, Node};
use super::Site;
use crate::interface::{Dependency, Repeat};

/// The values of the key `repeat`.
const REPEATS: [&str; 3] = ["idempotent", "deduplicated", "at_most_once"];

/// Rejects values that make no sense, in the settings that `site` was read from.
pub fn check(node: &Node, site: &Site) -> Result<(), ConfigError> {
    let (s, specifics, rules) = (&site.settings, node.get("specifics")?, node.get("rules")?);
    let check_part = |node: Node, value: f64| if value > 1.0 { node.error(Problem::OverOne) } else { Ok(()) };
    check_part(node.get("over_share_worth")?, s.over_share_worth)?;
    check_part(rules.get("cold_from")?, s.cold_speed)?;
    if s.max_load_per_core < 1.0 {
        return rules.get("fall_multiple")?.error(Problem::UnderOne);
    }
    for (profile, class) in node.get("profiles")?.items()?.iter().zip(&s.classes) {
        check_part(profile.get("late_value")?, class.late_value)?;
        profile.get("repeat")?.required(|node, value| {
            match REPEATS.contains(&string(node, value)?.as_str()) {
                true => Ok(()),
                false => node.error(Problem::UnknownRepeat),
            }
        })?;
        // Without a window no repeat would be recognized as one.
        if class.repeat == Repeat::Deduplicated {
            profile.get("memory_span_us")?.required(|_, _| Ok(()))?;
        }
    }
    for (worth, class) in specifics.get("worth_without")?.items()?.into_iter().zip(&s.classes) {
        check_part(worth, class.skip_worth)?;
    }
    if s.dependency == Dependency::Shared && s.classes.iter().any(|class| class.makes_calls) {
        if s.call_share == 0.0 {
            return specifics.get("calls_out")?.error(Problem::NoCallsOut);
        }
        if s.call_share < 1.0 && s.call_share_window.is_zero() {
            return specifics.get("share_span_us")?.error(Problem::NoCallSpan);
        }
    }
    Ok(())
}
