/*
 * Messages between catkingrade processes, in XDR. ONC RPC calls and replies in
 * UDP datagrams carry them; see docs/DESIGN.md. An outcome field holds an
 * OUTCOME_* code. leader_host and leader_port in a result name the Raft leader
 * of the group if the receiver of the call is not the leader and knows it.
 */

const CK_NAME_SIZE = 63;
const CK_HOST_SIZE = 63;
const CK_TEXT_SIZE = 4096;
const CK_VERIFIER_SIZE = 255;
const CK_BLOB_SIZE = 49152;
const CK_DELTA_SIZE = 1048576;
const CK_DECLARATION_SIZE = 2097152;
const CK_ENTRY_SIZE = 2162688;      /* with a declaration */
const CK_LIST_SIZE = 16384;
const CK_RELAY_HOSTS = 3;
const CK_RELAY_SPREAD = 8;
const CK_ORIGINAL_SIZE = 4194304;
const CK_KEY_DIGEST_SIZE = 32;      /* SHA-256 */

typedef string ck_name<CK_NAME_SIZE>;
typedef string ck_host<CK_HOST_SIZE>;
typedef string ck_text<CK_TEXT_SIZE>;

/* ---- configuration of entries: customers, databases, upstreams ---- */

/* A position in a database log. lsn orders the positions of one timeline. */
struct ck_position {
    unsigned hyper timeline;
    unsigned hyper lsn;
};

const CK_HISTORY_SIZE = 32;

/*
 * The last promotions of a database, oldest first: the term that its upstreams
 * count, or the timeline, and the last write before it.
 */
struct ck_history {
    ck_position begins<CK_HISTORY_SIZE>;
};

enum ck_upstream_state {
    CK_UPSTREAM_READY = 0,
    CK_UPSTREAM_LEAVING = 1,
    CK_UPSTREAM_LOST = 2
};

struct ck_upstream {
    ck_name name;
    ck_name database;
    ck_name failure_domain;
    ck_host host;                   /* IP address */
    unsigned int port;
    unsigned int slots;             /* limit of concurrent statements */
    unsigned int connections;       /* limit of connections */
    ck_upstream_state state;
    unsigned hyper incarnation;     /* start of its process; 0: unknown */
    unsigned hyper sequence;        /* of its announcement; 0: unknown */
};

/* A database group: one primary and its replicas. */
struct ck_database {
    ck_name name;
    ck_name customer;
    ck_name group;                  /* control group of the database */
    unsigned hyper revision;        /* group revision of its last change */
    unsigned hyper term;            /* 0: never had a primary */
    ck_name primary;                /* upstream name; empty: no primary */
    ck_position base;               /* start position of this term */
    bool superseding;               /* no writes before the next term */
    ck_upstream upstreams<CK_LIST_SIZE>;
};

struct ck_request_type {
    ck_name name;
    unsigned int weight;
    unsigned int deadline_ms;
    unsigned int queue_limit;
    bool repeatable;
    unsigned int max_age_ms;        /* staleness limit of reads; 0: current */
};

enum ck_customer_state {
    CK_CUSTOMER_OPEN = 0,
    CK_CUSTOMER_DRAINING = 1,
    CK_CUSTOMER_CLOSED = 2
};

enum ck_unconfirmed_policy {
    CK_UNCONFIRMED_UNKNOWN = 0,
    CK_UNCONFIRMED_WARN = 1
};

/*
 * Which replica may become primary if the old primary fails. A complete
 * replica is known to hold all acknowledged writes.
 */
enum ck_promotion_policy {
    CK_PROMOTION_WAIT = 0,          /* only a complete replica */
    CK_PROMOTION_OPERATOR = 1,      /* else one that an operator approves */
    CK_PROMOTION_AVAILABLE = 2      /* else the most advanced that responds */
};

struct ck_caller {
    ck_name user;
    string verifier<CK_VERIFIER_SIZE>;  /* SCRAM-SHA-256$...; empty: trust */
};

