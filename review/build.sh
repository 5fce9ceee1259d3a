#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are plain modules for Node.js without dependencies, so they are only checked here.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.js [1-5]/*.js; do
	if [ -e "$file" ]; then
		node --check "$file"
	fi
done
