//! Calls at the operators' doors of a lab's matchers: orders, which are recorded, and looks.

use std::net::SocketAddr;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use serde_json::Value;

use super::{door, Event, Lab, LabError, Ordered, DOOR, LOOK};

impl Lab {
    pub(super) fn look(
        &self,
        name: &str,
        method: &str,
        path: &str,
        body: &str,
        patience: Duration,
    ) -> Result<(u16, String), LabError> {
        door::call(self.door(name)?, method, path, body, patience)
    }

    /// A document at a matcher's door; nothing while it does not answer well.
    fn document(&self, at: &str, path: &str) -> Option<Value> {
        match self.look(at, "GET", path, "", LOOK) {
            Ok((200, told)) => serde_json::from_str(&told).ok(),
            _ => None,
        }
    }

    fn door(&self, name: &str) -> Result<SocketAddr, LabError> {
        let door = *self.matchers[self.at(name)?].door.lock().unwrap_or_else(PoisonError::into_inner);
        door.ok_or_else(|| LabError::NoDoor { name: name.to_string() })
    }

    /// Orders something at a matcher's door, and records it: `propose`, `activate`, `abort`, `rollback`, `admit`, `start`,
    /// `stop`. Any status is an answer.
    ///
    /// # Errors
    /// [`LabError`] where no answer came.
    pub fn order(&self, at: &str, what: &str, body: &str) -> Result<(u16, String), LabError> {
        self.order_beside(at, what, body)?.join().unwrap_or(Ok((0, "the thread failed".into())))
    }

    /// The same from a thread of its own.
    ///
    /// # Errors
    /// [`LabError`] where there is no such matcher or it has no door.
    pub fn order_beside(&self, at: &str, what: &str, body: &str) -> Result<Ordered, LabError> {
        let path = match what {
            "admit" => "/fleet/record/admit".to_string(),
            "start" | "stop" => format!("/fleet/experiment/{what}"),
            _ => format!("/fleet/routes/{what}"),
        };
        let (door, history) = (self.door(at)?, self.history.clone());
        let (at, what, body) = (at.to_string(), what.to_string(), body.to_string());
        Ok(thread::spawn(move || {
            let answer = door::call(door, "POST", &path, &body, DOOR);
            let (status, told) = match &answer {
                Ok((status, told)) => (*status, told.clone()),
                Err(e) => (0, e.to_string()),
            };
            history.record(Event::Order { at, what, status, told });
            answer
        }))
    }

    /// The same, for an order that is to be carried out; what came back, as JSON.
    ///
    /// # Errors
    /// [`LabError::Order`] for another status than 200.
    pub fn done(&self, at: &str, what: &str, body: &str) -> Result<Value, LabError> {
        match self.order(at, what, body)? {
            (200, told) => Ok(serde_json::from_str(&told).unwrap_or_default()),
            (status, told) => Err(LabError::Order { at: at.into(), what: what.into(), status, told }),
        }
    }

    /// What a matcher says of the routes; nothing while it does not answer.
    pub fn show(&self, at: &str) -> Option<Value> {
        self.document(at, "/fleet/routes")
    }

    /// The `experiment` document, as a matcher learns it from the leader.
    pub fn experiments(&self, at: &str) -> Option<Value> {
        self.document(at, "/fleet/experiment")
    }

    /// How a matcher sees its fleet; nothing while it does not answer, or is not joined.
    pub fn members(&self, at: &str) -> Option<Value> {
        self.document(at, "/fleet")
    }

    /// Has a matcher keep callers away (`POST /drain`).
    ///
    /// # Errors
    /// [`LabError`] where no answer came.
    pub fn drain(&self, at: &str) -> Result<(), LabError> {
        self.look(at, "POST", "/drain", "", LOOK).map(drop)
    }

    /// How activations ended, as a matcher learns it from the leader.
    pub fn history(&self, at: &str) -> Option<Value> {
        self.document(at, "/fleet/routes/history")
    }

    /// What the leader told a matcher that asked it; nothing while that reaches none.
    pub fn fleet(&self, at: &str) -> Option<Value> {
        self.show(at).map(|mut told| told["fleet"].take()).filter(|fleet| !fleet.is_null())
    }
}