struct ck_customer {
    ck_name name;
    ck_name template_name;
    unsigned hyper revision;
    ck_customer_state state;
    unsigned int max_age_ms;
    unsigned int session_limit;     /* client connections per entry */
    unsigned int confirm;           /* replicas that confirm a write */
    unsigned int drain_ms;
    ck_unconfirmed_policy unconfirmed;
    ck_promotion_policy promotion;
    unsigned int connections;       /* per upstream; 0: as announced */
    ck_name databases<CK_LIST_SIZE>;
    ck_request_type types<64>;
    ck_caller callers<256>;
};

/* ---- declarations: complete configurations with version numbers ---- */

/* The upstreams that may run the reads of a route. */
enum ck_read_policy {
    CK_READS_CURRENT = 0,           /* the primary only */
    CK_READS_BY_AGE = 1,            /* replicas within max_age_ms */
    CK_READS_OWN_SAVES = 2          /* of these, with the session's writes */
};

/*
 * A route: the database name that a client connects to, with the database
 * that serves the requests and the request options.
 */
struct ck_route {
    ck_name name;
    ck_name database;
    ck_read_policy reads;
    unsigned int max_age_ms;
    unsigned int deadline_ms;       /* per statement */
    unsigned int target_ms;         /* latency target of an operation */
    unsigned int priority;          /* 0: highest */
    bool is_public;                 /* sessions need no key of a customer */
};

typedef opaque ck_key_digest[CK_KEY_DIGEST_SIZE];

/* A customer of a declaration, to whom the sessions with its keys belong. */
struct ck_declared_customer {
    ck_name name;                   /* one word */
    ck_key_digest keys<CK_LIST_SIZE>;   /* SHA-256 of the keys */
    unsigned int priority;          /* 0: highest */
    bool is_limited;                /* else rate and burst are 0 */
    unsigned int rate_per_1000_s;   /* operations in 1,000 s */
    unsigned int burst;             /* operations */
};

struct ck_declared_database {
    ck_name name;
    unsigned int connections;       /* per upstream */
    unsigned int confirm;           /* replicas that confirm a write */
};

struct ck_declaration {
    ck_route routes<CK_LIST_SIZE>;
    ck_declared_database databases<CK_LIST_SIZE>;
    ck_declared_customer customers<CK_LIST_SIZE>;
    unsigned int idle_transaction_ms;
    opaque original<CK_ORIGINAL_SIZE>;  /* text that the operator sent */
    /* There is a list of customers, and it is empty: no key is valid. Without
       a list no key is checked. Last, see codec_encode_grown. */
    bool refuses_keys;
};

/* A ck_declaration in compressed XDR. The highest number is in force. */
struct ck_packed_declaration {
    unsigned hyper number;
    opaque data<CK_DECLARATION_SIZE>;
};

/* The declaration in force as snapshots hold it. */
struct ck_declaration_in_force {
    ck_packed_declaration declaration;
    /* It has no customer, but it or an earlier one had a list of them. Last,
       see codec_encode_grown. */
    bool refuses_keys;
};

/* What entries are sent of a declaration besides its routes and customers. */
struct ck_declared {
    unsigned hyper number;
    unsigned int idle_transaction_ms;
    /* No customer is left: no key is valid. Last, see codec_encode_grown. */
    bool refuses_keys;
};

/*
 * The changes of a group between two revisions. A full delta starts at
 * revision 0 and replaces the configuration of the receiver.
 */
struct ck_view_delta {
    unsigned hyper from_revision;
    unsigned hyper to_revision;
    bool full;
    bool more;                      /* the next reply continues */
    /* A view from before this revision gets all routes and declared customers
       again, and drops those that it does not get: this leader does not know
       what was removed. */
    unsigned hyper routes_since;
    ck_customer customers<CK_LIST_SIZE>;
    ck_name customers_removed<CK_LIST_SIZE>;
    ck_database databases<CK_LIST_SIZE>;
    ck_name databases_removed<CK_LIST_SIZE>;
    ck_route routes<CK_LIST_SIZE>;
    ck_name routes_removed<CK_LIST_SIZE>;
    ck_declared_customer declared_customers<CK_LIST_SIZE>;
    ck_name declared_customers_removed<CK_LIST_SIZE>;
    ck_declared declared<1>;        /* last, see ck_declared */
};

