#!/bin/bash
# Runs one case: case.sh NAME FOLDER-OF-THE-CASE. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
set -u
name=$1
case_folder=$2
cd "$(dirname "$0")/../.."
judge=review/standins-2/target/release/review_two
read -r -a program <<< "$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)"
if [ ! -x "$judge" ] || [ ! -x "${program[0]:-}" ]; then
    echo "build the deploy file and run review/build-2.sh first"
    exit 2
fi
folder=$(mktemp -d)
clean_up() {
    # Only if the judge itself was ended: it ends the processes that it started.
    if [ -f "$folder/processes" ]; then
        while read -r process; do
            if grep -q vanelane_on_platform "/proc/$process/cmdline" 2>/dev/null; then
                kill -KILL "$process" 2>/dev/null
            fi
        done < "$folder/processes"
    fi
    rm -rf "$folder"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
timeout 118 "$judge" "$name" "$folder" "$case_folder/record.txt" "${TROUBLE:-1}" "${program[@]}"
result=$?
case $result in
    0 | 1) exit $result ;;
    *) exit 2 ;;
esac
