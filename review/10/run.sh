#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
program=$root/target/review-2/case-$(basename "$folder")
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
temporary=$(mktemp -d) || exit 2
"$program" "$folder" "$temporary" "$root"
code=$?
# A case that ends early leaves its gateways behind.
if [ "$code" -gt 1 ] && [ -f "$temporary/pids" ]; then
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$temporary/pids"
fi
rm -rf "$temporary"
[ "$code" -le 1 ] || exit 2
exit "$code"
