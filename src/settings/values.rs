//! Values that can be read, but that no operator means. The simulator's options are not held to this.

use super::error::{ConfigError, Problem};
use super::node::{text, Node};
use super::Site;
use crate::interface::{Dependency, Repeat};

/// The words that `repeat` knows.
const REPEATS: [&str; 3] = ["idempotent", "deduplicated", "at_most_once"];

/// Turns down values that make no sense, in settings that `site` was read from.
pub fn check(node: &Node, site: &Site) -> Result<(), ConfigError> {
    let (s, sp, rules) = (&site.settings, node.at("specifics")?, node.at("rules")?);
    let part = |node: Node, value: f64| if value > 1.0 { node.bad(Problem::OverOne) } else { Ok(()) };
    part(node.at("over_share_worth")?, s.over_share_worth)?;
    part(rules.at("cold_from")?, s.cold_speed)?;
    if s.max_load_per_core < 1.0 {
        return rules.at("fall_multiple")?.bad(Problem::UnderOne);
    }
    for (p, class) in node.at("profiles")?.items()?.iter().zip(&s.classes) {
        part(p.at("late_value")?, class.late_value)?;
        p.at("repeat")?.some(|node, value| match REPEATS.contains(&text(node, value)?.as_str()) {
            true => Ok(()),
            false => node.bad(Problem::UnknownRepeat),
        })?;
        // Without a window no repeat would be known as one.
        if class.repeat == Repeat::Deduplicated {
            p.at("memory_span_us")?.some(|_, _| Ok(()))?;
        }
    }
    for (worth, class) in sp.at("worth_without")?.items()?.into_iter().zip(&s.classes) {
        part(worth, class.skip_worth)?;
    }
    if s.dependency == Dependency::Shared && s.classes.iter().any(|class| class.makes_calls) {
        if s.call_share == 0.0 {
            return sp.at("calls_out")?.bad(Problem::NoCallsOut);
        }
        if s.call_share < 1.0 && s.call_share_window.is_zero() {
            return sp.at("share_span_us")?.bad(Problem::NoCallSpan);
        }
    }
    Ok(())
}
