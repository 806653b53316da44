#include "catkingrade/entry/classify.h"

#include <ctype.h>
#include <json-c/json.h>
#include <pg_query.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "catkingrade/entry/classify_functions.h"
#include "catkingrade/entry/classify_hint.h"
#include "catkingrade/kernel/buffer.h"
#include "catkingrade/kernel/memory.h"

#define CLASSIFY_MAX_DEPTH       1000
#define CLASSIFY_MAX_PARSE_BYTES (256 * 1024)
#define CLASSIFY_ENCODING_SIZE   32
#define CLASSIFY_NAME_PREFIX     "catkingrade."
#define CLASSIFY_NAME_PREFIX_LEN (sizeof(CLASSIFY_NAME_PREFIX) - 1)

typedef struct json_object json;

static json *
classify_get_member(json *object, const char *key)
{
    json *member = NULL;

    if (json_object_get_type(object) == json_type_object) {
        json_object_object_get_ex(object, key, &member);
    }
    return member;
}

static const char *
classify_get_member_text(json *object, const char *key)
{
    json *member = classify_get_member(object, key);

    return member == NULL ? "" : json_object_get_string(member);
}

static size_t
classify_get_array_length(json *array)
{
    return json_object_get_type(array) == json_type_array
               ? json_object_array_length(array)
               : 0;
}

// Returns whether a function call is known to be read-only. Only built-in
// functions are: a function qualified with a schema other than pg_catalog is
// user-defined and may write.
static bool
classify_is_read_call(json *call)
{
    json *names = classify_get_member(call, "funcname");
    size_t count = classify_get_array_length(names);

    if (count == 0 || count > 2) {
        return false;
    }
    json *last = json_object_array_get_idx(names, count - 1);
    json *first = json_object_array_get_idx(names, 0);
    if (count == 2 && strcmp(classify_get_member_text(
                                 classify_get_member(first, "String"), "sval"),
                             "pg_catalog") != 0) {
        return false;
    }
    return classify_is_read_function(
        classify_get_member_text(classify_get_member(last, "String"), "sval"));
}

// Returns whether the key of a parse tree node marks a write or a row lock.
static bool
classify_is_write_key(const char *key)
{
    static const char *const keys[] = {"lockingClause", "intoClause",
                                       "InsertStmt",    "UpdateStmt",
                                       "DeleteStmt",    "MergeStmt"};

    for (size_t i = 0; i < ARRAY_SIZE(keys); i++) {
        if (strcmp(key, keys[i]) == 0) {
            return true;
        }
    }
    return false;
}

// Returns whether a parse tree is read-only: no node writes, locks rows or
// calls a function that is not on the list of read-only functions. A tree
// nested deeper than CLASSIFY_MAX_DEPTH is not considered read-only.
static bool
classify_is_read_tree(json *node, unsigned depth)
{
    if (depth > CLASSIFY_MAX_DEPTH) {
        return false;
    }
    if (json_object_get_type(node) == json_type_array) {
        for (size_t i = 0; i < json_object_array_length(node); i++) {
            if (!classify_is_read_tree(json_object_array_get_idx(node, i),
                                       depth + 1)) {
                return false;
            }
        }
        return true;
    }
    if (json_object_get_type(node) != json_type_object) {
        return true;
    }
    json_object_object_foreach(node, key, member)
    {
        if (classify_is_write_key(key) ||
            (strcmp(key, "FuncCall") == 0 && !classify_is_read_call(member)) ||
            !classify_is_read_tree(member, depth + 1)) {
            return false;
        }
    }
    return true;
}

// Classifies EXPLAIN. Without ANALYZE the explained statement is not executed
// and EXPLAIN is a read. With ANALYZE, whatever the option's value, EXPLAIN is
// a read only if the explained statement is a read-only SELECT.
static enum classify_kind
classify_explain(json *node)
{
    json *options = classify_get_member(node, "options");

    for (size_t i = 0; i < classify_get_array_length(options); i++) {
        json *option = classify_get_member(
            json_object_array_get_idx(options, i), "DefElem");
        if (strcmp(classify_get_member_text(option, "defname"), "analyze") ==
            0) {
            json *query = classify_get_member(node, "query");
            bool is_read = classify_get_member(query, "SelectStmt") != NULL &&
                           classify_is_read_tree(query, 0);
            return is_read ? CLASSIFY_READ : CLASSIFY_WRITE;
        }
    }
    return CLASSIFY_READ;
}

