#!/bin/sh
# Submit a job and follow it with curl alone: examples/curl.sh http://127.0.0.1:8140
set -eu
jobs="$1/apis/kelpfront.dev/v1/namespaces/climate/jobs"
spec='{"class":"web","service":"front","cores":1,"memory":2,"clientToken":"curl-'"$$"'"}'
curl -sSf -X POST "$jobs" -H 'content-type: application/json' -d '{"metadata":{"name":"from-curl"},"spec":'"$spec"'}' >/dev/null
# One JSON event a line, until two seconds are over.
curl -sSf -N "$jobs?watch=true&fieldSelector=metadata.name%3Dfrom-curl&timeoutSeconds=2" | grep -o '"answer":"[A-Za-z]*"' | tail -n 1
curl -sSf -X DELETE "$jobs/from-curl" >/dev/null
