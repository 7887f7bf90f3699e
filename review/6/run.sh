#!/bin/bash
# Bytes after a whole answer are taken for the next answer: an order that runs is refused, or runs twice.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../standins-2/case.sh" late_bytes "$folder"
