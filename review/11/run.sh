#!/usr/bin/env bash
. "$(dirname "$0")/../run-3.sh" DrainCase review/11
