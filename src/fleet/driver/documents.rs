//! The JSON documents that answer operators' orders: the state of the routes and experiments as the leader knows it,
//! what a single member knows itself, and the results of orders. No I/O.

use std::time::Duration;

use serde_json::{json, Value};

use crate::fleet::experiment::record as experiments;
use crate::fleet::experiment::record::{End, WINNER_OPERATOR};
use crate::fleet::experiment::summary;
use crate::fleet::posture::Reachability;
use crate::fleet::record::Standing;
use crate::fleet::routes::lease::GrantedLease;
use crate::fleet::routes::member::Member;
use crate::fleet::routes::record::{self as routes, AbortReason, Stage};
use crate::fleet::routes::{Activation, Fence, MemberIncarnation, Version};
use crate::fleet::state_machine::{Applied, State};
use crate::fleet::wire::message::DocumentKind;

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn fence(fence: Fence) -> Value {
    json!({ "turn": fence.turn, "version": fence.version })
}

fn activation(a: Activation) -> Value {
    json!({ "turn": a.fence.turn, "version": a.fence.version, "hash": a.hash.to_string() })
}

fn abort_reason(why: &AbortReason) -> Value {
    match why {
        AbortReason::Refused(life, refusal) => {
            json!({ "refused_by": life.name, "because": refusal.to_string() })
        }
        AbortReason::Silent(life) => json!({ "silent": life.name }),
        AbortReason::Operator(by) => json!({ "operator": by }),
    }
}

/// The state of the activation of a winner's table, which is version `made`; the experiment ran under the fence `on`.
/// The leader begins this activation only once: a second one needs an operator's order.
fn winner_activation(made: Version, on: Fence, routes: &routes::State) -> Value {
    let is_of_winner = |f: Fence| f.version == made && f.turn > on.turn;
    let document_of = |stage: &str, help: String| json!({ "stage": stage, "help": help });
    let next_step = match routes.table(made) {
        Some(_) => format!("`hopwalk fleet routes activate {made}`"),
        None => format!("propose the table anew, as version {made} is not kept any more, and activate that"),
    };
    if let Some(run) = routes.open_activation().filter(|run| is_of_winner(run.activation.fence)) {
        let mut document = document_of("on its way", "`hopwalk fleet routes show` says how far it is".into());
        document["turn"] = json!(run.activation.fence.turn);
        return document;
    }
    if let Some(active) = routes.active().filter(|active| is_of_winner(active.fence)) {
        let mut document = document_of("active", "there is nothing to do".into());
        document["turn"] = json!(active.fence.turn);
        return document;
    }
    if routes.experiment_winner() == Some(made) {
        return document_of("waits", "it begins once the activation that is on its way has ended".into());
    }
    let begun = routes
        .history()
        .filter(|past| is_of_winner(past.fence))
        .skip_while(|past| past.by != WINNER_OPERATOR);
    let Some(last) = begun.last() else {
        let help =
            format!("another table was activated before it, or too long ago; if it is wanted: {next_step}");
        return document_of("not begun", help);
    };
    let mut document = match &last.aborted {
        Some(_) => document_of(
            "aborted",
            format!("it is not tried again by itself: mend what `because` names, then {next_step}"),
        ),
        None => document_of(
            "switched away from",
            format!("another table became active since; if it is wanted: {next_step}"),
        ),
    };
    (document["turn"], document["because"]) =
        (json!(last.fence.turn), json!(last.aborted.as_ref().map(abort_reason)));
    document
}

