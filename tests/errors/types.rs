//! Samples of every error type of the library.

use std::io::{Error as Io, ErrorKind};
use std::time::Duration;

use hopwalk::acme::AcmeError;
use hopwalk::console::ConsoleError;
use hopwalk::core::CoreError;
use hopwalk::fleet::admin_client::AdminClientError;
use hopwalk::fleet::experiment::counts::CountsError;
use hopwalk::fleet::experiment::{self, DocumentError};
use hopwalk::fleet::record::{self, ConfirmError, SubmitError};
use hopwalk::fleet::routes::clock::ClockError;
use hopwalk::fleet::routes::table::{Hash, TableError};
use hopwalk::fleet::routes::{self, Refusal};
use hopwalk::fleet::routing::OrderError;
use hopwalk::fleet::state_machine::Rejection;
use hopwalk::fleet::status::StatusError;
use hopwalk::fleet::wire::message::AdmitError;
use hopwalk::fleet::wire::raft::RaftRefusal;
use hopwalk::fleet::wire::{FrameError, WireError};
use hopwalk::fleet::{DriverError, MembershipThreadError};
use hopwalk::json::{JsonError, MembersError};
use hopwalk::lab::error::{AskError, HistoryError, LineError, PlotError};
use hopwalk::lab::routes::LabError;
use hopwalk::lab::scenario::ScenarioError;
use hopwalk::lab::sim::command::SeedsError;
use hopwalk::net::admin::StandbyError;
use hopwalk::net::error::{
    self as net_error, Excerpt, HandoverLineError, NodeError, NoticeError, ReplyError, ResponseError,
};

use crate::error_samples::Sample;
use crate::samples;

const KIND: ErrorKind = ErrorKind::AddrInUse;
const SECOND: Duration = Duration::from_secs(1);

/// A text for the fields of samples.
pub fn x<T: From<&'static str>>() -> T {
    "x".into()
}

fn io() -> Io {
    KIND.into()
}

fn at() -> std::net::SocketAddr {
    ([127, 0, 0, 1], 4000).into()
}

fn hash() -> Hash {
    serde_json::from_value(serde_json::json!(vec![7u8; 32])).unwrap()
}

/// The source file and the name of each error type, and its samples.
pub type ErrorTypes = Vec<(&'static str, &'static str, Vec<Sample>)>;

