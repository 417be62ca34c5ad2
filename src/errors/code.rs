//! The table of result codes; a test checks `docs/CODES.md` against it.

use serde::Deserialize;
use serde::Serialize;

macro_rules! codes {
    ($($name:ident = $number:literal, $meaning:literal, $remedy:literal;)*) => {
        /// A result code for callers, operators and peers. A number never changes its meaning.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum Code {
            $(#[doc = $meaning] $name = $number,)*
        }

        /// Every code with its meaning and remedy, ordered by number.
        pub const TABLE: &[(Code, &str, &str)] = &[$((Code::$name, $meaning, $remedy),)*];

        impl Code {
            /// The name in responses and logs.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }
        }
    };
}

codes! {
    Ok = 0, "The request was answered.", "None.";
    SettingsUnreadable = 1001, "The settings file cannot be read.", "Check the path and its permissions.";
    SettingsSyntax = 1002, "The settings are not JSON with comments, or a field is unknown or of the wrong type.", "Correct the line that the message names.";
    SettingsValue = 1003, "A setting is outside what is allowed.", "Use a value in the range that the message names.";
    ListenFailed = 1004, "A listening address cannot be bound.", "Free the port or change the address in the settings.";
    BadRequest = 2001, "A header that sorrelwick reads is malformed.", "Correct the header that the message names.";
    UnknownService = 2002, "No service of this name is in force.", "Check the service header; create the service.";
    BodyTooLarge = 2003, "The request body exceeds `requests.body_limit_bytes`.", "Send a smaller body or raise the limit.";
    KeyMalformed = 2004, "The idempotency key is empty, too long or not printable.", "Send 1 to 200 printable ASCII characters.";
    KeyRequired = 2005, "This kind of request must carry an idempotency key.", "Send the idempotency-key header.";
    KeyExpired = 2006, "The key is older than the window in which its outcome is kept.", "Ask the backing system whether the request ran; use a new key for new work.";
    AnswerNotKept = 2007, "The request ran, but its answer was too large to keep for a repeat.", "Do not repeat; look the result up.";
    KeyOwnerUnreachable = 2008, "The instance that owns the key cannot be reached, so the outcome is not known.", "Repeat later with the same key.";
    KeyInProgress = 2009, "The request with this key still runs.", "Repeat later with the same key.";
    OutcomesFull = 2010, "The table of outcomes is full.", "Come back after the time given; raise `outcomes.rows_max`.";
    ClaimUnavailable = 2011, "The platform's store cannot say who owns a key without prefix.", "Repeat with the same key, or use a key prefix from the address answer.";
    BodyIncomplete = 2013, "The caller closed the connection before its request was complete.", "Send the whole body.";
    NoRoute = 2014, "No route of the configuration in force matches host and path.", "Check host and path; add the route.";
    KeyRejected = 2015, "The request carries no valid workspace key, or more than one.", "Send exactly one valid key.";
    QueueFull = 2101, "The queue of this service is full.", "Come back after the time given.";
    DeadlineInQueue = 2102, "No slot would be free before the deadline.", "Come back after the time given, or allow more time.";
    NoServer = 2103, "No backend server of this service may take work.", "Check drains and health of the backend servers.";
    Refused = 2104, "The backend server refused with an answer that the operator declared a refusal.", "Come back after the time given.";
    ConnectFailed = 2105, "No connection to a backend server could be opened.", "Check the backend server; come back after the time given.";
    NoConfiguration = 2106, "No configuration is known to this instance yet.", "Come back after the time given; check that the store is reachable.";
    NoRepeatLeft = 2107, "The backend server did not run the request, and it may not be retried on another.", "Come back after the time given.";
    BodyRoomFull = 2108, "The request bodies being read use up the memory set aside for them.", "Come back after the time given; raise `gateway.memory_max_mb`.";
    DeadlineBeforeDispatch = 2109, "The deadline passed before the request was sent to a backend server.", "Come back after the time given, or allow more time.";
    Quarantined = 2110, "Requests of this content crashed the backend servers that ran them; it is not forwarded.", "Do not repeat it; ask the operators of the service. It is tried again after the time given.";
    OnTrial = 2111, "A backend server crashed under a request of this content; such requests are sent one at a time, and one is in flight.", "Come back after the time given.";
    KeyClosed = 2112, "The configuration of the key's workspace cannot be read, so the key may have been revoked.", "Correct the workspace that the log line names; come back after the time given.";
    ConfigurationUnproved = 2113, "This instance cannot confirm that its configuration is recent enough to serve the request, or to reject it for good.", "Come back after the time given, at another instance; check that the store is reachable.";
    QuotaSpent = 2114, "The workspace sends more than its quota, over all instances together.", "Come back after the time given; raise the quota.";
    PeerDeclined = 2115, "No instance that reaches the backend servers takes the request, and this one does not reach them.", "Come back after the time given.";
    Stopping = 2116, "The instance stops, and would end before the request's deadline.", "Come back after the time given, at another instance.";
    AnswerLost = 2201, "The connection was lost after the request was sent; it may have run.", "Repeat with the same key if there is one; else ask the backing system.";
    AnswerTruncated = 2202, "The answer was cut short by the backend server.", "As for AnswerLost.";
    DeadlineAfterDispatch = 2203, "The deadline passed while the backend server worked; it may have run.", "Repeat with the same key, or allow more time.";
    PeerLost = 2204, "The instance that the request was passed to was lost before it answered.", "As for AnswerLost.";
    AnswerGarbled = 2205, "The backend server sent bytes that are not a valid response to the request.", "As for AnswerLost.";
    FailureUnproved = 2206, "The backend server answered with a status for requests that did not run, without proof that it did not run this one.", "As for AnswerLost.";
    StoppedAfterDispatch = 2207, "The instance ended while the backend server worked; it may have run.", "As for AnswerLost.";
    ServiceInvalid = 3001, "The service declaration has a value that is not allowed.", "Correct the field that the message names.";
    Conflict = 3002, "Another change came first; the current revision is not the expected one.", "Read the current value and decide again.";
    NotFound = 3003, "There is no service or backend server of this name.", "Check the name with `sorrelwick service list`.";
    StoreUnreachable = 3004, "The platform's store cannot be reached; the change was not made.", "Try again when the store answers.";
    CommitUnknown = 3005, "The store stopped answering during the change; it may have been made.", "Send the same change again with the same change id.";
    Unauthenticated = 3006, "The operator's token is missing or wrong.", "Set the token.";
    DeclarationInvalid = 3007, "A declaration file cannot be read.", "Correct the file and line that the message names.";
    OperatorUnreachable = 3008, "The operators' listener of the instance cannot be reached.", "Check --address.";
    LogUnreadable = 3009, "A log file cannot be read.", "Check the path and its permissions.";
    RequestNotLogged = 3010, "No line of these logs has the request's id.", "Check the id, and that the logs of all instances and of that time are there.";
    ConfigUnreadable = 3011, "A configuration cannot be read at all; the previous one stays in force.", "Correct the document; the log line names the first fault.";
    RouteKindUnknown = 3012, "A route has a kind that is not known, or none; its requests are not repeated.", "Use a kind that this version knows, or update the instances.";
    RouteUnreadable = 3013, "A route cannot be read; it stays as it was, or refuses its requests if it is new.", "Correct the field that the log line names.";
    ServiceUnreadable = 3014, "A service in a configuration cannot be read; it stays as it was.", "Correct the field that the log line names.";
    LimitsUnreadable = 3015, "The limits of a configuration cannot be read; they stay as they were.", "Correct the field that the log line names.";
    ServerUnreadable = 3016, "An entry in the list of backend servers cannot be read; its server is not used.", "Find out who wrote the entry; the other entries stay valid.";
    ServerOutdated = 3017, "An entry for an earlier start of a backend server arrived after that for a later one; it is ignored.", "None, unless it repeats: then check the clock of that server.";
    EvacuationUnreadable = 3018, "A key that evacuates an availability zone does not name the zone.", "Remove the key; write one that ends with the zone's name.";
    ServerLimitUnreadable = 3019, "A backend server reports a rate limit that is not a number of requests per second; its previous limit stays in force.", "Correct the field that the server sends.";
    ServerRestUnreadable = 3020, "A backend server refuses a request with a retry time that is not a number of seconds, or is over an hour; it gets no cooldown.", "Correct the field that the server sends.";
    WorkspaceUnreadable = 3021, "A workspace cannot be read; its keys are suspended, unless only its priority or quota cannot be read and they are known from before.", "Correct the field that the log line names.";
    InstanceUnreadable = 3022, "A row in the platform's list of instances cannot be read; no instance is looked for there.", "Find out who wrote the row; the other rows stay valid.";
    PeerUnauthenticated = 4001, "A peer did not prove that it knows the shared secret.", "Give all instances the same `peers.secret`.";
    PeerFrame = 4002, "A peer sent a frame that cannot be decoded.", "Check that all instances run compatible versions.";
    PeerFrameTooLarge = 4003, "A peer sent a frame over the limit.", "As for PeerFrame.";
}

impl Code {
    /// The code with this number.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Self> {
        TABLE.iter().map(|row| row.0).find(|code| code.number() == number)
    }

    /// The number in the `sorrelwick-code` header and in the documentation.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl std::fmt::Display for Code {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}
