#!/bin/bash
# A service whose name has 64 bytes is acknowledged and can never be started.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../standins-2/case.sh" long_name "$folder"
