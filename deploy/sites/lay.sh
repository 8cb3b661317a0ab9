#!/bin/sh
# Lays the bench's own files beside the site files here, from the kit that is given as the first argument
# (../given/kit by default). Git ignores them: nothing of the kit is committed.
set -eu
kit=$(cd "${1:-$(dirname "$0")/../../../given/kit}" && pwd)
cd "$(dirname "$0")"
for file in real.json wire.json unlock.txt; do
  rm -f "$file"
  cp "$kit/more/mass/other/$file" "$file"
  chmod u+w "$file"
done
