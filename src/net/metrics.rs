//! Renders all counters in the text format of Prometheus, for the admin endpoint.

use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::call_routing::route_states;
use super::Hub;
use crate::core::Query;
use crate::fleet;
use crate::interface::RouteState;

/// The last line of a text.
const EOF_LINE: &str = "# EOF\n";

/// Renders all metrics. Returns `None` if the reducer does not answer within `timeout`. Must be called from a
/// coroutine.
pub(super) fn render(hub: &Hub, timeout: Duration) -> Option<String> {
    let (ticket, answer) = hub.submit_query(Query::Counters);
    let lines = hub.queries.wait(ticket, &answer, timeout);
    let mut registry = Registry::with_prefix("hopwalk");
    let counters = lines?.into_iter().filter_map(|(name, n)| Some((name, n.parse().ok()?)));
    register_counters(&mut registry, "core", "Counted by the reducer since the start", counters);
    if let Some(status) = hub.fleet.as_ref().and_then(fleet::MembershipHandle::status) {
        let membership =
            fleet::status::named_counts(&status.counts).into_iter().map(|(name, n)| (name.to_string(), n));
        register_counters(
            &mut registry,
            "membership",
            "Counted by the fleet's membership since the start",
            membership,
        );
    }
    if let Some(routing) = &hub.routing {
        let open = Family::<Vec<(String, String)>, Gauge>::default();
        for (class, state) in route_states(&**routing, &hub.classes()) {
            open.get_or_create(&vec![("class".to_string(), class)]).set(i64::from(state == RouteState::Open));
        }
        registry.register("routes_open", "1 where the calls of a class are made", open);
    }
    let mut text = String::new();
    encode(&mut text, &registry).ok()?;
    // The counters of the routes come as a text of their own: the last line of the first text is left out.
    let routes_text = hub.routing.as_ref().map(|routing| routing.metrics());
    Some(match routes_text {
        Some(routes_text) => text.strip_suffix(EOF_LINE).unwrap_or(&text).to_string() + &routes_text,
        None => text,
    })
}

/// Registers counters under one metric name; the label `what` tells them apart.
fn register_counters(
    registry: &mut Registry,
    name: &str,
    help: &str,
    counters: impl Iterator<Item = (String, u64)>,
) {
    let family = Family::<Vec<(String, String)>, Counter>::default();
    for (what, n) in counters {
        family.get_or_create(&vec![("what".to_string(), what)]).inc_by(n);
    }
    registry.register(name, help, family);
}