static enum classify_kind
classify_begin(json *node)
{
    json *options = classify_get_member(node, "options");
    enum classify_kind kind = CLASSIFY_BEGIN;

    for (size_t i = 0; i < classify_get_array_length(options); i++) {
        json *option = classify_get_member(
            json_object_array_get_idx(options, i), "DefElem");
        json *constant =
            classify_get_member(classify_get_member(option, "arg"), "A_Const");
        if (strcmp(classify_get_member_text(option, "defname"),
                   "transaction_read_only") == 0) {
            kind = classify_get_member(classify_get_member(constant, "ival"),
                                       "ival") != NULL
                       ? CLASSIFY_BEGIN_READ_ONLY
                       : CLASSIFY_BEGIN;
        }
    }
    return kind;
}

static enum classify_kind
classify_transaction(json *node)
{
    static const struct {
        const char *name;
        enum classify_kind kind;
    } rows[] = {{"TRANS_STMT_COMMIT", CLASSIFY_COMMIT},
                {"TRANS_STMT_ROLLBACK", CLASSIFY_ROLLBACK},
                {"TRANS_STMT_SAVEPOINT", CLASSIFY_SAVEPOINT},
                {"TRANS_STMT_RELEASE", CLASSIFY_SAVEPOINT},
                {"TRANS_STMT_ROLLBACK_TO", CLASSIFY_SAVEPOINT}};
    const char *name = classify_get_member_text(node, "kind");

    if (strcmp(name, "TRANS_STMT_BEGIN") == 0 ||
        strcmp(name, "TRANS_STMT_START") == 0) {
        return classify_begin(node);
    }
    for (size_t i = 0; i < ARRAY_SIZE(rows); i++) {
        if (strcmp(name, rows[i].name) == 0) {
            return rows[i].kind;
        }
    }
    return CLASSIFY_WRITE;
}

// Copies the integer value of SET. The parse tree has no value for zero and
// negative integers; these are parsed from the text at the node's location.
static void
classify_copy_integer(json *constant, json *value, const char *text,
                      struct classification *result)
{
    if (value != NULL) {
        (void)snprintf(result->value, sizeof(result->value), "%s",
                       json_object_get_string(value));
        return;
    }
    int location =
        json_object_get_int(classify_get_member(constant, "location"));
    size_t length = strlen(text);
    const char *value_start =
        text + ((size_t)location < length ? (size_t)location : length);
    bool negative = *value_start == '-';
    long long number = strtoll(value_start + (negative ? 1 : 0), NULL, 10);
    (void)snprintf(result->value, sizeof(result->value), "%s%lld",
                   negative ? "-" : "", number);
}

static void
classify_copy_value(json *node, const char *text,
                    struct classification *result)
{
    json *args = classify_get_member(node, "args");
    json *first = classify_get_array_length(args) == 0
                      ? NULL
                      : json_object_array_get_idx(args, 0);
    json *constant = classify_get_member(first, "A_Const");
    json *value_node = NULL;

    if ((value_node = classify_get_member(constant, "ival")) != NULL) {
        classify_copy_integer(
            constant, classify_get_member(value_node, "ival"), text, result);
    }
    else if ((value_node = classify_get_member(constant, "fval")) != NULL) {
        (void)snprintf(result->value, sizeof(result->value), "%s",
                       classify_get_member_text(value_node, "fval"));
    }
    else if ((value_node = classify_get_member(constant, "boolval")) != NULL) {
        (void)snprintf(
            result->value, sizeof(result->value), "%s",
            classify_get_member(value_node, "boolval") != NULL ? "on" : "off");
    }
    else {
        value_node = classify_get_member(constant, "sval");
        (void)snprintf(result->value, sizeof(result->value), "%s",
                       classify_get_member_text(value_node, "sval"));
    }
}

