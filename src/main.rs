//! The `hopwalk` program. It parses the command line and runs the server, the console client, the commands for a
//! fleet's operators, or the lab, which tests matchers under faults.

mod fleet_commands;
mod program_error;
mod program_log;
mod signals;

#[cfg(test)]
#[path = "../tests/common/error_samples.rs"]
mod error_samples;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use fleet_commands::FleetCommand;
use hopwalk::lab;
use hopwalk::net::{start_runtime, Node};
use hopwalk::settings::{Appliance, Config};
use hopwalk::{acme, console, error_text};
use program_error::ProgramError;

/// A matchmaking server with admission control under overload.
#[derive(Parser)]
#[command(name = "hopwalk", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a server, configured by RELAY_CONFIG and the other RELAY_* variables (the default without a command).
    Serve,
    /// Sends commands to a server on this machine through its console socket.
    Console {
        /// The console's socket; by default the one named in the appliance file.
        #[arg(long)]
        socket: Option<PathBuf>,
        /// Commands to send one after another; without any, prompts for commands.
        words: Vec<String>,
    },
    /// Shows and controls the fleet of a matcher through its admin endpoint.
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Tests matchers as processes with simulated peers and network faults, checks histories and prints reports.
    Lab {
        #[command(subcommand)]
        command: LabCommand,
    },
}

