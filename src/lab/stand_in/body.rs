//! The bodies of the lab's requests.

/// What the load tool writes into the body of a request: `lab ID KEY CLASS`, the key empty where there is none, and `once`
/// behind it where it runs at most once without a key.
pub(super) struct LabBody<'a> {
    pub id: &'a str,
    pub key: &'a str,
    pub class: Option<&'a str>,
    is_once: bool,
}

impl<'a> LabBody<'a> {
    pub fn must_run_once(&self) -> bool {
        self.is_once || !self.key.is_empty()
    }

    pub fn parse(arg: &'a [u8]) -> Option<Self> {
        let mut words = std::str::from_utf8(arg).ok()?.split(' ');
        (words.next() == Some("lab")).then_some(())?;
        Some(Self {
            id: words.next()?,
            key: words.next().unwrap_or_default(),
            class: words.next(),
            is_once: words.next() == Some("once"),
        })
    }
}
