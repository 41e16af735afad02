#!/bin/bash
# Builds the stand-in of the second review into review/stage-2/bin/, with the
# compiler and the libraries that deploy/system.toml declares.
set -eu
cd "$(dirname "$0")/stage-2"
mkdir -p bin
# shellcheck disable=SC2046
cc -std=gnu11 -O2 -Wall -Wextra -o bin/stage stage.c \
    $(pkg-config --cflags --libs jansson) -pthread