/*
 * A ck_view_delta in compressed XDR. The first fields repeat those of the
 * delta; data is empty if it has no objects.
 */
struct ck_packed_delta {
    unsigned hyper from_revision;
    unsigned hyper to_revision;
    bool full;
    bool more;
    opaque data<CK_DELTA_SIZE>;
};

/* ---- leases of entries ---- */

struct ck_daemon {
    ck_name vm;
    unsigned hyper incarnation;     /* new at every start */
    ck_name failure_domain;
    ck_host host;
    unsigned int port;
    unsigned int roles;             /* 1: entry, 2: control */
};

/* The load of an entry at one upstream since its last renewal. */
struct ck_demand {
    ck_name upstream;
    unsigned int waiting;           /* peak of requests queued for a slot */
    unsigned int running;           /* peak of slots in use */
    unsigned int connections;       /* connections open or opening */
    /* The quota in force at the entry when it sent the renewal. */
    unsigned int held_slots;
    unsigned int held_connections;
    unsigned int held_guaranteed_slots;
    unsigned int held_guaranteed_connections;
};

enum ck_suspicion_kind {
    CK_SUSPECT_REFUSED = 1,
    CK_SUSPECT_SILENT = 2,
    CK_SUSPECT_SLOW = 3,
    /* A replica serves no reads since its log lags, while requests are refused
       for want of a slot; since_ms is the time that callers have lost by it. */
    CK_SUSPECT_LAGGING = 4
};

/* A suspected failure of a primary, or the lag of a replica, as an entry
   reports it. */
struct ck_suspicion {
    ck_name database;
    ck_name upstream;
    unsigned hyper term;
    ck_suspicion_kind kind;
    unsigned hyper since_ms;        /* duration until now */
};

/* The end of a term of a database. */
struct ck_revocation {
    ck_name database;
    unsigned hyper term;            /* no writes in this term or before */
};

/* The part of the limits of an upstream that an entry may use. */
struct ck_quota {
    ck_name upstream;
    unsigned int slots;
    unsigned int connections;
    unsigned int guaranteed_slots;
    unsigned int guaranteed_connections;
};

/* The entries that run the statements of the receiving entry on a database, in
   order of preference; none: it uses no relays of this database. */
struct ck_relay {
    ck_name database;
    bool standby;                   /* only while the receiver has no lease */
    ck_host hosts<CK_RELAY_HOSTS>;
    /* Relays among which the statements of customers are divided, in the same
       order at all entries; none: they are not. */
    ck_host spread<CK_RELAY_SPREAD>;
};

/*
 * A renewal is complete, or it continues the reports of earlier ones: then it
 * has only the VM and the incarnation of the daemon, and only the demands that
 * have changed since the last renewal that the leader has answered.
 */
struct ck_renew_args {
    ck_name group;
    ck_daemon daemon;
    unsigned hyper sequence;
    unsigned hyper known_revision;
    unsigned int open_requests;     /* of draining customers */
    unsigned hyper relays_version;  /* of the relays in use; 0: none */
    /* Term of the leader that has the earlier reports; 0: complete. */
    unsigned hyper reported_term;
    ck_demand demands<CK_LIST_SIZE>;
    ck_suspicion suspicions<CK_LIST_SIZE>;
    ck_revocation confirmed<CK_LIST_SIZE>;
    bool returned;                  /* the lease is given back for good */
};

struct ck_renew_result {
    int outcome;
    unsigned hyper sequence;
    ck_host leader_host;            /* see the head of this file */
    unsigned int leader_port;
    unsigned hyper leader_term;
    unsigned hyper lease_us;
    ck_packed_delta delta;
    bool report_wanted;             /* renew again at once, completely */
    /* Time after which the entry renews early, since it got a quota without
       connections and some may be free by then, or since relays are left to
       send; 0: renew at the usual time. */
    unsigned hyper hasten_us;
    /* All quotas of the caller after a complete renewal, else those that
       differ from what it holds. One without any slot and connection ends. */
    ck_quota quotas<CK_LIST_SIZE>;
    unsigned hyper relays_version;  /* 0: no relays in this group */
    ck_relay relays<CK_LIST_SIZE>;  /* changed since the caller's version */
};