fn matcher_errors() -> ErrorTypes {
    vec![
        (
            "src/json.rs",
            "MembersError",
            samples!(MembersError { Json(JsonError::TooDeep), NotAnObject { column: 1 } }),
        ),
        ("src/json.rs", "JsonError", samples!(JsonError { TooDeep, Syntax { place: x() } })),
        (
            "src/core/error.rs",
            "CoreError",
            samples!(CoreError { NoCores, NoClasses, BadFigure { name: "crowd" } }),
        ),
        (
            "src/net/error.rs",
            "NodeError",
            samples!(NodeError {
                Fleet(MembershipThreadError::Thread { kind: KIND }),
                Routes(DriverError::Thread { kind: KIND }),
                Core(CoreError::NoCores),
                Frontend { key: "listen", address: at(), source: io() },
                Admin { address: at(), source: io() },
                Tls(rustls::Error::EncryptError),
                HandoverAborted,
            }),
        ),
        ("src/net/admin.rs", "StandbyError", samples!(StandbyError { NotTakenOver, NotShared })),
        (
            "src/net/error.rs",
            "LineError",
            samples!(net_error::LineError { TooLong { limit: 1 }, NotText { at: 1 }, BareLineFeed { at: 1 } }),
        ),
        (
            "src/net/error.rs",
            "ResponseError",
            samples!(ResponseError {
                HeadCut,
                InvalidField,
                MixedLineEnds,
                HeadInBody,
                MissingStatus,
                InvalidStatus,
                InvalidLength,
                BodyCut { stated: 2, actual: 1 },
                BodyTooLong { stated: 1, actual: 2 },
                TooLong { limit: 1 },
            }),
        ),
        (
            "src/net/error.rs",
            "HandoverLineError",
            samples!(HandoverLineError { UnknownMessage, InvalidField { field: "key" } }),
        ),
        (
            "src/net/error.rs",
            "ReplyError",
            samples!(ReplyError {
                Line(net_error::LineError::NotText { at: 1 }),
                Response(ResponseError::HeadCut),
                Unexpected { at: 1, expected: "length", found: Excerpt::of(b"-3") },
                TooLong { limit: 1 },
                BodyEnd { at: 1, len: 1, found: Excerpt::of(b"x") },
                BytesBehind { len: 1, found: Excerpt::of(b"x") },
            }),
        ),
        (
            "src/net/error.rs",
            "NoticeError",
            samples!(NoticeError {
                Line(net_error::LineError::TooLong { limit: 1 }),
                Json(MembersError::NotAnObject { column: 1 }),
                OutOfSequence { expected: 1, found: 2 },
                WrongType { member: "arg" },
                InvalidHandle,
                NegativeDuration,
                UnknownEvent,
                UnknownState,
                UnknownTicket,
                MissingMember { member: "handle" },
                InvalidBase64 { member: "arg", reason: base64::DecodeError::InvalidPadding },
                DurationTooLong { days: 1 },
                InvalidCursor,
                UnknownFate,
            }),
        ),
        (
            "src/console.rs",
            "ConsoleError",
            samples!(ConsoleError {
                Socket { path: x(), source: io() },
                SocketInUse { path: x() },
                ConnectFailed { path: x(), source: io() },
                ConnectionLost { path: x(), source: io() },
                CommandFailed { command: x() },
                Input(io()),
            }),
        ),
        (
            "src/acme/error.rs",
            "AcmeError",
            samples!(AcmeError {
                OpenStore { path: x(), source: io() },
                Storage(io()),
                NotUtf8,
                Roots { path: x(), source: io() },
                InvalidRoots { reason: x() },
                Thread(io()),
                Unreachable { url: x(), reason: x() },
                Refused { url: x(), status: 403, problem: x() },
                NonceRejected { url: x() },
                MissingNonce,
                InvalidJson(JsonError::TooDeep),
                NotAnObject,
                MissingMember { member: x() },
                InvalidUrl { member: x() },
                MissingLocation { what: "order" },
                OrderTimedOut,
                Failed { status: x(), reason: x() },
                NoHttpChallenge,
                InvalidToken,
                Listen { address: at(), source: io() },
                KeyGeneration,
                InvalidAccountKey { reason: x() },
                Signing,
                SigningRequest { what: "names", reason: x() },
                InvalidCertificate { what: "no certificate", reason: x() },
                Expired,
            }),
        ),
    ]
}

fn lab_errors() -> ErrorTypes {
    vec![
        (
            "src/lab/scenario_error.rs",
            "ScenarioError",
            samples!(ScenarioError {
                Json(JsonError::TooDeep),
                NoScenario,
                NoObject { key: x() },
                NoNumber { key: x() },
                Missing { key: x() },
                NoText { key: x() },
                NoList { key: x() },
                NoName { key: x() },
                Share { key: x() },
                Seed,
                Seconds,
                Matchers,
                Rate,
                Faults,
                Direct,
                NoFleet { fault: 2 },
                NoLink { key: x(), link: x() },
                NoMatcher { key: x(), name: x() },
                Kind { key: x(), kind: x() },
                Signal { key: x(), name: x() },
                NoNotice { key: x() },
                BothSides { at: x(), process: x() },
            }),
        ),
        (
            "src/lab/error.rs",
            "HistoryError",
            samples!(HistoryError {
                File { path: x(), source: io() },
                Writer { source: io() },
                Line { path: x(), line: 3, source: io() },
            }),
        ),
        (
            "src/lab/error.rs",
            "LineError",
            samples!(LineError {
                Json(JsonError::TooDeep),
                NoObject,
                NoText { key: "id" },
                NoNumber { key: "t_ms" },
                Status,
                Event { event: x() },
            }),
        ),
        ("src/lab/error.rs", "PlotError", samples!(PlotError { Draw { path: x(), said: x() } })),
        (
            "src/lab/sim/command.rs",
            "SeedsError",
            samples!(SeedsError { Form { said: x() }, Count { count: 9 } }),
        ),
        (
            "src/lab/error.rs",
            "AskError",
            samples!(AskError { Refused, Crossed, Connect(io()), Write(io()), Read(io()), Endless, Late, Closed }),
        ),
        (
            "src/lab/routes/error.rs",
            "LabError",
            samples!(LabError {
                File { path: x(), source: io() },
                Listen { what: x(), source: io() },
                Process { name: x(), told: x() },
                Program { path: x(), source: io() },
                Scenario(ScenarioError::Seed),
                History(HistoryError::Writer { source: io() }),
                Line { line: 3, source: LineError::NoObject },
                Load,
                NoLink { name: x() },
                NoFleet,
                Several { all: vec![LabError::Load, LabError::NoFleet] },
                Unknown { name: x() },
                Door { at: at(), source: io() },
                NoDoor { name: x() },
                Late { what: x(), after: SECOND, last: x() },
                Order { at: x(), what: x(), status: 409, told: x() },
            }),
        ),
    ]
}