// Classifies SET and SHOW. The entry itself answers them for settings with the
// prefix "catkingrade."; the setting's name and value are copied to result.
static enum classify_kind
classify_variable(json *node, const char *text, bool is_set,
                  struct classification *result)
{
    const char *name = classify_get_member_text(node, "name");

    if (strncmp(name, CLASSIFY_NAME_PREFIX, CLASSIFY_NAME_PREFIX_LEN) != 0) {
        return is_set ? CLASSIFY_SET : CLASSIFY_WRITE;
    }
    (void)snprintf(result->name, sizeof(result->name), "%s",
                   name + CLASSIFY_NAME_PREFIX_LEN);
    if (!is_set) {
        return CLASSIFY_SHOW_CATKINGRADE;
    }
    classify_copy_value(node, text, result);
    return CLASSIFY_SET_CATKINGRADE;
}

// Returns whether all bytes of a character beyond ASCII are beyond ASCII in an
// encoding, so that the parser finds the same quotes as the upstream. The name
// is compared as PostgreSQL does: by its letters and digits, without case.
static bool
classify_is_safe_encoding(const char *name)
{
    static const char *const prefixes[] = {
        "utf8",   "unicode",    "sqlascii", "latin",      "iso8859",
        "euc",    "koi8",       "win125",   "windows125", "mule",
        "win866", "windows866", "win874",   "windows874"};
    char text[CLASSIFY_ENCODING_SIZE];
    size_t length = 0;

    for (; *name != '\0' && length + 1 < sizeof(text); name++) {
        if (isalnum((unsigned char)*name)) {
            text[length++] = (char)tolower((unsigned char)*name);
        }
    }
    text[length] = '\0';
    for (size_t i = 0; i < ARRAY_SIZE(prefixes); i++) {
        if (strncmp(text, prefixes[i], strlen(prefixes[i])) == 0) {
            return true;
        }
    }
    return false;
}

bool
classify_changes_lexing(const char *name, const char *value)
{
    if (strcasecmp(name, "client_encoding") == 0) {
        return !classify_is_safe_encoding(value);
    }
    // PostgreSQL also accepts other prefixes of on, true and yes.
    return strcasecmp(name, "standard_conforming_strings") == 0 &&
           strcasecmp(value, "on") != 0 && strcasecmp(value, "true") != 0 &&
           strcmp(value, "1") != 0;
}

// Returns whether a SET statement changes the lexing of texts. RESET and SET
// TO DEFAULT set what the upstream has by itself.
static bool
classify_set_changes_lexing(json *node, const char *text)
{
    struct classification value = {0};

    if (strcmp(classify_get_member_text(node, "kind"), "VAR_SET_VALUE") != 0) {
        return false;
    }
    classify_copy_value(node, text, &value);
    return classify_changes_lexing(classify_get_member_text(node, "name"),
                                   value.value);
}

// Returns what a statement, named by its node of the parse tree, changes in
// the session state.
static enum classify_setting
classify_get_setting(const char *name, json *node)
{
    static const char *const connection_names[] = {
        "ListenStmt", "UnlistenStmt", "PrepareStmt", "ExecuteStmt",
        "DeallocateStmt"};
    const char *variable = classify_get_member_text(node, "name");

    for (size_t i = 0; i < ARRAY_SIZE(connection_names); i++) {
        if (strcmp(name, connection_names[i]) == 0) {
            return CLASSIFY_SETTING_CONNECTION;
        }
    }
    if (strcmp(name, "DiscardStmt") == 0) {
        return strcmp(classify_get_member_text(node, "target"),
                      "DISCARD_ALL") == 0
                   ? CLASSIFY_SETTING_RESET_ALL
                   : CLASSIFY_SETTING_NONE;
    }
    if (strcmp(name, "VariableSetStmt") != 0 ||
        classify_get_member(node, "is_local") != NULL ||
        strcmp(variable, "TRANSACTION") == 0 ||
        strcmp(variable, "TRANSACTION SNAPSHOT") == 0) {
        return CLASSIFY_SETTING_NONE;
    }
    return strcmp(classify_get_member_text(node, "kind"), "VAR_RESET_ALL") == 0
               ? CLASSIFY_SETTING_RESET_ALL
               : CLASSIFY_SETTING_SESSION;
}

