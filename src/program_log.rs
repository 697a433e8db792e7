//! The program's log on standard error.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::program_error::ProgramError;
use hopwalk::settings;

/// Lines that wait to be written at most; beyond that, lines are dropped. The last events of all requests, which are
/// logged together, fit.
const QUEUE_LINES: usize = 6_000;

/// Starts the log. Individual requests are logged only if the filter in RELAY_LOG enables it.
///
/// A thread of its own writes the lines, so that nothing waits for a reader that stops, or fails with one that is gone.
/// When the guard is dropped, it waits for the lines that are queued, for a second at most.
pub fn start() -> Result<WorkerGuard, ProgramError> {
    let filter = EnvFilter::try_new(settings::log_filter()).map_err(ProgramError::Log)?;
    let queue = NonBlockingBuilder::default().buffered_lines_limit(QUEUE_LINES);
    let (writer, guard) = queue.finish(std::io::stderr());
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer).with_ansi(false).init();
    Ok(guard)
}
