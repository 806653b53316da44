#include "catkingrade/entry/job.h"

#include <stdlib.h>
#include <string.h>

#include "catkingrade/kernel/memory.h"

// Adds a step at the end and returns it; valid until the next call.
struct job_step *
job_add_step(struct job *job, enum job_step_kind kind)
{
    size_t count = job->steps_count;

    if ((count & (count - 1)) == 0) {
        job->steps = xrealloc(job->steps, (count == 0 ? 1 : 2 * count) *
                                              sizeof(*job->steps));
    }
    struct job_step *step = &job->steps[job->steps_count++];
    memset(step, 0, sizeof(*step));
    step->kind = kind;
    return step;
}

// Forgets the answer of an earlier try.
void
job_clear_answer(struct job *job)
{
    buffer_clear(&job->answer);
    job->steps_done = 0;
    job->failed = false;
    job->position_known = false;
    job->refusal = TYPED_REFUSAL_NONE;
    job->transaction_status = 'I';
    memset(&job->position, 0, sizeof(job->position));
}

// Frees what the job holds, not the job itself.
void
job_free(struct job *job)
{
    for (size_t i = 0; i < job->steps_count; i++) {
        statement_release(job->steps[i].statement);
        portal_release(job->steps[i].portal);
    }
    typed_statement_destroy(job->typed);
    free(job->steps);
    free(job->text);
    free(job->settings_text);
    buffer_free(&job->answer);
    memset(job, 0, sizeof(*job));
}
