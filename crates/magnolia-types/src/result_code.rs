//! Numbered result codes. docs/RESULT-CODES.md documents them for callers; a test compares the two.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the work of a request ran, as stated by its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The work ran.
    Yes,
    /// The work did not run and will not run.
    No,
    /// The work may have run. The system does not run it again.
    Unknown,
}

macro_rules! result_codes {
    ($($(#[$meta:meta])* $name:ident = $number:literal, $status:literal, $ran:ident;)*) => {
        /// The numbered result of a call. The meaning of a number never changes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum ResultCode {
            $($(#[$meta])* $name,)*
        }

        impl ResultCode {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the number of the code.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the name of the code.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }

            /// Returns the HTTP status that is sent with the code.
            pub const fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns whether the work ran.
            pub const fn ran(self) -> Ran {
                match self { $(Self::$name => Ran::$ran,)* }
            }

            /// Returns the code with the given number, if there is one.
            pub fn from_number(number: u16) -> Option<Self> {
                Self::ALL.iter().copied().find(|code| code.number() == number)
            }
        }
    };
}

result_codes! {
    /// The call succeeded.
    Ok = 0, 200, Yes;
    /// The body or a field is malformed.
    BadRequest = 100, 400, No;
    /// The body is larger than the limit.
    BodyTooLarge = 101, 413, No;
    /// The path or the object does not exist.
    NotFound = 102, 404, No;
    /// The path exists, but not with this method.
    MethodNotAllowed = 103, 405, No;
    /// The customer is not in the configuration.
    UnknownCustomer = 104, 403, No;
    /// The class is not in the configuration.
    UnknownClass = 105, 400, No;
    /// The deadline is zero or longer than the limit.
    BadDeadline = 106, 400, No;
    /// Work that is not repeatable came without an idempotency key.
    KeyRequired = 107, 400, No;
    /// The key was used before with another request.
    KeyReused = 108, 409, No;
    /// No worker of the inventory could ever hold the job.
    NeverFits = 200, 422, No;
    /// The request would exceed the customer's quota.
    QuotaExceeded = 201, 429, No;
    /// The queue of the customer and class is full.
    QueueFull = 202, 429, No;
    /// The expected waiting time is longer than the deadline.
    DeadlineTooShort = 203, 503, No;
    /// The deadline passed while the work was still queued.
    DeadlineExceeded = 204, 504, No;
    /// No live executor or worker can take the work now.
    NoBackend = 205, 503, No;
    /// The daemon is draining.
    Draining = 206, 503, No;
    /// The log service is unavailable, and the work may not start without it.
    LogUnavailable = 300, 503, No;
    /// No daemon currently owns the partition or executor group.
    NoOwner = 301, 503, No;
    /// The daemon that received the request is not, or no longer, the owner.
    NotOwner = 302, 503, No;
    /// The owner could not be reached; nothing was sent to it.
    OwnerUnreachable = 303, 503, No;
    /// The daemon has not loaded a configuration yet.
    NoConfiguration = 304, 503, No;
    /// The set of partitions that keep idempotency keys has changed, and the key may have been used
    /// under an earlier set.
    KeySetChanged = 305, 503, No;
    /// Another request with the same key is in progress.
    InProgress = 400, 409, Unknown;
    /// The request was sent and no answer came; it is not run again.
    OutcomeUnknown = 401, 504, Unknown;
    /// The executor or the task reported a failure of the work itself.
    WorkFailed = 402, 502, Yes;
    /// The work was cancelled; parts of it may have run.
    Cancelled = 403, 409, Unknown;
    /// The publication is based on an older version of a section.
    ConfigConflict = 500, 409, No;
    /// The configuration is invalid.
    ConfigInvalid = 501, 422, No;
    /// A message of another protocol version, or a malformed one.
    ProtocolMismatch = 600, 400, No;
    /// An internal error of the daemon; its log has the details.
    Internal = 900, 500, Unknown;
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}

impl Serialize for ResultCode {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u16(self.number())
    }
}

impl<'de> Deserialize<'de> for ResultCode {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let number = u16::deserialize(deserializer)?;
        Self::from_number(number)
            .ok_or_else(|| serde::de::Error::custom(format!("unknown result code {number}")))
    }
}