/// The document that the leader returns at `now`. `given` are the leases that it knows of.
pub fn leader_document<'a>(
    look: DocumentKind,
    state: &State,
    standing: &Standing,
    given: impl Iterator<Item = (&'a MemberIncarnation, &'a GrantedLease)>,
    now: Duration,
) -> Value {
    match look {
        DocumentKind::Routes => {
            let member = |(life, g): (&MemberIncarnation, &GrantedLease)| {
                json!({
                    "name": life.name,
                    "incarnation": life.incarnation,
                    "lease_ms": ms(g.end.saturating_sub(now)),
                    "prepared": g.prepared,
                    "acknowledged": g.acknowledged,
                })
            };
            let run = state.routes.open_activation().map(|run| {
                let mut pending = activation(run.activation);
                pending["by"] = json!(run.by);
                pending["stage"] = match run.stage {
                    Stage::Preparing => json!("preparing"),
                    Stage::Committed(_) => json!("committed"),
                };
                pending
            });
            let tables = state.routes.tables();
            let tables: Vec<_> =
                tables.map(|(v, t)| json!({ "version": v, "hash": t.hash().to_string() })).collect();
            json!({
                "leader": standing.leader,
                "term": standing.term,
                "applied": standing.applied,
                "active": state.routes.active().map(activation),
                "pending": run,
                "tables": tables,
                "members": given.map(member).collect::<Vec<_>>(),
            })
        }
        DocumentKind::History => {
            let past = |past: &routes::EndedActivation| {
                json!({
                    "turn": past.fence.turn,
                    "version": past.fence.version,
                    "by": past.by,
                    "aborted": past.aborted.as_ref().map(abort_reason),
                })
            };
            json!({ "activations": state.routes.history().map(past).collect::<Vec<_>>() })
        }
        DocumentKind::Experiments => {
            let run = state.experiments.running_experiment().map(|run| {
                json!({
                    "name": run.experiment.name,
                    "by": run.by,
                    "on": fence(run.on),
                    "activate": run.activate,
                    "closed": run.evaluation.closed(),
                    "blocks": run.experiment.blocks(),
                    "verdict": run.evaluation.verdict(&run.experiment, Duration::ZERO),
                    "evidence": summary::running(&run.experiment, &run.evaluation),
                    "document": run.experiment,
                })
            });
            let ended = |past: &experiments::EndedExperiment| {
                let end = match &past.end {
                    End::Verdict { verdict, at_ms } => json!({ "verdict": verdict, "at_ms": at_ms }),
                    End::Stopped { by } => json!({ "stopped_by": by }),
                    End::Overtaken { active } => json!({ "overtaken": active.map(fence) }),
                };
                json!({
                    "name": past.experiment.name,
                    "by": past.by,
                    "on": fence(past.on),
                    "closed": past.closed,
                    "end": end,
                    "evidence": summary::ended(past),
                    "made": past.made,
                    "activation": past.made.map(|made| winner_activation(made, past.on, &state.routes)),
                    "document": past.experiment,
                })
            };
            let history = state.experiments.history().map(ended).collect::<Vec<_>>();
            json!({ "running": run, "history": history })
        }
    }
}

/// The document about what a member knows itself, also without a leader.
pub fn member_document(
    member: &Member,
    now: Duration,
    reachability: &Reachability,
    leader: Option<&str>,
) -> Value {
    let (lease, switch) = member.lease_and_switch();
    let clock = match member.clock(now) {
        Ok(bound) => json!({ "bound_us": u64::try_from(bound.as_micros()).unwrap_or(u64::MAX) }),
        Err(e) => json!({ "problem": e.to_string() }),
    };
    json!({
        "name": member.identity().name,
        "incarnation": member.identity().incarnation,
        "posture": reachability.posture(now).name(),
        "unheard": reachability.unreachable_voters(now),
        "membership_hears": reachability.membership_reachable(now),
        "leader": leader,
        "ready": member.ready(now),
        "lease_ms": ms(lease.until().saturating_sub(now)),
        "active": member.active().map(activation),
        "switch": switch.map(|(turn, window)| json!({
            "turn": turn,
            "in_ms": ms(window.high.saturating_sub(now)),
            "bound_us": u64::try_from(window.bound().as_micros()).unwrap_or(u64::MAX),
        })),
        "clock": clock,
    })
}

