//! The table of targets.

mod codecs;
mod documents;
mod framing;
mod links;
mod tables;
mod world;

/// One thing to be fuzzed.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Its name, and that of its folder under `corpus/`.
    pub name: &'static str,
    /// What it feeds, in a line.
    pub about: &'static str,
    /// The files whose coverage it answers for.
    pub files: &'static [&'static str],
    /// The longest input that the fuzzer makes.
    pub most_len: usize,
    /// Words that the fuzzer may put into its inputs.
    pub words: &'static [&'static str],
    /// Panics where a promise is broken.
    pub run: fn(&[u8]),
}

const HEAD_WORDS: &[&str] = &[
    "POST /do/lobby-confirm HTTP/1.1\r\n",
    "GET /check?deep=1 HTTP/1.1\r\n",
    "Content-Length: ",
    "Transfer-Encoding: chunked\r\n",
    "X-Request-Id: 9b1f03aa5c7e2d41\r\n",
    "X-Request-Start: ",
    "X-Timeout-Ms: ",
    "X-Memory-Kb: ",
    "X-Rank: ",
    "X-Caller: ",
    "X-Object: ",
    "Idempotency-Key: ",
    "Connection: close\r\n",
    "\r\n\r\n",
    "\n\n",
    "\r\n ",
];
const SCGI_WORDS: &[&str] = &[
    "CONTENT_LENGTH\0",
    "SCGI\x001\0",
    "REQUEST_METHOD\0POST\0",
    "REQUEST_URI\0/do/lobby-confirm\0",
    "HTTP_X_REQUEST_ID\09b1f03aa5c7e2d41\0",
    "HTTP_X_REQUEST_START\x001764576000123\0",
    "PATH_INFO\0",
    "QUERY_STRING\0",
    ",",
    ":",
];
const NOTICE_WORDS: &[&str] = &[
    "{\"event\":\"",
    "greeting",
    "outcome",
    "request",
    "sampled",
    "refusal",
    "aside",
    "\",\"cursor\":",
    ",\"handle\":\"9b1f03aa5c7e2d41\"",
    ",\"fate\":\"complete\"",
    ",\"fate\":\"cancelled\"",
    ",\"lasted\":",
    ",\"arg\":\"/wA=\"",
    ",\"ticket\":\"sync\"",
    ",\"figures\":[0.5,2]",
    "}\n",
    "1e308",
];
const CONFIG_WORDS: &[&str] = &[
    "\"settings\":{",
    "\"profiles\":[",
    "\"specifics\":{",
    "\"rules\":{",
    "\"limits\":{",
    "\"give_up_us\":",
    "\"memory_span_us\":",
    "\"repeat\":\"deduplicated\"",
    "\"preemption\":\"drop\"",
    "\"say\":\"tokens\"",
    "\"below\":\"common\"",
    "\"calls_out\":0.5",
    "null",
    "1e300",
    "-1",
    "86400000000",
    "true",
];

/// As long as a line at the console may be.
const LONG_WORD: &str = match std::str::from_utf8(&[b'x'; 256]) {
    Ok(word) => word,
    Err(_) => "",
};