#[derive(Subcommand)]
enum LabCommand {
    /// Runs a scenario (JSON); without one, 3 matchers for 60 s with a burst of load and a partition from the vault.
    Run {
        scenario: Option<PathBuf>,
        /// Folder for the history and the matchers' files; by default a new one in the temporary folder.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Duration in seconds, instead of the scenario's.
        #[arg(long)]
        seconds: Option<f64>,
        /// The program to start as matchers, such as another version for a comparison; by default this program.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Checks a history against the four rules; exits with 1 if one was broken.
    Check {
        history: PathBuf,
        /// Milliseconds by which an answer may miss its deadline.
        #[arg(long, default_value_t = lab::run::SLACK_MS)]
        slack_ms: u64,
        /// Milliseconds after the first try of a key within which a repeat must not run again.
        #[arg(long, default_value_t = lab::run::KEY_WINDOW_MS)]
        window_ms: u64,
    },
    /// Prints the served share, the latency by class and the figures of each second of a history.
    Report {
        history: PathBuf,
        /// Draws the report and writes it to PLOT.svg and PLOT.png.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Runs many short scenarios with faults drawn from their seeds; exits with 1 if one broke a rule.
    Sweep {
        #[arg(long, default_value_t = 500, value_parser = clap::value_parser!(u64).range(1..=lab::sweep::MOST_SCENARIOS))]
        count: u64,
        /// The first seed; the scenarios use consecutive seeds.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of scenarios that run at the same time.
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=lab::sweep::MOST_AT_ONCE))]
        at_once: u64,
        /// Runs longer scenarios with more matchers and faults, including faults of system calls and of the clock.
        #[arg(long)]
        soak: bool,
        /// The program to start as matchers; by default this program.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Folder that keeps the files of scenarios that broke a rule; by default a new one in the temporary folder.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Switches route versions repeatedly in a fleet under load without faults, and reports how far apart matchers switch.
    Switches {
        /// Number of matchers; the first 3 are voters, or the first 5 if there are 5 or more.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(3..=32))]
        matchers: u64,
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=1000))]
        count: u64,
        /// As a baseline, changes the vault of one matcher after another by SIGHUP instead.
        #[arg(long)]
        push: bool,
        /// Kills the leader before each switch, and reports how long the fleet takes to recover.
        #[arg(long, conflicts_with = "push")]
        kill: bool,
        /// Requests per second, in total.
        #[arg(long, default_value_t = 100.0)]
        rate: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The program to start as matchers; by default this program.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Folder for the history and the matchers' files; by default a new one in the temporary folder.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Measures what a fleet member sends and receives per second, with and without routes, by size and state.
    Traffic {
        /// Sizes of the fleet; the first 3 matchers are voters, or the first 5 if there are 5 or more.
        #[arg(long, value_delimiter = ',', default_value = "3,5,9",
            value_parser = clap::value_parser!(u64).range(3..=32))]
        matchers: Vec<u64>,
        /// Seconds for which each state is measured.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=600))]
        seconds: u64,
        /// Requests per second, in total, in the states with load.
        #[arg(long, default_value_t = 60.0)]
        rate: f64,
        #[command(flatten)]
        lab: LabArgs,
    },
    /// Partitions a fleet repeatedly, and reports how long its members take to agree after each partition heals.
    Heals {
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(3..=32))]
        matchers: u64,
        /// Number of matchers that are cut off from the rest; each partition cuts off different ones.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=31))]
        cut: u64,
        /// Durations of a partition in seconds, measured one after another.
        #[arg(long, value_delimiter = ',', default_value = "3,10,30",
            value_parser = clap::value_parser!(u64).range(1..=600))]
        hold: Vec<u64>,
        /// Number of partitions of each duration.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=1000))]
        count: u64,
        #[command(flatten)]
        lab: LabArgs,
    },
    /// Simulates fleets deterministically, with faults and orders drawn from seeds; exits with 1 if one broke a rule.
    Simulate {
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=lab::sim::command::MOST))]
        members: u64,
        /// The seeds from A to B - 1, as A..B.
        #[arg(long, default_value = "0..20")]
        seeds: lab::sim::command::Seeds,
        /// Simulates orders only, without faults.
        #[arg(long)]
        no_faults: bool,
        /// Simulated seconds after which all faults of a simulation end at the latest.
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=60))]
        seconds: u64,
        /// Number of simulations that run at the same time, each on its own thread.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=64))]
        at_once: u64,
    },
    /// Simulates the fleet's membership deterministically; times are in protocol periods.
    Swim {
        /// Sizes of the fleet.
        #[arg(long, value_delimiter = ',', default_value = "3,5,9,100")]
        members: Vec<u32>,
        /// Share of datagrams that are lost, from 0 to below 1.
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        /// Number of members that die, for each size.
        #[arg(long, default_value_t = 100)]
        kills: u64,
        /// Number of periods in which no member dies, for each size.
        #[arg(long, default_value_t = 1800)]
        quiet: u32,
        /// Number of partitions, for each size.
        #[arg(long, default_value_t = 10)]
        heals: u64,
    },
    /// Prints the default scenario, or the one that `sweep` draws from a seed.
    Scenario {
        #[arg(long)]
        seed: Option<u64>,
    },
}

/// Arguments that the lab commands for fleets share.
#[derive(clap::Args)]
struct LabArgs {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The program to start as matchers; by default this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Folder for the histories and the matchers' files; by default a new one in the temporary folder.
    #[arg(long)]
    out: Option<PathBuf>,
}

fn serve() -> Result<(), ProgramError> {
    // This comes first: until the handlers are installed, a signal would end the process.
    let signals = signals::install().map_err(ProgramError::Signals)?;
    let _log_guard = program_log::start()?;
    let config = Config::from_env()?;
    start_runtime();
    let certificate = acme::SharedCertificate::default();
    let node = Node::start(&config, certificate.clone())?;
    signals::watch(signals, node.handle(), config.clone());
    if let Some(acme) = config.appliance.acme.clone() {
        acme::start(acme, certificate.clone())?;
    }
    if let Some(path) = &config.appliance.console {
        let state = std::sync::Arc::new(move || certificate.describe());
        console::start(path, &config, node.handle(), state, node.has_predecessor())?;
    }
    Ok(node.run()?)
}

