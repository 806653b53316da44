#ifndef CATKINGRADE_ENTRY_UPSTREAM_SQL_H
#define CATKINGRADE_ENTRY_UPSTREAM_SQL_H

// SQL statements that catkingrade itself runs on upstreams.

// Role, timeline and log position (X/Y in hexadecimal) of an upstream.
#define UPSTREAM_SQL_SAMPLE                                                   \
    "SELECT pg_is_in_recovery(), (pg_control_checkpoint()).timeline_id, "     \
    "CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() "            \
    "ELSE pg_current_wal_lsn() END"

// Log position of a primary, read after a commit on the same connection.
#define UPSTREAM_SQL_POSITION "SELECT pg_current_wal_lsn()"

#define UPSTREAM_SQL_RESET    "DISCARD ALL"
#define UPSTREAM_SQL_VALIDATE "SELECT 1"

// Idempotency keys; %s is a quoted literal. One transaction contains the key,
// the request's own write and the command tag of that write (the answer).
#define UPSTREAM_SQL_KEY_BEGIN "BEGIN"
#define UPSTREAM_SQL_KEY_INSERT                                               \
    "INSERT INTO catkingrade_keys (key, answer, at) "                         \
    "VALUES (%s, '', now()) ON CONFLICT DO NOTHING"
#define UPSTREAM_SQL_KEY_FIND                                                 \
    "SELECT answer FROM catkingrade_keys WHERE key = %s"
#define UPSTREAM_SQL_KEY_ANSWER                                               \
    "UPDATE catkingrade_keys SET answer = %s WHERE key = %s"
#define UPSTREAM_SQL_KEY_COMMIT   "COMMIT"
#define UPSTREAM_SQL_KEY_ROLLBACK "ROLLBACK"

#endif