static bool
classify_is_session_state(const char *name)
{
    static const char *const names[] = {"DiscardStmt", "ListenStmt",
                                        "UnlistenStmt", "PrepareStmt",
                                        "DeallocateStmt"};

    for (size_t i = 0; i < ARRAY_SIZE(names); i++) {
        if (strcmp(name, names[i]) == 0) {
            return true;
        }
    }
    return false;
}

// Classifies one statement of the parse tree.
static enum classify_kind
classify_statement(json *statement, const char *text,
                   struct classification *result)
{
    struct json_object_iterator item = json_object_iter_begin(statement);
    const char *name = json_object_iter_peek_name(&item);
    json *node = json_object_iter_peek_value(&item);

    result->setting = classify_get_setting(name, node);
    if (strcmp(name, "VariableSetStmt") == 0 &&
        classify_set_changes_lexing(node, text)) {
        result->changes_lexing = true;
    }
    if (strcmp(name, "SelectStmt") == 0) {
        return classify_is_read_tree(node, 0) ? CLASSIFY_READ : CLASSIFY_WRITE;
    }
    if (strcmp(name, "TransactionStmt") == 0) {
        return classify_transaction(node);
    }
    if (strcmp(name, "VariableSetStmt") == 0) {
        return classify_variable(node, text, true, result);
    }
    if (strcmp(name, "VariableShowStmt") == 0) {
        return classify_variable(node, text, false, result);
    }
    if (strcmp(name, "ExplainStmt") == 0) {
        return classify_explain(node);
    }
    if (strcmp(name, "CopyStmt") == 0) {
        return CLASSIFY_COPY;
    }
    return classify_is_session_state(name) ? CLASSIFY_SET : CLASSIFY_WRITE;
}

// Classifies all statements of a text. Several statements are a read if each
// of them is, else a write.
static void
classify_statements(json *statements, const char *text,
                    struct classification *result)
{
    size_t count = classify_get_array_length(statements);

    result->statements = (unsigned)count;
    result->only_reads = true;
    result->changes_session = false;
    result->kind = CLASSIFY_EMPTY;
    for (size_t i = 0; i < count; i++) {
        json *statement = classify_get_member(
            json_object_array_get_idx(statements, i), "stmt");
        enum classify_kind kind = classify_statement(statement, text, result);
        result->only_reads = result->only_reads && kind == CLASSIFY_READ;
        result->changes_session = result->changes_session ||
                                  kind == CLASSIFY_SET_CATKINGRADE ||
                                  result->setting != CLASSIFY_SETTING_NONE;
        result->kind = kind;
    }
    if (count <= 1) {
        result->changes_session = false;
    }
    if (count > 1) {
        result->setting = CLASSIFY_SETTING_NONE;
        result->kind = result->only_reads ? CLASSIFY_READ : CLASSIFY_WRITE;
        result->name[0] = '\0';
        result->value[0] = '\0';
    }
}

// Parses a text into its list of statements. Returns the parse tree, which the
// caller releases, or NULL if the text is invalid or nested too deeply.
static json *
classify_parse_tree(const char *text, bool *is_invalid)
{
    PgQueryParseResult parsed = pg_query_parse(text);
    struct json_tokener *tokener = json_tokener_new_ex(CLASSIFY_MAX_DEPTH);
    json *root = NULL;

    *is_invalid = parsed.error != NULL;
    if (parsed.error == NULL && tokener != NULL) {
        root = json_tokener_parse_ex(tokener, parsed.parse_tree,
                                     (int)strlen(parsed.parse_tree));
    }
    json_tokener_free(tokener);
    pg_query_free_parse_result(parsed);
    return root;
}

// Parses a NUL-terminated text and classifies its statements. If the parse
// tree can't be decoded, for example because it is nested too deeply, the kind
// remains a write.
static void
classify_parse(const char *text, struct classification *result)
{
    bool is_invalid = false;
    json *root = classify_parse_tree(text, &is_invalid);

    if (is_invalid) {
        result->kind = CLASSIFY_INVALID;
    }
    if (root != NULL) {
        classify_statements(classify_get_member(root, "stmts"), text, result);
    }
    json_object_put(root);
}

