//! Faults of a proxy.

use magnolia_types::wire_types;

wire_types! {
    /// Faults that a proxy injects into its connections.
    #[serde(deny_unknown_fields, default)]
    #[derive(Default)]
    pub struct ProxyFaults {
        /// Whether open connections are closed, and new ones right after they are accepted.
        pub cut: bool,
        /// Whether open connections are closed and new ones are refused.
        pub refuse: bool,
        /// Whether nothing is forwarded in either direction while connections stay open.
        pub silent: bool,
        /// Whether requests are forwarded, and the connection is closed instead of forwarding the
        /// answer.
        pub drop_answers: bool,
        /// Delay of each chunk of bytes, in each direction.
        pub delay_ms: u64,
        /// Nothing is forwarded on connections opened before this monotonic time; 0 for none.
        pub silent_before_us: u64,
    }
}

impl ProxyFaults {
    /// Creates the fault that closes connections.
    pub fn new_cut() -> Self {
        Self {
            cut: true,
            ..Self::default()
        }
    }

    /// Creates the fault that refuses connections.
    pub fn new_refuse() -> Self {
        Self {
            refuse: true,
            ..Self::default()
        }
    }

    /// Creates the fault that forwards nothing.
    pub fn new_silent() -> Self {
        Self {
            silent: true,
            ..Self::default()
        }
    }

    /// Creates the fault that forwards requests and drops answers.
    pub fn new_drop_answers() -> Self {
        Self {
            drop_answers: true,
            ..Self::default()
        }
    }

    /// Creates the fault that delays both directions.
    pub fn new_delay_ms(delay_ms: u64) -> Self {
        Self {
            delay_ms,
            ..Self::default()
        }
    }

    /// Returns whether open connections are closed.
    pub fn closes(&self) -> bool {
        self.cut || self.refuse
    }

    /// Returns whether nothing is forwarded on connections opened at this time.
    pub fn is_silent(&self, opened_us: u64) -> bool {
        self.silent || opened_us < self.silent_before_us
    }
}
