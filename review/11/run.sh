#!/usr/bin/env bash
# Plays the case. With TROUBLE=0 it does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
. "$(dirname "$0")/../run-3.sh" DrainCase review/11
