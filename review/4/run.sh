#!/bin/bash
# A zone is lost, which the deployment states may be lost; the acknowledged configuration is gone.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../standins-2/case.sh" zone_loss "$folder"
