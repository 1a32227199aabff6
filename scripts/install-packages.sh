#!/bin/sh
# Installs the Debian packages that the build needs, unless all are installed already.
set -eu
cd "$(dirname "$0")/.."
missing=$(xargs dpkg-query -W -f '${Package} ${Status}\n' <scripts/packages.txt 2>&1 |
  grep -vc 'install ok installed' || true)
[ "$missing" -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive xargs apt-get install -y -qq <scripts/packages.txt >/dev/null
