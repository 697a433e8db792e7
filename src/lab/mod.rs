//! The laboratory: stand-ins of the platform's services, a fault net between processes, a load tool, a history
//! of everything, a checker of the four rules and a report. It starts real processes of this program; the
//! program's own parts never use it.

mod busy;
pub mod check;
pub mod check_routes;
mod connections;
pub mod datagram;
pub mod echo;
pub mod error;
pub mod fleet_report;
pub mod history;
pub mod http;
pub mod load;
mod matcher;
pub mod net;
pub mod ports;
pub mod random;
pub mod report;
pub mod routes;
pub mod routes_report;
pub mod run;
pub mod run_delay;
pub mod scenario;
mod scenario_error;
pub mod services;
pub mod shim;
pub mod sim;
pub mod site;
pub mod spoil;
pub mod stall;
pub mod stand_in;
pub mod stand_in_faults;
pub mod sweep;
mod timeline;
