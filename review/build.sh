#!/bin/sh
# Builds the stand-ins that the scripts start. Needs only the packages of
# deploy/system.toml.
set -e
cd "$(dirname "$0")"
mkdir -p bin
flags="-std=c++17 -O1 -g -Wall -Wextra -pthread"
libs=$(pkg-config --cflags --libs glib-2.0 jansson)
for program in standin/case_*.cc
do
	name=$(basename "$program" .cc)
	# shellcheck disable=SC2086
	g++ $flags -o "bin/$name" "$program" standin/rig.cc $libs
done