fn console_client(socket: Option<PathBuf>, words: &[String]) -> Result<(), ProgramError> {
    let socket = match socket {
        Some(socket) => Some(socket),
        None => Appliance::from_env()?.console,
    };
    let socket = socket.ok_or(ProgramError::NoConsole)?;
    Ok(console::client(&socket, words)?)
}

/// Runs a command for a fleet's operators. Returns false (exit code 1) if the matcher refused the command, and an error
/// (exit code 2) if the command failed for another reason.
fn fleet_command(command: FleetCommand) -> Result<bool, ProgramError> {
    match fleet_commands::run(command) {
        Ok(()) => Ok(true),
        Err(e) if e.is_refusal() => {
            eprintln!("hopwalk: {}", error_text::multi_line(&e));
            Ok(false)
        }
        Err(e) => Err(e.into()),
    }
}

fn lab_folder(out: Option<PathBuf>) -> PathBuf {
    out.unwrap_or_else(|| std::env::temp_dir().join(format!("hopwalk-lab-{}", std::process::id())))
}

fn lab_program(program: Option<PathBuf>) -> Result<PathBuf, ProgramError> {
    program.map_or_else(|| std::env::current_exe().map_err(ProgramError::OwnPath), Ok)
}

fn lab_sweep(
    count: u64,
    seed: u64,
    at_once: u64,
    program: Option<PathBuf>,
    out: Option<PathBuf>,
    draw: fn(u64) -> String,
) -> Result<bool, ProgramError> {
    let (folder, program) = (lab_folder(out), lab_program(program)?);
    let bar = indicatif::ProgressBar::new(count);
    let all = lab::sweep::sweep(seed, count, at_once, &program, &folder, draw, |swept| {
        bar.inc(1);
        match &swept.verdict {
            Ok(verdict) if !verdict.clean() => {
                bar.suspend(|| print!("seed {}: {}\n{}", swept.seed, swept.folder.display(), verdict.table()))
            }
            Err(e) => {
                let message = error_text::multi_line(e);
                bar.suspend(|| println!("seed {}: {}: {message}", swept.seed, swept.folder.display()))
            }
            _ => {}
        }
    });
    bar.finish_and_clear();
    let idle: Vec<_> = all.iter().filter(|s| s.made_no_progress()).map(|s| s.seed.to_string()).collect();
    if !idle.is_empty() {
        println!("no request was served with seeds {}", idle.join(" "));
    }
    let (mut sent, mut breaks) = (0, std::collections::BTreeMap::<&str, u64>::new());
    for verdict in all.iter().filter_map(|s| s.verdict.as_ref().ok()) {
        sent += verdict.sent;
        verdict.counts.iter().for_each(|(rule, n)| *breaks.entry(rule).or_default() += n);
    }
    let unclean = all.iter().filter(|s| !s.clean()).count();
    let void = all.iter().filter(|s| s.verdict.as_ref().is_ok_and(lab::check::Verdict::void)).count();
    println!(
        "{} scenarios from seed {seed}, {sent} requests sent, {unclean} not clean, {void} void",
        all.len()
    );
    lab::check::RULES.iter().for_each(|rule| println!("{rule:<20} {:>7}", breaks.get(rule).unwrap_or(&0)));
    Ok(unclean == 0)
}