/* From a leader to an entry: renew the lease now and stop these terms. */
struct ck_notify_args {
    ck_name group;
    unsigned hyper leader_term;
    unsigned hyper revision;
    ck_revocation revoked<CK_LIST_SIZE>;
};

struct ck_notify_result {
    int outcome;
    ck_daemon daemon;
    ck_revocation confirmed<CK_LIST_SIZE>;
};

/* ---- changes: the log entries of a control group ---- */

enum ck_change_kind {
    CK_CHANGE_NONE = 0,             /* first log entry of a new leader */
    CK_CHANGE_TEMPLATE = 1,
    CK_CHANGE_TEMPLATE_DELETE = 2,
    CK_CHANGE_CUSTOMER = 3,
    CK_CHANGE_CUSTOMER_STATE = 4,
    CK_CHANGE_DAEMON = 5,
    CK_CHANGE_DAEMON_EXPIRE = 6,
    CK_CHANGE_UPSTREAM = 7,
    CK_CHANGE_UPSTREAM_EXPIRE = 8,
    CK_CHANGE_SUPERSEDE = 9,
    CK_CHANGE_PRIMARY = 10,
    CK_CHANGE_VOTERS = 11,
    CK_CHANGE_DECLARATION = 12,
    CK_CHANGE_PROMOTION = 13,
    CK_CHANGE_PROMOTED = 14
};

/* A template or a customer: a JSON document that was already validated. */
struct ck_document_change {
    ck_name name;
    string document<CK_BLOB_SIZE>;
};

struct ck_customer_state_change {
    ck_name customer;
    ck_customer_state state;
    ck_text report;
};

/* Ends the term of a database before a new primary is chosen. */
struct ck_supersede_change {
    ck_name database;
    unsigned hyper term;
    ck_text reason;
};

/*
 * The primary of a new term of a database: as PROMOTION, it is about to be
 * promoted; as PRIMARY, the term starts.
 */
struct ck_primary_change {
    ck_name database;
    unsigned hyper term;
    ck_name primary;
    ck_position base;
};

/* A promotion has taken effect. */
struct ck_promoted_change {
    ck_name database;
    ck_position begin;              /* as in ck_history */
};

struct ck_voter {
    unsigned hyper id;              /* never reused after a removal */
    ck_name vm;
    ck_host host;
    unsigned int port;
    bool voting;
};

struct ck_voters_change {
    ck_voter voters<15>;
};

union ck_change switch (ck_change_kind kind) {
case CK_CHANGE_NONE:
    void;
case CK_CHANGE_TEMPLATE:
case CK_CHANGE_CUSTOMER:
    ck_document_change document;
case CK_CHANGE_TEMPLATE_DELETE:
    ck_name template_name;
case CK_CHANGE_CUSTOMER_STATE:
    ck_customer_state_change customer_state;
case CK_CHANGE_DAEMON:
case CK_CHANGE_DAEMON_EXPIRE:
    ck_daemon daemon;
case CK_CHANGE_UPSTREAM:
case CK_CHANGE_UPSTREAM_EXPIRE:
    ck_upstream upstream;
case CK_CHANGE_SUPERSEDE:
    ck_supersede_change supersede;
case CK_CHANGE_PRIMARY:
case CK_CHANGE_PROMOTION:
    ck_primary_change primary;
case CK_CHANGE_PROMOTED:
    ck_promoted_change promoted;
case CK_CHANGE_VOTERS:
    ck_voters_change voters;
case CK_CHANGE_DECLARATION:
    ck_packed_declaration declaration;
};

struct ck_apply_args {
    ck_name group;
    ck_name change_id;              /* for deduplication; empty: none */
    unsigned hyper expected_revision;
    bool check_revision;
    bool dry_run;
    ck_change change;
};

struct ck_apply_result {
    int outcome;
    unsigned hyper revision;        /* of the change or the conflicting one */
    bool replayed;                  /* recorded result of this change id */
    ck_host leader_host;
    unsigned int leader_port;
    ck_text message;
};

/*
 * Announcements of upstreams that change nothing as far as the sender knows,
 * from a control VM to the leader. The leader handles each like a change.
 */