/// All targets.
pub const TARGETS: &[Target] = &[
    Target {
        name: "http",
        about: "requests on the HTTP front, in pieces and behind each other, and what proxies disagree about",
        files: &["src/net/http.rs", "src/net/decoder.rs"],
        most_len: 1024,
        words: HEAD_WORDS,
        run: framing::http,
    },
    Target {
        name: "fields",
        about: "the same request over HTTP and SCGI gives the same request",
        files: &["src/net/fields.rs"],
        most_len: 512,
        words: &[],
        run: framing::fields,
    },
    Target {
        name: "scgi",
        about: "requests on the SCGI front",
        files: &["src/net/scgi.rs"],
        most_len: 1024,
        words: SCGI_WORDS,
        run: framing::scgi,
    },
    Target {
        name: "door",
        about: "calls of operators",
        files: &["src/net/admin.rs"],
        most_len: 512,
        words: &["GET /ready HTTP/1.1\r\n", "POST /drain", "POST /undrain", "Content-Length: ", "\r\n\r\n"],
        run: framing::door,
    },
    Target {
        name: "scgi_answer",
        about: "answers of SCGI services, whole and cut short",
        files: &["src/net/scgi.rs"],
        most_len: 512,
        words: &["Status: ", "Content-Length: ", "\r\n\r\n", "\n\n", "200", "503"],
        run: codecs::scgi_answer,
    },
    Target {
        name: "notices",
        about: "the agent's notices: pieces, doubles, asides, and half lines at a break",
        files: &["src/net/agent/wire.rs", "src/net/agent/reader.rs", "src/net/lines.rs", "src/json.rs"],
        most_len: 1024,
        words: NOTICE_WORDS,
        run: codecs::notices,
    },
    Target {
        name: "replies",
        about: "the vault's replies",
        files: &["src/net/vault/wire.rs", "src/net/vault/mod.rs"],
        most_len: 512,
        words: &["9b1f03aa5c7e2d41 yes ", "notnow\r\n", "failed", "overdue", "pointless", "\r\n"],
        run: codecs::replies,
    },
    Target {
        name: "links",
        about: "the frames and messages between members of a fleet",
        files: &["src/fleet/wire/codec.rs", "src/fleet/wire/message.rs", "src/fleet/wire/raft.rs"],
        most_len: 512,
        words: &["hwfl\u{1}\u{1}f\u{1}a", "\0\0\0\u{2}", "\0\0\0\u{60}", "\u{1}\u{6}\u{1}a"],
        run: links::links,
    },
    Target {
        name: "handover",
        about: "what two versions of the program tell each other",
        files: &["src/net/handover/wire.rs"],
        most_len: 512,
        words: &[
            "key ",
            "settled ",
            "answer ",
            "request ",
            "complete ",
            "served =",
            "refused ",
            " - ",
            "=aGk=",
        ],
        run: codecs::handover,
    },
    Target {
        name: "console",
        about: "words at the console, and its answers",
        files: &["src/console.rs"],
        most_len: 1024,
        words: &["status\n", "drain\n", "counters", "quit", LONG_WORD],
        run: codecs::console,
    },
    Target {
        name: "config",
        about: "RELAY_CONFIG, taken up by a core and replaced by another one",
        files: &["src/settings/mod.rs", "src/settings/node.rs"],
        most_len: 4096,
        words: CONFIG_WORDS,
        run: documents::config,
    },
    Target {
        name: "appliance",
        about: "the appliance's file",
        files: &["src/settings/mod.rs", "src/settings/node.rs"],
        most_len: 1024,
        words: &[
            "\"scgi\":{",
            "\"acme\":{",
            "\"console\":{",
            "\"socket\":",
            "\"directory\":\"https://",
            "\"domains\":[",
        ],
        run: documents::appliance,
    },
    Target {
        name: "authority",
        about: "what an ACME authority answers",
        files: &["src/acme/wire.rs"],
        most_len: 1024,
        words: &[
            "\"status\":\"valid\"",
            "\"challenges\":[{",
            "\"type\":\"http-01\"",
            "\"token\":\"",
            "\"url\":\"",
            "\"error\":{",
        ],
        run: documents::authority,
    },
    Target {
        name: "wire",
        about: "the simulator's lines, and the module behind them",
        files: &[
            "src/bin/hopwalk-adapter/wire.rs",
            "src/decisions.rs",
            "src/decisions/schedule.rs",
            "src/decisions/calls.rs",
            "src/decisions/keys.rs",
            "src/decisions/guards.rs",
        ],
        most_len: 4096,
        words: &[
            "submit who=1 id=",
            " tier_class=",
            " not_after_us=",
            "finished who=1 id=",
            " rc=done",
            "timeout_fired who=1 name=",
            " gauge=core_use:0.5",
            "retire_soon who=1 not_after_us=",
            "withdrawn who=1 id=",
        ],
        run: documents::wire,
    },
    Target {
        name: "core",
        about: "the reducer in a world with an agent, links that break, drains and reloads",
        files: &[
            "src/core/mod.rs",
            "src/core/keys.rs",
            "src/decisions.rs",
            "src/decisions/schedule.rs",
            "src/decisions/calls.rs",
            "src/decisions/keys.rs",
            "src/decisions/guards.rs",
        ],
        most_len: 384,
        words: &[],
        run: world::core,
    },
    Target {
        name: "core_wild",
        about: "the reducer and an agent, a vault and callers that say anything",
        files: &[
            "src/core/mod.rs",
            "src/decisions.rs",
            "src/decisions/schedule.rs",
            "src/decisions/calls.rs",
            "src/decisions/keys.rs",
            "src/decisions/guards.rs",
        ],
        most_len: 384,
        words: &[],
        run: world::wild,
    },
    Target {
        name: "succession",
        about: "two versions of the program as two reducers, with a link that ends at any time",
        files: &["src/core/succession.rs", "src/core/keys.rs"],
        most_len: 384,
        words: &[],
        run: world::succession,
    },
    Target {
        name: "connections",
        about: "the table of connections against a plain one",
        files: &["src/net/connection_table.rs"],
        most_len: 512,
        words: &[],
        run: tables::connections,
    },
    Target {
        name: "keys",
        about: "the table of keys against a plain one",
        files: &["src/core/keys.rs"],
        most_len: 512,
        words: &[],
        run: tables::keys,
    },
];

/// The target of a name.
pub fn target(name: &str) -> Option<&'static Target> {
    TARGETS.iter().find(|target| target.name == name)
}
