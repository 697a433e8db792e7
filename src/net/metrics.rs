//! What was counted, in the text format of Prometheus, for the operators' door.

use std::time::{Duration, Instant};

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::call_routing::ways;
use super::Hub;
use crate::core::Query;
use crate::fleet;
use crate::interface::RouteState;

/// The last line of a text.
const END: &str = "# EOF\n";
/// Between two looks at whether the reducer answered.
const LOOK: Duration = Duration::from_millis(2);

/// All of it; none where the reducer does not answer within `patience`. Waits in a coroutine.
pub(super) fn render(hub: &Hub, patience: Duration) -> Option<String> {
    let (ticket, answer) = hub.submit_query(Query::Counters);
    let since = Instant::now();
    let lines = loop {
        match answer.try_recv() {
            Ok(lines) => break Some(lines),
            Err(_) if since.elapsed() >= patience => break None,
            Err(_) => crate::net::spawn::sleep(LOOK),
        }
    };
    hub.queries().remove(&ticket);
    let mut registry = Registry::with_prefix("hopwalk");
    let counted = lines?.into_iter().filter_map(|(name, n)| Some((name, n.parse().ok()?)));
    count(&mut registry, "core", "Counted by the reducer since the start", counted);
    if let Some(status) = hub.fleet.as_ref().and_then(fleet::Link::status) {
        let all = fleet::status::counted(&status.counts).into_iter().map(|(name, n)| (name.to_string(), n));
        count(&mut registry, "membership", "Counted by the fleet's membership since the start", all);
    }
    if let Some(routing) = &hub.routing {
        let open = Family::<Vec<(String, String)>, Gauge>::default();
        for (class, way) in ways(&**routing, &hub.classes()) {
            open.get_or_create(&vec![("class".to_string(), class)]).set(i64::from(way == RouteState::Open));
        }
        registry.register("routes_open", "1 where the calls of a class are made", open);
    }
    let mut text = String::new();
    encode(&mut text, &registry).ok()?;
    // What the routes counted is a text of its own: the end of the first one is left out.
    let routes = hub.routing.as_ref().map(|routing| routing.metrics());
    Some(match routes {
        Some(routes) => text.strip_suffix(END).unwrap_or(&text).to_string() + &routes,
        None => text,
    })
}

/// Counters under one name, by what they count.
fn count(registry: &mut Registry, name: &str, help: &str, counts: impl Iterator<Item = (String, u64)>) {
    let family = Family::<Vec<(String, String)>, Counter>::default();
    for (what, n) in counts {
        family.get_or_create(&vec![("what".to_string(), what)]).inc_by(n);
    }
    registry.register(name, help, family);
}