fn lab_swim(members: &[u32], loss: f64, kills: u64, quiet: u32, heals: u64) -> Result<bool, ProgramError> {
    if !(0.0..1.0).contains(&loss) {
        return Err(ProgramError::Loss);
    }
    for n in members {
        if !(2..=lab::sim::MOST_MEMBERS).contains(n) {
            return Err(ProgramError::Members);
        }
        let figures = lab::sim::measure(*n, loss, kills, quiet, heals);
        let (suspected, first, all) = (
            lab::sim::mean_and_p99(&figures.suspected),
            lab::sim::mean_and_p99(&figures.first),
            lab::sim::mean_and_p99(&figures.all),
        );
        let healed: Vec<f64> = figures.healed.iter().flatten().copied().collect();
        let heal = lab::sim::mean_and_p99(&healed);
        let joined = figures.joined.map_or("not settled in 200 periods".into(), |(agreed, settled)| {
            format!("all agreed after {agreed:.1} periods, settled after {settled:.1}")
        });
        println!(
            "{n} members, loss {loss}: {joined}, {:.1} simulated seconds a second; of {kills} deaths, suspected after {:.2} (p99 {:.2}), down by one {:.2} ({:.2}), \
             by all {:.2} ({:.2}); false deaths {} in {quiet} periods; a member a period {:.2} datagrams, {:.0} bytes; \
             {} of {heals} heals agreed, after {:.1} ({:.1})",
            figures.pace, suspected.0, suspected.1, first.0, first.1, all.0, all.1, figures.false_deaths, figures.datagrams, figures.bytes,
            healed.len(), heal.0, heal.1
        );
    }
    Ok(true)
}

fn lab_run(
    scenario: Option<PathBuf>,
    out: Option<PathBuf>,
    seconds: Option<f64>,
    program: Option<PathBuf>,
) -> Result<bool, ProgramError> {
    let text = match &scenario {
        Some(path) => {
            let read = std::fs::read_to_string(path);
            read.map_err(|error| ProgramError::File { path: path.clone(), error })?
        }
        None => lab::scenario::DEFAULT.to_string(),
    };
    let mut scenario = lab::scenario::Scenario::parse(&text)?;
    if let Some(seconds) = seconds.filter(|s| *s > 0.0 && *s <= lab::scenario::MOST_SECONDS) {
        scenario.seconds = seconds;
    }
    let (folder, program) = (lab_folder(out), lab_program(program)?);
    let bar = indicatif::ProgressBar::new(scenario.seconds.ceil() as u64);
    bar.set_style(
        indicatif::ProgressStyle::with_template("{elapsed_precise} [{bar:40}] {pos}/{len} s  {msg}")
            .expect("the progress bar template is valid"),
    );
    bar.set_message(format!("{} matchers, {} faults", scenario.matchers, scenario.faults.len()));
    let progress_bar = bar.clone();
    let progress = Box::new(move |done, _| progress_bar.set_position(done));
    let outcome = lab::run::run(&scenario, lab::run::Options { program, folder, progress })?;
    bar.finish_and_clear();
    let (records, _) = lab::history::read(&outcome.history)?;
    let report = lab::report::Report::of(&records);
    println!(
        "{} s, asked {}, sent {}, not sent (load tool full) {}, served share {:.3}",
        outcome.seconds.round(),
        outcome.asked,
        outcome.sent,
        outcome.not_sent,
        report.served_share()
    );
    print!("{}", outcome.verdict.table());
    println!("history: {}", outcome.history.display());
    let plot = outcome.history.with_file_name("plot");
    match lab::report::plot(
        &report,
        &lab::report::windows(&records),
        &plot.with_extension("svg"),
        &plot.with_extension("png"),
    ) {
        Ok(()) => println!("plots: {}.svg and .png", plot.display()),
        Err(e) => eprintln!("hopwalk: cannot draw the plot: {}", error_text::multi_line(&e)),
    }
    Ok(outcome.verdict.clean())
}

