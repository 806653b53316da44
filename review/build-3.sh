#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15, into
# target/review-3. The daemons are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for folder in review/1[1-5]; do
    if [ -f "$folder/case.c" ]; then
        gcc -std=gnu11 -O1 -g -Wall -Wextra -Wno-format-truncation -D_GNU_SOURCE -pthread -Ireview/common-3 \
            -o "$out/case-$(basename "$folder")" \
            "$folder/case.c" review/common-3/stand.c
    fi
done
