//! Samples of every variant of an error type, and checks that each has a message and a help of its own for operators.

use std::collections::BTreeMap;

use miette::Diagnostic;

/// One sample: the name of its variant, and the error.
pub type Sample = (&'static str, Box<dyn Diagnostic>);

/// Builds samples of an error type, at least one for each variant. It does not compile while a variant has none, as
/// a `match` without a wildcard lists them.
#[macro_export]
macro_rules! samples {
    ($error:ty {
        $($variant:ident $( { $($field:ident : $value:expr),* } )? $( ( $($arg:expr),* ) )?),* $(,)?
    }) => {{
        type Sampled = $error;
        #[allow(unreachable_patterns)]
        fn variant(sample: &Sampled) -> &'static str {
            match sample {
                $(Sampled::$variant { .. } => stringify!($variant),)*
            }
        }
        let all = vec![$(Sampled::$variant $( { $($field: $value),* } )? $( ( $($arg),* ) )?),*];
        let named = all.into_iter().map(|e| (variant(&e), Box::new(e) as Box<dyn miette::Diagnostic>));
        named.collect::<Vec<$crate::error_samples::Sample>>()
    }};
}

/// The words of two letters and more, in lower case.
fn words(text: &str) -> Vec<String> {
    let lower = text.to_lowercase();
    let words = lower.split(|c: char| !c.is_alphanumeric()).filter(|word| word.len() >= 2);
    words.map(str::to_string).collect()
}

/// What is wrong with the help of one sample, if anything is.
fn complaint(error: &dyn Diagnostic) -> Option<String> {
    let message = error.to_string();
    let help = error.help().map(|help| help.to_string()).unwrap_or_default();
    let (message_words, help_words) = (words(&message), words(&help));
    let new = help_words.iter().filter(|word| !message_words.contains(word)).count();
    match () {
        () if message.trim().is_empty() => Some("no message".into()),
        () if help.trim().is_empty() => Some(format!("{message}: no help")),
        () if new < 3 => Some(format!("{message}: the help adds too little: {help}")),
        () => None,
    }
}

/// The first help that is missing, adds too little to its message, or is also that of another variant.
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

/// Panics if a help has a [`fault`].
pub fn check(name: &str, samples: &[Sample]) {
    assert!(!samples.is_empty(), "{name}: no samples");
    if let Some(fault) = fault(samples) {
        panic!("{name}: {fault}");
    }
}
