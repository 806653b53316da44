/*
 * Messages between catkingrade's processes, in XDR. They are carried as ONC
 * RPC calls and replies in UDP datagrams; see docs/DESIGN.md.
 */

const CK_NAME_SIZE = 63;
const CK_HOST_SIZE = 63;
const CK_TEXT_SIZE = 4096;
const CK_VERIFIER_SIZE = 255;
const CK_BLOB_SIZE = 49152;
const CK_LIST_SIZE = 16384;
const CK_RELAY_HOSTS = 3;
const CK_ORIGINAL_SIZE = 1048576;

typedef string ck_name<CK_NAME_SIZE>;
typedef string ck_host<CK_HOST_SIZE>;
typedef string ck_text<CK_TEXT_SIZE>;

/* ---- what entries serve: customers, databases, upstreams ---- */

/* A log position. Positions of one timeline compare by lsn. */
struct ck_position {
    unsigned hyper timeline;
    unsigned hyper lsn;
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
    ck_host host;                   /* IP number */
    unsigned int port;
    unsigned int slots;             /* statements it runs at once */
    unsigned int connections;       /* connections it accepts */
    ck_upstream_state state;
    unsigned hyper incarnation;     /* start of its process; 0: not known */
    unsigned hyper sequence;        /* of its announcements; 0: not known */
};

/* A database group: one primary and its replicas. */
struct ck_database {
    ck_name name;
    ck_name customer;
    ck_name group;                  /* control group that decides it */
    unsigned hyper revision;        /* group revision of the last change */
    unsigned hyper term;            /* 0: none decided yet */
    ck_name primary;                /* upstream name; empty: none */
    ck_position base;               /* where this term's timeline began */
    bool superseding;               /* no writes until the next term */
    ck_upstream upstreams<CK_LIST_SIZE>;
};

