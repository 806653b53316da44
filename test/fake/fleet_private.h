#ifndef TEST_FAKE_FLEET_PRIVATE_H
#define TEST_FAKE_FLEET_PRIVATE_H

#include "catkingrade/kernel/buffer.h"
#include "test/fake/fleet.h"

enum fleet_message_kind {
    FLEET_RAFT,
    FLEET_RENEW,
    FLEET_NOTIFY,
    FLEET_ANNOUNCE,
    FLEET_PROBE,
    FLEET_PROMOTE,
    FLEET_FOLLOW,
    FLEET_FENCE,
    FLEET_PULL, // a replica says how far it is
    FLEET_PUSH, // the primary's saves from there on
    FLEET_SAVE,
};

enum fleet_timer {
    FLEET_TIMER_RAFT = 1,
    FLEET_TIMER_COORDINATOR,
    FLEET_TIMER_LEASE,
    FLEET_TIMER_SAVE,
    FLEET_TIMER_ANNOUNCE,
    FLEET_TIMER_PULL,
    FLEET_TIMER_PROMOTED,
    FLEET_TIMER_CALL = 16, // plus the id of the call
};

struct fleet_message {
    enum fleet_message_kind kind;
    bool is_reply;
    bool refused;
    bool is_primary;
    uint64_t call;
    uint64_t number; // term, save id or start
    struct ck_position position;
    struct buffer bytes; // XDR, or save ids
};

struct fleet_message *fleet_create_message(enum fleet_message_kind kind);
struct fleet_message *fleet_create_reply(const struct fleet_message *request);
void fleet_send_message(struct fleet *fleet, int from, int to,
                        struct fleet_message *message);
uint64_t fleet_call(struct fleet *fleet, int from, int to,
                    struct fleet_message *message, int64_t timeout_us,
                    const char *name, uint64_t incarnation, uint64_t sequence);
void fleet_record_violation(struct fleet *fleet, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

void fleet_voter_start(struct fleet *fleet, int voter);
void fleet_voter_timer(struct fleet *fleet, int voter, uint64_t tag);
void fleet_voter_receive(struct fleet *fleet, int voter, int from,
                         const struct fleet_message *message);
void fleet_voter_complete_call(struct fleet *fleet, int voter,
                               const struct fleet_call *call,
                               const struct fleet_message *reply);
void fleet_voter_handle_command(struct fleet *fleet, int voter,
                                const struct ck_command_args *args);

void fleet_entry_start(struct fleet *fleet, int entry);
void fleet_entry_timer(struct fleet *fleet, int entry, uint64_t tag);
void fleet_entry_receive(struct fleet *fleet, int entry, int from,
                         const struct fleet_message *message);
void fleet_entry_complete_call(struct fleet *fleet, int entry,
                               const struct fleet_call *call,
                               const struct fleet_message *reply);

void fleet_upstream_start(struct fleet *fleet, int upstream);
void fleet_upstream_timer(struct fleet *fleet, int upstream, uint64_t tag);
void fleet_upstream_receive(struct fleet *fleet, int upstream, int from,
                            const struct fleet_message *message);
bool fleet_upstream_has(const struct fleet_upstream *upstream, uint64_t save);

#endif
