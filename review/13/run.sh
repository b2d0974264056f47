#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -x "$root/target/standin3" ] && [ -x "$root/target/tanager-platform" ] || exit 2
"$root/target/standin3" -case late-submit -root "$root" -record record.txt