struct ck_request_type {
    ck_name name;
    unsigned int weight;
    unsigned int deadline_ms;
    unsigned int queue_limit;
    bool repeatable;
    unsigned int max_age_ms;        /* accepted age of reads; 0: current */
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

enum ck_promotion_policy {
    CK_PROMOTION_WAIT = 0,          /* only a replica known to be complete */
    CK_PROMOTION_OPERATOR = 1,      /* else by the operator's word */
    CK_PROMOTION_AVAILABLE = 2      /* else the most advanced that answers */
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
    unsigned int session_limit;     /* client connections for each entry */
    unsigned int confirm;           /* replicas that hold a save's position */
    unsigned int drain_ms;
    ck_unconfirmed_policy unconfirmed;
    ck_promotion_policy promotion;
    unsigned int connections;       /* to each upstream; 0: as announced */
    ck_name databases<CK_LIST_SIZE>;
    ck_request_type types<64>;
    ck_caller callers<256>;
};

/* ---- declarations: whole sets under an operator's number ---- */

/* Which upstreams may answer the reads of a route. */
enum ck_read_policy {
    CK_READS_CURRENT = 0,           /* only the primary */
    CK_READS_BY_AGE = 1,            /* replicas within max_age_ms */
    CK_READS_OWN_SAVES = 2          /* the same, and the session's own saves */
};

/* A name that sessions ask for, and what its requests get. */
struct ck_route {
    ck_name name;
    ck_name database;
    ck_read_policy reads;
    unsigned int max_age_ms;
    unsigned int deadline_ms;       /* of one statement */
    unsigned int target_ms;         /* of a whole operation */
    unsigned int priority;          /* 0: the most urgent */
};

struct ck_declared_database {
    ck_name name;
    unsigned int connections;       /* to each of its upstreams */
    unsigned int confirm;           /* replicas that hold a save */
};

struct ck_declaration {
    ck_route routes<CK_LIST_SIZE>;
    ck_declared_database databases<CK_LIST_SIZE>;
    unsigned int idle_transaction_ms;
    opaque original<CK_ORIGINAL_SIZE>;  /* as the operator sent it */
};

/* A declaration in XDR, compressed. The highest number is in force. */
struct ck_packed_declaration {
    unsigned hyper number;
    opaque data<CK_BLOB_SIZE>;
};

/* What changed in a group between two revisions. A full one starts at 0. */
struct ck_view_delta {
    unsigned hyper from_revision;
    unsigned hyper to_revision;
    bool full;
    bool more;                      /* the rest comes with the next answer */
    ck_customer customers<CK_LIST_SIZE>;
    ck_name customers_removed<CK_LIST_SIZE>;
    ck_database databases<CK_LIST_SIZE>;
    ck_name databases_removed<CK_LIST_SIZE>;
    ck_packed_declaration declaration<1>;
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

/* Work at one upstream since the last renewal. */
struct ck_demand {
    ck_name upstream;
    unsigned int waiting;           /* requests waiting for a slot, peak */
    unsigned int running;           /* slots in use, peak */
    unsigned int connections;       /* connections open or opening */
    /* The quota in force at the entry when it asked. */
    unsigned int held_slots;
    unsigned int held_connections;
    unsigned int held_guaranteed_slots;
    unsigned int held_guaranteed_connections;
};

enum ck_suspicion_kind {
    CK_SUSPECT_REFUSED = 1,
    CK_SUSPECT_SILENT = 2,
    CK_SUSPECT_SLOW = 3
};

struct ck_suspicion {
    ck_name database;
    ck_name upstream;
    unsigned hyper term;
    ck_suspicion_kind kind;
    unsigned hyper since_ms;        /* how long it has lasted */
};

struct ck_revocation {
    ck_name database;
    unsigned hyper term;            /* no write of this term or below */
};

struct ck_quota {
    ck_name upstream;
    unsigned int slots;
    unsigned int connections;
    unsigned int guaranteed_slots;
    unsigned int guaranteed_connections;
};

/* Entries that run this one's statements of a database, the first to be asked
   first. */
struct ck_relay {
    ck_name database;
    bool standby;                   /* only when it has no lease itself */
    ck_host hosts<CK_RELAY_HOSTS>;
};

struct ck_renew_args {
    ck_name group;
    ck_daemon daemon;
    unsigned hyper sequence;
    unsigned hyper known_revision;
    unsigned int open_requests;     /* of draining customers */
    unsigned hyper relays_version;  /* of the relays in force; 0: none */
    ck_demand demands<CK_LIST_SIZE>;
    ck_suspicion suspicions<CK_LIST_SIZE>;
    ck_revocation confirmed<CK_LIST_SIZE>;
};

struct ck_renew_result {
    int outcome;
    unsigned hyper sequence;
    ck_host leader_host;            /* where to ask instead, if known */
    unsigned int leader_port;
    unsigned hyper leader_term;
    unsigned hyper lease_us;
    ck_view_delta delta;
    unsigned hyper hasten_us;       /* more is lent then: renew; 0: no */
    ck_quota quotas<CK_LIST_SIZE>;
    unsigned hyper relays_version;  /* 0: relays are not planned */
    ck_relay relays<CK_LIST_SIZE>;  /* empty when the version is known */
};

/* Pushed by a leader: renew at once; these terms end. */
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

/* ---- changes: the entries of a group's log ---- */

enum ck_change_kind {
    CK_CHANGE_NONE = 0,             /* a new leader's first entry */
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
    CK_CHANGE_DECLARATION = 12
};

/* A template or a customer is a JSON document, checked before the change. */
struct ck_document_change {
    ck_name name;
    string document<CK_BLOB_SIZE>;
};

struct ck_customer_state_change {
    ck_name customer;
    ck_customer_state state;
    ck_text report;
};

/* The term of a database ends; no new one stands yet. */
struct ck_supersede_change {
    ck_name database;
    unsigned hyper term;
    ck_text reason;
};

struct ck_primary_change {
    ck_name database;
    unsigned hyper term;
    ck_name primary;
    ck_position base;
};

struct ck_voter {
    unsigned hyper id;              /* never used again once removed */
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
    ck_primary_change primary;
case CK_CHANGE_VOTERS:
    ck_voters_change voters;
case CK_CHANGE_DECLARATION:
    ck_packed_declaration declaration;
};

struct ck_apply_args {
    ck_name group;
    ck_name change_id;              /* empty: not remembered */
    unsigned hyper expected_revision;
    bool check_revision;
    bool dry_run;
    ck_change change;
};

struct ck_apply_result {
    int outcome;
    unsigned hyper revision;        /* of the change, or of the winner */
    bool replayed;                  /* an earlier answer to this change id */
    ck_host leader_host;
    unsigned int leader_port;
    ck_text message;
};

/* ---- replicated log ---- */

struct ck_log_entry {
    unsigned hyper term;
    unsigned hyper index;
    opaque payload<CK_BLOB_SIZE>;   /* ck_log_payload in XDR */
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
    CK_RAFT_LEARNER = 8             /* the receiver's id is new: no vote yet */
};

struct ck_raft_vote {
    bool pre_vote;
    bool transfer;                  /* asked for by the leader itself */
    unsigned hyper last_index;
    unsigned hyper last_term;
};

struct ck_raft_vote_result {
    bool pre_vote;
    bool granted;
};

struct ck_raft_append {
    unsigned hyper round;           /* echoed; proves the answer is recent */
    unsigned hyper previous_index;
    unsigned hyper previous_term;
    unsigned hyper commit_index;
    ck_log_entry entries<1024>;
};

struct ck_raft_append_result {
    unsigned hyper round;
    bool success;
    unsigned hyper match_index;     /* or, on failure, where to try next */
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
    ck_raft_vote vote;
case CK_RAFT_VOTE_RESULT:
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
    CK_QUERY_GROUPS = 8
};

struct ck_query_args {
    ck_query_kind kind;
    ck_name group;
    ck_name name;                   /* one object; empty: all */
    unsigned hyper cursor;          /* 0 first, then next_cursor */
};

struct ck_query_result {
    int outcome;
    unsigned hyper revision;
    unsigned hyper next_cursor;     /* 0: no more */
    string json<CK_BLOB_SIZE>;      /* a JSON array: this page's objects */
    ck_host leader_host;
    unsigned int leader_port;
    ck_text message;
};

enum ck_command_kind {
    CK_COMMAND_STOP = 1,            /* planned stop of this daemon */
    CK_COMMAND_SWITCHOVER = 2,      /* database to a named upstream */
    CK_COMMAND_PROMOTE = 3,         /* the operator's word on a promotion */
    CK_COMMAND_TRANSFER = 4,        /* leader of a group hands over */
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
    unsigned hyper number;          /* ADD_VOTER without an id: the next one */
    ck_host leader_host;
    unsigned int leader_port;
    ck_text message;
};

/* The declaration in force, from a leader that is sure to lead. */
struct ck_read_declaration_args {
    ck_name group;
};

struct ck_read_declaration_result {
    int outcome;
    ck_packed_declaration declaration;  /* number 0: none yet */
    ck_host leader_host;
    unsigned int leader_port;
};

program CK_PROGRAM {
    version CK_VERSION {
        ck_renew_result CK_RENEW(ck_renew_args) = 1;
        ck_notify_result CK_NOTIFY(ck_notify_args) = 2;
        void CK_RAFT(ck_raft_message) = 3;      /* one way: no reply */
        ck_apply_result CK_APPLY(ck_apply_args) = 4;
        ck_query_result CK_QUERY(ck_query_args) = 5;
        ck_command_result CK_COMMAND(ck_command_args) = 6;
        ck_read_declaration_result
            CK_READ_DECLARATION(ck_read_declaration_args) = 7;
    } = 1;
} = 0x20434b47;
