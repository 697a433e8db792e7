//! The laboratory: stand-ins of the platform's services, a fault net between processes, a load tool, a history
//! of everything, a checker of the four rules and a report. It starts real processes of this program; the
//! program's own parts never use it.

pub mod check;
pub mod check_routes;
pub mod datagram;
pub mod error;
pub mod fleet_report;
pub mod history;
pub mod load;
pub mod net;
pub mod random;
pub mod report;
pub mod routes;
pub mod routes_report;
pub mod run;
pub mod scenario;
mod scenario_error;
pub mod services;
pub mod shim;
pub mod sim;
pub mod stall;
pub mod stand_in;
pub mod sweep;
