#!/usr/bin/env bash
. "$(dirname "$0")/../run-3.sh" QuotaCase review/13
