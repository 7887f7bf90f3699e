#!/bin/bash
# At the first start the three seeds carry no disk: the system never takes a configuration.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../standins-2/case.sh" first_seeds "$folder"
