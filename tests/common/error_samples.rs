//! Samples of every variant of an error type, and what an operator must find in each.

use std::collections::BTreeMap;

use miette::Diagnostic;

/// One sample: its variant, and the error.
pub type Sample = (&'static str, Box<dyn Diagnostic>);

/// Samples of a type: one for each variant at least. A variant without one fails to compile, by a `match` that
/// has no wildcard.
#[macro_export]
macro_rules! samples {
    ($error:ty {
        $($variant:ident $( { $($field:ident : $value:expr),* } )? $( ( $($arg:expr),* ) )?),* $(,)?
    }) => {{
        type Walked = $error;
        #[allow(unreachable_patterns)]
        fn variant(sample: &Walked) -> &'static str {
            match sample {
                $(Walked::$variant { .. } => stringify!($variant),)*
            }
        }
        let all = vec![$(Walked::$variant $( { $($field: $value),* } )? $( ( $($arg),* ) )?),*];
        let named = all.into_iter().map(|e| (variant(&e), Box::new(e) as Box<dyn miette::Diagnostic>));
        named.collect::<Vec<$crate::error_samples::Sample>>()
    }};
}

/// Words of two letters and more, in small letters.
fn words(text: &str) -> Vec<String> {
    let lower = text.to_lowercase();
    let words = lower.split(|c: char| !c.is_alphanumeric()).filter(|word| word.len() >= 2);
    words.map(str::to_string).collect()
}

/// What is wrong with one sample's help, if anything is.
fn complaint(error: &dyn Diagnostic) -> Option<String> {
    let said = error.to_string();
    let help = error.help().map(|help| help.to_string()).unwrap_or_default();
    let (of_said, of_help) = (words(&said), words(&help));
    let new = of_help.iter().filter(|word| !of_said.contains(word)).count();
    match () {
        () if said.trim().is_empty() => Some("no message".into()),
        () if help.trim().is_empty() => Some(format!("{said}: no help")),
        () if new < 3 => Some(format!("{said}: the help says no more: {help}")),
        () => None,
    }
}

/// The first help that is missing, says no more than its message, or is that of another variant too.
pub fn fault(samples: &[Sample]) -> Option<String> {
    let mut helps: BTreeMap<String, &str> = BTreeMap::new();
    for (variant, error) in samples {
        if let Some(complaint) = complaint(error.as_ref()) {
            return Some(format!("{variant}: {complaint}"));
        }
        let help = error.help().map(|help| help.to_string()).unwrap_or_default();
        if let Some(other) = helps.insert(help, variant).filter(|other| other != variant) {
            return Some(format!("{variant} and {other} have the same help"));
        }
    }
    None
}

/// Fails where a help has a [`fault`].
pub fn check(of: &str, samples: &[Sample]) {
    assert!(!samples.is_empty(), "{of}: no samples");
    if let Some(fault) = fault(samples) {
        panic!("{of}: {fault}");
    }
}
