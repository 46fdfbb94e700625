#!/usr/bin/env bash
# Brings up a small site on this machine with stand-ins: 3 state members, 2 entries, model
# engines and plain services of the site neng. It prints what it does, runs programs
# through the entries, takes an availability zone out and back, and stops everything.
echo "not joined yet" >&2
exit 1
