//! Errors on creating the reducer.

use miette::Diagnostic;
use thiserror::Error;

use crate::interface::SettingsError;

/// Why [`Core::new`](super::Core::new) failed. A configuration that was read from a file has passed the same checks,
/// whose errors name the key.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum CoreError {
    /// Without cores nothing can run.
    #[error("the settings name no cores")]
    #[diagnostic(help("name the cores of this server under specifics.cores"))]
    NoCores,
    /// Without classes no request can be handled.
    #[error("the settings name no classes")]
    #[diagnostic(help("name one class of requests or more under profiles"))]
    NoClasses,
    /// A number is missing, negative or not finite.
    #[error("the setting {name} is not usable")]
    #[diagnostic(help("give this figure as a number that is not negative"))]
    BadFigure {
        /// The name of the setting.
        name: &'static str,
    },
}

impl From<SettingsError> for CoreError {
    fn from(e: SettingsError) -> Self {
        match e {
            SettingsError::NoCores => Self::NoCores,
            SettingsError::NoClasses => Self::NoClasses,
            SettingsError::BadFigure(name) => Self::BadFigure { name },
        }
    }
}
