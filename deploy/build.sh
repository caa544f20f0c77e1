#!/bin/sh
# Puts the libraries and the workspace's packages under target/deps.
set -eu
cd "$(dirname "$0")/.."
stamp=target/.libraries
cat constraints.txt deploy/requirements.txt > target/.wanted 2>/dev/null ||
	{ mkdir -p target && cat constraints.txt deploy/requirements.txt > target/.wanted; }
if ! cmp -s target/.wanted "$stamp"; then
	rm -rf target/deps
	python3 -m pip install --quiet --disable-pip-version-check \
		--root-user-action ignore --target target/deps \
		--constraint constraints.txt --requirement deploy/requirements.txt
	cp target/.wanted "$stamp"
fi
for source in packages/core packages/node packages/jobs platform; do
	cp -r "$source"/src/* target/deps/
done
