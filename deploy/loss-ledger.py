#!/usr/bin/env python3
"""Counts the unserved requests of gateway logs by cause.

Usage: loss-ledger.py FILE...   with the JSON lines of one or more gateways, other text is skipped
"""

import collections
import json
import sys


def cause(fields, message):
    """Returns the cause of an unserved request from its last log line."""
    last = fields.get("last") or ""
    if fields.get("sends", 0) == 0 and not fields.get("servers"):
        return f"not sent: {message}"
    where = "trial for the floor" if fields.get("trial") else suspicion(fields.get("failing") or 0)
    return f"{last or message}, {where}"


def suspicion(failing_percent):
    """Returns how likely the node held a failure of the chosen server."""
    if failing_percent >= 30:
        return "at a suspect server"
    if failing_percent >= 13:
        return "at a server of unknown health"
    return "at a server that looked healthy"


def main(paths):
    """Prints a table of causes by service."""
    causes = collections.Counter()
    total = collections.Counter()
    for path in paths:
        for line in open(path, errors="replace"):
            start = line.find('{"timestamp"')
            if start < 0 or '"target":"requests"' not in line:
                continue
            try:
                record = json.loads(line[start:])
            except ValueError:
                continue
            fields = record.get("kvs", {})
            if "service" not in fields or "status" not in fields:
                continue
            total[fields["service"]] += 1
            if fields["status"] >= 429:
                causes[fields["service"], cause(fields, record["message"])] += 1
    for service, count in sorted(total.items()):
        print(f"{service}: {count} requests")
        for (name, what), lost in causes.most_common():
            if name == service:
                print(f"  {lost:6}  {100 * lost / count:5.2f}%  {what}")


if __name__ == "__main__":
    main(sys.argv[1:])
