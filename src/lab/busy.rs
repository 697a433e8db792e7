//! Processes that take processor time from the matchers beside them, for as long as the lab plays.

use std::process::{Child, Command, Stdio};

/// Busy processes of one lab, at most.
pub const MOST_BUSY: usize = 16;

/// Counts in a loop, and looks now and then whether the lab that started it is still there.
const LOOP: &str =
    "while kill -0 $PPID 2>/dev/null; do i=0; while [ $i -lt 20000 ]; do i=$((i+1)); done; done";

/// The busy processes of a lab; they end with it.
pub struct Busy(Vec<Child>);

impl Busy {
    /// Starts so many.
    pub fn start(count: usize) -> std::io::Result<Self> {
        let mut busy = Self(Vec::new());
        for _ in 0..count.min(MOST_BUSY) {
            let mut command = Command::new("sh");
            command.args(["-c", LOOP]).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
            busy.0.push(command.spawn()?);
        }
        Ok(busy)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
