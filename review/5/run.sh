#!/bin/sh
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