struct ck_announce_args {
    ck_name group;
    ck_upstream upstreams<CK_LIST_SIZE>;
};

struct ck_announce_result {
    int outcome;                    /* not OUTCOME_OK: none was handled */
};

/* ---- replicated log ---- */

struct ck_log_entry {
    unsigned hyper term;
    unsigned hyper index;
    opaque payload<CK_ENTRY_SIZE>;  /* ck_log_payload in XDR */
};

struct ck_log_payload {
    ck_name change_id;
    unsigned hyper expected_revision;
    bool check_revision;
    ck_change change;
};

enum ck_raft_kind {
    CK_RAFT_VOTE = 1,
    CK_RAFT_VOTE_RESULT = 2,
    CK_RAFT_APPEND = 3,
    CK_RAFT_APPEND_RESULT = 4,
    CK_RAFT_SNAPSHOT = 5,
    CK_RAFT_SNAPSHOT_RESULT = 6,
    CK_RAFT_TIMEOUT_NOW = 7,
    CK_RAFT_LEARNER = 8,            /* receiver's id is new, without vote */
    CK_RAFT_UNANIMOUS_VOTE = 9,     /* as VOTE, in a unanimous election */
    CK_RAFT_UNANIMOUS_VOTE_RESULT = 10
};

struct ck_raft_vote {
    bool pre_vote;
    bool transfer;                  /* the leader requested this election */
    unsigned hyper last_index;
    unsigned hyper last_term;
};

struct ck_raft_vote_result {
    bool pre_vote;
    bool granted;
};

struct ck_raft_append {
    unsigned hyper round;           /* echoed; proves a recent reply */
    unsigned hyper previous_index;
    unsigned hyper previous_term;
    unsigned hyper commit_index;
    ck_log_entry entries<1024>;
};

struct ck_raft_append_result {
    unsigned hyper round;
    bool success;
    unsigned hyper match_index;     /* on failure: where the logs may match */
};

struct ck_raft_snapshot {
    unsigned hyper round;
    unsigned hyper last_index;
    unsigned hyper last_term;
    unsigned hyper offset;
    unsigned hyper total_size;
    opaque data<CK_BLOB_SIZE>;
};

struct ck_raft_snapshot_result {
    unsigned hyper round;
    unsigned hyper last_index;
    unsigned hyper next_offset;
    bool installed;
};

union ck_raft_body switch (ck_raft_kind kind) {
case CK_RAFT_VOTE:
case CK_RAFT_UNANIMOUS_VOTE:
    ck_raft_vote vote;
case CK_RAFT_VOTE_RESULT:
case CK_RAFT_UNANIMOUS_VOTE_RESULT:
    ck_raft_vote_result vote_result;
case CK_RAFT_APPEND:
    ck_raft_append append;
case CK_RAFT_APPEND_RESULT:
    ck_raft_append_result append_result;
case CK_RAFT_SNAPSHOT:
    ck_raft_snapshot snapshot;
case CK_RAFT_SNAPSHOT_RESULT:
    ck_raft_snapshot_result snapshot_result;
case CK_RAFT_TIMEOUT_NOW:
case CK_RAFT_LEARNER:
    void;
};

struct ck_raft_message {
    ck_name group;
    unsigned hyper from;            /* voter id */
    unsigned hyper to;
    unsigned hyper term;
    ck_raft_body body;
};

/* ---- operators ---- */

enum ck_query_kind {
    CK_QUERY_STATUS = 1,            /* this daemon */
    CK_QUERY_DAEMONS = 2,
    CK_QUERY_DATABASES = 3,
    CK_QUERY_TEMPLATES = 4,
    CK_QUERY_CUSTOMERS = 5,
    CK_QUERY_TIMELINE = 6,
    CK_QUERY_COUNTERS = 7,
    CK_QUERY_GROUPS = 8,
    CK_QUERY_LIMITS = 9,            /* rate limits of customers */
    CK_QUERY_DECLARED_CUSTOMERS = 10    /* without their keys */
};

struct ck_query_args {
    ck_query_kind kind;
    ck_name group;
    ck_name name;                   /* of one object; empty: all objects */
    unsigned hyper cursor;          /* 0 for the first page */
};

