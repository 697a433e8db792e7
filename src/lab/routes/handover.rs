//! A matcher whose process is replaced by a new one beside it, step by step, so that either of them can be killed at a
//! step of the handover that its log shows.

use std::fs;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::Value;

use super::super::matcher::Matcher;
use super::super::net::{Faults, Link};
use super::{Lab, LabError, LOOK, READY};

/// How long the last lines of a process that was killed may take to its log.
const LAST_LINES: Duration = Duration::from_secs(5);

/// The name of the link between a new process that is held back and its agent.
fn agent_link(name: &str) -> String {
    format!("{name}-new-agent")
}

impl Lab {
    /// A new process beside the one that runs, with the same settings and temporary folder and an agent of its own; once it
    /// is ready the old one gets SIGTERM, as docs/on-call.md tells.
    ///
    /// # Errors
    /// [`LabError`] if the new one does not get ready.
    pub fn upgrade(&mut self, name: &str) -> Result<(), LabError> {
        self.replace(name, false)?;
        self.adopt(name)?;
        self.retire();
        Ok(())
    }

    /// Starts the new process of an upgrade, and leaves it to itself. One that is `held` does not reach its agent, so it
    /// does not ask for the handover before [`Lab::let_go`].
    ///
    /// # Errors
    /// [`LabError`] if it cannot be started.
    pub fn replace(&mut self, name: &str, held: bool) -> Result<(), LabError> {
        let (m, agent) = (self.at(name)?, self.agent(name));
        let mut agent = agent.address;
        if held {
            let link = agent_link(name);
            let before = Link::start(&link, agent, self.setup.seed, Some(self.history.clone()));
            let before = before.map_err(super::listen_error(&link))?;
            before.set(Faults { cut: true, ..Faults::default() });
            agent = before.address;
            self.links.insert(link, before);
        }
        let runs = &self.matchers[m];
        let beside = runs.beside.clone().unwrap_or_else(|| runs.dir());
        let mut config: Value = serde_json::from_str(&runs.config).unwrap_or_default();
        config["agent"] = Value::String(agent.to_string());
        // Each process has a folder of its own, one that was killed too.
        let killed = self.newcomers.iter().filter(|n| n.name == name).map(|n| n.starts);
        let mut next = Matcher {
            shim: None,
            faults: None,
            name: name.to_string(),
            config: config.to_string(),
            folder: runs.folder.clone(),
            beside: Some(beside),
            heard: runs.heard.clone(),
            child: None,
            process: Arc::default(),
            starts: killed.fold(runs.starts, u32::max),
            log: Arc::default(),
            http: runs.http,
            appliance: runs.appliance.clone(),
            door: Arc::default(),
            paused: false,
            told_to_stop: None,
            logs: runs.logs.clone(),
        };
        next.spawn(&self.program, &self.history)?;
        self.newcomers.push(next);
        Ok(())
    }

    fn newcomer(&self, name: &str) -> Result<usize, LabError> {
        let found = self.newcomers.iter().position(|n| n.name == name && n.child.is_some());
        found.ok_or_else(|| LabError::Unknown { name: format!("new process of {name}") })
    }

    /// Whether the newest process that is to take over has logged these words, or had before it was killed.
    pub fn newcomer_logged(&self, name: &str, words: &str) -> bool {
        let path = self.newcomers.iter().rev().find(|n| n.name == name).map(|n| n.dir().join("log.txt"));
        path.and_then(|path| fs::read_to_string(path).ok()).is_some_and(|log| log.contains(words))
    }

    /// Lets a held process reach its agent.
    pub fn let_go(&self, name: &str) {
        if let Some(link) = self.links.get(&agent_link(name)) {
            link.set(Faults::default());
        }
    }

    /// Kills the process that is to take over. If it took callers already the history has it as a matcher that was killed
    /// and is there again: what it had read is lost with it.
    ///
    /// # Errors
    /// [`LabError::Unknown`] if there is none, [`LabError::Late`] if its log does not end.
    pub fn kill_newcomer(&mut self, name: &str) -> Result<(), LabError> {
        let n = self.newcomer(name)?;
        if let Some(mut child) = self.newcomers[n].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        // The reader of its log holds the other one.
        self.wait_for("the last lines of the process that was killed", LAST_LINES, || {
            (Arc::strong_count(&self.newcomers[n].log) == 1).then_some(()).ok_or("still read".to_string())
        })?;
        if self.newcomer_logged(name, "takes HTTP on") {
            self.life(name, "kill");
            self.life(name, "start");
        }
        Ok(())
    }

    /// Waits until the new process is ready: from then on it is the matcher. The old one, where it was not killed, goes on
    /// until [`Lab::retire`].
    ///
    /// # Errors
    /// [`LabError::Late`] if it does not get ready.
    pub fn adopt(&mut self, name: &str) -> Result<(), LabError> {
        let (m, n) = (self.at(name)?, self.newcomer(name)?);
        let old = std::mem::replace(&mut self.matchers[m], self.newcomers.remove(n));
        let alone = old.child.is_none();
        if !alone {
            self.old.push(old);
        }
        self.wait_for("the new process", READY, || {
            let told = self.look(name, "GET", "/ready", "", LOOK);
            matches!(told, Ok((200, _))).then_some(()).ok_or(format!("{told:?}"))
        })?;
        self.life(name, if alone { "start" } else { "upgrade" });
        Ok(())
    }

    /// Sends SIGTERM to the processes that handed over.
    pub fn retire(&mut self) {
        self.old.iter_mut().for_each(|old| old.signal(Signal::SIGTERM));
    }

    /// Waits until the processes that handed over have ended.
    ///
    /// # Errors
    /// [`LabError::Process`] for one that does not end well.
    pub fn wait_old(&mut self) -> Result<(), LabError> {
        let since = Instant::now();
        for mut old in self.old.drain(..) {
            if let Some(wrong) = old.wait(&self.history, since) {
                return Err(wrong);
            }
        }
        Ok(())
    }
}