// Appends the text of one statement of the parse tree to settings.
static void
classify_append_setting(struct buffer *settings, json *row, const char *text)
{
    size_t length = strlen(text);
    size_t start =
        (size_t)json_object_get_int(classify_get_member(row, "stmt_location"));
    json *size_member = classify_get_member(row, "stmt_len");

    start = start < length ? start : length;
    size_t size = size_member == NULL
                      ? length - start
                      : (size_t)json_object_get_int(size_member);
    size = size < length - start ? size : length - start;
    size_t blanks = strspn(text + start, " \t\r\n");
    blanks = blanks < size ? blanks : size;
    buffer_append(settings, text + start + blanks, size - blanks);
    buffer_append_text(settings, "\n;");
}

// Appends the settings of a list of statements. Returns whether none of them
// begins or ends a transaction.
static bool
classify_append_settings(struct buffer *settings, json *statements,
                         const char *text)
{
    size_t count = classify_get_array_length(statements);

    for (size_t i = 0; i < count; i++) {
        json *row = json_object_array_get_idx(statements, i);
        json *statement = classify_get_member(row, "stmt");
        struct json_object_iterator item = json_object_iter_begin(statement);
        const char *name = json_object_iter_peek_name(&item);
        json *node = json_object_iter_peek_value(&item);
        enum classify_setting setting = classify_get_setting(name, node);
        if (strcmp(name, "TransactionStmt") == 0) {
            return false;
        }
        if (setting == CLASSIFY_SETTING_SESSION ||
            (setting == CLASSIFY_SETTING_RESET_ALL &&
             strcmp(name, "VariableSetStmt") == 0)) {
            classify_append_setting(settings, row, text);
        }
    }
    return true;
}

char *
classify_copy_settings(const char *text)
{
    struct buffer settings = {0};
    bool is_invalid = false;
    char *copy = NULL;

    if (strlen(text) > CLASSIFY_MAX_PARSE_BYTES) {
        return NULL;
    }
    json *root = classify_parse_tree(text, &is_invalid);
    if (root != NULL &&
        classify_append_settings(&settings, classify_get_member(root, "stmts"),
                                 text) &&
        buffer_get_size(&settings) > 0) {
        copy = xmemdupz((const char *)buffer_get_data(&settings),
                        buffer_get_size(&settings));
    }
    json_object_put(root);
    buffer_free(&settings);
    return copy;
}

// Sets the classification of a text that is not parsed: several statements
// that write, without a hint.
void
classify_unparsed(struct classification *result)
{
    memset(result, 0, sizeof(*result));
    result->kind = CLASSIFY_WRITE;
    result->statements = 2;
    result->changes_session = true;
    result->hint_max_age_ms = -1;
    result->hint_deadline_ms = -1;
    result->hint_repeatable = -1;
}

// Classifies a text whose leading hint has been removed, without using a
// cache. A text longer than CLASSIFY_MAX_PARSE_BYTES is not parsed and is
// classified as several statements that write.
void
classify_text_without_hint(const char *text, size_t size_bytes,
                           struct classification *result)
{
    classify_unparsed(result);
    if (size_bytes > CLASSIFY_MAX_PARSE_BYTES) {
        return;
    }
    result->statements = 0;
    if (memchr(text, 0, size_bytes) != NULL) {
        result->kind = CLASSIFY_INVALID;
        return;
    }
    char *copy = xmemdupz(text, size_bytes);
    classify_parse(copy, result);
    free(copy);
}

// Classifies a text including its leading hint, without using a cache.
void
classify_text(const char *text, size_t size_bytes,
              struct classification *result)
{
    size_t hint_size_bytes = classify_hint_get_size(text, size_bytes);

    classify_text_without_hint(text + hint_size_bytes,
                               size_bytes - hint_size_bytes, result);
    classify_hint_parse(text, hint_size_bytes, result);
}
