#!/usr/bin/env bash
# EVAC: an order to take a zone back that a cut held up undoes an evacuation acknowledged after it.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[[ -x target/review/stand-ins ]] || { echo "review/build.sh has not been run"; exit 2; }
exec target/review/stand-ins take-back "$folder"