/// The document about the result of an order.
pub fn order_result(applied: &Applied) -> Value {
    match applied {
        Applied::Routes(routes::Applied::Proposed(version)) => json!({ "version": version }),
        Applied::Routes(routes::Applied::Moved(turn)) => json!({ "turn": turn }),
        Applied::Experiment(experiments::Applied::Started) => json!({ "started": true }),
        Applied::Experiment(experiments::Applied::Taken { block }) => json!({ "block": block }),
        Applied::Experiment(experiments::Applied::Ended(verdict)) => json!({ "ended": verdict }),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::routes::record::{Entry, Stamp};
    use crate::fleet::routes::table::Table;

    fn table(port: u16) -> String {
        format!(
            r#"{{"pools":{{"a":[{{"address":"127.0.0.1:{port}","weight":1}}]}},
                "routes":[{{"class":"c","pool":"a","timeout_ms":100,"tries":1}}]}}"#
        )
    }

    fn begin(state: &mut routes::State, version: Version, by: &str) -> u64 {
        match state.apply(&Entry::Prepare { version, by: by.into() }) {
            Ok(routes::Applied::Moved(turn)) => turn,
            other => panic!("{other:?}"),
        }
    }

    fn finish(state: &mut routes::State, turn: u64) {
        let at = Stamp { term: 1, at: Duration::ZERO };
        state.apply(&Entry::Commit { turn, at }).unwrap();
        state.apply(&Entry::Done { turn }).unwrap();
    }

    #[test]
    fn the_state_of_a_winners_table_is_reported_with_the_next_step() {
        let mut state = routes::State::default();
        for port in 1..=2 {
            state.apply(&Entry::Propose { table: table(port), by: "o".into() }).unwrap();
        }
        let turn = begin(&mut state, 1, "o");
        finish(&mut state, turn);
        let on = state.active().unwrap().fence;
        // An activation of the same table before the end of the experiment does not count.
        let turn = begin(&mut state, 2, "o");
        state.apply(&Entry::Abort { turn, why: AbortReason::Operator("o".into()) }).unwrap();
        let document = |state: &routes::State| winner_activation(2, on, state);
        assert_eq!(document(&state)["stage"], "not begun");
        assert_eq!(state.keep_experiment_winner(Table::parse(&table(2)).unwrap()), 2);
        assert_eq!(document(&state)["stage"], "waits");
        let turn = begin(&mut state, 2, WINNER_OPERATOR);
        assert_eq!(
            (&document(&state)["stage"], &document(&state)["turn"]),
            (&json!("on its way"), &json!(turn))
        );
        let silent = AbortReason::Silent(MemberIncarnation { name: "m3".into(), incarnation: 1 });
        state.apply(&Entry::Abort { turn, why: silent }).unwrap();
        let aborted = document(&state);
        assert_eq!((&aborted["stage"], &aborted["turn"]), (&json!("aborted"), &json!(turn)));
        assert_eq!(aborted["because"], json!({ "silent": "m3" }));
        let help = aborted["help"].as_str().unwrap();
        assert!(help.contains("not tried again") && help.contains("fleet routes activate 2"), "{help}");
        // An operator's activation of the table counts as well.
        let turn = begin(&mut state, 2, "o");
        finish(&mut state, turn);
        assert_eq!((&document(&state)["stage"], &document(&state)["turn"]), (&json!("active"), &json!(turn)));
        let turn = begin(&mut state, 1, "o");
        finish(&mut state, turn);
        assert_eq!(document(&state)["stage"], "switched away from");
        for port in 100..200 {
            state.apply(&Entry::Propose { table: table(port), by: "o".into() }).unwrap();
        }
        // Both tables were active last and are kept. A third one evicts the older one.
        let turn = begin(&mut state, 100, "o");
        finish(&mut state, turn);
        for port in 200..300 {
            state.apply(&Entry::Propose { table: table(port), by: "o".into() }).unwrap();
        }
        let help = document(&state)["help"].clone();
        assert!(help.as_str().unwrap().contains("propose the table anew"), "{help}");
    }
}