fn lab_switches(
    options: lab::routes::series::Asked,
    program: Option<PathBuf>,
    out: Option<PathBuf>,
) -> Result<bool, ProgramError> {
    if !(options.rate > 0.0 && options.rate <= lab::scenario::MOST_RATE) {
        return Err(ProgramError::Rate);
    }
    let (folder, program) = (lab_folder(out), lab_program(program)?);
    let bar = indicatif::ProgressBar::new(options.count);
    let (outcome, deaths) = lab::routes::series::play(&options, &program, &folder, || bar.inc(1))?;
    bar.finish_and_clear();
    print!("{}", outcome.verdict.table());
    for rule in lab::check_routes::RULES {
        println!("{rule:<20} {:>7}", outcome.routes.counts.get(rule).unwrap_or(&0));
    }
    if let Some(routes) = lab::routes_report::RoutesReport::of(&outcome.records) {
        print!("{}", routes.table());
    }
    for (what, times) in [("an activation was taken", deaths.taken), ("all had switched", deaths.switched)] {
        if let Some((p50, p99, max)) = lab::routes_report::quantiles(times) {
            let [p50, p99, max] = [p50, p99, max].map(|us| us as f64 / 1000.0);
            println!("routes: from the leader's death until {what}: median {p50:.0} ms, 99 % {p99:.0} ms, most {max:.0} ms");
        }
    }
    println!("history: {}", outcome.folder.join("history.jsonl").display());
    // Breaks of the route rules do not fail a push: as the baseline, it measures how far versions mix without a switch.
    let push = options.way == lab::routes::series::Way::Push;
    Ok(outcome.verdict.clean() && (push || outcome.routes.breaks() == 0))
}

/// Prints where a run's history is and which rules it broke, if any. Returns true if it broke none.
fn print_broken_rules(outcome: &lab::routes::Outcome) -> bool {
    if !outcome.clean() {
        println!("{}", outcome.table());
    }
    outcome.clean()
}

fn lab_traffic(matchers: &[u64], seconds: u64, rate: f64, args: LabArgs) -> Result<bool, ProgramError> {
    if !(rate > 0.0 && rate <= lab::scenario::MOST_RATE) {
        return Err(ProgramError::Rate);
    }
    let (folder, program, mut clean) = (lab_folder(args.out), lab_program(args.program)?, true);
    let bar = indicatif::ProgressBar::new(5 * matchers.len() as u64);
    for n in matchers {
        let (matchers, window) = (*n as usize, std::time::Duration::from_secs(seconds));
        let options = lab::routes::traffic::Asked { matchers, window, rate, seed: args.seed };
        let subfolder = folder.join(n.to_string());
        let result = lab::routes::traffic::play(&options, &program, &subfolder, || bar.inc(1));
        let (figures, outcomes) = result?;
        print!("{}", figures.table(matchers));
        for outcome in &outcomes {
            clean &= print_broken_rules(outcome);
        }
    }
    bar.finish_and_clear();
    println!("histories: {}", folder.display());
    Ok(clean)
}

fn lab_heals(
    matchers: u64,
    cut: u64,
    holds: &[u64],
    count: u64,
    args: LabArgs,
) -> Result<bool, ProgramError> {
    if cut >= matchers {
        return Err(ProgramError::Cut);
    }
    let (folder, program, mut clean) = (lab_folder(args.out), lab_program(args.program)?, true);
    let bar = indicatif::ProgressBar::new(count * holds.len() as u64);
    let period = lab::routes::heals::PERIOD.as_secs_f64() * 1000.0;
    for hold in holds {
        let (matchers, cut, seed) = (matchers as usize, cut as usize, args.seed);
        let hold = std::time::Duration::from_secs(*hold);
        let options = lab::routes::heals::Asked { matchers, cut, hold, count, seed };
        let subfolder = folder.join(hold.as_secs().to_string());
        let result = lab::routes::heals::play(&options, &program, &subfolder, || bar.inc(1));
        let (heals, outcome) = result?;
        for (what, times) in [("all views are one", heals.views), ("the posture is whole", heals.whole)] {
            let Some((p50, _, max)) = lab::routes_report::quantiles(times) else { continue };
            let (p50, max) = (p50 as f64 / 1000.0, max as f64 / 1000.0);
            println!(
                "heals: {cut} of {matchers} cut off for {} s, {count} times ({} with deaths): from the heal \
                 until {what}: median {p50:.0} ms ({:.1} periods), most {max:.0} ms ({:.1})",
                hold.as_secs(),
                heals.deaths,
                p50 / period,
                max / period
            );
        }
        clean &= print_broken_rules(&outcome);
    }
    bar.finish_and_clear();
    println!("histories: {}", folder.display());
    Ok(clean)
}

