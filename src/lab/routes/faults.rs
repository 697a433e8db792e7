//! What happens to a fleet in the lab: processes that are killed, stopped or started again, and a net that is cut.

use std::fs;
use std::sync::atomic::Ordering;

use nix::sys::signal::Signal;
use serde_json::Value;

use super::super::datagram::DatagramFaults;
use super::super::history::Event;
use super::super::net::Faults;
use super::super::shim::Dial;
use super::setup::record_folder;
use super::{fleet_link, Lab, LabError};

impl Lab {
    pub(super) fn life(&self, name: &str, what: &str) {
        self.history.record(Event::Process { name: name.to_string(), what: what.to_string() });
    }

    /// Kills a matcher.
    ///
    /// # Errors
    /// [`LabError::Unknown`].
    pub fn kill(&mut self, name: &str) -> Result<(), LabError> {
        let m = self.at(name)?;
        if let Some(mut child) = self.matchers[m].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.life(name, "kill");
        }
        Ok(())
    }

    /// Starts a matcher that was killed again, on the folder that it had.
    ///
    /// # Errors
    /// [`LabError::Process`] if it does not start.
    pub fn restart(&mut self, name: &str) -> Result<(), LabError> {
        let m = self.at(name)?;
        let matcher = &mut self.matchers[m];
        (matcher.beside, matcher.paused) = (None, false);
        matcher.start(&self.program, &self.history)?;
        self.life(name, "start");
        Ok(())
    }

    /// Takes a matcher's record from the disk, as long as it does not run: its folder is there, and empty.
    ///
    /// # Errors
    /// [`LabError::File`].
    pub fn lose_folder(&self, name: &str) -> Result<(), LabError> {
        let path = record_folder(&self.folder, name);
        let lost = fs::remove_dir_all(&path).and_then(|()| fs::create_dir(&path));
        lost.map_err(|source| LabError::File { path, source })
    }

    /// Turns dials of the system under a matcher.
    ///
    /// # Errors
    /// [`LabError`] where there is no such matcher, or the lab has no faults of the system.
    pub fn turn_system(&self, name: &str, dials: &[(Dial, i64)]) -> Result<(), LabError> {
        self.matchers[self.at(name)?].turn(dials)
    }

    /// Stops a matcher's process (SIGSTOP).
    ///
    /// # Errors
    /// [`LabError::Unknown`].
    pub fn pause(&mut self, name: &str) -> Result<(), LabError> {
        let m = self.at(name)?;
        self.matchers[m].signal(Signal::SIGSTOP);
        self.matchers[m].paused = true;
        self.life(name, "pause");
        Ok(())
    }

    /// Lets it go on.
    ///
    /// # Errors
    /// [`LabError::Unknown`].
    pub fn resume(&mut self, name: &str) -> Result<(), LabError> {
        let m = self.at(name)?;
        self.matchers[m].signal(Signal::SIGCONT);
        self.matchers[m].paused = false;
        self.life(name, "continue");
        Ok(())
    }

    /// Gives a matcher another vault in its settings and has it read them (SIGHUP): a plain push.
    ///
    /// # Errors
    /// [`LabError::Unknown`], or [`LabError::File`].
    pub fn push_vault(&mut self, name: &str, vault: &str) -> Result<(), LabError> {
        let address = self.service(vault)?.address();
        let m = self.at(name)?;
        let matcher = &mut self.matchers[m];
        let mut config: Value = serde_json::from_str(&matcher.config).unwrap_or_default();
        config["vault"] = Value::String(address.to_string());
        matcher.config = config.to_string();
        let (path, new) = (matcher.dir().join("config.json"), matcher.dir().join("config.json.new"));
        let file = |source| LabError::File { path: path.clone(), source };
        fs::write(&new, &matcher.config).map_err(file)?;
        fs::rename(&new, &path).map_err(file)?;
        matcher.signal(Signal::SIGHUP);
        Ok(())
    }

    /// Puts faults on what these members' links carry, each way named on its own: `out` of what `from` sends to `to`'s
    /// record, `back` of what that answers.
    fn set_link(&self, from: &str, to: &str, faults: Faults) {
        if let Some(link) = self.links.get(&fleet_link(from, to)) {
            // A way that is cut already stays so when the other one is.
            let now = link.faults();
            let both = now.stall && faults.stall && now != faults;
            link.set(Faults {
                one_way: faults.one_way && !both,
                back_only: faults.back_only && !both,
                ..faults
            });
        }
    }

    /// Loses a share of all datagrams between members, and holds each chunk of bytes between their records for `delay_ms`
    /// and up to `jitter_ms` more, each way, until [`Lab::heal`] or a cut.
    pub fn lose(&self, drop: f64, delay_ms: u64, jitter_ms: u64) {
        let faults = Faults { delay_ms, jitter_ms, ..Faults::default() };
        self.links.iter().filter(|(name, _)| name.starts_with("fleet-")).for_each(|(_, l)| l.set(faults));
        let lost = DatagramFaults { drop, delay_ms, jitter_ms, ..DatagramFaults::default() };
        for a in 0..self.setup.matchers {
            (0..self.setup.matchers).for_each(|b| self.peers.set(a, b, lost));
        }
        self.fault("loss", "all", "start");
    }

    /// Nothing that `from` says reaches `to` any more, by record or by datagram; connections stay.
    ///
    /// # Errors
    /// [`LabError::Unknown`].
    pub fn cut_one_way(&self, from: &[&str], to: &[&str]) -> Result<(), LabError> {
        let stall = Faults { stall: true, ..Faults::default() };
        let cut = DatagramFaults { cut: true, ..DatagramFaults::default() };
        for (a, b) in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b) {
            self.set_link(a, b, Faults { one_way: true, ..stall });
            self.set_link(b, a, Faults { back_only: true, ..stall });
            self.peers.set(self.at(a)?, self.at(b)?, cut);
        }
        self.fault("cut", &format!("{}>{}", from.join("+"), to.join("+")), "start");
        Ok(())
    }

    /// Nothing passes any more between the records of `a` and `b`, or from one to the other's; datagrams do.
    pub fn cut_records(&self, a: &[&str], b: &[&str]) {
        let stall = Faults { stall: true, ..Faults::default() };
        for (a, b) in a.iter().flat_map(|a| b.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b) {
            self.set_link(a, b, stall);
            self.set_link(b, a, stall);
        }
        self.fault("cut records", &format!("{}|{}", a.join("+"), b.join("+")), "start");
    }

    /// No datagram passes any more between `a` and `b`; records do.
    ///
    /// # Errors
    /// [`LabError::Unknown`].
    pub fn cut_datagrams(&self, a: &[&str], b: &[&str]) -> Result<(), LabError> {
        let cut = DatagramFaults { cut: true, ..DatagramFaults::default() };
        for (a, b) in a.iter().flat_map(|a| b.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b) {
            self.peers.set(self.at(a)?, self.at(b)?, cut);
            self.peers.set(self.at(b)?, self.at(a)?, cut);
        }
        self.fault("cut datagrams", &format!("{}|{}", a.join("+"), b.join("+")), "start");
        Ok(())
    }

    /// Cuts two sets of members from each other, both ways.
    ///
    /// # Errors
    /// [`LabError::Unknown`].
    pub fn split(&self, a: &[&str], b: &[&str]) -> Result<(), LabError> {
        self.cut_one_way(a, b)?;
        self.cut_one_way(b, a)
    }

    /// Datagrams between members that a fault took so far.
    pub fn lost(&self) -> u64 {
        self.peers.counts.dropped.load(Ordering::Relaxed)
    }

    /// Lifts every fault of the net.
    pub fn heal(&self) {
        self.links.values().for_each(|link| link.set(Faults::default()));
        for a in 0..self.setup.matchers {
            (0..self.setup.matchers).for_each(|b| self.peers.set(a, b, DatagramFaults::default()));
        }
        self.fault("all", "net", "end");
    }

    fn fault(&self, kind: &str, target: &str, phase: &str) {
        let (kind, target, phase) = (kind.to_string(), target.to_string(), phase.to_string());
        self.history.record(Event::Fault { kind, target, phase });
    }
}
