//! What operators are told, in JSON. No I/O.

use std::time::Duration;

use serde_json::{json, Value};

use crate::fleet::decided::{Applied, State};
use crate::fleet::experiment::record as experiments;
use crate::fleet::experiment::record::{End, WINNER_OPERATOR};
use crate::fleet::experiment::summary;
use crate::fleet::posture::Ears;
use crate::fleet::record::Standing;
use crate::fleet::routes::lease::Given;
use crate::fleet::routes::member::Member;
use crate::fleet::routes::record::{self as routes, Stage, Why};
use crate::fleet::routes::{Activation, Fence, Life, Version};
use crate::fleet::wire::message::Look;

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn fence(fence: Fence) -> Value {
    json!({ "turn": fence.turn, "version": fence.version })
}

fn activation(a: Activation) -> Value {
    json!({ "turn": a.fence.turn, "version": a.fence.version, "hash": a.hash.to_string() })
}

fn why(why: &Why) -> Value {
    match why {
        Why::Refused(life, refusal) => json!({ "refused_by": life.name, "because": refusal.to_string() }),
        Why::Silent(life) => json!({ "silent": life.name }),
        Why::Operator(by) => json!({ "operator": by }),
    }
}

/// What became of the table that was made of a winner. Nobody but an operator begins its activation a second time.
fn winners(made: Version, on: Fence, routes: &routes::State) -> Value {
    let its = |f: Fence| f.version == made && f.turn > on.turn;
    let told = |stage: &str, help: String| json!({ "stage": stage, "help": help });
    let again = match routes.table(made) {
        Some(_) => format!("`hopwalk fleet routes activate {made}`"),
        None => format!("propose the table anew, as version {made} is not kept any more, and activate that"),
    };
    if let Some(run) = routes.run().filter(|run| its(run.activation.fence)) {
        let mut document = told("on its way", "`hopwalk fleet routes show` says how far it is".into());
        document["turn"] = json!(run.activation.fence.turn);
        return document;
    }
    if let Some(active) = routes.active().filter(|active| its(active.fence)) {
        let mut document = told("active", "there is nothing to do".into());
        document["turn"] = json!(active.fence.turn);
        return document;
    }
    if routes.made() == Some(made) {
        return told("waits", "it begins once the activation that is on its way has ended".into());
    }
    let begun = routes.history().filter(|past| its(past.fence)).skip_while(|past| past.by != WINNER_OPERATOR);
    let Some(last) = begun.last() else {
        let help =
            format!("another table was activated before it, or too long ago; if it is wanted: {again}");
        return told("not begun", help);
    };
    let mut document = match &last.aborted {
        Some(_) => told(
            "aborted",
            format!("it is not tried again by itself: mend what `because` names, then {again}"),
        ),
        None => {
            told("switched away from", format!("another table became active since; if it is wanted: {again}"))
        }
    };
    (document["turn"], document["because"]) = (json!(last.fence.turn), json!(last.aborted.as_ref().map(why)));
    document
}

/// What the leader tells at `now`.
pub fn leaders<'a>(
    look: Look,
    state: &State,
    standing: &Standing,
    given: impl Iterator<Item = (&'a Life, &'a Given)>,
    now: Duration,
) -> Value {
    match look {
        Look::Routes => {
            let member = |(life, g): (&Life, &Given)| {
                json!({
                    "name": life.name,
                    "incarnation": life.incarnation,
                    "lease_ms": ms(g.end.saturating_sub(now)),
                    "prepared": g.prepared,
                    "acknowledged": g.acknowledged,
                })
            };
            let run = state.routes.run().map(|run| {
                let mut on_its_way = activation(run.activation);
                on_its_way["by"] = json!(run.by);
                on_its_way["stage"] = match run.stage {
                    Stage::Preparing => json!("preparing"),
                    Stage::Committed(_) => json!("committed"),
                };
                on_its_way
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
        Look::History => {
            let past = |past: &routes::Past| {
                json!({
                    "turn": past.fence.turn,
                    "version": past.fence.version,
                    "by": past.by,
                    "aborted": past.aborted.as_ref().map(why),
                })
            };
            json!({ "activations": state.routes.history().map(past).collect::<Vec<_>>() })
        }
        Look::Experiments => {
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
                    "activation": past.made.map(|made| winners(made, past.on, &state.routes)),
                    "document": past.experiment,
                })
            };
            let history = state.experiments.history().map(ended).collect::<Vec<_>>();
            json!({ "running": run, "history": history })
        }
    }
}

/// What the member at the door knows itself, whoever leads.
pub fn own(member: &Member, now: Duration, ears: &Ears, leader: Option<&str>) -> Value {
    let (lease, switch) = member.promises();
    let clock = match member.clock(now) {
        Ok(bound) => json!({ "bound_us": u64::try_from(bound.as_micros()).unwrap_or(u64::MAX) }),
        Err(e) => json!({ "problem": e.to_string() }),
    };
    json!({
        "name": member.life().name,
        "incarnation": member.life().incarnation,
        "posture": ears.posture(now).name(),
        "unheard": ears.unheard(now),
        "membership_hears": ears.by_membership(now),
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

/// What an order came to.
pub fn done(applied: &Applied) -> Value {
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
    fn what_became_of_a_winners_table_is_told_with_what_can_be_done() {
        let mut state = routes::State::default();
        for port in 1..=2 {
            state.apply(&Entry::Propose { table: table(port), by: "o".into() }).unwrap();
        }
        let turn = begin(&mut state, 1, "o");
        finish(&mut state, turn);
        let on = state.active().unwrap().fence;
        // An activation of the same table before the experiment's end is another matter.
        let turn = begin(&mut state, 2, "o");
        state.apply(&Entry::Abort { turn, why: Why::Operator("o".into()) }).unwrap();
        let told = |state: &routes::State| winners(2, on, state);
        assert_eq!(told(&state)["stage"], "not begun");
        assert_eq!(state.make(Table::parse(&table(2)).unwrap()), 2);
        assert_eq!(told(&state)["stage"], "waits");
        let turn = begin(&mut state, 2, WINNER_OPERATOR);
        assert_eq!((&told(&state)["stage"], &told(&state)["turn"]), (&json!("on its way"), &json!(turn)));
        let silent = Why::Silent(Life { name: "m3".into(), incarnation: 1 });
        state.apply(&Entry::Abort { turn, why: silent }).unwrap();
        let aborted = told(&state);
        assert_eq!((&aborted["stage"], &aborted["turn"]), (&json!("aborted"), &json!(turn)));
        assert_eq!(aborted["because"], json!({ "silent": "m3" }));
        let help = aborted["help"].as_str().unwrap();
        assert!(help.contains("not tried again") && help.contains("fleet routes activate 2"), "{help}");
        // An operator's activation of it counts as its own.
        let turn = begin(&mut state, 2, "o");
        finish(&mut state, turn);
        assert_eq!((&told(&state)["stage"], &told(&state)["turn"]), (&json!("active"), &json!(turn)));
        let turn = begin(&mut state, 1, "o");
        finish(&mut state, turn);
        assert_eq!(told(&state)["stage"], "switched away from");
        for port in 100..200 {
            state.apply(&Entry::Propose { table: table(port), by: "o".into() }).unwrap();
        }
        // Both were active last, and are kept; a third one moves the older one out.
        let turn = begin(&mut state, 100, "o");
        finish(&mut state, turn);
        for port in 200..300 {
            state.apply(&Entry::Propose { table: table(port), by: "o".into() }).unwrap();
        }
        let help = told(&state)["help"].clone();
        assert!(help.as_str().unwrap().contains("propose the table anew"), "{help}");
    }
}
