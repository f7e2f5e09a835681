package sorrelhoist.adapter;

/** The strings of the simulator's line protocol, as constants named by this project's terms. */
final class SimulatorProtocol {
    private SimulatorProtocol() {}

    /** Values of {@link Field#OPERATION} in messages from the simulator. */
    static final class Received {
        static final String START_ROUTER = "hello";
        static final String STOP_ROUTER = "teardown";
        static final String DEFINE_ENDPOINT_LIST = "list";
        static final String ENDPOINTS_UPDATED = "members";
        static final String REQUEST_ARRIVED = "knock";
        static final String RESERVATION_ANSWERED = "booking";
        static final String ATTEMPT_ENDED = "closed-attempt";
        static final String TIMER_FIRED = "bell";
        static final String PEER_MESSAGE = "inbox";
        static final String CLIENT_DISCONNECTED = "cancelled-by-client";
        static final String STREAM_STARTED = "under-way";
        static final String PROBE_ANSWERED = "status-back";

        private Received() {}
    }

    /** Values of {@link Field#OPERATION} in messages to the simulator. */
    static final class Sent {
        static final String SEND_ATTEMPT = "assign";
        static final String SET_TIMER = "arm";
        static final String RELEASE_RESERVATION = "unhold";
        static final String REJECT_REQUEST = "turn-away";
        static final String FAIL_REQUEST = "drop-request";
        static final String CANCEL_ATTEMPT = "abandon";
        static final String RESERVE = "ahead";
        static final String MIGRATE = "relocate";
        static final String PROBE = "poll";
        static final String CLOSE_IDLE_CONNECTIONS = "close";
        static final String SEND_PEER_MESSAGE = "write-peer";
        static final String FOLLOW_DISCOVERY = "follow";
        static final String FETCH_ENDPOINT_LIST = "snapshot";
        static final String WRITE_LOG = "trace";

        private Sent() {}
    }

    /** Names of the fields of batches and messages. */
    static final class Field {
        // batches and replies
        static final String ROUND = "round";
        static final String TIME_MICROS = "time-us";
        static final String MESSAGES = "msgs";
        static final String OUTPUT = "output";

        // all messages
        static final String OPERATION = "op";
        static final String ROUTER_ID = "router-id";

        // start of a router
        static final String SEED = "nonce64";
        static final String SETTINGS = "boot-info";

        // endpoint lists
        static final String LIST_NUMBER = "buffer";
        static final String LIST_ROWS = "rows-in";
        static final String UPDATE_KIND = "form";
        static final String SERVER = "worker";
        static final String SERVER_ZONE = "failure-domain";
        static final String SERVER_KIND = "kind";
        static final String SERVER_CELL = "group";
        static final String SERVER_STATE = "state";
        static final String SERVER_SIZE = "share";
        static final String SERVER_SINCE_MICROS = "since-us";

        // requests
        static final String REQUEST_ID = "msg-id";
        static final String REQUEST_CLASS = "class";
        static final String TENANT = "project";
        static final String SESSION = "talk";
        static final String PREFIX = "prefix";
        static final String PROMPT_TOKENS = "n-prompt";
        static final String PREFIX_TOKENS = "n-prefix";
        static final String MAX_OUTPUT_TOKENS = "max-tokens";
        static final String BUDGET_MICROS = "budget-us";
        static final String IS_RETRY = "came-back";
        static final String BACKOFF_MICROS = "backoff-us";

        // attempts, reservations and probes
        static final String ATTEMPT = "hop";
        static final String ATTEMPT_TIMEOUT_AT_MICROS = "cut-at-us";
        static final String OUTCOME = "reason";
        static final String LATENCY_MICROS = "took-us";
        static final String STREAM_ENDED = "ended";
        static final String OUTCOME_DETAIL = "info";
        static final String LOAD_REPORT = "health-info";
        static final String RESERVATION_RESULT = "kind";

        // timers, peers, discovery and logs
        static final String TIMER_DELAY_MICROS = "wait-us";
        static final String TIMER_TOKEN = "label";
        static final String PEER_SENDER = "src-peer";
        static final String PEER_RECIPIENT = "dst";
        static final String PEER_BODY = "body";
        static final String FOLLOW_WANTED = "want";
        static final String LOG_TEXT = "note-text";

        private Field() {}
    }

    /** Names of the values of a load report. */
    static final class LoadField {
        /** The share of a server's memory that is in use, at the simulated family of services. */
        static final String MEMORY_SHARE = "x0";

        /** Queued tokens, in thousands, at the simulated family of services. */
        static final String WAITING_KILOTOKENS = "x1";

        static final String IN_FLIGHT = "concurrent";
        static final String QUEUED = "depth";

        private LoadField() {}
    }

    /** Names of the fields of a router's settings. */
    static final class SettingsField {
        static final String ROUTERS = "balancers";
        static final String SELF = "me";
        static final String ZONE = "zone";
        static final String DISCOVERY = "discovery";
        static final String OVER_QUOTA_WEIGHT = "over-share-worth";

        static final String FEEDBACK = "feedback";
        static final String LOAD_REPORTS = "how";

        static final String REQUEST_CLASSES = "request-classes";
        static final String LATENCY_OBJECTIVE_MICROS = "aim-us";
        static final String PRIORITY_WEIGHT = "worth";
        static final String IDEMPOTENCY = "semantics";
        static final String IDEMPOTENCY_SCOPE = "key-scope";
        static final String IDEMPOTENCY_WINDOW_MICROS = "repeat-window-us";

        static final String TENANTS = "orgs";
        static final String TENANT_QUOTA_PER_SECOND = "allowance-per-s";

        static final String LIMITS = "limits";
        static final String MAX_ATTEMPTS = "send-cap";
        static final String MAY_CANCEL = "cancel";
        static final String MAY_PROBE = "probing";
        static final String RETRY_AFTER = "retry-after";
        static final String MAX_RETRY_AFTER_MICROS = "max-retry-after-us";
        static final String MAY_GOSSIP = "may-tell";

        static final String PRICES = "deductions";
        static final String PROBE_PRICE = "probe";
        static final String GOSSIP_PRICE = "peer";

        static final String RULES = "rules";
        static final String COLD_CAPACITY_SHARE = "cold-from";
        static final String WARM_UP_MICROS = "cold-us";
        static final String OVERLOAD_MULTIPLE = "fall-multiple";
        static final String OVERLOAD_MICROS = "fall-us";

        static final String SPECIFICS = "specifics";
        static final String DECODERS_MAY_PREFILL = "writers-read";
        static final String RELEASE_WITHIN_MICROS = "release-within-us";
        static final String SERVER_ROLES = "stage-of-kind";
        static final String MEMORY_TOKENS = "memory-tokens";
        static final String LATENCY_OBJECTIVE_PER_1000_TOKENS = "aim-us-per-1000-prompt-tokens";

        private SettingsField() {}
    }
}