struct ck_query_result {
    int outcome;
    unsigned hyper revision;
    unsigned hyper next_cursor;     /* of the next page; 0: last page */
    string json<CK_BLOB_SIZE>;      /* JSON array of objects of the page */
    ck_host leader_host;
    unsigned int leader_port;
    ck_text message;
};

enum ck_command_kind {
    CK_COMMAND_STOP = 1,            /* planned stop of this daemon */
    CK_COMMAND_SWITCHOVER = 2,      /* move the primary to target */
    CK_COMMAND_PROMOTE = 3,         /* approve a promotion */
    CK_COMMAND_TRANSFER = 4,        /* transfer the Raft leadership */
    CK_COMMAND_ADD_VOTER = 5,
    CK_COMMAND_REMOVE_VOTER = 6
};

struct ck_command_args {
    ck_command_kind kind;
    ck_name change_id;
    ck_name group;
    ck_name database;
    ck_name target;                 /* upstream or VM */
    ck_voter voter;
};

struct ck_command_result {
    int outcome;
    unsigned hyper number;          /* ADD_VOTER without an id: the new id */
    ck_host leader_host;
    unsigned int leader_port;
    ck_text message;
};

/* Reads the declaration in force from a leader that a quorum confirms. */
struct ck_read_declaration_args {
    ck_name group;
};

struct ck_read_declaration_result {
    int outcome;
    ck_packed_declaration declaration;  /* number 0: no declaration */
    ck_host leader_host;
    unsigned int leader_port;
};

/* ---- rate limits of customers ---- */

/* What an entry has of a customer's tokens, and what it asks for. */
struct ck_borrow_row {
    ck_name customer;
    unsigned int waiting;           /* operations that wait for a token */
    unsigned int less_urgent;       /* of these, with priority 1 */
    unsigned int least_urgent;      /* of these, with priority 2 or higher */
    unsigned int stock;             /* tokens for operations to come */
    unsigned int held;              /* tokens in hand */
    unsigned int returned;          /* tokens given back with this call */
};

/*
 * Asks the leader for tokens. Calls of an entry have rising sequence numbers,
 * one at a time. A repeated call gets the same answer. An answer to an earlier
 * call is never applied: applied tells the leader which was the last one.
 */
struct ck_borrow_args {
    ck_name group;
    ck_name vm;
    unsigned hyper incarnation;
    unsigned hyper sequence;
    unsigned hyper applied;         /* sequence of the last answer applied */
    ck_borrow_row rows<CK_LIST_SIZE>;
};

struct ck_lent_row {
    ck_name customer;
    unsigned int kept;              /* of the tokens in hand; others lapse */
    unsigned int granted;           /* for operations that wait, only now,
                                       the most urgent ones first */
    unsigned int stock;             /* for operations to come */
    unsigned int valid_ms;          /* of kept and stock, from the call on */
    unsigned int retry_after_ms;    /* no new call before; 0: at any time */
    unsigned int retry_priority;    /* holds from this priority number on */
    bool wait;                      /* tokens are left, others hold too many */
    bool plenty;                    /* the customer is well below its limit */
};

struct ck_borrow_result {
    int outcome;
    unsigned hyper sequence;
    ck_host leader_host;
    unsigned int leader_port;
    ck_lent_row rows<CK_LIST_SIZE>;
};

program CK_PROGRAM {
    version CK_VERSION {
        ck_renew_result CK_RENEW(ck_renew_args) = 1;
        ck_notify_result CK_NOTIFY(ck_notify_args) = 2;
        void CK_RAFT(ck_raft_message) = 3;      /* one-way: no reply */
        ck_apply_result CK_APPLY(ck_apply_args) = 4;
        ck_query_result CK_QUERY(ck_query_args) = 5;
        ck_command_result CK_COMMAND(ck_command_args) = 6;
        ck_read_declaration_result
            CK_READ_DECLARATION(ck_read_declaration_args) = 7;
        ck_announce_result CK_ANNOUNCE(ck_announce_args) = 8;
        ck_borrow_result CK_BORROW(ck_borrow_args) = 9;
    } = 1;
} = 0x20434b47;
