//! Faults of a proxy.

use magnolia_types::wire_types;

wire_types! {
    /// What a proxy does to its connections.
    #[serde(deny_unknown_fields, default)]
    #[derive(Default)]
    pub struct ProxyFaults {
        /// Whether open connections are closed and new ones end at once.
        pub cut: bool,
        /// Whether open connections are closed and new ones are refused.
        pub refuse: bool,
        /// Whether nothing passes in either direction while connections stay open.
        pub silent: bool,
        /// Whether requests pass and the connection is closed in place of the answer.
        pub drop_answers: bool,
        /// Delay of each direction.
        pub delay_ms: u64,
        /// Connections opened before this monotonic time are silent; 0 for none.
        pub silent_before_us: u64,
    }
}

impl ProxyFaults {
    /// Closes connections.
    pub fn new_cut() -> Self {
        Self {
            cut: true,
            ..Self::default()
        }
    }

    /// Refuses connections.
    pub fn new_refuse() -> Self {
        Self {
            refuse: true,
            ..Self::default()
        }
    }

    /// Passes nothing.
    pub fn new_silent() -> Self {
        Self {
            silent: true,
            ..Self::default()
        }
    }

    /// Passes requests and drops answers.
    pub fn new_drop_answers() -> Self {
        Self {
            drop_answers: true,
            ..Self::default()
        }
    }

    /// Delays each direction.
    pub fn new_delay_ms(delay_ms: u64) -> Self {
        Self {
            delay_ms,
            ..Self::default()
        }
    }

    /// Tells whether connections are closed.
    pub fn closes(&self) -> bool {
        self.cut || self.refuse
    }

    /// Tells whether a connection opened at this time passes nothing.
    pub fn is_silent(&self, opened_us: u64) -> bool {
        self.silent || opened_us < self.silent_before_us
    }
}