fn lab_check(history: &std::path::Path, slack_ms: u64, window_ms: u64) -> Result<bool, ProgramError> {
    let (records, unreadable) = lab::history::read(history)?;
    for (line, e) in &unreadable {
        eprintln!("hopwalk: {}: line {line}: {}", history.display(), error_text::multi_line(e));
    }
    let verdict = lab::check::check(&records, slack_ms, window_ms);
    print!("{}", verdict.table());
    Ok(verdict.clean() && unreadable.is_empty())
}

fn lab_report(history: &std::path::Path, plot: Option<PathBuf>) -> Result<bool, ProgramError> {
    let (records, _) = lab::history::read(history)?;
    let report = lab::report::Report::of(&records);
    print!("{}", report.table());
    if let Some(fleet) = lab::fleet_report::FleetReport::of(&records) {
        print!("{}", fleet.table());
    }
    if let Some(routes) = lab::routes_report::RoutesReport::of(&records) {
        print!("{}", routes.table());
    }
    if let Some(plot) = plot {
        let (svg, png) = (plot.with_extension("svg"), plot.with_extension("png"));
        lab::report::plot(&report, &lab::report::windows(&records), &svg, &png)?;
        println!("plots: {} {}", svg.display(), png.display());
    }
    Ok(true)
}

fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        // Help and version go to standard output with status 0; usage errors go to standard error with status 2.
        Err(e) => {
            let _ = e.print();
            return if e.use_stderr() { ExitCode::from(2) } else { ExitCode::SUCCESS };
        }
    };
    let result = match cli.command {
        None | Some(Command::Serve) => serve().map(|()| true),
        Some(Command::Console { socket, words }) => console_client(socket, &words).map(|()| true),
        Some(Command::Fleet { command }) => fleet_command(command),
        Some(Command::Lab { command }) => match command {
            LabCommand::Run { scenario, out, seconds, program } => lab_run(scenario, out, seconds, program),
            LabCommand::Check { history, slack_ms, window_ms } => lab_check(&history, slack_ms, window_ms),
            LabCommand::Report { history, plot } => lab_report(&history, plot),
            LabCommand::Sweep { count, seed, at_once, soak, program, out } => {
                let draw = if soak { lab::sweep::soak_scenario } else { lab::sweep::scenario };
                lab_sweep(count, seed, at_once, program, out, draw)
            }
            LabCommand::Simulate { members, seeds, no_faults, seconds, at_once } => {
                Ok(lab::sim::command::simulate(members as usize, seeds, !no_faults, seconds * 1000, at_once))
            }
            LabCommand::Swim { members, loss, kills, quiet, heals } => {
                lab_swim(&members, loss, kills, quiet, heals)
            }
            LabCommand::Switches { matchers, count, push, kill, rate, seed, program, out } => {
                let way = match (push, kill) {
                    (true, _) => lab::routes::series::Way::Push,
                    (_, true) => lab::routes::series::Way::Death,
                    _ => lab::routes::series::Way::Switch,
                };
                let matchers = matchers as usize;
                lab_switches(lab::routes::series::Asked { matchers, count, way, rate, seed }, program, out)
            }
            LabCommand::Traffic { matchers, seconds, rate, lab } => {
                lab_traffic(&matchers, seconds, rate, lab)
            }
            LabCommand::Heals { matchers, cut, hold, count, lab } => {
                lab_heals(matchers, cut, &hold, count, lab)
            }
            LabCommand::Scenario { seed } => {
                match seed {
                    Some(seed) => println!("{}", lab::sweep::scenario(seed)),
                    None => print!("{}", lab::scenario::DEFAULT),
                }
                Ok(true)
            }
        },
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("hopwalk: {}", error_text::multi_line(&e));
            ExitCode::from(2)
        }
    }
}