fn fleet_errors() -> ErrorTypes {
    let at = at();
    vec![
        (
            "src/fleet/membership_thread.rs",
            "MembershipThreadError",
            samples!(MembershipThreadError { Thread { kind: KIND } }),
        ),
        ("src/fleet/driver/mod.rs", "DriverError", samples!(DriverError { Thread { kind: KIND } })),
        (
            "src/fleet/status.rs",
            "StatusError",
            samples!(StatusError { Json { error: JsonError::TooDeep }, Shape { place: x(), kind: "list" } }),
        ),
        (
            "src/fleet/admin_client.rs",
            "AdminClientError",
            samples!(AdminClientError {
                Io { address: at, reason: io() },
                InvalidResponse { address: at },
                Status { address: at, path: x(), status: 404, body: x() },
                Refused { status: 409, error: x(), help: "what the matcher says can be done".into() },
            }),
        ),
        (
            "src/fleet/state_machine.rs",
            "Rejection",
            samples!(Rejection {
                Routes(routes::record::RecordError::NoEarlier),
                Experiment(experiment::record::RecordError::NoTable),
            }),
        ),
        (
            "src/fleet/routing.rs",
            "OrderError",
            samples!(OrderError {
                NoRoutes,
                NoLeader { timeout: SECOND },
                UnknownOrder,
                InvalidDocument { line: 1, column: 2 },
                Admit(AdmitError::NoMajority),
                QueueFull,
                ThreadEnded,
                Refused(Rejection::Routes(routes::record::RecordError::NoEarlier)),
            }),
        ),
        (
            "src/fleet/record/error.rs",
            "RecordError",
            samples!(record::RecordError {
                Voters { count: 2 },
                NotAVoter { name: x() },
                Timing { heartbeat: SECOND, min: SECOND, max: SECOND },
                Folder { folder: x(), kind: KIND },
                InUse { file: x() },
                Corrupt { file: x(), reason: x() },
                Behind { file: x(), found: 1, acknowledged: 2 },
                Foreign { file: x(), fleet: x(), name: x() },
                Format { file: x(), found: 9 },
                Io { file: x(), kind: KIND },
                NotAdmitted { name: x() },
                VotersDiffer { name: x() },
                Stopped,
            }),
        ),
        (
            "src/fleet/record/error.rs",
            "SubmitError",
            samples!(SubmitError {
                NotLeader { leader: None },
                TooLong { bytes: 9 },
                Busy,
                NoMajority,
                OutcomeUnknown { timeout: SECOND },
                Stopped,
            }),
        ),
        (
            "src/fleet/record/error.rs",
            "ConfirmError",
            samples!(ConfirmError { NotLeader { leader: None }, NoMajority, Stopped }),
        ),
        (
            "src/fleet/wire/message.rs",
            "AdmitError",
            samples!(AdmitError {
                Unknown { name: x() },
                Silent { name: x() },
                OtherRecord { name: x() },
                NotLeader { leader: None },
                NoMajority,
            }),
        ),
        (
            "src/fleet/wire/raft.rs",
            "RaftRefusal",
            samples!(RaftRefusal { OtherStore { asked: 1, here: 2 }, Part { offset: 3 }, Stopped }),
        ),
        (
            "src/fleet/wire/codec.rs",
            "FrameError",
            samples!(FrameError {
                TooLong { bytes: 9, most: 8 },
                Malformed,
                Magic,
                Protocol { theirs: 2 },
                Fleet { theirs: x() },
                Name { theirs: x() },
                Later,
            }),
        ),
        (
            "src/fleet/wire/mod.rs",
            "WireError",
            samples!(WireError {
                Unreachable { peer: x(), address: self::at(), kind: KIND },
                Closed { peer: x(), kind: KIND },
                Silent { peer: x(), timeout: SECOND },
                Busy { peer: x() },
                Frame { peer: x(), error: FrameError::Malformed },
                Listen { address: self::at(), kind: KIND },
                Gone,
            }),
        ),
        (
            "src/fleet/routes/record.rs",
            "RecordError",
            samples!(routes::record::RecordError {
                OtherTerm { stamped: 1, term: 2 },
                Busy { version: 1, by: x() },
                UnknownVersion { version: 1 },
                Active { version: 1 },
                NoEarlier,
                NotPending { turn: 1 },
                TooLate { turn: 1 },
                Table { problem: TableError::Json { line: 1, column: 2 } },
                By { bytes: 9 },
            }),
        ),
        (
            "src/fleet/routes/clock.rs",
            "ClockError",
            samples!(ClockError { NoSample, Wide { bound: SECOND }, Disagree, Backwards }),
        ),
        (
            "src/fleet/routes/mod.rs",
            "Refusal",
            samples!(Refusal {
                Table { problem: TableError::Json { line: 1, column: 2 } },
                Clock { problem: ClockError::Backwards },
                Connect { address: self::at() },
                Fetch { hash: hash() },
            }),
        ),
        (
            "src/fleet/routes/table.rs",
            "TableError",
            samples!(TableError {
                Json { line: 1, column: 2 },
                Long { bytes: 9 },
                Many { what: x(), count: 9, most: 8 },
                Zero { what: x() },
                EmptyPool { pool: x() },
                AddressTwice { pool: x(), address: self::at() },
                UnknownPool { pool: x() },
                UnknownClass { class: x() },
                UnknownTenant { tenant: x() },
                MissingClass { class: x() },
                RouteTwice { class: x(), tenant: None },
                Shares { class: x(), sum: 9 },
                ArmTwice { class: x(), arm: x() },
                Canonical { bytes: 9 },
            }),
        ),
        (
            "src/fleet/experiment/mod.rs",
            "DocumentError",
            samples!(DocumentError {
                Name { name: x() },
                Arms { count: 1 },
                SameName { name: x() },
                Share { arm: x(), share: 2.0 },
                Sum { sum: 2.0 },
                Alpha { field: x(), value: 2.0 },
                Margin { value: 2.0 },
                Block { value: 9 },
                Longest { blocks: 9, least: 9 },
                Least { value: 9 },
                Time,
            }),
        ),
        (
            "src/fleet/experiment/counts.rs",
            "CountsError",
            samples!(CountsError {
                Incarnations { count: 9 },
                Cells { count: 9 },
                InvalidCell { block: 9, arm: 9 },
                Final { block: 9 },
            }),
        ),
        (
            "src/fleet/experiment/record.rs",
            "RecordError",
            samples!(experiment::record::RecordError {
                NotRunning { name: x() },
                Busy { name: x(), by: x() },
                Known { name: x() },
                By { bytes: 9 },
                Document { problem: DocumentError::Time },
                NoTable,
                Switching { version: 1, by: x() },
                NoArms { version: 1 },
                OtherArms { version: 1, class: x() },
                Order { block: 1, next: 2 },
                Tallies { tallies: 1, arms: 2 },
                Early { at_ms: 1, early_ms: 2 },
            }),
        ),
    ]
}

/// Samples of all error types except [`hopwalk::settings::Problem`], which is reported as part of a `ConfigError`.
pub fn all_samples() -> ErrorTypes {
    [matcher_errors(), lab_errors(), fleet_errors()].into_iter().flatten().collect()
}
