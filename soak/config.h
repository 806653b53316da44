#ifndef CATKINGRADE_SOAK_CONFIG_H
#define CATKINGRADE_SOAK_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

// The operator of the soak: uploads configurations, and reads them back from
// random control VMs on a thread of its own. No read may return a version that
// is older than the last acknowledged one.

// maxStalenessMs of the routes `own`
#define CONFIG_MAX_STALENESS_MS 2500

// Uploads the first configuration and waits until it is acknowledged. The seed
// determines which control VMs are read.
void config_start(uint64_t seed);
// Stops the thread.
void config_stop(void);
// Lets the thread upload the next version through a control VM.
void config_request_upload(int control);
// Reads the configuration from a control VM and checks its version. Returns
// whether there was one. Not beside the thread.
bool config_check(int control);

#endif
